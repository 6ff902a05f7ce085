//! How long suspected tasks wait for news of silent workers.
//!
//! Guards against waits that begin anew: with the silence of another worker, of
//! which there is news already, and with each leader. The latter was dated from
//! the claim, so that a task never started while leaders stepped down every five
//! seconds.

#[path = "support/fleet_world.rs"]
#[expect(dead_code, reason = "shared with tests that need more of it")]
mod fleet_world;
#[path = "support/planner_rig.rs"]
#[expect(dead_code, reason = "shared with tests that need more of it")]
mod planner_rig;

use fleet_world::{listing, manifest, step, submission};
use mustardcove_core::{
    fleet::{
        handover::WorkerHandover,
        id::{Incarnation, RunNumber, Term},
        message::{PollResult, WorkerReport},
        planner::{Planner, WorkerListing},
        poller::MAX_ORPHAN_LEASE_MS,
        record::{CrashedRun, OccurrenceProgress, OpenRun, ProgressRecord, SuspectTask},
        submission::{StepSpec, SubmissionState},
    },
    id::WorkerId,
    time::Timestamp,
};
use planner_rig::{Rig, START};

/// Time for which the outcome of a run on a silent worker is awaited, in
/// milliseconds.
const OPEN_WAIT_MS: u64 = 8_000;
/// Longest time without a run after the loss of a worker, in milliseconds.
const MAX_AWAY_MS: u64 = 9_000;
/// Time between two plans, in milliseconds.
const PLAN_MS: u64 = 100;

fn id(worker: &str) -> WorkerId {
    worker.parse().expect("a valid name")
}

/// Returns what a leader stored of a task with two crashes and a run whose worker
/// has fallen silent: one crash more would give it up.
fn stored() -> ProgressRecord {
    let open = OpenRun {
        run: RunNumber(3),
        worker: id("lost"),
        incarnation: Incarnation(1),
        host: None,
        is_sole: true,
    };
    let suspect = SuspectTask {
        occurrence: 0,
        step: 0,
        index: 0,
        crashed_runs: [1, 2].map(|it| CrashedRun { run: RunNumber(it), is_sole: true }).to_vec(),
        open_runs: vec![open],
    };
    ProgressRecord {
        state: SubmissionState::Running,
        occurrences: vec![OccurrenceProgress { occurrence: 0, tasks: Vec::new() }],
        next_occurrence: 1,
        suspects: vec![suspect],
    }
}

/// Replaces the leader. The next one knows since when the lost worker is silent,
/// or nothing of it but its record. Another worker shows at once that it runs
/// nothing.
fn replace_leader(rig: &mut Rig, leader: u64, silent_since: Option<Timestamp>) {
    let expire_by = rig.now.plus_ms(MAX_ORPHAN_LEASE_MS);
    let mut planner = Planner::new(Term(9 + leader), 2 + leader, manifest(3), expire_by);
    if let Some(since) = silent_since {
        planner.take_over(vec![WorkerHandover {
            worker: id("lost"),
            leases_expire_by: since.plus_ms(MAX_ORPHAN_LEASE_MS),
            silent_since: Some(since),
            plan: None,
            poller: None,
        }]);
    }
    let lasting = StepSpec { is_long_running: true, ..step(1, 2_000, &[]) };
    let lasting = submission(1, vec![lasting], START);
    planner.restore(lasting, false, Some((&stored(), 5)), rig.now);
    let other: WorkerListing = listing("other", 4_000, Incarnation(1));
    planner.restore_workers(Some(vec![other.clone()]));
    // The lost one is not recorded any longer, but still listed.
    let lost = listing("lost", 4_000, Incarnation(1));
    planner.update_fleet(vec![other.clone()], vec![lost], true);
    rig.planner = planner;
    rig.workers.entry(other.worker).or_default();
    rig.poll_all();
}

/// Returns when the task starts whose worker fell silent at the start, under
/// leaders of which each leads for `gap_ms`.
fn starts_at(gap_ms: u64, silent_since: Option<Timestamp>) -> Option<Timestamp> {
    let mut rig = Rig::new(manifest(3), &[]);
    for leader in 0..30_000 / gap_ms {
        replace_leader(&mut rig, leader, silent_since);
        let silent = WorkerReport::PollFailed { leases_expire_by: None, is_silent: true };
        rig.planner.report(&id("lost"), silent, rig.now);
        for _ in 0..gap_ms / PLAN_MS {
            if !rig.plan().is_empty() {
                return Some(rig.now);
            }
            rig.store();
            rig.advance(PLAN_MS);
            rig.poll_all();
        }
    }
    None
}

/// Plans until a run of the only task begins; returns its worker.
fn next_start(rig: &mut Rig) -> WorkerId {
    for _ in 0..200 {
        rig.advance(PLAN_MS);
        rig.poll_all();
        let started = rig.plan();
        rig.store();
        if let Some((worker, _)) = started.into_iter().next() {
            return worker;
        }
    }
    panic!("no start until {}", rig.now);
}

/// After a crash under the task a worker falls silent for good, and the next one
/// crashes and is replaced: that was no reason to wait for longer for the first.
#[test]
fn other_silence() {
    let mut rig = Rig::new(manifest(3), &[("w0", 4_000)]);
    let lasting = StepSpec { is_long_running: true, ..step(1, 2_000, &[]) };
    rig.submit(submission(1, vec![lasting], rig.now));
    let first = next_start(&mut rig);
    rig.crash(&first);
    rig.add_workers(&[listing("w1", 4_000, Incarnation(1))]);
    assert_eq!(next_start(&mut rig), id("w1"));
    let silent_at = rig.now;
    rig.workers.remove(&id("w1"));
    let leases_expire_by = Some(rig.now.plus_ms(4_000));
    let silent = WorkerReport::PollFailed { leases_expire_by, is_silent: true };
    rig.planner.report(&id("w1"), silent, rig.now);
    rig.add_workers(&[listing("w2", 4_000, Incarnation(1))]);
    while rig.now < silent_at.plus_ms(5_500) {
        rig.advance(PLAN_MS);
        rig.poll_all();
        rig.store();
    }
    assert_eq!(next_start(&mut rig), id("w2"));
    rig.crash(&id("w2"));
    rig.add_workers(&[listing("w3", 4_000, Incarnation(1))]);
    assert_eq!(next_start(&mut rig), id("w3"));
    let away_ms = rig.now.ms_since(silent_at);
    assert!(away_ms <= MAX_AWAY_MS, "{away_ms} ms");
    assert!(OPEN_WAIT_MS <= away_ms, "the first worker may come back: {away_ms} ms");
}

/// The time counts from when the worker fell silent, whatever leaders change.
#[test]
fn known_silence() {
    for gap_ms in [1_000, 2_000, 3_000, 5_000, 7_000, 30_000] {
        let started_at = starts_at(gap_ms, Some(START));
        let started_at = started_at.unwrap_or_else(|| panic!("no start, {gap_ms} ms"));
        let away_ms = started_at.ms_since(START);
        assert!(away_ms <= MAX_AWAY_MS, "{gap_ms} ms: {away_ms} ms");
        let earliest_ms = OPEN_WAIT_MS.min(MAX_ORPHAN_LEASE_MS);
        assert!(earliest_ms <= away_ms, "{gap_ms} ms: the worker may come back, {away_ms} ms");
    }
}

/// A leader that does not know since when waits until no run of an earlier one
/// goes on.
#[test]
fn unknown_silence() {
    let started_at = starts_at(30_000, None).expect("a start");
    let away_ms = started_at.ms_since(START);
    let expected = MAX_ORPHAN_LEASE_MS..=MAX_ORPHAN_LEASE_MS + 2 * PLAN_MS;
    assert!(expected.contains(&away_ms), "{away_ms} ms");
}

/// A worker that answers is not silent any longer, whatever an earlier leader saw.
#[test]
fn answers_again() {
    let mut rig = Rig::new(manifest(3), &[]);
    replace_leader(&mut rig, 0, Some(START.minus_ms(OPEN_WAIT_MS)));
    let poll = PollResult {
        incarnation: Incarnation(0),
        leases_expire_by: rig.now.plus_ms(4_000),
        responsive_since: START,
        asked_at: rig.now,
        running: Vec::new(),
        ended: Vec::new(),
        may_lack_ends: false,
    };
    rig.planner.report(&id("lost"), WorkerReport::Polled(poll), rig.now);
    for _ in 0..MAX_ORPHAN_LEASE_MS / PLAN_MS {
        assert!(rig.plan().is_empty(), "the outcome is open at {}", rig.now);
        rig.store();
        rig.advance(PLAN_MS);
        rig.poll_all();
    }
}
