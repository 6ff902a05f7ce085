//! HTTP API for callers.
//!
//! The handlers are wrapped in layers. From the outermost, these assign the
//! request's identifiers, shed requests above a limit immediately, and bound the
//! time of a handler with a final timeout. All of them refuse requests in the
//! format of [`crate::refusal`].

pub mod admin;
pub mod jobs;
pub mod services;

use std::{sync::Arc, time::Duration, time::Instant};

use axum::{
    BoxError, Extension, Router,
    error_handling::HandleErrorLayer,
    extract::{Request, State},
    middleware::{Next, from_fn_with_state},
    response::{IntoResponse, Response},
    routing::{get, post},
};
use http::{HeaderMap, HeaderValue, StatusCode};
use mustardcove_core::{
    id::MemberId,
    time::Timestamp,
    verdict::{Refusal, RefusalReason},
};
use mustardcove_platform::upstream::{DEADLINE_HEADER, REQUEST_ID_HEADER};
use slog::info;
use tower::ServiceBuilder;

use crate::{
    entry::{ActiveAgreement, Entry},
    refusal::ApiRefusal,
    request_id::RequestTag,
    shards::ShardClient,
};

/// Header with a submission's idempotency key.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Header with the time that the caller waits, in milliseconds.
///
/// It is an alternative to a deadline for callers without a synchronised clock.
pub const TIMEOUT: &str = "x-request-timeout-ms";

/// Retry delay for a caller whose request was refused before it reached a
/// handler, in milliseconds.
const SHED_RETRY_AFTER_MS: u64 = 1_000;

/// Margin of the final timeout over the handlers' own timeouts, in milliseconds.
const TIMEOUT_MARGIN_MS: u64 = 15_000;

/// Returns the API for callers.
pub fn router<C: ShardClient>(entry: &Arc<Entry<C>>) -> Router {
    let cfg = entry.cfg();
    let longest = cfg.max_timeout_ms + cfg.receive_timeout_ms + TIMEOUT_MARGIN_MS;
    let failed = Arc::clone(entry);
    let layers = ServiceBuilder::new()
        .layer(from_fn_with_state(Arc::clone(entry), tag::<C>))
        .layer(HandleErrorLayer::new(move |Extension(tag): Extension<RequestTag>, error| {
            let resp = refuse_in_layer(&failed, &tag, &error);
            async move { resp }
        }))
        .load_shed()
        .concurrency_limit(cfg.max_requests + cfg.max_requests / 4)
        .timeout(Duration::from_millis(longest));
    Router::new()
        .route("/v1/jobs", post(jobs::submit::<C>).get(jobs::list::<C>))
        .route("/v1/jobs/{id}", get(jobs::fetch::<C>).delete(jobs::cancel::<C>))
        .route("/v1/services/{class}", post(services::call::<C>))
        .fallback(not_found::<C>)
        .method_not_allowed_fallback(method_not_allowed::<C>)
        .with_state(Arc::clone(entry))
        .layer(layers)
}

async fn tag<C: ShardClient>(
    State(entry): State<Arc<Entry<C>>>,
    mut req: Request,
    next: Next,
) -> Response {
    let tag = entry.tags().tag(req.headers());
    req.extensions_mut().insert(tag.clone());
    let mut resp = next.run(req).await;
    if let Ok(id) = HeaderValue::from_str(tag.as_str()) {
        resp.headers_mut().insert(REQUEST_ID_HEADER, id);
    }
    resp
}

fn refuse_in_layer<C>(entry: &Arc<Entry<C>>, tag: &RequestTag, error: &BoxError) -> Response {
    let now = entry.clock().now();
    let refusal = if error.is::<tower::load_shed::error::Overloaded>() {
        Refusal::not_run(RefusalReason::Overloaded, "the process holds as many requests as it can")
    } else if error.is::<tower::timeout::error::Elapsed>() {
        Refusal::may_have_run(RefusalReason::DeadlineExceeded, "the request took too long")
    } else {
        Refusal::may_have_run(RefusalReason::Internal, "the request could not be handled")
    };
    entry.metrics().record("layer", Some(&refusal));
    let refusal = refusal.with_retry_at(now.plus_ms(SHED_RETRY_AFTER_MS));
    ApiRefusal::from(refusal).into_response_for(tag, now)
}

async fn not_found<C: ShardClient>(
    State(entry): State<Arc<Entry<C>>>,
    Extension(tag): Extension<RequestTag>,
) -> Response {
    let refusal = ApiRefusal::invalid(StatusCode::NOT_FOUND, "no such resource");
    respond(&entry, &tag, "unknown", Instant::now(), Err(refusal))
}

async fn method_not_allowed<C: ShardClient>(
    State(entry): State<Arc<Entry<C>>>,
    Extension(tag): Extension<RequestTag>,
) -> Response {
    let detail = "the resource does not support the method";
    let refusal = ApiRefusal::invalid(StatusCode::METHOD_NOT_ALLOWED, detail);
    respond(&entry, &tag, "unknown", Instant::now(), Err(refusal))
}

/// Converts a result to a response and records it in metrics and log.
fn respond<C>(
    entry: &Arc<Entry<C>>,
    tag: &RequestTag,
    kind: &'static str,
    started: Instant,
    result: Result<Response, ApiRefusal>,
) -> Response {
    let latency_ms = started.elapsed().as_secs_f64() * 1_000.0;
    match result {
        Ok(resp) => {
            entry.metrics().record(kind, None);
            resp
        }
        Err(refusal) => {
            let it = refusal.refusal();
            entry.metrics().record(kind, Some(it));
            info!(entry.log(), "request refused";
                "request" => tag.as_str(), "kind" => kind,
                "status" => refusal.status().as_u16(), "verdict" => %it.verdict,
                "reason" => %it.reason, "detail" => &it.detail, "ms" => latency_ms as u64);
            refusal.into_response_for(tag, entry.clock().now())
        }
    }
}

/// Authenticates a request, and returns the agreement in force and the member.
fn authenticated<C>(
    entry: &Arc<Entry<C>>,
    headers: &HeaderMap,
) -> Result<(Arc<ActiveAgreement>, MemberId), ApiRefusal> {
    let Some(active) = entry.active_agreement() else {
        let detail = "the process has not read the agreement yet";
        let retry_at = entry.clock().now().plus_ms(SHED_RETRY_AFTER_MS);
        let refusal = Refusal::not_run(RefusalReason::StoreUnavailable, detail);
        return Err(refusal.with_retry_at(retry_at).into());
    };
    let member = active.tokens.authenticate(headers)?;
    Ok((active, member))
}

/// Returns the deadline from the headers, or the default one, at most the
/// longest timeout from now.
fn request_deadline<C>(
    entry: &Arc<Entry<C>>,
    headers: &HeaderMap,
) -> Result<Timestamp, ApiRefusal> {
    let now = entry.clock().now();
    let cfg = entry.cfg();
    let longest = now.plus_ms(cfg.max_timeout_ms);
    let deadline = if let Some(value) = headers.get(DEADLINE_HEADER) {
        parse_ms(value, DEADLINE_HEADER).map(Timestamp)?
    } else if let Some(value) = headers.get(TIMEOUT) {
        now.plus_ms(parse_ms(value, TIMEOUT)?)
    } else {
        now.plus_ms(cfg.default_timeout_ms)
    };
    if deadline <= now {
        let detail = "the deadline passed before the request arrived";
        return Err(Refusal::not_run(RefusalReason::DeadlineExceeded, detail).into());
    }
    Ok(deadline.min(longest))
}

fn parse_ms(value: &HeaderValue, name: &str) -> Result<u64, ApiRefusal> {
    value.to_str().ok().and_then(|it| it.trim().parse().ok()).ok_or_else(|| {
        let detail = format!("the header {name} is not a number of milliseconds");
        ApiRefusal::invalid(StatusCode::BAD_REQUEST, detail)
    })
}

/// Returns the idempotency key from the headers, if there is one.
fn idempotency_key(
    headers: &HeaderMap,
) -> Result<Option<mustardcove_core::id::IdempotencyKey>, ApiRefusal> {
    let Some(value) = headers.get(IDEMPOTENCY_KEY) else { return Ok(None) };
    value.to_str().ok().and_then(|it| it.parse().ok()).map(Some).ok_or_else(|| {
        let detail = "the idempotency-key header must hold 1 to 128 letters, digits or -_.:/@";
        ApiRefusal::invalid(StatusCode::BAD_REQUEST, detail)
    })
}

fn json_response(status: StatusCode, body: &impl serde::Serialize) -> Response {
    let body = serde_json::to_vec(body).expect("answers have string keys only");
    let content_type = HeaderValue::from_static("application/json");
    let mut resp = (status, body).into_response();
    resp.headers_mut().insert(http::header::CONTENT_TYPE, content_type);
    resp
}
