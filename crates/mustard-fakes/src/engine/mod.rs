//! A model engine that holds a range of layers and batches continuously.

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

use crate::fault::{Command, Faults};
use crate::serve::{Answer, Call, StandIn};

pub use event::CacheEvent;
pub use flags::{EngineFlags, LayerRange, Switch};
pub use ledger::{Ledger, SeqRecord};

use batch::Shared;
use state::{Job, StepRefusal, StepResult};

const FETCH_LIMIT: Duration = Duration::from_secs(60);

/// The engine.
pub struct Engine {
    shared: Arc<Shared>,
}

impl Engine {
    /// Creates an engine and starts the thread that runs its batches.
    pub fn new(flags: EngineFlags) -> Self {
        let shared = Arc::new(Shared::new(flags));
        let runner = Arc::clone(&shared);
        thread::spawn(move || batch::run(&runner));
        Engine { shared }
    }

    async fn step(&self, seq: &str, call: &Call) -> std::result::Result<Answer, Answer> {
        let body: StepRequest = call.json()?;
        let (reply, result) = oneshot::channel::<StepResult>();
        let seq = seq.to_owned();
        self.shared.submit(Job { seq, body, reply });
        match result.await {
            Ok(Ok(out)) => Ok(Answer::json(200, &out)),
            Ok(Err(refusal)) => Err(refuse(&refusal)),
            Err(_) => Err(Answer::text(500, "the batch was dropped")),
        }
    }

    fn sequence(&self, seq: &str, call: &Call) -> std::result::Result<Answer, Answer> {
        let mut state = self.shared.lock();
        match call.method {
            Method::DELETE => {
                state.cancel(seq);
                Ok(Answer::json(200, &()))
            }
            Method::GET => {
                let cache = state.export(seq).map_err(|e| refuse(&e))?;
                Ok(Answer::json(200, &cache))
            }
            Method::PUT => {
                let cache: KvCache = call.json()?;
                state.import(seq, cache).map_err(|e| refuse(&e))?;
                Ok(Answer::json(200, &()))
            }
            _ => Err(missing()),
        }
    }

    async fn order(&self, call: &Call) -> std::result::Result<Answer, Answer> {
        let order: LoadOrder = call.json()?;
        let held = self
            .shared
            .lock()
            .begin_order(&order)
            .map_err(|e| refuse(&e))?;
        self.fetch(&held).await;
        let held = self.shared.lock().end_order(order.fence, held);
        held.map(|h| Answer::json(200, &h)).map_err(|e| refuse(&e))
    }

    /// Takes the time that the weight store needs for the layers.
    async fn fetch(&self, held: &LoadedLayers) {
        let flags = &self.shared.flags;
        let layers = held.layers;
        let Some(store) = flags.weights else {
            time::sleep(Duration::from_millis(flags.layer_ms) * layers.count()).await;
            return;
        };
        let client = mustard_net::http::new_client().await;
        for layer in layers.first..layers.end {
            let path = format!("/weights/{}/{}/{layer}", held.model, held.version);
            let request = mustard_net::http::Request {
                to: store,
                method: Method::GET,
                path: &path,
                content_type: "application/octet-stream",
                headers: &[],
                body: Vec::new(),
                limit: FETCH_LIMIT,
            };
            // A store that is away makes the load late; the stand-in needs no content.
            let _ = mustard_net::http::exchange(&client, request).await;
        }
    }
}

impl Drop for Engine {
    fn drop(&mut self) {
        self.shared.close();
    }
}

fn missing() -> Answer {
    Answer::text(404, "not found")
}

fn refuse(refusal: &StepRefusal) -> Answer {
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
        StepRefusal::BadInput => return Answer::text(400, "input has the wrong form"),
    };
    Answer::json(status, &body)
}

impl StandIn for Engine {
    fn faults(&self, _: &Call) -> &Faults {
        &self.shared.faults
    }

    fn obey(&self, command: &Command) {
        self.shared.faults.obey(command);
        if command.forget {
            self.shared.lock().forget();
        }
    }

    async fn answer(&self, call: Call) -> Answer {
        let result = match call.parts().as_slice() {
            ["v1", "sequences", seq, "step"] => self.step(seq, &call).await,
            ["v1", "sequences", seq, "kv"] => self.sequence(seq, &call),
            ["v1", "sequences", seq] if call.method == Method::DELETE => self.sequence(seq, &call),
            ["v1", "load"] => Ok(Answer::json(200, &self.shared.lock().load())),
            ["v1", "held"] => Ok(Answer::json(200, &self.shared.lock().held())),
            ["v1", "orders"] => self.order(&call).await,
            ["v1", "cache-events"] => {
                let after = call.query("after").and_then(|v| v.parse().ok());
                let events = self.shared.lock().events(after.unwrap_or(0));
                Ok(Answer::json(200, &events))
            }
            ["ledger"] => Ok(Answer::json(200, self.shared.lock().ledger())),
            _ => Err(missing()),
        };
        result.unwrap_or_else(|refused| refused)
    }
}
