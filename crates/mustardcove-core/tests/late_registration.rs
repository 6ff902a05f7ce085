//! Processes that are registered during a cut, and that a leader on the other
//! side of it does not know.
//!
//! Guards against two leaders that both go on because their quorums are of
//! different processes.

#[path = "support/fleet_world.rs"]
#[expect(dead_code, reason = "shared with tests that need more of it")]
mod fleet_world;

use fleet_world::{Side, World, step, submission};
use mustardcove_core::fleet::submission::StepSpec;
use rand::RngExt;

const WORKERS: usize = 6;
const PROCESSES: usize = 3;
/// Duration of a cut after the claim, in milliseconds.
const CUT_MS: u64 = 24_000;
/// Longest time after the cut until everything has ended, in milliseconds.
const SETTLE_MS: u64 = 300_000;
/// Time in which late calls and the leases of all leaders are over, in
/// milliseconds.
const QUIET_MS: u64 = 15_000;
const SEEDS: u64 = 24;

/// Submits work of short and long runs.
fn submit(world: &mut World, count: u64) {
    let next = world.submissions.len() as u64 + 1;
    for id in next..next + count {
        let estimate_ms = [700, 3_000, 14_000][world.rng.random_range(0..3usize)];
        let first = StepSpec { estimate_ms, ..step(3, 1_500, &[]) };
        world.submit(submission(id, vec![first, step(2, 700, &[0])], world.now));
    }
}

/// Returns a world with a backlog, after a while.
fn busy_world(seed: u64) -> World {
    let mut world = World::with_processes(seed, WORKERS, PROCESSES);
    world.has_progress = true;
    submit(&mut world, 40);
    let run_ms = world.rng.random_range(1_500..6_000);
    world.run(run_ms);
    world
}

/// Ends all cuts, and waits until everything has ended. Returns the first
/// violation of the world.
fn settle(world: &mut World, seed: u64) -> Option<String> {
    world.processes.iter_mut().for_each(|it| it.side = Side::Main);
    world.workers.iter_mut().for_each(|it| it.side = Side::Main);
    let until = world.now.plus_ms(SETTLE_MS);
    world.run(QUIET_MS);
    while world.now < until && !(world.unfinished().is_empty() && world.running() == 0) {
        world.run(QUIET_MS);
    }
    assert!(world.unfinished().is_empty(), "seed {seed}: {:?}", world.unfinished());
    assert_eq!(world.running(), 0, "seed {seed}: something still runs");
    let count = world.violations.len();
    world.violations.first().map(|it| format!("seed {seed}: {count} violations, first {it}"))
}

fn check(broken: &[String]) {
    assert!(broken.is_empty(), "{} seeds: {broken:#?}", broken.len());
}

/// Parts the first `parted` processes, the leader's among them, from the store
/// and the others, starts `started` new ones near the store, and elects one of
/// the processes there.
fn play(parted: usize, started: usize, successor: usize) {
    let mut broken = Vec::new();
    for seed in 0..SEEDS {
        let mut world = busy_world(seed);
        world.processes[..parted].iter_mut().for_each(|it| it.side = Side::Parted);
        for worker in 0..WORKERS {
            world.workers[worker].side = [Side::Parted, Side::Main][worker % 2];
        }
        for _ in 0..started {
            world.start_process(Side::Main);
        }
        let claim_ms = world.rng.random_range(250..3_000);
        world.run(claim_ms);
        world.elect_on(successor);
        submit(&mut world, 4);
        world.run(CUT_MS);
        broken.extend(settle(&mut world, seed));
    }
    check(&broken);
}

/// Half of the processes that a successor knows join it, while most of those
/// that the earlier leader knows obey that.
#[test]
fn half_with_newcomer() {
    play(2, 1, 2);
}

/// A new process leads, and all that the earlier leader knows obey that.
#[test]
fn led_by_newcomer() {
    play(3, 1, 3);
}

/// The same beside further new processes, which are half of those that the
/// successor knows.
#[test]
fn newcomers_among_themselves() {
    play(3, 3, 4);
}
