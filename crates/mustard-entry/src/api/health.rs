//! Health and readiness checks for the balancer, and the metrics endpoint.

use ntex::web::HttpResponse;

use super::State;
use crate::metric;

/// Answers the health check; it succeeds while the process runs.
pub async fn alive() -> HttpResponse {
    HttpResponse::Ok().content_type("text/plain").body("ok\n")
}

/// Answers the readiness check: whether the balancer may send requests.
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

/// Returns the metrics in the Prometheus text format.
pub async fn metrics(state: State) -> HttpResponse {
    metric::set_gauges(&state.shared);
    mustard_net::metric::scrape_response(&state.shared.metrics)
}
