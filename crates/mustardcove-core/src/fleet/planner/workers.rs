//! Workers as tracked by the planner.

use std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
};

use serde::{Deserialize, Serialize};

use super::{
    circuit_breaker::CircuitBreaker,
    cold::Warmup,
    earlier_leases::EarlierLeases,
    interference::{ImageId, InterferenceModel},
    pace::{self, LatencyCriticalTask},
    placement,
    work::WorkerIndex,
    worker_speed::WorkerSpeed,
};
use crate::{
    fleet::{
        handover::PollerId,
        id::{EndNumber, Incarnation, RunNumber, TaskKey},
        poller::LEASE_MARGIN_MS,
    },
    id::{FailureDomainId, HostId, WorkerId},
    size::Resources,
    time::Timestamp,
};

/// Time for which a listed worker is not polled after another one was found in
/// its place, in milliseconds: longer than the entry of a worker lasts that has
/// ended.
const EXCLUSION_MS: u64 = 8_000;

/// A worker as service discovery lists it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkerListing {
    /// The worker.
    pub worker: WorkerId,
    /// The pool that it belongs to.
    pub service: String,
    /// Its address.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: FailureDomainId,
    /// Its capacity.
    pub capacity: Resources,
    /// Its kind and then its rack.
    pub labels: Vec<String>,
    /// Whether it is leaving and takes no new work.
    pub is_draining: bool,
    /// Its incarnation, which identifies one run of the worker process. It is
    /// the time when that began, so on one host it rises unless the clock is set
    /// back.
    pub incarnation: Incarnation,
    /// The machine on which it runs, if its entry names one.
    pub host: Option<HostId>,
}

impl WorkerListing {
    /// Returns whether another entry offers the same pool, capacity and labels.
    pub(super) fn can_hold_as(&self, other: &WorkerListing) -> bool {
        self.service == other.service
            && self.capacity == other.capacity
            && self.labels == other.labels
    }
}

/// The capacity and processor time that a run holds on a worker.
#[derive(Clone, Copy, Debug)]
pub(super) struct Allocation {
    pub(super) run: RunNumber,
    pub(super) resources: Resources,
    /// Processor demand at the highest pace that it may have, whether or not it
    /// counts against the capacity.
    pub(super) cpu: u64,
    pub(super) kind: WorkloadKind,
    /// The image that it runs, if its step names one.
    pub(super) image: Option<ImageId>,
    /// Bound on its tail latency, in milliseconds, if it is latency-critical.
    pub(super) tail_target_ms: Option<u32>,
    /// Whether its demand is not known, because its submission is not planned
    /// yet.
    pub(super) is_unknown: bool,
    /// Number of polls that listed the run.
    pub(super) listings: u32,
    /// What the last poll measured; see
    /// [`RunningTask`](crate::fleet::message::RunningTask).
    pub(super) measurement: u32,
    /// Its pace: the share of time at which it works, in percent.
    pub(super) pace: u8,
    /// The highest pace that it may have, in percent: below 100 for a run that
    /// was started although no processor time was left over.
    pub(super) max_pace: u8,
    /// When the pace was last changed.
    pub(super) pace_set_at: Timestamp,
    /// Whether its tail latency exceeded its target in the last poll.
    pub(super) is_over_target: bool,
    /// Since when that was so in at least one of every two polls: a single
    /// measurement may be too low.
    pub(super) over_target_since: Option<Timestamp>,
    /// Excess of its utilisation, as a factor, that the interference learned
    /// for its neighbours does not explain; smoothed over polls.
    pub(super) unexplained_excess: f32,
}

/// How a run uses the processor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WorkloadKind {
    /// Serves users of its own and rarely uses all the processor time that it
    /// asked for.
    LatencyCritical,
    /// Uses the processor time that it asked for.
    Batch,
    /// Uses leftover processor time.
    BestEffort,
}

/// A worker, what runs on it and what its last polls showed.
#[derive(Clone, Debug)]
pub(super) struct Worker {
    pub(super) listing: WorkerListing,
    /// Whether service discovery lists it at present.
    pub(super) is_listed: bool,
    /// Whether the store holds a record of it. No leader has used a worker
    /// without one.
    pub(super) is_recorded: bool,
    /// Whether it is known from the record of an earlier leader and may still
    /// run work of that leader.
    pub(super) may_run_earlier_work: bool,
    /// Whether operators evacuate its failure domain, so that nothing starts there.
    pub(super) is_evacuated: bool,
    pub(super) warmup: Warmup,
    /// The incarnation that the runs belong to; `None` before the first poll.
    pub(super) incarnation: Option<Incarnation>,
    /// Whether a poll of this term has listed all ends there, or the predecessor
    /// has handed over its plan, so that it is known which runs of earlier
    /// leaders are done or may go on.
    pub(super) has_listed_all_ends: bool,
    /// When its tasks were last measured.
    pub(super) measured_at: Option<Timestamp>,
    /// When the last poll was answered.
    pub(super) polled_at: Option<Timestamp>,
    /// When the last poll that counts was asked for, on the clock of its poller;
    /// zero if another one has polled it since.
    pub(super) poll_asked_at: Timestamp,
    /// Whether several polls in a row have failed.
    pub(super) is_silent: bool,
    /// Since when it has not answered, as far as this leader and those before it
    /// know.
    pub(super) silent_since: Option<Timestamp>,
    /// The time by which every lease of earlier leaders has expired, if the
    /// predecessor has handed it over.
    pub(super) handed_over_leases_expire_by: Option<Timestamp>,
    /// Whether its present incarnation was listed as about to leave.
    pub(super) was_draining: bool,
    /// When another worker was found in its place last, so that nothing runs
    /// there; `None` once it has a later incarnation or answers again.
    pub(super) replaced_at: Option<Timestamp>,
    /// Whether it is not polled for that reason.
    pub(super) is_excluded: bool,
    /// The worker that was added last at its address since it has answered.
    pub(super) successor: Option<WorkerIndex>,
    /// The time by which every run there has ended unless it answers again.
    pub(super) leases_expire_by: Timestamp,
    /// The time by which every lease has expired that an ordered start may
    /// still begin, or that a process which no longer polls the worker may
    /// have granted, in this term.
    pub(super) ordered_leases_expire_by: Timestamp,
    /// The last process that no longer polls it, if that may still tell by when the
    /// leases have expired that it granted. Until it does, this time counts for them.
    pub(super) lost_poller: Option<(PollerId, Timestamp)>,
    /// The time by which every lease of earlier leaders has expired.
    pub(super) earlier_leases_expire_by: Timestamp,
    /// Since when the worker has answered its poller, as far as the leader
    /// knows; while this is `None`, the poller extends no lease.
    pub(super) responsive_since: Option<Timestamp>,
    /// Everything that its poller reported by this time has been handled;
    /// `None` if reports arrive without delay.
    pub(super) heard_through: Option<Timestamp>,
    pub(super) allocations: BTreeMap<TaskKey, Allocation>,
    pub(super) used: Resources,
    /// Number of allocations whose demand is not known.
    pub(super) unknown_runs: u32,
    /// Capacity that batch runs hold.
    pub(super) batch_used: Resources,
    /// Capacity that the batch run with the most processors holds.
    pub(super) largest_batch: Resources,
    /// Processor demand of best-effort runs.
    pub(super) best_effort_cpu: u64,
    /// Processor demand of latency-critical runs.
    pub(super) latency_critical_cpu: u64,
    /// The number of the last end that was processed.
    pub(super) seen_end: EndNumber,
    /// Ends that may not be acknowledged yet, in order.
    pub(super) unstored_ends: VecDeque<UnstoredEnd>,
    pub(super) acknowledged_through: EndNumber,
    /// No start before this time, because the worker refused one for lack of
    /// capacity.
    pub(super) full_until: Timestamp,
    /// Processor time that latency-critical tasks used at the last poll, in
    /// millicores.
    pub(super) latency_critical_use: u64,
    /// Whether it may have become able to run a task since the last placement
    /// round.
    pub(super) is_changed: bool,
    /// The last placement round before which it changed.
    pub(super) changed_in: u64,
    /// Whether it accepted work in the last placement round.
    pub(super) was_schedulable: bool,
    pub(super) circuit_breaker: CircuitBreaker,
    pub(super) speed: WorkerSpeed,
    /// The latency-critical tasks here, as of the last poll or placement.
    pub(super) latency_critical: Vec<LatencyCriticalTask>,
}

/// An end that is acknowledged once its submission's changes are stored.
#[derive(Clone, Copy, Debug)]
pub(super) struct UnstoredEnd {
    pub(super) number: EndNumber,
    pub(super) task: TaskKey,
    /// Whether the task is done by it.
    pub(super) is_done: bool,
    /// The last change of the submission that must be stored first.
    pub(super) change: u64,
}

impl Worker {
    /// Returns a worker that was not polled yet.
    pub(super) fn new(listing: WorkerListing, earlier_leases: &EarlierLeases) -> Worker {
        let handed_over = earlier_leases.worker(&listing.worker);
        let silent_since = handed_over.and_then(|it| it.silent_since);
        let plan = handed_over.and_then(|it| it.plan.as_ref());
        Worker {
            handed_over_leases_expire_by: handed_over.map(|it| it.leases_expire_by),
            is_silent: silent_since.is_some(),
            silent_since,
            // The plan that was handed over tells what runs there.
            incarnation: plan.map(|it| it.incarnation),
            has_listed_all_ends: plan.is_some(),
            was_draining: plan.is_some_and(|it| it.was_draining),
            earlier_leases_expire_by: earlier_leases.expire_by(&listing.worker),
            listing,
            is_listed: true,
            is_recorded: false,
            may_run_earlier_work: false,
            is_evacuated: false,
            warmup: Warmup::default(),
            measured_at: None,
            polled_at: None,
            poll_asked_at: Timestamp::default(),
            replaced_at: None,
            is_excluded: false,
            successor: None,
            leases_expire_by: Timestamp::default(),
            ordered_leases_expire_by: Timestamp::default(),
            lost_poller: None,
            responsive_since: None,
            heard_through: None,
            allocations: BTreeMap::new(),
            used: Resources::ZERO,
            unknown_runs: 0,
            batch_used: Resources::ZERO,
            largest_batch: Resources::ZERO,
            best_effort_cpu: 0,
            latency_critical_cpu: 0,
            seen_end: EndNumber::default(),
            unstored_ends: VecDeque::new(),
            acknowledged_through: EndNumber::default(),
            full_until: Timestamp::default(),
            latency_critical_use: 0,
            is_changed: true,
            changed_in: 0,
            was_schedulable: false,
            circuit_breaker: CircuitBreaker::default(),
            speed: WorkerSpeed::default(),
            latency_critical: Vec::new(),
        }
    }

    /// Allocates capacity to a run.
    pub(super) fn allocate(&mut self, task: TaskKey, allocation: Allocation) {
        self.release(task);
        self.used = self.used.saturating_add(allocation.resources);
        self.unknown_runs += u32::from(allocation.is_unknown);
        match allocation.kind {
            WorkloadKind::BestEffort => self.best_effort_cpu += allocation.cpu,
            WorkloadKind::LatencyCritical => {
                self.latency_critical_cpu += allocation.cpu;
                self.latency_critical_use += allocation.cpu / 2;
            }
            WorkloadKind::Batch => {
                self.batch_used = self.batch_used.saturating_add(allocation.resources);
                if self.largest_batch.cpu < allocation.resources.cpu {
                    self.largest_batch = allocation.resources;
                }
            }
        }
        self.allocations.insert(task, allocation);
    }

    /// Releases the allocation of a task.
    pub(super) fn release(&mut self, task: TaskKey) {
        let Some(allocation) = self.allocations.remove(&task) else { return };
        self.is_changed = true;
        self.used = self.used.saturating_sub(allocation.resources);
        self.unknown_runs -= u32::from(allocation.is_unknown);
        match allocation.kind {
            WorkloadKind::BestEffort => self.best_effort_cpu -= allocation.cpu,
            WorkloadKind::LatencyCritical => {
                self.latency_critical_cpu -= allocation.cpu;
                // The processor time that it really used is known only after
                // the next poll.
                self.latency_critical_use =
                    self.latency_critical_use.saturating_sub(allocation.cpu / 2);
            }
            WorkloadKind::Batch => {
                self.batch_used = self.batch_used.saturating_sub(allocation.resources);
                self.largest_batch = self.find_largest_batch();
            }
        }
    }

    fn find_largest_batch(&self) -> Resources {
        let batch = self.allocations.values().filter(|it| it.kind == WorkloadKind::Batch);
        let largest = batch.map(|it| it.resources).max_by_key(|it| it.cpu);
        largest.unwrap_or(Resources::ZERO)
    }

    /// Lifts the bound on the pace of a best-effort run, if enough processor
    /// time is left over for it and no target would be missed.
    pub(super) fn lift_max_pace(&mut self, task: TaskKey, interference: &InterferenceModel) {
        let Some(allocation) = self.allocations.get(&task) else { return };
        let cpu = allocation.cpu * 100 / u64::from(allocation.max_pace);
        let added = cpu - allocation.cpu;
        let is_enough = placement::is_enough_left_over(placement::leftover_cpu(self), added);
        if !is_enough || placement::min_headroom(self, interference, allocation.image, added) < 0 {
            return;
        }
        if let Some(allocation) = self.allocations.get_mut(&task) {
            allocation.cpu = cpu;
            allocation.max_pace = 100;
            self.best_effort_cpu += added;
        }
    }

    /// Forgets the plan that was handed over, so that the worker is awaited as one
    /// of which nothing is known.
    pub(super) fn forget_plan(&mut self) {
        self.incarnation = None;
        self.has_listed_all_ends = false;
        self.may_run_earlier_work = true;
    }

    /// Begins a new incarnation, of which no run or end is recorded yet.
    pub(super) fn begin_incarnation(&mut self, incarnation: Incarnation) {
        self.incarnation = Some(incarnation);
        self.was_draining = self.listing.is_draining && self.listing.incarnation == incarnation;
        self.seen_end = EndNumber::default();
        self.acknowledged_through = EndNumber::default();
        self.unstored_ends.clear();
        self.full_until = Timestamp::default();
        self.latency_critical_use = 0;
        self.circuit_breaker = CircuitBreaker::default();
        self.speed = WorkerSpeed::default();
    }

    /// Records that another worker was found in its place. Returns whether this
    /// is new.
    pub(super) fn replaced(&mut self, now: Timestamp) -> bool {
        // The next incarnation may be listed already, at another address.
        let is_next_listed = self.incarnation.is_some_and(|it| it < self.listing.incarnation);
        self.is_excluded = !is_next_listed;
        self.replaced_at.replace(now).is_none()
    }

    /// Records that it answers, or may answer, as before or as a later
    /// incarnation.
    pub(super) fn restored(&mut self) {
        self.replaced_at = None;
        self.is_excluded = false;
    }

    /// Returns whether an incarnation had ended before now, so that its answer to
    /// a poll that was asked for at `asked_at` is late. The time of birth decides
    /// only between polls that were asked for in the same millisecond.
    pub(super) fn has_ended(
        &self,
        incarnation: Incarnation,
        asked_at: Timestamp,
        now: Timestamp,
    ) -> bool {
        let is_replaced = self.replaced_at.is_some_and(|it| now.ms_since(it) < EXCLUSION_MS);
        match self.incarnation {
            Some(present) if incarnation == present => is_replaced,
            Some(present) => (asked_at, incarnation) < (self.poll_asked_at, present),
            None => false,
        }
    }

    /// Returns whether an entry may be that of the next incarnation, at another
    /// address, whatever its time of birth. The answers there tell.
    pub(super) fn may_have_moved(&self, listing: &WorkerListing) -> bool {
        let may_have_ended = self.is_silent || self.replaced_at.is_some();
        may_have_ended && self.listing.address != listing.address
    }

    /// Ends the exclusion of a worker that is listed although another one was
    /// found in its place a while ago: the report may have been about an earlier
    /// address.
    pub(super) fn expire_exclusion(&mut self, now: Timestamp) {
        let is_over = self.replaced_at.is_none_or(|it| EXCLUSION_MS <= now.ms_since(it));
        self.is_excluded &= !(self.is_listed && is_over);
    }

    /// Records by when every lease of earlier leaders has expired. An earlier time that
    /// is known holds.
    pub(super) fn learn_earlier_leases(&mut self, expire_by: Timestamp) {
        let known = self.handed_over_leases_expire_by.map_or(expire_by, |it| it.min(expire_by));
        self.handed_over_leases_expire_by = Some(known);
        self.earlier_leases_expire_by = self.earlier_leases_expire_by.min(known);
    }

    /// Handles the loss of the poller. It may have extended leases until
    /// `leases_expire_by` if the leader had confirmed the worker's answers.
    pub(super) fn poller_lost(&mut self, poller: PollerId, leases_expire_by: Timestamp) {
        self.poll_asked_at = Timestamp::default();
        if self.responsive_since.take().is_some()
            && let Some((_, before)) = self.lost_poller.replace((poller, leases_expire_by))
        {
            self.ordered_leases_expire_by = self.ordered_leases_expire_by.max(before);
        }
        // Orders of pace may have been lost with it.
        let allocations = self.allocations.values_mut();
        for it in allocations.filter(|it| it.kind == WorkloadKind::BestEffort) {
            it.pace = pace::UNKNOWN_PACE;
        }
    }

    /// Handles the report of a lost poller by when the leases have expired that it
    /// granted. Returns whether it was the last one.
    pub(super) fn poller_retired(&mut self, poller: &PollerId, expire_by: Timestamp) -> bool {
        let is_last = self.lost_poller.take_if(|it| it.0 == *poller).is_some();
        if is_last {
            self.ordered_leases_expire_by = self.ordered_leases_expire_by.max(expire_by);
        }
        is_last
    }

    /// Returns whether it belongs to the pool and answers, whether or not it is
    /// given new work at present.
    pub(super) fn is_up(&self) -> bool {
        self.is_listed && self.is_recorded && !self.listing.is_draining && !self.is_silent
    }

    /// Returns whether its capacity counts as room for new work, whether or not it
    /// is given any at present.
    pub(super) fn is_room(&self) -> bool {
        self.is_up() && !self.is_evacuated
    }

    /// Returns whether nothing that an earlier leader ordered can begin, go on or
    /// have ended there unknown to the plan: it has listed everything in this
    /// term, the predecessor has handed over its plan, or it has ended.
    pub(super) fn is_fenced(&self) -> bool {
        self.has_listed_all_ends || self.replaced_at.is_some()
    }

    /// Returns whether it answers and may have ends of earlier leaders' runs that
    /// it has not listed yet. No other leader has led through `sole_through`.
    pub(super) fn may_have_unlisted_ends(&self, sole_through: Timestamp) -> bool {
        let is_answering = || {
            let expire_by = self.runs_expire_by().plus_ms(LEASE_MARGIN_MS);
            self.responsive_since.is_some() || sole_through < expire_by
        };
        self.incarnation.is_some() && !self.is_fenced() && is_answering()
    }

    /// Returns whether the reports of its poller that were sent by a time have
    /// been handled, so that what they lack did not happen.
    pub(super) fn is_heard(&self, time: Timestamp, now: Timestamp) -> bool {
        time <= self.heard_through.unwrap_or(now).min(now)
    }

    /// Returns the time by which every run there has ended unless the worker
    /// answers again.
    pub(super) fn runs_expire_by(&self) -> Timestamp {
        let lost = self.lost_poller.as_ref().map(|it| it.1).unwrap_or_default();
        let others = self.ordered_leases_expire_by.max(self.earlier_leases_expire_by);
        self.leases_expire_by.max(others).max(lost)
    }

    pub(super) fn free(&self) -> Resources {
        self.listing.capacity.saturating_sub(self.used)
    }

    pub(super) fn has_label(&self, label: &str) -> bool {
        self.listing.labels.iter().any(|it| it == label)
    }
}
