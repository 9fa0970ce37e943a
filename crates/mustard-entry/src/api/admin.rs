//! The operators' interface to the catalogue.

use std::rc::Rc;

use ntex::web::types::Payload;
use ntex::web::{self, HttpRequest, HttpResponse, ServiceConfig};

use mustard_catalogue::admin;
use mustard_net::client_body::ClientBody;

use super::errors::{ApiError, Result};
use super::problem::RequestContext;
use super::{State, auth, body};
use crate::app::Worker;

/// Registers the paths of the catalogue.
pub fn routes(config: &mut ServiceConfig) {
    config
        .service(web::resource("/admin/catalogue").route(web::get().to(list)))
        .service(web::resource("/admin/catalogue/changes").route(web::post().to(change)))
        .service(web::resource("/admin/catalogue/{name}/history").route(web::get().to(history)));
}

/// Returns the operator whose key a request carries.
pub(super) fn authorize_operator<'a>(worker: &'a Worker, request: &HttpRequest) -> Result<&'a str> {
    let key = auth::bearer_key(request).map_err(|_| ApiError::NoOperatorKey)?;
    auth::find_operator(&worker.shared.operators, &key).ok_or(ApiError::NoOperatorKey)
}

async fn list(request: HttpRequest, state: State) -> HttpResponse {
    let context = RequestContext::new();
    match authorize_operator(&state, &request) {
        Ok(_) => admin::list(&state.shared.catalogue, context.request_id()),
        Err(e) => context.refuse(&e),
    }
}

async fn history(request: HttpRequest, state: State) -> HttpResponse {
    let context = RequestContext::new();
    let worker = Rc::clone(&state);
    if let Err(e) = authorize_operator(&worker, &request) {
        return context.refuse(&e);
    }
    let name = request.match_info().get("name").unwrap_or_default();
    admin::history(&worker.writer, name, context.request_id()).await
}

async fn change(request: HttpRequest, mut payload: Payload, state: State) -> HttpResponse {
    let context = RequestContext::new();
    let worker = Rc::clone(&state);
    let (author, body) = match receive_change(&worker, &request, &mut payload).await {
        Ok(received) => received,
        Err(e) => return context.refuse(&e),
    };
    let store = &worker.shared.catalogue;
    admin::change(
        &worker.writer,
        store,
        author,
        &body.bytes,
        context.request_id(),
    )
    .await
}

/// Returns the operator of a request and its body, read with the limits of callers' requests.
pub(super) async fn receive_change<'a>(
    worker: &'a Worker,
    request: &HttpRequest,
    payload: &mut Payload,
) -> Result<(&'a str, ClientBody)> {
    let limits = &worker.shared.settings.limits;
    let time_limit = std::time::Duration::from_millis(limits.body_ms);
    let author = authorize_operator(worker, request)?;
    body::check_announced(request, limits.body_bytes)?;
    let body = body::read(worker, payload, limits.body_bytes, time_limit).await?;
    Ok((author, body))
}
