//! Drafting requests: `POST /v1/completions`.

use std::rc::Rc;
use std::time::Duration;

use ntex::web::types::Payload;
use ntex::web::{HttpRequest, HttpResponse};
use slog::{info, warn};
use tokio::sync::oneshot;
use tokio::time::Instant;

use mustard_core::catalogue::{Class, Entry, Target};
use mustard_core::event::EventKind;
use mustard_core::fingerprint::Fingerprint;
use mustard_core::outcome::Outcome;
use mustard_core::tokens;
use mustard_net::shutdown::Pass;

use super::draft::{DraftBody, Shape, Usage, deadline_ms};
use super::errors::{ApiError, Result};
use super::problem::{Answer, Problem, REQUEST_ID};
use super::stream::{Events, channel};
use super::{State, auth, body};
use crate::app::Worker;
use crate::drive::{Deliver, Driver, Job, StepLimits};
use crate::ports::NetPorts;

/// Handles a drafting request.
pub async fn handle(request: HttpRequest, mut payload: Payload, state: State) -> HttpResponse {
    let answer = Answer::new();
    let worker = Rc::clone(&state);
    match accept(&worker, answer, &request, &mut payload).await {
        Ok(draft) if draft.stream => stream(worker, draft).await,
        Ok(draft) => whole(&worker, draft).await,
        Err(error) => {
            note_end(&worker, answer, Err(&error));
            answer.refuse(&error)
        }
    }
}

/// An admitted drafting request.
struct Draft {
    answer: Answer,
    shape: Shape,
    job: Job,
    stream: bool,
    pass: Pass,
}

async fn accept(
    worker: &Worker,
    answer: Answer,
    request: &HttpRequest,
    payload: &mut Payload,
) -> Result<Draft> {
    let arrived = Instant::now();
    let shared = &worker.shared;
    let limits = &shared.settings.limits;
    let pass = shared.gate.enter().ok_or(ApiError::Draining)?;
    let key = auth::key_of(request);
    let time = Duration::from_millis(limits.body_ms);
    let bytes = body::read(payload, limits.body_bytes, time).await?;
    let key = key?;
    let catalogue = shared.catalogue.current();
    if !catalogue.knows(&key) {
        return Err(ApiError::NoKey);
    }
    let draft = DraftBody::parse(&bytes)?;
    let entry = auth::open(&catalogue, &key, &draft.model)?;
    let job = job_of(answer, &draft, &entry, limits, arrived)?;
    shared.process.emit(
        Some(answer.request()),
        EventKind::Admitted {
            entry: entry.name.clone(),
        },
    );
    info!(shared.log, "api: Draft admitted.";
        "request" => %answer.request(), "entry" => &entry.name);
    let shape = Shape {
        request: answer.request(),
        model: draft.model.clone(),
        created: shared.process.wall_ms() / 1_000,
    };
    Ok(Draft {
        answer,
        shape,
        job,
        stream: draft.stream,
        pass,
    })
}

fn job_of(
    answer: Answer,
    draft: &DraftBody,
    entry: &Entry,
    limits: &crate::settings::Limits,
    arrived: Instant,
) -> Result<Job> {
    let Target::Model { model, layers } = &entry.target else {
        return Err(ApiError::malformed(format!(
            "{:?} is a service, not a model",
            entry.name
        )));
    };
    let prompt = draft.token_ids(limits.prompt_tokens)?;
    let wanted = draft.wanted(&entry.limits)?;
    let time = deadline_ms(draft.deadline_ms, limits.deadline_ms, &entry.limits)?;
    let content: Vec<u8> = prompt.iter().flat_map(|id| id.to_le_bytes()).collect();
    Ok(Job {
        request: answer.request(),
        fingerprint: Fingerprint::of(&[model.as_bytes(), &content]),
        model: model.clone(),
        layers: *layers,
        prompt,
        wanted,
        priority: priority_of(entry.class),
        deadline: arrived + Duration::from_millis(time),
    })
}

fn priority_of(class: Class) -> u8 {
    match class {
        Class::Interactive => 2,
        Class::Deadline => 1,
        Class::Batch => 0,
    }
}

fn driver<'a>(worker: &'a Worker, ports: &'a NetPorts, job: Job) -> Driver<'a, NetPorts> {
    let drive = &worker.shared.settings.drive;
    let limits = StepLimits {
        step: Duration::from_millis(drive.step_ms),
        prefill: Duration::from_millis(drive.prefill_ms),
        factor: drive.slow_factor,
        usual: Duration::ZERO,
        per_position: Duration::ZERO,
    };
    Driver::new(ports, &worker.shared.process, limits, drive.attempts, job)
}

#[derive(Default)]
struct Text {
    text: String,
    count: u32,
}

impl Deliver for Text {
    fn deliver(&mut self, token: u32) {
        self.text.push_str(&tokens::decode(token));
        self.count += 1;
    }
}

/// Answers with one JSON document. The server drops this future when the caller goes away,
/// which cancels the running attempt.
async fn whole(worker: &Rc<Worker>, draft: Draft) -> HttpResponse {
    let prompt = draft.job.prompt.len() as u32;
    let ports = NetPorts::new(Rc::clone(worker));
    let mut text = Text::default();
    let result = driver(worker, &ports, draft.job)
        .run(&mut text)
        .await
        .map_err(ApiError::from);
    note_end(worker, draft.answer, result.as_ref().copied());
    let usage = Usage::new(prompt, text.count);
    match result {
        Ok(()) => draft.answer.json(&draft.shape.whole(&text.text, usage)),
        Err(error) => draft.answer.refuse(&error),
    }
}

struct Chunks {
    events: Events,
    shape: Shape,
    first: Option<oneshot::Sender<()>>,
    count: u32,
}

impl Deliver for Chunks {
    fn deliver(&mut self, token: u32) {
        if let Some(first) = self.first.take() {
            let _ = first.send(());
        }
        self.events.send(&self.shape.chunk(&tokens::decode(token)));
        self.count += 1;
    }
}

/// Answers with server-sent events; the status waits for the first token, so that a refusal
/// before it has a status of its own.
async fn stream(worker: Rc<Worker>, draft: Draft) -> HttpResponse {
    let (events, body) = channel(worker.shared.gate.enter_always());
    let (first, started) = oneshot::channel();
    let (failed, failure) = oneshot::channel();
    let answer = draft.answer;
    ntex::rt::spawn(async move {
        let mut chunks = Chunks {
            events,
            shape: draft.shape.clone(),
            first: Some(first),
            count: 0,
        };
        let result = run_stream(&worker, draft, &mut chunks).await;
        if let Err(error) = result {
            let _ = failed.send(error);
        }
    });
    if started.await.is_ok() {
        return HttpResponse::Ok()
            .header(REQUEST_ID, answer.request().to_string())
            .header("cache-control", "no-store")
            .content_type("text/event-stream")
            .streaming(body);
    }
    match failure.await {
        Ok(error) => answer.refuse(&error),
        Err(_) => answer.refuse(&ApiError::Unknown {
            detail: "the request ended without a result".to_owned(),
        }),
    }
}

async fn run_stream(worker: &Rc<Worker>, draft: Draft, chunks: &mut Chunks) -> Result<()> {
    let answer = draft.answer;
    let prompt = draft.job.prompt.len() as u32;
    let ports = NetPorts::new(Rc::clone(worker));
    let events = chunks.events.clone();
    let result = tokio::select! {
        result = driver(worker, &ports, draft.job).run(chunks) => result.map_err(ApiError::from),
        () = events.gone() => Err(ApiError::Unknown {
            detail: "the caller went away".to_owned(),
        }),
    };
    note_end(worker, answer, result.as_ref().copied());
    match &result {
        Ok(()) => {
            let usage = Usage::new(prompt, chunks.count);
            events.send(&chunks.shape.whole("", usage));
            events.done();
        }
        Err(error) if chunks.count > 0 => {
            let problem = Problem::of(error, answer.request());
            events.send(&serde_json::json!({ "error": problem }));
        }
        Err(_) => chunks.first = None,
    }
    drop(draft.pass);
    result
}

fn note_end(worker: &Worker, answer: Answer, result: std::result::Result<(), &ApiError>) {
    let shared = &worker.shared;
    let (outcome, reason) = match result {
        Ok(()) => (Outcome::Done, "done"),
        Err(error) => (error.face().outcome, error.face().kind),
    };
    match result {
        Ok(()) => info!(shared.log, "api: Draft done."; "request" => %answer.request()),
        Err(e) => warn!(shared.log, "api: Draft refused or broken off.";
            "request" => %answer.request(), "outcome" => outcome.name(), "cause" => %e),
    }
    shared.process.emit(
        Some(answer.request()),
        EventKind::Answered {
            outcome,
            reason: reason.to_owned(),
        },
    );
}
