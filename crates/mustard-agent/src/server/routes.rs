//! The routes of the agent and the handler of each message.

use metrics::counter;
use metrics_exporter_prometheus::PrometheusHandle;
use ntex::web::types::{Payload, State};
use ntex::web::{self, HttpResponse, ServiceConfig};

use mustard_net::client_budget::BodyGuard;
use mustard_net::{metric, server};
use mustard_proto::agent::{Call, Heartbeat, LoadLayers, SetDraining, SettleKey, VoidKey};
use mustard_proto::step::{Cancel, Step};
use mustard_proto::timeline::TimelineRequest;
use mustard_proto::{Envelope, Message, Refusal};

use super::body;
use crate::calls;
use crate::metric_names;
use crate::stage;
use crate::worker::Worker;

/// Adds the routes of the agent to the configuration of its HTTP server.
pub fn configure(config: &mut ServiceConfig) {
    config
        .route(Step::PATH, web::post().to(handle_step))
        .route(Cancel::PATH, web::post().to(handle_cancel))
        .route(Heartbeat::PATH, web::post().to(handle_heartbeat))
        .route(Call::PATH, web::post().to(handle_call))
        .route(VoidKey::PATH, web::post().to(handle_void))
        .route(SettleKey::PATH, web::post().to(handle_settle))
        .route(LoadLayers::PATH, web::post().to(handle_order))
        .route(SetDraining::PATH, web::post().to(handle_drain))
        .route(TimelineRequest::PATH, web::post().to(handle_timeline))
        .route("/metrics", web::get().to(handle_metrics))
        .route("/healthz", web::get().to(handle_health));
}

/// A message, counted as held for its sender until it is dropped.
struct Received<M> {
    envelope: Envelope<M>,
    _guard: BodyGuard,
}

type ReceivedResult<M> = Result<Received<M>, Refusal>;

async fn receive_message<M: Message>(worker: &Worker, payload: Payload) -> ReceivedResult<M> {
    let body = body::read_body(worker, payload).await?;
    let envelope = server::receive::<M>(&worker.shared.process, &body.bytes)?;
    Ok(Received {
        envelope,
        _guard: body.guard,
    })
}

fn reply<M: Message>(worker: &Worker, result: Result<M::Answer, Refusal>) -> HttpResponse {
    if let Err(r) = &result {
        counter!(metric_names::REFUSALS, "path" => M::PATH, "reason" => r.name()).increment(1);
    }
    server::reply::<M>(&worker.shared.process, result)
}

async fn handle_step(worker: State<Worker>, payload: Payload) -> HttpResponse {
    let result = match receive_message::<Step>(&worker, payload).await {
        Ok(r) => stage::run_step(&worker, r.envelope.head.seq, r.envelope.message).await,
        Err(r) => Err(r),
    };
    reply::<Step>(&worker, result)
}

async fn handle_cancel(worker: State<Worker>, payload: Payload) -> HttpResponse {
    let result = receive_message::<Cancel>(&worker, payload).await;
    let result = result.map(|r| stage::cancel_attempts(&worker, &r.envelope.message));
    reply::<Cancel>(&worker, result)
}

async fn handle_heartbeat(worker: State<Worker>, payload: Payload) -> HttpResponse {
    let result = receive_message::<Heartbeat>(&worker, payload).await;
    let result = result.map(|_| worker.shared.info());
    reply::<Heartbeat>(&worker, result)
}

async fn handle_call(worker: State<Worker>, payload: Payload) -> HttpResponse {
    let result = match receive_message::<Call>(&worker, payload).await {
        Ok(r) => calls::call(&worker, r.envelope.head.seq, r.envelope.message).await,
        Err(r) => Err(r),
    };
    reply::<Call>(&worker, result)
}

async fn handle_void(worker: State<Worker>, payload: Payload) -> HttpResponse {
    let result = match receive_message::<VoidKey>(&worker, payload).await {
        Ok(r) => calls::void(&worker, &r.envelope.message).await,
        Err(r) => Err(r),
    };
    reply::<VoidKey>(&worker, result)
}

async fn handle_settle(worker: State<Worker>, payload: Payload) -> HttpResponse {
    let result = match receive_message::<SettleKey>(&worker, payload).await {
        Ok(r) => {
            worker
                .shared
                .claims
                .settle(&worker.server, &r.envelope.message)
                .await
        }
        Err(r) => Err(r),
    };
    reply::<SettleKey>(&worker, result)
}

async fn handle_order(worker: State<Worker>, payload: Payload) -> HttpResponse {
    let result = match receive_message::<LoadLayers>(&worker, payload).await {
        Ok(r) => stage::execute_order(&worker, r.envelope.message).await,
        Err(r) => Err(r),
    };
    reply::<LoadLayers>(&worker, result)
}

async fn handle_drain(worker: State<Worker>, payload: Payload) -> HttpResponse {
    let result = receive_message::<SetDraining>(&worker, payload).await;
    let result = result.map(|r| {
        worker.shared.set_draining(r.envelope.message.leave);
        worker.shared.info()
    });
    reply::<SetDraining>(&worker, result)
}

async fn handle_timeline(worker: State<Worker>, payload: Payload) -> HttpResponse {
    match body::read_body(&worker, payload).await {
        Ok(body) => server::timeline(&worker.shared.process, &body.bytes),
        Err(r) => reply::<TimelineRequest>(&worker, Err(r)),
    }
}

async fn handle_metrics(handle: State<PrometheusHandle>) -> HttpResponse {
    metric::scrape_response(&handle)
}

async fn handle_health() -> HttpResponse {
    HttpResponse::Ok().content_type("text/plain").body("ok\n")
}
