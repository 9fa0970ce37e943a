//! Follows the operators' configuration and the server list in the platform's store.

use std::rc::Rc;
use std::time::Duration;

use slog::{info, warn};
use tokio::time::{Instant, sleep, sleep_until};

use mustard_adapter::store::{CONFIG_KEY, Changes, Feed, FollowedTable, Revision};
use mustard_adapter::{config, servers};
use mustard_core::check::check_deployment;
use mustard_core::clock::Moment;
use mustard_core::deployment::Config;
use mustard_core::fingerprint::Fingerprint;
use mustard_core::ids::Era;

use crate::app::{App, ConfigStamp};
use crate::fleet::RowChange;
use crate::log_limit::Topic;
use crate::metric;

/// How much of the time of a call for changes is left for the answer to travel.
const FEED_MARGIN: Duration = Duration::from_millis(700);
/// How old an answer with changes is taken to be.
const TRAVEL_TIME: Duration = Duration::from_millis(200);
/// How long a read of a table may take: at first, and after reads that took longer.
const READ_TIMEOUT: Duration = Duration::from_millis(700);
const MAX_READ_TIMEOUT: Duration = Duration::from_millis(2_800);
/// After so many failed calls for changes the table is read again.
const MAX_FEED_FAILURES: u32 = 3;
/// The delay after changes, so that the next call returns several at once; far below the 2 s in
/// which a change has to take effect.
const BATCH_DELAY: Duration = Duration::from_millis(60);
/// The delay after changes before the first request, while servers join.
const STARTUP_BATCH_DELAY: Duration = Duration::from_millis(400);
/// The least time from a failed call to the next one, from start to start.
const RETRY_DELAY: Duration = Duration::from_millis(250);
/// How long after an outage of the store a missing row may be caused by the outage: live servers
/// are listed again within about two seconds.
const OUTAGE_GRACE: Duration = Duration::from_millis(2_200);

/// How long a configuration stays the newest one in a restored store before it replaces one with a higher
/// version.
const REWRITE_TIME: Duration = Duration::from_millis(700);

/// The most findings that are logged of one configuration; the line says how many there are.
const MAX_LOGGED_FINDINGS: usize = 20;

/// The store removes the row of a server that has missed this many heartbeats.
const SILENT_HEARTBEATS: u32 = 3;

/// Follows one table for the life of the process.
pub async fn run(app: Rc<App>, followed: FollowedTable) {
    let mut previous_era = None;
    let mut limit = READ_TIMEOUT;
    loop {
        let (begun, asked) = (Instant::now(), app.now());
        match app.store.read_table(followed, limit).await {
            Ok(changes) => {
                limit = READ_TIMEOUT;
                mark_reachable(&app, followed);
                confirm_config(&app, followed, asked);
                let revision = changes.revision;
                let is_restored = previous_era.is_some_and(|era| era != revision.era);
                previous_era = Some(revision.era);
                let source = if is_restored {
                    RowSource::RestoredTable
                } else {
                    RowSource::Table
                };
                apply_changes(&app, followed, changes, source);
                follow_changes(&app, followed, revision).await;
            }
            Err(e) => {
                if begun.elapsed() >= limit {
                    limit = MAX_READ_TIMEOUT.min(limit * 2);
                }
                mark_unreachable(&app, followed, &e);
                sleep_until(begun + RETRY_DELAY).await;
            }
        }
    }
}

/// Where rows were read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RowSource {
    /// In the feed of changes.
    Feed,
    /// In the whole table.
    Table,
    /// In the whole table, for the first time after the store was restored from an older copy. Rows
    /// that were written since the copy was made may be missing or older than before.
    RestoredTable,
}

/// How long the calls for changes wait.
#[derive(Clone, Copy, Debug)]
struct FeedPace {
    /// How long one call may take.
    timeout: Duration,
    wait: Duration,
    failures: u32,
}

impl FeedPace {
    fn new(timeout: Duration) -> Self {
        FeedPace {
            timeout,
            wait: timeout.saturating_sub(FEED_MARGIN),
            failures: 0,
        }
    }

    /// Records an answer that took so long. One to a call that didn't wait shows how long answers travel.
    fn record_answer(&mut self, took: Duration) {
        self.failures = 0;
        if self.wait.is_zero() {
            self.wait = self
                .timeout
                .saturating_sub(FEED_MARGIN.max(took.mul_f64(1.5)));
        }
    }

    /// Records a failed call; the next one doesn't wait, as changes may be there already.
    fn record_failure(&mut self) {
        self.failures += 1;
        self.wait = Duration::ZERO;
    }
}

/// Follows changes until the store no longer has the history since the last revision, or several calls
/// have failed.
async fn follow_changes(app: &Rc<App>, followed: FollowedTable, mut revision: Revision) {
    let mut pace = FeedPace::new(app.feed_timeout());
    while pace.failures < MAX_FEED_FAILURES {
        let (begun, asked) = (Instant::now(), app.now());
        let waited = pace.wait;
        let feed = app
            .store
            .watch_changes(followed, revision, waited, pace.timeout);
        match feed.await {
            Ok(Feed::Changes(changes)) => {
                pace.record_answer(begun.elapsed());
                mark_reachable(app, followed);
                let answered = if changes.rows.is_empty() {
                    // There was no change while the store waited.
                    asked + waited
                } else {
                    asked.max(app.now() - TRAVEL_TIME)
                };
                confirm_config(app, followed, answered);
                revision.number = revision.number.max(changes.revision.number);
                let changed = !changes.rows.is_empty();
                apply_changes(app, followed, changes, RowSource::Feed);
                if changed {
                    // Changes come in bursts, and every gateway makes each call.
                    sleep(if app.had_request.get() {
                        BATCH_DELAY
                    } else {
                        STARTUP_BATCH_DELAY
                    })
                    .await;
                }
            }
            Ok(Feed::Forgotten) => {
                metric::count_store_call("feed", "forgotten");
                if let Some(log) = app.log.logger_for(Topic::Dependency) {
                    warn!(log, "store: The change history has expired, the table is read again.";
                        "table" => ?followed, "revision" => revision.number);
                }
                return;
            }
            Ok(Feed::Restored(era)) => {
                metric::count_store_call("feed", "restored");
                app.store_recovered.set(Some(app.now()));
                app.store_restored.notify_waiters();
                if let Some(log) = app.log.logger_for(Topic::Dependency) {
                    warn!(log, "store: It was restored from an older copy, the table is read again.";
                        "table" => ?followed, "era" => era.0, "era_before" => revision.era.0,
                        "revision" => revision.number);
                }
                return;
            }
            Err(e) => {
                pace.record_failure();
                mark_unreachable(app, followed, &e);
                sleep_until(begun + RETRY_DELAY).await;
            }
        }
    }
}

fn confirm_config(app: &App, followed: FollowedTable, at: Moment) {
    if followed == FollowedTable::Operators {
        app.confirm_config(at);
    }
}

fn mark_reachable(app: &App, followed: FollowedTable) {
    metric::count_store_call("follow", "ok");
    if followed == FollowedTable::Servers {
        app.list_confirmed.set(app.now());
    }
    if !app.peers.borrow_mut().set_table_reachable(followed, true) {
        return;
    }
    if app.store_failed.get() {
        app.store_recovered.set(Some(app.now()));
    }
    app.store_failed.set(false);
    if let Some(log) = app.log.logger_for(Topic::Dependency) {
        info!(log, "store: The table is followed."; "table" => ?followed);
    }
}

fn mark_unreachable(app: &App, followed: FollowedTable, error: &mustard_platform::PlatformError) {
    metric::count_store_call("follow", "failed");
    app.store_failed.set(true);
    let mut peers = app.peers.borrow_mut();
    if peers.set_table_reachable(followed, false)
        && let Some(log) = app.log.logger_for(Topic::Dependency)
    {
        warn!(log, "store: The table is out of reach."; "table" => ?followed,
            "error" => %error);
    }
}

fn apply_changes(app: &Rc<App>, followed: FollowedTable, changes: Changes, source: RowSource) {
    match followed {
        FollowedTable::Operators => {
            for row in changes.rows {
                if row.key == CONFIG_KEY
                    && let Some(text) = row.value
                {
                    adopt_store_config(app, text, changes.revision.era, source);
                }
            }
        }
        FollowedTable::Servers => apply_servers(app, changes, source),
    }
}

/// Adopts a configuration that was read in the store.
///
/// If it is to replace one with a higher version, this happens after [`REWRITE_TIME`], as the operators may
/// be writing several lost versions again, one after the other.
fn adopt_store_config(app: &Rc<App>, text: Vec<u8>, era: Era, source: RowSource) {
    let Some(config) = decode_config(app, &text, "store") else {
        return;
    };
    let digest = Fingerprint::of(&[&text]);
    app.last_config.set(digest);
    let stamp = ConfigStamp {
        version: config.version,
        era,
        // What a table holds may have come with a copy, what the feed shows is written since.
        is_written: source == RowSource::Feed,
    };
    let current = app.config_stamp.get();
    if stamp.version >= current.version || !stamp.replaces(current) {
        return adopt_config(app, config, text, stamp, "store");
    }
    let app = Rc::clone(app);
    ntex::rt::spawn(async move {
        sleep(REWRITE_TIME).await;
        if app.last_config.get() == digest {
            adopt_config(&app, config, text, stamp, "store");
        }
    });
}

/// Adopts a configuration that a peer has in force.
pub fn adopt_peer_config(app: &App, text: Vec<u8>, stamp: ConfigStamp) {
    if let Some(config) = decode_config(app, &text, "peer") {
        adopt_config(app, config, text, stamp, "peer");
    }
}

fn decode_config(app: &App, text: &[u8], source: &'static str) -> Option<Config> {
    match config::decode(text) {
        Ok(config) => Some(config),
        Err(e) => {
            if let Some(log) = app.log.logger_for(Topic::Config) {
                warn!(log, "config: A configuration can't be read."; "source" => source,
                    "error" => %e);
            }
            None
        }
    }
}

/// Logs what the checks find in a configuration; it is put in force all the same.
fn log_findings(app: &App, config: &Config) {
    let findings = check_deployment(config);
    for finding in findings.iter().take(MAX_LOGGED_FINDINGS) {
        if let Some(log) = app.log.logger_for(Topic::Config) {
            warn!(log, "config: A check found something."; "version" => config.version,
                "severity" => ?finding.severity, "place" => &finding.place,
                "finding" => &finding.message, "findings" => findings.len());
        }
    }
}

/// Puts a configuration in force if it replaces the current one. `source` says in the log where it came
/// from.
fn adopt_config(
    app: &App,
    config: Config,
    text: Vec<u8>,
    stamp: ConfigStamp,
    source: &'static str,
) {
    let current = app.config_stamp.get();
    if !stamp.replaces(current) {
        if stamp.version < current.version
            && let Some(log) = app.log.logger_for(Topic::Config)
        {
            info!(log, "config: An older version is ignored."; "version" => stamp.version,
                "in_force" => current.version, "era" => stamp.era.0, "source" => source);
        }
        return;
    }
    app.config_stamp.set(stamp);
    if stamp.version == current.version && *app.config_text.borrow().as_ref() == text {
        return;
    }
    if let Some(log) = app.log.logger_for(Topic::Config) {
        info!(log, "config: In force."; "version" => config.version,
            "before" => current.version, "era" => stamp.era.0, "written" => stamp.is_written,
            "source" => source);
    }
    log_findings(app, &config);
    metric::set_config_version(config.version);
    app.fleet.borrow_mut().set_services(app.now(), &config);
    *app.config.borrow_mut() = Some(Rc::new(config));
    *app.config_text.borrow_mut() = Rc::new(text);
    ask_urgent(app);
    app.changed.notify_waiters();
}

/// Lets the servers be asked at once about addresses of which nothing else tells who is there.
fn ask_urgent(app: &App) {
    if app.fleet.borrow_mut().take_urgent() {
        app.row_held.notify_one();
    }
}

fn apply_servers(app: &App, changes: Changes, source: RowSource) {
    let now = app.now();
    let is_snapshot = source != RowSource::Feed;
    let unconfirmed_until = (source == RowSource::RestoredTable)
        .then(|| now + app.node.heartbeat_interval * SILENT_HEARTBEATS);
    let recovered = app.store_recovered.get();
    let store_unstable =
        app.store_failed.get() || recovered.is_some_and(|r| now.since(r) < OUTAGE_GRACE);
    let mut listed = Vec::new();
    for row in changes.rows {
        if is_snapshot && row.value.is_some() {
            listed.push(row.key.clone());
        }
        let change = match &row.value {
            None => app.fleet.borrow_mut().remove(now, &row.key, store_unstable),
            Some(bytes) => match servers::decode(&row.key, bytes) {
                Ok(entry) => app.fleet.borrow_mut().upsert(now, entry, unconfirmed_until),
                Err(e) => {
                    if let Some(log) = app.log.logger_for(Topic::Server) {
                        warn!(log, "servers: A row can't be decoded."; "id" => &row.key,
                            "error" => %e);
                    }
                    continue;
                }
            },
        };
        if change == RowChange::Held {
            app.row_held.notify_one();
        }
        if change != RowChange::Same
            && let Some(log) = app.log.logger_for(Topic::Server)
        {
            info!(log, "servers: Changed."; "id" => &row.key, "turn" => ?change,
                "revision" => changes.revision.number);
        }
    }
    if is_snapshot {
        app.fleet
            .borrow_mut()
            .retain_listed(now, &listed, store_unstable);
        app.list_read.set(true);
    }
    ask_urgent(app);
    app.changed.notify_waiters();
}
