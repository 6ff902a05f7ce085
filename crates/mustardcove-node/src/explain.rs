//! The administration route that explains a submission: where it would go now
//! and why, or where its tasks are.
//!
//! `POST /explain?host=HOST&path=PATH` with a caller's body explains a
//! submission that is not made; `GET /explain?id=ID` one that was accepted. The
//! leader answers from its plan, which another process asks by a message. A
//! process that gets no answer in time answers from what it knows itself.
//! Nothing is read from the store or written to it. See
//! `docs/design/explain.md`.

use std::{sync::Arc, time::Duration};

use axum::{
    Router,
    body::to_bytes,
    extract::{Query, Request, State, rejection::QueryRejection},
    response::{IntoResponse as _, Response},
    routing::get,
};
use http::{HeaderValue, StatusCode, header::RETRY_AFTER};
use mustardcove_adapter::callers::decode_submission;
use mustardcove_core::{
    fleet::{
        explanation::{
            AdmissionOutlook, Answer, Basis, Explanation, Question, QueueSummary, Reply,
        },
        id::SubmissionId,
        manifest::{Manifest, Queue},
        message::FleetMessage,
        overload::Admission,
        submission::Submission,
    },
    id::ProcessId,
    verdict::Verdict,
};
use serde::{Deserialize, Serialize};
use slog::info;
use tokio::time::{Instant, timeout};

use crate::{
    callers,
    shared::{Shared, boot_now},
};

/// Longest wait for the leader's answer: several of its plans, and less than an
/// operator waits for a command.
const LEADER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Longest time for the body of a request to arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);
/// Most questions of one process that wait for the leader.
const MAX_OPEN: usize = 8;
/// Value of the Retry-After header of an answer 503, in seconds.
const RETRY_AFTER_SECONDS: u16 = 1;
/// Id of a submission that has none yet: the last in the order of ids, which
/// decides between equal ranks.
const NO_ID: SubmissionId = SubmissionId(u64::MAX);
/// Most queues that an error names.
const MAX_NAMED_QUEUES: usize = 10;

/// Returns the route.
pub fn router(shared: Arc<Shared>) -> Router {
    Router::new().route("/explain", get(explain_known).post(explain_new)).with_state(shared)
}

/// The parameters of a question.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct Params {
    host: Option<String>,
    path: Option<String>,
    id: Option<String>,
}

/// Why a question has no explanation as its answer.
#[derive(Debug)]
struct Refusal {
    status: StatusCode,
    detail: String,
}

/// An error answer, in the form that `mustardcovectl` reads.
#[derive(Serialize)]
struct RefusalBody<'a> {
    detail: &'a str,
    verdict: Verdict,
}

impl Refusal {
    fn new(status: StatusCode, detail: impl Into<String>) -> Refusal {
        Refusal { status, detail: detail.into() }
    }

    fn into_response(self) -> Response {
        let body = RefusalBody { detail: &self.detail, verdict: Verdict::NotRun };
        let mut resp = (self.status, axum::Json(body)).into_response();
        if self.status == StatusCode::SERVICE_UNAVAILABLE {
            resp.headers_mut().insert(RETRY_AFTER, HeaderValue::from(RETRY_AFTER_SECONDS));
        }
        resp
    }
}

type ParsedQuery = Result<Query<Params>, QueryRejection>;

async fn explain_known(State(shared): State<Arc<Shared>>, query: ParsedQuery) -> Response {
    let question = parse(query).and_then(|params| match params.id {
        Some(id) => parse_id(&id).map(Question::Known),
        None => {
            Err(Refusal::new(StatusCode::BAD_REQUEST, "GET needs the parameter id=ID".to_owned()))
        }
    });
    respond(&shared, question).await
}

async fn explain_new(
    State(shared): State<Arc<Shared>>,
    query: ParsedQuery,
    req: Request,
) -> Response {
    let question = match parse(query) {
        Ok(params) => read_submission(&shared, params, req).await,
        Err(refusal) => Err(refusal),
    };
    respond(&shared, question.map(|it| Question::New(Arc::new(it)))).await
}

fn parse(query: ParsedQuery) -> Result<Params, Refusal> {
    let invalid = |error: QueryRejection| Refusal::new(StatusCode::BAD_REQUEST, error.body_text());
    query.map(|it| it.0).map_err(invalid)
}

fn parse_id(text: &str) -> Result<SubmissionId, Refusal> {
    let invalid = |_| {
        let detail = "a submission's id has 16 hexadecimal digits in lower case";
        Refusal::new(StatusCode::BAD_REQUEST, detail)
    };
    text.parse().map_err(invalid)
}

/// Decodes the submission as the callers' route does.
async fn read_submission(
    shared: &Shared,
    params: Params,
    req: Request,
) -> Result<Submission, Refusal> {
    let (Some(host), Some(path)) = (params.host, params.path) else {
        let detail = "POST needs the parameters host=HOST and path=PATH";
        return Err(Refusal::new(StatusCode::BAD_REQUEST, detail));
    };
    let Some(manifest) = shared.manifest() else {
        let detail = "this process has not read a manifest yet";
        return Err(Refusal::new(StatusCode::SERVICE_UNAVAILABLE, detail));
    };
    let Some(queue) = manifest.find_queue(callers::without_port(&host), &path) else {
        return Err(Refusal::new(StatusCode::NOT_FOUND, no_such_queue(&manifest)));
    };
    let id = match &path[queue.prefix.len()..] {
        "" => NO_ID,
        id => parse_id(id)?,
    };
    let limit = manifest.limits.max_body_bytes;
    let body = match timeout(BODY_TIMEOUT, to_bytes(req.into_body(), limit)).await {
        Ok(Ok(body)) => body,
        Ok(Err(error)) => {
            let status = callers::body_status(&error);
            let detail = match status {
                StatusCode::PAYLOAD_TOO_LARGE => format!("the body has more than {limit} bytes"),
                _ => format!("the body cannot be read: {error}"),
            };
            return Err(Refusal::new(status, detail));
        }
        Err(_) => {
            return Err(Refusal::new(StatusCode::REQUEST_TIMEOUT, "the body did not arrive"));
        }
    };
    decode_submission(id, queue, manifest.version, &body, shared.now()).map_err(|error| {
        let detail = format!("the body is no valid submission: {error}");
        Refusal::new(StatusCode::BAD_REQUEST, detail)
    })
}

fn no_such_queue(manifest: &Manifest) -> String {
    let name = |it: &Queue| format!("{}{}", it.host, it.prefix);
    let named: Vec<String> = manifest.queues.iter().take(MAX_NAMED_QUEUES).map(name).collect();
    let more = if named.len() < manifest.queues.len() { ", ..." } else { "" };
    format!(
        "manifest {} has no queue at this host and path; it has {}{more}",
        manifest.version,
        named.join(", ")
    )
}

async fn respond(shared: &Shared, question: Result<Question, Refusal>) -> Response {
    let began = Instant::now();
    let answer = match question {
        Ok(question) => answer(shared, question).await,
        Err(refusal) => Err(refusal),
    };
    let ms = began.elapsed().as_millis() as u64;
    match answer {
        Ok(answer) => {
            let submission = answer.explanation.submission;
            info!(shared.log, "submission explained"; "by" => %answer.answered_by,
                "submission" => submission.map_or("-".to_owned(), |it| it.to_string()),
                "age_ms" => answer.age_ms, "ms" => ms);
            shared.metrics.explained(true);
            axum::Json(answer).into_response()
        }
        Err(refusal) => {
            info!(shared.log, "submission not explained"; "status" => refusal.status.as_u16(),
                "why" => &refusal.detail, "ms" => ms);
            shared.metrics.explained(false);
            refusal.into_response()
        }
    }
}

async fn answer(shared: &Shared, question: Question) -> Result<Answer, Refusal> {
    let admission = match &question {
        Question::New(submission) => Some(outlook(shared, submission)),
        Question::Known(_) => None,
    };
    let mut answer = answer_without_admission(shared, question).await?;
    answer.explanation.admission = admission.filter(|_| !answer.explanation.is_known);
    Ok(answer)
}

/// Returns what this process would answer a caller as regards the load.
fn outlook(shared: &Shared, submission: &Submission) -> AdmissionOutlook {
    match shared.admit(submission) {
        Admission::Accepted(why) => AdmissionOutlook {
            is_accepted: true,
            retry_after_s: None,
            figures: format!("why={why}"),
        },
        Admission::Rejected(rejection) => AdmissionOutlook {
            is_accepted: false,
            retry_after_s: Some(rejection.retry_after_s(shared.now())),
            figures: format!("wait_ms={}", rejection.wait_ms),
        },
    }
}

async fn answer_without_admission(shared: &Shared, question: Question) -> Result<Answer, Refusal> {
    let leader = shared.leadership.borrow().leader.clone();
    let why = match &leader {
        None => "no leader is known".to_owned(),
        Some(leader) => {
            let Some(mut request) = shared.explanations.begin(MAX_OPEN) else {
                let detail = format!("{MAX_OPEN} questions wait for the leader already");
                return Err(Refusal::new(StatusCode::SERVICE_UNAVAILABLE, detail));
            };
            let message =
                FleetMessage::Explain { request: request.number, question: question.clone() };
            shared.send(leader, message);
            match timeout(LEADER_TIMEOUT, &mut request.answer).await {
                Ok(Ok(reply)) => return from_leader(shared, leader, reply),
                Ok(Err(_)) | Err(_) => {
                    format!("{leader} did not answer in {} ms", LEADER_TIMEOUT.as_millis())
                }
            }
        }
    };
    from_cache(shared, question, why)
}

fn from_leader(shared: &Shared, leader: &ProcessId, reply: Reply) -> Result<Answer, Refusal> {
    match reply {
        Reply::Explained { term, age, explanation } => {
            let explanation = add_cached(shared, *explanation);
            Ok(Answer {
                asked: shared.process.clone(),
                answered_by: leader.clone(),
                term,
                basis: Basis::Plan(age),
                age_ms: Some(age.max_ms()),
                explanation,
            })
        }
        Reply::Unknown => {
            let detail = format!("the plan of the leader {leader} has no such submission");
            Err(Refusal::new(StatusCode::NOT_FOUND, detail))
        }
        Reply::Busy => {
            let detail = format!("the leader {leader} explained another submission a moment ago");
            Err(Refusal::new(StatusCode::SERVICE_UNAVAILABLE, detail))
        }
    }
}

/// Answers from what this process knows itself.
fn from_cache(shared: &Shared, question: Question, why: String) -> Result<Answer, Refusal> {
    let (id, queue) = match &question {
        Question::New(submission) => (submission.id, Some(&submission.queue)),
        Question::Known(id) => (*id, None),
    };
    let state = shared.states().state(id);
    if queue.is_none() && state.is_none() {
        let detail = format!("{why}, and this process knows no such submission");
        return Err(Refusal::new(StatusCode::NOT_FOUND, detail));
    }
    let explanation = Explanation {
        submission: Some(id),
        is_known: state.is_some(),
        queue: queue.map(QueueSummary::from),
        manifest: shared.manifest_version(),
        state,
        evacuated: Some(shared.evacuations().list.domains.iter().cloned().collect()),
        ..Explanation::default()
    };
    let leadership = shared.leadership.borrow().clone();
    let heartbeat_ms = shared.heartbeat_received_at().map(|it| boot_now().ms_since(it));
    Ok(Answer {
        asked: shared.process.clone(),
        answered_by: shared.process.clone(),
        term: leadership.term,
        basis: Basis::Cache { why, leader: leadership.leader, heartbeat_ms },
        age_ms: heartbeat_ms,
        explanation: add_cached(shared, explanation),
    })
}

/// Adds what every process knows.
fn add_cached(shared: &Shared, mut explanation: Explanation) -> Explanation {
    if explanation.submission == Some(NO_ID) {
        explanation.submission = None;
    }
    if let Some(queue) = &mut explanation.queue {
        queue.pending = shared.pending(&queue.host, &queue.prefix);
    }
    explanation
}
