//! Messages between the system's processes.
//!
//! The peer transport of `mustardcove-runtime` encodes these types. Every
//! request carries an identifier that its sender chose, and every answer
//! repeats it, so that answers are matched by identifier and never by order.

use std::sync::Arc;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{
    agreement::Agreement,
    fleet::message::FleetMessage,
    id::{
        ClassId, Epoch, GroupId, IdempotencyKey, JobId, MemberId, ProcessId, RequestId, Revision,
        ShardId, TaskId, WorkerId,
    },
    job::{Checkpoint, EndEvidence, JobSpec, JobState, Outcome},
    size::Resources,
    time::Timestamp,
    verdict::Refusal,
    worker::StopMode,
};

/// A request of an entry process to the owner of a shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ShardRequest {
    /// Submits a job that runs as a task on a worker.
    Submit {
        /// What was submitted.
        spec: JobSpec,
    },
    /// Submits a service request that must not be repeated freely, and binds an
    /// attempt to an upstream.
    Admit {
        /// What was submitted.
        spec: JobSpec,
        /// The upstream that the entry chose.
        upstream: WorkerId,
        /// When the upstream stops working on the request.
        deadline: Timestamp,
    },
    /// Stores the outcome of a service request.
    Complete {
        /// The request.
        task: TaskId,
        /// What the upstream answered, or why the attempt failed.
        outcome: Outcome,
    },
    /// Asks for the state of a job.
    Query {
        /// The job.
        job: JobId,
        /// Until when the answer may be delayed if the job has not ended; at once
        /// if none.
        wait_until: Option<Timestamp>,
        /// The member that asks; none for operators, who see every job.
        member: Option<MemberId>,
    },
    /// Cancels a job.
    Cancel {
        /// The job.
        job: JobId,
        /// The member that asks; none for operators, who may cancel every job.
        member: Option<MemberId>,
    },
    /// Lists jobs of the shard in identifier order.
    List {
        /// The member whose jobs are listed; none for operators, who see all.
        member: Option<MemberId>,
        /// The job after which the list begins.
        start_after: Option<JobId>,
        /// The most jobs in the answer.
        limit: u32,
        /// Whether finished jobs are listed too.
        include_done: bool,
    },
}

/// A job as shown to callers and operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobStatus {
    /// The job.
    pub job: JobId,
    /// The member on whose behalf it runs.
    pub member: MemberId,
    /// Its idempotency key.
    pub key: IdempotencyKey,
    /// Its class.
    pub class: ClassId,
    /// When it was accepted.
    pub accepted_at: Timestamp,
    /// Its state.
    pub state: JobState,
    /// Why it is in this state, as text.
    pub reason: String,
}

/// An answer of a shard owner to an entry process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ShardResponse {
    /// The job is durable.
    Accepted {
        /// The job.
        status: JobStatus,
        /// Whether the key had been used before with the same body.
        repeated: bool,
    },
    /// The request may be sent to the upstream under this attempt.
    Admitted {
        /// The attempt.
        task: TaskId,
    },
    /// The outcome is durable.
    Completed,
    /// The state of a job.
    Status {
        /// The job.
        status: JobStatus,
    },
    /// Jobs in identifier order.
    Jobs {
        /// The jobs.
        jobs: Vec<JobStatus>,
        /// Whether more follow.
        more: bool,
    },
    /// The request was refused.
    Refused(Refusal),
    /// The receiver does not own the shard.
    NotOwner {
        /// The process that the receiver believes to be the owner.
        hint: Option<ProcessId>,
    },
}

/// A request for capacity for one attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReserveRequest {
    /// The attempt for which capacity is wanted.
    pub task: TaskId,
    /// The member on whose behalf it runs.
    pub member: MemberId,
    /// Its class.
    pub class: ClassId,
    /// What it needs, as declared.
    pub resources: Resources,
    /// Run time as declared, in milliseconds.
    pub expected_run_ms: u64,
    /// Whether it starts before other work and may evict it.
    pub urgent: bool,
    /// Workers on which earlier attempts failed.
    pub avoid_workers: Vec<WorkerId>,
    /// Number of different workers on which attempts of this job failed.
    pub failed_attempts: u32,
    /// When the job began to wait for capacity.
    pub queued_since: Timestamp,
}

/// A message of a shard owner to a group owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ShardToGroup {
    /// Requests capacity.
    Reserve(ReserveRequest),
    /// Releases a reservation that will not be used.
    Release {
        /// The attempt.
        task: TaskId,
    },
    /// Starts an attempt that is durably bound.
    Start {
        /// The attempt.
        task: TaskId,
        /// The worker it is bound to.
        worker: WorkerId,
        /// The epoch under which capacity was reserved.
        epoch: Epoch,
        /// The submission.
        spec: JobSpec,
        /// The checkpoint from which to resume, if any.
        resume_from: Option<Checkpoint>,
    },
    /// Stops an attempt.
    Stop {
        /// The attempt.
        task: TaskId,
        /// The worker it is bound to.
        worker: WorkerId,
        /// How to stop it.
        mode: StopMode,
    },
    /// Confirms that the end of an attempt is durable and need not be reported
    /// again.
    Acknowledge {
        /// The attempt.
        task: TaskId,
    },
    /// Lists every attempt that the shard has bound in this group, after a
    /// change of owner on either side.
    Reconcile {
        /// The attempts with their workers and submissions.
        bound: Vec<BoundTask>,
    },
}

/// An attempt that a shard has bound to a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BoundTask {
    /// The attempt.
    pub task: TaskId,
    /// The worker it is bound to.
    pub worker: WorkerId,
    /// The epoch under which capacity was reserved.
    pub epoch: Epoch,
    /// The submission, so that the group can start an attempt whose start was
    /// never sent.
    pub spec: JobSpec,
    /// The checkpoint from which to resume, if any.
    pub resume_from: Option<Checkpoint>,
    /// Whether the attempt is being cancelled and must be stopped.
    pub cancelling: bool,
}

/// Why a reservation was refused.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    Serialize,
    Deserialize,
    strum::Display,
    strum::EnumString,
    strum::IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum ReserveRefusal {
    /// No worker of the group has enough free capacity.
    NoRoom,
    /// No worker of the group is large enough for the task.
    NeverFits,
    /// The member's allotment in this group is used up.
    OverAllotment,
    /// The group has no valid claim, or does not yet know its workers.
    NotReady,
}

/// A message of a group owner to a shard owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum GroupToShard {
    /// Capacity is reserved for the attempt until the deadline.
    Reserved {
        /// The attempt.
        task: TaskId,
        /// The worker.
        worker: WorkerId,
        /// The epoch of the group's claim.
        epoch: Epoch,
        /// When the reservation expires unless the attempt was started.
        deadline: Timestamp,
    },
    /// No capacity is reserved.
    ReserveRefused {
        /// The attempt.
        task: TaskId,
        /// Why.
        reason: ReserveRefusal,
        /// When a retry may succeed.
        retry_at: Timestamp,
    },
    /// The worker confirmed the start.
    Started {
        /// The attempt.
        task: TaskId,
    },
    /// The attempt saved a checkpoint and continues.
    Checkpointed {
        /// The attempt.
        task: TaskId,
        /// The checkpoint.
        checkpoint: Checkpoint,
    },
    /// The attempt ended by itself; repeated until acknowledged.
    Finished {
        /// The attempt.
        task: TaskId,
        /// How it ended.
        outcome: Outcome,
    },
    /// The attempt was stopped and can be resumed; repeated until acknowledged.
    Evicted {
        /// The attempt.
        task: TaskId,
        /// The checkpoint from which to resume, if any.
        checkpoint: Option<Checkpoint>,
    },
    /// The attempt has ended without a result; repeated until acknowledged.
    Lost {
        /// The attempt.
        task: TaskId,
        /// The evidence that it has ended.
        evidence: EndEvidence,
    },
    /// A worker of the group runs an attempt that the group's owner did not
    /// start; the shard answers with `Reconcile`, `Stop` or not at all.
    Unclaimed {
        /// The attempt.
        task: TaskId,
        /// The worker.
        worker: WorkerId,
    },
    /// The group has a new owner, or its owner has a new connection; the shard
    /// answers with `Reconcile`.
    OwnerChanged {
        /// The epoch of the owner's claim.
        epoch: Epoch,
    },
}

/// Free capacity of a group, sent to every scheduler process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupSummary {
    /// The group.
    pub group: GroupId,
    /// The epoch of its claim.
    pub epoch: Epoch,
    /// When the summary was made.
    pub made_at: Timestamp,
    /// Free capacity of the whole group.
    pub free: Resources,
    /// The largest free capacity on one worker, per dimension.
    pub largest_free: Resources,
    /// The largest capacity of one worker, per dimension, free or not.
    pub largest_worker: Resources,
    /// Workers that accept work.
    pub workers: u32,
}

/// A message between processes of a deployment.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PeerMessage {
    /// A request to the owner of a shard.
    Request {
        /// The shard.
        shard: ShardId,
        /// The identifier that the sender chose.
        request: RequestId,
        /// The request.
        body: ShardRequest,
    },
    /// The answer to a request.
    Response {
        /// The identifier that the requester chose.
        request: RequestId,
        /// The answer.
        body: ShardResponse,
    },
    /// A message of a shard owner to a group owner.
    ToGroup {
        /// The sending shard.
        shard: ShardId,
        /// The group.
        group: GroupId,
        /// The message.
        body: ShardToGroup,
    },
    /// A message of a group owner to a shard owner.
    ToShard {
        /// The sending group.
        group: GroupId,
        /// The shard.
        shard: ShardId,
        /// The message.
        body: GroupToShard,
    },
    /// Asks the owner of a shard for a handover; sent by the process that ranks
    /// first for the shard.
    ShardHandoverRequest {
        /// The shard.
        shard: ShardId,
    },
    /// The sender does not own the shard, or no longer does.
    ShardReleased {
        /// The shard.
        shard: ShardId,
    },
    /// The free capacity of a group.
    Summary(GroupSummary),
    /// A revision of the agreement, from the relay of a failure domain.
    Configuration(Arc<Agreement>),
    /// The slowdowns that a group learned, in the encoding of `interference`.
    Interference {
        /// The group that learned them.
        group: GroupId,
        /// The encoded table.
        table: Bytes,
    },
    /// Asks a process for the revision that it has in force.
    RevisionRequest {
        /// The identifier that the sender chose.
        request: RequestId,
    },
    /// Between the leader of a fleet and the other processes.
    Fleet(Box<FleetMessage>),
    /// Answers with the revision that a process has in force.
    RevisionResponse {
        /// The identifier that the requester chose.
        request: RequestId,
        /// The revision.
        revision: Revision,
    },
}
