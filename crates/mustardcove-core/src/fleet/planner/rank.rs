//! The order in which waiting steps are placed.
//!
//! When more work waits than fits, work that can still meet its SLO deadline
//! goes first. Within one priority, submissions that have started precede new
//! ones, and then those with the least time to spare go first, in order of the
//! latest start. Work that will miss the deadline is worth little and follows,
//! but stays ordered by age, so that it is not starved once the load falls.
//!
//! Long-running tasks hold their capacity indefinitely, so under load each new
//! one would take capacity from all work that ends after it. They start only
//! on capacity that such work leaves; those that ran before start again at
//! once.

use crate::{fleet::id::StepKey, time::Timestamp};

/// Work is worth nothing if, counted from when it was due, it takes longer
/// than this multiple of the time that its SLO deadline allows.
const WORTHLESS_FACTOR: u64 = 3;

/// Position of a step among the waiting ones; lower ranks go first.
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
    /// Can still meet its SLO deadline, or is long-running and ran before.
    OnTime,
    /// Will miss its SLO deadline.
    Late,
    /// Long-running and not started yet.
    NewLongRunning,
    /// So late that it is worth nothing; see [`WORTHLESS_FACTOR`].
    Worthless,
}

/// What determines the rank of a step.
#[derive(Clone, Copy, Debug)]
pub(super) struct WaitingStep {
    pub(super) key: StepKey,
    pub(super) priority: u8,
    pub(super) due_at: Timestamp,
    pub(super) slo_deadline: Timestamp,
    /// Length of the critical path that begins with this step, in
    /// milliseconds.
    pub(super) critical_path_ms: u64,
    pub(super) is_long_running: bool,
    /// Whether a waiting task may have run before.
    pub(super) may_have_run: bool,
    /// Whether no task of the submission was placed by its rank yet.
    pub(super) is_new: bool,
}

impl Rank {
    /// Returns whether this rank lets the step use reserved workers; only that
    /// of long-running work that ran before does. Best-effort work may use them
    /// whatever its rank.
    pub(super) fn may_use_reserved(&self, is_long_running: bool) -> bool {
        is_long_running && self.urgency == Urgency::OnTime
    }

    /// Returns whether the step is still worth anything.
    pub(super) fn is_worthwhile(&self) -> bool {
        self.urgency != Urgency::Worthless
    }
}

impl WaitingStep {
    /// Returns the rank of the step if it were placed at `now`.
    pub(super) fn rank(&self, now: Timestamp) -> Rank {
        let slo_ms = self.slo_deadline.ms_since(self.due_at);
        let worthless_at = self.due_at.plus_ms(slo_ms.saturating_mul(WORTHLESS_FACTOR));
        let ends_at = now.plus_ms(self.critical_path_ms);
        let urgency = if self.is_long_running && !self.may_have_run {
            Urgency::NewLongRunning
        } else if self.is_long_running || ends_at <= self.slo_deadline {
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
            latest_start: self.slo_deadline.minus_ms(self.critical_path_ms),
            key: self.key,
        }
    }
}
