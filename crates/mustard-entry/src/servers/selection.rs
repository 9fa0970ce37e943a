//! The choice of the agents that this process watches in detail.

use mustard_core::collections::Set;
use mustard_policy::subset::{self, Candidate, Process};

use super::record::{Known, group_of};
use super::{Registry, Servers};

impl Servers {
    /// Chooses anew which agents are watched in detail.
    pub fn choose_subset(&self) {
        let dropped = {
            let mut registry = self.lock();
            let chosen = self.chosen(&registry);
            mark(&mut registry, &chosen)
        };
        self.unpublish(&dropped);
    }

    /// Returns the names of the agents to watch.
    fn chosen(&self, registry: &Registry) -> Set<String> {
        let own = Process {
            name: self.process.name(),
            domain: &self.domain,
        };
        let others = registry.entries.values().map(|vm| Process {
            name: &vm.name,
            domain: &vm.domain,
        });
        let others = others.filter(|other| other.name != own.name);
        let processes: Vec<Process> = std::iter::once(own).chain(others).collect();
        let mut agents: Vec<&Known> = registry.agents.values().collect();
        agents.sort_by(|a, b| a.vm.name.cmp(&b.vm.name));
        let candidates: Vec<Candidate> = agents.iter().map(|known| candidate(known)).collect();
        let indices = subset::choose(own, &processes, &candidates, self.subset);
        let name = |index: usize| agents[index].vm.name.clone();
        indices.into_iter().map(name).collect()
    }
}

fn candidate(known: &Known) -> Candidate<'_> {
    Candidate {
        vm: &known.vm.name,
        domain: &known.vm.domain,
        group: group_of(known.info.as_ref()),
    }
}

/// Marks the chosen agents and returns the names of the others.
fn mark(registry: &mut Registry, chosen: &Set<String>) -> Vec<String> {
    let mut dropped = Vec::new();
    for (name, known) in &mut registry.agents {
        known.chosen = chosen.contains(name);
        if !known.chosen {
            dropped.push(name.clone());
        }
    }
    dropped
}
