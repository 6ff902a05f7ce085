//! Workers that list only some of their ends at a time.
//!
//! Guards against tasks that are started again although they have ended: while
//! no end can be acknowledged, later ends are missing from the list, and their
//! runs are in neither list of a poll.

#[path = "support/fleet_world.rs"]
#[expect(dead_code, reason = "shared with tests that need more of it")]
mod fleet_world;

use fleet_world::{World, listing, manifest, step, submission};
use mustardcove_core::{
    fleet::{
        id::{BootMillis, EndNumber, Incarnation, RunNumber, SubmissionId, TaskKey, Term},
        message::{EndKind, EndedRun, Order, PollResult, RunningTask, StartOutcome, WorkerReport},
        planner::{Planner, WorkerListing},
        poller::{MAX_ORPHAN_LEASE_MS, PollWait, WorkerPoller},
        submission::SubmissionState::Completed,
    },
    time::Timestamp,
};
use rand::RngExt;

const WORKERS: usize = 3;
/// Ends that a worker lists at a time.
const LISTED_ENDS: usize = 4;
/// Longest time until all work has ended after the last fault, in milliseconds.
const SETTLE_MS: u64 = 60_000;
const SEEDS: u64 = 100;
const START: Timestamp = Timestamp(50_000);

/// Returns a world in which the store goes away while many short tasks run.
fn world_in_outage(seed: u64) -> World {
    let mut world = World::new(seed, WORKERS);
    world.listed_ends = LISTED_ENDS;
    for id in 1..=6 {
        world.submit(submission(id, vec![step(12, 300, &[]), step(4, 300, &[0])], world.now));
    }
    let run_ms = world.rng.random_range(300..1_500);
    world.run(run_ms);
    world.is_store_away = true;
    world
}

fn check(world: &World, seed: u64) {
    assert!(world.violations.is_empty(), "seed {seed}: {:?}", world.violations);
    assert!(world.unfinished().is_empty(), "seed {seed}: {:?}", world.unfinished());
}

/// The leader stays while the store is away.
#[test]
fn store_away() {
    for seed in 0..SEEDS {
        let mut world = world_in_outage(seed);
        world.run(4_500);
        world.is_store_away = false;
        world.run(SETTLE_MS);
        check(&world, seed);
    }
}

/// Calls are lost or late while the store is away, so that runs are stopped
/// whose start was not confirmed.
#[test]
fn calls_lost() {
    for seed in 0..SEEDS {
        let mut world = world_in_outage(seed);
        world.call_failure_percent = 20;
        world.run(4_500);
        world.is_store_away = false;
        world.run(4_000);
        world.call_failure_percent = 0;
        world.run(SETTLE_MS);
        check(&world, seed);
    }
}

/// The leader is lost at the end of the outage, and no end beyond the list of a
/// worker is known to the next one.
#[test]
fn leader_lost() {
    for seed in 0..SEEDS {
        let mut world = world_in_outage(seed);
        world.run(4_500);
        world.leaders.clear();
        world.elect();
        let run_ms = world.rng.random_range(0..12_000);
        world.run(run_ms);
        world.is_store_away = false;
        world.run(SETTLE_MS);
        check(&world, seed);
    }
}

/// New work starts although the ends that fill a worker's list are of cancelled
/// work: nothing is stored because of them, and they are acknowledged all the
/// same.
#[test]
fn cancelled_work() {
    let mut world = World::new(1, 1);
    (world.listed_ends, world.has_progress) = (LISTED_ENDS, true);
    world.submit(submission(1, vec![step(8, 500, &[])], world.now));
    world.run(700);
    world.is_store_away = true;
    world.run(1_500);
    world.cancel(SubmissionId(1));
    world.is_store_away = false;
    world.submissions.insert(SubmissionId(2), submission(2, vec![step(1, 500, &[])], world.now));
    world.leaders.clear();
    world.elect();
    world.run(12_000);
    assert_eq!(world.unfinished(), []);
}

/// A planner with one worker, whose answers to polls a test sets.
struct CutPlanner {
    planner: Planner,
    now: Timestamp,
}

impl CutPlanner {
    /// Returns the planner of a leader after another one, whose leases have
    /// expired by the given time.
    fn new(claims: u64, earlier_leases_expire_by: Timestamp) -> CutPlanner {
        let mut planner = Planner::new(Term(9), claims, manifest(3), earlier_leases_expire_by);
        planner.update_workers(vec![worker()], true);
        planner.restore_workers(Some(vec![worker()]));
        planner.update_workers(vec![worker()], true);
        CutPlanner { planner, now: START }
    }

    fn poll(&mut self, running: Vec<RunningTask>, ended: Vec<EndedRun>, may_lack_ends: bool) {
        let poll = PollResult {
            incarnation: Incarnation(1),
            leases_expire_by: self.now.plus_ms(4_000),
            responsive_since: START,
            asked_at: self.now,
            running,
            ended,
            may_lack_ends,
        };
        self.report(WorkerReport::Polled(poll));
    }

    fn report(&mut self, report: WorkerReport) {
        self.planner.report(&worker().worker, report, self.now);
    }

    /// Stores all pending progress.
    fn store(&mut self) {
        let (change, records) = self.planner.take_progress();
        for (id, _, revision) in records {
            self.planner.record_stored(id, revision + 1, change);
        }
        self.planner.acknowledge_stored();
    }

    /// Lets time pass and the planner plan, and returns its orders.
    fn advance(&mut self, ms: u64) -> Vec<Order> {
        self.now = self.now.plus_ms(ms);
        self.planner.tick(self.now);
        self.planner.take_actions().orders.into_iter().map(|it| it.1).collect()
    }

    /// Lets the worker confirm the starts, and returns them.
    fn started(&mut self, ms: u64) -> Vec<(TaskKey, RunNumber)> {
        let mut started = Vec::new();
        for order in self.advance(ms) {
            if let Order::Start(it) = order {
                started.push((it.task, it.run));
                let outcome = StartOutcome::Started;
                self.report(WorkerReport::Start {
                    task: it.task,
                    run: it.run,
                    outcome,
                    answered_at: self.now,
                });
            }
        }
        started
    }
}

fn worker() -> WorkerListing {
    listing("w0", 4_000, Incarnation(1))
}

fn end(number: u64, task: TaskKey, run: RunNumber) -> EndedRun {
    EndedRun { number: EndNumber(number), task, run, kind: EndKind::Done, checkpoint: None }
}

/// A run that a whole list lacks has ended; one that a cut list lacks may have
/// ended as done.
#[test]
fn missing_run() {
    for (is_cut, restarts) in [(true, 0), (false, 1)] {
        let mut rig = CutPlanner::new(1, START);
        rig.poll(vec![], vec![], false);
        rig.planner.submit(submission(1, vec![step(1, 500, &[])], START), true, START);
        assert_eq!(rig.started(0).len(), 1);
        let mut starts = 0;
        for _ in 0..10 {
            rig.poll(vec![], vec![], is_cut);
            starts += rig.started(300).len();
        }
        assert_eq!(starts.min(1), restarts, "cut: {is_cut}");
    }
}

/// A stop that the worker has confirmed proves nothing about a run that a cut
/// list lacks: it may have ended as done before.
#[test]
fn stopped_run() {
    let mut rig = CutPlanner::new(1, START);
    rig.poll(vec![], vec![], false);
    rig.planner.submit(submission(1, vec![step(1, 500, &[])], START), true, START);
    let orders = rig.advance(0);
    let Some(Order::Start(start)) = orders.first() else { panic!("a start") };
    let (task, run) = (start.task, start.run);
    let outcome = StartOutcome::MayHaveRun;
    rig.report(WorkerReport::Start { task, run, outcome, answered_at: rig.now });
    assert!(matches!(rig.advance(10).as_slice(), [Order::Stop { .. }]));
    rig.report(WorkerReport::Stop { task, run, is_confirmed: true, answered_at: rig.now });
    for _ in 0..10 {
        rig.poll(vec![], vec![], true);
        assert_eq!(rig.started(300), [], "it may have ended");
    }
    rig.poll(vec![], vec![end(501, task, run)], false);
    assert_eq!(rig.started(300), [], "it has ended");
}

/// A new leader starts no task again while a worker that answers has not listed
/// all ends of the leader before, however long that takes.
#[test]
fn fence_waits() {
    let expire_by = START.plus_ms(MAX_ORPHAN_LEASE_MS);
    let mut rig = CutPlanner::new(2, expire_by);
    let work = submission(1, vec![step(2, 500, &[])], START);
    let ended = work.task(0, 0, 1);
    rig.planner.restore(work, false, None, START);
    for number in 1..=60 {
        let other = submission(7, vec![step(1, 500, &[])], START).task(0, 0, 0);
        rig.poll(vec![], vec![end(number, other, RunNumber(number))], true);
        assert_eq!(rig.started(200), [], "an end may be beyond the list");
    }
    rig.poll(vec![], vec![end(61, ended, RunNumber(1))], false);
    let tasks: Vec<u16> = rig.started(200).iter().map(|it| it.0.index).collect();
    assert_eq!(tasks, [0], "the other one is done");
}

/// The wait of a new leader ends with the leases of a worker that falls silent
/// before it has listed all ends.
#[test]
fn fence_ends() {
    let expire_by = START.plus_ms(MAX_ORPHAN_LEASE_MS);
    let mut rig = CutPlanner::new(2, expire_by);
    let free = listing("w1", 4_000, Incarnation(2));
    rig.planner.update_workers(vec![worker(), free.clone()], true);
    rig.planner.restore(submission(1, vec![step(1, 500, &[])], START), false, None, START);
    rig.poll(vec![], vec![], true);
    let leases_expire_by = Some(expire_by.plus_ms(3_000));
    rig.report(WorkerReport::PollFailed { leases_expire_by, is_silent: true });
    let poll_free = |rig: &mut CutPlanner| {
        let poll = PollResult {
            incarnation: Incarnation(2),
            leases_expire_by: rig.now.plus_ms(4_000),
            responsive_since: START,
            asked_at: rig.now,
            running: vec![],
            ended: vec![],
            may_lack_ends: false,
        };
        rig.planner.report(&free.worker, WorkerReport::Polled(poll), rig.now);
        rig.started(100).len()
    };
    while rig.now < expire_by.plus_ms(3_000) {
        assert_eq!(poll_free(&mut rig), 0, "its lease may go on at {}", rig.now);
    }
    rig.advance(300);
    assert_eq!(poll_free(&mut rig) + usize::from(rig.planner.counts(rig.now).placed_runs == 1), 1);
}

/// An acknowledgement that was lost with the worker's poller is ordered again: the
/// worker would list the same ends for good.
#[test]
fn lost_acknowledgement() {
    let mut rig = CutPlanner::new(1, START);
    rig.poll(vec![], vec![], false);
    rig.planner.submit(submission(1, vec![step(1, 500, &[])], START), true, START);
    let started = rig.started(0);
    let ended = vec![end(1, started[0].0, started[0].1)];
    for _ in 0..3 {
        rig.poll(vec![], ended.clone(), true);
        rig.store();
        let orders = rig.advance(200);
        let is_acknowledged = |it: &Order| matches!(it, Order::AcknowledgeEnds { through, .. } if *through == EndNumber(1));
        assert!(orders.iter().any(is_acknowledged), "{orders:?}");
    }
}

/// Returns the end of something that is no task of ours.
fn foreign(number: u64) -> EndedRun {
    EndedRun { kind: EndKind::Foreign, ..end(number, TaskKey::MIN, RunNumber(0)) }
}

/// Returns through which end a worker was told that ends are acknowledged.
fn acknowledged(orders: &[Order]) -> Option<u64> {
    let through = |it: &Order| match it {
        Order::AcknowledgeEnds { through, .. } => Some(through.0),
        _ => None,
    };
    orders.iter().filter_map(through).max()
}

/// Guards against ends that stay hidden for good behind a full list of rows
/// that name no task of ours: those are acknowledged like others, in order.
#[test]
fn foreign_ends() {
    for claims in [1, 2] {
        let mut rig = CutPlanner::new(claims, START);
        rig.poll(vec![], vec![], false);
        rig.planner.submit(submission(1, vec![step(1, 500, &[])], START), true, START);
        let started = rig.started(0);
        let first = if claims == 1 { 1 } else { 700 };
        let listed: Vec<EndedRun> = (first..first + 500).map(foreign).collect();
        rig.poll(vec![], listed, true);
        rig.store();
        assert_eq!(acknowledged(&rig.advance(200)), Some(first + 499));
        let own = end(first + 500, started[0].0, started[0].1);
        rig.poll(vec![], vec![own, foreign(first + 501)], false);
        assert_eq!(acknowledged(&rig.advance(200)), None, "the end is not stored");
        rig.store();
        assert_eq!(acknowledged(&rig.advance(200)), Some(first + 501));
        assert_eq!(rig.planner.published_states(), [(SubmissionId(1), Completed)]);
    }
}

/// A row with a wrong number, which names no task of ours either, hides no end
/// below that number.
#[test]
fn foreign_number() {
    let mut rig = CutPlanner::new(1, START);
    rig.poll(vec![], vec![], false);
    rig.planner.submit(submission(1, vec![step(2, 500, &[])], START), true, START);
    let started = rig.started(0);
    rig.poll(vec![], vec![end(1, started[0].0, started[0].1), foreign(1 << 40)], false);
    rig.poll(vec![], vec![end(2, started[1].0, started[1].1), foreign(1 << 40)], false);
    rig.store();
    assert_eq!(acknowledged(&rig.advance(200)), Some(2));
    assert_eq!(rig.planner.published_states(), [(SubmissionId(1), Completed)]);
}

/// The next poll of a worker with more ends than it lists is not held: what it
/// acknowledges makes the worker list the others.
#[test]
fn next_poll() {
    let mut poller = WorkerPoller::default();
    for (may_lack_ends, wait) in [(false, PollWait::Busy), (true, PollWait::None)] {
        let status = poller.poll_answered(Incarnation(1), 100, true, START);
        if may_lack_ends {
            poller.ends_cut_off();
        }
        poller.confirm(Some(status.responsive_since));
        assert_eq!(poller.next_poll(true, START, BootMillis(START.0)).wait, wait);
    }
}

/// Ends beyond the list are applied once earlier ones are acknowledged.
#[test]
fn later_ends() {
    let mut world = World::new(1, 1);
    world.listed_ends = LISTED_ENDS;
    world.has_progress = true;
    world.workers[0].cpu = 20_000;
    let tasks = 4 * LISTED_ENDS as u16;
    world.submit(submission(1, vec![step(tasks, 500, &[])], world.now));
    world.run(SETTLE_MS);
    check(&world, 1);
    assert_eq!(world.starts, usize::from(tasks));
    assert!(world.published.contains_key(&SubmissionId(1)));
}
