//! Whether the store is away, as seen from one process.
//!
//! Load pattern: callers keep submitting while the store does not answer. A
//! write that is sent then has an unknown outcome, so its caller can neither be
//! told that the submission is stored nor that it never runs, and may not send
//! it again elsewhere. A caller whose submission was not written can be
//! rejected at once, truthfully, with a time to come back.
//!
//! Before the store counts as away, it is in doubt: a call has failed, or an answer
//! is overdue. Nothing is written then until a read is answered.
//!
//! Every process has a watch of the manifest open, which is answered about
//! once a second. Two failures in a row without an answer for a little longer
//! therefore show that the store is away; a single one may be a lost answer.
//! The first answer ends that. Callers that come while the store is away cause
//! a read now and then, since a watch that hangs shows its return seconds late.

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
/// Time for which a write may be unanswered before the store is in doubt, in
/// milliseconds: many times the usual latency, and a fraction of the time after
/// which the write is given up.
pub const DOUBT_AFTER_MS: u64 = 300;
/// Shortest time after which a caller is told to come back, in seconds.
const MIN_RETRY_AFTER_S: u64 = 1;
/// Longest such time, in seconds: callers that wait longer miss a store that is
/// back, and those that come earlier cost little.
const MAX_RETRY_AFTER_S: u64 = 4;

/// What the calls of one process show of the store.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreHealth {
    answered_at: Option<Timestamp>,
    /// Number of calls that have failed since the last answer.
    failures: u32,
    /// When the first write was sent after the last answer; `None` if none was.
    written_at: Option<Timestamp>,
}

impl StoreHealth {
    /// Records that the store carried out a call.
    pub fn record_answer(&mut self, now: Timestamp) {
        self.answered_at = Some(now);
        self.failures = 0;
        self.written_at = None;
    }

    /// Records that a write is sent.
    pub fn record_write(&mut self, now: Timestamp) {
        self.written_at.get_or_insert(now);
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

    /// Returns whether an answer is overdue: the watch of the manifest would have
    /// been answered since the last one.
    pub fn is_overdue(&self, now: Timestamp) -> bool {
        self.silent_ms(now).is_some_and(|it| AWAY_AFTER_MS <= it)
    }

    /// Returns whether a write that is sent now may remain unanswered.
    pub fn is_in_doubt(&self, now: Timestamp) -> bool {
        let is_hanging = self.written_at.is_some_and(|it| DOUBT_AFTER_MS <= now.ms_since(it));
        0 < self.failures || is_hanging || self.is_overdue(now)
    }

    /// Returns for how long the store has not answered, in milliseconds.
    pub fn outage_ms(&self, now: Timestamp) -> u64 {
        if self.is_in_doubt(now) { self.silent_ms(now).unwrap_or_default() } else { 0 }
    }

    /// Returns whether the store answered recently.
    pub fn is_reached(&self, now: Timestamp) -> bool {
        self.silent_ms(now).is_some_and(|it| it < UNREACHED_AFTER_MS)
    }
}

/// Returns after how many seconds a caller should come back, given for how long
/// the store has not answered.
///
/// The longer an outage has lasted, the longer it is likely to go on. Callers
/// are spread by `draw`, any number, from half that time to one and a half times.
pub fn retry_after_s(outage_ms: u64, draw: u64) -> u64 {
    let (min, max) = (MIN_RETRY_AFTER_S * 1_000, MAX_RETRY_AFTER_S * 1_000);
    let expected_ms = outage_ms.clamp(min, max);
    let first = (expected_ms / 2).div_ceil(1_000).max(MIN_RETRY_AFTER_S);
    let last = (expected_ms * 3 / 2).div_ceil(1_000).min(MAX_RETRY_AFTER_S);
    first + draw % (last - first + 1)
}
