//! The order in which waiting steps are placed.
//!
//! Answers the load in which more work waits than fits. Work that can still
//! meet its objective goes first, the one with the least time to spare in
//! front. Work that has missed its objective earns little and follows, but
//! stays ordered by age, so that it is not starved once the load falls.
//!
//! Tasks that last keep their room for good, so under load each new one would
//! take room from all work that ends after it. They begin only in room that
//! such work leaves; those that ran before start again at once.

use crate::{fleet::id::StepKey, time::Timestamp};

/// Objectives missed by more than this factor earn nothing.
const WORTHLESS_FACTOR: u64 = 3;

/// Position of a step among those that wait; lower ones go first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Rank {
    urgency: Urgency,
    priority: u8,
    is_new: bool,
    latest_start: Timestamp,
    key: StepKey,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Urgency {
    OnTime,
    Late,
    /// It lasts and has not begun.
    NewLasting,
    Worthless,
}

/// What decides the rank of a step.
#[derive(Clone, Copy, Debug)]
pub(super) struct Waiting {
    pub(super) key: StepKey,
    pub(super) priority: u8,
    pub(super) due_at: Timestamp,
    pub(super) objective_at: Timestamp,
    /// Work on the longest chain from this step on, in milliseconds.
    pub(super) chain_left_ms: u64,
    pub(super) is_long_running: bool,
    /// Whether a task that waits may have run before.
    pub(super) may_have_run: bool,
    /// Whether no task of the submission was placed yet.
    pub(super) is_new: bool,
}

impl Rank {
    /// Returns whether the step may take room that is kept free; only work
    /// that lasts and ran before may.
    pub(super) fn may_use_reserved(&self, is_long_running: bool) -> bool {
        is_long_running && self.urgency == Urgency::OnTime
    }

    /// Returns whether the step still earns something.
    pub(super) fn is_worthwhile(&self) -> bool {
        self.urgency != Urgency::Worthless
    }
}

impl Waiting {
    pub(super) fn rank(&self, now: Timestamp) -> Rank {
        let worthless_at =
            self.due_at.plus_ms(self.objective_at.ms_since(self.due_at) * WORTHLESS_FACTOR);
        let ends_at = now.plus_ms(self.chain_left_ms);
        let urgency = if self.is_long_running && !self.may_have_run {
            Urgency::NewLasting
        } else if self.is_long_running || ends_at <= self.objective_at {
            Urgency::OnTime
        } else if ends_at <= worthless_at {
            Urgency::Late
        } else {
            Urgency::Worthless
        };
        Rank {
            urgency,
            priority: self.priority,
            is_new: self.is_new,
            latest_start: self.objective_at.minus_ms(self.chain_left_ms),
            key: self.key,
        }
    }
}
