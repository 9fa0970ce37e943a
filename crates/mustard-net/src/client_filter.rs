//! Counts what arrives on the connections of a listener, below the HTTP decoder.

use std::any::{Any, TypeId};
use std::fmt::Debug;
use std::io;
use std::rc::Rc;

use ntex::SharedCfg;
use ntex::http::body::{Body, BodySize, MessageBody};
use ntex::http::error::{DispatchError, ResponseError};
use ntex::http::{HttpService, Request, Response};
use ntex::io::{FilterBuf, FilterLayer, Io, Layer};
use ntex::service::boxed::{self, BoxServiceFactory};
use ntex::service::{IntoServiceFactory, ServiceFactory, apply_fn_factory};

use crate::client_budget::{ClientBudget, ConnectionGuard, ConnectionHandle};
use crate::client_limits::Listener;
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

/// Returns the HTTP server of a listener, which tells the budget when requests begin and end.
pub(crate) fn http_service<S, U>(service: U) -> HttpFactory
where
    U: IntoServiceFactory<S, Request, SharedCfg>,
    S: ServiceFactory<Request, SharedCfg> + 'static,
    S::Error: ResponseError + 'static,
    S::InitError: Debug,
    S::Response: Into<Response<Body>>,
{
    let counted = apply_fn_factory(service, async |request: Request, handler| {
        let connection = request.io().and_then(|io| {
            let found = io.query::<ConnectionHandle>();
            found.as_ref().map(ConnectionHandle::begin_request)
        });
        let response: Response<Body> = handler.call(request).await?.into();
        if let (Some(connection), BodySize::Stream) = (connection, response.body().size()) {
            connection.stream();
        }
        Ok::<_, S::Error>(response)
    });
    boxed::factory(HttpService::h1(counted))
}
