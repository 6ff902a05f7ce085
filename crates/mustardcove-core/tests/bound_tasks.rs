//! How a new owner reconciles the attempts that shards have bound with the
//! tasks that workers list.
//!
//! Guards against starting an attempt that may already have run, against
//! stopping an unclaimed task before its shard asks for it, and against grants
//! before the usage of each member is known.

use mustardcove_core::{
    group::{GroupAction, GroupEvent},
    id::{Epoch, Incarnation},
    job::EndEvidence,
    message::{BoundTask, GroupToShard, ReserveRefusal, ShardToGroup},
    worker::{StopMode, TaskStart, WorkerOp, WorkerReply},
};

#[path = "support/group_doubles.rs"]
mod group_doubles;
#[path = "support/solo_group.rs"]
mod solo_group;
#[path = "support/worker_double.rs"]
mod worker_double;

use solo_group::{GroupHarness, cores, spec, task};
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

fn lost(harness: &GroupHarness, job: u128) -> Option<EndEvidence> {
    harness.sent.iter().find_map(|it| match it {
        GroupToShard::Lost { task: it, evidence } if *it == task(job) => Some(*evidence),
        _ => None,
    })
}

/// Lets a worker run a task that an earlier owner started.
fn start_under_earlier_epoch(harness: &mut GroupHarness, at: usize, job: u128) {
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
        lease_until: harness.now.plus_ms(6_000),
    };
    harness.workers[at].execute(harness.now, &op).unwrap();
}

/// Guards against a bound attempt that stays unresolved after a takeover, or
/// that is reported as lost although its start can still be sent.
#[test]
fn bound_tasks_end_with_matching_evidence() {
    let mut harness = GroupHarness::new(infos(1), 100);
    let reserved = harness.reserve_allotted(3, "scan", cores(1));
    assert!(matches!(reserved, GroupToShard::Reserved { .. }));
    harness.sent.clear();
    let bound = vec![bound(1, 0), bound(2, 1), bound(3, 1)];
    harness.shard(ShardToGroup::Reconcile { bound });
    assert_eq!(lost(&harness, 1), Some(EndEvidence::NotListed), "bound by an earlier owner");
    assert_eq!(lost(&harness, 2), Some(EndEvidence::NeverSent), "bound without a reservation");
    assert_eq!(harness.workers[0].started, [task(3)], "reserved and never started");
}

/// Guards against a running task that no shard has claimed yet and that loses
/// its lease or its capacity, or is never reported.
#[test]
fn unclaimed_task_runs_until_its_shard_stops_it() {
    let mut harness = GroupHarness::unreconciled(infos(1), 100);
    start_under_earlier_epoch(&mut harness, 0, 1);
    start_under_earlier_epoch(&mut harness, 0, 2);
    harness.event(GroupEvent::Workers(infos(1).into()));
    harness.shard(ShardToGroup::Reconcile { bound: vec![bound(2, 0)] });
    harness.advance(12_000);
    let unclaimed = |it: &&GroupToShard| matches!(it, GroupToShard::Unclaimed { .. });
    let reported: Vec<_> = harness.sent.iter().filter(unclaimed).collect();
    assert!(2 <= reported.len(), "must be repeated until the shard answers");
    let of_task = |it: &&GroupToShard| {
        matches!(it, GroupToShard::Unclaimed { task: it, .. }
        if *it == task(1))
    };
    assert!(reported.iter().all(of_task));
    assert_eq!(harness.workers[0].tasks.len(), 2, "the lease must be renewed meanwhile");
    assert_eq!(harness.group.dump(1).workers[0].committed, cores(2));
    let (worker, mode) = ("w0".parse().unwrap(), StopMode::Kill);
    harness.shard(ShardToGroup::Stop { task: task(1), worker, mode });
    harness.advance(1_000);
    assert_eq!(harness.workers[0].tasks.len(), 1);
}

/// Guards against a grant beyond a member's cap while it is unknown what an
/// unresponsive worker runs.
#[test]
fn no_grant_before_usage_is_known() {
    let mut harness = GroupHarness::unreconciled(infos(2), 100);
    start_under_earlier_epoch(&mut harness, 0, 1);
    harness.unresponsive.push("w0".parse().unwrap());
    harness.event(GroupEvent::Workers(infos(2).into()));
    harness.advance(2_000);
    // Neither the worker nor the shard has reported yet what runs on w0.
    let GroupToShard::ReserveRefused { reason, .. } = harness.reserve(5, "scan", cores(1)) else {
        panic!("granted")
    };
    assert_eq!(reason, ReserveRefusal::NotReady);
    harness.shard(ShardToGroup::Reconcile { bound: vec![bound(1, 0)] });
    assert!(harness.group.is_ready());
    let quotas = harness.group.dump(10).quotas;
    assert_eq!(quotas[0].used, cores(1), "bound attempts must count as usage");
    assert_eq!(harness.run(6, "scan", cores(1)).as_str(), "w1", "w0 was not listed");
    harness.unresponsive.clear();
    harness.advance(6_000);
    assert_eq!(harness.run(7, "scan", cores(1)).as_str(), "w0");
}

/// Guards against placing tasks on a worker whose running tasks are unknown.
#[test]
fn unlisted_worker_gets_no_tasks() {
    let mut harness = GroupHarness::unreconciled(infos(2), 100);
    start_under_earlier_epoch(&mut harness, 0, 1);
    harness.unresponsive.push("w0".parse().unwrap());
    harness.event(GroupEvent::Workers(infos(2).into()));
    harness.shard(ShardToGroup::Reconcile { bound: Vec::new() });
    // The announcement to w0 has neither been answered nor failed yet.
    assert_eq!(harness.run(2, "scan", cores(1)).as_str(), "w1");
}

/// Guards against reporting an attempt as lost whose outcome the worker has
/// but was not yet asked for.
#[test]
fn bound_attempt_waits_for_collected_outcomes() {
    let mut harness = GroupHarness::unreconciled(infos(1), 100);
    harness.event(GroupEvent::Workers(Vec::new().into()));
    // The shard answers between the listing and the collection of outcomes.
    let mut out = Vec::new();
    harness.group.handle(harness.now, GroupEvent::Workers(infos(1).into()), &mut out);
    let announce = out.iter().find_map(|it| match it {
        GroupAction::Worker { call, op: WorkerOp::Announce { .. }, .. } => Some(*call),
        _ => None,
    });
    let call = announce.expect("an announcement");
    let reply = WorkerReply::Announced { incarnation: Incarnation(1), tasks: Vec::new() };
    let worker = harness.workers[0].id();
    let event = GroupEvent::WorkerReply { worker: worker.clone(), call, result: Ok(reply) };
    out.clear();
    harness.group.handle(harness.now, event, &mut out);
    let collect = out.iter().find_map(|it| match it {
        GroupAction::Worker { call, op: WorkerOp::Renew { .. }, .. } => Some(*call),
        _ => None,
    });
    harness.shard(ShardToGroup::Reconcile { bound: vec![bound(1, 0)] });
    assert_eq!(lost(&harness, 1), None, "the outcome may still be in the report");
    let reply = WorkerReply::Renewed { unknown: Vec::new(), report: harness.workers[0].report() };
    let call = collect.expect("a renewal that collects outcomes");
    harness.event(GroupEvent::WorkerReply { worker, call, result: Ok(reply) });
    assert_eq!(lost(&harness, 1), Some(EndEvidence::NotListed));
}
