//! The placement policy of production.

use mustardcove_core::{id::GroupId, node::PolicyFactory, placement::learned::LearnedPolicy};
use xxhash_rust::xxh3::xxh3_64;

/// Creates a [`LearnedPolicy`] for each group.
#[derive(Clone, Copy, Debug, Default)]
pub struct LearnedFactory;

impl PolicyFactory for LearnedFactory {
    type Policy = LearnedPolicy;

    fn create(&self, group: &GroupId, seed: u64) -> LearnedPolicy {
        // Groups that exchange tables need different seeds.
        LearnedPolicy::new(seed ^ xxh3_64(group.as_str().as_bytes()))
    }
}
