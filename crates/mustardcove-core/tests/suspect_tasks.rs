//! Tasks that may have crashed a worker: what is recorded of them, and how they
//! start again.
//!
//! Guards against a crash that is attributed to the wrong task or to none, and
//! against knowledge of it that is lost with the leader.

#[path = "support/fleet_world.rs"]
#[expect(dead_code, reason = "shared with tests that need more of it")]
mod fleet_world;
#[path = "support/planner_rig.rs"]
#[expect(dead_code, reason = "shared with tests that need more of it")]
mod planner_rig;

use fleet_world::{manifest, step, submission};
use mustardcove_core::{
    fleet::{
        id::{Incarnation, RunNumber, Term},
        message::{PollResult, StartOrder, WorkerReport},
        planner::{Planner, WorkerListing},
        poller::MAX_ORPHAN_LEASE_MS,
        record::{self, CrashedRun, OpenRun, ProgressRecord, SuspectTask},
        submission::{StepSpec, SubmissionState},
    },
    id::WorkerId,
};
use planner_rig::{Rig, START};

const FLEET: [(&str, u64); 3] = [("w0", 4_000), ("w1", 4_000), ("w2", 4_000)];

fn id(name: &str) -> WorkerId {
    name.parse().expect("a valid name")
}

fn replaced(rig: &mut Rig, worker: &WorkerId) {
    let report = WorkerReport::Replaced { incarnation: Some(Incarnation(1)) };
    rig.workers.get_mut(worker).expect("a worker").running.clear();
    rig.planner.report(worker, report, rig.now);
}

/// Plans and stores until a start is ordered.
fn next_starts(rig: &mut Rig) -> Vec<(WorkerId, StartOrder)> {
    for _ in 0..4 {
        let starts = rig.plan();
        if !starts.is_empty() {
            return starts;
        }
        rig.store();
    }
    Vec::new()
}

/// Starts one task, and crashes its worker before a second poll lists it.
fn crashed_rig() -> Rig {
    let mut rig = Rig::new(manifest(3), &FLEET);
    rig.submit(submission(1, vec![step(1, 500, &[])], START));
    let starts = rig.plan();
    rig.advance(100);
    replaced(&mut rig, &starts[0].0);
    rig
}

/// Only the run that was new is recorded, with its worker.
#[test]
fn new_run_is_suspected() {
    let mut rig = Rig::new(manifest(3), &[("w0", 4_000)]);
    rig.submit(submission(1, vec![step(2, 500, &[])], START));
    rig.plan();
    for _ in 0..2 {
        rig.advance(200);
        rig.poll_all();
    }
    rig.submit(submission(2, vec![step(1, 500, &[])], START));
    rig.plan();
    rig.poll_all();
    replaced(&mut rig, &id("w0"));
    let suspects = rig.store();
    let crashed = vec![CrashedRun { run: RunNumber(1), is_sole: true }];
    let expected =
        SuspectTask { occurrence: 0, step: 0, index: 0, crashed_runs: crashed, open_runs: vec![] };
    assert_eq!(suspects, [expected]);
}

/// The record of a run precedes its start, so that a new leader finds it.
#[test]
fn recorded_before_start() {
    let mut rig = crashed_rig();
    assert!(rig.plan().is_empty(), "the crash is not recorded");
    assert!(rig.planner.has_urgent_progress());
    rig.store();
    assert!(rig.plan().is_empty(), "the next run is not recorded");
    assert!(rig.planner.has_urgent_progress());
    let suspects = rig.store();
    assert!(!rig.planner.has_urgent_progress());
    let starts = rig.plan();
    assert_eq!(starts.len(), 1);
    let open = &suspects[0].open_runs;
    assert_eq!(open.len(), 1);
    assert_eq!((&open[0].worker, open[0].run), (&starts[0].0, starts[0].1.run));
}

/// A start whose record cannot be stored holds no worker.
#[test]
fn record_not_stored() {
    let mut rig = crashed_rig();
    rig.store();
    rig.plan();
    let placed = |rig: &Rig| rig.planner.counts(rig.now).placed_runs;
    assert_eq!(placed(&rig), 1);
    for _ in 0..40 {
        rig.advance(100);
        rig.poll_all();
        assert!(rig.plan().is_empty());
    }
    assert_eq!(placed(&rig), 0);
    assert_eq!(next_starts(&mut rig).len(), 1, "it starts once the store is back");
}

/// A start that waited for its record does not bring a worker over a capacity that
/// has shrunk meanwhile.
#[test]
fn capacity_shrunk() {
    let mut rig = crashed_rig();
    rig.store();
    assert!(rig.plan().is_empty(), "the next run is not recorded");
    rig.update_listings(|it| it.capacity.cpu.0 = 100);
    rig.store();
    assert!(rig.plan().is_empty());
}

/// Nothing else starts on the worker until two polls have listed the run.
#[test]
fn starts_in_isolation() {
    let mut rig = crashed_rig();
    let starts = next_starts(&mut rig);
    let isolated = starts[0].0.clone();
    for polls in 0..3 {
        let id = 10 + polls;
        rig.submit(submission(id, vec![step(12, 200, &[])], rig.now));
        let beside = rig.plan().iter().filter(|it| it.0 == isolated).count();
        assert_eq!(beside == 0, polls < 2, "after {polls} polls");
        rig.advance(200);
        rig.poll_all();
    }
}

/// It does not start beside a run that may still crash the worker.
#[test]
fn waits_for_new_runs() {
    let mut rig = Rig::new(manifest(3), &[("w0", 4_000), ("w1", 4_000)]);
    rig.submit(submission(1, vec![step(1, 500, &[])], START));
    let crashed = rig.plan()[0].0.clone();
    replaced(&mut rig, &crashed);
    rig.submit(submission(2, vec![step(1, 500, &[])], START));
    assert_eq!(rig.plan().len(), 1);
    for polls in 0..2 {
        assert!(next_starts(&mut rig).is_empty(), "after {polls} polls");
        rig.advance(200);
        rig.poll_all();
    }
    assert_eq!(next_starts(&mut rig).len(), 1);
}

/// A run that two polls list has crashed nothing, and one that goes on clears
/// its task.
#[test]
fn cleared_by_polls() {
    let mut rig = crashed_rig();
    next_starts(&mut rig);
    for polls in 1..=20 {
        rig.advance(200);
        rig.poll_all();
        let suspects = rig.store();
        match polls {
            2 => assert!(suspects[0].open_runs.is_empty() && !suspects[0].crashed_runs.is_empty()),
            20 => assert!(suspects.is_empty()),
            _ => assert_eq!(rig.planner.counts(rig.now).suspect_tasks, 1, "after {polls} polls"),
        }
    }
    assert_eq!(rig.planner.counts(rig.now).suspect_tasks, 0);
}

/// A worker that was draining has left, and did not crash.
#[test]
fn stop_is_no_crash() {
    let mut rig = Rig::new(manifest(3), &FLEET);
    rig.submit(submission(1, vec![step(1, 500, &[])], START));
    let worker = rig.plan()[0].0.clone();
    rig.update_listings(|it| it.is_draining = it.worker == worker);
    replaced(&mut rig, &worker);
    assert_eq!(rig.plan().len(), 1, "it starts again without a record");
    assert!(rig.store().is_empty());
    assert_eq!(rig.planner.counts(rig.now).worker_crashes, 0);
}

/// The runs on a draining worker that falls silent are not held up.
#[test]
fn silent_while_draining() {
    let mut rig = Rig::new(manifest(3), &FLEET);
    rig.submit(submission(1, vec![step(1, 500, &[])], START));
    let worker = rig.plan()[0].0.clone();
    rig.update_listings(|it| it.is_draining = it.worker == worker);
    let silent = WorkerReport::PollFailed { leases_expire_by: None, is_silent: true };
    rig.planner.report(&worker, silent, rig.now);
    assert_eq!(rig.planner.counts(rig.now).suspect_tasks, 0);
}

/// A worker that answers again was only silent.
#[test]
fn silence_is_no_crash() {
    let mut rig = Rig::new(manifest(3), &FLEET);
    rig.submit(submission(1, vec![step(1, 500, &[])], START));
    let worker = rig.plan()[0].0.clone();
    let silent = WorkerReport::PollFailed { leases_expire_by: None, is_silent: true };
    rig.planner.report(&worker, silent, rig.now);
    let suspects = rig.store();
    assert_eq!(suspects[0].open_runs.len(), 1, "its outcome is open");
    for _ in 0..2 {
        rig.advance(200);
        rig.poll_all();
    }
    rig.store();
    assert_eq!(rig.planner.counts(rig.now).suspect_tasks, 0);
}

/// The next worker on its host shows that a silent worker has ended, though not
/// while it still answers.
#[test]
fn later_worker_on_host() {
    let host_of = |it: &WorkerId| Some(format!("h-{it}").parse().expect("a valid name"));
    for is_silent in [false, true] {
        let mut rig = crashed_rig();
        rig.update_listings(|it| it.host = host_of(&it.worker));
        let (worker, _) = next_starts(&mut rig).remove(0);
        rig.advance(200);
        rig.poll_all();
        if is_silent {
            let silent = WorkerReport::PollFailed { leases_expire_by: None, is_silent: true };
            rig.planner.report(&worker, silent, rig.now);
        }
        let later = fleet_world::listing("w9", 4_000, Incarnation(2));
        rig.listings.push(WorkerListing { host: host_of(&worker), ..later });
        rig.planner.update_workers(rig.listings.clone(), true);
        rig.plan();
        let crashes = rig.store().iter().map(|it| it.crashed_runs.len()).sum::<usize>();
        assert_eq!(crashes, if is_silent { 2 } else { 0 });
    }
}

/// An entry that no worker has answered for proves nothing of its host.
#[test]
fn unrecorded_on_host() {
    let host_of = |it: &WorkerId| Some(format!("h-{it}").parse().expect("a valid name"));
    let mut rig = crashed_rig();
    rig.update_listings(|it| it.host = host_of(&it.worker));
    let (worker, _) = next_starts(&mut rig).remove(0);
    let silent = WorkerReport::PollFailed { leases_expire_by: None, is_silent: true };
    rig.planner.report(&worker, silent, rig.now);
    let later = fleet_world::listing("w9", 4_000, Incarnation(2));
    let candidate = WorkerListing { host: host_of(&worker), ..later };
    rig.planner.update_fleet(rig.listings.clone(), vec![candidate], true);
    rig.plan();
    assert!(rig.store().is_empty(), "its outcome stays open");
}

/// A start that reached only the worker's next incarnation crashed none.
#[test]
fn start_in_next_incarnation() {
    let mut rig = Rig::new(manifest(3), &FLEET);
    rig.submit(submission(1, vec![step(1, 500, &[])], START));
    let (worker, start) = rig.plan().remove(0);
    rig.restart(&worker, 2, &[]);
    let crashes = |it: &[SuspectTask]| it.iter().map(|it| it.crashed_runs.len()).sum::<usize>();
    assert_eq!(crashes(&rig.store()), 1);
    rig.restart(&worker, 2, std::slice::from_ref(&start));
    assert_eq!(rig.planner.counts(rig.now).suspect_tasks, 0);
    assert!(rig.plan().is_empty(), "it goes on");
}

/// The same if the first answer of the next incarnation lists it.
#[test]
fn listed_by_next_incarnation() {
    let mut rig = Rig::new(manifest(3), &FLEET);
    rig.submit(submission(1, vec![step(1, 500, &[])], START));
    let (worker, start) = rig.plan().remove(0);
    rig.restart(&worker, 2, std::slice::from_ref(&start));
    assert_eq!(rig.planner.counts(rig.now).suspect_tasks, 0);
    assert!(rig.plan().is_empty(), "it goes on");
}

/// All members of a gang wait for the record of the suspected one.
#[test]
fn gang_recorded() {
    let mut rig = Rig::new(manifest(3), &FLEET);
    let gang = StepSpec { is_gang: true, ..step(3, 500, &[]) };
    rig.submit(submission(1, vec![gang], START));
    let starts = rig.plan();
    assert_eq!(starts.len(), 3);
    replaced(&mut rig, &starts[0].0);
    let others: Vec<_> = starts.iter().filter(|it| it.0 != starts[0].0).cloned().collect();
    for (worker, start) in others {
        rig.end(&worker, start.task, mustardcove_core::fleet::message::EndKind::GangBroken);
    }
    assert!(rig.plan().is_empty());
    rig.store();
    assert!(rig.plan().is_empty());
    rig.store();
    assert_eq!(rig.plan().len(), 3);
}

/// A run that a former leader recorded is judged by what became of its worker.
#[test]
fn restored_run_is_judged() {
    for (incarnation, crashes) in [(1, 0), (2, 1)] {
        let expire_by = START.plus_ms(MAX_ORPHAN_LEASE_MS);
        let mut planner = Planner::new(Term(9), 2, manifest(3), expire_by);
        let open = OpenRun {
            run: RunNumber(7),
            worker: id("w0"),
            incarnation: Incarnation(1),
            host: None,
            is_sole: true,
        };
        let suspect = SuspectTask {
            occurrence: 0,
            step: 0,
            index: 0,
            crashed_runs: Vec::new(),
            open_runs: vec![open],
        };
        let progress = ProgressRecord {
            state: SubmissionState::Running,
            occurrences: Vec::new(),
            next_occurrence: 0,
            suspects: vec![suspect],
        };
        let occurrences = vec![record::OccurrenceProgress { occurrence: 0, tasks: Vec::new() }];
        let progress = ProgressRecord { occurrences, next_occurrence: 1, ..progress };
        planner.restore(
            submission(1, vec![step(1, 500, &[])], START),
            false,
            Some((&progress, 5)),
            START,
        );
        assert_eq!(planner.counts(START).suspect_tasks, 1);
        planner.update_workers(
            vec![fleet_world::listing("w0", 4_000, Incarnation(incarnation))],
            true,
        );
        let poll = PollResult {
            incarnation: Incarnation(incarnation),
            leases_expire_by: START.plus_ms(4_000),
            responsive_since: START,
            asked_at: START,
            running: Vec::new(),
            ended: Vec::new(),
            may_lack_ends: false,
        };
        planner.report(&id("w0"), WorkerReport::Polled(poll), START);
        let (_, records) = planner.take_progress();
        let suspects: Vec<SuspectTask> = records.into_iter().flat_map(|it| it.1.suspects).collect();
        let crashed = suspects.iter().map(|it| it.crashed_runs.len()).sum::<usize>();
        assert_eq!(crashed, crashes, "answered as {incarnation}");
        assert_eq!(planner.counts(START).suspect_tasks, crashes);
    }
}

/// Adds a worker on a host of its own.
fn add_worker(rig: &mut Rig, name: &str, host: &str) -> WorkerId {
    let listing = fleet_world::listing(name, 4_000, Incarnation(1));
    let host = Some(host.parse().expect("a valid name"));
    rig.listings.push(WorkerListing { host, ..listing });
    rig.workers.insert(id(name), Default::default());
    rig.planner.update_workers(rig.listings.clone(), true);
    rig.poll(&id(name), Vec::new());
    id(name)
}

/// Crashes one worker after the other, on hosts as named, under the tasks of a
/// submission, after some polls of each; returns after how many crashes it has
/// failed.
fn crashes_until_failed(
    step: StepSpec,
    is_known_unstarted: bool,
    polls: u32,
    host: impl Fn(usize) -> String,
) -> usize {
    let mut rig = Rig::new(manifest(3), &[]);
    let submission = submission(1, vec![step], START);
    rig.planner.submit(submission.clone(), is_known_unstarted, START);
    for crashes in 0..8 {
        rig.store();
        if rig.states.get(&submission.id) == Some(&SubmissionState::Failed) {
            return crashes;
        }
        let worker = add_worker(&mut rig, &format!("w{crashes}"), &host(crashes));
        assert!(!next_starts(&mut rig).is_empty(), "after {crashes} crashes");
        for _ in 0..polls {
            rig.advance(200);
            rig.poll(&worker, Vec::new());
        }
        replaced(&mut rig, &worker);
        rig.plan();
        rig.store();
        rig.plan();
    }
    panic!("never given up")
}

/// How many crashes it takes: three with clear evidence, four if other new runs
/// or the host explain them as well, and five if the task works for a while
/// before each.
#[test]
fn crashes_needed() {
    let own_host = |i: usize| format!("h{i}");
    let same_host = |_| "h".to_owned();
    assert_eq!(crashes_until_failed(step(1, 500, &[]), true, 0, own_host), 3);
    assert_eq!(crashes_until_failed(step(1, 500, &[]), true, 0, same_host), 4);
    let gang = StepSpec { is_gang: true, ..step(2, 500, &[]) };
    assert_eq!(crashes_until_failed(gang, true, 0, own_host), 4);
    assert_eq!(crashes_until_failed(step(1, 500, &[]), true, 3, own_host), 5);
}

/// Three are enough if earlier leaders may have started the task, since they may
/// have been lost before they noticed a crash.
#[test]
fn crashes_unnoticed() {
    let same_host = |_| "h".to_owned();
    assert_eq!(crashes_until_failed(step(1, 500, &[]), false, 0, same_host), 3);
}

/// A run that two polls have listed is not suspected because its worker was
/// silent before it came back as another incarnation.
#[test]
fn silent_before_restart() {
    let mut rig = Rig::new(manifest(3), &FLEET);
    rig.submit(submission(1, vec![step(1, 500, &[])], START));
    let worker = rig.plan()[0].0.clone();
    for _ in 0..2 {
        rig.advance(200);
        rig.poll_all();
    }
    let silent = WorkerReport::PollFailed { leases_expire_by: None, is_silent: true };
    rig.planner.report(&worker, silent, rig.now);
    rig.restart(&worker, 2, &[]);
    assert_eq!(rig.planner.counts(rig.now).suspect_tasks, 0);
    assert_eq!(rig.plan().len(), 1);
}

/// The poll in which a run is adopted lists it, too: after a change of the leader,
/// everything on a worker that crashed was suspected for longer.
#[test]
fn adopted_run_is_listed() {
    for polls in 1..=2 {
        let mut rig = Rig::new(manifest(3), &FLEET);
        rig.submit(submission(1, vec![step(1, 500, &[])], START));
        let (_, start) = rig.plan().remove(0);
        rig.planner = Planner::new(Term(9), 2, manifest(3), START);
        rig.planner.update_workers(rig.listings.clone(), true);
        rig.planner.submit(submission(1, vec![step(1, 500, &[])], START), false, START);
        for _ in 0..polls {
            rig.restart(&id("w0"), 1, std::slice::from_ref(&start));
        }
        replaced(&mut rig, &id("w0"));
        assert_eq!(rig.store().len(), 2 - polls, "after {polls} polls");
    }
}

/// Records without suspected tasks are as earlier builds wrote them.
#[test]
fn record_format() {
    let mut progress = ProgressRecord {
        state: SubmissionState::Running,
        occurrences: Vec::new(),
        next_occurrence: 3,
        suspects: Vec::new(),
    };
    let bytes = record::encode_progress(&progress);
    assert_eq!(bytes, record::encode(&progress));
    assert_eq!(record::decode_progress(&bytes).expect("a record"), progress);

    let crashed_runs = vec![CrashedRun { run: RunNumber(4), is_sole: false }];
    progress.suspects =
        vec![SuspectTask { occurrence: 1, step: 2, index: 3, crashed_runs, open_runs: vec![] }];
    let bytes = record::encode_progress(&progress);
    assert_eq!(record::decode_progress(&bytes).expect("a record"), progress);
    assert!(record::decode_progress(&bytes[..bytes.len() - 1]).is_err());
    let longer = [&bytes[..], &[0]].concat();
    assert!(record::decode_progress(&longer).is_err());
}
