//! Pure state machines that decide under load and faults: admission, routing, limits, retries,
//! quarantine and membership.
//!
//! Time and random seeds are passed in; nothing here performs I/O, reads a clock or starts a
//! thread, so the daemons and the bench run the same code.
//!
//! Servers for a request to a model are chosen in one of two ways, by the kind of deployment:
//!
//! - [`route`] chooses a chain: each server on it, called a stage, runs all the layers that it
//!   holds. Entry processes drive the stages of a chain through the servers' agents.
//! - [`pipeline`] chooses a path: the servers hold overlapping ranges of layers, and a server may
//!   run only some of its layers for a request. The gateway uses this for deployments whose backend
//!   servers pass requests along the path themselves.
//!
//! The same word has different meanings for servers and for contents: a suspect server
//! ([`fleet::State`]) may have failed, and a suspect content ([`quarantine`]) may crash servers.
//!
//! The path of a request through the modules:
//!
//! ```
//! use mustard_core::catalogue::Class;
//! use mustard_core::clock::Moment;
//! use mustard_core::ids::{Incarnation, Layers};
//! use mustard_policy::admission::{Admission, Offer, Decision, Forecast, Settings};
//! use mustard_policy::fleet::{Fleet, Role, ServerInfo};
//! use mustard_policy::route::{Query, choose_plan};
//! use rand::SeedableRng;
//!
//! // Membership provides a view of the servers.
//! let mut fleet = Fleet::default();
//! for (i, layers) in [Layers::new(0, 16), Layers::new(16, 32)].into_iter().enumerate() {
//!     fleet.upsert(ServerInfo {
//!         vm: format!("vm-{i}"),
//!         addr: ([127, 0, 0, 1], 7000 + i as u16).into(),
//!         domain: "a".into(),
//!         incarnation: Incarnation(1),
//!         role: Role::Stage {
//!             model: "captions".into(),
//!             layers,
//!             accelerator: "small".into(),
//!         },
//!     });
//! }
//!
//! // A request is offered, and starts when a chain has capacity for it.
//! let now = Moment::from_millis(5);
//! let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(7);
//! let mut admission = Admission::new(Settings::default());
//! let offer = Offer::new("peachtree", 1, Class::Interactive, 64, Moment::from_millis(9_000));
//! let ticket = admission.offer(now, offer).unwrap();
//! let query = Query::new("captions", 32, 20, 64);
//! let mut plan = None;
//! let decisions = admission.poll(now, |_| {
//!     plan = choose_plan(&fleet, &query, now, &mut rng).ok();
//!     plan.as_ref().map(|p| Forecast::from(p))
//! });
//! assert_eq!(decisions, vec![(ticket, Decision::Run)]);
//!
//! // The guards count the request at each stage until they are dropped.
//! let plan = plan.unwrap();
//! let guards = plan.start_request(&fleet);
//! fleet.get(plan.stages[0].server).unwrap().stats().observe_step(now, 2_000.0);
//! drop(guards);
//! admission.finish(ticket, Moment::from_millis(400), 64);
//! ```

#![forbid(unsafe_code)]

pub mod admission;
pub mod backoff;
pub mod balance;
pub mod breaker;
pub mod budget_share;
pub mod clearance_log;
pub mod demand_share;
pub mod estimators;
pub mod fleet;
pub mod hedge;
pub mod limits;
pub mod membership;
pub mod outlier;
pub mod pipeline;
pub mod quarantine;
pub mod quiet;
pub mod rate_share;
pub mod refusals;
pub mod retry;
pub mod room;
pub mod route;

pub mod segments;
pub mod separation;
pub mod server_load;
pub mod silence;
pub mod slow;
pub mod stall;
pub mod strike_news;
pub mod subset;
