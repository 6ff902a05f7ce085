//! Routes that list, show and cancel jobs of all members.

use axum::{
    Json,
    extract::{Path, Query, State},
};
use mustardcove_core::{
    id::{JobId, MemberId, ShardId},
    message::{JobStatus, ShardRequest, ShardResponse},
    verdict::{Refusal, RefusalReason},
};
use mustardcove_platform::Store;
use serde::{Deserialize, Serialize};

use super::{
    AdminError, Operators, PEER_REQUEST_TIMEOUT_MS, RevisionSource, Shared, invalid, not_found,
};
use crate::{job_view::JobView, shards::ShardClient};

/// Maximum number of jobs in one listing.
const MAX_LISTED: u32 = 1_000;

/// Query of `GET /v1/admin/jobs`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct JobsQuery {
    /// The member whose jobs are listed, or `None` for all members.
    pub member: Option<MemberId>,
    /// Whether finished jobs are listed as well.
    pub include_done: bool,
    /// Maximum number of jobs to list.
    pub limit: Option<u32>,
}

/// A job as shown to operators.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct OperatorJob {
    /// The member it runs for.
    pub member: MemberId,
    /// The shard that holds it.
    pub shard: ShardId,
    /// The job as shown to its member; `detail` explains its state.
    #[serde(flatten)]
    pub view: JobView,
}

/// A listing of jobs.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct OperatorJobs {
    /// The jobs.
    pub jobs: Vec<OperatorJob>,
    /// Whether more jobs match than were listed.
    pub more: bool,
    /// Shards that did not answer.
    pub missing: Vec<ShardId>,
}

impl<C: ShardClient, S: Store, R: RevisionSource> Operators<C, S, R> {
    fn operator_job(&self, status: &JobStatus) -> OperatorJob {
        OperatorJob {
            member: status.member.clone(),
            shard: status.job.shard(self.entry.cfg().shards),
            view: JobView::without_result(status),
        }
    }

    async fn request_shard(
        &self,
        shard: ShardId,
        body: ShardRequest,
    ) -> Result<ShardResponse, Refusal> {
        let deadline = self.entry.clock().now().plus_ms(PEER_REQUEST_TIMEOUT_MS);
        self.entry.shards().request(shard, body, deadline).await
    }

    async fn request_job(
        &self,
        job: &str,
        body: impl FnOnce(JobId) -> ShardRequest,
    ) -> Result<Json<OperatorJob>, AdminError> {
        let job: JobId = job.parse().map_err(invalid)?;
        let shard = job.shard(self.entry.cfg().shards);
        match self.request_shard(shard, body(job)).await? {
            ShardResponse::Status { status } => Ok(Json(self.operator_job(&status))),
            ShardResponse::Refused(refusal) if refusal.reason == RefusalReason::NotFound => {
                Err(not_found(format!("there is no job {job}")))
            }
            ShardResponse::Refused(refusal) => Err(refusal.into()),
            other => Err(invalid(format!("unexpected answer {other:?}"))),
        }
    }
}

/// Handles `GET /v1/admin/jobs`.
pub async fn list<C: ShardClient, S: Store, R: RevisionSource>(
    State(operators): Shared<C, S, R>,
    Query(query): Query<JobsQuery>,
) -> Json<OperatorJobs> {
    let limit = query.limit.unwrap_or(MAX_LISTED).min(MAX_LISTED);
    let mut listed = OperatorJobs { jobs: Vec::new(), more: false, missing: Vec::new() };
    for number in 0..operators.entry.cfg().shards {
        let shard = ShardId(number);
        let remaining = limit.saturating_sub(listed.jobs.len() as u32);
        if remaining == 0 {
            listed.more = true;
            break;
        }
        let body = ShardRequest::List {
            member: query.member.clone(),
            start_after: None,
            limit: remaining,
            include_done: query.include_done,
        };
        match operators.request_shard(shard, body).await {
            Ok(ShardResponse::Jobs { jobs, more }) => {
                listed.jobs.extend(jobs.iter().map(|it| operators.operator_job(it)));
                listed.more |= more;
            }
            _ => listed.missing.push(shard),
        }
    }
    Json(listed)
}

/// Handles `GET /v1/admin/jobs/{job}`.
pub async fn show<C: ShardClient, S: Store, R: RevisionSource>(
    State(operators): Shared<C, S, R>,
    Path(job): Path<String>,
) -> Result<Json<OperatorJob>, AdminError> {
    let body = |job| ShardRequest::Query { job, wait_until: None, member: None };
    operators.request_job(&job, body).await
}

/// Handles `DELETE /v1/admin/jobs/{job}`.
pub async fn cancel<C: ShardClient, S: Store, R: RevisionSource>(
    State(operators): Shared<C, S, R>,
    Path(job): Path<String>,
) -> Result<Json<OperatorJob>, AdminError> {
    operators.request_job(&job, |job| ShardRequest::Cancel { job, member: None }).await
}
