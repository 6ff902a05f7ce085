//! The old schema of a member's record.
//!
//! Sizes are plain numbers of cores and gibibytes, and run times are seconds.
//! The schema has no weights, no eviction to enforce a lowered cap and no
//! fractions of a core, so a record that uses these cannot be converted back to
//! it.

use serde::{Deserialize, Serialize};

use crate::{
    class::{ClassKind, Delivery},
    id::{ClassId, MemberId, ServiceId},
};

/// A member's record under the old schema.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MemberV1 {
    /// The name of the member.
    pub name: MemberId,
    /// Cap on processors, in cores.
    pub cores: u64,
    /// Cap on memory, in gibibytes.
    pub memory_gb: u64,
    /// Cap on accelerators.
    #[serde(default)]
    pub accelerators: u32,
    /// Cap on service requests in flight.
    pub max_requests: u32,
    /// Services that this member provides.
    #[serde(default)]
    pub services: Vec<ServiceV1>,
    /// Classes of work that this member uses.
    pub classes: Vec<ClassV1>,
    /// Hex-encoded SHA-256 digests of the member's tokens.
    #[serde(default)]
    pub token_digests: Vec<String>,
}

/// A service under the old schema.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceV1 {
    /// The name of the service.
    pub name: ServiceId,
    /// Cores that each slot reserves.
    pub slot_cores: u64,
    /// Memory that each slot reserves, in gibibytes.
    pub slot_memory_gb: u64,
}

/// A class of work under the old schema.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassV1 {
    /// The name of the class.
    pub name: ClassId,
    /// What kind of work it holds.
    pub kind: ClassKind,
    /// Whether a request may be sent again.
    pub delivery: Delivery,
    /// The service whose upstreams answer, for service classes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<ServiceId>,
    /// Whether its work starts before other work.
    #[serde(default)]
    pub urgent: bool,
    /// Whether its tasks may be evicted.
    #[serde(default)]
    pub evictable: bool,
    /// Cores of one task.
    #[serde(default)]
    pub cores: u64,
    /// Memory of one task, in gibibytes.
    #[serde(default)]
    pub memory_gb: u64,
    /// Accelerators of one task.
    #[serde(default)]
    pub accelerators: u32,
    /// Expected run time, in seconds.
    #[serde(default)]
    pub run_seconds: u64,
    /// Target for the latency of an answer, in milliseconds.
    #[serde(default)]
    pub target_ms: u64,
}
