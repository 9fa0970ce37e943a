//! What requests in flight take of the servers that they cross.

use std::net::SocketAddr;
use std::rc::Rc;

use crate::app::App;

use super::ServerKey;

/// What one request takes of one server.
#[derive(Clone, Copy, Debug)]
pub struct Share {
    server: ServerKey,
    memory: f64,
}

/// Counts a request at the servers that it crosses until it is dropped.
pub struct Load {
    app: Rc<App>,
    shares: Vec<Share>,
}

impl Load {
    /// Counts a request; `parts` are addresses with the memory taken, in tokens times layers.
    pub fn begin(app: &Rc<App>, parts: impl Iterator<Item = (SocketAddr, f64)>) -> Self {
        let mut fleet = app.fleet.borrow_mut();
        let mut shares = Vec::new();
        for (addr, memory) in parts {
            let Some(server) = fleet.at(addr) else {
                continue;
            };
            if let Some(s) = fleet.get_mut(server) {
                s.used += memory;
                s.running += 1;
                shares.push(Share { server, memory });
            }
        }
        drop(fleet);
        Load {
            app: Rc::clone(app),
            shares,
        }
    }
}

impl Drop for Load {
    fn drop(&mut self) {
        let mut fleet = self.app.fleet.borrow_mut();
        for share in &self.shares {
            if let Some(s) = fleet.get_mut(share.server) {
                s.used = (s.used - share.memory).max(0.0);
                s.running = s.running.saturating_sub(1);
            }
        }
    }
}
