//! Choice of where streams continue after a server of their path has ended.
//!
//! Each new part of a path has to process all tokens so far (prefill) before the stream continues, and a
//! server prefills one stream after another. Streams of an ended server therefore continue soonest if
//! they keep the parts that still run and spread over the other holders of the lost layers. All
//! processes do this at the same moment, so each counts the work that it orders once for every process.

use std::cmp::Reverse;
use std::time::Duration;

use rand::Rng;
use rand::RngCore;

use mustard_core::clock::Moment;
use mustard_core::collections::Map;
use mustard_core::deployment::{Engine, PathPart, ServerKey};
use mustard_core::fingerprint::Fingerprint;
use mustard_core::ids::Layers;

use super::path::{
    CROSSING_WEIGHT, FULL_SHARE, HOP_MS, JITTER, LayerHolder, PartCost, Path, Reached,
    RequestDemand, find_path, transfer_ms,
};

/// For how long ordered work counts; the reports of a server show its later load.
const WORK_AGE: Duration = Duration::from_secs(1);
/// The tokens that an engine prefills at once, and the token steps that it runs between two such chunks.
const CHUNK_TOKENS: f64 = 512.0;
const STEPS_PER_CHUNK: f64 = 4.0;
/// The pause up to which a caller doesn't count a stream as late; set by
/// `docs/design/load-control-2.md`, part 1.
const MAX_PAUSE_MS: f64 = 250.0;
/// The time that is expected to be lost on a part at a server whose memory is full, in milliseconds. A refused
/// order and a new attempt take about 250 ms, and such a server refused half of the attempts on trouble-2.
const FULL_MS: f64 = 125.0;
/// The surcharge on a part in place of one that still runs, in milliseconds. Such a part is replaced only if its
/// stream continues sooner by more than this, as a new server may refuse the part.
const REPLACED_MS: f64 = 5.0;
/// The weight of the time for the rest of the answer. A path whose servers are slower costs its stream less
/// than a pause that is too long.
const ANSWER_WEIGHT: f64 = 0.1;

/// The elapsed time that searches may take at once, and the share of the time that they may take later.
const MAX_SEARCH_TIME: Duration = Duration::from_millis(5);
const SEARCH_SHARE: f64 = 0.2;
/// The time that has to be left for the next search.
const SEARCH_TIME: Duration = Duration::from_millis(1);

/// The elapsed time that searches for moves may still take, so that orders are sent and events forwarded
/// in between.
#[derive(Clone, Copy, Debug)]
pub struct SearchBudget {
    /// Negative after a search that took longer than was left.
    saved_ms: f64,
    updated_at: Moment,
}

impl Default for SearchBudget {
    fn default() -> Self {
        SearchBudget {
            saved_ms: millis(MAX_SEARCH_TIME),
            updated_at: Moment::default(),
        }
    }
}

impl SearchBudget {
    fn saved_ms(&self, now: Moment) -> f64 {
        let gained = SEARCH_SHARE * millis(now.since(self.updated_at));
        (self.saved_ms + gained).min(millis(MAX_SEARCH_TIME))
    }

    /// Records a search. One during which the process was suspended counts as one of the longest.
    pub fn record(&mut self, began: Moment, ended: Moment) {
        let took = ended.since(began).min(MAX_SEARCH_TIME);
        self.saved_ms = (self.saved_ms(began) - millis(took)).max(-millis(MAX_SEARCH_TIME));
        self.updated_at = ended;
    }

    /// Returns the time until the next search; zero if it may begin now.
    pub fn pause(&self, now: Moment) -> Duration {
        let saved = self.saved_ms(now);
        if saved >= millis(SEARCH_TIME) {
            return Duration::ZERO;
        }
        let missing = millis(SEARCH_TIME) - saved;
        Duration::from_secs_f64(missing / SEARCH_SHARE / 1e3)
    }
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1e3
}

/// Callers whose waits differ by less have waited as long; streams of one ended server differ by about the
/// pause between two events.
const SAME_WAIT: Duration = Duration::from_millis(30);

/// Work that was ordered at a server.
#[derive(Clone, Copy, Debug)]
struct OrderedWork {
    order: Fingerprint,
    at: Moment,
    work_ms: f64,
}

/// The prefill work that this process has ordered, by server.
#[derive(Clone, Debug, Default)]
pub struct PrefillLoad {
    servers: Map<ServerKey, Vec<OrderedWork>>,
}

impl PrefillLoad {
    /// Records the work of an order, in milliseconds by server. Each of `gateways` processes is assumed to
    /// order as much.
    pub fn record(
        &mut self,
        now: Moment,
        order: Fingerprint,
        work: &[(ServerKey, f64)],
        gateways: f64,
    ) {
        self.retain(|w| now.since(w.at) < WORK_AGE);
        for &(server, ms) in work {
            self.servers.entry(server).or_default().push(OrderedWork {
                order,
                at: now,
                work_ms: ms * gateways,
            });
        }
    }

    /// Removes the work of an order that no server has accepted, or that another one replaces.
    pub fn cancel(&mut self, order: Fingerprint) {
        self.retain(|w| w.order != order);
    }

    fn retain(&mut self, is_kept: impl Fn(&OrderedWork) -> bool) {
        self.servers.retain(|_, ordered| {
            ordered.retain(&is_kept);
            !ordered.is_empty()
        });
    }

    /// Returns the time until a server has done the work that was ordered there, in milliseconds.
    pub fn wait_ms(&self, now: Moment, server: ServerKey) -> f64 {
        let ordered = self.servers.get(&server).into_iter().flatten();
        let recent = ordered.filter(|w| now.since(w.at) < WORK_AGE);
        let ms = |at: Moment| at.0 as f64 / 1e3;
        let free = recent.fold(0.0, |free: f64, w| free.max(ms(w.at)) + w.work_ms);
        (free - ms(now)).max(0.0)
    }
}

/// What predictions are made from.
#[derive(Clone, Copy)]
pub struct PrefillView<'a> {
    /// The engine of the service.
    pub engine: &'a Engine,
    /// The servers that take new parts.
    pub holders: &'a [LayerHolder],
    /// The work that this process has ordered.
    pub load: &'a PrefillLoad,
    /// The number of gateways.
    pub gateways: f64,
    /// The current time.
    pub now: Moment,
}

/// A stream that is to be moved off servers.
#[derive(Clone, Copy)]
pub struct MovingStream<'a> {
    /// Its path.
    pub parts: &'a [PathPart],
    /// The servers of its path that still run; the first one among them.
    pub running: &'a [LayerHolder],
    /// The tokens so far as the prompt, and the tokens to come as the answer.
    pub demand: &'a RequestDemand,
    /// The time since its last event, in milliseconds.
    pub silent_ms: f64,
    /// Whether a new attempt may take the place of a move.
    pub may_restart: bool,
}

/// A path and when it is predicted to continue a stream.
#[derive(Clone, Debug, PartialEq)]
pub struct Prediction {
    /// The path.
    pub path: Path,
    /// The time until the stream continues, in milliseconds.
    pub ready_ms: f64,
    /// The prefill work that it takes at each server, in milliseconds.
    pub work: Vec<(ServerKey, f64)>,
}

/// How a stream is to continue.
#[derive(Clone, Debug, PartialEq)]
pub enum MovePlan {
    /// Over this path, by an order to its first server.
    Repath(Prediction),
    /// By a new attempt, which probably takes this path; `None` if no path is known now.
    Restart(Option<Prediction>),
}

/// The time until a stream continues over a path, with surcharges.
struct ContinueCost<'a> {
    view: &'a PrefillView<'a>,
    /// The candidates, which may include servers that take no new parts.
    holders: &'a [LayerHolder],
    demand: &'a RequestDemand,
    /// The parts that have processed all tokens so far.
    kept: Vec<PathPart>,
    /// Of each candidate, the time until it has done the ordered work.
    waits: Vec<f64>,
    /// Of each candidate, a random factor on its work, by which gateways with the same view choose
    /// different servers.
    factors: Vec<f64>,
    /// Of each candidate, how many other gateways have probably ordered the same work just before.
    ahead: Vec<f64>,
    /// Of each candidate, whether it would probably refuse a new part.
    is_full: Vec<bool>,
}

impl<'a> ContinueCost<'a> {
    fn new(
        view: &'a PrefillView<'a>,
        holders: &'a [LayerHolder],
        demand: &'a RequestDemand,
        kept: Vec<PathPart>,
        rng: &mut dyn RngCore,
    ) -> Self {
        let waits = holders
            .iter()
            .map(|h| view.load.wait_ms(view.now, h.server));
        let factors = holders.iter().map(|_| 1.0 + JITTER * rng.random::<f64>());
        let factors = factors.collect();
        // A random place in the queue of each server spreads the streams of gateways that have the same view, in
        // proportion to the speeds of the servers.
        let others = (view.gateways - 1.0).max(0.0);
        let ahead = holders.iter().map(|_| others * rng.random::<f64>());
        let takes_parts = |h: &LayerHolder| view.holders.iter().any(|v| v.server == h.server);
        let is_full = holders
            .iter()
            .map(|h| h.memory_share >= FULL_SHARE || !takes_parts(h));
        ContinueCost {
            view,
            holders,
            demand,
            kept,
            waits: waits.collect(),
            factors,
            ahead: ahead.collect(),
            is_full: is_full.collect(),
        }
    }

    /// Searches for the path that continues a stream soonest; `first` is its first part, if that is given.
    fn search(&self, first: Option<PathPart>) -> Option<Prediction> {
        let first = match first {
            Some(part) => {
                let index = self.holders.iter().position(|h| h.server == part.server)?;
                Some((index, part.layers))
            }
            None => None,
        };
        let kept = self.kept.iter();
        let cuts: Vec<u32> = kept.flat_map(|p| [p.layers.first, p.layers.end]).collect();
        let engine = self.view.engine;
        let (path, ready_ms) = find_path(engine, self.holders, self, first, &cuts)?;
        let new_parts = path.parts.iter().filter(|p| !self.kept.contains(p));
        let work = new_parts.filter_map(|part| {
            let holder = self.holders.iter().find(|h| h.server == part.server)?;
            Some((part.server, self.work_ms(holder, part.layers)))
        });
        Some(Prediction {
            work: work.collect(),
            path,
            ready_ms,
        })
    }

    /// Returns how long a server prefills all tokens so far in some of its layers, with the token steps
    /// of other streams in between.
    fn work_ms(&self, holder: &LayerHolder, layers: Layers) -> f64 {
        let engine = self.view.engine;
        let share = |count: u32| f64::from(count) / f64::from(engine.layers.max(1));
        let tokens = self.demand.prompt;
        let prefill_ms = tokens / engine.step_time.prompt_rate.max(1.0) * 1e3;
        let step_ms = engine.step_time.base_ms * holder.step_factor * share(holder.layers.count());
        let pauses = (tokens / CHUNK_TOKENS).ceil() - 1.0;
        prefill_ms * holder.prompt_factor * share(layers.count())
            + pauses.max(0.0) * STEPS_PER_CHUNK * step_ms
    }
}

impl PartCost for ContinueCost<'_> {
    fn extend(&self, reached: Reached, from: Option<u32>, index: usize, layers: Layers) -> Reached {
        let engine = self.view.engine;
        let holder = &self.holders[index];
        let share = f64::from(layers.count()) / f64::from(engine.layers.max(1));
        let step_ms = engine.step_time.base_ms * holder.step_factor * share + HOP_MS;
        let mut surcharge = ANSWER_WEIGHT * self.demand.answer * step_ms;
        let transfer = match from {
            Some(domain) if domain != holder.domain => transfer_ms(engine, self.demand.prompt),
            _ => 0.0,
        };
        surcharge += transfer * CROSSING_WEIGHT;
        let part = PathPart {
            server: holder.server,
            addr: holder.addr,
            layers,
        };
        let Reached {
            mut own_ms,
            mut ahead_ms,
            ..
        } = reached;
        if !self.kept.contains(&part) {
            // A server is on a path only once, so another part at it replaces its own one.
            let replaces = |p: &PathPart| {
                let overlaps = p.layers.first < layers.end && layers.first < p.layers.end;
                overlaps || p.server == holder.server
            };
            if self.kept.iter().any(replaces) {
                surcharge += REPLACED_MS;
            }
            let work = self.work_ms(holder, layers) * self.factors[index];
            own_ms = (own_ms + transfer).max(self.waits[index]) + work;
            if self.is_full[index] {
                own_ms += FULL_MS;
            }
            // Streams of other gateways pass through the servers of a path one behind another, as fast as
            // the slowest of these.
            ahead_ms = ahead_ms.max(work * self.ahead[index]);
        }
        Reached {
            cost: reached.cost + (own_ms + ahead_ms) - reached.ready_ms() + surcharge,
            own_ms,
            ahead_ms,
        }
    }
}

/// Returns the key by which streams move in ascending order: first those whose callers have waited longest,
/// of these the most urgent, of these the ones with the least to prefill, so that few wait for long
/// prompts. `rank` is the number of more urgent priorities.
pub fn move_order(silent: Duration, rank: usize, tokens: f64) -> (Reverse<u128>, usize, u64) {
    let waited = silent.as_millis() / SAME_WAIT.as_millis();
    (Reverse(waited), rank, tokens as u64)
}

/// Chooses the path over which a new attempt continues a stream soonest.
pub fn choose_soonest(
    view: &PrefillView,
    demand: &RequestDemand,
    rng: &mut dyn RngCore,
) -> Option<Prediction> {
    let mut search = |holders: &[LayerHolder]| {
        ContinueCost::new(view, holders, demand, Vec::new(), rng).search(None)
    };
    let mut domains: Vec<u32> = view.holders.iter().map(|h| h.domain).collect();
    domains.sort_unstable();
    domains.dedup();
    // The searches within the domains together took 29 us on B, one over all servers 52 us. Only the latter
    // finds paths that cross.
    let within = domains.into_iter().filter_map(|domain| {
        let holders = view.holders.iter().filter(|h| h.domain == domain);
        search(&holders.cloned().collect::<Vec<_>>())
    });
    let soonest = within.min_by(|a, b| a.path.cost.total_cmp(&b.path.cost));
    soonest.or_else(|| search(view.holders))
}

/// Decides how a stream continues whose path lost servers.
///
/// The parts whose servers still run stay wherever the lost layers have holders in the failure domains of
/// the path. A new attempt takes the place of a move that is predicted to be late if it continues the
/// stream sooner, and of one that crosses between failure domains if its own path doesn't.
pub fn plan_move(view: &PrefillView, stream: &MovingStream, rng: &mut dyn RngCore) -> MovePlan {
    let moved = find_move(view, stream, rng);
    let crosses = |p: &Prediction| p.path.crossings > 0;
    let is_in_time = |p: &Prediction| !crosses(p) && stream.silent_ms + p.ready_ms <= MAX_PAUSE_MS;
    match moved {
        Some(moved) if !stream.may_restart || is_in_time(&moved) => MovePlan::Repath(moved),
        moved => {
            let restart = choose_soonest(view, stream.demand, rng);
            match (moved, restart) {
                // The prediction doesn't cover the other requests that use the bandwidth between domains.
                (Some(moved), Some(restart))
                    if restart.ready_ms < moved.ready_ms
                        || (crosses(&moved) && !crosses(&restart)) =>
                {
                    MovePlan::Restart(Some(restart))
                }
                (Some(moved), _) => MovePlan::Repath(moved),
                (None, restart) => MovePlan::Restart(restart),
            }
        }
    }
}

fn find_move(
    view: &PrefillView,
    stream: &MovingStream,
    rng: &mut dyn RngCore,
) -> Option<Prediction> {
    let first = *stream.parts.first()?;
    let running = |server: ServerKey| stream.running.iter().find(|h| h.server == server);
    let (kept, lost): (Vec<PathPart>, Vec<PathPart>) = stream
        .parts
        .iter()
        .partition(|p| running(p.server).is_some());
    let is_new = |h: &&LayerHolder| running(h.server).is_none();
    let is_near = |h: &&LayerHolder| {
        let holds_lost =
            |p: &PathPart| h.layers.first < p.layers.end && p.layers.first < h.layers.end;
        stream.running.iter().any(|r| r.domain == h.domain) && lost.iter().any(holds_lost)
    };
    let others: Vec<&LayerHolder> = view.holders.iter().filter(is_new).collect();
    let mut search = |added: Vec<&LayerHolder>| {
        let added = added.into_iter().cloned();
        let holders: Vec<LayerHolder> = stream.running.iter().cloned().chain(added).collect();
        ContinueCost::new(view, &holders, stream.demand, kept.clone(), rng).search(Some(first))
    };
    // A search over the holders of the lost layers took 8 us on B, one over all servers 52 us.
    let near = search(others.iter().copied().filter(|h| is_near(h)).collect());
    let domains = kept.iter().filter_map(|p| Some(running(p.server)?.domain));
    let domains: Vec<u32> = domains.collect();
    let kept_crossings = domains.windows(2).filter(|w| w[0] != w[1]).count() as u32;
    near.filter(|p| p.path.crossings <= kept_crossings)
        .or_else(|| search(others))
}
