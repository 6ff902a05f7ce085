//! Settings and time limits of a worker group.

use serde::{Deserialize, Serialize};

/// How long a task lease lasts, in milliseconds. It outlasts the failover of a
/// group owner, so that the death of a scheduler process stops no task.
pub const TASK_LEASE_MS: u64 = 6_000;

/// How often the leases on a worker are renewed, in milliseconds.
pub const RENEW_INTERVAL_MS: u64 = 1_500;

/// How long the lease given with a start lasts, in milliseconds. It is short,
/// so that a start on a rack that was just lost can be placed again within the
/// bound for urgent starts.
pub const START_LEASE_MS: u64 = 2_500;

/// How often a worker without tasks is called, in milliseconds.
pub(super) const IDLE_CALL_INTERVAL_MS: u64 = 3_000;

/// Time after which a call without an answer counts as failed, in
/// milliseconds. Three failed calls fit into a start's lease.
pub(super) const CALL_TIMEOUT_MS: u64 = 800;

/// Time for which the answer to a timed-out call is still recognised, in
/// milliseconds.
pub(super) const LATE_ANSWER_MS: u64 = 30_000;

/// How soon leases are renewed after a start was confirmed, in milliseconds.
/// One lost renewal must not end the short lease of a start.
pub(super) const CONFIRM_RENEW_MS: u64 = 500;

/// Time between two calls to a worker that does not answer, in milliseconds:
/// at first, after a quarter of a minute and after a minute.
pub(super) const PROBE_INTERVALS_MS: [u64; 3] = [200, 1_000, 5_000];

/// Time between two listings that look for an unconfirmed start, in
/// milliseconds.
pub(super) const AUDIT_INTERVAL_MS: u64 = 400;

/// Time between two repetitions of an outcome, in milliseconds, at first.
pub(super) const REPEAT_MS: u64 = 1_000;

/// Longest time between two repetitions of an outcome, in milliseconds.
pub(super) const MAX_REPEAT_MS: u64 = 8_000;

/// Repetitions after which the outcome of a task that no shard claims is
/// forgotten.
pub(super) const MAX_UNCLAIMED_REPEATS: u32 = 8;

/// Time between two reports of a task that no shard claims, in milliseconds.
pub(super) const UNKNOWN_REPEAT_MS: u64 = 5_000;

/// Time between two requests to a shard to list what it has bound, in
/// milliseconds.
pub(super) const ASK_INTERVAL_MS: u64 = 1_000;

/// Time between two stop calls for the same task, in milliseconds.
pub(super) const STOP_REPEAT_MS: u64 = 2_000;

/// How soon reports are collected after a worker accepted a stop, in
/// milliseconds; urgent work may wait for the capacity.
pub(super) const STOP_COLLECT_MS: u64 = 150;

/// Time for which the end of an attempt is remembered after its shard has
/// acknowledged it, in milliseconds; a message that arrives later than that
/// would be taken for a new one.
pub(super) const TOMBSTONE_MS: u64 = 120_000;

/// Time between two rounds of evictions, in milliseconds.
pub(super) const EVICTION_INTERVAL_MS: u64 = 1_000;

/// Least time between two summaries, in milliseconds.
pub(super) const SUMMARY_INTERVAL_MS: u64 = 1_000;

/// Time between two exports of learned slowdowns, in milliseconds.
pub(super) const EXPORT_INTERVAL_MS: u64 = 10_000;

/// Most refused reservations that are remembered.
pub(super) const MAX_WAITING: usize = 256;

/// Settings of a worker group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct GroupConfig {
    /// The number of shards of the deployment.
    pub shards: u16,
    /// How long a reservation is held without a start, in milliseconds.
    pub reservation_ms: u64,
    /// How long a refused urgent request keeps its place after the time at
    /// which it was told to ask again, in milliseconds.
    pub hold_ms: u64,
    /// For how long a resumed task is not evicted again, in milliseconds.
    pub immune_ms: u64,
}

impl Default for GroupConfig {
    fn default() -> GroupConfig {
        GroupConfig { shards: 16, reservation_ms: 5_000, hold_ms: 2_000, immune_ms: 60_000 }
    }
}
