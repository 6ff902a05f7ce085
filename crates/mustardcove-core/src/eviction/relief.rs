//! Services that are slow, and what may be evicted to make them fast again.

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

/// Slowdown from which a service is slow if its target says nothing.
const SLOWDOWN_LIMIT: f64 = 1.5;

/// Limits of the slowdown at which a service misses its target.
const SLOWDOWN_LIMITS: (f64, f64) = (1.25, 4.0);

/// Age at which a run of slow samples is forgotten, in milliseconds.
const MAX_STREAK_AGE_MS: u64 = 30_000;

/// Longest time over which the benefit of an eviction is counted, in
/// milliseconds; what shares the worker later is not known.
const MAX_BENEFIT_MS: u64 = 10 * 60 * 1000;

/// Least part of a service's excess that an eviction must remove.
const MIN_RELIEF: f64 = 0.25;

/// Least part of the excess at which a service misses its target that the
/// learned slowdowns must explain. Measurements that they do not explain are
/// noise, or have a cause that no eviction removes.
const MIN_EXPLAINED: f64 = 0.75;

/// What is known of the slowdowns that classes cause.
#[derive(Clone, Copy, Debug)]
pub enum Knowledge<'a> {
    /// They were learned.
    Learned(&'a InterferenceTable),
    /// They are the true ones.
    Exact(&'a SlowdownTable),
}

impl<'a> Knowledge<'a> {
    fn slowdowns(self) -> &'a SlowdownTable {
        match self {
            Knowledge::Learned(table) => table.slowdowns(),
            Knowledge::Exact(table) => table,
        }
    }

    /// Reports whether the figure for a pair may be acted on.
    fn is_settled(
        self,
        now: Timestamp,
        level: LoadLevel,
        victim: ClassIndex,
        aggressor: ClassIndex,
    ) -> bool {
        match self {
            Knowledge::Learned(table) => table.is_settled(now, level, victim, aggressor),
            Knowledge::Exact(_) => true,
        }
    }
}

/// Slow samples in a row of one class on one worker.
#[derive(Clone, Copy, Debug)]
struct Streak {
    length: u8,
    taken_at: Timestamp,
}

/// Latency-critical classes and the workers on which they are slow.
#[derive(Clone, Debug, Default)]
pub(super) struct SlowServices {
    streaks: BTreeMap<WorkerId, BTreeMap<ClassIndex, Streak>>,
}

impl SlowServices {
    /// Counts a sample; one that is older than the latest is left out, because
    /// the run of samples would not be consecutive.
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
        let start = Streak { length: 0, taken_at: Timestamp::default() };
        let streak = by_class.entry(class).or_insert(start);
        if sample.taken_at <= streak.taken_at {
            return;
        }
        let fresh = sample.taken_at.ms_since(streak.taken_at) < MAX_STREAK_AGE_MS;
        let length = if fresh { streak.length } else { 0 };
        streak.length = if slow { length.saturating_add(1) } else { 0 };
        streak.taken_at = sample.taken_at;
    }

    /// Reports whether a class on a worker was slow in enough samples in a row.
    pub(super) fn is_slow(&self, now: Timestamp, view: &WorkerView) -> bool {
        let Some(by_class) = self.streaks.get(&view.id) else { return false };
        by_class
            .values()
            .any(|it| SLOW_SAMPLES <= it.length && now.ms_since(it.taken_at) < MAX_STREAK_AGE_MS)
    }

    /// Starts counting anew on a worker, so that the effect of an eviction is
    /// seen before the next.
    pub(super) fn reset(&mut self, view: &WorkerView) {
        if let Some(by_class) = self.streaks.get_mut(&view.id) {
            by_class.values_mut().for_each(|it| it.length = 0);
        }
    }

    /// Forgets workers of which no sample came for a while.
    pub(super) fn forget(&mut self, now: Timestamp) {
        self.streaks.retain(|_, by_class| {
            by_class.values().any(|it| now.ms_since(it.taken_at) < MAX_STREAK_AGE_MS)
        });
    }
}

/// Returns the task whose eviction gains most, if one gains more than it costs.
///
/// `costs` holds the cost of each task, or `None` if it has to stay.
pub(super) fn most_worthwhile(
    now: Timestamp,
    classes: &ClassTable,
    knowledge: Knowledge<'_>,
    view: &WorkerView,
    costs: &[Option<f64>],
) -> Option<usize> {
    let level = LoadLevel::of(view.committed.cpu, view.capacity.cpu);
    let mut best = None;
    let mut best_gain = 0.0;
    for (index, task) in view.tasks.iter().enumerate() {
        let Some(cost) = costs[index] else { continue };
        let rate = relief(now, classes, knowledge, view, level, task.class);
        let benefit = rate * remaining_ms(now, task).min(MAX_BENEFIT_MS) as f64;
        if best_gain < benefit - cost {
            best_gain = benefit - cost;
            best = Some(index);
        }
    }
    best
}

/// Returns the weighted slowdown that latency-critical classes are rid of when
/// one task of a class goes; zero if that is not known or would hardly be felt.
fn relief(
    now: Timestamp,
    classes: &ClassTable,
    knowledge: Knowledge<'_>,
    view: &WorkerView,
    level: LoadLevel,
    aggressor: ClassIndex,
) -> f64 {
    let slowdowns = knowledge.slowdowns();
    let mut sum = 0.0;
    for &(victim, count) in &view.residents {
        let class = classes.get(victim);
        let affected = victim != aggressor && is_latency_critical(classes, victim);
        if !affected || !knowledge.is_settled(now, level, victim, aggressor) {
            continue;
        }
        let with = slowdowns.slowdown(level, victim, &view.residents);
        let without = with / (1.0 + slowdowns.excess(level, victim, aggressor));
        let explained = MIN_EXPLAINED * (slowdown_limit(class) - 1.0) <= with - 1.0;
        if explained && MIN_RELIEF * (with - 1.0) <= with - without {
            sum += (with - without) * f64::from(count) * class.weight;
        }
    }
    sum
}

/// Returns the slowdown at which a class misses its target.
fn slowdown_limit(class: &Class) -> f64 {
    if class.latency_target_ms == 0 || class.expected_run_ms == 0 {
        return SLOWDOWN_LIMIT;
    }
    let limit = class.latency_target_ms as f64 / class.expected_run_ms as f64;
    limit.clamp(SLOWDOWN_LIMITS.0, SLOWDOWN_LIMITS.1)
}
