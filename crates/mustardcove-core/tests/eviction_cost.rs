//! Which tasks are evicted, and that an eviction serves its purpose.

use mustardcove_core::{
    class::{Class, ClassIndex, ClassKind, ClassTable},
    eviction::{EVICTIONS_PER_MINUTE, EvictionPlanner, IMMUNITY_MS, Knowledge, eviction_cost},
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

/// Urgent work, short and long runs, work that must stay, and watchers.
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

fn put(view: &mut WorkerView, task: RunningTask) {
    view.committed = view.committed.checked_add(task.resources).unwrap();
    fleet::add_residents(view, task.class, 1);
    view.tasks.push(task);
}

fn urgent(number: u64, cpu: u64) -> PlacementRequest {
    let mut request = fleet::request(number, ClassIndex(0), Resources::new(cpu, 512, 0));
    request.urgent = true;
    request
}

/// Guards against a cost model that loses more work than it must.
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
    for kept in [&immune, &stopping, &task(5, 3, now, 1000), &task(6, 0, now, 1000)] {
        assert_eq!(cost(kept), None, "{kept:?}");
    }
}

/// Guards against a watcher that is stopped with no place to go to.
#[test]
fn watcher_needs_place() {
    let classes = classes();
    let now = fleet::START.plus_ms(HOUR_MS);
    let mut workers = vec![fleet::worker(0, Resources::new(2000, 1024, 0))];
    put(&mut workers[0], task(1, 4, fleet::START, HOUR_MS));
    let waiting = [urgent(9, 2000)];
    let table = SlowdownTable::new(classes.len());
    let plan = |workers: &[WorkerView], waiting: &[PlacementRequest]| {
        EvictionPlanner::new().plan(now, &classes, Knowledge::Exact(&table), workers, waiting)
    };
    assert_eq!(plan(&workers, &waiting), []);
    // The second worker has room for the watcher, but not for the urgent task,
    // which needs more memory.
    workers.push(fleet::worker(1, Resources::new(2000, 1024, 0)));
    workers[0].capacity.memory = MemoryMib(2048);
    let larger = [PlacementRequest { resources: Resources::new(2000, 2048, 0), ..urgent(9, 0) }];
    let choices = plan(&workers, &larger);
    assert_eq!(choices.len(), 1);
    assert_eq!(choices[0].worker, 0);
}

/// Guards against a job that is evicted, restarted and evicted again.
#[test]
fn evicted_job_is_immune() {
    let classes = classes();
    let table = SlowdownTable::new(classes.len());
    let mut planner = EvictionPlanner::new();
    let mut workers = vec![fleet::worker(0, Resources::new(2000, 1024, 0))];
    put(&mut workers[0], task(1, 1, fleet::START, HOUR_MS));
    let mut plan = |now, workers: &[WorkerView]| {
        planner.plan(now, &classes, Knowledge::Exact(&table), workers, &[urgent(9, 2000)]).len()
    };
    assert_eq!(plan(fleet::START, &workers), 1);
    workers[0].tasks[0].task.attempt = AttemptNumber(2);
    assert_eq!(plan(fleet::START.plus_ms(IMMUNITY_MS - 1), &workers), 0);
    assert_eq!(plan(fleet::START.plus_ms(IMMUNITY_MS), &workers), 1);
}

fn fleet_strategy() -> impl Strategy<Value = Vec<Vec<(u16, u64, bool, bool)>>> {
    let task = (1..5u16, 0..HOUR_MS, any::<bool>(), prop::bool::weighted(0.2));
    prop::collection::vec(prop::collection::vec(task, 0..5), 1..5)
}

fn build(spec: &[Vec<(u16, u64, bool, bool)>], now: Timestamp) -> Vec<WorkerView> {
    let mut workers = Vec::new();
    for (index, tasks) in spec.iter().enumerate() {
        let mut view = fleet::worker(index, Resources::new(8000, 64 * 1024, 0));
        for (position, &(class, age, immune, stopping)) in tasks.iter().take(4).enumerate() {
            let number = (index * 10 + position) as u64;
            let mut task = task(number, class, now.minus_ms(age), HOUR_MS);
            task.immune_until = if immune { now.plus_ms(age % 3) } else { now };
            task.stopping = stopping;
            put(&mut view, task);
        }
        workers.push(view);
    }
    workers
}

/// Checks that every eviction was allowed and that each urgent request that
/// caused one finds room afterwards.
fn check(
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
    let mut found = 0;
    for request in waiting {
        let fits = |it: &WorkerView| request.resources.fits_in(it.free());
        if let Some(index) =
            (0..after.len()).filter(|&it| fits(&after[it])).min_by_key(|&it| after[it].free().cpu)
        {
            fleet::start(&mut after[index], now, request);
            found += 1;
        }
    }
    assert!(choices.is_empty() || found != 0, "work was evicted and nothing could start");
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        failure_persistence: None,
        rng_algorithm: prop::test_runner::RngAlgorithm::ChaCha,
        rng_seed: prop::test_runner::RngSeed::Fixed(31),
        ..ProptestConfig::default()
    })]

    /// Guards against evictions of work that must stay, evictions that do not
    /// make enough room, and evictions where there is room already.
    #[test]
    fn evictions_serve_their_purpose(spec in fleet_strategy(), cpu in 1..5u64, count in 1..4u64) {
        let classes = classes();
        let now = fleet::START.plus_ms(2 * HOUR_MS);
        let workers = build(&spec, now);
        let waiting: Vec<_> = (0..count).map(|it| urgent(900 + it, cpu * 2000)).collect();
        let mut learned = LearnedPolicy::new(1);
        let choices = learned.evictions(now, &classes, &workers, &waiting);
        check(now, &classes, &workers, &waiting, &choices);
        if workers.iter().any(|it| waiting[0].resources.fits_in(it.free())) && count == 1 {
            prop_assert_eq!(choices, []);
        }
        let choices = BestFitPolicy::new().evictions(now, &classes, &workers, &waiting);
        check(now, &classes, &workers, &waiting, &choices);
    }
}
