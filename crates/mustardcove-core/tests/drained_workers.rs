//! Long-running tasks on workers that announce that they leave.
//!
//! Nothing moves a run off such a worker, so it ends as the worker does, unlisted.
//! Guards against a task that then waits for more than the leases there, because
//! leaders change while workers leave one after the other. The bound is the users':
//! a task runs again within 9 s after its worker has left.

#[path = "support/fleet_world.rs"]
#[expect(dead_code, reason = "shared with tests that need more of it")]
mod fleet_world;
#[path = "support/planner_rig.rs"]
#[expect(dead_code, reason = "shared with tests that need more of it")]
mod planner_rig;

use std::{collections::BTreeMap, ops::Range};

use fleet_world::{World, manifest, step, submission};
use mustardcove_core::{
    fleet::{id::TaskKey, planner::DecisionKind, submission::StepSpec},
    time::Timestamp,
};
use planner_rig::{Rig, START};
use rand::RngExt;

const WORKERS: usize = 12;
const PROCESSES: usize = 5;
/// Number of seeds, unless the environment sets `SEEDS`.
const SEEDS: u64 = 40;
/// Shortest time for which a worker that drains serves on, in milliseconds.
const DRAIN_MS: u64 = 2_500;
/// Time for which a worker that has left is down, in milliseconds.
const GONE_MS: u64 = 10_000_000;
/// Time without a run from which users count one, in milliseconds.
const MAX_CALM_AWAY_MS: u64 = 6_000;
/// Longest time without a run that users accept while leaders change as planned, in
/// milliseconds.
const MAX_AWAY_MS: u64 = 9_000;
/// Time between two looks at what runs, in milliseconds.
const LOOK_MS: u64 = 100;
/// Longest time between two leaders, in milliseconds.
const MAX_PAUSE_MS: u64 = 300;

fn long_running(count: u16, cpu: u64) -> StepSpec {
    StepSpec { is_long_running: true, ..step(count, cpu, &[]) }
}

/// How long tasks are without a run.
struct Away {
    since: BTreeMap<TaskKey, Timestamp>,
    longest_ms: u64,
}

impl Away {
    fn new() -> Away {
        Away { since: BTreeMap::new(), longest_ms: 0 }
    }

    fn run(&mut self, world: &mut World, ms: u64) {
        for _ in 0..ms / LOOK_MS {
            world.run(LOOK_MS);
            for id in world.submissions.keys().copied().collect::<Vec<_>>() {
                for task in world.ready_tasks(id) {
                    if 0 < world.runs_of(task) {
                        self.since.remove(&task);
                    } else {
                        let since = *self.since.entry(task).or_insert(world.now);
                        self.longest_ms = self.longest_ms.max(world.now.ms_since(since));
                    }
                }
            }
        }
    }
}

/// Returns the seeds to play. `SEEDS` and `FIRST_SEED` in the environment set others.
fn seeds() -> Range<u64> {
    let number = |name: &str| std::env::var(name).ok().and_then(|it| it.parse::<u64>().ok());
    let first = number("FIRST_SEED").unwrap_or(0);
    first..first + number("SEEDS").unwrap_or(SEEDS)
}

fn busy_world(seed: u64) -> World {
    let mut world = World::with_processes(seed, WORKERS, PROCESSES);
    world.is_long_running_endless = true;
    world.store_delay_ms = 2..=30;
    for id in 1..=4 {
        world.submit(submission(id, vec![long_running(4, 700)], world.now));
    }
    world.run(9_000);
    world
}

/// Replaces workers one after the other; `changes_leader` is asked before each
/// whether the leader steps down.
fn replace_workers(seed: u64, changes_leader: impl Fn(usize) -> bool) -> (World, u64) {
    let mut world = busy_world(seed);
    let mut away = Away::new();
    for (i, worker) in (0..WORKERS / 2).enumerate() {
        world.workers[worker].is_draining = true;
        let ms = world.rng.random_range(0..DRAIN_MS / LOOK_MS) * LOOK_MS;
        away.run(&mut world, ms);
        if changes_leader(i) {
            let pause_ms = world.rng.random_range(0..=MAX_PAUSE_MS);
            world.step_down((i + 1) % PROCESSES, pause_ms);
        }
        away.run(&mut world, DRAIN_MS - ms);
        world.crash(worker, GONE_MS);
        // A worker that leaves removes its entry.
        world.unlisted.insert(worker);
    }
    away.run(&mut world, 12_000);
    (world, away.longest_ms)
}

/// Replaces workers with many seeds, and checks how long tasks are without a run.
fn check(max_away_ms: u64, changes_leader: impl Fn(usize) -> bool) {
    let mut failed = Vec::new();
    for seed in seeds() {
        let (world, longest_ms) = replace_workers(seed, &changes_leader);
        if max_away_ms < longest_ms || !world.violations.is_empty() {
            failed.push(format!("seed {seed}: {longest_ms} ms, {:?}", world.violations));
        }
    }
    assert!(failed.is_empty(), "{} failed: {}", failed.len(), failed.join("\n"));
}

#[test]
fn one_leader() {
    check(MAX_CALM_AWAY_MS, |_| false);
}

/// The leader steps down while every other worker drains, 5 s apart.
#[test]
fn some_leaders() {
    check(MAX_AWAY_MS, |it| it % 2 == 1);
}

/// The leader steps down while each worker drains, 2.5 s apart.
#[test]
fn many_leaders() {
    check(MAX_AWAY_MS, |_| true);
}

/// Guards against a log from which nobody can tell when a worker began to drain,
/// and what ran there then.
#[test]
fn drain_logged() {
    let mut rig = Rig::new(manifest(3), &[("w0", 4_000)]);
    rig.submit(submission(1, vec![long_running(2, 1_000)], START));
    rig.plan();
    rig.poll_all();
    let lines = |rig: &mut Rig, is_draining: bool| -> Vec<String> {
        rig.planner.take_actions();
        rig.update_listings(|it| it.is_draining = is_draining);
        let decisions = rig.planner.take_actions().decisions.into_iter();
        let listed = decisions.filter(|it| it.kind == DecisionKind::WorkerListed);
        listed.map(|it| it.inputs).collect()
    };
    assert_eq!(lines(&mut rig, true), ["draining=true runs=2"]);
    assert_eq!(lines(&mut rig, true), Vec::<String>::new(), "once is enough");
}
