//! Guarded requests under way at this process.
//!
//! A guarded request (exclusive or at-most-once) is bound to an entry process
//! by the shard owner. When the answer to `Admit` is lost, the shard shows an
//! attempt bound to this process, and this process has to know whether it has
//! dispatched that attempt. The table below is what it knows: attempts are
//! dispatched at most once, in rising order, by one task at a time.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard},
};

use mustardcove_core::{
    id::{AttemptNumber, JobId},
    time::Timestamp,
};

/// Records that are kept before expired ones are removed.
const SWEEP_AT: usize = 1_024;

#[derive(Debug)]
struct Record {
    active: bool,
    dispatched: AttemptNumber,
    expires_at: Timestamp,
}

/// Guarded requests under way.
#[derive(Clone, Debug, Default)]
pub struct Flights {
    records: Arc<Mutex<HashMap<JobId, Record>>>,
}

/// The right to dispatch attempts of one job.
#[derive(Debug)]
pub struct Flight {
    flights: Flights,
    job: JobId,
}

impl Flights {
    /// Returns the right to dispatch attempts of a job, or `None` if another
    /// task of this process holds it.
    ///
    /// The record is kept until `expires_at`, after which no attempt that was
    /// dispatched before can still be bound.
    pub fn begin(&self, now: Timestamp, job: JobId, expires_at: Timestamp) -> Option<Flight> {
        let mut records = self.lock();
        if SWEEP_AT <= records.len() {
            records.retain(|_, it| it.active || now < it.expires_at);
        }
        let record = records.entry(job).or_insert(Record {
            active: false,
            dispatched: AttemptNumber(0),
            expires_at,
        });
        if record.active {
            return None;
        }
        record.active = true;
        record.expires_at = record.expires_at.max(expires_at);
        Some(Flight { flights: self.clone(), job })
    }

    /// Returns how many records are kept.
    pub fn len(&self) -> usize {
        self.lock().len()
    }

    /// Reports whether no record is kept.
    pub fn is_empty(&self) -> bool {
        self.lock().is_empty()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<JobId, Record>> {
        self.records.lock().unwrap_or_else(|it| it.into_inner())
    }
}

impl Flight {
    /// Reports whether the attempt may be dispatched, and records that it is.
    pub fn try_dispatch(&self, attempt: AttemptNumber) -> bool {
        let mut records = self.flights.lock();
        let Some(record) = records.get_mut(&self.job) else { return false };
        if attempt <= record.dispatched {
            return false;
        }
        record.dispatched = attempt;
        true
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        if let Some(record) = self.flights.lock().get_mut(&self.job) {
            record.active = false;
        }
    }
}
