//! Types of the calls to workers, their answers and their reports.
//!
//! A worker runs tasks under leases and stops a task whose lease has expired.
//! It stores the highest epoch that was announced to it and refuses calls with
//! a lower one. Reports may arrive late, more than once and out of order; each
//! carries the worker's incarnation and a sequence number.

use std::fmt;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{
    id::{
        ClassId, Epoch, FailureDomainId, Incarnation, MemberId, RackId, RegionId, ServiceId,
        TaskId, WorkerId,
    },
    job::Checkpoint,
    size::Resources,
    time::Timestamp,
    verdict::Verdict,
};

/// An upstream of a service on a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamInfo {
    /// The service.
    pub service: ServiceId,
    /// The address, as IP number and port.
    pub address: String,
    /// Requests that it handles concurrently.
    pub slots: u32,
    /// Connections that it accepts.
    pub connections: u32,
}

/// A worker as described by the instance list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerInfo {
    /// The worker.
    pub id: WorkerId,
    /// The address of its task interface, as IP number and port.
    pub address: String,
    /// Its region.
    pub region: RegionId,
    /// Its failure domain.
    pub domain: FailureDomainId,
    /// Its rack.
    pub rack: RackId,
    /// Its total capacity.
    pub capacity: Resources,
    /// Whether it is leaving: it takes no new work and will be removed.
    pub leaving: bool,
    /// The upstreams on it.
    pub upstreams: Vec<UpstreamInfo>,
}

/// What a worker needs to start a task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskStart {
    /// The task.
    pub task: TaskId,
    /// The member it runs for.
    pub member: MemberId,
    /// Its class.
    pub class: ClassId,
    /// The resources that it may use.
    pub resources: Resources,
    /// The payload that the caller submitted.
    pub payload: Bytes,
    /// The checkpoint to resume from, if any.
    pub resume_from: Option<Checkpoint>,
}

/// How a task is to be stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StopMode {
    /// Saves a checkpoint, then stops.
    Checkpoint,
    /// Stops at once.
    Kill,
}

/// A call to a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WorkerOp {
    /// Announces an epoch and lists the tasks. The worker refuses lower epochs
    /// from then on.
    Announce {
        /// The epoch.
        epoch: Epoch,
    },
    /// Starts a task. The call has no effect if the worker already knows the
    /// task.
    Start {
        /// The epoch of the group's claim.
        epoch: Epoch,
        /// The task.
        start: TaskStart,
        /// When the task's lease expires unless renewed.
        lease_until: Timestamp,
    },
    /// Renews the leases of tasks and collects reports.
    Renew {
        /// The epoch of the group's claim.
        epoch: Epoch,
        /// The tasks.
        tasks: Vec<TaskId>,
        /// When the leases expire unless renewed again.
        lease_until: Timestamp,
        /// The last event sequence number that need not be reported again.
        acknowledged: u64,
    },
    /// Stops a task.
    Stop {
        /// The epoch of the group's claim.
        epoch: Epoch,
        /// The task.
        task: TaskId,
        /// How to stop it.
        mode: StopMode,
    },
    /// Limits the processor share of a task.
    Throttle {
        /// The epoch of the group's claim.
        epoch: Epoch,
        /// The task.
        task: TaskId,
        /// The share of its processors that it may use, in thousandths.
        share_permille: u16,
    },
}

/// The status of a task on its worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskStatus {
    /// The task.
    pub task: TaskId,
    /// The member it runs for.
    pub member: MemberId,
    /// Its class.
    pub class: ClassId,
    /// The resources that it was started with.
    pub resources: Resources,
    /// When it was started, by the worker's clock.
    pub started_at: Timestamp,
    /// When its lease expires, by the worker's clock.
    pub lease_until: Timestamp,
    /// Its latest checkpoint.
    pub checkpoint: Option<Checkpoint>,
}

/// An event of a task: its end or a checkpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskEvent {
    /// The task ran to its end.
    Succeeded {
        /// Its result.
        result: Bytes,
    },
    /// The task failed.
    Failed {
        /// The worker's description of the failure.
        detail: String,
    },
    /// The task was stopped on request, or because its lease expired.
    Stopped {
        /// The checkpoint from which it can be resumed.
        checkpoint: Option<Checkpoint>,
    },
    /// The task saved a checkpoint and continues.
    Checkpointed {
        /// The checkpoint.
        checkpoint: Checkpoint,
    },
}

/// A measurement of one task or upstream. By the time it arrives, the tasks on
/// the worker may have changed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct UsageSample {
    /// The worker.
    pub worker: WorkerId,
    /// When it was taken, by the worker's clock.
    pub taken_at: Timestamp,
    /// The class that was measured.
    pub class: ClassId,
    /// The task, or `None` for an upstream of a service class.
    pub task: Option<TaskId>,
    /// Time taken relative to running alone; 1.0 means no slowdown.
    pub slowdown: f64,
    /// The resources that were used.
    pub used: Resources,
}

/// A report of a worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkerReport {
    /// The worker.
    pub worker: WorkerId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// The sequence number of the newest event in this report.
    pub sequence: u64,
    /// Events that have not been acknowledged yet, oldest first.
    pub events: Vec<(u64, TaskId, TaskEvent)>,
    /// Measurements.
    pub samples: Vec<UsageSample>,
}

/// A successful answer of a worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WorkerReply {
    /// Answers [`WorkerOp::Announce`].
    Announced {
        /// The worker's incarnation.
        incarnation: Incarnation,
        /// Every task that it runs.
        tasks: Vec<TaskStatus>,
    },
    /// Answers [`WorkerOp::Start`].
    Started {
        /// The worker's incarnation.
        incarnation: Incarnation,
    },
    /// Answers [`WorkerOp::Renew`].
    Renewed {
        /// Tasks that the worker does not run.
        unknown: Vec<TaskId>,
        /// The report of events since the last acknowledged one.
        report: WorkerReport,
    },
    /// Answers [`WorkerOp::Stop`]; the event follows in a report.
    Stopping,
    /// Answers [`WorkerOp::Throttle`].
    Throttled,
}

/// An error of a call to a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WorkerError {
    /// The worker has seen a higher epoch; the call had no effect.
    StaleEpoch {
        /// The highest epoch that the worker has seen.
        current: Epoch,
    },
    /// The worker refused the call; it had no effect.
    Refused {
        /// The worker's reason.
        detail: String,
    },
    /// The worker did not answer.
    Unreachable {
        /// Whether the call may have taken effect.
        verdict: Verdict,
    },
}

impl fmt::Display for WorkerError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            WorkerError::StaleEpoch { current } => {
                write!(f, "worker has seen a newer epoch: {current}")
            }
            WorkerError::Refused { detail } => write!(f, "worker refused the call: {detail}"),
            WorkerError::Unreachable { verdict } => write!(f, "worker unreachable ({verdict})"),
        }
    }
}

impl std::error::Error for WorkerError {}

/// The result of a call to a worker.
pub type WorkerResult = Result<WorkerReply, WorkerError>;
