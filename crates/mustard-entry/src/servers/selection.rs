//! Selects the subset of agents that this process watches and uses for requests.

use mustard_core::collections::Set;
use mustard_policy::subset::{self, Candidate, EntryProcess};

use super::record::{Known, work_group};
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
        let own = EntryProcess {
            name: self.process.name(),
            domain: &self.domain,
        };
        let others = registry.entries.values().map(|vm| EntryProcess {
            name: &vm.name,
            domain: &vm.domain,
        });
        let others = others.filter(|other| other.name != own.name);
        let processes: Vec<EntryProcess> = std::iter::once(own).chain(others).collect();
        let mut agents: Vec<&Known> = registry.agents.values().collect();
        agents.sort_by(|a, b| a.vm.name.cmp(&b.vm.name));
        let candidates: Vec<Candidate> = agents.iter().map(|known| candidate(known)).collect();
        let indices = subset::choose_subset(own, &processes, &candidates, self.subset);
        let name = |index: usize| agents[index].vm.name.clone();
        indices.into_iter().map(name).collect()
    }
}

fn candidate(known: &Known) -> Candidate<'_> {
    Candidate {
        vm: &known.vm.name,
        domain: &known.vm.domain,
        group: work_group(known.info.as_ref()),
    }
}

/// Marks the selected agents and returns the names of the others.
fn mark_watched(registry: &mut Registry, selected: &Set<String>) -> Vec<String> {
    let mut unwatched = Vec::new();
    for (name, known) in &mut registry.agents {
        known.watched = selected.contains(name);
        if !known.watched {
            unwatched.push(name.clone());
        }
    }
    unwatched
}
