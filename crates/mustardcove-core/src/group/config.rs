//! Settings and time limits of a worker group.

use serde::{Deserialize, Serialize};

/// Duration of a task lease, in milliseconds. It is longer than the failover
/// of a group owner, so that the failure of a scheduler process stops no task.
pub const TASK_LEASE_MS: u64 = 6_000;

/// Interval at which the leases on a worker are renewed, in milliseconds.
pub const RENEW_INTERVAL_MS: u64 = 1_500;

/// Duration of the lease that a start carries, in milliseconds. It is short so
/// that a task sent to a rack that has just failed can be placed again within
/// the bound for urgent starts.
pub const START_LEASE_MS: u64 = 2_500;

/// Interval at which a worker without tasks is called, in milliseconds.
pub(super) const IDLE_CALL_INTERVAL_MS: u64 = 3_000;

/// Time after which an unanswered call counts as failed, in milliseconds.
/// Three failed calls fit into a start's lease.
pub(super) const CALL_TIMEOUT_MS: u64 = 800;

/// Time for which a late answer to a timed-out call is still accepted, in
/// milliseconds.
pub(super) const LATE_ANSWER_MS: u64 = 30_000;

/// Time from the confirmation of a start to the next renewal, in milliseconds.
/// It is short enough that the lease of a start survives one lost renewal.
pub(super) const CONFIRM_RENEW_MS: u64 = 500;

/// Intervals between calls to a worker that does not answer, in milliseconds:
/// during the first 15 s, up to 60 s, and after that.
pub(super) const PROBE_INTERVALS_MS: [u64; 3] = [200, 1_000, 5_000];

/// Interval between listings that check an unconfirmed start, in milliseconds.
pub(super) const RELIST_INTERVAL_MS: u64 = 400;

/// First interval between repeated reports of an outcome, in milliseconds. It
/// doubles with each report.
pub(super) const OUTCOME_REPEAT_MS: u64 = 1_000;

/// Longest interval between repeated reports of an outcome, in milliseconds.
pub(super) const MAX_OUTCOME_REPEAT_MS: u64 = 8_000;

/// Number of repeated reports after which the outcome of a task that no shard
/// claims is dropped.
pub(super) const MAX_UNCLAIMED_REPEATS: u32 = 8;

/// Interval between reports of a running task that no shard claims, in
/// milliseconds.
pub(super) const UNCLAIMED_REPEAT_MS: u64 = 5_000;

/// Interval between requests to a shard to list its bound attempts, in
/// milliseconds.
pub(super) const RECONCILE_INTERVAL_MS: u64 = 1_000;

/// Interval between stop calls for the same task, in milliseconds.
pub(super) const STOP_REPEAT_MS: u64 = 2_000;

/// Time from an accepted stop to the collection of reports, in milliseconds.
/// It is short because urgent work may be waiting for the capacity.
pub(super) const STOP_COLLECT_MS: u64 = 150;

/// Time for which a tombstone of an attempt is kept after its shard has
/// acknowledged the end, in milliseconds. A message delayed for longer would
/// be handled as if it concerned a new attempt.
pub(super) const TOMBSTONE_MS: u64 = 120_000;

/// Interval between eviction rounds, in milliseconds.
pub(super) const EVICTION_INTERVAL_MS: u64 = 1_000;

/// Shortest interval between summaries, in milliseconds.
pub(super) const SUMMARY_INTERVAL_MS: u64 = 1_000;

/// Interval between exports of learned slowdowns, in milliseconds.
pub(super) const EXPORT_INTERVAL_MS: u64 = 10_000;

/// Most refused reservations that are kept as waiting requests.
pub(super) const MAX_WAITING: usize = 256;

/// Settings of a worker group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct GroupConfig {
    /// The number of shards of the deployment.
    pub shards: u16,
    /// Time for which a reservation is held without a start, in milliseconds.
    pub reservation_ms: u64,
    /// Time for which a refused request is kept as waiting after the retry
    /// time that it was given, in milliseconds. An urgent request keeps its
    /// precedence for as long.
    pub hold_ms: u64,
    /// Time for which a resumed task is not evicted again, in milliseconds.
    pub immune_ms: u64,
}

impl Default for GroupConfig {
    fn default() -> GroupConfig {
        GroupConfig { shards: 16, reservation_ms: 5_000, hold_ms: 2_000, immune_ms: 60_000 }
    }
}
