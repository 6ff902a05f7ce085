//! Order and placement of waiting jobs, and the number of appends they need.

#[path = "support/doubles.rs"]
mod doubles;

use std::collections::BTreeSet;

use doubles::{WORKER, group, spec, summary, world::World};
use mustardcove_core::{
    id::{Epoch, GroupId},
    job::Outcome,
    message::{ReserveRefusal, ShardRequest},
    shard::ShardEvent,
    size::Resources,
    store::StoreOp,
};

/// Guards against urgent work that waits behind work submitted earlier.
#[test]
fn urgent_first() {
    let mut world = World::ready(1);
    world.groups.refuse = Some(ReserveRefusal::NoRoom);
    for n in 0..300 {
        world.submit(&spec("scan", &format!("order-{n}"), "album"));
    }
    world.run(10_000);
    world.groups.refuse = None;
    world.groups.reserves.clear();
    let urgent = spec("rush", "urgent-1", "album");
    world.submit(&urgent);
    world.run(500);
    let first = world.groups.reserves.iter().find(|(_, _, urgent)| *urgent);
    assert_eq!(first.map(|(task, ..)| task.job), Some(urgent.id()));
    assert!(world.groups.running_task(urgent.id()).is_some());
    world.run(20_000);
    assert_eq!(world.groups.running.len(), 301);
}

/// Guards against placing all work in one group while others are free, and
/// against requesting capacity from a group that cannot fit the size.
#[test]
fn spreads_by_capacity() {
    let mut world = World::ready(2);
    for n in 0..40 {
        world.submit(&spec("scan", &format!("order-{n}"), "album"));
    }
    world.run(1000);
    let groups: BTreeSet<GroupId> =
        world.groups.reserves.iter().map(|(_, group, _)| group.clone()).collect();
    assert_eq!(groups.len(), 2);
    let mut full = summary(0, Epoch(1), world.now.plus_ms(1));
    full.largest_free = Resources::ZERO;
    world.event(0, ShardEvent::Summary(full));
    world.groups.reserves.clear();
    for n in 0..10 {
        let mut large = spec("scan", &format!("large-{n}"), "album");
        large.resources = WORKER;
        world.submit(&large);
    }
    world.run(100);
    assert!(!world.groups.reserves.is_empty());
    assert!(world.groups.reserves.iter().all(|(_, it, _)| *it == group(1)));
}

/// Guards against a busy shard that exceeds its share of the store's writes,
/// and against an idle shard that delays its first append.
#[test]
fn append_rate() {
    let mut world = World::ready(3);
    world.run(2000);
    let mut puts = Vec::new();
    for n in 0..200 {
        world.submit(&spec("scan", &format!("order-{n}"), "album"));
        let calls = &world.owners[0].calls;
        if calls.iter().any(|(_, op)| matches!(op, StoreOp::Put { .. })) {
            puts.push(world.now);
        }
        world.run(20);
    }
    assert_eq!(puts.first(), Some(&puts[0]));
    let submitted_for = 200 * 20;
    let segments = world.durable.segments;
    assert!(segments <= submitted_for / 250 + 4, "{segments} segments");
    assert!(puts.windows(2).all(|it| 240 <= it[1].ms_since(it[0])));
}

/// Guards against one append per cancellation in a burst of them.
#[test]
fn cancel_burst() {
    let mut world = World::ready(4);
    world.groups.refuse = Some(ReserveRefusal::NoRoom);
    let specs: Vec<_> = (0..500).map(|n| spec("scan", &format!("order-{n}"), "album")).collect();
    specs.iter().for_each(|it| _ = world.submit(it));
    world.run(2000);
    let (segments, records) = (world.durable.segments, world.durable.records);
    for it in &specs {
        world.request(0, ShardRequest::Cancel { job: it.id(), member: None });
    }
    world.run(2000);
    assert!(specs.iter().all(|it| world.outcome(it.id()) == Some(Outcome::Cancelled)));
    assert_eq!(world.durable.records - records, 500);
    assert!(world.durable.segments - segments <= 2);
}

/// Guards against a dump whose size grows with the number of jobs.
#[test]
fn bounded_dump() {
    let mut world = World::ready(5);
    world.groups.refuse = Some(ReserveRefusal::OverAllotment);
    for n in 0..400 {
        world.submit(&spec("scan", &format!("order-{n}"), "album"));
    }
    world.run(2000);
    let dump = world.owners[0].shard.dump(20);
    assert_eq!((dump.waiting.len(), dump.is_cut), (20, true));
    assert_eq!(dump.jobs.queued, 400);
    assert!(dump.waiting.iter().any(|it| it.reason.contains("allotment")));
    assert!(serde_json::to_vec(&dump).unwrap().len() < 16 * 1024);
}

/// Guards against state that exceeds its memory budget of 64 MiB at the size
/// expected in two years: 10,800 running and 5,900 finished jobs in 16 shards.
#[test]
fn state_size() {
    use mustardcove_core::{
        id::{AttemptNumber, TaskId},
        job::AttemptLocation,
        ledger::{Ledger, Record},
        time::Timestamp,
    };
    let body = "x".repeat(1024);
    let mut bytes = 0;
    for shard in 0..16 {
        let mut ledger = Ledger::new();
        for n in 0..(10_800 + 5900) / 16 {
            let spec = spec("scan", &format!("shard-{shard}-order-{n}"), &body);
            let (job, at) = (spec.id(), Timestamp(1));
            ledger.apply(&Record::Accepted { spec: spec.into(), at });
            let place = AttemptLocation::Worker {
                group: group(1),
                worker: "w".parse().unwrap(),
                epoch: Epoch(1),
            };
            let task = TaskId { job, attempt: AttemptNumber(1) };
            ledger.apply(&Record::Bound { task, place, request: None });
            if n < 5900 / 16 {
                let outcome = Outcome::Succeeded { result: body.clone().into() };
                let (attempt, forget_at) = (None, Timestamp::MAX);
                ledger.apply(&Record::Done { job, attempt, outcome, forget_at });
            }
        }
        bytes += ledger.approximate_bytes();
    }
    assert!(bytes <= 64 << 20, "{bytes} bytes");
}
