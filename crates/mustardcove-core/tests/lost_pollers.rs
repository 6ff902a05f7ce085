//! When the runs of a lost worker are given up while its poller changes.
//!
//! Guards against a wait that begins anew with each poller: one that is lost may
//! have extended leases, and the leader counts them from the loss. Pollers change
//! whenever a process stops or joins, which users do not count as a disruption.

#[path = "support/fleet_world.rs"]
#[expect(dead_code, reason = "shared with tests that need more of it")]
mod fleet_world;

use fleet_world::{World, step, submission};
use mustardcove_core::fleet::{poller::MAX_ORPHAN_LEASE_MS, submission::StepSpec};
use rand::RngExt;

const WORKERS: usize = 8;
const PROCESSES: usize = 5;
const SEEDS: u64 = 60;
/// Time for which a worker that is lost for good is down, in milliseconds.
const GONE_MS: u64 = 10_000_000;
/// Time between two looks, in milliseconds.
const LOOK_MS: u64 = 100;
/// Longest time from the loss of a poller until its leases count as over, in
/// milliseconds: with the leader's margin, and the age of its confirmation.
const LOST_POLLER_MS: u64 = MAX_ORPHAN_LEASE_MS + 200 + 300;

/// Returns a world with long-running tasks that have run for a while.
fn busy_world(seed: u64) -> World {
    let mut world = World::with_processes(seed, WORKERS, PROCESSES);
    world.is_long_running_endless = true;
    world.store_delay_ms = 2..=30;
    for id in 1..=4 {
        let spec = StepSpec { is_long_running: true, ..step(4, 700, &[]) };
        world.submit(submission(id, vec![spec], world.now));
    }
    world.run(9_000);
    world
}

/// Lets time pass in which pollers change every `gap_ms`. Returns after how long
/// the runs of a worker were given up.
fn given_up_after(world: &mut World, ms: u64, gap_ms: u64) -> Option<u64> {
    let began = world.now;
    let mut change_at = began.plus_ms(gap_ms);
    while world.now < began.plus_ms(ms) {
        world.run(LOOK_MS);
        if change_at <= world.now {
            world.assignment_salt += 1;
            change_at = world.now.plus_ms(gap_ms);
        }
        if world.given_up.iter().any(|it| it.contains("silent until its lease ended")) {
            return Some(world.now.ms_since(began));
        }
    }
    None
}

/// Loses a worker for good, whose loss one poller reports within `noticed_ms`. If
/// the poller changes before, the first change is within that time, too.
fn check(is_silent: bool, noticed_ms: u64) {
    let mut failed = Vec::new();
    for seed in 0..SEEDS {
        let mut world = busy_world(seed);
        let gap_ms = world.rng.random_range(300..2_600);
        let worker = (0..WORKERS).find(|it| 0 < world.used_cpu(*it)).expect("a run");
        let is_early = given_up_after(&mut world, 2_000, gap_ms).is_some();
        if is_silent {
            world.silent_hosts.insert(worker);
        }
        world.crash(worker, GONE_MS);
        let after_ms = given_up_after(&mut world, 20_000, gap_ms);
        let is_late = after_ms.is_none_or(|it| noticed_ms + LOST_POLLER_MS < it);
        if is_early || is_late || !world.violations.is_empty() {
            failed.push(format!("seed {seed}, {gap_ms} ms: {after_ms:?}, {:?}", world.violations));
        }
    }
    assert!(failed.is_empty(), "{} failed: {}", failed.len(), failed.join("\n"));
}

/// The host of the worker refuses connections, so that its poller notices the
/// loss at once. Users accept 9 s without a run.
#[test]
fn refused_polls() {
    check(false, 1_500);
}

/// Nothing answers at the address, so that polls fail after a while only, twice
/// in a row rarely with one poller.
#[test]
fn unanswered_polls() {
    check(true, 2_900);
}
