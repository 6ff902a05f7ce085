//! Workers and upstreams of the stand-in over HTTP.

#[path = "support/setup.rs"]
#[allow(dead_code, unreachable_pub, missing_docs)]
mod setup;

use std::time::Duration;

use mustardcove_core::{time::Timestamp, verdict::Verdict, worker::WorkerError};
use mustardcove_platform::{
    Clock, Workers,
    http::{HttpLimits, HttpWorkers},
    memory::{FleetConfig, WorkSpec, WorkerFault},
    standin::{FleetStandin, upstream::ServeAnswer},
    upstream::{
        DEADLINE_HEADER, DRAINING_HEADER, REQUEST_ID_HEADER, SERVICE_TIME_HEADER, TASK_HEADER,
    },
};
use setup::{start_op, task, upstream_info, worker_id, worker_info};

const NEVER: Timestamp = Timestamp::MAX;

async fn start(slots: u32) -> (FleetStandin, String) {
    let standin = FleetStandin::start(Clock::start(), FleetConfig::default());
    let mut info = worker_info("w1");
    info.upstreams.push(upstream_info(slots));
    let info = standin.add(info).await.unwrap();
    let uri = format!("http://{}/serve", info.upstreams[0].address);
    (standin, uri)
}

fn client(clock: Clock) -> HttpWorkers {
    let limits = HttpLimits {
        connect_timeout: Duration::from_millis(1_000),
        answer_timeout: Duration::from_millis(1_000),
        ..HttpLimits::default()
    };
    HttpWorkers::new(clock, limits)
}

/// Guards against an answer that is delivered to another request.
#[tokio::test]
async fn answers_matched() {
    let (_standin, uri) = start(8).await;
    let client = reqwest::Client::new();
    let requests = (0..40u64).map(|index| {
        let req = client
            .post(&uri)
            .header(REQUEST_ID_HEADER, index.to_string())
            .header(SERVICE_TIME_HEADER, (index % 7 * 5).to_string())
            .body(format!("body {index}"));
        tokio::spawn(async move { (index, req.send().await.unwrap().bytes().await.unwrap()) })
    });
    for it in requests.collect::<Vec<_>>() {
        let (index, body) = it.await.unwrap();
        let served: ServeAnswer = serde_json::from_slice(&body).unwrap();
        assert_eq!((served.request_id, served.echo), (index.to_string(), format!("body {index}")));
    }
}

/// Guards against an upstream that keeps working after the request's deadline.
#[tokio::test]
async fn deadline_ends_work() {
    let (standin, uri) = start(1).await;
    let deadline = standin.fleet().clock().now().plus_ms(100);
    let req = reqwest::Client::new()
        .post(&uri)
        .header(DEADLINE_HEADER, deadline.to_string())
        .header(TASK_HEADER, task(1, 1).to_string())
        .header(SERVICE_TIME_HEADER, "5000");
    assert_eq!(req.send().await.unwrap().status(), 504);
    let run_history = standin.fleet().run_history();
    assert!(run_history.running(task(1, 1).job).is_none());
    let summary = run_history.summary(task(1, 1).job);
    assert_eq!((summary.starts, summary.completions), (1, 0));
}

/// Guards against a leaving upstream that accepts new work.
#[tokio::test]
async fn leaving_refuses() {
    let (standin, uri) = start(1).await;
    standin.fleet().set_leaving(&worker_id("w1"), true);
    let resp = reqwest::Client::new().post(&uri).send().await.unwrap();
    assert_eq!(
        (resp.status().as_u16(), resp.headers()[DRAINING_HEADER].to_str().unwrap()),
        (503, "1")
    );
}

/// Guards against a wrong verdict on a start that did not reach the worker, or
/// that reached it but whose answer was lost.
#[tokio::test]
async fn verdicts_over_http() {
    let (standin, _) = start(1).await;
    let id = worker_id("w1");
    let address = standin.fleet().infos()[0].address.clone();
    let workers = client(standin.fleet().clock());
    let spec = WorkSpec { work_ms: 0, ..WorkSpec::default() };
    let unreachable = |verdict| Err(WorkerError::Unreachable { verdict });

    standin.set_fault(&id, WorkerFault::Unreachable);
    tokio::time::sleep(Duration::from_millis(50)).await;
    let refused = workers.call(&address, start_op(1, task(1, 1), &spec, NEVER), NEVER).await;
    assert_eq!(refused, unreachable(Verdict::NotRun));
    assert_eq!(standin.fleet().run_history().summary(task(1, 1).job).starts, 0);

    standin.set_fault(&id, WorkerFault::AnswersLost);
    tokio::time::sleep(Duration::from_millis(50)).await;
    let lost = workers.call(&address, start_op(1, task(2, 1), &spec, NEVER), NEVER).await;
    assert_eq!(lost, unreachable(Verdict::MayHaveRun));
    assert_eq!(standin.fleet().run_history().summary(task(2, 1).job).starts, 1);

    standin.set_fault(&id, WorkerFault::Paused);
    let paused = workers.call(&address, start_op(1, task(3, 1), &spec, NEVER), NEVER).await;
    assert_eq!(paused, unreachable(Verdict::MayHaveRun));

    standin.set_fault(&id, WorkerFault::None);
    let now = standin.fleet().clock().now();
    let expired = workers.call(&address, start_op(1, task(4, 1), &spec, NEVER), now).await;
    assert_eq!(expired, unreachable(Verdict::NotRun));
    assert_eq!(standin.fleet().run_history().summary(task(4, 1).job).starts, 0);
}

/// Guards against calls that reach another worker on the same port.
#[tokio::test]
async fn shared_port() {
    let standin = FleetStandin::start(Clock::start(), FleetConfig::default());
    let infos = ["w1", "w2", "w3"].map(worker_info).to_vec();
    let infos = standin.add_shared(infos).await.unwrap();
    let workers = client(standin.fleet().clock());
    let spec = WorkSpec { work_ms: 20, ..WorkSpec::default() };
    for (job, info) in infos.iter().enumerate() {
        let op = start_op(1, task(job as u128, 1), &spec, NEVER);
        workers.call(&info.address, op, NEVER).await.unwrap();
    }
    for (job, info) in infos.iter().enumerate() {
        let report = workers.reports(&info.address, 0).await.unwrap();
        assert_eq!(report.worker, info.id);
        assert_eq!(report.events.iter().map(|it| it.1).collect::<Vec<_>>(), [task(job as u128, 1)]);
    }
}
