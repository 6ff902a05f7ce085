//! Random days of the planner with simulated workers and submissions.
//!
//! Guards against accepted work that has no run for 3 s although healthy
//! workers have capacity for it twice over and under half of the pool is in
//! use: through submissions that can never be done, failing and hanging
//! workers, long tasks, labels, limits per worker, gangs, lost calls or changes
//! of the leader. Best-effort work beside latency-critical work is not
//! simulated.

#[path = "support/calm_world.rs"]
mod calm_world;
#[path = "support/fleet_world.rs"]
#[expect(dead_code, reason = "shared with tests that need more of it")]
mod fleet_world;

use std::sync::Arc;

use calm_world::{CalmWorld, Defect, MEMORY_MIB, site_listing};
use fleet_world::{step, submission};
use mustardcove_core::{
    fleet::submission::{Schedule, StepSpec, Submission},
    size::Resources,
};
use rand::RngExt;

/// Longest time that work may have no run, in milliseconds, by the users'
/// rules.
const MAX_IDLE_MS: u64 = 3_000;
/// The same for a long-running task from its last run on, however much of the
/// pool is in use.
const MAX_TASK_IDLE_MS: u64 = 9_000;
const WORKERS: usize = 48;
const RACK_SIZE: usize = 8;
/// Processors of each worker, in millicores.
const CPU: u64 = 64_000;
/// Share of the simulation's steps in which a submission arrives, in percent:
/// 6 a second.
const ARRIVAL_PERCENT: u32 = 30;
/// Duration of the traffic and of all faults, in milliseconds.
const TRAFFIC_MS: u64 = 16_000;
/// Time from the last fault until work is judged, in milliseconds, by the
/// users' rules.
const SETTLE_MS: u64 = 14_000;
/// Time for which work is judged after the traffic, in milliseconds.
const JUDGED_MS: u64 = 10_000;
/// Number of simulations of each test; `SEEDS` in the environment overrides it.
const SEEDS: u64 = 24;

/// What happens in a simulation.
#[derive(Clone, Copy, Debug)]
struct Mix {
    /// Share of submissions that can never be done, in percent.
    hopeless_percent: u32,
    /// Whether long-running tasks may be among them.
    has_hopeless_long_running: bool,
    /// Whether tasks may be so long that their percentage hardly moves.
    has_long_tasks: bool,
    /// Whether workers fail, hang, fall silent, refuse and restart.
    has_worker_faults: bool,
    /// Share of calls that are lost or lose their answer, in percent.
    lost_call_percent: u32,
    has_elections: bool,
}

fn draw(world: &mut CalmWorld, id: u64, mix: Mix) -> (Arc<Submission>, u64, bool) {
    let now = world.now;
    let rng = &mut world.rng;
    let is_hopeless = rng.random_range(0..100) < mix.hopeless_percent;
    let work_ms = match rng.random_range(0..10u32) {
        0 if mix.has_long_tasks => rng.random_range(260_000..500_000),
        0..=2 => rng.random_range(2_000..6_000),
        _ => rng.random_range(200..1_500),
    };
    let cpu = match rng.random_range(0..12u32) {
        0 => rng.random_range(12_000..40_000),
        _ => rng.random_range(1_000..8_000),
    };
    let memory = rng.random_range(64..MEMORY_MIB / 6);
    let count = rng.random_range(1..=8u16);
    let demand = Resources::new(cpu, memory, 0);
    let mut spec = StepSpec { demand, estimate_ms: work_ms, ..step(count, cpu, &[]) };
    let mut has_second = rng.random_range(0..2u32) == 0;
    match rng.random_range(0..10u32) {
        0 | 1 => spec.is_gang = true,
        2 => spec.max_per_worker = Some(1),
        3 => {
            spec.is_long_running = !is_hopeless || mix.has_hopeless_long_running;
            has_second = false;
        }
        4 | 5 => spec.is_best_effort = true,
        _ => {}
    }
    match rng.random_range(0..6u32) {
        0 => spec.requirement = Some("gpu".to_owned()),
        1 => spec.requirement = Some(format!("r{}", rng.random_range(0..WORKERS / RACK_SIZE))),
        2 => spec.data_rack = Some("r0".to_owned()),
        _ => {}
    }
    let mut steps = vec![spec.clone()];
    if has_second {
        steps.push(StepSpec { after: vec![0], ..spec });
    }
    let mut it = Arc::unwrap_or_clone(submission(id, steps, now));
    if rng.random_range(0..8u32) == 0 {
        it.schedule = Some(Schedule {
            count: rng.random_range(1..6),
            first_at: now.plus_ms(rng.random_range(0..6_000)),
            interval_ms: rng.random_range(500..6_000),
        });
    }
    (Arc::new(it), work_ms, is_hopeless)
}

fn simulate(seed: u64, mix: Mix) -> CalmWorld {
    let listings = (0..WORKERS).map(|it| site_listing(it, RACK_SIZE, CPU)).collect();
    let mut world = CalmWorld::new(seed, listings);
    world.run(500);
    let is_faulty = mix.has_worker_faults || mix.has_elections || 0 < mix.lost_call_percent;
    world.is_judged = !is_faulty;
    world.call_failure_percent = mix.lost_call_percent;
    let ends_at = world.now.plus_ms(TRAFFIC_MS);
    let mut id = 1;
    while world.now < ends_at {
        if world.rng.random_range(0..100) < ARRIVAL_PERCENT {
            let (it, work_ms, is_hopeless) = draw(&mut world, id, mix);
            id += 1;
            world.submit(it, work_ms, is_hopeless);
        }
        if mix.has_worker_faults && world.rng.random_range(0..20u32) == 0 {
            let worker = world.rng.random_range(0..WORKERS);
            let defect = match world.rng.random_range(0..8u32) {
                0 => Defect::Failing,
                1 => Defect::Hanging,
                2 => Defect::Silent,
                3 => Defect::Refusing,
                4 => {
                    world.restart(worker);
                    Defect::None
                }
                _ => Defect::None,
            };
            world.workers[worker].defect = defect;
        }
        if mix.has_elections && world.rng.random_range(0..100u32) == 0 {
            world.elect();
        }
        world.run(50);
    }
    world.call_failure_percent = 0;
    for worker in &mut world.workers {
        worker.defect = Defect::None;
    }
    if is_faulty {
        world.run(SETTLE_MS);
        world.is_judged = true;
    }
    world.run(JUDGED_MS);
    world
}

/// Checks that no submission is without a run for too long.
fn check(mix: Mix) {
    let seeds = std::env::var("SEEDS").ok().and_then(|it| it.parse().ok()).unwrap_or(SEEDS);
    for seed in 0..seeds {
        let world = simulate(seed, mix);
        for (id, it) in &world.accepted {
            let is_broken = MAX_IDLE_MS < it.longest_idle_ms;
            let of_it = |line: &&String| line.contains(&format!("step={id}."));
            let blocked: Vec<&String> = world.blocked.iter().filter(of_it).collect();
            assert!(
                !is_broken,
                "seed {seed}: {id} (hopeless: {}) had no run for {} ms: {:?}, {blocked:#?}",
                it.is_hopeless, it.longest_idle_ms, it.submission.steps,
            );
            let (idle_ms, task) = it.longest_task_idle.unzip();
            let waits = world.planner.long_running_waits(world.now);
            assert!(
                idle_ms <= Some(MAX_TASK_IDLE_MS),
                "seed {seed}: {task:?} had no run for {idle_ms:?} ms: {:?}, {waits:#?}",
                it.submission.steps,
            );
        }
    }
}

const QUIET: Mix = Mix {
    hopeless_percent: 0,
    has_hopeless_long_running: false,
    has_long_tasks: false,
    has_worker_faults: false,
    lost_call_percent: 0,
    has_elections: false,
};

#[test]
fn quiet() {
    check(QUIET);
}

#[test]
fn long_tasks() {
    check(Mix { has_long_tasks: true, ..QUIET });
}

#[test]
fn hopeless_submissions() {
    check(Mix { hopeless_percent: 50, ..QUIET });
}

#[test]
fn mostly_hopeless() {
    check(Mix { hopeless_percent: 80, ..QUIET });
}

#[test]
fn hopeless_long_running() {
    check(Mix { hopeless_percent: 30, has_hopeless_long_running: true, ..QUIET });
}

#[test]
fn lost_calls() {
    check(Mix { lost_call_percent: 20, ..QUIET });
}

#[test]
fn changed_leaders() {
    check(Mix { has_elections: true, lost_call_percent: 5, ..QUIET });
}

#[test]
fn worker_faults() {
    check(Mix { has_worker_faults: true, ..QUIET });
}

#[test]
fn all_faults() {
    check(Mix {
        hopeless_percent: 30,
        has_hopeless_long_running: true,
        has_long_tasks: true,
        has_worker_faults: true,
        lost_call_percent: 10,
        has_elections: true,
    });
}
