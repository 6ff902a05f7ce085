//! Limits and intervals of a shard.

/// Shortest time between two appends of one shard, in milliseconds.
///
/// With 16 shards the worst case is 64 appends a second, which together with
/// the renewals of sessions stays within the store's budget of 75 writes.
pub const COMMIT_INTERVAL_MS: u64 = 250;

/// Memory for the jobs of all shards of a deployment, in bytes.
pub const MAX_STATE_BYTES: usize = 64 << 20;

/// Limits and intervals of a shard; see `docs/ledger.md` for the reasons.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShardConfig {
    /// Shortest time between two appends, in milliseconds.
    pub commit_interval_ms: u64,
    /// How long an append waits for the reservation of an urgent job that was
    /// just accepted, in milliseconds. It covers a round trip between regions.
    pub urgent_append_delay_ms: u64,
    /// How long after a takeover no submission is refused for its size, in
    /// milliseconds: summaries of groups may not have arrived yet.
    pub summary_grace_ms: u64,
    /// How long a finished job is retained, in milliseconds.
    pub retention_ms: u64,
    /// Number of retained finished jobs from which new submissions are refused.
    pub max_finished_jobs: usize,
    /// Memory for the jobs of all shards of a deployment, in bytes; each shard
    /// gets an equal part.
    pub max_state_bytes: usize,
    /// Number of segments after which a snapshot is taken.
    pub snapshot_segments: u64,
    /// Bytes of log after which a snapshot is taken.
    pub snapshot_bytes: usize,
    /// Shortest time between two snapshots, in milliseconds.
    pub snapshot_interval_ms: u64,
    /// Time between two calls during recovery, in milliseconds.
    pub recovery_interval_ms: u64,
    /// Time between two deletions, in milliseconds.
    pub delete_interval_ms: u64,
    /// How long a segment is kept after a snapshot includes it, in
    /// milliseconds. It must be many times `verify_after_ms`.
    pub delete_after_ms: u64,
    /// Time since the last proof of ownership after which a successful append
    /// is verified by reading whether segments follow it, in milliseconds.
    pub verify_after_ms: u64,
    /// Time without an append after which an owner checks whether another
    /// process has written to the log, in milliseconds. It bounds how long a
    /// stale owner answers queries.
    pub ownership_check_interval_ms: u64,
    /// First delay before the store is called again after an error, in
    /// milliseconds; it doubles with each error.
    pub store_retry_ms: u64,
    /// Longest delay before the store is called again, in milliseconds.
    pub store_retry_max_ms: u64,
    /// How long the store may take to answer an append before new requests are
    /// refused, in milliseconds.
    pub store_slow_ms: u64,
    /// How long a request without a deadline of its own waits for an append
    /// whose outcome is unknown, in milliseconds.
    pub answer_timeout_ms: u64,
    /// How long a group may take to answer a reservation, in milliseconds.
    pub reserve_timeout_ms: u64,
    /// Number of open reservation requests from which work that is not urgent
    /// waits.
    pub max_open_reservations: usize,
    /// First delay before a message to a group is repeated, in milliseconds; it
    /// doubles with each repetition.
    pub resend_ms: u64,
    /// Longest delay before a message to a group is repeated, in milliseconds.
    pub resend_max_ms: u64,
    /// Number of different workers on which a job fails before it ends as
    /// failed.
    pub max_failed_workers: usize,
    /// Number of failures, on any workers, after which a job ends as failed.
    pub max_failures: usize,
    /// How long after the deadline of a service request its outcome is awaited
    /// from an entry process that is not known to have ended, in milliseconds.
    pub complete_grace_ms: u64,
    /// Most queries that wait at the same time; further ones are answered at
    /// once.
    pub max_waiters: usize,
}

impl Default for ShardConfig {
    fn default() -> ShardConfig {
        ShardConfig {
            commit_interval_ms: COMMIT_INTERVAL_MS,
            urgent_append_delay_ms: 50,
            summary_grace_ms: 5000,
            retention_ms: 24 * 3600 * 1000,
            max_finished_jobs: 10_000,
            max_state_bytes: MAX_STATE_BYTES,
            snapshot_segments: 256,
            snapshot_bytes: 256 << 10,
            snapshot_interval_ms: 10_000,
            recovery_interval_ms: 50,
            delete_interval_ms: 1000,
            delete_after_ms: 600_000,
            verify_after_ms: 30_000,
            ownership_check_interval_ms: 10_000,
            store_retry_ms: 250,
            store_retry_max_ms: 5000,
            store_slow_ms: 1000,
            answer_timeout_ms: 30_000,
            reserve_timeout_ms: 1000,
            max_open_reservations: 64,
            resend_ms: 2000,
            resend_max_ms: 30_000,
            max_failed_workers: 3,
            max_failures: 8,
            complete_grace_ms: 1000,
            max_waiters: 10_000,
        }
    }
}
