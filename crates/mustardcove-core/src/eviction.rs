//! Planning of evictions.
//!
//! An eviction loses work, so it needs a persistent reason: urgent work that
//! waits because no worker has room, or a latency-critical service that was
//! slow in several consecutive samples. Among the tasks whose eviction helps,
//! the one with the lowest cost is evicted. A budget per minute, immunity after
//! an eviction and a check that an eviction makes enough room keep waves of
//! noise or of urgent work from causing waves of evictions. See
//! `docs/placement.md`.

use std::collections::VecDeque;

use crate::{
    class::{ClassIndex, ClassKind, ClassTable},
    id::JobId,
    placement::{EvictionChoice, PlacementRequest, RunningTask, WorkerIndex, WorkerView},
    size::Resources,
    time::Timestamp,
    worker::UsageSample,
};

use self::slow_services::SlowServices;
pub use self::{capacity::CapacityPlan, cost::eviction_cost, slow_services::SlowdownModel};

mod capacity;
mod cost;
mod slow_services;

/// Most evictions of one group in a minute.
pub const EVICTIONS_PER_MINUTE: usize = 12;

/// Most evictions of one group in a minute that speed up slow services; the
/// rest of the budget is reserved for urgent work.
pub const SERVICE_EVICTIONS_PER_MINUTE: usize = 3;

/// Time for which an evicted job is not evicted again, in milliseconds.
pub const IMMUNITY_MS: u64 = 10 * 60 * 1000;

/// Number of consecutive slow samples from which a service counts as slow.
pub const SLOW_SAMPLES: u8 = 3;

/// Most tasks that are evicted to start one urgent task.
const MAX_EVICTIONS_PER_START: usize = 4;

/// Period of the eviction budget, in milliseconds.
const BUDGET_PERIOD_MS: u64 = 60_000;

/// An eviction that was planned.
#[derive(Clone, Copy, Debug)]
struct PlannedEviction {
    at: Timestamp,
    job: JobId,
    for_urgent: bool,
}

/// Tasks of one worker that can be evicted together, and their total cost.
#[derive(Clone, Debug)]
struct Candidate {
    worker: WorkerIndex,
    cost: f64,
    tasks: Vec<usize>,
}

/// Plans evictions, within a budget that depends on earlier plans.
#[derive(Clone, Debug, Default)]
pub struct EvictionPlanner {
    /// Oldest first, kept for [`IMMUNITY_MS`].
    recent_evictions: VecDeque<PlannedEviction>,
    slow_services: SlowServices,
}

impl EvictionPlanner {
    /// Returns a planner that has evicted nothing.
    pub fn new() -> EvictionPlanner {
        EvictionPlanner::default()
    }

    /// Records a sample of a class on a worker; only latency-critical classes
    /// count.
    pub fn observe(
        &mut self,
        now: Timestamp,
        classes: &ClassTable,
        class: ClassIndex,
        sample: &UsageSample,
    ) {
        self.slow_services.observe(now, classes, class, sample);
    }

    /// Returns the tasks to evict now: first for urgent work, then for slow
    /// services.
    ///
    /// Every returned eviction counts against the budget, whether or not it is
    /// carried out.
    pub fn plan(
        &mut self,
        now: Timestamp,
        classes: &ClassTable,
        model: SlowdownModel<'_>,
        workers: &[WorkerView],
        waiting: &[PlacementRequest],
    ) -> Vec<EvictionChoice> {
        self.prune(now);
        let mut choices = Vec::new();
        let mut capacity = CapacityPlan::new(workers);
        let restart_ms = cost::restart_ms(now, waiting);
        for request in waiting.iter().filter(|it| it.urgent) {
            if capacity.try_reserve(request).is_some() {
                continue;
            }
            let budget = EVICTIONS_PER_MINUTE.saturating_sub(self.count_recent(now, false));
            if budget == 0 {
                break;
            }
            let limit = budget.min(MAX_EVICTIONS_PER_START);
            let candidates = (0..workers.len()).filter_map(|index| {
                self.cheapest_candidate(
                    now, classes, workers, index, request, &capacity, restart_ms, limit,
                )
            });
            let best = candidates.min_by(|lhs, rhs| lhs.cost.total_cmp(&rhs.cost));
            let Some(best) = best else { continue };
            for &task in &best.tasks {
                let task = &workers[best.worker].tasks[task];
                self.record_eviction(now, best.worker, task, true, classes, workers, &mut capacity);
                choices.push(EvictionChoice {
                    worker: best.worker,
                    task: task.task,
                    for_urgent: true,
                });
            }
            capacity.reserve(best.worker, request.resources);
        }
        self.evict_for_slow_services(
            now,
            classes,
            model,
            workers,
            restart_ms,
            &mut capacity,
            &mut choices,
        );
        choices
    }

    /// Plans evictions of tasks that slow a service down.
    fn evict_for_slow_services(
        &mut self,
        now: Timestamp,
        classes: &ClassTable,
        model: SlowdownModel<'_>,
        workers: &[WorkerView],
        restart_ms: u64,
        capacity: &mut CapacityPlan,
        choices: &mut Vec<EvictionChoice>,
    ) {
        for (worker, view) in workers.iter().enumerate() {
            let service_budget =
                SERVICE_EVICTIONS_PER_MINUTE.saturating_sub(self.count_recent(now, true));
            let total_budget = EVICTIONS_PER_MINUTE.saturating_sub(self.count_recent(now, false));
            if service_budget.min(total_budget) == 0 {
                return;
            }
            // The slowdown may end with a task that is already being stopped.
            if !self.slow_services.is_slow(now, view) || view.tasks.iter().any(|it| it.stopping) {
                continue;
            }
            let costs = view
                .tasks
                .iter()
                .map(|task| self.cost(now, classes, workers, worker, task, capacity, restart_ms));
            let costs: Vec<Option<f64>> = costs.collect();
            let Some(index) = slow_services::most_beneficial(now, classes, model, view, &costs)
            else {
                continue;
            };
            let task = &view.tasks[index];
            self.record_eviction(now, worker, task, false, classes, workers, capacity);
            self.slow_services.reset(view);
            choices.push(EvictionChoice { worker, task: task.task, for_urgent: false });
        }
    }

    /// Returns the cheapest set of tasks of a worker whose eviction makes room
    /// for a request.
    fn cheapest_candidate(
        &self,
        now: Timestamp,
        classes: &ClassTable,
        workers: &[WorkerView],
        worker: WorkerIndex,
        request: &PlacementRequest,
        capacity: &CapacityPlan,
        restart_ms: u64,
        limit: usize,
    ) -> Option<Candidate> {
        let view = &workers[worker];
        let needs = request.resources;
        if !view.accepting
            || !needs.fits_in(view.capacity)
            || request.avoid_workers.contains(&view.id)
        {
            return None;
        }
        let mut costs: Vec<(f64, usize)> = Vec::new();
        for (index, task) in view.tasks.iter().enumerate() {
            let cost = self.cost(now, classes, workers, worker, task, capacity, restart_ms);
            costs.extend(cost.map(|it| (it, index)));
        }
        costs.sort_by(|lhs, rhs| lhs.0.total_cmp(&rhs.0));
        let fits = |tasks: &[(f64, usize)]| {
            let freed = tasks.iter().fold(capacity.free(worker), |sum, &(_, index)| {
                sum.saturating_add(view.tasks[index].resources)
            });
            needs.fits_in(freed)
        };
        let single = costs.iter().find(|&&it| fits(&[it])).copied();
        let cheapest_set = cheapest_set(&costs, limit, fits);
        let single = single.map(|it| vec![it]);
        let candidates = [single, cheapest_set].into_iter().flatten();
        let candidates = candidates.map(|set| Candidate {
            worker,
            cost: set.iter().map(|it| it.0).sum(),
            tasks: set.iter().map(|it| it.1).collect(),
        });
        candidates.min_by(|lhs, rhs| lhs.cost.total_cmp(&rhs.cost))
    }

    /// Returns the cost of evicting a task, or `None` if that is not allowed.
    fn cost(
        &self,
        now: Timestamp,
        classes: &ClassTable,
        workers: &[WorkerView],
        worker: WorkerIndex,
        task: &RunningTask,
        capacity: &CapacityPlan,
        restart_ms: u64,
    ) -> Option<f64> {
        let class = classes.get(task.class);
        let cost = eviction_cost(now, class, task, restart_ms)?;
        if self.is_immune(now, task.task.job) || capacity.is_evicted(task.task) {
            return None;
        }
        // A watcher may be moved, but only to capacity that is free already.
        if class.kind == ClassKind::Watcher {
            capacity.other_worker_with_room(workers, worker, task.resources)?;
        }
        Some(cost)
    }

    /// Records a planned eviction and the capacity that it frees, and reserves
    /// the capacity to which a watcher moves.
    fn record_eviction(
        &mut self,
        now: Timestamp,
        worker: WorkerIndex,
        task: &RunningTask,
        for_urgent: bool,
        classes: &ClassTable,
        workers: &[WorkerView],
        capacity: &mut CapacityPlan,
    ) {
        if classes.get(task.class).kind == ClassKind::Watcher
            && let Some(destination) =
                capacity.other_worker_with_room(workers, worker, task.resources)
        {
            capacity.reserve(destination, task.resources);
        }
        capacity.release_evicted(worker, task);
        self.recent_evictions.push_back(PlannedEviction {
            at: now,
            job: task.task.job,
            for_urgent,
        });
    }

    /// Returns the number of evictions planned in the last minute, or only of
    /// those for slow services.
    fn count_recent(&self, now: Timestamp, only_for_services: bool) -> usize {
        let recent =
            self.recent_evictions.iter().filter(|it| now.ms_since(it.at) < BUDGET_PERIOD_MS);
        recent.filter(|it| !only_for_services || !it.for_urgent).count()
    }

    fn is_immune(&self, now: Timestamp, job: JobId) -> bool {
        self.recent_evictions.iter().any(|it| it.job == job && now.ms_since(it.at) < IMMUNITY_MS)
    }

    fn prune(&mut self, now: Timestamp) {
        while self.recent_evictions.front().is_some_and(|it| IMMUNITY_MS <= now.ms_since(it.at)) {
            self.recent_evictions.pop_front();
        }
        self.slow_services.prune(now);
    }
}

/// Adds tasks by ascending cost until they free enough capacity, then drops
/// those that are not needed, most expensive first.
fn cheapest_set(
    costs: &[(f64, usize)],
    limit: usize,
    fits: impl Fn(&[(f64, usize)]) -> bool,
) -> Option<Vec<(f64, usize)>> {
    let needed = (1..=costs.len()).find(|&len| fits(&costs[..len]))?;
    let mut set = costs[..needed].to_vec();
    for index in (0..set.len()).rev() {
        let mut smaller = set.clone();
        smaller.remove(index);
        if fits(&smaller) {
            set = smaller;
        }
    }
    (!set.is_empty() && set.len() <= limit).then_some(set)
}

/// Returns the capacity of the tasks that are being stopped.
fn stopping_capacity(view: &WorkerView) -> Resources {
    let tasks = view.tasks.iter().filter(|it| it.stopping);
    tasks.fold(Resources::ZERO, |sum, it| sum.saturating_add(it.resources))
}
