//! Moves streams whose servers have ended to other servers.
//!
//! Where crossings between failure domains are scarce, each stream gets its own new path, by the
//! predicted time until it continues; see [`plan_move`]. Elsewhere streams with the same old path get
//! the same new one.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use slog::info;
use tokio::time::sleep;

use mustard_adapter::orders::{self, Outcome};
use mustard_core::clock::Moment;
use mustard_core::collections::Map;
use mustard_core::deployment::{Engine, PathPart, ServerKey};
use mustard_core::fingerprint::Fingerprint;
use mustard_policy::pipeline::{
    LayerHolder, MovePlan, MovingStream, Path, PrefillView, RequestDemand, move_order, plan_move,
    replan_path,
};
use mustard_policy::quarantine::Content;

use crate::active_streams::{ActiveStream, ActiveStreamKey};
use crate::app::App;
use crate::crossing_share::is_scarce;
use crate::fleet::{Fleet, LoadGuard, RequestRoom, ServerFilter, ServerProcess};
use crate::forward::{memory_per_server, memory_tokens};
use crate::log_limit::Topic;
use crate::metric;
use crate::placement::{engine_of, send_order};
use crate::retry_budget;
use crate::server_probe::probe_faulty_server;
use crate::stream_watch::{abandon, silent_ms};
use crate::strikes::{self, Failure};

/// The most paths that are ordered to move one stream; another is tried only after a refusal that
/// names the server at fault.
const MAX_REPATHS: u32 = 3;
/// How often one attempt is moved to another path, so that a content that ends servers stops doing so
/// even before their ends show.
const MAX_MOVES: u32 = 10;
/// The age of a plan that is replaced by another one: the process was suspended since.
const MAX_PLAN_AGE: Duration = Duration::from_millis(100);

/// A stream to be moved off servers.
#[derive(Debug)]
pub(crate) struct StrandedStream {
    pub key: ActiveStreamKey,
    /// The servers of its path that don't answer.
    pub faulty: Vec<ServerKey>,
}

/// The new path for each old one, where streams with the same old path get the same new one.
type NewPaths = Map<Vec<PathPart>, Rc<Path>>;

/// Moves streams, first those whose callers have waited longest, of these the most urgent ones.
pub(crate) async fn move_streams(app: Rc<App>, mut stranded: Vec<StrandedStream>) {
    let now = app.now();
    stranded.sort_by_cached_key(|s| {
        let streams = app.streams.borrow();
        let stream = streams.get(s.key);
        stream.map(|s| {
            let tokens = remaining_demand(&s.demand, s.tokens_sent).prompt;
            move_order(now.since(s.progress.last_event), s.rank, tokens)
        })
    });
    let paths = Rc::new(RefCell::new(NewPaths::default()));
    for stream in stranded {
        let pause = app.search_budget.borrow().pause(app.now());
        if !pause.is_zero() {
            sleep(pause).await;
        }
        let Some(mut stream_move) = StreamMove::begin(&app, stream, &paths) else {
            continue;
        };
        if let Some(order) = stream_move.next_order(&app) {
            ntex::rt::spawn(stream_move.run(Rc::clone(&app), order));
        }
    }
}

/// An order to a first server to continue a stream over another path.
struct MoveOrder {
    id: String,
    first_server: ServerProcess,
    path: Rc<Path>,
    planned_at: Moment,
    /// The predicted time until the stream continues, if it was predicted.
    ready_ms: Option<f64>,
    /// The parts that have to process all tokens again, if that was predicted.
    new_parts: Option<usize>,
}

/// The move of one stream.
struct StreamMove {
    key: ActiveStreamKey,
    content: Content,
    segments: Rc<[Fingerprint]>,
    /// The servers that the new path avoids.
    faulty: Vec<ServerKey>,
    paths: Rc<RefCell<NewPaths>>,
}

impl StreamMove {
    /// Counts a move of a stream; `None` if the stream has ended, is being moved or was moved off the faulty
    /// servers meanwhile, or was moved too often, in which case its attempt is abandoned.
    fn begin(
        app: &Rc<App>,
        stranded: StrandedStream,
        paths: &Rc<RefCell<NewPaths>>,
    ) -> Option<Self> {
        let StrandedStream { key, faulty } = stranded;
        let run = {
            let mut streams = app.streams.borrow_mut();
            let stream = streams.get_mut(key)?;
            if stream.moving || !faulty.iter().any(|key| stream.uses_server(*key)) {
                return None;
            }
            let run = stream.failed_run(Failure::Stalled);
            stream.moves += 1;
            (stream.moves <= MAX_MOVES).then_some(run)
        };
        let Some(run) = run else {
            abandon(app, key, "moved too often");
            return None;
        };
        let stream_move = StreamMove {
            key,
            content: run.content,
            segments: Rc::clone(&run.segments),
            faulty,
            paths: Rc::clone(paths),
        };
        strikes::record_run(app, run);
        Some(stream_move)
    }

    /// Returns the next order, and marks the stream as moving; `None` if its attempt is abandoned instead.
    fn next_order(&mut self, app: &Rc<App>) -> Option<MoveOrder> {
        let (content, key) = (self.content, self.key);
        if strikes::is_quarantined(app, content) || strikes::is_blocked(app, &self.segments) {
            abandon(app, key, "content ends servers");
            return None;
        }
        match self.find_path(app)? {
            Found::Path(order) => Some(order),
            Found::Restart(cause) => {
                abandon(app, key, cause);
                None
            }
        }
    }

    /// Orders the first server to continue the stream over a path that avoids the servers out of use.
    async fn run(mut self, app: Rc<App>, mut order: MoveOrder) {
        let key = self.key;
        for _ in 0..MAX_REPATHS {
            if app.now().since(order.planned_at) > MAX_PLAN_AGE {
                cancel_work(&app, &order.id);
                match self.replan(&app) {
                    Some(next) => order = next,
                    None => return,
                }
            }
            let path = &order.path.parts;
            let body = orders::encode_repath(&order.id, path, None);
            let result = send_order(&app, &order.first_server, body).await;
            let moved = matches!(result, Ok((Outcome::Begun | Outcome::Done, _)));
            metric::count_order("repath", if moved { "done" } else { "failed" });
            let Some(silent) = record_repath(&app, key, path, moved) else {
                return;
            };
            if let Some(log) = app.log.logger_for(Topic::Stream) {
                info!(log, "watch: A server was ordered to move a stream."; "request" => &order.id,
                    "silent_ms" => silent, "parts" => path.len(), "outcome" => format!("{result:?}"),
                    "ready_ms" => order.ready_ms.map(|ms| ms as u64), "new_parts" => order.new_parts,
                    "gateways" => app.gateway_count(), "view_ms" => app.list_age_ms(),
                    "plan_age_ms" => app.now().ms_since(order.planned_at));
            }
            if moved {
                metric::count_moved_stream("repath");
                return recount_load(&app, key, path);
            }
            cancel_work(&app, &order.id);
            if matches!(result, Ok((Outcome::Moved, _))) {
                probe_faulty_server(&app, order.first_server.key);
            }
            let named = match result {
                Ok((Outcome::Conflict, Some(addr))) => path.iter().find(|p| p.addr == addr),
                _ => None,
            };
            let Some(faulty) = named.map(|p| p.server) else {
                break;
            };
            app.fleet.borrow_mut().record_refusal(app.now(), faulty);
            self.paths.borrow_mut().clear();
            self.faulty.push(faulty);
            probe_faulty_server(&app, faulty);
            match self.next_order(&app) {
                Some(next) => order = next,
                None => return,
            }
        }
        abandon(&app, key, "first server didn't accept the new path");
    }

    /// Replaces an order that wasn't sent.
    fn replan(&mut self, app: &Rc<App>) -> Option<MoveOrder> {
        if let Some(stream) = app.streams.borrow_mut().get_mut(self.key) {
            stream.moving = false;
        }
        self.paths.borrow_mut().clear();
        self.next_order(app)
    }

    /// Returns how the stream is to continue, `None` if it has ended or its service is gone.
    fn find_path(&self, app: &App) -> Option<Found> {
        let mut streams = app.streams.borrow_mut();
        let stream = streams.get_mut(self.key)?;
        let first = *stream.parts.first()?;
        let Some(first_server) = app.fleet.borrow().process(first.server) else {
            return Some(Found::Restart("first server gone"));
        };
        let config = app.config();
        let engine = config.as_ref().and_then(|c| engine_of(c, &stream.service));
        let Some(engine) = engine else {
            return Some(Found::NO_PATH);
        };
        let now = app.now();
        let (path, predicted) = if is_scarce(app, engine, &stream.service) {
            let plan = predict_move(app, stream, engine, &self.faulty);
            let ended = app.now();
            app.search_budget.borrow_mut().record(now, ended);
            match plan {
                Some(MovePlan::Repath(predicted)) => {
                    (Rc::new(predicted.path.clone()), Some(predicted))
                }
                Some(MovePlan::Restart(Some(predicted))) if stream.may_restart => {
                    stream.may_restart = false;
                    record_work(app, &stream.id, &predicted.work);
                    if let Some(log) = app.log.logger_for(Topic::Stream) {
                        info!(log, "watch: A new attempt takes the place of a move."; "request" => &stream.id,
                            "silent_ms" => silent_ms(now, stream.progress.last_event),
                            "ready_ms" => predicted.ready_ms as u64, "gateways" => app.gateway_count(),
                            "view_ms" => app.list_age_ms());
                    }
                    metric::count_moved_stream("restart");
                    return Some(Found::Restart("a new attempt continues sooner"));
                }
                _ => return Some(Found::NO_PATH),
            }
        } else {
            let known = self.paths.borrow().get(&stream.parts).cloned();
            let path = known.or_else(|| {
                let path = Rc::new(search_path(app, stream, first, engine)?);
                let mut paths = self.paths.borrow_mut();
                paths.insert(stream.parts.clone(), Rc::clone(&path));
                Some(path)
            });
            match path {
                Some(path) => (path, None),
                None => return Some(Found::NO_PATH),
            }
        };
        // The new parts read the prompt again. Another server may begin anew within one failure domain
        // instead.
        if !app.take_crossings(engine, &stream.service, &stream.id, path.crossings) {
            return Some(Found::NO_PATH);
        }
        stream.moving = true;
        if let Some(predicted) = &predicted {
            record_work(app, &stream.id, &predicted.work);
        }
        Some(Found::Path(MoveOrder {
            id: stream.id.clone(),
            first_server,
            path,
            planned_at: now,
            ready_ms: predicted.as_ref().map(|p| p.ready_ms),
            new_parts: predicted.map(|p| p.work.len()),
        }))
    }
}

/// What a search for a path found.
enum Found {
    Path(MoveOrder),
    /// The attempt is abandoned for this cause, so that a new one continues the stream.
    Restart(&'static str),
}

impl Found {
    const NO_PATH: Found = Found::Restart("no other path");
}

/// Records the prefill work of an order or a new attempt of a request, in place of an earlier one.
pub(crate) fn record_work(app: &App, request: &str, work: &[(ServerKey, f64)]) {
    let gateways = app.gateway_count() as f64;
    let order = Fingerprint::of(&[request.as_bytes()]);
    let mut prefill = app.prefill.borrow_mut();
    prefill.cancel(order);
    prefill.record(app.now(), order, work, gateways);
}

/// Removes the work of an order or a new attempt that no server has accepted.
pub(crate) fn cancel_work(app: &App, request: &str) {
    let order = Fingerprint::of(&[request.as_bytes()]);
    app.prefill.borrow_mut().cancel(order);
}

/// Returns the demand of a stream that continues after some tokens.
pub(crate) fn remaining_demand(demand: &RequestDemand, tokens_sent: u64) -> RequestDemand {
    let sent = tokens_sent as f64;
    RequestDemand {
        prompt: demand.prompt + sent,
        answer: (demand.answer - sent).max(1.0),
        ..*demand
    }
}

/// Records the result of an order to move a stream; returns for how many milliseconds the stream
/// has been silent, or `None` if it has ended.
fn record_repath(
    app: &App,
    key: ActiveStreamKey,
    new_path: &[PathPart],
    moved: bool,
) -> Option<u64> {
    let now = app.now();
    let mut streams = app.streams.borrow_mut();
    let stream = streams.get_mut(key)?;
    stream.moving = false;
    if moved {
        stream.parts = new_path.to_vec();
        let keys = new_path.iter().map(|p| p.server);
        stream.processes = app.fleet.borrow().processes(keys);
        stream.sent_at = now;
        stream.progress.record_move(now);
    }
    Some(silent_ms(now, stream.progress.last_event))
}

/// Counts a moved stream at the servers of its new path instead of those of the old one.
fn recount_load(app: &Rc<App>, key: ActiveStreamKey, new_path: &[PathPart]) {
    let demand = match app.streams.borrow().get(key) {
        Some(stream) => stream.demand,
        None => return,
    };
    let load = LoadGuard::begin(app, memory_per_server(new_path, &demand));
    let old = {
        let mut streams = app.streams.borrow_mut();
        streams
            .get_mut(key)
            .map(|s| std::mem::replace(&mut s.load, load))
    };
    drop(old);
}

/// Returns the room that a stream needs, where requests are admitted by priority. Its caller has begun to
/// read, so it may use the room of the most urgent requests.
fn needed_room(app: &App, stream: &ActiveStream) -> Option<RequestRoom> {
    let config = app.config()?;
    config.priority_levels(&stream.service)?;
    Some(RequestRoom {
        tokens: memory_tokens(&stream.demand),
        rank: 0,
    })
}

/// Decides how a stream continues without the faulty servers.
fn predict_move(
    app: &App,
    stream: &ActiveStream,
    engine: &Engine,
    faulty: &[ServerKey],
) -> Option<MovePlan> {
    let now = app.now();
    let room = needed_room(app, stream);
    let gateways = app.gateway_count() as f64;
    let may_restart = stream.may_restart
        && retry_budget::with_share(app, &stream.service, |share| share.remaining() >= 1.0);
    let demand = remaining_demand(&stream.demand, stream.tokens_sent);
    let fleet = app.fleet.borrow();
    let running = running_holders(&fleet, stream, engine, now, gateways, faulty);
    let plan = |filter| {
        let mut holders =
            fleet.holders_with_room(&stream.service, engine, now, gateways, filter, room);
        holders.retain(|h| !faulty.contains(&h.server));
        let view = PrefillView {
            engine,
            holders: &holders,
            load: &app.prefill.borrow(),
            gateways,
            now,
        };
        let moving = MovingStream {
            parts: &stream.parts,
            running: &running,
            demand: &demand,
            silent_ms: now.since(stream.progress.last_event).as_secs_f64() * 1e3,
            may_restart,
        };
        plan_move(&view, &moving, &mut *app.rng.borrow_mut())
    };
    let chosen = plan(ServerFilter::IncludeMissing);
    if chosen != MovePlan::Restart(None) || fleet.ejected_count() == 0 {
        return Some(chosen);
    }
    Some(plan(ServerFilter::LastResort))
}

/// Returns the servers on a stream's path that still run it, as far as this gateway knows. They may be out of
/// use for new requests.
fn running_holders(
    fleet: &Fleet,
    stream: &ActiveStream,
    engine: &Engine,
    now: Moment,
    gateways: f64,
    faulty: &[ServerKey],
) -> Vec<LayerHolder> {
    let parts = stream.parts.iter().enumerate();
    let running = parts.filter_map(|(i, part)| {
        let server = fleet.get(part.server)?;
        let holder = server.holder(part.server, engine, now, gateways)?;
        let holds_part =
            holder.layers.first <= part.layers.first && part.layers.end <= holder.layers.end;
        // The first server of a stream takes orders, whatever else is known of it.
        let is_running = i == 0
            || (server.silent_since.is_none()
                && !server.has_no_listener
                && !server.backoff.is_faulty(now)
                && holds_part);
        (is_running && !faulty.contains(&part.server)).then_some(holder)
    });
    running.collect()
}

fn search_path(app: &App, stream: &ActiveStream, first: PathPart, engine: &Engine) -> Option<Path> {
    let now = app.now();
    let room = needed_room(app, stream);
    let gateways = app.gateway_count() as f64;
    let fleet = app.fleet.borrow();
    let search = |filter| {
        let mut holders =
            fleet.holders_with_room(&stream.service, engine, now, gateways, filter, room);
        if !holders.iter().any(|h| h.server == first.server) {
            // The first server may be out of use for new requests and still serve this one.
            let server = fleet.get(first.server)?;
            holders.push(server.holder(first.server, engine, now, gateways)?);
        }
        let mut rng = app.rng.borrow_mut();
        replan_path(engine, &holders, &stream.demand, first, &mut *rng)
    };
    let chosen = search(ServerFilter::IncludeMissing);
    if chosen.is_some() || fleet.ejected_count() == 0 {
        return chosen;
    }
    search(ServerFilter::LastResort)
}
