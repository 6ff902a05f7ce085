//! Jobs, their attempts and the evidence that an attempt has ended.

use std::fmt;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, IntoStaticStr};
use xxhash_rust::xxh3::xxh3_128;

use crate::{
    id::{
        AttemptNumber, ClassId, Epoch, GroupId, IdempotencyKey, JobId, MemberId, ProcessId,
        WorkerId,
    },
    size::Resources,
    time::Timestamp,
    verdict::Refusal,
};

/// Largest payload of a submission, in bytes.
pub const MAX_PAYLOAD_BYTES: usize = 64 * 1024;

/// Largest result of a job, in bytes; it is stored with the outcome.
pub const MAX_RESULT_BYTES: usize = 64 * 1024;

/// Digest of a submission's class and body, which distinguishes a repeated
/// submission from a reused key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct BodyDigest(pub u128);

impl BodyDigest {
    /// Returns the digest of a class name and a body.
    pub fn of(class: &ClassId, body: &[u8]) -> BodyDigest {
        let mut buf = Vec::with_capacity(class.as_str().len() + body.len() + 1);
        buf.extend_from_slice(class.as_str().as_bytes());
        buf.push(0);
        buf.extend_from_slice(body);
        BodyDigest(xxh3_128(&buf))
    }
}

impl fmt::Display for BodyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

/// What a caller submitted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    /// The member on whose behalf the job runs.
    pub member: MemberId,
    /// The key that makes the submission idempotent.
    pub key: IdempotencyKey,
    /// The class of work.
    pub class: ClassId,
    /// The declared resources of one task.
    pub resources: Resources,
    /// The declared run time, in milliseconds.
    pub expected_run_ms: u64,
    /// The time after which the caller no longer needs the result, if any.
    pub deadline: Option<Timestamp>,
    /// The digest of the body, compared when the key is used again.
    pub digest: BodyDigest,
    /// The body, passed to the task unchanged.
    pub payload: Bytes,
}

impl JobSpec {
    /// Returns the identifier of the job.
    pub fn id(&self) -> JobId {
        JobId::new(&self.member, &self.key)
    }
}

/// A position from which work can be resumed, as named by the worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Checkpoint {
    /// The worker's name for the saved state.
    pub token: String,
    /// The share of the work that is done, in thousandths.
    pub progress_permille: u16,
}

/// Where an attempt runs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AttemptLocation {
    /// As a task on a worker.
    Worker {
        /// The group that the worker belongs to.
        group: GroupId,
        /// The worker.
        worker: WorkerId,
        /// The epoch of the group's claim when capacity was reserved.
        epoch: Epoch,
    },
    /// As a request at an upstream, sent by an entry process.
    Upstream {
        /// The instance that provides the service.
        upstream: WorkerId,
        /// The entry process that sends the request.
        entry: ProcessId,
        /// When the upstream stops working on the request.
        deadline: Timestamp,
    },
}

/// The evidence that an attempt has ended without a result.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    Serialize,
    Deserialize,
    Display,
    EnumString,
    IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum EndEvidence {
    /// The start never reached the worker.
    NeverSent,
    /// The worker refused the start.
    RefusedByWorker,
    /// The worker did not list the task when polled under a newer epoch, or
    /// after the lease of an unconfirmed start had expired.
    NotListed,
    /// The worker has restarted since.
    NewIncarnation,
    /// The task's lease expired and its instance cannot be reached.
    LeaseExpired,
    /// The task's lease expired and its instance left the instance list.
    InstanceGone,
    /// The request's deadline passed at the upstream.
    RequestDeadline,
}

/// How a job ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The work ran to its end and returned a result.
    Succeeded {
        /// The complete result.
        result: Bytes,
    },
    /// The work ran and failed, or was refused after it had been accepted.
    Failed {
        /// The refusal, whose verdict says whether the work may have run.
        refusal: Refusal,
    },
    /// The caller or an operator cancelled the job.
    Cancelled,
}

/// The state of a job in the ledger.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobState {
    /// The job is accepted and has no current attempt.
    Queued {
        /// The checkpoint from which the next attempt resumes.
        resume_from: Option<Checkpoint>,
        /// The number of attempts so far.
        attempts: AttemptNumber,
    },
    /// An attempt is assigned to a worker or an upstream and may run.
    Bound {
        /// The attempt.
        attempt: AttemptNumber,
        /// Where it runs.
        place: AttemptLocation,
        /// The checkpoint from which the attempt resumes.
        resume_from: Option<Checkpoint>,
        /// Whether a cancellation waits for the attempt's end.
        cancelling: bool,
    },
    /// The job has ended.
    Done {
        /// How it ended.
        outcome: Outcome,
        /// The attempt that ended it, if any.
        attempt: Option<AttemptNumber>,
        /// When the job may be deleted from the ledger.
        forget_at: Timestamp,
    },
}
