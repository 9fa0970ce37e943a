//! What one worker thread of the agent has for itself.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use metrics::counter;

use mustard_backend::engine::{Engine, SeqId};
use mustard_backend::http::HttpBackend;
use mustard_core::event::EventKind;
use mustard_core::ids::Incarnation;
use mustard_net::http::new_client;
use mustard_net::{CallError, Client};
use mustard_platform::http::HttpService;
use mustard_proto::agent::Heartbeat;

use crate::claims::{Life, Liveness};
use crate::names;
use crate::session::Closed;
use crate::shared::Shared;

const PING_LIMIT: Duration = Duration::from_millis(300);

/// The connections of one thread and the state shared with the others.
#[derive(Clone)]
pub struct Worker {
    /// The state shared with the other threads.
    pub shared: Arc<Shared>,
    /// Sends messages to other agents.
    pub client: Client,
    /// The backend server.
    pub server: HttpBackend,
    /// The platform's table.
    pub table: HttpService,
}

impl Worker {
    /// Creates the connections of the calling thread.
    pub async fn new(shared: Arc<Shared>) -> Self {
        let client = Client::new(Arc::clone(&shared.process)).await;
        let http = Rc::new(client.http().clone());
        let fresh = Rc::new(new_client().await);
        let server = HttpBackend::new(Rc::clone(&http), fresh, shared.settings.server);
        let limit = Duration::from_millis(shared.settings.claims.table_ms);
        let table = HttpService::new(http, shared.settings.table, limit, "table");
        Worker {
            shared,
            client,
            server,
            table,
        }
    }

    /// Cancels the sequences of ended sessions at the engine, in the background.
    pub fn cancel_all(&self, closed: impl IntoIterator<Item = Closed>) {
        for c in closed {
            self.cancel(c);
        }
    }

    fn cancel(&self, closed: Closed) {
        let epoch = closed.epoch;
        let request = closed.request;
        counter!(names::SESSIONS_ENDED, "why" => closed.why.name()).increment(1);
        let reason = closed.why.name().to_owned();
        let ended = EventKind::AttemptClosed { epoch, reason };
        self.shared.process.emit(Some(request), ended);
        slog::debug!(self.shared.log, "stage: Session ended.";
            "request" => %request, "epoch" => epoch.0, "why" => closed.why.name());
        self.cancel_sequence(SeqId { request, epoch });
    }

    /// Cancels a sequence at the engine, in the background.
    pub fn cancel_sequence(&self, seq: SeqId) {
        let server = self.server.clone();
        tokio::task::spawn_local(async move {
            // An engine that does not answer loses the sequence anyway when it dies.
            let _ = server.cancel(seq).await;
        });
    }
}

impl Liveness for Worker {
    async fn look(&self, addr: SocketAddr, life: Incarnation) -> Life {
        let from = self.shared.settings.vm.clone();
        let heartbeat = Heartbeat { from };
        let answer = self
            .client
            .call(addr, Incarnation(0), heartbeat, PING_LIMIT);
        match answer.await {
            Ok(info) if info.incarnation == life => Life::Alive,
            Ok(_) => Life::Ended,
            // A process that listens accepts connections even while it is paused.
            Err(CallError::NotSent(_)) => Life::Ended,
            Err(_) => Life::Unknown,
        }
    }
}
