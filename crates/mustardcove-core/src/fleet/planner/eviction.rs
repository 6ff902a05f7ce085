//! Stops of best-effort runs that hold the room of work that is worth more.
//!
//! After a burst, runs of submissions that are worthless by now hold leftover
//! processor time for seconds while others wait that could be served. The order of
//! work decides only what starts next. Under overload, some of these runs are
//! therefore stopped, those with the most work ahead first. Runs of late
//! submissions that are still worth something go on: what they have used would
//! be lost if they became worthless meanwhile.
//!
//! A stop costs the time of a stop and a restore, and what the run has not
//! saved. So only runs that save their progress, or have hardly any, are
//! stopped, not those that end soon, and only as many at a time as work waits
//! for. What is stopped ranks behind what takes its place, and does not start
//! again for some seconds. Each submission keeps a run. Long-running tasks and
//! runs with reserved processors are never stopped.

use std::cmp::Reverse;

use super::{
    DecisionKind, Planner, RunKey, placement,
    rank::Rank,
    work::WorkerIndex,
    workers::{Allocation, WorkloadKind},
};
use crate::{
    fleet::id::{StepKey, TaskKey},
    time::Timestamp,
};

/// Most runs that are being stopped at the same time in a pool, so that a wrong
/// forecast does little harm.
const MAX_EVICTIONS: usize = 12;
/// Progress up to which a run that saves none may be stopped, in percent.
const MAX_LOST_PERCENT: u8 = 10;
/// Progress from which a run is left to end, in percent: a stop and a restore
/// take about as long as the rest.
const MAX_PERCENT: u8 = 70;
/// Shortest time between a start and an eviction, in milliseconds: longer than a
/// stop and a restore take.
const MIN_RUN_MS: u64 = 1_500;
/// Time for which a stopped task does not start again, in milliseconds: about as
/// long as a step of what takes its place, whose next step needs the room, too.
const PAUSE_MS: u64 = 5_000;

/// A waiting step that finds no leftover processor time.
#[derive(Clone, Copy, Debug)]
struct Need {
    key: StepKey,
    rank: Rank,
    cpu: u64,
    /// Tasks that wait.
    tasks: usize,
    remaining_work: u64,
}

/// A run that may be stopped.
#[derive(Clone, Copy, Debug)]
struct Victim {
    run: RunKey,
    /// The rank of its step if it waited.
    rank: Rank,
    cpu: u64,
    remaining_work: u64,
}

impl Planner {
    /// Stops best-effort runs that hold room which other best-effort work needs
    /// and that is worth more.
    pub(super) fn evict(&mut self, schedulable: &[WorkerIndex], now: Timestamp) {
        let evictions = std::mem::take(&mut self.evictions);
        self.evictions = evictions.into_iter().filter(|it| self.stops.contains_key(it)).collect();
        if MAX_EVICTIONS <= self.evictions.len() {
            return;
        }
        let mut needs = self.unmet_needs(now);
        // The room of what is being stopped is for the first of those that wait.
        let mut coming = self.evictions.len();
        for need in &mut needs {
            let met = coming.min(need.tasks);
            need.tasks -= met;
            coming -= met;
        }
        needs.retain(|it| 0 < it.tasks);
        if needs.is_empty() {
            return;
        }
        let mut victims = self.eviction_victims(schedulable, now);
        victims.sort_by_key(|it| Reverse(it.remaining_work));
        for victim in victims {
            let index = victim.run.0;
            if self.is_last_run(&victim) {
                continue;
            }
            let is_met = |need: &Need| {
                need.rank < victim.rank && self.has_room_without(index, &victim, need)
            };
            let Some(need) = needs.iter_mut().find(|it| 0 < it.tasks && is_met(it)) else {
                continue;
            };
            need.tasks -= 1;
            let need = *need;
            self.evict_run(&victim, &need, now);
            if MAX_EVICTIONS <= self.evictions.len() {
                return;
            }
        }
    }

    fn evict_run(&mut self, victim: &Victim, need: &Need, now: Timestamp) {
        let (index, task, run) = victim.run;
        let why = "worthless under overload";
        self.stop(index, task, run, why, now);
        self.evictions.push(victim.run);
        if let Some(slot) = self.task_mut(task) {
            slot.not_before = slot.not_before.max(now.plus_ms(PAUSE_MS));
            slot.is_evicted = true;
        }
        self.loads.evictions += 1;
        let worker = self.worker_id(index);
        self.log_decision(DecisionKind::Evicted, Some(task.step.submission), Some(worker), || {
            format!(
                "task={task} run={run} for={} why={why} remaining_work={} for_remaining_work={}",
                need.key, victim.remaining_work, need.remaining_work,
            )
        });
    }

    /// Ends the pause of a step's stopped tasks: the other runs of the submission
    /// have ended meanwhile, and users expect it to have one.
    pub(super) fn end_eviction_pause(&mut self, key: StepKey, now: Timestamp) {
        let work = self.work.get_mut(&key.submission);
        let occurrence = work.and_then(|it| it.occurrence_mut(key.occurrence));
        let step = occurrence.and_then(|it| it.steps.get_mut(usize::from(key.step)));
        let tasks = step.into_iter().flat_map(|it| &mut it.tasks);
        for task in tasks.filter(|it| it.is_evicted) {
            task.is_evicted = false;
            task.not_before = task.not_before.min(now);
        }
    }

    /// Returns whether nothing else of its submission runs: each submission keeps
    /// a run while users expect that.
    fn is_last_run(&self, victim: &Victim) -> bool {
        let Some(work) = self.work.get(&victim.run.1.step.submission) else { return true };
        let others = work.runs().filter(|(task, _)| *task != victim.run.1);
        !others.into_iter().any(|(task, it)| self.is_alive(task, it))
    }

    /// Returns the best-effort steps under overload that wait although they can be
    /// served, in their order.
    fn unmet_needs(&self, now: Timestamp) -> Vec<Need> {
        let mut needs: Vec<Need> = Vec::new();
        for key in &self.waiting {
            let Some(work) = self.work.get(&key.submission) else { continue };
            let spec = &work.submission.steps[usize::from(key.step)];
            let is_overloaded = || self.loads.is_best_effort_overloaded(&work.queue.service);
            if !spec.is_best_effort || spec.is_gang || !is_overloaded() {
                continue;
            }
            let Some(step) = self.waiting_step(*key) else { continue };
            let rank = step.rank(now);
            let Some(pending) = self.pending_tasks(*key, false, now) else { continue };
            if rank.is_on_time() && !pending.needs_ticket {
                let tasks = pending.tasks.len();
                let remaining_work = work.overload.remaining_work;
                needs.push(Need { key: *key, rank, cpu: spec.demand.cpu.0, tasks, remaining_work });
            }
        }
        needs.sort_by_key(|it| it.rank);
        needs
    }

    /// Returns the runs that may be stopped.
    fn eviction_victims(&self, schedulable: &[WorkerIndex], now: Timestamp) -> Vec<Victim> {
        let mut victims = Vec::new();
        for index in schedulable.iter().copied() {
            let worker = &self.workers[index];
            if worker.best_effort_cpu == 0
                || !self.loads.is_best_effort_overloaded(&worker.listing.service)
            {
                continue;
            }
            let runs = worker.allocations.iter();
            let runs = runs.filter(|(_, it)| it.kind == WorkloadKind::BestEffort);
            victims.extend(runs.filter_map(|(task, it)| self.victim(index, *task, it, now)));
        }
        victims
    }

    /// Returns a run if it may be stopped at all.
    fn victim(
        &self,
        index: WorkerIndex,
        task: TaskKey,
        allocation: &Allocation,
        now: Timestamp,
    ) -> Option<Victim> {
        let run = (index, task, allocation.run);
        let work = self.work.get(&task.step.submission)?;
        let current = work.task(task)?.run().filter(|it| it.run == allocation.run)?;
        let spec = &work.submission.steps[usize::from(task.step.step)];
        let is_cheap = spec.saves_progress || current.percent <= MAX_LOST_PERCENT;
        // A run at the lowest pace holds next to nothing.
        let may_stop = is_cheap
            && allocation.max_pace == 100
            && !spec.is_gang
            && current.percent < MAX_PERCENT
            && current.is_confirmed()
            && MIN_RUN_MS <= now.ms_since(current.ordered_at)
            && !self.stops.contains_key(&run);
        if !may_stop {
            return None;
        }
        let mut step = self.rank_inputs(task.step)?;
        let rank = step.rank(now);
        let done_ms = spec.estimate_ms.saturating_mul(u64::from(current.percent)) / 100;
        step.critical_path_ms = step.critical_path_ms.saturating_sub(done_ms);
        let remaining_work = work.overload.remaining_work;
        let is_worthless = !step.rank(now).is_worthwhile();
        is_worthless.then_some(Victim { run, rank, cpu: allocation.cpu, remaining_work })
    }

    /// Returns whether a worker would run a task of a waiting step if a run there
    /// had ended.
    fn has_room_without(&self, index: WorkerIndex, victim: &Victim, need: &Need) -> bool {
        let worker = &self.workers[index];
        let Some(work) = self.work.get(&need.key.submission) else { return false };
        let spec = &work.submission.steps[usize::from(need.key.step)];
        let image = spec.image.as_ref().and_then(|it| self.interference.known_image(it));
        let added = need.cpu.saturating_sub(victim.cpu);
        let leftover = placement::leftover_cpu(worker) + victim.cpu as i64;
        placement::is_eligible(worker, spec, &work.queue.service)
            && spec.allocation().fits_in(worker.free())
            && placement::is_enough_left_over(leftover, need.cpu)
            && 0 <= placement::min_headroom(worker, &self.interference, image, added)
    }
}
