//! Messages between the leader and the other processes.
//!
//! Timestamps are on the sender's clock. A message with timestamps also has
//! `sent_at`, by which the receiver translates them to its own clock. The
//! transit time makes them later by as much, which only lengthens waits.

use std::{net::SocketAddr, sync::Arc};

use serde::{Deserialize, Serialize};
use strum::{Display, IntoStaticStr};

use super::{
    evacuation::EvacuationList,
    explanation::{Question, Reply},
    handover::KnownLeases,
    id::{
        AssignmentNumber, BootMillis, EndNumber, Incarnation, ManifestVersion, RunNumber,
        SubmissionId, TaskKey, Term,
    },
    overload::{LoadReport, Place},
    record::ProcessRecord,
    submission::{Submission, SubmissionState},
};
use crate::{
    id::{FailureDomainId, ProcessId, RegionId, WorkerId},
    time::{ClockShift, Timestamp},
};

/// A message between the leader and another process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum FleetMessage {
    /// From the leader, at a fixed interval.
    Heartbeat(Heartbeat),
    /// From the leader: the workers that the receiver polls from now on.
    Assign {
        /// The leader's term.
        term: Term,
        /// The complete list.
        workers: Vec<WorkerContact>,
    },
    /// From the leader: calls to make to workers.
    Orders {
        /// The leader's term.
        term: Term,
        /// The newest report of the receiver that the leader has handled, by
        /// its [`FleetMessage::Report::sent_boot_ms`]: the orders rest on
        /// nothing newer.
        handled: Option<BootMillis>,
        /// As in [`Heartbeat::covered`].
        covered: Option<BootMillis>,
        /// The orders, in the order of execution.
        orders: Vec<(WorkerId, Order)>,
    },
    /// From the leader: states of submissions, to answer callers with.
    States {
        /// The leader's term.
        term: Term,
        /// States that changed.
        states: Vec<(SubmissionId, SubmissionState)>,
    },
    /// From the leader: it has stepped down. What it hands over was stored before,
    /// so the receiver may count from now.
    SteppedDown {
        /// Its term.
        term: Term,
    },
    /// From the leader: it lacks the store and asks the receiver to claim the
    /// leadership. Its term goes on until it hears of a successor.
    SuccessorWanted {
        /// Its term.
        term: Term,
    },
    /// From the leader: submissions and cancellations that are in its plan.
    Acknowledged {
        /// The submissions.
        submissions: Vec<SubmissionId>,
        /// The cancelled ones.
        cancelled: Vec<SubmissionId>,
    },
    /// To the leader: reports on workers.
    Report {
        /// The term that the reports belong to.
        term: Term,
        /// When it was sent.
        sent_at: Timestamp,
        /// The same on the sender's boot clock. Only the sender reads it, when
        /// the leader returns it.
        sent_boot_ms: BootMillis,
        /// [`Heartbeat::sent_at`] of the last heartbeat of this term that the
        /// sender received: everything that it had reported by then precedes
        /// this message.
        heartbeat_at: Option<Timestamp>,
        /// Whether the sender reached the store recently.
        reaches_store: bool,
        /// The evacuated domains, if the sender's list is newer than that of the
        /// leader's last heartbeat.
        evacuations: Option<EvacuationList>,
        /// One or several reports for each worker, in order.
        reports: Vec<ReportRow>,
        /// Places of callers that the sender told to come back, and that are not
        /// in the leader's last heartbeat.
        places: Vec<Place>,
    },
    /// To the leader: by when the leases have expired that the sender granted under
    /// an earlier leader or in assignments that have ended. It grants nothing more there.
    EarlierLeases {
        /// The leader's term.
        term: Term,
        /// The term in which it granted them.
        earlier: Term,
        /// Since when the sender knows that the leader of that term has stepped down,
        /// if it does: the record that this left is not younger.
        stepped_down_at: Option<Timestamp>,
        /// When it was sent.
        sent_at: Timestamp,
        /// The workers, each with the assignment that has ended; without a time if the
        /// sender granted no lease.
        workers: Vec<(WorkerId, AssignmentNumber, Option<Timestamp>)>,
    },
    /// To the leader, from the one whose term its claim has replaced: by when the
    /// leases have expired that were granted in that term or before. The sender orders
    /// and confirms nothing more; see [`handover`](super::handover).
    LeaderDisplaced {
        /// The sender's term.
        term: Term,
        /// When it was sent.
        sent_at: Timestamp,
        /// What the sender knows of the recorded workers.
        workers: Vec<KnownLeases>,
    },
    /// Answers [`FleetMessage::LeaderDisplaced`], so that it is not sent again.
    LeasesLearned {
        /// The term of the leader that was displaced.
        term: Term,
    },
    /// To the leader: a process that it may not know yet.
    Joined(ProcessRecord),
    /// To the leader: submissions that were stored.
    Submitted(Vec<Submitted>),
    /// To the leader: submissions whose cancellation was stored.
    Cancelled(Vec<SubmissionId>),
    /// Asks the receiver to store a change for a process that cannot reach the
    /// store.
    Store {
        /// The sender's number of the request.
        request: u64,
        /// The change to store.
        change: StoreChange,
    },
    /// Asks the leader to explain a submission.
    Explain {
        /// The sender's number of the request.
        request: u64,
        /// The question.
        question: Question,
    },
    /// Answers [`FleetMessage::Explain`].
    Explained {
        /// The number of the request.
        request: u64,
        /// The answer.
        reply: Reply,
    },
    /// Answers [`FleetMessage::Store`].
    Stored {
        /// The number of the request.
        request: u64,
        /// The outcome of the write.
        outcome: StoreOutcome,
    },
    /// Asks the receiver whether it hears a leader, before a claim.
    AskHeard {
        /// The sender's number of the vote.
        vote: u64,
        /// The term that the claim would end.
        term: Term,
    },
    /// Answers [`FleetMessage::AskHeard`]. A process that has heard of no leader of the
    /// term or a later one does not answer.
    Heard {
        /// The number of the vote.
        vote: u64,
        /// Whether the sender is connected to the leader of that term or of a later
        /// one, and heard it a moment ago.
        hears: bool,
    },
}

/// A change that a process without access to the store asks another to write.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum StoreChange {
    /// Store a submission if none has its id.
    Submit(Arc<Submission>),
    /// Store the cancellation of a submission.
    Cancel(SubmissionId),
}

/// The outcome of a write that makes a submission or cancellation durable.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum StoreOutcome {
    /// It is in the store.
    Stored,
    /// It is not in the store and will not be.
    NotStored,
    /// There is no such submission, and none is stored under its id by any write
    /// that was sent before: it was withdrawn.
    #[strum(serialize = "unknown")]
    NoSuchSubmission,
    /// It may be in the store or get there later.
    MayBeStored,
}

/// Shows the other processes that the leader is alive.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Its term.
    pub term: Term,
    /// The leader's region.
    pub region: RegionId,
    /// When it was sent, on the leader's clock, which reports return to show
    /// how old they are.
    pub sent_at: Timestamp,
    /// The newest report of the receiver that the leader had handled before it
    /// was last confirmed, by its [`FleetMessage::Report::sent_boot_ms`]. The
    /// permission to extend leases and to start work counts from it.
    pub covered: Option<BootMillis>,
    /// Time for which the receiver collects reports before it sends them, in
    /// milliseconds.
    pub report_delay_ms: u64,
    /// Whether workers must not hold polls for long, since the leader lacks the
    /// store and needs recent answers; see [`witnesses`](super::witnesses).
    pub needs_witnesses: bool,
    /// The version of the manifest that its plan uses.
    pub manifest: ManifestVersion,
    /// Waiting submissions by queue (host and prefix); `None` while the leader
    /// has not read the records of earlier leaders.
    pub pending: Option<Vec<(String, String, u32)>>,
    /// Processes that reached the store recently.
    pub reaching_store: Vec<ProcessId>,
    /// The evacuated failure domains, as far as the leader knows.
    pub evacuations: EvacuationList,
    /// The load of the pools; `None` while the leader does not know it.
    pub load: Option<LoadReport>,
    /// Places of callers that were told to come back.
    pub places: Vec<Place>,
}

/// Address of a worker, for its poller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerContact {
    /// The worker.
    pub worker: WorkerId,
    /// Its address.
    pub address: SocketAddr,
    /// Its failure domain, where the receiver starts nothing while that is
    /// evacuated.
    pub domain: FailureDomainId,
    /// The number of the assignment, under which the receiver reports on it.
    pub assignment: AssignmentNumber,
    /// The [`PollResult::responsive_since`] of the receiver's last report that
    /// the leader knows of; the receiver extends leases only while it is the
    /// current one.
    pub confirmed_since: Option<Timestamp>,
}

/// A call to a worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Order {
    /// Starts a run.
    Start(StartOrder),
    /// Stops a run, or keeps it from starting if it has not started yet.
    Stop {
        /// The task.
        task: TaskKey,
        /// The run.
        run: RunNumber,
    },
    /// Sets the pace of a task: the share of time at which it works.
    Pace {
        /// The task.
        task: TaskKey,
        /// The run.
        run: RunNumber,
        /// The pace in percent, 0 to 100.
        percent: u8,
    },
    /// Acknowledges ends, so that the worker no longer keeps them.
    AcknowledgeEnds {
        /// The incarnation that the number belongs to.
        incarnation: Incarnation,
        /// The last end whose effects are stored.
        through: EndNumber,
    },
}

/// Parameters of a start.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StartOrder {
    /// The task.
    pub task: TaskKey,
    /// The run.
    pub run: RunNumber,
    /// The task's input, passed on unchanged.
    pub payload: Arc<str>,
    /// The checkpoint to resume from.
    pub checkpoint: Option<String>,
    /// The ticket of the recommendation service.
    pub ticket: Option<String>,
}

/// A submission that a process has stored.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Submitted {
    /// The submission.
    pub submission: Arc<Submission>,
    /// Whether another leader may have received it and started it.
    pub may_have_started: bool,
}

/// A report on a worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReportRow {
    /// The worker.
    pub worker: WorkerId,
    /// The assignment under which it was made.
    pub assignment: AssignmentNumber,
    /// [`Heartbeat::sent_at`] of the last heartbeat of this term that the sender had
    /// received when it made the call; `None` if it had received none.
    pub asked_after: Option<Timestamp>,
    /// The report.
    pub report: WorkerReport,
}

/// The result of a call to a worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum WorkerReport {
    /// It answered a poll.
    Polled(PollResult),
    /// It did not answer a poll.
    PollFailed {
        /// The time by which every lease that the sender granted has expired;
        /// `None` if it granted none.
        leases_expire_by: Option<Timestamp>,
        /// Whether several polls in a row have failed.
        is_silent: bool,
    },
    /// It has seen a higher term.
    Fenced,
    /// Another worker answered at its address, so that it has ended.
    Replaced {
        /// The incarnation that answered the sender before, if any did.
        incarnation: Option<Incarnation>,
    },
    /// A start was answered or given up.
    Start {
        /// The task.
        task: TaskKey,
        /// The run.
        run: RunNumber,
        /// The outcome.
        outcome: StartOutcome,
        /// When the sender had the outcome, on its own clock. See
        /// [`PollResult::asked_at`].
        answered_at: Timestamp,
    },
    /// A change of pace was not confirmed, so that the pace is unknown.
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
        /// When the sender had the answer, on its own clock.
        answered_at: Timestamp,
    },
}

impl WorkerReport {
    /// Converts the ends of leases to the receiver's clock. Other points in time
    /// stay on the sender's clock, since they are only compared with each other.
    pub fn to_local(mut self, shift: ClockShift) -> WorkerReport {
        match &mut self {
            WorkerReport::Polled(it) => {
                it.leases_expire_by = shift.to_local(it.leases_expire_by);
            }
            WorkerReport::PollFailed { leases_expire_by, .. } => {
                *leases_expire_by = leases_expire_by.map(|it| shift.to_local(it));
            }
            WorkerReport::Fenced
            | WorkerReport::Replaced { .. }
            | WorkerReport::PaceUnconfirmed { .. }
            | WorkerReport::Start { .. }
            | WorkerReport::Stop { .. } => {}
        }
        self
    }
}

/// A worker's answer to a poll.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PollResult {
    /// The worker's incarnation.
    pub incarnation: Incarnation,
    /// The time by which every run there has ended unless the worker answers
    /// again.
    pub leases_expire_by: Timestamp,
    /// Since when the worker has answered the sender without a silence. It
    /// stays on the sender's clock, since it only comes back in
    /// [`WorkerContact::confirmed_since`].
    pub responsive_since: Timestamp,
    /// When the sender asked for this answer. The lists are of that time or
    /// later: a process that was paused may report them long afterwards. It
    /// stays on the sender's clock, since it is only compared with the times at
    /// which calls of the same sender were answered.
    pub asked_at: Timestamp,
    /// The runs in progress.
    pub running: Vec<RunningTask>,
    /// Ends that are not acknowledged yet, in order.
    pub ended: Vec<EndedRun>,
    /// Whether later ends may be missing from `ended`, which workers cut off
    /// at a number of rows. A run that is in neither list may have ended then.
    pub may_lack_ends: bool,
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
    /// Percentage of its work that is done; for long-running tasks, 100 means
    /// that it works.
    pub percent: u8,
    /// Tail latency in milliseconds of a latency-critical task, or the
    /// millicores that any other task uses, over the last half second.
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
    pub kind: EndKind,
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
    /// It was ordered to stop.
    Stopped,
    /// Its lease expired.
    LeaseExpired,
    /// Another member of its gang ended.
    GangBroken,
    /// The other members of its gang did not start in time.
    GangIncomplete,
    /// Its row names no task of ours, so that only its number means anything.
    Foreign,
}

/// The outcome of a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum StartOutcome {
    /// The run is on the worker.
    Started,
    /// The worker has seen a higher term.
    Fenced,
    /// A run with at least this number was stopped or ended there.
    Superseded,
    /// The order arrived after the end of its lease.
    TooLate,
    /// The worker lacks capacity.
    NoRoom,
    /// The ticket was missing or invalid.
    NoTicket,
    /// The worker did nothing, because it is unhealthy or not the intended
    /// worker.
    NotRun,
    /// The worker rejects this task as described.
    Invalid,
    /// It is not known whether the run started.
    MayHaveRun,
    /// It was not sent, because the incarnation for which it was meant has ended.
    Restarted,
    /// It was not sent, because the worker's failure domain is evacuated.
    Evacuated,
}

impl StartOutcome {
    /// Returns whether the run may have begun.
    pub fn may_have_run(self) -> bool {
        match self {
            StartOutcome::Started | StartOutcome::Superseded | StartOutcome::MayHaveRun => true,
            StartOutcome::Fenced
            | StartOutcome::TooLate
            | StartOutcome::NoRoom
            | StartOutcome::NoTicket
            | StartOutcome::NotRun
            | StartOutcome::Invalid
            | StartOutcome::Restarted
            | StartOutcome::Evacuated => false,
        }
    }

    /// Returns the outcome of a start whose first attempt got no answer, given
    /// that of the second.
    ///
    /// The first may still be carried out. A refusal that depends on the
    /// worker's state does not rule that out: the worker may have capacity when
    /// the first attempt reaches it.
    pub fn after_unanswered(second: StartOutcome) -> StartOutcome {
        match second {
            StartOutcome::Started | StartOutcome::Fenced | StartOutcome::Superseded => second,
            StartOutcome::TooLate
            | StartOutcome::NoRoom
            | StartOutcome::NoTicket
            | StartOutcome::NotRun
            | StartOutcome::Invalid
            | StartOutcome::Restarted
            | StartOutcome::Evacuated
            | StartOutcome::MayHaveRun => StartOutcome::MayHaveRun,
        }
    }
}
