//! Evacuations in the simulated system: what operators write into the store, and
//! how the processes learn of it.

use mustardcove_core::{
    fleet::{
        evacuation::{EvacuationChange, EvacuationList},
        id::Revision,
        message::StartOutcome,
    },
    id::FailureDomainId,
    time::Timestamp,
};
use rand::RngExt;
use std::collections::BTreeMap;

use super::{SimProcess, World};

/// Time within which an evacuation has to be in force, in milliseconds.
const EVACUATE_MS: u64 = 5_000;
/// Added to that while the store turns some processes away.
const MAX_STRETCH_MS: u64 = 6_000;
/// One of this many chances of a process to hear from the store is used while the
/// store is slow.
const SLOW_CHANCES: u32 = 40;

/// The operators' keys, and what is checked about them.
#[derive(Debug, Default)]
pub(crate) struct SimEvacuations {
    /// Number of failure domains; 0 if there are no evacuations.
    pub(crate) domains: usize,
    /// The keys in the store.
    list: EvacuationList,
    /// When each of them was written.
    evacuated_at: BTreeMap<FailureDomainId, Timestamp>,
    /// Whether the store answers late.
    pub(crate) is_slow: bool,
    /// When the store was last away or slow.
    disturbed_at: Timestamp,
    /// When it last turned some processes away, or was parted from them.
    partly_reached_at: Timestamp,
    /// Starts that a process has withheld.
    pub(crate) withheld: usize,
}

impl World {
    /// Returns the failure domain of a worker.
    pub(crate) fn domain_of(&self, worker: usize) -> FailureDomainId {
        let domain = worker % self.evacuations.domains.max(1) + 1;
        format!("d{domain}").parse().expect("a valid name")
    }

    /// Evacuates a failure domain, or ends its evacuation.
    pub(crate) fn set_evacuated(&mut self, domain: usize, is_evacuated: bool) {
        let domain = self.domain_of(domain);
        self.revision += 1;
        let it = &mut self.evacuations;
        let change = if is_evacuated {
            it.evacuated_at.entry(domain.clone()).or_insert(self.now);
            EvacuationChange::Evacuated(domain)
        } else {
            it.evacuated_at.remove(&domain);
            EvacuationChange::Ended(domain)
        };
        it.list = it.list.with_changes([change], Revision(self.revision));
    }

    /// Kills all processes. Those that take their places know nothing.
    pub(crate) fn kill_processes(&mut self) {
        for process in 0..self.processes.len() {
            let killed = &self.processes[process];
            let fresh = SimProcess { side: killed.side, ..SimProcess::new(self.now) };
            self.processes[process] = fresh;
        }
        self.leaders.clear();
        self.held_starts.clear();
    }

    /// Lets the processes that reach the store hear of the operators' keys.
    pub(super) fn follow_store(&mut self) {
        if self.evacuations.domains == 0 {
            return;
        }
        let (now, is_slow) = (self.now, self.evacuations.is_slow);
        if self.is_store_away || is_slow {
            self.evacuations.disturbed_at = now;
        }
        let chances = if is_slow { SLOW_CHANCES } else { 3 };
        for process in 0..self.processes.len() {
            let it = &self.processes[process];
            if it.is_turned_away || !it.side.reaches(self.store_side) {
                self.evacuations.partly_reached_at = now;
            } else if !self.is_store_away && self.rng.random_range(0..chances) == 0 {
                self.processes[process].evacuations.merge(&self.evacuations.list);
            }
        }
    }

    /// Lets a leader that takes over read the operators' keys.
    pub(super) fn read_evacuations(&mut self, process: usize) {
        let it = &mut self.processes[process];
        it.evacuations.merge(&self.evacuations.list);
        let list = it.evacuations.clone();
        if let Some(leader) = self.leaders.last_mut() {
            leader.planner.set_evacuations(&list, self.now);
        }
    }

    /// Passes the list of one process to another.
    pub(super) fn share_evacuations(&mut self, from: usize, to: usize) {
        let list = self.processes[from].evacuations.clone();
        self.processes[to].evacuations.merge(&list);
    }

    /// Passes the list of a leader's process to its planner.
    pub(super) fn apply_evacuations(&mut self, leader: usize) {
        let Some(process) = self.process_of(leader) else { return };
        let list = &self.processes[process].evacuations;
        self.leaders[leader].planner.set_evacuations(list, self.now);
    }

    /// Returns the outcome of a start that a process withholds.
    pub(super) fn withheld_by(
        &mut self,
        process: Option<usize>,
        worker: usize,
    ) -> Option<StartOutcome> {
        let domain = self.domain_of(worker);
        let is_evacuated = self.processes[process?].evacuations.contains(&domain);
        self.evacuations.withheld += usize::from(is_evacuated);
        is_evacuated.then_some(StartOutcome::Evacuated)
    }

    /// Checks that a start which was not late did not come after the bound.
    pub(super) fn check_evacuated(&mut self, worker: usize) {
        let domain = self.domain_of(worker);
        let it = &self.evacuations;
        let Some(evacuated_at) = it.evacuated_at.get(&domain).copied() else { return };
        let counts_from = evacuated_at.max(it.disturbed_at);
        let is_stretched = evacuated_at <= it.partly_reached_at;
        let bound_ms = EVACUATE_MS + if is_stretched { MAX_STRETCH_MS } else { 0 };
        let late_ms = self.now.ms_since(counts_from);
        if bound_ms < late_ms {
            let at = self.now;
            self.violations.push(format!("start in {domain} {late_ms} ms too late at {at}"));
        }
    }
}
