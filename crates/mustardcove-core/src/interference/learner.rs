//! Learning of slowdowns from measurements.
//!
//! Each pair of classes keeps a decaying sum and count of evidence. A sample is
//! one equation: the logarithm of the measured slowdown equals the sum of the
//! logarithms of the neighbours' effects. Its residual is distributed over the
//! neighbours in proportion to their current estimates and to the uncertainty
//! of these, which is one step of a recursive regression with a diagonal
//! covariance.
//!
//! Each victim class also has an offset, which tracks a slowdown of the class
//! on all workers at once and soon decays to zero. Without it, a wave of noise
//! with a cause outside of the worker is attributed to the neighbours.

use crate::{
    class::{ClassIndex, ClassTable},
    id::ClassId,
    interference::{LOAD_LEVELS, LoadLevel, MAX_EXCESS, SlowdownTable},
    time::Timestamp,
};

/// Half-life of evidence, in milliseconds.
const HALF_LIFE_MS: f64 = 2.0 * 60.0 * 60.0 * 1000.0;

/// Age above which a sample is dropped, in milliseconds. The neighbours have
/// mostly changed by then, and a backlog after a pause must not outweigh
/// current samples.
const MAX_SAMPLE_AGE_MS: u64 = 60_000;

/// Prior of `ln(1 + excess)` for a pair without samples. It is small, so that
/// placement tries the pair instead of avoiding it for ever.
const PRIOR_LOG_EXCESS: f32 = 0.03;

/// Weight of the prior, in samples.
const PRIOR_COUNT: f32 = 3.0;

/// Most samples that the other load levels of a pair add to its prior.
const OTHER_LEVELS_COUNT: f32 = 6.0;

/// Most samples that other groups add to a pair's prior.
pub(super) const REMOTE_COUNT: f32 = 60.0;

/// Largest effective number of samples of a pair. A sample next to three tasks
/// of a class counts as nine, because it measures the effect of one task that
/// much better. The bound keeps the weight of a new sample above zero, so that
/// the table follows changes.
const MAX_COUNT: f32 = 300.0;

/// Least change of an estimate that is published to placement. Smaller changes
/// would only make placement recompute the losses of every worker.
const PUBLISHED_STEP: f64 = 0.005;

/// Number of samples from which an estimate is reliable.
const RELIABLE_COUNT: f32 = 30.0;

/// Least time since the first sample of a reliable estimate, in milliseconds.
const RELIABLE_AGE_MS: u64 = 10 * 60 * 1000;

/// Largest share of its residual by which one sample moves the estimate of a
/// pair.
const MAX_GAIN: f32 = 0.5;

/// Estimate at which the attribution weight is one. A pair whose estimate is
/// zero keeps part of the weight, so that its estimate can rise again.
const NEUTRAL_LOG_EXCESS: f32 = 0.1;

/// Limits of the weight of a pair when a residual is attributed.
const ATTRIBUTION_LIMITS: (f32, f32) = (0.4, 4.0);

/// Limits of an estimate inside the regression. Negative values are allowed,
/// because cutting off noise at zero would add up to a positive bias.
const LOG_EXCESS_LIMITS: (f32, f32) = (-0.2, 2.8);

/// Limits to which a measured slowdown is clamped.
const SLOWDOWN_LIMITS: (f64, f64) = (0.05, 1000.0);

/// Number of standard deviations to which a residual is clipped.
const CLIP_DEVIATIONS: f32 = 2.0;

/// Ratio of the standard deviation of a normal distribution to its median
/// absolute deviation.
const DEVIATION_PER_MAD: f32 = 1.4826;

/// Evidence for one pair at one load level.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Evidence {
    /// Sum of attributed logarithms, weighted like `count`.
    pub(super) sum: f32,
    /// Effective number of samples.
    pub(super) count: f32,
    updated_at: Timestamp,
    /// Time of the first sample.
    first_sample_at: Timestamp,
}

impl Evidence {
    /// Returns sum and count, decayed to `now`.
    pub(super) fn decayed(&self, now: Timestamp) -> (f32, f32) {
        let age = now.ms_since(self.updated_at);
        if age == 0 {
            return (self.sum, self.count);
        }
        let factor = (-(age as f64) / HALF_LIFE_MS).exp2() as f32;
        (self.sum * factor, self.count * factor)
    }
}

/// Estimate for a pair without regard to its own evidence.
#[derive(Clone, Copy, Debug)]
struct Prior {
    mean: f32,
    count: f32,
}

/// Temporary slowdown of a class that does not depend on the worker's
/// residents.
#[derive(Clone, Copy, Debug, Default)]
struct Offset {
    log_slowdown: f32,
    updated_at: Timestamp,
}

impl Offset {
    /// Variance of the offset relative to that of a measurement.
    const VARIANCE: f32 = 0.2;
    /// Half-life of the offset, in milliseconds. A slowdown that lasts longer
    /// has a cause on the worker and is attributed to the pairs.
    const HALF_LIFE_MS: f32 = 10_000.0;

    fn decayed(self, now: Timestamp) -> f32 {
        let age = now.ms_since(self.updated_at) as f32;
        self.log_slowdown * (-age / Self::HALF_LIFE_MS).exp2()
    }

    fn correct(&mut self, now: Timestamp, residual: f32, variance: f32) {
        self.log_slowdown = self.decayed(now) + residual * Self::VARIANCE / (1.0 + variance);
        self.updated_at = now.max(self.updated_at);
    }
}

/// Running median of the absolute residuals of one victim class.
#[derive(Clone, Copy, Debug)]
struct ResidualScale {
    median: f32,
}

impl ResidualScale {
    const INITIAL: f32 = 0.2;
    const STEP: f32 = 1.03;
    const LIMITS: (f32, f32) = (0.02, 1.0);

    /// Updates the median with a residual and returns the clipped residual.
    fn clip(&mut self, residual: f32) -> f32 {
        let limit = CLIP_DEVIATIONS * DEVIATION_PER_MAD * self.median;
        let step = if self.median < residual.abs() { Self::STEP } else { 1.0 / Self::STEP };
        self.median = (self.median * step).clamp(Self::LIMITS.0, Self::LIMITS.1);
        residual.clamp(-limit, limit)
    }
}

/// A measured slowdown and the state of the worker when it was measured.
#[derive(Clone, Copy, Debug)]
pub struct SlowdownSample<'a> {
    /// The class that was measured.
    pub victim: ClassIndex,
    /// Whether the victim is a task; otherwise it is an upstream, whose own
    /// slots are not neighbours of each other.
    pub is_task: bool,
    /// The load level of the worker.
    pub level: LoadLevel,
    /// Time of the measurement.
    pub taken_at: Timestamp,
    /// Run time or latency relative to running alone.
    pub slowdown: f64,
    /// Classes on the worker with their numbers, the victim included.
    pub residents: &'a [(ClassIndex, u16)],
}

impl SlowdownSample<'_> {
    /// Returns the classes that affected the victim, with their numbers.
    fn neighbours(&self) -> impl Iterator<Item = (ClassIndex, f32)> {
        self.residents.iter().filter_map(|&(class, count)| {
            let count = match (class == self.victim, self.is_task) {
                (true, true) => count.saturating_sub(1),
                (true, false) => 0,
                (false, _) => count,
            };
            (count != 0).then_some((class, f32::from(count)))
        })
    }
}

/// Learned slowdowns of one group.
#[derive(Clone, Debug)]
pub struct InterferenceTable {
    /// Class names by class index, for the exchange with other groups.
    pub(super) ids: Vec<ClassId>,
    /// Evidence by level, victim and aggressor.
    pub(super) evidence: Vec<Evidence>,
    /// Evidence of other groups, as sum and count, in the same order.
    pub(super) remote: Vec<(f32, f32)>,
    /// Tables received from other groups.
    pub(super) received: Vec<super::exchange::ReceivedTable>,
    /// Identifies this table among those of other groups.
    pub(super) source: u64,
    scales: Vec<ResidualScale>,
    offsets: Vec<Offset>,
    slowdowns: SlowdownTable,
    /// Number of samples learned from.
    learned: u64,
    /// Number of samples that were dropped as too old or not a positive number.
    dropped: u64,
    /// Incremented whenever the estimates change.
    generation: u32,
}

impl InterferenceTable {
    /// Returns a table without samples; `source` identifies it among the tables
    /// of other groups.
    pub fn new(source: u64) -> InterferenceTable {
        InterferenceTable {
            ids: Vec::new(),
            evidence: Vec::new(),
            remote: Vec::new(),
            received: Vec::new(),
            source,
            scales: Vec::new(),
            offsets: Vec::new(),
            slowdowns: SlowdownTable::default(),
            learned: 0,
            dropped: 0,
            generation: 0,
        }
    }

    /// Extends the table to every class; cheap if there is no new one.
    pub fn cover(&mut self, classes: &ClassTable) {
        let known = self.ids.len();
        if classes.len() <= known {
            return;
        }
        for index in known..classes.len() {
            self.ids.push(classes.get(ClassIndex(index as u16)).id.clone());
        }
        let total = self.ids.len();
        self.evidence = grow_table(&self.evidence, known, total);
        self.remote = grow_table(&self.remote, known, total);
        self.scales.resize(total, ResidualScale { median: ResidualScale::INITIAL });
        self.offsets.resize(total, Offset::default());
        self.slowdowns.grow(total);
        self.publish_all(Timestamp::default());
    }

    /// Returns the current estimates.
    pub fn slowdowns(&self) -> &SlowdownTable {
        &self.slowdowns
    }

    /// Returns the numbers of samples that were used and dropped.
    pub fn sample_counts(&self) -> (u64, u64) {
        (self.learned, self.dropped)
    }

    /// Returns a number that changes whenever the estimates change.
    pub fn generation(&self) -> u32 {
        self.generation
    }

    /// Returns the effective number of samples behind an estimate, those of
    /// other groups included.
    pub fn sample_weight(
        &self,
        level: LoadLevel,
        victim: ClassIndex,
        aggressor: ClassIndex,
    ) -> f32 {
        let cell = self.cell(level, victim, aggressor);
        self.evidence[cell].count + self.remote[cell].1
    }

    /// Reports whether an estimate has enough samples over enough time to act
    /// on it.
    ///
    /// Many samples from a short time may all come from one wave of noise.
    /// Evidence of other groups only has to be large enough, because it was
    /// gathered over time before they exported it.
    pub fn is_reliable(
        &self,
        now: Timestamp,
        level: LoadLevel,
        victim: ClassIndex,
        aggressor: ClassIndex,
    ) -> bool {
        let cell = self.cell(level, victim, aggressor);
        let own = &self.evidence[cell];
        let old_enough = own.count != 0.0 && RELIABLE_AGE_MS <= now.ms_since(own.first_sample_at);
        (old_enough && RELIABLE_COUNT <= own.count) || RELIABLE_COUNT <= self.remote[cell].1
    }

    /// Updates the estimates with a sample.
    ///
    /// Samples that are too old or not a positive number are dropped.
    ///
    /// # Panics
    ///
    /// Panics if the table does not cover one of the classes.
    pub fn learn(&mut self, now: Timestamp, sample: &SlowdownSample<'_>) {
        let age = now.ms_since(sample.taken_at);
        let usable = sample.slowdown.is_finite() && 0.0 < sample.slowdown;
        if MAX_SAMPLE_AGE_MS < age || !usable {
            self.dropped += 1;
            return;
        }
        let (predicted, variance) = self.predict(now, sample);
        self.learned += 1;
        let measured = sample.slowdown.clamp(SLOWDOWN_LIMITS.0, SLOWDOWN_LIMITS.1).ln() as f32;
        let residual = self.scales[sample.victim.as_usize()].clip(measured - predicted);
        self.offsets[sample.victim.as_usize()].correct(now, residual, variance);
        for (aggressor, count) in sample.neighbours() {
            self.correct(now, sample, aggressor, count, residual, variance);
        }
        for (aggressor, _) in sample.neighbours() {
            self.publish_pair(now, sample.victim, aggressor);
        }
    }

    /// Returns the predicted logarithm of the slowdown, and its variance
    /// relative to that of a measurement.
    fn predict(&self, now: Timestamp, sample: &SlowdownSample<'_>) -> (f32, f32) {
        let mut predicted = self.offsets[sample.victim.as_usize()].decayed(now);
        let mut variance = Offset::VARIANCE;
        for (aggressor, count) in sample.neighbours() {
            let (mean, total, _) = self.posterior(now, sample.level, sample.victim, aggressor);
            predicted += count * mean;
            variance += count * count * pair_variance(mean, total);
        }
        (predicted, variance)
    }

    /// Corrects the estimate of one neighbour by its part of the residual.
    fn correct(
        &mut self,
        now: Timestamp,
        sample: &SlowdownSample<'_>,
        aggressor: ClassIndex,
        count: f32,
        residual: f32,
        variance: f32,
    ) {
        let (mean, total, prior) = self.posterior(now, sample.level, sample.victim, aggressor);
        let own_variance = count * count * pair_variance(mean, total);
        let gain = (own_variance / (1.0 + variance)).min(MAX_GAIN);
        let mean = (mean + gain * residual / count).clamp(LOG_EXCESS_LIMITS.0, LOG_EXCESS_LIMITS.1);
        // A sample tells less about one neighbour the more uncertain the
        // others are.
        let information = count * count / (1.0 + variance - own_variance);
        let own_count = (total - prior.count + information).min(MAX_COUNT);
        let cell = self.cell(sample.level, sample.victim, aggressor);
        let earlier = self.evidence[cell];
        self.evidence[cell] = Evidence {
            sum: (prior.count + own_count) * mean - prior.count * prior.mean,
            count: own_count,
            updated_at: now.max(earlier.updated_at),
            first_sample_at: if earlier.count == 0.0 { now } else { earlier.first_sample_at },
        };
    }

    /// Returns the estimate, the effective count and the prior of a pair.
    fn posterior(
        &self,
        now: Timestamp,
        level: LoadLevel,
        victim: ClassIndex,
        aggressor: ClassIndex,
    ) -> (f32, f32, Prior) {
        let prior = self.prior(now, level, victim, aggressor);
        let (sum, count) = self.evidence[self.cell(level, victim, aggressor)].decayed(now);
        let total = prior.count + count;
        ((prior.count * prior.mean + sum) / total, total, prior)
    }

    /// Returns the prior of a pair, from the evidence of its other load levels
    /// and of the other groups.
    fn prior(
        &self,
        now: Timestamp,
        level: LoadLevel,
        victim: ClassIndex,
        aggressor: ClassIndex,
    ) -> Prior {
        let mut other_levels = (0.0, 0.0);
        for other in LoadLevel::ALL {
            if other != level {
                let (sum, count) = self.evidence[self.cell(other, victim, aggressor)].decayed(now);
                other_levels = (other_levels.0 + sum, other_levels.1 + count);
            }
        }
        let other_levels = limit_count(other_levels, OTHER_LEVELS_COUNT);
        let remote = limit_count(self.remote[self.cell(level, victim, aggressor)], REMOTE_COUNT);
        let count = PRIOR_COUNT + other_levels.1 + remote.1;
        let mean = (PRIOR_COUNT * PRIOR_LOG_EXCESS + other_levels.0 + remote.0) / count;
        Prior { mean, count }
    }

    /// Copies the estimates of a pair to the table that placement reads.
    fn publish_pair(&mut self, now: Timestamp, victim: ClassIndex, aggressor: ClassIndex) {
        for level in LoadLevel::ALL {
            let (mean, _, _) = self.posterior(now, level, victim, aggressor);
            let excess = f64::from(mean).exp_m1().max(0.0);
            let published = self.slowdowns.excess(level, victim, aggressor);
            if PUBLISHED_STEP <= (excess - published).abs() {
                self.slowdowns.set(level, victim, aggressor, excess);
                self.generation = self.generation.wrapping_add(1);
            }
        }
    }

    /// Copies all estimates to the table that placement reads.
    pub(super) fn publish_all(&mut self, now: Timestamp) {
        for victim in 0..self.ids.len() {
            for aggressor in 0..self.ids.len() {
                self.publish_pair(now, ClassIndex(victim as u16), ClassIndex(aggressor as u16));
            }
        }
    }

    fn cell(&self, level: LoadLevel, victim: ClassIndex, aggressor: ClassIndex) -> usize {
        let classes = self.ids.len();
        (level.as_usize() * classes + victim.as_usize()) * classes + aggressor.as_usize()
    }
}

/// Returns the variance of a pair's estimate relative to that of a
/// measurement.
fn pair_variance(mean: f32, total: f32) -> f32 {
    let weight = (mean.max(0.0) + NEUTRAL_LOG_EXCESS) / (2.0 * NEUTRAL_LOG_EXCESS);
    weight.clamp(ATTRIBUTION_LIMITS.0, ATTRIBUTION_LIMITS.1) / total
}

/// Scales a sum and count so that the count is at most `limit`.
fn limit_count((sum, count): (f32, f32), limit: f32) -> (f32, f32) {
    if count <= limit { (sum, count) } else { (sum * limit / count, limit) }
}

/// Copies a table for `known` classes to one for `total` classes.
fn grow_table<T: Copy + Default>(table: &[T], known: usize, total: usize) -> Vec<T> {
    let mut grown = vec![T::default(); LOAD_LEVELS * total * total];
    for row in 0..LOAD_LEVELS * known {
        let (level, victim) = (row / known, row % known);
        let to = (level * total + victim) * total;
        grown[to..to + known].copy_from_slice(&table[row * known..(row + 1) * known]);
    }
    grown
}

const _: () = assert!(LOG_EXCESS_LIMITS.1 < 2.9 && 15.0 <= MAX_EXCESS);
