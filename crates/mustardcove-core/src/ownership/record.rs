//! Sessions and claims as the store keeps them.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, IntoStaticStr};

use crate::{
    id::{Epoch, FailureDomainId, GroupId, ProcessId, RegionId, WriteToken},
    worker::WorkerInfo,
};

/// Prefix of the keys of sessions.
pub const SESSION_PREFIX: &str = "session/";

/// Prefix of the keys of claims on worker groups.
pub const CLAIM_PREFIX: &str = "claim/group/";

/// Which program a process runs.
#[derive(
    Clone,
    Copy,
    Debug,
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
pub enum ProcessKind {
    /// `mustardcove-entry`.
    Entry,
    /// `mustardcove-sched`.
    Scheduler,
}

/// What a process publishes about itself in its session.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SessionRecord {
    /// The process.
    pub process: ProcessId,
    /// Which program it runs.
    pub kind: ProcessKind,
    /// Where it listens for other processes, as IP number and port.
    pub peer_address: String,
    /// Where it serves health, metrics and its dump, as IP number and port.
    pub admin_address: String,
    /// Its region.
    pub region: RegionId,
    /// Its failure domain.
    pub domain: FailureDomainId,
    /// Whether it is shutting down and takes over no shards or groups.
    pub draining: bool,
}

/// A claim on a worker group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// The process that may commit the group's capacity.
    pub holder: ProcessId,
    /// The epoch of the claim, which rises each time that it is written.
    pub epoch: Epoch,
    /// Identifies the write when its answer was lost.
    pub token: WriteToken,
}

/// Returns the key of a process's session.
pub fn session_key(process: &ProcessId) -> String {
    format!("{SESSION_PREFIX}{process}")
}

/// Returns the key of the claim on a group.
pub fn claim_key(group: &GroupId) -> String {
    format!("{CLAIM_PREFIX}{group}")
}

/// Encodes a record as JSON, so that operators can read it in the store.
pub fn encode_record<T: Serialize>(record: &T) -> Bytes {
    Bytes::from(serde_json::to_vec(record).expect("records have string keys only"))
}

/// Decodes a record; a record that cannot be read counts as absent.
pub fn decode_record<T: for<'de> Deserialize<'de>>(value: &[u8]) -> Option<T> {
    serde_json::from_slice(value).ok()
}

/// Returns the group of a worker when each failure domain has `slices` groups.
///
/// All workers of a rack belong to the same group, so that the loss of a rack
/// affects only one owner.
pub fn group_for_worker(worker: &WorkerInfo, slices: u16) -> GroupId {
    let hash = xxhash_rust::xxh3::xxh3_64(worker.rack.as_str().as_bytes());
    let slice = hash % u64::from(slices.max(1));
    format!("{}/{slice}", worker.domain).parse().expect("a domain and a number form a valid name")
}
