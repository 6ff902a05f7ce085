//! The new schema of a member's record.
//!
//! Sizes carry their units, classes carry weights, and a member may allow its
//! work to be evicted in order to enforce a lowered cap.

use serde::{Deserialize, Serialize};

use crate::{agreement::Service, class::Class, id::MemberId, size::Resources};

/// A member's record under the new schema.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MemberV2 {
    /// The name of the member.
    pub id: MemberId,
    /// The most that tasks of this member may hold.
    pub cap: Resources,
    /// Cap on service requests in flight.
    pub max_requests: u32,
    /// Services that this member provides.
    #[serde(default)]
    pub services: Vec<Service>,
    /// Classes of work that this member uses.
    pub classes: Vec<Class>,
    /// Hex-encoded SHA-256 digests of the member's tokens.
    #[serde(default)]
    pub token_digests: Vec<String>,
    /// Whether work may be evicted to get back under a lowered cap.
    #[serde(default)]
    pub evict_over_cap: bool,
}
