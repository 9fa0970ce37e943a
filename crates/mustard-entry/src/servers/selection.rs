//! Selects the subset of agents that this process watches and uses for requests.

use mustard_core::collections::Set;
use mustard_policy::subset::{self, Candidate, EntryProcess};

use super::record::{AgentRecord, work_group};
use super::{Registry, Servers};

impl Servers {
    /// Selects the watched agents again and removes the others from the view.
    pub fn choose_subset(&self) {
        let unwatched = {
            let mut registry = self.lock();
            let selected = self.select_watched(&registry);
            mark_watched(&mut registry, &selected)
        };
        self.unpublish(&unwatched);
    }

    /// Returns the names of the agents to watch.
    fn select_watched(&self, registry: &Registry) -> Set<String> {
        let this_process = EntryProcess {
            name: self.process.name(),
            domain: &self.domain,
        };
        let other_processes = registry.entry_processes.values().map(|vm| EntryProcess {
            name: &vm.name,
            domain: &vm.domain,
        });
        let other_processes = other_processes.filter(|other| other.name != this_process.name);
        let processes: Vec<EntryProcess> = std::iter::once(this_process)
            .chain(other_processes)
            .collect();
        let mut agents: Vec<&AgentRecord> = registry.agents.values().collect();
        agents.sort_by(|a, b| a.vm.name.cmp(&b.vm.name));
        let candidates: Vec<Candidate> = agents.iter().map(|record| candidate(record)).collect();
        let indices = subset::choose_subset(this_process, &processes, &candidates, self.subset);
        let name = |index: usize| agents[index].vm.name.clone();
        indices.into_iter().map(name).collect()
    }
}

fn candidate(record: &AgentRecord) -> Candidate<'_> {
    Candidate {
        vm: &record.vm.name,
        domain: &record.vm.domain,
        group: work_group(record.info.as_ref()),
    }
}

/// Marks the selected agents and returns the names of the others.
fn mark_watched(registry: &mut Registry, selected: &Set<String>) -> Vec<String> {
    let mut unwatched = Vec::new();
    for (name, record) in &mut registry.agents {
        record.watched = selected.contains(name);
        if !record.watched {
            unwatched.push(name.clone());
        }
    }
    unwatched
}
