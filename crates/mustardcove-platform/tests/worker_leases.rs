//! Leases, checkpoints, reports and overlaps of the stand-in's workers.

#[path = "support/setup.rs"]
#[allow(dead_code, unreachable_pub, missing_docs)]
mod setup;

use std::time::Duration;

use mustardcove_core::{
    id::Epoch,
    time::Timestamp,
    worker::{StopMode, TaskEvent, WorkerError, WorkerOp, WorkerReply, WorkerReport},
};
use mustardcove_platform::{
    Workers,
    memory::{FleetConfig, MemoryFleet, WorkSpec, WorkerFault},
};
use setup::{clock, renew_op, start_op, task, task_start, worker_id, worker_info};

const NEVER: Timestamp = Timestamp::MAX;

fn fleet() -> MemoryFleet {
    let fleet = MemoryFleet::new(clock(), FleetConfig::default());
    fleet.upsert(worker_info("w1"));
    fleet.upsert(worker_info("w2"));
    fleet
}

async fn report(fleet: &MemoryFleet, after: u64) -> WorkerReport {
    fleet.reports("w1:1", after).await.unwrap()
}

fn work(work_ms: u64) -> WorkSpec {
    WorkSpec { work_ms, ..WorkSpec::default() }
}

/// Guards against a task that keeps running after its lease expired, which
/// would make the evidence of section 3.3 of `docs/design.md` wrong.
#[tokio::test(start_paused = true)]
async fn lease_expires() {
    let fleet = fleet();
    let lease = fleet.clock().now().plus_ms(2_500);
    fleet.call("w1:1", start_op(1, task(1, 1), &work(60_000), lease), NEVER).await.unwrap();
    tokio::time::sleep(Duration::from_millis(2_499)).await;
    assert_eq!(fleet.tasks(&worker_id("w1")).len(), 1);
    tokio::time::sleep(Duration::from_millis(1)).await;
    assert_eq!(fleet.tasks(&worker_id("w1")).len(), 0);
    let report = report(&fleet, 0).await;
    assert!(matches!(&report.events[..], [(_, _, TaskEvent::Stopped { checkpoint: None })]));
}

/// Guards against a renewal that does not extend the lease of a listed task,
/// and against one that does not report tasks which the worker does not run.
#[tokio::test(start_paused = true)]
async fn lease_renewed() {
    let fleet = fleet();
    let lease = fleet.clock().now().plus_ms(2_500);
    fleet.call("w1:1", start_op(1, task(1, 1), &work(4_000), lease), NEVER).await.unwrap();
    let renewal = renew_op(1, &[task(1, 1), task(2, 1)], lease.plus_ms(6_000), 0);
    let reply = fleet.call("w1:1", renewal, NEVER).await.unwrap();
    assert!(matches!(reply, WorkerReply::Renewed { unknown, .. } if unknown == [task(2, 1)]));
    tokio::time::sleep(Duration::from_millis(4_000)).await;
    let report = report(&fleet, 0).await;
    let [(_, id, TaskEvent::Succeeded { result })] = &report.events[..] else {
        panic!("unexpected {report:?}");
    };
    assert_eq!((*id, &result[..]), (task(1, 1), &b"done"[..]));
    assert_eq!(fleet.run_history().summary(task(1, 1).job).completions, 1);
}

/// Guards against an event that is lost because the answer with its first
/// report was lost.
#[tokio::test(start_paused = true)]
async fn reports_repeat() {
    let fleet = fleet();
    fleet.call("w1:1", start_op(1, task(1, 1), &work(100), NEVER), NEVER).await.unwrap();
    tokio::time::sleep(Duration::from_millis(200)).await;
    let first = report(&fleet, 0).await;
    let again = report(&fleet, 0).await;
    assert_eq!((first.events.len(), &first.events), (1, &again.events));
    let renewal = renew_op(1, &[], NEVER, first.sequence);
    fleet.call("w1:1", renewal, NEVER).await.unwrap();
    let reply = fleet.call("w1:1", renew_op(1, &[], NEVER, 0), NEVER).await.unwrap();
    assert!(matches!(reply, WorkerReply::Renewed { report, .. } if report.events.is_empty()));
}

/// Guards against a task that runs twice because the answer to its start was
/// lost and the start is repeated, possibly after the task has ended.
#[tokio::test(start_paused = true)]
async fn start_repeated() {
    let fleet = fleet();
    fleet.set_fault(&worker_id("w1"), WorkerFault::AnswersLost);
    let start = start_op(1, task(1, 1), &work(100), NEVER);
    let lost = fleet.call("w1:1", start.clone(), NEVER).await;
    assert!(matches!(lost, Err(WorkerError::Unreachable { .. })));
    fleet.set_fault(&worker_id("w1"), WorkerFault::None);
    fleet.call("w1:1", start.clone(), NEVER).await.unwrap();
    tokio::time::sleep(Duration::from_millis(200)).await;
    fleet.call("w1:1", start, NEVER).await.unwrap();
    tokio::time::sleep(Duration::from_millis(200)).await;
    let summary = fleet.run_history().summary(task(1, 1).job);
    assert_eq!((summary.starts, summary.completions), (1, 1));
}

/// Guards against work that is repeated or skipped when a task resumes from a
/// checkpoint after an eviction.
#[tokio::test(start_paused = true)]
async fn checkpoint_resumes() {
    let fleet = fleet();
    let spec = work(1_000);
    fleet.call("w1:1", start_op(1, task(1, 1), &spec, NEVER), NEVER).await.unwrap();
    tokio::time::sleep(Duration::from_millis(400)).await;
    let stop = WorkerOp::Stop { epoch: Epoch(1), task: task(1, 1), mode: StopMode::Checkpoint };
    assert_eq!(fleet.call("w1:1", stop, NEVER).await, Ok(WorkerReply::Stopping));
    let stopped = report(&fleet, 0).await;
    let [(_, _, TaskEvent::Stopped { checkpoint: Some(checkpoint) })] = &stopped.events[..] else {
        panic!("unexpected {stopped:?}");
    };
    assert_eq!(checkpoint.progress_permille, 400);
    let mut start = task_start(task(1, 2), &spec);
    start.resume_from = Some(checkpoint.clone());
    let resume = WorkerOp::Start { epoch: Epoch(1), start, lease_until: NEVER };
    fleet.call("w2:1", resume, NEVER).await.unwrap();
    tokio::time::sleep(Duration::from_millis(599)).await;
    assert_eq!(fleet.tasks(&worker_id("w2")).len(), 1);
    tokio::time::sleep(Duration::from_millis(2)).await;
    assert_eq!(fleet.tasks(&worker_id("w2")).len(), 0);
    assert_eq!(fleet.run_history().overlaps, []);
}

/// Guards against a paused worker that resumes a task whose lease expired in
/// the meantime.
#[tokio::test(start_paused = true)]
async fn paused_worker() {
    let fleet = fleet();
    let lease = fleet.clock().now().plus_ms(500);
    fleet.call("w1:1", start_op(1, task(1, 1), &work(1_000), lease), NEVER).await.unwrap();
    tokio::time::sleep(Duration::from_millis(200)).await;
    fleet.set_fault(&worker_id("w1"), WorkerFault::Paused);
    tokio::time::sleep(Duration::from_millis(2_000)).await;
    fleet.set_fault(&worker_id("w1"), WorkerFault::None);
    let summary = fleet.run_history().summary(task(1, 1).job);
    assert_eq!((summary.starts, summary.completions), (1, 0));
    assert_eq!(fleet.tasks(&worker_id("w1")).len(), 0);
}

/// Guards against two attempts of a job that run at the same time without being
/// recorded as an overlap, and against recording attempts that ran one after
/// the other.
#[tokio::test(start_paused = true)]
async fn overlap_recorded() {
    let fleet = fleet();
    fleet.call("w1:1", start_op(1, task(1, 1), &work(1_000), NEVER), NEVER).await.unwrap();
    fleet.call("w2:1", start_op(1, task(1, 2), &work(1_000), NEVER), NEVER).await.unwrap();
    assert_eq!(fleet.run_history().overlaps.len(), 1);
    tokio::time::sleep(Duration::from_millis(2_000)).await;
    fleet.call("w1:1", start_op(1, task(2, 1), &work(1_000), NEVER), NEVER).await.unwrap();
    tokio::time::sleep(Duration::from_millis(2_000)).await;
    fleet.call("w2:1", start_op(1, task(2, 2), &work(1_000), NEVER), NEVER).await.unwrap();
    assert_eq!(fleet.run_history().overlaps.len(), 1, "one after the other is no overlap");
}
