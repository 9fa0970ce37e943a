//! Accepts connections within the budget of what is held for clients.

use std::convert::Infallible;
use std::fmt::Debug;
use std::future::Future;
use std::io::{self, ErrorKind};
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

use ntex::SharedCfg;
use ntex::http::Request;
use ntex::http::Response;
use ntex::http::body::Body;
use ntex::http::error::ResponseError;
use ntex::rt::{Arbiter, from_tcp_stream};
use ntex::service::{IntoServiceFactory, ServiceFactory};
use socket2::SockRef;

use crate::client_budget::ClientBudget;
use crate::client_filter::{count_connection, http_service};
use crate::client_limits::Listener;

/// The result of accepting connections.
pub type Result<T> = io::Result<T>;

/// The pause after an error that a further attempt would meet again.
const ERROR_PAUSE: Duration = Duration::from_millis(50);
/// How long the connections of a process that ends may take to send what they hold.
const FLUSH_TIME: Duration = Duration::from_millis(200);

/// Serves the connections of a listener on the calling thread.
///
/// A connection is accepted only if the budget has room for it, so that descriptors are left for the process's
/// own connections.
///
/// # Errors
///
/// Returns an error if the listener can't be used.
pub async fn serve<S, U>(
    socket: TcpListener,
    budget: Rc<ClientBudget>,
    listener: Listener,
    config: SharedCfg,
    service: U,
) -> Result<Infallible>
where
    U: IntoServiceFactory<S, Request, SharedCfg>,
    S: ServiceFactory<Request, SharedCfg> + 'static,
    S::Error: ResponseError + 'static,
    S::InitError: Debug,
    S::Response: Into<Response<Body>>,
{
    socket.set_nonblocking(true)?;
    let socket = tokio::net::TcpListener::from_std(socket)?;
    let http = http_service(service).pipeline(config.clone()).await;
    let http = http.map_err(|()| io::Error::other("the HTTP server can't be created"))?;
    let mut receive_buffer = 0;
    loop {
        let size = budget.receive_buffer();
        if size != receive_buffer {
            // Connections inherit the size when they are opened, before they are accepted.
            SockRef::from(&socket).set_recv_buffer_size(size)?;
            receive_buffer = size;
        }
        let stream = match socket.accept().await {
            Ok((stream, _)) => stream,
            Err(e) if is_connection_error(e.kind()) => continue,
            Err(_) => {
                budget.record("refused", "descriptor");
                tokio::time::sleep(ERROR_PAUSE).await;
                continue;
            }
        };
        if budget.make_room_to_open(listener).await.is_err() {
            continue;
        }
        let io = stream
            .into_std()
            .and_then(|s| from_tcp_stream(s, config.clone()));
        // A connection that is gone already needs no answer.
        if let Ok(io) = io {
            let io = count_connection(io, &budget, listener);
            let http = http.clone();
            ntex::rt::spawn(async move { http.call(io).await });
        }
    }
}

/// Runs `serve` on `count` threads, each with the same listener; each creates its own state.
///
/// # Errors
///
/// Returns an error if the listener can't be shared.
pub fn start_workers<F, T>(count: usize, socket: &TcpListener, serve: F) -> Result<()>
where
    F: Fn(TcpListener) -> T + Clone + Send + 'static,
    T: Future<Output = ()> + 'static,
{
    for _ in 0..count {
        let socket = socket.try_clone()?;
        let serve = serve.clone();
        // The future of a worker can't change threads, so that it is created on its own.
        let start = async move {
            ntex::rt::spawn(serve(socket));
        };
        Arbiter::new().handle().spawn(start);
    }
    Ok(())
}

/// Waits until the last responses of a process that is about to end are sent.
pub async fn flush_responses() {
    tokio::time::sleep(FLUSH_TIME).await;
}

/// Returns whether an error concerns one connection only.
fn is_connection_error(kind: ErrorKind) -> bool {
    matches!(
        kind,
        ErrorKind::ConnectionRefused | ErrorKind::ConnectionAborted | ErrorKind::ConnectionReset
    )
}
