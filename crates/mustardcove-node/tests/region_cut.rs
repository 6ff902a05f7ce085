//! Real processes of two regions that are cut off from each other for longer
//! than a new leader waits for the leases of earlier ones.
//!
//! `MUSTARDCOVE_REGION_SEEDS` holds the first seed of the soak and the number of
//! seeds, as in `100,50`; without it, one with a short cut is played.
//! `MUSTARDCOVE_REGION_CUT_MS` sets the length of all of its cuts, and with
//! `MUSTARDCOVE_KEEP_LOGS` the logs of all plays are kept.

#[path = "support/proxy.rs"]
#[expect(dead_code, reason = "shared with the fault soak")]
mod proxy;
#[path = "support/rig.rs"]
#[expect(dead_code, reason = "shared with the fault soak")]
mod rig;

use std::time::{Duration, Instant};

use mustardcove_core::fleet::id::SubmissionId;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use reqwest::StatusCode;
use rig::{Cut, Rig, one_step};

/// Nodes in the region of the first leader, and in the other.
const NODES: [usize; 2] = [2, 5];
const WORKERS: [usize; 2] = [4, 4];
/// Tasks of each submission.
const TASKS: u64 = 30;
/// Starts before a cut, so that tasks run in both regions when it begins.
const WARM_UP_STARTS: usize = 200;
/// Longest time until so many tasks have started.
const WARM_UP_TIMEOUT: Duration = Duration::from_secs(15);
/// Time without trouble after a cut, within which late calls and the leases of
/// both leaders are over.
const QUIET: Duration = Duration::from_secs(15);
/// Longest time until the backlog is done after the quiet time.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(40);
/// Most violations that are shown of a play; all are kept with its logs.
const MAX_SHOWN: usize = 12;

/// A cut between two regions, with a backlog.
#[derive(Debug)]
struct Play {
    nodes: [usize; 2],
    workers: [usize; 2],
    /// The region that reaches the store during the cut.
    store_region: usize,
    how: Cut,
    cut: Duration,
    /// Whether the entries of unheard workers are removed during the cut.
    expires_entries: bool,
    submissions: u64,
    seed: u64,
}

impl Play {
    fn new(seed: u64) -> Play {
        Play {
            nodes: NODES,
            workers: WORKERS,
            store_region: 1,
            how: Cut::Silent,
            cut: Duration::from_secs(15),
            expires_entries: false,
            submissions: 110,
            seed,
        }
    }

    /// Returns the play of a seed of the soak.
    fn random(seed: u64) -> Play {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let cut_ms = match std::env::var("MUSTARDCOVE_REGION_CUT_MS") {
            Ok(text) => text.parse().expect("milliseconds"),
            Err(_) => rng.random_range(5_000..20_000),
        };
        let how = match rng.random_range(0..6u32) {
            0 => Cut::Refused,
            1 => Cut::From(0),
            2 => Cut::From(1),
            _ => Cut::Silent,
        };
        let mut play = Play::new(seed);
        play.how = how;
        play.cut = Duration::from_millis(cut_ms);
        play.submissions = 40 + cut_ms * 5 / 1_000;
        play.expires_entries = rng.random_range(0..3u32) == 0;
        if rng.random_range(0..4u32) == 0 {
            (play.nodes, play.store_region) = ([5, 2], 1);
        }
        play.workers[1] = rng.random_range(4..6);
        play
    }

    /// Plays the cut and returns a note of what was seen, as an error if there
    /// were violations.
    async fn run(&self, name: &str) -> Result<String, String> {
        let (nodes, workers) = (self.nodes, self.workers);
        let mut rig = Rig::start_regions(name, nodes, workers, self.store_region).await;
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed);
        rig.wait_ready().await;
        let first_leaders = rig.leaders();
        let mut ids = Vec::new();
        for i in 0..self.submissions {
            let id = SubmissionId(0xc << 32 | self.seed << 16 | i);
            let body = one_step(TASKS, rng.random_range(400..1_500));
            let node = rng.random_range(0..rig.nodes.len());
            if rig.submit(node, id, &body).await == Some(StatusCode::OK) {
                ids.push(id);
            }
        }
        let until = Instant::now() + WARM_UP_TIMEOUT;
        while rig.monitor.starts() < WARM_UP_STARTS && Instant::now() < until {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        let before = rig.monitor.starts();
        rig.cut(self.how);
        let until = Instant::now() + self.cut;
        if self.expires_entries {
            tokio::time::sleep(self.cut / 5).await;
            rig.expire_entries();
        }
        tokio::time::sleep(until.saturating_duration_since(Instant::now())).await;
        let healed = rig.monitor.starts();
        rig.heal();
        tokio::time::sleep(QUIET).await;
        let until = Instant::now() + SETTLE_TIMEOUT;
        let mut violations = Vec::new();
        for id in &ids {
            let left = until.saturating_duration_since(Instant::now()).max(Duration::from_secs(1));
            if !rig.wait_for(*id, "completed", left).await {
                violations.push(format!("{id} is not completed: {:?}", rig.state(0, *id).await));
                // The next ones would take as long to find.
                break;
            }
        }
        violations.extend(rig.monitor.violations());
        let note = format!(
            "{self:?}: {} accepted, starts before the cut {before}, until its end {healed}, in all \
             {}; leaders {first_leaders:?}, at the end {:?}",
            ids.len(),
            rig.monitor.starts(),
            rig.leaders()
        );
        if before < WARM_UP_STARTS || ids.len() as u64 * TASKS <= healed as u64 {
            violations.push(format!("the backlog did not last: {before}, {healed}"));
        }
        let led_by_region_0 = first_leaders.iter().all(|it| *it < nodes[0]);
        if !led_by_region_0 {
            violations.push("the first leader is in the wrong region".to_owned());
        }
        if violations.is_empty() && std::env::var_os("MUSTARDCOVE_KEEP_LOGS").is_none() {
            return Ok(note);
        }
        let logs = rig.keep_logs();
        std::fs::write(logs.join("violations"), violations.join("\n")).expect("a file");
        let first = &violations[..violations.len().min(MAX_SHOWN)];
        let count = violations.len();
        let text = format!("{note}; logs in {}; {count} violations {first:#?}", logs.display());
        if violations.is_empty() { Ok(text) } else { Err(text) }
    }
}

/// Guards against a leader that is cut off with its region and goes on starting
/// work, while its successor on the other side takes its leases for expired.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn leader_cut() {
    let outcome = Play::new(1).run("leader-cut").await;
    assert!(outcome.is_ok(), "{outcome:#?}");
}

/// Guards against two leaders that both go on, one confirmed by the store and
/// the other by most of the processes.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn majority_cut() {
    let play = Play { nodes: [5, 2], cut: Duration::from_secs(14), ..Play::new(2) };
    let outcome = play.run("majority-cut").await;
    assert!(outcome.is_ok(), "{outcome:#?}");
}

/// Guards against a successor that takes leases of a leader for expired that has
/// most of the processes and of the workers on its side, and goes on.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn both_majorities_cut() {
    let cut = Duration::from_secs(14);
    let play = Play { nodes: [5, 2], workers: [6, 2], cut, ..Play::new(3) };
    let outcome = play.run("both-majorities-cut").await;
    assert!(outcome.is_ok(), "{outcome:#?}");
}

fn seeds() -> Vec<u64> {
    let Ok(text) = std::env::var("MUSTARDCOVE_REGION_SEEDS") else { return vec![301] };
    let parse = |it: &str| it.trim().parse::<u64>().expect("a number");
    let (first, count) = text.split_once(',').expect("first seed and number of seeds");
    (parse(first)..parse(first) + parse(count)).collect()
}

/// Guards against the same faults after cuts of other kinds and lengths: by
/// refusal, in one direction only, and with the store on either side.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
#[expect(clippy::print_stdout, reason = "a soak reports each play")]
async fn region_soak() {
    let mut failed = Vec::new();
    for seed in seeds() {
        let outcome = Play::random(seed).run(&format!("region-soak-{seed}")).await;
        let (Ok(text) | Err(text)) = &outcome;
        println!("{} {text}", if outcome.is_ok() { "kept:" } else { "broken:" });
        failed.extend(outcome.err());
    }
    assert!(failed.is_empty(), "{failed:#?}");
}
