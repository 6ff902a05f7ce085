//! Whether and when a failed attempt is followed by another.
//!
//! A retry is made only if it cannot do harm: the attempt did not run, or the
//! request is idempotent. It is made only if it can help: time is left before
//! the deadline. And it is made only if the member's budget allows it, because
//! retries that follow every failure multiply the load exactly when upstreams
//! have too much of it.
//!
//! See `docs/routing.md` and `docs/design.md`, section 3.10.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, IntoStaticStr};

use crate::{class::Delivery, time::Timestamp, verdict::Verdict};

/// Share of a success that is put into the budget, in thousandths of a retry.
pub const DEPOSIT_MILLI: u64 = 100;

/// Floor of the budget's income, in thousandths of a retry per second.
pub const FLOOR_MILLI_PER_S: u64 = 1_000;

/// Most retries that a budget holds, in thousandths of a retry.
pub const MAX_BALANCE_MILLI: u64 = 20_000;

/// Most attempts of one request.
pub const MAX_ATTEMPTS: u32 = 3;

/// Wait before the first retry after a failure that shows overload, in
/// milliseconds.
const BASE_WAIT_MS: u64 = 10;

/// Retry budget of one member: a share of its recent successes plus a floor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryBudget {
    balance_milli: u64,
    filled_at: Timestamp,
}

impl RetryBudget {
    /// Returns a budget that holds what the floor yields in one second.
    pub fn new(now: Timestamp) -> RetryBudget {
        RetryBudget { balance_milli: FLOOR_MILLI_PER_S, filled_at: now }
    }

    /// Records a request that succeeded.
    pub fn on_success(&mut self) {
        self.balance_milli = (self.balance_milli + DEPOSIT_MILLI).min(MAX_BALANCE_MILLI);
    }

    /// Takes one retry from the budget if it holds one.
    pub fn try_take(&mut self, now: Timestamp) -> bool {
        self.fill(now);
        let Some(rest) = self.balance_milli.checked_sub(1_000) else { return false };
        self.balance_milli = rest;
        true
    }

    /// Returns when the floor alone will have filled the budget up to one
    /// retry.
    pub fn available_at(&self) -> Timestamp {
        let missing = 1_000u64.saturating_sub(self.balance_milli);
        self.filled_at.plus_ms((missing * 1_000).div_ceil(FLOOR_MILLI_PER_S))
    }

    /// Returns the balance in thousandths of a retry.
    pub fn balance_milli(&self) -> u64 {
        self.balance_milli
    }

    fn fill(&mut self, now: Timestamp) {
        let income = now.ms_since(self.filled_at) * FLOOR_MILLI_PER_S / 1_000;
        // Time that yields less than the smallest unit is kept for later.
        if income == 0 {
            return;
        }
        self.balance_milli = (self.balance_milli + income).min(MAX_BALANCE_MILLI);
        self.filled_at = now;
    }
}

/// An attempt that failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FailedAttempt {
    /// Whether the request may be sent again.
    pub delivery: Delivery,
    /// Whether this attempt may have run.
    pub verdict: Verdict,
    /// Attempts so far, this one included.
    pub attempts: u32,
    /// Whether the failure shows overload, so that an immediate retry would
    /// add to it.
    pub overloaded: bool,
    /// When the request's answer is of no more use.
    pub deadline: Timestamp,
    /// How long an attempt usually takes, in milliseconds.
    pub usual_ms: u64,
}

/// What follows a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Another attempt at this time.
    RetryAt(Timestamp),
    /// The final answer, at once.
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
    /// The attempt may have run, and running again may do harm.
    NotRepeatable,
    /// The attempt ran.
    Ran,
    /// The request has had all of its attempts.
    Attempts,
    /// Not enough time is left.
    Deadline,
    /// The member's retry budget is used up.
    Budget,
}

/// Decides on retries; the budgets are the members'.
#[derive(Debug)]
pub struct RetryPolicy {
    rng: ChaCha8Rng,
}

impl RetryPolicy {
    /// Returns a policy whose waits are drawn from the seed.
    pub fn new(seed: u64) -> RetryPolicy {
        RetryPolicy { rng: ChaCha8Rng::seed_from_u64(seed) }
    }

    /// Decides what follows a failed attempt, and takes a retry from the
    /// budget if one follows.
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
        let at = now.plus_ms(self.wait_ms(failed));
        if failed.deadline <= at.plus_ms(failed.usual_ms) {
            return RetryDecision::GiveUp(GiveUpReason::Deadline);
        }
        if !budget.try_take(now) {
            return RetryDecision::GiveUp(GiveUpReason::Budget);
        }
        RetryDecision::RetryAt(at)
    }

    fn wait_ms(&mut self, failed: FailedAttempt) -> u64 {
        if !failed.overloaded {
            return 0;
        }
        let longest = BASE_WAIT_MS << failed.attempts.min(MAX_ATTEMPTS);
        self.rng.random_range(longest / 2..=longest)
    }
}
