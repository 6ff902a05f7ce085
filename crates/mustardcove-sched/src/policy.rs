//! The placement policy of the scheduler process.

use mustardcove_core::{id::GroupId, node::PolicyFactory, placement::learned::LearnedPolicy};
use xxhash_rust::xxh3::xxh3_64;

/// Creates a [`LearnedPolicy`] for each group.
#[derive(Clone, Copy, Debug, Default)]
pub struct LearnedPolicyFactory;

impl PolicyFactory for LearnedPolicyFactory {
    type Policy = LearnedPolicy;

    fn create(&self, group: &GroupId, seed: u64) -> LearnedPolicy {
        // The seed identifies the source of a table of interference, so groups
        // that exchange tables need different ones.
        LearnedPolicy::new(seed ^ xxh3_64(group.as_str().as_bytes()))
    }
}
