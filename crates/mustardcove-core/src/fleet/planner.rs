//! The leader's plan: which task runs where, and what follows from each end.
//!
//! A state machine without I/O. It is told of submissions, cancellations, the
//! list of workers and what workers report, and hands out [`Actions`]: orders
//! to workers, states to show and lines for the log. Progress is handed out
//! for storing by [`Planner::take_progress`]; an end may be forgotten by its
//! worker, and a final state shown, only once the change that it caused is
//! stored.
//!
//! A run leaves the plan only on evidence: its worker lists its end, does not
//! list it in two looks after confirming it, began another life, or has been
//! silent until every lease that it was given is over.

mod ends;
mod figures;
mod interference;
mod pace;
mod placing;
mod schedule;
mod tickets;
mod trust;
mod waiting;
mod work;
mod workers;

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
};

use strum::{Display, IntoStaticStr};

use self::{
    interference::InterferenceModel,
    tickets::Tickets,
    work::{Run, Task, Work, WorkerIndex},
    workers::{ChargeKind, Charged, Worker},
};
pub use self::{
    tickets::{TicketReply, TicketRequest},
    workers::WorkerListing,
};
use super::{
    id::{RunNumber, StepKey, SubmissionId, TaskKey, Term},
    manifest::{Manifest, Queue},
    message::Order,
    record::{LearnedInterference, ProgressRecord},
    submission::{StepSpec, Submission, SubmissionState},
};
use crate::{id::WorkerId, time::Timestamp};

/// Runs of one task that a term can number before it would reach the numbers
/// of the next term.
const RUNS_PER_TERM: u64 = 10_000;
/// A start that no report confirms for this long is stopped, in milliseconds:
/// longer than the agent's attempts together.
const UNCONFIRMED_MS: u64 = 1_500;
/// A stop is ordered again after this time, in milliseconds: twice the grace
/// that workers give a task.
const STOP_RETRY_MS: u64 = 1_000;
/// Looks that must miss a confirmed run before it counts as gone: one may have
/// been answered before the run began.
const MISSED_LOOKS: u32 = 2;
/// Added to the end of a lease for the time that worker and network need, in
/// milliseconds.
const LEASE_MARGIN_MS: u64 = 200;

/// What the planner wants done.
#[derive(Debug, Default)]
pub struct Actions {
    /// Calls to workers, in order.
    pub orders: Vec<(WorkerId, Order)>,
    /// States to show to callers.
    pub states: Vec<(SubmissionId, SubmissionState)>,
    /// Submissions that run somewhere and are not known; they are to be read
    /// from the store.
    pub lookups: Vec<SubmissionId>,
    /// Questions for the recommendation service.
    pub ticket_requests: Vec<TicketRequest>,
    /// Whether a worker has seen a higher term, so that this one is over.
    pub is_superseded: bool,
    /// What was decided and why.
    pub decisions: Vec<Decision>,
}

/// A decision for the log.
#[derive(Clone, Debug)]
pub struct Decision {
    /// What was decided.
    pub kind: DecisionKind,
    /// The submission that it concerns.
    pub submission: Option<SubmissionId>,
    /// The worker that it concerns.
    pub worker: Option<WorkerId>,
    /// What decided it.
    pub inputs: String,
}

/// Kinds of decisions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum DecisionKind {
    /// A submission entered the plan.
    Planned,
    /// Tasks of a step were started.
    Started,
    /// A run failed.
    RunFailed,
    /// A run is over without having been done.
    RunLost,
    /// A run was ordered to stop.
    RunStopped,
    /// A run of an earlier leader was taken over.
    RunAdopted,
    /// A submission reached a final state.
    Finished,
    /// A worker takes no new work for a time.
    #[strum(serialize = "worker_closed")]
    WorkerSuspended,
    /// A worker began another life.
    #[strum(serialize = "worker_reborn")]
    WorkerRestarted,
    /// A worker stopped answering.
    WorkerSilent,
    /// A worker answers again.
    WorkerAnswers,
    /// A worker left the list or came back.
    WorkerListed,
}

/// How far stopping a run has come.
#[derive(Clone, Copy, Debug)]
struct Stopping {
    is_confirmed: bool,
    retry_at: Timestamp,
    /// Looks in a row that did not list the run after the confirmation.
    missed: u32,
}

type RunKey = (WorkerIndex, TaskKey, RunNumber);

/// The plan of one term; see the module documentation.
#[derive(Debug)]
pub struct Planner {
    term: Term,
    run_base: u64,
    manifest: Arc<Manifest>,
    work: BTreeMap<SubmissionId, Work>,
    /// Submissions with occurrences that have not begun.
    scheduled: BTreeSet<SubmissionId>,
    workers: Vec<Worker>,
    worker_index: HashMap<WorkerId, WorkerIndex>,
    /// Steps that may have tasks to place.
    waiting: BTreeSet<StepKey>,
    /// Workers that are kept free for tasks of a step that fit nowhere.
    reserved: BTreeMap<WorkerIndex, StepKey>,
    stops: BTreeMap<RunKey, Stopping>,
    /// Unconfirmed runs, by the time at which they are given up.
    unconfirmed: BTreeMap<RunKey, Timestamp>,
    /// Number of the last change that has to be stored.
    change: u64,
    dirty: BTreeSet<SubmissionId>,
    /// Final states that are shown once their change is stored.
    unshown: Vec<(u64, SubmissionId, SubmissionState)>,
    /// Runs of submissions that are being looked up.
    looked_up: BTreeSet<SubmissionId>,
    /// Until then, a worker that was not looked at may run work of an earlier
    /// leader.
    uncertain_until: Timestamp,
    interference: InterferenceModel,
    tickets: Tickets,
    actions: Actions,
}

impl Planner {
    /// Returns an empty plan.
    ///
    /// `claims` counts the leaders so far and `uncertain_until` says when
    /// every lease given by an earlier leader is over.
    pub fn new(
        term: Term,
        claims: u64,
        manifest: Arc<Manifest>,
        uncertain_until: Timestamp,
    ) -> Planner {
        Planner {
            term,
            run_base: claims.saturating_sub(1) * RUNS_PER_TERM,
            manifest,
            work: BTreeMap::new(),
            scheduled: BTreeSet::new(),
            workers: Vec::new(),
            worker_index: HashMap::new(),
            waiting: BTreeSet::new(),
            reserved: BTreeMap::new(),
            stops: BTreeMap::new(),
            unconfirmed: BTreeMap::new(),
            change: 0,
            dirty: BTreeSet::new(),
            unshown: Vec::new(),
            looked_up: BTreeSet::new(),
            uncertain_until,
            interference: InterferenceModel::default(),
            tickets: Tickets::default(),
            actions: Actions::default(),
        }
    }

    /// Returns the term.
    pub fn term(&self) -> Term {
        self.term
    }

    /// Puts a newer manifest in force.
    pub fn set_manifest(&mut self, manifest: Arc<Manifest>) {
        if manifest.version <= self.manifest.version {
            return;
        }
        self.manifest = manifest;
        let queues = self.manifest.queues.iter();
        let queues: HashMap<(&str, &str), &Queue> =
            queues.map(|it| ((it.host.as_str(), it.prefix.as_str()), it)).collect();
        for work in self.work.values_mut() {
            let queue = &work.submission.queue;
            if let Some(queue) = queues.get(&(queue.host.as_str(), queue.prefix.as_str())) {
                work.queue = (*queue).clone();
            }
        }
    }

    /// Adds a submission; one that is known already is left as it is.
    ///
    /// `is_known_unstarted` says that no earlier leader can have started it.
    pub fn submit(
        &mut self,
        submission: Arc<Submission>,
        is_known_unstarted: bool,
        now: Timestamp,
    ) {
        self.restore(submission, is_known_unstarted, None, now);
    }

    /// Adds a submission with the progress that an earlier leader stored, and
    /// the revision of that record.
    pub fn restore(
        &mut self,
        submission: Arc<Submission>,
        is_known_unstarted: bool,
        progress: Option<(&ProgressRecord, u64)>,
        now: Timestamp,
    ) {
        let id = submission.id;
        self.looked_up.remove(&id);
        if self.work.contains_key(&id) {
            return;
        }
        let mut work = Work::new(submission, is_known_unstarted, now);
        let queue = &work.submission.queue;
        if let Some(queue) = self.manifest.queue_at(&queue.host, &queue.prefix) {
            work.queue = queue.clone();
        }
        if let Some((progress, revision)) = progress {
            work.restore(progress, revision);
        }
        self.decide(DecisionKind::Planned, Some(id), None, || {
            format!("queue={} certain={is_known_unstarted}", work.queue.name)
        });
        self.actions.states.push((id, work.state));
        let steps: Vec<StepKey> =
            (work.occurrences.iter()).flat_map(|it| work.submission.step_keys(it.number)).collect();
        self.work.insert(id, work);
        self.waiting.extend(steps);
        self.scheduled.insert(id);
        self.begin_due(id, now);
    }

    /// Notes that a submission that was looked up does not exist.
    pub fn submission_not_found(&mut self, id: SubmissionId, now: Timestamp) {
        self.looked_up.remove(&id);
        let stray: Vec<RunKey> = self.stray_runs(id);
        for (worker, task, run) in stray {
            self.stop(worker, task, run, "no such submission", now);
        }
    }

    /// Returns whether a submission is in the plan.
    pub fn contains(&self, id: SubmissionId) -> bool {
        self.work.contains_key(&id)
    }

    /// Cancels a submission whose cancellation is stored.
    pub fn cancel(&mut self, id: SubmissionId, now: Timestamp) {
        let Some(work) = self.work.get(&id) else { return };
        if !work.state.is_final() {
            self.finish(id, SubmissionState::Cancelled, "by its caller", now);
        }
    }

    /// Returns every submission with the state that may be shown.
    pub fn published_states(&self) -> Vec<(SubmissionId, SubmissionState)> {
        let unshown: BTreeSet<SubmissionId> = self.unshown.iter().map(|it| it.1).collect();
        let shown = |(id, work): (&SubmissionId, &Work)| {
            let state = if unshown.contains(id) { SubmissionState::Running } else { work.state };
            (*id, state)
        };
        self.work.iter().map(shown).collect()
    }

    /// Returns how many submissions wait for their first start, by queue.
    pub fn pending(&self) -> Vec<(String, String, u32)> {
        let mut counts: BTreeMap<(&str, &str), u32> = BTreeMap::new();
        for work in self.work.values() {
            if work.state == SubmissionState::Queued && work.submission.schedule.is_none() {
                *counts.entry((&work.queue.host, &work.queue.prefix)).or_default() += 1;
            }
        }
        let owned = |((host, prefix), count): ((&str, &str), u32)| {
            (host.to_owned(), prefix.to_owned(), count)
        };
        counts.into_iter().map(owned).collect()
    }

    /// Takes the whole list of workers of service discovery.
    ///
    /// With `may_remove`, workers that it lacks have left.
    pub fn update_workers(&mut self, listings: Vec<WorkerListing>, may_remove: bool) {
        let mut listed: BTreeSet<WorkerIndex> = BTreeSet::new();
        for listing in listings {
            listed.insert(self.update_worker(listing));
        }
        for index in 0..self.workers.len() {
            let worker = &mut self.workers[index];
            if may_remove && worker.is_listed && !listed.contains(&index) {
                worker.is_listed = false;
                let id = worker.listing.worker.clone();
                self.decide(DecisionKind::WorkerListed, None, Some(id), || "listed=false".into());
            }
        }
    }

    fn update_worker(&mut self, listing: WorkerListing) -> WorkerIndex {
        let id = listing.worker.clone();
        if let Some(index) = self.worker_index.get(&id) {
            let worker = &mut self.workers[*index];
            let is_newer = worker.listing.incarnation <= listing.incarnation;
            worker.is_listed = true;
            if is_newer {
                worker.listing = listing;
            }
            return *index;
        }
        let index = self.workers.len();
        self.workers.push(Worker::new(listing, self.uncertain_until));
        self.worker_index.insert(id.clone(), index);
        self.decide(DecisionKind::WorkerListed, None, Some(id), || "listed=true".into());
        index
    }

    /// Returns the workers that are to be called: those that are listed, and
    /// those on which something may still run. The second part is what their
    /// caller is told to be confirmed.
    pub fn workers_to_poll(&self) -> impl Iterator<Item = (&WorkerListing, Option<Timestamp>)> {
        let is_callable = |it: &&Worker| it.is_listed || !it.charged.is_empty();
        self.workers.iter().filter(is_callable).map(|it| (&it.listing, it.responsive_since))
    }

    /// Notes that the process that called these workers is gone. It may have
    /// lengthened leases until `leases_expire_by`.
    pub fn poller_lost<'a>(
        &mut self,
        workers: impl IntoIterator<Item = &'a WorkerId>,
        leases_expire_by: Timestamp,
    ) {
        for id in workers {
            if let Some(index) = self.worker_index.get(id) {
                self.workers[*index].poller_lost(leases_expire_by);
            }
        }
    }

    /// Takes what has to be stored: the number of the last change in it, and
    /// each record with the revision that it replaces.
    pub fn take_progress(&mut self) -> (u64, Vec<(SubmissionId, ProgressRecord, u64)>) {
        let dirty = std::mem::take(&mut self.dirty);
        let record = |id: SubmissionId| {
            let work = self.work.get(&id)?;
            Some((id, work.progress(), work.progress_revision))
        };
        (self.change, dirty.into_iter().filter_map(record).collect())
    }

    /// Returns whether a final state waits to be stored.
    pub fn has_unpublished_states(&self) -> bool {
        self.unshown.iter().any(|it| self.dirty.contains(&it.1))
    }

    /// Returns whether anything waits to be stored.
    pub fn has_progress(&self) -> bool {
        !self.dirty.is_empty()
    }

    /// Notes the revision of a progress record in the store.
    pub fn set_progress_revision(&mut self, id: SubmissionId, revision: u64) {
        if let Some(work) = self.work.get_mut(&id) {
            work.progress_revision = revision;
        }
    }

    /// Has a record stored again that could not be stored.
    pub fn progress_failed(&mut self, id: SubmissionId) {
        self.dirty.insert(id);
    }

    /// Notes that all changes up to a number are stored, so that their ends
    /// may be forgotten and their final states shown.
    pub fn progress_stored(&mut self, change: u64) {
        let unshown = std::mem::take(&mut self.unshown);
        for (needed, id, state) in unshown {
            if needed <= change {
                self.actions.states.push((id, state));
            } else {
                self.unshown.push((needed, id, state));
            }
        }
        for worker in &mut self.workers {
            let mut through = None;
            while let Some((number, _)) = worker.unstored_ends.pop_front_if(|it| it.1 <= change) {
                through = Some(number);
            }
            let (Some(through), Some(incarnation)) = (through, worker.incarnation) else {
                continue;
            };
            if worker.forgotten < through {
                worker.forgotten = through;
                let order = Order::AcknowledgeEnds { incarnation, through };
                self.actions.orders.push((worker.listing.worker.clone(), order));
            }
        }
    }

    /// Returns what was learned of images.
    pub fn learned_interference(&self) -> LearnedInterference {
        self.interference.learned()
    }

    /// Takes over what an earlier leader learned of images.
    pub fn restore_learned_interference(&mut self, learned: &LearnedInterference) {
        self.interference.restore(learned);
    }

    /// Takes what is to be done.
    pub fn take_actions(&mut self) -> Actions {
        std::mem::take(&mut self.actions)
    }

    /// Returns counts for the metrics.
    pub fn counts(&self, now: Timestamp) -> PlanCounts {
        PlanCounts {
            waiting_steps: self.waiting.len(),
            runs: self.workers.iter().map(|it| it.charged.len()).sum(),
            schedulable_workers: self.workers.iter().filter(|it| placing::is_open(it, now)).count(),
        }
    }

    fn decide(
        &mut self,
        kind: DecisionKind,
        submission: Option<SubmissionId>,
        worker: Option<WorkerId>,
        inputs: impl FnOnce() -> String,
    ) {
        self.actions.decisions.push(Decision { kind, submission, worker, inputs: inputs() });
    }

    /// Returns what a run of a step's task takes of its worker.
    fn charged(&mut self, step: &StepSpec, run: RunNumber) -> Charged {
        Charged {
            run,
            charge: step.allocation(),
            cpu: step.demand.cpu.0,
            kind: charge_kind(step),
            image: step.image.as_ref().map(|it| self.interference.image(it)),
            tail_target_ms: step.tail_target_ms.filter(|_| step.is_long_running),
            measurement: 0,
            pace: 100,
            paced_at: Timestamp::default(),
            over_since: None,
            unexplained: 0.0,
        }
    }

    fn task_mut(&mut self, task: TaskKey) -> Option<&mut Task> {
        self.work.get_mut(&task.step.submission)?.task_mut(task)
    }

    /// Returns a run if the plan has the task there.
    fn current_run(&self, index: WorkerIndex, task: TaskKey, run: RunNumber) -> Option<&Run> {
        let current = self.work.get(&task.step.submission)?.task(task)?.run()?;
        (current.worker == index && current.run == run).then_some(current)
    }

    fn worker_id(&self, index: WorkerIndex) -> WorkerId {
        self.workers[index].listing.worker.clone()
    }

    fn touch(&mut self, id: SubmissionId) {
        self.change += 1;
        self.dirty.insert(id);
    }

    /// Ends a submission: what runs is stopped, and the state is shown once it
    /// is stored. A cancellation is stored before the planner learns of it.
    fn finish(&mut self, id: SubmissionId, state: SubmissionState, why: &str, now: Timestamp) {
        let Some(work) = self.work.get_mut(&id) else { return };
        work.state = state;
        let runs: Vec<(TaskKey, WorkerIndex, RunNumber)> =
            work.runs().map(|(task, it)| (task, it.worker, it.run)).collect();
        for occurrence in &work.occurrences {
            for step in work.submission.step_keys(occurrence.number) {
                self.tickets.forget(step);
            }
        }
        work.occurrences.clear();
        work.next_occurrence = work.submission.occurrences();
        let age_ms = now.ms_since(work.submission.accepted_at);
        self.scheduled.remove(&id);
        self.interference.forget(id);
        for (task, worker, run) in runs {
            self.stop(worker, task, run, why, now);
        }
        self.touch(id);
        if state == SubmissionState::Cancelled {
            self.actions.states.push((id, state));
        } else {
            self.unshown.push((self.change, id, state));
        }
        self.decide(DecisionKind::Finished, Some(id), None, || {
            format!("state={state} age_ms={age_ms} why={why}")
        });
    }

    /// Orders a run to stop, unless that is under way.
    fn stop(
        &mut self,
        worker: WorkerIndex,
        task: TaskKey,
        run: RunNumber,
        why: &str,
        now: Timestamp,
    ) {
        if self.stops.contains_key(&(worker, task, run)) {
            return;
        }
        let retry_at = now.plus_ms(STOP_RETRY_MS);
        let stopping = Stopping { is_confirmed: false, retry_at, missed: 0 };
        self.stops.insert((worker, task, run), stopping);
        self.unconfirmed.remove(&(worker, task, run));
        let id = self.worker_id(worker);
        self.actions.orders.push((id.clone(), Order::Stop { task, run }));
        self.decide(DecisionKind::RunStopped, Some(task.step.submission), Some(id), || {
            format!("task={task} run={run} why={why}")
        });
    }

    /// Returns runs of a submission that workers list and the plan lacks.
    fn stray_runs(&self, id: SubmissionId) -> Vec<RunKey> {
        let of_worker = |(index, worker): (WorkerIndex, &Worker)| {
            let charged = worker.charged.iter();
            let stray = charged.filter(|(task, _)| task.step.submission == id);
            stray.map(|(task, it)| (index, *task, it.run)).collect::<Vec<_>>()
        };
        self.workers.iter().enumerate().flat_map(of_worker).collect()
    }
}

/// Counts for the metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PlanCounts {
    /// Steps that may have tasks to place.
    pub waiting_steps: usize,
    /// Runs that take capacity.
    pub runs: usize,
    /// Workers that take new work.
    pub schedulable_workers: usize,
}

/// Returns how a step's tasks use the processor.
fn charge_kind(step: &StepSpec) -> ChargeKind {
    if step.is_best_effort {
        ChargeKind::Fills
    } else if step.is_long_running {
        ChargeKind::Serves
    } else {
        ChargeKind::Computes
    }
}
