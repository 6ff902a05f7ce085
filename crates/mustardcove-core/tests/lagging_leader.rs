//! A leader that is behind with the reports of its pollers.
//!
//! Guards against work that is given up or started again because the leader
//! compares its clock with what it has handled: workers answered, their pollers
//! went on extending leases, and the reports only waited. It happens wherever a
//! leader is overloaded, frozen or slowed down for a few seconds.

#[path = "support/fleet_world.rs"]
#[expect(dead_code, reason = "shared with tests that need more of it")]
mod fleet_world;
#[path = "support/planner_rig.rs"]
#[expect(dead_code, reason = "shared with tests that need more of it")]
mod planner_rig;

use fleet_world::{World, manifest, step, submission};
use mustardcove_core::{
    fleet::{
        cadence,
        id::BootMillis,
        message::Order,
        poller::{
            LEADER_SILENT_MS, LeasePermission, ORDER_MAX_AGE_MS, ORDER_VALID_MS, start_deadline,
        },
    },
    id::WorkerId,
};
use planner_rig::{Rig, START};
use rand::RngExt;

const WORKERS: usize = 5;
/// Longest time until all work has ended once the leader has caught up, in
/// milliseconds.
const SETTLE_MS: u64 = 40_000;

fn busy_world(seed: u64) -> World {
    let mut world = World::new(seed, WORKERS);
    for id in 1..=6u64 {
        world.submit(submission(id, vec![step(4, 500, &[]), step(2, 700, &[0])], world.now));
    }
    let run_ms = world.rng.random_range(300..1_500);
    world.run(run_ms);
    world
}

fn check(world: &World, seed: u64) {
    assert!(world.violations.is_empty(), "seed {seed}: {:?}", world.violations);
    assert!(world.unfinished().is_empty(), "seed {seed}: {:?}", world.unfinished());
    let is_expired = |it: &&String| it.contains("silent until its lease ended");
    let expired: Vec<&String> = world.given_up.iter().filter(is_expired).collect();
    assert!(expired.is_empty(), "seed {seed}: every worker answers, given up: {expired:?}");
}

/// Reports are handled 1 to 30 s late, in order.
#[test]
fn late_reports() {
    for seed in 0..120 {
        let mut world = busy_world(seed);
        let lag_ms = world.rng.random_range(1_000..30_000);
        world.leaders[0].lag_ms = lag_ms;
        world.run(lag_ms + 3_000);
        world.leaders[0].lag_ms = 0;
        world.run(SETTLE_MS);
        check(&world, seed);
    }
}

/// The leader handles nothing for some seconds, and then all reports at once.
#[test]
fn frozen_leader() {
    for seed in 0..120 {
        let mut world = busy_world(seed);
        for _ in 0..2 {
            let frozen_ms = world.rng.random_range(500..9_000);
            world.leaders[0].frozen_until = world.now.plus_ms(frozen_ms);
            world.run(frozen_ms + 1_500);
        }
        world.run(SETTLE_MS);
        check(&world, seed);
    }
}

/// Reports are late while calls to workers are lost, delayed or unanswered.
#[test]
fn late_and_lossy() {
    for seed in 0..120 {
        let mut world = busy_world(seed);
        world.call_failure_percent = 15;
        let lag_ms = world.rng.random_range(500..6_000);
        world.leaders[0].lag_ms = lag_ms;
        world.run(lag_ms + 4_000);
        world.leaders[0].lag_ms = 0;
        world.call_failure_percent = 0;
        world.run(SETTLE_MS);
        assert!(world.violations.is_empty(), "seed {seed}: {:?}", world.violations);
        assert!(world.unfinished().is_empty(), "seed {seed}: {:?}", world.unfinished());
    }
}

/// A start whose confirmation may be among the unhandled reports is not
/// stopped: under load that would cost the run, and more reports.
#[test]
fn late_confirmation() {
    let mut rig = Rig::new(manifest(3), &[("w0", 4_000)]);
    let worker: WorkerId = "w0".parse().expect("a valid name");
    rig.submit(submission(1, vec![step(1, 500, &[])], rig.now));
    rig.planner.record_heard(&worker, rig.now);
    rig.planner.tick(rig.now);
    let orders = rig.planner.take_actions().orders;
    assert!(matches!(orders[0].1, Order::Start(_)), "{orders:?}");
    for _ in 0..100 {
        rig.advance(100);
        rig.planner.tick(rig.now);
        assert!(rig.planner.take_actions().orders.is_empty(), "its reports were not handled yet");
    }
    rig.planner.record_heard(&worker, rig.now);
    rig.planner.tick(rig.now);
    let orders = rig.planner.take_actions().orders;
    assert!(matches!(orders[0].1, Order::Stop { .. }), "they lack the confirmation: {orders:?}");
}

/// A poller extends leases only while the leader handles its reports, even if
/// heartbeats go on.
#[test]
fn permission_expires() {
    let sent = BootMillis(START.0);
    let permission = LeasePermission::new(Some(sent));
    assert!(permission.is_valid(sent.plus_ms(LEADER_SILENT_MS - 1)));
    assert!(!permission.is_valid(sent.plus_ms(LEADER_SILENT_MS)));
    assert!(!LeasePermission::new(None).is_valid(sent), "no confirmation covers a report");
    assert!(!LeasePermission::default().is_valid(sent));
}

/// A start that was under way for too long is not sent to its worker.
#[test]
fn start_expires() {
    let sent = BootMillis(START.0);
    let permission = LeasePermission::new(Some(sent));
    assert_eq!(start_deadline(None, permission, sent), None);
    assert_eq!(start_deadline(Some(sent), permission, sent), Some(sent.plus_ms(ORDER_VALID_MS)));
    let late = sent.plus_ms(ORDER_MAX_AGE_MS - 100);
    assert_eq!(start_deadline(Some(sent), permission, late), Some(sent.plus_ms(ORDER_MAX_AGE_MS)));
    assert_eq!(start_deadline(Some(sent), permission, sent.plus_ms(ORDER_MAX_AGE_MS)), None);
}

/// The number of messages and the share of time for planning stay bounded
/// whatever the size of the fleet, and a small fleet waits for nothing.
#[test]
fn bounded_cadence() {
    assert!(cadence::message_delay_ms(7) <= 1);
    for processes in [30, 150, 500] {
        let delay_ms = cadence::message_delay_ms(processes);
        let per_s = processes as u64 * 1_000 / delay_ms.max(1);
        assert!(per_s <= 4_400, "{per_s} messages a second with {processes} processes");
    }
    assert_eq!(cadence::plan_delay_ms(7, 0), 10);
    assert_eq!(cadence::plan_delay_ms(7, 20), 40, "handling reports gets twice the time");
}
