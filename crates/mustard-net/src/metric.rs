//! Metrics in the Prometheus text format.

use metrics_exporter_prometheus::{BuildError, PrometheusBuilder, PrometheusHandle};
use ntex::web::HttpResponse;

/// The result of setting up metrics.
pub type Result<T> = std::result::Result<T, BuildError>;

/// Installs the metrics recorder of this process and returns the handle that renders it.
///
/// # Errors
///
/// Returns an error if a recorder is installed already.
pub fn install() -> Result<PrometheusHandle> {
    PrometheusBuilder::new().install_recorder()
}

/// Returns the response to a Prometheus scrape.
pub fn scrape_response(handle: &PrometheusHandle) -> HttpResponse {
    HttpResponse::Ok()
        .content_type("text/plain; version=0.0.4")
        .body(handle.render())
}
