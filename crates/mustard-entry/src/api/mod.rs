//! The HTTP interface for callers, operators, the balancer and other processes.

pub mod access;
pub mod admin;
pub mod auth;
pub mod body;
pub mod completions;
pub mod draft;
pub mod errors;
pub mod health;
pub mod operations;
pub mod peers;
pub mod problem;
pub mod services;
pub mod stream;

pub use errors::{ApiError, Result};

use std::rc::Rc;

use ntex::web::{self, HttpResponse, ServiceConfig};

use crate::app::Worker;
use problem::RequestContext;

/// The worker thread's state, as passed to handlers.
pub type State = web::types::State<Rc<Worker>>;

/// Registers all paths of an entry process.
pub fn routes(config: &mut ServiceConfig) {
    config
        .service(web::resource("/v1/completions").route(web::post().to(completions::handle)))
        .service(web::resource("/v1/services/{name}/{path}*").to(services::handle))
        .service(web::resource("/healthz").route(web::get().to(health::alive)))
        .service(web::resource("/readyz").route(web::get().to(health::ready)))
        .service(web::resource("/metrics").route(web::get().to(health::metrics)));
    admin::routes(config);
    operations::routes(config);
    peers::routes(config);
}

/// Answers requests for unknown paths.
pub async fn not_found() -> HttpResponse {
    RequestContext::new().refuse(&ApiError::NoPath)
}
