//! Work done on each tick: due occurrences, overdue runs and stops, and the
//! start of placed tasks.

use std::{collections::BTreeSet, sync::Arc};

use super::{
    DecisionKind, Planner, RunKey, START_CONFIRM_TIMEOUT_MS, STOP_RETRY_MS,
    choice::PendingTasks,
    work::{Phase, Run, Work, WorkerIndex},
    workers::{Allocation, Worker},
};
use crate::{
    fleet::{
        id::{RunNumber, StepKey, SubmissionId, TaskKey},
        message::{Order, StartOrder},
        poller::{LEASE_MARGIN_MS, MAX_START_LEASE_MS},
        submission::{Submission, SubmissionState},
    },
    time::Timestamp,
};

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
        self.expire_copies(now);
        self.pools_lacking_ends = self.find_pools_lacking_ends(now);
        self.workers.iter_mut().for_each(|it| it.expire_exclusion(now));
        self.begin_lookups(now);
        self.refresh_cold(now);
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
        if self.measure_loads(now) {
            self.evict(&schedulable, now);
        }
        if !schedulable.is_empty() {
            self.move_slowed(&schedulable, now);
            self.move_stragglers(&schedulable, now);
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
        let begins = !pending.is_starved && !std::mem::replace(&mut work.is_begun, true);
        if begins {
            work.begun_at = Some(now);
        }
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
        if begins {
            self.lift_begun(key.submission, now);
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

pub(super) fn next_run(last: RunNumber, base: u64) -> RunNumber {
    RunNumber(last.0.max(base).saturating_add(1))
}

fn next_gang_run(work: &Work, key: StepKey, base: u64) -> RunNumber {
    let step = work.occurrence(key.occurrence).map(|it| &it.steps[usize::from(key.step)]);
    let last = step.and_then(|it| it.tasks.iter().map(|it| it.last_run).max());
    next_run(last.unwrap_or_default(), base)
}
