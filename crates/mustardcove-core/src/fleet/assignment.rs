//! Assignment of workers to the processes that poll them.
//!
//! Every worker is polled by one process, so that the number of calls grows
//! with the number of workers alone. Processes near a worker are preferred,
//! since polls are the bulk of the traffic and the link between regions is
//! narrow. Among them a weighted rendezvous hash decides: shares are
//! proportional to the processor shares, and the loss of a process moves only
//! its own workers.

use std::{collections::BTreeMap, net::SocketAddr};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::id::AssignmentNumber;
use crate::id::{FailureDomainId, ProcessId, RegionId, WorkerId};

/// A process that can poll workers.
#[derive(Clone, Debug, PartialEq)]
pub struct Poller {
    /// The process.
    pub process: ProcessId,
    /// The name of its instance, which a restart keeps.
    pub name: String,
    /// Its failure domain.
    pub domain: FailureDomainId,
    /// Its region.
    pub region: RegionId,
    /// Its weight: the processor share left for polling.
    pub weight: f64,
}

/// Returns the pollers among which a worker's is chosen: those of its failure
/// domain, else those of its region, else all.
fn nearest<'a>(
    pollers: &'a [Poller],
    domain: &FailureDomainId,
    region: Option<&RegionId>,
) -> Vec<&'a Poller> {
    let in_domain: Vec<&Poller> = pollers.iter().filter(|it| it.domain == *domain).collect();
    if !in_domain.is_empty() {
        return in_domain;
    }
    let in_region: Vec<&Poller> = pollers.iter().filter(|it| Some(&it.region) == region).collect();
    if in_region.is_empty() { pollers.iter().collect() } else { in_region }
}

/// A poller with the hash of its name.
type Candidate<'a> = (&'a Poller, u64);

/// Returns the score of a poller for a worker; the highest wins.
///
/// `-weight / ln(hash)` with a hash in (0, 1) makes each poller win in
/// proportion to its weight.
fn score((poller, seed): Candidate<'_>, worker: &WorkerId) -> f64 {
    let hash = xxh3_64_with_seed(worker.as_str().as_bytes(), seed);
    let unit = (hash as f64 + 1.0) / (u64::MAX as f64 + 2.0);
    -poller.weight / unit.ln()
}

/// Returns the poller of each worker; empty if there are no pollers.
pub fn assign<'a>(
    pollers: &[Poller],
    regions: &BTreeMap<FailureDomainId, RegionId>,
    workers: impl IntoIterator<Item = (&'a WorkerId, &'a FailureDomainId)>,
) -> BTreeMap<WorkerId, ProcessId> {
    let mut assigned = BTreeMap::new();
    let mut candidates_of: BTreeMap<&FailureDomainId, Vec<Candidate<'_>>> = BTreeMap::new();
    for (worker, domain) in workers {
        let candidates = candidates_of.entry(domain).or_insert_with(|| {
            let nearest = nearest(pollers, domain, regions.get(domain));
            let seed = |it: &Poller| xxh3_64_with_seed(it.name.as_bytes(), 0);
            nearest.into_iter().map(|it| (it, seed(it))).collect()
        });
        let scored = candidates.iter().map(|it| (score(*it, worker), it.0));
        if let Some((_, best)) = scored.max_by(|lhs, rhs| lhs.0.total_cmp(&rhs.0)) {
            assigned.insert(worker.clone(), best.process.clone());
        }
    }
    assigned
}

/// The assignment of one worker.
#[derive(Clone, Debug)]
struct Assigned {
    process: ProcessId,
    address: SocketAddr,
    number: AssignmentNumber,
}

/// The process that polls each worker, and the number of each assignment.
///
/// A process that was given up may be paused, and may be given its workers
/// back before it goes on. What it then reports of the time before would be
/// taken for new. Reports therefore name their assignment, and only those of
/// the current one count: it was made after everything that the poller before
/// it had reported was handled.
#[derive(Clone, Debug, Default)]
pub struct Assignments {
    by_worker: BTreeMap<WorkerId, Assigned>,
    last: AssignmentNumber,
}

impl Assignments {
    /// Replaces all assignments by these. A worker that keeps its poller and
    /// its address keeps its number. Returns the workers that have lost their
    /// poller, with the assignments that have ended. These are also those with a
    /// new address: there the same process starts to poll without knowledge of
    /// earlier leases.
    pub fn update(
        &mut self,
        assigned: impl IntoIterator<Item = (WorkerId, ProcessId, SocketAddr)>,
    ) -> BTreeMap<WorkerId, (ProcessId, AssignmentNumber)> {
        let before = std::mem::take(&mut self.by_worker);
        for (worker, process, address) in assigned {
            let is_kept = |it: &&Assigned| it.process == process && it.address == address;
            let number = before.get(&worker).filter(is_kept).map(|it| it.number);
            let number = number.unwrap_or_else(|| {
                self.last.0 += 1;
                self.last
            });
            self.by_worker.insert(worker, Assigned { process, address, number });
        }
        let is_lost = |worker: &WorkerId, it: &Assigned| self.number_of(worker) != Some(it.number);
        let lost = before.into_iter().filter(|(worker, it)| is_lost(worker, it));
        lost.map(|(worker, it)| (worker, (it.process, it.number))).collect()
    }

    /// Returns the process that polls a worker.
    pub fn poller_of(&self, worker: &WorkerId) -> Option<&ProcessId> {
        self.by_worker.get(worker).map(|it| &it.process)
    }

    /// Returns the number of a worker's assignment.
    pub fn number_of(&self, worker: &WorkerId) -> Option<AssignmentNumber> {
        self.by_worker.get(worker).map(|it| it.number)
    }

    /// Returns whether a process reports on a worker under its current
    /// assignment.
    pub fn is_current(
        &self,
        process: &ProcessId,
        worker: &WorkerId,
        number: AssignmentNumber,
    ) -> bool {
        self.by_worker.get(worker).is_some_and(|it| it.process == *process && it.number == number)
    }
}
