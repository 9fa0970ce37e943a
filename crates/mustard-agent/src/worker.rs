//! The connections of one worker thread.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use metrics::counter;

use mustard_backend::engine::{Engine, SeqId};
use mustard_backend::http::HttpBackend;
use mustard_core::event::EventKind;
use mustard_core::ids::Incarnation;
use mustard_net::ClientBudget;
use mustard_net::http::new_client;
use mustard_net::{CallError, MessageClient};
use mustard_platform::http::HttpService;
use mustard_proto::agent::Heartbeat;

use crate::claims::{Liveness, LivenessProbe};
use crate::metric_names;
use crate::session::EndedSession;
use crate::shared::Shared;

/// How long a step that was being sent may take to arrive at the engine.
const CANCEL_AGAIN: Duration = Duration::from_secs(1);
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// The connections of one thread and the state shared with the others.
#[derive(Clone)]
pub struct Worker {
    /// The state shared with the other threads.
    pub shared: Arc<Shared>,
    /// The client that sends messages to other agents.
    pub client: MessageClient,
    /// The client of the backend server.
    pub server: HttpBackend,
    /// The client of the platform's table.
    pub table: HttpService,
    /// What the thread holds for clients.
    pub clients: Rc<ClientBudget>,
}

impl Worker {
    /// Creates the connections of the calling thread, which alone can use them.
    pub async fn new(shared: Arc<Shared>) -> Self {
        let client = MessageClient::new(Arc::clone(&shared.process));
        let http = Rc::new(client.http().clone());
        let unpooled = Rc::new(new_client());
        let server = HttpBackend::new(Rc::clone(&http), unpooled, shared.settings.server);
        let timeout = Duration::from_millis(shared.settings.claims.table_ms);
        let table = HttpService::new(http, shared.settings.table, timeout, "table");
        let clients = ClientBudget::new(shared.settings.client_limits(), shared.log.clone());
        Worker {
            clients,
            shared,
            client,
            server,
            table,
        }
    }

    /// Reports the ends of sessions and cancels their sequences at the engine, in the background.
    pub fn cancel_sessions(&self, ended: impl IntoIterator<Item = EndedSession>) {
        for session in ended {
            self.cancel_session(session);
        }
    }

    fn cancel_session(&self, ended: EndedSession) {
        let epoch = ended.epoch;
        let request = ended.request;
        counter!(metric_names::SESSIONS_ENDED, "why" => ended.reason.name()).increment(1);
        let reason = ended.reason.name().to_owned();
        let event = EventKind::AttemptClosed { epoch, reason };
        self.shared.process.emit(Some(request), event);
        slog::debug!(self.shared.log, "stage: Session ended.";
            "request" => %request, "epoch" => epoch.0, "why" => ended.reason.name());
        self.cancel_sequence(SeqId { request, epoch });
    }

    /// Cancels a sequence at the engine, in the background.
    pub fn cancel_sequence(&self, seq: SeqId) {
        let server = self.server.clone();
        tokio::task::spawn_local(async move {
            // If the engine does not answer, it keeps the sequence at most until it dies.
            let _ = server.cancel(seq).await;
            // A step that was being sent on another connection may arrive after the cancellation.
            tokio::time::sleep(CANCEL_AGAIN).await;
            let _ = server.cancel(seq).await;
        });
    }
}

impl LivenessProbe for Worker {
    async fn probe(&self, addr: SocketAddr, incarnation: Incarnation) -> Liveness {
        let from = self.shared.settings.vm.clone();
        let heartbeat = Heartbeat { from };
        let answer = self
            .client
            .call(addr, Incarnation(0), heartbeat, PROBE_TIMEOUT);
        match answer.await {
            Ok(info) if info.incarnation == incarnation => Liveness::Alive,
            Ok(_) => Liveness::Ended,
            // The system accepts connections for a listening process even while it is paused, so a
            // refused connection means that the process has ended.
            Err(CallError::NotSent(_) | CallError::NoListener(_)) => Liveness::Ended,
            Err(_) => Liveness::Unknown,
        }
    }
}
