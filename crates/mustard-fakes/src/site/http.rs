//! The listeners of a stand-in site.

use std::future::poll_fn;
use std::net::TcpListener;

use ntex::http::{HttpService, Request, Response, StatusCode};
use ntex::util::Bytes;

use super::{Health, Site, model, plain, store};

/// A request with its body read.
pub(super) struct Call {
    pub(super) method: String,
    pub(super) path: String,
    pub(super) query: String,
    pub(super) body: Vec<u8>,
    request: Request,
}

impl Call {
    async fn read(mut request: Request) -> Self {
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

    pub(super) fn header(&self, name: &str) -> Option<String> {
        let value = self.request.headers().get(name)?;
        value.to_str().ok().map(str::to_owned)
    }

    pub(super) fn query(&self, name: &str) -> Option<&str> {
        let pairs = self.query.split('&').filter_map(|p| p.split_once('='));
        pairs.into_iter().find(|(n, _)| *n == name).map(|(_, v)| v)
    }

    /// Returns the connection.
    pub(super) fn io(&self) -> Option<ntex::io::IoRef> {
        self.request.io().cloned()
    }

    /// Closes the connection without an answer.
    pub(super) fn close(&self) {
        if let Some(io) = self.request.io() {
            io.terminate();
        }
    }
}

/// Builds an answer in JSON.
pub(super) fn json(status: u16, value: &serde_json::Value) -> Response {
    Response::build(StatusCode::from_u16(status).unwrap_or(StatusCode::OK))
        .content_type("application/json")
        .body(Bytes::from(value.to_string().into_bytes()))
}

/// Serves the store and every server on a thread of its own until the process ends.
pub(super) fn serve(site: &Site, store_listener: TcpListener, listeners: Vec<TcpListener>) {
    let site = site.clone();
    std::thread::spawn(move || {
        let system = ntex::rt::System::new("site", ntex::rt::DefaultRuntime);
        system.block_on(async move { run(site, store_listener, listeners).await });
    });
}

async fn run(site: Site, store_listener: TcpListener, listeners: Vec<TcpListener>) {
    let for_store = site.clone();
    let mut builder = ntex::server::build().workers(1).disable_signals();
    builder =
        builder
            .listen("store", store_listener, async move |_| {
                let site = for_store.clone();
                HttpService::h1(move |r: Request| {
                    let site = site.clone();
                    async move {
                        Ok::<_, std::io::Error>(store::answer(&site, Call::read(r).await).await)
                    }
                })
            })
            .expect("a bound listener is taken");
    for (index, listener) in listeners.into_iter().enumerate() {
        let for_server = site.clone();
        builder = builder
            .listen(format!("server-{index}"), listener, async move |_| {
                let site = for_server.clone();
                HttpService::h1(move |r: Request| {
                    let site = site.clone();
                    async move { Ok::<_, std::io::Error>(answer(&site, index, r).await) }
                })
            })
            .expect("a bound listener is taken");
    }
    if builder.run().await.is_err() {
        eprintln!("site: the listeners ended");
    }
}

async fn answer(site: &Site, index: usize, request: Request) -> Response {
    let call = Call::read(request).await;
    let (health, model) = {
        let state = site.lock();
        (state.servers[index].health, state.servers[index].model)
    };
    match health {
        Health::Silent => std::future::pending().await,
        Health::Resets => {
            call.close();
            Response::Ok().finish()
        }
        _ if model => model::answer(site, index, call).await,
        _ => plain::answer(site, index, call).await,
    }
}
