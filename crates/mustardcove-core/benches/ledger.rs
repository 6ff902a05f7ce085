//! Cost of the ledger at the size expected in two years, compared with the
//! naive ledger.
//!
//! At that size, one shard of 16 holds 675 running and 369 finished jobs. The
//! naive ledger keeps one list in memory and writes nothing, so the comparison
//! shows the cost of durability and fencing, and that of a growing list.

use std::{hint::black_box, sync::Arc};

use bytes::Bytes;
use criterion::{BatchSize, BenchmarkId, Criterion, Throughput, criterion_group, criterion_main};
use mustardcove_core::{
    agreement::{Agreement, Member},
    class::{Class, ClassKind, Delivery},
    id::{AttemptNumber, Epoch, ProcessId, RequestId, SegmentNumber, ShardId, TaskId, WriteToken},
    job::{AttemptLocation, BodyDigest, JobSpec, Outcome},
    ledger::{
        Ledger, Record, Segment, SnapshotPart, log_key, segment::SegmentHeader,
        snapshot::snapshot_key,
    },
    message::ShardRequest,
    naive::NaiveLedger,
    shard::{Shard, ShardAction, ShardConfig, ShardEvent},
    size::Resources,
    store::{Expect, StoreOp},
    time::Timestamp,
};

#[path = "../tests/support/store.rs"]
#[allow(dead_code, unreachable_pub)]
mod store;

use store::MemoryStore;

const SHARD: ShardId = ShardId(0);

/// Running jobs of one shard at the size expected in two years.
const RUNNING: usize = 675;

/// Finished jobs of one shard at the size expected in two years.
const FINISHED: usize = 369;

fn spec(n: usize) -> JobSpec {
    let class = "scan".parse().unwrap();
    let payload = Bytes::from(vec![b'x'; 1024]);
    JobSpec {
        member: "bindery".parse().unwrap(),
        key: format!("order-{n}").parse().unwrap(),
        digest: BodyDigest::of(&class, &payload),
        class,
        resources: Resources::new(1000, 1024, 0),
        expected_run_ms: 60_000,
        deadline: None,
        payload,
    }
}

fn agreement() -> Arc<Agreement> {
    let class = Class {
        id: "scan".parse().unwrap(),
        kind: ClassKind::Batch,
        delivery: Delivery::Exclusive,
        service: None,
        urgent: false,
        evictable: true,
        resources: Resources::new(1000, 1024, 0),
        expected_run_ms: 60_000,
        latency_target_ms: 0,
        weight: 1.0,
    };
    let member = Member {
        id: "bindery".parse().unwrap(),
        schema: Default::default(),
        cap: Resources::new(1 << 40, 1 << 40, 1 << 20),
        max_requests: 100,
        classes: [class.id.clone()].into(),
        token_digests: Vec::new(),
        evict_over_cap: false,
    };
    Arc::new(Agreement {
        members: [(member.id.clone(), member)].into(),
        classes: [(class.id.clone(), class)].into(),
        ..Agreement::default()
    })
}

fn bound_job(n: usize) -> [Record; 2] {
    let spec = spec(n);
    let task = TaskId { job: spec.id(), attempt: AttemptNumber(1) };
    let place = AttemptLocation::Worker {
        group: "group-1".parse().unwrap(),
        worker: "worker-1".parse().unwrap(),
        epoch: Epoch(1),
    };
    let accepted = Record::Accepted { spec: spec.into(), at: Timestamp(1) };
    [accepted, Record::Bound { task, place, request: None }]
}

fn done_record(n: usize) -> Record {
    let outcome = Outcome::Succeeded { result: Bytes::from(vec![b'y'; 1024]) };
    let forget_at = Timestamp::MAX;
    Record::Done { job: spec(n).id(), attempt: Some(AttemptNumber(1)), outcome, forget_at }
}

/// Returns the records of `running` running jobs and `finished` finished ones.
fn history(running: usize, finished: usize) -> Vec<Record> {
    let mut records: Vec<Record> = (0..running + finished).flat_map(bound_job).collect();
    records.extend((0..finished).map(done_record));
    records
}

fn apply(records: &[Record]) -> Ledger {
    let mut ledger = Ledger::new();
    records.iter().for_each(|it| assert!(ledger.apply(it)));
    ledger
}

fn apply_naive(records: &[Record]) -> NaiveLedger {
    let mut naive = NaiveLedger::new();
    for record in records {
        match record {
            Record::Accepted { spec, .. } => _ = naive.submit(spec),
            Record::Bound { task, .. } => _ = naive.start(task.job),
            Record::Done { job, outcome, .. } => {
                let task = TaskId { job: *job, attempt: AttemptNumber(1) };
                naive.succeed(task, outcome.clone());
            }
            _ => {}
        }
    }
    naive
}

fn apply_records(c: &mut Criterion) {
    let mut group = c.benchmark_group("apply_records");
    for jobs in [RUNNING + FINISHED, 10_000] {
        let finished = jobs * FINISHED / (RUNNING + FINISHED);
        let records = history(jobs - finished, finished);
        group.throughput(Throughput::Elements(records.len() as u64));
        group.bench_with_input(BenchmarkId::new("ledger", jobs), &records, |b, it| {
            b.iter(|| apply(black_box(it)));
        });
        // The naive ledger takes seconds at the larger size.
        if jobs < 10_000 {
            group.bench_with_input(BenchmarkId::new("naive", jobs), &records, |b, it| {
                b.iter(|| apply_naive(black_box(it)));
            });
        }
    }
    group.finish();
}

/// Answers calls to the store until the shard makes no more.
fn answer_calls(
    shard: &mut Shard,
    now: Timestamp,
    store: &mut MemoryStore,
    out: &mut Vec<ShardAction>,
) {
    while let Some(at) = out.iter().position(|it| matches!(it, ShardAction::Store { .. })) {
        let ShardAction::Store { call, op } = out.swap_remove(at) else { unreachable!() };
        let result = store.call(&op);
        shard.handle(now, ShardEvent::StoreReply { call, result }, out);
    }
}

/// Runs the takeover of a shard; returns the shard and the time at which it is
/// ready.
fn recover(store: &mut MemoryStore, process: &str) -> (Shard, Timestamp) {
    let process: ProcessId = process.parse().unwrap();
    let mut now = Timestamp(1_000_000);
    let mut shard = Shard::new(SHARD, 1, process, ShardConfig::default(), 7, now);
    let mut out = Vec::new();
    shard.handle(now, ShardEvent::Tick, &mut out);
    loop {
        answer_calls(&mut shard, now, store, &mut out);
        if shard.is_ready() {
            return (shard, now);
        }
        now = shard.next_deadline().expect("recovery goes on");
        shard.handle(now, ShardEvent::Tick, &mut out);
    }
}

fn commit(c: &mut Criterion) {
    let mut group = c.benchmark_group("commit");
    let batch: Vec<JobSpec> = (10_000..10_200).map(spec).collect();
    group.throughput(Throughput::Elements(batch.len() as u64));
    let mut store = MemoryStore::default();
    fill_store(&mut store, RUNNING, FINISHED);
    group.bench_function("shard", |b| {
        let setup = || {
            let mut store = store.clone();
            let (mut shard, now) = recover(&mut store, "sched-1");
            let mut out = Vec::new();
            shard.handle(now, ShardEvent::Agreement(agreement()), &mut out);
            (shard, now.plus_ms(300), store, batch.clone())
        };
        let run = |(mut shard, now, mut store, batch): (Shard, Timestamp, MemoryStore, Vec<_>)| {
            let mut out = Vec::new();
            for (n, spec) in batch.into_iter().enumerate() {
                let from: ProcessId = "entry-1".parse().unwrap();
                let (request, body) = (RequestId(n as u64), ShardRequest::Submit { spec });
                shard.handle(now, ShardEvent::Request { from, request, body }, &mut out);
            }
            answer_calls(&mut shard, now, &mut store, &mut out);
            let now = now.plus_ms(250);
            shard.handle(now, ShardEvent::Tick, &mut out);
            answer_calls(&mut shard, now, &mut store, &mut out);
            let answers = out.iter().filter(|it| matches!(it, ShardAction::Respond { .. }));
            assert_eq!(answers.count(), 200);
            (shard, store)
        };
        b.iter_batched(setup, run, BatchSize::LargeInput);
    });
    let naive = apply_naive(&history(RUNNING, FINISHED));
    group.bench_function("naive", |b| {
        let run = |mut naive: NaiveLedger| {
            batch.iter().for_each(|it| _ = naive.submit(black_box(it)));
            naive
        };
        b.iter_batched(|| naive.clone(), run, BatchSize::LargeInput);
    });
    group.finish();
}

fn put(store: &mut MemoryStore, key: String, value: Bytes) {
    let (expect, lease) = (Expect::Absent, None);
    store.call(&StoreOp::Put { key, value, expect, lease }).unwrap();
}

/// Stores a snapshot of a shard and 256 segments that follow it.
fn fill_store(store: &mut MemoryStore, running: usize, finished: usize) {
    let seq = SegmentNumber(1000);
    let ledger = apply(&history(running, finished));
    for (part, value) in SnapshotPart::encode_all(&ledger, seq).into_iter().enumerate() {
        put(store, snapshot_key(SHARD, seq, part as u32), value);
    }
    for n in 1..=256 {
        let header = SegmentHeader {
            process: "sched-0".parse().unwrap(),
            epoch: Epoch(1),
            token: WriteToken(n),
        };
        let records = bound_job(20_000 + n as usize).to_vec();
        let value = Segment { header, records }.encode();
        put(store, log_key(SHARD, SegmentNumber(seq.0 + n)), value);
    }
}

fn recovery(c: &mut Criterion) {
    let mut group = c.benchmark_group("recovery");
    group.sample_size(20);
    for (running, finished) in [(RUNNING, FINISHED), (RUNNING, 9000)] {
        let jobs = running + finished;
        let mut store = MemoryStore::default();
        fill_store(&mut store, running, finished);
        group.throughput(Throughput::Elements(jobs as u64 + 256));
        group.bench_function(BenchmarkId::new("shard", jobs), |b| {
            let run = |mut store: MemoryStore| recover(&mut store, "sched-1");
            b.iter_batched(|| store.clone(), run, BatchSize::LargeInput);
        });
        if jobs < 9000 {
            let records = history(running + 256, finished);
            group.bench_function(BenchmarkId::new("naive", jobs), |b| {
                b.iter(|| apply_naive(black_box(&records)));
            });
        }
    }
    group.finish();
}

fn snapshot(c: &mut Criterion) {
    let mut group = c.benchmark_group("snapshot");
    for finished in [FINISHED, 9000] {
        let ledger = apply(&history(RUNNING, finished));
        group.throughput(Throughput::Elements(ledger.len() as u64));
        group.bench_with_input(BenchmarkId::new("encode", ledger.len()), &ledger, |b, it| {
            b.iter(|| SnapshotPart::encode_all(black_box(it), SegmentNumber(1)));
        });
    }
    group.finish();
}

criterion_group!(ledger, apply_records, commit, recovery, snapshot);
criterion_main!(ledger);
