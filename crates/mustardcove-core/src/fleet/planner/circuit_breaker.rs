//! Suspends workers whose runs fail or stall.
//!
//! A task has few attempts, so a worker that fails everything must be detected
//! before it has used up the attempts of many tasks. Two consecutive failures
//! or stalls suspend it for a time that doubles with each further suspension.
//! Afterwards it is on probation: it gets one run after the other, with a
//! pause, until one of them is done or none has failed for a while. Runs that
//! it has already are left alone: long-running tasks may be healthy where
//! others fail.
//!
//! A worker that fails by turns would be trusted anew in each of its sound
//! turns. So its suspensions go on doubling unless it has failed nothing for a
//! while, and tasks that have one attempt left are placed elsewhere, if there is
//! room, for as long.
//!
//! A failure may also be the task's own fault, and a single failure does not
//! tell which. The share of workers that are suspended or on probation is
//! therefore bounded, for each pool and each kind of workers in it: submissions that can
//! never be done would otherwise suspend every worker, and none would be left
//! on which a run could be done. Work that fits only on suspended workers may
//! use them after a while, as long as most of the pool is free; long-running
//! tasks may do so however full it is, as their attempts are not limited.

use crate::time::Timestamp;

/// Consecutive failures that suspend a worker: a single one may be the task's
/// own fault.
const FAILURE_THRESHOLD: u32 = 2;
/// Duration of the first suspension, in milliseconds; shorter than the faults
/// that the platform describes, so that the worker is probed before they end.
const FIRST_SUSPENSION_MS: u64 = 2_000;
/// Most workers of a group that may be suspended or on probation at once, or judged
/// slow, in percent, though always one of them.
const MAX_RESTRICTED_PERCENT: usize = 50;
/// Longest suspension, in milliseconds.
const MAX_SUSPENSION_MS: u64 = 8_000;

/// Pause between two runs on probation, in milliseconds: a failing worker
/// fails a run well within it.
const PROBE_INTERVAL_MS: u64 = 1_000;
/// Time without a failure after which probation ends, in milliseconds: several
/// probes.
const PROBATION_MS: u64 = 6_000;

/// Time without a failure after which a worker is trusted like any other, in
/// milliseconds: longer than the longest suspension and the probation after it.
const DOUBT_MS: u64 = 15_000;
/// Age of the last run that was done from which a worker may have begun to fail
/// since, in milliseconds: the time in which a failure elsewhere is heard of.
const RECENT_SUCCESS_MS: u64 = 1_000;

/// The recent failures of a worker and its suspension.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct CircuitBreaker {
    failures: u32,
    suspensions: u32,
    suspended_until: Timestamp,
    probed_at: Timestamp,
    /// Whether a run was done since the last suspension, which ends the
    /// probation.
    is_recovered: bool,
    failed_at: Option<Timestamp>,
    done_at: Option<Timestamp>,
}

impl CircuitBreaker {
    /// Records a run that was done.
    pub(super) fn record_success(&mut self, now: Timestamp) {
        let suspensions = if self.is_doubtful(now) { self.suspensions } else { 0 };
        let is_recovered = 0 < suspensions;
        let (failed_at, done_at) = (self.failed_at, Some(now));
        *self = CircuitBreaker {
            suspensions,
            is_recovered,
            failed_at,
            done_at,
            ..CircuitBreaker::default()
        };
    }

    /// Returns whether the worker has failed a run lately.
    pub(super) fn is_doubtful(&self, now: Timestamp) -> bool {
        self.failed_at.is_some_and(|it| now.ms_since(it) < DOUBT_MS)
    }

    /// Returns whether a run was done there a moment ago.
    pub(super) fn has_succeeded_recently(&self, now: Timestamp) -> bool {
        self.done_at.is_some_and(|it| now.ms_since(it) < RECENT_SUCCESS_MS)
    }

    /// Records a run that failed or stalled. Returns whether this suspends the
    /// worker; without `may_suspend`, it does not.
    pub(super) fn record_failure(&mut self, may_suspend: bool, now: Timestamp) -> bool {
        self.failures += 1;
        self.failed_at = Some(now);
        if self.failures < FAILURE_THRESHOLD || now < self.suspended_until || !may_suspend {
            return false;
        }
        let ms = FIRST_SUSPENSION_MS << self.suspensions.min(8);
        self.suspended_until = now.plus_ms(ms.min(MAX_SUSPENSION_MS));
        self.suspensions += 1;
        self.is_recovered = false;
        // A single failure suspends it again.
        self.failures = FAILURE_THRESHOLD - 1;
        true
    }

    /// Records that a run was started.
    pub(super) fn record_start(&mut self, now: Timestamp) {
        self.probed_at = now;
    }

    /// Returns whether the worker is suspended or on probation.
    pub(super) fn is_restricted(&self, now: Timestamp) -> bool {
        0 < self.suspensions
            && !self.is_recovered
            && now.ms_since(self.suspended_until) < PROBATION_MS
    }

    /// Returns whether the worker may be given a run.
    pub(super) fn may_start(&self, now: Timestamp) -> bool {
        self.suspended_until <= now
            && (!self.is_restricted(now) || PROBE_INTERVAL_MS <= now.ms_since(self.probed_at))
    }
}

/// Returns whether one more worker of a group may be given less work than the
/// others, of which `restricted` are: suspended or on probation, or judged slow.
pub(super) fn may_restrict(restricted: usize, workers: usize) -> bool {
    let most = (workers * MAX_RESTRICTED_PERCENT / 100).max(1);
    restricted < most
}
