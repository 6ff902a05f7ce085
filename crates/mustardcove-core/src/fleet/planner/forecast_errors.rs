//! How well the interference forecast fits what is measured.
//!
//! Whether best-effort work may run beside a latency-critical task follows from
//! a forecast of its utilisation. If that is too low, users of the task wait; if
//! it is too high, processors idle. Either shows only beside a measurement, so
//! each measured tail is compared with the forecast before it is learned from.
//!
//! The errors are kept for each image of latency-critical tasks, since its tasks
//! share their base and their pressures. They fade, because load and neighbours
//! change within seconds. They inform operators and decide nothing; see section
//! "Interference" of `docs/overload.md`.

use std::sync::Arc;

use strum::{Display, EnumCount, IntoStaticStr, VariantArray};

use super::interference::ImageId;
use crate::time::Timestamp;

/// Time in which the weight of an error halves, in milliseconds.
const HALF_LIFE_MS: f32 = 30_000.0;
/// Longest time between two measurements that counts as time over the target, in
/// milliseconds: of a longer one only its ends are known.
const MAX_GAP_MS: u64 = 1_000;

/// Why a latency-critical task is over the target of its tail latency.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr, VariantArray, EnumCount)]
#[strum(serialize_all = "snake_case")]
pub enum OverTargetCause {
    /// Its load alone suffices.
    OwnLoad,
    /// Its load and the neighbours that reserve processors suffice.
    ReservedNeighbours,
    /// Best-effort work runs beside it, without which it would be expected to be
    /// under its target.
    BestEffort,
    /// Nothing that the forecast knows of suffices, and no best-effort work runs
    /// beside it.
    Unexplained,
}

impl OverTargetCause {
    /// Returns the cause for a task with this load, limit, and forecast excess by
    /// neighbours that reserve processors.
    pub(super) fn of(
        load: f32,
        limit: f32,
        reserved_excess: f32,
        is_beside_best_effort: bool,
    ) -> OverTargetCause {
        if limit <= load {
            OverTargetCause::OwnLoad
        } else if limit <= load * (1.0 + reserved_excess) {
            OverTargetCause::ReservedNeighbours
        } else if is_beside_best_effort {
            OverTargetCause::BestEffort
        } else {
            OverTargetCause::Unexplained
        }
    }
}

/// Times over the target by cause, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OverTargetTimes([u64; OverTargetCause::COUNT]);

impl OverTargetTimes {
    fn add(&mut self, cause: OverTargetCause, ms: u64) {
        self.0[cause as usize] += ms;
    }

    /// Returns each cause with its time.
    pub fn iter(&self) -> impl Iterator<Item = (OverTargetCause, u64)> {
        OverTargetCause::VARIANTS.iter().map(|it| (*it, self.0[*it as usize]))
    }
}

/// The errors for one image of latency-critical tasks.
#[derive(Clone, Copy, Debug, Default)]
struct ImageErrors {
    measurements: u64,
    weight: f32,
    sum: f32,
    squares: f32,
    updated_at: Timestamp,
    over_target: OverTargetTimes,
}

impl ImageErrors {
    fn record(&mut self, error: f32, now: Timestamp) {
        let age_ms = now.ms_since(self.updated_at) as f32;
        let kept = (-age_ms / HALF_LIFE_MS).exp2();
        self.weight = self.weight * kept + 1.0;
        self.sum = self.sum * kept + error;
        self.squares = self.squares * kept + error * error;
        self.updated_at = now;
        self.measurements += 1;
    }

    fn mean(&self) -> f32 {
        self.sum / self.weight.max(f32::MIN_POSITIVE)
    }

    fn root_mean_square(&self) -> f32 {
        (self.squares / self.weight.max(f32::MIN_POSITIVE)).sqrt()
    }
}

/// The errors of the forecast in this term.
#[derive(Clone, Debug, Default)]
pub(super) struct ForecastErrors {
    images: Vec<ImageErrors>,
}

/// The errors of the forecast over all images.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct InterferenceErrors {
    /// Number of measurements that were compared with the forecast.
    pub measurements: u64,
    /// Mean error of the utilisation factor, in percent of a factor of 1:
    /// positive if latencies were higher than forecast.
    pub mean_percent: i64,
    /// Root mean square of the error, in percent of a factor of 1.
    pub root_mean_square_percent: u64,
    /// Times that tasks were over their target, in milliseconds.
    pub over_target: OverTargetTimes,
}

impl ForecastErrors {
    fn image(&mut self, image: ImageId) -> &mut ImageErrors {
        let index = image.as_usize();
        if self.images.len() <= index {
            self.images.resize(index + 1, ImageErrors::default());
        }
        &mut self.images[index]
    }

    /// Records by how much the utilisation factor of a task exceeded its
    /// forecast.
    pub(super) fn record(&mut self, image: ImageId, error: f32, now: Timestamp) {
        self.image(image).record(error, now);
    }

    /// Records that a task was over its target since its measurement before,
    /// `gap_ms` ago.
    pub(super) fn record_over_target(
        &mut self,
        image: ImageId,
        cause: OverTargetCause,
        gap_ms: u64,
    ) {
        self.image(image).over_target.add(cause, gap_ms.min(MAX_GAP_MS));
    }

    /// Returns the errors over all images.
    pub(super) fn total(&self) -> InterferenceErrors {
        let mut all = ImageErrors::default();
        for it in &self.images {
            all.measurements += it.measurements;
            all.weight += it.weight;
            all.sum += it.sum;
            all.squares += it.squares;
            for (cause, ms) in it.over_target.iter() {
                all.over_target.add(cause, ms);
            }
        }
        InterferenceErrors {
            measurements: all.measurements,
            mean_percent: (all.mean() * 100.0).round() as i64,
            root_mean_square_percent: (all.root_mean_square() * 100.0).round() as u64,
            over_target: all.over_target,
        }
    }

    /// Returns a row for each image with measurements, by the names of images in
    /// the order of their ids.
    pub(super) fn rows(&self, names: &[Arc<str>]) -> Vec<String> {
        let rows = self.images.iter().zip(names).filter(|it| 0 < it.0.measurements);
        let row = |(it, name): (&ImageErrors, &Arc<str>)| {
            let mut row = format!(
                "image={name} measurements={} error_mean={:.2} error_rms={:.2}",
                it.measurements,
                it.mean(),
                it.root_mean_square(),
            );
            for (cause, ms) in it.over_target.iter() {
                let cause: &str = cause.into();
                row.push_str(&format!(" over_{cause}_ms={ms}"));
            }
            row
        };
        rows.map(row).collect()
    }
}
