//! Drafting requests: `POST /v1/completions`.

use std::rc::Rc;
use std::time::Duration;

use ntex::web::types::Payload;
use ntex::web::{HttpRequest, HttpResponse};
use tokio::sync::oneshot;
use tokio::time::{Instant, timeout_at};

use mustard_core::catalogue::{Class, Entry, Target};
use mustard_core::fingerprint::Fingerprint;
use mustard_core::tokens;
use mustard_net::problem::REQUEST_ID;
use mustard_net::shutdown::Pass;
use mustard_policy::admission::Ask;
use mustard_policy::limits::Permit;
use mustard_policy::quarantine::Standing;

use super::access::{self, Arrival, note_end, note_start};
use super::draft::{DraftBody, Shape, Usage, deadline_ms};
use super::errors::{ApiError, Result};
use super::problem::{Answer, problem_of};
use super::stream::{Events, channel};
use super::{State, auth};
use crate::admit::Wish;
use crate::app::Worker;
use crate::drive::{Deliver, Driver, Job, StepLimits};
use crate::metric;
use crate::ports::{NetPorts, Rights};
use crate::quotas;

const KIND: &str = "draft";

/// Handles a drafting request.
pub async fn handle(request: HttpRequest, mut payload: Payload, state: State) -> HttpResponse {
    let answer = Answer::new();
    let worker = Rc::clone(&state);
    match accept(&worker, answer, &request, &mut payload).await {
        Ok(draft) if draft.stream => stream(worker, draft).await,
        Ok(draft) => whole(&worker, draft).await,
        Err(error) => {
            let refusal = answer.refuse(&error);
            note_end(&worker, answer, KIND, &Err(error));
            refusal
        }
    }
}

/// A drafting request that may run.
struct Draft {
    answer: Answer,
    arrived: Instant,
    shape: Shape,
    job: Job,
    wish: Wish,
    rights: Rights,
    stream: bool,
    _pass: Pass,
    _permit: Permit,
}

async fn accept(
    worker: &Rc<Worker>,
    answer: Answer,
    request: &HttpRequest,
    payload: &mut Payload,
) -> Result<Draft> {
    let shared = &worker.shared;
    let arrival = access::receive(worker, request, payload).await?;
    access::current(worker).await?;
    let catalogue = shared.catalogue.current();
    if !catalogue.accepts_key(&arrival.key) {
        return Err(ApiError::NoKey);
    }
    let body = DraftBody::parse(&arrival.body)?;
    let entry = auth::open(&catalogue, &arrival.key, &body.model)?;
    let limits = &shared.settings.limits;
    let job = job_of(answer, &body, &entry, limits, arrival.at)?;
    check_standing(worker, job.fingerprint)?;
    let permit = quotas::permit(worker, &entry).await?;
    note_start(worker, answer, &entry);
    Ok(draft_of(worker, answer, body, &entry, job, arrival, permit))
}

fn check_standing(worker: &Worker, fingerprint: Fingerprint) -> Result<()> {
    let now = worker.shared.process.now();
    match worker.shared.suspects.standing(now, fingerprint) {
        Standing::Quarantined(_) => Err(ApiError::Quarantined),
        _ => Ok(()),
    }
}

fn draft_of(
    worker: &Worker,
    answer: Answer,
    body: DraftBody,
    entry: &Entry,
    job: Job,
    arrival: Arrival,
    permit: Permit,
) -> Draft {
    let process = &worker.shared.process;
    let left = job.deadline.saturating_duration_since(Instant::now());
    let ask = Ask::new(
        &entry.owner,
        entry.limits.share,
        entry.class,
        job.wanted,
        process.now() + left,
    );
    Draft {
        answer,
        arrived: arrival.at,
        shape: Shape {
            request: answer.request(),
            model: body.model,
            created: process.wall_ms() / 1_000,
        },
        wish: Wish {
            model: job.model.clone(),
            layers: job.layers,
            prompt: job.prompt.clone(),
            ask,
        },
        rights: Rights {
            entry: entry.name.clone(),
            key: arrival.key,
            fingerprint: job.fingerprint,
            deadline: job.deadline,
        },
        job,
        stream: body.stream,
        _pass: arrival.pass,
        _permit: permit,
    }
}

fn job_of(
    answer: Answer,
    body: &DraftBody,
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
    let prompt = body.token_ids(limits.prompt_tokens)?;
    let wanted = body.wanted(&entry.limits)?;
    let time = deadline_ms(body.deadline_ms, limits.deadline_ms, &entry.limits)?;
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

/// Waits for admission and drives a draft to its end.
async fn run(
    worker: &Rc<Worker>,
    wish: Wish,
    rights: Rights,
    job: Job,
    out: &mut impl Deliver,
) -> Result<()> {
    let shared = &worker.shared;
    let now = shared.process.now();
    let suspect = shared.suspects.standing(now, rights.fingerprint) == Standing::Suspect;
    let apart = match suspect {
        true => timeout_at(job.deadline, shared.suspects.apart())
            .await
            .map_err(|_| ApiError::DeadlinePassed)?,
        false => None,
    };
    let admitted = shared.admissions.admit(wish).await?;
    let wanted = job.wanted;
    let ports = NetPorts::new(Rc::clone(worker), rights, admitted, apart, wanted);
    let drive = &shared.settings.drive;
    let limits = StepLimits {
        step: Duration::from_millis(drive.step_ms),
        prefill: Duration::from_millis(drive.prefill_ms),
        factor: drive.slow_factor,
        usual: Duration::ZERO,
        per_position: Duration::ZERO,
    };
    Driver::new(&ports, &shared.process, limits, drive.attempts, job)
        .run(out)
        .await?;
    ports.finish();
    Ok(())
}

struct Text {
    text: String,
    count: u32,
    pace: metric::Pace,
}

impl Deliver for Text {
    fn deliver(&mut self, token: u32) {
        self.text.push_str(&tokens::decode(token));
        self.count += 1;
        self.pace.token();
    }
}

/// Answers with one JSON document. The server drops this future when the caller goes away,
/// which cancels the running attempt.
async fn whole(worker: &Rc<Worker>, draft: Draft) -> HttpResponse {
    let prompt = draft.job.prompt.len() as u32;
    let mut text = Text {
        text: String::new(),
        count: 0,
        pace: metric::Pace::new(draft.arrived),
    };
    let result = run(worker, draft.wish, draft.rights, draft.job, &mut text).await;
    let response = match &result {
        Ok(()) => {
            let usage = Usage::new(prompt, text.count);
            draft.answer.json(&draft.shape.whole(&text.text, usage))
        }
        Err(error) => draft.answer.refuse(error),
    };
    note_end(worker, draft.answer, KIND, &result);
    response
}

struct Chunks {
    events: Events,
    shape: Shape,
    first: Option<oneshot::Sender<()>>,
    count: u32,
    pace: metric::Pace,
}

impl Deliver for Chunks {
    fn deliver(&mut self, token: u32) {
        self.events.send(&self.shape.chunk(&tokens::decode(token)));
        self.count += 1;
        self.pace.token();
        if let Some(first) = self.first.take() {
            let _ = first.send(());
        }
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
            pace: metric::Pace::new(draft.arrived),
        };
        if let Err(error) = run_stream(&worker, draft, &mut chunks).await {
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
    let events = chunks.events.clone();
    let result = tokio::select! {
        result = run(worker, draft.wish, draft.rights, draft.job, chunks) => result,
        () = events.gone() => Err(ApiError::Gone),
    };
    note_end(worker, answer, KIND, &result);
    match &result {
        Ok(()) => {
            let usage = Usage::new(prompt, chunks.count);
            events.send(&chunks.shape.whole("", usage));
            events.done();
        }
        Err(error) if chunks.count > 0 => {
            let problem = problem_of(error).body(answer.request());
            events.send(&serde_json::json!({ "error": problem }));
        }
        Err(_) => chunks.first = None,
    }
    result
}
