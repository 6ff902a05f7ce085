//! The agreement in force.
//!
//! Operators write records under one of two schemas; both are converted to
//! the [`Agreement`] below, which is the only form that the rest of the system
//! reads. Records of different members may use different schemas at the same
//! time, so that no member has to change schemas when another does.

pub mod convert;
pub mod record;
pub mod v1;
pub mod v2;
pub mod validate;

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, IntoStaticStr};

use crate::{
    class::Class,
    id::{ClassId, MemberId, Revision, ServiceId},
    size::Resources,
};

/// The schema under which a member's record was written.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    Display,
    EnumString,
    IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum SchemaVersion {
    /// The old schema.
    V1,
    /// The new schema.
    #[default]
    V2,
}

/// A member of the agreement, as in force.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Member {
    /// The name of the member.
    pub id: MemberId,
    /// The schema of the record that this was read from.
    #[serde(default)]
    pub schema: SchemaVersion,
    /// The most that tasks of this member may hold at any time.
    pub cap: Resources,
    /// The most service requests of this member that may be in flight.
    pub max_requests: u32,
    /// The classes that this member may use.
    pub classes: BTreeSet<ClassId>,
    /// Hex-encoded SHA-256 digests of the tokens that authenticate the member.
    #[serde(default)]
    pub token_digests: Vec<String>,
    /// Whether work may be evicted to get back under a lowered cap.
    #[serde(default)]
    pub evict_over_cap: bool,
}

/// A latency-critical service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The name of the service.
    pub id: ServiceId,
    /// What each slot of an upstream reserves on its instance.
    pub slot_resources: Resources,
}

/// The members, caps, services and classes of the agreement at one revision.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Agreement {
    /// The revision; a process never replaces a higher one by a lower one.
    pub revision: Revision,
    /// Members by name.
    pub members: BTreeMap<MemberId, Member>,
    /// Classes of work by name.
    pub classes: BTreeMap<ClassId, Class>,
    /// Services by name.
    pub services: BTreeMap<ServiceId, Service>,
}

impl Agreement {
    /// Returns the class if the member may use it.
    pub fn class_for(&self, member: &MemberId, class: &ClassId) -> Option<&Class> {
        let member = self.members.get(member)?;
        if !member.classes.contains(class) {
            return None;
        }
        self.classes.get(class)
    }
}
