//! Asks which server is at an address that the rows of several name, and whether a row under the id of a known
//! server is true.

use std::rc::Rc;
use std::time::Duration;

use slog::info;
use tokio::time::sleep;

use mustard_adapter::responses;
use mustard_core::deployment::ServerKey;

use crate::app::App;
use crate::fleet::{HeldQuestion, ServerProcess};
use crate::log_limit::Topic;
use crate::placement::{CallKind, call_health, fetch_report};

/// The interval between two looks at what isn't settled; answers to requests may settle it before.
const INTERVAL: Duration = Duration::from_millis(250);
/// Time limit for the report of a model server.
const REPORT_TIMEOUT: Duration = Duration::from_millis(250);
/// Time limit for a health check, which waits for a slot at the server.
const HEALTH_TIMEOUT: Duration = Duration::from_millis(500);

/// How a server is asked who it is.
enum Call {
    Report,
    /// The path of its health check.
    Health(String),
}

/// Asks for the life of the process.
pub(crate) async fn run(app: Rc<App>) {
    loop {
        let held = app.row_held.notified();
        tokio::select! {
            () = sleep(INTERVAL) => {}
            () = held => {}
        }
        let now = app.now();
        let (rows, addresses) = {
            let mut fleet = app.fleet.borrow_mut();
            (fleet.take_held_questions(now), fleet.take_questions(now))
        };
        for question in rows {
            let app = Rc::clone(&app);
            ntex::rt::spawn(async move { ask_claimed(&app, &question).await });
        }
        for keys in addresses {
            let app = Rc::clone(&app);
            ntex::rt::spawn(async move { ask_contenders(&app, &keys).await });
        }
    }
}

/// Asks the processes whose rows name an address, until an answer settles which of them is there.
async fn ask_contenders(app: &App, keys: &[ServerKey]) {
    let mut asked = Vec::new();
    for key in keys {
        let process = app.fleet.borrow().process(*key);
        let service = app
            .fleet
            .borrow()
            .get(*key)
            .map(|s| s.entry.service.clone());
        let (Some(process), Some(service)) = (process, service) else {
            continue;
        };
        if !app.fleet.borrow().is_unsettled(*key) {
            return;
        }
        match call_of(app, &service) {
            // Whoever answers a health check names itself, so one at each path is enough.
            Some(Call::Health(path)) if asked.contains(&path) => {}
            Some(Call::Health(path)) => {
                if let Some(id) = fetch_identity(app, &process, &path).await {
                    app.fleet.borrow_mut().record_identity(app.now(), *key, &id);
                }
                asked.push(path);
            }
            // The fleet learns from the report, or from the refusal of whoever is there instead.
            Some(Call::Report) => {
                let _ = fetch_report(app, &process, CallKind::Unpooled, REPORT_TIMEOUT).await;
            }
            None => {}
        }
    }
    app.changed.notify_waiters();
}

/// Asks whether a row that is held back is true: whether the process that it names answers.
async fn ask_claimed(app: &App, question: &HeldQuestion) {
    let HeldQuestion {
        known,
        known_service,
        claimed,
        claimed_service,
    } = question;
    if app.fleet.borrow().is_paused(app.now(), known.key) {
        return;
    }
    if known.addr != claimed.addr {
        let Some(path) = health_path(app, claimed_service) else {
            return;
        };
        let id = fetch_identity(app, claimed, &path).await;
        if id.as_deref() == Some(claimed.id.as_str()) {
            release(app, claimed);
            return;
        }
    }
    // The process that is known keeps its place as long as it answers.
    let has_answered = match call_of(app, known_service) {
        Some(Call::Health(path)) => {
            let id = fetch_identity(app, known, &path).await;
            id.as_deref() == Some(known.id.as_str())
        }
        Some(Call::Report) => fetch_report(app, known, CallKind::Unpooled, REPORT_TIMEOUT)
            .await
            .is_ok(),
        None => return,
    };
    let mut fleet = app.fleet.borrow_mut();
    if has_answered {
        fleet.record_present(app.now(), known.key);
    } else {
        fleet.record_no_answer(app.now(), known.key);
    }
}

fn release(app: &App, claimed: &ServerProcess) {
    let change = app.fleet.borrow_mut().release_row(app.now(), claimed);
    if let Some(log) = app.log.logger_for(Topic::Server) {
        info!(log, "servers: A row that was held back is applied."; "process" => %claimed,
            "server" => %claimed.addr, "turn" => ?change);
    }
    app.changed.notify_waiters();
}

/// Returns how servers of a service are asked; `None` if the configuration doesn't name it.
fn call_of(app: &App, service: &str) -> Option<Call> {
    let config = app.config()?;
    let named = config.service(service)?;
    Some(match named.engine {
        Some(_) => Call::Report,
        None => Call::Health(named.health_path.clone()),
    })
}

fn health_path(app: &App, service: &str) -> Option<String> {
    Some(app.config()?.service(service)?.health_path.clone())
}

/// Returns the id of the server that answers at the address of a process; `None` if it doesn't say or may not be
/// asked now.
async fn fetch_identity(app: &App, process: &ServerProcess, path: &str) -> Option<String> {
    if app.fleet.borrow().is_paused(app.now(), process.key) {
        return None;
    }
    let answer = call_health(app, process.addr, path, HEALTH_TIMEOUT).await;
    let answer = answer.ok()?;
    responses::server_id(&answer.headers).map(str::to_owned)
}
