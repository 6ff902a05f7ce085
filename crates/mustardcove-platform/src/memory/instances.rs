//! The instance list in memory, with lag and outages that tests set.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use mustardcove_core::{id::WorkerId, time::Timestamp, worker::WorkerInfo};

use crate::{
    clock::Clock,
    instances::{InstanceList, InstanceSnapshot, ListError, OwnInstance},
};

#[derive(Debug)]
struct Inner {
    current: InstanceSnapshot,
    /// Earlier lists, oldest first, with the time at which each was replaced.
    earlier: VecDeque<(Timestamp, InstanceSnapshot)>,
    lag: Duration,
    outage: bool,
    fetches: u64,
}

/// A list of instances in memory; clones share the same list.
#[derive(Clone, Debug)]
pub struct MemoryInstances {
    inner: Arc<Mutex<Inner>>,
    clock: Clock,
}

impl MemoryInstances {
    /// Returns an empty list.
    pub fn new(clock: Clock) -> MemoryInstances {
        let inner = Inner {
            current: InstanceSnapshot::default(),
            earlier: VecDeque::new(),
            lag: Duration::ZERO,
            outage: false,
            fetches: 0,
        };
        MemoryInstances { inner: Arc::new(Mutex::new(inner)), clock }
    }

    /// Sets the age of the list that a fetch returns.
    pub fn set_lag(&self, lag: Duration) {
        self.lock().lag = lag;
    }

    /// Sets whether every fetch fails.
    pub fn set_outage(&self, outage: bool) {
        self.lock().outage = outage;
    }

    /// Returns how often the list was fetched.
    pub fn fetches(&self) -> u64 {
        self.lock().fetches
    }

    /// Adds a worker or replaces the one with the same id.
    pub fn upsert_worker(&self, worker: WorkerInfo) {
        self.change_workers(|workers| {
            workers.retain(|it| it.id != worker.id);
            workers.push(worker);
        });
    }

    /// Replaces all workers.
    pub fn set_workers(&self, list: Vec<WorkerInfo>) {
        self.change_workers(|workers| *workers = list);
    }

    /// Removes a worker.
    pub fn remove_worker(&self, id: &WorkerId) {
        self.change_workers(|workers| workers.retain(|it| it.id != *id));
    }

    /// Marks a worker as leaving or not.
    pub fn mark_leaving(&self, id: &WorkerId, leaving: bool) {
        self.change_workers(|workers| {
            workers.iter_mut().filter(|it| it.id == *id).for_each(|it| it.leaving = leaving);
        });
    }

    /// Adds one of the scheduler's own instances or replaces the one with the
    /// same name.
    pub fn upsert_own(&self, instance: OwnInstance) {
        self.change_own(|own| {
            own.retain(|it| it.name != instance.name);
            own.push(instance);
        });
    }

    /// Removes one of the scheduler's own instances.
    pub fn remove_own(&self, name: &str) {
        self.change_own(|own| own.retain(|it| it.name != name));
    }

    fn change_workers(&self, change: impl FnOnce(&mut Vec<WorkerInfo>)) {
        let now = self.clock.now();
        let mut inner = self.lock();
        let mut workers = inner.current.workers.to_vec();
        change(&mut workers);
        let next = InstanceSnapshot { workers: workers.into(), ..inner.current.clone() };
        inner.replace(now, next);
    }

    fn change_own(&self, change: impl FnOnce(&mut Vec<OwnInstance>)) {
        let now = self.clock.now();
        let mut inner = self.lock();
        let mut own = inner.current.own.to_vec();
        change(&mut own);
        let next = InstanceSnapshot { own: own.into(), ..inner.current.clone() };
        inner.replace(now, next);
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(|it| it.into_inner())
    }
}

impl Inner {
    fn replace(&mut self, now: Timestamp, mut next: InstanceSnapshot) {
        next.version = self.current.version + 1;
        let replaced = std::mem::replace(&mut self.current, next);
        self.earlier.push_back((now, replaced));
        if MAX_EARLIER_LISTS < self.earlier.len() {
            self.earlier.pop_front();
        }
    }

    /// Returns the list that was current at `time`.
    fn as_of(&self, time: Timestamp) -> &InstanceSnapshot {
        let earlier = self.earlier.iter().find(|(replaced_at, _)| time < *replaced_at);
        earlier.map_or(&self.current, |(_, list)| list)
    }
}

/// Number of earlier lists that are kept for fetches with a lag.
const MAX_EARLIER_LISTS: usize = 256;

impl InstanceList for MemoryInstances {
    async fn fetch(&self) -> Result<InstanceSnapshot, ListError> {
        let now = self.clock.now();
        let mut inner = self.lock();
        inner.fetches += 1;
        if inner.outage {
            return Err(ListError::new("the list does not answer"));
        }
        Ok(inner.as_of(now.minus_ms(inner.lag.as_millis() as u64)).clone())
    }
}
