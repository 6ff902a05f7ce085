//! A worker that has ended, and whose address another one serves.
//!
//! Guards against work that waits for the lease of a worker which is known to
//! have crashed, against reports about an earlier incarnation that end what
//! runs in the present one, and against listed workers that are never polled
//! again.

#[path = "support/fleet_world.rs"]
#[expect(dead_code, reason = "shared with tests that need more of it")]
mod fleet_world;

use fleet_world::{World, listing, manifest, silent_poller, step, submission};
use mustardcove_core::{
    fleet::{
        id::{Incarnation, Term},
        message::{Order, PollResult, RunningTask, StartOrder, WorkerReport},
        planner::{Planner, WorkerListing},
        submission::StepSpec,
    },
    time::Timestamp,
};
use rand::RngExt;

const WORKERS: usize = 6;
/// Time after which a worker that has crashed is back, in milliseconds.
const CRASH_MS: u64 = 1_000;
/// Longest time until its work runs again, in milliseconds: for the poll that
/// finds another worker, and a start.
const RESTART_MS: u64 = 1_000;
/// Longest time for which a listed worker is not polled, in milliseconds.
const MAX_UNPOLLED_MS: u64 = 10_000;
/// Tasks of the world, all of which run.
const TASKS: usize = 24;

/// Returns a world in which all tasks run, far from the end of their leases.
fn busy_world(seed: u64) -> World {
    let mut world = World::new(seed, WORKERS);
    world.is_renamed = true;
    world.is_endless = true;
    for id in 1..=6 {
        let step = StepSpec { is_long_running: true, ..step(4, 500, &[]) };
        world.submit(submission(id, vec![step], world.now));
    }
    let run_ms = world.rng.random_range(2_000..4_000);
    world.run(run_ms);
    assert_eq!(world.running(), TASKS, "seed {seed}");
    world
}

/// The lease of the crashed worker would end seconds later.
#[test]
fn restart_without_lease() {
    for seed in 0..60 {
        let mut world = busy_world(seed);
        let worker = world.rng.random_range(0..WORKERS);
        world.crash(worker, CRASH_MS);
        world.run(CRASH_MS + RESTART_MS);
        assert_eq!(world.running(), TASKS, "seed {seed}");
        assert!(world.violations.is_empty(), "seed {seed}: {:?}", world.violations);
    }
}

/// The leader is lost with the worker. The next one need not wait until the
/// leases of the worker have expired.
#[test]
fn restart_after_leader() {
    for seed in 0..60 {
        let mut world = busy_world(seed);
        let worker = world.rng.random_range(0..WORKERS);
        world.crash(worker, CRASH_MS);
        world.leaders.clear();
        world.elect();
        world.run(CRASH_MS + RESTART_MS);
        assert_eq!(world.running(), TASKS, "seed {seed}");
        assert!(world.violations.is_empty(), "seed {seed}: {:?}", world.violations);
    }
}

/// The poller of an incarnation reports its end when the leader already knows
/// the next one.
#[test]
fn report_of_earlier_incarnation() {
    let now = Timestamp(1_000_000);
    let mut planner = Planner::new(Term(9), 1, manifest(3), now);
    let listed = listing("w0", 4_000, Incarnation(2));
    let worker = listed.worker.clone();
    planner.update_workers(vec![listed], true);
    let polled = |running: Vec<RunningTask>| {
        WorkerReport::Polled(PollResult {
            incarnation: Incarnation(2),
            leases_expire_by: now.plus_ms(4_000),
            responsive_since: now,
            asked_at: now,
            running,
            ended: Vec::new(),
            may_lack_ends: false,
        })
    };
    planner.report(&worker, polled(Vec::new()), now);
    planner.submit(submission(1, vec![step(1, 500, &[])], now), true, now);
    planner.tick(now);
    let orders = planner.take_actions().orders;
    let Some((_, Order::Start(StartOrder { task, run, .. }))) = orders.first() else {
        panic!("no start: {orders:?}")
    };
    let row = RunningTask { task: *task, run: *run, checkpoint: None, percent: 1, measurement: 0 };
    planner.report(&worker, polled(vec![row.clone()]), now);
    let earlier = WorkerReport::Replaced { incarnation: Some(Incarnation(1)) };
    planner.report(&worker, earlier, now);
    assert_eq!(planner.counts(now).placed_runs, 1, "the run goes on");
    assert_eq!(planner.counts(now).schedulable_workers, 1, "the worker answers");
    assert_eq!(planner.counts(now).suspect_tasks, 0);
    planner.tick(now);
    assert!(planner.take_actions().orders.is_empty(), "it is not started again");

    planner.report(&worker, WorkerReport::Replaced { incarnation: Some(Incarnation(2)) }, now);
    planner.tick(now);
    assert_eq!(planner.counts(now).placed_runs, 0, "it has ended");
    planner.report(&worker, polled(vec![row]), now);
    assert_eq!(planner.counts(now).placed_runs, 0, "a late answer of what has ended");
}

fn polled(incarnation: u64, now: Timestamp) -> WorkerReport {
    WorkerReport::Polled(PollResult {
        incarnation: Incarnation(incarnation),
        leases_expire_by: now.plus_ms(4_000),
        responsive_since: now,
        asked_at: now,
        running: Vec::new(),
        ended: Vec::new(),
        may_lack_ends: false,
    })
}

/// The next incarnation is listed at another address before the report arrives
/// that another worker has taken the place of the one before.
#[test]
fn polled_at_new_address() {
    let mut now = Timestamp(1_000_000);
    let mut planner = Planner::new(Term(9), 1, manifest(3), now);
    let listed = listing("w0", 4_000, Incarnation(1));
    let worker = listed.worker.clone();
    planner.update_workers(vec![listed.clone()], true);
    planner.report(&worker, polled(1, now), now);
    let address = "127.0.0.1:2".parse().expect("an address");
    let next = WorkerListing { address, incarnation: Incarnation(2), ..listed };
    planner.update_workers(vec![next], true);
    planner.report(&worker, WorkerReport::Replaced { incarnation: Some(Incarnation(1)) }, now);
    assert_eq!(planner.workers_to_poll().count(), 1, "the next incarnation is polled");
    for _ in 0..30 {
        now = now.plus_ms(200);
        planner.report(&worker, polled(2, now), now);
        planner.tick(now);
        assert_eq!(planner.counts(now).schedulable_workers, 1, "at {now}");
    }
}

/// As before, but nobody has answered at the earlier address: the report does
/// not tell which incarnation it is about.
#[test]
fn polled_again() {
    let mut now = Timestamp(1_000_000);
    let mut planner = Planner::new(Term(9), 1, manifest(3), now);
    let listed = listing("w0", 4_000, Incarnation(2));
    let worker = listed.worker.clone();
    planner.update_workers(vec![listed.clone()], true);
    planner.report(&worker, WorkerReport::Replaced { incarnation: None }, now);
    assert_eq!(planner.workers_to_poll().count(), 0, "another worker answers there");
    let until = now.plus_ms(MAX_UNPOLLED_MS);
    while now < until {
        now = now.plus_ms(200);
        planner.update_workers(vec![listed.clone()], true);
        planner.tick(now);
    }
    assert_eq!(planner.workers_to_poll().count(), 1);
    planner.report(&worker, WorkerReport::Replaced { incarnation: None }, now);
    assert_eq!(planner.workers_to_poll().count(), 0, "it still does");
    assert_eq!(planner.counts(now).worker_crashes, 1, "one crash");
    now = until.plus_ms(MAX_UNPOLLED_MS);
    planner.tick(now);
    for _ in 0..30 {
        now = now.plus_ms(200);
        planner.report(&worker, polled(2, now), now);
        planner.tick(now);
        assert_eq!(planner.counts(now).schedulable_workers, 1, "at {now}");
    }
}

/// The next incarnation is at another address, and its clock was set back before
/// it began. Guards against a worker that is polled only at its earlier address
/// from then on, where nothing or another worker answers.
#[test]
fn moved_with_earlier_birth() {
    let silent = WorkerReport::PollFailed { leases_expire_by: None, is_silent: true };
    let replaced = WorkerReport::Replaced { incarnation: Some(Incarnation(9)) };
    for end in [silent, replaced] {
        let now = Timestamp(1_000_000);
        let mut planner = Planner::new(Term(9), 1, manifest(3), now);
        let listed = listing("w0", 4_000, Incarnation(9));
        let worker = listed.worker.clone();
        planner.update_workers(vec![listed.clone()], true);
        planner.report(&worker, polled(9, now), now);
        let address = "127.0.0.1:2".parse().expect("an address");
        let next = WorkerListing { address, incarnation: Incarnation(4), ..listed };
        let polled_at = |planner: &Planner| {
            planner.workers_to_poll().map(|it| it.0.address).collect::<Vec<_>>()
        };
        planner.update_workers(vec![next.clone()], true);
        assert_ne!(polled_at(&planner), [address], "the earlier one answers");
        planner.report(&worker, end.clone(), now);
        planner.update_workers(vec![next], true);
        assert_eq!(polled_at(&planner), [address], "{end:?}");
        assert_eq!(planner.counts(now).schedulable_workers, 0, "it has not answered yet");
        planner.poller_replaced(&worker, silent_poller(), now);
        planner.report(&worker, polled(4, Timestamp(5)), now);
        planner.tick(now);
        assert_eq!(planner.counts(now).schedulable_workers, 1, "{end:?}");
    }
}

/// A plan with a run on a worker that has answered, and the entry of another one
/// that began later.
struct Succession {
    planner: Planner,
    now: Timestamp,
    earlier: WorkerListing,
    later: WorkerListing,
}

impl Succession {
    fn new() -> Succession {
        let now = Timestamp(1_000_000);
        let mut planner = Planner::new(Term(9), 1, manifest(3), now);
        let earlier = listing("w0", 4_000, Incarnation(1));
        let address = earlier.address;
        let later = WorkerListing { address, ..listing("w1", 4_000, Incarnation(2)) };
        planner.update_workers(vec![earlier.clone()], true);
        planner.report(&earlier.worker, polled(1, now), now);
        planner.submit(submission(1, vec![step(1, 500, &[])], now), true, now);
        planner.tick(now);
        assert_eq!(planner.counts(now).placed_runs, 1);
        Succession { planner, now, earlier, later }
    }

    fn list_later(&mut self) {
        self.planner.update_workers(vec![self.later.clone()], true);
    }

    fn silence_earlier(&mut self) {
        let leases_expire_by = Some(self.now.plus_ms(4_000));
        let silent = WorkerReport::PollFailed { leases_expire_by, is_silent: true };
        self.planner.report(&self.earlier.worker, silent, self.now);
    }

    fn answer_later(&mut self) {
        self.planner.report(&self.later.worker, polled(2, self.now), self.now);
    }

    fn assert_ended(&self, is_ended: bool) {
        let counts = self.planner.counts(self.now);
        assert_eq!(counts.placed_runs, usize::from(!is_ended));
        assert_eq!(counts.worker_crashes, u64::from(is_ended));
    }
}

/// The next worker at an address crashes, too, before a poll of the one before
/// has found it there. Guards against runs of that one that wait for its leases
/// although the next one has answered.
#[test]
fn crashed_again() {
    let mut it = Succession::new();
    it.silence_earlier();
    it.list_later();
    it.assert_ended(false);
    it.answer_later();
    it.assert_ended(true);

    let mut it = Succession::new();
    it.list_later();
    it.answer_later();
    it.assert_ended(false);
    it.silence_earlier();
    it.assert_ended(true);
}

/// Guards against runs that are started again beside themselves because of an
/// answer that may have been given before the worker began, or elsewhere.
#[test]
fn no_successor() {
    // The worker has answered since the other one was added.
    let mut it = Succession::new();
    it.list_later();
    it.planner.report(&it.earlier.worker, polled(1, it.now), it.now);
    it.silence_earlier();
    it.answer_later();
    it.assert_ended(false);

    let mut it = Succession::new();
    it.later.address = "127.0.0.1:2".parse().expect("an address");
    it.list_later();
    it.silence_earlier();
    it.answer_later();
    it.assert_ended(false);

    // Machines in different networks may have the same address.
    let mut it = Succession::new();
    it.later.host = Some("h2".parse().expect("a valid name"));
    it.list_later();
    it.silence_earlier();
    it.answer_later();
    it.assert_ended(false);

    // The answer may have been given at either address.
    let mut it = Succession::new();
    it.list_later();
    it.silence_earlier();
    let address = it.later.address;
    it.later.address = "127.0.0.1:2".parse().expect("an address");
    it.list_later();
    it.later.address = address;
    it.list_later();
    it.answer_later();
    it.assert_ended(false);

    // Its entry alone proves nothing.
    let mut it = Succession::new();
    it.silence_earlier();
    it.list_later();
    it.planner.tick(it.now);
    it.assert_ended(false);
}
