//! The choice of a worker for each waiting task of a step.

use std::{
    collections::{BTreeMap, BinaryHeap},
    sync::atomic::Ordering,
};

use super::{
    Planner, pace,
    placement::{self, Obstacle, Request},
    work::{Task, Work, WorkerIndex},
    worker_speed,
    workers::Allocation,
    workload_kind,
};
use crate::{
    fleet::{
        id::{RunNumber, StepKey, TaskKey},
        submission::StepSpec,
    },
    time::Timestamp,
};

/// The tasks of a step that wait for a worker.
#[derive(Clone)]
pub(super) struct PendingTasks {
    pub(super) key: StepKey,
    pub(super) service: String,
    pub(super) needs_ticket: bool,
    /// Index of each waiting task, and the worker that it avoids.
    pub(super) tasks: Vec<(u16, Option<WorkerIndex>)>,
    /// Number of placed tasks of the step by worker.
    pub(super) placed: BTreeMap<WorkerIndex, u32>,
    /// Whether most of the capacity is in use.
    pub(super) is_scarce: bool,
    /// From when on they would miss their SLO deadline if they took twice as long.
    due_soon_at: Timestamp,
    /// See [`Request::is_starved`].
    pub(super) is_starved: bool,
    /// Whether they may start on suspended workers.
    pub(super) may_use_suspended: bool,
    /// Whether they may start beside other work on slow workers.
    pub(super) may_crowd_slow: bool,
    /// Whether their starts are ordered only once they are recorded.
    pub(super) is_withheld: bool,
    /// Whether one of them has failed before.
    pub(super) has_failed: bool,
    /// Whether one of them has one attempt left.
    pub(super) is_last_attempt: bool,
    /// Whether they are suspected of a crash, and start without isolation.
    pub(super) is_released: bool,
}

/// The workers that can run a task of a step, best first.
///
/// A burst of wide steps would otherwise score every worker for every task.
/// Placing a task changes only the score of its own worker, which is inserted
/// again.
#[derive(Debug)]
struct Ranking {
    workers: BinaryHeap<(i64, WorkerIndex)>,
}

impl PendingTasks {
    pub(super) fn new(key: StepKey, work: &Work, is_scarce: bool) -> PendingTasks {
        PendingTasks {
            key,
            service: work.queue.service.clone(),
            needs_ticket: work.queue.needs_ticket,
            tasks: Vec::new(),
            placed: BTreeMap::new(),
            is_scarce,
            due_soon_at: due_soon_at(key, work),
            is_starved: false,
            may_use_suspended: false,
            may_crowd_slow: false,
            is_withheld: false,
            has_failed: false,
            is_last_attempt: false,
            is_released: false,
        }
    }

    /// Returns the first pending task.
    pub(super) fn task(&self) -> TaskKey {
        TaskKey { step: self.key, index: self.tasks.first().map_or(0, |it| it.0) }
    }

    fn of_step(key: StepKey, work: &Work, is_scarce: bool) -> Option<PendingTasks> {
        let step = &work.occurrence(key.occurrence)?.steps[usize::from(key.step)];
        let mut pending = PendingTasks::new(key, work, is_scarce);
        for run in step.tasks.iter().filter_map(Task::run) {
            *pending.placed.entry(run.worker).or_default() += 1;
        }
        Some(pending)
    }
}

/// Returns from when on the tasks of a step would miss the SLO deadline if their
/// critical path took twice as long as estimated.
fn due_soon_at(key: StepKey, work: &Work) -> Timestamp {
    let Some(occurrence) = work.occurrence(key.occurrence) else { return Timestamp::MAX };
    let path_ms = occurrence.steps[usize::from(key.step)].critical_path_ms;
    occurrence.slo_deadline.minus_ms(path_ms.saturating_mul(2))
}

impl Ranking {
    fn insert(&mut self, worker: WorkerIndex, score: i64) {
        self.workers.push((score, worker));
    }

    /// Removes and returns the best worker; the one to avoid only if no other
    /// has a score within [`placement::MISFIT_PENALTY`] of it.
    fn take_best(&mut self, avoid: Option<WorkerIndex>) -> Option<WorkerIndex> {
        let (score, worker) = self.workers.pop()?;
        if avoid != Some(worker) {
            return Some(worker);
        }
        let avoided = (score - placement::MISFIT_PENALTY, worker);
        match self.workers.pop() {
            Some(next) if avoided < next => {
                self.workers.push((score, worker));
                Some(next.1)
            }
            Some(next) => {
                self.workers.push(next);
                Some(worker)
            }
            None => Some(worker),
        }
    }
}

impl Planner {
    /// Returns a step without pending tasks; `None` if it has not begun.
    pub(super) fn pending_of_step(
        &self,
        key: StepKey,
        work: &Work,
        is_scarce: bool,
    ) -> Option<PendingTasks> {
        let mut pending = PendingTasks::of_step(key, work, is_scarce)?;
        self.count_copies(&mut pending);
        Some(pending)
    }

    pub(super) fn pending_tasks(
        &self,
        key: StepKey,
        is_scarce: bool,
        now: Timestamp,
    ) -> Option<PendingTasks> {
        let work = self.work.get(&key.submission)?;
        let spec = &work.submission.steps[usize::from(key.step)];
        if !self.may_start_work(work, now) {
            return None;
        }
        let step = &work.occurrence(key.occurrence)?.steps[usize::from(key.step)];
        let mut pending = self.pending_of_step(key, work, is_scarce)?;
        for (i, task) in step.tasks.iter().enumerate() {
            let index = i as u16;
            let is_placeable = self.is_placeable(TaskKey { step: key, index }, &work.submission);
            if task.is_waiting() && task.not_before <= now && is_placeable {
                pending.tasks.push((index, task.avoid));
                let failed = task.failed_runs.len();
                pending.has_failed |= 0 < failed;
                pending.is_last_attempt |=
                    !spec.is_long_running && work.queue.attempts as usize <= failed + 1;
            }
            // All members of a gang wait for the record of one of them.
            pending.is_withheld |= spec.is_gang && task.suspicion.is_some();
        }
        // Members of a gang only work together, so they start together.
        let is_incomplete = spec.is_gang && pending.tasks.len() < usize::from(spec.count);
        (!pending.tasks.is_empty() && !is_incomplete).then_some(pending)
    }

    /// Allocates capacity for the pending tasks in turn, until one fits nowhere,
    /// and returns the worker of each. Requests tickets if only those are
    /// missing. One task may use the suspended workers, or a whole gang, or all
    /// tasks of a long-running step.
    pub(super) fn allocate_tasks(
        &mut self,
        pending: &mut PendingTasks,
        spec: &StepSpec,
        schedulable: &[WorkerIndex],
        suspended: &[WorkerIndex],
        now: Timestamp,
    ) -> Vec<(u16, WorkerIndex)> {
        let tasks = std::mem::take(&mut pending.tasks);
        let mut chosen = Vec::with_capacity(tasks.len());
        // Where the rack of the step's other tasks matters, each task changes
        // every score; otherwise only that of its own worker.
        let mut ranking =
            (!spec.wants_same_rack).then(|| self.ranking(pending, spec, schedulable, now));
        for (index, avoid) in tasks {
            let mut worker = match &mut ranking {
                Some(ranking) => ranking.take_best(avoid),
                None => self.choose(pending, spec, avoid, schedulable, now),
            };
            let is_ranked = worker.is_some();
            // A gang needs all its members, and attempts of long-running tasks
            // are not limited; otherwise one task shows whether the workers
            // still fail.
            let may_try = spec.is_gang || spec.is_long_running || chosen.is_empty();
            if worker.is_none() && may_try {
                worker = self.choose(pending, spec, avoid, suspended, now);
            }
            let Some(worker) = worker else {
                if pending.needs_ticket {
                    self.request_tickets_for(pending, spec, schedulable, now);
                }
                break;
            };
            let task = TaskKey { step: pending.key, index };
            let allocation = self.pending_allocation(pending, spec);
            self.workers[worker].allocate(task, allocation);
            self.workers[worker].circuit_breaker.record_start(now);
            self.refresh_latency_critical(worker, now);
            *pending.placed.entry(worker).or_default() += 1;
            chosen.push((index, worker));
            if let Some(ranking) = ranking.as_mut().filter(|_| is_ranked)
                && let Ok(score) =
                    self.score(pending, self.request(pending, spec, None), worker, now)
            {
                ranking.insert(worker, score);
            }
        }
        chosen
    }

    /// Returns the workers that can run a task of a step, by score.
    fn ranking(
        &self,
        pending: &PendingTasks,
        spec: &StepSpec,
        schedulable: &[WorkerIndex],
        now: Timestamp,
    ) -> Ranking {
        let req = self.request(pending, spec, None);
        let score = |index: &WorkerIndex| {
            let score = self.score(pending, req, *index, now).ok()?;
            Some((score, *index))
        };
        Ranking { workers: schedulable.iter().filter_map(score).collect() }
    }

    /// Returns the allocation of each of the pending tasks. A starved one gets
    /// the lowest pace, so that hundreds of them take little from the runs that
    /// are on time.
    pub(super) fn pending_allocation(
        &mut self,
        pending: &PendingTasks,
        spec: &StepSpec,
    ) -> Allocation {
        let allocation = self.allocation_for(spec, RunNumber::default());
        if !pending.is_starved {
            return allocation;
        }
        Allocation {
            cpu: allocation.cpu * u64::from(pace::MIN_PERCENT) / 100,
            max_pace: pace::MIN_PERCENT,
            ..allocation
        }
    }

    /// Releases what was allocated for tasks that are not started after all.
    pub(super) fn release_tasks(&mut self, key: StepKey, chosen: &mut Vec<(u16, WorkerIndex)>) {
        for (index, worker) in chosen.drain(..) {
            self.workers[worker].release(TaskKey { step: key, index });
        }
    }

    /// Requests tickets for a step on workers that could run it.
    ///
    /// A step may ask once a second only. If it is starved, each request is
    /// therefore also about the workers that it may use for that reason: those
    /// that others would use may all be forbidden to it.
    pub(super) fn request_tickets_for(
        &mut self,
        pending: &PendingTasks,
        spec: &StepSpec,
        schedulable: &[WorkerIndex],
        now: Timestamp,
    ) {
        if !self.may_request_tickets(pending.key, now) {
            return;
        }
        let is_starved = pending.is_starved
            || (spec.is_best_effort
                && self.blocked.is_blocked(pending.key.submission, now)
                && self.may_start_starved(&pending.service));
        let unrestricted = PendingTasks { needs_ticket: false, is_starved, ..pending.clone() };
        let mut ranking = self.ranking(&unrestricted, spec, schedulable, now);
        let best = std::iter::from_fn(|| ranking.take_best(None));
        let candidates: Vec<WorkerIndex> = best.collect();
        self.request_tickets(pending.key, &candidates, now);
    }

    pub(super) fn choose(
        &self,
        pending: &PendingTasks,
        spec: &StepSpec,
        avoid: Option<WorkerIndex>,
        schedulable: &[WorkerIndex],
        now: Timestamp,
    ) -> Option<WorkerIndex> {
        let req = self.request(pending, spec, avoid);
        let score = |index: &WorkerIndex| {
            let score = self.score(pending, req, *index, now).ok()?;
            Some((score, *index))
        };
        schedulable.iter().filter_map(score).max().map(|it| it.1)
    }

    pub(super) fn request<'a>(
        &'a self,
        pending: &'a PendingTasks,
        spec: &'a StepSpec,
        avoid: Option<WorkerIndex>,
    ) -> Request<'a> {
        let first = pending.placed.keys().next().filter(|_| spec.wants_same_rack);
        let rack = first.and_then(|it| self.workers[*it].listing.labels.last());
        Request {
            step: spec,
            service: &pending.service,
            kind: workload_kind(spec),
            image: spec.image.as_ref().and_then(|it| self.interference.known_image(it)),
            interference: &self.interference,
            avoid,
            rack: rack.map(String::as_str),
            same_step: 0,
            is_scarce: pending.is_scarce,
            is_due_soon: false,
            is_starved: pending.is_starved,
        }
    }

    /// Returns the score of a worker for a task of a step, or why the worker
    /// cannot run it now.
    pub(super) fn score(
        &self,
        pending: &PendingTasks,
        req: Request<'_>,
        index: WorkerIndex,
        now: Timestamp,
    ) -> Result<i64, Obstacle> {
        self.scored_workers.fetch_add(1, Ordering::Relaxed);
        let worker = &self.workers[index];
        if !pending.may_use_suspended && !worker.circuit_breaker.may_start(now) {
            return Err(Obstacle::Suspended);
        }
        if pending.needs_ticket
            && self.tickets.ticket(pending.key, index, worker.incarnation, now).is_none()
        {
            return Err(Obstacle::NoTicket);
        }
        let same_step = pending.placed.get(&index).copied().unwrap_or(0);
        let is_due_soon = pending.due_soon_at < now;
        let score = placement::score(worker, index, Request { same_step, is_due_soon, ..req })?;
        // A crash there would count against it.
        let is_unsound = pending.is_released && !self.suspects.is_worker_sound(worker, now);
        let score = if is_unsound { score - placement::MISFIT_PENALTY } else { score };
        // The submission fails if the last attempt does.
        let is_doubtful = pending.is_last_attempt && worker.circuit_breaker.is_doubtful(now);
        let is_unproven = pending.is_last_attempt
            && pending.has_failed
            && !worker.circuit_breaker.has_succeeded_recently(now);
        let doubts = i64::from(is_doubtful) * 2 + i64::from(is_unproven);
        let score = score - doubts * placement::MISFIT_PENALTY / 2;
        let slowness = worker.speed.slowness(now);
        if slowness <= 1.0 {
            return Ok(score);
        }
        // A submission without a run gets one wherever there is room.
        let is_bounded = !pending.is_starved
            && !pending.may_crowd_slow
            && !self.blocked.is_blocked(pending.key.submission, now);
        if is_bounded && !worker_speed::may_take(worker, req.step, slowness) {
            return Err(Obstacle::Slow);
        }
        Ok(score - self.slowness_penalty(pending.key, slowness, now))
    }
}
