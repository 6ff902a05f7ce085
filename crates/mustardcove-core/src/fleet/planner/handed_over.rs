//! The plan that goes from a leader that steps down to its successor; see
//! [`handover`](crate::fleet::handover).

use super::{
    DecisionKind, Planner, is_stored, pace,
    suspects::PROVEN_LISTINGS,
    work::{Phase, Run, Work, WorkerIndex},
    workers::{Worker, WorkloadKind},
};
use crate::{
    fleet::{
        handover::{KnownLeases, LastPoller, PlannedRun, PollerId, WorkerHandover, WorkerPlan},
        id::SubmissionId,
        poller::LOST_POLLER_LEASE_MS,
    },
    id::WorkerId,
    time::Timestamp,
};

impl Planner {
    /// Takes back the starts that wait for a record: they were not ordered, so
    /// the successor must not take them for runs.
    pub fn prepare_hand_over(&mut self, now: Timestamp) {
        self.cancel_all_withheld(now);
    }

    /// Returns what a successor has to know of the recorded workers, if this
    /// leader orders nothing and confirms no worker any more. `poller_of` returns
    /// the present poller of a worker.
    pub fn hand_over(
        &self,
        now: Timestamp,
        poller_of: impl Fn(&WorkerId) -> Option<PollerId>,
    ) -> Vec<WorkerHandover> {
        let hand_over = |(index, it): (WorkerIndex, &Worker)| {
            let known = WorkerHandover::from(self.known_leases(it, now, &poller_of));
            WorkerHandover { plan: self.known_plan(index), ..known }
        };
        let recorded = self.workers.iter().enumerate().filter(|it| it.1.is_recorded);
        recorded.map(hand_over).collect()
    }

    /// Returns what a successor that leads already may use of what this leader knows,
    /// if that orders nothing and confirms no worker any more. `poller_of` returns the
    /// present poller of a worker.
    pub fn displaced(
        &self,
        now: Timestamp,
        poller_of: impl Fn(&WorkerId) -> Option<PollerId>,
    ) -> Vec<KnownLeases> {
        let is_known = |it: &&Worker| it.is_recorded && it.replaced_at.is_none();
        let workers = self.workers.iter().filter(is_known);
        let known = workers.map(|it| self.known_leases(it, now, &poller_of));
        // Before the workers are restored nothing was granted, and what the predecessor
        // knew of them still holds.
        let others = self.earlier_leases.workers().filter(|_| self.workers.is_empty());
        known.chain(others.cloned().map(KnownLeases::from)).collect()
    }

    /// Returns what the predecessor has handed over, with the ends of leases that were
    /// told since, for the successor of a leader that has ordered and granted nothing.
    pub fn pass_on(&self, mut handed_over: Vec<WorkerHandover>) -> Vec<WorkerHandover> {
        for it in &mut handed_over {
            if let Some(known) = self.earlier_leases.worker(&it.worker) {
                it.leases_expire_by = it.leases_expire_by.min(known.leases_expire_by);
                it.poller.clone_from(&known.poller);
            }
        }
        handed_over
    }

    /// Returns what is known of the leases on a worker.
    fn known_leases(
        &self,
        worker: &Worker,
        now: Timestamp,
        poller_of: impl Fn(&WorkerId) -> Option<PollerId>,
    ) -> KnownLeases {
        // What answers was granted leases by its present poller since the last report.
        let poller = || {
            let id = worker.responsive_since.and_then(|_| poller_of(&worker.listing.worker))?;
            Some(LastPoller { id, other_leases_expire_by: worker.runs_expire_by() })
        };
        KnownLeases {
            worker: worker.listing.worker.clone(),
            leases_expire_by: self.leases_end(worker, now),
            silent_since: worker.silent_since.filter(|_| worker.is_silent),
            poller: poller(),
        }
    }

    /// Takes in what the predecessor knew of leases, which was displaced by the claim
    /// of this term. It counts only where it is earlier than what is known. Returns
    /// for how many workers it is.
    pub fn learn_leases(&mut self, known: Vec<KnownLeases>) -> usize {
        let mut learned = 0;
        for it in known {
            let worker = it.worker.clone();
            let silent_since = it.silent_since;
            let expire_by = self.earlier_leases.learn(it);
            let Some(index) = self.worker_index.get(&worker).copied() else { continue };
            let before = self.earlier_leases_end(&self.workers[index]);
            learned += usize::from(expire_by < before);
            let it = &mut self.workers[index];
            it.learn_earlier_leases(expire_by);
            if it.polled_at.is_none() {
                it.silent_since = [it.silent_since, silent_since].into_iter().flatten().min();
            }
        }
        learned
    }

    /// Returns the time by which every lease has expired on a worker that this
    /// leader or an earlier one granted.
    fn leases_end(&self, worker: &Worker, now: Timestamp) -> Timestamp {
        if worker.replaced_at.is_some() {
            now
        } else if worker.responsive_since.is_some() {
            // Its poller goes on until its permission ends.
            now.plus_ms(LOST_POLLER_LEASE_MS)
        } else if worker.incarnation.is_some() {
            worker.runs_expire_by()
        } else {
            self.earlier_leases_end(worker)
        }
    }

    /// Handles the report of a poller whose assignment or whose leader's term has
    /// ended, and which grants nothing more, by when all leases have expired that it
    /// granted on a worker; `None` if it granted none. Returns whether that poller was
    /// the last one.
    pub fn poller_retired(
        &mut self,
        worker: &WorkerId,
        poller: &PollerId,
        leases_expire_by: Option<Timestamp>,
    ) -> bool {
        let index = self.worker_index.get(worker).copied();
        let leases_expire_by = leases_expire_by.unwrap_or_default();
        let is_earlier = poller.term < self.term;
        let retired =
            self.earlier_leases.poller_retired(worker, poller, leases_expire_by, is_earlier);
        let Some(expire_by) = retired else {
            return index
                .is_some_and(|it| self.workers[it].poller_retired(poller, leases_expire_by));
        };
        if let Some(index) = index {
            self.workers[index].learn_earlier_leases(expire_by);
        }
        true
    }

    /// Returns everything that may run on a worker; `None` if that is not known,
    /// or depends on what is not stored.
    fn known_plan(&self, index: WorkerIndex) -> Option<WorkerPlan> {
        let worker = &self.workers[index];
        let incarnation = worker.incarnation.filter(|_| worker.replaced_at.is_none())?;
        // The successor waits until it has reached a worker with a copy, so that it
        // acknowledges no end of the other run before.
        if self.copies.may_run_on(index) {
            return None;
        }
        let run = |(task, run, listings)| {
            let is_proven = PROVEN_LISTINGS <= listings;
            PlannedRun { task, run, is_proven }
        };
        let runs: Vec<PlannedRun> = self.planned_runs(index).into_iter().map(run).collect();
        let mut others = worker.allocations.iter().filter(|(task, it)| {
            let is_planned = |run: &PlannedRun| run.task == **task && run.run == it.run;
            !runs.iter().any(is_planned)
        });
        let has_stopping_runs = others.clone().next().is_some();
        // Their tasks start nowhere else. Other runs that are not planned are of
        // unknown submissions, or of tasks that may start elsewhere.
        let are_others_ended = others.all(|(task, _)| self.is_ended(task.step.submission));
        // Ends that are stored may wait for a copy elsewhere to begin, or behind one.
        let (first, mut ends) = (worker.unstored_ends.front(), worker.unstored_ends.iter());
        let are_ends_stored = first.is_none_or(|it| self.copies.must_wait(&self.work, it))
            && ends.all(|it| is_stored(&self.work, it.task.step.submission, it.change));
        let is_known = worker.has_listed_all_ends && are_ends_stored && are_others_ended;
        let was_draining = worker.was_draining;
        is_known.then_some(WorkerPlan { incarnation, was_draining, runs, has_stopping_runs })
    }

    /// Returns whether a submission has ended, and a successor finds that stored.
    fn is_ended(&self, id: SubmissionId) -> bool {
        let work = self.work.get(&id).filter(|it| it.state.is_final());
        work.is_some_and(|it| it.last_change <= it.stored_change)
    }

    /// Goes on with the runs that the predecessor has handed over. Has to be
    /// called after the workers and submissions were restored.
    pub fn place_handed_over(&mut self, now: Timestamp) {
        for index in 0..self.workers.len() {
            let id = &self.workers[index].listing.worker;
            let Some(plan) = self.earlier_leases.take_plan(id) else { continue };
            plan.runs.iter().for_each(|it| self.begin_reported(it.task));
            let is_awaited = |it: &PlannedRun| self.is_awaited(it);
            let (awaited, others): (Vec<_>, Vec<_>) =
                plan.runs.iter().copied().partition(is_awaited);
            // Submissions may have been cancelled meanwhile. Of other runs their
            // tasks must not start elsewhere before the worker is reached.
            let is_final = |it: &Work| it.state.is_final();
            let is_ended =
                |it: &PlannedRun| self.work.get(&it.task.step.submission).is_some_and(is_final);
            if !others.iter().all(is_ended) {
                self.workers[index].forget_plan();
                continue;
            }
            // It is polled until it has shown what it still runs.
            let must_be_polled = plan.has_stopping_runs || !others.is_empty();
            self.workers[index].may_run_earlier_work |= must_be_polled;
            for run in awaited {
                self.place_run(index, run, now);
            }
            let id = self.worker_id(index);
            self.log_decision(DecisionKind::PlanTakenOver, None, Some(id), || {
                format!("runs={}", plan.runs.len())
            });
        }
        self.earlier_leases.drop_plans();
    }

    /// Returns whether the task of a handed over run waits for it here. If not, it
    /// was cancelled.
    fn is_awaited(&self, planned: &PlannedRun) -> bool {
        let work = self.work.get(&planned.task.step.submission);
        work.and_then(|it| it.task(planned.task)).is_some_and(|it| it.is_waiting())
    }

    /// Places a run that an earlier leader ordered.
    fn place_run(&mut self, index: WorkerIndex, planned: PlannedRun, now: Timestamp) {
        let PlannedRun { task, run, is_proven } = planned;
        let Some(work) = self.work.get_mut(&task.step.submission) else { return };
        let Some(spec) = work.submission.steps.get(usize::from(task.step.step)).cloned() else {
            return;
        };
        let Some(slot) = work.task_mut(task) else { return };
        slot.last_run = slot.last_run.max(run);
        // Every poll of this term is asked for after the order.
        let confirmed_at = Some(Timestamp::default());
        let run_state = Run { confirmed_at, was_listed: true, ..Run::new(index, run, now) };
        slot.phase = Phase::Placed(run_state);
        work.is_begun = true;
        let mut allocation = self.allocation_for(&spec, run);
        if allocation.kind == WorkloadKind::BestEffort {
            // The predecessor may have slowed it down.
            allocation.pace = pace::UNKNOWN_PACE;
            allocation.pace_set_at = now;
        }
        if is_proven {
            allocation.listings = PROVEN_LISTINGS;
            self.submission_started(task.step.submission);
        }
        self.workers[index].allocate(task, allocation);
    }
}
