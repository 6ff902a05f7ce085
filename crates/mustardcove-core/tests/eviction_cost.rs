//! Which tasks are evicted, and that evictions make room for urgent work.

use mustardcove_core::{
    class::{Class, ClassIndex, ClassKind, ClassTable},
    eviction::{EVICTIONS_PER_MINUTE, EvictionPlanner, IMMUNITY_MS, SlowdownModel, eviction_cost},
    id::AttemptNumber,
    interference::SlowdownTable,
    placement::{
        BestFitPolicy, EvictionChoice, LearnedPolicy, PlacementPolicy, PlacementRequest,
        RunningTask, WorkerView,
    },
    size::{MemoryMib, Resources},
    time::Timestamp,
};
use proptest::prelude::*;

#[path = "support/fleet.rs"]
mod fleet;

const HOUR_MS: u64 = 3_600_000;

/// Returns classes of urgent work, short and long runs, work that must not be
/// evicted, and watchers, in this order.
fn classes() -> ClassTable {
    let batch = |name: &str| fleet::class(name, ClassKind::Batch, 2000, 1024);
    let fixed = Class { evictable: false, ..batch("fixed") };
    let watcher = Class { kind: ClassKind::Watcher, ..batch("watcher") };
    let urgent = Class { urgent: true, ..batch("urgent") };
    fleet::table(&[urgent, batch("short"), batch("long"), fixed, watcher])
}

fn task(number: u64, class: u16, started_at: Timestamp, run_ms: u64) -> RunningTask {
    let mut view = fleet::worker(0, Resources::new(2000, 1024, 0));
    let needs = Resources::new(2000, 1024, 0);
    let mut request = fleet::request(number, ClassIndex(class), needs);
    request.expected_run_ms = run_ms;
    fleet::start(&mut view, started_at, &request);
    view.tasks.remove(0)
}

fn add_task(view: &mut WorkerView, task: RunningTask) {
    view.committed = view.committed.checked_add(task.resources).unwrap();
    fleet::add_residents(view, task.class, 1);
    view.tasks.push(task);
}

fn urgent_request(number: u64, cpu: u64) -> PlacementRequest {
    let mut request = fleet::request(number, ClassIndex(0), Resources::new(cpu, 512, 0));
    request.urgent = true;
    request
}

/// Guards against a cost model that loses more work than necessary.
#[test]
fn cost_orders_tasks() {
    let classes = classes();
    let now = fleet::START.plus_ms(2 * HOUR_MS);
    let cost = |task: &RunningTask| eviction_cost(now, classes.get(task.class), task, 10_000);
    let fresh = task(1, 1, now.minus_ms(1000), 300_000);
    let halfway = task(2, 1, now.minus_ms(150_000), 300_000);
    let saved = RunningTask { checkpoint_at: now.minus_ms(1000), ..halfway.clone() };
    let ending = RunningTask { expected_end: now.plus_ms(2000), ..saved.clone() };
    let long = task(3, 2, now.minus_ms(1000), HOUR_MS);
    let watcher = task(4, 4, now.minus_ms(1000), HOUR_MS);
    assert!(cost(&fresh) < cost(&halfway));
    assert!(cost(&saved) < cost(&halfway));
    assert!(cost(&saved) < cost(&ending));
    assert!(cost(&fresh) < cost(&long));
    assert!(cost(&long) < cost(&watcher));
    let immune = RunningTask { immune_until: now.plus_ms(1), ..fresh.clone() };
    let stopping = RunningTask { stopping: true, ..fresh.clone() };
    for protected in [&immune, &stopping, &task(5, 3, now, 1000), &task(6, 0, now, 1000)] {
        assert_eq!(cost(protected), None, "{protected:?}");
    }
}

/// Guards against the eviction of a watcher while no other worker has room for
/// it.
#[test]
fn watcher_is_evicted_only_if_it_can_move() {
    let classes = classes();
    let now = fleet::START.plus_ms(HOUR_MS);
    let mut workers = vec![fleet::worker(0, Resources::new(2000, 1024, 0))];
    add_task(&mut workers[0], task(1, 4, fleet::START, HOUR_MS));
    let waiting = [urgent_request(9, 2000)];
    let table = SlowdownTable::new(classes.len());
    let plan = |workers: &[WorkerView], waiting: &[PlacementRequest]| {
        EvictionPlanner::new().plan(now, &classes, SlowdownModel::Exact(&table), workers, waiting)
    };
    assert_eq!(plan(&workers, &waiting), []);
    // The second worker has room for the watcher, but not for the urgent task,
    // which needs more memory.
    workers.push(fleet::worker(1, Resources::new(2000, 1024, 0)));
    workers[0].capacity.memory = MemoryMib(2048);
    let larger =
        [PlacementRequest { resources: Resources::new(2000, 2048, 0), ..urgent_request(9, 0) }];
    let choices = plan(&workers, &larger);
    assert_eq!(choices.len(), 1);
    assert_eq!(choices[0].worker, 0);
}

/// Guards against a job that is evicted again soon after its restart.
#[test]
fn evicted_job_is_immune() {
    let classes = classes();
    let table = SlowdownTable::new(classes.len());
    let mut planner = EvictionPlanner::new();
    let mut workers = vec![fleet::worker(0, Resources::new(2000, 1024, 0))];
    add_task(&mut workers[0], task(1, 1, fleet::START, HOUR_MS));
    let mut plan = |now, workers: &[WorkerView]| {
        planner
            .plan(now, &classes, SlowdownModel::Exact(&table), workers, &[urgent_request(9, 2000)])
            .len()
    };
    assert_eq!(plan(fleet::START, &workers), 1);
    workers[0].tasks[0].task.attempt = AttemptNumber(2);
    assert_eq!(plan(fleet::START.plus_ms(IMMUNITY_MS - 1), &workers), 0);
    assert_eq!(plan(fleet::START.plus_ms(IMMUNITY_MS), &workers), 1);
}

fn workers_strategy() -> impl Strategy<Value = Vec<Vec<(u16, u64, bool, bool)>>> {
    let task = (1..5u16, 0..HOUR_MS, any::<bool>(), prop::bool::weighted(0.2));
    prop::collection::vec(prop::collection::vec(task, 0..5), 1..5)
}

fn build_workers(spec: &[Vec<(u16, u64, bool, bool)>], now: Timestamp) -> Vec<WorkerView> {
    let mut workers = Vec::new();
    for (index, tasks) in spec.iter().enumerate() {
        let mut view = fleet::worker(index, Resources::new(8000, 64 * 1024, 0));
        for (position, &(class, age, immune, stopping)) in tasks.iter().take(4).enumerate() {
            let number = (index * 10 + position) as u64;
            let mut task = task(number, class, now.minus_ms(age), HOUR_MS);
            task.immune_until = if immune { now.plus_ms(age % 3) } else { now };
            task.stopping = stopping;
            add_task(&mut view, task);
        }
        workers.push(view);
    }
    workers
}

/// Checks that every eviction was allowed and that urgent work has room
/// afterwards.
fn check_evictions(
    now: Timestamp,
    classes: &ClassTable,
    workers: &[WorkerView],
    waiting: &[PlacementRequest],
    choices: &[EvictionChoice],
) {
    assert!(choices.len() <= EVICTIONS_PER_MINUTE);
    let mut after = workers.to_vec();
    for choice in choices {
        let view = &mut after[choice.worker];
        let position = view.tasks.iter().position(|it| it.task == choice.task).unwrap();
        let task = fleet::end(view, position);
        assert!(classes.get(task.class).evictable && !task.stopping && task.immune_until <= now);
    }
    for view in &mut after {
        while let Some(position) = view.tasks.iter().position(|it| it.stopping) {
            fleet::end(view, position);
        }
    }
    let mut started = 0;
    for request in waiting {
        let fits = |it: &WorkerView| request.resources.fits_in(it.free());
        if let Some(index) =
            (0..after.len()).filter(|&it| fits(&after[it])).min_by_key(|&it| after[it].free().cpu)
        {
            fleet::start(&mut after[index], now, request);
            started += 1;
        }
    }
    assert!(choices.is_empty() || started != 0, "tasks were evicted but no urgent task has room");
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        failure_persistence: None,
        rng_algorithm: prop::test_runner::RngAlgorithm::ChaCha,
        rng_seed: prop::test_runner::RngSeed::Fixed(31),
        ..ProptestConfig::default()
    })]

    /// Guards against evictions of work that must not be evicted, evictions that
    /// do not make enough room, and evictions while there is room already.
    #[test]
    fn evictions_are_allowed_and_make_room(spec in workers_strategy(), cpu in 1..5u64, count in 1..4u64) {
        let classes = classes();
        let now = fleet::START.plus_ms(2 * HOUR_MS);
        let workers = build_workers(&spec, now);
        let waiting: Vec<_> = (0..count).map(|it| urgent_request(900 + it, cpu * 2000)).collect();
        let mut learned = LearnedPolicy::new(1);
        let choices = learned.choose_evictions(now, &classes, &workers, &waiting);
        check_evictions(now, &classes, &workers, &waiting, &choices);
        if workers.iter().any(|it| waiting[0].resources.fits_in(it.free())) && count == 1 {
            prop_assert_eq!(choices, []);
        }
        let choices = BestFitPolicy::new().choose_evictions(now, &classes, &workers, &waiting);
        check_evictions(now, &classes, &workers, &waiting, &choices);
    }
}
