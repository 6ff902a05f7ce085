//! Epochs, incarnations, measurements and capacity of the stand-in's workers.

#[path = "support/setup.rs"]
#[allow(dead_code, unreachable_pub, missing_docs)]
mod setup;

use std::time::Duration;

use mustardcove_core::{
    id::Epoch,
    time::Timestamp,
    verdict::Verdict,
    worker::{WorkerError, WorkerOp, WorkerReply},
};
use mustardcove_platform::{
    Workers,
    memory::{FleetConfig, Interference, MemoryFleet, WorkSpec},
};
use setup::{clock, renew_op, start_op, task, task_start, worker_id, worker_info};

const NEVER: Timestamp = Timestamp::MAX;

fn fleet(config: FleetConfig) -> MemoryFleet {
    let fleet = MemoryFleet::new(clock(), config);
    fleet.upsert(worker_info("w1"));
    fleet
}

/// Guards against a former group owner that can still start or renew tasks.
#[tokio::test(start_paused = true)]
async fn lower_epoch_refused() {
    let fleet = fleet(FleetConfig::default());
    let spec = WorkSpec::default();
    fleet.call("w1:1", start_op(1, task(1, 1), &spec, NEVER), NEVER).await.unwrap();
    let announced = fleet.call("w1:1", WorkerOp::Announce { epoch: Epoch(2) }, NEVER).await;
    let Ok(WorkerReply::Announced { tasks, .. }) = announced else {
        panic!("unexpected {announced:?}");
    };
    assert_eq!(tasks.iter().map(|it| it.task).collect::<Vec<_>>(), [task(1, 1)]);
    let stale = Err(WorkerError::StaleEpoch { current: Epoch(2) });
    assert_eq!(fleet.call("w1:1", start_op(1, task(2, 1), &spec, NEVER), NEVER).await, stale);
    assert_eq!(fleet.call("w1:1", renew_op(1, &[task(1, 1)], NEVER, 0), NEVER).await, stale);
    assert_eq!(fleet.tasks(&worker_id("w1")).len(), 1);
}

/// Guards against a start that is sent although its `not_after` has passed.
#[tokio::test(start_paused = true)]
async fn expired_start_not_sent() {
    let fleet = fleet(FleetConfig::default());
    let op = start_op(1, task(1, 1), &WorkSpec::default(), NEVER);
    let now = fleet.clock().now();
    let refused = Err(WorkerError::Unreachable { verdict: Verdict::NotRun });
    assert_eq!(fleet.call("w1:1", op, now).await, refused);
    assert_eq!(fleet.run_history().summary(task(1, 1).job).starts, 0);
}

/// Guards against an acknowledgement for an earlier incarnation that drops
/// unreported events of a later one.
#[tokio::test(start_paused = true)]
async fn restart_events() {
    let fleet = fleet(FleetConfig::default());
    let spec = WorkSpec { work_ms: 10, ..WorkSpec::default() };
    for job in 1..=3 {
        fleet.call("w1:1", start_op(1, task(job, 1), &spec, NEVER), NEVER).await.unwrap();
    }
    tokio::time::sleep(Duration::from_millis(50)).await;
    let before = fleet.reports("w1:1", 0).await.unwrap();
    assert_eq!(before.events.len(), 3);
    fleet.restart(&worker_id("w1"));
    fleet.call("w1:1", start_op(1, task(4, 1), &spec, NEVER), NEVER).await.unwrap();
    tokio::time::sleep(Duration::from_millis(50)).await;
    let renewal = renew_op(1, &[], NEVER, before.sequence);
    let reply = fleet.call("w1:1", renewal, NEVER).await.unwrap();
    let WorkerReply::Renewed { report, .. } = reply else { panic!("unexpected {reply:?}") };
    assert!(before.incarnation < report.incarnation);
    assert_eq!(report.events.iter().map(|it| it.1).collect::<Vec<_>>(), [task(4, 1)]);
}

/// Guards against slowdowns that do not depend on the neighbours: in tests, all
/// placement policies would then perform alike.
#[tokio::test(start_paused = true)]
async fn slowdown_measured() {
    let invoice = "invoice".parse().unwrap();
    let scan = "scan".parse().unwrap();
    let interference = Interference::default().with_pair(invoice, scan, 1.0);
    let fleet = fleet(FleetConfig { interference, sample_delay_ms: 300, ..FleetConfig::default() });
    let spec = WorkSpec { work_ms: 2_000, ..WorkSpec::default() };
    fleet.call("w1:1", start_op(1, task(1, 1), &spec, NEVER), NEVER).await.unwrap();
    let mut neighbour = task_start(task(2, 1), &WorkSpec { work_ms: 0, ..spec });
    neighbour.class = "scan".parse().unwrap();
    let op = WorkerOp::Start { epoch: Epoch(1), start: neighbour, lease_until: NEVER };
    fleet.call("w1:1", op, NEVER).await.unwrap();
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let report = fleet.reports("w1:1", 0).await.unwrap();
    let slowdowns: Vec<f64> = report
        .samples
        .iter()
        .filter(|it| it.task == Some(task(1, 1)))
        .map(|it| it.slowdown)
        .collect();
    assert_eq!(slowdowns, [2.0]);
    tokio::time::sleep(Duration::from_millis(2_400)).await;
    assert_eq!(fleet.run_history().summary(task(1, 1).job).completions, 0);
    tokio::time::sleep(Duration::from_millis(200)).await;
    assert_eq!(fleet.run_history().summary(task(1, 1).job).completions, 1);
}

/// Guards against an unrecorded start that would commit a worker beyond its
/// capacity.
#[tokio::test(start_paused = true)]
async fn overcommit_recorded() {
    let fleet = fleet(FleetConfig::default());
    let spec = WorkSpec::default();
    for job in 1..=8 {
        fleet.call("w1:1", start_op(1, task(job, 1), &spec, NEVER), NEVER).await.unwrap();
    }
    let ninth = fleet.call("w1:1", start_op(1, task(9, 1), &spec, NEVER), NEVER).await;
    assert!(matches!(ninth, Err(WorkerError::Refused { .. })));
    assert_eq!(fleet.run_history().overcommits, [(worker_id("w1"), task(9, 1))]);
}

/// Guards against measurements that pile up because they are not fetched, or
/// that make the worker advance in steps of one millisecond.
#[tokio::test(start_paused = true)]
async fn samples_unfetched() {
    let fleet = fleet(FleetConfig::default());
    let spec = WorkSpec { work_ms: 0, ..WorkSpec::default() };
    for job in 1..=8 {
        fleet.call("w1:1", start_op(1, task(job, 1), &spec, NEVER), NEVER).await.unwrap();
    }
    tokio::time::sleep(Duration::from_secs(6 * 3_600)).await;
    let began = std::time::Instant::now();
    let report = fleet.reports("w1:1", 0).await.unwrap();
    assert!(began.elapsed() < Duration::from_secs(10));
    assert!((1..=1_000).contains(&report.samples.len()), "{}", report.samples.len());
}
