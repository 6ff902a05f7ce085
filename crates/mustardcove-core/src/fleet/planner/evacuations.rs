//! Workers in failure domains that operators evacuate.
//!
//! They get no new work: [`placement::unavailability`](super::placement) names
//! the evacuation as their obstacle, and every start passes that. What runs there
//! goes on. See `docs/design/evacuation.md`.

use std::collections::BTreeSet;

use super::{Planner, work::WorkerIndex, workers::Worker};
use crate::{fleet::evacuation::EvacuationList, id::FailureDomainId, time::Timestamp};

/// A failure domain whose evacuation has begun or ended, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DomainChange {
    /// The domain.
    pub domain: FailureDomainId,
    /// Whether its evacuation has begun.
    pub is_evacuated: bool,
    /// Number of listed workers there.
    pub workers: usize,
    /// Number of runs there, which go on.
    pub runs: usize,
}

impl Planner {
    /// Returns the evacuated failure domains that the plan respects.
    pub fn evacuations(&self) -> &EvacuationList {
        &self.evacuations
    }

    /// Applies a newer list of evacuated failure domains, and returns what has
    /// changed. From then on nothing starts there: tasks that were placed there
    /// and whose start was not ordered yet wait again.
    pub fn set_evacuations(&mut self, list: &EvacuationList, now: Timestamp) -> Vec<DomainChange> {
        let earlier = self.evacuations.domains.clone();
        if !self.evacuations.merge(list) {
            return Vec::new();
        }
        for index in 0..self.workers.len() {
            self.update_evacuated(index);
            if self.workers[index].is_evacuated {
                self.cancel_withheld_at(index, now);
            }
        }
        let changed: BTreeSet<FailureDomainId> =
            earlier.symmetric_difference(&list.domains).cloned().collect();
        for domain in changed.iter().filter(|it| !list.contains(it)) {
            self.begin_slack(domain, now);
        }
        changed.into_iter().map(|it| self.domain_change(it)).collect()
    }

    fn domain_change(&self, domain: FailureDomainId) -> DomainChange {
        let there = || self.workers.iter().filter(|it| it.listing.domain == domain);
        DomainChange {
            is_evacuated: self.evacuations.contains(&domain),
            workers: there().filter(|it| it.is_listed).count(),
            runs: there().map(|it| it.allocations.len()).sum(),
            domain,
        }
    }

    /// Updates whether a worker is in an evacuated domain, after the list or its
    /// entry has changed.
    pub(super) fn update_evacuated(&mut self, index: WorkerIndex) {
        let worker = &mut self.workers[index];
        let is_evacuated = self.evacuations.contains(&worker.listing.domain);
        if worker.is_evacuated != is_evacuated {
            worker.is_evacuated = is_evacuated;
            worker.is_changed = true;
        }
    }

    /// Returns the number of listed workers in evacuated domains.
    pub(super) fn evacuated_workers(&self) -> usize {
        let is_evacuated = |it: &&Worker| it.is_evacuated && it.is_listed;
        self.workers.iter().filter(is_evacuated).count()
    }
}
