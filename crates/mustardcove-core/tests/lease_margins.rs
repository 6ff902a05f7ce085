//! The durations of leases and of permissions to extend them, against both of
//! their bounds.
//!
//! Longer ones keep the work of a lost worker waiting for longer than users accept
//! once a leader or a poller is killed as well. Shorter ones end work on sound
//! workers while their poller or the leader changes.

use mustardcove_core::fleet::{
    election::{HEARTBEAT_INTERVAL_MS, MAX_BROKEN_CLAIM_MS},
    poller::{
        BUSY_POLL_WAIT_MS, IDLE_REPORT_INTERVAL_MS, LEADER_SILENT_MS, LEASE_MARGIN_MS, LEASE_MS,
        LOST_AFTER_MS, LOST_POLLER_LEASE_MS, MAX_ORPHAN_LEASE_MS, MIN_POLL_INTERVAL_MS,
    },
    pre_vote::VOTE_MS,
};

/// Latest time of the next run after a leader or a poller was killed, in
/// milliseconds, by the users' rule.
const AFTER_KILL_MS: u64 = 7_000;
/// Time of a claim at the store, of a confirmation by the store, of a record of a
/// suspected task's start and of a plan, each with the pause before it, and of a
/// message or a poll, in milliseconds.
const CLAIM_MS: u64 = 60;
const CONFIRM_MS: u64 = 250 + 60;
const RECORD_MS: u64 = 25 + 60;
const PLAN_MS: u64 = 150;
const MESSAGE_MS: u64 = 50;
/// Time from a claim until half of the members have joined the leader: it reads
/// which processes there are and sends a heartbeat, and they answer.
const JOIN_MS: u64 = CLAIM_MS + 2 * MESSAGE_MS;
/// Age of a lease at most when its poller or the leader is lost.
const LEASE_AGE_MS: u64 = BUSY_POLL_WAIT_MS + MESSAGE_MS;
/// Duration of a lease on a clock that is fast by as much as the slowest is slow.
const MIN_LEASE_MS: u64 = LEASE_MS * 98 / 100;
/// Time after which a new poller's first answers have extended a lease: the worker
/// is polled, the leader confirms its answer, and it is polled again.
const EXTEND_MS: u64 = 4 * MESSAGE_MS + PLAN_MS + MIN_POLL_INTERVAL_MS;
/// Age of the newest report that a permission covers: the time between two
/// reports, then a confirmation, then a heartbeat.
const PERMISSION_AGE_MS: u64 =
    IDLE_REPORT_INTERVAL_MS + CONFIRM_MS + HEARTBEAT_INTERVAL_MS + 2 * MESSAGE_MS;

/// Guards against lost work that waits for too long because its leader was killed.
#[test]
fn killed_leader() {
    const AFTER_CLAIM_MS: u64 =
        CLAIM_MS + JOIN_MS + MAX_ORPHAN_LEASE_MS + CONFIRM_MS + PLAN_MS + RECORD_MS;
    const { assert!(MAX_BROKEN_CLAIM_MS + VOTE_MS + AFTER_CLAIM_MS <= AFTER_KILL_MS) }
}

/// Guards against the same because its poller was killed, which the leader may
/// notice by its silence only.
#[test]
fn killed_poller() {
    const NOTICED_MS: u64 = LOST_AFTER_MS + PLAN_MS;
    const AFTER_NOTICED_MS: u64 = LOST_POLLER_LEASE_MS + LEASE_MARGIN_MS + CONFIRM_MS + RECORD_MS;
    const { assert!(NOTICED_MS + AFTER_NOTICED_MS <= AFTER_KILL_MS) }
}

/// Guards against work on sound workers that ends because their poller is lost.
#[test]
fn kept_without_poller() {
    const { assert!(LEASE_AGE_MS + LOST_AFTER_MS + PLAN_MS + EXTEND_MS <= MIN_LEASE_MS) }
}

/// Guards against work on sound workers that ends because the leader is killed.
#[test]
fn kept_without_leader() {
    const KEPT_MS: u64 = LEADER_SILENT_MS - PERMISSION_AGE_MS + MIN_LEASE_MS - LEASE_AGE_MS;
    // Workers are polled while the reports are on their way that a permission needs.
    const PERMITTED_MS: u64 = JOIN_MS + CONFIRM_MS + HEARTBEAT_INTERVAL_MS + EXTEND_MS;
    const { assert!(MAX_BROKEN_CLAIM_MS + VOTE_MS + CLAIM_MS + PERMITTED_MS <= KEPT_MS) }
}
