//! Random faults of a soak run and how they end.

use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use mustard_core::ids::Layers;
use mustard_fakes::fault::FaultCommand;

use crate::child::Child;
use crate::cluster::{Cluster, send_fault_command};
use crate::errors::Result;
use crate::node::{Node, NodeRef};

use super::tally::Tally;

/// The range of times until a fault is ended.
const FAULT_DURATION_MS: std::ops::Range<u64> = 500..6_000;
const CLEAN_EXIT: Option<i32> = Some(0);

/// An action that ends a fault.
enum Heal {
    AddStage(Layers),
    Thaw(u32),
    UnlistNode(Box<Node>),
    Table(FaultCommand),
    Server(String, FaultCommand),
}

/// Injects faults and keeps the actions that end the active ones.
pub(super) struct Faults {
    tally: Arc<Tally>,
    pending_heals: Vec<(Instant, Heal)>,
}

impl Faults {
    pub(super) fn new(tally: Arc<Tally>) -> Self {
        Faults {
            tally,
            pending_heals: Vec::new(),
        }
    }

    fn heal_later(&mut self, rng: &mut ChaCha8Rng, heal: Heal) {
        let at = Instant::now() + Duration::from_millis(rng.random_range(FAULT_DURATION_MS));
        self.pending_heals.push((at, heal));
    }

    /// Injects one random fault.
    pub(super) fn inject(&mut self, cluster: &mut Cluster, rng: &mut ChaCha8Rng) -> Result<()> {
        match rng.random_range(0..12) {
            0 | 1 => self.kill_stage(cluster, rng),
            2 => self.kill_engine(cluster, rng),
            3 => self.freeze_process(cluster, rng),
            4 => self.drain_stage(cluster, rng),
            5 => self.kill_booking_agent(cluster, rng),
            6 => self.kill_entry(cluster, rng),
            7 => self.stop_entry(cluster, rng),
            8 => self.stop_table(cluster, rng),
            9 => self.lose_table_answers(cluster, rng),
            10 => self.lose_service_answers(cluster, rng),
            _ => self.slow_engine(cluster, rng),
        }
    }

    fn kill_stage(&mut self, cluster: &mut Cluster, rng: &mut ChaCha8Rng) -> Result<()> {
        self.tally.count_fault("stage VM killed");
        let Some(mut node) = self.remove_stage(cluster, rng) else {
            return Ok(());
        };
        node.kill()?;
        cluster.list_vm_gone(&node)?;
        self.heal_later(rng, Heal::AddStage(node.layers));
        Ok(())
    }

    /// Removes a random stage from the cluster; `None` if no other stage holds its layers.
    fn remove_stage(&self, cluster: &mut Cluster, rng: &mut ChaCha8Rng) -> Option<Node> {
        let index = rng.random_range(0..cluster.stages.len());
        let layers = cluster.stages[index].layers;
        let holders = cluster.stages.iter().filter(|n| n.layers == layers).count();
        (holders > 1).then(|| cluster.stages.remove(index))
    }

    fn kill_engine(&mut self, cluster: &mut Cluster, rng: &mut ChaCha8Rng) -> Result<()> {
        self.tally.count_fault("engine killed, agent lives on");
        let Some(mut node) = self.remove_stage(cluster, rng) else {
            return Ok(());
        };
        node.server.kill()?;
        let layers = node.layers;
        // The agent of the killed engine stays on the platform's list of VMs until the fault ends.
        self.heal_later(rng, Heal::UnlistNode(Box::new(node)));
        self.heal_later(rng, Heal::AddStage(layers));
        Ok(())
    }

    fn freeze_process(&mut self, cluster: &mut Cluster, rng: &mut ChaCha8Rng) -> Result<()> {
        let (name, child) = match rng.random_range(0..4) {
            0 => (
                "agent of a stage frozen",
                &pick_node(&cluster.stages, rng).agent,
            ),
            1 => ("engine frozen", &pick_node(&cluster.stages, rng).server),
            2 => (
                "agent of a service frozen",
                &pick_node(&cluster.services, rng).agent,
            ),
            _ => ("entry frozen", &cluster.entries[rng.random_range(0..2)]),
        };
        self.tally.count_fault(name);
        child.freeze()?;
        let id = child.id();
        self.heal_later(rng, Heal::Thaw(id));
        Ok(())
    }

    fn drain_stage(&mut self, cluster: &mut Cluster, rng: &mut ChaCha8Rng) -> Result<()> {
        self.tally.count_fault("stage stopped as planned");
        let Some(node) = self.remove_stage(cluster, rng) else {
            return Ok(());
        };
        node.agent.terminate()?;
        let layers = node.layers;
        self.heal_later(rng, Heal::AddStage(layers));
        self.heal_later(rng, Heal::UnlistNode(Box::new(node)));
        Ok(())
    }

    fn kill_booking_agent(&mut self, cluster: &mut Cluster, rng: &mut ChaCha8Rng) -> Result<()> {
        self.tally.count_fault("agent of a service killed");
        let index = rng.random_range(0..cluster.services.len());
        cluster.restart_agent(NodeRef::Service(index))
    }

    fn kill_entry(&mut self, cluster: &mut Cluster, rng: &mut ChaCha8Rng) -> Result<()> {
        self.tally.count_fault("entry killed");
        cluster.restart_entry(rng.random_range(0..2))
    }

    fn stop_entry(&mut self, cluster: &mut Cluster, rng: &mut ChaCha8Rng) -> Result<()> {
        self.tally.count_fault("entry stopped as planned");
        let index = rng.random_range(0..2);
        let entry = &mut cluster.entries[index];
        // A frozen process can't handle the signal, so resume it first.
        entry.thaw()?;
        entry.terminate()?;
        let code = entry.wait()?;
        if code != CLEAN_EXIT {
            let example = format!("{} ended with {code:?}", entry.name());
            self.tally
                .record_violation("planned stop cuts nothing", &example);
        }
        cluster.restart_entry(index)
    }

    fn stop_table(&mut self, cluster: &mut Cluster, rng: &mut ChaCha8Rng) -> Result<()> {
        self.tally.count_fault("table down");
        send_table_fault(
            cluster,
            &FaultCommand {
                down: Some(true),
                ..FaultCommand::default()
            },
        )?;
        let up = FaultCommand {
            down: Some(false),
            ..FaultCommand::default()
        };
        self.heal_later(rng, Heal::Table(up));
        Ok(())
    }

    fn lose_table_answers(&mut self, cluster: &mut Cluster, rng: &mut ChaCha8Rng) -> Result<()> {
        self.tally.count_fault("table loses answers");
        let lose = FaultCommand {
            lose_answers: Some(rng.random_range(1..4)),
            lose_writes: Some(rng.random_range(0..2)),
            delay_ms: Some(rng.random_range(0..200)),
            ..FaultCommand::default()
        };
        send_table_fault(cluster, &lose)?;
        let normal = FaultCommand {
            delay_ms: Some(0),
            ..FaultCommand::default()
        };
        self.heal_later(rng, Heal::Table(normal));
        Ok(())
    }

    fn lose_service_answers(&mut self, cluster: &mut Cluster, rng: &mut ChaCha8Rng) -> Result<()> {
        self.tally.count_fault("service loses answers");
        let lose = FaultCommand {
            lose_answers: Some(2),
            ..FaultCommand::default()
        };
        send_fault(pick_node(&cluster.services, rng), &lose)
    }

    fn slow_engine(&mut self, cluster: &mut Cluster, rng: &mut ChaCha8Rng) -> Result<()> {
        self.tally.count_fault("engine slow");
        let node = pick_node(&cluster.stages, rng);
        let slow = FaultCommand {
            slow_factor: Some(rng.random_range(5.0..50.0)),
            ..FaultCommand::default()
        };
        send_fault(node, &slow)?;
        let normal = FaultCommand {
            slow_factor: Some(1.0),
            ..FaultCommand::default()
        };
        let heal = Heal::Server(node.vm().to_owned(), normal);
        self.heal_later(rng, heal);
        Ok(())
    }

    /// Ends the faults whose duration has passed.
    pub(super) fn heal_due(&mut self, cluster: &mut Cluster) -> Result<()> {
        let now = Instant::now();
        let (due, later) = std::mem::take(&mut self.pending_heals)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.pending_heals = later;
        due.into_iter()
            .try_for_each(|(_, heal): (Instant, Heal)| self.heal(cluster, heal))
    }

    /// Ends all faults.
    pub(super) fn heal_all(&mut self, cluster: &mut Cluster) -> Result<()> {
        let all = std::mem::take(&mut self.pending_heals);
        all.into_iter()
            .try_for_each(|(_, heal)| self.heal(cluster, heal))?;
        let reset = FaultCommand {
            lose_answers: Some(0),
            lose_writes: Some(0),
            ..FaultCommand::default()
        };
        send_table_fault(cluster, &reset)
    }

    fn heal(&mut self, cluster: &mut Cluster, heal: Heal) -> Result<()> {
        match heal {
            Heal::AddStage(layers) => cluster.add_stage(layers).map(drop),
            Heal::Thaw(id) => {
                let nodes = cluster.stages.iter().chain(&cluster.services);
                let children = nodes.flat_map(|n| [&n.agent, &n.server]);
                let mut all = children.chain(&cluster.entries);
                all.find(|c| c.id() == id).map_or(Ok(()), Child::thaw)
            }
            Heal::UnlistNode(mut node) => self.unlist_node(cluster, &mut node),
            Heal::Table(command) => send_table_fault(cluster, &command),
            Heal::Server(vm, fault) => {
                let node = cluster.stages.iter().find(|n| n.vm() == vm);
                node.map_or(Ok(()), |n| send_fault(n, &fault))
            }
        }
    }

    /// Waits for the agent's planned stop, if the server still runs, and marks the node as gone.
    fn unlist_node(&mut self, cluster: &Cluster, node: &mut Node) -> Result<()> {
        let is_planned = node.server.is_running();
        if is_planned {
            let _ = node.agent.thaw();
            let _ = node.server.thaw();
            let code = node.agent.wait()?;
            if code != CLEAN_EXIT {
                let example = format!("{} ended with {code:?}", node.vm());
                self.tally
                    .record_violation("planned stop cuts nothing", &example);
            }
        }
        cluster.list_vm_gone(node)
    }
}

fn pick_node<'a>(nodes: &'a [Node], rng: &mut ChaCha8Rng) -> &'a Node {
    &nodes[rng.random_range(0..nodes.len())]
}

/// Injects a fault into the stand-in of a node, or ends one.
fn send_fault(node: &Node, fault: &FaultCommand) -> Result<()> {
    // A frozen process doesn't answer, so resume it first.
    node.server.thaw()?;
    send_fault_command(&node.server, fault)
}

fn send_table_fault(cluster: &Cluster, fault: &FaultCommand) -> Result<()> {
    let part = Some("table".to_owned());
    send_fault_command(
        &cluster.platform,
        &FaultCommand {
            part,
            ..fault.clone()
        },
    )
}
