//! Routes that show processes, members' resource usage and workers.
//!
//! Data on members and workers is read on demand from the dumps of the scheduler
//! processes, which serve them anyway. Nothing is collected in between.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use axum::{Json, extract::State};
use mustardcove_core::{
    agreement::{
        Member,
        record::{AGREEMENT_KEY, AgreementRecord},
    },
    group::{GroupDump, WorkerDump},
    id::{GroupId, MemberId, Revision},
    ownership::{ProcessKind, SessionRecord},
    quota::{QuotaRecord, quota_key},
    size::Resources,
};
use mustardcove_platform::{
    Clock, Store,
    http::{HttpClient, HttpLimits},
};
use serde::{Deserialize, Serialize};
use tokio::task::JoinSet;

use super::{AdminError, Operators, PEER_REQUEST_TIMEOUT_MS, RevisionSource, Shared};
use crate::shards::ShardClient;

/// Largest dump of a scheduler process that is read, in bytes.
const MAX_DUMP_BYTES: usize = 64 << 20;

/// A process and the revision that it has in force.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ProcessStatus {
    /// The process's session.
    #[serde(flatten)]
    pub session: SessionRecord,
    /// The revision, or `None` if the process did not answer.
    pub revision: Option<Revision>,
}

/// Rollout status of the current revision.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Status {
    /// The revision in the store.
    pub revision: Revision,
    /// Whether every process has it in force and every lowered cap is met.
    pub in_force_everywhere: bool,
    /// Members whose lowered cap is not met yet.
    pub caps_pending: Vec<MemberId>,
    /// The processes.
    pub processes: Vec<ProcessStatus>,
}

/// Handles `GET /v1/admin/status`.
pub async fn status<C: ShardClient, S: Store, R: RevisionSource>(
    State(operators): Shared<C, S, R>,
) -> Result<Json<Status>, AdminError> {
    let revision = operators.stored_revision().await?;
    let sessions = operators.sessions.borrow().clone();
    let deadline = operators.entry.clock().now().plus_ms(PEER_REQUEST_TIMEOUT_MS);
    let mut requests = JoinSet::new();
    for session in sessions.iter().cloned() {
        let operators = Arc::clone(&operators);
        requests.spawn(async move {
            let revision = if session.process == operators.entry.cfg().process {
                operators.entry.active_agreement().map(|it| it.agreement.revision)
            } else {
                operators.revisions.revision_of(&session.process, deadline).await
            };
            ProcessStatus { session, revision }
        });
    }
    let mut processes = requests.join_all().await;
    processes.sort_by(|lhs, rhs| lhs.session.process.cmp(&rhs.session.process));
    let records = operators.quota_records().await?;
    let pending = records.iter().filter(|(_, it)| it.pending.is_some());
    let caps_pending: Vec<MemberId> = pending.map(|(id, _)| id.clone()).collect();
    let everywhere = processes.iter().all(|it| Some(revision) <= it.revision);
    Ok(Json(Status {
        revision,
        in_force_everywhere: everywhere && caps_pending.is_empty(),
        caps_pending,
        processes,
    }))
}

/// A member's resource usage and its cap.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MemberUsage {
    /// The member.
    pub member: MemberId,
    /// The cap that was agreed.
    pub agreed_cap: Resources,
    /// The cap in force, which is higher until a lowered cap is met.
    pub cap_in_force: Resources,
    /// The sum of the groups' allotments.
    pub allotted: Resources,
    /// Resources in use by tasks.
    pub used: Resources,
    /// Allotments by group.
    pub allotments: BTreeMap<GroupId, Resources>,
}

/// Handles `GET /v1/admin/members`.
pub async fn members<C: ShardClient, S: Store, R: RevisionSource>(
    State(operators): Shared<C, S, R>,
) -> Result<Json<Vec<MemberUsage>>, AdminError> {
    let records = operators.quota_records().await?;
    let groups = operators.groups().await;
    let active = operators.entry.active_agreement();
    let agreed = active.iter().flat_map(|it| it.agreement.members.values());
    let member_usage = |member: &Member| {
        let record = records.get(&member.id);
        let allotments: BTreeMap<GroupId, Resources> = record
            .map(|it| it.allotments.iter().map(|(id, it)| (id.clone(), it.amount)).collect())
            .unwrap_or_default();
        let quotas = groups.iter().flat_map(|it| &it.quotas).filter(|it| it.member == member.id);
        MemberUsage {
            member: member.id.clone(),
            agreed_cap: member.cap,
            cap_in_force: record.map_or(member.cap, |it| it.cap),
            allotted: allotments.values().fold(Resources::ZERO, |sum, it| sum.saturating_add(*it)),
            used: quotas.fold(Resources::ZERO, |sum, it| sum.saturating_add(it.used)),
            allotments,
        }
    };
    Ok(Json(agreed.map(member_usage).collect()))
}

/// A worker and the group that it belongs to.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WorkerStatus {
    /// The group.
    pub group: GroupId,
    /// The worker.
    #[serde(flatten)]
    pub worker: WorkerDump,
}

/// Handles `GET /v1/admin/workers`.
pub async fn workers<C: ShardClient, S: Store, R: RevisionSource>(
    State(operators): Shared<C, S, R>,
) -> Json<Vec<WorkerStatus>> {
    let mut workers = Vec::new();
    for group in operators.groups().await {
        let id = group.group.clone();
        workers.extend(
            group.workers.into_iter().map(|worker| WorkerStatus { group: id.clone(), worker }),
        );
    }
    Json(workers)
}

/// The part of a scheduler's dump that is read here.
#[derive(Debug, Deserialize)]
struct SchedulerDump {
    #[serde(default)]
    groups: Vec<GroupDump>,
}

impl<C: ShardClient, S: Store, R: RevisionSource> Operators<C, S, R> {
    async fn stored_revision(&self) -> Result<Revision, AdminError> {
        let key = AGREEMENT_KEY.to_owned();
        let record: Option<AgreementRecord> = self.get(key).await?;
        Ok(record.map(|it| it.revision).unwrap_or_default())
    }

    async fn quota_records(&self) -> Result<BTreeMap<MemberId, QuotaRecord>, AdminError> {
        let mut records = BTreeMap::new();
        let Some(active) = self.entry.active_agreement() else { return Ok(records) };
        for member in active.agreement.members.keys() {
            if let Some(record) = self.get(quota_key(member)).await? {
                records.insert(member.clone(), record);
            }
        }
        Ok(records)
    }

    /// Returns the dumps of all groups whose owners answer.
    async fn groups(&self) -> Vec<GroupDump> {
        let sessions = self.sessions.borrow().clone();
        let schedulers = sessions.iter().filter(|it| it.kind == ProcessKind::Scheduler);
        let mut requests = JoinSet::new();
        for session in schedulers.cloned() {
            requests.spawn(fetch_dump(self.entry.clock(), session.admin_address));
        }
        let dumps = requests.join_all().await;
        let mut groups: Vec<GroupDump> =
            dumps.into_iter().flatten().flat_map(|it| it.groups).collect();
        groups.sort_by(|lhs, rhs| lhs.group.cmp(&rhs.group));
        groups
    }
}

/// Returns a scheduler's dump, or `None` if it does not answer.
async fn fetch_dump(clock: Clock, address: String) -> Option<SchedulerDump> {
    let limits = HttpLimits {
        answer_timeout: Duration::from_millis(PEER_REQUEST_TIMEOUT_MS),
        max_answer_bytes: MAX_DUMP_BYTES,
        ..HttpLimits::default()
    };
    let client = HttpClient::new(clock, limits);
    let answer = client.get(&format!("http://{address}/dump")).await.ok()?;
    serde_json::from_slice(&answer.body).ok()
}
