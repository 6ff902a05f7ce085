//! Attribution of failures to workers and jobs, and quarantine of workers.
//!
//! Guards against a worker that fails every task and stays in use, against
//! jobs that are given up because of such a worker, and against healthy
//! workers that are quarantined because of a bad job or class.

use mustardcove_core::{
    class::ClassIndex,
    health::{Health, RetryAdvice},
    id::{AttemptNumber, JobId, TaskId, WorkerId},
    time::Timestamp,
};

const SCAN: ClassIndex = ClassIndex(0);
const BROKEN: ClassIndex = ClassIndex(1);

fn worker(n: usize) -> WorkerId {
    format!("w{n}").parse().unwrap()
}

fn task(job: u128, attempt: u32) -> TaskId {
    TaskId { job: JobId(job), attempt: AttemptNumber(attempt) }
}

fn healthy_group(workers: usize, each: u128) -> (Health, Timestamp) {
    let mut health = Health::new();
    let now = Timestamp(1_000_000);
    for n in 0..workers {
        for job in 0..each {
            health.succeeded(now, &worker(n), SCAN, task(n as u128 * 1_000 + job, 1));
        }
    }
    (health, now)
}

/// Guards against a failing worker that uses up many attempts beside healthy
/// ones.
#[test]
fn failing_worker_is_quarantined_within_few_starts() {
    let (mut health, now) = healthy_group(4, 3);
    let mut starts = 0;
    while !health.is_quarantined(&worker(9)) {
        starts += 1;
        assert!(starts <= 4, "still in use after {starts} failed starts");
        let job = 50_000 + starts;
        let advice = health.failed(now, &worker(9), SCAN, task(job, 1), 0);
        assert_eq!(
            advice,
            RetryAdvice::RetryElsewhere,
            "the job was given up because of a failing worker"
        );
    }
    assert!(health.reliability(&worker(9)) < 0.5);
    assert!(0.9 < health.reliability(&worker(0)));
}

/// Guards against a failing worker that stays in use because no outcomes were
/// recorded before.
#[test]
fn failing_worker_is_quarantined_without_history() {
    let mut health = Health::new();
    let now = Timestamp(1_000_000);
    let mut starts = 0;
    while !health.is_quarantined(&worker(0)) {
        starts += 1;
        assert!(starts <= 6, "still in use after {starts} failed starts");
        let advice = health.failed(now, &worker(0), SCAN, task(starts, 1), 0);
        assert_eq!(advice, RetryAdvice::RetryElsewhere);
        health.succeeded(now, &worker(1), SCAN, task(starts, 2));
    }
}

/// Guards against giving up jobs that were placed on several bad workers in a
/// row.
#[test]
fn several_bad_workers_do_not_fail_jobs() {
    let (mut health, now) = healthy_group(20, 3);
    // Every job is placed on three bad workers before it reaches a healthy
    // one.
    for job in 0..12 {
        for bad in 30..33 {
            if health.is_quarantined(&worker(bad)) {
                continue;
            }
            let attempt = (bad - 29) as u32;
            let advice = health.failed(now, &worker(bad), SCAN, task(90_000 + job, attempt), 0);
            assert_eq!(advice, RetryAdvice::RetryElsewhere, "job {job} given up");
        }
        health.succeeded(now, &worker(job as usize), SCAN, task(90_000 + job, 4));
    }
    assert!((30..33).all(|bad| health.is_quarantined(&worker(bad))));
    assert!((0..20).all(|good| !health.is_quarantined(&worker(good))));
}

/// Guards against a bad job that is retried without bound or that gets healthy
/// workers quarantined.
#[test]
fn bad_job_is_given_up_and_workers_stay_in_use() {
    let (mut health, now) = healthy_group(8, 10);
    let mut attempts = 0;
    loop {
        attempts += 1;
        assert!(attempts <= 4, "still tried after {attempts} attempts");
        let at = worker(attempts as usize);
        let advice = health.failed(now, &at, SCAN, task(70_000, attempts), 0);
        if advice == RetryAdvice::GiveUp {
            break;
        }
    }
    assert!(3 <= attempts, "given up before it failed on several workers");
    assert!((0..8).all(|n| !health.is_quarantined(&worker(n))));
}

/// Guards against quarantining workers on which only one bad class fails.
#[test]
fn bad_class_leaves_workers_in_use() {
    let (mut health, now) = healthy_group(8, 4);
    for round in 0..6 {
        for n in 0..8 {
            let job = 40_000 + round * 8 + n as u128;
            health.failed(now, &worker(n), BROKEN, task(job, 1), 0);
            health.succeeded(now, &worker(n), SCAN, task(60_000 + job, 1));
        }
    }
    assert!((0..8).all(|n| !health.is_quarantined(&worker(n))));
}

/// Guards against quarantining most workers when nothing but a bad class runs.
#[test]
fn bad_class_alone_leaves_workers_in_use() {
    let mut health = Health::new();
    let now = Timestamp(1_000_000);
    // Each job goes to the first worker that is not quarantined, and fails.
    for job in 0..60 {
        let at = (0..8).find(|n| !health.is_quarantined(&worker(*n))).expect("a worker");
        health.failed(now, &worker(at), BROKEN, task(job, 1), 0);
        let quarantined = (0..8).filter(|n| health.is_quarantined(&worker(*n))).count();
        assert!(quarantined <= 2, "{quarantined} workers are quarantined because of a bad class");
    }
}

/// Guards against a quarantined worker that is probed too often or never
/// released.
#[test]
fn probe_intervals_grow_and_successes_release() {
    let (mut health, mut now) = healthy_group(4, 5);
    let mut job = 80_000;
    while !health.is_quarantined(&worker(9)) {
        job += 1;
        health.failed(now, &worker(9), SCAN, task(job, 1), 0);
    }
    let mut intervals = Vec::new();
    for _ in 0..5 {
        let due = health.next_probe_at().expect("a probe is due");
        intervals.push(due.ms_since(now));
        assert!(!health.is_probe_due(now, &worker(9)));
        now = due;
        assert!(health.is_probe_due(now, &worker(9)));
        job += 1;
        health.set_probe(&worker(9), task(job, 1));
        assert!(!health.is_probe_due(now, &worker(9)), "one probe at a time");
        health.failed(now, &worker(9), SCAN, task(job, 1), 0);
    }
    assert!(intervals.windows(2).all(|it| it[0] < it[1]), "{intervals:?}");
    now = health.next_probe_at().unwrap();
    for _ in 0..2 {
        assert!(health.is_probe_due(now, &worker(9)));
        job += 1;
        health.set_probe(&worker(9), task(job, 1));
        health.succeeded(now, &worker(9), SCAN, task(job, 1));
    }
    assert!(!health.is_quarantined(&worker(9)), "must be released after successes");
    health.failed(now, &worker(9), SCAN, task(job + 1, 1), 0);
    assert!(!health.is_quarantined(&worker(9)), "old failures must no longer count");
}
