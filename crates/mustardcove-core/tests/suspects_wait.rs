//! How long tasks that may have crashed a worker wait for their next start.
//!
//! Guards against one that waits without a bound although workers have capacity
//! for it: users accept 3 s.

#[path = "support/fleet_world.rs"]
#[expect(dead_code, reason = "shared with tests that need more of it")]
mod fleet_world;
#[path = "support/planner_rig.rs"]
#[expect(dead_code, reason = "shared with tests that need more of it")]
mod planner_rig;

use fleet_world::{listing, manifest, step, submission};
use mustardcove_core::{
    fleet::{
        id::{Incarnation, RunNumber, SubmissionId, Term},
        message::{EndKind, Order, StartOutcome, WorkerReport},
        planner::{Planner, WorkerListing},
        poller::MAX_ORPHAN_LEASE_MS,
        record::{CrashedRun, OccurrenceProgress, OpenRun, ProgressRecord, SuspectTask},
        submission::{StepSpec, SubmissionState},
    },
    id::WorkerId,
    size::{MemoryMib, Resources},
};
use planner_rig::{Rig, START};

/// Longest time without a run that users accept, in milliseconds.
const MAX_IDLE_MS: u64 = 3_000;
/// The same for a task that lasts, from the end of its last run.
const MAX_LASTING_IDLE_MS: u64 = 9_000;
const STEP_MS: u64 = 100;
/// Longest time for which a test waits, in milliseconds.
const MAX_WAIT_MS: u64 = 20_000;
/// Id of a submission whose tasks run for the whole test.
const LASTING: u64 = 900;
/// Id of a submission whose task may have crashed a worker.
const SUSPECT: u64 = 1;

fn id(name: &str) -> WorkerId {
    name.parse().expect("a valid name")
}

/// Returns a worker on a host of its own.
fn on_host(name: &str, cpu: u64, host: &str) -> WorkerListing {
    let host = Some(host.parse().expect("a valid name"));
    WorkerListing { host, ..listing(name, cpu, Incarnation(1)) }
}

fn rig(workers: &[WorkerListing]) -> Rig {
    let mut rig = Rig::new(manifest(3), &[]);
    rig.add_workers(workers);
    rig
}

/// Returns batch work that runs for the whole test.
fn lasting(count: u16, cpu: u64) -> StepSpec {
    StepSpec { estimate_ms: 10_000_000, ..step(count, cpu, &[]) }
}

fn submit(rig: &mut Rig, id: u64, step: StepSpec) {
    rig.submit(submission(id, vec![step], rig.now));
}

/// Advances time with polls of all workers, and stores what has changed.
fn advance(rig: &mut Rig) {
    rig.store();
    rig.advance(STEP_MS);
    rig.poll_all();
}

/// Returns how long a submission waits for its next start.
fn wait_ms(rig: &mut Rig, id: u64) -> u64 {
    for waited in 0..MAX_WAIT_MS / STEP_MS {
        let starts = rig.plan();
        if starts.iter().any(|it| it.1.task.step.submission == SubmissionId(id)) {
            return waited * STEP_MS;
        }
        advance(rig);
    }
    MAX_WAIT_MS
}

/// Lets what runs be listed by some polls.
fn settle(rig: &mut Rig) {
    for _ in 0..4 {
        rig.plan();
        advance(rig);
    }
}

/// It waited for the end of the work on a sound host while workers on hosts that
/// had crashed were free.
#[test]
fn sound_host_busy() {
    let mut rig = rig(&[on_host("w0", 4_000, "h0")]);
    submit(&mut rig, LASTING, lasting(1, 3_000));
    settle(&mut rig);
    rig.add_workers(&[on_host("w1", 4_000, "h1")]);
    submit(&mut rig, SUSPECT, step(1, 2_000, &[]));
    assert_eq!(rig.plan()[0].0, id("w1"));
    rig.crash(&id("w1"));
    rig.add_workers(&[on_host("w2", 4_000, "h1")]);
    let waited_ms = wait_ms(&mut rig, SUSPECT);
    assert!(waited_ms <= MAX_IDLE_MS, "{waited_ms} ms");
}

/// It waited for the end of the one run of a full worker, because each of the
/// workers with free capacity was running something new at that moment.
#[test]
fn new_runs_elsewhere() {
    let mut rig = rig(&[on_host("w0", 4_000, "h0")]);
    submit(&mut rig, LASTING, lasting(1, 4_000));
    settle(&mut rig);
    let hosts = ["h1", "h2", "h3", "h4"];
    let workers: Vec<WorkerListing> = (hosts.iter().zip(["w1", "w2", "w3", "w4"]))
        .map(|(host, name)| on_host(name, 9_000, host))
        .collect();
    rig.add_workers(&workers);
    for other in LASTING + 1..LASTING + 5 {
        submit(&mut rig, other, lasting(4, 400));
    }
    settle(&mut rig);
    submit(&mut rig, SUSPECT, step(1, 2_000, &[]));
    let crashed = rig.plan()[0].0.clone();
    rig.crash(&crashed);
    let mut waited_ms = 0;
    for round in 0..MAX_WAIT_MS / STEP_MS {
        // Short work begins on each worker all the time.
        submit(&mut rig, 1_000 + round, step(6, 700, &[]));
        let starts = rig.plan();
        if starts.iter().any(|it| it.1.task.step.submission == SubmissionId(SUSPECT)) {
            break;
        }
        let ending = rig.running().into_iter().filter(|it| {
            let id = it.0.step.submission.0;
            1_000 <= id && id + 5 < 1_000 + round
        });
        for (task, worker) in ending.collect::<Vec<_>>() {
            rig.end(&worker, task, EndKind::Done);
        }
        advance(&mut rig);
        waited_ms += STEP_MS;
    }
    assert!(waited_ms <= MAX_IDLE_MS, "{waited_ms} ms");
}

/// Suspected tasks that fit nowhere were looked at again and again, before those
/// that fit.
#[test]
fn searches_used_up() {
    let mut rig = rig(&[on_host("w0", 90_000, "h0")]);
    submit(&mut rig, 2, lasting(40, 2_000));
    let late = submission(SUSPECT, vec![lasting(1, 500)], rig.now.plus_ms(100));
    rig.submit(late);
    assert_eq!(rig.plan().len(), 41);
    rig.crash(&id("w0"));
    rig.add_workers(&[on_host("w1", 1_000, "h1")]);
    let waited_ms = wait_ms(&mut rig, SUSPECT);
    assert!(waited_ms <= MAX_IDLE_MS, "{waited_ms} ms");
}

/// Returns a step that needs the label of all workers.
fn with_label(step: StepSpec) -> StepSpec {
    StepSpec { requirement: Some("a".to_owned()), ..step }
}

/// Returns how long a suspected task that fits waits beside those of `unfit` steps,
/// which fit on no worker at present.
fn wait_beside_ms(unfit: Vec<StepSpec>) -> u64 {
    // `w0` has processors left over, and `w1` has memory.
    let with_memory = |it: WorkerListing, memory| WorkerListing {
        capacity: Resources { memory: MemoryMib(memory), ..it.capacity },
        ..it
    };
    let small = with_memory(on_host("w0", 9_000, "h0"), 1_000);
    let mut rig = rig(&[small, on_host("w1", 9_000, "h1")]);
    let busy = |cpu, memory| StepSpec {
        demand: Resources::new(cpu, memory, 0),
        is_long_running: true,
        ..lasting(1, 0)
    };
    submit(&mut rig, LASTING, busy(500, 990));
    submit(&mut rig, LASTING + 1, busy(8_900, 64));
    settle(&mut rig);
    rig.add_workers(&[with_memory(on_host("w2", 90_000_000, "h2"), 90_000_000)]);
    let tasks: usize = unfit.iter().map(|it| usize::from(it.count)).sum();
    for (i, step) in unfit.into_iter().enumerate() {
        submit(&mut rig, 2_000 + i as u64, step);
    }
    let late = submission(SUSPECT, vec![lasting(1, 500)], rig.now.plus_ms(100));
    rig.submit(late);
    assert_eq!(rig.plan().len(), tasks + 1);
    rig.crash(&id("w2"));
    rig.add_workers(&[on_host("w3", 500, "h3")]);
    wait_ms(&mut rig, SUSPECT)
}

/// Each round looked for a worker for a few tasks only, also for those for which
/// the search for another had shown that they fit nowhere.
#[test]
fn many_unfit() {
    let mut too_long = Vec::new();
    for count in [200, 500, 1_000] {
        let singles = |step: fn(u64) -> StepSpec| (0..u64::from(count)).map(step).collect();
        let unfit: [(&str, Vec<StepSpec>); 5] = [
            ("of one step", vec![lasting(count, 2_000)]),
            ("equal", singles(|_| lasting(1, 2_000))),
            ("ever smaller", singles(|it| lasting(1, 8_700 - it))),
            ("with a label", singles(|it| with_label(lasting(1, 8_700 - it)))),
            (
                "of all sizes",
                singles(|it| {
                    let demand =
                        Resources::new(600 + it * 787 % 7_919, 64 + it * 104_729 % 7_907, 0);
                    StepSpec { demand, ..lasting(1, 0) }
                }),
            ),
        ];
        for (name, steps) in unfit {
            let waited_ms = wait_beside_ms(steps);
            if MAX_IDLE_MS < waited_ms {
                too_long.push(format!("{count} {name}: {waited_ms} ms"));
            }
        }
    }
    assert!(too_long.is_empty(), "{too_long:#?}");
}

/// A suspected task that waits for the end of other work kept the only worker
/// that could be isolated at a time, and others did not get it.
#[test]
fn claims_used_up() {
    let mut rig = rig(&[on_host("w0", 4_000, "h0")]);
    submit(&mut rig, LASTING, lasting(1, 3_500));
    settle(&mut rig);
    rig.add_workers(&[on_host("w1", 9_000, "h1")]);
    submit(&mut rig, 2, lasting(1, 3_000));
    let late = submission(SUSPECT, vec![lasting(1, 500)], rig.now.plus_ms(100));
    rig.submit(late);
    assert_eq!(rig.plan().len(), 2);
    rig.crash(&id("w1"));
    rig.add_workers(&[on_host("w2", 1_000, "h2")]);
    let waited_ms = wait_ms(&mut rig, SUSPECT);
    assert!(waited_ms <= MAX_IDLE_MS, "{waited_ms} ms");
}

/// Fails two runs on `w1`, which suspends it for 2 s, while `w0` is full. What
/// may have crashed `w2` then fits only there.
fn suspended_rig() -> Rig {
    let mut rig = rig(&[on_host("w0", 4_000, "h0")]);
    submit(&mut rig, LASTING, lasting(1, 4_000));
    settle(&mut rig);
    rig.add_workers(&[on_host("w1", 4_000, "h1")]);
    submit(&mut rig, 2, step(2, 500, &[]));
    for (worker, start) in rig.plan() {
        assert_eq!(worker, id("w1"));
        rig.end(&worker, start.task, EndKind::Failed);
    }
    rig.planner.cancel(SubmissionId(2), rig.now);
    rig.add_workers(&[on_host("w2", 9_000, "h2")]);
    submit(&mut rig, SUSPECT, step(1, 2_000, &[]));
    assert_eq!(rig.plan()[0].0, id("w2"));
    rig
}

/// A worker on probation starts one run a second. A start that waited for its
/// record counted as one before it was ordered, and was cancelled for it.
#[test]
fn worker_on_probation() {
    let mut rig = suspended_rig();
    rig.advance(2_000);
    rig.crash(&id("w2"));
    rig.poll_all();
    let waited_ms = wait_ms(&mut rig, SUSPECT);
    assert!(waited_ms <= MAX_IDLE_MS, "{waited_ms} ms");
}

/// Only a suspended worker has capacity for it, for up to 8 s. Other work may use
/// such workers while most of the pool is free.
#[test]
fn only_suspended_fit() {
    for rounds in (60..160).step_by(10) {
        let mut rig = rig(&[on_host("w1", 4_000, "h1")]);
        let small = ["s0", "s1", "s2", "s3", "s4", "s5"].map(|it| on_host(it, 2_000, it));
        rig.add_workers(&small);
        submit(&mut rig, 2, StepSpec { is_long_running: true, ..step(1, 3_000, &[]) });
        for _ in 0..rounds {
            for (worker, start) in rig.plan() {
                rig.end(&worker, start.task, EndKind::Failed);
            }
            advance(&mut rig);
        }
        rig.planner.cancel(SubmissionId(2), rig.now);
        rig.add_workers(&[on_host("w2", 9_000, "h2")]);
        submit(&mut rig, SUSPECT, step(1, 3_000, &[]));
        assert_eq!(rig.plan()[0].0, id("w2"));
        rig.crash(&id("w2"));
        let waited_ms = wait_ms(&mut rig, SUSPECT);
        assert!(waited_ms <= MAX_IDLE_MS, "{waited_ms} ms after {rounds} rounds");
    }
}

/// Many suspected tasks waited one after the other for one of a few workers, on
/// an idle fleet. Polls of a worker take up to a second.
#[test]
fn many_suspects() {
    let crashing = ["c0", "c1", "c2", "c3"].map(|it| on_host(it, 60_000, it));
    let mut rig = rig(&crashing);
    let names: Vec<String> = (0..48).map(|it| format!("w{it}")).collect();
    submit(&mut rig, SUSPECT, StepSpec { is_long_running: true, ..step(100, 2_000, &[]) });
    assert_eq!(rig.plan().len(), 100);
    for worker in &crashing {
        rig.crash(&worker.worker);
    }
    let workers: Vec<WorkerListing> = names.iter().map(|it| on_host(it, 32_000, it)).collect();
    rig.add_workers(&workers);
    let mut started = 0;
    for round in 0..MAX_LASTING_IDLE_MS / STEP_MS {
        started += rig.plan().len();
        rig.store();
        rig.advance(STEP_MS);
        if round % 10 == 9 {
            rig.poll_all();
        }
    }
    assert_eq!(started, 100);
}

/// A worker on which a start is neither listed nor confirmed to have stopped
/// kept it waiting, since its host was sound.
#[test]
fn new_run_unlisted() {
    let mut rig = rig(&[on_host("w0", 9_000, "h0")]);
    submit(&mut rig, LASTING, lasting(1, 500));
    rig.planner.tick(rig.now);
    for (worker, order) in rig.planner.take_actions().orders {
        let Order::Start(start) = order else { continue };
        let (task, run, outcome) = (start.task, start.run, StartOutcome::MayHaveRun);
        rig.planner.report(
            &worker,
            WorkerReport::Start { task, run, outcome, answered_at: rig.now },
            rig.now,
        );
    }
    settle(&mut rig);
    rig.add_workers(&[on_host("w1", 20_000, "h1")]);
    submit(&mut rig, SUSPECT, StepSpec { is_long_running: true, ..step(1, 2_000, &[]) });
    assert_eq!(rig.plan()[0].0, id("w1"));
    rig.crash(&id("w1"));
    rig.add_workers(&[on_host("w2", 9_000, "h1")]);
    let waited_ms = wait_ms(&mut rig, SUSPECT);
    assert!(waited_ms <= MAX_LASTING_IDLE_MS, "{waited_ms} ms");
}

/// Where too little processor time is left over, best-effort work that has had no
/// run for a second starts all the same, and a suspected task of it as well.
#[test]
fn starved_best_effort() {
    let mut rig = rig(&[on_host("w0", 9_000, "h0")]);
    let best_effort = |cpu| StepSpec { is_best_effort: true, ..lasting(1, cpu) };
    submit(&mut rig, LASTING, best_effort(9_000));
    settle(&mut rig);
    rig.add_workers(&[on_host("w1", 9_000, "h1")]);
    submit(&mut rig, SUSPECT, best_effort(2_000));
    assert_eq!(rig.plan()[0].0, id("w1"));
    rig.crash(&id("w1"));
    let waited_ms = wait_ms(&mut rig, SUSPECT);
    assert!(waited_ms <= MAX_IDLE_MS, "{waited_ms} ms");
}

/// A worker that lacks capacity at present and that runs as many tasks of the step
/// as are allowed was isolated for nothing.
#[test]
fn step_limit() {
    let mut rig = rig(&[on_host("w0", 4_000, "h0"), on_host("w1", 4_000, "h1")]);
    let limited = StepSpec { max_per_worker: Some(1), is_long_running: true, ..step(2, 500, &[]) };
    submit(&mut rig, SUSPECT, limited);
    let starts = rig.plan();
    assert_eq!(starts.len(), 2);
    rig.poll(&id("w0"), Vec::new());
    rig.poll(&id("w0"), Vec::new());
    rig.crash(&id("w1"));
    submit(&mut rig, LASTING, lasting(1, 3_400));
    settle(&mut rig);
    settle(&mut rig);
    // The rest of `w0` is open to others.
    submit(&mut rig, 2, step(1, 100, &[]));
    let waited_ms = wait_ms(&mut rig, 2);
    assert!(waited_ms <= MAX_IDLE_MS, "{waited_ms} ms");
}

/// Tasks that wait for the end of other work close few workers, even if most of
/// the capacity is free.
#[test]
fn few_workers_kept() {
    let mut rig = rig(&[on_host("c0", 90_000, "c0")]);
    submit(&mut rig, SUSPECT, lasting(8, 8_000));
    assert_eq!(rig.plan().len(), 8);
    let names: Vec<String> = (0..10).map(|it| format!("w{it}")).collect();
    let workers: Vec<WorkerListing> = names.iter().map(|it| on_host(it, 10_000, it)).collect();
    rig.crash(&id("c0"));
    for (i, worker) in workers.iter().enumerate() {
        rig.add_workers(std::slice::from_ref(worker));
        submit(&mut rig, LASTING + i as u64, lasting(1, 4_000));
        rig.plan();
    }
    settle(&mut rig);
    assert_eq!(rig.planner.counts(rig.now).suspect_tasks, 8);
    let kept = 10 - rig.planner.counts(rig.now).schedulable_workers;
    assert!(0 < kept && kept <= 2, "{kept} of 10 workers");
}

/// The worker of its second run falls silent for good, and no other one begins on
/// its host.
#[test]
fn outcome_unknown() {
    let mut rig = rig(&[on_host("w0", 4_000, "h0")]);
    submit(&mut rig, SUSPECT, StepSpec { is_long_running: true, ..step(1, 2_000, &[]) });
    rig.plan();
    rig.crash(&id("w0"));
    rig.add_workers(&[on_host("w1", 4_000, "h1")]);
    wait_ms(&mut rig, SUSPECT);
    rig.workers.remove(&id("w1"));
    let leases_expire_by = Some(rig.now.plus_ms(4_000));
    let silent = WorkerReport::PollFailed { leases_expire_by, is_silent: true };
    rig.planner.report(&id("w1"), silent, rig.now);
    rig.add_workers(&[on_host("w2", 4_000, "h2")]);
    let waited_ms = wait_ms(&mut rig, SUSPECT);
    assert!(waited_ms <= MAX_LASTING_IDLE_MS, "{waited_ms} ms");
}

/// Two workers have crashed under a task alone, and the worker of its third run
/// falls silent. Returns the plan and that worker.
fn third_worker_silent() -> (Rig, WorkerId) {
    let mut rig = rig(&[on_host("w0", 4_000, "h0")]);
    submit(&mut rig, SUSPECT, StepSpec { is_long_running: true, ..step(1, 2_000, &[]) });
    rig.plan();
    for (crashed, next) in [("w0", "w1"), ("w1", "w2")] {
        rig.crash(&id(crashed));
        rig.add_workers(&[on_host(next, 4_000, &format!("host-{next}"))]);
        wait_ms(&mut rig, SUSPECT);
    }
    let worker = id("w2");
    rig.workers.remove(&worker);
    let leases_expire_by = Some(rig.now.plus_ms(4_000));
    let silent = WorkerReport::PollFailed { leases_expire_by, is_silent: true };
    rig.planner.report(&worker, silent, rig.now);
    rig.add_workers(&[on_host("w3", 4_000, "h3")]);
    (rig, worker)
}

/// Guards against a fourth start of a task before it is known that its third
/// worker has crashed, which takes until that is back.
#[test]
fn third_outcome_awaited() {
    const BACK_MS: u64 = 7_500;
    let (mut rig, worker) = third_worker_silent();
    for _ in 0..BACK_MS / STEP_MS {
        assert_eq!(rig.plan().len(), 0, "the outcome of the third run is open");
        advance(&mut rig);
    }
    rig.crash(&worker);
    assert_eq!(rig.plan().len(), 0);
    rig.store();
    rig.plan();
    assert_eq!(rig.states[&SubmissionId(SUSPECT)], SubmissionState::Failed);
}

/// Guards against a wait without a bound if that worker is gone for good.
#[test]
fn third_outcome_unknown() {
    let (mut rig, _) = third_worker_silent();
    let waited_ms = wait_ms(&mut rig, SUSPECT);
    assert!(waited_ms <= MAX_LASTING_IDLE_MS, "{waited_ms} ms");
}

/// The same for the next leader, which does not know the worker at all.
#[test]
fn outcome_unknown_restored() {
    let expire_by = START.plus_ms(MAX_ORPHAN_LEASE_MS);
    let mut rig = rig(&[]);
    rig.planner = Planner::new(Term(9), 2, manifest(3), expire_by);
    let open = OpenRun {
        run: RunNumber(2),
        worker: id("w1"),
        incarnation: Incarnation(1),
        host: None,
        is_sole: true,
    };
    let suspect = SuspectTask {
        occurrence: 0,
        step: 0,
        index: 0,
        crashed_runs: vec![CrashedRun { run: RunNumber(1), is_sole: true }],
        open_runs: vec![open],
    };
    let progress = ProgressRecord {
        state: SubmissionState::Running,
        occurrences: vec![OccurrenceProgress { occurrence: 0, tasks: Vec::new() }],
        next_occurrence: 1,
        suspects: vec![suspect],
    };
    let lasting = StepSpec { is_long_running: true, ..step(1, 2_000, &[]) };
    let lasting = submission(SUSPECT, vec![lasting], START);
    rig.planner.restore(lasting, false, Some((&progress, 5)), START);
    rig.add_workers(&[on_host("w2", 4_000, "h2")]);
    let waited_ms = wait_ms(&mut rig, SUSPECT);
    assert!(waited_ms <= MAX_ORPHAN_LEASE_MS + 500, "{waited_ms} ms");
}

/// The record of another submission could not be stored, and held up all
/// suspected tasks.
#[test]
fn other_record_fails() {
    let mut rig = rig(&[on_host("w0", 4_000, "h0")]);
    submit(&mut rig, 2, step(1, 500, &[]));
    let (worker, start) = rig.plan().remove(0);
    rig.end(&worker, start.task, EndKind::Failed);
    settle(&mut rig);
    rig.add_workers(&[on_host("w1", 9_000, "h1")]);
    submit(&mut rig, SUSPECT, step(1, 2_000, &[]));
    assert_eq!(rig.plan()[0].0, id("w1"));
    rig.crash(&id("w1"));
    for (task, worker) in rig.running() {
        rig.end(&worker, task, EndKind::Failed);
    }
    for _ in 0..MAX_IDLE_MS / STEP_MS {
        if rig.plan().iter().any(|it| it.1.task.step.submission == SubmissionId(SUSPECT)) {
            return;
        }
        rig.store_except(SubmissionId(2));
        rig.advance(STEP_MS);
        rig.poll_all();
    }
    panic!("no start");
}

/// Its own record is stored only after some attempts, and nothing else changes
/// meanwhile.
#[test]
fn own_record_fails() {
    for is_known_unstarted in [false, true] {
        let mut rig = rig(&[on_host("w0", 4_000, "h0")]);
        let suspect = submission(SUSPECT, vec![step(1, 2_000, &[])], rig.now);
        rig.planner.submit(suspect, is_known_unstarted, rig.now);
        assert_eq!(rig.plan()[0].0, id("w0"));
        rig.crash(&id("w0"));
        rig.add_workers(&[on_host("w1", 4_000, "h1")]);
        for _ in 0..30 {
            assert!(rig.plan().is_empty());
            assert!(rig.planner.has_progress() && rig.planner.has_urgent_progress());
            rig.store_except(SubmissionId(SUSPECT));
            rig.advance(STEP_MS);
            rig.poll_all();
        }
        let waited_ms = wait_ms(&mut rig, SUSPECT);
        assert!(waited_ms <= MAX_IDLE_MS, "{waited_ms} ms");
    }
}
