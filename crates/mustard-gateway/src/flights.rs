//! Streams in flight, as the watch sees them.

use std::net::SocketAddr;
use std::rc::Rc;

use tokio::sync::Notify;

use mustard_core::arena::{Arena, Key};
use mustard_core::clock::Moment;
use mustard_core::deployment::Part;
use mustard_policy::pipeline::Demand;
use mustard_policy::stall::Progress;

use crate::app::App;
use crate::fleet::Load;

/// Names a stream in flight.
pub type FlightKey = Key<Flight>;

/// The streams in flight of a gateway.
pub type Flights = Arena<Flight>;

/// One attempt of a stream that runs.
pub struct Flight {
    /// The caller's id of the request.
    pub id: String,
    /// The service.
    pub service: String,
    /// The servers that it crosses.
    pub parts: Vec<Part>,
    /// What it needs.
    pub demand: Demand,
    /// How it goes on.
    pub progress: Progress,
    /// Tells its task to give the attempt up and go on elsewhere.
    pub abandon: Rc<Notify>,
    /// Whether it is being moved to another path.
    pub moving: bool,
    /// What it takes of the servers.
    pub load: Load,
}

impl Flight {
    /// Tells whether the stream crosses the server at an address.
    pub fn crosses(&self, addr: SocketAddr) -> bool {
        self.parts.iter().any(|p| p.addr == addr)
    }

    /// Tells whether the server at an address is the first of its path.
    pub fn starts_at(&self, addr: SocketAddr) -> bool {
        self.parts.first().is_some_and(|p| p.addr == addr)
    }
}

/// Keeps a stream registered until it is dropped.
pub struct FlightGuard {
    app: Rc<App>,
    key: FlightKey,
}

impl FlightGuard {
    /// Registers a stream.
    pub fn register(app: &Rc<App>, flight: Flight) -> Self {
        let key = app.flights.borrow_mut().insert(flight);
        FlightGuard {
            app: Rc::clone(app),
            key,
        }
    }

    /// Takes in that events arrived.
    pub fn progress(&self, now: Moment) {
        let mut flights = self.app.flights.borrow_mut();
        let Some(flight) = flights.get_mut(self.key) else {
            return;
        };
        if flight.progress.begun {
            let pause = now.since(flight.progress.last);
            self.app.pauses.borrow_mut().observe(pause);
        }
        flight.progress.advance(now);
    }
}

impl Drop for FlightGuard {
    fn drop(&mut self) {
        let flight = self.app.flights.borrow_mut().remove(self.key);
        // Its load gives back what it took of the fleet, after the borrow of the flights ended.
        drop(flight);
    }
}
