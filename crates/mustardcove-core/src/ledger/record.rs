//! Records of changes to a shard or to one of its jobs.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{
    id::{AttemptNumber, Epoch, JobId, ProcessId, RequestId, TaskId, WorkerId},
    job::{AttemptLocation, Checkpoint, EndEvidence, JobSpec, JobState, Outcome},
    time::Timestamp,
    verdict::Refusal,
};

/// Memory use of a job without its payload and result, in bytes.
///
/// It covers the three names, the map node and the overhead of the allocations.
const JOB_OVERHEAD_BYTES: usize = 640;

/// One change to the state of a shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Record {
    /// A process became the owner of the shard; later appends of its
    /// predecessors conflict.
    Owner {
        /// The process.
        process: ProcessId,
        /// The epoch of its ownership: the predecessor's plus one.
        epoch: Epoch,
    },
    /// The owner handed the shard over to another process.
    Handover {
        /// The successor.
        to: ProcessId,
    },
    /// A job was accepted.
    Accepted {
        /// What was submitted.
        spec: Arc<JobSpec>,
        /// The time of acceptance by the owner's clock.
        at: Timestamp,
    },
    /// An attempt was bound to a place and may be started there.
    Bound {
        /// The attempt.
        task: TaskId,
        /// The place.
        place: AttemptLocation,
        /// The request of the entry process to which an upstream was granted,
        /// so that a repetition of the same request gets the same answer.
        request: Option<RequestId>,
    },
    /// The current attempt saved a checkpoint.
    Checkpointed {
        /// The attempt.
        task: TaskId,
        /// The checkpoint.
        checkpoint: Checkpoint,
    },
    /// The job is cancelled as soon as its attempt has ended.
    Cancelling {
        /// The job.
        job: JobId,
    },
    /// The attempt was stopped and the job waits to be resumed.
    Evicted {
        /// The attempt.
        task: TaskId,
        /// The checkpoint from which to resume.
        checkpoint: Option<Checkpoint>,
    },
    /// The attempt ended without a result and the job waits for another one.
    Lost {
        /// The attempt.
        task: TaskId,
        /// The evidence that the attempt has ended.
        evidence: EndEvidence,
    },
    /// The attempt failed and the job waits for another worker.
    Failed {
        /// The attempt.
        task: TaskId,
        /// Why it failed.
        refusal: Refusal,
    },
    /// The job finished.
    Done {
        /// The job.
        job: JobId,
        /// The attempt that finished it, if any.
        attempt: Option<AttemptNumber>,
        /// How it ended.
        outcome: Outcome,
        /// The time from which it need not be kept.
        forget_at: Timestamp,
    },
}

impl Record {
    /// Returns the job that the record changes, if it changes one.
    pub fn job(&self) -> Option<JobId> {
        match self {
            Record::Owner { .. } | Record::Handover { .. } => None,
            Record::Accepted { spec, .. } => Some(spec.id()),
            Record::Bound { task, .. }
            | Record::Checkpointed { task, .. }
            | Record::Evicted { task, .. }
            | Record::Lost { task, .. }
            | Record::Failed { task, .. } => Some(task.job),
            Record::Cancelling { job } | Record::Done { job, .. } => Some(*job),
        }
    }
}

/// A job in the ledger.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Job {
    /// What was submitted; the payload is dropped when the job finishes.
    pub spec: Arc<JobSpec>,
    /// The time at which the job was accepted.
    pub accepted_at: Timestamp,
    /// Its state.
    pub state: JobState,
    /// The workers on which attempts failed, one entry per failure.
    pub failed_on: Vec<WorkerId>,
    /// The entry's request that holds the current attempt of a service request.
    pub admission_request: Option<RequestId>,
}

impl Job {
    /// Returns the identifier of the job.
    pub fn id(&self) -> JobId {
        self.spec.id()
    }

    /// Reports whether the job has finished.
    pub fn is_done(&self) -> bool {
        matches!(self.state, JobState::Done { .. })
    }

    /// Returns the current attempt if one is bound.
    pub fn bound_attempt(&self) -> Option<AttemptNumber> {
        match &self.state {
            JobState::Bound { attempt, .. } => Some(*attempt),
            _ => None,
        }
    }

    /// Returns the number of different workers on which attempts failed.
    pub fn failed_workers(&self) -> usize {
        let mut workers: Vec<&WorkerId> = self.failed_on.iter().collect();
        workers.sort();
        workers.dedup();
        workers.len()
    }

    /// Returns the approximate memory use of the job, in bytes.
    pub fn approximate_bytes(&self) -> usize {
        let result = match &self.state {
            JobState::Done { outcome: Outcome::Succeeded { result }, .. } => result.len(),
            JobState::Done { outcome: Outcome::Failed { refusal }, .. } => refusal.detail.len(),
            _ => 0,
        };
        JOB_OVERHEAD_BYTES + self.spec.payload.len() + result
    }
}
