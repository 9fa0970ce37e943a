//! Random faults of a soak, drawn from a seed; they may overlap.

use std::collections::BTreeMap;
use std::thread;
use std::time::{Duration, Instant};

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rustix::process::Signal;

use mustard_fakes::site::{API_KEY, Endless, ServerFault, StoreMode};

use crate::errors::Result;

use super::Testbed;
use super::duties::Disturbed;
use super::proxy::ProxyFault;

/// The range of times between the starts of two faults.
const FAULT_INTERVAL_MS: std::ops::Range<u64> = 50..900;
/// The range of a fault's duration.
const FAULT_DURATION_MS: std::ops::Range<u64> = 100..2_500;
/// The range of the age of a copy from which the store is restored.
const COPY_AGE_MS: std::ops::Range<u64> = 200..6_000;
/// The range of limits, in tenths of a request a second, and the least time for which they are named.
const LIMIT_TENTHS: std::ops::Range<u32> = 2..60;
const LIMIT_TIME: Duration = Duration::from_secs(7);
/// For how long a server turns requests away.
const PAUSE: Duration = Duration::from_millis(1_500);
/// How long after its time a fault may still last; a process that is asked to stop has ended by then.
const END_MARGIN: Duration = Duration::from_millis(500);
const TICK: Duration = Duration::from_millis(10);

/// A fault and its target: the index of a server or gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    Proxy(usize, ProxyFault),
    StoreProxy(ProxyFault),
    StoreMode(StoreMode),
    Server(usize, ServerFault),
    RestartServer(usize),
    FreezeGateway(usize),
    KillGateway(usize),
    StopGateway(usize),
    ReloadGateway(usize),
    ChangeConfig,
    /// The store is away and comes back from a copy of this age, in milliseconds.
    RestoreStore(u64),
    /// A server names a limit of so many tenths of a request a second.
    LimitServer(usize, u32),
    /// A server says that it is leaving, and another process takes its place in the end.
    LeaveServer(usize),
}

impl Fault {
    fn draw(rng: &mut ChaCha8Rng, testbed: &Testbed) -> Fault {
        let server = rng.random_range(0..testbed.proxies.len());
        let gateway = rng.random_range(0..testbed.gateways.len());
        let proxy_fault =
            |rng: &mut ChaCha8Rng| *ProxyFault::ALL.choose(rng).unwrap_or(&ProxyFault::Reset);
        let modes = [
            StoreMode::Busy,
            StoreMode::ResetsConnections,
            StoreMode::HistoryLost,
            StoreMode::LosesAnswers,
        ];
        let server_faults = [
            ServerFault::Silent,
            ServerFault::ResetsConnections,
            ServerFault::LosesAnswers,
            ServerFault::AnswersError,
            ServerFault::TurnsAway(PAUSE),
            ServerFault::Unframed,
            ServerFault::UnframedCut,
            ServerFault::EndsInEvent,
            ServerFault::Endless(Endless::Head),
            ServerFault::Endless(Endless::Body),
            ServerFault::Endless(Endless::ChunkLine),
        ];
        match rng.random_range(0..20) {
            0..3 => Fault::Proxy(server, proxy_fault(rng)),
            3 => Fault::StoreProxy(proxy_fault(rng)),
            4 => Fault::StoreMode(*modes.choose(rng).unwrap_or(&StoreMode::Busy)),
            5..7 | 17 => Fault::Server(
                server,
                *server_faults.choose(rng).unwrap_or(&ServerFault::Silent),
            ),
            7 => Fault::RestartServer(server),
            8 => Fault::FreezeGateway(gateway),
            9..11 => Fault::KillGateway(gateway),
            11 => Fault::StopGateway(gateway),
            12 => Fault::ReloadGateway(gateway),
            13 => Fault::LeaveServer(server),
            18..20 => Fault::LimitServer(server, rng.random_range(LIMIT_TENTHS)),
            14 => Fault::RestoreStore(rng.random_range(COPY_AGE_MS)),
            _ => Fault::ChangeConfig,
        }
    }

    fn name(self) -> &'static str {
        match self {
            Fault::Proxy(_, ProxyFault::Delay) => "server delayed",
            Fault::Proxy(_, ProxyFault::Reset) => "server's connections reset",
            Fault::Proxy(..) => "server cut off",
            Fault::StoreProxy(_) => "way to the store harmed",
            Fault::StoreMode(_) => "store at fault",
            Fault::Server(..) => "server at fault",
            Fault::RestartServer(_) => "server restarted",
            Fault::FreezeGateway(_) => "gateway frozen",
            Fault::KillGateway(_) => "gateway killed",
            Fault::StopGateway(_) => "gateway stopped",
            Fault::ReloadGateway(_) => "settings read again",
            Fault::ChangeConfig => "configuration changed",
            Fault::RestoreStore(_) => "store restored from a copy",
            Fault::LeaveServer(_) => "server leaving",
            Fault::LimitServer(..) => "server names a limit",
        }
    }

    fn begin(self, testbed: &mut Testbed) -> Result<()> {
        match self {
            Fault::Proxy(server, proxy_fault) => testbed.proxies[server].set_fault(proxy_fault),
            Fault::StoreProxy(proxy_fault) => testbed.store_proxy.set_fault(proxy_fault),
            Fault::StoreMode(mode) => testbed.site.set_store_fault(mode),
            Fault::Server(server, fault) => testbed.site.set_fault(server, fault),
            Fault::RestartServer(server) => testbed.site.restart(server),
            Fault::FreezeGateway(gateway) => testbed.gateways[gateway].signal(Signal::STOP)?,
            Fault::KillGateway(gateway) => testbed.gateways[gateway].kill()?,
            Fault::StopGateway(gateway) => testbed.gateways[gateway].terminate()?,
            Fault::ReloadGateway(gateway) => testbed.gateways[gateway].reload()?,
            Fault::ChangeConfig => {
                testbed.config_version += 1;
                let key = newest_key(testbed.config_version);
                testbed
                    .site
                    .write_config(testbed.config_version, &[API_KEY, &key]);
            }
            Fault::RestoreStore(_) => testbed.site.set_store_fault(StoreMode::ResetsConnections),
            Fault::LeaveServer(server) => testbed.site.set_leaving(server),
            Fault::LimitServer(server, tenths) => {
                let limit = f64::from(tenths) / 10.0;
                testbed.site.set_limit(server, Some(limit));
            }
        }
        Ok(())
    }

    fn end(self, testbed: &mut Testbed) -> Result<()> {
        match self {
            Fault::Proxy(server, _) => testbed.proxies[server].set_fault(ProxyFault::None),
            Fault::StoreProxy(_) => testbed.store_proxy.set_fault(ProxyFault::None),
            Fault::StoreMode(_) => testbed.site.set_store_fault(StoreMode::Healthy),
            Fault::Server(server, _) => testbed.site.set_fault(server, ServerFault::None),
            Fault::FreezeGateway(gateway) => testbed.gateways[gateway].signal(Signal::CONT)?,
            Fault::KillGateway(gateway) => testbed.gateways[gateway].ensure_running()?,
            Fault::StopGateway(gateway) => {
                // A frozen process can't exit.
                testbed.gateways[gateway].signal(Signal::CONT)?;
                testbed.gateways[gateway].restart()?;
            }
            Fault::RestoreStore(age_ms) => {
                testbed.site.restore_store(Duration::from_millis(age_ms));
                testbed.site.set_store_fault(StoreMode::Healthy);
                testbed.site.write_rows_again();
            }
            Fault::LeaveServer(server) => testbed.site.restart(server),
            Fault::LimitServer(server, _) => testbed.site.set_limit(server, None),
            Fault::RestartServer(_) | Fault::ReloadGateway(_) | Fault::ChangeConfig => {}
        }
        Ok(())
    }

    /// Returns what a fault disturbs, as far as an obligation of a gateway may depend on it.
    fn disturbs(self) -> Option<Disturbed> {
        match self {
            Fault::Proxy(server, _) => Some(Disturbed::WayTo(server)),
            Fault::StoreProxy(_) | Fault::StoreMode(_) | Fault::RestoreStore(_) => {
                Some(Disturbed::Store)
            }
            Fault::FreezeGateway(gateway)
            | Fault::KillGateway(gateway)
            | Fault::StopGateway(gateway) => Some(Disturbed::Gateway(gateway)),
            _ => None,
        }
    }
}

/// Returns the API key that a version of the configuration adds.
pub(super) fn newest_key(version: u64) -> String {
    format!("another-{version}")
}

/// Injects faults for a time, ends all of them, and returns the number of each by name.
pub(super) fn inject_faults(
    testbed: &mut Testbed,
    seed: u64,
    duration: Duration,
) -> Result<BTreeMap<String, u64>> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut counts = BTreeMap::new();
    let mut active: Vec<(Instant, Fault)> = Vec::new();
    let end = Instant::now() + duration;
    let mut next = Instant::now();
    while Instant::now() < end {
        let now = Instant::now();
        let is_over = |(until, _): &(Instant, Fault)| *until <= now;
        let ended: Vec<_> = active.extract_if(.., |f| is_over(f)).collect();
        for (_, fault) in ended {
            fault.end(testbed)?;
        }
        if now >= next {
            let fault = Fault::draw(&mut rng, testbed);
            let mut fault_duration = Duration::from_millis(rng.random_range(FAULT_DURATION_MS));
            if matches!(fault, Fault::LimitServer(..)) {
                // It must be kept from a few seconds on.
                fault_duration += LIMIT_TIME;
            }
            next = now + Duration::from_millis(rng.random_range(FAULT_INTERVAL_MS));
            fault.begin(testbed)?;
            if let Some(what) = fault.disturbs() {
                // Faults end at the next tick, or in the order of their ends.
                let until = now + fault_duration + END_MARGIN;
                testbed.record.add(what, now, until);
            }
            *counts.entry(fault.name().to_owned()).or_insert(0) += 1;
            active.push((now + fault_duration, fault));
        }
        thread::sleep(TICK);
    }
    for (_, fault) in active {
        fault.end(testbed)?;
    }
    for gateway in &mut testbed.gateways {
        gateway.ensure_running()?;
    }
    Ok(counts)
}
