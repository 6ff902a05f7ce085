//! Speculative copies: a second run of a task whose first one is late.
//!
//! Load pattern: a worker becomes several times slower while it runs a task of a
//! short batch step, which waits for this task only. A move costs the time to stop,
//! and what the run has not saved. Where concurrent runs of a task are harmless
//! ([`StepSpec::is_speculative`]), a copy starts on another worker meanwhile.
//!
//! The first run stays the task's run (`Phase::Placed`), and the copy is kept
//! here, so that the plan treats tasks without one as before. A copy exists only
//! beside a placed first run on another worker: if that ends without the task being
//! done, the copy takes its place.
//!
//! No run of a task may begin after the acknowledgement of an end as done. So such
//! an end waits while a copy may still begin, and under a new leader until every
//! worker refuses the starts of earlier ones; see `docs/design/uneven-workers.md`.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
};

use strum::Display;

use super::{
    DecisionKind, Planner, RunKey,
    choice::PendingTasks,
    schedule,
    work::{Phase, Run, Work, WorkerIndex},
    workers::{UnstoredEnd, Worker},
};
use crate::{
    fleet::{
        id::{RunNumber, SubmissionId, TaskKey},
        message::{RunningTask, StartOrder},
        poller::{LEASE_MARGIN_MS, MAX_START_LEASE_MS, ORDER_MAX_AGE_MS},
        submission::StepSpec,
    },
    time::Timestamp,
};

/// Most runs of a pool that are copies, in percent, though always one of them.
const MAX_COPIES_PERCENT: usize = 3;
/// Shortest time for which the first run is expected to go on, in milliseconds: no
/// run should begin after another one has ended as done. Its progress was listed up
/// to 1 s ago, and the start may take [`ORDER_MAX_AGE_MS`].
pub(super) const MIN_REMAINING_MS: f32 = 1_000.0 + ORDER_MAX_AGE_MS as f32;

/// The copies of running tasks.
#[derive(Clone, Debug, Default)]
pub(super) struct Copies {
    runs: BTreeMap<TaskKey, Run>,
    /// Copies that may still begin, each with the time from which it cannot.
    unbegun: BTreeMap<RunKey, Timestamp>,
    /// Whether a copy that an earlier leader has ordered may still begin.
    may_earlier_begin: bool,
    counts: CopyCounts,
}

/// Numbers of copies so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CopyCounts {
    /// Copies that were ordered to start.
    pub started: u64,
    /// Those that were done first, or went on after the first run had ended.
    pub won: u64,
    /// Those that ended otherwise.
    pub dropped: u64,
}

/// Which of two runs is done, or goes on alone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
enum Winner {
    First,
    Copy,
    None,
}

/// Returns whether tasks of a step may have a copy.
fn is_copyable(spec: &StepSpec) -> bool {
    spec.is_speculative && !spec.is_gang && !spec.is_long_running && !spec.is_best_effort
}

impl Copies {
    pub(super) fn new(is_first_term: bool) -> Copies {
        Copies { may_earlier_begin: !is_first_term, ..Copies::default() }
    }

    pub(super) fn contains(&self, task: TaskKey) -> bool {
        self.runs.contains_key(&task)
    }

    fn get(&self, index: WorkerIndex, task: TaskKey) -> Option<&Run> {
        self.runs.get(&task).filter(|it| it.worker == index)
    }

    /// Returns the copies of the tasks of a submission.
    pub(super) fn of(&self, id: SubmissionId) -> impl Iterator<Item = (TaskKey, &Run)> {
        self.runs.iter().filter(move |it| it.0.step.submission == id).map(|it| (*it.0, it.1))
    }

    /// Records that a copy has begun, or that it never will.
    pub(super) fn settle(&mut self, key: RunKey) {
        self.unbegun.remove(&key);
    }

    /// Returns whether a copy is on a worker, or may still begin there.
    pub(super) fn may_run_on(&self, index: WorkerIndex) -> bool {
        self.unbegun.keys().any(|it| it.0 == index)
            || self.runs.values().any(|it| it.worker == index)
    }

    /// Returns whether another run of a task that has ended as done may still
    /// begin, so that the end may not be acknowledged.
    pub(super) fn must_wait(&self, work: &BTreeMap<SubmissionId, Work>, end: &UnstoredEnd) -> bool {
        if !end.is_done || (self.unbegun.is_empty() && !self.may_earlier_begin) {
            return false;
        }
        let Some(work) = work.get(&end.task.step.submission) else { return false };
        let spec = work.submission.steps.get(usize::from(end.task.step.step));
        spec.is_some_and(is_copyable)
            && (self.unbegun.keys().any(|it| it.1 == end.task)
                || (self.may_earlier_begin && !work.is_known_unstarted))
    }

    pub(super) fn counts(&self) -> CopyCounts {
        self.counts
    }
}

impl Planner {
    /// Updates which copies may still begin.
    pub(super) fn expire_copies(&mut self, now: Timestamp) {
        self.copies.unbegun.retain(|_, until| now < *until);
        if self.copies.may_earlier_begin {
            // A worker that was polled in this term refuses starts of earlier ones.
            // A plan that was handed over names no worker of a copy.
            let refuses_earlier = |it: &Worker| {
                !it.is_recorded
                    || it.polled_at.is_some()
                    || it.is_fenced()
                    || self.has_no_earlier_lease(it, now)
            };
            let all_refuse = self.is_fleet_complete && self.workers.iter().all(refuses_earlier);
            self.copies.may_earlier_begin = !all_refuse && !self.are_earlier_leases_expired(now);
        }
    }

    pub(super) fn is_copy(&self, index: WorkerIndex, task: TaskKey, run: RunNumber) -> bool {
        self.copies.get(index, task).is_some_and(|it| it.run == run)
    }

    /// Returns whether the plan has placed a run on a worker, as the task's run or
    /// as its copy.
    pub(super) fn is_planned(&self, index: WorkerIndex, task: TaskKey, run: RunNumber) -> bool {
        self.is_current(index, task, run) || self.is_copy(index, task, run)
    }

    /// Returns the run of a task that the plan has placed on a worker.
    pub(super) fn planned_run_mut(
        &mut self,
        index: WorkerIndex,
        task: TaskKey,
    ) -> Option<&mut Run> {
        if self.copies.get(index, task).is_some() {
            return self.copies.runs.get_mut(&task);
        }
        self.task_mut(task)?.run_mut().filter(|it| it.worker == index)
    }

    /// Returns whether the plan has placed a run of a task on a worker.
    pub(super) fn has_planned_run(&self, index: WorkerIndex, task: TaskKey) -> bool {
        let work = self.work.get(&task.step.submission);
        let current = work.and_then(|it| it.task(task)?.run());
        current.is_some_and(|it| it.worker == index) || self.copies.get(index, task).is_some()
    }

    /// Returns whether a run may get a copy if there is room for it.
    pub(super) fn may_copy(
        &self,
        index: WorkerIndex,
        task: TaskKey,
        run: RunNumber,
        now: Timestamp,
    ) -> bool {
        let Some(work) = self.work.get(&task.step.submission) else { return false };
        if !is_copyable(&work.submission.steps[usize::from(task.step.step)]) {
            return false;
        }
        let Some(slot) = work.task(task) else { return false };
        let allocation = self.workers[index].allocations.get(&task);
        // If both runs fail, the attempts are not exceeded.
        let is_within_attempts = slot.failed_runs.len() + 1 < work.queue.attempts as usize;
        self.is_current(index, task, run)
            && allocation.is_some_and(|it| it.run == run && 0 < it.listings)
            && is_within_attempts
            && slot.suspicion.is_none()
            && !self.workers[index].is_silent
            && !self.copies.contains(task)
            && !self.stops.contains_key(&(index, task, run))
            && self.may_start_work(work, now)
            && self.has_copy_left(&work.queue.service)
    }

    /// Returns whether a pool may have another copy.
    fn has_copy_left(&self, service: &str) -> bool {
        let copies = self.copies.runs.values();
        let copies = copies.filter(|it| self.workers[it.worker].listing.service == service).count();
        let workers = self.workers.iter().filter(|it| it.listing.service == service);
        let runs: usize = workers.map(|it| it.allocations.len()).sum();
        copies < (runs * MAX_COPIES_PERCENT / 100).max(1)
    }

    /// Starts a copy of a run on another worker, if it may have one and there is
    /// room that no other work of the same or a higher priority waits for.
    pub(super) fn start_copy(
        &mut self,
        index: WorkerIndex,
        task: TaskKey,
        run: RunNumber,
        why: &str,
        schedulable: &[WorkerIndex],
        now: Timestamp,
    ) -> bool {
        if !self.may_copy(index, task, run, now) || self.is_room_awaited(task, now) {
            return false;
        }
        let Some(to) = self.find_copy_worker(index, task, schedulable, now) else { return false };
        let run_base = self.run_base;
        let id = task.step.submission;
        let Some(work) = self.work.get_mut(&id) else { return false };
        let submission = work.submission.clone();
        let Some(slot) = work.task_mut(task) else { return false };
        let copy = schedule::next_run(slot.last_run, run_base);
        slot.last_run = copy;
        let checkpoint = slot.checkpoint.clone();
        let spec = &submission.steps[usize::from(task.step.step)];
        let allocation = self.allocation_for(spec, copy);
        self.workers[to].allocate(task, allocation);
        self.workers[to].circuit_breaker.record_start(now);
        self.refresh_latency_critical(to, now);
        self.copies.runs.insert(task, Run::new(to, copy, now));
        let cannot_begin_at = now.plus_ms(MAX_START_LEASE_MS + LEASE_MARGIN_MS);
        self.copies.unbegun.insert((to, task, copy), cannot_begin_at);
        self.copies.counts.started += 1;
        let incarnation = self.workers[to].incarnation;
        let ticket = self.tickets.ticket(task.step, to, incarnation, now).map(str::to_owned);
        let payload = submission.payload.clone();
        self.order_start(to, StartOrder { task, run: copy, payload, checkpoint, ticket }, now);
        let (first, worker) = (self.worker_id(index), self.worker_id(to));
        self.log_decision(DecisionKind::CopyStarted, Some(id), Some(worker), || {
            format!("task={task} run={run} first_worker={first} copy={copy} why={why}")
        });
        true
    }

    /// Returns whether a step of the same or a higher priority waits in the pool of
    /// a task.
    fn is_room_awaited(&self, task: TaskKey, now: Timestamp) -> bool {
        let Some(work) = self.work.get(&task.step.submission) else { return true };
        let queue = &work.queue;
        self.waiting.iter().any(|key| {
            let is_before = |it: &Work| {
                it.queue.service == queue.service && it.queue.priority <= queue.priority
            };
            self.work.get(&key.submission).is_some_and(is_before)
                && self.has_placeable(*key)
                && self.pending_tasks(*key, false, now).is_some()
        })
    }

    /// Returns the best worker with room for a copy, in another failure domain than
    /// the first run's if one has room.
    fn find_copy_worker(
        &self,
        index: WorkerIndex,
        task: TaskKey,
        schedulable: &[WorkerIndex],
        now: Timestamp,
    ) -> Option<WorkerIndex> {
        // One that is still to end would make it a third run.
        let has_other =
            |it: (WorkerIndex, &Worker)| it.0 != index && it.1.allocations.contains_key(&task);
        if self.workers.iter().enumerate().any(has_other) {
            return None;
        }
        let avoid = self.work.get(&task.step.submission)?.task(task)?.avoid;
        let domain = &self.workers[index].listing.domain;
        let is_elsewhere = |it: &Worker| it.listing.domain != *domain;
        self.find_sound(index, task, avoid, is_elsewhere, schedulable, now)
    }

    /// Counts the copies of a step's tasks as placed, for the limit on its tasks on
    /// one worker.
    pub(super) fn count_copies(&self, pending: &mut PendingTasks) {
        for run in self.copies.runs.iter().filter(|it| it.0.step == pending.key).map(|it| it.1) {
            *pending.placed.entry(run.worker).or_default() += 1;
        }
    }

    /// Records that a poll has listed a copy.
    pub(super) fn copy_listed(
        &mut self,
        index: WorkerIndex,
        row: &RunningTask,
        asked_at: Timestamp,
    ) {
        self.unconfirmed.remove(&(index, row.task, row.run));
        let Some(run) = self.copies.runs.get_mut(&row.task) else { return };
        run.progress_listed(row.percent, asked_at);
        run.confirmed_at = Some(asked_at);
        run.was_listed = true;
        run.missed_polls = 0;
    }

    /// Forgets the copy of a task on a worker, where it has ended or is lost.
    /// Returns whether there was one.
    pub(super) fn drop_copy(&mut self, index: WorkerIndex, task: TaskKey) -> bool {
        let is_there = self.copies.get(index, task).is_some();
        if is_there {
            self.end_copy(task, Winner::First, "it ended or was lost");
        }
        is_there
    }

    /// Lets a copy go on as the task's run after the first one has ended without
    /// the task being done.
    pub(super) fn promote_copy(&mut self, task: TaskKey) {
        let Some(run) = self.end_copy(task, Winner::Copy, "the first run ended or was lost") else {
            return;
        };
        if let Some(slot) = self.task_mut(task) {
            slot.phase = Phase::Placed(run);
        }
    }

    /// Stops the copy of a task that is done, unless it is the run that was.
    pub(super) fn resolve_copy(&mut self, task: TaskKey, done: RunNumber, now: Timestamp) {
        let Some(run) = self.copies.runs.get(&task) else { return };
        let (worker, run) = (run.worker, run.run);
        self.end_copy(
            task,
            if run == done { Winner::Copy } else { Winner::First },
            "the task is done",
        );
        if run != done {
            self.stop(worker, task, run, "another run is done", now);
        }
    }

    /// Forgets the copies of a submission that has ended. Its runs are stopped
    /// elsewhere.
    pub(super) fn forget_copies(&mut self, id: SubmissionId) {
        let tasks: BTreeSet<TaskKey> = self.copies.of(id).map(|it| it.0).collect();
        for task in tasks {
            self.end_copy(task, Winner::None, "its submission ended");
        }
    }

    fn end_copy(&mut self, task: TaskKey, winner: Winner, why: &str) -> Option<Run> {
        let copy = self.copies.runs.remove(&task)?;
        let has_won = winner == Winner::Copy;
        let counts = &mut self.copies.counts;
        *(if has_won { &mut counts.won } else { &mut counts.dropped }) += 1;
        let id = task.step.submission;
        let work = self.work.get(&id);
        let first = work.and_then(|it| it.task(task)?.run()).map(|it| (it.run, it.worker));
        let first = first.map_or_else(
            || "run=- first_worker=-".to_owned(),
            |(run, index)| format!("run={run} first_worker={}", self.worker_id(index)),
        );
        let worker = self.worker_id(copy.worker);
        self.log_decision(DecisionKind::CopyEnded, Some(id), Some(worker), || {
            format!("task={task} {first} copy={} won={winner} why={why}", copy.run)
        });
        Some(copy)
    }

    /// Returns whether a listed run is adopted instead of the task's present one,
    /// if an earlier leader has ordered both: the one with more progress goes on.
    pub(super) fn is_preferred(&self, index: WorkerIndex, row: &RunningTask) -> bool {
        let Some(work) = self.work.get(&row.task.step.submission) else { return false };
        let Some(spec) = self.spec(row.task.step) else { return false };
        let Some(current) = work.task(row.task).and_then(|it| it.run()) else { return false };
        let is_earlier = |it: RunNumber| it.0 <= self.run_base;
        is_copyable(spec)
            && current.worker != index
            && is_earlier(row.run)
            && is_earlier(current.run)
            && !self.copies.contains(row.task)
            && !self.stops.contains_key(&(current.worker, row.task, current.run))
            && (current.percent, Reverse(current.run)) < (row.percent, Reverse(row.run))
    }

    /// Stops the task's present run, so that another one can be adopted.
    pub(super) fn stop_unpreferred(&mut self, task: TaskKey, now: Timestamp) {
        let work = self.work.get(&task.step.submission);
        let Some(current) = work.and_then(|it| it.task(task)?.run()) else { return };
        let (worker, run) = (current.worker, current.run);
        self.stop(worker, task, run, "another run has more progress", now);
    }
}
