//! Learning of slowdowns from noisy, late, missing and grossly wrong samples.

use mustardcove_core::{
    class::{ClassIndex, ClassTable},
    interference::{InterferenceTable, LoadLevel, SlowdownSample, SlowdownTable},
    time::Timestamp,
};
use proptest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

#[path = "support/fleet.rs"]
mod fleet;
#[path = "support/sim.rs"]
mod sim;

/// Largest mean error of the estimates of `ln(1 + excess)`.
const MEAN_TOLERANCE: f64 = 0.015;

/// Largest error of the estimate of any pair.
const TOLERANCE: f64 = 0.06;

fn table(classes: &ClassTable, source: u64) -> InterferenceTable {
    let mut table = InterferenceTable::new(source);
    table.cover(classes);
    table
}

/// Returns random residents of a worker: the service and up to three tasks per
/// batch class.
fn random_residents(rng: &mut ChaCha8Rng) -> Vec<(ClassIndex, u16)> {
    let batch = (1..7).map(|it| (ClassIndex(it), rng.random_range(0..4u16)));
    let mut residents: Vec<_> = batch.filter(|it| it.1 != 0).collect();
    residents.push((ClassIndex(0), 8));
    residents
}

/// Feeds samples of random sets of residents; every tenth is missing, and many
/// are late.
fn feed_samples(
    table: &mut InterferenceTable,
    truth: &SlowdownTable,
    seed: u64,
    from: u64,
    rounds: u64,
) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    for round in from..from + rounds {
        let taken_at = fleet::START.plus_ms(round * 200);
        let residents = random_residents(&mut rng);
        let level = LoadLevel::ALL[rng.random_range(0..3usize)];
        for &(victim, _) in &residents {
            if rng.random_bool(0.1) {
                continue;
            }
            let truth = truth.slowdown(level, victim, &residents);
            let slowdown = sim::with_measurement_noise(&mut rng, truth);
            let is_task = victim != ClassIndex(0);
            let sample = SlowdownSample {
                victim,
                is_task,
                level,
                taken_at,
                slowdown,
                residents: &residents,
            };
            let delay_ms = rng.random_range(0..30_000);
            table.learn(taken_at.plus_ms(delay_ms), &sample);
            // A duplicate with a wrong value, delayed beyond the age limit.
            let stale = SlowdownSample { slowdown: 100.0, ..sample };
            table.learn(taken_at.plus_ms(10 * 60_000), &stale);
        }
    }
}

/// Returns the errors of `ln(1 + excess)` of all pairs. The pair of the service
/// with itself is left out, because slots of one service are not neighbours.
fn errors(table: &SlowdownTable, truth: &SlowdownTable) -> Vec<f64> {
    let mut errors = Vec::new();
    for level in LoadLevel::ALL {
        for pair in 1..49u16 {
            let (victim, aggressor) = (ClassIndex(pair / 7), ClassIndex(pair % 7));
            let learned = table.excess(level, victim, aggressor).ln_1p();
            errors.push((learned - truth.excess(level, victim, aggressor).ln_1p()).abs());
        }
    }
    errors
}

/// Guards against estimates that noise, late and missing samples or 5% of gross
/// errors (3 to 20 times the true value) bias.
#[test]
fn estimates_converge() {
    let truth = sim::truth();
    for seed in [1, 2, 3] {
        let mut table = table(&sim::classes(), seed);
        feed_samples(&mut table, &truth, seed, 0, 6000);
        let errors = errors(table.slowdowns(), &truth);
        let mean = errors.iter().sum::<f64>() / errors.len() as f64;
        let largest = errors.iter().copied().fold(0.0, f64::max);
        assert!(mean <= MEAN_TOLERANCE, "seed {seed}: mean error {mean:.4}");
        assert!(largest <= TOLERANCE, "seed {seed}: largest error {largest:.4}");
    }
}

/// Guards against averaging, which attributes the effect of a noisy neighbour
/// to a quiet one as well: here the two nearly always run together.
#[test]
fn slowdown_is_attributed_to_aggressor() {
    let mut table = table(&sim::classes(), 1);
    let (victim, quiet, noisy) = (ClassIndex(0), ClassIndex(3), ClassIndex(4));
    let mut rng = ChaCha8Rng::seed_from_u64(4);
    for round in 0..2000 {
        let now = fleet::START.plus_ms(round * 1000);
        let both = [(victim, 8), (quiet, 2), (noisy, 1)];
        let alone = [(victim, 8), (quiet, 2)];
        let residents: &[_] = if rng.random_bool(0.8) { &both } else { &alone };
        let truth = if residents.len() == 3 { 1.5 } else { 1.0 };
        let slowdown = sim::with_measurement_noise(&mut rng, truth);
        let level = LoadLevel::Medium;
        let sample =
            SlowdownSample { victim, is_task: false, level, taken_at: now, slowdown, residents };
        table.learn(now, &sample);
    }
    let excess = |aggressor| table.slowdowns().excess(LoadLevel::Medium, victim, aggressor);
    assert!(excess(quiet) < 0.05, "quiet: {}", excess(quiet));
    assert!((excess(noisy) - 0.5).abs() < 0.1, "noisy: {}", excess(noisy));
}

/// Guards against one outlier determining the estimate of a rare pair, and
/// against a table that no longer follows when a class changes its behaviour.
#[test]
fn estimates_resist_outliers_and_follow_changes() {
    let classes = sim::classes();
    let mut rare = table(&classes, 1);
    let (victim, aggressor, level) = (ClassIndex(0), ClassIndex(4), LoadLevel::High);
    let residents = [(victim, 8), (aggressor, 1)];
    let mut sample = SlowdownSample {
        victim,
        is_task: false,
        level,
        taken_at: fleet::START,
        slowdown: 50.0,
        residents: &residents,
    };
    rare.learn(fleet::START, &sample);
    let after_one = rare.slowdowns().excess(level, victim, aggressor);
    assert!(after_one < 0.3, "excess after one sample: {after_one}");

    let mut table = table(&classes, 1);
    let mut rng = ChaCha8Rng::seed_from_u64(9);
    for round in 0..4000 {
        sample.taken_at = fleet::START.plus_ms(round * 1000);
        let truth = if round < 2000 { 1.05 } else { 1.6 };
        sample.slowdown = sim::with_measurement_noise(&mut rng, truth);
        table.learn(sample.taken_at, &sample);
    }
    let after_change = table.slowdowns().excess(level, victim, aggressor);
    assert!((after_change - 0.6).abs() < 0.1, "excess after a change: {after_change}");
}

/// Guards against evidence that is counted again after an exchange or lost in
/// it, and against exchange by class index between processes that number the
/// classes differently.
#[test]
fn exchanged_evidence_is_counted_once() {
    let truth = sim::truth();
    let now = fleet::START.plus_ms(3000 * 200);
    let mut first = table(&sim::classes(), 1);
    feed_samples(&mut first, &truth, 1, 0, 3000);

    let ids = sim::classes();
    let mut reversed: Vec<_> = (0..7).map(|it| ids.get(ClassIndex(it)).clone()).collect();
    reversed.reverse();
    let mut second = table(&fleet::table(&reversed), 2);
    let exported = first.export(now);
    assert!(exported.len() <= 1500, "export of {} bytes", exported.len());
    let source = first.sample_weight(LoadLevel::Low, ClassIndex(0), ClassIndex(4));
    first.import(now, &exported);
    for _ in 0..50 {
        second.import(now, &exported);
        first.import(now, &second.export(now));
    }
    for level in LoadLevel::ALL {
        let known = first.slowdowns().excess(level, ClassIndex(0), ClassIndex(4));
        let received = second.slowdowns().excess(level, ClassIndex(6), ClassIndex(2));
        assert!((known - received).abs() < 0.05, "{level}: sent {known}, received {received}");
    }
    let weight = second.sample_weight(LoadLevel::Low, ClassIndex(6), ClassIndex(2));
    let after = first.sample_weight(LoadLevel::Low, ClassIndex(0), ClassIndex(4));
    assert_eq!(after, source, "a group counted its own evidence again");
    assert!(weight <= source + 1.0, "evidence grew from {source} to {weight}");
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 100,
        failure_persistence: None,
        rng_algorithm: prop::test_runner::RngAlgorithm::ChaCha,
        rng_seed: prop::test_runner::RngSeed::Fixed(23),
        ..ProptestConfig::default()
    })]

    /// Guards against estimates that are not finite, whatever is measured or
    /// received.
    #[test]
    fn estimates_stay_finite(
        samples in prop::collection::vec((any::<f64>(), 0..7u16, 0..90_000u64), 1..60),
        received in prop::collection::vec(any::<u8>(), 0..200),
    ) {
        let mut table = table(&sim::classes(), 1);
        let residents: Vec<_> = (0..7).map(|it| (ClassIndex(it), 2)).collect();
        for (slowdown, victim, delay_ms) in samples {
            let sample = SlowdownSample {
                victim: ClassIndex(victim),
                is_task: true,
                level: LoadLevel::Low,
                taken_at: Timestamp(fleet::START.0),
                slowdown,
                residents: &residents,
            };
            table.learn(fleet::START.plus_ms(delay_ms), &sample);
        }
        table.import(fleet::START, &received.into());
        for victim in 0..7 {
            let row = table.slowdowns().excess_row(LoadLevel::Low, ClassIndex(victim));
            prop_assert!(row.iter().all(|it| it.is_finite() && 0.0 <= *it));
        }
    }
}
