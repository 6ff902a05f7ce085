//! Randomised soak test: real processes under injected faults.
//!
//! Each seed is one schedule of paused, killed, stopped and restarted
//! processes, of connections that are delayed, silenced, reset or lose their
//! answers, of workers that crash by themselves or under one task, and whose
//! capacity changes, of changes of the manifest and of a store that loses
//! answers and history. Callers submit and cancel work meanwhile.
//!
//! `MUSTARDCOVE_SOAK_SEEDS` holds the first seed and the number of seeds, as in
//! `100,50`; without it, the run is short: the regression seeds and one that
//! never failed.

#[path = "support/proxy.rs"]
mod proxy;
#[path = "support/rig.rs"]
#[expect(dead_code, reason = "shared with the tests of the whole path")]
mod rig;

use std::time::{Duration, Instant};

use mustardcove_core::fleet::id::SubmissionId;
use proxy::Mode;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use reqwest::StatusCode;
use rig::{Rig, two_steps};

const NODES: usize = 4;
const WORKERS: usize = 6;
/// How long faults are injected.
const FAULT_DURATION: Duration = Duration::from_secs(9);
/// Longest time until accepted work has ended after the last fault: for leases
/// of lost pollers, elections, and the work itself.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(25);
/// Seeds that are run by default: one that never failed, and each that did.
const SEEDS: [u64; 3] = [
    0,
    // Two leaders in a row were lost before they noticed that a task had crashed
    // its worker, and it was started again too often.
    1,
    // A worker restarted between the order of a start and its arrival. The new
    // incarnation carried the start out, and it was also ordered elsewhere.
    128,
];

/// A submission that a caller sent, and the answers that it got.
struct SentSubmission {
    id: SubmissionId,
    is_accepted: bool,
    /// The answers to its cancellations; `None` where none arrived.
    cancellations: Vec<Option<StatusCode>>,
    /// Whether every answer said that it was not accepted.
    is_refused: bool,
    /// Whether one of its tasks crashes each worker that starts it.
    is_deadly: bool,
}

impl SentSubmission {
    /// Returns whether a cancellation may have taken effect: one without an
    /// answer may have been carried out, one that was refused was not.
    fn may_be_cancelled(&self) -> bool {
        let may_be = |it: &Option<StatusCode>| {
            matches!(*it, None | Some(StatusCode::OK | StatusCode::GATEWAY_TIMEOUT))
        };
        self.cancellations.iter().any(may_be)
    }

    /// Returns the states in which it may end.
    fn final_states(&self) -> Vec<&'static str> {
        let mut states = vec![if self.is_deadly { "failed" } else { "completed" }];
        if self.may_be_cancelled() {
            states.push("cancelled");
        }
        states
    }
}

async fn submit(rig: &Rig, rng: &mut ChaCha8Rng, id: SubmissionId) -> SentSubmission {
    let is_deadly = rng.random_range(0..12u32) == 0;
    let mut sent = SentSubmission {
        id,
        is_accepted: false,
        cancellations: Vec::new(),
        is_refused: true,
        is_deadly,
    };
    let mut body = two_steps(rng.random_range(1..5), rng.random_range(100..1_200));
    if is_deadly {
        let payload = body["TaskSpec"].as_str().expect("a payload").to_owned();
        body["TaskSpec"] = format!("{payload}deadly={}.0 ", rng.random_range(0..2u32)).into();
    }
    for _ in 0..5 {
        let answer = rig.submit(rng.random_range(0..NODES), id, &body).await;
        sent.is_refused &= answer == Some(StatusCode::SERVICE_UNAVAILABLE);
        if answer == Some(StatusCode::OK) {
            sent.is_accepted = true;
            return sent;
        }
    }
    sent
}

fn inject_fault(rig: &mut Rig, rng: &mut ChaCha8Rng) {
    let node = rng.random_range(0..NODES);
    let worker = rng.random_range(0..WORKERS);
    match rng.random_range(0..14u32) {
        0 => rig.pause(node),
        1 => rig.resume(node),
        2 => rig.kill(node),
        3 => rig.terminate(node),
        4 => rig.hang_up(node),
        5 => (0..NODES).for_each(|it| rig.restart(it)),
        6 => rig.nodes[node].store.set(Mode::Silent),
        7 => rig.nodes[node].store.set(Mode::Delay(Duration::from_millis(120))),
        8 => rig.nodes[node].store.reset(),
        9 => rig.workers[worker].proxy.set(Mode::AnswersLost),
        10 => rig.workers[worker].proxy.reset(),
        11 => rig.workers[worker].crash(false),
        12 => rig.workers[worker].worker.set_cpu(1_000 * rng.random_range(2..9)),
        _ => {
            rig.change_manifest(3_000 + rng.random_range(0..100));
            rig.store.lose_answers(rng.random_range(0..30));
            rig.store.drop_history();
        }
    }
}

fn clear_faults(rig: &mut Rig) {
    rig.store.lose_answers(0);
    for node in 0..NODES {
        rig.nodes[node].store.set(Mode::Pass);
        rig.resume(node);
        rig.restart(node);
    }
    for worker in &rig.workers {
        worker.proxy.set(Mode::Pass);
    }
}

/// Runs the schedule of a seed and returns the violations that were found.
async fn run_seed(rig: &mut Rig, seed: u64) -> Vec<String> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rig.wait_ready().await;
    let until = Instant::now() + FAULT_DURATION;
    let mut sent = Vec::new();
    while Instant::now() < until {
        inject_fault(rig, &mut rng);
        let id = SubmissionId(seed << 16 | sent.len() as u64);
        sent.push(submit(rig, &mut rng, id).await);
        if rng.random_range(0..8u32) == 0 {
            let chosen = rng.random_range(0..sent.len());
            let answer = rig.cancel(rng.random_range(0..NODES), sent[chosen].id).await;
            sent[chosen].cancellations.push(answer);
        }
        if rng.random_range(0..4u32) == 0 {
            clear_faults(rig);
        }
        tokio::time::sleep(Duration::from_millis(rng.random_range(20..250))).await;
    }
    // Processes that were sent a stop signal have to end before they can be
    // restarted.
    for _ in 0..3 {
        clear_faults(rig);
        tokio::time::sleep(Duration::from_secs(2)).await;
    }
    check(rig, &sent).await
}

async fn check(rig: &Rig, sent: &[SentSubmission]) -> Vec<String> {
    let mut violations = rig.monitor.violations();
    let until = Instant::now() + SETTLE_TIMEOUT;
    for it in sent {
        let id = it.id;
        if it.is_refused && rig.monitor.has_started(id) {
            violations.push(format!("{id} was refused and ran"));
        }
        if !it.is_accepted {
            continue;
        }
        let left = until.saturating_duration_since(Instant::now()).max(Duration::from_secs(1));
        let expected = it.final_states();
        let state = rig.wait_for_any(id, &expected, left).await;
        let answers = &it.cancellations;
        let is_cancelled =
            answers.contains(&Some(StatusCode::OK)) || state.as_deref() == Some("cancelled");
        if state.is_none() {
            let state = rig.state(0, id).await;
            violations.push(format!("{id} is not {expected:?}: {state:?}, cancelled {answers:?}"));
        }
        if is_cancelled && 0 < rig.monitor.running(id) {
            violations.push(format!("{id} was cancelled and still runs"));
        }
        if answers.contains(&Some(StatusCode::GONE)) {
            violations.push(format!("{id} was accepted and is unknown when it is cancelled"));
        }
    }
    violations.extend(rig.monitor.violations());
    violations
}

fn seeds() -> Vec<u64> {
    let Ok(text) = std::env::var("MUSTARDCOVE_SOAK_SEEDS") else { return SEEDS.to_vec() };
    let parse = |it: &str| it.trim().parse::<u64>().expect("a number");
    let (first, count) = text.split_once(',').expect("first seed and number of seeds");
    (parse(first)..parse(first) + parse(count)).collect()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn random_faults() {
    for seed in seeds() {
        let mut rig = Rig::start(&format!("soak-{seed}"), NODES, WORKERS).await;
        let violations = run_seed(&mut rig, seed).await;
        if !violations.is_empty() {
            let logs = rig.keep_logs();
            panic!("seed {seed}: {violations:#?}; logs in {}", logs.display());
        }
    }
}
