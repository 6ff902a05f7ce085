//! Time of a forecast and of a load report, and of the plan that measures the
//! load behind them, at 350 workers and 500 submissions.

use std::{hint::black_box, sync::Arc};

use criterion::{Criterion, criterion_group, criterion_main};
use mustardcove_core::{
    fleet::{
        id::{Incarnation, ManifestVersion, SubmissionId, Term},
        manifest::{Manifest, Queue, Service},
        message::{PollResult, WorkerReport},
        planner::{Planner, WorkerListing},
        submission::{StepSpec, Submission},
    },
    size::Resources,
    time::Timestamp,
};

const WORKERS: usize = 350;
const SUBMISSIONS: u64 = 500;
const START: Timestamp = Timestamp(100_000);

fn queue() -> Queue {
    Queue {
        name: "best-effort".to_owned(),
        host: "callers.example".to_owned(),
        prefix: "/2/".to_owned(),
        service: "press".to_owned(),
        priority: 2,
        attempts: 4,
        stretch: 2.0,
        delay_budget_ms: 1_000,
        needs_ticket: false,
    }
}

fn listing(index: usize) -> WorkerListing {
    WorkerListing {
        worker: format!("w{index}").parse().expect("a valid name"),
        service: "press".to_owned(),
        address: "127.0.0.1:1".parse().expect("an address"),
        domain: format!("d{}", index % 6).parse().expect("a valid name"),
        capacity: Resources::new(32_000, 125_000, 0),
        labels: Vec::new(),
        is_draining: false,
        incarnation: Incarnation(1),
        host: None,
    }
}

fn submission(id: u64) -> Submission {
    let step = |after: Vec<u16>| StepSpec {
        count: 20,
        demand: Resources::new(3_500, 1_000, 0),
        estimate_ms: 2_700,
        after,
        is_best_effort: true,
        saves_progress: true,
        ..StepSpec::default()
    };
    Submission {
        id: SubmissionId(id),
        queue: queue(),
        payload: "payload".into(),
        steps: vec![step(Vec::new()), step(vec![0])],
        schedule: None,
        accepted_at: START,
        manifest: Default::default(),
    }
}

fn planner() -> Planner {
    let manifest = Manifest {
        version: ManifestVersion(1),
        queues: vec![queue()],
        services: vec![Service {
            name: "press".to_owned(),
            rejects_overload: true,
            is_standby: false,
        }],
        limits: Default::default(),
    };
    let mut planner = Planner::new(Term(1), 1, Arc::new(manifest), START);
    planner.update_workers((0..WORKERS).map(listing).collect(), true);
    for index in 0..WORKERS {
        let poll = PollResult {
            incarnation: Incarnation(1),
            leases_expire_by: START.plus_ms(4_000),
            responsive_since: START,
            asked_at: START,
            running: Vec::new(),
            ended: Vec::new(),
            may_lack_ends: false,
        };
        planner.report(&listing(index).worker, WorkerReport::Polled(poll), START);
    }
    for id in 0..SUBMISSIONS {
        planner.submit(Arc::new(submission(id)), true, START);
    }
    for round in 0..5 {
        planner.tick(START.plus_ms(round * 200));
    }
    planner
}

fn forecast(c: &mut Criterion) {
    let mut planner = planner();
    let mut now = START.plus_ms(1_000);
    assert!(planner.load_report(now).pools[0].is_overloaded, "the benchmark needs a backlog");
    c.bench_function("forecast_end", |b| {
        let mut id = 0;
        b.iter(|| {
            id = (id + 1) % SUBMISSIONS;
            black_box(planner.forecast_end(SubmissionId(id), now))
        });
    });
    c.bench_function("load_report", |b| b.iter(|| black_box(planner.load_report(now))));
    // Without progress of time no measurement is due.
    c.bench_function("tick", |b| b.iter(|| planner.tick(now)));
    c.bench_function("tick_with_measurement", |b| {
        b.iter(|| {
            now = now.plus_ms(200);
            planner.tick(now);
        });
    });
}

criterion_group!(benches, forecast);
criterion_main!(benches);
