//! A plain service whose calls may not be repeated: each one books anew.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use clap::Parser;
use ntex::http::Method;
use serde::{Deserialize, Serialize};
use tokio::time;

use crate::fault::{Command, Faults};
use crate::serve::{Answer, Call, StandIn};

const REFERENCE: &str = "x-reference";
const BOOKS_LIMIT: Duration = Duration::from_secs(30);

/// The flags of the plain service.
#[derive(Clone, Debug, Parser)]
#[command(name = "fake-service", about = "Stands in for a booking service")]
pub struct ServiceFlags {
    /// Where to listen.
    #[arg(long, default_value = "127.0.0.1:0")]
    pub listen: SocketAddr,
    /// Time that each call takes, in milliseconds.
    #[arg(long, default_value_t = 1)]
    pub call_ms: u64,
    /// The stand-in that keeps the books; this one does if absent.
    #[arg(long)]
    pub books: Option<SocketAddr>,
    /// Offers no read by reference.
    #[arg(long)]
    pub no_lookup: bool,
}

/// One booking.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Booking {
    /// The number of the booking, from one.
    pub number: u64,
    /// The reference that the call carried.
    pub reference: Option<String>,
    /// The method.
    pub method: String,
    /// The path.
    pub path: String,
    /// The body as text.
    pub body: String,
}

/// What a status read returns.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The path.
    pub path: String,
    /// The bookings under the path.
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

    fn ledger(&self) -> MutexGuard<'_, Vec<Booking>> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn book(&self, call: &Call) -> Answer {
        let mut ledger = self.ledger();
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

    fn lookup(&self, reference: Option<&str>) -> Answer {
        if self.flags.no_lookup {
            return Answer::text(405, "this service offers no read by reference");
        }
        let ledger = self.ledger();
        let found = ledger.iter().find(|b| b.reference.as_deref() == reference);
        match found {
            Some(booking) => Answer::json(200, booking),
            None => Answer::text(404, "nothing is booked under this reference"),
        }
    }

    fn status(&self, path: &str) -> Answer {
        let ledger = self.ledger();
        let status = Status {
            path: path.to_owned(),
            booked: ledger.iter().filter(|b| b.path == path).count(),
        };
        Answer::json(200, &status)
    }
}

/// Hands a call to the stand-in that keeps the books.
async fn forward(books: SocketAddr, call: Call) -> Answer {
    let client = mustard_net::http::new_client().await;
    let path = match call.query.as_str() {
        "" => call.path,
        query => format!("{}?{query}", call.path),
    };
    let reference: Vec<_> = call
        .reference
        .iter()
        .map(|r| (REFERENCE, r.as_str()))
        .collect();
    let request = mustard_net::http::Request {
        to: books,
        method: call.method,
        path: &path,
        content_type: "application/json",
        headers: &reference,
        body: call.body.to_vec(),
        limit: BOOKS_LIMIT,
    };
    match mustard_net::http::exchange(&client, request).await {
        Ok(answer) => Answer {
            status: answer.status,
            media: "application/json",
            body: answer.body.to_vec(),
        },
        Err(e) => Answer::text(502, &e.to_string()),
    }
}

impl StandIn for Service {
    fn faults(&self, _: &Call) -> &Faults {
        &self.faults
    }

    fn obey(&self, command: &Command) {
        self.faults.obey(command);
    }

    async fn answer(&self, call: Call) -> Answer {
        match (&call.method, call.path.as_str()) {
            (&Method::GET, "/lookup") if !self.flags.no_lookup && self.flags.books.is_some() => {}
            (&Method::GET, "/running") => {
                return Answer::json(200, &self.running.load(Ordering::SeqCst));
            }
            (&Method::GET, "/ledger") => return Answer::json(200, &*self.ledger()),
            (&Method::GET, "/lookup") => return self.lookup(call.query("reference")),
            _ => {}
        }
        let work = Duration::from_millis(self.flags.call_ms);
        self.running.fetch_add(1, Ordering::SeqCst);
        time::sleep(self.faults.stretch(work)).await;
        self.running.fetch_sub(1, Ordering::SeqCst);
        if let Some(books) = self.flags.books {
            return forward(books, call).await;
        }
        match call.method {
            Method::GET => self.status(&call.path),
            _ => self.book(&call),
        }
    }
}
