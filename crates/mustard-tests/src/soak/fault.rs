//! Random faults and their end.

use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use mustard_core::ids::Layers;
use mustard_fakes::fault::Command;

use crate::child::Child;
use crate::cluster::{Cluster, command};
use crate::errors::Result;
use crate::node::{Node, Pick};

use super::tally::Tally;

const HEAL_MS: std::ops::Range<u64> = 500..6_000;
const CLEAN: Option<i32> = Some(0);

/// What ends a fault.
enum Heal {
    AddStage(Layers),
    Thaw(u32),
    EndDrain(Box<Node>),
    Table(Command),
    Server(String, Command),
}

/// The faults in force.
pub(super) struct Faults {
    tally: Arc<Tally>,
    healing: Vec<(Instant, Heal)>,
}

impl Faults {
    pub(super) fn new(tally: Arc<Tally>) -> Self {
        Faults {
            tally,
            healing: Vec::new(),
        }
    }

    fn heal_later(&mut self, rng: &mut ChaCha8Rng, heal: Heal) {
        let at = Instant::now() + Duration::from_millis(rng.random_range(HEAL_MS));
        self.healing.push((at, heal));
    }

    /// Brings one fault about.
    pub(super) fn bring(&mut self, cluster: &mut Cluster, rng: &mut ChaCha8Rng) -> Result<()> {
        match rng.random_range(0..12) {
            0 | 1 => self.kill_stage(cluster, rng),
            2 => self.kill_engine(cluster, rng),
            3 => self.freeze(cluster, rng),
            4 => self.drain_stage(cluster, rng),
            5 => self.kill_booking_agent(cluster, rng),
            6 => self.kill_entry(cluster, rng),
            7 => self.stop_entry(cluster, rng),
            8 => self.table_down(cluster, rng),
            9 => self.table_loses(cluster, rng),
            10 => self.service_loses(cluster, rng),
            _ => self.slow_engine(cluster, rng),
        }
    }

    fn kill_stage(&mut self, cluster: &mut Cluster, rng: &mut ChaCha8Rng) -> Result<()> {
        self.tally.fault("stage VM killed");
        let Some(mut node) = self.take_stage(cluster, rng) else {
            return Ok(());
        };
        node.kill()?;
        cluster.list_gone(&node)?;
        self.heal_later(rng, Heal::AddStage(node.layers));
        Ok(())
    }

    /// Takes a stage out, unless its layers are held by no other one.
    fn take_stage(&self, cluster: &mut Cluster, rng: &mut ChaCha8Rng) -> Option<Node> {
        let index = rng.random_range(0..cluster.stages.len());
        let layers = cluster.stages[index].layers;
        let held = cluster.stages.iter().filter(|n| n.layers == layers).count();
        (held > 1).then(|| cluster.stages.remove(index))
    }

    fn kill_engine(&mut self, cluster: &mut Cluster, rng: &mut ChaCha8Rng) -> Result<()> {
        self.tally.fault("engine killed, agent lives on");
        let Some(mut node) = self.take_stage(cluster, rng) else {
            return Ok(());
        };
        node.server.kill()?;
        let layers = node.layers;
        // The agent beside the dead engine stays listed until it ends.
        self.heal_later(rng, Heal::EndDrain(Box::new(node)));
        self.heal_later(rng, Heal::AddStage(layers));
        Ok(())
    }

    fn freeze(&mut self, cluster: &mut Cluster, rng: &mut ChaCha8Rng) -> Result<()> {
        let (name, child) = match rng.random_range(0..4) {
            0 => ("agent of a stage frozen", &any(&cluster.stages, rng).agent),
            1 => ("engine frozen", &any(&cluster.stages, rng).server),
            2 => (
                "agent of a service frozen",
                &any(&cluster.services, rng).agent,
            ),
            _ => ("entry frozen", &cluster.entries[rng.random_range(0..2)]),
        };
        self.tally.fault(name);
        child.freeze()?;
        let id = child.id();
        self.heal_later(rng, Heal::Thaw(id));
        Ok(())
    }

    fn drain_stage(&mut self, cluster: &mut Cluster, rng: &mut ChaCha8Rng) -> Result<()> {
        self.tally.fault("stage stopped as planned");
        let Some(node) = self.take_stage(cluster, rng) else {
            return Ok(());
        };
        node.agent.terminate()?;
        let layers = node.layers;
        self.heal_later(rng, Heal::AddStage(layers));
        self.heal_later(rng, Heal::EndDrain(Box::new(node)));
        Ok(())
    }

    fn kill_booking_agent(&mut self, cluster: &mut Cluster, rng: &mut ChaCha8Rng) -> Result<()> {
        self.tally.fault("agent of a service killed");
        let index = rng.random_range(0..cluster.services.len());
        cluster.restart_agent(Pick::Service(index))
    }

    fn kill_entry(&mut self, cluster: &mut Cluster, rng: &mut ChaCha8Rng) -> Result<()> {
        self.tally.fault("entry killed");
        cluster.restart_entry(rng.random_range(0..2))
    }

    fn stop_entry(&mut self, cluster: &mut Cluster, rng: &mut ChaCha8Rng) -> Result<()> {
        self.tally.fault("entry stopped as planned");
        let index = rng.random_range(0..2);
        let entry = &mut cluster.entries[index];
        // A frozen process takes no signal, so it is let go on first.
        entry.thaw()?;
        entry.terminate()?;
        let code = entry.wait()?;
        if code != CLEAN {
            let example = format!("{} ended with {code:?}", entry.name());
            self.tally.broken("planned stop cuts nothing", &example);
        }
        cluster.restart_entry(index)
    }

    fn table_down(&mut self, cluster: &mut Cluster, rng: &mut ChaCha8Rng) -> Result<()> {
        self.tally.fault("table down");
        tell_table(
            cluster,
            &Command {
                down: Some(true),
                ..Command::default()
            },
        )?;
        let up = Command {
            down: Some(false),
            ..Command::default()
        };
        self.heal_later(rng, Heal::Table(up));
        Ok(())
    }

    fn table_loses(&mut self, cluster: &mut Cluster, rng: &mut ChaCha8Rng) -> Result<()> {
        self.tally.fault("table loses answers");
        let lose = Command {
            lose_answers: Some(rng.random_range(1..4)),
            lose_writes: Some(rng.random_range(0..2)),
            delay_ms: Some(rng.random_range(0..200)),
            ..Command::default()
        };
        tell_table(cluster, &lose)?;
        let quick = Command {
            delay_ms: Some(0),
            ..Command::default()
        };
        self.heal_later(rng, Heal::Table(quick));
        Ok(())
    }

    fn service_loses(&mut self, cluster: &mut Cluster, rng: &mut ChaCha8Rng) -> Result<()> {
        self.tally.fault("service loses answers");
        let lose = Command {
            lose_answers: Some(2),
            ..Command::default()
        };
        tell(any(&cluster.services, rng), &lose)
    }

    fn slow_engine(&mut self, cluster: &mut Cluster, rng: &mut ChaCha8Rng) -> Result<()> {
        self.tally.fault("engine slow");
        let node = any(&cluster.stages, rng);
        let slow = Command {
            slow_factor: Some(rng.random_range(5.0..50.0)),
            ..Command::default()
        };
        tell(node, &slow)?;
        let quick = Command {
            slow_factor: Some(1.0),
            ..Command::default()
        };
        let heal = Heal::Server(node.vm().to_owned(), quick);
        self.heal_later(rng, heal);
        Ok(())
    }

    /// Ends the faults whose time has come.
    pub(super) fn heal_due(&mut self, cluster: &mut Cluster) -> Result<()> {
        let now = Instant::now();
        let (due, later) = std::mem::take(&mut self.healing)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.healing = later;
        due.into_iter()
            .try_for_each(|(_, heal): (Instant, Heal)| self.heal(cluster, heal))
    }

    /// Ends every fault.
    pub(super) fn heal_all(&mut self, cluster: &mut Cluster) -> Result<()> {
        let all = std::mem::take(&mut self.healing);
        all.into_iter()
            .try_for_each(|(_, heal)| self.heal(cluster, heal))?;
        let none = Command {
            lose_answers: Some(0),
            lose_writes: Some(0),
            ..Command::default()
        };
        tell_table(cluster, &none)
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
            Heal::EndDrain(mut node) => self.end_drain(cluster, &mut node),
            Heal::Table(command) => tell_table(cluster, &command),
            Heal::Server(vm, order) => {
                let node = cluster.stages.iter().find(|n| n.vm() == vm);
                node.map_or(Ok(()), |n| tell(n, &order))
            }
        }
    }

    fn end_drain(&mut self, cluster: &Cluster, node: &mut Node) -> Result<()> {
        let planned = node.server.is_running();
        if planned {
            let _ = node.agent.thaw();
            let _ = node.server.thaw();
            let code = node.agent.wait()?;
            if code != CLEAN {
                let example = format!("{} ended with {code:?}", node.vm());
                self.tally.broken("planned stop cuts nothing", &example);
            }
        }
        cluster.list_gone(node)
    }
}

fn any<'a>(nodes: &'a [Node], rng: &mut ChaCha8Rng) -> &'a Node {
    &nodes[rng.random_range(0..nodes.len())]
}

/// Tells the stand-in of a node to have a fault.
fn tell(node: &Node, order: &Command) -> Result<()> {
    // A frozen process answers nothing, so it is let go on first.
    node.server.thaw()?;
    command(&node.server, order)
}

fn tell_table(cluster: &Cluster, order: &Command) -> Result<()> {
    let part = Some("table".to_owned());
    command(
        &cluster.platform,
        &Command {
            part,
            ..order.clone()
        },
    )
}
