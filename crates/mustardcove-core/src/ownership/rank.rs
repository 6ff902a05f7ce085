//! Rendezvous ranking of processes.
//!
//! Every process computes the same ranking from the same set of sessions. A
//! process that joins or leaves changes the preferred owner only of those
//! shards and groups for which it ranks first.

use xxhash_rust::xxh3::Xxh3;

use crate::{
    id::{FailureDomainId, GroupId, ProcessId, RegionId, ShardId},
    ownership::record::SessionRecord,
};

fn weight(kind: &[u8], key: &[u8], process: &ProcessId) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(kind);
    hasher.update(key);
    hasher.update(&[0]);
    hasher.update(process.as_str().as_bytes());
    hasher.digest()
}

/// Returns the process that ranks first for a shard.
pub fn preferred_shard_owner<'a>(
    shard: ShardId,
    processes: impl Iterator<Item = &'a SessionRecord>,
) -> Option<&'a SessionRecord> {
    let key = shard.0.to_be_bytes();
    processes.max_by_key(|it| (weight(b"shard", &key, &it.process), &it.process))
}

/// The region and the failure domain of a group's workers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GroupLocation {
    /// The group.
    pub group: GroupId,
    /// Its region.
    pub region: RegionId,
    /// Its failure domain.
    pub domain: FailureDomainId,
}

/// Returns the process that ranks first for a group.
///
/// Processes of the group's failure domain come first, then those of its
/// region, so that reports and renewals do not cross the link between regions.
pub fn preferred_group_owner<'a>(
    location: &GroupLocation,
    processes: impl Iterator<Item = &'a SessionRecord>,
) -> Option<&'a SessionRecord> {
    let key = location.group.as_str().as_bytes();
    processes.max_by_key(|it| {
        let proximity = if it.domain == location.domain {
            2
        } else if it.region == location.region {
            1
        } else {
            0
        };
        (proximity, weight(b"group", key, &it.process), &it.process)
    })
}

/// Returns the process of a failure domain that relays configuration to it.
pub fn relay_for_domain<'a>(
    domain: &FailureDomainId,
    processes: impl Iterator<Item = &'a SessionRecord>,
) -> Option<&'a SessionRecord> {
    let key = domain.as_str().as_bytes();
    processes
        .filter(|it| it.domain == *domain)
        .min_by_key(|it| (weight(b"relay", key, &it.process), &it.process))
}
