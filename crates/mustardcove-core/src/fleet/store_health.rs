//! Whether the store is away, as seen from one process.
//!
//! Load pattern: callers keep submitting while the store does not answer. A
//! write that is sent then has an unknown outcome, so its caller can neither be
//! told that the submission is stored nor that it never runs, and may not send
//! it again elsewhere. A caller whose submission was not written can be
//! rejected at once, truthfully, with a time to come back.
//!
//! Every process has a watch of the manifest open, which is answered about
//! once a second. Two failures in a row without an answer for a little longer
//! therefore show that the store is away; a single one may be a lost answer.
//! The first answer ends that, without probes of its own.

use crate::time::Timestamp;

/// Time without an answer after which the store counts as away if a call has
/// failed, in milliseconds: longer than the time between two answers to the
/// watch of the manifest.
const AWAY_AFTER_MS: u64 = 1_300;
/// Number of failed calls in a row from which on the store may be away.
const AWAY_AFTER_FAILURES: u32 = 2;
/// Time without an answer after which the store does not count as reached, in
/// milliseconds: longer than one call with its timeout.
const UNREACHED_AFTER_MS: u64 = 2_200;

/// What the calls of one process show of the store.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreHealth {
    answered_at: Option<Timestamp>,
    /// Number of calls that have failed since the last answer.
    failures: u32,
}

impl StoreHealth {
    /// Records that the store carried out a call.
    pub fn record_answer(&mut self, now: Timestamp) {
        self.answered_at = Some(now);
        self.failures = 0;
    }

    /// Records a call that was refused or not answered.
    pub fn record_failure(&mut self) {
        self.failures = self.failures.saturating_add(1);
    }

    fn silent_ms(&self, now: Timestamp) -> Option<u64> {
        self.answered_at.map(|it| now.ms_since(it))
    }

    /// Returns whether the store counts as away, so that a write is not tried.
    pub fn is_away(&self, now: Timestamp) -> bool {
        AWAY_AFTER_FAILURES <= self.failures
            && self.silent_ms(now).is_none_or(|it| AWAY_AFTER_MS <= it)
    }

    /// Returns whether the store answered recently.
    pub fn is_reached(&self, now: Timestamp) -> bool {
        self.silent_ms(now).is_some_and(|it| it < UNREACHED_AFTER_MS)
    }
}
