//! Cost of an eviction.

use crate::{
    class::{Class, ClassKind},
    placement::{PlacementRequest, RunningTask},
    time::Timestamp,
};

/// Least time from the stop of a task until it runs again, in milliseconds.
///
/// It covers the checkpoint, its durable record, a new reservation and the
/// start.
const MIN_RESTART_MS: u64 = 10_000;

/// Longest time that an evicted task is assumed to wait for a new worker, in
/// milliseconds. A few requests that wait for ever must not hide differences
/// between tasks.
const MAX_RESTART_MS: u64 = 10 * 60 * 1000;

/// Share of completed work from which the cost of a task rises.
const NEAR_END_SHARE: f64 = 0.5;

/// Factor to which the cost of a task rises at its end.
const NEAR_END_FACTOR: f64 = 5.0;

/// Total run time from which a run counts as long, in milliseconds.
pub(super) const LONG_RUN_MS: u64 = 10 * 60 * 1000;

/// Cost of a long run relative to a short one. Capacity for it is hard to find
/// again, and each eviction delays a result that has been awaited for long.
const LONG_RUN_FACTOR: f64 = 4.0;

/// Cost of a watcher relative to other tasks: nothing is watched until it runs
/// again.
const WATCHER_FACTOR: f64 = 20.0;

/// Divisor of the elapsed run time of an overdue task that gives its expected
/// remaining time.
const OVERDUE_DIVISOR: u64 = 4;

/// Returns the cost of evicting a task, in weighted milliseconds of lost time,
/// or `None` if it must not be evicted.
///
/// The cost is the work lost since the last checkpoint plus `restart_ms`, the
/// time until the task runs again. It is multiplied for work near its end, long
/// runs and watchers, and by the weight of the class.
pub fn eviction_cost(
    now: Timestamp,
    class: &Class,
    task: &RunningTask,
    restart_ms: u64,
) -> Option<f64> {
    let is_protected = !class.evictable || class.urgent || class.kind == ClassKind::Service;
    if is_protected || task.stopping || now < task.immune_until {
        return None;
    }
    let lost_ms = now.ms_since(task.checkpoint_at.max(task.started_at));
    let factor = match class.kind {
        ClassKind::Watcher => WATCHER_FACTOR,
        _ => near_end_factor(now, task) * long_run_factor(now, task),
    };
    Some((lost_ms + restart_ms) as f64 * factor * class.weight.max(0.01))
}

/// Returns the expected time until an evicted task runs again, from the times
/// for which the queued requests have waited, in milliseconds.
pub(super) fn restart_ms(now: Timestamp, waiting: &[PlacementRequest]) -> u64 {
    let waits = waiting.iter().filter(|it| !it.urgent).map(|it| now.ms_since(it.queued_since));
    let (sum, count) = waits.fold((0u64, 0u64), |(sum, count), it| {
        (sum.saturating_add(it.min(MAX_RESTART_MS)), count + 1)
    });
    (MIN_RESTART_MS + sum / count.max(1)).min(MAX_RESTART_MS)
}

/// Returns the expected remaining run time of a task, in milliseconds.
pub(super) fn remaining_ms(now: Timestamp, task: &RunningTask) -> u64 {
    let overdue = now.ms_since(task.started_at) / OVERDUE_DIVISOR;
    let remaining = now.ms_until(task.expected_end);
    if remaining == 0 { overdue } else { remaining }
}

fn near_end_factor(now: Timestamp, task: &RunningTask) -> f64 {
    let elapsed = now.ms_since(task.started_at) as f64;
    let total = elapsed + remaining_ms(now, task) as f64;
    let done = if total == 0.0 { 0.0 } else { elapsed / total };
    let near_end = ((done - NEAR_END_SHARE) / (1.0 - NEAR_END_SHARE)).max(0.0);
    1.0 + (NEAR_END_FACTOR - 1.0) * near_end * near_end
}

fn long_run_factor(now: Timestamp, task: &RunningTask) -> f64 {
    let total = now.ms_since(task.started_at) + remaining_ms(now, task);
    if LONG_RUN_MS <= total { LONG_RUN_FACTOR } else { 1.0 }
}
