//! Cuts that part a leader, some of the processes and some of the workers from
//! the store and the others, while another leader is elected.
//!
//! Guards against a leader that outlives its right to lead: it goes on starting
//! work and extending leases where its successor does not reach, or takes the
//! silence of workers that its successor reaches for the end of their runs.

#[path = "support/fleet_world.rs"]
#[expect(dead_code, reason = "shared with tests that need more of it")]
mod fleet_world;

use fleet_world::{Side, World, step, submission};
use mustardcove_core::time::Timestamp;
use rand::RngExt;

const WORKERS: usize = 6;
const PROCESSES: usize = 7;
/// Longest time after the last cut until everything has ended, in milliseconds.
const SETTLE_MS: u64 = 40_000;
const SEEDS: u64 = 120;

/// Returns a world with more work than its workers can start at once.
fn busy_world(seed: u64) -> World {
    let mut world = World::with_processes(seed, WORKERS, PROCESSES);
    world.call_failure_percent = [0, 10][world.rng.random_range(0..2usize)];
    submit(&mut world, 14);
    let run_ms = world.rng.random_range(500..8_000);
    world.run(run_ms);
    world
}

fn submit(world: &mut World, count: u64) {
    let first = world.submissions.len() as u64 + 1;
    for id in first..first + count {
        let count = world.rng.random_range(2..5);
        world.submit(submission(id, vec![step(count, 1_500, &[]), step(2, 700, &[0])], world.now));
    }
}

/// Parts a number of processes, the leader's among them, and random workers
/// from the store.
fn cut(world: &mut World, leader: usize, parted: usize) {
    for i in 0..PROCESSES {
        let distance = (i + PROCESSES - leader) % PROCESSES;
        world.processes[i].side = if distance < parted { Side::Parted } else { Side::Main };
    }
    for worker in 0..WORKERS {
        let side = match world.rng.random_range(0..10u32) {
            0..5 => Side::Parted,
            5..9 => Side::Main,
            _ => Side::Both,
        };
        world.workers[worker].side = side;
    }
}

fn heal(world: &mut World) {
    world.processes.iter_mut().for_each(|it| it.side = Side::Main);
    world.workers.iter_mut().for_each(|it| it.side = Side::Main);
}

/// Elects a leader in a process that reaches the store, 0.25 to 3 s after a cut
/// that lasts 2 to 20 s, and returns the process.
fn replace_leader(world: &mut World, leader: usize) -> (usize, u64) {
    let cut_ms = world.rng.random_range(2_000..20_000);
    let claim_ms = world.rng.random_range(250..3_000.min(cut_ms));
    world.run(claim_ms);
    let successor = (leader + PROCESSES - 1) % PROCESSES;
    world.elect_on(successor);
    (successor, cut_ms - claim_ms)
}

fn settle(world: &mut World) {
    heal(world);
    world.call_failure_percent = 0;
    for leader in &mut world.leaders {
        (leader.lag_ms, leader.frozen_until) = (0, Timestamp(0));
    }
    world.run(SETTLE_MS);
}

fn check(world: &World, seed: u64) {
    assert!(world.violations.is_empty(), "seed {seed}: {:?}", world.violations);
    assert!(world.unfinished().is_empty(), "seed {seed}: {:?}", world.unfinished());
    assert_eq!(world.running(), 0, "seed {seed}: something still runs");
}

/// A leader that is cut off with a minority starts or keeps work that its
/// successor starts again.
#[test]
fn minority_parted() {
    for seed in 0..SEEDS {
        let mut world = busy_world(seed);
        let parted = world.rng.random_range(1..=3);
        cut(&mut world, 0, parted);
        let (_, left_ms) = replace_leader(&mut world, 0);
        submit(&mut world, 4);
        world.run(left_ms);
        settle(&mut world);
        check(&world, seed);
    }
}

/// A leader that most processes still obey goes on, and its successor takes its
/// leases for expired.
#[test]
fn majority_parted() {
    for seed in 0..SEEDS {
        let mut world = busy_world(seed);
        let parted = world.rng.random_range(4..=6);
        cut(&mut world, 0, parted);
        let (_, left_ms) = replace_leader(&mut world, 0);
        submit(&mut world, 4);
        world.run(left_ms);
        settle(&mut world);
        check(&world, seed);
    }
}
