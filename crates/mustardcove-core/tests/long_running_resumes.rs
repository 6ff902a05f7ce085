//! Random faults, after which every long-running task runs again.
//!
//! Guards against a long-running task that waits for good beside free capacity:
//! after crashes, workers that are lost or replaced, capacity that shrinks and
//! grows again, lost leaders, outages of the store, and lost or late calls.

#[path = "support/fleet_world.rs"]
#[expect(dead_code, reason = "shared with tests that need more of it")]
mod fleet_world;

use std::collections::BTreeSet;

use fleet_world::{World, step, submission};
use mustardcove_core::{
    fleet::{
        id::TaskKey,
        submission::{StepSpec, SubmissionState},
    },
    time::Timestamp,
};
use rand::RngExt;

const WORKERS: usize = 12;
/// Processors of each worker, in millicores.
const CPU: u64 = 4_000;
/// Most that long-running tasks take together, in millicores: under half of
/// what the workers have that are never lost for good.
const LONG_RUNNING_CPU: u64 = 16_000;
/// Most workers that are lost for good.
const MAX_LOST: usize = 3;
/// Shortest time for which a worker that restarts is down, in milliseconds: long
/// enough that a poll fails, as the end of the process breaks its connections.
const MIN_DOWN_MS: u64 = 1_500;
/// Longest time until tasks that crash their workers are given up, in
/// milliseconds.
const GIVE_UP_MS: u64 = 90_000;
/// Time from the last fault until every task runs, in milliseconds, by the users'
/// rules.
const SETTLE_MS: u64 = 14_000;
/// Spare runs from which a task has to run, by the users' rules.
const MIN_SPARE_RUNS: u64 = 2;
/// Number of simulations of each test; `SEEDS` in the environment overrides it.
const SEEDS: u64 = 60;

/// What happens in a simulation.
#[derive(Clone, Copy, Debug)]
struct Mix {
    has_crashes: bool,
    has_shrinking: bool,
    has_elections: bool,
    has_outages: bool,
    has_deadly: bool,
    has_late_reports: bool,
    max_lost_call_percent: u32,
    max_failure_percent: u32,
}

fn submit_long_running(world: &mut World, mix: Mix) {
    let (mut id, mut left) = (1, LONG_RUNNING_CPU);
    while 500 <= left {
        let cpu = world.rng.random_range(200..=3_500.min(left));
        let count = world.rng.random_range(1..=5u64).min(left / cpu) as u16;
        let max_per_worker = (world.rng.random_range(0..4u32) == 0).then_some(1);
        let is_long_running = true;
        let spec = StepSpec { is_long_running, max_per_worker, ..step(count, cpu, &[]) };
        let it = submission(id, vec![spec], world.now);
        if mix.has_deadly && world.rng.random_range(0..8u32) == 0 {
            let index = world.rng.random_range(0..usize::from(count));
            world.deadly.insert(it.task(0, 0, index));
        }
        world.submit(it);
        left -= cpu * u64::from(count);
        id += 1;
    }
}

/// Submits work beside the long-running tasks.
fn submit_batch(world: &mut World, id: u64, mix: Mix) {
    let cpu = world.rng.random_range(200..3_000);
    let count = world.rng.random_range(1..=6);
    let is_best_effort = world.rng.random_range(0..3u32) == 0;
    let spec = StepSpec { is_best_effort, ..step(count, cpu, &[]) };
    let it = submission(id, vec![spec], world.now);
    if mix.has_deadly && world.rng.random_range(0..8u32) == 0 {
        world.deadly.insert(it.task(0, 0, 0));
    }
    world.submit(it);
}

fn fault(world: &mut World, mix: Mix, lost: &mut BTreeSet<usize>) {
    let worker = world.rng.random_range(0..WORKERS);
    if lost.contains(&worker) {
        return;
    }
    match world.rng.random_range(0..16u32) {
        0..=2 if mix.has_crashes && !world.is_down(worker) => {
            world.is_renamed = world.rng.random_range(0..2u32) == 0;
            let down_ms = world.rng.random_range(MIN_DOWN_MS..9_000);
            world.crash(worker, down_ms);
        }
        3 if mix.has_crashes && !world.is_down(worker) && lost.len() < MAX_LOST => {
            world.crash(worker, 1_000_000);
            lost.insert(worker);
        }
        4 if mix.has_crashes && !world.is_down(worker) => {
            world.restart_ms = world.rng.random_range(MIN_DOWN_MS..4_000);
            world.restart(worker);
        }
        5 if mix.has_crashes => {
            let ms = world.rng.random_range(500..12_000);
            world.workers[worker].unreachable_until = world.now.plus_ms(ms);
        }
        6 if mix.has_crashes && world.unlisted.insert(worker) => {}
        6 if mix.has_crashes => {
            world.unlisted.remove(&worker);
        }
        7 | 8 if mix.has_shrinking => {
            let percent = [30, 55, 100][world.rng.random_range(0..3usize)];
            let from = world.rng.random_range(0..WORKERS);
            for it in from..(from + world.rng.random_range(1..WORKERS)).min(WORKERS) {
                world.workers[it].cpu = CPU * percent / 100;
            }
        }
        9 if mix.has_elections => {
            if world.rng.random_range(0..2u32) == 0 {
                world.leaders.clear();
            }
            world.elect();
        }
        10 if mix.has_elections => {
            let leader = world.leaders.len() - 1;
            world.replace_poller(leader, worker);
        }
        11 if mix.has_outages => world.is_store_away = !world.is_store_away,
        12 if mix.has_late_reports => {
            let lag_ms = [0, 700, 2_500][world.rng.random_range(0..3usize)];
            let ms = world.rng.random_range(0..3_000);
            let until = world.now.plus_ms(ms);
            if let Some(leader) = world.leaders.last_mut() {
                (leader.lag_ms, leader.frozen_until) = (lag_ms, until);
            }
        }
        13 if mix.has_shrinking && world.is_down(worker) => {
            world.workers[worker].cpu = world.rng.random_range(CPU / 2..2 * CPU);
        }
        14 if mix.has_crashes && !world.is_down(worker) => {
            let was_draining = std::mem::replace(&mut world.workers[worker].is_draining, true);
            world.is_renamed = true;
            if was_draining {
                world.crash(worker, MIN_DOWN_MS);
            }
        }
        _ => {}
    }
}

fn end_faults(world: &mut World) {
    world.call_failure_percent = 0;
    world.message_loss_percent = 0;
    world.run_failure_percent = 0;
    world.is_store_away = false;
    world.unlisted.clear();
    for worker in &mut world.workers {
        worker.cpu = worker.cpu.max(CPU);
        worker.is_draining = false;
        worker.unreachable_until = worker.unreachable_until.min(world.now.plus_ms(3_000));
    }
    for leader in &mut world.leaders {
        (leader.lag_ms, leader.frozen_until) = (0, Timestamp(0));
    }
}

/// Returns whether a task may still crash workers.
fn is_crashing(world: &World) -> bool {
    let is_final = |it: &SubmissionState| it.is_final();
    let mut deadly = world.deadly.iter().map(|it| world.published.get(&it.step.submission));
    deadly.any(|it| !it.is_some_and(is_final))
}

/// Returns the long-running tasks that could run and do not, and those that run
/// twice, each with its number of runs. Which tasks are given up is checked by
/// crash_loop.
fn missing(world: &World) -> Vec<(TaskKey, usize)> {
    let deadly: BTreeSet<_> = world.deadly.iter().map(|it| it.step.submission).collect();
    let mut missing = Vec::new();
    for (id, it) in &world.submissions {
        let state = world.published.get(id);
        let is_kept = it.is_long_running() && !deadly.contains(id);
        if !is_kept {
            continue;
        }
        if state.is_some_and(|it| *it == SubmissionState::Completed) {
            missing.push((it.task(0, 0, 0), 0));
        }
        for index in 0..usize::from(it.steps[0].count) {
            let task = it.task(0, 0, index);
            let runs = world.runs_of(task);
            let is_placeable = MIN_SPARE_RUNS <= world.spare_runs(task);
            let is_failed = state == Some(&SubmissionState::Failed);
            if 1 < runs || (runs == 0 && is_placeable && !is_failed) {
                missing.push((task, runs));
            }
        }
    }
    missing
}

fn simulate(seed: u64, mix: Mix) -> World {
    let mut world = World::new(seed, WORKERS);
    world.is_long_running_endless = true;
    world.rejects_overload = true;
    submit_long_running(&mut world, mix);
    world.run(2_000);
    let mut lost = BTreeSet::new();
    let faults = world.rng.random_range(10..60u64);
    for i in 0..faults {
        if mix.max_lost_call_percent != 0 {
            world.call_failure_percent = world.rng.random_range(0..mix.max_lost_call_percent);
            world.message_loss_percent = world.rng.random_range(0..mix.max_lost_call_percent);
        }
        if mix.max_failure_percent != 0 {
            world.run_failure_percent = world.rng.random_range(0..mix.max_failure_percent);
        }
        if world.rng.random_range(0..3u32) == 0 {
            submit_batch(&mut world, 1_000 + i, mix);
        }
        fault(&mut world, mix, &mut lost);
        let run_ms = world.rng.random_range(50..2_500);
        world.run(run_ms);
    }
    end_faults(&mut world);
    let until = world.now.plus_ms(GIVE_UP_MS);
    let is_faulty = |it: &World| {
        is_crashing(it) || (0..WORKERS).any(|worker| it.is_down(worker) && !lost.contains(&worker))
    };
    while is_faulty(&world) && world.now < until {
        world.run(200);
    }
    world.run(SETTLE_MS);
    world
}

fn check(mix: Mix) {
    let number = |name: &str| std::env::var(name).ok().and_then(|it| it.parse().ok());
    let first = number("FIRST_SEED").unwrap_or(0);
    let mut failed = Vec::new();
    for seed in first..first + number("SEEDS").unwrap_or(SEEDS) {
        let world = simulate(seed, mix);
        let missing = missing(&world);
        // How often a task may crash its workers, too.
        let mut violations = world.violations.clone();
        violations.retain(|it| !it.contains("has crashed"));
        if missing.is_empty() && violations.is_empty() && !is_crashing(&world) {
            continue;
        }
        let waits: Vec<String> = world
            .leaders
            .last()
            .into_iter()
            .flat_map(|it| it.planner.long_running_waits(world.now))
            .collect();
        failed.push(format!("seed {seed}: {missing:?} {violations:?} {waits:#?}"));
    }
    assert!(failed.is_empty(), "{} failed: {}", failed.len(), failed.join("\n"));
}

const QUIET: Mix = Mix {
    has_crashes: false,
    has_shrinking: false,
    has_elections: false,
    has_outages: false,
    has_deadly: false,
    has_late_reports: false,
    max_lost_call_percent: 0,
    max_failure_percent: 0,
};

#[test]
fn crashed_workers() {
    check(Mix { has_crashes: true, ..QUIET });
}

#[test]
fn shrunk_workers() {
    check(Mix { has_crashes: true, has_shrinking: true, ..QUIET });
}

#[test]
fn lost_leaders() {
    check(Mix { has_crashes: true, has_shrinking: true, has_elections: true, ..QUIET });
}

#[test]
fn crashing_tasks() {
    check(Mix { has_crashes: true, has_deadly: true, max_failure_percent: 30, ..QUIET });
}

#[test]
fn lost_calls() {
    check(Mix { has_crashes: true, has_shrinking: true, max_lost_call_percent: 50, ..QUIET });
}

#[test]
fn all_faults() {
    check(Mix {
        has_crashes: true,
        has_shrinking: true,
        has_elections: true,
        has_outages: true,
        has_deadly: true,
        has_late_reports: true,
        max_lost_call_percent: 30,
        max_failure_percent: 30,
    });
}
