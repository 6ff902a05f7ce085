//! Workers of a group and the capacity committed on them.

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

/// Most changes of a worker's residents that are remembered.
const MAX_HISTORY: usize = 256;

/// Time for which changes of a worker's residents are remembered, in
/// milliseconds; older samples are dropped.
const HISTORY_MS: u64 = 120_000;

/// Most samples per worker that are remembered in order to drop repetitions.
const MAX_SEEN_SAMPLES: usize = 512;

/// Which tasks and upstreams share a worker, per class.
pub(super) type Residents = Vec<(ClassIndex, u16)>;

/// What is called next on a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// The epoch is announced and the tasks are listed.
    Announce,
    /// Outcomes are collected after a listing that missed these tasks.
    Collect { missing: Vec<TaskId>, listed_at: Timestamp },
    /// Leases are renewed.
    Renew,
}

/// A worker as its group's owner deals with it.
#[derive(Clone, Debug)]
pub(super) struct Worker {
    pub(super) id: WorkerId,
    pub(super) capacity: Resources,
    pub(super) upstreams: Vec<UpstreamInfo>,
    pub(super) leaving: bool,
    /// Since when it is missing from the instance list, if it is.
    pub(super) absent_since: Option<Timestamp>,
    pub(super) incarnation: Option<Incarnation>,
    /// Whether it acknowledged this owner's epoch.
    pub(super) announced: bool,
    /// Whether it was listed under this epoch in its present incarnation.
    pub(super) known: bool,
    pub(super) phase: Phase,
    /// The announcement or renewal in flight.
    pub(super) call: Option<CallId>,
    /// When the next announcement or renewal is made.
    pub(super) call_at: Timestamp,
    /// When a listing is wanted for the sake of unconfirmed starts.
    pub(super) audit_at: Option<Timestamp>,
    /// The send time of the first failed call since the last answer.
    pub(super) unreachable_since: Option<Timestamp>,
    pub(super) last_answer_at: Timestamp,
    pub(super) last_failure_at: Timestamp,
    /// When the passing of leases is examined next.
    pub(super) evidence_at: Option<Timestamp>,
    /// The newest event sequence number in a report.
    pub(super) seen: u64,
    /// Events with outcomes that no shard has acknowledged yet.
    pub(super) pending: BTreeMap<u64, TaskId>,
    /// Every attempt that the group knows on this worker.
    pub(super) tasks: BTreeSet<TaskId>,
    resident: Residents,
    history: VecDeque<(Timestamp, Residents)>,
    seen_samples: VecDeque<u64>,
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
            audit_at: None,
            unreachable_since: None,
            last_answer_at: Timestamp::default(),
            last_failure_at: Timestamp::default(),
            evidence_at: None,
            seen: 0,
            pending: BTreeMap::new(),
            tasks: BTreeSet::new(),
            resident: Residents::new(),
            history: VecDeque::new(),
            seen_samples: VecDeque::new(),
        }
    }

    /// Returns the newest event that need not be reported again: every outcome
    /// up to it is durable at its shard.
    pub(super) fn acknowledged(&self) -> u64 {
        match self.pending.first_key_value() {
            Some((sequence, _)) => sequence.saturating_sub(1).min(self.seen),
            None => self.seen,
        }
    }

    /// Reports whether new work could run here, apart from trust.
    pub(super) fn is_usable(&self) -> bool {
        self.known
            && !self.leaving
            && self.absent_since.is_none()
            && self.unreachable_since.is_none()
    }

    /// Notes a sample and reports whether it is new.
    pub(super) fn note_sample(&mut self, digest: u64) -> bool {
        if self.seen_samples.contains(&digest) {
            return false;
        }
        if self.seen_samples.len() == MAX_SEEN_SAMPLES {
            self.seen_samples.pop_front();
        }
        self.seen_samples.push_back(digest);
        true
    }

    /// Returns what shared the worker at a time, if that is remembered.
    pub(super) fn residents_at(&self, at: Timestamp) -> Option<&[(ClassIndex, u16)]> {
        let past = self.history.partition_point(|(since, _)| *since <= at);
        let (_, residents) = self.history.get(past.checked_sub(1)?)?;
        Some(residents)
    }

    fn remember_residents(&mut self, now: Timestamp, residents: Residents) {
        while self.history.len() == MAX_HISTORY
            || self.history.get(1).is_some_and(|it| it.0.plus_ms(HISTORY_MS) < now)
        {
            self.history.pop_front();
        }
        self.history.push_back((now, residents));
    }
}

/// Adds to or takes from the count of a class.
fn count(residents: &mut Residents, class: ClassIndex, delta: i32) {
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

/// The workers of a group. `views` is what policies see and has the same order
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

    /// Returns a worker for change.
    pub(super) fn get_mut(&mut self, id: &WorkerId) -> Option<&mut Worker> {
        let at = self.position(id)?;
        Some(&mut self.workers[at])
    }

    /// Returns the position of a worker, which is added as missing from the
    /// instance list if it is not known.
    pub(super) fn position_or_absent(&mut self, now: Timestamp, id: &WorkerId) -> usize {
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
            trust: 1.0,
            residents: Residents::new(),
            tasks: Vec::new(),
        });
        self.index.insert(id.clone(), at);
        at
    }

    /// Takes over a worker's entry in the instance list.
    pub(super) fn update(&mut self, now: Timestamp, info: &WorkerInfo) -> usize {
        let at = self.position_or_absent(now, &info.id);
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

    /// Removes workers that left the instance list and hold nothing.
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

    /// Recomputes what tasks may hold on a worker and what upstreams count as
    /// its residents.
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
                reserved = reserved.saturating_add(service.slot_resources.times(upstream.slots));
            }
            let class = agreement
                .classes
                .values()
                .find(|it| it.service.as_ref() == Some(&upstream.service))
                .and_then(|it| classes.index_of(&it.id));
            if let Some(class) = class {
                let slots = upstream.slots.min(u32::from(u16::MAX)) as i32;
                count(&mut upstream_residents, class, slots);
            }
        }
        let view = &mut self.views[at];
        view.capacity = worker.capacity.saturating_sub(reserved);
        view.residents.clone_from(&upstream_residents);
        let classes = view.tasks.iter().map(|it| it.class);
        classes.for_each(|it| count(&mut view.residents, it, 1));
        // Slots are residents at all times; tasks are while they may run.
        let mut resident = upstream_residents;
        let running = view.tasks.iter().filter(|it| it.immune_until != Timestamp::MAX);
        running.for_each(|it| count(&mut resident, it.class, 1));
        if resident != worker.resident || worker.history.is_empty() {
            worker.resident.clone_from(&resident);
            worker.remember_residents(now, resident);
        }
    }

    /// Recomputes whether a worker accepts work and how far it is trusted.
    pub(super) fn refresh_acceptance(&mut self, at: usize, health: &Health) {
        let worker = &self.workers[at];
        let view = &mut self.views[at];
        view.accepting = worker.is_usable() && !health.is_quarantined(&worker.id);
        view.trust = health.trust(&worker.id);
    }

    /// Charges a task's resources to a worker.
    pub(super) fn commit(&mut self, at: usize, task: RunningTask) {
        let view = &mut self.views[at];
        view.committed = view.committed.saturating_add(task.resources);
        count(&mut view.residents, task.class, 1);
        view.tasks.push(task);
    }

    /// Gives back what a task holds on a worker.
    pub(super) fn uncommit(&mut self, at: usize, task: &TaskId) {
        let view = &mut self.views[at];
        let Some(found) = view.tasks.iter().position(|it| it.task == *task) else { return };
        let gone = view.tasks.swap_remove(found);
        view.committed = view.committed.saturating_sub(gone.resources);
        count(&mut view.residents, gone.class, -1);
    }

    /// Returns a committed task for change.
    pub(super) fn committed_mut(&mut self, at: usize, task: &TaskId) -> Option<&mut RunningTask> {
        self.views[at].tasks.iter_mut().find(|it| it.task == *task)
    }

    /// Notes that a task began or ended to share a worker.
    pub(super) fn set_resident(
        &mut self,
        now: Timestamp,
        at: usize,
        class: ClassIndex,
        present: bool,
    ) {
        let worker = &mut self.workers[at];
        count(&mut worker.resident, class, if present { 1 } else { -1 });
        let residents = worker.resident.clone();
        worker.remember_residents(now, residents);
    }

    /// Reports whether some worker could ever hold the resources.
    pub(super) fn could_fit(&self, resources: Resources) -> bool {
        self.workers.iter().zip(&self.views).any(|(worker, view)| {
            worker.absent_since.is_none() && !worker.leaving && resources.fits_in(view.capacity)
        })
    }
}
