//! The model servers of a stand-in site: load reports, orders to load layers or to change a
//! stream's path, and streams whose path spans several servers.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll};

use ntex::http::{Response, StatusCode};
use ntex::util::{Bytes, Stream};
use serde_json::{Value, json};
use tokio::sync::mpsc::{Receiver, Sender, channel};
use tokio::time::sleep;

use super::http::{Call, json_response};
use super::plain::{self, is_misdirected, misdirected_response, record_run};
use super::{LAYERS, PoisonTarget, ServerFault, Site, raw};

/// The time between the checks of a poison content for a path on which it has ended no server yet.
const POISON_DELAY: std::time::Duration = std::time::Duration::from_millis(60);

/// The size of the events of [`ServerFault::LargeEvents`].
const LARGE_EVENT_BYTES: usize = 200 * 1024;

/// The events of a stream before a server cuts it off within one.
const CUT_EVENTS: u64 = 5;

/// How long after the first event of an answer a poison segment ends the server.
const SEGMENT_DELAY: std::time::Duration = std::time::Duration::from_millis(50);

/// A hop of a stream's path: a server and the layers that it runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ChainStage {
    pub(crate) addr: SocketAddr,
    first: u32,
    end: u32,
}

/// Why a stream can't run over a path.
enum PathFault {
    /// The server at the address hasn't loaded its layers, or the path skips or repeats layers.
    LayersMissing(SocketAddr),
    /// No server answers at the address.
    ServerDown(SocketAddr),
    /// The server at the address has no memory for another stream.
    Full(SocketAddr),
}

pub(super) async fn answer(site: &Site, index: usize, call: Call) -> Response {
    match (call.method.as_str(), call.path.as_str()) {
        ("GET", "/v1/report") => report_load(site, index),
        ("GET", "/health") => plain::answer_health(site, index),
        ("POST", "/v1/order") => handle_order(site, index, &call),
        _ => start_stream(site, index, &call).await,
    }
}

fn report_load(site: &Site, index: usize) -> Response {
    let state = site.lock();
    let server = &state.servers[index];
    let own_addr = state.addrs[index];
    let layers: Vec<Value> = server
        .layers
        .iter()
        .map(|(a, b)| json!({"from": a, "to": b, "version": 1}))
        .collect();
    let stalled: Vec<Value> = state
        .paths
        .iter()
        .filter(|(_, path)| path.first().is_some_and(|h| h.addr == own_addr))
        .filter_map(|((id, _), path)| match check_path(&state, path) {
            Err(PathFault::ServerDown(addr) | PathFault::LayersMissing(addr)) => {
                Some(json!({"id": id, "address": addr.to_string()}))
            }
            Ok(()) | Err(PathFault::Full(_)) => None,
        })
        .collect();
    let used_share = stream_count(&state, own_addr) as f64 / state.options.stream_limit as f64;
    json_response(
        200,
        &json!({"stage": "combined", "busy": server.busy, "seq": server.orders,
        "born": server.incarnation, "pace": 1.0, "kv_in_use": 100_000.0 * used_share, "kv_total": 100_000, "queued": 0,
        "in_flight": 0, "kind": "card", "layers": layers, "stalled": stalled}),
    )
}

fn handle_order(site: &Site, index: usize, call: &Call) -> Response {
    if is_misdirected(site, index, call) {
        return misdirected_response();
    }
    let body: Value = serde_json::from_slice(&call.body).unwrap_or_default();
    match body["op"].as_str() {
        Some("place") => place_layers(site, index, &body),
        Some("repath") => change_path(site, index, &body),
        _ => json_response(400, &json!({})),
    }
}

/// Handles an order to load layers, which takes effect after the load time.
fn place_layers(site: &Site, index: usize, body: &Value) -> Response {
    let number = |name: &str| body[name].as_u64().unwrap_or(0);
    let (first, end) = (number("from") as u32, number("to") as u32);
    let (load, incarnation) = {
        let mut state = site.lock();
        let (capacity, load) = (state.options.layer_capacity, state.options.load_time);
        let server = &mut state.servers[index];
        let fence = number("fence");
        if fence < server.fence {
            return json_response(412, &json!({}));
        }
        if server.busy || number("precondition") != server.orders {
            return json_response(409, &json!({}));
        }
        server.fence = fence;
        server.orders += 1;
        if end - first > capacity {
            // An order for more layers than fit into the memory crashes the server.
            server.fault = ServerFault::Silent;
            return json_response(202, &json!({}));
        }
        server.layers = None;
        server.busy = true;
        let incarnation = server.incarnation;
        state.ledger.placements.push((index, first, end));
        (load, incarnation)
    };
    let site = site.clone();
    ntex::rt::spawn(async move {
        sleep(load).await;
        {
            let server = &mut site.lock().servers[index];
            if server.incarnation != incarnation {
                return;
            }
            server.layers = Some((first, end));
            server.busy = false;
        }
        site.write_row(index);
    });
    json_response(202, &json!({}))
}

/// Handles an order to move a running stream to another path with the same first hop.
fn change_path(site: &Site, index: usize, body: &Value) -> Response {
    let id = body["id"].as_str().unwrap_or_default();
    let Some(path) = body["path"].as_str().and_then(parse_path) else {
        return json_response(400, &json!({}));
    };
    let mut state = site.lock();
    let own_addr = state.addrs[index];
    let current = state.path(id, index).and_then(|p| p.first()).copied();
    if current.is_none_or(|h| h.addr != own_addr || path.first() != Some(&h)) {
        return json_response(404, &json!({}));
    }
    if let Err(
        PathFault::LayersMissing(addr) | PathFault::ServerDown(addr) | PathFault::Full(addr),
    ) = check_path(&state, &path)
    {
        return json_response(409, &json!({"address": addr.to_string()}));
    }
    let old = state.path(id, index).cloned().unwrap_or_default();
    state.ledger.path_changes += 1;
    state.ledger.kept_parts += path.iter().skip(1).filter(|h| old.contains(h)).count();
    state.paths.insert((id.to_owned(), index), path);
    json_response(200, &json!({}))
}

/// Parses a path written as `ADDRESS=FIRST-END,...`; none if it is malformed.
fn parse_path(text: &str) -> Option<Vec<ChainStage>> {
    let parse_hop = |part: &str| {
        let (addr, layers) = part.split_once('=')?;
        let (first, end) = layers.split_once('-')?;
        Some(ChainStage {
            addr: addr.parse().ok()?,
            first: first.parse().ok()?,
            end: end.parse().ok()?,
        })
    };
    text.split(',').map(parse_hop).collect()
}

/// Checks that the servers of a path answer and that its hops cover all layers in order.
fn check_path(state: &super::State, path: &[ChainStage]) -> std::result::Result<(), PathFault> {
    let mut next = 0;
    for hop in path {
        let server = state
            .server_at(hop.addr)
            .map(|i| &state.servers[i])
            .ok_or(PathFault::ServerDown(hop.addr))?;
        if matches!(
            server.current_fault(),
            ServerFault::Silent | ServerFault::ResetsConnections
        ) {
            return Err(PathFault::ServerDown(hop.addr));
        }
        let has_layers = server
            .layers
            .is_some_and(|(a, b)| a <= hop.first && hop.end <= b);
        if !has_layers || hop.first != next {
            return Err(PathFault::LayersMissing(hop.addr));
        }
        next = hop.end;
    }
    let last = path
        .last()
        .map_or_else(|| SocketAddr::from(([0, 0, 0, 0], 0)), |h| h.addr);
    if next == LAYERS {
        Ok(())
    } else {
        Err(PathFault::LayersMissing(last))
    }
}

/// Returns the number of streams whose path includes the server at an address.
fn stream_count(state: &super::State, addr: SocketAddr) -> usize {
    let uses = |path: &&Vec<ChainStage>| path.iter().any(|hop| hop.addr == addr);
    state.paths.values().filter(uses).count()
}

/// Checks that the servers of a path have memory for another stream.
fn check_memory(state: &super::State, path: &[ChainStage]) -> std::result::Result<(), PathFault> {
    let mut addrs = path.iter().map(|hop| hop.addr);
    let full = addrs.find(|addr| stream_count(state, *addr) >= state.options.stream_limit);
    full.map_or(Ok(()), |addr| Err(PathFault::Full(addr)))
}

async fn start_stream(site: &Site, index: usize, call: &Call) -> Response {
    if is_misdirected(site, index, call) {
        return misdirected_response();
    }
    let path = call
        .header("hop-count")
        .as_deref()
        .and_then(parse_path)
        .unwrap_or_default();
    let own_addr = site.addrs()[index];
    let checked = {
        let state = site.lock();
        check_path(&state, &path).and_then(|()| check_memory(&state, &path))
    };
    if path.first().is_none_or(|h| h.addr != own_addr) {
        return json_response(400, &json!({}));
    }
    if let Err(fault) = checked {
        let (status, addr) = match fault {
            PathFault::LayersMissing(addr) => (421, addr),
            PathFault::ServerDown(addr) | PathFault::Full(addr) => (503, addr),
        };
        let mut out = Response::build(StatusCode::from_u16(status).unwrap_or(StatusCode::OK));
        out.header("not-executed", "1")
            .header("at-server", addr.to_string());
        return out.finish();
    }
    let id = record_run(site, index, call);
    let poison = call.is_poison().then(|| site.lock().poison);
    if poison == Some(PoisonTarget::First) {
        site.end_server(index, &id, None);
        return call.end_with_server(site, index).await;
    }
    if let ServerFault::AnswersText(status) = site.lock().servers[index].current_fault() {
        let status = StatusCode::from_u16(status).unwrap_or(StatusCode::OK);
        let mut out = Response::build(status);
        out.header("attempt-id", id.clone())
            .header("response-seal", format!("seal-{id}"));
        return out.body(Bytes::from_static(ERROR_TEXT.as_bytes()));
    }
    let after = call
        .header("last-event-id")
        .and_then(|v| v.parse().ok())
        .unwrap_or(0);
    site.lock().paths.insert((id.clone(), index), path);
    let (sender, receiver) = channel(4);
    let mut out = Response::Ok();
    out.header("attempt-id", id.clone())
        .header("response-seal", format!("seal-{id}"));
    out.content_type("text/event-stream");
    let body = StreamBody {
        receiver,
        connection: call.connection(),
    };
    let fault = site.lock().servers[index].current_fault();
    let site = site.clone();
    let poison_segment = call.poison_segment();
    let stream_id = id.clone();
    ntex::rt::spawn(async move {
        if poison.is_some() {
            let (site, id) = (site.clone(), id.clone());
            ntex::rt::spawn(async move { end_last_servers(&site, index, &id).await });
        }
        if let Some(segment) = poison_segment {
            let (site, id) = (site.clone(), id.clone());
            ntex::rt::spawn(async move { end_writing_server(&site, index, &id, segment).await });
        }
        send_events(&site, index, &id, after, &sender).await;
    });
    if matches!(fault, ServerFault::Unframed | ServerFault::UnframedCut) {
        let response = raw::send_unframed(call, &stream_id, "text/event-stream", body.receiver);
        return response.await;
    }
    out.streaming(body)
}

/// What [`ServerFault::AnswersText`] sends. Its empty line would end an event.
const ERROR_TEXT: &str = "error: out of memory\n\nHTTP/1.1 500 Internal Server Error\r\n\r\n";

/// A chunk of a stream's body; none closes the connection before the body ends.
type Chunk = Option<Bytes>;

/// The body of a stream's response.
struct StreamBody {
    receiver: Receiver<Chunk>,
    connection: Option<ntex::io::IoRef>,
}

impl Stream for StreamBody {
    type Item = Result<Bytes, Infallible>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        match self.receiver.poll_recv(cx) {
            Poll::Ready(Some(Some(bytes))) => Poll::Ready(Some(Ok(bytes))),
            Poll::Ready(Some(None)) => {
                if let Some(io) = &self.connection {
                    io.terminate();
                }
                Poll::Pending
            }
            Poll::Ready(None) => Poll::Ready(None),
            Poll::Pending => Poll::Pending,
        }
    }
}

/// Ends the last server of a stream's path, and that of each further path that the stream is moved
/// to, until the stream has ended.
async fn end_last_servers(site: &Site, index: usize, id: &str) {
    let mut ended = None;
    loop {
        sleep(POISON_DELAY).await;
        let last = {
            let state = site.lock();
            let Some(path) = state.path(id, index) else {
                return;
            };
            let last = path.last().map(|stage| stage.addr);
            last.and_then(|addr| state.server_at(addr))
        };
        if let Some(server) = last.filter(|server| ended != Some(*server)) {
            ended = Some(server);
            site.end_server(server, id, None);
        }
    }
}

/// Ends the first server of a stream's path once it has begun to write.
async fn end_writing_server(site: &Site, index: usize, id: &str, segment: String) {
    let interval = site.lock().options.event_interval;
    sleep(interval + SEGMENT_DELAY).await;
    let still_runs = site.lock().path(id, index).is_some();
    if still_runs {
        site.end_server(index, id, Some(segment));
    }
}

/// Sends the events of a stream that follow the event `after`.
async fn send_events(site: &Site, index: usize, id: &str, after: u64, sender: &Sender<Chunk>) {
    let (incarnation, event_interval, events, stall_timeout) = {
        let state = site.lock();
        (
            state.servers[index].incarnation,
            state.options.event_interval,
            state.options.events,
            state.options.stall_timeout,
        )
    };
    for event in after + 1..=events {
        let is_large = site.lock().servers[index].current_fault() == ServerFault::LargeEvents;
        if !is_large {
            sleep(event_interval).await;
        }
        if !wait_for_path(site, index, incarnation, id, stall_timeout).await {
            // An error means that the client has disconnected already.
            let _ = sender.send(None).await;
            site.lock().remove_path(id, index);
            return;
        }
        let padding = "x".repeat(if is_large { LARGE_EVENT_BYTES } else { 0 });
        let text = format!("id: {event}\ndata: piece {event} of {id}{padding}\n\n");
        let fault = site.lock().servers[index].current_fault();
        if event == after + CUT_EVENTS && fault == ServerFault::UnframedCut {
            let _ = sender.send(None).await;
            break;
        }
        if event == after + CUT_EVENTS && fault == ServerFault::EndsInEvent {
            let half = text[..text.len() / 2].to_owned();
            let _ = sender.send(Some(Bytes::from(half))).await;
            break;
        }
        if sender.send(Some(Bytes::from(text))).await.is_err() {
            site.lock().ledger.cancelled += 1;
            break;
        }
    }
    site.lock().remove_path(id, index);
}

/// Waits until all servers of a stream's path can run it; returns false if the `stall_timeout` ran
/// out, or this server resets connections or has started again since.
async fn wait_for_path(
    site: &Site,
    index: usize,
    incarnation: u64,
    id: &str,
    stall_timeout: std::time::Duration,
) -> bool {
    let until = tokio::time::Instant::now() + stall_timeout;
    loop {
        let path_ready = {
            let state = site.lock();
            if state.servers[index].incarnation != incarnation {
                return false;
            }
            let fault = state.servers[index].current_fault();
            if fault == ServerFault::ResetsConnections {
                return false;
            }
            let path = state.path(id, index);
            fault != ServerFault::Silent && path.is_some_and(|p| check_path(&state, p).is_ok())
        };
        if path_ready {
            return true;
        }
        if tokio::time::Instant::now() >= until {
            return false;
        }
        sleep(std::time::Duration::from_millis(5)).await;
    }
}
