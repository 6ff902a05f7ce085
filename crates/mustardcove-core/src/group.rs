//! State machine of one worker group.
//!
//! Only the owner of a group commits capacity on its workers. Its state is
//! soft: a new owner rebuilds it from the tasks that the workers list and the
//! attempts that the shards have bound. See `docs/design.md`, sections 3.3 and
//! 3.4, and `docs/groups.md`.
//!
//! Two rules apply throughout:
//!
//! - Capacity is charged before anything is sent and released only on
//!   evidence that the attempt has ended. An attempt whose outcome is unknown
//!   keeps its resources.
//! - No task is started after the claim's deadline. Leases of running tasks
//!   are still renewed until a newer epoch is seen, because a renewal starts
//!   nothing.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    sync::Arc,
};

use bytes::Bytes;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::{
    agreement::Agreement,
    class::ClassTable,
    health::Health,
    id::{CallId, Epoch, GroupId, ProcessId, ShardId, TaskId, WorkerId},
    message::{BoundTask, GroupSummary, GroupToShard, ShardToGroup},
    placement::PlacementPolicy,
    quota::Quotas,
    size::Resources,
    store::{StoreOp, StoreResult},
    time::{Timestamp, earliest},
    worker::{WorkerInfo, WorkerOp, WorkerReport, WorkerResult},
};

mod calls;
mod capacity;
mod config;
mod dump;
mod evictions;
mod leases;
mod reports;
mod reserve;
mod starts;
mod takeover;
mod task;
mod upkeep;

pub use config::{GroupConfig, RENEW_INTERVAL_MS, START_LEASE_MS, TASK_LEASE_MS};
pub use dump::{GroupDump, GroupStats, TaskDump, WorkerDump};

use calls::Call;
use capacity::Fleet;
use config::EXPORT_INTERVAL_MS;
use reserve::WaitingRequest;
use task::Task;

/// An input of a group.
#[derive(Clone, Debug)]
pub enum GroupEvent {
    /// Time passed. Sent no later than [`Group::next_deadline`].
    Tick,
    /// The claim is valid until this time; nothing may be started after it.
    ClaimDeadline(Timestamp),
    /// The current workers of the group, from the instance list.
    Workers(Arc<[WorkerInfo]>),
    /// A call to the store ended.
    StoreReply {
        /// The call.
        call: CallId,
        /// Its result.
        result: StoreResult,
    },
    /// A call to a worker ended.
    WorkerReply {
        /// The worker.
        worker: WorkerId,
        /// The call.
        call: CallId,
        /// Its result.
        result: WorkerResult,
    },
    /// A worker sent an unsolicited report.
    Report(WorkerReport),
    /// The owner of a shard sent a message.
    FromShard {
        /// The shard.
        from: ShardId,
        /// The message.
        body: ShardToGroup,
    },
    /// A revision of the agreement is in force.
    Agreement(Arc<Agreement>),
    /// Another group published its learned slowdowns.
    Interference(Bytes),
    /// The group is to be released: nothing more is started.
    Release,
}

/// An action that the driver of a group carries out.
#[derive(Clone, Debug)]
pub enum GroupAction {
    /// A call to the store.
    Store {
        /// The group's identifier of the call.
        call: CallId,
        /// The call.
        op: StoreOp,
    },
    /// A call to a worker.
    Worker {
        /// The group's identifier of the call.
        call: CallId,
        /// The worker.
        worker: WorkerId,
        /// The call.
        op: WorkerOp,
        /// The driver checks this time just before it writes to the socket
        /// and drops the call if it has passed, so that a process that was
        /// paused starts nothing when it continues.
        not_after: Timestamp,
    },
    /// A message to the owner of a shard.
    ToShard {
        /// The shard.
        to: ShardId,
        /// The message.
        body: GroupToShard,
    },
    /// The free capacity of the group, to be sent to every scheduler process.
    Summary(GroupSummary),
    /// The learned slowdowns, to be sent to the other groups.
    Interference(Bytes),
    /// Nothing is in flight any more, so the claim may be released.
    Released,
}

/// State machine of the owner of a worker group.
#[derive(Debug)]
pub struct Group<P> {
    id: GroupId,
    epoch: Epoch,
    process: ProcessId,
    cfg: GroupConfig,
    policy: P,
    rng: ChaCha8Rng,
    now: Timestamp,
    agreement: Option<Arc<Agreement>>,
    classes: ClassTable,
    claim_deadline: Timestamp,
    /// Whether the group is to be released.
    releasing: bool,
    released: bool,
    /// Whether a newer epoch of this group was seen.
    superseded: bool,
    fleet: Fleet,
    tasks: BTreeMap<TaskId, Task>,
    timers: BTreeSet<(Timestamp, TaskId)>,
    /// Attempts whose end is durable at their shard, with the time at which
    /// the shard acknowledged it.
    tombstones: BTreeMap<TaskId, Timestamp>,
    tombstone_queue: VecDeque<(Timestamp, TaskId)>,
    calls: BTreeMap<CallId, Call>,
    /// Calls in the order of their timeouts.
    call_queue: VecDeque<(Timestamp, CallId)>,
    /// Timed-out calls in the order in which they are dropped.
    late_queue: VecDeque<(Timestamp, CallId)>,
    next_call: u64,
    starts_in_flight: usize,
    quotas: Quotas,
    health: Health,
    waiting: Vec<WaitingRequest>,
    /// Whether waiting requests are to be examined again, because capacity or
    /// allotment may have grown since the last time.
    recheck_waiting: bool,
    /// Shards that have listed their bound attempts.
    reconciled: BTreeSet<ShardId>,
    reconcile_at: Timestamp,
    evict_at: Option<Timestamp>,
    summary_at: Timestamp,
    last_summary: Option<GroupSummary>,
    export_at: Timestamp,
    last_export: Bytes,
    stats: GroupStats,
}

impl<P: PlacementPolicy> Group<P> {
    /// Returns a group whose claim was just acquired at `epoch`.
    ///
    /// Nothing is started until [`GroupEvent::ClaimDeadline`],
    /// [`GroupEvent::Agreement`] and [`GroupEvent::Workers`] were handled and
    /// either the workers or the shards have listed the running tasks.
    pub fn new(
        id: GroupId,
        epoch: Epoch,
        process: ProcessId,
        cfg: GroupConfig,
        policy: P,
        seed: u64,
        now: Timestamp,
    ) -> Group<P> {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let quotas = Quotas::new(id.clone(), epoch, process.clone(), rng.random(), now);
        Group {
            id,
            epoch,
            process,
            cfg,
            policy,
            rng,
            now,
            agreement: None,
            classes: ClassTable::default(),
            claim_deadline: Timestamp::default(),
            releasing: false,
            released: false,
            superseded: false,
            fleet: Fleet::default(),
            tasks: BTreeMap::new(),
            timers: BTreeSet::new(),
            tombstones: BTreeMap::new(),
            tombstone_queue: VecDeque::new(),
            calls: BTreeMap::new(),
            call_queue: VecDeque::new(),
            late_queue: VecDeque::new(),
            next_call: 0,
            starts_in_flight: 0,
            quotas,
            health: Health::new(),
            waiting: Vec::new(),
            recheck_waiting: false,
            reconciled: BTreeSet::new(),
            reconcile_at: now,
            evict_at: None,
            summary_at: now,
            last_summary: None,
            export_at: now.plus_ms(EXPORT_INTERVAL_MS),
            last_export: Bytes::new(),
            stats: GroupStats::default(),
        }
    }

    /// Handles an event and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Timestamp, event: GroupEvent, out: &mut Vec<GroupAction>) {
        self.now = self.now.max(now);
        match event {
            GroupEvent::Tick => {}
            GroupEvent::ClaimDeadline(deadline) => self.claim_deadline = deadline,
            GroupEvent::Workers(workers) => self.on_workers(&workers),
            GroupEvent::StoreReply { call, result } => {
                self.quotas.on_reply(self.now, call, result);
                self.superseded |= self.quotas.is_superseded();
                self.recheck_waiting = true;
                // An urgent request whose member gained allotment may still
                // need an eviction.
                if self.waiting.iter().any(|it| it.request.urgent) {
                    self.evict_at = Some(self.now);
                }
            }
            GroupEvent::WorkerReply { worker, call, result } => {
                self.on_worker_reply(&worker, call, result, out);
            }
            GroupEvent::Report(report) => self.on_report(&report, out),
            GroupEvent::FromShard { from, body } => self.on_shard(from, body, out),
            GroupEvent::Agreement(agreement) => self.on_agreement(agreement),
            GroupEvent::Interference(table) => self.policy.import(self.now, &table),
            GroupEvent::Release => self.on_release(),
        }
        self.run_due(out);
    }

    /// Returns the latest time at which [`GroupEvent::Tick`] is to be sent.
    pub fn next_deadline(&self) -> Option<Timestamp> {
        if self.released {
            return None;
        }
        let mut next = self.timers.first().map(|it| it.0);
        next = earliest(next, self.call_queue.front().map(|it| it.0));
        next = earliest(next, self.late_queue.front().map(|it| it.0));
        next = earliest(next, self.fleet.workers.iter().filter_map(|it| self.call_due(it)).min());
        if self.claim_is_valid() {
            next =
                earliest(next, self.fleet.workers.iter().filter_map(|it| it.lease_check_at).min());
            next = earliest(next, self.quotas.next_deadline());
            next = earliest(next, self.evict_at);
            next = earliest(next, Some(self.export_at));
            next = earliest(next, Some(self.summary_at));
            if !self.all_reconciled() {
                next = earliest(next, Some(self.reconcile_at));
            }
        }
        next
    }

    /// Reports whether reservations are served: the claim is valid, and either
    /// every shard has listed its bound attempts or every worker its tasks.
    ///
    /// Until then the resources that each member holds are unknown, and a
    /// grant could exceed a cap.
    pub fn is_ready(&self) -> bool {
        let workers = || self.fleet.workers.iter().filter(|it| it.absent_since.is_none());
        self.claim_is_valid()
            && self.agreement.is_some()
            && workers().any(|it| it.known)
            && (self.all_reconciled() || workers().all(|it| it.known))
    }

    /// Reports whether a newer owner of the group was seen. Nothing is started
    /// or renewed from then on; known outcomes are still reported to shards.
    pub fn is_superseded(&self) -> bool {
        self.superseded
    }

    /// Returns the group's epoch.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Returns the free capacity of the group.
    pub fn summary(&self) -> GroupSummary {
        let mut summary = GroupSummary {
            group: self.id.clone(),
            epoch: self.epoch,
            made_at: self.now,
            free: Resources::ZERO,
            largest_free: Resources::ZERO,
            largest_worker: Resources::ZERO,
            workers: 0,
        };
        for view in self.fleet.views.iter().filter(|it| it.accepting) {
            let free = view.free();
            summary.free = summary.free.saturating_add(free);
            summary.largest_free = summary.largest_free.max(free);
            summary.largest_worker = summary.largest_worker.max(view.capacity);
            summary.workers += 1;
        }
        summary
    }

    /// Returns the placement policy.
    pub fn policy(&self) -> &P {
        &self.policy
    }

    /// Returns a listed worker whose committed resources exceed its capacity,
    /// if there is one. Checks of property P1 use it.
    pub fn overcommitted_worker(&self) -> Option<&WorkerId> {
        let views = self.fleet.views.iter().zip(&self.fleet.workers);
        let listed = views.filter(|(_, it)| it.absent_since.is_none());
        let mut over = listed.filter(|(view, it)| !view.committed.fits_in(it.capacity));
        over.next().map(|(_, it)| &it.id)
    }

    fn claim_is_valid(&self) -> bool {
        self.now < self.claim_deadline && !self.superseded && !self.releasing
    }

    fn all_reconciled(&self) -> bool {
        usize::from(self.cfg.shards) <= self.reconciled.len()
    }

    fn on_shard(&mut self, from: ShardId, body: ShardToGroup, out: &mut Vec<GroupAction>) {
        match body {
            ShardToGroup::Reserve(request) => self.on_reserve(from, request, out),
            ShardToGroup::Release { task } => self.on_release_task(task),
            ShardToGroup::Start { task, worker, epoch, spec, resume_from } => {
                let bound = BoundTask { task, worker, epoch, spec, resume_from, cancelling: false };
                self.on_bound(from, bound, out);
            }
            ShardToGroup::Stop { task, worker, mode } => {
                self.on_stop(from, task, worker, mode, out);
            }
            ShardToGroup::Acknowledge { task } => self.on_acknowledge(task),
            ShardToGroup::Reconcile { bound } => self.on_reconcile(from, bound, out),
        }
    }

    fn on_workers(&mut self, workers: &[WorkerInfo]) {
        let mut listed = BTreeSet::new();
        for info in workers {
            listed.insert(&info.id);
            let at = self.fleet.update(self.now, info);
            self.refresh_view(at);
        }
        for at in 0..self.fleet.workers.len() {
            let worker = &mut self.fleet.workers[at];
            if worker.absent_since.is_none() && !listed.contains(&worker.id) {
                worker.absent_since = Some(self.now);
                worker.lease_check_at = Some(self.now);
                self.refresh_view(at);
            }
        }
        self.fleet.remove_absent();
        self.recheck_waiting = true;
        self.evict_at = Some(self.now);
    }

    fn on_agreement(&mut self, agreement: Arc<Agreement>) {
        if self.agreement.as_ref().is_some_and(|it| agreement.revision <= it.revision) {
            return;
        }
        for class in agreement.classes.values() {
            self.classes.upsert(class);
        }
        self.quotas.set_agreement(&agreement);
        self.agreement = Some(agreement);
        for at in 0..self.fleet.workers.len() {
            self.refresh_view(at);
        }
        self.recheck_waiting = true;
        self.evict_at = Some(self.now);
    }

    fn on_release(&mut self) {
        self.releasing = true;
        self.waiting.clear();
        let unused = self.tasks.iter().filter(|(_, it)| it.is_reserved());
        let unused: Vec<TaskId> = unused.map(|(task, _)| *task).collect();
        unused.into_iter().for_each(|it| self.remove_task(it));
    }

    /// Recomputes the view of a worker that policies are given.
    fn refresh_view(&mut self, at: usize) {
        if let Some(agreement) = &self.agreement {
            self.fleet.refresh_capacity(self.now, at, agreement, &self.classes);
        }
        self.fleet.refresh_acceptance(at, &self.health);
    }

    /// Runs everything that is due.
    fn run_due(&mut self, out: &mut Vec<GroupAction>) {
        if self.released {
            return;
        }
        self.expire_calls(out);
        self.run_task_timers(out);
        self.check_leases(out);
        self.call_workers(out);
        self.expire_tombstones();
        if self.claim_is_valid() {
            self.request_reconciliation(out);
            self.serve_waiting();
            self.run_evictions(out);
            self.poll_quotas(out);
            self.publish(out);
        }
        if self.releasing && self.starts_in_flight == 0 && !self.quotas.has_calls_in_flight() {
            self.released = true;
            out.push(GroupAction::Released);
        }
    }
}
