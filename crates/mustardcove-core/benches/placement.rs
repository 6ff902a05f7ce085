//! Time of one placement choice by the learned and the naive policy, at the
//! present size of a group and at the size expected in two years.

use std::hint::black_box;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use mustardcove_core::{
    class::{ClassIndex, ClassKind, ClassTable},
    placement::{BestFitPolicy, LearnedPolicy, PlacementPolicy, PlacementRequest, WorkerView},
    size::Resources,
    time::Timestamp,
    worker::UsageSample,
};

#[path = "../tests/support/fleet.rs"]
mod fleet;

/// Number of batch classes, besides the two service classes.
const BATCH_CLASSES: u16 = 10;

/// Number of choices that are timed one by one for the percentiles.
const TIMED_CHOICES: usize = 20_000;

fn classes() -> ClassTable {
    let mut classes = vec![
        fleet::class("proof", ClassKind::Service, 500, 1024),
        fleet::class("check", ClassKind::Service, 500, 1024),
    ];
    for index in 0..BATCH_CLASSES {
        let name = format!("batch{index}");
        let cpu = 500 + 250 * u64::from(index % 4);
        classes.push(fleet::class(&name, ClassKind::Batch, cpu, 2048));
    }
    fleet::table(&classes)
}

/// Returns workers that run the given number of tasks; every worker has room
/// left.
fn workers(classes: &ClassTable, count: usize, tasks: usize) -> Vec<WorkerView> {
    let capacity = Resources::new(32_000, 125 * 1024, 2);
    let mut workers: Vec<WorkerView> = (0..count).map(|it| fleet::worker(it, capacity)).collect();
    for view in &mut workers {
        fleet::add_residents(view, ClassIndex(0), 4);
        fleet::add_residents(view, ClassIndex(1), 4);
    }
    for number in 0..tasks {
        let class = ClassIndex(2 + ((number * 7 + number / count) % 10) as u16);
        let request = fleet::request(number as u64, class, classes.get(class).resources);
        fleet::start(&mut workers[number % count], fleet::START, &request);
    }
    workers
}

/// Feeds a policy samples from which it learns that batch classes slow services
/// and each other down to different degrees.
fn feed_samples(policy: &mut impl PlacementPolicy, classes: &ClassTable, workers: &[WorkerView]) {
    for round in 0..20 {
        let now = fleet::START.plus_ms(round * 1000);
        for view in workers.iter().take(48) {
            for &(class, _) in &view.residents {
                let sample = UsageSample {
                    worker: view.id.clone(),
                    taken_at: now,
                    class: classes.get(class).id.clone(),
                    task: None,
                    slowdown: 1.1 + 0.1 * f64::from(class.0),
                    used: Resources::ZERO,
                };
                policy.observe(now, classes, &sample, &view.residents, view.capacity);
            }
        }
    }
}

fn requests(classes: &ClassTable) -> Vec<PlacementRequest> {
    let request = |number: u64| {
        let class = ClassIndex(2 + (number % u64::from(BATCH_CLASSES)) as u16);
        fleet::request(1_000_000 + number, class, classes.get(class).resources)
    };
    (0..64).map(request).collect()
}

/// Prints percentiles of the times of single choices, which a mean would hide.
///
/// Between two choices a sample arrives, the placed task is started and another
/// one ends, so that a policy cannot reuse everything that it computed before.
#[expect(clippy::print_stdout, reason = "a benchmark reports on standard output")]
fn percentiles(
    name: &str,
    policy: &mut impl PlacementPolicy,
    classes: &ClassTable,
    mut workers: Vec<WorkerView>,
) {
    let requests = requests(classes);
    let mut times = hdrhistogram::Histogram::<u64>::new(3).unwrap();
    for index in 0..TIMED_CHOICES {
        let now = Timestamp(fleet::START.0 + 60_000 + index as u64);
        let request = &requests[index % requests.len()];
        let view = &workers[(index * 104_729) % workers.len()];
        let sample = UsageSample {
            worker: view.id.clone(),
            taken_at: now,
            class: classes.get(view.residents[index % view.residents.len()].0).id.clone(),
            task: None,
            slowdown: 1.5 + 0.1 * (index % 7) as f64,
            used: Resources::ZERO,
        };
        policy.observe(now, classes, &sample, &view.residents, view.capacity);
        let begin = std::time::Instant::now();
        let choice = policy.choose(now, classes, black_box(request), black_box(&workers));
        times.record(begin.elapsed().as_nanos() as u64).unwrap();
        if let Some(chosen) = choice {
            fleet::start(&mut workers[chosen], now, request);
            let count = workers.len();
            let other = &mut workers[(index * 7919) % count];
            if !other.tasks.is_empty() {
                fleet::end(other, 0);
            }
        }
    }
    println!(
        "{name}: {TIMED_CHOICES} choices, p1 {} ns, p50 {} ns, p99 {} ns, p99.9 {} ns",
        times.value_at_quantile(0.01),
        times.value_at_quantile(0.5),
        times.value_at_quantile(0.99),
        times.value_at_quantile(0.999),
    );
}

fn choices(c: &mut Criterion) {
    let classes = classes();
    let mut group = c.benchmark_group("choose");
    for (count, tasks) in [(48, 690), (750, 10_800)] {
        let workers = workers(&classes, count, tasks);
        let mut learned = LearnedPolicy::new(1);
        feed_samples(&mut learned, &classes, &workers);
        let mut naive = BestFitPolicy::new();
        percentiles(&format!("learned/{count}"), &mut learned, &classes, workers.clone());
        percentiles(&format!("naive/{count}"), &mut naive, &classes, workers.clone());
        let requests = requests(&classes);
        let now = fleet::START.plus_ms(60_000);
        group.bench_function(BenchmarkId::new("learned", count), |b| {
            let mut requests = requests.iter().cycle();
            b.iter(|| learned.choose(now, &classes, requests.next().unwrap(), &workers));
        });
        group.bench_function(BenchmarkId::new("naive", count), |b| {
            let mut requests = requests.iter().cycle();
            b.iter(|| naive.choose(now, &classes, requests.next().unwrap(), &workers));
        });
    }
    group.finish();
}

criterion_group! {
    name = benches;
    config = Criterion::default()
        .sample_size(30)
        .warm_up_time(std::time::Duration::from_millis(500))
        .measurement_time(std::time::Duration::from_secs(2));
    targets = choices
}
criterion_main!(benches);
