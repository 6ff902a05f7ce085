//! Assignment of workers to the processes that poll them.
//!
//! Every worker is polled by one process, so that the number of calls grows
//! with the number of workers alone. Processes near a worker are preferred,
//! since polls are the bulk of the traffic and the link between regions is
//! narrow. Among them a weighted rendezvous hash decides: shares are
//! proportional to the processor shares, and the loss of a process moves only
//! its own workers.

use std::collections::BTreeMap;

use xxhash_rust::xxh3::xxh3_64_with_seed;

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
