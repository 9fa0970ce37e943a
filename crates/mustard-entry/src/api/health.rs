//! Health and readiness for the balancer, and metrics.

use ntex::web::HttpResponse;

use super::State;
use crate::metric;

/// Tells that the process runs.
pub async fn alive() -> HttpResponse {
    HttpResponse::Ok().content_type("text/plain").body("ok\n")
}

/// Tells whether the balancer may send requests.
pub async fn ready(state: State) -> HttpResponse {
    if state.shared.is_ready() {
        return HttpResponse::Ok()
            .content_type("text/plain")
            .body("ready\n");
    }
    HttpResponse::ServiceUnavailable()
        .content_type("text/plain")
        .body("not ready\n")
}

/// Returns the metrics.
pub async fn metrics(state: State) -> HttpResponse {
    metric::set_gauges(&state.shared);
    mustard_net::metric::scrape(&state.shared.metrics)
}
