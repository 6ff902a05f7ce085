//! Service requests: checks, admission and the answer to the caller.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use axum::{
    Extension,
    body::Body,
    extract::{Path, Request, State},
    response::Response,
};
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode, header::CONTENT_TYPE};
use mustardcove_core::{
    class::{ClassKind, Delivery},
    job::MAX_PAYLOAD_BYTES,
    limit::ShedClass,
    time::Timestamp,
    verdict::{Refusal, RefusalReason, Verdict},
};

use super::{IDEMPOTENCY_KEY, authenticated, idempotency_key, request_deadline, respond};
use crate::{
    body::read_body,
    dispatch::{self, ServiceCall},
    entry::{AdmissionPermit, Entry, class_for},
    pool::ServicePool,
    refusal::ApiRefusal,
    request_id::RequestTag,
    shards::ShardClient,
};

/// Prefix of the callers' headers that are forwarded to upstreams.
///
/// Other headers, above all the bearer token, are not forwarded.
const FORWARDED_PREFIX: &str = "x-service-";

/// Maximum number of headers forwarded to upstreams.
const MAX_FORWARDED: usize = 16;

/// Handles `POST /v1/services/{class}`.
pub async fn call<C: ShardClient>(
    State(entry): State<Arc<Entry<C>>>,
    Extension(tag): Extension<RequestTag>,
    Path(class): Path<String>,
    req: Request,
) -> Response {
    let started = Instant::now();
    let result = handle(&entry, &tag, &class, req).await;
    respond(&entry, &tag, "service", started, result)
}

/// A request that has passed all checks and limits.
struct Prepared<C> {
    call: ServiceCall,
    pool: Arc<ServicePool>,
    /// Holds the request's place in the limits until the call ends.
    _permit: AdmissionPermit<C>,
}

async fn handle<C: ShardClient>(
    entry: &Arc<Entry<C>>,
    tag: &RequestTag,
    class: &str,
    req: Request,
) -> Result<Response, ApiRefusal> {
    // Boxed, so that its state is freed before the request waits.
    let prepared = Box::pin(prepare(entry, tag, class, req)).await?;
    let class = prepared.call.class.id.clone();
    let started = Instant::now();
    let result = dispatch::call(entry, &prepared.pool, prepared.call).await;
    let latency_ms = started.elapsed().as_secs_f64() * 1_000.0;
    let verdict = result.as_ref().map_or_else(|it| it.verdict, |_| Verdict::Ran);
    entry.metrics().record_service(&class, latency_ms, verdict);
    let answer = result?;
    let mut resp = Response::new(Body::from(answer.body));
    *resp.status_mut() = answer.status;
    if let Some(content_type) = answer.content_type {
        resp.headers_mut().insert(CONTENT_TYPE, content_type);
    }
    Ok(resp)
}

async fn prepare<C: ShardClient>(
    entry: &Arc<Entry<C>>,
    tag: &RequestTag,
    class: &str,
    req: Request,
) -> Result<Prepared<C>, ApiRefusal> {
    let (parts, body) = req.into_parts();
    let headers = parts.headers;
    let (active, member) = authenticated(entry, &headers)?;
    let class = class_for(&active, &member, class)
        .map_err(|it| ApiRefusal::with_status(it, StatusCode::NOT_FOUND))?;
    let (ClassKind::Service, Some(service)) = (class.kind, &class.service) else {
        let detail = "the class is not one of a service; submit a job instead";
        return Err(ApiRefusal::invalid(StatusCode::BAD_REQUEST, detail));
    };
    let guarded = class.delivery != Delivery::Idempotent;
    let key = idempotency_key(&headers)?;
    if guarded && key.is_none() {
        let detail = format!("a request of this class needs an {IDEMPOTENCY_KEY} header");
        return Err(ApiRefusal::invalid(StatusCode::BAD_REQUEST, detail));
    }
    let deadline = request_deadline(entry, &headers)?;
    // Requests are shed before the body is read, because that is cheaper.
    let permit = entry.admit(ShedClass::of(class));
    let mut permit = permit.inspect_err(|_| entry.metrics().record_shed(&class.id))?;
    let limit = active.agreement.members.get(&member).map_or(0, |it| it.max_requests);
    permit.acquire_for_member(&member, limit)?;
    let body = read_request_body(entry, &headers, body, guarded, deadline).await?;
    let Some(pool) = entry.pool(service) else {
        let detail = "the service of the class does not exist";
        return Err(Refusal::not_run(RefusalReason::NoUpstream, detail).into());
    };
    let call = ServiceCall {
        tag: tag.clone(),
        member,
        class: class.clone(),
        key,
        deadline,
        content_type: headers.get(CONTENT_TYPE).map(detached_copy),
        forwarded: forwarded_headers(&headers),
        body,
    };
    Ok(Prepared { call, pool, _permit: permit })
}

async fn read_request_body<C>(
    entry: &Arc<Entry<C>>,
    headers: &HeaderMap,
    body: Body,
    guarded: bool,
    deadline: Timestamp,
) -> Result<bytes::Bytes, ApiRefusal> {
    let cfg = entry.cfg();
    // The shard's log stores a guarded request with its body, which limits the
    // size.
    let max_bytes = if guarded { MAX_PAYLOAD_BYTES } else { cfg.max_body_bytes };
    let timeout = Duration::from_millis(cfg.receive_timeout_ms).min(entry.clock().until(deadline));
    read_body(headers, body, max_bytes, timeout).await
}

fn forwarded_headers(headers: &HeaderMap) -> HeaderMap {
    let wanted = |name: &HeaderName| name.as_str().starts_with(FORWARDED_PREFIX);
    let headers = headers.iter().filter(|(name, _)| wanted(name)).take(MAX_FORWARDED);
    headers.map(|(name, value)| (name.clone(), detached_copy(value))).collect()
}

/// Copies a header value, so that it does not keep the connection's whole read
/// buffer alive while the request waits.
fn detached_copy(value: &HeaderValue) -> HeaderValue {
    HeaderValue::from_bytes(value.as_bytes()).expect("the bytes were a value before")
}
