//! Injected faults of workers, and lag and outages of the instance list.

#[path = "support/setup.rs"]
#[allow(dead_code, unreachable_pub, missing_docs)]
mod setup;

use std::time::Duration;

use mustardcove_core::{id::Epoch, time::Timestamp, worker::TaskEvent, worker::WorkerOp};
use mustardcove_platform::{
    Clock, InstanceList, OwnInstance, Workers,
    http::{HttpInstances, HttpLimits},
    memory::{FleetConfig, MemoryFleet, MemoryInstances, WorkSpec},
    standin::{FleetStandin, InstancesStandin},
    upstream::{SERVICE_TIME_HEADER, TASK_HEADER},
};
use setup::{clock, start_op, task, upstream_info, worker_id, worker_info};

const NEVER: Timestamp = Timestamp::MAX;

fn own_instance(name: &str, last: u8) -> OwnInstance {
    OwnInstance {
        name: name.to_owned(),
        address: [127, 0, 0, last].into(),
        region: "moldova".parse().unwrap(),
        domain: "iasi-a".parse().unwrap(),
        leaving: false,
    }
}

/// Guards against tests of quarantine whose faulty worker does not actually
/// fail its tasks.
#[tokio::test(start_paused = true)]
async fn fails_everything() {
    let fleet = MemoryFleet::new(clock(), FleetConfig::default());
    fleet.upsert(worker_info("w1"));
    fleet.set_fails_everything(&worker_id("w1"), true);
    for job in 1..=3 {
        let op = start_op(1, task(job, 1), &WorkSpec::default(), NEVER);
        fleet.call("w1:1", op, NEVER).await.unwrap();
    }
    tokio::time::sleep(Duration::from_millis(100)).await;
    let report = fleet.reports("w1:1", 0).await.unwrap();
    let failed = report.events.iter().filter(|it| matches!(it.2, TaskEvent::Failed { .. }));
    assert_eq!(failed.count(), 3);
}

/// Guards against a partition of one poller from a worker that affects other
/// pollers as well, or that cannot be ended.
#[tokio::test(start_paused = true)]
async fn partition_one_poller() {
    let fleet = MemoryFleet::new(clock(), FleetConfig::default());
    fleet.upsert(worker_info("w1"));
    let (near, far) = ([127, 0, 0, 2].into(), [127, 0, 0, 3].into());
    fleet.set_partitioned(far, &worker_id("w1"), true);
    let announce = WorkerOp::Announce { epoch: Epoch(1) };
    assert!(fleet.connection(near).call("w1:1", announce.clone(), NEVER).await.is_ok());
    assert!(fleet.connection(far).call("w1:1", announce.clone(), NEVER).await.is_err());
    fleet.set_partitioned(far, &worker_id("w1"), false);
    assert!(fleet.connection(far).call("w1:1", announce, NEVER).await.is_ok());
}

/// Guards against a crash that clients do not notice, and against work that
/// continues after it.
#[tokio::test]
async fn crash_ends_work() {
    let standin = FleetStandin::start(Clock::start(), FleetConfig::default());
    let mut info = worker_info("w1");
    info.upstreams.push(upstream_info(8));
    let info = standin.add(info).await.unwrap();
    let before = standin.fleet().incarnation(&info.id);
    let serving = reqwest::Client::new()
        .post(format!("http://{}/serve", info.upstreams[0].address))
        .header(TASK_HEADER, task(1, 1).to_string())
        .header(SERVICE_TIME_HEADER, "60000");
    let serving = tokio::spawn(async move { serving.send().await });
    let began = std::time::Instant::now();
    while standin.fleet().run_history().running(task(1, 1).job).is_none() {
        assert!(began.elapsed() < Duration::from_secs(5), "the request did not begin");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    standin.restart(&info.id).await;
    let result = tokio::time::timeout(Duration::from_secs(5), serving).await.unwrap().unwrap();
    assert!(result.is_err(), "{result:?}");
    assert_ne!(standin.fleet().incarnation(&info.id), before);
    let run_history = standin.fleet().run_history();
    assert!(run_history.running(task(1, 1).job).is_none());
    assert_eq!(run_history.summary(task(1, 1).job).completions, 0);
}

/// Guards against a fetched list that is more recent than the configured lag
/// allows.
#[tokio::test(start_paused = true)]
async fn list_lags() {
    let list = MemoryInstances::new(clock());
    list.set_lag(Duration::from_secs(5));
    list.upsert_worker(worker_info("w1"));
    tokio::time::sleep(Duration::from_secs(10)).await;
    assert_eq!(list.fetch().await.unwrap().workers.len(), 1);
    list.mark_leaving(&worker_id("w1"), true);
    tokio::time::sleep(Duration::from_millis(4_999)).await;
    assert!(!list.fetch().await.unwrap().workers[0].leaving);
    tokio::time::sleep(Duration::from_millis(1)).await;
    let snapshot = list.fetch().await.unwrap();
    assert!(snapshot.workers[0].leaving);
    list.remove_worker(&worker_id("w1"));
    list.set_lag(Duration::ZERO);
    let later = list.fetch().await.unwrap();
    assert!(later.workers.is_empty() && snapshot.version < later.version);
}

/// Guards against a list that arrives changed, and against an outage that looks
/// like an empty list.
#[tokio::test]
async fn list_over_http() {
    let clock = Clock::start();
    let standin = InstancesStandin::start(clock).await.unwrap();
    let mut info = worker_info("w1");
    info.upstreams.push(upstream_info(8));
    standin.list().set_workers(vec![info]);
    standin.list().upsert_own(own_instance("entry-1", 2));
    let address = standin.address().to_string();
    let list = HttpInstances::new(clock, &address, HttpLimits::default());
    assert_eq!(list.fetch().await, standin.list().fetch().await);
    standin.list().set_outage(true);
    assert!(list.fetch().await.is_err());
}
