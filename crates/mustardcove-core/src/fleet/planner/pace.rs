//! The pace of best-effort tasks beside latency-critical ones.
//!
//! Paces are derived from the learned pressures of images: all best-effort
//! tasks of a worker are slowed down in proportion to the pressure that they
//! put on the latency-critical task with the least headroom. Best-effort tasks
//! with a low pressure on it keep their pace.

use super::interference::ImageId;

/// Fraction of a latency-critical task's limit that may be used, as its load
/// rises between two polls.
const LIMIT_FRACTION: f32 = 0.98;
/// Lower bound on the loads that are divided by.
const MIN_LOAD: f32 = 0.05;
/// Lowest pace, in percent; below it a task hardly progresses.
pub(super) const MIN_PERCENT: u8 = 5;
/// Smallest change of a pace that is sent, in percent of the pace, since each
/// change is a call.
const MIN_CHANGE_PERCENT: u32 = 20;
/// Pressure below which a best-effort task is not slowed down: any neighbour
/// has as much.
const MIN_PACED_PRESSURE: f32 = 0.9;

/// A pace that is unknown because a change was not confirmed. It differs from
/// any other enough for the next change to be sent.
pub(super) const UNKNOWN_PACE: u8 = u8::MAX;

/// A latency-critical task, as needed to derive paces.
#[derive(Clone, Copy, Debug)]
pub(super) struct LatencyCriticalTask {
    pub(super) image: ImageId,
    /// Its utilisation without neighbours.
    pub(super) load: f32,
    /// The utilisation at which its tail reaches its target.
    pub(super) limit: f32,
    /// Part of the utilisation factor that neighbours other than best-effort
    /// tasks add.
    pub(super) other_excess: f32,
    /// Part of the utilisation factor that best-effort tasks add at full pace.
    pub(super) best_effort_excess: f32,
}

impl LatencyCriticalTask {
    /// Returns by how much neighbours may raise the utilisation, as a factor
    /// beyond 1, if this fraction of the limit may be used.
    pub(super) fn max_excess(&self, limit_fraction: f32) -> f32 {
        self.limit * limit_fraction / self.load.max(MIN_LOAD) - 1.0
    }
}

/// Returns the pace of each best-effort task, given by its image and the share
/// of processors that it uses at full pace.
pub(super) fn paces(
    latency_critical: &[LatencyCriticalTask],
    best_effort: &[(Option<ImageId>, f32)],
    pressure: impl Fn(ImageId, Option<ImageId>) -> f32,
) -> Vec<u8> {
    let mut paces = vec![1.0f32; best_effort.len()];
    for task in latency_critical {
        let allowed = task.max_excess(LIMIT_FRACTION) - task.other_excess;
        let of = |i: usize| {
            let (image, share) = best_effort[i];
            (pressure(task.image, image), share)
        };
        let mut unpaced_excess = 0.0;
        let mut paced_excess = 0.0;
        for (i, pace) in paces.iter().enumerate() {
            let (pressure, share) = of(i);
            let excess = pressure * share * pace;
            if pressure < MIN_PACED_PRESSURE {
                unpaced_excess += excess
            } else {
                paced_excess += excess
            }
        }
        if paced_excess <= 0.0 || unpaced_excess + paced_excess <= allowed {
            continue;
        }
        let scale = ((allowed - unpaced_excess) / paced_excess).clamp(0.0, 1.0);
        for (i, pace) in paces.iter_mut().enumerate() {
            if MIN_PACED_PRESSURE <= of(i).0 {
                *pace *= scale;
            }
        }
    }
    let percent = |it: f32| ((it * 100.0) as u8).clamp(MIN_PERCENT, 100);
    paces.into_iter().map(percent).collect()
}

/// Returns whether a change of pace is worth a call.
pub(super) fn is_worth_changing(from: u8, to: u8) -> bool {
    let change = u32::from(from.abs_diff(to)) * 100;
    from != to && (to == 100 || u32::from(from) * MIN_CHANGE_PERCENT <= change)
}
