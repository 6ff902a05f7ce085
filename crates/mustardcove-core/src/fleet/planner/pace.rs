//! How hard tasks that fill may work beside tasks that serve.
//!
//! A pace is derived from what is known of the images' pressures: all fills of
//! a worker are slowed down in proportion to the pressure that they put on the
//! serving task with the least room. Fills that put no pressure on it keep
//! their pace.

use super::interference::ImageId;

/// Part of a serving task's limit that is used, as its load rises between two
/// looks.
const LIMIT_USED: f32 = 0.98;
/// Lowest utilisation that is divided by.
const MIN_LOAD: f32 = 0.05;
/// Lowest pace, in percent; below it a task hardly progresses.
const MIN_PERCENT: u8 = 5;
/// A pace is changed only by at least this many percent of itself, since each
/// change is a call.
const MIN_CHANGE_PERCENT: u32 = 20;
/// Pressure per share below which a fill is not slowed down: it is that of
/// any neighbour.
const HARMLESS_PRESSURE: f32 = 0.9;

/// A pace that is not known, as a change of it was not confirmed; any other
/// differs from it enough to be sent.
pub(super) const UNKNOWN: u8 = u8::MAX;

/// A serving task, as the paces are derived for it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Serving {
    pub(super) image: ImageId,
    /// Its utilisation without neighbours.
    pub(super) load: f32,
    /// The utilisation at which it reaches its target.
    pub(super) limit: f32,
    /// Part of the factor that neighbours other than fills add.
    pub(super) other_excess: f32,
    /// Part of the factor that fills add when they work at full pace.
    pub(super) fill_excess: f32,
}

impl Serving {
    /// Returns by how much neighbours may raise the utilisation, as a factor
    /// beyond 1, if this part of the limit is used.
    pub(super) fn highest_excess(&self, limit_used: f32) -> f32 {
        self.limit * limit_used / self.load.max(MIN_LOAD) - 1.0
    }
}

/// Returns the pace of each fill, given by its pressure on a serving image and
/// the share of processors that it uses at full pace.
pub(super) fn paces(
    serving: &[Serving],
    fills: &[(Option<ImageId>, f32)],
    pressure: impl Fn(ImageId, Option<ImageId>) -> f32,
) -> Vec<u8> {
    let mut paces = vec![1.0f32; fills.len()];
    for task in serving {
        let allowed = task.highest_excess(LIMIT_USED) - task.other_excess;
        let of = |i: usize| {
            let (image, share) = fills[i];
            (pressure(task.image, image), share)
        };
        let mut harmless = 0.0;
        let mut harmful = 0.0;
        for (i, pace) in paces.iter().enumerate() {
            let (pressure, share) = of(i);
            let excess = pressure * share * pace;
            if pressure < HARMLESS_PRESSURE { harmless += excess } else { harmful += excess }
        }
        if harmful <= 0.0 || harmless + harmful <= allowed {
            continue;
        }
        let scale = ((allowed - harmless) / harmful).clamp(0.0, 1.0);
        for (i, pace) in paces.iter_mut().enumerate() {
            if HARMLESS_PRESSURE <= of(i).0 {
                *pace *= scale;
            }
        }
    }
    let percent = |it: f32| ((it * 100.0) as u8).clamp(MIN_PERCENT, 100);
    paces.into_iter().map(percent).collect()
}

/// Returns whether a new pace is worth a call.
pub(super) fn is_worth_changing(from: u8, to: u8) -> bool {
    let change = u32::from(from.abs_diff(to)) * 100;
    from != to && (to == 100 || u32::from(from) * MIN_CHANGE_PERCENT <= change)
}
