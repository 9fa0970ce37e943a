//! Tests of the catalogue aggregate: changes apply in order and once each, invalid ones are
//! refused, and the state never goes back.
#![allow(clippy::unwrap_used)]

use bolero::TypeGenerator;

use mustard_core::catalogue::{
    Catalogue, CatalogueError, Change, Class, Entry, Limits, Op, Target,
};
use mustard_core::fingerprint::KeyHash;
use mustard_core::ids::{Revision, Seq};

fn entry(name: &str, burst: u32) -> Entry {
    Entry {
        name: name.into(),
        owner: "owner".into(),
        class: Class::Interactive,
        target: Target::Model {
            model: "caption".into(),
            layers: 12,
        },
        limits: Limits {
            burst,
            ..Limits::default()
        },
        keys: vec![KeyHash::of(name)],
    }
}

/// Returns the change that the catalogue would accept next for an operation.
fn next_change(catalogue: &Catalogue, op: Op) -> Change {
    Change {
        seq: catalogue.seq().next(),
        id: format!("change-{}", catalogue.seq()),
        expected: catalogue.revision(op.name()),
        author: "operator".into(),
        wall_ms: 0,
        op,
    }
}

/// Returns a history of changes; each pair gives an entry's number and whether it is retired.
fn history(ops: &[(u8, bool)]) -> Vec<Change> {
    let mut catalogue = Catalogue::default();
    let mut changes = Vec::new();
    for (n, retire) in ops {
        let name = format!("entry-{}", n % 4);
        let op = if *retire {
            Op::Retire(name)
        } else {
            Op::Put(entry(&name, 1 + u32::from(*n)))
        };
        let change = next_change(&catalogue, op);
        assert!(catalogue.apply(&change).unwrap());
        changes.push(change);
    }
    changes
}

#[derive(Clone, Debug, TypeGenerator)]
struct Schedule {
    ops: Vec<(u8, bool)>,
    deliveries: Vec<u8>,
    snapshot_at: u8,
}

#[test]
fn apply_any_order_and_repeats() {
    bolero::check!()
        .with_type::<Schedule>()
        .with_iterations(400)
        .for_each(|schedule| {
            let changes = history(&schedule.ops);
            let snapshot_len = usize::from(schedule.snapshot_at) % (changes.len() + 1);
            let mut older = Catalogue::default();
            changes[..snapshot_len]
                .iter()
                .for_each(|c| assert!(older.apply(c).unwrap()));

            let mut node = Catalogue::default();
            for index in &schedule.deliveries {
                let before = node.seq();
                match changes.get(usize::from(*index) % (changes.len() + 1)) {
                    Some(change) => match node.apply(change) {
                        Ok(fresh) => assert_eq!(fresh, change.seq > before),
                        Err(e) => assert_eq!(
                            e,
                            CatalogueError::Gap {
                                current: before,
                                received: change.seq
                            }
                        ),
                    },
                    None => assert_eq!(
                        node.install_newer(older.snapshot().clone()),
                        older.seq() > before
                    ),
                }
                assert!(node.seq() >= before, "the catalogue went back");
            }

            // The node's state equals that after all changes up to its sequence number.
            let mut expected = Catalogue::default();
            changes
                .iter()
                .take(node.seq().0 as usize)
                .for_each(|c| assert!(expected.apply(c).unwrap()));
            assert_eq!(node.snapshot(), expected.snapshot());
        });
}

#[test]
fn check_stale_revision() {
    let mut catalogue = Catalogue::default();
    let change = next_change(&catalogue, Op::Put(entry("a", 1)));
    catalogue.apply(&change).unwrap();
    let error = catalogue
        .check(Revision(0), &Op::Put(entry("a", 2)))
        .unwrap_err();
    let conflict = CatalogueError::Conflict {
        name: "a".into(),
        current: Revision(1),
        expected: Revision(0),
    };
    assert_eq!(error, conflict);
}

#[test]
fn check_field_out_of_range() {
    let catalogue = Catalogue::default();
    for (change, field) in [
        (
            Box::new(|e: &mut Entry| e.limits.rate = f64::NAN) as Box<dyn Fn(&mut Entry)>,
            "limits.rate",
        ),
        (
            Box::new(|e: &mut Entry| e.limits.concurrency = 0),
            "limits.concurrency",
        ),
        (Box::new(|e: &mut Entry| e.owner = "a b".into()), "owner"),
        (
            Box::new(|e: &mut Entry| e.keys = vec![KeyHash("plain".into())]),
            "keys",
        ),
    ] {
        let mut invalid = entry("a", 1);
        change(&mut invalid);
        match catalogue.check(Revision(0), &Op::Put(invalid)).unwrap_err() {
            CatalogueError::BadField { field: found, .. } => assert_eq!(found, field),
            other => panic!("unexpected {other}"),
        }
    }
}

#[test]
fn find_foreign_key_and_retired_entry() {
    let mut catalogue = Catalogue::default();
    for name in ["a", "b"] {
        let change = next_change(&catalogue, Op::Put(entry(name, 1)));
        catalogue.apply(&change).unwrap();
    }
    let key = KeyHash::of("a");
    assert_eq!(catalogue.find(&key, "a").unwrap().name, "a");
    assert_eq!(catalogue.find(&key, "caption").unwrap().name, "a");
    assert!(catalogue.find(&key, "b").is_none());

    let change = next_change(&catalogue, Op::Retire("a".into()));
    catalogue.apply(&change).unwrap();
    assert!(catalogue.find(&key, "a").is_none());
    assert_eq!(catalogue.revision("a"), Revision(2));
    assert_eq!(catalogue.seq(), Seq(3));
}
