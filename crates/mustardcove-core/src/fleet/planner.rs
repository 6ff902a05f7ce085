//! The leader's plan: which task runs where, and how the plan reacts to each
//! run's end.
//!
//! A state machine without I/O. Its inputs are submissions, cancellations, the
//! list of workers and workers' reports; its output is [`Actions`]: orders to
//! workers, states to publish and lines for the log. Progress to be stored is
//! handed out by [`Planner::take_progress`]. An end is acknowledged to its
//! worker, and a final state published, only once the change that it caused is
//! stored. Each waits for the record of its own submission alone, so that a
//! record which cannot be stored holds back no others, except later ends of the
//! same worker, since ends are acknowledged in order.
//!
//! A run leaves the plan only on evidence: its worker lists its end, omits it
//! from two polls after confirming it, restarts, or does not answer until
//! every lease that it was given has expired. A worker lists a number of ends at
//! a time, and the others once those are acknowledged, so a poll that may lack
//! ends is no evidence about runs that it omits.
//!
//! That a worker is silent until its leases have expired is evidence only if no
//! other leader has led until then: it may have extended them. That a worker has
//! restarted proves that its runs have ended, but another leader may have heard
//! before that they were done, so their tasks start again only if none has led
//! until the restart was known. The planner is therefore told through which time
//! this leader was the only one ([`Planner::set_confirmed`]), and starts nothing
//! while it may have been replaced.

mod blocked;
mod choice;
mod circuit_breaker;
mod cold;
mod copies;
mod earlier_leases;
mod evacuations;
mod eviction;
mod explain;
mod forecast;
mod forecast_errors;
mod handed_over;
mod held_tasks;
mod interference;
mod lookups;
mod measurements;
mod moves;
mod pace;
mod placement;
mod rank;
mod reports;
mod reservations;
mod round;
mod schedule;
mod suspects;
mod tickets;
mod waits;
mod work;
mod worker_speed;
mod workers;

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use strum::{Display, IntoStaticStr};

use self::{
    blocked::BlockedSubmissions,
    copies::Copies,
    earlier_leases::EarlierLeases,
    forecast::Loads,
    forecast_errors::ForecastErrors,
    held_tasks::HeldTasks,
    interference::InterferenceModel,
    lookups::Lookups,
    moves::Move,
    placement::Obstacle,
    suspects::Suspects,
    tickets::Tickets,
    waits::LongRunningWaits,
    work::{Run, Task, Work, WorkerIndex},
    workers::{Allocation, UnstoredEnd, Worker, WorkloadKind},
};
pub use self::{
    cold::ColdEntry,
    copies::CopyCounts,
    evacuations::DomainChange,
    forecast::LoadCounts,
    forecast_errors::{InterferenceErrors, OverTargetCause, OverTargetTimes},
    tickets::{TicketReply, TicketRequest},
    workers::WorkerListing,
};
use super::{
    evacuation::EvacuationList,
    handover::{PollerId, WorkerHandover},
    id::{Incarnation, RunNumber, StepKey, SubmissionId, TaskKey, Term},
    manifest::{Manifest, Queue},
    message::{EndedRun, Order},
    poller::LEASE_MARGIN_MS,
    record::{LearnedInterference, ProgressRecord},
    submission::{StepSpec, Submission, SubmissionState},
};
use crate::{id::WorkerId, time::Timestamp};

/// Run numbers of one task within a term, before they would reach those of the
/// next term.
const RUNS_PER_TERM: u64 = 10_000;
/// A start that no report confirms for this long is stopped, in milliseconds:
/// longer than the poller's attempts together. Only reports that the leader
/// has handled count: a leader that is behind would otherwise stop what runs,
/// and fall further behind.
const START_CONFIRM_TIMEOUT_MS: u64 = 1_500;
/// Time after which an unconfirmed stop is ordered again, in milliseconds:
/// twice the grace period that workers give a task.
const STOP_RETRY_MS: u64 = 1_000;
/// Number of polls that must omit a confirmed run before it counts as ended, of
/// those that were asked for after its confirmation.
const MISSED_POLLS: u32 = 2;

/// What the planner wants the leader to do.
#[derive(Debug, Default)]
pub struct Actions {
    /// Calls to workers, in order.
    pub orders: Vec<(WorkerId, Order)>,
    /// States to publish to callers.
    pub states: Vec<(SubmissionId, SubmissionState)>,
    /// Submissions that workers run or ran and the plan does not contain, to be
    /// read from the store.
    pub submission_lookups: Vec<SubmissionId>,
    /// Requests to the recommendation service.
    pub ticket_requests: Vec<TicketRequest>,
    /// Whether a worker has seen a higher term, so that this term has ended.
    pub is_superseded: bool,
    /// Decisions and their reasons, for the log.
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
    /// The values that led to the decision.
    pub inputs: String,
}

/// Kinds of decisions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum DecisionKind {
    /// A submission entered the plan.
    Planned,
    /// A worker has reported a task of an occurrence that has not begun here.
    OccurrenceReported,
    /// Tasks of a step were started.
    Started,
    /// A run failed.
    RunFailed,
    /// A run ended or was given up without its task being done.
    RunLost,
    /// A worker has crashed under a run, which may be the reason.
    RunCrashed,
    /// A task explains crashes of which others were suspected, too.
    CrashExplained,
    /// A run was ordered to stop.
    RunStopped,
    /// A start was taken back that waited for its record.
    StartWithdrawn,
    /// A run of an earlier leader was adopted.
    RunAdopted,
    /// The predecessor's plan for a worker was taken over.
    PlanTakenOver,
    /// A copy of a late run was started.
    CopyStarted,
    /// A copy has ended, or goes on as the task's run.
    CopyEnded,
    /// A submission reached a final state.
    Finished,
    /// A submission has had no run for a while although it could have one.
    SubmissionBlocked,
    /// How many submissions without a run wait for what.
    BlockedStates,
    /// A submission has had no run for seconds although under half of its pool
    /// is reserved.
    SubmissionIdle,
    /// How many suspected tasks wait for what.
    SuspectsWaiting,
    /// A task of a long-running step has had no run for seconds.
    TaskWaiting,
    /// A best-effort run was stopped for work that is worth more.
    Evicted,
    /// A kind of work finds less room in a pool than it needs.
    OverloadBegan,
    /// It still does.
    Overloaded,
    /// It finds enough room again.
    OverloadEnded,
    /// A worker gets no new work for some time.
    #[strum(serialize = "worker_closed")]
    WorkerSuspended,
    /// No worker of the pool can ever hold a task of a step.
    DemandImpossible,
    /// A worker is slower than others.
    WorkerSlow,
    /// A worker that was slow is no longer.
    WorkerSound,
    /// A worker restarted: it answered with another incarnation.
    #[strum(serialize = "worker_reborn")]
    WorkerRestarted,
    /// Another worker answers at the address of one, which has ended therefore.
    WorkerReplaced,
    /// A worker stopped answering.
    WorkerSilent,
    /// The runs of a silent worker were given up, since its leases are over.
    LeasesExpired,
    /// A worker answers again.
    WorkerAnswers,
    /// A worker entered or left the list of service discovery, or is listed as about
    /// to leave.
    WorkerListed,
}

/// Progress of stopping a run.
#[derive(Clone, Copy, Debug)]
struct PendingStop {
    /// When the worker's poller had the confirmation, on the poller's clock.
    confirmed_at: Option<Timestamp>,
    retry_at: Timestamp,
    /// Polls that were asked for after the stop was confirmed and did not list
    /// the run.
    missed_polls: u32,
}

impl PendingStop {
    fn new(retry_at: Timestamp) -> PendingStop {
        PendingStop { confirmed_at: None, retry_at, missed_polls: 0 }
    }
}

type RunKey = (WorkerIndex, TaskKey, RunNumber);

/// Stands for the change of an end whose submission is not planned yet, which
/// is never stored, so that the end is not acknowledged.
const UNKNOWN_CHANGE: u64 = u64::MAX;

/// An end of a run whose submission is not in the plan yet.
#[derive(Clone, Debug)]
struct UnplannedEnd {
    worker: WorkerIndex,
    incarnation: Option<Incarnation>,
    end: EndedRun,
}

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
    /// Workers reserved for a step whose tasks fit on no worker now.
    reserved: BTreeMap<WorkerIndex, StepKey>,
    stops: BTreeMap<RunKey, PendingStop>,
    /// Unconfirmed runs, each with the time at which it is given up.
    unconfirmed: BTreeMap<RunKey, Timestamp>,
    /// Number of the last change that has to be stored.
    change: u64,
    /// The submissions whose records have to be stored, each with the number of the
    /// first change of these, or the last one when a write failed.
    dirty: BTreeMap<SubmissionId, u64>,
    /// Records that are being written.
    in_flight: BTreeSet<SubmissionId>,
    /// Final states that are published once their submission's changes up to
    /// the number are stored.
    unpublished: Vec<(u64, SubmissionId, SubmissionState)>,
    /// Cancelled submissions that are not in the plan yet. Records that are
    /// read by key come in another order than they were written.
    cancelled_early: BTreeSet<SubmissionId>,
    /// Ends that are applied once their submission has been looked up.
    unplanned_ends: BTreeMap<SubmissionId, Vec<UnplannedEnd>>,
    lookups: Lookups,
    earlier_leases: EarlierLeases,
    evacuations: EvacuationList,
    cold_slack_ms: u64,
    /// Time through which no other leader can have led in a later term.
    sole_through: Timestamp,
    /// Whether this leader was confirmed recently, so that it may start work.
    may_start: bool,
    /// Whether every worker that may run work of an earlier leader is in the
    /// plan.
    is_fleet_complete: bool,
    /// Pools with a worker that has not listed all its ends in this term, as of
    /// the last tick.
    pools_lacking_ends: BTreeSet<String>,
    /// Whether workers may have changed since their entries were read.
    are_entries_stale: bool,
    interference: InterferenceModel,
    forecast_errors: ForecastErrors,
    tickets: Tickets,
    suspects: Suspects,
    held: HeldTasks,
    blocked: BlockedSubmissions,
    waits: LongRunningWaits,
    loads: Loads,
    /// Number of the last placement round.
    round: u64,
    /// The worker with which the next search for slowed tasks begins.
    next_move_check: WorkerIndex,
    /// Runs that were stopped to go on elsewhere, and may not have started there
    /// yet.
    moves: Vec<Move>,
    /// When runs on slow workers are looked at next.
    next_straggler_check: Timestamp,
    /// Number of runs so far that were stopped to go on faster elsewhere.
    straggler_moves: u64,
    copies: Copies,
    /// Rises when workers are added, or change in what they can ever hold.
    fleet_version: u64,
    /// Factor by which tasks of each pool take longer than estimated: the median.
    pool_factors: BTreeMap<String, f32>,
    /// Best-effort runs that are being stopped for others.
    evictions: Vec<RunKey>,
    /// Number of times that a worker was scored for a task, which is most of
    /// the cost of planning.
    scored_workers: AtomicU64,
    actions: Actions,
}

impl Planner {
    /// Returns an empty plan.
    ///
    /// `claims` counts the leaders so far, and `earlier_leases_expire_by` is
    /// the time by which every lease granted under an earlier leader has
    /// expired.
    pub fn new(
        term: Term,
        claims: u64,
        manifest: Arc<Manifest>,
        earlier_leases_expire_by: Timestamp,
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
            dirty: BTreeMap::new(),
            in_flight: BTreeSet::new(),
            unpublished: Vec::new(),
            cancelled_early: BTreeSet::new(),
            unplanned_ends: BTreeMap::new(),
            lookups: Lookups::default(),
            earlier_leases: EarlierLeases::new(earlier_leases_expire_by),
            evacuations: EvacuationList::default(),
            cold_slack_ms: 0,
            sole_through: Timestamp::MAX,
            may_start: true,
            is_fleet_complete: true,
            pools_lacking_ends: BTreeSet::new(),
            are_entries_stale: false,
            interference: InterferenceModel::default(),
            forecast_errors: ForecastErrors::default(),
            tickets: Tickets::default(),
            suspects: Suspects::default(),
            held: HeldTasks::default(),
            blocked: BlockedSubmissions::default(),
            waits: LongRunningWaits::default(),
            loads: Loads::default(),
            round: 0,
            next_move_check: 0,
            moves: Vec::new(),
            next_straggler_check: Timestamp::default(),
            straggler_moves: 0,
            copies: Copies::new(claims <= 1),
            fleet_version: 0,
            pool_factors: BTreeMap::new(),
            evictions: Vec::new(),
            scored_workers: AtomicU64::new(0),
            actions: Actions::default(),
        }
    }

    /// Returns the term.
    pub fn term(&self) -> Term {
        self.term
    }

    /// Returns whether there was no leader before this one.
    pub fn is_first_term(&self) -> bool {
        self.run_base == 0
    }

    /// Applies a newer manifest.
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
                work.set_queue(queue, self.manifest.version);
            }
        }
    }

    /// Adds a submission; one that the plan contains already is left as it is.
    ///
    /// `is_known_unstarted` states that no earlier leader can have started it.
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
        self.lookups.resolved(id);
        if self.work.contains_key(&id) {
            return;
        }
        let mut work = Work::new(submission, is_known_unstarted, now);
        let queue = &work.submission.queue;
        if let Some(queue) = self.manifest.queue_at(&queue.host, &queue.prefix) {
            work.set_queue(queue, self.manifest.version);
        }
        if let Some((progress, revision)) = progress {
            work.restore(progress, revision, &self.earlier_leases, now);
        }
        self.log_decision(DecisionKind::Planned, Some(id), None, || {
            format!("queue={} certain={is_known_unstarted}", work.queue.name)
        });
        self.actions.states.push((id, work.state));
        for (task, _) in work.suspects() {
            self.suspects.add(task);
        }
        let steps: Vec<StepKey> =
            (work.occurrences.iter()).flat_map(|it| work.submission.step_keys(it.number)).collect();
        self.work.insert(id, work);
        self.waiting.extend(steps);
        self.scheduled.insert(id);
        self.loads.add(id);
        self.begin_due(id, now);
        self.resolve_unplanned_ends(id, now);
        if self.cancelled_early.remove(&id) {
            self.cancel(id, now);
        }
    }

    /// Handles a lookup that found no submission: its runs are stopped, and
    /// its ends have no effect.
    pub fn submission_not_found(&mut self, id: SubmissionId, now: Timestamp) {
        self.lookups.resolved(id);
        let runs: Vec<RunKey> = self.allocated_runs(id);
        for (worker, task, run) in runs {
            self.stop(worker, task, run, "no such submission", now);
        }
        self.resolve_unplanned_ends(id, now);
    }

    /// Returns whether a submission is in the plan.
    pub fn contains(&self, id: SubmissionId) -> bool {
        self.work.contains_key(&id)
    }

    /// Cancels a submission whose cancellation is stored. The submission may
    /// enter the plan later.
    pub fn cancel(&mut self, id: SubmissionId, now: Timestamp) {
        let Some(work) = self.work.get(&id) else {
            self.cancelled_early.insert(id);
            return;
        };
        if !work.state.is_final() {
            self.finish(id, SubmissionState::Cancelled, "by its caller", now);
        }
    }

    /// Returns every submission with the state that may be published.
    pub fn published_states(&self) -> Vec<(SubmissionId, SubmissionState)> {
        let unpublished: BTreeSet<SubmissionId> = self.unpublished.iter().map(|it| it.1).collect();
        let published = |(id, work): (&SubmissionId, &Work)| {
            let state =
                if unpublished.contains(id) { SubmissionState::Running } else { work.state };
            (*id, state)
        };
        self.work.iter().map(published).collect()
    }

    /// Returns the number of submissions that wait for their first start, by
    /// queue.
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

    /// Applies the full list of workers from service discovery, all of which are
    /// recorded.
    ///
    /// With `may_remove`, workers that the list lacks are treated as removed.
    pub fn update_workers(&mut self, listings: Vec<WorkerListing>, may_remove: bool) {
        self.update_fleet(listings, Vec::new(), may_remove);
    }

    /// Applies the full list of workers from service discovery: those that are
    /// recorded, and candidates, which are polled and get no work.
    ///
    /// With `may_remove`, workers that both lists lack are treated as removed.
    pub fn update_fleet(
        &mut self,
        recorded: Vec<WorkerListing>,
        candidates: Vec<WorkerListing>,
        may_remove: bool,
    ) {
        self.suspects.listed();
        let mut listed: BTreeSet<WorkerIndex> = BTreeSet::new();
        let recorded = recorded.into_iter().map(|it| (it, true));
        for (listing, is_recorded) in recorded.chain(candidates.into_iter().map(|it| (it, false))) {
            let index = self.update_worker(listing);
            let worker = &mut self.workers[index];
            worker.is_changed |= is_recorded && !worker.is_recorded;
            worker.is_recorded = is_recorded;
            listed.insert(index);
        }
        for index in 0..self.workers.len() {
            let worker = &mut self.workers[index];
            if may_remove && worker.is_listed && !listed.contains(&index) {
                worker.is_listed = false;
                let id = worker.listing.worker.clone();
                self.log_decision(DecisionKind::WorkerListed, None, Some(id), || {
                    "listed=false".into()
                });
            }
        }
    }

    /// Records whether workers may have changed without this leader knowing it.
    pub fn set_entries_stale(&mut self, are_stale: bool) {
        self.are_entries_stale = are_stale;
    }

    fn update_worker(&mut self, listing: WorkerListing) -> WorkerIndex {
        let id = listing.worker.clone();
        if let Some(index) = self.worker_index.get(&id).copied() {
            let worker = &mut self.workers[index];
            // Another writer's entry may have claimed an incarnation that never
            // began; the one that answers polls did.
            let has_moved = worker.may_have_moved(&listing);
            let is_newer = worker.listing.incarnation <= listing.incarnation
                || worker.incarnation == Some(listing.incarnation)
                || has_moved;
            self.fleet_version += u64::from(!worker.is_listed);
            worker.is_listed = true;
            if worker.listing.incarnation < listing.incarnation || has_moved {
                worker.restored();
            }
            if is_newer && worker.listing != listing {
                worker.is_changed = true;
                self.fleet_version += u64::from(!worker.listing.can_hold_as(&listing));
                worker.was_draining |=
                    listing.is_draining && worker.incarnation == Some(listing.incarnation);
                let is_elsewhere = worker.listing.address != listing.address;
                let begins_to_drain = listing.is_draining && !worker.listing.is_draining;
                worker.listing = listing;
                let runs = worker.allocations.len();
                self.update_evacuated(index);
                if is_elsewhere {
                    self.forget_successor(index);
                }
                if begins_to_drain {
                    self.log_decision(DecisionKind::WorkerListed, None, Some(id), || {
                        format!("draining=true runs={runs}")
                    });
                }
            }
            return index;
        }
        let index = self.workers.len();
        self.add_successor(index, &listing);
        let host = listing.host.as_ref().map_or("-", |it| it.as_str());
        let inputs = format!(
            "listed=true address={} host={host} life={}",
            listing.address, listing.incarnation
        );
        self.workers.push(Worker::new(listing, &self.earlier_leases));
        self.fleet_version += 1;
        self.worker_index.insert(id.clone(), index);
        self.update_evacuated(index);
        self.log_decision(DecisionKind::WorkerListed, None, Some(id), || inputs);
        index
    }

    /// Takes over what the predecessor knew of the workers. Has to be called
    /// before anything that earlier leaders stored is restored.
    pub fn take_over(&mut self, workers: Vec<WorkerHandover>) {
        self.earlier_leases.take_over(workers);
    }

    /// Returns the time by which every lease has expired that an earlier leader
    /// granted on a worker that was not polled in this term.
    fn earlier_leases_end(&self, worker: &Worker) -> Timestamp {
        let latest = self.earlier_leases.unfenced_expire_by();
        worker.handed_over_leases_expire_by.map_or(latest, |it| it.min(latest))
    }

    /// Returns of how many recorded workers it is known by when the leases of earlier
    /// leaders have expired.
    pub fn earlier_lease_ends(&self) -> EarlierLeaseEnds {
        let recorded = || self.workers.iter().filter(|it| it.is_recorded);
        let known = recorded().filter(|it| it.handed_over_leases_expire_by.is_some()).count();
        EarlierLeaseEnds { known, unknown: recorded().count() - known }
    }

    /// Adds the workers that earlier leaders used, which service discovery may
    /// not list at present; `None` if they left no record of them.
    pub fn restore_workers(&mut self, recorded: Option<Vec<WorkerListing>>) {
        self.is_fleet_complete = recorded.is_some();
        for listing in recorded.unwrap_or_default() {
            let index = self.update_worker(listing);
            let worker = &mut self.workers[index];
            worker.is_listed = false;
            worker.is_recorded = true;
            worker.may_run_earlier_work = worker.incarnation.is_none();
        }
    }

    /// Returns the recorded workers that may run work of earlier leaders, since
    /// they have not listed all of it in this term.
    pub fn unfenced_workers(&self) -> impl Iterator<Item = &WorkerId> {
        let unfenced = self.workers.iter().filter(|it| it.is_recorded && !it.is_fenced());
        unfenced.map(|it| &it.listing.worker)
    }

    /// Returns whether the worker that an entry describes has answered a poll.
    pub fn has_answered(&self, listing: &WorkerListing) -> bool {
        let worker = self.worker_index.get(&listing.worker).map(|it| &self.workers[*it]);
        worker.is_some_and(|it| {
            it.polled_at.is_some()
                && it.listing.address == listing.address
                && it.incarnation == Some(listing.incarnation)
        })
    }

    /// Returns whether nothing can run on a worker that service discovery does
    /// not list, and no end there waits to be acknowledged.
    pub fn is_unused(&self, worker: &WorkerId, now: Timestamp) -> bool {
        let Some(index) = self.worker_index.get(worker) else { return true };
        let worker = &self.workers[*index];
        let is_fenced = worker.is_fenced() || self.has_no_earlier_lease(worker, now);
        is_fenced
            && !worker.is_listed
            && worker.allocations.is_empty()
            && worker.unstored_ends.is_empty()
    }

    /// Returns the workers to poll: those that are listed, and those on which
    /// something may still run. The second part is the start of responsiveness
    /// that the worker's poller is told is confirmed.
    pub fn workers_to_poll(&self) -> impl Iterator<Item = (&WorkerListing, Option<Timestamp>)> {
        let needs_polling = |it: &&Worker| {
            let may_be_used = it.is_listed || it.may_run_earlier_work;
            !it.is_excluded && (may_be_used || !it.allocations.is_empty())
        };
        self.workers.iter().filter(needs_polling).map(|it| (&it.listing, it.responsive_since))
    }

    /// Sets the time by which every lease granted under an earlier leader has
    /// expired on workers that were not polled in this term.
    pub fn set_unfenced_leases_expire_by(&mut self, time: Timestamp) {
        self.earlier_leases.set_unfenced_expire_by(time);
    }

    /// Records through which time this leader was the only one, and whether it
    /// may start work. A planner that is never told is always confirmed.
    pub fn set_confirmed(&mut self, sole_through: Timestamp, may_start: bool) {
        self.sole_through = sole_through;
        self.may_start = may_start;
        self.release_confirmed();
    }

    /// Returns whether a time has passed without any other leader, so that what
    /// nobody extended by then has expired.
    fn is_past(&self, time: Timestamp, now: Timestamp) -> bool {
        time <= now.min(self.sole_through)
    }

    /// Returns whether every lease granted under an earlier leader has expired.
    pub fn are_earlier_leases_expired(&self, now: Timestamp) -> bool {
        self.is_past(self.earlier_leases.unfenced_expire_by(), now)
    }

    /// Returns whether that is so for a worker that was not polled in this term.
    fn has_no_earlier_lease(&self, worker: &Worker, now: Timestamp) -> bool {
        let end = worker.handed_over_leases_expire_by.map(|it| it.plus_ms(LEASE_MARGIN_MS));
        end.is_some_and(|it| self.is_past(it, now)) || self.are_earlier_leases_expired(now)
    }

    /// Records that everything which a worker's poller reported by a time has
    /// been handled.
    pub fn record_heard(&mut self, worker: &WorkerId, through: Timestamp) {
        if let Some(index) = self.worker_index.get(worker) {
            let worker = &mut self.workers[*index];
            worker.heard_through = worker.heard_through.max(Some(through));
        }
    }

    /// Handles the end of the assignment of a worker to a poller, which may have
    /// extended leases until `leases_expire_by`. If it goes on, it tells more; see
    /// [`Planner::poller_retired`].
    pub fn poller_replaced(
        &mut self,
        worker: &WorkerId,
        poller: PollerId,
        leases_expire_by: Timestamp,
    ) {
        if let Some(index) = self.worker_index.get(worker).copied() {
            self.workers[index].poller_lost(poller, leases_expire_by);
            self.confirmed_before_all_polls(index);
        }
    }

    /// Takes the changes to store: the number of the last change, and each
    /// record with the revision that it replaces.
    pub fn take_progress(&mut self) -> (u64, Vec<(SubmissionId, ProgressRecord, u64)>) {
        self.take_progress_up_to(usize::MAX)
    }

    /// Takes at most `most` of the records to store. Those for which starts wait come
    /// first and are half of them at most, so that they keep back no others; the rest
    /// are those that were changed, or failed, the longest time ago.
    pub fn take_progress_up_to(
        &mut self,
        most: usize,
    ) -> (u64, Vec<(SubmissionId, ProgressRecord, u64)>) {
        let awaited: BTreeSet<SubmissionId> = self.awaited_records().collect();
        let mut dirty: Vec<(u64, SubmissionId)> =
            self.dirty.iter().map(|(id, since)| (*since, *id)).collect();
        dirty.sort_unstable();
        let (urgent, others): (Vec<_>, Vec<_>) =
            dirty.into_iter().map(|it| it.1).partition(|it| awaited.contains(it));
        let first = urgent.len().min(most.div_ceil(2).max(most.saturating_sub(others.len())));
        let others = others.into_iter().take(most - first);
        let taken: Vec<SubmissionId> = urgent.into_iter().take(first).chain(others).collect();
        let record = |id: &SubmissionId| {
            let work = self.work.get(id)?;
            Some((*id, work.progress(), work.progress_revision))
        };
        let records: Vec<_> = taken.iter().filter_map(record).collect();
        for id in &taken {
            self.dirty.remove(id);
        }
        self.in_flight.extend(records.iter().map(|it| it.0));
        (self.change, records)
    }

    /// Returns whether something waits for a change to be stored: a final state
    /// that callers should see, or a task that may crash its worker.
    pub fn has_urgent_progress(&self) -> bool {
        self.unpublished.iter().any(|it| self.dirty.contains_key(&it.1))
            || self.awaited_records().next().is_some()
    }

    /// Returns whether anything waits to be stored.
    pub fn has_progress(&self) -> bool {
        !self.dirty.is_empty()
    }

    /// Records that a progress record is stored as a revision, with the changes
    /// of its submission up to `change`.
    pub fn record_stored(&mut self, id: SubmissionId, revision: u64, change: u64) {
        self.in_flight.remove(&id);
        if let Some(work) = self.work.get_mut(&id) {
            work.progress_revision = revision;
            work.stored_change = work.stored_change.max(change);
            work.is_record_failing = false;
        }
    }

    /// Records the revision of a progress record in the store.
    pub fn set_progress_revision(&mut self, id: SubmissionId, revision: u64) {
        if let Some(work) = self.work.get_mut(&id) {
            work.progress_revision = revision;
        }
    }

    /// Marks a record that could not be stored to be stored again.
    pub fn progress_failed(&mut self, id: SubmissionId) {
        self.dirty.insert(id, self.change);
        self.progress_rejected(id);
    }

    /// Records that a record could not be stored, or not in time. Until it is, no
    /// start waits for it.
    pub fn progress_rejected(&mut self, id: SubmissionId) {
        self.in_flight.remove(&id);
        if let Some(work) = self.work.get_mut(&id) {
            work.is_record_failing = true;
        }
    }

    /// Acknowledges the ends and publishes the final states that belong to
    /// changes which are stored. Ends that change nothing, such as those of
    /// cancelled work, cause no write, so this is also called without one.
    pub fn acknowledge_stored(&mut self) {
        let unpublished = std::mem::take(&mut self.unpublished);
        for (change, id, state) in unpublished {
            if is_stored(&self.work, id, change) {
                self.actions.states.push((id, state));
            } else {
                self.unpublished.push((change, id, state));
            }
        }
        let (work, copies) = (&self.work, &self.copies);
        for worker in &mut self.workers {
            let mut through = None;
            let is_due = |it: &mut UnstoredEnd| {
                is_stored(work, it.task.step.submission, it.change) && !copies.must_wait(work, it)
            };
            while let Some(end) = worker.unstored_ends.pop_front_if(is_due) {
                through = Some(end.number);
            }
            let (Some(through), Some(incarnation)) = (through, worker.incarnation) else {
                continue;
            };
            if worker.acknowledged_through < through {
                worker.acknowledged_through = through;
                let order = Order::AcknowledgeEnds { incarnation, through };
                self.actions.orders.push((worker.listing.worker.clone(), order));
            }
        }
    }

    /// Returns what was learned about interference between images.
    pub fn learned_interference(&self) -> LearnedInterference {
        self.interference.learned()
    }

    /// Returns rows for operators on how well the interference forecast fits, by
    /// image of latency-critical tasks.
    pub fn interference_errors(&self) -> Vec<String> {
        self.forecast_errors.rows(&self.interference.names())
    }

    /// Returns rows for operators on the learned pressures, by pair of images.
    pub fn interference_pressures(&self, now: Timestamp) -> Vec<String> {
        self.interference.pressure_rows(now)
    }

    /// Restores what an earlier leader learned about interference between
    /// images.
    pub fn restore_learned_interference(&mut self, learned: &LearnedInterference) {
        self.interference.restore(learned);
    }

    /// Takes the pending actions.
    pub fn take_actions(&mut self) -> Actions {
        std::mem::take(&mut self.actions)
    }

    /// Returns how well the interference forecast fits, over all images.
    pub fn interference_total(&self) -> InterferenceErrors {
        self.forecast_errors.total()
    }

    /// Returns counts for the metrics.
    pub fn counts(&self, now: Timestamp) -> PlanCounts {
        let suspects = self.suspect_counts(now);
        let holds_runs = |it: &&Worker| it.is_silent && !it.allocations.is_empty();
        let silent = || self.workers.iter().filter(holds_runs);
        PlanCounts {
            silent_runs: silent().map(|it| it.allocations.len()).sum(),
            longest_silence_ms: silent()
                .filter_map(|it| Some(now.ms_since(it.silent_since?)))
                .max()
                .unwrap_or_default(),
            waiting_steps: self.waiting.len(),
            blocked_submissions: self.blocked.count(),
            waiting_long_running: self.waits.waiting(),
            waiting_beside_capacity: self.waits.waiting_beside_capacity(),
            placed_runs: self.workers.iter().map(|it| it.allocations.len()).sum(),
            schedulable_workers: (0..self.workers.len())
                .filter(|it| self.obstacle(*it, now).is_none())
                .count(),
            suspect_tasks: self.suspects.count(),
            waiting_suspects: suspects.waiting(),
            oldest_suspect_ms: suspects.oldest_ms,
            isolated_workers: suspects.isolated,
            worker_crashes: self.suspects.crashes(),
            scored_workers: self.scored_workers.load(Ordering::Relaxed),
            evacuated_domains: self.evacuations.domains.len(),
            evacuated_workers: self.evacuated_workers(),
            slow_workers: self.workers.iter().filter(|it| it.speed.is_slow(now)).count(),
            straggler_moves: self.straggler_moves,
            copies: self.copies.counts(),
            cold_workers: self.cold_workers(),
            load: self.loads.counts(),
            interference: self.interference_total(),
        }
    }

    /// Returns why a worker accepts no new work at all, or `None` if it does.
    fn obstacle(&self, index: WorkerIndex, now: Timestamp) -> Option<Obstacle> {
        let isolated = || self.suspects.is_isolated(index).then_some(Obstacle::Isolated);
        self.unavailability(index, now).or_else(isolated)
    }

    /// Returns why a worker accepts no new work at all, or `None` if it does, or
    /// would if it were not isolated for one task.
    fn unavailability(&self, index: WorkerIndex, now: Timestamp) -> Option<Obstacle> {
        let obstacle = placement::unavailability(&self.workers[index], now);
        obstacle.or_else(|| self.overload_risk(index))
    }

    /// Returns why a start may bring a worker over its capacity, if the worker
    /// does not refuse that.
    fn overload_risk(&self, index: WorkerIndex) -> Option<Obstacle> {
        let worker = &self.workers[index];
        let obstacle = match worker.unknown_runs {
            0 if !self.are_entries_stale => return None,
            0 => Obstacle::StaleEntry,
            _ => Obstacle::UnknownRuns,
        };
        (!self.rejects_overload(worker)).then_some(obstacle)
    }

    /// Returns whether a worker refuses what exceeds its capacity.
    fn rejects_overload(&self, worker: &Worker) -> bool {
        let service = self.manifest.services.iter().find(|it| it.name == worker.listing.service);
        service.is_some_and(|it| it.rejects_overload)
    }

    fn log_decision(
        &mut self,
        kind: DecisionKind,
        submission: Option<SubmissionId>,
        worker: Option<WorkerId>,
        inputs: impl FnOnce() -> String,
    ) {
        self.actions.decisions.push(Decision { kind, submission, worker, inputs: inputs() });
    }

    /// Returns the allocation that a run of one of the step's tasks holds.
    fn allocation_for(&mut self, step: &StepSpec, run: RunNumber) -> Allocation {
        Allocation {
            run,
            resources: step.allocation(),
            cpu: step.demand.cpu.0,
            kind: workload_kind(step),
            image: step.image.as_ref().map(|it| self.interference.image(it)),
            tail_target_ms: step.tail_target_ms.filter(|_| step.is_long_running),
            is_unknown: false,
            listings: 0,
            measurement: 0,
            pace: 100,
            max_pace: 100,
            pace_set_at: Timestamp::default(),
            is_over_target: false,
            over_target_since: None,
            unexplained_excess: 0.0,
        }
    }

    fn task_mut(&mut self, task: TaskKey) -> Option<&mut Task> {
        self.work.get_mut(&task.step.submission)?.task_mut(task)
    }

    /// Returns a run if the plan has placed the task there.
    fn current_run(&self, index: WorkerIndex, task: TaskKey, run: RunNumber) -> Option<&Run> {
        let current = self.work.get(&task.step.submission)?.task(task)?.run()?;
        (current.worker == index && current.run == run).then_some(current)
    }

    fn worker_id(&self, index: WorkerIndex) -> WorkerId {
        self.workers[index].listing.worker.clone()
    }

    fn mark_dirty(&mut self, id: SubmissionId) {
        self.change += 1;
        self.dirty.entry(id).or_insert(self.change);
        if let Some(work) = self.work.get_mut(&id) {
            work.last_change = self.change;
        }
    }

    /// Returns the number of the last change of a submission, 0 if there was
    /// none.
    fn last_change(&self, id: SubmissionId) -> u64 {
        self.work.get(&id).map_or(0, |it| it.last_change)
    }

    /// Ends a submission: its runs are stopped, and the state is published
    /// once it is stored. A cancellation is stored before the planner learns
    /// of it, so it is published at once.
    fn finish(&mut self, id: SubmissionId, state: SubmissionState, why: &str, now: Timestamp) {
        let Some(work) = self.work.get_mut(&id) else { return };
        work.state = state;
        let runs: Vec<(TaskKey, WorkerIndex, RunNumber)> = (work.runs())
            .chain(self.copies.of(id))
            .map(|(task, it)| (task, it.worker, it.run))
            .collect();
        for occurrence in &work.occurrences {
            for step in work.submission.step_keys(occurrence.number) {
                self.tickets.remove(step);
            }
        }
        work.occurrences.clear();
        work.next_occurrence = work.submission.occurrences();
        let age_ms = now.ms_since(work.submission.accepted_at);
        if state == SubmissionState::Completed {
            self.loads.completed(work, now);
        }
        self.scheduled.remove(&id);
        self.suspects.remove(id);
        self.interference.remove(id);
        self.forget_copies(id);
        for (task, worker, run) in runs {
            self.stop(worker, task, run, why, now);
        }
        self.mark_dirty(id);
        if state == SubmissionState::Cancelled {
            self.actions.states.push((id, state));
        } else {
            self.unpublished.push((self.change, id, state));
        }
        self.log_decision(DecisionKind::Finished, Some(id), None, || {
            format!("state={state} age_ms={age_ms} why={why}")
        });
    }

    /// Orders a run to stop, unless a stop is pending.
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
        self.stops.insert((worker, task, run), PendingStop::new(retry_at));
        self.unconfirmed.remove(&(worker, task, run));
        let id = self.worker_id(worker);
        self.actions.orders.push((id.clone(), Order::Stop { task, run }));
        self.log_decision(DecisionKind::RunStopped, Some(task.step.submission), Some(id), || {
            format!("task={task} run={run} why={why}")
        });
    }

    /// Returns runs of a submission that hold allocations on workers.
    fn allocated_runs(&self, id: SubmissionId) -> Vec<RunKey> {
        let of_worker = |(index, worker): (WorkerIndex, &Worker)| {
            let allocations = worker.allocations.iter();
            let of_submission = allocations.filter(|(task, _)| task.step.submission == id);
            of_submission.map(|(task, it)| (index, *task, it.run)).collect::<Vec<_>>()
        };
        self.workers.iter().enumerate().flat_map(of_worker).collect()
    }
}

/// Returns whether the changes of a submission up to `change` are stored.
fn is_stored(work: &BTreeMap<SubmissionId, Work>, id: SubmissionId, change: u64) -> bool {
    change <= work.get(&id).map_or(0, |it| it.stored_change)
}

/// Numbers of recorded workers by what is known of the leases of earlier leaders.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EarlierLeaseEnds {
    /// Workers whose leases have expired at a known time.
    pub known: usize,
    /// Workers for which the longest lease is awaited unless they answer.
    pub unknown: usize,
}

/// Counts for the metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PlanCounts {
    /// Steps that may have tasks to place.
    pub waiting_steps: usize,
    /// Submissions that have had no run for a while although they could have
    /// one.
    pub blocked_submissions: usize,
    /// Tasks of long-running steps that have had no run for seconds.
    pub waiting_long_running: usize,
    /// Those of them for which a worker has capacity, in a pool of which under
    /// half is in use.
    pub waiting_beside_capacity: usize,
    /// Runs that hold capacity.
    pub placed_runs: usize,
    /// Workers that accept new work.
    pub schedulable_workers: usize,
    /// Tasks that may have crashed a worker.
    pub suspect_tasks: usize,
    /// Those of them that wait for their next start.
    pub waiting_suspects: usize,
    /// How long the oldest of these has waited, in milliseconds.
    pub oldest_suspect_ms: u64,
    /// Workers that are kept free of new starts for suspected tasks.
    pub isolated_workers: usize,
    /// Number of workers so far that crashed.
    pub worker_crashes: u64,
    /// Number of times so far that a worker was scored for a task.
    pub scored_workers: u64,
    /// Evacuated failure domains.
    pub evacuated_domains: usize,
    /// Listed workers in them.
    pub evacuated_workers: usize,
    /// Workers that are judged slow.
    pub slow_workers: usize,
    /// Number of runs so far that were stopped on slow workers to go on elsewhere.
    pub straggler_moves: u64,
    /// Copies of late runs.
    pub copies: CopyCounts,
    /// Listed workers that are slow for a while.
    pub cold_workers: usize,
    /// Runs on silent workers, whose leases are awaited.
    pub silent_runs: usize,
    /// How long the longest of these workers has been silent, in milliseconds.
    pub longest_silence_ms: u64,
    /// What the load of the pools has caused.
    pub load: LoadCounts,
    /// How well the interference forecast fits what is measured.
    pub interference: InterferenceErrors,
}

/// Returns how a step's tasks use the processor.
fn workload_kind(step: &StepSpec) -> WorkloadKind {
    if step.is_best_effort {
        WorkloadKind::BestEffort
    } else if step.is_long_running {
        WorkloadKind::LatencyCritical
    } else {
        WorkloadKind::Batch
    }
}
