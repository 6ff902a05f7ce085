//! Learned estimates of sizes and run times.

use mustardcove_core::{
    class::{ClassIndex, ClassKind, ClassTable},
    estimate::Estimates,
    id::MemberId,
    size::Resources,
};
use proptest::prelude::*;

#[path = "support/fleet.rs"]
mod fleet;

const CLASS: ClassIndex = ClassIndex(0);

fn class_and_members() -> (ClassTable, MemberId, MemberId) {
    let classes = fleet::table(&[fleet::class("scan", ClassKind::Batch, 2000, 4096)]);
    (classes, "press".parse().unwrap(), "archive".parse().unwrap())
}

/// Guards against estimates that ignore the declared value while there are few
/// samples, or keep to it once there are many.
#[test]
fn declared_value_is_prior() {
    let (classes, press, archive) = class_and_members();
    let mut estimates = Estimates::new();
    let run =
        |estimates: &Estimates, member| estimates.run_ms(&classes, CLASS, member, 60_000, 0.9);
    assert_eq!(run(&estimates, &press), 60_000);
    estimates.record_run(&classes, CLASS, &press, 60_000, 600_000);
    assert_eq!(estimates.run_ms(&classes, CLASS, &press, 60_000, 0.5), 60_000);
    for _ in 0..200 {
        estimates.record_run(&classes, CLASS, &press, 60_000, 180_000);
    }
    let learned = run(&estimates, &press);
    assert!((170_000..190_000).contains(&learned), "learned {learned}");
    // A member without runs of its own inherits the ratio of its class.
    assert_eq!(run(&estimates, &archive), learned);
    for _ in 0..400 {
        estimates.record_run(&classes, CLASS, &press, 60_000, 60_000);
    }
    assert_eq!(run(&estimates, &press), 60_000, "old runs still count");
}

/// Guards against an overdue task that is always expected to end at once.
#[test]
fn overdue_task_has_time_remaining() {
    let (classes, press, _) = class_and_members();
    let mut estimates = Estimates::new();
    let remaining = |estimates: &Estimates, elapsed| {
        estimates.remaining_ms(&classes, CLASS, &press, 60_000, elapsed, 0.5)
    };
    assert_eq!(remaining(&estimates, 20_000), 40_000);
    assert_eq!(remaining(&estimates, 400_000), 100_000);
    for minutes in [1, 1, 1, 1, 1, 1, 1, 1, 10, 10, 10] {
        estimates.record_run(&classes, CLASS, &press, 60_000, minutes * 60_000);
    }
    let left = remaining(&estimates, 120_000);
    assert!((400_000..550_000).contains(&left), "{left} ms left of a run of ten minutes");
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 100,
        failure_persistence: None,
        rng_algorithm: prop::test_runner::RngAlgorithm::ChaCha,
        rng_seed: prop::test_runner::RngSeed::Fixed(41),
        ..ProptestConfig::default()
    })]

    /// Guards against quantiles that are out of order or outside of the samples.
    #[test]
    fn quantiles_match_samples(used in prop::collection::vec(100..20_000u64, 60..180)) {
        let (_, press, _) = class_and_members();
        let declared = Resources::new(2000, 4096, 1);
        let mut estimates = Estimates::new();
        for &cpu in &used {
            estimates.record_usage(CLASS, &press, declared, Resources::new(cpu, 4096, 0));
        }
        let mut sorted = used.clone();
        sorted.extend([2000; 5]);
        sorted.sort_unstable();
        let mut previous = 0;
        for quantile in [0.1, 0.5, 0.9, 0.99] {
            let usage = estimates.usage(CLASS, &press, declared, quantile);
            prop_assert_eq!(usage.memory, declared.memory);
            prop_assert_eq!(usage.accelerators, declared.accelerators);
            prop_assert!(previous <= usage.cpu.0);
            previous = usage.cpu.0;
            // The prior of the member is learned too, so a few ranks differ.
            let rank = quantile * sorted.len() as f64;
            let low = sorted[(rank - 7.0).max(0.0) as usize] as f64 * 0.9;
            let high = sorted[((rank + 7.0) as usize).min(sorted.len() - 1)] as f64 * 1.1;
            prop_assert!((low..=high).contains(&(usage.cpu.0 as f64)), "{quantile}: {usage}");
        }
    }
}
