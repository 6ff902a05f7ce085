//! Reports that are late, repeated, reordered or from an old incarnation.
//!
//! Guards against outcomes that are dropped before they are durable or handled
//! twice, and against samples that are attributed to the wrong co-located
//! tasks.

use mustardcove_core::{
    group::GroupEvent,
    job::{Checkpoint, Outcome},
    message::{GroupToShard, ShardToGroup},
    size::Resources,
    worker::{TaskEvent, UsageSample, WorkerOp, WorkerReport},
};

#[path = "support/group_doubles.rs"]
mod group_doubles;
#[path = "support/solo_group.rs"]
mod solo_group;
#[path = "support/worker_double.rs"]
mod worker_double;

use solo_group::{GroupHarness, cores, task};
use worker_double::worker_info;

fn harness() -> GroupHarness {
    GroupHarness::new(vec![worker_info("w0", 8, 2)], 100)
}

fn acknowledged(harness: &GroupHarness) -> u64 {
    let renewals = harness.calls.iter().rev().filter_map(|it| match &it.1 {
        WorkerOp::Renew { acknowledged, .. } => Some(*acknowledged),
        _ => None,
    });
    renewals.take(1).sum()
}

fn finished(harness: &GroupHarness, job: u128) -> usize {
    let of_job = |it: &&GroupToShard| matches!(it, GroupToShard::Finished { task: it, .. } if *it == task(job));
    harness.sent.iter().filter(of_job).count()
}

/// Guards against a worker that drops an outcome before its shard has made it
/// durable.
#[test]
fn outcome_is_kept_until_acknowledged() {
    let mut harness = harness();
    harness.run(1, "scan", cores(1));
    harness.run(2, "scan", cores(1));
    let result = bytes::Bytes::from_static(b"r");
    harness.workers[0].end(task(1), TaskEvent::Succeeded { result: result.clone() });
    harness.workers[0].end(task(2), TaskEvent::Succeeded { result });
    harness.sent.clear();
    harness.advance(10_000);
    assert!(3 <= finished(&harness, 1), "must be repeated until acknowledged");
    harness.shard(ShardToGroup::Acknowledge { task: task(2) });
    harness.advance(2_000);
    assert_eq!(
        acknowledged(&harness),
        0,
        "acknowledged although an earlier outcome is not durable"
    );
    assert_eq!(harness.workers[0].events.len(), 2);
    harness.shard(ShardToGroup::Acknowledge { task: task(1) });
    harness.advance(4_000);
    assert_eq!(acknowledged(&harness), 2);
    assert!(harness.workers[0].events.is_empty());
    assert_eq!(harness.group.dump(10).task_count, 0);
}

/// Guards against outcomes that count twice, and against an older checkpoint
/// that replaces a newer one.
#[test]
fn repeated_and_reordered_reports_count_once() {
    let mut harness = harness();
    harness.run(1, "scan", cores(1));
    let checkpoint = |n: u16| {
        let checkpoint = Checkpoint { token: format!("c{n}"), progress_permille: n };
        TaskEvent::Checkpointed { checkpoint }
    };
    harness.workers[0].push(task(1), checkpoint(1));
    let early = harness.workers[0].report();
    harness.workers[0].push(task(1), checkpoint(2));
    let late = harness.workers[0].report();
    let result = bytes::Bytes::new();
    harness.workers[0].end(task(1), TaskEvent::Succeeded { result });
    let last = harness.workers[0].report();
    harness.sent.clear();
    for report in [&late, &early, &late, &last, &last, &early] {
        harness.event(GroupEvent::Report(report.clone()));
    }
    let tokens: Vec<&str> = harness
        .sent
        .iter()
        .filter_map(|it| match it {
            GroupToShard::Checkpointed { checkpoint, .. } => Some(checkpoint.token.as_str()),
            _ => None,
        })
        .collect();
    assert_eq!(tokens, ["c1", "c2"], "an older checkpoint must not replace a newer one");
    assert_eq!(finished(&harness, 1), 1);
}

/// Guards against an outcome from an earlier incarnation after the attempt was
/// reported as lost.
#[test]
fn old_incarnation_is_ignored() {
    let mut harness = harness();
    harness.run(1, "scan", cores(1));
    let result = bytes::Bytes::new();
    let mut old = harness.workers[0].clone();
    old.end(task(1), TaskEvent::Succeeded { result });
    harness.workers[0].restart();
    harness.sent.clear();
    harness.advance(2_000);
    harness.event(GroupEvent::Report(old.report()));
    assert_eq!(finished(&harness, 1), 0, "the attempt was already reported as lost");
    assert!(harness.sent.iter().any(|it| matches!(it, GroupToShard::Lost { .. })));
}

/// Guards against attributing a late sample to the worker's current tasks
/// instead of those at the time of the measurement, and against counting it
/// twice.
#[test]
fn samples_are_attributed_to_residents() {
    let mut harness = harness();
    harness.run(1, "scan", cores(1));
    let alone = harness.now;
    harness.advance(1_000);
    harness.run(2, "binding", cores(1));
    let shared = harness.now;
    harness.advance(1_000);
    let result = bytes::Bytes::new();
    harness.workers[0].end(task(2), TaskEvent::Succeeded { result });
    harness.advance(5_000);
    let sample = |taken_at| UsageSample {
        worker: "w0".parse().unwrap(),
        taken_at,
        class: "scan".parse().unwrap(),
        task: Some(task(1)),
        slowdown: 1.5,
        used: Resources::new(900, 100, 0),
    };
    let report = WorkerReport {
        samples: vec![sample(shared), sample(alone), sample(shared)],
        ..harness.workers[0].report()
    };
    harness.event(GroupEvent::Report(report));
    let tasks_and_slots: Vec<(usize, u16)> = harness
        .group
        .policy()
        .observed
        .iter()
        .map(|(_, residents)| (residents.len(), residents.iter().map(|it| it.1).sum()))
        .collect();
    // Two slots of the upstream are always residents of the worker.
    assert_eq!(
        tasks_and_slots,
        [(3, 4), (2, 3)],
        "must be attributed by the time taken, without duplicates"
    );
}

/// Guards against a failing worker that stays in use or makes its jobs fail
/// for good.
#[test]
fn failing_worker_is_quarantined_and_jobs_are_retried() {
    let infos = (0..4).map(|n| worker_info(&format!("w{n}"), 8, 2)).collect();
    let mut harness = GroupHarness::new(infos, 100);
    let mut starts = 0;
    while harness.group.dump(1).quarantined.is_empty() {
        starts += 1;
        assert!(starts <= 6, "still in use after {starts} failed starts");
        let job = 100 + starts;
        assert_eq!(harness.run(job, "scan", cores(1)).as_str(), "w0");
        let detail = "disk error".to_owned();
        harness.workers[0].end(task(job), TaskEvent::Failed { detail });
        harness.sent.clear();
        harness.advance(1_600);
        let was_given_up = harness.sent.iter().any(|it| match it {
            GroupToShard::Finished { outcome: Outcome::Failed { refusal }, .. } => {
                refusal.retry_at.is_none()
            }
            _ => false,
        });
        assert!(!was_given_up, "the job was given up because of a failing worker");
        harness.shard(ShardToGroup::Acknowledge { task: task(job) });
        // The same class of work succeeds elsewhere.
        harness.avoid = vec!["w0".parse().unwrap()];
        assert_eq!(harness.run(job + 500, "scan", cores(1)).as_str(), "w1");
        harness.avoid.clear();
        let result = bytes::Bytes::new();
        harness.workers[1].end(task(job + 500), TaskEvent::Succeeded { result });
        harness.advance(1_600);
    }
    assert_eq!(harness.run(900, "scan", cores(1)).as_str(), "w1");
    harness.advance(20_000);
    assert_eq!(harness.run(901, "scan", cores(1)).as_str(), "w0", "must get a single probe");
    assert_eq!(harness.run(902, "scan", cores(1)).as_str(), "w1", "must get one probe at a time");
}
