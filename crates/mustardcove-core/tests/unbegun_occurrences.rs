//! Scheduled submissions under a new leader that has begun fewer occurrences than
//! the one before.

#[path = "support/fleet_world.rs"]
#[expect(dead_code, reason = "shared with tests that need more of it")]
mod fleet_world;
#[path = "support/planner_rig.rs"]
#[expect(dead_code, reason = "shared with tests that need more of it")]
mod planner_rig;

use std::{collections::BTreeSet, sync::Arc};

use fleet_world::{World, manifest, step, submission};
use mustardcove_core::{
    fleet::{
        id::{EndNumber, Incarnation, RunNumber, SubmissionId, TaskKey, Term},
        message::{EndKind, EndedRun, Order, PollResult, RunningTask, WorkerReport},
        planner::Planner,
        poller::MAX_ORPHAN_LEASE_MS,
        record::ProgressRecord,
        submission::{Schedule, Submission, SubmissionState},
    },
    id::WorkerId,
    time::Timestamp,
};
use planner_rig::{Rig, START};
use proptest::prelude::*;
use rand::RngExt;

const ID: SubmissionId = SubmissionId(1);
const INTERVAL_MS: u64 = 1_000;
/// More than a leader begins at once.
const MANY: u32 = 1_300;
const SEEDS: u64 = 12;
/// Time within which everything has to end, in milliseconds.
const SETTLE_MS: u64 = 150_000;

fn scheduled(id: u64, schedule: Schedule, now: Timestamp) -> Arc<Submission> {
    let plain = submission(id, vec![step(1, 50, &[])], now);
    Arc::new(Submission { schedule: Some(schedule), ..(*plain).clone() })
}

fn task(occurrence: u32) -> TaskKey {
    scheduled(ID.0, Schedule { count: 1, first_at: START, interval_ms: 1 }, START)
        .task(occurrence, 0, 0)
}

/// What a worker reports of a run of an earlier leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reported {
    Ended(EndKind),
    Running,
}

/// A leader whose clock shows `clock`, after one that began all occurrences of a
/// submission without storing that. Its only worker is `w0`.
struct Successor {
    rig: Rig,
    worker: WorkerId,
    submission: Arc<Submission>,
}

impl Successor {
    fn new(count: u32, clock: Timestamp) -> Successor {
        let mut rig = Rig::new(manifest(3), &[("w0", 100_000)]);
        rig.now = clock;
        let schedule = Schedule { count, first_at: START, interval_ms: INTERVAL_MS };
        let submission = scheduled(ID.0, schedule, START);
        let worker = "w0".parse().expect("a valid name");
        let mut successor = Successor { rig, worker, submission };
        successor.lead(Term(2), None);
        successor
    }

    /// Begins the term of a leader that finds a record of the progress.
    fn lead(&mut self, term: Term, progress: Option<&ProgressRecord>) {
        let Rig { now, listings, .. } = &self.rig;
        let leases_end = now.plus_ms(MAX_ORPHAN_LEASE_MS);
        let mut planner = Planner::new(term, term.0, manifest(3), leases_end);
        planner.restore_workers(Some(listings.clone()));
        let progress = progress.map(|it| (it, 1));
        planner.restore(self.submission.clone(), false, progress, *now);
        planner.update_workers(listings.clone(), true);
        self.rig.planner = planner;
    }

    /// Stores the progress, and leaves it to another leader.
    fn replace(&mut self) {
        let (_, records) = self.rig.planner.take_progress();
        let progress = records.into_iter().find(|it| it.0 == ID).map(|it| it.1);
        self.lead(Term(3), progress.as_ref());
    }

    /// Reports what an earlier leader has started, by occurrence.
    fn report(&mut self, reported: &[(u32, Reported)]) {
        let run = RunNumber(1);
        let mut ended = Vec::new();
        let mut running = Vec::new();
        for (occurrence, it) in reported {
            let task = task(*occurrence);
            match it {
                Reported::Ended(kind) => {
                    let number = EndNumber(ended.len() as u64 + 1);
                    ended.push(EndedRun { number, task, run, kind: *kind, checkpoint: None });
                }
                Reported::Running => running.push(RunningTask {
                    task,
                    run,
                    checkpoint: None,
                    percent: 10,
                    measurement: 0,
                }),
            }
        }
        for it in &running {
            let state = self.rig.workers.get_mut(&self.worker).expect("a worker");
            state.running.insert(it.task, (it.run, 0, it.percent));
        }
        let state = self.rig.workers.get_mut(&self.worker).expect("a worker");
        state.ends = ended.len() as u64;
        let poll = PollResult {
            incarnation: Incarnation(1),
            leases_expire_by: self.rig.now.plus_ms(4_000),
            responsive_since: START,
            asked_at: self.rig.now,
            running,
            ended,
            may_lack_ends: false,
        };
        self.rig.planner.report(&self.worker, WorkerReport::Polled(poll), self.rig.now);
    }

    /// Plans for a while, and returns the tasks that are started, with the time.
    fn starts(&mut self, ms: u64) -> Vec<(TaskKey, Timestamp)> {
        let mut starts = Vec::new();
        for _ in 0..ms / 100 {
            self.rig.advance(100);
            for state in self.rig.workers.values_mut() {
                // Runs without progress would be stopped.
                state.running.values_mut().for_each(|it| it.2 = (it.2 + 1) % 100);
            }
            self.rig.poll_all();
            let now = self.rig.now;
            starts.extend(self.rig.plan().into_iter().map(|it| (it.1.task, now)));
            self.rig.store();
        }
        starts
    }

    fn acknowledged(&self) -> Option<EndNumber> {
        let through = self.rig.orders.iter().filter_map(|it| match it.1 {
            Order::AcknowledgeEnds { through, .. } => Some(through),
            _ => None,
        });
        through.max()
    }
}

/// Guards against an end `done` that is acknowledged and has no effect, so that its
/// task runs again: the leader's clock is behind, and the occurrence has not begun.
#[test]
fn done_before_begun() {
    let mut leader = Successor::new(4, START);
    leader.report(&[(2, Reported::Ended(EndKind::Done))]);
    let starts = leader.starts(9_000);
    assert_eq!(leader.acknowledged(), Some(EndNumber(1)));
    let started: BTreeSet<u32> = starts.iter().map(|it| it.0.step.occurrence).collect();
    assert_eq!(started, BTreeSet::from([0, 1, 3]));
    for it in [0, 1, 3] {
        leader.rig.end(&leader.worker.clone(), task(it), EndKind::Done);
    }
    leader.starts(300);
    assert_eq!(leader.rig.states.get(&ID), Some(&SubmissionState::Completed));
}

/// Guards against a run that is stopped because its occurrence has not begun.
#[test]
fn running_before_begun() {
    let mut leader = Successor::new(4, START);
    leader.report(&[(3, Reported::Running)]);
    let starts = leader.starts(9_000);
    assert!(starts.iter().all(|it| it.0 != task(3)), "it runs already");
    assert!(!leader.rig.orders.iter().any(|it| matches!(it.1, Order::Stop { .. })));
}

/// Guards against failures that do not count as attempts, and against a new run
/// before the occurrence is due by the leader's clock.
#[test]
fn failed_before_begun() {
    let mut leader = Successor::new(4, START);
    leader.report(&[(3, Reported::Ended(EndKind::Failed))]);
    let starts = leader.starts(9_000);
    let due_at = START.plus_ms(3 * INTERVAL_MS);
    let restarted = starts.iter().find(|it| it.0 == task(3)).expect("it is started again");
    assert!(due_at <= restarted.1);
    for _ in 0..2 {
        leader.rig.end(&leader.worker.clone(), task(3), EndKind::Failed);
        leader.starts(2_000);
    }
    assert_eq!(leader.rig.states.get(&ID), Some(&SubmissionState::Failed));
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// Guards against occurrences that are lost or run twice when some that come
    /// later are done first, also across another change of the leader.
    #[test]
    fn any_order(
        done in prop::collection::btree_set(0..12u32, 0..12),
        is_replaced in any::<bool>(),
    ) {
        let mut leader = Successor::new(12, START);
        let reported: Vec<_> =
            done.iter().map(|it| (*it, Reported::Ended(EndKind::Done))).collect();
        leader.report(&reported);
        if is_replaced {
            leader.replace();
            // The ends are acknowledged, so the worker lists them no more.
            leader.rig.poll_all();
        }
        let mut open: BTreeSet<u32> = (0..12).filter(|it| !done.contains(it)).collect();
        for (started, _) in leader.starts(20_000) {
            prop_assert!(open.remove(&started.step.occurrence), "{started} starts again");
            leader.rig.end(&leader.worker.clone(), started, EndKind::Done);
        }
        prop_assert!(open.is_empty(), "{open:?} never start");
        leader.starts(300);
        prop_assert_eq!(leader.rig.states.get(&ID), Some(&SubmissionState::Completed));
    }
}

/// Guards against the same under changes of the leader at any time, also after an
/// outage of the store: more occurrences are due than a leader begins, so the next
/// one has begun fewer than are done.
#[test]
fn many_due() {
    for seed in 0..SEEDS {
        let mut world = World::new(seed, 4);
        world.workers.iter_mut().for_each(|it| it.cpu = 20_000);
        world.call_failure_percent = 5;
        let first_at = world.now.minus_ms(u64::from(MANY));
        let schedule = Schedule { count: MANY, first_at, interval_ms: 1 };
        world.submit(scheduled(ID.0, schedule, world.now));
        for _ in 0..3 {
            let ms = world.rng.random_range(300..2_000);
            world.run(ms);
            world.is_store_away = world.rng.random_range(0..2u32) == 0;
            let ms = world.rng.random_range(0..1_500);
            world.run(ms);
            world.is_store_away = false;
            if world.rng.random_range(0..2u32) == 0 {
                // The earlier leader is frozen, and goes on for a while.
                world.leaders[0].frozen_until = world.now.plus_ms(1_000);
                world.elect();
                world.run(1_500);
            } else {
                world.elect();
            }
            world.end_earlier_leaders();
        }
        world.call_failure_percent = 0;
        world.run(SETTLE_MS);
        assert!(world.violations.is_empty(), "seed {seed}: {:?}", &world.violations[..1]);
        assert!(world.unfinished().is_empty(), "seed {seed}: {:?}", world.unfinished());
    }
}
