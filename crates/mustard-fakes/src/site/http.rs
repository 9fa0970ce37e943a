//! The HTTP listeners of a stand-in site.

use std::future::poll_fn;
use std::net::TcpListener;

use ntex::http::{HttpService, Request, Response, StatusCode};
use ntex::util::Bytes;

use super::{ServerFault, Site, model, plain, store};

/// A request whose body has been read.
pub(super) struct Call {
    pub(super) method: String,
    pub(super) path: String,
    pub(super) query: String,
    pub(super) body: Vec<u8>,
    request: Request,
}

impl Call {
    async fn read_from(mut request: Request) -> Self {
        let mut payload = request.take_payload();
        let mut body = Vec::new();
        while let Some(Ok(chunk)) = poll_fn(|cx| payload.poll_recv(cx)).await {
            body.extend_from_slice(&chunk);
        }
        Call {
            method: request.method().to_string(),
            path: request.path().to_owned(),
            query: request.uri().query().unwrap_or_default().to_owned(),
            body,
            request,
        }
    }

    /// Returns the value of a header; none if it isn't text.
    pub(super) fn header(&self, name: &str) -> Option<String> {
        let value = self.request.headers().get(name)?;
        value.to_str().ok().map(str::to_owned)
    }

    /// Returns the value of a query parameter, not decoded.
    pub(super) fn query_param(&self, name: &str) -> Option<&str> {
        let pairs = self.query.split('&').filter_map(|p| p.split_once('='));
        pairs.into_iter().find(|(n, _)| *n == name).map(|(_, v)| v)
    }

    /// Returns the connection that the request came in on.
    pub(super) fn connection(&self) -> Option<ntex::io::IoRef> {
        self.request.io().cloned()
    }

    /// Closes the connection at once, without an answer.
    pub(super) fn drop_connection(&self) {
        if let Some(io) = self.request.io() {
            io.terminate();
        }
    }
}

/// Builds a response in JSON.
pub(super) fn json_response(status: u16, value: &serde_json::Value) -> Response {
    Response::build(StatusCode::from_u16(status).unwrap_or(StatusCode::OK))
        .content_type("application/json")
        .body(Bytes::from(value.to_string().into_bytes()))
}

/// Starts a thread that serves the store and all servers until the process ends.
pub(super) fn spawn_listeners(
    site: &Site,
    store_listener: TcpListener,
    listeners: Vec<TcpListener>,
) {
    let site = site.clone();
    std::thread::spawn(move || {
        let system = ntex::rt::System::new("site", ntex::rt::DefaultRuntime);
        system.block_on(async move { run_listeners(site, store_listener, listeners).await });
    });
}

async fn run_listeners(site: Site, store_listener: TcpListener, listeners: Vec<TcpListener>) {
    let store_site = site.clone();
    let mut builder = ntex::server::build().workers(1).disable_signals();
    builder = builder
        .listen("store", store_listener, async move |_| {
            let site = store_site.clone();
            HttpService::h1(move |r: Request| {
                let site = site.clone();
                async move {
                    Ok::<_, std::io::Error>(store::answer(&site, Call::read_from(r).await).await)
                }
            })
        })
        .expect("a bound listener is accepted");
    for (index, listener) in listeners.into_iter().enumerate() {
        let server_site = site.clone();
        builder = builder
            .listen(format!("server-{index}"), listener, async move |_| {
                let site = server_site.clone();
                HttpService::h1(move |r: Request| {
                    let site = site.clone();
                    async move { Ok::<_, std::io::Error>(answer_for_server(&site, index, r).await) }
                })
            })
            .expect("a bound listener is accepted");
    }
    if builder.run().await.is_err() {
        eprintln!("site: Listeners failed.");
    }
}

/// Answers a request to one of the servers, according to its fault.
async fn answer_for_server(site: &Site, index: usize, request: Request) -> Response {
    let call = Call::read_from(request).await;
    let (fault, model) = {
        let state = site.lock();
        (state.servers[index].fault, state.servers[index].model)
    };
    match fault {
        ServerFault::Silent => std::future::pending().await,
        ServerFault::ResetsConnections => {
            call.drop_connection();
            Response::Ok().finish()
        }
        _ if model => model::answer(site, index, call).await,
        _ => plain::answer(site, index, call).await,
    }
}
