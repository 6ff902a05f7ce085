//! Real processes while the store refuses, resets or ignores calls, or carries
//! them out late.

#[path = "support/proxy.rs"]
#[expect(dead_code, reason = "shared with the fault soak")]
mod proxy;
#[path = "support/rig.rs"]
#[expect(dead_code, reason = "shared with the fault soak")]
mod rig;

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use mustardcove_core::fleet::{
    id::SubmissionId,
    record::{SUBMISSION_PREFIX, key_of},
};
use proxy::Mode;
use reqwest::StatusCode;
use rig::{Rig, two_steps};
use tokio::task::JoinSet;

const NODES: usize = 3;
/// How long the store misbehaves.
const OUTAGE: Duration = Duration::from_millis(3_000);
/// Time between two submissions.
const INTERVAL: Duration = Duration::from_millis(60);
/// Time after which the stand-in carries out late writes: later than callers
/// wait.
const LATE_MS: u32 = 2_600;
/// Time until late writes are carried out and processes have regained the store.
const SETTLED: Duration = Duration::from_millis(4_000);
/// Longest time until a caller is told what is known: two calls that time out.
const AT_ONCE: Duration = Duration::from_millis(2_000);

/// An answer to a submission.
struct Answered {
    id: SubmissionId,
    status: Option<StatusCode>,
    retry_after: Option<u64>,
    ms: u64,
}

/// Submits a new id to each node in turn, until `until`.
async fn submit_until(rig: &Arc<Rig>, first: u64, until: Instant) -> Vec<Answered> {
    let mut answers = JoinSet::new();
    let mut next = first;
    while Instant::now() < until {
        let (rig, id) = (rig.clone(), SubmissionId(next));
        answers.spawn(async move {
            let asked_at = Instant::now();
            let answer = rig.submit_once(id.0 as usize % NODES, id, &two_steps(1, 100)).await;
            let (status, retry_after) = answer.unzip();
            let ms = asked_at.elapsed().as_millis() as u64;
            Answered { id, status, retry_after: retry_after.flatten(), ms }
        });
        next += 1;
        tokio::time::sleep(INTERVAL).await;
    }
    answers.join_all().await
}

/// Starts and ends an outage amid submissions, and checks what callers were
/// told. Returns the answers, in no order.
async fn outage(name: &str, begin: impl Fn(&Rig), end: impl Fn(&Rig)) -> Vec<Answered> {
    let rig = Arc::new(Rig::start(name, NODES, 2).await);
    rig.wait_ready().await;
    let calm = submit_until(&rig, 0x1000, Instant::now() + Duration::from_millis(600)).await;
    assert!(calm.iter().all(|it| it.status == Some(StatusCode::OK)), "answers change in calm");
    begin(&rig);
    let rig_during = rig.clone();
    let during = tokio::spawn(async move {
        submit_until(&rig_during, 0x2000, Instant::now() + OUTAGE + INTERVAL).await
    });
    tokio::time::sleep(OUTAGE).await;
    end(&rig);
    let answers = during.await.expect("no panic");
    tokio::time::sleep(SETTLED).await;
    let later = rig.submit(0, SubmissionId(0x3000), &two_steps(1, 100)).await;
    assert_eq!(later, Some(StatusCode::OK), "the store is back");
    for it in &answers {
        let is_stored = rig.store.contains(&key_of(SUBMISSION_PREFIX, it.id));
        match it.status {
            Some(StatusCode::OK) => assert!(is_stored, "{} was accepted", it.id),
            Some(StatusCode::SERVICE_UNAVAILABLE) => {
                assert!(!is_stored, "{} was rejected after {} ms and is stored", it.id, it.ms);
                assert!(!rig.monitor.has_started(it.id), "{} was rejected and runs", it.id);
                let seconds = it.retry_after.expect("a time to come back");
                assert!((1..=4).contains(&seconds), "{seconds} s");
                assert!(u128::from(it.ms) < AT_ONCE.as_millis(), "held for {} ms", it.ms);
            }
            Some(StatusCode::GATEWAY_TIMEOUT) => {}
            other => panic!("{} was answered {other:?}", it.id),
        }
    }
    assert_eq!(rig.monitor.violations(), Vec::<String>::new());
    answers
}

fn unknown(answers: &[Answered]) -> usize {
    answers.iter().filter(|it| it.status == Some(StatusCode::GATEWAY_TIMEOUT)).count()
}

fn set_stores(rig: &Rig, mode: Mode) {
    rig.nodes.iter().for_each(|it| it.store.set(mode));
}

/// Guards against unknown outcomes although the store refused each write.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn refusing_store() {
    let answers =
        outage("refusing", |it| it.store.refuse_all(true), |it| it.store.refuse_all(false)).await;
    assert_eq!(unknown(&answers), 0, "a refused write has not happened");
}

/// Guards against writes that are sent to a store which is known to be silent,
/// whose callers cannot be told that their submission never runs.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn silent_store() {
    let answers =
        outage("silent", |it| set_stores(it, Mode::Silent), |it| set_stores(it, Mode::Pass)).await;
    // Each process sends writes until the first has hung for 300 ms.
    let most = NODES * 5;
    assert!(unknown(&answers) <= most, "{} of {} unknown", unknown(&answers), answers.len());
}

/// Guards against unknown outcomes of submissions that no connection took.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn resetting_store() {
    let answers =
        outage("resetting", |it| set_stores(it, Mode::Refused), |it| set_stores(it, Mode::Pass))
            .await;
    assert!(unknown(&answers) <= NODES * 2, "{} unknown", unknown(&answers));
}

/// Guards against a rejection of a submission whose write is carried out after
/// its caller was answered.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn late_writes() {
    let answers =
        outage("late", |it| it.store.carry_out_late(LATE_MS), |it| it.store.carry_out_late(0))
            .await;
    assert_ne!(unknown(&answers), 0, "nothing was carried out late");
}

/// Guards against an unknown outcome although the store is back in the caller's
/// time, and against callers that are held back then.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn short_silence() {
    let rig = Arc::new(Rig::start("short", NODES, 2).await);
    rig.wait_ready().await;
    set_stores(&rig, Mode::Silent);
    let rig_during = rig.clone();
    let during = tokio::spawn(async move {
        let until = Instant::now() + Duration::from_millis(200);
        submit_until(&rig_during, 0x2000, until).await
    });
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    set_stores(&rig, Mode::Pass);
    for it in during.await.expect("no panic") {
        assert_eq!(it.status, Some(StatusCode::OK), "{} after {} ms", it.id, it.ms);
        assert!(it.ms < 2_000, "{} was told after {} ms", it.id, it.ms);
    }
}
