//! Randomised soak test: real processes under injected faults.
//!
//! Each seed is one schedule of paused, killed, stopped and restarted
//! processes, of connections that are delayed, silenced, reset or lose their
//! answers, of workers that crash by themselves or under one task, and whose
//! capacity changes, of changes of the manifest and of a store that loses
//! answers and history. Callers submit and cancel work meanwhile. Operators
//! evacuate failure domains, and bursts of best-effort work exceed the room, so
//! that some of it is rejected and some of its runs are stopped for others.
//!
//! `MUSTARDCOVE_SOAK_SEEDS` holds the first seed and the number of seeds, as in
//! `100,50`; without it, the run is short: the regression seeds and one that
//! never failed.

#![allow(clippy::print_stdout, reason = "the counts show what a run has covered")]

#[path = "support/proxy.rs"]
mod proxy;
#[path = "support/rig.rs"]
#[expect(dead_code, reason = "shared with the tests of the whole path")]
mod rig;

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use mustardcove_adapter::standin::{EVACUATION_SETTINGS, evacuation_key};
use mustardcove_core::fleet::id::SubmissionId;
use proxy::Mode;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use reqwest::StatusCode;
use rig::{BEST_EFFORT_PREFIX, Rig, best_effort, one_step, two_steps};
use tokio::task::JoinHandle;

const NODES: usize = 4;
const WORKERS: usize = 6;
/// How long faults are injected.
const FAULT_DURATION: Duration = Duration::from_secs(9);
/// Longest time until accepted work has ended after the last fault: for leases
/// of lost pollers, elections, and the work itself.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(25);
/// Time from which on nothing starts in an evacuated domain, `EvacuateMs`.
const EVACUATION_BOUND: Duration = Duration::from_secs(5);
/// What that time is longer by while some processes do not reach the store,
/// `MaxStretchMs`.
const EVACUATION_STRETCH: Duration = Duration::from_secs(6);
const DOMAINS: [&str; 2] = ["north", "south"];
/// For how long work runs at most while the last evacuation is in force.
const PROBE_TIMEOUT: Duration = Duration::from_secs(5);
/// Most submissions of a burst that are sent at once. Most of them take less than
/// half a second of all workers.
const BURST_SIZE: u64 = 6;
/// Ids of bursts begin here, within those of the seed.
const FIRST_BURST_ID: u64 = 0x8000;
/// The last id of a seed, of work that runs while an evacuation is in force.
const PROBE_ID: u64 = 0xffff;
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

/// What the operators have written, and when it is in force.
#[derive(Default)]
struct Operators {
    evacuation: Option<Evacuation>,
    /// Processes that do not reach the store, or do not run.
    unreached: BTreeSet<usize>,
    has_killed_all: bool,
}

#[derive(Clone, Copy)]
struct Evacuation {
    domain: usize,
    /// When it was confirmed, or since when a process has reached the store;
    /// `None` while none does.
    counts_from: Option<Instant>,
    bound: Duration,
}

impl Evacuation {
    /// Returns from when on nothing may start in the domain.
    fn in_force_at(&self) -> Option<Instant> {
        self.counts_from.map(|it| it + self.bound)
    }

    fn forbid_starts(&self, rig: &Rig, from: Instant) {
        let workers = rig.workers.iter().skip(self.domain).step_by(DOMAINS.len());
        rig.monitor.forbid_starts(workers.map(|it| it.worker.first_id()), from);
    }
}

impl Operators {
    fn evacuate(&mut self, rig: &Rig, domain: usize) {
        self.withdraw(rig);
        rig.store.put(&evacuation_key(DOMAINS[domain]), b"{}");
        let evacuation =
            Evacuation { domain, counts_from: Some(Instant::now()), bound: EVACUATION_BOUND };
        self.evacuation = Some(evacuation);
        self.check_reach(rig);
    }

    fn withdraw(&mut self, rig: &Rig) {
        if let Some(it) = self.evacuation.take() {
            rig.monitor.forbid_starts([], Instant::now());
            rig.store.delete(&evacuation_key(DOMAINS[it.domain]));
        }
    }

    /// Records that a process does not reach the store.
    fn lose(&mut self, rig: &Rig, node: usize) {
        self.unreached.insert(node);
        self.check_reach(rig);
    }

    /// Records that all processes reach the store.
    fn restore(&mut self, rig: &Rig) {
        self.unreached.clear();
        self.check_reach(rig);
    }

    /// Prolongs the bound on an evacuation that is not in force yet, by which
    /// processes do not reach the store.
    fn check_reach(&mut self, rig: &Rig) {
        let Some(it) = &mut self.evacuation else { return };
        if it.in_force_at().is_some_and(|it| it <= Instant::now()) {
            return;
        }
        if !self.unreached.is_empty() {
            it.bound = EVACUATION_BOUND + EVACUATION_STRETCH;
        }
        if self.unreached.len() == NODES {
            it.counts_from = None;
            rig.monitor.forbid_starts([], Instant::now());
            return;
        }
        let in_force_at = *it.counts_from.get_or_insert(Instant::now()) + it.bound;
        it.forbid_starts(rig, in_force_at);
    }

    /// Makes a random change. A renewal follows a withdrawal within a second.
    async fn change(&mut self, rig: &mut Rig, rng: &mut ChaCha8Rng) {
        match (rng.random_range(0..6u32), self.evacuation) {
            (0 | 1, None) => self.evacuate(rig, rng.random_range(0..DOMAINS.len())),
            (0, Some(_)) => self.withdraw(rig),
            (1, Some(it)) => {
                self.withdraw(rig);
                tokio::time::sleep(Duration::from_millis(rng.random_range(0..900))).await;
                self.evacuate(rig, it.domain);
            }
            // Once: leaders that are all killed before a crashed worker is back cannot
            // count the crashes of its tasks.
            (2, Some(_)) if !self.has_killed_all => {
                self.has_killed_all = true;
                (0..NODES).for_each(|it| rig.kill(it));
                (0..NODES).for_each(|it| rig.restart(it));
            }
            _ => {}
        }
    }
}

/// Best-effort work, whose requests go on while faults are injected.
#[derive(Default)]
struct Bursts {
    requests: Vec<(SubmissionId, JoinHandle<Option<StatusCode>>)>,
}

impl Bursts {
    /// Sends a burst, which often exceeds the room together with earlier ones. A
    /// part of it takes far longer than its estimates say, so that it is soon
    /// worthless and holds the room of others.
    fn send(&mut self, rig: &Rig, rng: &mut ChaCha8Rng, seed: u64) {
        for _ in 0..rng.random_range(1..=BURST_SIZE) {
            let id = SubmissionId(seed << 16 | FIRST_BURST_ID | self.requests.len() as u64);
            let body = if rng.random_range(0..6u32) == 0 {
                best_effort(3, 3_000, 150)
            } else {
                let ms = rng.random_range(150..450);
                best_effort(rng.random_range(2..12), ms, ms)
            };
            let req = rig.submit_to(rng.random_range(0..NODES), BEST_EFFORT_PREFIX, id, &body);
            self.requests.push((id, tokio::spawn(async move { Some(req.await?.0) })));
        }
    }

    /// Returns all submissions, with the answers to them.
    async fn sent(self) -> Vec<SentSubmission> {
        let mut sent = Vec::new();
        for (id, req) in self.requests {
            let answer = req.await.expect("a request");
            sent.push(SentSubmission {
                id,
                is_accepted: answer == Some(StatusCode::OK),
                cancellations: Vec::new(),
                is_refused: is_refusal(answer),
                is_deadly: false,
            });
        }
        sent
    }
}

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

/// Returns whether an answer says that a submission was not accepted.
fn is_refusal(answer: Option<StatusCode>) -> bool {
    matches!(answer, Some(StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS))
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
        sent.is_refused &= is_refusal(answer);
        if answer == Some(StatusCode::OK) {
            sent.is_accepted = true;
            return sent;
        }
        if answer == Some(StatusCode::TOO_MANY_REQUESTS) {
            return sent;
        }
    }
    sent
}

fn inject_fault(rig: &mut Rig, rng: &mut ChaCha8Rng, operators: &mut Operators) {
    let node = rng.random_range(0..NODES);
    let worker = rng.random_range(0..WORKERS);
    let fault = rng.random_range(0..14u32);
    match fault {
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
    match fault {
        0 | 2 | 3 | 6..=8 => operators.lose(rig, node),
        _ => {}
    }
}

fn clear_faults(rig: &mut Rig, operators: &mut Operators) {
    rig.store.lose_answers(0);
    for node in 0..NODES {
        rig.nodes[node].store.set(Mode::Pass);
        rig.resume(node);
        rig.restart(node);
    }
    for worker in &rig.workers {
        worker.proxy.set(Mode::Pass);
    }
    operators.restore(rig);
}

/// Runs the schedule of a seed and returns the violations that were found.
async fn run_seed(rig: &mut Rig, seed: u64) -> Vec<String> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rig.wait_ready().await;
    let until = Instant::now() + FAULT_DURATION;
    let mut sent = Vec::new();
    // Draws of their own, so that a seed injects the same faults as without them.
    let mut load_rng = ChaCha8Rng::seed_from_u64(!seed);
    let (mut operators, mut bursts) = (Operators::default(), Bursts::default());
    while Instant::now() < until {
        inject_fault(rig, &mut rng, &mut operators);
        operators.change(rig, &mut load_rng).await;
        if load_rng.random_range(0..4u32) == 0 {
            bursts.send(rig, &mut load_rng, seed);
        }
        let id = SubmissionId(seed << 16 | sent.len() as u64);
        sent.push(submit(rig, &mut rng, id).await);
        if rng.random_range(0..8u32) == 0 {
            let chosen = rng.random_range(0..sent.len());
            let answer = rig.cancel(rng.random_range(0..NODES), sent[chosen].id).await;
            sent[chosen].cancellations.push(answer);
        }
        if rng.random_range(0..4u32) == 0 {
            clear_faults(rig, &mut operators);
        }
        tokio::time::sleep(Duration::from_millis(rng.random_range(20..250))).await;
    }
    // Processes that were sent a stop signal have to end before they can be
    // restarted.
    for round in 0..3 {
        clear_faults(rig, &mut operators);
        if operators.evacuation.is_none() {
            operators.evacuate(rig, load_rng.random_range(0..DOMAINS.len()));
        }
        tokio::time::sleep(Duration::from_secs(1)).await;
        if round == 0 {
            // There is a leader, which sees the overload by the third burst.
            bursts.send(rig, &mut load_rng, seed);
            bursts.send(rig, &mut load_rng, seed);
        }
        tokio::time::sleep(Duration::from_secs(1)).await;
        if round == 0 {
            bursts.send(rig, &mut load_rng, seed);
        }
    }
    // All processes have reached the store for longer than the bound.
    if let Some(it) = operators.evacuation {
        it.forbid_starts(rig, Instant::now());
    }
    let probe = SubmissionId(seed << 16 | PROBE_ID);
    if rig.submit(0, probe, &one_step(12, 100)).await == Some(StatusCode::OK) {
        rig.wait_for(probe, "completed", PROBE_TIMEOUT).await;
    }
    operators.withdraw(rig);
    sent.extend(bursts.sent().await);
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
        let mut rig = Rig::start(&format!("soak-{seed}"), 0, WORKERS).await;
        rig.settings = EVACUATION_SETTINGS;
        rig.has_best_effort_queue = true;
        rig.change_manifest(3_000);
        for _ in 0..NODES {
            rig.add_node().await;
        }
        let began = Instant::now();
        let violations = run_seed(&mut rig, seed).await;
        let logs = rig.logs();
        let count = |text: &str| logs.iter().filter(|it| it.contains(text)).count();
        println!(
            "seed {seed}: {:.1} s, rejected {}, evicted {}, evacuated {}",
            began.elapsed().as_secs_f64(),
            count("submission rejected"),
            count("kind=evicted"),
            count("domain evacuated"),
        );
        if !violations.is_empty() {
            let logs = rig.keep_logs();
            panic!("seed {seed}: {violations:#?}; logs in {}", logs.display());
        }
    }
}
