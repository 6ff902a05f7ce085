//! Interference of co-located tasks with latency-critical ones.
//!
//! Best-effort work competes with latency-critical tasks for processors, and
//! which images interfere with which shows only in noisy tail latencies. A
//! latency-critical task with utilisation `u` has a tail latency of about
//! `base / (1 - u)`, where the base is its tail on an idle worker. Neighbours
//! raise the utilisation by the factor `1 + sum(pressure * share)`, where the
//! share is the fraction of the worker's processors that a neighbour uses and
//! the pressure belongs to the pair of images.
//!
//! Tasks of one submission carry the same load, so the least utilised of them
//! shows that load, and the others show the factor. Each measured tail is one
//! equation for the pressures, solved by normalised least mean squares. Unlike
//! `crate::interference`, which counts neighbours of a class, this model is
//! additive in the processor time that neighbours really use.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
};

use rustc_hash::FxHashMap;

use crate::{
    fleet::{id::SubmissionId, record::LearnedInterference},
    time::Timestamp,
};

/// The number that the model gives to an image when it first sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct ImageId(u16);

impl ImageId {
    pub(super) fn as_usize(self) -> usize {
        usize::from(self.0)
    }
}

/// What was learned of a pair of images.
#[derive(Clone, Copy, Debug)]
struct LearnedPressure {
    value: f32,
    /// Number of measurements in this term that corrected it.
    measurements: u64,
    /// The newest of these.
    measured_at: Option<Timestamp>,
}

impl LearnedPressure {
    fn new(value: f32) -> LearnedPressure {
        LearnedPressure { value, measurements: 0, measured_at: None }
    }
}

/// Pressure assumed for a pair that was never observed: low, so that pairs are
/// tried and learned.
const PRIOR_PRESSURE: f32 = 0.3;
/// Largest pressure; tails of overloaded tasks carry little information beyond
/// it.
const MAX_PRESSURE: f32 = 10.0;
/// Fraction of an equation's error that one measurement corrects.
const LEARNING_RATE: f32 = 0.06;
/// Added to the squared shares, so that tiny neighbours get no large
/// corrections.
const REGULARISATION: f32 = 0.004;
/// Factors are clamped to this, as the tail of an overloaded task has no
/// bound.
const MAX_FACTOR: f32 = 4.0;
/// Loads below this are too uncertain to divide by.
const MIN_LOAD: f32 = 0.12;
/// Time over which the utilisations of a submission's tasks are collected, in
/// milliseconds: two polls of each worker.
const WINDOW_MS: u64 = 600;
/// Number of samples from which a window is used.
const MIN_SAMPLES: usize = 3;
/// Most samples kept in a window.
const MAX_SAMPLES: usize = 48;
/// The load without neighbours is estimated as this quantile of a window's
/// samples: low, as neighbours only raise them, and above the minimum, as
/// samples are noisy.
const QUANTILE_PERCENT: usize = 20;
/// Fraction of the change between two windows that is expected to continue.
const TREND_DAMPING: f32 = 0.7;
/// Longest time for which a change is extrapolated, in milliseconds.
const MAX_EXTRAPOLATION_MS: u64 = 1_500;
/// Rounding error of tails, which are whole milliseconds.
const ROUNDING_MS: f32 = 0.5;
/// Error of a factor at which an equation gets half weight.
const HALF_WEIGHT_ERROR: f32 = 0.1;
/// Utilisation assumed at the lowest tail ever measured of an image, from
/// which its base is derived.
const LOWEST_UTILISATION: f32 = 0.25;
/// Utilisation assumed for a submission without measurements.
const PRIOR_LOAD: f32 = 0.5;

/// The estimated load of a submission's tasks.
#[derive(Clone, Debug)]
struct LoadEstimate {
    window_ends_at: Timestamp,
    samples: Vec<f32>,
    /// The load in the last window, and the middle of that window.
    last: Option<(f32, Timestamp)>,
    /// Change of the load per millisecond.
    slope: f32,
}

impl LoadEstimate {
    fn at(&self, time: Timestamp) -> Option<f32> {
        let (load, middle) = self.last?;
        let ahead = time.ms_since(middle).min(MAX_EXTRAPOLATION_MS) as f32;
        Some((load + self.slope * ahead).clamp(0.02, 0.98))
    }
}

/// A neighbour of a latency-critical task.
#[derive(Clone, Copy, Debug)]
pub(super) struct Neighbour {
    /// The image that it runs, if its step names one.
    pub(super) image: Option<ImageId>,
    /// The fraction of the worker's processors that it uses.
    pub(super) share: f32,
}

/// Learned tails and pressures of images, and the loads of submissions.
#[derive(Clone, Debug, Default)]
pub(super) struct InterferenceModel {
    images: HashMap<Arc<str>, ImageId>,
    lowest_tail: Vec<f32>,
    /// By image of the latency-critical task and image of its neighbour. Each
    /// score of a worker reads several.
    pressures: FxHashMap<(ImageId, ImageId), LearnedPressure>,
    loads: BTreeMap<SubmissionId, LoadEstimate>,
}

impl InterferenceModel {
    /// Returns the identifier of an image.
    pub(super) fn image(&mut self, name: &Arc<str>) -> ImageId {
        let next = ImageId(self.images.len() as u16);
        let id = *self.images.entry(name.clone()).or_insert(next);
        if id == next {
            self.lowest_tail.push(f32::INFINITY);
        }
        id
    }

    /// Returns the identifier of an image that already has one.
    pub(super) fn known_image(&self, name: &Arc<str>) -> Option<ImageId> {
        self.images.get(name).copied()
    }

    /// Returns what was learned, for the next leader.
    pub(super) fn learned(&self) -> LearnedInterference {
        let tails = self.lowest_tail.iter().map(|it| it.is_finite().then_some(*it));
        let images = self.names().into_iter().zip(tails).collect();
        let pressures = self.pressures.iter().map(|(pair, it)| (pair.0.0, pair.1.0, it.value));
        LearnedInterference { images, pressures: pressures.collect() }
    }

    /// Restores what an earlier leader learned.
    pub(super) fn restore(&mut self, learned: &LearnedInterference) {
        let known: Vec<ImageId> = learned.images.iter().map(|it| self.image(&it.0)).collect();
        for (image, (_, tail)) in known.iter().zip(&learned.images) {
            if let Some(tail) = tail {
                let lowest = &mut self.lowest_tail[image.as_usize()];
                *lowest = lowest.min(*tail);
            }
        }
        for (victim, neighbour, pressure) in &learned.pressures {
            let image = |it: &u16| known.get(usize::from(*it)).copied();
            if let (Some(victim), Some(neighbour)) = (image(victim), image(neighbour)) {
                let pressure = pressure.clamp(0.0, MAX_PRESSURE);
                self.pressures.insert((victim, neighbour), LearnedPressure::new(pressure));
            }
        }
    }

    /// Returns the names of all images, in the order of their ids.
    pub(super) fn names(&self) -> Vec<Arc<str>> {
        let mut names = vec![Arc::from(""); self.images.len()];
        for (name, image) in &self.images {
            names[image.as_usize()] = name.clone();
        }
        names
    }

    /// Returns a row for each pair of images, those with the highest pressure
    /// first.
    pub(super) fn pressure_rows(&self, now: Timestamp) -> Vec<String> {
        let names = self.names();
        let mut pairs: Vec<_> = self.pressures.iter().collect();
        pairs.sort_by(|a, b| b.1.value.total_cmp(&a.1.value).then_with(|| a.0.cmp(b.0)));
        let row = |((victim, neighbour), it): (&(ImageId, ImageId), &LearnedPressure)| {
            let age = it.measured_at.map(|at| format!(" age_ms={}", now.ms_since(at)));
            format!(
                "image={} neighbour={} pressure={:.2} measurements={}{}",
                names[victim.as_usize()],
                names[neighbour.as_usize()],
                it.value,
                it.measurements,
                age.unwrap_or_default(),
            )
        };
        pairs.into_iter().map(row).collect()
    }

    fn base(&self, image: ImageId) -> f32 {
        self.lowest_tail[image.as_usize()] * (1.0 - LOWEST_UTILISATION)
    }

    fn utilisation(&self, image: ImageId, tail: f32) -> f32 {
        let base = self.base(image);
        if base.is_finite() { (1.0 - base / tail.max(base)).max(0.0) } else { PRIOR_LOAD }
    }

    /// Returns the utilisation at which an image's tail reaches a target.
    pub(super) fn limit(&self, image: ImageId, target: f32) -> f32 {
        let base = self.base(image);
        // Until a tail was measured, the base is assumed to be a sixth of the
        // target.
        if base.is_finite() { (1.0 - base / target).max(0.1) } else { 1.0 - 1.0 / 6.0 }
    }

    /// Returns the utilisation of a submission's tasks without neighbours, as
    /// expected at a time.
    pub(super) fn load(&self, submission: SubmissionId, time: Timestamp) -> f32 {
        self.loads.get(&submission).and_then(|it| it.at(time)).unwrap_or(PRIOR_LOAD)
    }

    /// Removes a submission.
    pub(super) fn remove(&mut self, submission: SubmissionId) {
        self.loads.remove(&submission);
    }

    /// Returns by how much one unit of a neighbour's share raises the
    /// utilisation of a latency-critical task.
    pub(super) fn pressure(&self, victim: ImageId, neighbour: Option<ImageId>) -> f32 {
        let known = neighbour.and_then(|it| self.pressures.get(&(victim, it)));
        known.map_or(PRIOR_PRESSURE, |it| it.value)
    }

    /// Returns the part of the utilisation factor that neighbours add.
    pub(super) fn excess(
        &self,
        victim: ImageId,
        neighbours: impl Iterator<Item = Neighbour>,
    ) -> f32 {
        neighbours.map(|it| self.pressure(victim, it.image) * it.share).sum()
    }

    /// Learns from the tail of a latency-critical task. Returns by how much
    /// its utilisation factor exceeds what the pressures explain, or `None` if
    /// its load is not known well enough.
    pub(super) fn observe(
        &mut self,
        victim: ImageId,
        submission: SubmissionId,
        tail: f32,
        neighbours: &[Neighbour],
        now: Timestamp,
    ) -> Option<f32> {
        if tail <= 0.0 {
            return None;
        }
        let lowest = &mut self.lowest_tail[victim.as_usize()];
        *lowest = lowest.min(tail);
        let utilisation = self.utilisation(victim, tail);
        let load = self.loads.get(&submission).and_then(|it| it.at(now));
        self.record_load(submission, utilisation, now);
        let load = load.filter(|it| MIN_LOAD <= *it)?;
        let factor = (utilisation / load).clamp(1.0, MAX_FACTOR);
        let error = factor - 1.0 - self.excess(victim, neighbours.iter().copied());
        let uncertainty = self.base(victim) * ROUNDING_MS / (tail * tail) / load;
        let weight = HALF_WEIGHT_ERROR / (HALF_WEIGHT_ERROR + uncertainty);
        let squares: f32 = neighbours.iter().map(|it| it.share * it.share).sum();
        for neighbour in neighbours {
            let Some(image) = neighbour.image else { continue };
            let rate = LEARNING_RATE * weight / (squares + REGULARISATION);
            let step = rate * error * neighbour.share;
            let pressure = self.pressures.entry((victim, image));
            let pressure = pressure.or_insert(LearnedPressure::new(PRIOR_PRESSURE));
            pressure.value = (pressure.value + step).clamp(0.0, MAX_PRESSURE);
            pressure.measurements += 1;
            pressure.measured_at = Some(now);
        }
        Some(error)
    }

    fn record_load(&mut self, submission: SubmissionId, utilisation: f32, now: Timestamp) {
        let fresh = || LoadEstimate {
            window_ends_at: now.plus_ms(WINDOW_MS),
            samples: Vec::new(),
            last: None,
            slope: 0.0,
        };
        let load = self.loads.entry(submission).or_insert_with(fresh);
        if load.window_ends_at <= now {
            if MIN_SAMPLES <= load.samples.len() {
                load.samples.sort_by(f32::total_cmp);
                let quantile = load.samples[load.samples.len() * QUANTILE_PERCENT / 100];
                let middle = load.window_ends_at.minus_ms(WINDOW_MS / 2);
                load.slope = load.last.map_or(0.0, |(before, at)| {
                    TREND_DAMPING * (quantile - before) / middle.ms_since(at).max(WINDOW_MS) as f32
                });
                load.last = Some((quantile, middle));
            }
            load.samples.clear();
            load.window_ends_at = now.plus_ms(WINDOW_MS);
        }
        if load.samples.len() < MAX_SAMPLES {
            load.samples.push(utilisation);
        }
    }
}
