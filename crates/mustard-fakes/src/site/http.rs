//! The HTTP listeners of a stand-in site.

use std::future::poll_fn;
use std::net::TcpListener;
use std::time::Instant;

use ntex::http::header::{HeaderName, HeaderValue};
use ntex::http::{HttpService, Request, Response, StatusCode};
use ntex::util::Bytes;

use super::{Arrival, Notice, ServerFault, Site, model, plain, raw, store};

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

    /// Tells whether the content ends the servers that run it.
    pub(super) fn is_poison(&self) -> bool {
        let text = [&self.path, &self.query];
        let body = self.body.windows(super::POISON.len());
        text.iter().any(|t| t.contains(super::POISON))
            || body.into_iter().any(|w| w == super::POISON.as_bytes())
            || self.method == super::POISON_METHOD
            || self.has_poison_prompt()
    }

    /// Tells whether the last segment of the prompt, which no other prompt has, is poison.
    fn has_poison_prompt(&self) -> bool {
        let list = self.header(super::SEGMENTS_HEADER).unwrap_or_default();
        let last = list.rsplit(',').next();
        last.is_some_and(|id| id.starts_with(super::POISON_SEGMENT))
    }

    /// Ends the request as that of a server that has just ended: by a closed connection, or never.
    pub(super) async fn end_with_server(&self, site: &Site, server: usize) -> Response {
        if site.lock().servers[server].ends_silently {
            std::future::pending::<()>().await;
        }
        self.drop_connection();
        Response::Ok().finish()
    }

    /// Returns the first poison segment of the prompt; the last segment is never poison.
    pub(super) fn poison_segment(&self) -> Option<String> {
        let list = self.header(super::SEGMENTS_HEADER)?;
        let (shared, _last) = list.rsplit_once(',')?;
        let mut ids = shared.split(',').filter_map(|s| s.split(':').next());
        ids.find(|id| id.starts_with(super::POISON_SEGMENT))
            .map(str::to_owned)
    }

    /// Returns the connection that the request came in on.
    pub(super) fn connection(&self) -> Option<ntex::io::IoRef> {
        self.request.io().cloned()
    }

    /// Returns the client's end of the connection that the request came in on.
    pub(super) fn peer_addr(&self) -> Option<std::net::SocketAddr> {
        self.request.peer_addr()
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

/// Answers a request to one of the servers; one that is leaving says so.
async fn answer_for_server(site: &Site, listener: usize, request: Request) -> Response {
    let call = Call::read_from(request).await;
    let (index, leaving, limit) = {
        let state = site.lock();
        let index = state.occupants[listener];
        let server = &state.servers[index];
        (index, server.leaving, server.limit)
    };
    let mut response = answer_by_fault(site, index, call).await;
    if leaving {
        let name = HeaderName::from_static("server-leaving");
        let headers = response.headers_mut();
        headers.insert(name, HeaderValue::from_static("1"));
    }
    if let Some(value) = limit.and_then(|l| HeaderValue::from_str(&format!("{l:.2}")).ok()) {
        let name = HeaderName::from_static("server-limit");
        response.headers_mut().insert(name, value);
    }
    response
}

/// Answers a request to one of the servers, according to its fault.
async fn answer_by_fault(site: &Site, index: usize, call: Call) -> Response {
    if let Some(id) = call.header("attempt-id") {
        let bytes = {
            let mut state = site.lock();
            let bytes = state.servers[index].raw_answer.clone();
            state.ledger.raw_answers += usize::from(bytes.is_some());
            bytes
        };
        if let Some(bytes) = bytes {
            return raw::send_bytes(&call, &id, &bytes).await;
        }
    }
    let (fault, model) = {
        let mut state = site.lock();
        if let Some(id) = call.header("attempt-id") {
            let server = &state.servers[index];
            let arrival = Arrival {
                server: index,
                incarnation: server.incarnation,
                id,
                poison_segment: call.poison_segment(),
                at: Instant::now(),
                // A server that closes the connection names nothing.
                limit: server
                    .limit
                    .filter(|_| server.current_fault() == ServerFault::None),
                notice: match server.current_fault() {
                    ServerFault::TurnsAway(pause) => Notice::Pause(pause),
                    ServerFault::None | ServerFault::AnswersError if server.leaving => {
                        Notice::Leaving
                    }
                    _ => Notice::None,
                },
            };
            state.ledger.arrivals.push(arrival);
        }
        (
            state.servers[index].current_fault(),
            state.servers[index].model,
        )
    };
    match fault {
        ServerFault::TurnsAway(wait) if call.header("attempt-id").is_some() => {
            let mut out = Response::ServiceUnavailable();
            out.header("not-executed", "1");
            out.header("retry-after", format!("{:.2}", wait.as_secs_f64()));
            out.finish()
        }
        ServerFault::RefusesTwice if call.header("attempt-id").is_some() => {
            raw::send_refusal_twice(&call).await
        }
        ServerFault::Silent => std::future::pending().await,
        ServerFault::Endless(what) => {
            if let Some(id) = call.header("attempt-id") {
                raw::send_endless(site, &call, &id, what).await;
                return Response::Ok().finish();
            }
            answer_normally(site, index, call, model).await
        }
        ServerFault::Unfinished(status, what) => {
            if let Some(id) = call.header("attempt-id") {
                return raw::send_unfinished(&call, &id, status, what).await;
            }
            answer_normally(site, index, call, model).await
        }
        ServerFault::ResetsRequests if call.header("attempt-id").is_some() => {
            call.drop_connection();
            Response::Ok().finish()
        }
        ServerFault::ResetsConnections => {
            call.drop_connection();
            Response::Ok().finish()
        }
        _ => answer_normally(site, index, call, model).await,
    }
}

async fn answer_normally(site: &Site, index: usize, call: Call, model: bool) -> Response {
    if model {
        model::answer(site, index, call).await
    } else {
        plain::answer(site, index, call).await
    }
}
