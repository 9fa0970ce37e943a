//! A booking service whose calls are not idempotent: each write creates a booking.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use clap::Parser;
use ntex::http::Method;
use serde::{Deserialize, Serialize};
use tokio::time;

use crate::fault::{FaultCommand, Faults};
use crate::serve::{Answer, Call, StandIn};

const REFERENCE_HEADER: &str = "x-reference";
const FORWARD_TIMEOUT: Duration = Duration::from_secs(30);

/// Command-line flags of the plain service.
#[derive(Clone, Debug, Parser)]
#[command(name = "fake-service", about = "Stands in for a booking service")]
pub struct ServiceFlags {
    /// The address to listen on.
    #[arg(long, default_value = "127.0.0.1:0")]
    pub listen: SocketAddr,
    /// Time of each call, in milliseconds.
    #[arg(long, default_value_t = 1)]
    pub call_ms: u64,
    /// The stand-in that stores the bookings; this one stores them if absent.
    #[arg(long)]
    pub books: Option<SocketAddr>,
    /// Refuse lookups of a booking by its reference.
    #[arg(long)]
    pub no_lookup: bool,
}

/// A booking, as stored and returned.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Booking {
    /// The number of the booking, counted from one.
    pub number: u64,
    /// The call's header `X-Reference`; none if it was absent.
    pub reference: Option<String>,
    /// The call's HTTP method.
    pub method: String,
    /// The call's path.
    pub path: String,
    /// The call's body as text.
    pub body: String,
}

/// The answer of a `GET` on any path but the special ones.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The path that was read.
    pub path: String,
    /// The number of bookings with this path.
    pub booked: usize,
}

/// The plain service.
#[derive(Debug)]
pub struct Service {
    flags: ServiceFlags,
    faults: Faults,
    ledger: Mutex<Vec<Booking>>,
    running: AtomicUsize,
}

impl Service {
    /// Creates a service without bookings.
    pub fn new(flags: ServiceFlags) -> Self {
        Service {
            flags,
            faults: Faults::default(),
            ledger: Mutex::default(),
            running: AtomicUsize::new(0),
        }
    }

    fn lock_ledger(&self) -> MutexGuard<'_, Vec<Booking>> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn add_booking(&self, call: &Call) -> Answer {
        let mut ledger = self.lock_ledger();
        let booking = Booking {
            number: ledger.len() as u64 + 1,
            reference: call.reference.clone(),
            method: call.method.to_string(),
            path: call.path.clone(),
            body: String::from_utf8_lossy(&call.body).into_owned(),
        };
        ledger.push(booking.clone());
        Answer::json(201, &booking)
    }

    fn find_booking(&self, reference: Option<&str>) -> Answer {
        if self.flags.no_lookup {
            return Answer::text(405, "this service doesn't look bookings up by reference");
        }
        let ledger = self.lock_ledger();
        let found = ledger.iter().find(|b| b.reference.as_deref() == reference);
        match found {
            Some(booking) => Answer::json(200, booking),
            None => Answer::text(404, "no booking has this reference"),
        }
    }

    fn read_status(&self, path: &str) -> Answer {
        let ledger = self.lock_ledger();
        let status = Status {
            path: path.to_owned(),
            booked: ledger.iter().filter(|b| b.path == path).count(),
        };
        Answer::json(200, &status)
    }
}

/// Forwards a call to the stand-in that stores the bookings.
async fn forward_call(books: SocketAddr, call: Call) -> Answer {
    let client = mustard_net::http::new_client();
    let path = match call.query.as_str() {
        "" => call.path,
        query => format!("{}?{query}", call.path),
    };
    let reference: Vec<_> = call
        .reference
        .iter()
        .map(|r| (REFERENCE_HEADER, r.as_str()))
        .collect();
    let request = mustard_net::http::Request {
        to: books,
        method: call.method,
        path: &path,
        content_type: "application/json",
        headers: &reference,
        body: call.body.to_vec(),
        timeout: FORWARD_TIMEOUT,
    };
    match mustard_net::http::exchange(&client, request).await {
        Ok(answer) => Answer {
            status: answer.status,
            media_type: "application/json",
            body: answer.body.to_vec(),
        },
        Err(e) => Answer::text(502, &e.to_string()),
    }
}

impl StandIn for Service {
    fn faults(&self, _: &Call) -> &Faults {
        &self.faults
    }

    fn apply_command(&self, command: &FaultCommand) {
        self.faults.apply(command);
    }

    async fn answer(&self, call: Call) -> Answer {
        match (&call.method, call.path.as_str()) {
            (&Method::GET, "/lookup") if !self.flags.no_lookup && self.flags.books.is_some() => {}
            (&Method::GET, "/running") => {
                return Answer::json(200, &self.running.load(Ordering::SeqCst));
            }
            (&Method::GET, "/ledger") => return Answer::json(200, &*self.lock_ledger()),
            (&Method::GET, "/lookup") => return self.find_booking(call.query_param("reference")),
            _ => {}
        }
        let work = Duration::from_millis(self.flags.call_ms);
        self.running.fetch_add(1, Ordering::SeqCst);
        time::sleep(self.faults.scale_time(work)).await;
        self.running.fetch_sub(1, Ordering::SeqCst);
        if let Some(books) = self.flags.books {
            return forward_call(books, call).await;
        }
        match call.method {
            Method::GET => self.read_status(&call.path),
            _ => self.add_booking(&call),
        }
    }
}
