//! The workers of a group and the capacity that is committed on them.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::{
    agreement::Agreement,
    class::{ClassIndex, ClassTable},
    health::Health,
    id::{CallId, Incarnation, TaskId, WorkerId},
    placement::{RunningTask, WorkerView},
    size::Resources,
    time::Timestamp,
    worker::{UpstreamInfo, WorkerInfo},
};

/// Most changes of a worker's residents that are kept.
const MAX_HISTORY: usize = 256;

/// Time for which changes of a worker's residents are kept, in milliseconds.
/// Older samples cannot be attributed and are dropped.
const HISTORY_MS: u64 = 120_000;

/// Most sample digests per worker that are kept to drop duplicates.
const MAX_RECENT_SAMPLES: usize = 512;

/// The number of tasks and upstream slots on a worker, per class.
pub(super) type Residents = Vec<(ClassIndex, u16)>;

/// Which call a worker gets next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// Announce the epoch and list the tasks.
    Announce,
    /// Collect outcomes after a listing in which these tasks were missing.
    Collect { missing: Vec<TaskId>, listed_at: Timestamp },
    /// Renew leases.
    Renew,
}

/// The state that the group's owner keeps of a worker.
#[derive(Clone, Debug)]
pub(super) struct Worker {
    pub(super) id: WorkerId,
    pub(super) capacity: Resources,
    pub(super) upstreams: Vec<UpstreamInfo>,
    pub(super) leaving: bool,
    /// Since when it has been missing from the instance list, if it is.
    pub(super) absent_since: Option<Timestamp>,
    pub(super) incarnation: Option<Incarnation>,
    /// Whether it has acknowledged this owner's epoch.
    pub(super) announced: bool,
    /// Whether its tasks were listed under this epoch in its current
    /// incarnation.
    pub(super) known: bool,
    pub(super) phase: Phase,
    /// The announcement or renewal in flight.
    pub(super) call: Option<CallId>,
    /// When the next announcement or renewal is due.
    pub(super) call_at: Timestamp,
    /// When the next listing that checks unconfirmed starts is due.
    pub(super) relist_at: Option<Timestamp>,
    /// When the first failed call since the last answer was sent.
    pub(super) unreachable_since: Option<Timestamp>,
    pub(super) last_answer_at: Timestamp,
    pub(super) last_failure_at: Timestamp,
    /// When leases are next checked for expiry.
    pub(super) lease_check_at: Option<Timestamp>,
    /// The highest event sequence number in any report.
    pub(super) last_sequence: u64,
    /// Events with outcomes that no shard has acknowledged yet.
    pub(super) unacknowledged: BTreeMap<u64, TaskId>,
    /// Every attempt on this worker that the group knows of.
    pub(super) tasks: BTreeSet<TaskId>,
    resident: Residents,
    history: VecDeque<(Timestamp, Residents)>,
    recent_samples: VecDeque<u64>,
}

impl Worker {
    fn new(now: Timestamp, id: WorkerId) -> Worker {
        Worker {
            id,
            capacity: Resources::ZERO,
            upstreams: Vec::new(),
            leaving: false,
            absent_since: Some(now),
            incarnation: None,
            announced: false,
            known: false,
            phase: Phase::Announce,
            call: None,
            call_at: now,
            relist_at: None,
            unreachable_since: None,
            last_answer_at: Timestamp::default(),
            last_failure_at: Timestamp::default(),
            lease_check_at: None,
            last_sequence: 0,
            unacknowledged: BTreeMap::new(),
            tasks: BTreeSet::new(),
            resident: Residents::new(),
            history: VecDeque::new(),
            recent_samples: VecDeque::new(),
        }
    }

    /// Returns the highest sequence number that the worker need not report
    /// again: every outcome up to it is durable at its shard.
    pub(super) fn acknowledged(&self) -> u64 {
        match self.unacknowledged.first_key_value() {
            Some((sequence, _)) => sequence.saturating_sub(1).min(self.last_sequence),
            None => self.last_sequence,
        }
    }

    /// Reports whether new work could run here, quarantine aside.
    pub(super) fn is_usable(&self) -> bool {
        self.known
            && !self.leaving
            && self.absent_since.is_none()
            && self.unreachable_since.is_none()
    }

    /// Records the digest of a sample and reports whether it is new.
    pub(super) fn record_sample(&mut self, digest: u64) -> bool {
        if self.recent_samples.contains(&digest) {
            return false;
        }
        if self.recent_samples.len() == MAX_RECENT_SAMPLES {
            self.recent_samples.pop_front();
        }
        self.recent_samples.push_back(digest);
        true
    }

    /// Returns the residents at a time, if the history reaches back to it.
    pub(super) fn residents_at(&self, at: Timestamp) -> Option<&[(ClassIndex, u16)]> {
        let past = self.history.partition_point(|(since, _)| *since <= at);
        let (_, residents) = self.history.get(past.checked_sub(1)?)?;
        Some(residents)
    }

    fn record_residents(&mut self, now: Timestamp, residents: Residents) {
        while self.history.len() == MAX_HISTORY
            || self.history.get(1).is_some_and(|it| it.0.plus_ms(HISTORY_MS) < now)
        {
            self.history.pop_front();
        }
        self.history.push_back((now, residents));
    }
}

/// Changes the count of a class by `delta`.
fn adjust_count(residents: &mut Residents, class: ClassIndex, delta: i32) {
    let at = residents.iter().position(|it| it.0 == class);
    match at {
        Some(at) => {
            let number = i32::from(residents[at].1) + delta;
            if number <= 0 {
                residents.swap_remove(at);
            } else {
                residents[at].1 = number.min(i32::from(u16::MAX)) as u16;
            }
        }
        None if 0 < delta => residents.push((class, delta.min(i32::from(u16::MAX)) as u16)),
        None => {}
    }
}

/// The workers of a group. `views` is given to policies and has the same order
/// as `workers`.
#[derive(Clone, Debug, Default)]
pub(super) struct Fleet {
    pub(super) views: Vec<WorkerView>,
    pub(super) workers: Vec<Worker>,
    index: BTreeMap<WorkerId, usize>,
}

impl Fleet {
    /// Returns the position of a worker.
    pub(super) fn position(&self, id: &WorkerId) -> Option<usize> {
        self.index.get(id).copied()
    }

    /// Returns a worker.
    pub(super) fn get(&self, id: &WorkerId) -> Option<&Worker> {
        Some(&self.workers[self.position(id)?])
    }

    /// Returns a mutable reference to a worker.
    pub(super) fn get_mut(&mut self, id: &WorkerId) -> Option<&mut Worker> {
        let at = self.position(id)?;
        Some(&mut self.workers[at])
    }

    /// Returns the position of a worker. An unknown worker is added as missing
    /// from the instance list.
    pub(super) fn position_or_insert(&mut self, now: Timestamp, id: &WorkerId) -> usize {
        if let Some(at) = self.position(id) {
            return at;
        }
        let at = self.workers.len();
        self.workers.push(Worker::new(now, id.clone()));
        self.views.push(WorkerView {
            id: id.clone(),
            region: "unknown".parse().expect("a valid name"),
            domain: "unknown".parse().expect("a valid name"),
            rack: "unknown".parse().expect("a valid name"),
            capacity: Resources::ZERO,
            committed: Resources::ZERO,
            accepting: false,
            reliability: 1.0,
            residents: Residents::new(),
            tasks: Vec::new(),
        });
        self.index.insert(id.clone(), at);
        at
    }

    /// Adds or updates a worker from its entry in the instance list.
    pub(super) fn update(&mut self, now: Timestamp, info: &WorkerInfo) -> usize {
        let at = self.position_or_insert(now, &info.id);
        let worker = &mut self.workers[at];
        worker.absent_since = None;
        worker.capacity = info.capacity;
        worker.leaving = info.leaving;
        worker.upstreams.clone_from(&info.upstreams);
        let view = &mut self.views[at];
        view.region = info.region.clone();
        view.domain = info.domain.clone();
        view.rack = info.rack.clone();
        at
    }

    /// Removes workers that left the instance list and have neither tasks nor
    /// a call in flight.
    pub(super) fn remove_absent(&mut self) {
        let mut at = 0;
        while at < self.workers.len() {
            let worker = &self.workers[at];
            if worker.absent_since.is_none() || !worker.tasks.is_empty() || worker.call.is_some() {
                at += 1;
                continue;
            }
            self.index.remove(&worker.id);
            self.workers.swap_remove(at);
            self.views.swap_remove(at);
            if let Some(moved) = self.workers.get(at) {
                self.index.insert(moved.id.clone(), at);
            }
        }
    }

    /// Recomputes the capacity that is available to tasks on a worker, and its
    /// residents.
    pub(super) fn refresh_capacity(
        &mut self,
        now: Timestamp,
        at: usize,
        agreement: &Agreement,
        classes: &ClassTable,
    ) {
        let worker = &mut self.workers[at];
        let mut reserved = Resources::ZERO;
        let mut upstream_residents = Residents::new();
        for upstream in &worker.upstreams {
            if let Some(service) = agreement.services.get(&upstream.service) {
                reserved =
                    reserved.saturating_add(service.slot_resources.saturating_mul(upstream.slots));
            }
            let class = agreement
                .classes
                .values()
                .find(|it| it.service.as_ref() == Some(&upstream.service))
                .and_then(|it| classes.index_of(&it.id));
            if let Some(class) = class {
                let slots = upstream.slots.min(u32::from(u16::MAX)) as i32;
                adjust_count(&mut upstream_residents, class, slots);
            }
        }
        let view = &mut self.views[at];
        view.capacity = worker.capacity.saturating_sub(reserved);
        view.residents.clone_from(&upstream_residents);
        let classes = view.tasks.iter().map(|it| it.class);
        classes.for_each(|it| adjust_count(&mut view.residents, it, 1));
        // Upstream slots are always residents; tasks are only while they may
        // be running.
        let mut resident = upstream_residents;
        let running = view.tasks.iter().filter(|it| it.immune_until != Timestamp::MAX);
        running.for_each(|it| adjust_count(&mut resident, it.class, 1));
        if resident != worker.resident || worker.history.is_empty() {
            worker.resident.clone_from(&resident);
            worker.record_residents(now, resident);
        }
    }

    /// Recomputes whether a worker accepts work, and its reliability.
    pub(super) fn refresh_acceptance(&mut self, at: usize, health: &Health) {
        let worker = &self.workers[at];
        let view = &mut self.views[at];
        view.accepting = worker.is_usable() && !health.is_quarantined(&worker.id);
        view.reliability = health.reliability(&worker.id);
    }

    /// Commits a task's resources on a worker.
    pub(super) fn commit(&mut self, at: usize, task: RunningTask) {
        let view = &mut self.views[at];
        view.committed = view.committed.saturating_add(task.resources);
        adjust_count(&mut view.residents, task.class, 1);
        view.tasks.push(task);
    }

    /// Releases the resources that a task holds on a worker.
    pub(super) fn release(&mut self, at: usize, task: &TaskId) {
        let view = &mut self.views[at];
        let Some(found) = view.tasks.iter().position(|it| it.task == *task) else { return };
        let removed = view.tasks.swap_remove(found);
        view.committed = view.committed.saturating_sub(removed.resources);
        adjust_count(&mut view.residents, removed.class, -1);
    }

    /// Returns a mutable reference to a committed task.
    pub(super) fn committed_mut(&mut self, at: usize, task: &TaskId) -> Option<&mut RunningTask> {
        self.views[at].tasks.iter_mut().find(|it| it.task == *task)
    }

    /// Records that a task became or stopped being a resident of a worker.
    pub(super) fn set_resident(
        &mut self,
        now: Timestamp,
        at: usize,
        class: ClassIndex,
        present: bool,
    ) {
        let worker = &mut self.workers[at];
        adjust_count(&mut worker.resident, class, if present { 1 } else { -1 });
        let residents = worker.resident.clone();
        worker.record_residents(now, residents);
    }

    /// Reports whether any worker could ever hold the resources, even if they
    /// are not free now.
    pub(super) fn could_fit(&self, resources: Resources) -> bool {
        self.workers.iter().zip(&self.views).any(|(worker, view)| {
            worker.absent_since.is_none() && !worker.leaving && resources.fits_in(view.capacity)
        })
    }
}
