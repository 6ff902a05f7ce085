//! The callers' API: submissions, state queries and cancellations.
//!
//! Any process accepts any request. A submission is accepted once it is in the
//! store; the leader receives it by message. Queries are answered from the
//! states that the leader has sent, and from the store for submissions without
//! a cached state.

use std::{error::Error as _, sync::Arc, time::Duration};

use axum::{
    Router,
    body::{Body, to_bytes},
    extract::{Request, State},
    response::{IntoResponse as _, Response},
};
use http::{
    HeaderMap, HeaderValue, Method, StatusCode,
    header::{CONTENT_TYPE, HOST, RETRY_AFTER},
};
use http_body_util::LengthLimitError;
use mustardcove_adapter::callers::{decode_submission, encode_queue, encode_state};
use mustardcove_core::{
    fleet::{
        id::SubmissionId,
        manifest::{Manifest, Queue},
        message::{StoreChange, StoreOutcome},
        overload::{Acceptance, Admission, Rejection},
        store_health::retry_after_s,
        submission::Submission,
    },
    time::Timestamp,
};
use slog::{debug, info, warn};
use tokio::net::TcpListener;

use crate::{durable, shared::Shared};

/// The header with the time that the caller waits for an answer, in
/// milliseconds.
const DEADLINE_HEADER: &str = "x-deadline-ms";
/// Time that a caller without the header waits, in milliseconds.
const DEFAULT_DEADLINE_MS: u64 = 3_000;
/// Longest time that a request is tried for, in milliseconds: longer than any
/// caller keeps its connection.
const MAX_DEADLINE_MS: u64 = 3_600_000;
/// Percentage of the caller's time after which an unknown outcome is reported,
/// so that the answer arrives in time.
const DEADLINE_SHARE_PERCENT: u64 = 75;
/// Shortest time that a request is tried for, in milliseconds, as long as one call
/// to the store may take: a caller with an unusable deadline is answered, too.
const MIN_ATTEMPT_MS: u64 = 900;
/// Value of the Retry-After header if the process has no manifest or no leader,
/// which takes about a second to change.
const RETRY_AFTER_SECONDS: u64 = 1;
/// Time for open requests to end after the listener has closed.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Serves callers until `drained` is cancelled and open requests have ended.
///
/// # Errors
///
/// Returns an error if the server fails.
pub async fn serve(
    shared: Arc<Shared>,
    listener: TcpListener,
    drained: tokio_util::sync::CancellationToken,
) -> eyre::Result<()> {
    let router = Router::new().fallback(handle).with_state(shared);
    let closing = drained.clone();
    let server = axum::serve(listener, router).with_graceful_shutdown(closing.cancelled_owned());
    tokio::select! {
        result = server.into_future() => result?,
        () = async {
            drained.cancelled().await;
            tokio::time::sleep(CLOSE_TIMEOUT).await;
        } => {}
    }
    Ok(())
}

async fn handle(State(shared): State<Arc<Shared>>, req: Request) -> Response {
    let arrived_at = shared.now();
    let method = match *req.method() {
        Method::POST => "POST",
        Method::GET => "GET",
        Method::DELETE => "DELETE",
        _ => return StatusCode::METHOD_NOT_ALLOWED.into_response(),
    };
    let resp = route(&shared, req, arrived_at).await;
    let ms = shared.now().ms_since(arrived_at) as f64;
    shared.metrics.request(method, resp.status().as_u16(), ms);
    resp
}

async fn route(shared: &Arc<Shared>, req: Request, arrived_at: Timestamp) -> Response {
    let Some(manifest) = shared.manifest() else {
        return unavailable();
    };
    let host = req.headers().get(HOST).and_then(|it| it.to_str().ok()).unwrap_or_default();
    let host = without_port(host);
    let Some(queue) = manifest.find_queue(host, req.uri().path()) else {
        info!(shared.log, "no such queue"; "host" => host, "path" => req.uri().path(),
            "manifest" => %manifest.version);
        return StatusCode::NOT_FOUND.into_response();
    };
    let rest = &req.uri().path()[queue.prefix.len()..];
    if rest.is_empty() {
        return match *req.method() {
            Method::GET => queue_state(shared, queue),
            _ => StatusCode::NOT_FOUND.into_response(),
        };
    }
    let Ok(id) = rest.parse::<SubmissionId>() else {
        return StatusCode::NOT_FOUND.into_response();
    };
    match *req.method() {
        Method::POST => {
            let queue = queue.clone();
            submit(shared, id, queue, &manifest, req, arrived_at).await
        }
        Method::GET => state(shared, id).await,
        _ => cancel(shared, id, deadline(req.headers(), arrived_at)).await,
    }
}

fn deadline(headers: &HeaderMap, arrived_at: Timestamp) -> Timestamp {
    let ms = headers.get(DEADLINE_HEADER).and_then(|it| it.to_str().ok()?.parse::<f64>().ok());
    let ms = ms.map_or(DEFAULT_DEADLINE_MS, |it| it.max(0.0) as u64).min(MAX_DEADLINE_MS);
    arrived_at.plus_ms((ms * DEADLINE_SHARE_PERCENT / 100).max(MIN_ATTEMPT_MS))
}

async fn submit(
    shared: &Arc<Shared>,
    id: SubmissionId,
    queue: Queue,
    manifest: &Manifest,
    req: Request,
    arrived_at: Timestamp,
) -> Response {
    if shared.states().state(id).is_some() {
        debug!(shared.log, "submission repeated"; "submission" => %id);
        return StatusCode::OK.into_response();
    }
    let deadline = deadline(req.headers(), arrived_at);
    let body = match to_bytes(req.into_body(), manifest.limits.max_body_bytes).await {
        Ok(body) => body,
        Err(error) => {
            debug!(shared.log, "body not read"; "submission" => %id, "error" => %error);
            return body_status(&error).into_response();
        }
    };
    let submission = match decode_submission(id, &queue, manifest.version, &body, arrived_at) {
        Ok(submission) => Arc::new(submission),
        Err(error) => {
            warn!(shared.log, "submission refused"; "submission" => %id,
                "queue" => &queue.name, "outcome" => "invalid", "error" => %error);
            return StatusCode::BAD_REQUEST.into_response();
        }
    };
    let admitted = match admit(shared, &submission).await {
        Admission::Accepted(acceptance) => acceptance,
        Admission::Rejected(it) => return reject(shared, &it, &queue),
    };
    let outcome = durable::store(shared, StoreChange::Submit(submission), deadline).await;
    info!(shared.log, "submission"; "submission" => %id, "queue" => &queue.name,
        "outcome" => %outcome, "admitted" => %admitted,
        "ms" => shared.now().ms_since(arrived_at), "manifest" => %manifest.version);
    if outcome == StoreOutcome::Stored {
        shared.remove_place(id);
    }
    match outcome {
        StoreOutcome::Stored => StatusCode::OK.into_response(),
        StoreOutcome::NotStored => store_away(shared),
        // It was cancelled before it was stored.
        StoreOutcome::NoSuchSubmission => StatusCode::GONE.into_response(),
        StoreOutcome::MayBeStored => StatusCode::GATEWAY_TIMEOUT.into_response(),
    }
}

/// Decides whether a submission is accepted, before anything is written. What is
/// stored, or may be by an earlier request, is not rejected.
async fn admit(shared: &Arc<Shared>, submission: &Submission) -> Admission {
    let mut admission = shared.admit(submission);
    if matches!(admission, Admission::Rejected(_)) {
        let id = submission.id;
        let is_stored = match shared.store_health().is_in_doubt(shared.now()) {
            // The write tells what becomes of it.
            true => true,
            false => !matches!(durable::find_state(shared, id).await, Ok(None)),
        };
        if is_stored || durable::may_submission_be_stored(shared, id) {
            admission = Admission::Accepted(Acceptance::MayBeStored);
        }
    }
    let (result, kind): (_, &'static str) = match &admission {
        Admission::Accepted(Acceptance::Returned) => ("returned", Acceptance::Returned.into()),
        Admission::Accepted(it) => ("accepted", (*it).into()),
        Admission::Rejected(_) => ("rejected", "hopeless"),
    };
    shared.metrics.admission(result, kind);
    admission
}

/// Tells a caller when to come back, and holds its place until then.
fn reject(shared: &Shared, rejection: &Rejection, queue: &Queue) -> Response {
    let (now, place) = (shared.now(), &rejection.place);
    let seconds = rejection.retry_after_s(now);
    info!(shared.log, "submission rejected"; "submission" => %place.id,
        "queue" => &queue.name, "wait_ms" => rejection.wait_ms,
        "promised_ms" => now.ms_until(place.promised_at), "retry_after_s" => seconds,
        "waiting_since_ms" => now.ms_since(place.first_arrival));
    shared.add_place(place.clone());
    come_back(StatusCode::TOO_MANY_REQUESTS, seconds)
}

/// Returns the name in a Host header, by which queues are found.
pub(crate) fn without_port(host: &str) -> &str {
    host.split(':').next().unwrap_or_default()
}

/// Returns the status for a body that could not be read.
pub(crate) fn body_status(error: &axum::Error) -> StatusCode {
    let source = error.source();
    if source.is_some_and(|it| it.is::<LengthLimitError>()) {
        StatusCode::PAYLOAD_TOO_LARGE
    } else {
        StatusCode::BAD_REQUEST
    }
}

async fn state(shared: &Arc<Shared>, id: SubmissionId) -> Response {
    match durable::find_state(shared, id).await {
        Ok(Some(state)) => json(encode_state(state)),
        Ok(None) => {
            info!(shared.log, "unknown submission"; "submission" => %id);
            StatusCode::GONE.into_response()
        }
        Err(fault) => {
            warn!(shared.log, "submission state not read"; "submission" => %id, "error" => %fault);
            store_away(shared)
        }
    }
}

async fn cancel(shared: &Arc<Shared>, id: SubmissionId, deadline: Timestamp) -> Response {
    let outcome = durable::store(shared, StoreChange::Cancel(id), deadline).await;
    info!(shared.log, "cancellation"; "submission" => %id, "outcome" => %outcome);
    match outcome {
        StoreOutcome::Stored => StatusCode::OK.into_response(),
        StoreOutcome::NoSuchSubmission => StatusCode::GONE.into_response(),
        StoreOutcome::NotStored => store_away(shared),
        StoreOutcome::MayBeStored => StatusCode::GATEWAY_TIMEOUT.into_response(),
    }
}

fn queue_state(shared: &Shared, queue: &Queue) -> Response {
    match shared.pending(&queue.host, &queue.prefix) {
        Some(pending) => json(encode_queue(pending)),
        None => {
            info!(shared.log, "pending submissions not known"; "queue" => &queue.name,
                "why" => "no recent heartbeat from a leader");
            unavailable()
        }
    }
}

fn json(body: Vec<u8>) -> Response {
    let json = HeaderValue::from_static("application/json");
    ([(CONTENT_TYPE, json)], Body::from(body)).into_response()
}

fn unavailable() -> Response {
    come_back(StatusCode::SERVICE_UNAVAILABLE, RETRY_AFTER_SECONDS)
}

/// Answers a request that could not be handled without the store, with the time
/// at which that is likely back. While callers come, the process looks whether it
/// is.
fn store_away(shared: &Arc<Shared>) -> Response {
    let health = shared.store_health();
    let now = shared.now();
    if health.is_in_doubt(now) {
        shared.probe_store();
    }
    let seconds = retry_after_s(health.outage_ms(now), rand::random());
    come_back(StatusCode::SERVICE_UNAVAILABLE, seconds)
}

fn come_back(status: StatusCode, after_seconds: u64) -> Response {
    (status, [(RETRY_AFTER, HeaderValue::from(after_seconds))]).into_response()
}
