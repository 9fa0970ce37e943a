//! Checks of the product's catalogue.

use std::collections::BTreeMap;

use super::Finding;
use super::diff::{Difference, Fields, compare};
use crate::catalogue::{Entry, Target};
use crate::collections::Map;

/// Checks entries against their ranges and against each other.
pub fn check_catalogue(entries: &[Entry]) -> Vec<Finding> {
    let mut findings = Vec::new();
    let mut users: Map<(&str, &str), &str> = Map::default();
    let mut models: Map<&str, (u32, &str)> = Map::default();
    let mut names: Map<&str, usize> = Map::default();
    for (index, entry) in entries.iter().enumerate() {
        let place = format!("entry {:?}", entry.name);
        if let Some(first) = names.insert(&entry.name, index) {
            findings.push(Finding::error(
                &place,
                format!("has the name of entry number {}", first + 1),
            ));
        }
        let errors = entry.field_errors();
        findings.extend(errors.iter().map(|e| Finding::error(&place, e.to_string())));
        if entry.keys.is_empty() {
            findings.push(Finding::warning(
                format!("{place}: keys"),
                "has no key, so no request can use it",
            ));
        }
        for key in &entry.keys {
            let user = users.insert((&key.0, entry.target.name()), &entry.name);
            if let Some(other) = user.filter(|o| *o != entry.name) {
                findings.push(Finding::warning(
                    format!("{place}: keys"),
                    format!(
                        "shares a key with entry {other:?}; a request for {:?} reaches only one of them",
                        entry.target.name()
                    ),
                ));
            }
        }
        if let Target::Model { model, layers } = &entry.target {
            let (first, other) = *models.entry(model).or_insert((*layers, &entry.name));
            if first != *layers {
                findings.push(Finding::error(
                    format!("{place}: target.layers"),
                    format!(
                        "model {model:?} has {layers} layers here and {first} in entry {other:?}"
                    ),
                ));
            }
        }
        let limits = &entry.limits;
        let reachable = limits.rate * limits.deadline_ms as f64 / 1e3 + f64::from(limits.burst);
        if reachable < f64::from(limits.concurrency) {
            findings.push(Finding::warning(
                format!("{place}: limits.concurrency"),
                format!(
                    "{} requests can't run at once: rate, burst and deadline allow {reachable:.1}",
                    limits.concurrency
                ),
            ));
        }
    }
    findings
}

/// Returns how entries differ from those before.
pub fn diff_catalogue(before: &[Entry], after: &[Entry]) -> Vec<Difference> {
    compare(describe(before), describe(after))
}

fn describe(entries: &[Entry]) -> BTreeMap<String, Fields> {
    let described = entries.iter().map(|e| {
        let limits = &e.limits;
        let fields = vec![
            ("owner", format!("{:?}", e.owner)),
            ("class", format!("{:?}", e.class)),
            ("target", format!("{:?}", e.target)),
            ("limits.rate", limits.rate.to_string()),
            ("limits.burst", limits.burst.to_string()),
            ("limits.concurrency", limits.concurrency.to_string()),
            ("limits.max_tokens", limits.max_tokens.to_string()),
            ("limits.deadline_ms", limits.deadline_ms.to_string()),
            ("limits.share", limits.share.to_string()),
            (
                "keys",
                format!("{:?}", e.keys.iter().map(|k| &k.0).collect::<Vec<_>>()),
            ),
        ];
        (format!("entry {:?}", e.name), fields)
    });
    described.collect()
}
