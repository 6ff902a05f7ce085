//! How long tasks that may have crashed a worker wait for their records while the
//! store answers slowly.
//!
//! Guards against starts that are withdrawn because their record takes longer than
//! a fixed time: the withdrawal changed the record, so that the next start waited
//! for it anew, without a bound. A task whose worker is free waits for the write
//! that is in flight when its worker crashes, the record of the crash and the
//! record of its next run.

#[path = "support/fleet_world.rs"]
#[expect(dead_code, reason = "shared with tests that need more of it")]
mod fleet_world;
#[path = "support/planner_rig.rs"]
#[expect(dead_code, reason = "shared with tests that need more of it")]
mod planner_rig;

use std::collections::BTreeMap;

use fleet_world::{listing, manifest, step, submission};
use mustardcove_core::{
    fleet::{
        id::{Incarnation, SubmissionId, TaskKey, Term},
        message::EndKind,
        planner::{DecisionKind, Planner, WorkerListing},
        record::ProgressRecord,
        submission::{StepSpec, Submission, SubmissionState},
    },
    id::WorkerId,
    time::Timestamp,
};
use planner_rig::{Rig, START};

const STEP_MS: u64 = 100;
/// Times that the store takes for a write, in milliseconds.
const WRITE_MS: [u64; 3] = [200, 1_600, 4_000];
/// Writes for which a task waits at most.
const MAX_WRITES: u64 = 3;
/// Time for plans and polls between these writes, in milliseconds.
const PLANS_MS: u64 = 1_000;
/// Longest time for which a test waits, in milliseconds.
const MAX_WAIT_MS: u64 = 60_000;
/// Records in one write of a store that takes a limited number of rows.
const RECORDS_PER_WRITE: usize = 15;
/// Writes for which records are taken at once.
const WRITES_AT_ONCE: usize = 4;
const SUBMISSIONS: u64 = 8;
const TASKS: u16 = 4;

fn workers(prefix: &str, count: usize) -> Vec<WorkerListing> {
    let worker = |i| {
        let name = format!("{prefix}{i:02}");
        let host = Some(name.parse().expect("a valid name"));
        WorkerListing { host, ..listing(&name, 32_000, Incarnation(1)) }
    };
    (0..count).map(worker).collect()
}

fn long_running(count: u16) -> StepSpec {
    StepSpec { is_long_running: true, ..step(count, 500, &[]) }
}

/// Records, each with the revision that it replaces.
type Records = Vec<(SubmissionId, ProgressRecord, u64)>;

/// A planner whose records are stored some time after they were taken, one write at
/// a time.
struct SlowStore {
    rig: Rig,
    write_ms: u64,
    /// When the write in flight ends, its change and its records.
    in_flight: Option<(Timestamp, u64, Records)>,
    /// What is stored of each submission.
    stored: BTreeMap<SubmissionId, (ProgressRecord, u64)>,
    /// Whether no write has an effect.
    is_away: bool,
    /// Most records that are taken at once.
    most: usize,
    /// Whether a write holds a few records, so that many take more of them.
    is_split: bool,
}

impl SlowStore {
    fn new(write_ms: u64) -> SlowStore {
        let rig = Rig::new(manifest(3), &[]);
        SlowStore {
            rig,
            write_ms,
            in_flight: None,
            stored: BTreeMap::new(),
            is_away: false,
            most: usize::MAX,
            is_split: false,
        }
    }

    /// Ends the write in flight if it is due, and begins the next one.
    fn store(&mut self) {
        if let Some((_, change, records)) = self.in_flight.take_if(|it| it.0 <= self.rig.now) {
            for (id, progress, revision) in records {
                if self.is_away {
                    self.rig.planner.progress_failed(id);
                } else {
                    self.stored.insert(id, (progress, revision + 1));
                    self.rig.planner.record_stored(id, revision + 1, change);
                }
            }
            self.rig.planner.acknowledge_stored();
        }
        if self.in_flight.is_none() {
            let (change, records) = self.rig.planner.take_progress_up_to(self.most);
            let writes = if self.is_split { records.len().div_ceil(RECORDS_PER_WRITE) } else { 1 };
            if !records.is_empty() {
                let ends_at = self.rig.now.plus_ms(self.write_ms * writes as u64);
                self.in_flight = Some((ends_at, change, records));
            }
        }
    }

    /// Plans, and advances time with polls of all workers. Returns the tasks that
    /// have started.
    fn advance(&mut self) -> Vec<TaskKey> {
        self.store();
        let started = self.rig.plan().into_iter().map(|it| it.1.task).collect();
        self.store();
        self.rig.advance(STEP_MS);
        self.rig.poll_all();
        started
    }

    /// Returns how long each of the tasks waits for its next start.
    fn waits_ms(&mut self, tasks: usize) -> BTreeMap<TaskKey, u64> {
        let mut waits = BTreeMap::new();
        for i in 0..MAX_WAIT_MS / STEP_MS {
            for task in self.advance() {
                waits.entry(task).or_insert(i * STEP_MS);
            }
            if waits.len() == tasks {
                break;
            }
        }
        waits
    }

    fn withdrawn(&self) -> usize {
        let decisions = self.rig.decisions.iter();
        decisions.filter(|it| it.kind == DecisionKind::StartWithdrawn).count()
    }

    /// Starts long-running submissions on two workers, which crash under their new
    /// runs; others are free.
    fn crash(&mut self) -> Vec<std::sync::Arc<Submission>> {
        self.rig.add_workers(&workers("c", 2));
        let submissions: Vec<_> = (1..=SUBMISSIONS)
            .map(|it| submission(it, vec![long_running(TASKS)], self.rig.now))
            .collect();
        for it in &submissions {
            self.rig.submit(it.clone());
        }
        assert_eq!(self.rig.plan().len(), tasks());
        self.rig.add_workers(&workers("w", 60));
        for it in workers("c", 2) {
            self.rig.crash(&it.worker);
        }
        assert_eq!(self.rig.planner.counts(self.rig.now).suspect_tasks, tasks());
        submissions
    }
}

fn tasks() -> usize {
    SUBMISSIONS as usize * usize::from(TASKS)
}

fn max_wait_ms(write_ms: u64) -> u64 {
    MAX_WRITES * write_ms + PLANS_MS
}

/// Starts in groups were withdrawn after 1.5 s, again and again, if a write takes
/// longer.
#[test]
fn slow_writes_bounded() {
    for write_ms in WRITE_MS {
        let mut slow = SlowStore::new(write_ms);
        slow.crash();
        let waits = slow.waits_ms(tasks());
        let longest = waits.values().max().copied().unwrap_or(MAX_WAIT_MS);
        let withdrawn = slow.withdrawn();
        assert!(
            waits.len() == tasks() && longest <= max_wait_ms(write_ms) && withdrawn == 0,
            "{write_ms} ms a write: {} of {} tasks start, the last after {longest} ms; \
             {withdrawn} starts withdrawn",
            waits.len(),
            tasks(),
        );
    }
}

/// A start that is taken back because its worker falls silent waited for another
/// record before the next one.
#[test]
fn workers_lost_early() {
    let write_ms = 1_600;
    let mut slow = SlowStore::new(write_ms);
    slow.crash();
    // The record of the crash is stored, and starts wait for theirs.
    while slow.rig.planner.counts(slow.rig.now).placed_runs < tasks() {
        assert!(slow.advance().is_empty(), "a start without its record");
        assert!(slow.rig.now.ms_since(START) < MAX_WAIT_MS, "no start is planned");
    }
    // Their workers are lost before they are ordered.
    let lost: Vec<WorkerId> = workers("w", 30).into_iter().map(|it| it.worker).collect();
    for it in &lost {
        slow.rig.crash(it);
    }
    let waits = slow.waits_ms(tasks());
    let longest = waits.values().max().copied().unwrap_or(MAX_WAIT_MS);
    // The write in flight, and the record of the next run.
    let max_ms = 2 * write_ms + PLANS_MS;
    let started = waits.len();
    assert!(started == tasks() && longest <= max_ms, "{started} tasks start, {longest} ms");
}

/// While the store is away, suspected tasks must not keep workers from other work.
#[test]
fn store_away_idle() {
    let mut slow = SlowStore::new(200);
    slow.crash();
    slow.advance();
    slow.is_away = true;
    let mut held_ms = 0;
    for i in 0..120 {
        assert!(slow.advance().is_empty(), "a start without its record");
        let isolated = slow.rig.planner.counts(slow.rig.now).isolated_workers;
        held_ms += u64::from(0 < isolated) * STEP_MS;
        if 30 <= i {
            assert_eq!(isolated, 0, "isolated after {i} steps");
        }
    }
    assert!(held_ms <= 3_000, "workers are kept for {held_ms} ms");
    slow.is_away = false;
    let waits = slow.waits_ms(tasks());
    let longest = waits.values().max().copied().unwrap_or(MAX_WAIT_MS);
    assert!(waits.len() == tasks() && longest <= max_wait_ms(200), "{longest} ms");
}

/// A leader that is lost while starts wait for their records leaves runs that never
/// began. Its successor must start each task in the same time, and give up none.
#[test]
fn leader_lost_early() {
    for write_ms in WRITE_MS {
        for lost_after_ms in [write_ms, 2 * write_ms, 5 * write_ms / 2] {
            let mut slow = SlowStore::new(write_ms);
            let submissions = slow.crash();
            for _ in 0..lost_after_ms / STEP_MS {
                if !slow.advance().is_empty() {
                    break;
                }
            }
            // The write in flight still takes effect.
            for (id, progress, revision) in slow.in_flight.take().into_iter().flat_map(|it| it.2) {
                slow.stored.insert(id, (progress, revision + 1));
            }
            let running = slow.rig.running().len();
            slow.rig.planner = Planner::new(Term(9), 2, manifest(3), slow.rig.now);
            slow.rig.planner.update_workers(slow.rig.listings.clone(), true);
            for it in submissions {
                let stored = slow.stored.get(&it.id).map(|it| (&it.0, it.1));
                slow.rig.planner.restore(it, false, stored, slow.rig.now);
            }
            slow.rig.poll_all();
            let waits = slow.waits_ms(tasks() - running);
            let longest = waits.values().max().copied().unwrap_or(0);
            assert!(
                waits.len() == tasks() - running && longest <= max_wait_ms(write_ms),
                "{write_ms} ms a write, leader lost after {lost_after_ms} ms: {} of {} start, \
                 the last after {longest} ms",
                waits.len(),
                tasks() - running,
            );
            assert!(!slow.rig.states.values().any(|it| *it == SubmissionState::Failed));
        }
    }
}

/// Records that starts wait for were written with those of hundreds of other
/// submissions, and waited for all of them. The others must be stored as well, at
/// half the speed at least.
#[test]
fn many_other_records() {
    const OTHERS: u64 = 640;
    let write_ms = 200;
    let mut slow = SlowStore::new(write_ms);
    slow.is_split = true;
    slow.most = WRITES_AT_ONCE * RECORDS_PER_WRITE;
    slow.rig.add_workers(&workers("x", 2));
    for id in 1_000..1_000 + OTHERS {
        slow.rig.submit(submission(id, vec![step(1, 100, &[])], slow.rig.now));
    }
    assert_eq!(slow.rig.plan().len(), OTHERS as usize);
    let others = slow.rig.running();
    slow.crash();
    for (task, worker) in others {
        slow.rig.end(&worker, task, EndKind::Done);
    }
    let began_at = slow.rig.now;
    let waits = slow.waits_ms(tasks());
    let longest = waits.values().max().copied().unwrap_or(MAX_WAIT_MS);
    let most_ms = max_wait_ms(WRITES_AT_ONCE as u64 * write_ms);
    assert!(waits.len() == tasks() && longest <= most_ms, "{} start, {longest} ms", waits.len());
    let writes = (OTHERS as usize).div_ceil(RECORDS_PER_WRITE) as u64;
    while slow.rig.now.ms_since(began_at) < 2 * writes * write_ms {
        slow.advance();
    }
    let stored = slow.stored.keys().filter(|it| 1_000 <= it.0).count();
    assert_eq!(stored, OTHERS as usize);
}
