//! Follows the operators' configuration and the list of servers in the platform's store.

use std::rc::Rc;
use std::time::Duration;

use slog::{info, warn};
use tokio::time::sleep;

use mustard_adapter::store::{CONFIG_KEY, Changes, Feed, Followed};
use mustard_adapter::{config, servers};

use crate::app::App;
use crate::fleet::Turn;
use crate::journal::Topic;
use crate::metric;

/// How long one call waits for changes. A connection that has gone silent is noticed after this
/// time and a margin, which has to lie within the platform's 3 s to get back in touch.
const WAIT: Duration = Duration::from_millis(2_300);
/// The pause after changes, so that the next call brings several; far below the 2 s in which a
/// change has to be in force.
const GATHER: Duration = Duration::from_millis(60);
/// The same before the first request, while servers join.
const GATHER_EARLY: Duration = Duration::from_millis(400);
/// The pause after a failed call.
const BACKOFF: Duration = Duration::from_millis(250);
/// How long after the store's return a vanished row may be the store's doing: servers that live
/// are back within about two seconds.
const UNSURE: Duration = Duration::from_millis(2_200);

/// Follows one table for the life of the process.
pub async fn run(app: Rc<App>, followed: Followed) {
    loop {
        match app.store.snapshot(followed).await {
            Ok(changes) => {
                regained(&app, followed);
                let revision = changes.revision;
                take(&app, followed, changes, true);
                feed(&app, followed, revision).await;
            }
            Err(e) => {
                lost(&app, followed, &e);
                sleep(BACKOFF).await;
            }
        }
    }
}

/// Follows changes until the store has forgotten some of them.
async fn feed(app: &Rc<App>, followed: Followed, mut revision: u64) {
    loop {
        match app.store.feed(followed, revision, WAIT).await {
            Ok(Feed::Changes(changes)) => {
                regained(app, followed);
                revision = revision.max(changes.revision);
                let changed = !changes.rows.is_empty();
                take(app, followed, changes, false);
                if changed {
                    // Changes come in bursts, and each call is paid for by every gateway.
                    sleep(if app.asked.get() {
                        GATHER
                    } else {
                        GATHER_EARLY
                    })
                    .await;
                }
            }
            Ok(Feed::Forgotten) => {
                metric::store("feed", "forgotten");
                if let Some(log) = app.journal.admit(Topic::Dependency) {
                    warn!(log, "store: History is gone, the table is read anew.";
                        "table" => ?followed, "revision" => revision);
                }
                return;
            }
            Err(e) => {
                lost(app, followed, &e);
                sleep(BACKOFF).await;
            }
        }
    }
}

fn regained(app: &App, followed: Followed) {
    metric::store("follow", "ok");
    if followed == Followed::Servers {
        app.heard.set(app.now());
    }
    if !app.peers.borrow_mut().set_store(followed, true) {
        return;
    }
    if app.store_failed.get() {
        app.store_back.set(Some(app.now()));
    }
    app.store_failed.set(false);
    if let Some(log) = app.journal.admit(Topic::Dependency) {
        info!(log, "store: The table is followed."; "table" => ?followed);
    }
}

fn lost(app: &App, followed: Followed, error: &mustard_platform::PlatformError) {
    metric::store("follow", "failed");
    app.store_failed.set(true);
    let mut peers = app.peers.borrow_mut();
    if peers.set_store(followed, false)
        && let Some(log) = app.journal.admit(Topic::Dependency)
    {
        warn!(log, "store: The table is out of reach."; "table" => ?followed,
            "error" => %error);
    }
}

fn take(app: &Rc<App>, followed: Followed, changes: Changes, whole: bool) {
    match followed {
        Followed::Operators => {
            for row in changes.rows {
                if row.key == CONFIG_KEY
                    && let Some(text) = row.value
                {
                    adopt(app, text, "store");
                }
            }
        }
        Followed::Servers => take_servers(app, changes, whole),
    }
}

/// Puts a configuration in force unless it is older than the one that is.
pub fn adopt(app: &App, text: Vec<u8>, source: &'static str) {
    let config = match config::decode(&text) {
        Ok(config) => config,
        Err(e) => {
            if let Some(log) = app.journal.admit(Topic::Config) {
                warn!(log, "config: A configuration can't be read."; "source" => source,
                    "error" => %e);
            }
            return;
        }
    };
    let current = app.config().map_or(0, |c| c.version);
    if config.version <= current {
        return;
    }
    if let Some(log) = app.journal.admit(Topic::Config) {
        info!(log, "config: In force."; "version" => config.version, "before" => current,
            "source" => source);
    }
    metric::config_version(config.version);
    *app.config.borrow_mut() = Some(Rc::new(config));
    *app.config_text.borrow_mut() = Rc::new(text);
    app.changed.notify_waiters();
}

fn take_servers(app: &App, changes: Changes, whole: bool) {
    let now = app.now();
    let back = app.store_back.get();
    let unsure = app.store_failed.get() || back.is_some_and(|b| now.since(b) < UNSURE);
    let mut listed = Vec::new();
    for row in changes.rows {
        let turn = match &row.value {
            None => app.fleet.borrow_mut().remove(now, &row.key, unsure),
            Some(bytes) => match servers::decode(&row.key, bytes) {
                Ok(entry) => {
                    if whole {
                        listed.push(row.key.clone());
                    }
                    app.fleet.borrow_mut().upsert(now, entry)
                }
                Err(e) => {
                    if let Some(log) = app.journal.admit(Topic::Server) {
                        warn!(log, "servers: A row names no server."; "id" => &row.key,
                            "error" => %e);
                    }
                    continue;
                }
            },
        };
        if turn != Turn::Same
            && let Some(log) = app.journal.admit(Topic::Server)
        {
            info!(log, "servers: Changed."; "id" => &row.key, "turn" => ?turn,
                "revision" => changes.revision);
        }
    }
    if whole {
        app.fleet.borrow_mut().retain(now, &listed, unsure);
        app.listed.set(true);
    }
    app.changed.notify_waiters();
}
