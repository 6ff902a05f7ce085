//! Which tasks to evict, and when.
//!
//! An eviction throws away work, so it needs a reason that lasts: urgent work
//! that waits and finds no room, or a latency-critical service that was slow in
//! several samples in a row. Among the tasks whose eviction helps, the one that
//! costs least goes. A budget per minute, immunity after an eviction and a
//! check that an eviction makes enough room keep waves of noise or of urgent
//! work from becoming waves of eviction. See `docs/placement.md`.

use std::collections::VecDeque;

use crate::{
    class::{ClassIndex, ClassKind, ClassTable},
    id::JobId,
    placement::{EvictionChoice, PlacementRequest, RunningTask, WorkerIndex, WorkerView},
    size::Resources,
    time::Timestamp,
    worker::UsageSample,
};

use self::relief::SlowServices;
pub use self::{cost::eviction_cost, relief::Knowledge, room::RoomPlan};

mod cost;
mod relief;
mod room;

/// Most evictions of one group in a minute.
pub const EVICTIONS_PER_MINUTE: usize = 12;

/// Most evictions of one group in a minute for the sake of slow services; the
/// rest of the budget is kept for urgent work.
pub const RELIEF_PER_MINUTE: usize = 3;

/// How long a job that was evicted is not evicted again, in milliseconds.
pub const IMMUNITY_MS: u64 = 10 * 60 * 1000;

/// Samples in a row for which a service must be slow.
pub const SLOW_SAMPLES: u8 = 3;

/// Most tasks that are evicted for one urgent task.
const MAX_EVICTIONS_PER_START: usize = 4;

/// Period of the budget, in milliseconds.
const BUDGET_PERIOD_MS: u64 = 60_000;

/// An eviction that was decided.
#[derive(Clone, Copy, Debug)]
struct Grant {
    at: Timestamp,
    job: JobId,
    for_urgent: bool,
}

/// Tasks of one worker that could go together, and what that costs.
#[derive(Clone, Debug)]
struct Candidate {
    worker: WorkerIndex,
    cost: f64,
    tasks: Vec<usize>,
}

/// Decides on evictions and remembers those that it decided on.
#[derive(Clone, Debug, Default)]
pub struct EvictionPlanner {
    /// Oldest first, kept for [`IMMUNITY_MS`].
    grants: VecDeque<Grant>,
    slow: SlowServices,
}

impl EvictionPlanner {
    /// Returns a planner that has evicted nothing.
    pub fn new() -> EvictionPlanner {
        EvictionPlanner::default()
    }

    /// Takes note of how slow a latency-critical class is on a worker.
    pub fn observe(
        &mut self,
        now: Timestamp,
        classes: &ClassTable,
        class: ClassIndex,
        sample: &UsageSample,
    ) {
        self.slow.observe(now, classes, class, sample);
    }

    /// Returns the tasks to evict now; urgent work comes first.
    ///
    /// A choice counts against the budget whether or not it is carried out.
    pub fn plan(
        &mut self,
        now: Timestamp,
        classes: &ClassTable,
        knowledge: Knowledge<'_>,
        workers: &[WorkerView],
        waiting: &[PlacementRequest],
    ) -> Vec<EvictionChoice> {
        self.forget(now);
        let mut choices = Vec::new();
        let mut room = RoomPlan::new(workers);
        let restart_ms = cost::restart_ms(now, waiting);
        for request in waiting.iter().filter(|it| it.urgent) {
            if room.take(request).is_some() {
                continue;
            }
            let budget = EVICTIONS_PER_MINUTE.saturating_sub(self.granted(now, false));
            if budget == 0 {
                break;
            }
            let limit = budget.min(MAX_EVICTIONS_PER_START);
            let candidates = (0..workers.len()).filter_map(|index| {
                self.cheapest(now, classes, workers, index, request, &room, restart_ms, limit)
            });
            let best = candidates.min_by(|lhs, rhs| lhs.cost.total_cmp(&rhs.cost));
            let Some(best) = best else { continue };
            for &task in &best.tasks {
                let task = &workers[best.worker].tasks[task];
                self.grant(now, best.worker, task, true, classes, workers, &mut room);
                choices.push(EvictionChoice {
                    worker: best.worker,
                    task: task.task,
                    for_urgent: true,
                });
            }
            room.charge(best.worker, request.resources);
        }
        self.relieve(now, classes, knowledge, workers, restart_ms, &mut room, &mut choices);
        choices
    }

    /// Evicts tasks that have slowed a service down for several samples.
    fn relieve(
        &mut self,
        now: Timestamp,
        classes: &ClassTable,
        knowledge: Knowledge<'_>,
        workers: &[WorkerView],
        restart_ms: u64,
        room: &mut RoomPlan,
        choices: &mut Vec<EvictionChoice>,
    ) {
        for (worker, view) in workers.iter().enumerate() {
            let left = RELIEF_PER_MINUTE.saturating_sub(self.granted(now, true));
            let total_left = EVICTIONS_PER_MINUTE.saturating_sub(self.granted(now, false));
            if left.min(total_left) == 0 {
                return;
            }
            // A stop that is under way may end the slowdown by itself.
            if !self.slow.is_slow(now, view) || view.tasks.iter().any(|it| it.stopping) {
                continue;
            }
            let costs = view
                .tasks
                .iter()
                .map(|task| self.cost(now, classes, workers, worker, task, room, restart_ms));
            let costs: Vec<Option<f64>> = costs.collect();
            let Some(index) = relief::most_worthwhile(now, classes, knowledge, view, &costs) else {
                continue;
            };
            let task = &view.tasks[index];
            self.grant(now, worker, task, false, classes, workers, room);
            self.slow.reset(view);
            choices.push(EvictionChoice { worker, task: task.task, for_urgent: false });
        }
    }

    /// Returns the cheapest tasks of a worker that make room for a request.
    fn cheapest(
        &self,
        now: Timestamp,
        classes: &ClassTable,
        workers: &[WorkerView],
        worker: WorkerIndex,
        request: &PlacementRequest,
        room: &RoomPlan,
        restart_ms: u64,
        limit: usize,
    ) -> Option<Candidate> {
        let view = &workers[worker];
        let needs = request.resources;
        if !view.accepting || !needs.fits_in(view.capacity) || request.avoid.contains(&view.id) {
            return None;
        }
        let mut costs: Vec<(f64, usize)> = Vec::new();
        for (index, task) in view.tasks.iter().enumerate() {
            let cost = self.cost(now, classes, workers, worker, task, room, restart_ms);
            costs.extend(cost.map(|it| (it, index)));
        }
        costs.sort_by(|lhs, rhs| lhs.0.total_cmp(&rhs.0));
        let fits = |tasks: &[(f64, usize)]| {
            let freed = tasks.iter().fold(room.free(worker), |sum, &(_, index)| {
                sum.saturating_add(view.tasks[index].resources)
            });
            needs.fits_in(freed)
        };
        let single = costs.iter().find(|&&it| fits(&[it])).copied();
        let several = several(&costs, limit, fits);
        let single = single.map(|it| vec![it]);
        let sets = [single, several].into_iter().flatten();
        let sets = sets.map(|set| Candidate {
            worker,
            cost: set.iter().map(|it| it.0).sum(),
            tasks: set.iter().map(|it| it.1).collect(),
        });
        sets.min_by(|lhs, rhs| lhs.cost.total_cmp(&rhs.cost))
    }

    /// Returns the cost of evicting a task, or `None` if it has to stay.
    fn cost(
        &self,
        now: Timestamp,
        classes: &ClassTable,
        workers: &[WorkerView],
        worker: WorkerIndex,
        task: &RunningTask,
        room: &RoomPlan,
        restart_ms: u64,
    ) -> Option<f64> {
        let class = classes.get(task.class);
        let cost = eviction_cost(now, class, task, restart_ms)?;
        if self.is_immune(now, task.task.job) || room.is_leaving(task.task) {
            return None;
        }
        // A watcher may move, but only to a place that is free already.
        if class.kind == ClassKind::Watcher {
            room.elsewhere(workers, worker, task.resources)?;
        }
        Some(cost)
    }

    /// Records an eviction and the capacity that it releases.
    fn grant(
        &mut self,
        now: Timestamp,
        worker: WorkerIndex,
        task: &RunningTask,
        for_urgent: bool,
        classes: &ClassTable,
        workers: &[WorkerView],
        room: &mut RoomPlan,
    ) {
        if classes.get(task.class).kind == ClassKind::Watcher
            && let Some(place) = room.elsewhere(workers, worker, task.resources)
        {
            room.charge(place, task.resources);
        }
        room.leave(worker, task);
        self.grants.push_back(Grant { at: now, job: task.task.job, for_urgent });
    }

    /// Returns the evictions of the last minute, or only those for services.
    fn granted(&self, now: Timestamp, only_relief: bool) -> usize {
        let recent = self.grants.iter().filter(|it| now.ms_since(it.at) < BUDGET_PERIOD_MS);
        recent.filter(|it| !only_relief || !it.for_urgent).count()
    }

    fn is_immune(&self, now: Timestamp, job: JobId) -> bool {
        self.grants.iter().any(|it| it.job == job && now.ms_since(it.at) < IMMUNITY_MS)
    }

    fn forget(&mut self, now: Timestamp) {
        while self.grants.front().is_some_and(|it| IMMUNITY_MS <= now.ms_since(it.at)) {
            self.grants.pop_front();
        }
        self.slow.forget(now);
    }
}

/// Adds the cheapest tasks until they suffice, then leaves out those that are
/// not needed, dearest first.
fn several(
    costs: &[(f64, usize)],
    limit: usize,
    fits: impl Fn(&[(f64, usize)]) -> bool,
) -> Option<Vec<(f64, usize)>> {
    let enough = (1..=costs.len()).find(|&len| fits(&costs[..len]))?;
    let mut set = costs[..enough].to_vec();
    for index in (0..set.len()).rev() {
        let mut smaller = set.clone();
        smaller.remove(index);
        if fits(&smaller) {
            set = smaller;
        }
    }
    (!set.is_empty() && set.len() <= limit).then_some(set)
}

/// Returns the sum of the resources of tasks that are being stopped.
fn stopping(view: &WorkerView) -> Resources {
    let tasks = view.tasks.iter().filter(|it| it.stopping);
    tasks.fold(Resources::ZERO, |sum, it| sum.saturating_add(it.resources))
}
