//! Workers that are slow for a while after they begin or come back into use.
//!
//! Load pattern: a whole failure domain is empty and cold at once, when its
//! evacuation ends, and all work that waits would start there. A cold worker
//! therefore gets new work step by step, and batch work that has little time to
//! spare goes elsewhere if it can. See `docs/design/evacuation.md`.

use super::{Planner, workers::Worker};
use crate::{
    fleet::id::Revision,
    id::{FailureDomainId, WorkerId},
    time::Timestamp,
};

/// Share of its capacity that a worker gets at most when it begins to be cold, in
/// percent.
const FIRST_PERCENT: u64 = 50;
/// Steps in which that share grows, in percent: after each one, what fits nowhere
/// is tried on the worker again.
const PERCENT_STEP: u64 = 10;

/// A worker that is slow, as service discovery says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ColdEntry {
    /// The worker.
    pub worker: WorkerId,
    /// The revision of its entry. The entry says how long the worker is slow from
    /// its writing on, so only the first reading of each tells when that ends.
    pub revision: Revision,
    /// When it is no longer slow.
    pub until: Timestamp,
}

/// For how long a worker is slow.
#[derive(Clone, Copy, Debug)]
pub(super) struct Warmup {
    /// The revision of the entry that was read last, and the end that it names.
    entry: (Revision, Timestamp),
    /// When it no longer counts as slow because of an evacuation that has ended.
    slack_until: Timestamp,
    since: Option<Timestamp>,
    /// The share of its capacity that it gets at most; 100 if it is not slow.
    percent: u64,
}

impl Default for Warmup {
    fn default() -> Warmup {
        Warmup {
            entry: (Revision::default(), Timestamp::default()),
            slack_until: Timestamp::default(),
            since: None,
            percent: 100,
        }
    }
}

impl Warmup {
    fn heard(&mut self, revision: Revision, until: Timestamp) {
        if self.entry.0 != revision {
            self.entry = (revision, until);
        }
    }

    /// Returns whether it is slow.
    pub(super) fn is_cold(&self) -> bool {
        self.percent < 100
    }

    /// Returns the part of a capacity that it does not get yet.
    pub(super) fn withheld(&self, capacity: u64) -> u64 {
        capacity.saturating_mul(100 - self.percent) / 100
    }

    /// Updates the share. Returns whether it has changed.
    fn refresh(&mut self, now: Timestamp) -> bool {
        let until = self.entry.1.max(self.slack_until);
        let percent = if until <= now {
            self.since = None;
            100
        } else {
            let since = *self.since.get_or_insert(now);
            let grown = (100 - FIRST_PERCENT) * now.ms_since(since) / until.ms_since(since).max(1);
            (FIRST_PERCENT + grown) / PERCENT_STEP * PERCENT_STEP
        };
        std::mem::replace(&mut self.percent, percent) != percent
    }
}

impl Planner {
    /// Sets for how long workers count as slow after the evacuation of their domain
    /// has ended, in milliseconds, whatever their entries say.
    pub fn set_cold_slack(&mut self, ms: u64) {
        self.cold_slack_ms = ms;
    }

    /// Records which workers are slow, as service discovery says. Those that are
    /// not named stay so until the end that was known.
    pub fn set_cold(&mut self, entries: &[ColdEntry]) {
        for it in entries {
            if let Some(index) = self.worker_index.get(&it.worker) {
                self.workers[*index].warmup.heard(it.revision, it.until);
            }
        }
    }

    /// Has the workers of a domain count as slow, whose evacuation has ended.
    pub(super) fn begin_slack(&mut self, domain: &FailureDomainId, now: Timestamp) {
        let until = now.plus_ms(self.cold_slack_ms);
        let there = self.workers.iter_mut().filter(|it| it.listing.domain == *domain);
        there.for_each(|it| it.warmup.slack_until = until);
    }

    /// Updates how much slow workers get.
    pub(super) fn refresh_cold(&mut self, now: Timestamp) {
        for worker in &mut self.workers {
            worker.is_changed |= worker.warmup.refresh(now);
        }
    }

    /// Returns the number of listed workers that are slow.
    pub(super) fn cold_workers(&self) -> usize {
        let is_cold = |it: &&Worker| it.warmup.is_cold() && it.is_listed;
        self.workers.iter().filter(is_cold).count()
    }
}
