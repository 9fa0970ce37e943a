//! The model servers of a stand-in site: layers, orders, streams over several servers.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll};

use ntex::http::{Response, StatusCode};
use ntex::util::{Bytes, Stream};
use serde_json::{Value, json};
use tokio::sync::mpsc::{Receiver, Sender, channel};
use tokio::time::sleep;

use super::http::{Call, json};
use super::plain::{is_misdirected, misdirected, note_run};
use super::{Health, LAYERS, Site};

/// One part of a path.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Hop {
    addr: SocketAddr,
    first: u32,
    end: u32,
}

/// What is wrong with a path.
enum Fault {
    /// The server at the address doesn't hold its part.
    Lacks(SocketAddr),
    /// The server at the address is out of service.
    Down(SocketAddr),
}

pub(super) async fn answer(site: &Site, index: usize, call: Call) -> Response {
    match (call.method.as_str(), call.path.as_str()) {
        ("GET", "/v1/report") => report(site, index),
        ("POST", "/v1/order") => order(site, index, &call),
        _ => stream(site, index, &call),
    }
}

fn report(site: &Site, index: usize) -> Response {
    let state = site.lock();
    let server = &state.servers[index];
    let own = state.addrs[index];
    let layers: Vec<Value> = server
        .held
        .iter()
        .map(|(a, b)| json!({"from": a, "to": b, "version": 1}))
        .collect();
    let stalled: Vec<Value> = state
        .paths
        .iter()
        .filter(|(_, path)| path.first().is_some_and(|h| h.addr == own))
        .filter_map(
            |(id, path)| match check(&state.addrs, &state.servers, path) {
                Err(Fault::Down(addr) | Fault::Lacks(addr)) => {
                    Some(json!({"id": id, "address": addr.to_string()}))
                }
                Ok(()) => None,
            },
        )
        .collect();
    json(
        200,
        &json!({"stage": "combined", "busy": server.busy, "seq": server.orders,
        "born": server.born, "pace": 1.0, "kv_in_use": 0, "kv_total": 100_000, "queued": 0,
        "in_flight": 0, "kind": "card", "layers": layers, "stalled": stalled}),
    )
}

fn order(site: &Site, index: usize, call: &Call) -> Response {
    let body: Value = serde_json::from_slice(&call.body).unwrap_or_default();
    match body["op"].as_str() {
        Some("place") => place(site, index, &body),
        Some("repath") => repath(site, index, &body),
        _ => json(400, &json!({})),
    }
}

fn place(site: &Site, index: usize, body: &Value) -> Response {
    let number = |name: &str| body[name].as_u64().unwrap_or(0);
    let (first, end) = (number("from") as u32, number("to") as u32);
    let (load, born) = {
        let mut state = site.lock();
        let (capacity, load) = (state.options.capacity, state.options.load);
        let server = &mut state.servers[index];
        let fence = number("fence");
        if fence < server.fence {
            return json(412, &json!({}));
        }
        if server.busy || number("precondition") != server.orders {
            return json(409, &json!({}));
        }
        server.fence = fence;
        server.orders += 1;
        if end - first > capacity {
            // An order for more than the memory holds ends the server.
            server.health = Health::Silent;
            return json(202, &json!({}));
        }
        server.held = None;
        server.busy = true;
        let born = server.born;
        state.ledger.placed.push((index, first, end));
        (load, born)
    };
    let site = site.clone();
    ntex::rt::spawn(async move {
        sleep(load).await;
        {
            let server = &mut site.lock().servers[index];
            if server.born != born {
                return;
            }
            server.held = Some((first, end));
            server.busy = false;
        }
        site.write_row(index);
    });
    json(202, &json!({}))
}

fn repath(site: &Site, index: usize, body: &Value) -> Response {
    let id = body["id"].as_str().unwrap_or_default();
    let Some(path) = body["path"].as_str().and_then(parse) else {
        return json(400, &json!({}));
    };
    let mut state = site.lock();
    let own = state.addrs[index];
    let known = state.paths.get(id).and_then(|p| p.first()).copied();
    if known.is_none_or(|h| h.addr != own || path.first() != Some(&h)) {
        return json(404, &json!({}));
    }
    if let Err(Fault::Lacks(addr) | Fault::Down(addr)) = check(&state.addrs, &state.servers, &path)
    {
        return json(409, &json!({"address": addr.to_string()}));
    }
    state.ledger.moved += 1;
    state.paths.insert(id.to_owned(), path);
    json(200, &json!({}))
}

fn parse(text: &str) -> Option<Vec<Hop>> {
    let hop = |part: &str| {
        let (addr, layers) = part.split_once('=')?;
        let (first, end) = layers.split_once('-')?;
        Some(Hop {
            addr: addr.parse().ok()?,
            first: first.parse().ok()?,
            end: end.parse().ok()?,
        })
    };
    text.split(',').map(hop).collect()
}

fn check(
    addrs: &[SocketAddr],
    servers: &[super::Server],
    path: &[Hop],
) -> std::result::Result<(), Fault> {
    let mut next = 0;
    for hop in path {
        let index = addrs.iter().position(|a| *a == hop.addr);
        let server = index.map(|i| &servers[i]).ok_or(Fault::Down(hop.addr))?;
        if matches!(server.health, Health::Silent | Health::Resets) {
            return Err(Fault::Down(hop.addr));
        }
        let holds = server
            .held
            .is_some_and(|(a, b)| a <= hop.first && hop.end <= b);
        if !holds || hop.first != next {
            return Err(Fault::Lacks(hop.addr));
        }
        next = hop.end;
    }
    let last = path
        .last()
        .map_or_else(|| SocketAddr::from(([0, 0, 0, 0], 0)), |h| h.addr);
    if next == LAYERS {
        Ok(())
    } else {
        Err(Fault::Lacks(last))
    }
}

fn stream(site: &Site, index: usize, call: &Call) -> Response {
    if is_misdirected(site, index, call) {
        return misdirected();
    }
    let path = call
        .header("hop-count")
        .as_deref()
        .and_then(parse)
        .unwrap_or_default();
    let own = site.addrs()[index];
    let checked = {
        let state = site.lock();
        check(&state.addrs, &state.servers, &path)
    };
    if path.first().is_none_or(|h| h.addr != own) {
        return json(400, &json!({}));
    }
    if let Err(fault) = checked {
        let (status, addr) = match fault {
            Fault::Lacks(addr) => (421, addr),
            Fault::Down(addr) => (503, addr),
        };
        let mut out = Response::build(StatusCode::from_u16(status).unwrap_or(StatusCode::OK));
        out.header("not-executed", "1")
            .header("at-server", addr.to_string());
        return out.finish();
    }
    let id = note_run(site, index, call);
    let after = call
        .header("last-event-id")
        .and_then(|v| v.parse().ok())
        .unwrap_or(0);
    site.lock().paths.insert(id.clone(), path);
    let (sender, receiver) = channel(4);
    let mut out = Response::Ok();
    out.header("attempt-id", id.clone())
        .header("response-seal", format!("seal-{id}"));
    out.content_type("text/event-stream");
    let body = Body {
        receiver,
        io: call.io(),
    };
    let site = site.clone();
    ntex::rt::spawn(async move { produce(&site, index, &id, after, &sender).await });
    out.streaming(body)
}

/// An end of a stream: none closes the connection in the middle of it.
type Piece = Option<Bytes>;

struct Body {
    receiver: Receiver<Piece>,
    io: Option<ntex::io::IoRef>,
}

impl Stream for Body {
    type Item = Result<Bytes, Infallible>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        match self.receiver.poll_recv(cx) {
            Poll::Ready(Some(Some(bytes))) => Poll::Ready(Some(Ok(bytes))),
            Poll::Ready(Some(None)) => {
                if let Some(io) = &self.io {
                    io.terminate();
                }
                Poll::Pending
            }
            Poll::Ready(None) => Poll::Ready(None),
            Poll::Pending => Poll::Pending,
        }
    }
}

async fn produce(site: &Site, index: usize, id: &str, after: u64, sender: &Sender<Piece>) {
    let (pause, events, stall) = {
        let state = site.lock();
        (
            state.options.pause,
            state.options.events,
            state.options.stall,
        )
    };
    for event in after + 1..=events {
        sleep(pause).await;
        if !wait_for_path(site, index, id, stall).await {
            // Whoever reads may have left already.
            let _ = sender.send(None).await;
            return;
        }
        let text = format!("id: {event}\ndata: piece {event} of {id}\n\n");
        if sender.send(Some(Bytes::from(text))).await.is_err() {
            site.lock().ledger.cancelled += 1;
            break;
        }
    }
    site.lock().paths.remove(id);
}

/// Waits until every server of the path answers; tells whether that came in time.
async fn wait_for_path(site: &Site, index: usize, id: &str, stall: std::time::Duration) -> bool {
    let until = tokio::time::Instant::now() + stall;
    loop {
        let whole = {
            let state = site.lock();
            let own = state.servers[index].health;
            if own == Health::Resets {
                return false;
            }
            let path = state.paths.get(id);
            own != Health::Silent
                && path.is_some_and(|p| check(&state.addrs, &state.servers, p).is_ok())
        };
        if whole {
            return true;
        }
        if tokio::time::Instant::now() >= until {
            return false;
        }
        sleep(std::time::Duration::from_millis(5)).await;
    }
}
