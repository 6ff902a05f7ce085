//! How much tasks on one worker disturb those that serve users.
//!
//! Answers the load in which work that fills competes with tasks that serve:
//! which images disturb which is only seen in rough tail figures. A serving
//! task with utilisation `u` has a tail of about `base / (1 - u)`, where the
//! base is its tail on an idle worker. Neighbours raise the utilisation by the
//! factor `1 + sum(pressure * share)`, where the share is the part of the
//! worker's processors that a neighbour uses and the pressure belongs to the
//! pair of images.
//!
//! Tasks of one submission carry the same load, so the least utilised of them
//! shows that load, and the others show the factor. Each such figure is one
//! equation for the pressures, solved by normalised least mean squares. Unlike
//! `crate::interference`, which counts neighbours of a class, this model is
//! additive in the processor time that neighbours really use.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
};

use crate::{
    fleet::{id::SubmissionId, record::LearnedInterference},
    time::Timestamp,
};

/// A known image.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct ImageId(u16);

/// Pressure assumed for a pair that was never seen: a mild one, so that pairs
/// are tried and learned.
const PRIOR_PRESSURE: f32 = 0.3;
/// Largest pressure; figures of overloaded tasks say little beyond it.
const MAX_PRESSURE: f32 = 10.0;
/// Part of an equation's error that one figure corrects.
const LEARNING_RATE: f32 = 0.06;
/// Added to the squared shares, so that tiny neighbours are not blamed.
const REGULARISATION: f32 = 0.004;
/// Factors beyond this are limited, as the tail of an overloaded task has no
/// bound.
const MAX_FACTOR: f32 = 4.0;
/// Utilisations below this are too uncertain to divide by.
const MIN_LOAD: f32 = 0.12;
/// Time over which the utilisations of a submission's tasks are collected, in
/// milliseconds: two looks at each worker.
const WINDOW_MS: u64 = 600;
/// Figures in a window from which it is trusted.
const MIN_FIGURES: usize = 3;
/// Most figures kept of a window.
const MAX_FIGURES: usize = 48;
/// The undisturbed load is taken to be this quantile of a window's figures:
/// low, as neighbours only raise them, and above the least, as figures are
/// rough.
const QUANTILE_PERCENT: usize = 20;
/// Part of the change between two windows that is expected to go on.
const TREND: f32 = 0.7;
/// Longest time for which a change is expected to go on, in milliseconds.
const MAX_TREND_MS: u64 = 1_500;
/// Tails are rounded to whole milliseconds.
const ROUNDING_MS: f32 = 0.5;
/// Error of a factor at which an equation counts for half.
const HALF_WEIGHT_ERROR: f32 = 0.1;
/// Utilisation of the least loaded figure ever seen of an image, by which its
/// base is derived from that figure.
const LOWEST_UTILISATION: f32 = 0.25;
/// Utilisation assumed for a submission of which nothing was seen.
const PRIOR_LOAD: f32 = 0.5;

/// The load of a submission's tasks.
#[derive(Clone, Debug)]
struct Load {
    window_ends_at: Timestamp,
    figures: Vec<f32>,
    /// The load in the last window, and its middle.
    last: Option<(f32, Timestamp)>,
    /// Change of the load per millisecond.
    slope: f32,
}

impl Load {
    fn at(&self, time: Timestamp) -> Option<f32> {
        let (load, middle) = self.last?;
        let ahead = time.ms_since(middle).min(MAX_TREND_MS) as f32;
        Some((load + self.slope * ahead).clamp(0.02, 0.98))
    }
}

/// A neighbour of a serving task.
#[derive(Clone, Copy, Debug)]
pub(super) struct Neighbour {
    /// What it runs, if it says so.
    pub(super) image: Option<ImageId>,
    /// The part of the worker's processors that it uses.
    pub(super) share: f32,
}

/// What was learned of images and loads.
#[derive(Debug, Default)]
pub(super) struct InterferenceModel {
    images: HashMap<Arc<str>, ImageId>,
    lowest_tail: Vec<f32>,
    /// By serving image and neighbour's image.
    pressures: HashMap<(ImageId, ImageId), f32>,
    loads: BTreeMap<SubmissionId, Load>,
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

    /// Returns the identifier of an image if it was seen before.
    pub(super) fn known_image(&self, name: &Arc<str>) -> Option<ImageId> {
        self.images.get(name).copied()
    }

    /// Returns what was learned, for the next leader.
    pub(super) fn learned(&self) -> LearnedInterference {
        let mut images: Vec<(Arc<str>, Option<f32>)> =
            vec![(Arc::from(""), None); self.images.len()];
        for (name, image) in &self.images {
            let tail = self.lowest_tail[usize::from(image.0)];
            images[usize::from(image.0)] = (name.clone(), tail.is_finite().then_some(tail));
        }
        let pressures = self.pressures.iter().map(|(pair, it)| (pair.0.0, pair.1.0, *it));
        LearnedInterference { images, pressures: pressures.collect() }
    }

    /// Takes over what an earlier leader learned.
    pub(super) fn restore(&mut self, learned: &LearnedInterference) {
        let known: Vec<ImageId> = learned.images.iter().map(|it| self.image(&it.0)).collect();
        for (image, (_, tail)) in known.iter().zip(&learned.images) {
            if let Some(tail) = tail {
                let lowest = &mut self.lowest_tail[usize::from(image.0)];
                *lowest = lowest.min(*tail);
            }
        }
        for (serving, neighbour, pressure) in &learned.pressures {
            let image = |it: &u16| known.get(usize::from(*it)).copied();
            if let (Some(serving), Some(neighbour)) = (image(serving), image(neighbour)) {
                let pressure = pressure.clamp(0.0, MAX_PRESSURE);
                self.pressures.insert((serving, neighbour), pressure);
            }
        }
    }

    fn base(&self, image: ImageId) -> f32 {
        self.lowest_tail[usize::from(image.0)] * (1.0 - LOWEST_UTILISATION)
    }

    fn utilisation(&self, image: ImageId, tail: f32) -> f32 {
        let base = self.base(image);
        if base.is_finite() { (1.0 - base / tail.max(base)).max(0.0) } else { PRIOR_LOAD }
    }

    /// Returns the utilisation at which an image's tail reaches a target.
    pub(super) fn limit(&self, image: ImageId, target: f32) -> f32 {
        let base = self.base(image);
        // Until a tail was seen, the base is taken to be a sixth of the target.
        if base.is_finite() { (1.0 - base / target).max(0.1) } else { 1.0 - 1.0 / 6.0 }
    }

    /// Returns the utilisation of a submission's tasks without neighbours, as
    /// it is expected at a time.
    pub(super) fn load(&self, submission: SubmissionId, time: Timestamp) -> f32 {
        self.loads.get(&submission).and_then(|it| it.at(time)).unwrap_or(PRIOR_LOAD)
    }

    /// Forgets a submission.
    pub(super) fn forget(&mut self, submission: SubmissionId) {
        self.loads.remove(&submission);
    }

    /// Returns by how much one unit of share of a neighbour raises the
    /// utilisation of a serving task.
    pub(super) fn pressure(&self, serving: ImageId, neighbour: Option<ImageId>) -> f32 {
        let known = neighbour.and_then(|it| self.pressures.get(&(serving, it)));
        known.copied().unwrap_or(PRIOR_PRESSURE)
    }

    /// Returns the part of the factor that neighbours add.
    pub(super) fn excess(
        &self,
        serving: ImageId,
        neighbours: impl Iterator<Item = Neighbour>,
    ) -> f32 {
        neighbours.map(|it| self.pressure(serving, it.image) * it.share).sum()
    }

    /// Learns from the tail of a serving task. Returns by how much its factor
    /// exceeds what the pressures explain, if that can be told.
    pub(super) fn observe(
        &mut self,
        serving: ImageId,
        submission: SubmissionId,
        tail: f32,
        neighbours: &[Neighbour],
        now: Timestamp,
    ) -> Option<f32> {
        if tail <= 0.0 {
            return None;
        }
        let lowest = &mut self.lowest_tail[usize::from(serving.0)];
        *lowest = lowest.min(tail);
        let utilisation = self.utilisation(serving, tail);
        let load = self.loads.get(&submission).and_then(|it| it.at(now));
        self.note_load(submission, utilisation, now);
        let load = load.filter(|it| MIN_LOAD <= *it)?;
        let factor = (utilisation / load).clamp(1.0, MAX_FACTOR);
        let error = factor - 1.0 - self.excess(serving, neighbours.iter().copied());
        let uncertainty = self.base(serving) * ROUNDING_MS / (tail * tail) / load;
        let weight = HALF_WEIGHT_ERROR / (HALF_WEIGHT_ERROR + uncertainty);
        let squares: f32 = neighbours.iter().map(|it| it.share * it.share).sum();
        for neighbour in neighbours {
            let Some(image) = neighbour.image else { continue };
            let rate = LEARNING_RATE * weight / (squares + REGULARISATION);
            let step = rate * error * neighbour.share;
            let pressure = self.pressures.entry((serving, image)).or_insert(PRIOR_PRESSURE);
            *pressure = (*pressure + step).clamp(0.0, MAX_PRESSURE);
        }
        Some(error)
    }

    fn note_load(&mut self, submission: SubmissionId, utilisation: f32, now: Timestamp) {
        let fresh = || Load {
            window_ends_at: now.plus_ms(WINDOW_MS),
            figures: Vec::new(),
            last: None,
            slope: 0.0,
        };
        let load = self.loads.entry(submission).or_insert_with(fresh);
        if load.window_ends_at <= now {
            if MIN_FIGURES <= load.figures.len() {
                load.figures.sort_by(f32::total_cmp);
                let quantile = load.figures[load.figures.len() * QUANTILE_PERCENT / 100];
                let middle = load.window_ends_at.minus_ms(WINDOW_MS / 2);
                load.slope = load.last.map_or(0.0, |(before, at)| {
                    TREND * (quantile - before) / middle.ms_since(at).max(WINDOW_MS) as f32
                });
                load.last = Some((quantile, middle));
            }
            load.figures.clear();
            load.window_ends_at = now.plus_ms(WINDOW_MS);
        }
        if load.figures.len() < MAX_FIGURES {
            load.figures.push(utilisation);
        }
    }
}
