//! What the gateway makes of its servers' rows and reports, without network.

#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use mustard_core::clock::Moment;
use mustard_core::deployment::{
    Accelerator, Engine, HeldLayers, ServerEntry, ServerReport, ServerState, StepTime,
};
use mustard_core::fingerprint::Fingerprint;
use mustard_core::ids::Layers;
use mustard_gateway::fleet::{Fleet, ProcessReport, ServerFilter};
use mustard_gateway::server_load::{LoadMessage, MAX_REPORTS};
use mustard_policy::outlier::{FailedAttempt, Failure, Report};
use mustard_policy::pipeline::{PlacementSettings, plan_placement};
use mustard_policy::server_load::LoadReport;

const SERVICE: &str = "drafts";
const LAYERS: u32 = 80;
/// The layers that a server has memory for beside its requests.
const LAYERS_PER_SERVER: u32 = 8;
const PLAN_INTERVAL: Duration = Duration::from_millis(300);
/// How long a server takes to load its layers.
const LOAD_TIME: Duration = Duration::from_millis(1_400);

fn engine() -> Engine {
    Engine {
        layers: LAYERS,
        layer_mb: 1_750.0,
        kv_token_bytes: 459_000.0,
        step_time: StepTime {
            base_ms: 0.85,
            sequence_ms: 0.003,
            prompt_rate: 353_000.0,
        },
        slots: 192,
        activation_bytes: 22_900.0,
        pipe_mbps: 2_080.0,
        load_time: Duration::from_secs(14),
        parallel_loads: 6,
        mean_prompt: 772.0,
        mean_answer: 154.0,
        accelerators: vec![Accelerator {
            name: "card".to_owned(),
            memory_mb: 17_000.0,
            step_factor: 16.0,
            prompt_factor: 8.2,
        }],
    }
}

fn addr(i: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, i as u8 + 1], 8_080))
}

fn held(layers: Layers) -> HeldLayers {
    HeldLayers {
        layers,
        weights_version: 1,
    }
}

fn row(i: usize, layers: Option<Layers>) -> ServerEntry {
    ServerEntry {
        id: format!("server-{i}"),
        service: SERVICE.to_owned(),
        addr: addr(i),
        domain: "a".to_owned(),
        slots: 192,
        state: ServerState::Ready,
        warmup_ms: 0.0,
        started_ms: 1,
        row_number: 1,
        accelerator: Some("card".to_owned()),
        held: layers.map(held),
    }
}

/// The report of a server that has accepted an order and waits for the requests that still use the
/// layers that it gives up.
fn unloading_report() -> Rc<ServerReport> {
    Rc::new(ServerReport {
        busy: true,
        order_count: 2,
        started_ms: 1,
        slow_factor: 1.0,
        memory_used: 24_520.0,
        memory_total: 1_853_658.0,
        held: None,
        stalled: Vec::new(),
    })
}

/// A failure domain whose layers two servers hold each, with the fleet that a gateway knows.
struct Domain {
    fleet: Fleet,
    now: Moment,
    /// Loads in progress: the server, the layers, and when they are loaded.
    loads: Vec<(usize, Layers, Moment)>,
    /// The servers that accepted an order and never finish it.
    stuck: Vec<usize>,
}

impl Domain {
    fn new() -> Self {
        let mut domain = Domain {
            fleet: Fleet::default(),
            now: Moment::from_millis(1_000),
            loads: Vec::new(),
            stuck: Vec::new(),
        };
        for i in 0..20 {
            let first = (i as u32 * LAYERS_PER_SERVER) % LAYERS;
            let layers = Layers::new(first, first + LAYERS_PER_SERVER);
            domain.fleet.upsert(domain.now, row(i, Some(layers)), None);
        }
        domain
    }

    fn count_gaps(&self) -> usize {
        let servers = self.fleet.iter().filter_map(|(_, s)| s.layers());
        let held: Vec<Layers> = servers.map(|h| h.layers).collect();
        let is_held = |l: u32| held.iter().any(|h| h.first <= l && l < h.end);
        (0..LAYERS).filter(|&l| !is_held(l)).count()
    }

    /// Plans once and carries out the orders as the placement does.
    fn plan(&mut self) {
        let engine = engine();
        let candidates = self.fleet.placement_servers(SERVICE, &engine, self.now);
        let servers: Vec<_> = candidates.iter().map(|(_, s)| s.clone()).collect();
        let settings = PlacementSettings {
            layers_share: 0.85,
            max_orders: 6,
        };
        for order in plan_placement(&engine, &servers, &settings) {
            let (key, _) = candidates
                .iter()
                .find(|(_, s)| s.index == order.index)
                .unwrap();
            let server = self.fleet.get_mut(*key).unwrap();
            let i = server.entry.addr.ip().to_string();
            let i: usize = i.rsplit('.').next().unwrap().parse::<usize>().unwrap() - 1;
            if self.stuck.contains(&i) {
                server.apply_report(self.now, unloading_report());
                server.mark_ordered_elsewhere(self.now, order.layers);
            } else {
                server.entry.held = None;
                server.begin_loading(self.now, order.layers, LOAD_TIME);
                self.loads.push((i, order.layers, self.now + LOAD_TIME));
            }
        }
    }

    fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now = self.now + PLAN_INTERVAL;
            let now = self.now;
            let done: Vec<_> = self.loads.extract_if(.., |l| l.2 <= now).collect();
            for (i, layers, _) in done {
                self.fleet.upsert(now, row(i, Some(layers)), None);
            }
            self.plan();
        }
    }
}

/// Servers that accepted an order wait for the requests that cross them, and some of these never
/// leave: the server stays busy, holds nothing, and is ordered to fill the gap again and again. Guards
/// against a plan that counts on it while others could hold the layers.
#[test]
fn placement_servers_never_unload() {
    let mut domain = Domain::new();
    for i in [2, 12] {
        domain.fleet.upsert(domain.now, row(i, None), None);
        domain.stuck.push(i);
    }
    assert_eq!(domain.count_gaps(), LAYERS_PER_SERVER as usize);
    domain.run_for(Duration::from_secs(9));
    assert_eq!(domain.count_gaps(), 0, "layers that nobody holds after 9 s");
}

/// A server that unloads within 5 s, as where streams are slow, takes the layers that it was ordered to hold, and no
/// other server loads them too.
#[test]
fn placement_servers_unload_in_time() {
    let mut domain = Domain::new();
    for i in [2, 12] {
        domain.fleet.upsert(domain.now, row(i, None), None);
        domain.stuck.push(i);
    }
    domain.run_for(Duration::from_millis(5_100));
    domain.stuck.clear();
    domain.run_for(Duration::from_secs(4));
    assert_eq!(domain.count_gaps(), 0);
    let moved = domain.fleet.iter().filter(|(_, s)| {
        let i = usize::from(
            s.entry
                .addr
                .ip()
                .to_string()
                .rsplit('.')
                .next()
                .unwrap()
                .parse::<u8>()
                .unwrap(),
        ) - 1;
        let first = (i as u32 * LAYERS_PER_SERVER) % LAYERS;
        ![2, 12].contains(&i) && s.layers().unwrap().layers.first != first
    });
    assert_eq!(
        moved.count(),
        0,
        "servers that had nothing to do with it were moved"
    );
}

/// Lets a server reset two requests with distinct contents.
fn eject(fleet: &mut Fleet, now: Moment, server: usize) {
    let key = fleet.key_of(&format!("server-{server}")).unwrap();
    for content in 0..2 {
        let attempt = FailedAttempt {
            began: now,
            path: &[key],
            content: Fingerprint(content),
            failure: Failure::Reset,
            lateness: Duration::ZERO,
        };
        fleet.record_failed_attempt(now, SERVICE, &attempt, 0.0);
    }
    assert_eq!(fleet.ejected_count(), 1);
}

/// Returns the addresses of the servers that a path may use.
fn holders(fleet: &Fleet, now: Moment, filter: ServerFilter) -> Vec<SocketAddr> {
    let holders = fleet.holders(SERVICE, &engine(), now, 1.0, filter);
    holders.iter().map(|h| h.addr).collect()
}

/// Guards against requests to an ejected server, and against a layer without a holder: its only one is still
/// there as a last resort.
#[test]
fn holders_ejected_server() {
    let now = Moment::from_millis(60_000);
    let mut fleet = Fleet::default();
    for (i, layers) in [Layers::new(0, 40), Layers::new(40, 80), Layers::new(40, 80)]
        .into_iter()
        .enumerate()
    {
        fleet.upsert(now, row(i, Some(layers)), None);
    }
    eject(&mut fleet, now, 0);
    assert!(!holders(&fleet, now, ServerFilter::Listed).contains(&addr(0)));
    assert!(!holders(&fleet, now, ServerFilter::IncludeMissing).contains(&addr(0)));
    assert!(holders(&fleet, now, ServerFilter::LastResort).contains(&addr(0)));
}

/// Guards against holding the failures of an ended process against the one in its place, also those that
/// another gateway reports late.
#[test]
fn holders_restarted_server() {
    let now = Moment::from_millis(60_000);
    let mut fleet = Fleet::default();
    for i in 0..3 {
        fleet.upsert(now, row(i, Some(Layers::new(0, LAYERS))), None);
    }
    eject(&mut fleet, now, 0);
    let restarted = ServerEntry {
        started_ms: 2,
        ..row(0, Some(Layers::new(0, LAYERS)))
    };
    fleet.upsert(now, restarted, None);
    assert!(holders(&fleet, now, ServerFilter::Listed).contains(&addr(0)));
    for gateway in 0..2 {
        let report = Report {
            at: now,
            content: Fingerprint(10 + gateway as u128),
            is_certain: true,
            level: 0,
        };
        let change =
            fleet.record_outlier_report(now, addr(100 + gateway), ("server-0", 1), report, 0.0);
        assert!(change.is_none());
    }
    assert_eq!(fleet.ejected_count(), 0);
}

/// Returns the memory share and the step factor of a server, as the choice of a path sees them.
fn holder_load(fleet: &Fleet, now: Moment) -> (f64, f64) {
    let holders = fleet.holders(SERVICE, &engine(), now, 4.0, ServerFilter::Listed);
    (holders[0].memory_share, holders[0].step_factor)
}

/// Guards against the report of a former process at the same address, and of one for whose service loads aren't
/// exchanged: a new process would count as full or slow for 3 s.
#[test]
fn apply_load_former_process() {
    let mut fleet = Fleet::default();
    let now = Moment::from_millis(10_000);
    fleet.upsert(now, row(0, Some(Layers::new(0, 8))), None);
    let report = |fleet: &Fleet, ms| -> ProcessReport {
        let (_, server) = fleet.iter().next().unwrap();
        let report = LoadReport::new(0.9, 12.0, now + Duration::from_millis(ms));
        (server.process_digest(), report.unwrap())
    };
    let former = report(&fleet, 0);
    assert!(!fleet.apply_load(now, &former), "not exchanged");
    let services = [SERVICE.to_owned()];
    fleet.track_loads(now, &services, 1, &[2, 3]);
    assert!(fleet.apply_load(now, &former));
    assert_eq!(holder_load(&fleet, now), (0.9, 12.0 * 16.0));
    assert_eq!(fleet.loads_to_share(now, MAX_REPORTS), [former]);
    let started_ms = 2;
    let restarted = ServerEntry {
        started_ms,
        ..row(0, Some(Layers::new(0, 8)))
    };
    fleet.upsert(now, restarted, None);
    fleet.track_loads(now, &services, 1, &[2, 3]);
    assert!(!fleet.apply_load(now, &former), "of a former process");
    fleet.record_report(now, fleet.key_of("server-0").unwrap(), unloading_report());
    let without_memory = ServerReport {
        started_ms,
        memory_used: f64::NAN,
        held: Some(held(Layers::new(0, 8))),
        ..(*unloading_report()).clone()
    };
    fleet.record_report(
        now,
        fleet.key_of("server-0").unwrap(),
        Rc::new(without_memory),
    );
    assert_eq!(fleet.loads_to_share(now, MAX_REPORTS), []);
    let current = report(&fleet, 0);
    assert!(fleet.apply_load(now, &current));
    fleet.track_loads(now, &[], 1, &[]);
    assert_eq!(holder_load(&fleet, now), (0.0, 16.0), "no longer exchanged");
}

/// Guards against messages whose reports can't be decoded or take more than 6 KB/s of a gateway. It sends 8
/// messages per second, and makes up to 2.4 calls for reports (135 servers, 68 gateways) of about 500 bytes.
#[test]
fn load_message_size() {
    let now = Moment::from_millis(10_000);
    let reports: Vec<ProcessReport> = (0..MAX_REPORTS as u64)
        .map(|i| {
            let at = now - Duration::from_millis(30 * i);
            let share = i as f64 / 50.0;
            let report = LoadReport::new(share, if i < 8 { 12.0 } else { 1.0 }, at);
            (i.wrapping_mul(0x9e37_79b9_7f4a_7c15), report.unwrap())
        })
        .collect();
    let message = LoadMessage::encode(now, &reports);
    let bytes = rmp_serde::to_vec(&message).unwrap();
    let named = rmp_serde::to_vec_named(&message).unwrap();
    println!("{} bytes, {} by name", bytes.len(), named.len());
    assert!(8.0 * named.len() as f64 + 2.4 * 500.0 <= 6_000.0);
    let decoded: LoadMessage = rmp_serde::from_slice(&bytes).unwrap();
    assert_eq!(decoded.decode(now).collect::<Vec<_>>(), reports);
    let cut: LoadMessage =
        rmp_serde::from_slice(&[0x94, 0xc4, 3, 1, 2, 3, 0x90, 0x91, 5, 0x90]).unwrap();
    assert_eq!(cut.decode(now).count(), 0);
}

/// Guards against a pause, silence, a refusal, an order or load of a former process that count against the one in
/// its place, after a restart or a move to another address.
#[test]
fn upsert_later_process() {
    let now = Moment::from_millis(10_000);
    let layers = Layers::new(0, LAYERS);
    let first = row(0, Some(layers));
    let restarted = ServerEntry {
        started_ms: 2,
        ..first.clone()
    };
    let moved = ServerEntry {
        addr: addr(7),
        ..first.clone()
    };
    for later in [restarted, moved] {
        let mut fleet = Fleet::default();
        fleet.upsert(now, first.clone(), None);
        let former = fleet.key_of("server-0").unwrap();
        fleet.record_pause(now, former, Duration::from_secs(60));
        fleet.record_silence(now, former);
        fleet.record_refusal(now, former);
        let server = fleet.get_mut(former).unwrap();
        server.add_use(now, 1e6);
        server.begin_loading(now, layers, LOAD_TIME);
        assert!(holders(&fleet, now, ServerFilter::LastResort).is_empty());
        fleet.upsert(now, later.clone(), None);
        assert!(fleet.get(former).is_none());
        assert_eq!(holders(&fleet, now, ServerFilter::Listed), [later.addr]);
        assert_eq!(holder_load(&fleet, now), (0.0, 16.0));
        // What is still on its way to or from the former process changes nothing.
        fleet.record_pause(now, former, Duration::from_secs(60));
        fleet.record_silence(now, former);
        assert_eq!(holders(&fleet, now, ServerFilter::Listed), [later.addr]);
    }
}

/// Guards against a present server that is lost with the row of a former one at its address, and against paths and
/// orders to the former one.
#[test]
fn remove_row_same_address() {
    let now = Moment::from_millis(10_000);
    let layers = Layers::new(0, LAYERS);
    let former = ServerEntry {
        id: "former".to_owned(),
        ..row(0, Some(layers))
    };
    let present = ServerEntry {
        started_ms: 5,
        ..row(0, Some(layers))
    };
    for rows in [[&former, &present], [&present, &former]] {
        let mut fleet = Fleet::default();
        for row in rows {
            fleet.upsert(now, row.clone(), None);
        }
        let key = fleet.key_of("server-0").unwrap();
        let is_used = |fleet: &Fleet| {
            let holders = fleet.holders(SERVICE, &engine(), now, 1.0, ServerFilter::LastResort);
            assert!(holders.len() <= 1, "one server twice");
            holders.first().map(|h| h.server) == Some(key)
        };
        assert!(is_used(&fleet));
        let planned = fleet.placement_servers(SERVICE, &engine(), now);
        for (planned_key, server) in planned {
            assert_eq!(server.accepts_orders, planned_key == key);
            assert_eq!(server.is_staying, planned_key == key);
        }
        fleet.remove(now, "former", false);
        assert!(is_used(&fleet));
        fleet.record_silence(now, key);
        assert!(!is_used(&fleet), "what is observed of it is still recorded");
        let report = ServerReport {
            started_ms: 5,
            held: Some(held(layers)),
            ..(*unloading_report()).clone()
        };
        fleet.record_report(now, key, Rc::new(report));
        assert!(is_used(&fleet));
    }
}

/// Guards against the presumption, where the clocks of servers differ, that the one which seems to have started
/// last is at an address: the process that answers there is, and the report that it sends is its own.
#[test]
fn record_report_earlier_start() {
    let now = Moment::from_millis(10_000);
    let presumed = ServerEntry {
        started_ms: 5,
        ..row(0, Some(Layers::new(0, 40)))
    };
    let actual = ServerEntry {
        id: "actual".to_owned(),
        started_ms: 2,
        ..row(0, Some(Layers::new(40, LAYERS)))
    };
    let mut fleet = Fleet::default();
    fleet.upsert(now, actual, None);
    fleet.upsert(now, presumed, None);
    let used = |fleet: &Fleet| {
        let holders = fleet.holders(SERVICE, &engine(), now, 1.0, ServerFilter::Listed);
        holders.iter().map(|h| h.server).collect::<Vec<_>>()
    };
    let (presumed, actual) = (fleet.key_of("server-0"), fleet.key_of("actual"));
    assert_eq!(used(&fleet), [presumed.unwrap()]);
    let report = ServerReport {
        started_ms: 2,
        held: Some(held(Layers::new(40, LAYERS))),
        ..(*unloading_report()).clone()
    };
    fleet.record_report(now, presumed.unwrap(), Rc::new(report));
    assert_eq!(used(&fleet), [actual.unwrap()]);
    let layers = fleet.get(presumed.unwrap()).unwrap().layers().unwrap();
    assert_eq!(layers.layers, Layers::new(0, 40));
    fleet.remove(now, "actual", false);
    assert_eq!(used(&fleet), [presumed.unwrap()]);
}

/// Guards against the report of a process that no row names being taken for that of the server that was asked. Its
/// health check may show that it is that server, restarted; the row of the process before changes nothing then.
#[test]
fn record_report_unknown_process() {
    let now = Moment::from_millis(10_000);
    let layers = Layers::new(0, LAYERS);
    let mut fleet = Fleet::default();
    fleet.upsert(now, row(0, Some(layers)), None);
    let former = fleet.process(fleet.key_of("server-0").unwrap()).unwrap();
    let report = Rc::new(ServerReport {
        started_ms: 2,
        ..(*unloading_report()).clone()
    });
    assert!(
        fleet
            .record_report(now, former.key, Rc::clone(&report))
            .is_none()
    );
    assert!(holders(&fleet, now, ServerFilter::LastResort).is_empty());
    let planned = fleet.placement_servers(SERVICE, &engine(), now);
    assert!(
        planned
            .iter()
            .all(|(_, s)| !s.accepts_orders && !s.is_staying)
    );
    assert_eq!(fleet.get(former.key).unwrap().layers(), Some(held(layers)));
    assert_eq!(
        fleet.silent_servers(now),
        [former.key],
        "it may answer again"
    );

    fleet.record_restart(now, &former, &report);
    assert!(fleet.get(former.key).is_none());
    fleet.upsert(now, row(0, Some(layers)), None);
    let key = fleet.key_of("server-0").unwrap();
    assert_eq!(fleet.get(key).unwrap().entry.started_ms, 2);
    let planned = fleet.placement_servers(SERVICE, &engine(), now);
    assert!(
        planned
            .iter()
            .all(|(_, s)| s.accepts_orders && s.is_staying)
    );
    let own_row = ServerEntry {
        started_ms: 2,
        ..row(0, Some(layers))
    };
    fleet.upsert(now, own_row, None);
    assert_eq!(fleet.key_of("server-0"), Some(key));
    assert_eq!(holders(&fleet, now, ServerFilter::Listed), [addr(0)]);
}
