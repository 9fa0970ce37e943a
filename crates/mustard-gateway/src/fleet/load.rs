//! The load that requests in flight put on servers.

use std::rc::Rc;

use crate::app::App;

use super::ServerKey;

/// The load of one request on one server.
#[derive(Clone, Copy, Debug)]
pub struct ServerLoad {
    server: ServerKey,
    memory: f64,
}

/// Counts a request at the servers of its path until this guard is dropped.
pub struct LoadGuard {
    app: Rc<App>,
    loads: Vec<ServerLoad>,
}

impl LoadGuard {
    /// Counts a request; `parts` are servers with the memory used there, in tokens times layers.
    pub fn begin(app: &Rc<App>, parts: impl Iterator<Item = (ServerKey, f64)>) -> Self {
        let now = app.now();
        let mut fleet = app.fleet.borrow_mut();
        let mut loads = Vec::new();
        for (server, memory) in parts {
            if let Some(s) = fleet.get_mut(server) {
                s.add_use(now, memory);
                s.running += 1;
                s.room.record_start(now);
                loads.push(ServerLoad { server, memory });
            }
        }
        drop(fleet);
        LoadGuard {
            app: Rc::clone(app),
            loads,
        }
    }
}

impl Drop for LoadGuard {
    fn drop(&mut self) {
        let now = self.app.now();
        let mut fleet = self.app.fleet.borrow_mut();
        for load in &self.loads {
            if let Some(s) = fleet.get_mut(load.server) {
                s.add_use(now, -load.memory);
                s.running = s.running.saturating_sub(1);
            }
        }
        drop(fleet);
        self.app.waiting.record_freed();
    }
}
