//! The agent's HTTP server.

mod body;
mod routes;

pub use routes::configure;
