//! What a new owner makes of what shards have bound and workers list.
//!
//! Guards against a start of what may have run, against tasks that nobody
//! claims and that are stopped unasked, and against grants before it is known
//! what members hold.

use mustardcove_core::{
    group::{GroupAction, GroupEvent},
    id::{Epoch, Incarnation},
    job::Evidence,
    message::{BoundTask, GroupToShard, ReserveRefusal, ShardToGroup},
    worker::{StopMode, TaskStart, WorkerOp, WorkerReply},
};

#[path = "support/group_doubles.rs"]
mod group_doubles;
#[path = "support/solo_group.rs"]
mod solo_group;
#[path = "support/worker_double.rs"]
mod worker_double;

use solo_group::{Solo, cores, spec, task};
use worker_double::worker_info;

fn bound(job: u128, epoch: u64) -> BoundTask {
    BoundTask {
        task: task(job),
        worker: "w0".parse().unwrap(),
        epoch: Epoch(epoch),
        spec: spec("scan", cores(1)),
        resume_from: None,
        cancelling: false,
    }
}

fn infos(workers: usize) -> Vec<mustardcove_core::worker::WorkerInfo> {
    (0..workers).map(|n| worker_info(&format!("w{n}"), 5, 2)).collect()
}

fn lost(solo: &Solo, job: u128) -> Option<Evidence> {
    solo.sent.iter().find_map(|it| match it {
        GroupToShard::Lost { task: it, evidence } if *it == task(job) => Some(*evidence),
        _ => None,
    })
}

/// Lets a worker run a task that an earlier owner started.
fn start_earlier(solo: &mut Solo, at: usize, job: u128) {
    let op = WorkerOp::Start {
        epoch: Epoch(0),
        start: TaskStart {
            task: task(job),
            member: "m0".parse().unwrap(),
            class: "scan".parse().unwrap(),
            resources: cores(1),
            payload: bytes::Bytes::new(),
            resume_from: None,
        },
        lease_until: solo.now.plus_ms(6_000),
    };
    solo.workers[at].execute(solo.now, &op).unwrap();
}

#[test]
fn bound_tasks_are_judged_by_what_is_certain() {
    let mut solo = Solo::new(infos(1), 100);
    let reserved = solo.reserve_allotted(3, "scan", cores(1));
    assert!(matches!(reserved, GroupToShard::Reserved { .. }));
    solo.sent.clear();
    let bound = vec![bound(1, 0), bound(2, 1), bound(3, 1)];
    solo.shard(ShardToGroup::Reconcile { bound });
    assert_eq!(lost(&solo, 1), Some(Evidence::NotListed), "bound by a predecessor");
    assert_eq!(lost(&solo, 2), Some(Evidence::NeverSent), "no sound reservation");
    assert_eq!(solo.workers[0].started, [task(3)], "reserved and never started");
}

#[test]
fn unclaimed_task_goes_on_until_its_shard_stops_it() {
    let mut solo = Solo::unreconciled(infos(1), 100);
    start_earlier(&mut solo, 0, 1);
    start_earlier(&mut solo, 0, 2);
    solo.event(GroupEvent::Workers(infos(1).into()));
    solo.shard(ShardToGroup::Reconcile { bound: vec![bound(2, 0)] });
    solo.advance(12_000);
    let unknown = |it: &&GroupToShard| matches!(it, GroupToShard::Unknown { .. });
    let reported: Vec<_> = solo.sent.iter().filter(unknown).collect();
    assert!(2 <= reported.len(), "repeated until the shard answers");
    let of_task = |it: &&GroupToShard| {
        matches!(it, GroupToShard::Unknown { task: it, .. }
        if *it == task(1))
    };
    assert!(reported.iter().all(of_task));
    assert_eq!(solo.workers[0].tasks.len(), 2, "its lease is renewed meanwhile");
    assert_eq!(solo.group.dump(1).workers[0].committed, cores(2));
    let (worker, mode) = ("w0".parse().unwrap(), StopMode::Kill);
    solo.shard(ShardToGroup::Stop { task: task(1), worker, mode });
    solo.advance(1_000);
    assert_eq!(solo.workers[0].tasks.len(), 1);
}

#[test]
fn nothing_is_granted_before_holdings_are_known() {
    let mut solo = Solo::unreconciled(infos(2), 100);
    start_earlier(&mut solo, 0, 1);
    solo.silent.push("w0".parse().unwrap());
    solo.event(GroupEvent::Workers(infos(2).into()));
    solo.advance(2_000);
    // What runs on w0 is known neither from the worker nor from the shard.
    let GroupToShard::ReserveRefused { reason, .. } = solo.reserve(5, "scan", cores(1)) else {
        panic!("granted")
    };
    assert_eq!(reason, ReserveRefusal::NotReady);
    solo.shard(ShardToGroup::Reconcile { bound: vec![bound(1, 0)] });
    assert!(solo.group.is_ready());
    let quotas = solo.group.dump(10).quotas;
    assert_eq!(quotas[0].used, cores(1), "what the shard has bound counts");
    assert_eq!(solo.run(6, "scan", cores(1)).as_str(), "w1", "w0 was not listed");
    solo.silent.clear();
    solo.advance(6_000);
    assert_eq!(solo.run(7, "scan", cores(1)).as_str(), "w0");
}

#[test]
fn unlisted_worker_gets_nothing() {
    let mut solo = Solo::unreconciled(infos(2), 100);
    start_earlier(&mut solo, 0, 1);
    solo.silent.push("w0".parse().unwrap());
    solo.event(GroupEvent::Workers(infos(2).into()));
    solo.shard(ShardToGroup::Reconcile { bound: Vec::new() });
    // The announcement to w0 has neither been answered nor failed yet.
    assert_eq!(solo.run(2, "scan", cores(1)).as_str(), "w1");
}

#[test]
fn bound_while_outcomes_are_collected() {
    let mut solo = Solo::unreconciled(infos(1), 100);
    solo.event(GroupEvent::Workers(Vec::new().into()));
    // The shard answers between the listing and the collection of outcomes.
    let mut out = Vec::new();
    solo.group.handle(solo.now, GroupEvent::Workers(infos(1).into()), &mut out);
    let announce = out.iter().find_map(|it| match it {
        GroupAction::Worker { call, op: WorkerOp::Announce { .. }, .. } => Some(*call),
        _ => None,
    });
    let call = announce.expect("an announcement");
    let reply = WorkerReply::Announced { incarnation: Incarnation(1), tasks: Vec::new() };
    let worker = solo.workers[0].id();
    let event = GroupEvent::WorkerReply { worker: worker.clone(), call, result: Ok(reply) };
    out.clear();
    solo.group.handle(solo.now, event, &mut out);
    let collect = out.iter().find_map(|it| match it {
        GroupAction::Worker { call, op: WorkerOp::Renew { .. }, .. } => Some(*call),
        _ => None,
    });
    solo.shard(ShardToGroup::Reconcile { bound: vec![bound(1, 0)] });
    assert_eq!(lost(&solo, 1), None, "its outcome may be in the report");
    let reply = WorkerReply::Renewed { unknown: Vec::new(), report: solo.workers[0].report() };
    let call = collect.expect("a collection");
    solo.event(GroupEvent::WorkerReply { worker, call, result: Ok(reply) });
    assert_eq!(lost(&solo, 1), Some(Evidence::NotListed));
}
