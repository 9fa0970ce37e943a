//! The driver's ports over the network.

use std::rc::Rc;
use std::time::Duration;

use mustard_core::ids::{Epoch, RequestId, Seq};
use mustard_net::CallError;
use mustard_proto::Refusal;
use mustard_proto::agent::Heartbeat;
use mustard_proto::step::{Cancel, Output, Step};

use crate::app::Worker;
use crate::drive::{Chain, NoChain, Ports, Want};

const PROBE_LIMIT: Duration = Duration::from_millis(150);
const CANCEL_LIMIT: Duration = Duration::from_secs(2);
const CANCEL_TRIES: u32 = 2;

/// Reaches the agents through the connections of one worker thread.
#[derive(Clone)]
pub struct NetPorts {
    worker: Rc<Worker>,
}

impl NetPorts {
    /// Creates the ports of a worker thread.
    pub fn new(worker: Rc<Worker>) -> Self {
        NetPorts { worker }
    }
}

impl Ports for NetPorts {
    fn choose(&self, want: &Want) -> Result<Chain, NoChain> {
        let routing = &self.worker.shared.routing;
        routing.chain(want).map_err(|retry| NoChain { retry })
    }

    async fn step(&self, chain: &Chain, step: Step, limit: Duration) -> Result<Output, CallError> {
        let first = &chain.hops[0];
        self.worker
            .client
            .call(first.addr, first.incarnation, step, limit)
            .await
    }

    async fn probe(&self, chain: &Chain) -> Vec<String> {
        let mut probes = Vec::new();
        for (hop, name) in chain.hops.iter().zip(&chain.names) {
            let client = self.worker.client.clone();
            let (addr, life) = (hop.addr, hop.incarnation);
            let from = self.worker.shared.process.name().to_owned();
            let ask = ntex::rt::spawn(async move {
                client
                    .call(addr, life, Heartbeat { from }, PROBE_LIMIT)
                    .await
            });
            probes.push((name, ask));
        }
        let mut silent = Vec::new();
        for (name, ask) in probes {
            match ask.await {
                Ok(Ok(info)) => self.worker.shared.routing.heard(name, info),
                _ => silent.push(name.clone()),
            }
        }
        silent
    }

    fn cancel(&self, chain: &Chain, request: RequestId, epoch: Epoch) {
        for hop in &chain.hops {
            let client = self.worker.client.clone();
            let (addr, life) = (hop.addr, hop.incarnation);
            let pass = self.worker.shared.gate.enter_always();
            ntex::rt::spawn(async move {
                let _pass = pass;
                for _ in 0..CANCEL_TRIES {
                    let message = Cancel { request, epoch };
                    let done = client.call(addr, life, message, CANCEL_LIMIT).await;
                    if matches!(done, Ok(()) | Err(CallError::Refused(_))) {
                        return;
                    }
                }
            });
        }
    }

    fn report(&self, agent: &str, failure: Option<&CallError>) {
        let routing = &self.worker.shared.routing;
        match failure {
            None => {}
            Some(CallError::Refused(refusal)) if is_leaving(refusal) => routing.leaving(agent),
            Some(_) => routing.silent(agent),
        }
    }

    async fn catch_up(&self, seq: Seq, limit: Duration) -> bool {
        self.worker.shared.catalogue.wait_for(seq, limit).await
    }
}

fn is_leaving(refusal: &Refusal) -> bool {
    match refusal {
        Refusal::Leaving => true,
        Refusal::NextFailed { cause, .. } => is_leaving(cause),
        _ => false,
    }
}
