//! Reactions of the plan to workers' reports.
//!
//! An incarnation counts as the worker's next one, whatever its time of birth,
//! if it has answered a poll that was asked for after the last one that counts:
//! a poller asks again only after its last call was answered or has failed, and
//! the next poller only after all that counts of the one before was handled. An
//! answer of another incarnation to a poll that was asked for earlier is late,
//! and is dropped.

use std::collections::BTreeSet;

use super::{
    DecisionKind, MISSED_POLLS, PendingStop, Planner, START_CONFIRM_TIMEOUT_MS, STOP_RETRY_MS,
    UNKNOWN_CHANGE, UnplannedEnd, circuit_breaker, pace,
    work::{Phase, Run, Work, WorkerIndex},
    worker_speed::{self, ProgressWindow},
    workers::{Allocation, UnstoredEnd, Worker, WorkerListing, WorkloadKind},
};
use crate::{
    fleet::{
        admission,
        id::{EndNumber, RunNumber, StepKey, SubmissionId, TaskKey},
        message::{EndKind, EndedRun, Order, PollResult, RunningTask, StartOutcome, WorkerReport},
        submission::SubmissionState,
    },
    id::WorkerId,
    time::Timestamp,
};

/// Time without starts after a worker refused one for lack of capacity, in
/// milliseconds: about the interval between two polls, which correct the used
/// capacity.
const FULL_PAUSE_MS: u64 = 300;
/// Time without starts after a worker said that it is unhealthy, in
/// milliseconds.
const UNHEALTHY_PAUSE_MS: u64 = 500;
/// Pause before a long-running task that failed is started again, in
/// milliseconds, so that one that fails at once does not flood the worker's
/// list of ends.
const RESTART_PAUSE_MS: u64 = 200;
/// Time without progress after which a run is given up, in milliseconds:
/// longer than a restore and the age of two polls.
const STALL_TIMEOUT_MS: u64 = 2_500;
/// Part of a task's estimated duration by which that time is longer, in
/// percent. Progress is reported in whole percent, so a long task shows none
/// for a hundredth of its duration, and for several on a slow worker.
const STALL_ESTIMATE_PERCENT: u64 = 4;
/// Pace from which a stalled run counts against its worker, in percent.
const MIN_BLAMED_PACE_PERCENT: u8 = 50;

impl Planner {
    /// Handles a report of the process that polls the worker.
    pub fn report(&mut self, worker: &WorkerId, report: WorkerReport, now: Timestamp) {
        let Some(index) = self.worker_index.get(worker).copied() else { return };
        match report {
            WorkerReport::Polled(poll) => self.worker_polled(index, poll, now),
            WorkerReport::PollFailed { leases_expire_by, is_silent } => {
                if let Some(leases_expire_by) = leases_expire_by {
                    self.workers[index].leases_expire_by = leases_expire_by;
                }
                if is_silent {
                    self.worker_silent(index, now);
                }
            }
            WorkerReport::Fenced => self.actions.is_superseded = true,
            WorkerReport::Replaced { incarnation } => {
                if incarnation.is_none() || incarnation == self.workers[index].incarnation {
                    self.worker_silent(index, now);
                    self.worker_replaced(index, now);
                }
            }
            WorkerReport::Start { task, run, outcome, answered_at } => {
                self.start_answered(index, task, run, outcome, answered_at, now);
            }
            WorkerReport::PaceUnconfirmed { task, run } => {
                let allocation = self.workers[index].allocations.get_mut(&task);
                if let Some(allocation) = allocation.filter(|it| it.run == run) {
                    allocation.pace = pace::UNKNOWN_PACE;
                    allocation.pace_set_at = now;
                }
            }
            WorkerReport::Stop { task, run, is_confirmed, answered_at } => {
                if let Some(stopping) = self.stops.get_mut(&(index, task, run)) {
                    let confirmed_at = is_confirmed.then_some(answered_at);
                    stopping.confirmed_at = stopping.confirmed_at.or(confirmed_at);
                    stopping.retry_at = now.plus_ms(STOP_RETRY_MS);
                }
            }
        }
    }

    fn worker_silent(&mut self, index: WorkerIndex, now: Timestamp) {
        let worker = &mut self.workers[index];
        worker.responsive_since = None;
        let leases_expire_by = worker.runs_expire_by();
        if !worker.is_silent {
            worker.is_silent = true;
            worker.silent_since.get_or_insert(now);
            self.suspect_runs(index, now);
            let id = self.worker_id(index);
            let left_ms = now.ms_until(leases_expire_by);
            self.log_decision(DecisionKind::WorkerSilent, None, Some(id), || {
                format!("lease_over_by={leases_expire_by} lease_left_ms={left_ms}")
            });
            let successor = self.workers[index].successor;
            if successor.is_some_and(|it| self.workers[it].polled_at.is_some()) {
                self.worker_replaced(index, now);
            }
        }
    }

    /// Records that a worker is added at the address of others. It is polled only
    /// from now on, so its answers come after those that these have given so far.
    /// An incarnation that an earlier leader has handed over tells no order.
    pub(super) fn add_successor(&mut self, index: WorkerIndex, listing: &WorkerListing) {
        let has_answered = |it: &&mut Worker| it.polled_at.is_some();
        let is_same_place =
            |it: &WorkerListing| it.address == listing.address && it.host == listing.host;
        let workers = self.workers.iter_mut().filter(has_answered);
        for it in workers.filter(|it| is_same_place(&it.listing)) {
            it.successor = Some(index);
        }
    }

    /// Records that the address of a worker has changed, so that none can tell
    /// at which one it has answered.
    pub(super) fn forget_successor(&mut self, index: WorkerIndex) {
        self.workers[index].successor = None;
        let predecessors = self.workers.iter_mut().filter(|it| it.successor == Some(index));
        predecessors.for_each(|it| it.successor = None);
    }

    /// Handles the first answer of a worker. Silent ones at whose address it was
    /// added after their last answers have ended, as with status 421. It may end
    /// itself before a poll of theirs shows that.
    fn replace_predecessors(&mut self, index: WorkerIndex, now: Timestamp) {
        let is_ended = |it: &Worker| it.is_silent && it.successor == Some(index);
        let ended: Vec<WorkerIndex> =
            (0..self.workers.len()).filter(|it| is_ended(&self.workers[*it])).collect();
        for it in ended {
            self.worker_replaced(it, now);
        }
    }

    /// Handles the proof that another worker has taken the place of one:
    /// everything there has ended, whatever leases it had.
    fn worker_replaced(&mut self, index: WorkerIndex, now: Timestamp) {
        let worker = &mut self.workers[index];
        if !worker.replaced(now) {
            return;
        }
        worker.may_run_earlier_work = false;
        let runs: Vec<TaskKey> = worker.allocations.keys().copied().collect();
        let is_draining = worker.listing.is_draining;
        let id = self.worker_id(index);
        self.log_decision(DecisionKind::WorkerReplaced, None, Some(id), || {
            format!("runs={} draining={is_draining}", runs.len())
        });
        self.stops.retain(|key, _| key.0 != index);
        self.unconfirmed.retain(|key, _| key.0 != index);
        for task in runs {
            self.run_lost(index, task, "its worker was replaced", now);
            self.blocked.retry(task.step.submission, now);
            self.hold_until_confirmed(task, now);
        }
        self.worker_crashed(index, now);
        self.judge_ended(index, now);
    }

    fn worker_polled(&mut self, index: WorkerIndex, poll: PollResult, now: Timestamp) {
        let worker = &mut self.workers[index];
        // The entry of a worker is not used if it claims such an incarnation.
        let is_late = worker.has_ended(poll.incarnation, poll.asked_at, now);
        if is_late || admission::is_future(poll.incarnation, now) {
            return;
        }
        worker.poll_asked_at = worker.poll_asked_at.max(poll.asked_at);
        worker.restored();
        let was_silent = std::mem::take(&mut worker.is_silent);
        worker.silent_since = None;
        if was_silent {
            let id = worker.listing.worker.clone();
            self.log_decision(DecisionKind::WorkerAnswers, None, Some(id), String::new);
        }
        let worker = &mut self.workers[index];
        if worker.incarnation != Some(poll.incarnation) {
            if worker.incarnation.is_some() && !was_silent {
                self.suspect_runs(index, now);
            }
            let is_first = self.workers[index].incarnation.is_none();
            self.begin_incarnation(index, &poll, now);
            if is_first {
                self.replace_predecessors(index, now);
            }
        }
        let worker = &mut self.workers[index];
        worker.successor = None;
        worker.polled_at = Some(now);
        worker.is_changed = true;
        worker.may_run_earlier_work = false;
        worker.has_listed_all_ends |= !poll.may_lack_ends;
        worker.leases_expire_by = poll.leases_expire_by;
        worker.responsive_since = Some(poll.responsive_since);
        let seen_end = worker.seen_end;
        for end in &poll.ended {
            let worker = &self.workers[index];
            if worker.seen_end < end.number && is_next(end, worker.seen_end) {
                self.workers[index].seen_end = end.number;
                self.run_ended(index, end, now);
            }
        }
        self.acknowledge_again(index, &poll);
        for running in &poll.running {
            self.run_listed(index, running, poll.asked_at, now);
        }
        self.find_missing_runs(index, &poll, now);
        self.judge_polled(index, poll.incarnation, now);
        self.require_changes(index, seen_end);
        self.adjust_pace(index, now);
        self.begin_lookups(now);
    }

    /// Orders the acknowledgement again of ends that fill a worker's list. The
    /// order may be lost with the worker's poller, and the worker lists no others
    /// until it is told.
    fn acknowledge_again(&mut self, index: WorkerIndex, poll: &PollResult) {
        let through = self.workers[index].acknowledged_through;
        let is_acknowledged = poll.ended.first().is_some_and(|it| it.number <= through);
        if poll.may_lack_ends && is_acknowledged {
            let order = Order::AcknowledgeEnds { incarnation: poll.incarnation, through };
            self.actions.orders.push((self.worker_id(index), order));
        }
    }

    /// Begins an incarnation of a worker. Runs that a poll listed in the one
    /// before have ended. A start that no poll has listed may have been
    /// carried out by either incarnation, so it is kept until it is listed or
    /// stopped.
    fn begin_incarnation(&mut self, index: WorkerIndex, poll: &PollResult, now: Timestamp) {
        let is_first = self.workers[index].incarnation.is_none();
        if !is_first {
            self.worker_crashed(index, now);
        }
        self.workers[index].begin_incarnation(poll.incarnation);
        let runs: Vec<(TaskKey, RunNumber)> =
            self.workers[index].allocations.iter().map(|(task, it)| (*task, it.run)).collect();
        let mut lost = 0;
        for (task, run) in runs {
            let current = self.planned_run_mut(index, task).filter(|it| it.run == run);
            match current {
                Some(current) if !current.was_listed => {
                    current.confirmed_at = None;
                    current.missed_polls = 0;
                    let give_up_at = now.plus_ms(START_CONFIRM_TIMEOUT_MS);
                    self.unconfirmed.entry((index, task, run)).or_insert(give_up_at);
                }
                _ => {
                    lost += 1;
                    self.workers[index].release(task);
                    self.stops.remove(&(index, task, run));
                    self.requeue(index, task, None, now);
                }
            }
            self.hold_until_confirmed(task, now);
        }
        // A stop that the earlier incarnation confirmed does not bind this
        // one.
        let first = (index, TaskKey::MIN, RunNumber::default());
        for (_, stopping) in self.stops.range_mut(first..).take_while(|it| it.0.0 == index) {
            *stopping = PendingStop::new(now);
        }
        if !is_first {
            let id = self.worker_id(index);
            self.log_decision(DecisionKind::WorkerRestarted, None, Some(id), || {
                format!("life={} lost_runs={lost}", poll.incarnation)
            });
        }
    }

    /// Handles an end that was not processed before.
    fn run_ended(&mut self, index: WorkerIndex, end: &EndedRun, now: Timestamp) {
        if end.kind == EndKind::Foreign {
            self.await_stored(index, end, 0);
            return;
        }
        let key = (index, end.task, end.run);
        self.copies.settle(key);
        self.stops.remove(&key);
        self.unconfirmed.remove(&key);
        let is_allocated =
            self.workers[index].allocations.get(&end.task).is_some_and(|it| it.run == end.run);
        if is_allocated {
            self.workers[index].release(end.task);
        }
        self.update_circuit_breaker(index, end, now);
        let id = end.task.step.submission;
        let counts = matches!(end.kind, EndKind::Done | EndKind::Failed);
        if counts && !self.work.contains_key(&id) {
            let incarnation = self.workers[index].incarnation;
            let unplanned = UnplannedEnd { worker: index, incarnation, end: end.clone() };
            self.unplanned_ends.entry(id).or_default().push(unplanned);
            self.await_stored(index, end, UNKNOWN_CHANGE);
            self.lookups.request(id);
            return;
        }
        self.apply_end(index, end, now);
        self.await_stored(index, end, self.last_change(id));
    }

    /// Lets an end be acknowledged once its submission's changes up to `change`
    /// are stored.
    fn await_stored(&mut self, index: WorkerIndex, end: &EndedRun, change: u64) {
        let is_done = end.kind == EndKind::Done;
        let unstored = UnstoredEnd { number: end.number, task: end.task, is_done, change };
        self.workers[index].unstored_ends.push_back(unstored);
    }

    /// Lets the ends after `seen_end` wait for what the rest of the poll has
    /// changed, too: that a run has ended clears its task of a suspicion.
    fn require_changes(&mut self, index: WorkerIndex, seen_end: EndNumber) {
        let new = self.workers[index].unstored_ends.iter_mut().rev();
        for end in new.take_while(|it| seen_end < it.number) {
            if let Some(work) = self.work.get(&end.task.step.submission)
                && end.change != UNKNOWN_CHANGE
            {
                end.change = work.last_change;
            }
        }
    }

    /// Records that a worker has started a task of a submission.
    pub(super) fn submission_started(&mut self, id: SubmissionId) {
        let work = self.work.get_mut(&id).filter(|it| it.state == SubmissionState::Queued);
        if let Some(work) = work {
            work.state = SubmissionState::Running;
            self.actions.states.push((id, SubmissionState::Running));
        }
    }

    /// Applies an end to the task that it belongs to.
    fn apply_end(&mut self, index: WorkerIndex, end: &EndedRun, now: Timestamp) {
        self.submission_started(end.task.step.submission);
        self.begin_reported(end.task);
        match end.kind {
            EndKind::Done => self.run_done(index, end, now),
            EndKind::Failed => self.run_failed(index, end, now),
            EndKind::Stopped
            | EndKind::LeaseExpired
            | EndKind::GangBroken
            | EndKind::GangIncomplete
            | EndKind::Foreign => {
                if self.is_planned(index, end.task, end.run) {
                    self.requeue(index, end.task, end.checkpoint.clone(), now);
                }
            }
        }
    }

    /// Applies the ends that were listed before their submission was planned,
    /// or drops them if there is no such submission, and lets them be
    /// acknowledged.
    pub(super) fn resolve_unplanned_ends(&mut self, id: SubmissionId, now: Timestamp) {
        for it in self.unplanned_ends.remove(&id).unwrap_or_default() {
            self.apply_end(it.worker, &it.end, now);
            let change = self.last_change(id);
            let worker = &mut self.workers[it.worker];
            if worker.incarnation != it.incarnation {
                continue;
            }
            let mut unstored = worker.unstored_ends.iter_mut();
            if let Some(unstored) = unstored.find(|unstored| unstored.number == it.end.number) {
                unstored.change = change;
            }
        }
    }

    fn update_circuit_breaker(&mut self, index: WorkerIndex, end: &EndedRun, now: Timestamp) {
        match end.kind {
            EndKind::Done => self.workers[index].circuit_breaker.record_success(now),
            EndKind::Failed => self.record_failure(index, end.task, end.kind.into(), now),
            _ => {}
        }
    }

    /// Records a run that failed or stalled, and suspends the worker if it may
    /// be at fault.
    fn record_failure(&mut self, index: WorkerIndex, task: TaskKey, how: &str, now: Timestamp) {
        let may_suspend = self.may_suspend(index, now);
        if self.workers[index].circuit_breaker.record_failure(may_suspend, now) {
            let id = self.worker_id(index);
            let submission = Some(task.step.submission);
            self.log_decision(DecisionKind::WorkerSuspended, submission, Some(id), || {
                format!("task={task} how={how}")
            });
        }
    }

    /// Returns whether a worker may be suspended: enough others of its pool,
    /// and of those there of its kind, accept work. Workers of one rack may
    /// fail together, so the rack does not bound it.
    fn may_suspend(&self, index: WorkerIndex, now: Timestamp) -> bool {
        let worker = &self.workers[index];
        if worker.circuit_breaker.is_restricted(now) {
            return true;
        }
        let is_enough_left = |kind: Option<&String>| {
            let group = self.workers.iter().filter(|it| {
                let is_up = it.is_listed && !it.is_silent && !it.listing.is_draining;
                is_up
                    && !it.is_evacuated
                    && it.listing.service == worker.listing.service
                    && kind.is_none_or(|kind| it.has_label(kind))
            });
            let (mut restricted, mut workers) = (0, 0);
            for it in group {
                workers += 1;
                restricted += usize::from(it.circuit_breaker.is_restricted(now));
            }
            circuit_breaker::may_restrict(restricted, workers)
        };
        let kind = worker.listing.labels.first();
        is_enough_left(None) && (kind.is_none() || is_enough_left(kind))
    }

    pub(super) fn is_current(&self, index: WorkerIndex, task: TaskKey, run: RunNumber) -> bool {
        self.current_run(index, task, run).is_some()
    }

    fn run_done(&mut self, index: WorkerIndex, end: &EndedRun, now: Timestamp) {
        let Some(work) = self.work.get(&end.task.step.submission) else { return };
        let Some(spec) = work.submission.steps.get(usize::from(end.task.step.step)) else { return };
        if spec.is_long_running {
            if self.is_current(index, end.task, end.run) {
                self.requeue(index, end.task, None, now);
            }
            return;
        }
        // The end of one member counts for the whole gang.
        let members = if spec.is_gang { 0..spec.count } else { end.task.index..end.task.index + 1 };
        self.judge_done(index, end.task, end.run, now);
        for member in members {
            self.task_done(TaskKey { index: member, ..end.task }, end.run, now);
        }
        self.advance_steps(end.task.step, now);
    }

    fn task_done(&mut self, task: TaskKey, run: RunNumber, now: Timestamp) {
        let Some(work) = self.work.get_mut(&task.step.submission) else { return };
        let Some(slot) = work.task_mut(task) else { return };
        if slot.is_done() {
            return;
        }
        let other = slot.run().filter(|it| it.run != run).map(|it| (it.worker, it.run));
        slot.phase = Phase::Done;
        slot.suspicion = None;
        let step = usize::from(task.step.step);
        if let Some(occurrence) = work.occurrence_mut(task.step.occurrence) {
            occurrence.steps[step].unfinished -= 1;
        }
        self.suspects.remove_task(task);
        self.mark_dirty(task.step.submission);
        self.resolve_copy(task, run, now);
        if let Some((worker, run)) = other {
            self.stop(worker, task, run, "another run is done", now);
        }
    }

    /// Makes the steps that depend on a step ready, or ends the submission.
    fn advance_steps(&mut self, step: StepKey, now: Timestamp) {
        let id = step.submission;
        let Some(work) = self.work.get_mut(&id) else { return };
        let submission = work.submission.clone();
        let Some(occurrence) = work.occurrence_mut(step.occurrence) else { return };
        if 0 < occurrence.steps[usize::from(step.step)].unfinished {
            return;
        }
        occurrence.refresh_ready(&submission);
        if occurrence.is_done() {
            work.remove_done(step.occurrence);
        } else {
            self.waiting.extend(submission.step_keys(step.occurrence));
        }
        if self.work.get(&id).is_some_and(Work::is_complete) {
            self.finish(id, SubmissionState::Completed, "all tasks are done", now);
        }
    }

    fn run_failed(&mut self, index: WorkerIndex, end: &EndedRun, now: Timestamp) {
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
        self.log_decision(DecisionKind::RunFailed, Some(id), Some(worker), || {
            format!("task={} run={} failures={failures} attempts={attempts}", end.task, end.run)
        });
        if !is_long_running {
            self.mark_dirty(id);
        }
        if self.is_planned(index, end.task, end.run) {
            self.requeue(index, end.task, end.checkpoint.clone(), now);
        }
        if attempts <= failures && !is_long_running {
            self.finish(id, SubmissionState::Failed, "a task used up its attempts", now);
        }
    }

    /// Makes a task wait again after its run on a worker has ended, unless it has
    /// another one.
    pub(super) fn requeue(
        &mut self,
        index: WorkerIndex,
        task: TaskKey,
        checkpoint: Option<String>,
        now: Timestamp,
    ) {
        if self.drop_copy(index, task) {
            return;
        }
        let Some(work) = self.work.get_mut(&task.step.submission) else { return };
        let spec = work.submission.steps.get(usize::from(task.step.step));
        let is_long_running = spec.is_some_and(|it| it.is_long_running);
        let saves_progress = spec.is_some_and(|it| it.saves_progress);
        let Some(slot) = work.task_mut(task) else { return };
        let Some(run) = slot.run().filter(|it| it.worker == index) else { return };
        let ran_ms = now.ms_since(run.ordered_at);
        if saves_progress {
            slot.saved_percent = slot.saved_percent.max(run.percent);
        }
        slot.phase = Phase::Waiting;
        if checkpoint.is_some() {
            slot.checkpoint = checkpoint;
        }
        if is_long_running && ran_ms < 2 * RESTART_PAUSE_MS {
            slot.not_before = slot.not_before.max(now.plus_ms(RESTART_PAUSE_MS));
        }
        self.waiting.insert(task.step);
        self.promote_copy(task);
    }

    /// Handles a run that a worker lists in a poll that was asked for at
    /// `asked_at`, on the poller's clock.
    fn run_listed(
        &mut self,
        index: WorkerIndex,
        row: &RunningTask,
        asked_at: Timestamp,
        now: Timestamp,
    ) {
        let id = row.task.step.submission;
        let mut listings = 0;
        let allocation = self.workers[index].allocations.get_mut(&row.task);
        if let Some(allocation) = allocation.filter(|it| it.run == row.run) {
            allocation.listings = allocation.listings.saturating_add(1);
            listings = allocation.listings;
        }
        self.begin_reported(row.task);
        let Some(work) = self.work.get(&id) else {
            self.unknown_run(index, row);
            return;
        };
        let Some(spec) = work.submission.steps.get(usize::from(row.task.step.step)) else { return };
        let task = work.task(row.task);
        let is_waiting = task.is_some_and(|it| it.is_waiting());
        self.copies.settle((index, row.task, row.run));
        let is_planned_here = self.has_planned_run(index, row.task);
        let is_stopping = self.stops.contains_key(&(index, row.task, row.run));
        if self.is_current(index, row.task, row.run) {
            self.unconfirmed.remove(&(index, row.task, row.run));
            if listings == 1 {
                self.submission_started(id);
            }
            self.update_progress(index, row, asked_at, now);
            self.run_survived(row.task, row.run, listings);
        } else if self.is_copy(index, row.task, row.run) {
            self.copy_listed(index, row, asked_at);
        } else if is_waiting && !is_stopping {
            self.adopt(index, row, asked_at, now);
        } else if !is_stopping && self.is_preferred(index, row) {
            self.stop_unpreferred(row.task, now);
            self.adopt(index, row, asked_at, now);
        } else if !is_stopping {
            // A task has one allocation on a worker. That of the planned run
            // stays, since the end of that run is found by it.
            if !is_planned_here {
                let spec = spec.clone();
                let allocation = self.allocation_for(&spec, row.run);
                self.workers[index].allocate(row.task, allocation);
            }
            self.stop(index, row.task, row.run, "not the planned run", now);
        }
    }

    /// Handles a listed run of a submission that the plan does not contain. The
    /// record may only be missing here, so the run is kept, with an empty
    /// demand, and its submission is looked up in the store.
    fn unknown_run(&mut self, index: WorkerIndex, row: &RunningTask) {
        let id = row.task.step.submission;
        let unknown =
            Allocation { is_unknown: true, ..self.allocation_for(&Default::default(), row.run) };
        if !self.workers[index].allocations.contains_key(&row.task) {
            self.workers[index].allocate(row.task, unknown);
        }
        if !self.stops.contains_key(&(index, row.task, row.run)) {
            self.lookups.request(id);
        }
    }

    /// Adopts a run that this plan did not order.
    fn adopt(
        &mut self,
        index: WorkerIndex,
        row: &RunningTask,
        asked_at: Timestamp,
        now: Timestamp,
    ) {
        let Some(work) = self.work.get_mut(&row.task.step.submission) else { return };
        let spec = work.submission.steps[usize::from(row.task.step.step)].clone();
        work.is_begun = true;
        let Some(slot) = work.task_mut(row.task) else { return };
        slot.last_run = slot.last_run.max(row.run);
        slot.phase = Phase::Placed(Run::new(index, row.run, now));
        let mut allocation = self.allocation_for(&spec, row.run);
        allocation.listings = 1;
        if allocation.kind == WorkloadKind::BestEffort {
            // An earlier leader may have slowed it down.
            allocation.pace = pace::UNKNOWN_PACE;
            allocation.pace_set_at = now;
        }
        self.workers[index].allocate(row.task, allocation);
        let id = row.task.step.submission;
        self.submission_started(id);
        let worker = self.worker_id(index);
        self.log_decision(DecisionKind::RunAdopted, Some(id), Some(worker), || {
            format!("task={} run={}", row.task, row.run)
        });
        self.update_progress(index, row, asked_at, now);
    }

    fn update_progress(
        &mut self,
        index: WorkerIndex,
        row: &RunningTask,
        asked_at: Timestamp,
        now: Timestamp,
    ) {
        let Some(work) = self.work.get_mut(&row.task.step.submission) else { return };
        let spec = &work.submission.steps[usize::from(row.task.step.step)];
        let (is_long_running, is_gang) = (spec.is_long_running, spec.is_gang);
        let worker = &self.workers[index];
        let pace = worker.allocations.get(&row.task).map_or(100, |it| it.pace);
        let is_comparable = worker_speed::is_comparable(spec, worker, pace);
        let estimate_ms = spec.estimate_ms;
        let Some(slot) = work.task_mut(row.task) else { return };
        if row.checkpoint.is_some() {
            slot.checkpoint.clone_from(&row.checkpoint);
        }
        let Some(run) = slot.run_mut() else { return };
        run.progress_listed(row.percent, asked_at);
        run.confirmed_at = Some(asked_at);
        run.was_listed = true;
        run.missed_polls = 0;
        let stalled_ms = run.stalled_ms;
        let bounds = if is_comparable {
            ProgressWindow::listed(&mut run.window, row.percent, asked_at)
        } else {
            run.window = None;
            None
        };
        let pace = pace.min(100);
        let allocation = self.workers[index].allocations.get_mut(&row.task);
        let stall_timeout_ms = stall_timeout_ms(estimate_ms, pace);
        let is_pace_new = allocation.is_some_and(|it| {
            it.measurement = row.measurement;
            let is_over_target = it.tail_target_ms.is_some_and(|target| {
                // Tails are noisy, so the time over the target ends only
                // clearly below it.
                let bound = if it.over_target_since.is_some() { target * 9 / 10 } else { target };
                bound <= row.measurement
            });
            let was_over_target = std::mem::replace(&mut it.is_over_target, is_over_target);
            if is_over_target {
                it.over_target_since.get_or_insert(now);
            } else if !was_over_target {
                it.over_target_since = None;
            }
            now.ms_since(it.pace_set_at) < stall_timeout_ms
        });
        let is_stalled =
            !is_long_running && 0 < pace && stall_timeout_ms <= stalled_ms && !is_pace_new;
        if is_stalled && !self.stops.contains_key(&(index, row.task, row.run)) {
            slot.avoid = Some(index);
            // A member of a gang makes no progress while another one is
            // missing or stalls, and a slow run may only lack processor time.
            if !is_gang && MIN_BLAMED_PACE_PERCENT <= pace {
                self.record_failure(index, row.task, "no progress", now);
            }
            self.stop(index, row.task, row.run, "no progress", now);
        }
        if let Some(bounds) = bounds.filter(|it| it.may_tell(estimate_ms, &self.workers[index])) {
            self.judge_progress(index, row.task, bounds, now);
        }
    }

    /// Finds runs and stops that a poll proves to have ended. One that may lack
    /// ends proves nothing about runs that it does not list: they may have ended
    /// as done. Neither does one that was asked for before the worker had
    /// confirmed the start or the stop: it may have been answered earlier.
    fn find_missing_runs(&mut self, index: WorkerIndex, poll: &PollResult, now: Timestamp) {
        if poll.may_lack_ends {
            return;
        }
        let listed: BTreeSet<(TaskKey, RunNumber)> =
            poll.running.iter().map(|it| (it.task, it.run)).collect();
        let is_listed = |task: TaskKey, run: RunNumber| listed.contains(&(task, run));
        let is_later = |it| u32::from(is_asked_after(poll.asked_at, it));
        let runs: Vec<(TaskKey, RunNumber)> =
            self.workers[index].allocations.iter().map(|(task, it)| (*task, it.run)).collect();
        for (task, run) in runs {
            if is_listed(task, run) {
                continue;
            }
            if let Some(stopping) = self.stops.get_mut(&(index, task, run)) {
                stopping.missed_polls += is_later(stopping.confirmed_at);
                if MISSED_POLLS <= stopping.missed_polls {
                    self.stops.remove(&(index, task, run));
                    self.copies.settle((index, task, run));
                    self.run_lost(index, task, "stopped before it started", now);
                }
            } else if self.count_missed_poll(index, task, run, poll.asked_at) {
                self.run_lost(index, task, "no longer listed", now);
            }
        }
        // Stops of runs that hold no allocation here.
        let stops = self.stops_at(index);
        for (task, run) in stops {
            if is_listed(task, run) {
                continue;
            }
            let allocations = &self.workers[index].allocations;
            let is_allocated = allocations.get(&task).is_some_and(|it| it.run == run);
            let Some(stopping) = self.stops.get_mut(&(index, task, run)) else { continue };
            if !is_allocated {
                stopping.missed_polls += is_later(stopping.confirmed_at);
            }
            if !is_allocated && MISSED_POLLS <= stopping.missed_polls {
                self.stops.remove(&(index, task, run));
                self.copies.settle((index, task, run));
            }
        }
    }

    /// Records that every further poll of a worker is asked for after all that
    /// its runs and stops have confirmed: another poller, with another clock,
    /// has begun to poll it.
    pub(super) fn confirmed_before_all_polls(&mut self, index: WorkerIndex) {
        let confirm = |it: &mut Timestamp| *it = Timestamp::default();
        let first = (index, TaskKey::MIN, RunNumber::default());
        for (_, it) in self.stops.range_mut(first..).take_while(|it| it.0.0 == index) {
            it.confirmed_at.iter_mut().for_each(confirm);
        }
        let tasks: Vec<TaskKey> = self.workers[index].allocations.keys().copied().collect();
        for task in tasks {
            if let Some(run) = self.planned_run_mut(index, task) {
                run.confirmed_at.iter_mut().for_each(confirm);
                run.listed_at = None;
                run.window = None;
            }
        }
    }

    /// Returns the runs on a worker that are being stopped.
    fn stops_at(&self, index: WorkerIndex) -> Vec<(TaskKey, RunNumber)> {
        let first = (index, TaskKey::MIN, RunNumber::default());
        self.stops
            .range(first..)
            .take_while(|it| it.0.0 == index)
            .map(|it| (it.0.1, it.0.2))
            .collect()
    }

    /// Counts a poll that does not list a run; returns whether the run now
    /// counts as ended.
    fn count_missed_poll(
        &mut self,
        index: WorkerIndex,
        task: TaskKey,
        run: RunNumber,
        asked_at: Timestamp,
    ) -> bool {
        let current = self.planned_run_mut(index, task).filter(|it| it.run == run);
        let Some(current) = current else { return true };
        current.missed_polls += u32::from(is_asked_after(asked_at, current.confirmed_at));
        MISSED_POLLS <= current.missed_polls
    }

    /// Releases the allocation of a run and makes its task wait again.
    pub(super) fn run_lost(
        &mut self,
        index: WorkerIndex,
        task: TaskKey,
        why: &str,
        now: Timestamp,
    ) {
        self.workers[index].release(task);
        self.requeue(index, task, None, now);
        let worker = self.worker_id(index);
        self.log_decision(DecisionKind::RunLost, Some(task.step.submission), Some(worker), || {
            format!("task={task} why={why}")
        });
    }

    fn start_answered(
        &mut self,
        index: WorkerIndex,
        task: TaskKey,
        run: RunNumber,
        outcome: StartOutcome,
        answered_at: Timestamp,
        now: Timestamp,
    ) {
        if !outcome.may_have_run() {
            self.run_not_started(task, run);
            self.copies.settle((index, task, run));
        }
        if !self.is_planned(index, task, run) || self.stops.contains_key(&(index, task, run)) {
            return;
        }
        match outcome {
            StartOutcome::Started => {
                self.submission_started(task.step.submission);
                self.unconfirmed.remove(&(index, task, run));
                let Some(slot) = self.task_mut(task) else { return };
                let is_resumed = slot.checkpoint.is_some();
                if let Some(run) = self.planned_run_mut(index, task) {
                    if run.listed_at.is_none() && !is_resumed {
                        run.window = Some(ProgressWindow::started(answered_at));
                    }
                    run.confirmed_at.get_or_insert(answered_at);
                    run.listed_at = run.listed_at.max(Some(answered_at));
                    run.stalled_ms = 0;
                }
                return;
            }
            StartOutcome::MayHaveRun | StartOutcome::Superseded => {
                self.stop(index, task, run, outcome.into(), now);
                return;
            }
            StartOutcome::Fenced => self.actions.is_superseded = true,
            StartOutcome::NoRoom => {
                self.workers[index].full_until = now.plus_ms(FULL_PAUSE_MS);
            }
            StartOutcome::NotRun | StartOutcome::Invalid => {
                self.workers[index].full_until = now.plus_ms(UNHEALTHY_PAUSE_MS);
            }
            StartOutcome::TooLate
            | StartOutcome::NoTicket
            | StartOutcome::Restarted
            | StartOutcome::Evacuated => {}
        }
        self.unconfirmed.remove(&(index, task, run));
        self.run_lost(index, task, outcome.into(), now);
    }
}

/// Returns whether a poll was asked for after a call was answered, both on the
/// clock of the same poller. In the same millisecond either may be the first.
fn is_asked_after(asked_at: Timestamp, answered_at: Option<Timestamp>) -> bool {
    answered_at.is_some_and(|it| it < asked_at)
}

/// Returns the time without progress after which a run is given up, in
/// milliseconds, given its task's estimated duration and its pace.
fn stall_timeout_ms(estimate_ms: u64, pace_percent: u8) -> u64 {
    let pace_percent = u64::from(pace_percent).max(1);
    let estimate_ms = estimate_ms.saturating_mul(STALL_ESTIMATE_PERCENT) / pace_percent;
    estimate_ms.saturating_add(STALL_TIMEOUT_MS)
}

/// Returns whether an end may follow the last one that was processed. A row that
/// names no task of ours may be damaged, so it counts only if its number is the
/// next one, or the first that is heard: a wrong number would hide the ends
/// below it.
fn is_next(end: &EndedRun, seen_end: EndNumber) -> bool {
    end.kind != EndKind::Foreign
        || seen_end == EndNumber::default()
        || end.number.0 == seen_end.0 + 1
}
