//! Tests of arenas, clocks and identifiers, with generated inputs where order matters.
#![allow(clippy::unwrap_used)]

use std::sync::Arc;
use std::thread;

use bolero::TypeGenerator;

use mustard_core::arena::Arena;
use mustard_core::collections::Map;
use mustard_core::fingerprint::Fingerprint;
use mustard_core::hlc::{Hlc, HlcClock};
use mustard_core::ids::RequestId;

#[derive(Clone, Copy, Debug, TypeGenerator)]
enum ArenaOp {
    Insert(u16),
    Remove(u8),
}

#[test]
fn arena_stale_keys_never_resolve() {
    bolero::check!()
        .with_type::<Vec<ArenaOp>>()
        .with_iterations(400)
        .for_each(|ops| {
            let mut arena = Arena::new();
            let mut issued = Vec::new();
            let mut model = Map::default();
            for op in ops {
                match *op {
                    ArenaOp::Insert(value) => {
                        let key = arena.insert(value);
                        assert!(model.insert(key, value).is_none(), "key was issued twice");
                        issued.push(key);
                    }
                    ArenaOp::Remove(_) if issued.is_empty() => {}
                    ArenaOp::Remove(index) => {
                        let key = issued[usize::from(index) % issued.len()];
                        assert_eq!(arena.remove(key), model.remove(&key));
                    }
                }
                assert_eq!(arena.len(), model.len());
            }
            issued
                .iter()
                .for_each(|key| assert_eq!(arena.get(*key), model.get(key)));
            assert_eq!(arena.iter().count(), model.len());
        });
}

#[test]
fn hlc_increases_for_any_wall_clock() {
    bolero::check!()
        .with_type::<Vec<(u32, Option<u32>)>>()
        .with_iterations(400)
        .for_each(|readings| {
            let clock = HlcClock::default();
            let mut last = Hlc(0);
            for (wall, remote) in readings {
                if let Some(remote) = remote {
                    let seen = Hlc(u64::from(*remote) << 16);
                    clock.observe(seen);
                    last = last.max(seen);
                }
                let at = clock.tick(u64::from(*wall));
                assert!(at > last, "{at} does not follow {last}");
                last = at;
            }
        });
}

#[test]
fn hlc_tick_from_threads() {
    const THREADS: usize = 4;
    const TICKS: usize = 500;
    let clock = Arc::new(HlcClock::default());
    let tick = |clock: Arc<HlcClock>| move || (0..TICKS).map(|_| clock.tick(9)).collect::<Vec<_>>();
    let threads: Vec<_> = (0..THREADS)
        .map(|_| thread::spawn(tick(Arc::clone(&clock))))
        .collect();
    let mut all: Vec<_> = threads
        .into_iter()
        .flat_map(|t| t.join().unwrap())
        .collect();
    all.sort();
    all.dedup();
    assert_eq!(all.len(), THREADS * TICKS);
}

#[test]
fn request_id_text_round_trip() {
    let id = RequestId(u128::MAX / 3);
    assert_eq!(id.to_string().parse::<RequestId>().unwrap(), id);
    assert!("not hexadecimal".parse::<RequestId>().is_err());
}

#[test]
fn fingerprint_parts_are_delimited() {
    assert_ne!(
        Fingerprint::of(&[b"ab", b"c"]),
        Fingerprint::of(&[b"a", b"bc"])
    );
    assert_eq!(
        Fingerprint::of(&[b"ab", b"c"]),
        Fingerprint::of(&[b"ab", b"c"])
    );
}
