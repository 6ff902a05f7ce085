//! Work done on each tick: due occurrences, overdue runs and stops, and the
//! placement of waiting tasks.

use std::{
    borrow::Cow,
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, BinaryHeap},
    sync::{Arc, atomic::Ordering},
};

use super::{
    DecisionKind, LEASE_MARGIN_MS, Planner, RunKey, START_CONFIRM_TIMEOUT_MS, STOP_RETRY_MS, pace,
    placement::{self, Obstacle, Request},
    rank::{Rank, WaitingStep},
    work::{Phase, Run, Task, TriedRound, Work, WorkerIndex},
    workers::{Allocation, Worker, WorkloadKind},
    workload_kind,
};
use crate::{
    fleet::{
        id::{RunNumber, StepKey, SubmissionId, TaskKey},
        message::{Order, StartOrder},
        poller::MAX_START_LEASE_MS,
        submission::{StepSpec, Submission, SubmissionState},
    },
    time::Timestamp,
};

/// Pace at or below which a best-effort task is moved if it can be, in
/// percent.
const SLOW_PACE_PERCENT: u8 = 30;
/// Time at that pace before the move, in milliseconds: swings of the load free
/// capacity again within seconds, and a move costs a restore.
const SLOW_PACE_MS: u64 = 1_000;
/// Progress from which a task that saves none is not moved, in percent.
const MAX_LOST_PROGRESS_PERCENT: u8 = 15;
/// Most moves ordered at once; each changes the capacity that the next one
/// sees.
const MAX_MOVES: u32 = 4;
/// Time after a move was ordered in which the task may start on the other worker,
/// in milliseconds: it has to stop first.
const MOVE_MS: u64 = 1_500;
/// Slowed tasks from which on a round looks for no more moves: each is scored
/// on every worker.
const MAX_MOVE_CHECKS: usize = 12;

/// Share of a pool's schedulable workers that may be reserved for tasks that fit on
/// no worker now, in percent and rounded up: a burst of large tasks finds
/// capacity, and most work goes on.
const MAX_RESERVED_PERCENT: usize = 15;

/// Steps that may try to reserve workers in one round, so that a long backlog
/// costs little.
const MAX_RESERVE_TRIES: u32 = 40;

/// Time after the last start of a step from which it may use suspended workers
/// again, in milliseconds: its tasks have few attempts.
const SUSPENDED_START_INTERVAL_MS: u64 = 2_000;

/// A best-effort run that was stopped so that it can go on elsewhere.
#[derive(Clone, Copy, Debug)]
pub(super) struct Move {
    to: WorkerIndex,
    /// What it demands, in millicores.
    cpu: u64,
    /// The processor time there is kept for it until then.
    expires_at: Timestamp,
}

/// A step that waits, with its rank.
struct Candidate {
    rank: Rank,
    key: StepKey,
}

/// One placement round.
///
/// Demands for which no worker was found are remembered, and steps that need
/// at least as much of the same are skipped, so that a long backlog costs
/// little. A step that found no worker in an earlier round is tried only on
/// those that have changed since: a backlog of a hundred steps on a thousand
/// workers would otherwise cost 10 ms a round.
struct Round<'a> {
    schedulable: &'a [WorkerIndex],
    /// The schedulable workers, those first that changed last.
    by_change: Vec<WorkerIndex>,
    /// The schedulable workers that are not reserved for a step.
    unreserved: Vec<WorkerIndex>,
    /// Workers that accept no work only because their runs failed.
    suspended: Vec<WorkerIndex>,
    /// The pools of which under half of the capacity is in use.
    mostly_free: BTreeSet<String>,
    is_scarce: bool,
    /// How many more workers of each pool may be reserved.
    reservable: BTreeMap<String, usize>,
    /// How many more steps may try to reserve workers.
    reserve_tries: u32,
    unplaceable: Vec<(String, StepSpec)>,
}

impl Round<'_> {
    /// Returns the workers on which a step may start that has the workers
    /// `reserved` reserved for it.
    fn usable(&self, may_use_reserved: bool, reserved: &[WorkerIndex]) -> Cow<'_, [WorkerIndex]> {
        if may_use_reserved {
            Cow::Borrowed(self.schedulable)
        } else if reserved.is_empty() {
            Cow::Borrowed(&self.unreserved)
        } else {
            self.unreserved.iter().chain(reserved).copied().collect()
        }
    }

    fn is_unplaceable(&self, service: &str, step: &StepSpec) -> bool {
        let is_alike = |it: &StepSpec| {
            it.is_best_effort == step.is_best_effort
                && it.is_long_running == step.is_long_running
                && it.image == step.image
                && it.requirement == step.requirement
                && it.demand.fits_in(step.demand)
        };
        self.unplaceable.iter().any(|(of, it)| of == service && is_alike(it))
    }

    fn record_unplaceable(&mut self, service: &str, step: &StepSpec) {
        // A limit on tasks of one step does not restrict other steps.
        if step.max_per_worker.is_none() {
            self.unplaceable.push((service.to_owned(), step.clone()));
        }
    }
}

/// The tasks of a step that wait for a worker.
#[derive(Clone)]
pub(super) struct PendingTasks {
    key: StepKey,
    service: String,
    pub(super) needs_ticket: bool,
    /// Index of each waiting task, and the worker that it avoids.
    pub(super) tasks: Vec<(u16, Option<WorkerIndex>)>,
    /// Number of placed tasks of the step by worker.
    placed: BTreeMap<WorkerIndex, u32>,
    /// Whether most of the capacity is in use.
    is_scarce: bool,
    /// See [`Request::is_starved`].
    pub(super) is_starved: bool,
    /// Whether they may start on suspended workers.
    pub(super) may_use_suspended: bool,
    /// Whether their starts are ordered only once they are recorded.
    pub(super) is_withheld: bool,
    /// Whether they are suspected of a crash, and start without isolation.
    pub(super) is_released: bool,
}

impl PendingTasks {
    fn new(key: StepKey, work: &Work, is_scarce: bool) -> PendingTasks {
        PendingTasks {
            key,
            service: work.queue.service.clone(),
            needs_ticket: work.queue.needs_ticket,
            tasks: Vec::new(),
            placed: BTreeMap::new(),
            is_scarce,
            is_starved: false,
            may_use_suspended: false,
            is_withheld: false,
            is_released: false,
        }
    }

    /// Returns the first pending task.
    pub(super) fn task(&self) -> TaskKey {
        TaskKey { step: self.key, index: self.tasks.first().map_or(0, |it| it.0) }
    }

    /// Returns the step without pending tasks; `None` if it has not begun.
    pub(super) fn of_step(key: StepKey, work: &Work, is_scarce: bool) -> Option<PendingTasks> {
        let step = &work.occurrence(key.occurrence)?.steps[usize::from(key.step)];
        let mut pending = PendingTasks::new(key, work, is_scarce);
        for run in step.tasks.iter().filter_map(Task::run) {
            *pending.placed.entry(run.worker).or_default() += 1;
        }
        Some(pending)
    }
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
    /// Does what is due and places the tasks that can be placed.
    pub fn tick(&mut self, now: Timestamp) {
        let scheduled: Vec<SubmissionId> = self.scheduled.iter().copied().collect();
        for id in scheduled {
            self.begin_due(id, now);
        }
        self.stop_unconfirmed(now);
        self.retry_stops(now);
        self.expire_leases(now);
        self.expire_earlier_work(now);
        self.pools_lacking_ends = self.find_pools_lacking_ends(now);
        self.workers.iter_mut().for_each(|it| it.expire_exclusion(now));
        self.begin_lookups(now);
        if self.may_start {
            self.start_due(now);
        }
        self.check_waits(now);
    }

    /// Starts what can be started, and makes room for what cannot.
    fn start_due(&mut self, now: Timestamp) {
        self.start_suspects(now);
        let schedulable: Vec<WorkerIndex> =
            (0..self.workers.len()).filter(|it| self.obstacle(*it, now).is_none()).collect();
        self.place(&schedulable, now);
        if !schedulable.is_empty() {
            self.move_slowed(&schedulable, now);
        }
        self.handle_blocked(&schedulable, now);
        self.start_released(&schedulable, now);
    }

    /// Begins the readings of submissions that are due.
    pub(super) fn begin_lookups(&mut self, now: Timestamp) {
        let lookups = self.lookups.take_due(now);
        self.actions.submission_lookups.extend(lookups);
    }

    pub(super) fn begin_due(&mut self, id: SubmissionId, now: Timestamp) {
        let Some(work) = self.work.get_mut(&id) else { return };
        let begun = work.begin_due(now);
        if work.next_occurrence == work.submission.occurrences() {
            self.scheduled.remove(&id);
        }
        for occurrence in begun {
            self.waiting.extend(work.submission.step_keys(occurrence));
        }
        if work.is_complete() && !work.state.is_final() {
            self.finish(id, SubmissionState::Completed, "all tasks are done", now);
        }
    }

    /// Begins the occurrence of a task that an earlier leader has started.
    pub(super) fn begin_reported(&mut self, task: TaskKey) {
        let id = task.step.submission;
        let Some(work) = self.work.get_mut(&id) else { return };
        if !work.begin_reported(task) {
            return;
        }
        let next = work.next_occurrence;
        self.waiting.extend(work.submission.step_keys(task.step.occurrence));
        self.log_decision(DecisionKind::OccurrenceReported, Some(id), None, || {
            format!("task={task} next={next}")
        });
    }

    fn stop_unconfirmed(&mut self, now: Timestamp) {
        let is_due = |it: (&RunKey, &Timestamp)| {
            let is_due = *it.1 <= now && self.workers[it.0.0].is_heard(*it.1, now);
            is_due.then_some(*it.0)
        };
        let due: Vec<RunKey> = self.unconfirmed.iter().filter_map(is_due).collect();
        for (worker, task, run) in due {
            self.stop(worker, task, run, "start not confirmed", now);
        }
    }

    fn retry_stops(&mut self, now: Timestamp) {
        for ((worker, task, run), stopping) in &mut self.stops {
            let worker = &self.workers[*worker];
            let is_due = worker.is_heard(stopping.retry_at, now);
            if stopping.confirmed_at.is_some() || !is_due || worker.is_silent {
                continue;
            }
            stopping.retry_at = now.plus_ms(STOP_RETRY_MS);
            let order = Order::Stop { task: *task, run: *run };
            self.actions.orders.push((worker.listing.worker.clone(), order));
        }
    }

    /// Gives up the runs on workers that did not answer until their leases
    /// expired.
    ///
    /// The poller of a worker that answers goes on extending leases, whether or
    /// not its reports have been handled yet. Only a silence that it has
    /// reported, or its loss, bounds them. Another leader may extend them, too,
    /// so the end counts once no other can have led until then.
    fn expire_leases(&mut self, now: Timestamp) {
        for index in 0..self.workers.len() {
            let worker = &self.workers[index];
            if worker.allocations.is_empty()
                || worker.responsive_since.is_some()
                || !self.is_past(worker.runs_expire_by().plus_ms(LEASE_MARGIN_MS), now)
            {
                continue;
            }
            let lost: Vec<TaskKey> = worker.allocations.keys().copied().collect();
            let overdue_ms = now.ms_since(worker.runs_expire_by());
            let silent_ms = worker.silent_since.map_or(0, |it| now.ms_since(it));
            let id = worker.listing.worker.clone();
            self.log_decision(DecisionKind::LeasesExpired, None, Some(id), || {
                format!("runs={} overdue_ms={overdue_ms} silent_ms={silent_ms}", lost.len())
            });
            self.stops.retain(|key, _| key.0 != index);
            self.unconfirmed.retain(|key, _| key.0 != index);
            for task in lost {
                self.run_lost(index, task, "silent until its lease ended", now);
            }
        }
    }

    /// Ends the wait for workers that are known from an earlier leader's record
    /// only, once nothing of that leader can run there.
    fn expire_earlier_work(&mut self, now: Timestamp) {
        if !self.are_earlier_leases_expired(now) {
            return;
        }
        for worker in &mut self.workers {
            worker.may_run_earlier_work = false;
        }
    }

    /// Returns the pools with a worker that may have ends which it has not listed
    /// in this term.
    fn find_pools_lacking_ends(&self, now: Timestamp) -> BTreeSet<String> {
        let through = now.min(self.sole_through);
        let lacks_ends = |it: &&Worker| it.is_recorded && it.may_have_unlisted_ends(through);
        self.workers.iter().filter(lacks_ends).map(|it| it.listing.service.clone()).collect()
    }

    /// Returns whether every worker of a pool has listed its runs and ends in
    /// this term, or can run nothing of an earlier one.
    pub(super) fn is_all_fenced(&self, service: &str, now: Timestamp) -> bool {
        let is_fenced = |it: &Worker| {
            it.is_fenced()
                || !it.is_recorded
                || it.listing.service != service
                || self.has_no_earlier_lease(it, now)
        };
        !self.pools_lacking_ends.contains(service)
            && (self.are_earlier_leases_expired(now)
                || (self.is_fleet_complete && self.workers.iter().all(is_fenced)))
    }

    /// Returns whether no other leader's run of a submission can be under way or
    /// have ended unseen.
    ///
    /// One that may have been told to others first starts only once this leader
    /// was confirmed after it learned of it: a successor may have started it.
    pub(super) fn may_start_work(&self, work: &Work, now: Timestamp) -> bool {
        work.is_known_unstarted
            || (self.is_past(work.known_since, now) && self.is_all_fenced(&work.queue.service, now))
    }

    fn place(&mut self, schedulable: &[WorkerIndex], now: Timestamp) {
        let mut candidates = self.candidates(now);
        candidates.sort_by_key(|it| it.rank);
        let mut round = self.begin_round(schedulable, now);
        for candidate in candidates {
            self.place_step(&candidate, &mut round, now);
        }
    }

    /// Drops reservations of steps that no longer wait, and begins a round.
    fn begin_round<'a>(&mut self, schedulable: &'a [WorkerIndex], now: Timestamp) -> Round<'a> {
        let mut reserved = self.reserved.clone();
        reserved.retain(|worker, key| {
            let waiting = self.waiting_step(*key);
            waiting.is_some_and(|it| it.rank(now).is_worthwhile())
                && schedulable.binary_search(worker).is_ok()
        });
        for worker in self.reserved.keys().filter(|it| !reserved.contains_key(it)) {
            self.workers[*worker].is_changed = true;
        }
        self.reserved = reserved;
        let by_change = self.begin_changes(schedulable);
        let is_free = |it: &WorkerIndex| !self.reserved.contains_key(it);
        let is_suspended = |it: &WorkerIndex| self.obstacle(*it, now) == Some(Obstacle::Suspended);
        let suspended: Vec<WorkerIndex> = (0..self.workers.len()).filter(is_suspended).collect();
        Round {
            schedulable,
            by_change,
            unreserved: schedulable.iter().copied().filter(is_free).collect(),
            mostly_free: self.mostly_free_pools(),
            suspended,
            is_scarce: placement::is_scarce(schedulable.iter().map(|it| &self.workers[*it])),
            reservable: self.reservable(schedulable),
            reserve_tries: MAX_RESERVE_TRIES,
            unplaceable: Vec::new(),
        }
    }

    /// Returns how many more workers of each pool may be reserved.
    fn reservable(&self, schedulable: &[WorkerIndex]) -> BTreeMap<String, usize> {
        let mut pools: BTreeMap<&str, (usize, usize)> = BTreeMap::new();
        for index in schedulable {
            let pool = pools.entry(&self.workers[*index].listing.service).or_default();
            pool.0 += 1;
            pool.1 += usize::from(self.reserved.contains_key(index));
        }
        let reservable = |(service, (workers, reserved)): (&str, (usize, usize))| {
            let most = (workers * MAX_RESERVED_PERCENT).div_ceil(100);
            (service.to_owned(), most.saturating_sub(reserved))
        };
        pools.into_iter().map(reservable).collect()
    }

    /// Returns the pools of which under half of the capacity is in use.
    pub(super) fn mostly_free_pools(&self) -> BTreeSet<String> {
        let mut pools: BTreeMap<&str, Vec<&Worker>> = BTreeMap::new();
        for worker in self.workers.iter().filter(|it| it.is_up()) {
            pools.entry(&worker.listing.service).or_default().push(worker);
        }
        pools.retain(|_, it| placement::is_mostly_free(it.iter().copied()));
        pools.into_keys().map(str::to_owned).collect()
    }

    /// Numbers the round, dates the changes of workers since the last one, and
    /// returns the schedulable workers, those first that changed last.
    fn begin_changes(&mut self, schedulable: &[WorkerIndex]) -> Vec<WorkerIndex> {
        self.round += 1;
        let mut is_schedulable = vec![false; self.workers.len()];
        for index in schedulable {
            is_schedulable[*index] = true;
        }
        for (worker, is_schedulable) in self.workers.iter_mut().zip(is_schedulable) {
            let is_new = is_schedulable && !worker.was_schedulable;
            if std::mem::take(&mut worker.is_changed) || is_new {
                worker.changed_in = self.round;
            }
            worker.was_schedulable = is_schedulable;
        }
        let mut by_change = schedulable.to_vec();
        by_change.sort_unstable_by_key(|it| Reverse(self.workers[*it].changed_in));
        by_change
    }

    /// Returns the workers that have changed since a step was tried last, and
    /// that it may use; `None` if it has to be tried on all.
    fn changed_workers(
        &self,
        key: StepKey,
        spec: &StepSpec,
        may_use_reserved: bool,
        round: &Round<'_>,
    ) -> Option<Vec<WorkerIndex>> {
        let occurrence = self.work.get(&key.submission)?.occurrence(key.occurrence)?;
        let tried = occurrence.steps.get(usize::from(key.step))?.tried?;
        // The members of a gang have to fit together.
        if spec.is_gang || tried.may_use_reserved != may_use_reserved {
            return None;
        }
        let may_use = |it: &WorkerIndex| {
            may_use_reserved || self.reserved.get(it).is_none_or(|of| *of == key)
        };
        let changed = round.by_change.iter().copied();
        let changed = changed.take_while(|it| tried.round < self.workers[*it].changed_in);
        Some(changed.filter(may_use).collect())
    }

    /// Records that tasks of a step found no worker in this round.
    fn record_tried(&mut self, key: StepKey, may_use_reserved: bool) {
        let round = self.round;
        let work = self.work.get_mut(&key.submission);
        let occurrence = work.and_then(|it| it.occurrence_mut(key.occurrence));
        if let Some(step) = occurrence.and_then(|it| it.steps.get_mut(usize::from(key.step))) {
            step.tried = Some(TriedRound { round, may_use_reserved });
        }
    }

    /// Stops best-effort tasks that hardly progress where they are if another
    /// worker has capacity for them: the last task of a step decides when it
    /// ends.
    ///
    /// While many tasks are slow, each round looks at some of the workers only
    /// and the next continues after them.
    fn move_slowed(&mut self, schedulable: &[WorkerIndex], now: Timestamp) {
        self.moves.retain(|it| now < it.expires_at);
        let (mut moves, mut checks) = (0, 0);
        let count = self.workers.len();
        let first = self.next_move_check % count.max(1);
        for index in (0..count).map(|it| (first + it) % count) {
            if self.workers[index].best_effort_cpu == 0 {
                continue;
            }
            let slowed = self.workers[index].allocations.iter().filter(|(_, it)| {
                it.kind == WorkloadKind::BestEffort
                    && it.pace <= SLOW_PACE_PERCENT
                    && SLOW_PACE_MS <= now.ms_since(it.pace_set_at)
            });
            let slowed: Vec<(TaskKey, RunNumber)> =
                slowed.map(|(task, it)| (*task, it.run)).collect();
            checks += slowed.len();
            for (task, run) in slowed {
                if let Some(better) = self.find_better(index, task, run, schedulable, now) {
                    self.moves.push(better);
                    self.stop_and_move(
                        index,
                        task,
                        run,
                        "hardly works beside tasks that serve",
                        now,
                    );
                    moves += 1;
                }
                if moves == MAX_MOVES {
                    break;
                }
            }
            if moves == MAX_MOVES || MAX_MOVE_CHECKS <= checks {
                self.next_move_check = index + 1;
                return;
            }
        }
    }

    /// Returns the move of a run to a worker that has processor time for it, beside
    /// the runs that are being moved there.
    fn find_better(
        &self,
        index: WorkerIndex,
        task: TaskKey,
        run: RunNumber,
        schedulable: &[WorkerIndex],
        now: Timestamp,
    ) -> Option<Move> {
        let current = self.current_run(index, task, run)?;
        let work = self.work.get(&task.step.submission)?;
        let spec = &work.submission.steps[usize::from(task.step.step)];
        let is_movable = current.is_confirmed()
            && (spec.saves_progress || current.percent < MAX_LOST_PROGRESS_PERCENT)
            && !self.stops.contains_key(&(index, task, run));
        if !is_movable {
            return None;
        }
        // Scarcity does not affect the score of best-effort work.
        let pending = PendingTasks::new(task.step, work, false);
        let req = self.request(&pending, spec, None);
        let cpu = spec.demand.cpu.0;
        let is_left_over = |it: &WorkerIndex| {
            let moved = self.moves.iter().filter(|moved| moved.to == *it);
            let moved: u64 = moved.map(|it| it.cpu).sum();
            let leftover = placement::leftover_cpu(&self.workers[*it]);
            placement::is_enough_left_over(leftover - moved as i64, cpu)
        };
        let can_run =
            |it: &WorkerIndex| is_left_over(it) && self.score(&pending, req, *it, now).is_ok();
        let to = schedulable.iter().copied().find(|it| *it != index && can_run(it))?;
        Some(Move { to, cpu, expires_at: now.plus_ms(MOVE_MS) })
    }

    /// Returns the steps that wait, and drops those that do not.
    fn candidates(&mut self, now: Timestamp) -> Vec<Candidate> {
        let waiting = std::mem::take(&mut self.waiting);
        let mut candidates = Vec::with_capacity(waiting.len());
        for key in waiting {
            if let Some(waiting) = self.waiting_step(key) {
                self.waiting.insert(key);
                if self.has_placeable(key) {
                    candidates.push(Candidate { rank: waiting.rank(now), key });
                }
            }
        }
        candidates
    }

    /// Returns whether a step has waiting tasks that are placed among others.
    pub(super) fn has_placeable(&self, key: StepKey) -> bool {
        let Some(work) = self.work.get(&key.submission) else { return false };
        let occurrence = work.occurrence(key.occurrence);
        let step = occurrence.and_then(|it| it.steps.get(usize::from(key.step)));
        let is_gang = work.submission.steps[usize::from(key.step)].is_gang;
        let is_placeable = |(i, it): (usize, &Task)| {
            let task = TaskKey { step: key, index: i as u16 };
            it.is_waiting() && (is_gang || self.is_placeable(task, &work.submission))
        };
        step.is_some_and(|it| it.tasks.iter().enumerate().any(is_placeable))
    }

    pub(super) fn waiting_step(&self, key: StepKey) -> Option<WaitingStep> {
        let work = self.work.get(&key.submission)?;
        let occurrence = work.occurrence(key.occurrence)?;
        let step = occurrence.steps.get(usize::from(key.step))?;
        if !step.is_ready || !step.tasks.iter().any(|it| it.is_waiting()) {
            return None;
        }
        let spec = &work.submission.steps[usize::from(key.step)];
        Some(WaitingStep {
            key,
            priority: work.queue.priority,
            due_at: occurrence.due_at,
            slo_deadline: occurrence.slo_deadline,
            critical_path_ms: step.critical_path_ms,
            is_long_running: spec.is_long_running,
            may_have_run: !work.is_known_unstarted
                || step.tasks.iter().any(|it| it.is_waiting() && it.last_run != RunNumber(0)),
            is_new: !work.is_begun,
        })
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
        let mut pending = PendingTasks::of_step(key, work, is_scarce)?;
        for (i, task) in step.tasks.iter().enumerate() {
            let index = i as u16;
            let is_placeable = self.is_placeable(TaskKey { step: key, index }, &work.submission);
            if task.is_waiting() && task.not_before <= now && is_placeable {
                pending.tasks.push((index, task.avoid));
            }
            // All members of a gang wait for the record of one of them.
            pending.is_withheld |= spec.is_gang && task.suspicion.is_some();
        }
        // Members of a gang only work together, so they start together.
        let is_incomplete = spec.is_gang && pending.tasks.len() < usize::from(spec.count);
        (!pending.tasks.is_empty() && !is_incomplete).then_some(pending)
    }

    fn place_step(&mut self, candidate: &Candidate, round: &mut Round<'_>, now: Timestamp) {
        let key = candidate.key;
        let Some(work) = self.work.get(&key.submission) else { return };
        let submission = work.submission.clone();
        let spec = &submission.steps[usize::from(key.step)];
        let needs_ticket = work.queue.needs_ticket;
        let may_reserve = !spec.is_best_effort
            && !spec.is_long_running
            && !needs_ticket
            && candidate.rank.is_worthwhile();
        let reserved = if may_reserve { self.reserved_for(key) } else { Vec::new() };
        let is_overdue = self.is_overdue(key, now);
        let may_use_reserved = self.may_use_reserved(spec, candidate.rank, is_overdue);
        // Long-running work has to run however full the pool is.
        let may_use_suspended = (round.mostly_free.contains(&work.queue.service)
            || spec.is_long_running)
            && !round.suspended.is_empty()
            && is_overdue;
        // What fits nowhere was recorded by steps that may use fewer workers.
        let may_use_more = may_use_suspended || (spec.is_long_running && is_overdue);
        let may_skip = !needs_ticket && !may_use_more && reserved.is_empty();
        if may_skip && round.is_unplaceable(&work.queue.service, spec) {
            if may_reserve {
                let service = work.queue.service.clone();
                let tasks =
                    work.occurrence(key.occurrence).map_or(0, |it| it.waiting_tasks(key.step));
                self.reserve(key, &service, spec, tasks, round);
            }
            return;
        }
        let Some(mut pending) = self.pending_tasks(key, round.is_scarce, now) else { return };
        pending.may_use_suspended = may_use_suspended;
        let changed = (!needs_ticket && !may_use_suspended)
            .then(|| self.changed_workers(key, spec, may_use_reserved, round))
            .flatten();
        let schedulable = match changed {
            Some(changed) => Cow::Owned(changed),
            None => round.usable(may_use_reserved, &reserved),
        };
        let suspended: &[WorkerIndex] = if may_use_suspended { &round.suspended } else { &[] };
        let waiting = pending.tasks.len();
        let mut chosen = self.allocate_tasks(&mut pending, spec, &schedulable, suspended, now);
        // What a gang's own members take is free again for others.
        let fits_nowhere = if spec.is_gang { chosen.is_empty() } else { chosen.len() < waiting };
        if fits_nowhere && !pending.needs_ticket {
            round.record_unplaceable(&pending.service, spec);
            self.record_tried(key, may_use_reserved);
        }
        let unplaced = waiting - chosen.len();
        if spec.is_gang && 0 < unplaced {
            self.release_tasks(key, &mut chosen);
        }
        if 0 < unplaced && may_reserve {
            self.reserve(
                key,
                &pending.service,
                spec,
                unplaced - reserved.len().min(unplaced),
                round,
            );
        }
        if !chosen.is_empty() {
            self.start(&submission, &pending, &chosen, now);
        }
    }

    /// Returns whether a step may use workers that are reserved for others. Users
    /// accept no longer wait of a long-running task beside free capacity,
    /// whatever the capacity is kept for.
    pub(super) fn may_use_reserved(&self, spec: &StepSpec, rank: Rank, is_overdue: bool) -> bool {
        spec.is_best_effort
            || rank.may_use_reserved(spec.is_long_running)
            || (spec.is_long_running && is_overdue)
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

    /// Returns whether a step, or a long-running task of it, has had no run for
    /// so long that it may use suspended workers if no others have capacity for
    /// it.
    pub(super) fn is_overdue(&self, key: StepKey, now: Timestamp) -> bool {
        let work = self.work.get(&key.submission);
        let occurrence = work.and_then(|it| it.occurrence(key.occurrence));
        let step = occurrence.and_then(|it| it.steps.get(usize::from(key.step)));
        let is_waiting =
            self.blocked.is_blocked(key.submission, now) || self.waits.has_overdue(key, now);
        is_waiting
            && step.is_some_and(|it| SUSPENDED_START_INTERVAL_MS <= now.ms_since(it.started_at))
    }

    fn reserved_for(&self, key: StepKey) -> Vec<WorkerIndex> {
        self.reserved.iter().filter(|it| *it.1 == key).map(|it| *it.0).collect()
    }

    /// Reserves workers for the tasks of a step that fit on no worker now: one
    /// for each task, or for a gang as many as it has members or none.
    ///
    /// Under load, small tasks fill every gap before it is large enough for a
    /// large task. Until the step is placed, only best-effort work and
    /// long-running work that ran before starts on the reserved workers.
    fn reserve(
        &mut self,
        key: StepKey,
        service: &str,
        spec: &StepSpec,
        tasks: usize,
        round: &mut Round<'_>,
    ) {
        let members = usize::from(spec.count);
        let Some(reservable) = round.reservable.get_mut(service) else { return };
        let count = if spec.is_gang { members } else { tasks.min(*reservable) };
        if *reservable < count || count == 0 || round.reserve_tries == 0 {
            return;
        }
        round.reserve_tries -= 1;
        let needed = spec.allocation();
        let is_suited = |it: &WorkerIndex| {
            let worker = &self.workers[*it];
            // A gap that a single end leaves need not be reserved.
            let needs_reservation =
                spec.is_gang || !needed.fits_in(placement::capacity_after_largest(worker));
            let fits_soon = needed.fits_in(placement::capacity_after_batch(worker));
            placement::is_eligible(worker, spec, service) && needs_reservation && fits_soon
        };
        let mut reserved: Vec<WorkerIndex> =
            round.unreserved.iter().copied().filter(is_suited).collect();
        if spec.is_gang && reserved.len() < count {
            return;
        }
        // The task fits soonest where the most capacity is free already.
        reserved.sort_by_key(|it| Reverse(self.workers[*it].free().cpu));
        reserved.truncate(count);
        *reservable -= reserved.len();
        round.unreserved.retain(|it| !reserved.contains(it));
        self.reserved.extend(reserved.into_iter().map(|it| (it, key)));
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

    fn choose(
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
        let score = placement::score(worker, index, Request { same_step, ..req })?;
        // A crash there would count against it.
        let is_unsound = pending.is_released && !self.suspects.is_worker_sound(worker, now);
        Ok(if is_unsound { score - placement::MISFIT_PENALTY } else { score })
    }

    pub(super) fn start(
        &mut self,
        submission: &Arc<Submission>,
        pending: &PendingTasks,
        chosen: &[(u16, WorkerIndex)],
        now: Timestamp,
    ) {
        let key = pending.key;
        let spec = &submission.steps[usize::from(key.step)];
        let run_base = self.run_base;
        let allocation = self.pending_allocation(pending, spec);
        let Some(work) = self.work.get_mut(&key.submission) else { return };
        work.is_begun |= !pending.is_starved;
        if let Some(occurrence) = work.occurrence_mut(key.occurrence) {
            occurrence.steps[usize::from(key.step)].started_at = now;
        }
        let waited_ms = now.ms_since(work.known_since);
        let gang_run = spec.is_gang.then(|| next_gang_run(work, key, run_base));
        let mut orders = Vec::with_capacity(chosen.len());
        for (index, worker) in chosen.iter().copied() {
            let task = TaskKey { step: key, index };
            let Some(slot) = work.task_mut(task) else { continue };
            let run = gang_run.unwrap_or(next_run(slot.last_run, run_base));
            slot.last_run = run;
            slot.phase = Phase::Placed(Run::new(worker, run, now));
            let order = StartOrder {
                task,
                run,
                payload: submission.payload.clone(),
                checkpoint: slot.checkpoint.clone(),
                ticket: self
                    .tickets
                    .ticket(key, worker, self.workers[worker].incarnation, now)
                    .map(str::to_owned),
            };
            self.workers[worker].allocate(task, Allocation { run, ..allocation });
            orders.push((worker, order));
        }
        if pending.is_withheld {
            self.withhold(key, orders, pending.is_released, now);
        } else {
            for (worker, order) in orders {
                self.order_start(worker, order, now);
            }
        }
        let first = self.worker_id(chosen[0].1);
        self.log_decision(DecisionKind::Started, Some(key.submission), Some(first), || {
            format!("step={key} tasks={} of={} waited_ms={waited_ms}", chosen.len(), spec.count)
        });
    }

    /// Orders a start that the plan has placed.
    pub(super) fn order_start(&mut self, worker: WorkerIndex, order: StartOrder, now: Timestamp) {
        let key = (worker, order.task, order.run);
        self.unconfirmed.insert(key, now.plus_ms(START_CONFIRM_TIMEOUT_MS));
        let ordered = &mut self.workers[worker].ordered_leases_expire_by;
        *ordered = (*ordered).max(now.plus_ms(MAX_START_LEASE_MS));
        let id = self.worker_id(worker);
        self.actions.orders.push((id, Order::Start(order)));
    }
}

fn next_run(last: RunNumber, base: u64) -> RunNumber {
    RunNumber(last.0.max(base).saturating_add(1))
}

fn next_gang_run(work: &Work, key: StepKey, base: u64) -> RunNumber {
    let step = work.occurrence(key.occurrence).map(|it| &it.steps[usize::from(key.step)]);
    let last = step.and_then(|it| it.tasks.iter().map(|it| it.last_run).max());
    next_run(last.unwrap_or_default(), base)
}
