//! Administration API for operators.
//!
//! Operators read and change the agreement, inspect members, jobs, workers and
//! processes, and cancel jobs of any member. The API is served at the
//! administration address, separately from the callers' API, and requires an
//! operator's token on every request. See `docs/api.md`.

pub mod agreement;
pub mod fleet;
pub mod jobs;

use std::sync::Arc;

use axum::{
    Json, Router,
    extract::{Request, State},
    middleware::{Next, from_fn_with_state},
    response::{IntoResponse, Response},
    routing::{get, post, put},
};
use http::StatusCode;
use mustardcove_core::{
    id::{ProcessId, Revision},
    time::Timestamp,
    verdict::{Refusal, RefusalReason, Verdict},
};
use mustardcove_platform::Store;
use serde::{Deserialize, Serialize};

use crate::{
    auth::OperatorTokens,
    entry::Entry,
    refusal::{ApiRefusal, RefusalBody},
    shards::{Sessions, ShardClient},
};

/// Timeout of a request to another process, in milliseconds.
pub(crate) const PEER_REQUEST_TIMEOUT_MS: u64 = 2_000;

/// Queries processes for the revision of the agreement that they have in force.
pub trait RevisionSource: Send + Sync + 'static {
    /// Returns the revision, or `None` if the process did not answer in time.
    fn revision_of(
        &self,
        process: &ProcessId,
        deadline: Timestamp,
    ) -> impl Future<Output = Option<Revision>> + Send;
}

/// State that the routes share.
pub struct Operators<C, S, R> {
    /// The entry process.
    pub entry: Arc<Entry<C>>,
    /// The store.
    pub store: Arc<S>,
    /// The live processes.
    pub sessions: Sessions,
    /// Source of the other processes' revisions.
    pub revisions: R,
    /// Digests of the operators' tokens.
    pub tokens: OperatorTokens,
}

type Shared<C, S, R> = State<Arc<Operators<C, S, R>>>;

/// Returns the routes.
pub fn router<C, S, R>(operators: Operators<C, S, R>) -> Router
where
    C: ShardClient,
    S: Store,
    R: RevisionSource,
{
    let operators = Arc::new(operators);
    let agreement = Router::new()
        .route("/", get(agreement::read).put(agreement::replace))
        .route("/validate", post(agreement::validate))
        .route("/diff", post(agreement::diff))
        .route("/history", get(agreement::history))
        .route("/history/{revision}", get(agreement::read_revision))
        .route("/members/{member}", put(agreement::put_member).delete(agreement::remove_member))
        .route("/members/{member}/schema/{schema}", put(agreement::move_schema));
    let routes = Router::new()
        .nest("/agreement", agreement)
        .route("/status", get(fleet::status))
        .route("/members", get(fleet::members))
        .route("/workers", get(fleet::workers))
        .route("/jobs", get(jobs::list))
        .route("/jobs/{job}", get(jobs::show).delete(jobs::cancel));
    Router::new()
        .nest("/v1/admin", routes)
        .layer(from_fn_with_state(Arc::clone(&operators), authenticate))
        .with_state(operators)
}

async fn authenticate<C, S, R>(
    State(operators): Shared<C, S, R>,
    req: Request,
    next: Next,
) -> Response
where
    C: ShardClient,
    S: Store,
    R: RevisionSource,
{
    match operators.tokens.authenticate(req.headers()) {
        Ok(()) => next.run(req).await,
        Err(refusal) => AdminError::from(refusal).into_response(),
    }
}

/// An error of the administration API.
#[derive(Debug)]
pub struct AdminError(ApiRefusal);

impl From<ApiRefusal> for AdminError {
    fn from(refusal: ApiRefusal) -> AdminError {
        AdminError(refusal)
    }
}

impl From<Refusal> for AdminError {
    fn from(refusal: Refusal) -> AdminError {
        AdminError(refusal.into())
    }
}

impl IntoResponse for AdminError {
    fn into_response(self) -> Response {
        let refusal = self.0.refusal();
        let body = RefusalBody {
            verdict: refusal.verdict,
            reason: refusal.reason,
            detail: refusal.detail.clone(),
            retry_at: refusal.retry_at,
            request_id: String::new(),
        };
        (self.0.status(), Json(body)).into_response()
    }
}

/// Returns the error for a store that did not answer.
pub(crate) fn store_unavailable(verdict: Verdict) -> AdminError {
    let detail = "the store does not answer";
    let refusal = match verdict {
        Verdict::NotRun => Refusal::not_run(RefusalReason::StoreUnavailable, detail),
        Verdict::Ran | Verdict::MayHaveRun => {
            Refusal::may_have_run(RefusalReason::StoreUnavailable, detail)
        }
    };
    refusal.into()
}

/// Returns the error for an invalid request, such as a name that does not parse.
pub(crate) fn invalid(error: impl std::fmt::Display) -> AdminError {
    ApiRefusal::invalid(StatusCode::BAD_REQUEST, error.to_string()).into()
}

/// Returns the error for a resource that does not exist.
pub(crate) fn not_found(detail: impl Into<String>) -> AdminError {
    Refusal::not_run(RefusalReason::NotFound, detail).into()
}

/// Query of requests that change the agreement.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ChangeQuery {
    /// The revision that the change is based on; the change is refused if this is
    /// no longer the current one.
    pub based_on: Option<Revision>,
    /// The operator.
    pub author: String,
    /// The purpose of the change, in one line.
    pub summary: String,
}
