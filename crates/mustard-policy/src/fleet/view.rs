//! The published view of all known servers.

use std::sync::Arc;

use mustard_core::arena::Arena;
use mustard_core::collections::Map;
use mustard_core::ids::Layers;

use super::links::Links;
use super::server::{Facts, Live, Role, Server, ServerKey};

const MIN_SIDE: usize = 16;

/// Servers that hold the same layers of a model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Group {
    /// The layers held.
    pub layers: Layers,
    /// The servers, in the order in which they joined.
    pub servers: Vec<ServerKey>,
}

/// A view of the servers known to a process.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    servers: Arena<Server>,
    by_vm: Map<String, ServerKey>,
    models: Map<String, Vec<Group>>,
    services: Map<String, Vec<ServerKey>>,
    domains: Vec<String>,
    links: Arc<Links>,
}

impl Fleet {
    /// Adds a server or takes over its new facts.
    ///
    /// A server of the same VM and incarnation keeps its key, counters and estimates, unless it
    /// changed its role; any other life of the VM gets new ones.
    pub fn upsert(&mut self, facts: Facts) -> ServerKey {
        if let Some(key) = self.find(&facts.vm) {
            let same = self.servers.get(key).is_some_and(|s| {
                let old = s.facts();
                old.incarnation == facts.incarnation && old.role == facts.role
            });
            if same {
                self.replace(key, facts);
                return key;
            }
            self.remove(key);
        }
        self.insert(facts)
    }

    /// Removes a server; its guards stay valid.
    pub fn remove(&mut self, key: ServerKey) -> Option<Server> {
        let server = self.servers.remove(key)?;
        self.by_vm.remove(&server.facts().vm);
        self.rebuild();
        Some(server)
    }

    /// Returns a server.
    pub fn get(&self, key: ServerKey) -> Option<&Server> {
        self.servers.get(key)
    }

    /// Returns the key of the server on a VM.
    pub fn find(&self, vm: &str) -> Option<ServerKey> {
        self.by_vm.get(vm).copied()
    }

    /// Visits all servers.
    pub fn iter(&self) -> impl Iterator<Item = (ServerKey, &Server)> {
        self.servers.iter()
    }

    /// Returns the number of servers.
    pub fn len(&self) -> usize {
        self.servers.len()
    }

    /// Tells whether no server is known.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    /// Returns the servers of a model, grouped by the layers held, first layers first.
    pub fn groups(&self, model: &str) -> &[Group] {
        self.models.get(model).map_or(&[], Vec::as_slice)
    }

    /// Returns the servers of a plain service.
    pub fn service(&self, service: &str) -> &[ServerKey] {
        self.services.get(service).map_or(&[], Vec::as_slice)
    }

    /// Returns the learned link costs, by slots of the keys.
    pub fn links(&self) -> &Links {
        &self.links
    }

    fn replace(&mut self, key: ServerKey, facts: Facts) {
        let domain = self.domain(&facts.domain);
        if let Some(server) = self.servers.get_mut(key) {
            let live = Arc::clone(server.live());
            *server = Server::new(facts, live, domain);
        }
    }

    fn insert(&mut self, facts: Facts) -> ServerKey {
        let vm = facts.vm.clone();
        let live = Arc::new(self.prior(&facts));
        let domain = self.domain(&facts.domain);
        let key = self.servers.insert(Server::new(facts, live, domain));
        if key.index() >= self.links.side() {
            let side = (key.index() + 1).next_power_of_two().max(MIN_SIDE);
            self.links = Arc::new(Links::grown(&self.links, side));
        } else {
            self.links.reset(key.index());
        }
        self.by_vm.insert(vm, key);
        self.rebuild();
        key
    }

    fn domain(&mut self, name: &str) -> u16 {
        if let Some(i) = self.domains.iter().position(|d| d == name) {
            return i as u16;
        }
        self.domains.push(name.to_owned());
        (self.domains.len() - 1) as u16
    }

    /// Starts the estimates of a new server from a peer with the same layers and accelerator.
    fn prior(&self, facts: &Facts) -> Live {
        let peer = self
            .iter()
            .find(|(_, s)| facts.role != Role::Idle && s.facts().role == facts.role);
        match peer {
            Some((_, peer)) => {
                let (step, slope) = peer.live().step_line();
                Live::with_prior(step, slope, peer.live().prefill_us())
            }
            None => Live::default(),
        }
    }

    fn rebuild(&mut self) {
        self.models.clear();
        self.services.clear();
        for (key, server) in self.servers.iter() {
            match &server.facts().role {
                Role::Stage { model, layers, .. } => {
                    let groups = self.models.entry(model.clone()).or_default();
                    match groups.iter_mut().find(|g| g.layers == *layers) {
                        Some(group) => group.servers.push(key),
                        None => groups.push(Group {
                            layers: *layers,
                            servers: vec![key],
                        }),
                    }
                }
                Role::Service { service } => {
                    self.services.entry(service.clone()).or_default().push(key);
                }
                Role::Idle => {}
            }
        }
        for groups in self.models.values_mut() {
            groups.sort_by_key(|g| g.layers);
        }
    }
}
