//! Asks servers through which no stream makes progress for a report, and tells other gateways of servers that
//! turn out to be silent; the policy is [`quiet`](mustard_policy::quiet).
//!
//! A gateway that is told of a silent server asks it for a report itself, so that one that is cut off costs
//! the others a call and moves none of their streams.

use std::net::SocketAddr;
use std::rc::Rc;

use rand::seq::IteratorRandom;
use serde::{Deserialize, Serialize};
use slog::info;

use mustard_core::collections::Map;
use mustard_core::deployment::ServerKey;
use mustard_policy::quiet::Activity;

use crate::app::App;
use crate::crossing_share;
use crate::fleet::ServerProcess;
use crate::log_limit::Topic;
use crate::metric;
use crate::server_probe::probe_faulty_server;
use crate::strike_news;

/// The gateways that one tells of a silent server. Each that confirms it tells as many others, so that two
/// steps reach 64 of them.
const ALERT_FANOUT: usize = 8;

/// A server that doesn't answer, in a message.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SilentMessage {
    #[serde(rename = "s")]
    server: String,
    #[serde(rename = "b")]
    started_ms: u64,
}

/// Asks the servers through which no stream makes progress, where crossings between failure domains are scarce.
pub fn ask_quiet(app: &Rc<App>) {
    let now = app.now();
    let Some(config) = app.config() else {
        return;
    };
    let mut servers: Map<ServerKey, Activity> = Map::default();
    {
        let streams = app.streams.borrow();
        let begun = streams.iter().map(|(_, s)| s);
        for stream in begun.filter(|s| s.progress.has_begun && !s.moving) {
            for part in &stream.parts {
                let activity = servers.entry(part.server).or_default();
                activity.add(stream.progress.last_event);
            }
        }
    }
    let pause = app.pauses.borrow().mean();
    let quiet = app
        .quiet
        .borrow_mut()
        .take_quiet(now, pause, servers.into_iter());
    for key in quiet {
        let is_enabled = {
            let fleet = app.fleet.borrow();
            let server = fleet.get(key).filter(|s| s.silent_since.is_none());
            let service = server.map(|s| s.entry.service.clone());
            drop(fleet);
            let service = service.and_then(|name| config.service(&name));
            service.is_some_and(|s| {
                let engine = s.engine.as_ref();
                engine.is_some_and(|e| crossing_share::is_scarce(app, e, &s.name))
            })
        };
        if is_enabled {
            metric::count_quiet_server("asked");
            probe_faulty_server(app, key);
        }
    }
}

/// Tells other gateways of a server that this one has just found silent.
pub fn send_alert(app: &Rc<App>, key: ServerKey) {
    let now = app.now();
    let process = {
        let fleet = app.fleet.borrow();
        let server = fleet.get(key);
        let server = server.map(|s| (s.process(key), s.entry.service.clone()));
        drop(fleet);
        let config = app.config();
        server.filter(|(_, name)| {
            let service = config.as_ref().and_then(|c| c.service(name));
            let engine = service.and_then(|s| s.engine.as_ref());
            engine.is_some_and(|e| crossing_share::is_scarce(app, e, name))
        })
    };
    let Some((ServerProcess { id, started_ms, .. }, _)) = process else {
        return;
    };
    if !app.quiet.borrow_mut().begin_alert(now) {
        metric::count_quiet_server("not told");
        return;
    }
    let rng = &mut *app.rng.borrow_mut();
    let peers = app
        .peers
        .borrow()
        .others(false)
        .choose_multiple(rng, ALERT_FANOUT);
    metric::count_quiet_server("told");
    strike_news::send_silent(
        app,
        &peers,
        SilentMessage {
            server: id,
            started_ms,
        },
    );
}

/// Asks the servers for a report that another gateway has found silent.
pub fn apply_messages(app: &Rc<App>, from: SocketAddr, messages: Vec<SilentMessage>) {
    let now = app.now();
    for message in messages {
        let key = {
            let fleet = app.fleet.borrow();
            let key = fleet.find_process(&message.server, message.started_ms);
            key.filter(|key| !fleet.is_silent(*key))
        };
        let Some(key) = key else {
            continue;
        };
        if app.quiet.borrow_mut().take_alert(now, key) {
            metric::count_quiet_server("asked for another gateway");
            if let Some(log) = app.log.logger_for(Topic::Server) {
                info!(log, "watch: Another gateway gets no answer of a server.";
                    "server" => &message.server,
                    "peer" => %from);
            }
            probe_faulty_server(app, key);
        }
    }
}
