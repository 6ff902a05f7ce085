//! Cost of calls to the stand-ins, over HTTP and in memory.

#![allow(missing_docs)]

use std::{hint::black_box, time::Duration};

use criterion::{Criterion, criterion_group, criterion_main};
use mustardcove_core::{
    id::{AttemptNumber, Epoch, JobId, TaskId},
    size::Resources,
    store::{Expect, StoreOp},
    time::Timestamp,
    worker::{TaskStart, WorkerInfo, WorkerOp},
};
use mustardcove_platform::{
    Clock, Store, Workers,
    http::{HttpLimits, HttpStore, HttpWorkers},
    memory::{FleetConfig, MemoryFleet, WorkSpec},
    standin::{FleetStandin, StoreStandin},
};
use tokio::runtime::Runtime;

const NEVER: Timestamp = Timestamp::MAX;

fn put(value_bytes: usize) -> StoreOp {
    let value = vec![7; value_bytes].into();
    StoreOp::Put { key: "a".to_owned(), value, expect: Expect::Any, lease: None }
}

fn store(c: &mut Criterion) {
    let runtime = Runtime::new().unwrap();
    let clock = Clock::start();
    let standin = runtime.block_on(StoreStandin::start(clock, 1)).unwrap();
    let http = HttpStore::new(clock, &standin.address().to_string(), HttpLimits::default());
    let memory = standin.store().clone();
    let mut group = c.benchmark_group("store");
    group.measurement_time(Duration::from_secs(2)).sample_size(20);
    for (name, bytes) in [("1 KiB", 1 << 10), ("64 KiB", 64 << 10), ("1 MiB", 1 << 20)] {
        let op = put(bytes);
        group.bench_function(format!("put {name}, memory"), |b| {
            b.iter(|| runtime.block_on(memory.call(op.clone())).unwrap())
        });
        group.bench_function(format!("put {name}, HTTP"), |b| {
            b.iter(|| runtime.block_on(http.call(op.clone())).unwrap())
        });
    }
    group.finish();
}

fn info(index: usize) -> WorkerInfo {
    WorkerInfo {
        id: format!("w{index}").parse().unwrap(),
        address: format!("w{index}:1"),
        region: "moldova".parse().unwrap(),
        domain: "iasi-a".parse().unwrap(),
        rack: "rack-1".parse().unwrap(),
        capacity: Resources::new(64_000, 250_000, 0),
        leaving: false,
        upstreams: Vec::new(),
    }
}

fn task(job: usize) -> TaskId {
    TaskId { job: JobId(job as u128), attempt: AttemptNumber(1) }
}

fn start_op(job: usize) -> WorkerOp {
    let spec = WorkSpec { work_ms: 0, ..WorkSpec::default() };
    let start = TaskStart {
        task: task(job),
        member: "m".parse().unwrap(),
        class: format!("c{}", job % 4).parse().unwrap(),
        resources: Resources::new(1_000, 1_000, 0),
        payload: spec.to_payload(),
        resume_from: None,
    };
    WorkerOp::Start { epoch: Epoch(1), start, lease_until: NEVER }
}

fn workers(c: &mut Criterion) {
    const WORKERS: usize = 750;
    const TASKS: usize = 10_800;
    let runtime = Runtime::new().unwrap();
    let clock = Clock::start();
    let fleet = MemoryFleet::new(clock, FleetConfig::default());
    (0..WORKERS).for_each(|it| fleet.upsert(info(it)));
    for job in 0..TASKS {
        let address = format!("w{}:1", job % WORKERS);
        runtime.block_on(fleet.call(&address, start_op(job), NEVER)).unwrap();
    }
    let mut next = 0;
    let mut renew = || {
        next = (next + 1) % WORKERS;
        let tasks = (0..TASKS / WORKERS).map(|it| task(next + it * WORKERS)).collect();
        let op = WorkerOp::Renew { epoch: Epoch(1), tasks, lease_until: NEVER, acknowledged: 0 };
        (format!("w{next}:1"), op)
    };
    let mut group = c.benchmark_group("worker");
    group.measurement_time(Duration::from_secs(2)).sample_size(20);
    group.bench_function("renew 14 tasks, 750 workers, memory", |b| {
        b.iter(|| {
            let (address, op) = renew();
            black_box(runtime.block_on(fleet.call(&address, op, NEVER)).unwrap())
        })
    });
    let standin = FleetStandin::start(clock, FleetConfig::default());
    let address = runtime.block_on(standin.add(info(0))).unwrap().address;
    let http = HttpWorkers::new(clock, HttpLimits::default());
    let announce = WorkerOp::Announce { epoch: Epoch(1) };
    group.bench_function("announce, HTTP", |b| {
        b.iter(|| runtime.block_on(http.call(&address, announce.clone(), NEVER)).unwrap())
    });
    group.finish();
}

criterion_group!(benches, store, workers);
criterion_main!(benches);
