//! A test double of a worker, and a first-fit placement policy.

// Every test file compiles its own copy and uses only a part of it.
#![allow(dead_code, unreachable_pub)]

use std::collections::BTreeMap;

use bytes::Bytes;
use mustardcove_core::{
    class::{ClassIndex, ClassTable},
    id::{Epoch, Incarnation, TaskId, WorkerId},
    job::Checkpoint,
    placement::{EvictionChoice, PlacementPolicy, PlacementRequest, WorkerIndex, WorkerView},
    size::Resources,
    time::Timestamp,
    worker::{
        StopMode, TaskEvent, TaskStatus, UpstreamInfo, UsageSample, WorkerError, WorkerInfo,
        WorkerOp, WorkerReply, WorkerReport, WorkerResult,
    },
};

/// Returns the entry of a worker in the instance list.
pub fn worker_info(id: &str, cores: u64, slots: u32) -> WorkerInfo {
    WorkerInfo {
        id: id.parse().unwrap(),
        address: "127.0.0.1:1".to_owned(),
        region: "r".parse().unwrap(),
        domain: "d".parse().unwrap(),
        rack: "rack-0".parse().unwrap(),
        capacity: Resources::new(cores * 1_000, cores * 1_024, 0),
        leaving: false,
        upstreams: vec![UpstreamInfo {
            service: "press".parse().unwrap(),
            address: "127.0.0.1:2".to_owned(),
            slots,
            connections: 8,
        }],
    }
}

/// A worker that enforces the leases of its tasks by its own clock.
#[derive(Clone, Debug)]
pub struct WorkerDouble {
    pub info: WorkerInfo,
    /// Offset of its clock from the test's clock, in milliseconds.
    pub clock_error: i64,
    pub incarnation: Incarnation,
    pub epoch: Epoch,
    pub tasks: BTreeMap<TaskId, TaskStatus>,
    /// When tasks run to their end, by the test's clock.
    pub ends: BTreeMap<TaskId, Timestamp>,
    pub events: Vec<(u64, TaskId, TaskEvent)>,
    pub sequence: u64,
    /// Whether every task that it starts fails.
    pub broken: bool,
    /// Every start that took effect.
    pub started: Vec<TaskId>,
}

impl WorkerDouble {
    pub fn new(info: WorkerInfo, clock_error: i64) -> WorkerDouble {
        WorkerDouble {
            info,
            clock_error,
            incarnation: Incarnation(1),
            epoch: Epoch(0),
            tasks: BTreeMap::new(),
            ends: BTreeMap::new(),
            events: Vec::new(),
            sequence: 0,
            broken: false,
            started: Vec::new(),
        }
    }

    pub fn id(&self) -> WorkerId {
        self.info.id.clone()
    }

    fn local(&self, now: Timestamp) -> Timestamp {
        Timestamp(now.0.saturating_add_signed(self.clock_error))
    }

    /// Returns the sum of the resources of its tasks.
    pub fn used(&self) -> Resources {
        let held = self.tasks.values().map(|it| it.resources);
        held.fold(Resources::ZERO, Resources::saturating_add)
    }

    /// Restarts the worker, which loses its tasks and all other state.
    pub fn restart(&mut self) {
        self.incarnation = self.incarnation.next();
        self.epoch = Epoch(0);
        self.tasks.clear();
        self.ends.clear();
        self.events.clear();
        self.sequence = 0;
    }

    /// Ends a task with an event.
    pub fn end(&mut self, task: TaskId, event: TaskEvent) {
        if self.tasks.remove(&task).is_some() {
            self.ends.remove(&task);
            self.push(task, event);
        }
    }

    pub fn push(&mut self, task: TaskId, event: TaskEvent) {
        self.sequence += 1;
        self.events.push((self.sequence, task, event));
    }

    /// Ends tasks whose work is done or whose lease has expired.
    pub fn run(&mut self, now: Timestamp) {
        let local = self.local(now);
        let tasks: Vec<(TaskId, Timestamp)> =
            self.tasks.iter().map(|(task, it)| (*task, it.lease_until)).collect();
        for (task, lease_until) in tasks {
            let done = self.ends.get(&task).is_some_and(|it| *it <= now);
            if lease_until <= local {
                self.end(task, TaskEvent::Stopped { checkpoint: None });
            } else if done && self.broken {
                self.end(task, TaskEvent::Failed { detail: "disk error".to_owned() });
            } else if done {
                self.end(task, TaskEvent::Succeeded { result: Bytes::from_static(b"ok") });
            }
        }
    }

    pub fn report(&self) -> WorkerReport {
        WorkerReport {
            worker: self.id(),
            incarnation: self.incarnation,
            sequence: self.sequence,
            events: self.events.clone(),
            samples: Vec::new(),
        }
    }

    /// Executes a call.
    pub fn execute(&mut self, now: Timestamp, op: &WorkerOp) -> WorkerResult {
        let epoch = match op {
            WorkerOp::Announce { epoch }
            | WorkerOp::Start { epoch, .. }
            | WorkerOp::Renew { epoch, .. }
            | WorkerOp::Stop { epoch, .. }
            | WorkerOp::Throttle { epoch, .. } => *epoch,
        };
        if epoch < self.epoch {
            return Err(WorkerError::StaleEpoch { current: self.epoch });
        }
        match op {
            WorkerOp::Announce { epoch } => {
                self.epoch = *epoch;
                let tasks = self.tasks.values().cloned().collect();
                Ok(WorkerReply::Announced { incarnation: self.incarnation, tasks })
            }
            WorkerOp::Start { start, lease_until, .. } => {
                let local = self.local(now);
                let known = self.events.iter().any(|it| it.1 == start.task);
                if known || self.tasks.contains_key(&start.task) {
                    return Ok(WorkerReply::Started { incarnation: self.incarnation });
                }
                if *lease_until <= local {
                    return Err(WorkerError::Refused { detail: "lease has expired".to_owned() });
                }
                let status = TaskStatus {
                    task: start.task,
                    member: start.member.clone(),
                    class: start.class.clone(),
                    resources: start.resources,
                    started_at: local,
                    lease_until: *lease_until,
                    checkpoint: None,
                };
                self.tasks.insert(start.task, status);
                self.started.push(start.task);
                if let Some(run_ms) = start.payload.first() {
                    let run_ms = u64::from(*run_ms) * 50;
                    self.ends.insert(start.task, now.plus_ms(run_ms));
                }
                Ok(WorkerReply::Started { incarnation: self.incarnation })
            }
            WorkerOp::Renew { tasks, lease_until, acknowledged, .. } => {
                self.events.retain(|it| *acknowledged < it.0);
                let mut unknown = Vec::new();
                for task in tasks {
                    match self.tasks.get_mut(task) {
                        Some(it) => it.lease_until = it.lease_until.max(*lease_until),
                        None => unknown.push(*task),
                    }
                }
                Ok(WorkerReply::Renewed { unknown, report: self.report() })
            }
            WorkerOp::Stop { task, mode, .. } => {
                let checkpoint = match mode {
                    StopMode::Checkpoint => {
                        Some(Checkpoint { token: "saved".to_owned(), progress_permille: 500 })
                    }
                    StopMode::Kill => None,
                };
                self.end(*task, TaskEvent::Stopped { checkpoint });
                Ok(WorkerReply::Stopping)
            }
            WorkerOp::Throttle { .. } => Ok(WorkerReply::Throttled),
        }
    }
}

/// Places a task on the first worker that has room, and evicts tasks only for
/// urgent requests.
#[derive(Clone, Debug, Default)]
pub struct FirstFit {
    /// Samples with the residents to which they were attributed.
    pub observed: Vec<(UsageSample, Vec<(ClassIndex, u16)>)>,
}

impl PlacementPolicy for FirstFit {
    fn choose(
        &mut self,
        _now: Timestamp,
        _classes: &ClassTable,
        request: &PlacementRequest,
        workers: &[WorkerView],
    ) -> Option<WorkerIndex> {
        let fits = |it: &WorkerView| it.accepting && request.resources.fits_in(it.free());
        let preferred = |it: &WorkerView| fits(it) && !request.avoid_workers.contains(&it.id);
        workers.iter().position(preferred).or_else(|| workers.iter().position(fits))
    }

    fn observe(
        &mut self,
        _now: Timestamp,
        _classes: &ClassTable,
        sample: &UsageSample,
        residents: &[(ClassIndex, u16)],
        _capacity: Resources,
    ) {
        self.observed.push((sample.clone(), residents.to_vec()));
    }

    fn choose_evictions(
        &mut self,
        now: Timestamp,
        classes: &ClassTable,
        workers: &[WorkerView],
        waiting: &[PlacementRequest],
    ) -> Vec<EvictionChoice> {
        let Some(urgent) = waiting.iter().find(|it| it.urgent) else { return Vec::new() };
        if workers.iter().flat_map(|it| &it.tasks).any(|it| it.stopping) {
            return Vec::new();
        }
        for (worker, view) in workers.iter().enumerate().filter(|(_, it)| it.accepting) {
            let evictable = view.tasks.iter().filter(|it| {
                classes.get(it.class).evictable && !it.stopping && it.immune_until <= now
            });
            if let Some(task) = evictable.map(|it| it.task).next()
                && urgent.resources.fits_in(view.capacity)
            {
                return vec![EvictionChoice { worker, task, for_urgent: true }];
            }
        }
        Vec::new()
    }

    fn export(&self) -> Bytes {
        Bytes::new()
    }

    fn import(&mut self, _now: Timestamp, _table: &Bytes) {}
}
