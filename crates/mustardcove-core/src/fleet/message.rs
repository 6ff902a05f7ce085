//! Messages between the leader and the other processes.
//!
//! Points in time are on the sender's clock. A message that holds any also
//! holds `sent_at`, by which the receiver moves them to its own clock; the
//! time under way makes them later by as much, which only lengthens waits.

use std::{net::SocketAddr, sync::Arc};

use serde::{Deserialize, Serialize};
use strum::{Display, IntoStaticStr};

use super::{
    id::{EndNumber, Incarnation, ManifestVersion, RunNumber, SubmissionId, TaskKey, Term},
    record::ProcessRecord,
    submission::{Submission, SubmissionState},
};
use crate::{
    id::{ProcessId, WorkerId},
    time::Timestamp,
};

/// A message between the leader and another process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum FleetMessage {
    /// From the leader, at a fixed interval.
    Heartbeat(Heartbeat),
    /// From the leader: the workers that the receiver calls from now on.
    Assign {
        /// The leader's term.
        term: Term,
        /// All of them.
        workers: Vec<WorkerContact>,
    },
    /// From the leader: calls to make.
    Orders {
        /// The leader's term.
        term: Term,
        /// The orders, in order.
        orders: Vec<(WorkerId, Order)>,
    },
    /// From the leader: states of submissions for callers' questions.
    States {
        /// The leader's term.
        term: Term,
        /// States that changed.
        states: Vec<(SubmissionId, SubmissionState)>,
    },
    /// From the leader: it gives its role back.
    SteppedDown {
        /// Its term.
        term: Term,
    },
    /// From the leader: submissions and cancellations that it has taken over.
    Acknowledged {
        /// The submissions.
        submissions: Vec<SubmissionId>,
        /// The cancelled ones.
        cancelled: Vec<SubmissionId>,
    },
    /// To the leader: what workers said.
    Report {
        /// The term that the reports belong to.
        term: Term,
        /// When it was sent.
        sent_at: Timestamp,
        /// Whether the sender reached the store lately.
        reaches_store: bool,
        /// One or several reports for each worker, in order.
        reports: Vec<(WorkerId, WorkerReport)>,
    },
    /// To the leader: a process that it may not know yet.
    Joined(ProcessRecord),
    /// To the leader: submissions that are in the store.
    Submitted(Vec<Submitted>),
    /// To the leader: submissions whose cancellation is in the store.
    Cancelled(Vec<SubmissionId>),
    /// Asks the receiver to store a submission for a process that cannot reach
    /// the store.
    Store {
        /// The sender's number of the request.
        request: u64,
        /// What to store.
        change: StoreChange,
    },
    /// Answers [`FleetMessage::Store`].
    Stored {
        /// The number of the request.
        request: u64,
        /// What became of it.
        outcome: StoreOutcome,
    },
}

/// What a process without the store asks another to write.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum StoreChange {
    /// Store a submission if none has its id.
    Submit(Arc<Submission>),
    /// Store the cancellation of a submission.
    Cancel(SubmissionId),
}

/// What became of a write that makes a submission or cancellation durable.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum StoreOutcome {
    /// It is in the store.
    Stored,
    /// It is not and will not be.
    NotStored,
    /// There is no such submission.
    Unknown,
    /// It may be or become so.
    MayBeStored,
}

/// Says that a leader is alive.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Its term.
    pub term: Term,
    /// The version of the manifest that it plans by.
    pub manifest: ManifestVersion,
    /// Whether the receiver may lengthen leases at workers.
    pub may_extend: bool,
    /// Waiting submissions by queue (host and prefix); `None` while the leader
    /// has not read what earlier ones left.
    pub pending: Option<Vec<(String, String, u32)>>,
    /// Processes that reached the store lately.
    pub reaching_store: Vec<ProcessId>,
}

/// How to reach a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerContact {
    /// The worker.
    pub worker: WorkerId,
    /// Its address.
    pub address: SocketAddr,
    /// The [`PollResult::responsive_since`] of the receiver's last report that the
    /// leader knows of; the receiver lengthens leases only while it holds.
    pub confirmed: Option<Timestamp>,
}

/// A call to a worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Order {
    /// Starts a run.
    Start(StartOrder),
    /// Stops a run, and keeps it from starting if it has not.
    Stop {
        /// The task.
        task: TaskKey,
        /// The run.
        run: RunNumber,
    },
    /// Sets the share of time at which a task works.
    Pace {
        /// The task.
        task: TaskKey,
        /// The run.
        run: RunNumber,
        /// Percent, 0 to 100.
        percent: u8,
    },
    /// Lets the worker forget ends.
    AcknowledgeEnds {
        /// The life that the number belongs to.
        incarnation: Incarnation,
        /// The last end that is safely known.
        through: EndNumber,
    },
}

/// What a start needs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StartOrder {
    /// The task.
    pub task: TaskKey,
    /// The run.
    pub run: RunNumber,
    /// What the task is told.
    pub payload: Arc<str>,
    /// Where it resumes.
    pub checkpoint: Option<String>,
    /// The permission of the recommendation service.
    pub ticket: Option<String>,
}

/// A submission that a process has put into the store.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Submitted {
    /// The submission.
    pub submission: Arc<Submission>,
    /// Whether another leader may have been told of it and have started it.
    pub may_have_started: bool,
}

/// What a worker said, or that it said nothing.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum WorkerReport {
    /// It listed its runs.
    Polled(PollResult),
    /// It did not answer a look.
    PollFailed {
        /// When every lease that the sender granted has ended; `None` if it
        /// granted none.
        leases_expire_by: Option<Timestamp>,
        /// Whether it has not answered for several looks.
        is_silent: bool,
    },
    /// It has seen a higher term.
    Fenced,
    /// A start was answered or given up.
    Start {
        /// The task.
        task: TaskKey,
        /// The run.
        run: RunNumber,
        /// The answer.
        outcome: StartOutcome,
    },
    /// A change of pace was not confirmed, so that the pace is not known.
    PaceUnconfirmed {
        /// The task.
        task: TaskKey,
        /// The run.
        run: RunNumber,
    },
    /// A stop was answered or given up.
    Stop {
        /// The task.
        task: TaskKey,
        /// The run.
        run: RunNumber,
        /// Whether the worker confirmed it.
        is_confirmed: bool,
    },
}

/// The lists of a worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PollResult {
    /// The worker's life.
    pub incarnation: Incarnation,
    /// When everything that runs there has ended unless it answers again.
    pub leases_expire_by: Timestamp,
    /// Since when the worker has answered the sender without being silent. It
    /// stays on the sender's clock, since it only comes back in
    /// [`WorkerContact::confirmed`].
    pub responsive_since: Timestamp,
    /// What runs.
    pub running: Vec<RunningTask>,
    /// Ends that were not forgotten, in order.
    pub ended: Vec<EndedRun>,
}

/// A run that a worker lists.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RunningTask {
    /// The task.
    pub task: TaskKey,
    /// The run.
    pub run: RunNumber,
    /// The newest checkpoint.
    pub checkpoint: Option<String>,
    /// How much of its work is done; for tasks that last, 100 means at work.
    pub percent: u8,
    /// For a task that serves users, its tail latency in milliseconds; for any
    /// other, the millicores that it uses. Of the last half second.
    pub measurement: u32,
}

/// An end that a worker lists.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndedRun {
    /// Its number.
    pub number: EndNumber,
    /// The task.
    pub task: TaskKey,
    /// The run.
    pub run: RunNumber,
    /// How it ended.
    pub how: EndKind,
    /// The last checkpoint.
    pub checkpoint: Option<String>,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum EndKind {
    /// The task is done.
    Done,
    /// It failed, through its own fault or the worker's.
    Failed,
    /// It was told to stop.
    Stopped,
    /// Its lease ran out.
    LeaseExpired,
    /// Another member of its gang ended.
    GangBroken,
    /// The other members of its gang did not come in time.
    GangIncomplete,
}

/// How a start was answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum StartOutcome {
    /// The run is there.
    Started,
    /// The worker has seen a higher term.
    Fenced,
    /// A run at least as high was stopped or ended there.
    Superseded,
    /// The order came after the end of its lease.
    TooLate,
    /// The worker has no room.
    NoRoom,
    /// The ticket was missing or not valid.
    NoTicket,
    /// The worker did nothing, because it is not healthy or not the one meant.
    NotRun,
    /// The worker will not run this task as described.
    Invalid,
    /// It is not known whether the run started.
    MayHaveRun,
}
