//! The operators' interface.

use std::rc::Rc;

use ntex::web::types::Payload;
use ntex::web::{self, HttpRequest, HttpResponse, ServiceConfig};

use mustard_catalogue::admin;

use super::errors::{ApiError, Result};
use super::problem::Answer;
use super::{State, auth, body};
use crate::app::Worker;

/// Registers the operators' paths.
pub fn routes(config: &mut ServiceConfig) {
    config
        .service(web::resource("/admin/catalogue").route(web::get().to(list)))
        .service(web::resource("/admin/catalogue/changes").route(web::post().to(change)))
        .service(web::resource("/admin/catalogue/{name}/history").route(web::get().to(history)));
}

/// Returns the operator whose key a request carries.
pub(super) fn operator<'a>(worker: &'a Worker, request: &HttpRequest) -> Result<&'a str> {
    let key = auth::key_of(request).map_err(|_| ApiError::NoOperator)?;
    auth::operator(&worker.shared.operators, &key).ok_or(ApiError::NoOperator)
}

async fn list(request: HttpRequest, state: State) -> HttpResponse {
    let answer = Answer::new();
    match operator(&state, &request) {
        Ok(_) => admin::list(&state.shared.catalogue, answer.request()),
        Err(e) => answer.refuse(&e),
    }
}

async fn history(request: HttpRequest, state: State) -> HttpResponse {
    let answer = Answer::new();
    let worker = Rc::clone(&state);
    if let Err(e) = operator(&worker, &request) {
        return answer.refuse(&e);
    }
    let name = request.match_info().get("name").unwrap_or_default();
    admin::history(&worker.writer, name, answer.request()).await
}

async fn change(request: HttpRequest, mut payload: Payload, state: State) -> HttpResponse {
    let answer = Answer::new();
    let worker = Rc::clone(&state);
    let bytes = match read(&worker, &mut payload).await {
        Ok(bytes) => bytes,
        Err(e) => return answer.refuse(&e),
    };
    let author = match operator(&worker, &request) {
        Ok(author) => author,
        Err(e) => return answer.refuse(&e),
    };
    let store = &worker.shared.catalogue;
    admin::change(&worker.writer, store, author, &bytes, answer.request()).await
}

pub(super) async fn read(worker: &Worker, payload: &mut Payload) -> Result<Vec<u8>> {
    let limits = &worker.shared.settings.limits;
    let time = std::time::Duration::from_millis(limits.body_ms);
    body::read(payload, limits.body_bytes, time).await
}
