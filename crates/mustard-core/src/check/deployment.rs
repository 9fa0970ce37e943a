//! Checks of the configuration of a deployment whose servers pass requests along their pipelines themselves.

use std::collections::BTreeMap;
use std::time::Duration;

use super::Finding;
use super::diff::{Difference, Fields, compare};
use crate::collections::{Map, Set};
use crate::deployment::{Config, Engine, Route, RouteKind, Service};

/// The lowest priority that servers know.
const MAX_PRIORITY: u8 = 9;
/// The most layers, as in a catalogue entry. Gateways allocate memory for each layer.
const MAX_LAYERS: u32 = 10_000;
/// The retries of one request from which on a few failing requests use up the budget that many requests
/// share; a fifth of the requests may be retried.
const MAX_RETRIES: u32 = 3;

/// Checks routes, services and customers, and how they fit each other.
pub fn check_deployment(config: &Config) -> Vec<Finding> {
    let mut findings = config.corrections().to_vec();
    if config.body_limit == 0 {
        findings.push(Finding::error("limits", "no request may have a body"));
    }
    check_routes(config, &mut findings);
    for name in config.repeated_services() {
        findings.push(Finding::error(
            format!("service {name:?}"),
            "is defined more than once; only the last definition is used",
        ));
    }
    let mut services: Vec<&Service> = config.services().collect();
    services.sort_unstable_by_key(|s| &s.name);
    for service in services {
        check_service(config, service, &mut findings);
    }
    check_customers(config, &mut findings);
    findings
}

/// Returns how a configuration differs from the one before.
pub fn diff_deployment(before: &Config, after: &Config) -> Vec<Difference> {
    compare(describe(before), describe(after))
}

fn check_routes(config: &Config, findings: &mut Vec<Finding>) {
    let mut prefixes: Map<(&str, &str), String> = Map::default();
    for (index, route) in config.routes().iter().enumerate() {
        let place = route_place(index, route);
        let first = prefixes
            .entry((&route.host, &route.prefix))
            .or_insert_with(|| place.clone());
        if *first != place {
            findings.push(Finding::warning(
                &place,
                format!("never matches: {first} has the same host and prefix"),
            ));
        }
        check_route(config, route, &place, findings);
    }
}

fn check_route(config: &Config, route: &Route, place: &str, findings: &mut Vec<Finding>) {
    let field = |name: &str| format!("{place}: {name}");
    if !route.prefix.starts_with('/') {
        findings.push(Finding::error(
            field("prefix"),
            format!(
                "{:?} never matches: a path begins with a slash",
                route.prefix
            ),
        ));
    }
    if route.host.is_empty() {
        findings.push(Finding::warning(
            field("host"),
            "is empty and never matches",
        ));
    }
    if route.timeout.is_zero() {
        findings.push(Finding::error(
            field("timeout"),
            "no request can be served in no time",
        ));
    } else if route.timeout < route.target_latency {
        findings.push(Finding::warning(
            field("timeout"),
            format!(
                "{:?} is below the target time of {:?}",
                route.timeout, route.target_latency
            ),
        ));
    }
    if let Some(gap) = route.target_gap {
        if !matches!(route.kind, RouteKind::Stream { .. }) {
            findings.push(Finding::warning(
                field("target_gap"),
                "has no effect: no stream",
            ));
        } else if route.timeout < gap {
            findings.push(Finding::warning(
                field("target_gap"),
                format!("{gap:?} is above the timeout of {:?}", route.timeout),
            ));
        }
    }
    if route.priority > MAX_PRIORITY {
        findings.push(Finding::warning(
            field("priority"),
            format!("{} counts as {MAX_PRIORITY}", route.priority),
        ));
    }
    let is_repeatable = !matches!(
        route.kind,
        RouteKind::Once | RouteKind::Stream { resumable: false }
    );
    if route.max_attempts > 1 && !is_repeatable {
        findings.push(Finding::warning(
            field("max_attempts"),
            format!(
                "{} attempts, but a request may run only once",
                route.max_attempts
            ),
        ));
    } else if route.max_attempts > 1 + MAX_RETRIES {
        findings.push(Finding::warning(
            field("max_attempts"),
            format!(
                "{} attempts soon exhaust the retry budget",
                route.max_attempts
            ),
        ));
    }
    check_weights(config, route, place, findings);
}

fn check_weights(config: &Config, route: &Route, place: &str, findings: &mut Vec<Finding>) {
    let is_used = |weight: f64| weight.is_finite() && weight > 0.0;
    if !route.services.iter().any(|s| is_used(s.weight)) {
        findings.push(Finding::error(
            format!("{place}: services"),
            "no service has a weight above 0, so no request can be served",
        ));
    }
    let mut seen = Set::default();
    for weighted in &route.services {
        let place = format!("{place}: service {:?}", weighted.service);
        if config.service(&weighted.service).is_none() {
            findings.push(Finding::error(&place, "doesn't exist"));
        }
        if !is_used(weighted.weight) {
            findings.push(Finding::warning(
                &place,
                format!("gets no requests: its weight is {}", weighted.weight),
            ));
        }
        if !seen.insert(&weighted.service) {
            findings.push(Finding::warning(&place, "is named twice"));
        }
    }
}

fn check_service(config: &Config, service: &Service, findings: &mut Vec<Finding>) {
    let place = format!("service {:?}", service.name);
    let mut targets = config.routes().iter().flat_map(|r| &r.services);
    if !targets.any(|w| w.service == service.name) {
        findings.push(Finding::warning(&place, "no route sends requests to it"));
    }
    if service.max_connections == 0 {
        findings.push(Finding::error(
            format!("{place}: max_connections"),
            "its servers accept no connection",
        ));
    }
    if let Some(engine) = &service.engine {
        check_engine(service, engine, &place, findings);
    }
}

fn check_engine(service: &Service, engine: &Engine, place: &str, findings: &mut Vec<Finding>) {
    let field = |name: &str| format!("{place}: engine.{name}");
    for (name, count) in [("layers", engine.layers), ("slots", engine.slots)] {
        if count == 0 {
            findings.push(Finding::error(field(name), "must be at least 1"));
        }
    }
    if engine.layers > MAX_LAYERS {
        findings.push(Finding::error(
            field("layers"),
            format!("{} is above {MAX_LAYERS}", engine.layers),
        ));
    }
    for (name, value) in [
        ("layer_mb", engine.layer_mb),
        ("kv_token_bytes", engine.kv_token_bytes),
        ("step_time.base_ms", engine.step_time.base_ms),
        ("step_time.sequence_ms", engine.step_time.sequence_ms),
        ("activation_bytes", engine.activation_bytes),
        ("mean_prompt", engine.mean_prompt),
        ("mean_answer", engine.mean_answer),
    ] {
        if !value.is_finite() || value < 0.0 {
            findings.push(Finding::error(
                field(name),
                format!("{value} isn't possible"),
            ));
        }
    }
    // An infinite bandwidth stands for one that isn't named.
    for (name, value) in [
        ("pipe_mbps", engine.pipe_mbps),
        ("step_time.prompt_rate", engine.step_time.prompt_rate),
    ] {
        if value.is_nan() || value <= 0.0 {
            findings.push(Finding::error(
                field(name),
                format!("{value} isn't above 0"),
            ));
        }
    }
    if engine.slots > service.max_connections {
        findings.push(Finding::warning(
            field("slots"),
            format!(
                "{} requests at once, but a server accepts {} connections",
                engine.slots, service.max_connections
            ),
        ));
    }
    if engine.accelerators.is_empty() {
        findings.push(Finding::error(
            field("accelerators"),
            "none is listed, so that gateways use none of its servers",
        ));
    }
    let request_mb = (engine.mean_prompt + engine.mean_answer) * engine.token_layer_mb();
    let mut names = Set::default();
    for accelerator in &engine.accelerators {
        let place = format!("{place}: accelerator {:?}", accelerator.name);
        if !names.insert(&accelerator.name) {
            findings.push(Finding::warning(
                &place,
                "never matches: an earlier one has the name",
            ));
        }
        for (name, factor) in [
            ("step_factor", accelerator.step_factor),
            ("prompt_factor", accelerator.prompt_factor),
        ] {
            if !factor.is_finite() || factor <= 0.0 {
                findings.push(Finding::error(
                    format!("{place}: {name}"),
                    format!("{factor} isn't above 0"),
                ));
            }
        }
        if accelerator.memory_mb < engine.layer_mb + request_mb {
            findings.push(Finding::warning(
                &place,
                format!(
                    "{} MB don't hold one layer of {} MB and its part of one request",
                    accelerator.memory_mb, engine.layer_mb
                ),
            ));
        }
    }
}

fn check_customers(config: &Config, findings: &mut Vec<Finding>) {
    let mut keys = Map::default();
    let mut names = Set::default();
    for customer in config.customers() {
        let place = format!("customer {:?}", customer.name);
        if !names.insert(&customer.name) {
            findings.push(Finding::warning(&place, "is named twice"));
        }
        if customer.keys.is_empty() {
            findings.push(Finding::warning(&place, "has no key and never matches"));
        }
        if let Some(priority) = customer.priority.filter(|p| *p > MAX_PRIORITY) {
            findings.push(Finding::warning(
                format!("{place}: priority"),
                format!("{priority} counts as {MAX_PRIORITY}"),
            ));
        }
        for key in &customer.keys {
            let other = keys.insert(*key, &customer.name);
            if let Some(other) = other.filter(|o| *o != &customer.name) {
                findings.push(Finding::warning(
                    format!("customer {other:?}: keys"),
                    format!(
                        "one of its keys never matches: customer {:?} has it too",
                        customer.name
                    ),
                ));
            }
        }
    }
}

fn route_place(index: usize, route: &Route) -> String {
    format!("routes[{index}] {:?}", route.name)
}

fn describe(config: &Config) -> BTreeMap<String, Fields> {
    let mut entries = BTreeMap::new();
    entries.insert(
        "limits".to_owned(),
        vec![("body_limit", config.body_limit.to_string())],
    );
    for route in config.routes() {
        let entry = format!("route {:?} {}{}", route.name, route.host, route.prefix);
        entries.entry(entry).or_insert_with(|| route_fields(route));
    }
    for service in config.services() {
        let entry = format!("service {:?}", service.name);
        entries.insert(entry, service_fields(service));
    }
    let mut numbers: Map<&str, usize> = Map::default();
    for customer in config.customers() {
        let fields = vec![
            // The digests are left out: whoever reads the output needs no keys.
            ("number of keys", customer.keys.len().to_string()),
            ("digest of keys", format!("{:08x}", digest(&customer.keys))),
            ("priority", format!("{:?}", customer.priority)),
        ];
        // All customers of one name are in force, each with its own keys.
        let number = numbers.entry(&customer.name).or_default();
        *number += 1;
        let entry = match number {
            1 => format!("customer {:?}", customer.name),
            n => format!("customer {:?} ({n})", customer.name),
        };
        entries.insert(entry, fields);
    }
    entries
}

fn route_fields(route: &Route) -> Fields {
    let millis = |d: Duration| format!("{} ms", d.as_millis());
    let services = route
        .services
        .iter()
        .map(|s| format!("{}={}", s.service, s.weight));
    vec![
        ("kind", format!("{:?}", route.kind)),
        ("timeout", millis(route.timeout)),
        ("target_latency", millis(route.target_latency)),
        (
            "target_gap",
            route.target_gap.map_or_else(|| "none".to_owned(), millis),
        ),
        ("priority", route.priority.to_string()),
        ("services", services.collect::<Vec<_>>().join(",")),
        ("max_attempts", route.max_attempts.to_string()),
        ("public", route.public.to_string()),
    ]
}

fn service_fields(service: &Service) -> Fields {
    let engine = service.engine.as_ref();
    let text = |value: Option<String>| value.unwrap_or_else(|| "none".to_owned());
    vec![
        ("health_path", service.health_path.clone()),
        ("max_connections", service.max_connections.to_string()),
        ("engine.layers", text(engine.map(|e| e.layers.to_string()))),
        (
            "engine.layer_mb",
            text(engine.map(|e| e.layer_mb.to_string())),
        ),
        (
            "engine.kv_token_bytes",
            text(engine.map(|e| e.kv_token_bytes.to_string())),
        ),
        (
            "engine.step_time",
            text(engine.map(|e| format!("{:?}", e.step_time))),
        ),
        ("engine.slots", text(engine.map(|e| e.slots.to_string()))),
        (
            "engine.activation_bytes",
            text(engine.map(|e| e.activation_bytes.to_string())),
        ),
        (
            "engine.pipe_mbps",
            text(engine.map(|e| e.pipe_mbps.to_string())),
        ),
        (
            "engine.load_time",
            text(engine.map(|e| format!("{:?}", e.load_time))),
        ),
        (
            "engine.parallel_loads",
            text(engine.map(|e| e.parallel_loads.to_string())),
        ),
        (
            "engine.mean_prompt",
            text(engine.map(|e| e.mean_prompt.to_string())),
        ),
        (
            "engine.mean_answer",
            text(engine.map(|e| e.mean_answer.to_string())),
        ),
        (
            "engine.accelerators",
            text(engine.map(|e| format!("{:?}", e.accelerators))),
        ),
    ]
}

/// Returns a short value that changes with the keys, whatever their order.
fn digest(keys: &[crate::fingerprint::Fingerprint]) -> u32 {
    keys.iter().fold(0, |all, key| all ^ (key.0 as u32))
}
