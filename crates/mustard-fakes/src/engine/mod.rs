//! A model engine with a range of layers and continuous batching.

mod batch;
mod event;
mod flags;
mod ledger;
mod prefix;
mod sequence;
mod state;

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use ntex::http::Method;
use tokio::sync::oneshot;
use tokio::time;

use mustard_backend::engine::{KvCache, LoadOrder, LoadedLayers, StepRequest};
use mustard_backend::http::EngineRefusal;

use crate::fault::{FaultCommand, Faults};
use crate::serve::{Answer, Call, StandIn};

pub use event::CacheEvent;
pub use flags::{EngineFlags, LayerRange, Switch};
pub use ledger::{Ledger, SeqRecord};

use batch::SharedEngine;
use state::{PendingStep, StepRefusal, StepResult};

const FETCH_TIMEOUT: Duration = Duration::from_secs(60);

/// A stand-in for a model engine; its batch loop ends when it is dropped.
pub struct Engine {
    shared: Arc<SharedEngine>,
}

impl Engine {
    /// Creates an engine and starts the thread that runs its batches.
    pub fn new(flags: EngineFlags) -> Self {
        let shared = Arc::new(SharedEngine::new(flags));
        let loop_engine = Arc::clone(&shared);
        thread::spawn(move || batch::run_batches(&loop_engine));
        Engine { shared }
    }

    async fn handle_step(&self, seq: &str, call: &Call) -> std::result::Result<Answer, Answer> {
        let body: StepRequest = call.json()?;
        let (reply, result) = oneshot::channel::<StepResult>();
        let seq = seq.to_owned();
        self.shared.submit(PendingStep { seq, body, reply });
        match result.await {
            Ok(Ok(out)) => Ok(Answer::json(200, &out)),
            Ok(Err(refusal)) => Err(refusal_answer(&refusal)),
            Err(_) => Err(Answer::text(500, "the engine dropped the step")),
        }
    }

    fn handle_sequence(&self, seq: &str, call: &Call) -> std::result::Result<Answer, Answer> {
        let mut state = self.shared.lock();
        match call.method {
            Method::DELETE => {
                state.cancel(seq);
                Ok(Answer::json(200, &()))
            }
            Method::GET => {
                let cache = state.export(seq).map_err(|e| refusal_answer(&e))?;
                Ok(Answer::json(200, &cache))
            }
            Method::PUT => {
                let cache: KvCache = call.json()?;
                state.import(seq, cache).map_err(|e| refusal_answer(&e))?;
                Ok(Answer::json(200, &()))
            }
            _ => Err(not_found()),
        }
    }

    async fn handle_order(&self, call: &Call) -> std::result::Result<Answer, Answer> {
        let order: LoadOrder = call.json()?;
        let held = self
            .shared
            .lock()
            .begin_order(&order)
            .map_err(|e| refusal_answer(&e))?;
        self.fetch_weights(&held).await;
        let held = self.shared.lock().end_order(order.fence, held);
        held.map(|h| Answer::json(200, &h))
            .map_err(|e| refusal_answer(&e))
    }

    /// Loads the weights of the layers: waits as long as the weight store takes to send them.
    async fn fetch_weights(&self, held: &LoadedLayers) {
        let flags = &self.shared.flags;
        let layers = held.layers;
        let Some(store) = flags.weights else {
            time::sleep(Duration::from_millis(flags.layer_ms) * layers.count()).await;
            return;
        };
        let client = mustard_net::http::new_client();
        for layer in layers.first..layers.end {
            let path = format!("/weights/{}/{}/{layer}", held.model, held.version);
            let request = mustard_net::http::Request {
                to: store,
                method: Method::GET,
                path: &path,
                content_type: "application/octet-stream",
                headers: &[],
                body: Vec::new(),
                timeout: FETCH_TIMEOUT,
            };
            // An unreachable store only delays the load, because the stand-in ignores the content.
            let _ = mustard_net::http::exchange(&client, request).await;
        }
    }
}

impl Drop for Engine {
    fn drop(&mut self) {
        self.shared.close();
    }
}

fn not_found() -> Answer {
    Answer::text(404, "not found")
}

fn refusal_answer(refusal: &StepRefusal) -> Answer {
    let mut body = EngineRefusal::default();
    let status = match refusal {
        StepRefusal::Position(expected) => {
            body.position = Some(*expected);
            409
        }
        StepRefusal::Fenced(highest) => {
            body.fence = Some(*highest);
            409
        }
        StepRefusal::NotHeld(what) => {
            body.missing = Some(what.clone());
            404
        }
        StepRefusal::Full(retry_ms) => {
            body.retry_ms = Some(*retry_ms);
            503
        }
        StepRefusal::BadInput => return Answer::text(400, "input does not fit the layers"),
    };
    Answer::json(status, &body)
}

impl StandIn for Engine {
    fn faults(&self, _: &Call) -> &Faults {
        &self.shared.faults
    }

    fn apply_command(&self, command: &FaultCommand) {
        self.shared.faults.apply(command);
        if command.forget {
            self.shared.lock().clear();
        }
    }

    async fn answer(&self, call: Call) -> Answer {
        let result = match call.path_segments().as_slice() {
            ["v1", "sequences", seq, "step"] => self.handle_step(seq, &call).await,
            ["v1", "sequences", seq, "kv"] => self.handle_sequence(seq, &call),
            ["v1", "sequences", seq] if call.method == Method::DELETE => {
                self.handle_sequence(seq, &call)
            }
            ["v1", "load"] => Ok(Answer::json(200, &self.shared.lock().load())),
            ["v1", "held"] => Ok(Answer::json(200, &self.shared.lock().held())),
            ["v1", "orders"] => self.handle_order(&call).await,
            ["v1", "cache-events"] => {
                let after = call.query_param("after").and_then(|v| v.parse().ok());
                let events = self.shared.lock().events(after.unwrap_or(0));
                Ok(Answer::json(200, &events))
            }
            ["ledger"] => Ok(Answer::json(200, self.shared.lock().ledger())),
            _ => Err(not_found()),
        };
        result.unwrap_or_else(|refused| refused)
    }
}
