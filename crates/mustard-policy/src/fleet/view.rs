//! The published view of the servers that a process knows.

use std::sync::Arc;

use mustard_core::arena::Arena;
use mustard_core::collections::Map;
use mustard_core::ids::Layers;

use super::links::Links;
use super::server::{Role, Server, ServerInfo, ServerKey, ServerStats};

/// The least number of slots on each side of the table of link costs.
const MIN_LINK_SLOTS: usize = 16;

/// Servers that hold the same layers of a model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Group {
    /// The layers that each of them holds.
    pub layers: Layers,
    /// The servers, in the order of their keys.
    pub servers: Vec<ServerKey>,
}

/// A view of the servers that a process knows.
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
    /// Adds a server or updates its info.
    ///
    /// A server with the same VM, incarnation and role keeps its key, counters and estimates. If
    /// the incarnation or the role changed, it is replaced by a new server.
    pub fn upsert(&mut self, info: ServerInfo) -> ServerKey {
        if let Some(key) = self.find(&info.vm) {
            let is_same = self.servers.get(key).is_some_and(|s| {
                let old = s.info();
                old.incarnation == info.incarnation && old.role == info.role
            });
            if is_same {
                self.update_info(key, info);
                return key;
            }
            self.remove(key);
        }
        self.insert(info)
    }

    /// Removes a server; guards of requests in flight there stay valid.
    pub fn remove(&mut self, key: ServerKey) -> Option<Server> {
        let server = self.servers.remove(key)?;
        self.by_vm.remove(&server.info().vm);
        self.rebuild_groups();
        Some(server)
    }

    /// Returns the server of a key, unless it was removed.
    pub fn get(&self, key: ServerKey) -> Option<&Server> {
        self.servers.get(key)
    }

    /// Returns the key of the server on a VM.
    pub fn find(&self, vm: &str) -> Option<ServerKey> {
        self.by_vm.get(vm).copied()
    }

    /// Returns an iterator over all servers, in the order of their keys.
    pub fn iter(&self) -> impl Iterator<Item = (ServerKey, &Server)> {
        self.servers.iter()
    }

    /// Returns the number of servers.
    pub fn len(&self) -> usize {
        self.servers.len()
    }

    /// Returns whether no server is known.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    /// Returns the servers of a model, grouped by the layers that they hold, in layer order.
    pub fn groups(&self, model: &str) -> &[Group] {
        self.models.get(model).map_or(&[], Vec::as_slice)
    }

    /// Returns the servers of a plain service.
    pub fn service(&self, service: &str) -> &[ServerKey] {
        self.services.get(service).map_or(&[], Vec::as_slice)
    }

    /// Returns the estimated link costs, indexed by the slots of the servers' keys.
    pub fn links(&self) -> &Links {
        &self.links
    }

    fn update_info(&mut self, key: ServerKey, info: ServerInfo) {
        let domain = self.domain_index(&info.domain);
        if let Some(server) = self.servers.get_mut(key) {
            let stats = Arc::clone(server.stats());
            *server = Server::new(info, stats, domain);
        }
    }

    fn insert(&mut self, info: ServerInfo) -> ServerKey {
        let vm = info.vm.clone();
        let stats = Arc::new(self.initial_estimates(&info));
        let domain = self.domain_index(&info.domain);
        let key = self.servers.insert(Server::new(info, stats, domain));
        if key.index() >= self.links.slot_count() {
            let slot_count = (key.index() + 1).next_power_of_two().max(MIN_LINK_SLOTS);
            self.links = Arc::new(Links::resized(&self.links, slot_count));
        } else {
            self.links.reset(key.index());
        }
        self.by_vm.insert(vm, key);
        self.rebuild_groups();
        key
    }

    /// Returns the index of a failure domain, and adds the domain if it is new.
    fn domain_index(&mut self, name: &str) -> u16 {
        if let Some(i) = self.domains.iter().position(|d| d == name) {
            return i as u16;
        }
        self.domains.push(name.to_owned());
        (self.domains.len() - 1) as u16
    }

    /// Creates the estimates of a new server from those of a server with the same role, if there
    /// is one.
    fn initial_estimates(&self, info: &ServerInfo) -> ServerStats {
        let same_role = self
            .iter()
            .find(|(_, s)| info.role != Role::Idle && s.info().role == info.role);
        match same_role {
            Some((_, server)) => {
                let (step, slope) = server.stats().step_fit();
                ServerStats::with_prior(step, slope, server.stats().prefill_us())
            }
            None => ServerStats::default(),
        }
    }

    /// Computes the servers of each model and service anew.
    fn rebuild_groups(&mut self) {
        self.models.clear();
        self.services.clear();
        for (key, server) in self.servers.iter() {
            match &server.info().role {
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
