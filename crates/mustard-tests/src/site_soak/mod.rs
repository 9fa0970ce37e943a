//! Gateways as processes before a stand-in site, with loopback proxies between them, under random
//! faults in series and overlapping.
//!
//! The promises are checked from what callers see and what the servers ran.

mod calls;
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

use mustard_fakes::site::{KEY, Site, SiteOptions};

use crate::errors::{Result, TestError};
use crate::ports::free_port;
use crate::wait::eventually;

use calls::{Kind, Seen};
use gateways::Gateway;
use proxy::Proxy;

pub use calls::stream_text;
pub use tally::Tally;

const EVENTS: u64 = 40;
/// The pause between two requests of a caller.
const PAUSE_MS: std::ops::Range<u64> = 5..120;
/// The pause of a caller that found nobody.
const NOBODY: Duration = Duration::from_millis(50);
/// The time after the last fault within which all is served again, and for which it then has to be.
const SETTLE: Duration = Duration::from_secs(8);
const CALM: Duration = Duration::from_secs(2);
const MODELS: [usize; 2] = [4, 4];
const PLAIN: usize = 3;

/// What a soak consists of.
#[derive(Clone, Copy, Debug)]
pub struct SitePlan {
    /// The seed of loads and faults.
    pub seed: u64,
    /// How long faults are brought about.
    pub time: Duration,
    /// The gateways, four at most.
    pub gateways: usize,
    /// Callers at each gateway.
    pub callers: usize,
}

impl Default for SitePlan {
    fn default() -> Self {
        SitePlan {
            seed: 1,
            time: Duration::from_secs(20),
            gateways: 3,
            callers: 4,
        }
    }
}

/// What the faults act on.
struct World {
    site: Site,
    gateways: Vec<Gateway>,
    /// One before each server, in the site's order.
    proxies: Vec<Proxy>,
    store: Proxy,
    version: u64,
    dir: PathBuf,
}

/// Runs a soak and returns what was seen.
///
/// # Errors
///
/// Returns an error if the processes can't be started.
pub fn run(plan: SitePlan) -> Result<Tally> {
    let mut world = World::start(&plan)?;
    let callers = Callers::start(&plan, &world);
    world.wait_served(&callers)?;
    let faults = faults::bring(&mut world, plan.seed, plan.time)?;
    thread::sleep(SETTLE);
    callers.mark();
    thread::sleep(CALM);
    let mut tally = callers.stop();
    tally.faults = faults;
    tally.judge(&world.site.ledger());
    for gateway in &world.gateways {
        let texts = gateway.surprises.iter();
        tally.broken.extend(texts.map(|s| format!("gateway: {s}")));
    }
    if tally.broken.is_empty() {
        let _ = std::fs::remove_dir_all(&world.dir);
    } else {
        println!("logs are kept in {}", world.dir.display());
    }
    Ok(tally)
}

impl World {
    fn start(plan: &SitePlan) -> Result<Self> {
        let site = Site::start(SiteOptions {
            servers: MODELS.to_vec(),
            plain: PLAIN,
            events: EVENTS,
            ..SiteOptions::default()
        })
        .map_err(|e| TestError::Io(std::io::Error::other(e.to_string())))?;
        let mut proxies = Vec::new();
        for (server, addr) in site.addrs().into_iter().enumerate() {
            let proxy = Proxy::start(addr)?;
            site.announce(server, proxy.addr());
            proxies.push(proxy);
        }
        site.configure(1, &[KEY]);
        let store = Proxy::start(site.store())?;
        let name = format!("mustard-site-soak-{}-{}", std::process::id(), plan.seed);
        let dir = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&dir)?;
        let peer_port = free_port().ok_or(TestError::NoPort)?;
        let start =
            |number| Gateway::start(&site, store.addr(), number, plan.gateways, peer_port, &dir);
        let gateways = (0..plan.gateways).map(start).collect::<Result<_>>()?;
        Ok(World {
            site,
            gateways,
            proxies,
            store,
            version: 1,
            dir,
        })
    }

    /// Waits until each kind of request was served.
    fn wait_served(&self, callers: &Callers) -> Result<()> {
        let kinds = [Kind::Draft, Kind::Booking, Kind::Status];
        let served = || {
            let tally = callers.lock();
            let all = kinds.iter().all(|k| tally.count(*k, "200") > 0);
            all.then_some(())
        };
        eventually("a served request of each kind", served)
    }
}

/// Threads that send requests until they are stopped.
struct Callers {
    tally: Arc<Mutex<Tally>>,
    stop: Arc<AtomicBool>,
    /// Requests that failed since the mark, which says that all should be well.
    marked: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Callers {
    fn start(plan: &SitePlan, world: &World) -> Self {
        let mut callers = Callers {
            tally: Arc::default(),
            stop: Arc::default(),
            marked: Arc::default(),
            threads: Vec::new(),
        };
        let next = Arc::new(AtomicU64::new(0));
        for (number, gateway) in world.gateways.iter().enumerate() {
            for i in 0..plan.callers {
                let caller = Caller {
                    to: gateway.callers(),
                    tally: Arc::clone(&callers.tally),
                    stop: Arc::clone(&callers.stop),
                    marked: Arc::clone(&callers.marked),
                    next: Arc::clone(&next),
                    rng: ChaCha8Rng::seed_from_u64(plan.seed ^ ((number * 100 + i) as u64 + 1)),
                };
                callers.threads.push(thread::spawn(move || caller.run()));
            }
        }
        callers
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Tally> {
        self.tally.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes that all requests sent from now on are to be served.
    fn mark(&self) {
        self.marked.store(true, Ordering::SeqCst);
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
    to: SocketAddr,
    tally: Arc<Mutex<Tally>>,
    stop: Arc<AtomicBool>,
    marked: Arc<AtomicBool>,
    next: Arc<AtomicU64>,
    rng: ChaCha8Rng,
}

impl Caller {
    fn run(mut self) {
        while !self.stop.load(Ordering::SeqCst) {
            let kind = match self.rng.random_range(0..10) {
                0..6 => Kind::Draft,
                6..8 => Kind::Booking,
                _ => Kind::Status,
            };
            let id = format!("s{:06}", self.next.fetch_add(1, Ordering::Relaxed));
            let is_calm = self.marked.load(Ordering::SeqCst);
            let seen = kind.send(self.to, &id);
            let is_nobody = seen == Seen::Nothing;
            {
                let mut tally = self.tally.lock().unwrap_or_else(PoisonError::into_inner);
                let served = matches!(
                    &seen,
                    Seen::Answer {
                        status: 200,
                        whole: true,
                        ..
                    }
                );
                if is_calm && !served {
                    let text = format!("{kind:?} {id} isn't served after the last fault: {seen:?}");
                    tally.broken.push(text);
                }
                tally.note(kind, id, seen, EVENTS);
            }
            if is_nobody {
                thread::sleep(NOBODY);
            }
            thread::sleep(Duration::from_millis(self.rng.random_range(PAUSE_MS)));
        }
    }
}
