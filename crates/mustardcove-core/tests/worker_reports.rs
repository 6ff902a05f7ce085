//! Reports that are late, repeated, reordered or from an old incarnation.
//!
//! Guards against outcomes that are lost before they are durable or taken
//! twice, and against samples that are blamed on the wrong neighbours.

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

use solo_group::{Solo, cores, task};
use worker_double::worker_info;

fn solo() -> Solo {
    Solo::new(vec![worker_info("w0", 8, 2)], 100)
}

fn acknowledged(solo: &Solo) -> u64 {
    let renewals = solo.calls.iter().rev().filter_map(|it| match &it.1 {
        WorkerOp::Renew { acknowledged, .. } => Some(*acknowledged),
        _ => None,
    });
    renewals.take(1).sum()
}

fn finished(solo: &Solo, job: u128) -> usize {
    let of_job = |it: &&GroupToShard| matches!(it, GroupToShard::Finished { task: it, .. } if *it == task(job));
    solo.sent.iter().filter(of_job).count()
}

#[test]
fn outcome_is_kept_until_acknowledged() {
    let mut solo = solo();
    solo.run(1, "scan", cores(1));
    solo.run(2, "scan", cores(1));
    let result = bytes::Bytes::from_static(b"r");
    solo.workers[0].end(task(1), TaskEvent::Succeeded { result: result.clone() });
    solo.workers[0].end(task(2), TaskEvent::Succeeded { result });
    solo.sent.clear();
    solo.advance(10_000);
    assert!(3 <= finished(&solo, 1), "repeated until acknowledged");
    solo.shard(ShardToGroup::Acknowledge { task: task(2) });
    solo.advance(2_000);
    assert_eq!(acknowledged(&solo), 0, "an earlier outcome is not durable yet");
    assert_eq!(solo.workers[0].events.len(), 2);
    solo.shard(ShardToGroup::Acknowledge { task: task(1) });
    solo.advance(4_000);
    assert_eq!(acknowledged(&solo), 2);
    assert!(solo.workers[0].events.is_empty());
    assert_eq!(solo.group.dump(10).task_count, 0);
}

#[test]
fn repeated_and_reordered_reports_count_once() {
    let mut solo = solo();
    solo.run(1, "scan", cores(1));
    let checkpoint = |n: u16| {
        let checkpoint = Checkpoint { token: format!("c{n}"), progress_permille: n };
        TaskEvent::Checkpointed { checkpoint }
    };
    solo.workers[0].push(task(1), checkpoint(1));
    let early = solo.workers[0].report();
    solo.workers[0].push(task(1), checkpoint(2));
    let late = solo.workers[0].report();
    let result = bytes::Bytes::new();
    solo.workers[0].end(task(1), TaskEvent::Succeeded { result });
    let last = solo.workers[0].report();
    solo.sent.clear();
    for report in [&late, &early, &late, &last, &last, &early] {
        solo.event(GroupEvent::Report(report.clone()));
    }
    let tokens: Vec<&str> = solo
        .sent
        .iter()
        .filter_map(|it| match it {
            GroupToShard::Checkpointed { checkpoint, .. } => Some(checkpoint.token.as_str()),
            _ => None,
        })
        .collect();
    assert_eq!(tokens, ["c1", "c2"], "an older checkpoint does not replace a newer one");
    assert_eq!(finished(&solo, 1), 1);
}

#[test]
fn old_incarnation_is_ignored() {
    let mut solo = solo();
    solo.run(1, "scan", cores(1));
    let result = bytes::Bytes::new();
    let mut old = solo.workers[0].clone();
    old.end(task(1), TaskEvent::Succeeded { result });
    solo.workers[0].restart();
    solo.sent.clear();
    solo.advance(2_000);
    solo.event(GroupEvent::Report(old.report()));
    assert_eq!(finished(&solo, 1), 0, "the attempt was reported as lost already");
    assert!(solo.sent.iter().any(|it| matches!(it, GroupToShard::Lost { .. })));
}

#[test]
fn samples_meet_their_neighbours() {
    let mut solo = solo();
    solo.run(1, "scan", cores(1));
    let alone = solo.now;
    solo.advance(1_000);
    solo.run(2, "binding", cores(1));
    let shared = solo.now;
    solo.advance(1_000);
    let result = bytes::Bytes::new();
    solo.workers[0].end(task(2), TaskEvent::Succeeded { result });
    solo.advance(5_000);
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
        ..solo.workers[0].report()
    };
    solo.event(GroupEvent::Report(report));
    let tasks_and_slots: Vec<(usize, u16)> = solo
        .group
        .policy()
        .observed
        .iter()
        .map(|(_, residents)| (residents.len(), residents.iter().map(|it| it.1).sum()))
        .collect();
    // Two slots of the upstream share the worker at all times.
    assert_eq!(tasks_and_slots, [(3, 4), (2, 3)], "by the time taken, repetitions dropped");
}

#[test]
fn failures_tell_workers_from_jobs() {
    let infos = (0..4).map(|n| worker_info(&format!("w{n}"), 8, 2)).collect();
    let mut solo = Solo::new(infos, 100);
    let mut starts = 0;
    while solo.group.dump(1).quarantined.is_empty() {
        starts += 1;
        assert!(starts <= 6, "still in use after {starts} failed starts");
        let job = 100 + starts;
        assert_eq!(solo.run(job, "scan", cores(1)).as_str(), "w0");
        let detail = "disk error".to_owned();
        solo.workers[0].end(task(job), TaskEvent::Failed { detail });
        solo.sent.clear();
        solo.advance(1_600);
        let blamed = solo.sent.iter().any(|it| match it {
            GroupToShard::Finished { outcome: Outcome::Failed { refusal }, .. } => {
                refusal.retry_at.is_none()
            }
            _ => false,
        });
        assert!(!blamed, "the job is not to blame for its worker");
        solo.shard(ShardToGroup::Acknowledge { task: task(job) });
        // The same class of work succeeds elsewhere.
        solo.avoid = vec!["w0".parse().unwrap()];
        assert_eq!(solo.run(job + 500, "scan", cores(1)).as_str(), "w1");
        solo.avoid.clear();
        let result = bytes::Bytes::new();
        solo.workers[1].end(task(job + 500), TaskEvent::Succeeded { result });
        solo.advance(1_600);
    }
    assert_eq!(solo.run(900, "scan", cores(1)).as_str(), "w1");
    solo.advance(20_000);
    assert_eq!(solo.run(901, "scan", cores(1)).as_str(), "w0", "a single probe");
    assert_eq!(solo.run(902, "scan", cores(1)).as_str(), "w1", "one probe at a time");
}
