//! Scenarios: servers, links, customers, load over time, and faults.

use mustard_core::catalogue::Class;

/// Entry processes; each request goes to one of them at random.
pub(crate) const ENTRIES: usize = 3;
/// Groups of servers; a request runs over one server of each.
pub(crate) const GROUPS: usize = 4;
/// Layers of the model that each group holds.
pub(crate) const LAYERS_PER_GROUP: u32 = 8;
/// Range of prompt lengths.
pub(crate) const PROMPT_POSITIONS: std::ops::RangeInclusive<u32> = 32..=96;
/// Range of answer lengths.
pub(crate) const ANSWER_TOKENS: std::ops::RangeInclusive<u32> = 24..=40;

const SERVERS_PER_GROUP: usize = 10;
/// Failure domains.
const DOMAINS: usize = 3;
/// The deadline of interactive requests.
const INTERACTIVE_DEADLINE_MS: u64 = 2_500;
/// The deadline of requests of the deadline class.
const DEADLINE_CLASS_MS: u64 = 6_000;

/// The service-time function of an accelerator.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Accelerator {
    pub(crate) name: &'static str,
    /// Fixed time of a batch.
    pub(crate) base_us: f64,
    /// Additional time per step in the batch.
    pub(crate) step_us: f64,
    /// Additional time per prefilled position.
    pub(crate) position_us: f64,
    /// The most steps in a batch.
    pub(crate) max_batch: usize,
}

const MEDIUM: Accelerator = Accelerator {
    name: "medium",
    base_us: 1_000.0,
    step_us: 200.0,
    position_us: 20.0,
    max_batch: 8,
};
const LARGE: Accelerator = Accelerator {
    name: "large",
    base_us: 600.0,
    step_us: 80.0,
    position_us: 8.0,
    max_batch: 16,
};
const SMALL: Accelerator = Accelerator {
    name: "small",
    base_us: 1_600.0,
    step_us: 500.0,
    position_us: 50.0,
    max_batch: 6,
};

/// A server of a scenario.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServerSpec {
    pub(crate) group: usize,
    pub(crate) domain: usize,
    pub(crate) accelerator: Accelerator,
}

/// A customer of a scenario.
#[derive(Clone, Debug)]
pub(crate) struct CustomerSpec {
    pub(crate) name: String,
    /// Its share in admission, as a weight.
    pub(crate) share: u32,
    pub(crate) class: Class,
    /// Its fraction of the offered requests.
    pub(crate) fraction: f64,
    pub(crate) deadline_ms: u64,
}

/// A fault of a server, given by its index.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Fault {
    /// Every batch takes this many times as long.
    Slow(usize, f64),
    /// The server dies and doesn't come back.
    Dead(usize),
}

/// A load of `factor` times the capacity without faults, from `start_s` on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Phase {
    pub(crate) start_s: f64,
    pub(crate) factor: f64,
}

/// Requests of the first customer that come almost at once.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Burst {
    pub(crate) at_s: f64,
    pub(crate) count: usize,
}

/// A scenario of the comparison.
#[derive(Clone, Debug)]
pub(crate) struct Scenario {
    pub(crate) name: &'static str,
    /// How long requests arrive.
    pub(crate) seconds: f64,
    /// What happens before this time isn't counted.
    pub(crate) warmup_s: f64,
    pub(crate) servers: Vec<ServerSpec>,
    /// Round trip and additional time per prefilled position between two domains, in microseconds.
    pub(crate) links: [[(f64, f64); DOMAINS]; DOMAINS],
    pub(crate) customers: Vec<CustomerSpec>,
    /// Phases of the load, by start; a later one replaces the earlier.
    pub(crate) phases: Vec<Phase>,
    pub(crate) bursts: Vec<Burst>,
    /// Faults with their times, in seconds.
    pub(crate) faults: Vec<(f64, Fault)>,
    /// The time between two requests that kill every server that runs them.
    pub(crate) poison_interval_s: Option<f64>,
}

impl Scenario {
    /// Creates a scenario of equal servers at a constant load, `factor` times their capacity.
    fn steady(name: &'static str, factor: f64) -> Self {
        let server = |i: usize| ServerSpec {
            group: i % GROUPS,
            domain: (i / GROUPS) % DOMAINS,
            accelerator: MEDIUM,
        };
        Scenario {
            name,
            seconds: 16.0,
            warmup_s: 4.0,
            servers: (0..GROUPS * SERVERS_PER_GROUP).map(server).collect(),
            links: links(200.0, 400.0, 400.0, 0.5),
            customers: customers(factor),
            phases: vec![Phase {
                start_s: 0.0,
                factor,
            }],
            bursts: Vec::new(),
            faults: Vec::new(),
            poison_interval_s: None,
        }
    }
}

/// Returns links with one round trip inside a domain, one between the first two domains and one to
/// the third; the time per position grows with the round trip.
fn links(
    local_us: f64,
    remote_us: f64,
    third_us: f64,
    position_us: f64,
) -> [[(f64, f64); DOMAINS]; DOMAINS] {
    let mut links = [[(local_us, position_us); DOMAINS]; DOMAINS];
    for (a, row) in links.iter_mut().enumerate() {
        for (b, link) in row.iter_mut().enumerate() {
            let rtt_us = match (a == b, a == 2 || b == 2) {
                (true, _) => local_us,
                (false, false) => remote_us,
                (false, true) => third_us,
            };
            *link = (rtt_us, position_us * rtt_us / local_us);
        }
    }
    links
}

/// Returns two large customers and eight small ones; the small ones stay within their shares at
/// any load up to `factor`.
fn customers(factor: f64) -> Vec<CustomerSpec> {
    const LARGE_SHARE: u32 = 3;
    const SMALL_COUNT: usize = 8;
    let total_shares = f64::from(2 * LARGE_SHARE) + SMALL_COUNT as f64;
    let small = (0.7 / total_shares / factor.max(1.0)).min(0.05);
    let large = (1.0 - small * SMALL_COUNT as f64) / 2.0;
    let customer = |name: String, share, fraction, class, deadline_ms| CustomerSpec {
        name,
        share,
        class,
        fraction,
        deadline_ms,
    };
    let mut list = vec![
        customer(
            "large-0".into(),
            LARGE_SHARE,
            large,
            Class::Interactive,
            INTERACTIVE_DEADLINE_MS,
        ),
        customer(
            "large-1".into(),
            LARGE_SHARE,
            large,
            Class::Deadline,
            DEADLINE_CLASS_MS,
        ),
    ];
    for i in 0..SMALL_COUNT {
        let name = format!("small-{i}");
        list.push(customer(
            name,
            1,
            small,
            Class::Interactive,
            INTERACTIVE_DEADLINE_MS,
        ));
    }
    list
}

/// Returns all scenarios.
pub(crate) fn all_scenarios() -> Vec<Scenario> {
    vec![
        Scenario::steady("steady 1x", 1.0),
        Scenario::steady("overload 3x", 3.0),
        deadline_week(),
        classroom(),
        mixed_accelerators(),
        hundredfold_links(),
        slow_stage(),
        dead_stage(),
        poison_request(),
    ]
}

fn deadline_week() -> Scenario {
    let phase = |start_s, factor| Phase { start_s, factor };
    Scenario {
        phases: vec![
            phase(0.0, 0.6),
            phase(5.0, 3.0),
            phase(7.0, 0.6),
            phase(10.0, 3.0),
            phase(12.0, 0.6),
        ],
        customers: customers(3.0),
        ..Scenario::steady("deadline week", 1.0)
    }
}

fn classroom() -> Scenario {
    let burst = |i: usize| Burst {
        at_s: 4.5 + 1.5 * i as f64,
        count: 300,
    };
    Scenario {
        bursts: (0..8).map(burst).collect(),
        ..Scenario::steady("classroom", 0.8)
    }
}

fn mixed_accelerators() -> Scenario {
    let mut scenario = Scenario::steady("mixed accelerators", 1.2);
    for (i, server) in scenario.servers.iter_mut().enumerate() {
        server.accelerator = [LARGE, MEDIUM, SMALL][(i / GROUPS + i) % 3];
    }
    scenario
}

fn hundredfold_links() -> Scenario {
    let mut scenario = Scenario::steady("hundredfold links", 1.0);
    scenario.links = links(100.0, 1_000.0, 10_000.0, 0.2);
    scenario
}

fn slow_stage() -> Scenario {
    Scenario {
        faults: vec![(4.0, Fault::Slow(0, 8.0))],
        ..Scenario::steady("one slow stage", 1.0)
    }
}

fn dead_stage() -> Scenario {
    Scenario {
        faults: vec![(6.0, Fault::Dead(0))],
        ..Scenario::steady("one dead stage", 1.0)
    }
}

fn poison_request() -> Scenario {
    Scenario {
        poison_interval_s: Some(0.5),
        ..Scenario::steady("killing request", 1.0)
    }
}
