//! Completion requests: `POST /v1/completions`. A draft is the text that one of them generates.

use std::rc::Rc;
use std::time::Duration;

use ntex::web::types::Payload;
use ntex::web::{HttpRequest, HttpResponse};
use tokio::sync::oneshot;
use tokio::time::{Instant, timeout_at};

use mustard_core::catalogue::{Class, Entry, Target};
use mustard_core::fingerprint::Fingerprint;
use mustard_core::tokens;
use mustard_net::client_budget::BodyGuard;
use mustard_net::problem::REQUEST_ID;
use mustard_net::shutdown::RequestGuard;
use mustard_policy::admission::Offer;
use mustard_policy::limits::Permit;
use mustard_policy::quarantine::Standing;

use super::access::{self, ReceivedRequest, record_accepted, record_end};
use super::draft::{CompletionFormat, DraftBody, Usage, deadline_ms};
use super::errors::{ApiError, Result};
use super::problem::{RequestContext, to_problem};
use super::stream::{EventSender, event_stream};
use super::{State, auth};
use crate::admission::AdmissionRequest;
use crate::app::Worker;
use crate::driver::{CompletionJob, Driver, StepLimits, TokenSink};
use crate::metric;
use crate::ports::{NetPorts, RequestScope};
use crate::quotas;

const REQUEST_KIND: &str = "draft";

/// Handles a completion request.
pub async fn handle(request: HttpRequest, mut payload: Payload, state: State) -> HttpResponse {
    let context = RequestContext::new();
    let worker = Rc::clone(&state);
    match accept_request(&worker, context, &request, &mut payload).await {
        Ok(draft) if draft.stream => answer_stream(worker, draft).await,
        Ok(draft) => answer_whole(&worker, draft).await,
        Err(error) => {
            let refusal = context.refuse(&error);
            record_end(&worker, context, REQUEST_KIND, &Err(error));
            refusal
        }
    }
}

/// A completion request that passed all checks before admission.
struct AcceptedDraft {
    context: RequestContext,
    arrived: Instant,
    format: CompletionFormat,
    job: CompletionJob,
    admission_request: AdmissionRequest,
    scope: RequestScope,
    stream: bool,
    _guard: RequestGuard,
    _body_guard: BodyGuard,
    _permit: Permit,
}

/// Reads a completion request and makes all checks that come before admission.
async fn accept_request(
    worker: &Rc<Worker>,
    context: RequestContext,
    request: &HttpRequest,
    payload: &mut Payload,
) -> Result<AcceptedDraft> {
    let shared = &worker.shared;
    let received = access::receive_request(worker, request, payload).await?;
    access::check_catalogue(worker).await?;
    let catalogue = shared.catalogue.current();
    if !catalogue.accepts_key(&received.bearer_key) {
        return Err(ApiError::NoKey);
    }
    let body = DraftBody::parse(&received.body.bytes)?;
    let entry = auth::authorize(&catalogue, &received.bearer_key, &body.model)?;
    let limits = &shared.settings.limits;
    let job = build_job(context, &body, &entry, limits, received.arrived)?;
    check_quarantine(worker, job.fingerprint)?;
    let permit = quotas::acquire_permit(worker, &entry).await?;
    record_accepted(worker, context, &entry);
    Ok(build_draft(
        worker, context, body, &entry, job, received, permit,
    ))
}

fn check_quarantine(worker: &Worker, fingerprint: Fingerprint) -> Result<()> {
    let now = worker.shared.process.now();
    match worker.shared.suspects.standing(now, fingerprint) {
        Standing::Quarantined(_) => Err(ApiError::Quarantined),
        _ => Ok(()),
    }
}

fn build_draft(
    worker: &Worker,
    context: RequestContext,
    body: DraftBody,
    entry: &Entry,
    job: CompletionJob,
    received: ReceivedRequest,
    permit: Permit,
) -> AcceptedDraft {
    let process = &worker.shared.process;
    let left = job.deadline.saturating_duration_since(Instant::now());
    let offer = Offer::new(
        &entry.owner,
        entry.limits.share,
        entry.class,
        job.wanted,
        process.now() + left,
    );
    AcceptedDraft {
        context,
        arrived: received.arrived,
        format: CompletionFormat {
            request: context.request_id(),
            model: body.model,
            created: process.wall_ms() / 1_000,
        },
        admission_request: AdmissionRequest {
            model: job.model.clone(),
            layers: job.layers,
            prompt: job.prompt.clone(),
            offer,
        },
        scope: RequestScope {
            entry: entry.name.clone(),
            bearer_key: received.bearer_key,
            fingerprint: job.fingerprint,
            deadline: job.deadline,
        },
        job,
        stream: body.stream,
        _guard: received.guard,
        _body_guard: received.body.guard,
        _permit: permit,
    }
}

fn build_job(
    context: RequestContext,
    body: &DraftBody,
    entry: &Entry,
    limits: &crate::settings::Limits,
    arrived: Instant,
) -> Result<CompletionJob> {
    let Target::Model { model, layers } = &entry.target else {
        return Err(ApiError::malformed(format!(
            "{:?} is a service, not a model",
            entry.name
        )));
    };
    let prompt = body.token_ids(limits.prompt_tokens)?;
    let wanted = body.tokens_to_generate(&entry.limits)?;
    let time_ms = deadline_ms(body.deadline_ms, limits.deadline_ms, &entry.limits)?;
    let content: Vec<u8> = prompt.iter().flat_map(|id| id.to_le_bytes()).collect();
    Ok(CompletionJob {
        request: context.request_id(),
        fingerprint: Fingerprint::of(&[model.as_bytes(), &content]),
        model: model.clone(),
        layers: *layers,
        prompt,
        wanted,
        priority: priority_of(entry.class),
        deadline: arrived + Duration::from_millis(time_ms),
    })
}

/// Returns the priority of a class at the engines; higher goes first.
fn priority_of(class: Class) -> u8 {
    match class {
        Class::Interactive => 2,
        Class::Deadline => 1,
        Class::Batch => 0,
    }
}

/// Waits for admission and generates the draft.
async fn run_draft(
    worker: &Rc<Worker>,
    admission_request: AdmissionRequest,
    scope: RequestScope,
    job: CompletionJob,
    out: &mut impl TokenSink,
) -> Result<()> {
    let shared = &worker.shared;
    let now = shared.process.now();
    // A suspect content runs alone, so that a further death shows whether this content causes it.
    let is_suspect = shared.suspects.standing(now, scope.fingerprint) == Standing::Suspect;
    let isolation = match is_suspect {
        true => timeout_at(job.deadline, shared.suspects.acquire_isolation())
            .await
            .map_err(|_| ApiError::DeadlinePassed)?,
        false => None,
    };
    let admitted = shared.admissions.admit(admission_request).await?;
    let wanted = job.wanted;
    let ports = NetPorts::new(Rc::clone(worker), scope, admitted, isolation, wanted);
    let drive = &shared.settings.drive;
    let limits = StepLimits {
        min_decode: Duration::from_millis(drive.step_ms),
        min_prefill: Duration::from_millis(drive.prefill_ms),
        factor: drive.slow_factor,
        decode_time: Duration::ZERO,
        position_time: Duration::ZERO,
    };
    Driver::new(&ports, &shared.process, limits, drive.attempts, job)
        .run(out)
        .await?;
    ports.finish();
    Ok(())
}

/// Collects the tokens of a draft as text.
struct TextCollector {
    text: String,
    count: u32,
    timer: metric::TokenTimer,
}

impl TokenSink for TextCollector {
    fn push_token(&mut self, token: u32) {
        self.text.push_str(&tokens::decode(token));
        self.count += 1;
        self.timer.record_token();
    }
}

/// Answers with one JSON document.
///
/// If the caller disconnects, the server drops this future, which cancels the running attempt.
async fn answer_whole(worker: &Rc<Worker>, draft: AcceptedDraft) -> HttpResponse {
    let prompt_tokens = draft.job.prompt.len() as u32;
    let mut text = TextCollector {
        text: String::new(),
        count: 0,
        timer: metric::TokenTimer::new(draft.arrived),
    };
    let result = run_draft(
        worker,
        draft.admission_request,
        draft.scope,
        draft.job,
        &mut text,
    )
    .await;
    let response = match &result {
        Ok(()) => {
            let usage = Usage::new(prompt_tokens, text.count);
            draft
                .context
                .json(&draft.format.full_answer(&text.text, usage))
        }
        Err(error) => draft.context.refuse(error),
    };
    record_end(worker, draft.context, REQUEST_KIND, &result);
    response
}

/// Sends each token of a draft as a server-sent event.
struct ChunkSender {
    events: EventSender,
    format: CompletionFormat,
    first_token: Option<oneshot::Sender<()>>,
    count: u32,
    timer: metric::TokenTimer,
}

impl TokenSink for ChunkSender {
    fn push_token(&mut self, token: u32) {
        self.events.send(&self.format.chunk(&tokens::decode(token)));
        self.count += 1;
        self.timer.record_token();
        if let Some(first_token) = self.first_token.take() {
            let _ = first_token.send(());
        }
    }
}

/// Answers with server-sent events.
///
/// The response starts with the first token, so that an error before it is sent with its own HTTP
/// status.
async fn answer_stream(worker: Rc<Worker>, draft: AcceptedDraft) -> HttpResponse {
    let (events, body) = event_stream(worker.shared.gate.admit_always());
    let (first_token, started) = oneshot::channel();
    let (error_sender, stream_error) = oneshot::channel();
    let context = draft.context;
    ntex::rt::spawn(async move {
        let mut chunks = ChunkSender {
            events,
            format: draft.format.clone(),
            first_token: Some(first_token),
            count: 0,
            timer: metric::TokenTimer::new(draft.arrived),
        };
        if let Err(error) = run_stream(&worker, draft, &mut chunks).await {
            let _ = error_sender.send(error);
        }
    });
    if started.await.is_ok() {
        return HttpResponse::Ok()
            .header(REQUEST_ID, context.request_id().to_string())
            .header("cache-control", "no-store")
            .content_type("text/event-stream")
            .streaming(body);
    }
    match stream_error.await {
        Ok(error) => context.refuse(&error),
        Err(_) => context.refuse(&ApiError::Unknown {
            detail: "the request ended without a result".to_owned(),
        }),
    }
}

async fn run_stream(
    worker: &Rc<Worker>,
    draft: AcceptedDraft,
    chunks: &mut ChunkSender,
) -> Result<()> {
    let context = draft.context;
    let prompt_tokens = draft.job.prompt.len() as u32;
    let events = chunks.events.clone();
    let result = tokio::select! {
        result = run_draft(
            worker,
            draft.admission_request,
            draft.scope,
            draft.job,
            chunks,
        ) => result,
        () = events.wait_closed() => Err(ApiError::CallerGone),
    };
    record_end(worker, context, REQUEST_KIND, &result);
    match &result {
        Ok(()) => {
            let usage = Usage::new(prompt_tokens, chunks.count);
            events.send(&chunks.format.full_answer("", usage));
            events.send_done();
        }
        Err(error) if chunks.count > 0 => {
            let problem = to_problem(error).body(context.request_id());
            events.send(&serde_json::json!({ "error": problem }));
        }
        Err(_) => chunks.first_token = None,
    }
    result
}
