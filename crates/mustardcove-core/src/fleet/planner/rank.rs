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
//!
//! # Under overload
//!
//! A burst of 2.5 times the usual rate for 6 s leaves a backlog that lasts for
//! longer than most deadlines. With the order above, a new submission can still
//! be on time, so it goes before those that have begun and are late by little,
//! until it is late itself. Nearly all end late then, and the largest never.
//! While a pool has less room than work of a kind ([`Overload`]), these rules
//! apply to that kind in addition:
//!
//! - Within a priority, submissions that have begun go before new ones while
//!   they are worth anything: those on time first, then late ones. The room
//!   that they have used is lost otherwise, and what they still need is worth
//!   more for each core-second than a new submission is.
//! - A new submission counts as on time only if the work ahead of it leaves room
//!   in time, by the forecast. So only as many begin as the room finishes in
//!   time, and those beyond are given up early instead of all being late.
//! - Late work goes by the work that remains, least first, since each late
//!   submission is worth little whatever its size. The remaining work counts
//!   less the nearer the time at which the submission becomes worthless. A share
//!   of the room goes to the first of the late ones that are new, so that neither
//!   the large nor the old ones starve.
//!
//! See `docs/design/overload.md`.

use strum::IntoStaticStr;

use crate::{
    fleet::{id::StepKey, submission::WORTHLESS_FACTOR},
    time::Timestamp,
};

/// Position of a step among the waiting ones; lower ranks go first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Rank {
    urgency: Urgency,
    priority: u8,
    is_new: bool,
    /// Under overload, the order before the latest start; 0 otherwise.
    aged_work: u64,
    latest_start: Timestamp,
    key: StepKey,
}

/// What the order depends on in addition while work finds less room than it
/// needs, as of the last measurement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Overload {
    /// The work that remains of the submission, in millicore-milliseconds.
    pub(super) remaining_work: u64,
    /// Time until the work ahead of a new submission leaves room for it, in
    /// milliseconds.
    pub(super) wait_ms: u64,
    /// Time from the begin of a submission to its end, in percent of its critical
    /// path.
    pub(super) stretch_percent: u64,
    /// Whether a new submission that is late may begin before those that can be on
    /// time.
    pub(super) has_turn: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
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
    /// Set while there is less room than work of the step's kind.
    pub(super) overload: Option<Overload>,
}

impl Rank {
    /// Returns whether this rank lets the step use reserved workers; only that
    /// of long-running work that ran before does. Best-effort work may use them
    /// whatever its rank.
    pub(super) fn may_use_reserved(&self, is_long_running: bool) -> bool {
        is_long_running && self.urgency == Urgency::OnTime
    }

    /// Returns whether it goes before all late work that is new.
    pub(super) fn is_on_time(&self) -> bool {
        self.urgency == Urgency::OnTime
    }

    /// Returns the name of its class, for operators.
    pub(super) fn class(&self) -> &'static str {
        self.urgency.into()
    }

    /// Returns whether the step is still worth anything.
    pub(super) fn is_worthwhile(&self) -> bool {
        self.urgency != Urgency::Worthless
    }
}

impl WaitingStep {
    /// Returns the rank of the step if it were placed at `now`.
    pub(super) fn rank(&self, now: Timestamp) -> Rank {
        let urgency = self.urgency(now);
        let rank = Rank {
            urgency,
            priority: self.priority,
            is_new: self.is_new,
            aged_work: 0,
            latest_start: self.slo_deadline.minus_ms(self.critical_path_ms),
            key: self.key,
        };
        let Some(overload) = self.overload.filter(|_| !self.is_long_running) else { return rank };
        let aged_work = self.aged_work(overload, now);
        match (urgency, self.is_new) {
            (Urgency::OnTime, false) | (Urgency::Worthless, _) | (Urgency::NewLongRunning, _) => {
                rank
            }
            (Urgency::Late, false) => {
                Rank { urgency: Urgency::OnTime, aged_work: aged_work.max(1), ..rank }
            }
            (Urgency::OnTime | Urgency::Late, true) if overload.has_turn => {
                Rank { urgency: Urgency::OnTime, ..rank }
            }
            (Urgency::OnTime, true) if self.has_room_in_time(overload, now) => {
                Rank { aged_work: 1, ..rank }
            }
            (Urgency::OnTime | Urgency::Late, true) => {
                Rank { urgency: Urgency::Late, aged_work, ..rank }
            }
        }
    }

    /// Returns whether a new submission can be on time behind the work ahead of it.
    fn has_room_in_time(&self, overload: Overload, now: Timestamp) -> bool {
        let path_ms = self.critical_path_ms.saturating_mul(overload.stretch_percent) / 100;
        now.plus_ms(overload.wait_ms).plus_ms(path_ms) <= self.slo_deadline
    }

    fn urgency(&self, now: Timestamp) -> Urgency {
        let ends_at = now.plus_ms(self.critical_path_ms);
        if self.is_long_running && !self.may_have_run {
            Urgency::NewLongRunning
        } else if self.is_long_running || ends_at <= self.slo_deadline {
            Urgency::OnTime
        } else if ends_at <= self.worthless_at() {
            Urgency::Late
        } else {
            Urgency::Worthless
        }
    }

    /// Returns the time from which its end is worth nothing.
    fn worthless_at(&self) -> Timestamp {
        let slo_ms = self.slo_deadline.ms_since(self.due_at);
        self.due_at.plus_ms(slo_ms.saturating_mul(WORTHLESS_FACTOR))
    }

    /// Returns the remaining work times the share that is left of the time
    /// between being late and being worthless.
    fn aged_work(&self, overload: Overload, now: Timestamp) -> u64 {
        let worthless_at = self.worthless_at();
        let late_ms = worthless_at.ms_since(self.slo_deadline).max(1);
        let left_ms = worthless_at.ms_since(now.plus_ms(self.critical_path_ms)).min(late_ms);
        // Fits, as the share is at most 1.
        (u128::from(overload.remaining_work) * u128::from(left_ms) / u128::from(late_ms)) as u64
    }
}
