//! A soak run of gateway processes in front of a stand-in site, with loopback proxies before its
//! servers and its store, under random faults that may overlap.
//!
//! Guarantees are checked by what callers receive and what the servers ran.

mod calls;
mod duties;
mod faults;
mod gateways;
mod proxy;
mod tally;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use mustard_fakes::site::{API_KEY, PoisonTarget, Site, SiteOptions};

use crate::errors::{Result, TestError};
use crate::ports::free_port;
use crate::wait::wait_for;

use calls::{CallResult, RequestKind};
use duties::Record;
use gateways::Gateway;
use proxy::Proxy;

pub use calls::stream_text;
pub use tally::Tally;

/// The number of events in each stream.
const STREAM_EVENTS: u64 = 40;
/// The range of pauses between two requests of a caller.
const REQUEST_INTERVAL_MS: std::ops::Range<u64> = 5..120;
/// The range of pauses between two requests with poison contents.
const POISON_INTERVAL_MS: std::ops::Range<u64> = 50..500;
/// The share of these requests that have a poison segment in their prompts instead.
const POISON_SEGMENT_SHARE: f64 = 0.5;
/// How long a server that a poison content has ended stays away.
const POISON_DOWN_TIME: Duration = Duration::from_millis(800);
/// The additional pause of a caller that got no response head.
const NO_ANSWER_DELAY: Duration = Duration::from_millis(50);
/// The time limit after the last fault for all requests to be served again.
const RECOVERY_TIME: Duration = Duration::from_secs(8);
/// How long all requests must then be served.
const CHECK_TIME: Duration = Duration::from_secs(2);
/// The number of servers of each model.
const MODEL_SERVERS: [usize; 2] = [4, 4];
const PLAIN_SERVERS: usize = 3;

/// The configuration of a soak.
#[derive(Clone, Copy, Debug)]
pub struct SitePlan {
    /// The seed of load and faults.
    pub seed: u64,
    /// How long faults are injected.
    pub duration: Duration,
    /// The number of gateways, at most 4: [`free_port`] checks ports on four addresses.
    pub gateways: usize,
    /// The number of callers for each gateway.
    pub callers: usize,
}

impl Default for SitePlan {
    fn default() -> Self {
        SitePlan {
            seed: 1,
            duration: Duration::from_secs(20),
            gateways: 3,
            callers: 4,
        }
    }
}

/// The site, gateways and proxies that faults are injected into.
struct Testbed {
    site: Site,
    gateways: Vec<Gateway>,
    /// A proxy in front of each server, in the site's order.
    proxies: Vec<Proxy>,
    store_proxy: Proxy,
    config_version: u64,
    /// What was disturbed, and when.
    record: Record,
    dir: PathBuf,
}

/// Runs a soak and returns its results.
///
/// # Errors
///
/// Returns an error if the processes can't be started.
pub fn run(plan: SitePlan) -> Result<Tally> {
    let mut testbed = Testbed::start(&plan)?;
    let mut callers = CallerPool::start(&plan, &testbed);
    testbed.wait_all_served(&callers)?;
    let target = if plan.seed.is_multiple_of(2) {
        PoisonTarget::First
    } else {
        PoisonTarget::Last
    };
    testbed.site.set_poison(target, POISON_DOWN_TIME);
    callers.start_poison(plan.seed, &testbed);
    let faults = faults::inject_faults(&mut testbed, plan.seed, plan.duration)?;
    thread::sleep(RECOVERY_TIME);
    callers.expect_success();
    thread::sleep(CHECK_TIME);
    let mut tally = callers.stop();
    tally.faults = faults;
    let ledger = testbed.site.ledger();
    tally.check_runs(&ledger);
    let neglected = duties::find_neglected(&ledger, &testbed.record);
    tally.violations.extend(neglected);
    tally.violations.extend(testbed.find_old_configs());
    for gateway in &testbed.gateways {
        let exits = gateway.unexpected_exits.iter();
        tally
            .violations
            .extend(exits.map(|s| format!("gateway: {s}")));
    }
    if tally.violations.is_empty() {
        let _ = std::fs::remove_dir_all(&testbed.dir);
    } else {
        println!("logs are kept in {}", testbed.dir.display());
    }
    Ok(tally)
}

impl Testbed {
    fn start(plan: &SitePlan) -> Result<Self> {
        let site = Site::start(SiteOptions {
            servers: MODEL_SERVERS.to_vec(),
            plain_servers: PLAIN_SERVERS,
            events: STREAM_EVENTS,
            ..SiteOptions::default()
        })
        .map_err(|e| TestError::Io(std::io::Error::other(e.to_string())))?;
        let mut proxies = Vec::new();
        for (server, addr) in site.addrs().into_iter().enumerate() {
            let proxy = Proxy::start(addr)?;
            site.set_address(server, proxy.addr());
            proxies.push(proxy);
        }
        site.write_config(1, &[API_KEY]);
        let store_proxy = Proxy::start(site.store_addr())?;
        let name = format!("mustard-site-soak-{}-{}", std::process::id(), plan.seed);
        let dir = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&dir)?;
        let peer_port = free_port().ok_or(TestError::NoPort)?;
        let start = |number| {
            Gateway::start(
                &site,
                store_proxy.addr(),
                number,
                plan.gateways,
                peer_port,
                &dir,
            )
        };
        let gateways = (0..plan.gateways).map(start).collect::<Result<_>>()?;
        Ok(Testbed {
            site,
            gateways,
            proxies,
            store_proxy,
            config_version: 1,
            record: Record::default(),
            dir,
        })
    }

    /// Returns a description of each gateway at which the newest configuration isn't in force.
    fn find_old_configs(&self) -> Vec<String> {
        if self.config_version == 1 {
            return Vec::new();
        }
        let key = faults::newest_key(self.config_version);
        let mut found = Vec::new();
        for (number, gateway) in self.gateways.iter().enumerate() {
            let id = duties::request_id('k', number, 0);
            let result = RequestKind::Status.send_with_key(gateway.caller_addr(), &id, &key);
            if !matches!(result, CallResult::Answer { status: 200, .. }) {
                let version = self.config_version;
                found.push(format!(
                    "gateway {number} doesn't serve a key of version {version}: {result:?}"
                ));
            }
        }
        found
    }

    /// Waits until a request of each kind has been served.
    fn wait_all_served(&self, callers: &CallerPool) -> Result<()> {
        let kinds = [
            RequestKind::Draft,
            RequestKind::Booking,
            RequestKind::Status,
        ];
        let served = || {
            let tally = callers.lock();
            let all_served = kinds.iter().all(|k| tally.count(*k, "200") > 0);
            all_served.then_some(())
        };
        wait_for("a served request of each kind", served)
    }
}

/// Threads that send requests until they are stopped.
struct CallerPool {
    tally: Arc<Mutex<Tally>>,
    stop: Arc<AtomicBool>,
    /// Whether the time to recover from the last fault has passed, so that each request must be
    /// served.
    faults_over: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl CallerPool {
    fn start(plan: &SitePlan, testbed: &Testbed) -> Self {
        let mut callers = CallerPool {
            tally: Arc::default(),
            stop: Arc::default(),
            faults_over: Arc::default(),
            threads: Vec::new(),
        };
        let next_id = Arc::new(AtomicU64::new(0));
        for (number, gateway) in testbed.gateways.iter().enumerate() {
            for i in 0..plan.callers {
                let caller = Caller {
                    gateway: number,
                    gateway_addr: gateway.caller_addr(),
                    tally: Arc::clone(&callers.tally),
                    stop: Arc::clone(&callers.stop),
                    faults_over: Arc::clone(&callers.faults_over),
                    next_id: Arc::clone(&next_id),
                    rng: ChaCha8Rng::seed_from_u64(plan.seed ^ ((number * 100 + i) as u64 + 1)),
                };
                callers
                    .threads
                    .push(thread::spawn(move || caller.send_requests()));
            }
        }
        callers
    }

    /// Sends poison contents and prompts with poison segments to gateways chosen at random until the callers are stopped or the faults
    /// are over.
    fn start_poison(&mut self, seed: u64, testbed: &Testbed) {
        let gateways: Vec<_> = testbed.gateways.iter().map(Gateway::caller_addr).collect();
        let (stop, faults_over) = (Arc::clone(&self.stop), Arc::clone(&self.faults_over));
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        self.threads.push(thread::spawn(move || {
            let is_over = || stop.load(Ordering::SeqCst) || faults_over.load(Ordering::SeqCst);
            let mut number = 0;
            while !is_over() {
                let gateway = rng.random_range(0..gateways.len());
                let poison = rng.random_range(0..duties::POISON_KINDS.len());
                if rng.random_bool(POISON_SEGMENT_SHARE) {
                    let id = duties::request_id(duties::SEGMENT_KIND, gateway, number);
                    let segment = duties::POISON_SEGMENTS[poison];
                    // Whatever the answer is, only the servers that it reaches matter.
                    let to = gateways[gateway];
                    let _ = RequestKind::Draft.send_with_segments(to, &id, segment);
                } else {
                    let id = duties::request_id(duties::POISON_KINDS[poison], gateway, number);
                    let kind = [RequestKind::Draft, RequestKind::Booking][poison];
                    kind.send_poison(gateways[gateway], &id);
                }
                number += 1;
                thread::sleep(Duration::from_millis(rng.random_range(POISON_INTERVAL_MS)));
            }
        }));
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Tally> {
        self.tally.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts each request sent from now on as a violation unless it is served.
    fn expect_success(&self) {
        self.faults_over.store(true, Ordering::SeqCst);
    }

    fn stop(self) -> Tally {
        self.stop.store(true, Ordering::SeqCst);
        for thread in self.threads {
            let _ = thread.join();
        }
        let tally = self.tally.lock().unwrap_or_else(PoisonError::into_inner);
        tally.clone()
    }
}

struct Caller {
    gateway: usize,
    gateway_addr: SocketAddr,
    tally: Arc<Mutex<Tally>>,
    stop: Arc<AtomicBool>,
    faults_over: Arc<AtomicBool>,
    next_id: Arc<AtomicU64>,
    rng: ChaCha8Rng,
}

impl Caller {
    fn send_requests(mut self) {
        while !self.stop.load(Ordering::SeqCst) {
            let kind = match self.rng.random_range(0..10) {
                0..6 => RequestKind::Draft,
                6..8 => RequestKind::Booking,
                _ => RequestKind::Status,
            };
            let number = self.next_id.fetch_add(1, Ordering::Relaxed);
            let id = duties::request_id('s', self.gateway, number);
            let expects_success = self.faults_over.load(Ordering::SeqCst);
            let result = kind.send(self.gateway_addr, &id);
            let no_answer = result == CallResult::Nothing;
            {
                let mut tally = self.tally.lock().unwrap_or_else(PoisonError::into_inner);
                let served = matches!(
                    &result,
                    CallResult::Answer {
                        status: 200,
                        whole: true,
                        ..
                    }
                );
                if expects_success && !served {
                    let text =
                        format!("{kind:?} {id} isn't served after the last fault: {result:?}");
                    tally.violations.push(text);
                }
                tally.record(kind, id, result, STREAM_EVENTS);
            }
            if no_answer {
                thread::sleep(NO_ANSWER_DELAY);
            }
            thread::sleep(Duration::from_millis(
                self.rng.random_range(REQUEST_INTERVAL_MS),
            ));
        }
    }
}
