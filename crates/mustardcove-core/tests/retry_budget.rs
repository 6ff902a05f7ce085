//! Guards against retries that could run work twice, that multiply the load
//! during a failure, or that are made after the request's deadline.

use mustardcove_core::{
    class::Delivery,
    retry::{
        FailedAttempt, GiveUpReason, MAX_ATTEMPTS, MAX_BALANCE_MILLI, RetryBudget, RetryDecision,
        RetryPolicy,
    },
    time::Timestamp,
    verdict::Verdict,
};
use proptest::prelude::*;

fn failed(delivery: Delivery, verdict: Verdict) -> FailedAttempt {
    FailedAttempt {
        delivery,
        verdict,
        attempts: 1,
        overloaded: false,
        deadline: Timestamp(10_000),
        expected_ms: 5,
    }
}

fn any_failed() -> impl Strategy<Value = FailedAttempt> {
    let delivery =
        prop::sample::select(vec![Delivery::Idempotent, Delivery::Exclusive, Delivery::AtMostOnce]);
    let verdict = prop::sample::select(vec![Verdict::NotRun, Verdict::Ran, Verdict::MayHaveRun]);
    (delivery, verdict, 1..5u32, any::<bool>(), 0..20_000u64, 0..500u64).prop_map(
        |(delivery, verdict, attempts, overloaded, deadline, expected_ms)| FailedAttempt {
            delivery,
            verdict,
            attempts,
            overloaded,
            deadline: Timestamp(deadline),
            expected_ms,
        },
    )
}

proptest! {
    #[test]
    fn retry_is_safe_and_in_time(seed: u64, now in 0..20_000u64, failed in any_failed()) {
        let mut budget = RetryBudget::new(Timestamp(0));
        let mut policy = RetryPolicy::new(seed);
        let now = Timestamp(now);
        let decision = policy.decide(now, failed, &mut budget);
        let RetryDecision::RetryAt(at) = decision else { return Ok(()) };
        prop_assert!(now <= at && at < failed.deadline);
        prop_assert!(failed.attempts < MAX_ATTEMPTS);
        let safe = match failed.verdict {
            Verdict::NotRun => true,
            Verdict::MayHaveRun => failed.delivery == Delivery::Idempotent,
            Verdict::Ran => false,
        };
        prop_assert!(safe);
    }

    /// However many requests fail, the number of retries is at most a tenth of
    /// the successes plus the minimum rate.
    #[test]
    fn retries_are_bounded(
        seed: u64,
        steps in prop::collection::vec((0..200u64, any::<bool>()), 1..600),
    ) {
        let mut budget = RetryBudget::new(Timestamp(0));
        let mut policy = RetryPolicy::new(seed);
        let (mut now, mut successes, mut retries) = (Timestamp(0), 0u64, 0u64);
        for (wait, succeeds) in steps {
            now = now.plus_ms(wait);
            if succeeds {
                successes += 1;
                budget.on_success();
                continue;
            }
            let mut failed = failed(Delivery::Idempotent, Verdict::MayHaveRun);
            failed.deadline = Timestamp::MAX;
            if matches!(policy.decide(now, failed, &mut budget), RetryDecision::RetryAt(_)) {
                retries += 1;
            }
            prop_assert!(retries * 1_000 <= 1_000 + successes * 100 + now.0);
            prop_assert!(budget.balance_milli() <= MAX_BALANCE_MILLI);
        }
    }
}

/// Guards against a retry without budget, and against a retry time at which
/// the budget is still empty.
#[test]
fn empty_budget_returns_refill_time() {
    let mut budget = RetryBudget::new(Timestamp(0));
    let mut policy = RetryPolicy::new(1);
    let failed = failed(Delivery::Idempotent, Verdict::NotRun);
    let first = policy.decide(Timestamp(100), failed, &mut budget);
    assert_eq!(first, RetryDecision::RetryAt(Timestamp(100)));
    let second = policy.decide(Timestamp(100), failed, &mut budget);
    assert_eq!(second, RetryDecision::GiveUp(GiveUpReason::Budget));
    let at = budget.available_at();
    assert!(Timestamp(100) < at);
    assert!(!budget.try_withdraw(at.minus_ms(1)));
    assert!(budget.try_withdraw(at));
}

/// Guards against a retry that could run work twice.
#[test]
fn unsafe_retries_are_refused() {
    let mut budget = RetryBudget::new(Timestamp(0));
    let mut policy = RetryPolicy::new(1);
    for delivery in [Delivery::Exclusive, Delivery::AtMostOnce] {
        let failed = failed(delivery, Verdict::MayHaveRun);
        let decision = policy.decide(Timestamp(0), failed, &mut budget);
        assert_eq!(decision, RetryDecision::GiveUp(GiveUpReason::NotRepeatable));
    }
}
