//! Learned estimates of sizes and run times.
//!
//! Declared sizes and run times are often inaccurate, but a member tends to
//! be off by the same factor every time. Estimates therefore learn the ratio
//! of the actual to the declared value, per class and member, and return a
//! quantile of it. The declared value is the prior and counts as a few
//! samples. A member without samples of its own inherits the ratio of its
//! class. See `docs/placement.md`.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;

use crate::{
    class::{Class, ClassIndex, ClassTable},
    id::MemberId,
    size::{MemoryMib, Millicores, Resources},
};

/// Weight of the prior, in samples.
const PRIOR_COUNT: u64 = 5;

/// Number of samples in a generation. Only the current and the previous one are
/// kept, so that an estimate is based on the latest 200 to 400 samples.
const GENERATION_SAMPLES: u64 = 200;

/// A ratio of one, in the unit of the histograms.
const RATIO_ONE: u64 = 1000;

/// Limits of a ratio in the unit of the histograms: from 0.001 to 1000.
const RATIO_LIMITS: (u64, u64) = (1, 1_000_000);

/// Run time that is assumed if neither task nor class declares one, in
/// milliseconds.
const FALLBACK_RUN_MS: u64 = 60_000;

/// A measured quantity.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Quantity {
    Cpu,
    Memory,
    RunTime,
}

/// Ratios of actual to declared values, in two generations.
#[derive(Clone, Debug)]
struct Ratios {
    current: Histogram<u32>,
    previous: Histogram<u32>,
}

impl Ratios {
    fn new() -> Ratios {
        // The limits are constants that the library accepts.
        let histogram = Histogram::new_with_bounds(RATIO_LIMITS.0, RATIO_LIMITS.1, 1)
            .expect("limits of ratios are valid");
        Ratios { current: histogram.clone(), previous: histogram }
    }

    fn record(&mut self, ratio: u64) {
        if GENERATION_SAMPLES <= self.current.len() {
            std::mem::swap(&mut self.current, &mut self.previous);
            self.current.reset();
        }
        self.current.saturating_record(ratio);
    }

    fn len(&self) -> u64 {
        self.current.len() + self.previous.len()
    }

    /// Returns how many samples are at most `ratio`.
    fn count_up_to(&self, ratio: u64) -> u64 {
        self.current.count_between(0, ratio) + self.previous.count_between(0, ratio)
    }

    /// Returns the smallest ratio that at least `rank` samples do not exceed,
    /// where the prior counts as [`PRIOR_COUNT`] samples at `prior`.
    ///
    /// Samples in the prior's bucket count as equal to the prior, so that
    /// members whose declarations are accurate get exactly what they declare.
    fn at_rank(&self, rank: u64, prior: u64) -> u64 {
        let is_reached = |ratio: u64| {
            let prior_count = if prior <= ratio { PRIOR_COUNT } else { 0 };
            rank <= self.count_up_to(ratio) + prior_count
        };
        let (mut low, mut high) = RATIO_LIMITS;
        while low < high {
            let middle = low + (high - low) / 2;
            if is_reached(middle) {
                high = middle;
            } else {
                low = middle + 1;
            }
        }
        let bucket = self.current.lowest_equivalent(low)..=self.current.highest_equivalent(low);
        if bucket.contains(&prior) { prior } else { self.current.median_equivalent(low) }
    }

    /// Returns a quantile of the samples together with the prior.
    fn quantile(&self, quantile: f64, prior: u64) -> u64 {
        let total = self.len() + PRIOR_COUNT;
        let rank = (quantile.clamp(0.0, 1.0) * total as f64).ceil() as u64;
        self.at_rank(rank.max(1), prior)
    }
}

/// Learned sizes and run times of the work of a group or shard.
#[derive(Clone, Debug, Default)]
pub struct Estimates {
    by_class: BTreeMap<(ClassIndex, Quantity), Ratios>,
    by_member: BTreeMap<MemberId, BTreeMap<(ClassIndex, Quantity), Ratios>>,
}

impl Estimates {
    /// Returns estimates without samples, which equal the declared values.
    pub fn new() -> Estimates {
        Estimates::default()
    }

    /// Records the run time of a task that ended by itself.
    ///
    /// Runs that were stopped must not be recorded, because they give only a
    /// lower bound. If `declared_ms` is zero, the run time that the class
    /// declares is used.
    pub fn record_run(
        &mut self,
        classes: &ClassTable,
        class: ClassIndex,
        member: &MemberId,
        declared_ms: u64,
        actual_ms: u64,
    ) {
        let declared = declared_run_ms(classes.get(class), declared_ms);
        self.record(class, member, Quantity::RunTime, declared, actual_ms);
    }

    /// Records the peak usage of a task; accelerators are not estimated.
    ///
    /// Resources for which zero was declared are ignored.
    pub fn record_usage(
        &mut self,
        class: ClassIndex,
        member: &MemberId,
        declared: Resources,
        used: Resources,
    ) {
        self.record(class, member, Quantity::Cpu, declared.cpu.0, used.cpu.0);
        self.record(class, member, Quantity::Memory, declared.memory.0, used.memory.0);
    }

    /// Returns a quantile of the expected run time, in milliseconds.
    pub fn run_ms(
        &self,
        classes: &ClassTable,
        class: ClassIndex,
        member: &MemberId,
        declared_ms: u64,
        quantile: f64,
    ) -> u64 {
        let declared = declared_run_ms(classes.get(class), declared_ms);
        self.estimate(class, member, Quantity::RunTime, declared, quantile)
    }

    /// Returns a quantile of the expected remaining run time of a task that has
    /// run for `elapsed_ms`, in milliseconds.
    ///
    /// Only runs that took longer than `elapsed_ms` count, so that an overdue
    /// task is not expected to end at any moment.
    pub fn remaining_ms(
        &self,
        classes: &ClassTable,
        class: ClassIndex,
        member: &MemberId,
        declared_ms: u64,
        elapsed_ms: u64,
        quantile: f64,
    ) -> u64 {
        let declared = declared_run_ms(classes.get(class), declared_ms);
        let prior = self.class_ratio(class, Quantity::RunTime, quantile);
        let overdue = elapsed_ms / OVERDUE_DIVISOR;
        let Some(ratios) = self.member_ratios(class, member, Quantity::RunTime) else {
            return scale(declared, prior).checked_sub(elapsed_ms).unwrap_or(overdue).max(1);
        };
        let elapsed_ratio = ratio(elapsed_ms, declared);
        let shorter_prior = if prior <= elapsed_ratio { PRIOR_COUNT } else { 0 };
        let shorter_runs = ratios.count_up_to(elapsed_ratio) + shorter_prior;
        let total = ratios.len() + PRIOR_COUNT;
        if total <= shorter_runs {
            return overdue.max(1);
        }
        let rank = shorter_runs
            + (quantile.clamp(0.0, 1.0) * (total - shorter_runs) as f64).ceil().max(1.0) as u64;
        let end = scale(declared, ratios.at_rank(rank, prior));
        end.saturating_sub(elapsed_ms).max(1)
    }

    /// Returns a quantile of the expected usage of a task; accelerators are as
    /// declared.
    pub fn usage(
        &self,
        class: ClassIndex,
        member: &MemberId,
        declared: Resources,
        quantile: f64,
    ) -> Resources {
        let cpu = self.estimate(class, member, Quantity::Cpu, declared.cpu.0, quantile);
        let memory = self.estimate(class, member, Quantity::Memory, declared.memory.0, quantile);
        Resources {
            cpu: Millicores(cpu),
            memory: MemoryMib(memory),
            accelerators: declared.accelerators,
        }
    }

    /// Removes the samples of a member that left the agreement.
    pub fn forget_member(&mut self, member: &MemberId) {
        self.by_member.remove(member);
    }

    fn record(
        &mut self,
        class: ClassIndex,
        member: &MemberId,
        quantity: Quantity,
        declared: u64,
        actual: u64,
    ) {
        if declared == 0 {
            return;
        }
        let ratio = ratio(actual, declared);
        self.by_class.entry((class, quantity)).or_insert_with(Ratios::new).record(ratio);
        let by_member = self.by_member.entry(member.clone()).or_default();
        by_member.entry((class, quantity)).or_insert_with(Ratios::new).record(ratio);
    }

    fn estimate(
        &self,
        class: ClassIndex,
        member: &MemberId,
        quantity: Quantity,
        declared: u64,
        quantile: f64,
    ) -> u64 {
        let prior = self.class_ratio(class, quantity, quantile);
        let ratio = match self.member_ratios(class, member, quantity) {
            Some(ratios) => ratios.quantile(quantile, prior),
            None => prior,
        };
        scale(declared, ratio)
    }

    /// Returns the ratio of a class, with the declared value as prior.
    fn class_ratio(&self, class: ClassIndex, quantity: Quantity, quantile: f64) -> u64 {
        let ratios = self.by_class.get(&(class, quantity));
        ratios.map_or(RATIO_ONE, |it| it.quantile(quantile, RATIO_ONE))
    }

    fn member_ratios(
        &self,
        class: ClassIndex,
        member: &MemberId,
        quantity: Quantity,
    ) -> Option<&Ratios> {
        self.by_member.get(member)?.get(&(class, quantity))
    }
}

/// Divisor of the elapsed run time of an overdue task that gives its expected
/// remaining time.
const OVERDUE_DIVISOR: u64 = 4;

fn declared_run_ms(class: &Class, declared_ms: u64) -> u64 {
    match (declared_ms, class.expected_run_ms) {
        (0, 0) => FALLBACK_RUN_MS,
        (0, class_ms) => class_ms,
        (declared, _) => declared,
    }
}

fn ratio(actual: u64, declared: u64) -> u64 {
    let ratio = u128::from(actual) * u128::from(RATIO_ONE) / u128::from(declared.max(1));
    u64::try_from(ratio).unwrap_or(u64::MAX).clamp(RATIO_LIMITS.0, RATIO_LIMITS.1)
}

fn scale(declared: u64, ratio: u64) -> u64 {
    let value = u128::from(declared) * u128::from(ratio) / u128::from(RATIO_ONE);
    u64::try_from(value).unwrap_or(u64::MAX)
}
