//! State dump of a group for operators.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{Group, task::TaskState};
use crate::{
    health::QuarantineStatus,
    id::{Epoch, GroupId, Incarnation, ProcessId, TaskId, WorkerId},
    job::EndEvidence,
    message::ReserveRefusal,
    placement::PlacementPolicy,
    quota::QuotaStatus,
    size::Resources,
    time::Timestamp,
};

/// Counters of a group since its claim was acquired.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupStats {
    /// Reservations granted, including repeated answers.
    pub reserved: u64,
    /// Reservations refused, by reason.
    pub refused: BTreeMap<String, u64>,
    /// Reservations that expired without a start.
    pub reservations_expired: u64,
    /// Starts sent.
    pub starts: u64,
    /// Attempts that succeeded.
    pub succeeded: u64,
    /// Attempts that failed or whose start was refused.
    pub failed: u64,
    /// Attempts that were stopped.
    pub stopped: u64,
    /// Evictions begun.
    pub evictions: u64,
    /// Attempts that ended without a result, by evidence.
    pub lost: BTreeMap<String, u64>,
    /// Answers that match no call.
    pub stray_answers: u64,
    /// Events of earlier incarnations, which are ignored.
    pub stale_events: u64,
    /// Repeated reservation requests for attempts already started or ended.
    pub stale_requests: u64,
    /// Samples older than the history of their worker.
    pub unattributed_samples: u64,
    /// Choices of the policy that violate its contract.
    pub policy_errors: u64,
    /// Attempts listed or reported by a worker other than the one they were
    /// placed on.
    pub misplaced: u64,
    /// Tasks that a worker still listed after they had been reported as ended.
    pub killed_after_end: u64,
}

impl GroupStats {
    pub(super) fn count_refused(&mut self, reason: ReserveRefusal) {
        *self.refused.entry(reason.to_string()).or_default() += 1;
    }

    pub(super) fn count_lost(&mut self, evidence: EndEvidence) {
        *self.lost.entry(evidence.to_string()).or_default() += 1;
    }
}

/// A worker in a [`GroupDump`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkerDump {
    /// The worker.
    pub worker: WorkerId,
    /// Its incarnation, if it was ever reached.
    pub incarnation: Option<Incarnation>,
    /// Since when it has been missing from the instance list, if it is.
    pub absent_since: Option<Timestamp>,
    /// Since when it has not answered, if it does not.
    pub unreachable_since: Option<Timestamp>,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Whether its tasks were listed under the group's epoch in its current
    /// incarnation.
    pub known: bool,
    /// Whether new work may be placed on it.
    pub accepting: bool,
    /// Its reliability, from 0.0 (every attempt fails) to 1.0.
    pub trust: f64,
    /// The capacity that is available to tasks.
    pub capacity: Resources,
    /// The capacity that tasks hold.
    pub committed: Resources,
    /// The number of attempts on it.
    pub tasks: usize,
    /// Outcomes that their shards have not acknowledged yet.
    pub unacknowledged: usize,
}

/// An attempt in a [`GroupDump`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskDump {
    /// The attempt.
    pub task: TaskId,
    /// The worker it was placed on.
    pub worker: WorkerId,
    /// Its state, as text for operators.
    pub state: String,
    /// Whether it holds capacity on the worker.
    pub charged: bool,
    /// Whether its shard has it bound.
    pub claimed: bool,
    /// When its latest lease expires.
    pub lease_until: Timestamp,
    /// Whether it is being stopped.
    pub stopping: bool,
}

/// The state of a group, with lists of bounded length.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GroupDump {
    /// The group.
    pub group: GroupId,
    /// The epoch of its claim.
    pub epoch: Epoch,
    /// The process that holds the claim.
    pub process: ProcessId,
    /// Whether reservations are served.
    pub ready: bool,
    /// When the claim expires unless it is extended.
    pub claim_deadline: Timestamp,
    /// Whether a newer owner was seen.
    pub superseded: bool,
    /// Whether the group is being released.
    pub releasing: bool,
    /// The number of shards that have listed their bound attempts.
    pub reconciled_shards: usize,
    /// The number of recently refused requests that are kept as waiting.
    pub waiting: usize,
    /// The number of workers.
    pub worker_count: usize,
    /// The number of attempts.
    pub task_count: usize,
    /// The number of calls to workers that are neither answered nor timed out.
    pub calls_in_flight: usize,
    /// The number of calls to the store so far.
    pub store_calls: u64,
    /// The first workers.
    pub workers: Vec<WorkerDump>,
    /// The first attempts.
    pub tasks: Vec<TaskDump>,
    /// The quotas of the first members.
    pub quotas: Vec<QuotaStatus>,
    /// The first quarantined workers.
    pub quarantined: Vec<QuarantineStatus>,
    /// Counters.
    pub stats: GroupStats,
}

impl<P: PlacementPolicy> Group<P> {
    /// Returns the state of the group, with at most `limit` entries per list.
    pub fn dump(&self, limit: usize) -> GroupDump {
        GroupDump {
            group: self.id.clone(),
            epoch: self.epoch,
            process: self.process.clone(),
            ready: self.is_ready(),
            claim_deadline: self.claim_deadline,
            superseded: self.superseded,
            releasing: self.releasing,
            reconciled_shards: self.reconciled.len(),
            waiting: self.waiting.len(),
            worker_count: self.fleet.workers.len(),
            task_count: self.tasks.len(),
            calls_in_flight: self.calls.values().filter(|it| !it.timed_out).count(),
            store_calls: self.quotas.calls_made(),
            workers: self.dump_workers(limit),
            tasks: self.dump_tasks(limit),
            quotas: self.quotas.status(limit),
            quarantined: self.health.status(limit),
            stats: self.stats.clone(),
        }
    }

    fn dump_workers(&self, limit: usize) -> Vec<WorkerDump> {
        let both = self.fleet.workers.iter().zip(&self.fleet.views);
        let dump = both.take(limit).map(|(worker, view)| WorkerDump {
            worker: worker.id.clone(),
            incarnation: worker.incarnation,
            absent_since: worker.absent_since,
            unreachable_since: worker.unreachable_since,
            leaving: worker.leaving,
            known: worker.known,
            accepting: view.accepting,
            trust: view.reliability,
            capacity: view.capacity,
            committed: view.committed,
            tasks: worker.tasks.len(),
            unacknowledged: worker.unacknowledged.len(),
        });
        dump.collect()
    }

    fn dump_tasks(&self, limit: usize) -> Vec<TaskDump> {
        let dump = self.tasks.iter().take(limit).map(|(task, it)| TaskDump {
            task: *task,
            worker: it.worker.clone(),
            state: match &it.state {
                TaskState::Held { until } => format!("held until={until}"),
                TaskState::Reserved { deadline } => format!("reserved deadline={deadline}"),
                TaskState::Starting => "starting".to_owned(),
                TaskState::Bound => "bound".to_owned(),
                TaskState::Running => "running".to_owned(),
                TaskState::Ended(it) => format!("ended at={} repeats={}", it.at, it.repeats),
            },
            charged: it.charged,
            claimed: it.claimed,
            lease_until: it.lease.until,
            stopping: it.stop.is_some(),
        });
        dump.collect()
    }
}
