//! Verdicts of calls to workers while connections break at random, timeouts are
//! short and workers are paused.

#[path = "support/setup.rs"]
#[allow(dead_code, unreachable_pub, missing_docs)]
mod setup;

use std::{collections::BTreeMap, time::Duration};

use mustardcove_core::size::Resources;
use mustardcove_core::{time::Timestamp, verdict::Verdict, worker::WorkerError};
use mustardcove_platform::{
    Clock, Workers,
    http::{HttpLimits, HttpWorkers},
    memory::{FleetConfig, WorkSpec, WorkerFault},
    standin::FleetStandin,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use setup::{start_op, task, worker_info};
use tokio::task::JoinSet;

const CALLS: u128 = 500;

/// Guards against the verdict "not run" for a start that ran, and against a
/// start that runs twice.
#[tokio::test]
async fn starts_over_http() {
    let mut outcomes = BTreeMap::new();
    for seed in 1..=3 {
        run(seed, &mut outcomes).await;
    }
    // The test is meaningful only if the runs produced every outcome.
    assert_eq!(outcomes.len(), 3, "{outcomes:?}");
}

async fn run(seed: u64, outcomes: &mut BTreeMap<String, u32>) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let clock = Clock::start();
    let standin = FleetStandin::start(clock, FleetConfig::default());
    let mut info = worker_info("w1");
    info.capacity = Resources::new(u64::MAX, u64::MAX, 0);
    let info = standin.add(info).await.unwrap();
    let limits = HttpLimits {
        connect_timeout: Duration::from_millis(20),
        answer_timeout: Duration::from_millis(20),
        max_per_address: 8,
        ..HttpLimits::default()
    };
    let workers = HttpWorkers::new(clock, limits);
    let spec = WorkSpec { work_ms: 0, ..WorkSpec::default() };
    let mut calls = JoinSet::new();
    for job in 0..CALLS {
        let (workers, address) = (workers.clone(), info.address.clone());
        let op = start_op(1, task(job, 1), &spec, Timestamp::MAX);
        let not_after = clock.now().plus_ms(rng.random_range(0..15));
        calls.spawn(async move { (job, workers.call(&address, op, not_after).await) });
        if rng.random_range(0..4) == 0 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        let fault = match rng.random_range(0..40) {
            0 => WorkerFault::Unreachable,
            1 => WorkerFault::AnswersLost,
            2 => WorkerFault::Paused,
            3..12 => WorkerFault::None,
            _ => continue,
        };
        standin.set_fault(&info.id, fault);
    }
    standin.set_fault(&info.id, WorkerFault::None);
    let results = calls.join_all().await;
    // Lets the worker apply the calls that a pause had delayed.
    tokio::time::sleep(Duration::from_millis(100)).await;
    let run_history = standin.fleet().run_history();
    for (job, result) in results {
        let starts = run_history.summary(task(job, 1).job).starts;
        assert!(starts <= 1, "seed {seed}: job {job} was started {starts} times");
        let outcome = match result {
            Ok(_) => {
                assert_eq!(starts, 1, "seed {seed}: job {job}");
                "started".to_owned()
            }
            Err(WorkerError::Unreachable { verdict }) => {
                let is_correct = verdict != Verdict::NotRun || starts == 0;
                assert!(is_correct, "seed {seed}: job {job} ran and was called {verdict}");
                verdict.to_string()
            }
            Err(other) => panic!("seed {seed}: unexpected {other}"),
        };
        *outcomes.entry(outcome).or_default() += 1;
    }
}
