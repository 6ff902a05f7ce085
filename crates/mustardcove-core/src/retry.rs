//! Decides whether and when a failed attempt is retried.
//!
//! A retry has to meet three conditions. It must be safe: the attempt did not
//! run, or the request is idempotent. It must be useful: enough time is left
//! before the deadline. And it must fit the member's retry budget, because
//! retries after every failure would multiply the load exactly when the
//! upstreams are overloaded.
//!
//! See `docs/routing.md` and `docs/design.md`, section 3.10.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, IntoStaticStr};

use crate::{class::Delivery, time::Timestamp, verdict::Verdict};

/// Deposit into the budget per success, in thousandths of a retry.
pub const DEPOSIT_MILLI: u64 = 100;

/// Rate at which the budget refills without any success, in thousandths of a
/// retry per second.
pub const MIN_RATE_MILLI_PER_S: u64 = 1_000;

/// Most retries that a budget holds, in thousandths of a retry.
pub const MAX_BALANCE_MILLI: u64 = 20_000;

/// Most attempts per request.
pub const MAX_ATTEMPTS: u32 = 3;

/// Base of the backoff before a retry after a failure that indicates overload,
/// in milliseconds. The longest backoff doubles with each attempt.
const BASE_BACKOFF_MS: u64 = 10;

/// Retry budget of one member: a token bucket that is filled by a share of the
/// member's successes and by a minimum rate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryBudget {
    balance_milli: u64,
    refilled_at: Timestamp,
}

impl RetryBudget {
    /// Returns a budget that holds one second's refill at the minimum rate.
    pub fn new(now: Timestamp) -> RetryBudget {
        RetryBudget { balance_milli: MIN_RATE_MILLI_PER_S, refilled_at: now }
    }

    /// Records a successful request.
    pub fn on_success(&mut self) {
        self.balance_milli = (self.balance_milli + DEPOSIT_MILLI).min(MAX_BALANCE_MILLI);
    }

    /// Withdraws one retry from the budget if it holds one.
    pub fn try_withdraw(&mut self, now: Timestamp) -> bool {
        self.refill(now);
        let Some(rest) = self.balance_milli.checked_sub(1_000) else { return false };
        self.balance_milli = rest;
        true
    }

    /// Returns when the budget will hold one retry if it refills at the
    /// minimum rate alone.
    pub fn available_at(&self) -> Timestamp {
        let missing = 1_000u64.saturating_sub(self.balance_milli);
        self.refilled_at.plus_ms((missing * 1_000).div_ceil(MIN_RATE_MILLI_PER_S))
    }

    /// Returns the balance in thousandths of a retry.
    pub fn balance_milli(&self) -> u64 {
        self.balance_milli
    }

    fn refill(&mut self, now: Timestamp) {
        let refill = now.ms_since(self.refilled_at) * MIN_RATE_MILLI_PER_S / 1_000;
        // Time too short to yield one unit is carried over to the next refill.
        if refill == 0 {
            return;
        }
        self.balance_milli = (self.balance_milli + refill).min(MAX_BALANCE_MILLI);
        self.refilled_at = now;
    }
}

/// A failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FailedAttempt {
    /// Whether the request may be sent again.
    pub delivery: Delivery,
    /// Whether this attempt may have run.
    pub verdict: Verdict,
    /// Attempts so far, this one included.
    pub attempts: u32,
    /// Whether the failure indicates overload, which an immediate retry would
    /// add to.
    pub overloaded: bool,
    /// The deadline of the request.
    pub deadline: Timestamp,
    /// The expected duration of an attempt, in milliseconds.
    pub expected_ms: u64,
}

/// The decision after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Make another attempt at this time.
    RetryAt(Timestamp),
    /// Make no further attempt and answer at once.
    GiveUp(GiveUpReason),
}

/// Why no further attempt is made.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    Serialize,
    Deserialize,
    Display,
    EnumIter,
    IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum GiveUpReason {
    /// The attempt may have run, and the request must not run again.
    NotRepeatable,
    /// The attempt ran.
    Ran,
    /// The request has used all of its attempts.
    Attempts,
    /// Not enough time is left before the deadline.
    Deadline,
    /// The member's retry budget is used up.
    Budget,
}

/// Decides on retries. The caller passes the budget of the member.
#[derive(Debug)]
pub struct RetryPolicy {
    rng: ChaCha8Rng,
}

impl RetryPolicy {
    /// Returns a policy whose backoff jitter is seeded.
    pub fn new(seed: u64) -> RetryPolicy {
        RetryPolicy { rng: ChaCha8Rng::seed_from_u64(seed) }
    }

    /// Decides whether a failed attempt is retried, and withdraws a retry from
    /// the budget if it is.
    pub fn decide(
        &mut self,
        now: Timestamp,
        failed: FailedAttempt,
        budget: &mut RetryBudget,
    ) -> RetryDecision {
        if failed.verdict == Verdict::Ran {
            return RetryDecision::GiveUp(GiveUpReason::Ran);
        }
        if failed.verdict == Verdict::MayHaveRun && failed.delivery != Delivery::Idempotent {
            return RetryDecision::GiveUp(GiveUpReason::NotRepeatable);
        }
        if MAX_ATTEMPTS <= failed.attempts {
            return RetryDecision::GiveUp(GiveUpReason::Attempts);
        }
        let at = now.plus_ms(self.backoff_ms(failed));
        if failed.deadline <= at.plus_ms(failed.expected_ms) {
            return RetryDecision::GiveUp(GiveUpReason::Deadline);
        }
        if !budget.try_withdraw(now) {
            return RetryDecision::GiveUp(GiveUpReason::Budget);
        }
        RetryDecision::RetryAt(at)
    }

    fn backoff_ms(&mut self, failed: FailedAttempt) -> u64 {
        if !failed.overloaded {
            return 0;
        }
        let longest = BASE_BACKOFF_MS << failed.attempts.min(MAX_ATTEMPTS);
        self.rng.random_range(longest / 2..=longest)
    }
}
