//! Random days with faults, after which every submission goes on.
//!
//! Guards against an accepted submission of which nothing runs for 3 s, while a
//! task's turn has come, two such tasks fit, and less than half of the capacity
//! is in use: beside images that harm each other, large and long tasks, after
//! crashes, workers that fail, stall or are cut off, capacity that shrinks, lost
//! leaders, outages of the store, and lost or late calls.

#[path = "support/fleet_world.rs"]
#[expect(dead_code, reason = "shared with tests that need more of it")]
mod fleet_world;

use std::{
    collections::{BTreeMap, BTreeSet},
    ops::Range,
    sync::Arc,
};

use fleet_world::{HOST, World, queue, step, submission};
use mustardcove_core::{
    fleet::{
        id::{ManifestVersion, SubmissionId, TaskKey},
        manifest::{Manifest, Queue, Service},
        submission::{StepSpec, Submission},
    },
    size::Resources,
    time::Timestamp,
};
use rand::RngExt;

const WORKERS: usize = 12;
/// Capacity of each worker, in millicores and mebibytes.
const CPU: u64 = 32_000;
const MEMORY: u64 = 125_000;
/// Memory that a task needs for each core, in mebibytes.
const MEMORY_PER_CORE: u64 = 800;
const WORKERS_PER_RACK: usize = 4;
/// Images of each kind.
const IMAGES: u64 = 3;
const TAIL_TARGET_MS: u32 = 24;
/// Most workers that are lost for good.
const MAX_LOST: usize = 3;
/// Shortest time for which a worker that restarts is down, in milliseconds.
const MIN_DOWN_MS: u64 = 1_000;
/// Longest time until tasks that crash their workers are given up, in
/// milliseconds.
const GIVE_UP_MS: u64 = 60_000;
/// Time from the last fault until every submission goes on, in milliseconds, by
/// the users' rules.
const SETTLE_MS: u64 = 14_000;
/// Time that is judged after it, in milliseconds.
const JUDGED_MS: u64 = 8_000;
/// Longest time without a run that users accept, in milliseconds, if the
/// conditions hold: under this share of the capacity is in use, in percent, and
/// so many tasks fit.
const MAX_IDLE_MS: u64 = 3_000;
const MAX_USED_PERCENT: u64 = 50;
const MIN_PLACES: u64 = 2;
/// Most decisions that are printed for a submission that broke the rule.
const MAX_DECISIONS: usize = 10;
/// Prefix of the queue whose starts need tickets.
const ADVISED_PREFIX: &str = "/advised/";
/// Number of simulations of each test; `SEEDS` in the environment overrides it.
const SEEDS: u64 = 4;
/// Length of the traffic, in milliseconds; `DAY_MS` in the environment overrides
/// it.
const DAY_MS: u64 = 20_000;

/// What happens in a simulation.
#[derive(Clone, Debug)]
struct Mix {
    has_crashes: bool,
    /// Workers that fail all runs, stall or are slow.
    has_sick_workers: bool,
    has_shrinking: bool,
    has_elections: bool,
    has_outages: bool,
    has_deadly: bool,
    has_tickets: bool,
    max_lost_call_percent: u32,
    max_failure_percent: u32,
    /// Share of the processors that long-running work takes, in percent.
    long_running_percent: Range<u64>,
}

fn advised_queue() -> Queue {
    Queue {
        name: "advised".to_owned(),
        prefix: ADVISED_PREFIX.to_owned(),
        needs_ticket: true,
        ..queue(3)
    }
}

fn manifest() -> Arc<Manifest> {
    let service = fleet_world::SERVICE.to_owned();
    Arc::new(Manifest {
        version: ManifestVersion(2),
        queues: vec![queue(3), advised_queue()],
        services: vec![Service { name: service, rejects_overload: true, is_standby: false }],
        limits: Default::default(),
    })
}

fn demand(cpu: u64) -> Resources {
    Resources::new(cpu, cpu * MEMORY_PER_CORE / 1_000, 0)
}

fn one_in(world: &mut World, chances: u32) -> bool {
    world.rng.random_range(0..chances) == 0
}

fn image(world: &mut World, kind: &str) -> Arc<str> {
    let number = world.rng.random_range(0..IMAGES);
    Arc::from(format!("{kind}{number}"))
}

fn set_pressures(world: &mut World) {
    for victim in 0..IMAGES {
        for neighbour in 0..IMAGES {
            let is_harsh = one_in(world, 2);
            let range = if is_harsh { 2.0..7.0 } else { 0.0..0.8 };
            let pressure = world.rng.random_range(range);
            let pair = (format!("serving{victim}"), format!("filling{neighbour}"));
            world.pressures.insert((Arc::from(pair.0), Arc::from(pair.1)), pressure);
        }
    }
}

fn submit_long_running(world: &mut World, mix: &Mix) {
    let percent = world.rng.random_range(mix.long_running_percent.clone());
    let mut left = CPU * WORKERS as u64 * percent / 100;
    let mut id = 1;
    while 1_000 <= left {
        let cpu = world.rng.random_range(500..=10_000.min(left));
        let count = world.rng.random_range(1..=6u64).min(left / cpu) as u16;
        let spec = StepSpec {
            demand: demand(cpu),
            is_long_running: true,
            max_per_worker: one_in(world, 3).then_some(1),
            image: Some(image(world, "serving")),
            tail_target_ms: Some(TAIL_TARGET_MS),
            ..step(count, cpu, &[])
        };
        let it = submission(id, vec![spec], world.now);
        world.submit(it);
        left -= cpu * u64::from(count);
        id += 1;
    }
}

fn best_effort_step(world: &mut World, index: u16) -> StepSpec {
    let cpu = world.rng.random_range(500..14_000);
    let count = world.rng.random_range(4..=10);
    // Most steps follow the one before, and some run beside it.
    let after: Vec<u16> = if index == 0 || one_in(world, 4) { vec![] } else { vec![index - 1] };
    let estimate_ms = match world.rng.random_range(0..12u32) {
        0 => world.rng.random_range(10_000..90_000),
        _ => world.rng.random_range(500..4_000),
    };
    let rack = world.rng.random_range(0..WORKERS / WORKERS_PER_RACK);
    let kind = if one_in(world, 2) { "a" } else { "b" };
    StepSpec {
        demand: demand(cpu),
        estimate_ms,
        saves_progress: one_in(world, 2),
        is_gang: one_in(world, 10),
        wants_same_rack: one_in(world, 10),
        requirement: one_in(world, 8).then(|| kind.to_owned()),
        data_rack: one_in(world, 5).then(|| format!("r{rack}")),
        max_per_worker: one_in(world, 8).then_some(1),
        image: Some(image(world, "filling")),
        is_best_effort: true,
        ..step(count, cpu, &after)
    }
}

fn batch_step(world: &mut World) -> StepSpec {
    let cpu = world.rng.random_range(500..5_000);
    let count = world.rng.random_range(1..=8);
    let estimate_ms = world.rng.random_range(300..2_000);
    StepSpec { demand: demand(cpu), estimate_ms, ..step(count, cpu, &[]) }
}

fn submit_work(world: &mut World, id: u64, mix: &Mix) {
    let steps = if one_in(world, 4) {
        vec![batch_step(world)]
    } else {
        let steps = world.rng.random_range(1..=3);
        (0..steps).map(|it| best_effort_step(world, it)).collect()
    };
    let it = submission(id, steps, world.now);
    let is_advised = mix.has_tickets && one_in(world, 2);
    let queue = if is_advised { advised_queue() } else { it.queue.clone() };
    let it = Arc::new(Submission { queue, ..(*it).clone() });
    debug_assert_eq!(it.queue.host, HOST);
    if one_in(world, 25) {
        world.hopeless.insert(it.id);
    }
    if mix.has_deadly && one_in(world, 25) {
        world.deadly.insert(it.task(0, 0, 0));
    }
    world.submit(it);
}

/// Lets faults happen to some workers at once.
fn fault(world: &mut World, mix: &Mix, lost: &mut BTreeSet<usize>) {
    let kind = world.rng.random_range(0..16u32);
    let first = world.rng.random_range(0..WORKERS);
    let count = if one_in(world, 2) { 1 } else { world.rng.random_range(2..=5) };
    let workers: Vec<usize> = (0..count).map(|it| (first + it * 5) % WORKERS).collect();
    let is_usable = |world: &World, it: usize| !lost.contains(&it) && !world.is_down(it);
    let workers: Vec<usize> = workers.into_iter().filter(|it| is_usable(world, *it)).collect();
    world.is_renamed = !one_in(world, 4);
    let ms = world.rng.random_range(MIN_DOWN_MS..9_000);
    match kind {
        0..=3 if mix.has_crashes => {
            workers.iter().for_each(|it| world.crash(*it, ms));
        }
        4 if mix.has_crashes && lost.len() < MAX_LOST => {
            if let Some(worker) = workers.first() {
                world.crash(*worker, 10_000_000);
                lost.insert(*worker);
            }
        }
        5 if mix.has_crashes => {
            for it in workers {
                world.workers[it].unreachable_until = world.now.plus_ms(ms);
            }
        }
        6 if mix.has_crashes => {
            for it in workers {
                if !world.unlisted.insert(it) {
                    world.unlisted.remove(&it);
                }
            }
        }
        7 if mix.has_crashes => {
            for it in workers {
                if std::mem::replace(&mut world.workers[it].is_draining, true) {
                    world.crash(it, ms);
                }
            }
        }
        8 if mix.has_sick_workers => {
            workers.iter().for_each(|it| world.workers[*it].is_failing ^= true);
        }
        9 if mix.has_sick_workers => {
            let speed = [0, 20, 100][world.rng.random_range(0..3usize)];
            workers.iter().for_each(|it| world.workers[*it].speed_percent = speed);
        }
        10 | 11 if mix.has_shrinking => {
            let percent = [30, 55, 100][world.rng.random_range(0..3usize)];
            for it in workers {
                world.workers[it].cpu = CPU * percent / 100;
                world.workers[it].memory = MEMORY * percent / 100;
            }
        }
        12 if mix.has_elections => {
            if one_in(world, 2) {
                world.leaders.clear();
            }
            world.elect();
        }
        13 if mix.has_elections => {
            let lag_ms = [0, 700, 2_500][world.rng.random_range(0..3usize)];
            let until = world.now.plus_ms(world.rng.random_range(0..3_000));
            let leader = world.leaders.len() - 1;
            let state = &mut world.leaders[leader];
            (state.lag_ms, state.frozen_until) = (lag_ms, until);
            world.replace_poller(leader, first);
        }
        14 if mix.has_outages => world.is_store_away = !world.is_store_away,
        15 => world.tail_noise = [1.0, 1.3, 2.5][world.rng.random_range(0..3usize)],
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
        worker.is_draining = false;
        worker.is_failing = false;
        worker.speed_percent = 100;
        worker.unreachable_until = worker.unreachable_until.min(world.now.plus_ms(2_000));
    }
    for leader in &mut world.leaders {
        (leader.lag_ms, leader.frozen_until) = (0, Timestamp(0));
    }
}

fn set_loads(world: &mut World, phase: u64) {
    let ids: Vec<SubmissionId> = world.submissions.keys().copied().collect();
    for id in ids.into_iter().filter(|it| it.0 < 1_000) {
        let angle = (world.now.0 as f32 / 4_000.0) + (id.0 + phase) as f32;
        world.loads.insert(id, 0.4 + 0.25 * angle.sin());
    }
}

/// Returns whether a task may still crash workers.
fn is_crashing(world: &World) -> bool {
    let mut deadly = world.deadly.iter().map(|it| it.step.submission);
    deadly.any(|it| is_owed(world, it))
}

fn is_owed(world: &World, id: SubmissionId) -> bool {
    !world.cancelled.contains(&id) && !world.published.get(&id).is_some_and(|it| it.is_final())
}

/// Returns a task of a submission whose turn has come, for which there is room
/// twice over; for a gang, as a whole.
fn placeable(world: &World, id: SubmissionId) -> Option<TaskKey> {
    let submission = &world.submissions[&id];
    let is_placeable = |it: &TaskKey| {
        let spec = &submission.steps[usize::from(it.step.step)];
        let members = if spec.is_gang { u64::from(spec.count) } else { 1 };
        MIN_PLACES * members <= world.places(*it)
    };
    world.ready_tasks(id).into_iter().find(is_placeable)
}

struct Outcome {
    world: World,
    /// The longest time without a run of each submission that broke the rule, and
    /// its task.
    idle: BTreeMap<SubmissionId, (u64, TaskKey, Timestamp)>,
    /// Time in which less than half of the capacity was in use.
    judged_ms: u64,
}

fn judge(world: World, phase: u64) -> Outcome {
    let mut outcome = Outcome { world, idle: BTreeMap::new(), judged_ms: 0 };
    let mut since: BTreeMap<SubmissionId, Timestamp> = BTreeMap::new();
    let until = outcome.world.now.plus_ms(JUDGED_MS);
    while outcome.world.now < until {
        outcome.world.run(50);
        let world = &mut outcome.world;
        if world.now.0.is_multiple_of(500) {
            set_loads(world, phase);
        }
        if MAX_USED_PERCENT <= world.used_percent() {
            since.clear();
            continue;
        }
        outcome.judged_ms += 50;
        let running = world.running_submissions();
        let ids: Vec<SubmissionId> =
            world.submissions.keys().copied().filter(|it| !running.contains(it)).collect();
        since.retain(|it, _| !running.contains(it));
        for id in ids.into_iter().filter(|it| is_owed(world, *it)) {
            let Some(task) = placeable(world, id) else {
                since.remove(&id);
                continue;
            };
            let begun = *since.entry(id).or_insert(world.now);
            let ms = world.now.ms_since(begun);
            if MAX_IDLE_MS <= ms {
                outcome.idle.insert(id, (ms, task, world.now));
            }
        }
    }
    outcome
}

fn simulate(seed: u64, mix: &Mix) -> Outcome {
    let mut world = World::new(seed, WORKERS);
    world.manifest = manifest();
    world.leaders[0].planner.set_manifest(manifest());
    for (i, worker) in world.workers.iter_mut().enumerate() {
        let kind = if i % 2 == 0 { "a" } else { "b" };
        worker.labels = vec![kind.to_owned(), format!("r{}", i / WORKERS_PER_RACK)];
        (worker.cpu, worker.memory) = (CPU, MEMORY);
    }
    world.has_progress = true;
    world.rejects_overload = true;
    world.poll_chances = world.rng.random_range(2..=4);
    set_pressures(&mut world);
    submit_long_running(&mut world, mix);
    world.run(2_000);
    let phase = world.rng.random_range(0..7);
    let interval_ms = world.rng.random_range(300..2_500);
    let mut lost = BTreeSet::new();
    let ends_at = world.now.plus_ms(number("DAY_MS").unwrap_or(DAY_MS));
    let mut id = 1_000;
    while world.now < ends_at {
        if mix.max_lost_call_percent != 0 {
            world.call_failure_percent = world.rng.random_range(0..mix.max_lost_call_percent);
            world.message_loss_percent = world.rng.random_range(0..mix.max_lost_call_percent) / 2;
        }
        if mix.max_failure_percent != 0 {
            world.run_failure_percent = world.rng.random_range(0..mix.max_failure_percent);
        }
        for _ in 0..world.rng.random_range(1..3) {
            submit_work(&mut world, id, mix);
            id += 1;
        }
        if one_in(&mut world, 10) {
            let it = SubmissionId(world.rng.random_range(1_000..id));
            world.cancel(it);
        }
        if one_in(&mut world, 2) {
            fault(&mut world, mix, &mut lost);
        }
        set_loads(&mut world, phase);
        world.run(interval_ms);
    }
    // A burst of work is still there at the end.
    for _ in 0..world.rng.random_range(0..30) {
        submit_work(&mut world, id, &Mix { has_deadly: false, ..mix.clone() });
        id += 1;
    }
    end_faults(&mut world);
    let until = world.now.plus_ms(GIVE_UP_MS);
    let is_faulty = |it: &World| {
        is_crashing(it) || (0..WORKERS).any(|worker| it.is_down(worker) && !lost.contains(&worker))
    };
    while is_faulty(&world) && world.now < until {
        set_loads(&mut world, phase);
        world.run(200);
    }
    for _ in 0..SETTLE_MS / 500 {
        set_loads(&mut world, phase);
        world.run(500);
    }
    judge(world, phase)
}

fn number(name: &str) -> Option<u64> {
    std::env::var(name).ok().and_then(|it| it.parse().ok())
}

/// Returns the newest decisions about a submission.
fn last_decisions(world: &World, id: SubmissionId) -> Vec<&String> {
    let key = id.to_string();
    world.log.iter().rev().filter(|it| it.contains(&key)).take(MAX_DECISIONS).collect()
}

fn check(mix: &Mix) {
    let first = number("FIRST_SEED").unwrap_or(0);
    let (mut failed, mut judged_ms) = (Vec::new(), 0);
    for seed in first..first + number("SEEDS").unwrap_or(SEEDS) {
        let outcome = simulate(seed, mix);
        judged_ms += outcome.judged_ms;
        for (id, (ms, task, at)) in &outcome.idle {
            let decisions = last_decisions(&outcome.world, *id);
            failed.push(format!("seed {seed}: {task} {ms} ms until {at}: {decisions:#?}"));
        }
    }
    assert!(failed.is_empty(), "{} failed: {}", failed.len(), failed.join("\n"));
    assert!(0 < judged_ms, "more than half of the capacity was in use all the time");
}

const QUIET: Mix = Mix {
    has_crashes: false,
    has_sick_workers: false,
    has_shrinking: false,
    has_elections: false,
    has_outages: false,
    has_deadly: false,
    has_tickets: false,
    max_lost_call_percent: 0,
    max_failure_percent: 0,
    long_running_percent: 15..45,
};

#[test]
fn crashed_workers() {
    check(&Mix { has_crashes: true, ..QUIET });
}

#[test]
fn sick_workers() {
    check(&Mix { has_sick_workers: true, max_failure_percent: 20, ..QUIET });
}

#[test]
fn shrunk_workers() {
    check(&Mix { has_crashes: true, has_shrinking: true, ..QUIET });
}

#[test]
fn lost_leaders() {
    check(&Mix { has_crashes: true, has_elections: true, has_outages: true, ..QUIET });
}

#[test]
fn crashing_tasks() {
    check(&Mix { has_crashes: true, has_deadly: true, ..QUIET });
}

#[test]
fn lost_calls() {
    check(&Mix { has_crashes: true, has_shrinking: true, max_lost_call_percent: 40, ..QUIET });
}

#[test]
fn awaited_tickets() {
    check(&Mix { has_crashes: true, has_sick_workers: true, has_tickets: true, ..QUIET });
}

#[test]
fn all_faults() {
    check(&Mix {
        has_crashes: true,
        has_sick_workers: true,
        has_shrinking: true,
        has_elections: true,
        has_outages: true,
        has_deadly: true,
        has_tickets: true,
        max_lost_call_percent: 25,
        max_failure_percent: 20,
        long_running_percent: 15..45,
    });
}

/// The same with just under half of the processors reserved for long-running
/// work.
#[test]
fn nearly_half_in_use() {
    check(&Mix {
        has_crashes: true,
        has_sick_workers: true,
        has_deadly: true,
        max_failure_percent: 20,
        long_running_percent: 40..49,
        ..QUIET
    });
}
