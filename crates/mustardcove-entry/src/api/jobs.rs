//! Jobs: submission, waiting, cancellation and listing.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use axum::{
    Extension,
    extract::{Path, Query, Request, State, rejection::QueryRejection},
    response::Response,
};
use base64::{Engine, engine::general_purpose::STANDARD};
use bytes::Bytes;
use http::{
    HeaderMap, StatusCode,
    header::{CONTENT_TYPE, LOCATION},
};
use mustardcove_core::{
    class::ClassKind,
    id::{JobId, MemberId, ShardId},
    job::{BodyDigest, JobSpec, MAX_PAYLOAD_BYTES},
    limit::ShedClass,
    message::{JobStatus, ShardRequest, ShardResponse},
    size::{Accelerators, MemoryMib, Millicores, Resources},
    time::Timestamp,
    verdict::{Refusal, RefusalReason},
};
use serde::Deserialize;
use tokio::task::JoinSet;

use super::{IDEMPOTENCY_KEY, authenticated, idempotency_key, json_response, respond};
use crate::{
    body::read_body,
    entry::{Entry, class_for},
    job_view::{JobList, JobView},
    refusal::ApiRefusal,
    request_id::RequestTag,
    shards::{OWNER_WAIT_MS, ShardClient},
};

/// Largest body of a submission in bytes: the base64 payload and the JSON around
/// it.
const MAX_SUBMISSION_BYTES: usize = MAX_PAYLOAD_BYTES * 2;

/// Timeout of a request to the owner of a shard, in milliseconds.
const REQUEST_TIMEOUT_MS: u64 = 10_000;

/// Maximum number of jobs in one listing.
const MAX_LISTED: u32 = 200;

/// Body of a submission.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Submission {
    class: String,
    #[serde(default)]
    resources: Option<DeclaredResources>,
    #[serde(default)]
    expected_run_ms: Option<u64>,
    #[serde(default)]
    deadline: Option<Timestamp>,
    #[serde(default)]
    payload: Option<String>,
    #[serde(default)]
    payload_base64: Option<String>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct DeclaredResources {
    #[serde(default)]
    cpu_millicores: u64,
    #[serde(default)]
    memory_mib: u64,
    #[serde(default)]
    accelerators: u32,
}

/// Query of `GET /v1/jobs/{id}`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FetchQuery {
    #[serde(default)]
    wait_ms: u64,
}

/// Query of `GET /v1/jobs`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListQuery {
    #[serde(default)]
    limit: Option<u32>,
    #[serde(default)]
    after: Option<String>,
    #[serde(default)]
    include_done: bool,
}

/// Handles `POST /v1/jobs`.
pub async fn submit<C: ShardClient>(
    State(entry): State<Arc<Entry<C>>>,
    Extension(tag): Extension<RequestTag>,
    req: Request,
) -> Response {
    let started = Instant::now();
    let result = Box::pin(handle_submit(&entry, req)).await;
    respond(&entry, &tag, "submit", started, result)
}

/// Handles `GET /v1/jobs/{id}`.
pub async fn fetch<C: ShardClient>(
    State(entry): State<Arc<Entry<C>>>,
    Extension(tag): Extension<RequestTag>,
    Path(id): Path<String>,
    query: Result<Query<FetchQuery>, QueryRejection>,
    headers: HeaderMap,
) -> Response {
    let started = Instant::now();
    let result = handle_fetch(&entry, &id, query, &headers).await;
    respond(&entry, &tag, "fetch", started, result)
}

/// Handles `DELETE /v1/jobs/{id}`.
pub async fn cancel<C: ShardClient>(
    State(entry): State<Arc<Entry<C>>>,
    Extension(tag): Extension<RequestTag>,
    Path(id): Path<String>,
    headers: HeaderMap,
) -> Response {
    let started = Instant::now();
    let result = handle_cancel(&entry, &id, &headers).await;
    respond(&entry, &tag, "cancel", started, result)
}

/// Handles `GET /v1/jobs`.
pub async fn list<C: ShardClient>(
    State(entry): State<Arc<Entry<C>>>,
    Extension(tag): Extension<RequestTag>,
    query: Result<Query<ListQuery>, QueryRejection>,
    headers: HeaderMap,
) -> Response {
    let started = Instant::now();
    let result = handle_list(&entry, query, &headers).await;
    respond(&entry, &tag, "list", started, result)
}

async fn handle_submit<C: ShardClient>(
    entry: &Arc<Entry<C>>,
    req: Request,
) -> Result<Response, ApiRefusal> {
    let (parts, body) = req.into_parts();
    let headers = parts.headers;
    let (active, member) = authenticated(entry, &headers)?;
    let Some(key) = idempotency_key(&headers)? else {
        let detail = format!("a submission needs an {IDEMPOTENCY_KEY} header");
        return Err(ApiRefusal::invalid(StatusCode::BAD_REQUEST, detail));
    };
    require_json(&headers)?;
    let timeout = Duration::from_millis(entry.cfg().receive_timeout_ms);
    let body = read_body(&headers, body, MAX_SUBMISSION_BYTES, timeout).await?;
    let submission: Submission = serde_json::from_slice(&body).map_err(|error| {
        let detail = format!("the body is not a valid submission: {error}");
        ApiRefusal::invalid(StatusCode::BAD_REQUEST, detail)
    })?;
    let class = class_for(&active, &member, &submission.class)?;
    if class.kind == ClassKind::Service {
        let detail = "the class is one of a service; post to /v1/services/{class} instead";
        return Err(ApiRefusal::invalid(StatusCode::BAD_REQUEST, detail));
    }
    let admitted = entry.admit(ShedClass::of(class));
    let _permit = admitted.inspect_err(|_| entry.metrics().record_shed(&class.id))?;
    let payload = decode_payload(&submission)?;
    let resources = submission.resources.as_ref().map_or(class.resources, |it| Resources {
        cpu: Millicores(it.cpu_millicores),
        memory: MemoryMib(it.memory_mib),
        accelerators: Accelerators(it.accelerators),
    });
    let expected_run_ms = submission.expected_run_ms.unwrap_or(class.expected_run_ms);
    let now = entry.clock().now();
    if submission.deadline.is_some_and(|it| it <= now) {
        let detail = "the deadline passed before the submission arrived";
        return Err(Refusal::not_run(RefusalReason::DeadlineExceeded, detail).into());
    }
    let spec = JobSpec {
        member,
        key,
        class: class.id.clone(),
        resources,
        expected_run_ms,
        deadline: submission.deadline,
        digest: submission_digest(&class.id, resources, expected_run_ms, &payload),
        payload,
    };
    let job = spec.id();
    let resp = request_shard(entry, job, ShardRequest::Submit { spec }, REQUEST_TIMEOUT_MS).await?;
    let (status, repeated) = match resp {
        ShardResponse::Accepted { status, repeated } => (status, repeated),
        ShardResponse::Status { status } => (status, true),
        other => return Err(unexpected_response(&other)),
    };
    let code = if repeated { StatusCode::OK } else { StatusCode::ACCEPTED };
    let view = JobView { repeated: Some(repeated), ..JobView::new(&status) };
    let mut resp = json_response(code, &view);
    if let Ok(location) = format!("/v1/jobs/{job}").parse() {
        resp.headers_mut().insert(LOCATION, location);
    }
    Ok(resp)
}

async fn handle_fetch<C: ShardClient>(
    entry: &Arc<Entry<C>>,
    id: &str,
    query: Result<Query<FetchQuery>, QueryRejection>,
    headers: &HeaderMap,
) -> Result<Response, ApiRefusal> {
    let (_, member) = authenticated(entry, headers)?;
    let job = parse_job_id(id)?;
    let Query(query) = query.map_err(|it| invalid_query(&it))?;
    let _permit = entry.admit(ShedClass::Service)?;
    let now = entry.clock().now();
    let wait_ms = query.wait_ms.min(entry.cfg().max_timeout_ms);
    let wait_until = (0 < wait_ms).then(|| now.plus_ms(wait_ms));
    let body = ShardRequest::Query { job, wait_until, member: Some(member.clone()) };
    // A draining process ends waits early; the caller can ask another process.
    let draining = entry.draining().cancelled();
    let resp = tokio::select! {
        resp = request_shard(entry, job, body, wait_ms + REQUEST_TIMEOUT_MS) => resp?,
        () = draining, if wait_until.is_some() => {
            return Err(entry.shutting_down(entry.clock().now()).into());
        }
    };
    let status = visible_status(resp, &member)?;
    Ok(json_response(StatusCode::OK, &JobView::new(&status)))
}

async fn handle_cancel<C: ShardClient>(
    entry: &Arc<Entry<C>>,
    id: &str,
    headers: &HeaderMap,
) -> Result<Response, ApiRefusal> {
    let (_, member) = authenticated(entry, headers)?;
    let job = parse_job_id(id)?;
    // Cancellations free capacity, so they are shed last.
    let _permit = entry.admit(ShedClass::Urgent)?;
    let body = ShardRequest::Cancel { job, member: Some(member.clone()) };
    let resp = request_shard(entry, job, body, REQUEST_TIMEOUT_MS).await?;
    let status = visible_status(resp, &member)?;
    Ok(json_response(StatusCode::OK, &JobView::new(&status)))
}

async fn handle_list<C: ShardClient>(
    entry: &Arc<Entry<C>>,
    query: Result<Query<ListQuery>, QueryRejection>,
    headers: &HeaderMap,
) -> Result<Response, ApiRefusal> {
    let (_, member) = authenticated(entry, headers)?;
    let Query(query) = query.map_err(|it| invalid_query(&it))?;
    let start_after = query.after.as_deref().map(parse_job_id).transpose()?;
    let limit = query.limit.unwrap_or(MAX_LISTED).clamp(1, MAX_LISTED);
    let _permit = entry.admit(ShedClass::Service)?;
    let deadline = entry.clock().now().plus_ms(REQUEST_TIMEOUT_MS);
    let mut requests = JoinSet::new();
    for shard in 0..entry.cfg().shards {
        let entry = Arc::clone(entry);
        let body = ShardRequest::List {
            member: Some(member.clone()),
            start_after,
            limit,
            include_done: query.include_done,
        };
        requests.spawn(async move { entry.shards().request(ShardId(shard), body, deadline).await });
    }
    let mut jobs: Vec<JobStatus> = Vec::new();
    let mut more = false;
    while let Some(joined) = requests.join_next().await {
        // A listing that lacks a shard would wrongly look complete, so it fails.
        let resp = joined.map_err(|_| internal_error("a shard could not be asked"))??;
        match resp {
            ShardResponse::Jobs { jobs: part, more: it } => {
                jobs.extend(part.into_iter().filter(|it| it.member == member));
                more |= it;
            }
            ShardResponse::Refused(refusal) => return Err(refusal.into()),
            other => return Err(unexpected_response(&other)),
        }
    }
    jobs.sort_by_key(|it| it.job);
    more |= (limit as usize) < jobs.len();
    jobs.truncate(limit as usize);
    let next = jobs.last().filter(|_| more).map(|it| it.job.to_string());
    let jobs = jobs.iter().map(JobView::without_result).collect();
    Ok(json_response(StatusCode::OK, &JobList { jobs, next }))
}

async fn request_shard<C: ShardClient>(
    entry: &Arc<Entry<C>>,
    job: JobId,
    body: ShardRequest,
    timeout_ms: u64,
) -> Result<ShardResponse, ApiRefusal> {
    let shard = job.shard(entry.cfg().shards);
    let deadline = entry.clock().now().plus_ms(timeout_ms.max(OWNER_WAIT_MS));
    match entry.shards().request(shard, body, deadline).await? {
        ShardResponse::Refused(refusal) => Err(refusal.into()),
        resp => Ok(resp),
    }
}

fn visible_status(resp: ShardResponse, member: &MemberId) -> Result<JobStatus, ApiRefusal> {
    match resp {
        // A job of another member is refused like one that does not exist, so
        // that the answer does not reveal it.
        ShardResponse::Status { status } | ShardResponse::Accepted { status, .. }
            if status.member == *member =>
        {
            Ok(status)
        }
        ShardResponse::Status { .. } | ShardResponse::Accepted { .. } => {
            Err(Refusal::not_run(RefusalReason::NotFound, "the job is not known").into())
        }
        other => Err(unexpected_response(&other)),
    }
}

fn require_json(headers: &HeaderMap) -> Result<(), ApiRefusal> {
    let value = headers.get(CONTENT_TYPE).and_then(|it| it.to_str().ok()).unwrap_or_default();
    let essence = value.split(';').next().unwrap_or_default().trim();
    if essence.eq_ignore_ascii_case("application/json") {
        return Ok(());
    }
    let detail = "the content type must be application/json";
    Err(ApiRefusal::invalid(StatusCode::UNSUPPORTED_MEDIA_TYPE, detail))
}

fn decode_payload(submission: &Submission) -> Result<Bytes, ApiRefusal> {
    let invalid = |detail: &str| ApiRefusal::invalid(StatusCode::BAD_REQUEST, detail);
    let payload = match (&submission.payload, &submission.payload_base64) {
        (Some(_), Some(_)) => {
            return Err(invalid("give either payload or payload_base64, not both"));
        }
        (Some(text), None) => Bytes::from(text.clone()),
        (None, Some(text)) => STANDARD
            .decode(text)
            .map(Bytes::from)
            .map_err(|_| invalid("payload_base64 is not valid base64"))?,
        (None, None) => Bytes::new(),
    };
    if MAX_PAYLOAD_BYTES < payload.len() {
        let detail = format!("the payload exceeds {MAX_PAYLOAD_BYTES} bytes");
        return Err(ApiRefusal::invalid(StatusCode::PAYLOAD_TOO_LARGE, detail));
    }
    Ok(payload)
}

/// Returns the digest that distinguishes a repeated submission from a reused
/// key.
///
/// It excludes the deadline, because a caller that repeats a submission later
/// sets another one.
fn submission_digest(
    class: &mustardcove_core::id::ClassId,
    resources: Resources,
    expected_run_ms: u64,
    payload: &[u8],
) -> BodyDigest {
    let mut buf = format!("{resources};{expected_run_ms}\0").into_bytes();
    buf.extend_from_slice(payload);
    BodyDigest::of(class, &buf)
}

fn parse_job_id(id: &str) -> Result<JobId, ApiRefusal> {
    id.parse().map_err(|_| {
        ApiRefusal::invalid(StatusCode::BAD_REQUEST, "a job id has 32 hexadecimal digits")
    })
}

fn invalid_query(error: &QueryRejection) -> ApiRefusal {
    ApiRefusal::invalid(StatusCode::BAD_REQUEST, format!("invalid query: {}", error.body_text()))
}

fn unexpected_response(_: &ShardResponse) -> ApiRefusal {
    internal_error("the shard owner gave an answer of another kind")
}

fn internal_error(detail: &str) -> ApiRefusal {
    Refusal::may_have_run(RefusalReason::Internal, detail).into()
}
