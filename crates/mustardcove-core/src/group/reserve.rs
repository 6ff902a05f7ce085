//! Reservations: grants, and refusals with a time to retry.
//!
//! Every request is answered at once. A refused urgent request is kept as
//! waiting for a while. Capacity that becomes free is held for it, and the
//! workers that are closest to having room for it get only urgent work, so
//! that later requests do not overtake it.

use rand::RngExt;

use super::{
    Group, GroupAction,
    config::MAX_WAITING,
    task::{Task, TaskSpec, TaskState},
};
use crate::{
    class::{ClassKind, Delivery},
    id::{ShardId, TaskId, WorkerId},
    message::{GroupToShard, ReserveRefusal, ReserveRequest},
    placement::{PlacementPolicy, PlacementRequest, WorkerIndex},
    size::Resources,
    time::Timestamp,
};

/// Most waiting urgent requests that are examined at a time.
const MAX_SERVED: usize = 16;

/// Most workers that are earmarked for waiting urgent requests.
const MAX_EARMARKED: usize = 4;

/// A refused request that its shard is expected to repeat.
#[derive(Clone, Debug)]
pub(super) struct WaitingRequest {
    pub(super) request: PlacementRequest,
    pub(super) until: Timestamp,
    /// The worker that gets no non-urgent work meanwhile.
    pub(super) earmarked: Option<WorkerId>,
}

impl<P: PlacementPolicy> Group<P> {
    /// Answers a request for capacity.
    pub(super) fn on_reserve(
        &mut self,
        from: ShardId,
        request: ReserveRequest,
        out: &mut Vec<GroupAction>,
    ) {
        let task = request.task;
        if self.tasks.contains_key(&task) {
            self.on_repeated_reserve(from, &request, out);
            return;
        }
        if self.tombstones.contains_key(&task) {
            self.refuse(from, &request, ReserveRefusal::NoRoom, out);
            return;
        }
        if !self.is_ready() {
            self.refuse_and_add_waiting(from, &request, ReserveRefusal::NotReady, out);
            return;
        }
        let Some(class) = self.classes.index_of(&request.class) else {
            // The shard may have a newer agreement than this group.
            self.refuse(from, &request, ReserveRefusal::NotReady, out);
            return;
        };
        if !self.fleet.could_fit(request.resources) {
            self.refuse(from, &request, ReserveRefusal::NeverFits, out);
            return;
        }
        let wanted = placement_request(&request, class);
        let allotted = self.quotas.fits(&request.member, request.resources);
        let choice = self.worker_for_probe(&wanted).or_else(|| self.choose(&wanted));
        if !allotted && (choice.is_some() || request.urgent) {
            self.record_demand(&request);
        }
        let Some(at) = choice else {
            self.refuse_and_add_waiting(from, &request, ReserveRefusal::NoRoom, out);
            return;
        };
        if !allotted {
            self.refuse_and_add_waiting(from, &request, ReserveRefusal::OverAllotment, out);
            return;
        }
        self.waiting.retain(|it| it.request.task != task);
        self.quotas.forget_demand(&request.member, &task);
        let deadline = self.now.plus_ms(self.cfg.reservation_ms);
        self.place(at, &wanted, TaskState::Reserved { deadline }, true);
        if let Some(it) = self.tasks.get_mut(&task) {
            it.failed_attempts = request.failed_attempts;
        }
        let worker = self.fleet.workers[at].id.clone();
        if self.health.is_quarantined(&worker) {
            self.health.set_probe(&worker, task);
        }
        self.grant(from, task, worker, deadline, out);
    }

    fn on_repeated_reserve(
        &mut self,
        from: ShardId,
        request: &ReserveRequest,
        out: &mut Vec<GroupAction>,
    ) {
        let task = request.task;
        let Some(it) = self.tasks.get(&task) else { return };
        let worker = it.worker.clone();
        let usable = self.fleet.get(&worker).is_some_and(|it| it.is_usable());
        match it.state {
            TaskState::Reserved { deadline } => self.grant(from, task, worker, deadline, out),
            TaskState::Held { .. } if !usable || !self.is_ready() => {
                self.remove_task(task);
                self.on_reserve(from, request.clone(), out);
            }
            TaskState::Held { .. } => {
                if !it.allotted && !self.charge_allotment(task) {
                    self.record_demand(request);
                    self.refuse(from, request, ReserveRefusal::OverAllotment, out);
                    return;
                }
                let deadline = self.now.plus_ms(self.cfg.reservation_ms);
                if let Some(it) = self.tasks.get_mut(&task) {
                    it.state = TaskState::Reserved { deadline };
                    it.failed_attempts = request.failed_attempts;
                }
                self.set_timer(task, Some(deadline));
                self.grant(from, task, worker, deadline, out);
            }
            // A late duplicate: the attempt was already started or has ended.
            _ => self.stats.stale_requests += 1,
        }
    }

    /// Charges a held task to its member's allotment if it fits, and reports
    /// whether it is charged.
    pub(super) fn charge_allotment(&mut self, task: TaskId) -> bool {
        let Some(it) = self.tasks.get_mut(&task) else { return false };
        let Some(spec) = &it.spec else { return false };
        if !it.allotted && self.quotas.fits(&spec.member, spec.resources) {
            self.quotas.charge(self.now, &spec.member, spec.resources);
            it.allotted = true;
        }
        it.allotted
    }

    fn grant(
        &mut self,
        to: ShardId,
        task: TaskId,
        worker: WorkerId,
        deadline: Timestamp,
        out: &mut Vec<GroupAction>,
    ) {
        self.stats.reserved += 1;
        let epoch = self.epoch;
        self.send(to, GroupToShard::Reserved { task, worker, epoch, deadline }, out);
    }

    fn refuse(
        &mut self,
        to: ShardId,
        request: &ReserveRequest,
        reason: ReserveRefusal,
        out: &mut Vec<GroupAction>,
    ) -> Timestamp {
        self.stats.count_refused(reason);
        let retry_at = self.retry_at(request, reason);
        self.send(to, GroupToShard::ReserveRefused { task: request.task, reason, retry_at }, out);
        retry_at
    }

    /// Refuses a request that its shard is expected to repeat, and keeps it as
    /// waiting.
    fn refuse_and_add_waiting(
        &mut self,
        to: ShardId,
        request: &ReserveRequest,
        reason: ReserveRefusal,
        out: &mut Vec<GroupAction>,
    ) {
        let retry_at = self.refuse(to, request, reason, out);
        self.add_waiting(request, reason, retry_at.plus_ms(self.cfg.hold_ms));
    }

    /// Returns when a retry may succeed. Jitter prevents requests that were
    /// refused together from being repeated together.
    fn retry_at(&mut self, request: &ReserveRequest, reason: ReserveRefusal) -> Timestamp {
        let (from, delay_ms) = match reason {
            ReserveRefusal::NoRoom if request.urgent => (self.now, 250),
            ReserveRefusal::NoRoom => (self.now, 1_000),
            ReserveRefusal::NotReady => (self.now, 250),
            ReserveRefusal::NeverFits => (self.now, 30_000),
            ReserveRefusal::OverAllotment => {
                let call_at = self.quotas.next_call_at(self.now, &request.member);
                (call_at, if request.urgent { 50 } else { 200 })
            }
        };
        from.plus_ms(delay_ms + self.rng.random_range(0..=delay_ms / 4))
    }

    fn record_demand(&mut self, request: &ReserveRequest) {
        let ReserveRequest { task, member, resources, urgent, queued_since, .. } = request;
        self.quotas.record_demand(self.now, member, *task, *resources, *urgent, *queued_since);
    }

    /// Keeps a refused request as waiting. If the list is full, an urgent
    /// request replaces one that is not urgent.
    fn add_waiting(&mut self, request: &ReserveRequest, reason: ReserveRefusal, until: Timestamp) {
        let Some(class) = self.classes.index_of(&request.class) else { return };
        self.waiting.retain(|it| it.request.task != request.task);
        if self.waiting.len() == MAX_WAITING {
            let victim = self.waiting.iter().position(|it| !it.request.urgent);
            match victim {
                Some(victim) if request.urgent => {
                    self.waiting.remove(victim);
                }
                _ => return,
            }
        }
        let request = placement_request(request, class);
        let urgent = request.urgent;
        self.waiting.push(WaitingRequest { request, until, earmarked: None });
        if urgent {
            // An eviction may free capacity for it, or capacity is free but
            // the group was not ready yet.
            self.recheck_waiting |= reason == ReserveRefusal::NotReady;
            self.evict_at = Some(self.now);
            self.earmark();
        }
    }

    /// Returns the policy's choice, unless it violates the policy's contract.
    /// Earmarked workers are offered only for urgent requests.
    pub(super) fn choose(&mut self, request: &PlacementRequest) -> Option<WorkerIndex> {
        let mut hidden = Vec::new();
        if !request.urgent {
            for waiting in &self.waiting {
                let at = waiting.earmarked.as_ref().and_then(|it| self.fleet.position(it));
                if let Some(at) = at.filter(|it| self.fleet.views[*it].accepting) {
                    self.fleet.views[at].accepting = false;
                    hidden.push(at);
                }
            }
        }
        let choice = self.policy.choose(self.now, &self.classes, request, &self.fleet.views);
        hidden.into_iter().for_each(|at| self.fleet.views[at].accepting = true);
        let view = self.fleet.views.get(choice?)?;
        let allowed = view.accepting && request.resources.fits_in(view.free());
        if !allowed {
            self.stats.policy_errors += 1;
        }
        choice.filter(|_| allowed)
    }

    /// Returns a quarantined worker whose next probe is due, if the request
    /// may serve as the probe: it is not urgent, and its work may be repeated.
    fn worker_for_probe(&self, request: &PlacementRequest) -> Option<WorkerIndex> {
        if !self.health.has_quarantined() || request.urgent {
            return None;
        }
        let class = self.classes.get(request.class);
        if class.kind != ClassKind::Batch || class.delivery == Delivery::AtMostOnce {
            return None;
        }
        let mut workers = self.fleet.workers.iter().zip(&self.fleet.views);
        workers.position(|(worker, view)| {
            worker.is_usable()
                && self.health.is_probe_due(self.now, &worker.id)
                && !request.avoid_workers.contains(&worker.id)
                && request.resources.fits_in(view.free())
        })
    }

    /// Adds a task for a request and commits its resources on a worker.
    pub(super) fn place(
        &mut self,
        at: WorkerIndex,
        request: &PlacementRequest,
        state: TaskState,
        allot: bool,
    ) {
        let task = request.task;
        let until = match state {
            TaskState::Held { until } => Some(until),
            TaskState::Reserved { deadline } => Some(deadline),
            _ => None,
        };
        let worker = self.fleet.workers[at].id.clone();
        let spec = TaskSpec {
            member: request.member.clone(),
            class: request.class,
            resources: request.resources,
        };
        let shard = task.job.shard(self.cfg.shards);
        let it = Task::new(worker, shard, Some(spec), state);
        let view = self.running_task(task, &it, self.now, request.expected_run_ms, Timestamp::MAX);
        self.insert_task(task, it);
        if let Some(view) = view {
            self.charge(task, view, allot);
        }
        self.set_timer(task, until);
    }

    /// Holds capacity for waiting urgent requests after capacity or allotment
    /// became free.
    pub(super) fn serve_waiting(&mut self) {
        let now = self.now;
        self.waiting.retain(|it| now < it.until);
        if !std::mem::take(&mut self.recheck_waiting) || self.waiting.is_empty() || !self.is_ready()
        {
            return;
        }
        let urgent = self.waiting.iter().filter(|it| it.request.urgent);
        let mut urgent: Vec<(PlacementRequest, Timestamp)> =
            urgent.map(|it| (it.request.clone(), it.until)).collect();
        urgent.sort_by_key(|(it, _)| it.queued_since);
        for (request, until) in urgent.into_iter().take(MAX_SERVED) {
            if !self.quotas.fits(&request.member, request.resources) {
                continue;
            }
            let Some(at) = self.choose(&request) else { continue };
            self.place(at, &request, TaskState::Held { until }, true);
            self.waiting.retain(|it| it.request.task != request.task);
        }
        self.earmark();
    }

    /// Earmarks workers for waiting urgent requests: for each request, the
    /// worker that could hold it and lacks the least free capacity.
    fn earmark(&mut self) {
        let mut chosen: Vec<usize> = Vec::new();
        for waiting in &mut self.waiting {
            waiting.earmarked = None;
            if !waiting.request.urgent || chosen.len() == MAX_EARMARKED {
                continue;
            }
            let need = waiting.request.resources;
            let views = self.fleet.views.iter().enumerate();
            let fitting = views.filter(|(at, it)| {
                it.accepting && need.fits_in(it.capacity) && !chosen.contains(at)
            });
            let best = fitting.max_by_key(|(_, it)| shortfall(need, it.free()));
            if let Some((at, view)) = best {
                chosen.push(at);
                waiting.earmarked = Some(view.id.clone());
            }
        }
    }

    /// Handles the message of a shard that a reservation will not be used.
    pub(super) fn on_release_task(&mut self, task: TaskId) {
        if self.tasks.get(&task).is_some_and(Task::is_reserved) {
            self.remove_task(task);
        }
        let found = self.waiting.iter().position(|it| it.request.task == task);
        if let Some(at) = found {
            let removed = self.waiting.remove(at);
            self.quotas.forget_demand(&removed.request.member, &task);
        }
    }
}

/// Returns a sort key that ranks workers by how little free capacity they lack
/// for a request.
fn shortfall(need: Resources, free: Resources) -> std::cmp::Reverse<(u32, u64, u64)> {
    let short = need.saturating_sub(free);
    std::cmp::Reverse((short.accelerators.0, short.cpu.0, short.memory.0))
}

fn placement_request(
    request: &ReserveRequest,
    class: crate::class::ClassIndex,
) -> PlacementRequest {
    PlacementRequest {
        task: request.task,
        class,
        member: request.member.clone(),
        resources: request.resources,
        expected_run_ms: request.expected_run_ms,
        urgent: request.urgent,
        avoid_workers: request.avoid_workers.clone(),
        queued_since: request.queued_since,
    }
}
