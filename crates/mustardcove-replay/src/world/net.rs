//! The network: latencies, links between regions and disconnected regions.

use std::collections::{BTreeMap, BTreeSet};

use mustardcove_core::id::{FailureDomainId, RegionId};

use crate::trace::{Header, Latencies};

/// Overhead of every message between regions, in bytes.
const OVERHEAD_BYTES: u64 = 80;

/// The location of a process, a worker or the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Location {
    pub(crate) region: RegionId,
    /// Absent for the store, which is in no failure domain.
    pub(crate) domain: Option<FailureDomainId>,
}

/// State of the network.
pub(crate) struct Net {
    latencies: Latencies,
    kbit_per_s: u64,
    /// When the link from one region to another is free again, in
    /// microseconds.
    free_at: BTreeMap<(RegionId, RegionId), u64>,
    disconnected_regions: BTreeSet<RegionId>,
    pub(crate) remote_bytes: u64,
}

impl Net {
    pub(crate) fn new(header: &Header) -> Net {
        Net {
            latencies: header.latencies,
            kbit_per_s: header.link.kbit_per_s,
            free_at: BTreeMap::new(),
            disconnected_regions: BTreeSet::new(),
            remote_bytes: 0,
        }
    }

    pub(crate) fn client_us(&self) -> u64 {
        self.latencies.client_us
    }

    pub(crate) fn set_disconnected(&mut self, region: &RegionId, disconnected: bool) {
        if disconnected {
            self.disconnected_regions.insert(region.clone());
        } else {
            self.disconnected_regions.remove(region);
        }
    }

    /// Reports whether messages can pass between two locations.
    pub(crate) fn can_reach(&self, from: &Location, to: &Location) -> bool {
        from.region == to.region
            || !(self.disconnected_regions.contains(&from.region)
                || self.disconnected_regions.contains(&to.region))
    }

    /// Returns the arrival time of a message of `bytes` that is sent at
    /// `now_us`.
    pub(crate) fn send(&mut self, now_us: u64, from: &Location, to: &Location, bytes: u64) -> u64 {
        if from.region != to.region {
            let bytes = bytes + OVERHEAD_BYTES;
            self.remote_bytes += bytes;
            let key = (from.region.clone(), to.region.clone());
            let free_at = self.free_at.entry(key).or_default();
            *free_at = now_us.max(*free_at) + bytes * 8 * 1_000 / self.kbit_per_s;
            return *free_at + self.latencies.remote_us;
        }
        if from.domain.is_some() && from.domain == to.domain {
            now_us + self.latencies.domain_us
        } else {
            now_us + self.latencies.region_us
        }
    }
}
