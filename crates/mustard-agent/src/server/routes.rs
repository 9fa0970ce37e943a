//! Routes of the agent and the handler of each message.

use metrics::counter;
use metrics_exporter_prometheus::PrometheusHandle;
use ntex::web::types::{Payload, State};
use ntex::web::{self, HttpResponse, ServiceConfig};

use mustard_net::{metric, server};
use mustard_proto::agent::{Call, Drain, Heartbeat, Order, Settle, Void};
use mustard_proto::step::{Cancel, Step};
use mustard_proto::timeline::Timeline;
use mustard_proto::{Envelope, Message, Refusal};

use super::body;
use crate::calls;
use crate::names;
use crate::stage;
use crate::worker::Worker;

/// Adds every route of the agent.
pub fn configure(config: &mut ServiceConfig) {
    config
        .route(Step::PATH, web::post().to(step))
        .route(Cancel::PATH, web::post().to(cancel))
        .route(Heartbeat::PATH, web::post().to(heartbeat))
        .route(Call::PATH, web::post().to(call))
        .route(Void::PATH, web::post().to(void))
        .route(Settle::PATH, web::post().to(settle))
        .route(Order::PATH, web::post().to(order))
        .route(Drain::PATH, web::post().to(drain))
        .route(Timeline::PATH, web::post().to(timeline))
        .route("/metrics", web::get().to(scrape))
        .route("/healthz", web::get().to(health));
}

type Received<M> = Result<Envelope<M>, Refusal>;

async fn receive<M: Message>(worker: &Worker, payload: Payload) -> Received<M> {
    let body = body::read(payload).await?;
    server::receive::<M>(&worker.shared.process, &body)
}

fn reply<M: Message>(worker: &Worker, result: Result<M::Answer, Refusal>) -> HttpResponse {
    if let Err(r) = &result {
        counter!(names::REFUSALS, "path" => M::PATH, "reason" => r.name()).increment(1);
    }
    server::reply::<M>(&worker.shared.process, result)
}

async fn step(worker: State<Worker>, payload: Payload) -> HttpResponse {
    let result = match receive::<Step>(&worker, payload).await {
        Ok(e) => stage::step(&worker, e.head.seq, e.message).await,
        Err(r) => Err(r),
    };
    reply::<Step>(&worker, result)
}

async fn cancel(worker: State<Worker>, payload: Payload) -> HttpResponse {
    let result = receive::<Cancel>(&worker, payload).await;
    let result = result.map(|e| stage::cancel(&worker, &e.message));
    reply::<Cancel>(&worker, result)
}

async fn heartbeat(worker: State<Worker>, payload: Payload) -> HttpResponse {
    let result = receive::<Heartbeat>(&worker, payload).await;
    let result = result.map(|_| worker.shared.info());
    reply::<Heartbeat>(&worker, result)
}

async fn call(worker: State<Worker>, payload: Payload) -> HttpResponse {
    let result = match receive::<Call>(&worker, payload).await {
        Ok(e) => calls::call(&worker, e.head.seq, e.message).await,
        Err(r) => Err(r),
    };
    reply::<Call>(&worker, result)
}

async fn void(worker: State<Worker>, payload: Payload) -> HttpResponse {
    let result = match receive::<Void>(&worker, payload).await {
        Ok(e) => calls::void(&worker, &e.message).await,
        Err(r) => Err(r),
    };
    reply::<Void>(&worker, result)
}

async fn settle(worker: State<Worker>, payload: Payload) -> HttpResponse {
    let result = match receive::<Settle>(&worker, payload).await {
        Ok(e) => {
            worker
                .shared
                .claims
                .settle(&worker.server, &e.message)
                .await
        }
        Err(r) => Err(r),
    };
    reply::<Settle>(&worker, result)
}

async fn order(worker: State<Worker>, payload: Payload) -> HttpResponse {
    let result = match receive::<Order>(&worker, payload).await {
        Ok(e) => stage::order(&worker, e.message).await,
        Err(r) => Err(r),
    };
    reply::<Order>(&worker, result)
}

async fn drain(worker: State<Worker>, payload: Payload) -> HttpResponse {
    let result = receive::<Drain>(&worker, payload).await;
    let result = result.map(|e| {
        worker.shared.leave(e.message.leave);
        worker.shared.info()
    });
    reply::<Drain>(&worker, result)
}

async fn timeline(worker: State<Worker>, payload: Payload) -> HttpResponse {
    match body::read(payload).await {
        Ok(body) => server::timeline(&worker.shared.process, &body),
        Err(r) => reply::<Timeline>(&worker, Err(r)),
    }
}

async fn scrape(handle: State<PrometheusHandle>) -> HttpResponse {
    metric::scrape(&handle)
}

async fn health() -> HttpResponse {
    HttpResponse::Ok().content_type("text/plain").body("ok\n")
}
