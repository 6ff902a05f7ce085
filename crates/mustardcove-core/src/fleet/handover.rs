//! What a leader that steps down leaves to its successor.
//!
//! Work that may have run on a worker which does not answer waits until the
//! leases there have ended. Of leases that earlier leaders granted, a new leader
//! knows only that none outlasts
//! [`MAX_ORPHAN_LEASE_MS`](super::poller::MAX_ORPHAN_LEASE_MS) after its claim.
//! That wait would begin anew with each leader, and without a bound if leaders
//! follow each other closely. A leader that steps down therefore stores by when
//! the leases on each silent worker have ended, as far as that is earlier than
//! what its successor could conclude by itself.
//!
//! The record holds for the next term only, since another leader may have
//! extended the leases: it is written on the condition that its writer still
//! leads, and counts only if its term is the one that the reader has replaced.
//! After writing it, a leader orders nothing and confirms no answer of a worker,
//! without which pollers extend no lease there. What a silent worker may still
//! hold from the terms before is part of what the writer took over itself.
//!
//! A leader that is lost leaves no record. Its successor waits in full, which is
//! within what users accept after the loss of a process. The alternatives are
//! weighed in section 5 of `docs/platform.md`.
//!
//! Load pattern: all processes are restarted in turn, so that leaders follow each
//! other within seconds, while workers crash or are replaced.

use serde::{Deserialize, Serialize};

use super::id::Term;
use crate::{
    id::WorkerId,
    time::{ClockShift, Timestamp},
};

/// The stored record of a leader that stepped down. Points in time are on the
/// writer's clock.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Handover {
    /// The writer's term.
    pub term: Term,
    /// When it was written, by which the reader converts the other times. The
    /// time until it is read makes them later, which only lengthens waits.
    pub written_at: Timestamp,
    /// The workers that did not answer.
    pub silences: Vec<Silence>,
}

/// What is known of the leases on a worker that does not answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Silence {
    /// The worker.
    pub worker: WorkerId,
    /// The time by which every lease there has expired that was granted in the
    /// writer's term or before.
    pub leases_expire_by: Timestamp,
    /// Since when it has not answered, in this term or those before; `None` if
    /// that is not known.
    pub since: Option<Timestamp>,
}

impl Handover {
    /// Returns the silences on the clock of a leader that reads the record now
    /// and has replaced the leader of the term `predecessor`; nothing if the
    /// record is of another term.
    pub fn taken_over(self, predecessor: Term, now: Timestamp) -> Vec<Silence> {
        if self.term != predecessor {
            return Vec::new();
        }
        let shift = ClockShift::new(self.written_at, now);
        let to_local = |it: Silence| Silence {
            leases_expire_by: shift.to_local(it.leases_expire_by),
            since: it.since.map(|it| shift.to_local(it)),
            ..it
        };
        self.silences.into_iter().map(to_local).collect()
    }
}
