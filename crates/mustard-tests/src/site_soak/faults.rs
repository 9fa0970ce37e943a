//! Faults of a soak, drawn from a seed, in series and overlapping.

use std::collections::BTreeMap;
use std::thread;
use std::time::{Duration, Instant};

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rustix::process::Signal;

use mustard_fakes::site::{Health, KEY, StoreMode};

use crate::errors::Result;

use super::World;
use super::proxy::Harm;

/// The pause between the starts of two faults.
const PAUSE_MS: std::ops::Range<u64> = 50..900;
/// How long a fault lasts.
const LAST_MS: std::ops::Range<u64> = 100..2_500;
const STEP: Duration = Duration::from_millis(10);

/// A fault with what ends it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    Proxy(usize, Harm),
    StoreProxy(Harm),
    Store(StoreMode),
    Server(usize, Health),
    Restart(usize),
    Freeze(usize),
    Kill(usize),
    Stop(usize),
    Reload(usize),
    Configure,
}

impl Fault {
    fn draw(rng: &mut ChaCha8Rng, world: &World) -> Fault {
        let server = rng.random_range(0..world.proxies.len());
        let gateway = rng.random_range(0..world.gateways.len());
        let harm = |rng: &mut ChaCha8Rng| *Harm::ALL.choose(rng).unwrap_or(&Harm::Reset);
        let modes = [
            StoreMode::Busy,
            StoreMode::Resets,
            StoreMode::Forgets,
            StoreMode::LosesAnswers,
        ];
        let healths = [
            Health::Silent,
            Health::Resets,
            Health::LosesAnswers,
            Health::Fails,
        ];
        match rng.random_range(0..14) {
            0..3 => Fault::Proxy(server, harm(rng)),
            3 => Fault::StoreProxy(harm(rng)),
            4 => Fault::Store(*modes.choose(rng).unwrap_or(&StoreMode::Busy)),
            5..7 => Fault::Server(server, *healths.choose(rng).unwrap_or(&Health::Silent)),
            7 => Fault::Restart(server),
            8 => Fault::Freeze(gateway),
            9..11 => Fault::Kill(gateway),
            11 => Fault::Stop(gateway),
            12 => Fault::Reload(gateway),
            _ => Fault::Configure,
        }
    }

    fn name(self) -> &'static str {
        match self {
            Fault::Proxy(_, Harm::Delay) => "server delayed",
            Fault::Proxy(_, Harm::Reset) => "server's connections reset",
            Fault::Proxy(..) => "server cut off",
            Fault::StoreProxy(_) => "way to the store harmed",
            Fault::Store(_) => "store at fault",
            Fault::Server(..) => "server at fault",
            Fault::Restart(_) => "server restarted",
            Fault::Freeze(_) => "gateway frozen",
            Fault::Kill(_) => "gateway killed",
            Fault::Stop(_) => "gateway stopped",
            Fault::Reload(_) => "settings read again",
            Fault::Configure => "configuration changed",
        }
    }

    fn begin(self, world: &mut World) -> Result<()> {
        match self {
            Fault::Proxy(server, harm) => world.proxies[server].set(harm),
            Fault::StoreProxy(harm) => world.store.set(harm),
            Fault::Store(mode) => world.site.set_store(mode),
            Fault::Server(server, health) => world.site.set_health(server, health),
            Fault::Restart(server) => world.site.restart(server),
            Fault::Freeze(gateway) => world.gateways[gateway].signal(Signal::STOP)?,
            Fault::Kill(gateway) => world.gateways[gateway].kill()?,
            Fault::Stop(gateway) => world.gateways[gateway].terminate()?,
            Fault::Reload(gateway) => world.gateways[gateway].reload()?,
            Fault::Configure => {
                world.version += 1;
                world.site.configure(world.version, &[KEY, "another"]);
            }
        }
        Ok(())
    }

    fn end(self, world: &mut World) -> Result<()> {
        match self {
            Fault::Proxy(server, _) => world.proxies[server].set(Harm::None),
            Fault::StoreProxy(_) => world.store.set(Harm::None),
            Fault::Store(_) => world.site.set_store(StoreMode::Well),
            Fault::Server(server, _) => world.site.set_health(server, Health::Well),
            Fault::Freeze(gateway) => world.gateways[gateway].signal(Signal::CONT)?,
            Fault::Kill(gateway) => world.gateways[gateway].run()?,
            Fault::Stop(gateway) => {
                // A frozen process can't end.
                world.gateways[gateway].signal(Signal::CONT)?;
                world.gateways[gateway].renew()?;
            }
            Fault::Restart(_) | Fault::Reload(_) | Fault::Configure => {}
        }
        Ok(())
    }
}

/// Brings faults about for a time, ends all of them, and returns how many of each there were.
pub(super) fn bring(world: &mut World, seed: u64, time: Duration) -> Result<BTreeMap<String, u64>> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut counts = BTreeMap::new();
    let mut active: Vec<(Instant, Fault)> = Vec::new();
    let end = Instant::now() + time;
    let mut next = Instant::now();
    while Instant::now() < end {
        let now = Instant::now();
        let over = |(until, _): &(Instant, Fault)| *until <= now;
        let ended: Vec<_> = active.extract_if(.., |f| over(f)).collect();
        for (_, fault) in ended {
            fault.end(world)?;
        }
        if now >= next {
            let fault = Fault::draw(&mut rng, world);
            let last = Duration::from_millis(rng.random_range(LAST_MS));
            next = now + Duration::from_millis(rng.random_range(PAUSE_MS));
            fault.begin(world)?;
            *counts.entry(fault.name().to_owned()).or_insert(0) += 1;
            active.push((now + last, fault));
        }
        thread::sleep(STEP);
    }
    for (_, fault) in active {
        fault.end(world)?;
    }
    for gateway in &mut world.gateways {
        gateway.run()?;
    }
    Ok(counts)
}
