//! Table of the guarded requests that this process dispatches.
//!
//! The shard owner binds a guarded request (exclusive or at-most-once) to an
//! entry process. After a lost answer to `Admit`, the shard shows an attempt
//! that is bound to this process, and this process must know whether it already
//! dispatched that attempt. The table records this. It ensures that each attempt
//! is dispatched at most once, in ascending order, by one task at a time.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard},
};

use mustardcove_core::{
    id::{AttemptNumber, JobId},
    time::Timestamp,
};

/// Number of records at which expired ones are removed.
const CLEANUP_THRESHOLD: usize = 1_024;

#[derive(Debug)]
struct Record {
    active: bool,
    last_dispatched: AttemptNumber,
    expires_at: Timestamp,
}

/// Table of guarded requests, by job; clones share it.
#[derive(Clone, Debug, Default)]
pub struct DispatchTable {
    records: Arc<Mutex<HashMap<JobId, Record>>>,
}

/// Exclusive permit to dispatch attempts of one job.
#[derive(Debug)]
pub struct DispatchPermit {
    table: DispatchTable,
    job: JobId,
}

impl DispatchTable {
    /// Returns the permit to dispatch attempts of a job, or `None` if another
    /// task of this process holds it.
    ///
    /// The record is kept until `expires_at`, after which no attempt that was
    /// dispatched earlier can still be bound.
    pub fn try_acquire(
        &self,
        now: Timestamp,
        job: JobId,
        expires_at: Timestamp,
    ) -> Option<DispatchPermit> {
        let mut records = self.lock();
        if CLEANUP_THRESHOLD <= records.len() {
            records.retain(|_, it| it.active || now < it.expires_at);
        }
        let record = records.entry(job).or_insert(Record {
            active: false,
            last_dispatched: AttemptNumber(0),
            expires_at,
        });
        if record.active {
            return None;
        }
        record.active = true;
        record.expires_at = record.expires_at.max(expires_at);
        Some(DispatchPermit { table: self.clone(), job })
    }

    /// Returns the number of records.
    pub fn len(&self) -> usize {
        self.lock().len()
    }

    /// Reports whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.lock().is_empty()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<JobId, Record>> {
        self.records.lock().unwrap_or_else(|it| it.into_inner())
    }
}

impl DispatchPermit {
    /// Reports whether the attempt may be dispatched, and if so records it as
    /// dispatched.
    pub fn try_dispatch(&self, attempt: AttemptNumber) -> bool {
        let mut records = self.table.lock();
        let Some(record) = records.get_mut(&self.job) else { return false };
        if attempt <= record.last_dispatched {
            return false;
        }
        record.last_dispatched = attempt;
        true
    }
}

impl Drop for DispatchPermit {
    fn drop(&mut self) {
        if let Some(record) = self.table.lock().get_mut(&self.job) {
            record.active = false;
        }
    }
}
