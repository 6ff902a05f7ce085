//! Random schedules of lost, delayed and repeated calls, restarts, network
//! partitions and changes of the leader, checked against what the workers ran.
//!
//! Guards against a task that has two runs at once, one that starts again after
//! its end was acknowledged, and accepted work that never ends.

#[path = "support/fleet_world.rs"]
#[expect(dead_code, reason = "shared with tests that need more of it")]
mod fleet_world;

use fleet_world::{World, step, submission};
use mustardcove_core::{fleet::id::Incarnation, time::Timestamp};
use rand::RngExt;

/// Longest time after the last fault until everything has ended, in
/// milliseconds: first the leases of lost pollers, then the work itself.
const SETTLE_MS: u64 = 40_000;

/// Number of kinds of faults without handovers between pollers.
const FAULT_KINDS: u32 = 6;
/// Number of kinds with handovers, which get a third of the draws.
const FAULT_KINDS_WITH_HANDOVERS: u32 = 9;

/// Time that a worker's restart takes, in milliseconds. A poller that was
/// replaced may acknowledge ends to the worker for as long, so a shorter
/// restart is not safe.
const RESTART_MS: u64 = 1_000;

/// The first incarnation of the first worker, and the distance to that of the
/// next; each may be followed by earlier ones.
const FIRST_BIRTH: u64 = 5_000;
const BIRTH_STEP: u64 = 100;

fn simulate(seed: u64, kinds: u32, earlier_birth_percent: u32) -> World {
    let mut world = World::new(seed, 5);
    if earlier_birth_percent != 0 {
        world.earlier_birth_percent = earlier_birth_percent;
        for (i, worker) in world.workers.iter_mut().enumerate() {
            worker.incarnation = Incarnation(FIRST_BIRTH + BIRTH_STEP * i as u64);
        }
    }
    world.restart_ms = if kinds == FAULT_KINDS { 0 } else { RESTART_MS };
    world.call_failure_percent = 20;
    world.run_failure_percent = 4;
    for id in 1..=8u64 {
        let steps = vec![step(3, 500, &[]), step(2, 700, &[0])];
        world.submit(submission(id, steps, world.now));
        let pause = world.rng.random_range(100..900);
        world.run(pause);
        inject_fault(&mut world, kinds);
    }
    world.call_failure_percent = 0;
    world.run_failure_percent = 0;
    world.end_earlier_leaders();
    for worker in &mut world.workers {
        worker.unreachable_until = Timestamp(0);
        worker.orphans_only_until = Timestamp(0);
    }
    world.run(SETTLE_MS);
    world
}

fn inject_fault(world: &mut World, kinds: u32) {
    let worker = world.rng.random_range(0..world.workers.len());
    match world.rng.random_range(0..kinds) {
        0 => world.restart(worker),
        1 => {
            let until = world.now.plus_ms(world.rng.random_range(1_000..9_000));
            world.workers[worker].unreachable_until = until;
        }
        2 => world.elect(),
        3 => world.elect_beside(400),
        4 => {
            let id = *world.submissions.keys().next_back().expect("a submission");
            world.cancel(id);
        }
        5 => {}
        _ => {
            for leader in 0..world.leaders.len() {
                world.replace_poller(leader, worker);
            }
            let until = world.now.plus_ms(world.rng.random_range(4_000..9_000));
            world.workers[worker].orphans_only_until = until;
        }
    }
    let spare = world.leaders.len().saturating_sub(2);
    world.leaders.drain(..spare);
}

#[test]
fn random_schedules() {
    check(FAULT_KINDS, 0);
}

/// Guards against leases that a poller grants after it was replaced.
#[test]
fn changed_pollers() {
    check(FAULT_KINDS_WITH_HANDOVERS, 0);
}

/// Guards against answers of an earlier incarnation that count although the next
/// one has answered, or the reverse, where the clocks of workers step back.
#[test]
fn earlier_births() {
    check(FAULT_KINDS, 50);
    check(FAULT_KINDS_WITH_HANDOVERS, 50);
}

fn check(kinds: u32, earlier_birth_percent: u32) {
    for seed in 0..400 {
        let world = simulate(seed, kinds, earlier_birth_percent);
        assert!(world.violations.is_empty(), "seed {seed}: {:?}", world.violations);
        assert!(world.unfinished().is_empty(), "seed {seed}: {:?}", world.unfinished());
        assert_eq!(world.running(), 0, "seed {seed}: something still runs");
    }
}
