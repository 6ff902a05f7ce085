//! Detection of slow services, and the choice of tasks to evict for them.

use std::collections::BTreeMap;

use crate::{
    class::{Class, ClassIndex, ClassTable},
    eviction::{SLOW_SAMPLES, cost::remaining_ms},
    id::WorkerId,
    interference::{InterferenceTable, LoadLevel, SlowdownTable},
    placement::{WorkerView, is_latency_critical},
    time::Timestamp,
    worker::UsageSample,
};

/// Slowdown from which a service is slow if no target can be derived from its
/// class.
const DEFAULT_SLOWDOWN_LIMIT: f64 = 1.5;

/// Limits of the slowdown that is derived from the target of a class.
const SLOWDOWN_LIMITS: (f64, f64) = (1.25, 4.0);

/// Age at which a streak of slow samples expires, in milliseconds.
const MAX_STREAK_AGE_MS: u64 = 30_000;

/// Longest time over which the benefit of an eviction is counted, in
/// milliseconds, because the later residents of the worker are not known.
const MAX_BENEFIT_MS: u64 = 10 * 60 * 1000;

/// Least part of a service's excess slowdown that an eviction must remove.
const MIN_REMOVED_SHARE: f64 = 0.25;

/// Least predicted excess of a service, relative to the excess at which it
/// misses its target. A measured slowdown that the learned slowdowns do not
/// predict is noise, or has a cause that no eviction removes.
const MIN_PREDICTED_SHARE: f64 = 0.75;

/// Source of the slowdowns that classes cause each other.
#[derive(Clone, Copy, Debug)]
pub enum SlowdownModel<'a> {
    /// Slowdowns learned from samples.
    Learned(&'a InterferenceTable),
    /// True slowdowns.
    Exact(&'a SlowdownTable),
}

impl<'a> SlowdownModel<'a> {
    fn slowdowns(self) -> &'a SlowdownTable {
        match self {
            SlowdownModel::Learned(table) => table.slowdowns(),
            SlowdownModel::Exact(table) => table,
        }
    }

    /// Reports whether the slowdown of a pair is certain enough to act on it.
    fn is_reliable(
        self,
        now: Timestamp,
        level: LoadLevel,
        victim: ClassIndex,
        aggressor: ClassIndex,
    ) -> bool {
        match self {
            SlowdownModel::Learned(table) => table.is_reliable(now, level, victim, aggressor),
            SlowdownModel::Exact(_) => true,
        }
    }
}

/// Consecutive slow samples of one class on one worker.
#[derive(Clone, Copy, Debug)]
struct Streak {
    length: u8,
    taken_at: Timestamp,
}

/// Streaks of slow samples of latency-critical classes, by worker.
#[derive(Clone, Debug, Default)]
pub(super) struct SlowServices {
    streaks: BTreeMap<WorkerId, BTreeMap<ClassIndex, Streak>>,
}

impl SlowServices {
    /// Counts a sample. A sample that is not newer than the latest one is
    /// ignored, because the samples of a streak are consecutive.
    pub(super) fn observe(
        &mut self,
        now: Timestamp,
        classes: &ClassTable,
        class: ClassIndex,
        sample: &UsageSample,
    ) {
        let age = now.ms_since(sample.taken_at);
        let usable = sample.slowdown.is_finite() && age < MAX_STREAK_AGE_MS;
        if !usable || !is_latency_critical(classes, class) {
            return;
        }
        let slow = slowdown_limit(classes.get(class)) <= sample.slowdown;
        let by_class = self.streaks.entry(sample.worker.clone()).or_default();
        let empty = Streak { length: 0, taken_at: Timestamp::default() };
        let streak = by_class.entry(class).or_insert(empty);
        if sample.taken_at <= streak.taken_at {
            return;
        }
        let continues = sample.taken_at.ms_since(streak.taken_at) < MAX_STREAK_AGE_MS;
        let length = if continues { streak.length } else { 0 };
        streak.length = if slow { length.saturating_add(1) } else { 0 };
        streak.taken_at = sample.taken_at;
    }

    /// Reports whether a class on a worker was slow in enough consecutive
    /// samples.
    pub(super) fn is_slow(&self, now: Timestamp, view: &WorkerView) -> bool {
        let Some(by_class) = self.streaks.get(&view.id) else { return false };
        by_class
            .values()
            .any(|it| SLOW_SAMPLES <= it.length && now.ms_since(it.taken_at) < MAX_STREAK_AGE_MS)
    }

    /// Resets the streaks of a worker, so that the effect of an eviction is
    /// measured before the next one.
    pub(super) fn reset(&mut self, view: &WorkerView) {
        if let Some(by_class) = self.streaks.get_mut(&view.id) {
            by_class.values_mut().for_each(|it| it.length = 0);
        }
    }

    /// Removes workers without recent samples.
    pub(super) fn prune(&mut self, now: Timestamp) {
        self.streaks.retain(|_, by_class| {
            by_class.values().any(|it| now.ms_since(it.taken_at) < MAX_STREAK_AGE_MS)
        });
    }
}

/// Returns the task whose eviction has the largest net benefit, or `None` if
/// none has a positive one.
///
/// `costs` holds the cost of each task, or `None` if it must not be evicted.
pub(super) fn most_beneficial(
    now: Timestamp,
    classes: &ClassTable,
    model: SlowdownModel<'_>,
    view: &WorkerView,
    costs: &[Option<f64>],
) -> Option<usize> {
    let level = LoadLevel::of(view.committed.cpu, view.capacity.cpu);
    let mut best = None;
    let mut best_net_benefit = 0.0;
    for (index, task) in view.tasks.iter().enumerate() {
        let Some(cost) = costs[index] else { continue };
        let removed = removed_slowdown(now, classes, model, view, level, task.class);
        let benefit = removed * remaining_ms(now, task).min(MAX_BENEFIT_MS) as f64;
        if best_net_benefit < benefit - cost {
            best_net_benefit = benefit - cost;
            best = Some(index);
        }
    }
    best
}

/// Returns the weighted slowdown of latency-critical classes that the eviction
/// of one task of a class removes; zero if it is uncertain or insignificant.
fn removed_slowdown(
    now: Timestamp,
    classes: &ClassTable,
    model: SlowdownModel<'_>,
    view: &WorkerView,
    level: LoadLevel,
    aggressor: ClassIndex,
) -> f64 {
    let slowdowns = model.slowdowns();
    let mut sum = 0.0;
    for &(victim, count) in &view.residents {
        let class = classes.get(victim);
        let affected = victim != aggressor && is_latency_critical(classes, victim);
        if !affected || !model.is_reliable(now, level, victim, aggressor) {
            continue;
        }
        let with = slowdowns.slowdown(level, victim, &view.residents);
        let without = with / (1.0 + slowdowns.excess(level, victim, aggressor));
        let is_predicted = MIN_PREDICTED_SHARE * (slowdown_limit(class) - 1.0) <= with - 1.0;
        if is_predicted && MIN_REMOVED_SHARE * (with - 1.0) <= with - without {
            sum += (with - without) * f64::from(count) * class.weight;
        }
    }
    sum
}

/// Returns the slowdown at which a class misses its target, relative to
/// running alone.
fn slowdown_limit(class: &Class) -> f64 {
    if class.latency_target_ms == 0 || class.expected_run_ms == 0 {
        return DEFAULT_SLOWDOWN_LIMIT;
    }
    let limit = class.latency_target_ms as f64 / class.expected_run_ms as f64;
    limit.clamp(SLOWDOWN_LIMITS.0, SLOWDOWN_LIMITS.1)
}
