//! What a leader that steps down leaves to its successor.
//!
//! A new leader does not know what runs where, since starts are not stored, so
//! work that may have run waits until every worker of its pool has listed what
//! runs there. A worker that does not answer keeps it waiting until no lease of
//! an earlier leader can be left:
//! [`MAX_ORPHAN_LEASE_MS`](super::poller::MAX_ORPHAN_LEASE_MS) after the claim.
//! With leaders that follow each other within seconds, and with workers that are
//! lost or replaced all the time, that wait begins anew with each leader and has
//! no bound.
//!
//! A leader that steps down therefore stores what it knows of each worker: what
//! may run there, by when the leases have ended if the worker does not answer,
//! and since when it has not. The successor goes on with that plan. Only tasks
//! that may run on a silent worker wait, and until the end that one leader would
//! have waited for.
//!
//! While a worker answers, its poller goes on extending leases until it hears of the
//! successor, so the leader that steps down cannot tell when they end. It names the
//! poller instead, which tells the successor once it grants nothing more for the
//! earlier term. A poller that is lost, cut off or new tells nothing.
//!
//! The record counts for the next term only, as another leader may have changed
//! the plan and extended leases: it is written on the condition that its writer
//! still leads, and is used only by the leader that has replaced exactly that
//! term. After writing it, a leader orders nothing and confirms no answer of a
//! worker, without which pollers extend no lease of one that was silent.
//!
//! # Displaced leaders
//!
//! A leader beside which another process has claimed cannot store a record any more,
//! and its plan is worthless, since the successor may have acted already. What it
//! knows of leases is not: it sends the ends of those that were granted in its term
//! or before ([`KnownLeases`]) to the successor, which uses them if its claim has
//! replaced exactly that term. There is no term between the two, so the only other
//! leases are those of the successor itself, which counts these by itself.
//!
//! *Why the ends are safe.* The sender ends its term before it determines them, and
//! neither orders nor confirms anything afterwards. What it has sent before may still
//! be on its way:
//!
//! - An extension on a silent worker needs a confirmation of an answer that came
//!   after the silence began. The sender counts a worker as silent only while it has
//!   confirmed no such answer.
//! - A start is sent to the worker no later than
//!   [`ORDER_MAX_AGE_MS`](super::poller::ORDER_MAX_AGE_MS) after the newest report
//!   that was handled before it was ordered, on the boot clock of its poller. The sender has
//!   added [`MAX_START_LEASE_MS`](super::poller::MAX_START_LEASE_MS) to the time of
//!   each order, so that a process which was stopped between the order and its sending,
//!   and goes on later, has no start carried out outside that time.
//! - An answering worker has a poller that goes on. Its end counts only with the
//!   report of exactly that poller that it grants nothing more, as for a record.
//! - A worker that was not polled in the sender's term was granted nothing in it. Its
//!   end is that of the leases of the leaders before, which the sender has waited for
//!   itself.
//! - A worker whose place another one has taken is left out: its next incarnation may
//!   be at another address.
//!
//! A worker that the successor has polled obeys no earlier term. Its clock plays no
//! part: the ends are those that the pollers have computed.
//!
//! *Late, repeated and misdirected messages.* Times are relative to the sending, so
//! a message that takes 10 s yields ends that are 10 s too late. The successor
//! takes the earliest end that it knows, so repetitions and late messages change
//! nothing, and no message makes an end later. A message of any other term than that
//! which the claim has replaced is acknowledged and ignored.
//!
//! # Records that are passed on
//!
//! A leader that ends its term before it was permitted anything has sent no order and
//! no permission to extend leases, so whatever its predecessor left still holds: no
//! lease of its own term exists, and nothing has begun. It stores that record under its
//! own term, with the times on its own clock and with the ends that pollers have told
//! since. Ends of runs that workers have listed meanwhile were neither stored nor
//! acknowledged, so the next leader finds them as it would have.
//!
//! A leader that is lost tells nothing. Its successor waits in full, which is
//! within what users accept after the loss of a process. The alternatives are
//! weighed in section 5 of `docs/platform.md`.
//!
//! Load pattern: all processes are restarted in turn, so that leaders follow each
//! other within seconds, while workers crash or are replaced.

use serde::{Deserialize, Serialize};
use strum::{Display, IntoStaticStr};

use super::{
    id::{AssignmentNumber, Incarnation, RunNumber, TaskKey, Term},
    record::{self, UnreadableRecord},
};
use crate::{
    id::{ProcessId, WorkerId},
    time::{ClockShift, Timestamp},
};

/// Largest size of an encoded record, in bytes: half of what the store accepts.
const MAX_BYTES: usize = 512 << 10;

/// What a leader has left to its successor.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum HandoverOutcome {
    /// Its record.
    Stored,
    /// The record of its predecessor, as it has ordered nothing and granted nothing.
    PassedOn,
    /// Nothing: it has ordered nothing, and an earlier leader may go on.
    MayNotOrder,
    /// Nothing: it had not restored the state of earlier leaders.
    NotRestored,
    /// Nothing: another process leads, and nothing is known that would help it.
    Superseded,
    /// What it knows of leases is being sent to its successor, which has not
    /// acknowledged it yet.
    TellingSuccessor,
    /// Nothing: the store has not accepted its record.
    NotStored,
}

/// The stored record of a leader that stepped down. Points in time are on the
/// writer's clock.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Handover {
    /// The writer's term.
    pub term: Term,
    /// When it was written, by which the reader converts the other times. The
    /// time until the reader knows of it makes them later, which only lengthens
    /// waits.
    pub written_at: Timestamp,
    /// The recorded workers.
    pub workers: Vec<WorkerHandover>,
}

/// What a leader knows of a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerHandover {
    /// The worker.
    pub worker: WorkerId,
    /// The time by which every lease there has expired that was granted in the
    /// writer's term or before.
    pub leases_expire_by: Timestamp,
    /// Since when it has not answered, in this term or those before; `None`
    /// unless it is silent.
    pub silent_since: Option<Timestamp>,
    /// What may run there; `None` if something else may run or have ended there
    /// that is not stored.
    pub plan: Option<WorkerPlan>,
    /// What polls it, if it answers. Encoded apart; see [`Handover::encode`].
    #[serde(skip)]
    pub poller: Option<LastPoller>,
}

/// The poller of a worker at the end of a term, which knows when the leases end
/// that it has granted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LastPoller {
    /// How the poller names itself.
    pub id: PollerId,
    /// The time by which all leases there have expired that others granted.
    pub other_leases_expire_by: Timestamp,
}

/// What a leader that was displaced knows of the leases on a worker. Points in time
/// are on its clock.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownLeases {
    /// The worker.
    pub worker: WorkerId,
    /// See [`WorkerHandover::leases_expire_by`].
    pub leases_expire_by: Timestamp,
    /// See [`WorkerHandover::silent_since`].
    pub silent_since: Option<Timestamp>,
    /// See [`WorkerHandover::poller`].
    pub poller: Option<LastPoller>,
}

impl KnownLeases {
    /// Converts the points in time to the receiver's clock.
    pub fn to_local(self, shift: ClockShift) -> KnownLeases {
        KnownLeases {
            leases_expire_by: shift.to_local(self.leases_expire_by),
            silent_since: self.silent_since.map(|it| shift.to_local(it)),
            poller: self.poller.map(|it| it.shifted(shift)),
            ..self
        }
    }
}

impl From<WorkerHandover> for KnownLeases {
    fn from(it: WorkerHandover) -> KnownLeases {
        let WorkerHandover { worker, leases_expire_by, silent_since, poller, .. } = it;
        KnownLeases { worker, leases_expire_by, silent_since, poller }
    }
}

impl From<KnownLeases> for WorkerHandover {
    fn from(it: KnownLeases) -> WorkerHandover {
        let KnownLeases { worker, leases_expire_by, silent_since, poller } = it;
        WorkerHandover { worker, leases_expire_by, silent_since, plan: None, poller }
    }
}

impl LastPoller {
    fn shifted(self, shift: ClockShift) -> LastPoller {
        let other_leases_expire_by = shift.to_local(self.other_leases_expire_by);
        LastPoller { other_leases_expire_by, ..self }
    }
}

/// One assignment of a worker to a process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PollerId {
    /// The term of the assignment.
    pub term: Term,
    /// The process.
    pub process: ProcessId,
    /// The number of the assignment in that term.
    pub assignment: AssignmentNumber,
}

/// Everything that may run on a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerPlan {
    /// The incarnation of the worker.
    pub incarnation: Incarnation,
    /// Whether that was listed as about to leave, so that its end is no crash.
    pub was_draining: bool,
    /// The planned runs.
    pub runs: Vec<PlannedRun>,
    /// Whether runs of submissions that have ended may go on there, which the
    /// worker still has to stop.
    pub has_stopping_runs: bool,
}

/// A run that was ordered to begin on a worker and has not ended there, as far
/// as is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlannedRun {
    /// The task.
    pub task: TaskKey,
    /// The run.
    pub run: RunNumber,
    /// Whether enough polls have listed it to show that its start crashes no
    /// worker.
    pub is_proven: bool,
}

impl Handover {
    /// Returns the workers on the clock of a leader that has replaced the one of
    /// the term `predecessor`; nothing if the record is of another term. The
    /// record was written before `known_at` on the clock of that leader: when
    /// it was told that its predecessor has stepped down, or reads the record.
    pub fn taken_over(self, predecessor: Term, known_at: Timestamp) -> Vec<WorkerHandover> {
        if self.term != predecessor {
            return Vec::new();
        }
        let shift = ClockShift::new(self.written_at, known_at);
        let to_local = |it: WorkerHandover| WorkerHandover {
            leases_expire_by: shift.to_local(it.leases_expire_by),
            silent_since: it.silent_since.map(|it| shift.to_local(it)),
            poller: it.poller.map(|it| it.shifted(shift)),
            ..it
        };
        self.workers.into_iter().map(to_local).collect()
    }

    /// Encodes the record. The pollers follow the rest, which is as builds without
    /// them wrote it.
    ///
    /// # Panics
    ///
    /// Panics if the type cannot be encoded, which is a bug in its definition.
    pub fn encode(&self) -> Vec<u8> {
        let pollers: Vec<&Option<LastPoller>> = self.workers.iter().map(|it| &it.poller).collect();
        let mut bytes = record::encode(self);
        bytes.extend(record::encode(&pollers));
        bytes
    }

    /// Decodes a record, also one of a build without pollers.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are no such record.
    pub fn decode(bytes: &[u8]) -> Result<Handover, UnreadableRecord> {
        let (mut handover, rest) = record::decode_first::<Handover>(bytes)?;
        if !rest.is_empty() {
            let pollers: Vec<Option<LastPoller>> = record::decode(rest)?;
            for (worker, poller) in handover.workers.iter_mut().zip(pollers) {
                worker.poller = poller;
            }
        }
        Ok(handover)
    }

    /// Leaves out the pollers if the record would be too large otherwise, and then
    /// the plans of workers that answer. The successor waits for longer without
    /// the former, and without the latter until these have answered it.
    pub fn limit_size(&mut self) {
        if MAX_BYTES < self.encode().len() {
            self.workers.iter_mut().for_each(|it| it.poller = None);
        }
        if MAX_BYTES < self.encode().len() {
            let answering = self.workers.iter_mut().filter(|it| it.silent_since.is_none());
            answering.for_each(|it| it.plan = None);
        }
    }
}
