//! Counts what arrives on the connections of a listener, below the HTTP decoder.

use std::any::{Any, TypeId};
use std::fmt::Debug;
use std::io;
use std::rc::Rc;

use ntex::SharedCfg;
use ntex::http::body::{Body, BodySize, MessageBody};
use ntex::http::error::{DispatchError, ResponseError};
use ntex::http::{HttpService, Request, Response, StatusCode};
use ntex::io::{FilterBuf, FilterLayer, Io, IoRef, Layer};
use ntex::service::boxed::{self, BoxServiceFactory};
use ntex::service::{IntoServiceFactory, ServiceFactory, apply_fn_factory};

use crate::client_budget::{ClientBudget, ConnectionGuard, ConnectionHandle, RequestGuard};
use crate::client_limits::Listener;
use crate::request_body::RequestBody;
use crate::undecoded::{MAX_UNDECODED, pass_received, pass_written};

/// A connection whose bytes are counted.
pub(crate) type ClientIo = Io<Layer<ClientFilter>>;
/// Creates the HTTP server of a listener.
pub(crate) type HttpFactory = BoxServiceFactory<SharedCfg, ClientIo, (), DispatchError, ()>;

/// The layer of a connection that counts its bytes.
#[derive(Debug)]
pub(crate) struct ClientFilter {
    connection: ConnectionGuard,
}

impl FilterLayer for ClientFilter {
    fn query(&self, id: TypeId) -> Option<Box<dyn Any>> {
        (id == TypeId::of::<ConnectionHandle>())
            .then(|| Box::new(self.connection.handle()) as Box<dyn Any>)
    }

    fn process_read_buf(&self, buf: &FilterBuf<'_>) -> io::Result<()> {
        let undecoded = pass_received(buf);
        if undecoded > MAX_UNDECODED {
            self.connection.budget().record("refused", "framing");
            return Err(io::ErrorKind::InvalidData.into());
        }
        let counted = self.connection.receive(undecoded);
        counted.map_err(|_| io::ErrorKind::OutOfMemory.into())
    }

    fn process_write_buf(&self, buf: &FilterBuf<'_>) -> io::Result<()> {
        let sent = self.connection.send(pass_written(buf));
        sent.map_err(|_| io::ErrorKind::OutOfMemory.into())
    }
}

/// Counts a connection and its bytes in `budget` until it is closed.
pub(crate) fn count_connection(io: Io, budget: &Rc<ClientBudget>, listener: Listener) -> ClientIo {
    let connection = budget.open(listener, io.get_ref());
    io.add_filter(ClientFilter { connection })
}

/// A request came on a connection after an answer had announced its end.
struct ConnectionEnded;

/// Begins a request on a connection, if it may carry one; `None` if the connection isn't counted.
fn begin_request(io: &IoRef) -> Option<Result<RequestGuard, ConnectionEnded>> {
    let found = io.query::<ConnectionHandle>();
    let connection: &ConnectionHandle = found.as_ref()?;
    if connection.is_last() {
        // What is answered on a closed connection isn't sent.
        io.close();
        return Some(Err(ConnectionEnded));
    }
    Some(Ok(connection.begin_request()))
}

/// Returns the HTTP server of a listener, which tells the budget when requests begin and end, and keeps the bodies of
/// requests apart from further requests.
pub(crate) fn http_service<S, U>(service: U) -> HttpFactory
where
    U: IntoServiceFactory<S, Request, SharedCfg>,
    S: ServiceFactory<Request, SharedCfg> + 'static,
    S::Error: ResponseError + 'static,
    S::InitError: Debug,
    S::Response: Into<Response<Body>>,
{
    let counted = apply_fn_factory(service, async |mut request: Request, handler| {
        let guard = match request.io().and_then(begin_request) {
            Some(Err(ConnectionEnded)) => return Ok(Response::new(StatusCode::BAD_REQUEST)),
            Some(Ok(guard)) => Some(guard),
            None => None,
        };
        let body = RequestBody::share(&mut request);
        let answer: Response<Body> = handler.call(request).await?.into();
        let unread = match body {
            Some(body) => body.into_unread().await,
            None => None,
        };
        if let Some(unread) = unread {
            return Ok(unread.discard_after(answer, guard));
        }
        if let (Some(guard), BodySize::Stream) = (guard, answer.body().size()) {
            guard.stream();
        }
        Ok::<_, S::Error>(answer)
    });
    boxed::factory(HttpService::h1(counted))
}
