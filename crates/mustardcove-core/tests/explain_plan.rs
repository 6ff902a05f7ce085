//! Explanations of where submissions would go.

#[path = "support/fleet_world.rs"]
#[expect(dead_code, reason = "shared with tests that need more of it")]
mod fleet_world;
#[path = "support/planner_rig.rs"]
#[expect(dead_code, reason = "shared with tests that need more of it")]
mod planner_rig;

use std::{collections::BTreeMap, sync::Arc};

use fleet_world::{manifest, step, submission};
use mustardcove_core::{
    fleet::{
        evacuation::EvacuationList,
        explanation::{Explanation, StepExplanation},
        id::{Revision, RunNumber, StepKey, SubmissionId, TaskKey},
        message::{EndKind, StartOrder, StartOutcome, WorkerReport},
        submission::{MAX_TASKS, StepSpec, Submission},
    },
    id::{FailureDomainId, WorkerId},
    size::Resources,
};
use planner_rig::{Rig, START};
use proptest::prelude::*;

/// The submission that is explained before it is submitted.
const NEW: u64 = 5_000;
/// Most bytes of an explanation as JSON.
const MAX_BYTES: usize = 128 << 10;

/// What happens in a random plan.
#[derive(Clone, Debug)]
enum Event {
    Submit(Vec<StepSpec>),
    Advance(u64),
    /// Ends one of the runs, by its number among them.
    End(usize, EndKind),
    /// Has a worker refuse a start that was not ordered, as if it were full.
    Refuse(usize),
    Drain(usize),
}

fn steps() -> impl Strategy<Value = Vec<StepSpec>> {
    let kind = (0..4u8, any::<bool>(), any::<bool>(), proptest::option::of(1..3u32));
    let spec = (1..5u16, 1..9u64, 50..3_000u64, kind).prop_map(|(count, cpu, ms, kind)| {
        let (kind, is_after, has_image, max_per_worker) = kind;
        let spec = StepSpec {
            estimate_ms: ms,
            is_best_effort: kind == 1,
            is_gang: kind == 2,
            is_long_running: kind == 3,
            image: has_image.then(|| "image".into()),
            max_per_worker,
            ..step(count, cpu * 500, &[])
        };
        (spec, is_after)
    });
    proptest::collection::vec(spec, 1..4).prop_map(|specs| {
        let with_order = specs.into_iter().enumerate().map(|(i, (spec, is_after))| StepSpec {
            after: if is_after && 0 < i { vec![i as u16 - 1] } else { Vec::new() },
            ..spec
        });
        with_order.collect()
    })
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        4 => steps().prop_map(Event::Submit),
        3 => (10..900u64).prop_map(Event::Advance),
        3 => (0..50usize).prop_map(|it| Event::End(it, EndKind::Done)),
        1 => (0..50usize).prop_map(|it| Event::End(it, EndKind::Failed)),
        1 => (0..8usize).prop_map(Event::Refuse),
        1 => (0..8usize).prop_map(Event::Drain),
    ]
}

fn apply(rig: &mut Rig, event: Event, id: u64) {
    match event {
        Event::Submit(steps) => rig.submit(submission(id, steps, rig.now)),
        Event::Advance(ms) => rig.advance(ms),
        Event::End(which, kind) => {
            let running = rig.running();
            let run = running.iter().nth(which % running.len().max(1));
            if let Some((task, worker)) = run.map(|(task, worker)| (*task, worker.clone())) {
                rig.end(&worker, task, kind);
                rig.store();
            }
        }
        Event::Refuse(which) => {
            let worker = rig.workers.keys().nth(which % rig.workers.len()).cloned();
            let submission = SubmissionId(u64::MAX);
            let task = TaskKey { step: StepKey { submission, occurrence: 0, step: 0 }, index: 0 };
            let report = WorkerReport::Start {
                task,
                run: RunNumber(1),
                outcome: StartOutcome::NoRoom,
                answered_at: rig.now,
            };
            rig.planner.report(&worker.expect("a worker"), report, rig.now);
        }
        Event::Drain(which) => {
            let of = which % rig.listings.len();
            let worker = rig.listings[of].worker.clone();
            rig.update_listings(|it| it.is_draining |= it.worker == worker);
        }
    }
    rig.poll_all();
}

type Starts = BTreeMap<TaskKey, WorkerId>;

fn named_starts(explanation: &Explanation) -> Starts {
    let of_step = |it: &StepExplanation| {
        let key = it.step;
        let start = |task, worker| (TaskKey { step: key, index: task }, worker);
        it.starts.iter().map(|it| start(it.task, it.worker.clone())).collect::<Vec<_>>()
    };
    explanation.steps.iter().flat_map(of_step).collect()
}

fn ordered_starts(orders: Vec<(WorkerId, StartOrder)>) -> BTreeMap<SubmissionId, Starts> {
    let mut starts: BTreeMap<SubmissionId, Starts> = BTreeMap::new();
    for (worker, order) in orders {
        starts.entry(order.task.step.submission).or_default().insert(order.task, worker);
    }
    starts
}

proptest! {
    /// Guards against an explanation that names other starts than the next plan
    /// orders, or that changes the plan.
    #[test]
    fn next_starts(
        cores in proptest::collection::vec(1..9u64, 2..7),
        events in proptest::collection::vec(event(), 1..40),
        new in steps(),
        ms in 0..1_200u64,
    ) {
        let names: Vec<String> = (0..cores.len()).map(|it| format!("w{it}")).collect();
        let workers: Vec<(&str, u64)> =
            names.iter().zip(&cores).map(|(name, it)| (name.as_str(), it * 1_000)).collect();
        let mut rig = Rig::new(manifest(3), &workers);
        let mut ids = Vec::new();
        for (i, event) in events.into_iter().enumerate() {
            let id = i as u64 + 1;
            if matches!(event, Event::Submit(_)) {
                ids.push(SubmissionId(id));
            }
            apply(&mut rig, event, id);
            if i % 3 == 0 {
                rig.plan();
            }
        }
        rig.advance(ms);
        rig.poll_all();
        let before = format!("{:?}", rig.planner);
        let known = ids.iter().filter_map(|it| Some((*it, rig.planner.explain_known(*it, rig.now)?)));
        let known: Vec<(SubmissionId, Explanation)> = known.collect();
        prop_assert_eq!(known.len(), ids.len());
        prop_assert!(before == format!("{:?}", rig.planner), "the plan has changed");
        let starts = ordered_starts(rig.plan());
        for (id, explanation) in &known {
            let ordered = starts.get(id).cloned().unwrap_or_default();
            prop_assert_eq!(named_starts(explanation), ordered);
        }
        let new = submission(NEW, new, rig.now);
        let before = format!("{:?}", rig.planner);
        let explanation = rig.planner.explain_new(new.clone(), rig.now);
        prop_assert!(before == format!("{:?}", rig.planner), "the plan has changed");
        rig.submit(new.clone());
        let starts = ordered_starts(rig.plan());
        let starts = starts.get(&new.id).cloned().unwrap_or_default();
        prop_assert_eq!(&named_starts(&explanation), &starts);
        check_best(&explanation, &new)?;
    }
}

/// Checks the best worker of the step that goes first: nothing is placed before
/// its first task.
fn check_best(explanation: &Explanation, new: &Submission) -> Result<(), TestCaseError> {
    for step in &explanation.steps {
        let is_first = step.rank.as_ref().is_some_and(|it| it.steps_ahead == 0);
        let is_gang = new.steps[usize::from(step.step.step)].is_gang;
        if is_first && !is_gang {
            prop_assert_eq!(step.starts.first().map(|it| &it.worker), step.best.as_ref());
        }
    }
    Ok(())
}

/// Guards against counts of obstacles that leave out workers, and against
/// reasons that are not those of the planner.
#[test]
fn obstacles_counted() {
    let names = [("w0", 4_000), ("w1", 4_000), ("w2", 500), ("w3", 4_000), ("w4", 4_000)];
    let mut rig = Rig::new(manifest(3), &names);
    rig.update_listings(|it| match it.worker.as_str() {
        "w1" => it.is_draining = true,
        "w3" => it.labels = vec!["b".to_owned(), "r1".to_owned()],
        _ => {}
    });
    let wide = StepSpec { requirement: Some("a".to_owned()), ..step(2, 1_000, &[]) };
    let explanation =
        rig.planner.explain_new(submission(1, vec![wide, step(1, 100, &[0])], rig.now), rig.now);
    assert_eq!(explanation.waiting_steps, Some(1), "the second step is not ready");
    let first = &explanation.steps[0];
    let counts: Vec<(&str, usize)> =
        first.obstacles.iter().map(|it| (it.obstacle.as_str(), it.workers)).collect();
    assert_eq!(counts, [("draining", 1), ("ineligible", 1), ("no_capacity", 1)]);
    assert_eq!((first.usable, first.start_count), (2, 2));
    let nearest: Vec<&str> = first.nearest.iter().map(|it| it.worker.as_str()).collect();
    assert_eq!(nearest, ["w0", "w4", "w2", "w1"], "those that can run it go first");
    assert_eq!(first.nearest[0].free, Resources::new(4_000, 1 << 20, 0));
    let second = &explanation.steps[1];
    assert_eq!((second.after.as_slice(), second.start_count), (&[0][..], 0));
    assert!(second.rank.is_none() && second.best.is_some());
}

/// Guards against an evacuation that does not show.
#[test]
fn evacuation_told() {
    let mut rig = Rig::new(manifest(3), &[("w0", 4_000), ("w1", 4_000)]);
    rig.update_listings(|it| {
        if it.worker.as_str() == "w1" {
            it.domain = "d2".parse().expect("a valid name");
        }
    });
    let domain: FailureDomainId = "d1".parse().expect("a valid name");
    let list = EvacuationList { as_of: Revision(1), domains: [domain.clone()].into() };
    rig.planner.set_evacuations(&list, rig.now);
    let new = submission(1, vec![step(1, 1_000, &[])], rig.now);
    let explained = rig.planner.explain_new(new, rig.now);
    assert_eq!(explained.evacuated, Some(vec![domain]));
    let obstacles = &explained.steps[0].obstacles;
    assert_eq!((obstacles[0].obstacle.as_str(), obstacles[0].workers), ("evacuated", 1));
    assert_eq!(explained.steps[0].best.as_ref().map(|it| it.as_str()), Some("w1"));
}

/// Guards against a new submission that waits under overload and is told no end.
#[test]
fn forecast_told() {
    let mut rig = Rig::new(manifest(3), &[("w0", 4_000)]);
    for _ in 0..20 {
        for id in 0..4 {
            let id = rig.now.0 * 10 + id;
            rig.submit(submission(id, vec![step(4, 1_000, &[])], rig.now));
        }
        rig.plan();
        rig.advance(100);
        rig.poll_all();
    }
    let new = submission(1, vec![step(4, 1_000, &[])], rig.now);
    let explained = rig.planner.explain_new(new, rig.now);
    let forecast = explained.forecast.expect("a forecast");
    assert!(800 <= forecast.ends_in_ms, "no less than its critical path: {forecast:?}");
    assert_eq!(explained.steps[0].start_count, 0, "{explained}");
}

/// Guards against a task of an accepted submission whose place or wait is not
/// told.
#[test]
fn tasks_told() {
    let mut rig = Rig::new(manifest(3), &[("w0", 2_000)]);
    rig.submit(submission(1, vec![step(3, 1_000, &[]), step(1, 100, &[0])], START));
    rig.plan();
    let (task, worker) = rig.running().into_iter().next().expect("a run");
    rig.set_measurement(&worker, task, 900, 40);
    rig.advance(200);
    rig.poll_all();
    let explained = rig.planner.explain_known(SubmissionId(1), rig.now).expect("it is planned");
    let told = |step: usize| {
        let states = explained.steps[step].states.iter();
        states.map(|it| it.to_string()).collect::<Vec<_>>()
    };
    let runs = "runs on w0, run 1";
    let expected = [
        format!("task 0: {runs}, 40 %, ordered 200 ms ago"),
        format!("task 1: {runs}, 0 %, ordered 200 ms ago"),
        "task 2: waits for capacity (nearest worker: no_capacity)".to_owned(),
    ];
    assert_eq!(told(0), expected);
    assert_eq!(told(1), ["task 0: waits for earlier_steps"]);
    let rank = explained.steps[0].rank.as_ref().expect("a task waits");
    assert_eq!((rank.class.as_str(), rank.is_new, rank.steps_ahead), ("on_time", false, 0));
    assert_eq!(rig.planner.explain_known(SubmissionId(2), rig.now), None);
    for (task, worker) in rig.running() {
        rig.end(&worker, task, EndKind::Failed);
    }
    rig.planner.cancel(SubmissionId(1), rig.now);
    let explained = rig.planner.explain_known(SubmissionId(1), rig.now).expect("it is planned");
    assert!(explained.steps.is_empty());
    assert!(explained.to_string().contains("accepted, cancelled"), "{explained}");
}

/// Guards against an answer whose size grows with the submission.
#[test]
fn answer_bounded() {
    let workers: Vec<String> = (0..60).map(|it| format!("w{it}")).collect();
    let workers: Vec<(&str, u64)> = workers.iter().map(|it| (it.as_str(), 64_000)).collect();
    let mut rig = Rig::new(manifest(3), &workers);
    let wide = vec![step(MAX_TASKS as u16, 1, &[])];
    let mut deep: Vec<StepSpec> = (0..300).map(|_| step(40, 1, &[])).collect();
    deep.push(step(1, 1, &(0..300).collect::<Vec<u16>>()));
    for (id, steps) in [(1, wide), (2, deep)] {
        let new = submission(id, steps, START);
        let bytes = |it: &Explanation| serde_json::to_vec(it).expect("it is encoded").len();
        let explained = rig.planner.explain_new(Arc::clone(&new), START);
        assert!(bytes(&explained) < MAX_BYTES, "{}", bytes(&explained));
        rig.submit(new);
        rig.plan();
        rig.poll_all();
        let explained =
            rig.planner.explain_known(SubmissionId(id), rig.now).expect("it is planned");
        assert!(bytes(&explained) < MAX_BYTES, "{}", bytes(&explained));
        assert!(0 < explained.omitted_steps + explained.steps[0].omitted_tasks);
    }
}
