//! A task that crashes each worker that starts it.
//!
//! Guards against starting it again without a bound, with the loss of all other
//! work on those workers, and against giving up work that only ran beside it,
//! or whose workers were silent, cut off or stopped.

#[path = "support/fleet_world.rs"]
#[expect(dead_code, reason = "shared with tests that need more of it")]
mod fleet_world;

use std::collections::BTreeSet;

use fleet_world::{World, step, submission};
use mustardcove_core::fleet::{
    id::{SubmissionId, TaskKey},
    poller::MAX_ORPHAN_LEASE_MS,
    submission::{StepSpec, SubmissionState},
};
use rand::{RngExt, seq::IndexedRandom};

const WORKERS: usize = 8;
const SUBMISSIONS: u64 = 12;
/// Longest time until all work has ended, in milliseconds.
const SETTLE_MS: u64 = 60_000;

/// Returns a world in which one task of some of the submissions is deadly.
fn deadly_world(seed: u64, deadly: u64) -> World {
    let mut world = World::new(seed, WORKERS);
    world.is_renamed = seed.is_multiple_of(2);
    world.crash_ms = world.rng.random_range(1_000..8_000);
    for id in 1..=SUBMISSIONS {
        let submission = submission(id, vec![step(4, 500, &[]), step(2, 700, &[0])], world.now);
        if id <= deadly {
            let (step, index) = (world.rng.random_range(0..2), world.rng.random_range(0..2));
            world.deadly.insert(submission.task(0, step, index));
        }
        world.submit(submission);
    }
    world
}

fn deadly_submissions(world: &World) -> BTreeSet<SubmissionId> {
    world.deadly.iter().map(|it: &TaskKey| it.step.submission).collect()
}

/// Checks that the deadly submissions have failed, and no others.
fn check(world: &World, seed: u64) {
    assert!(world.violations.is_empty(), "seed {seed}: {:?}", world.violations);
    let deadly = deadly_submissions(world);
    for id in world.submissions.keys() {
        let expected =
            if deadly.contains(id) { SubmissionState::Failed } else { SubmissionState::Completed };
        assert_eq!(world.published.get(id), Some(&expected), "seed {seed}: {id}");
    }
}

/// Replaces the leader at once, as after its loss.
fn replace_leader(world: &mut World) {
    world.leaders.clear();
    world.elect();
}

/// The task is given up, whether its workers come back with their id or with
/// another, and the work beside it is done.
#[test]
fn deadly_task_given_up() {
    for seed in 0..100 {
        let mut world = deadly_world(seed, 2);
        world.run(SETTLE_MS);
        check(&world, seed);
        let most = world.crashes.values().map(|it| it.0).max();
        assert!(most <= Some(4), "seed {seed}: {:?}", world.crashes);
    }
}

/// Calls to workers are lost, delayed or lose their answers meanwhile.
#[test]
fn deadly_calls_lost() {
    for seed in 0..100 {
        let mut world = deadly_world(seed, 2);
        world.call_failure_percent = 10;
        world.run(SETTLE_MS);
        world.call_failure_percent = 0;
        world.run(SETTLE_MS / 2);
        check(&world, seed);
    }
}

/// What is known of the task outlives its leaders.
#[test]
fn deadly_leaders_lost() {
    for seed in 0..100 {
        let mut world = deadly_world(seed, 1);
        for _ in 0..6 {
            let run_ms = world.rng.random_range(500..9_000);
            world.run(run_ms);
            replace_leader(&mut world);
        }
        world.run(SETTLE_MS);
        check(&world, seed);
    }
}

/// The store is away while the task crashes workers, and all instances are lost
/// before it returns, twice. What they knew and did not act on is lost.
#[test]
fn deadly_store_away() {
    for seed in 0..100 {
        let mut world = deadly_world(seed, 1);
        for _ in 0..2 {
            let run_ms = world.rng.random_range(200..6_000);
            world.run(run_ms);
            world.is_store_away = true;
            let away_ms = world.rng.random_range(2_000..10_000);
            world.run(away_ms);
            world.is_store_away = false;
            replace_leader(&mut world);
        }
        world.run(SETTLE_MS);
        check(&world, seed);
    }
}

/// Two leaders in a row are lost before they notice the crashes, and the crashes
/// of other tasks leave no host that is sound.
#[test]
fn deadly_crashes_unnoticed() {
    for seed in 0..100 {
        let mut world = deadly_world(seed, 4);
        for _ in 0..2 {
            let run_ms = world.rng.random_range(100..700);
            world.run(run_ms);
            replace_leader(&mut world);
            // Nothing of the earlier leader is placed before its leases end.
            world.run(MAX_ORPHAN_LEASE_MS);
        }
        world.run(2 * SETTLE_MS);
        check(&world, seed);
    }
}

/// Reports reach the leader late.
#[test]
fn deadly_reports_late() {
    for seed in 0..50 {
        let mut world = deadly_world(seed, 1);
        world.run(300);
        for leader in &mut world.leaders {
            leader.lag_ms = 1_000 + seed * 180;
        }
        world.run(20_000);
        for leader in &mut world.leaders {
            leader.lag_ms = 0;
        }
        world.run(SETTLE_MS);
        check(&world, seed);
    }
}

/// Many deadly tasks at once, on a full fleet.
#[test]
fn many_deadly_tasks() {
    for seed in 0..40 {
        let mut world = deadly_world(seed, 6);
        world.run(2 * SETTLE_MS);
        check(&world, seed);
    }
}

/// Workers that are cut off for longer than their leases have not crashed.
#[test]
fn silence_not_counted() {
    for seed in 0..60 {
        let mut world = deadly_world(seed, 0);
        for _ in 0..12 {
            let until = world.now.plus_ms(world.rng.random_range(1_000..9_000));
            for worker in 0..WORKERS {
                if world.rng.random_range(0..2u32) == 0 {
                    world.workers[worker].unreachable_until = until;
                }
            }
            let run_ms = world.rng.random_range(500..4_000);
            world.run(run_ms);
        }
        world.run(SETTLE_MS);
        check(&world, seed);
    }
}

/// Workers crash by themselves, again and again, under tasks that are sound.
#[test]
fn crashes_of_workers() {
    for seed in 0..60 {
        let mut world = deadly_world(seed, 0);
        let flapping: Vec<usize> = (0..WORKERS).filter(|it| it % 4 == 0).collect();
        for _ in 0..20 {
            let worker = *flapping.choose(&mut world.rng).expect("a worker");
            let down_ms = world.rng.random_range(500..6_000);
            world.crash(worker, down_ms);
            let run_ms = world.rng.random_range(200..2_500);
            world.run(run_ms);
        }
        world.run(SETTLE_MS);
        check(&world, seed);
    }
}

/// Long-running work is kept while some workers crash by themselves.
#[test]
fn long_running_kept() {
    for seed in 0..30 {
        let mut world = World::new(seed, WORKERS);
        world.is_renamed = seed.is_multiple_of(2);
        for id in 1..=4 {
            let step = StepSpec { is_long_running: true, ..step(4, 500, &[]) };
            world.submit(submission(id, vec![step], world.now));
        }
        world.run(2_000);
        for _ in 0..30 {
            let worker = world.rng.random_range(0..2);
            let down_ms = world.rng.random_range(500..4_000);
            world.crash(worker, down_ms);
            let run_ms = world.rng.random_range(500..3_000);
            world.run(run_ms);
        }
        world.run(SETTLE_MS / 2);
        assert!(world.violations.is_empty(), "seed {seed}: {:?}", world.violations);
        let failed = world.published.values().filter(|it| it.is_final()).count();
        assert_eq!(failed, 0, "seed {seed}");
    }
}
