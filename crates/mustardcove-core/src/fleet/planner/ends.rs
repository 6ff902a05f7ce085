//! What follows from workers' reports.

use super::{
    DecisionKind, MISSED_LOOKS, Planner, STOP_RETRY_MS, Stopping, UNCONFIRMED_MS, pace,
    work::{Phase, Run, Work, WorkerIndex},
};
use crate::{
    fleet::{
        id::{RunNumber, StepKey, TaskKey},
        message::{EndKind, EndedRun, PollResult, RunningTask, StartOutcome, WorkerReport},
        submission::SubmissionState,
    },
    id::WorkerId,
    time::Timestamp,
};

/// A worker that refused a start for want of room gets none for this long, in
/// milliseconds: about the pause between two looks, which correct the count.
const NO_ROOM_MS: u64 = 300;
/// A worker that said it is not healthy gets no start for this long, in
/// milliseconds.
const NOT_HEALTHY_MS: u64 = 500;
/// Pause before a task that lasts and failed is started again, in
/// milliseconds, so that one that fails at once does not fill the worker's
/// list of ends.
const RESTART_PAUSE_MS: u64 = 200;
/// A run whose progress stands still for this long is given up, in
/// milliseconds: longer than a restore and the age of two looks.
const STANDSTILL_MS: u64 = 2_500;

impl Planner {
    /// Takes a report of the process that calls the worker.
    pub fn report(&mut self, worker: &WorkerId, report: WorkerReport, now: Timestamp) {
        let Some(index) = self.worker_index.get(worker).copied() else { return };
        match report {
            WorkerReport::Polled(look) => self.look(index, look, now),
            WorkerReport::PollFailed { leases_expire_by, is_silent } => {
                if let Some(leases_expire_by) = leases_expire_by {
                    self.workers[index].leases_expire_by = leases_expire_by;
                }
                if is_silent {
                    self.silent(index);
                }
            }
            WorkerReport::Fenced => self.actions.is_superseded = true,
            WorkerReport::Start { task, run, outcome } => {
                self.start_answered(index, task, run, outcome, now);
            }
            WorkerReport::PaceUnconfirmed { task, run } => {
                let charged = self.workers[index].charged.get_mut(&task);
                if let Some(charged) = charged.filter(|it| it.run == run) {
                    charged.pace = pace::UNKNOWN;
                    charged.paced_at = now;
                }
            }
            WorkerReport::Stop { task, run, is_confirmed } => {
                if let Some(stopping) = self.stops.get_mut(&(index, task, run)) {
                    stopping.is_confirmed |= is_confirmed;
                    stopping.retry_at = now.plus_ms(STOP_RETRY_MS);
                }
            }
        }
    }

    fn silent(&mut self, index: WorkerIndex) {
        let worker = &mut self.workers[index];
        worker.responsive_since = None;
        let leases_expire_by = worker.runs_expire_by();
        if !worker.is_silent {
            worker.is_silent = true;
            let id = self.worker_id(index);
            self.decide(DecisionKind::WorkerSilent, None, Some(id), || {
                format!("lease_over_by={leases_expire_by}")
            });
        }
    }

    fn look(&mut self, index: WorkerIndex, look: PollResult, now: Timestamp) {
        let worker = &mut self.workers[index];
        if worker.incarnation.is_some_and(|it| look.incarnation < it) {
            return;
        }
        if worker.is_silent {
            worker.is_silent = false;
            let id = worker.listing.worker.clone();
            self.decide(DecisionKind::WorkerAnswers, None, Some(id), String::new);
        }
        let worker = &mut self.workers[index];
        if worker.incarnation != Some(look.incarnation) {
            self.begin_life(index, &look, now);
        }
        let worker = &mut self.workers[index];
        worker.looked_at = Some(now);
        worker.leases_expire_by = look.leases_expire_by;
        worker.responsive_since = Some(look.responsive_since);
        for end in &look.ended {
            if self.workers[index].seen_end < end.number {
                self.workers[index].seen_end = end.number;
                self.ended(index, end, now);
            }
        }
        for running in &look.running {
            self.running(index, running, now);
        }
        self.check_missing(index, &look, now);
        self.adjust_pace(index, now);
    }

    /// Begins a life of a worker. What was seen to run in the one before is
    /// over. A start that no look has shown may have been carried out by
    /// either life, so it is kept until it shows or is stopped.
    fn begin_life(&mut self, index: WorkerIndex, look: &PollResult, now: Timestamp) {
        let is_first = self.workers[index].incarnation.is_none();
        self.workers[index].reborn(look.incarnation);
        let charged: Vec<(TaskKey, RunNumber)> =
            self.workers[index].charged.iter().map(|(task, it)| (*task, it.run)).collect();
        let mut lost = 0;
        for (task, run) in charged {
            let current =
                self.task_mut(task).and_then(|it| it.run_mut()).filter(|it| it.run == run);
            match current {
                Some(current) if current.worker == index && !current.is_seen => {
                    current.is_confirmed = false;
                    current.missed = 0;
                    let give_up_at = now.plus_ms(UNCONFIRMED_MS);
                    self.unconfirmed.entry((index, task, run)).or_insert(give_up_at);
                }
                _ => {
                    lost += 1;
                    self.workers[index].release(task);
                    self.stops.remove(&(index, task, run));
                    self.requeue(index, task, None, now);
                }
            }
        }
        // A stop that the life before confirmed binds this one no more.
        for (_, stopping) in self.stops.iter_mut().filter(|it| it.0.0 == index) {
            *stopping = Stopping { is_confirmed: false, retry_at: now, missed: 0 };
        }
        if !is_first {
            let id = self.worker_id(index);
            self.decide(DecisionKind::WorkerRestarted, None, Some(id), || {
                format!("life={} lost_runs={lost}", look.incarnation)
            });
        }
    }

    /// Handles an end that was not seen before.
    fn ended(&mut self, index: WorkerIndex, end: &EndedRun, now: Timestamp) {
        let key = (index, end.task, end.run);
        self.stops.remove(&key);
        self.unconfirmed.remove(&key);
        let is_charged =
            self.workers[index].charged.get(&end.task).is_some_and(|it| it.run == end.run);
        if is_charged {
            self.workers[index].release(end.task);
        }
        self.judge_worker(index, end, now);
        match end.how {
            EndKind::Done => self.done(index, end, now),
            EndKind::Failed => self.failed(index, end, now),
            EndKind::Stopped
            | EndKind::LeaseExpired
            | EndKind::GangBroken
            | EndKind::GangIncomplete => {
                if self.is_current(index, end.task, end.run) {
                    self.requeue(index, end.task, end.checkpoint.clone(), now);
                }
            }
        }
        let change = self.change;
        self.workers[index].unstored_ends.push_back((end.number, change));
    }

    fn judge_worker(&mut self, index: WorkerIndex, end: &EndedRun, now: Timestamp) {
        let trust = &mut self.workers[index].trust;
        let is_closed = match end.how {
            EndKind::Done => {
                trust.succeeded();
                false
            }
            EndKind::Failed => trust.failed(now),
            _ => false,
        };
        if is_closed {
            let id = self.worker_id(index);
            let submission = Some(end.task.step.submission);
            self.decide(DecisionKind::WorkerSuspended, submission, Some(id), || {
                format!("task={} how={}", end.task, end.how)
            });
        }
    }

    pub(super) fn is_current(&self, index: WorkerIndex, task: TaskKey, run: RunNumber) -> bool {
        self.current_run(index, task, run).is_some()
    }

    fn done(&mut self, index: WorkerIndex, end: &EndedRun, now: Timestamp) {
        let Some(work) = self.work.get(&end.task.step.submission) else { return };
        let Some(spec) = work.submission.steps.get(usize::from(end.task.step.step)) else { return };
        if spec.is_long_running {
            if self.is_current(index, end.task, end.run) {
                self.requeue(index, end.task, None, now);
            }
            return;
        }
        // The end of one member stands for the whole gang.
        let members = if spec.is_gang { 0..spec.count } else { end.task.index..end.task.index + 1 };
        for member in members {
            self.task_done(TaskKey { index: member, ..end.task }, end.run, now);
        }
        self.after_done(end.task.step, now);
    }

    fn task_done(&mut self, task: TaskKey, run: RunNumber, now: Timestamp) {
        let Some(work) = self.work.get_mut(&task.step.submission) else { return };
        let Some(slot) = work.task_mut(task) else { return };
        if slot.is_done() {
            return;
        }
        let other = slot.run().filter(|it| it.run != run).map(|it| (it.worker, it.run));
        slot.phase = Phase::Done;
        let step = usize::from(task.step.step);
        if let Some(occurrence) = work.occurrence_mut(task.step.occurrence) {
            occurrence.steps[step].left -= 1;
        }
        self.touch(task.step.submission);
        if let Some((worker, run)) = other {
            self.stop(worker, task, run, "another run is done", now);
        }
    }

    /// Opens the steps that follow a step, or ends the submission.
    fn after_done(&mut self, step: StepKey, now: Timestamp) {
        let id = step.submission;
        let Some(work) = self.work.get_mut(&id) else { return };
        let submission = work.submission.clone();
        let Some(occurrence) = work.occurrence_mut(step.occurrence) else { return };
        if 0 < occurrence.steps[usize::from(step.step)].left {
            return;
        }
        occurrence.refresh_ready(&submission);
        if occurrence.is_done() {
            work.occurrences.retain(|it| it.number != step.occurrence);
        } else {
            self.waiting.extend(submission.step_keys(step.occurrence));
        }
        if self.work.get(&id).is_some_and(Work::is_over) {
            self.finish(id, SubmissionState::Completed, "all tasks are done", now);
        }
    }

    fn failed(&mut self, index: WorkerIndex, end: &EndedRun, now: Timestamp) {
        let id = end.task.step.submission;
        let worker = self.worker_id(index);
        let Some(work) = self.work.get_mut(&id) else { return };
        let attempts = work.queue.attempts as usize;
        let Some(spec) = work.submission.steps.get(usize::from(end.task.step.step)) else { return };
        let is_long_running = spec.is_long_running;
        let Some(slot) = work.task_mut(end.task) else { return };
        if slot.is_done() || slot.failed_runs.contains(&end.run) {
            return;
        }
        slot.avoid = Some(index);
        slot.last_run = slot.last_run.max(end.run);
        if !is_long_running {
            slot.failed_runs.push(end.run);
        }
        let failures = slot.failed_runs.len();
        self.decide(DecisionKind::RunFailed, Some(id), Some(worker), || {
            format!("task={} run={} failures={failures} attempts={attempts}", end.task, end.run)
        });
        if !is_long_running {
            self.touch(id);
        }
        if self.is_current(index, end.task, end.run) {
            self.requeue(index, end.task, end.checkpoint.clone(), now);
        }
        if attempts <= failures && !is_long_running {
            self.finish(id, SubmissionState::Failed, "a task used up its attempts", now);
        }
    }

    /// Makes a task wait again whose run on a worker is over.
    pub(super) fn requeue(
        &mut self,
        index: WorkerIndex,
        task: TaskKey,
        checkpoint: Option<String>,
        now: Timestamp,
    ) {
        let Some(work) = self.work.get_mut(&task.step.submission) else { return };
        let spec = work.submission.steps.get(usize::from(task.step.step));
        let is_long_running = spec.is_some_and(|it| it.is_long_running);
        let Some(slot) = work.task_mut(task) else { return };
        let Some(run) = slot.run().filter(|it| it.worker == index) else { return };
        let lived_ms = now.ms_since(run.ordered_at);
        slot.phase = Phase::Waiting;
        if checkpoint.is_some() {
            slot.checkpoint = checkpoint;
        }
        if is_long_running && lived_ms < 2 * RESTART_PAUSE_MS {
            slot.not_before = now.plus_ms(RESTART_PAUSE_MS);
        }
        self.waiting.insert(task.step);
    }

    /// Handles a run that a worker lists.
    fn running(&mut self, index: WorkerIndex, row: &RunningTask, now: Timestamp) {
        let id = row.task.step.submission;
        let Some(work) = self.work.get_mut(&id) else {
            self.unknown_run(index, row);
            return;
        };
        let Some(spec) = work.submission.steps.get(usize::from(row.task.step.step)) else { return };
        let spec = spec.clone();
        let is_waiting = work.task(row.task).is_some_and(|it| it.is_waiting());
        let is_stopping = self.stops.contains_key(&(index, row.task, row.run));
        if self.is_current(index, row.task, row.run) {
            self.unconfirmed.remove(&(index, row.task, row.run));
            self.progressed(index, row, now);
        } else if is_waiting && !is_stopping {
            self.adopt(index, row, now);
        } else if !is_stopping {
            let charged = self.charged(&spec, row.run);
            self.workers[index].charge(row.task, charged);
            self.stop(index, row.task, row.run, "not the planned run", now);
        }
    }

    fn unknown_run(&mut self, index: WorkerIndex, row: &RunningTask) {
        let id = row.task.step.submission;
        let unknown = self.charged(&Default::default(), row.run);
        if !self.workers[index].charged.contains_key(&row.task) {
            self.workers[index].charge(row.task, unknown);
        }
        if self.looked_up.insert(id) {
            self.actions.lookups.push(id);
        }
    }

    /// Takes over a run that this plan did not order.
    fn adopt(&mut self, index: WorkerIndex, row: &RunningTask, now: Timestamp) {
        let Some(work) = self.work.get_mut(&row.task.step.submission) else { return };
        let spec = work.submission.steps[usize::from(row.task.step.step)].clone();
        let becomes_running = work.state == SubmissionState::Queued;
        if becomes_running {
            work.state = SubmissionState::Running;
        }
        let Some(slot) = work.task_mut(row.task) else { return };
        slot.last_run = slot.last_run.max(row.run);
        slot.phase = Phase::Placed(Run { is_confirmed: true, ..Run::new(index, row.run, now) });
        let charged = self.charged(&spec, row.run);
        self.workers[index].charge(row.task, charged);
        let id = row.task.step.submission;
        if becomes_running {
            self.actions.states.push((id, SubmissionState::Running));
        }
        let worker = self.worker_id(index);
        self.decide(DecisionKind::RunAdopted, Some(id), Some(worker), || {
            format!("task={} run={}", row.task, row.run)
        });
        self.progressed(index, row, now);
    }

    fn progressed(&mut self, index: WorkerIndex, row: &RunningTask, now: Timestamp) {
        let Some(work) = self.work.get_mut(&row.task.step.submission) else { return };
        let is_long_running =
            work.submission.steps[usize::from(row.task.step.step)].is_long_running;
        let Some(slot) = work.task_mut(row.task) else { return };
        if row.checkpoint.is_some() {
            slot.checkpoint.clone_from(&row.checkpoint);
        }
        let Some(run) = slot.run_mut() else { return };
        if run.percent != row.percent {
            run.percent = row.percent;
            run.progressed_at = now;
        }
        run.is_confirmed = true;
        run.is_seen = true;
        run.missed = 0;
        let stood_ms = now.ms_since(run.progressed_at);
        let charged = self.workers[index].charged.get_mut(&row.task);
        let is_paced_down = charged.is_some_and(|it| {
            it.measurement = row.measurement;
            let is_over = it.tail_target_ms.is_some_and(|target| {
                // Figures are rough: one just below the target ends nothing.
                let bound = if it.over_since.is_some() { target * 9 / 10 } else { target };
                bound <= row.measurement
            });
            it.over_since = is_over.then(|| it.over_since.unwrap_or(now));
            it.pace < 50 || now.ms_since(it.paced_at) < STANDSTILL_MS
        });
        if !is_long_running && STANDSTILL_MS <= stood_ms && !is_paced_down {
            slot.avoid = Some(index);
            self.workers[index].trust.failed(now);
            self.stop(index, row.task, row.run, "no progress", now);
        }
    }

    /// Finds runs and stops that a look shows to be over.
    fn check_missing(&mut self, index: WorkerIndex, look: &PollResult, now: Timestamp) {
        let is_listed = |task: TaskKey, run: RunNumber| {
            look.running.iter().any(|it| it.task == task && it.run == run)
        };
        let charged: Vec<(TaskKey, RunNumber)> =
            self.workers[index].charged.iter().map(|(task, it)| (*task, it.run)).collect();
        for (task, run) in charged {
            if is_listed(task, run) {
                continue;
            }
            if let Some(stopping) = self.stops.get_mut(&(index, task, run)) {
                stopping.missed += u32::from(stopping.is_confirmed);
                if MISSED_LOOKS <= stopping.missed {
                    self.stops.remove(&(index, task, run));
                    self.run_over(index, task, "stopped before it started", now);
                }
            } else if self.is_missing(index, task, run) {
                self.run_over(index, task, "no longer listed", now);
            }
        }
        // Stops of runs that take no capacity here.
        let workers = &self.workers;
        self.stops.retain(|(worker, task, run), stopping| {
            if *worker != index || is_listed(*task, *run) {
                return true;
            }
            let is_charged = workers[index].charged.get(task).is_some_and(|it| it.run == *run);
            if !is_charged {
                stopping.missed += u32::from(stopping.is_confirmed);
            }
            is_charged || stopping.missed < MISSED_LOOKS
        });
    }

    /// Counts a look that does not list a run; returns whether it is over.
    fn is_missing(&mut self, index: WorkerIndex, task: TaskKey, run: RunNumber) -> bool {
        let current = self.task_mut(task).and_then(|it| it.run_mut());
        let Some(current) = current else { return true };
        if current.worker != index || current.run != run {
            return true;
        }
        current.missed += u32::from(current.is_confirmed);
        MISSED_LOOKS <= current.missed
    }

    /// Releases what a run took and makes its task wait again.
    pub(super) fn run_over(
        &mut self,
        index: WorkerIndex,
        task: TaskKey,
        why: &str,
        now: Timestamp,
    ) {
        self.workers[index].release(task);
        self.requeue(index, task, None, now);
        let worker = self.worker_id(index);
        self.decide(DecisionKind::RunLost, Some(task.step.submission), Some(worker), || {
            format!("task={task} why={why}")
        });
    }

    fn start_answered(
        &mut self,
        index: WorkerIndex,
        task: TaskKey,
        run: RunNumber,
        outcome: StartOutcome,
        now: Timestamp,
    ) {
        if !self.is_current(index, task, run) || self.stops.contains_key(&(index, task, run)) {
            return;
        }
        match outcome {
            StartOutcome::Started => {
                self.unconfirmed.remove(&(index, task, run));
                if let Some(run) = self.task_mut(task).and_then(|it| it.run_mut()) {
                    run.is_confirmed = true;
                    run.progressed_at = now;
                }
                return;
            }
            StartOutcome::MayHaveRun | StartOutcome::Superseded => {
                self.stop(index, task, run, outcome.into(), now);
                return;
            }
            StartOutcome::Fenced => self.actions.is_superseded = true,
            StartOutcome::NoRoom => {
                self.workers[index].full_until = now.plus_ms(NO_ROOM_MS);
            }
            StartOutcome::NotRun | StartOutcome::Invalid => {
                self.workers[index].full_until = now.plus_ms(NOT_HEALTHY_MS);
            }
            StartOutcome::TooLate | StartOutcome::NoTicket => {}
        }
        self.unconfirmed.remove(&(index, task, run));
        self.run_over(index, task, outcome.into(), now);
    }
}
