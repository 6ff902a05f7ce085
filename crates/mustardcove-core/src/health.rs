//! Failure attribution: quarantine of failing workers, and when to give up a
//! failing job.
//!
//! A failed attempt is caused by the worker, by the job, or by the job's
//! class, and a single failure does not show which. Recent failures and
//! successes are therefore evaluated together. A failure is attributed to the
//! worker to the extent that the worker fails work that succeeds elsewhere, and
//! to the job to the extent that the job fails where other work succeeds.
//! These shares depend on each other and are computed by a few iterations over
//! a bounded window of outcomes.
//!
//! A quarantined worker gets single probes at growing intervals and is
//! released after consecutive successes. See `docs/groups.md`.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};

use crate::{
    class::ClassIndex,
    id::{JobId, TaskId, WorkerId},
    time::{Timestamp, earliest},
};

/// Most outcomes in the window.
const MAX_OUTCOMES: usize = 1_024;

/// Age at which an outcome leaves the window, in milliseconds.
const WINDOW_MS: u64 = 600_000;

/// Number of attributed failures from which a worker is quarantined.
const QUARANTINE_MIN_FAILURES: f64 = 1.8;

/// Rate of attributed failures per attempt from which a worker is quarantined.
const QUARANTINE_MIN_RATE: f64 = 0.5;

/// Number of failures on different workers, attributed to a job, from which
/// the job is given up.
const GIVE_UP_FAILURES: f64 = 2.2;

/// Weight of an attempt that failed in another group, whose worker is unknown
/// here.
const OTHER_GROUP_WEIGHT: f64 = 0.5;

/// Time until the first probe of a quarantined worker, in milliseconds.
const FIRST_PROBE_MS: u64 = 15_000;

/// Longest interval between probes, in milliseconds.
const MAX_PROBE_MS: u64 = 1_800_000;

/// Number of consecutive successful probes after which a worker is released.
const RELEASE_SUCCESSES: u32 = 2;

/// Number of iterations that compute the shares; further ones change them by
/// less than 0.01.
const ITERATIONS: usize = 8;

/// Prior failure rate, which is assumed for a worker, job or class with few
/// recorded attempts.
const PRIOR_RATE: f64 = 0.05;

/// Number of attempts that the prior failure rate counts for.
const PRIOR_ATTEMPTS: f64 = 1.0;

#[derive(Clone, Copy, Debug)]
struct Observation {
    at: Timestamp,
    worker: u32,
    class: ClassIndex,
    job: JobId,
    failed: bool,
    /// The share of the failure that is attributed to the worker; the rest is
    /// attributed to the job.
    worker_share: f64,
}

#[derive(Clone, Debug, Default)]
struct FailureScore {
    attempts: f64,
    failures: f64,
}

impl FailureScore {
    fn rate(&self, prior: f64) -> f64 {
        (self.failures + prior * PRIOR_ATTEMPTS) / (self.attempts + PRIOR_ATTEMPTS)
    }
}

#[derive(Clone, Debug)]
struct Quarantine {
    since: Timestamp,
    next_probe_at: Timestamp,
    interval_ms: u64,
    probe: Option<TaskId>,
    successes: u32,
}

/// The status of a quarantined worker, for operators.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct QuarantineStatus {
    /// The worker.
    pub worker: WorkerId,
    /// When it was quarantined.
    pub since: Timestamp,
    /// When it gets its next probe.
    pub next_probe_at: Timestamp,
    /// The number of consecutive successful probes.
    pub successes: u32,
    /// The sum of the shares of recent failures that are attributed to it.
    pub blamed: f64,
}

/// Whether to retry a job after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryAdvice {
    /// Another attempt on another worker may succeed.
    RetryElsewhere,
    /// The job failed on several workers where other work succeeds.
    GiveUp,
}

/// The recent outcomes of a group's attempts and its quarantined workers.
#[derive(Clone, Debug, Default)]
pub struct Health {
    workers: Vec<WorkerId>,
    indexes: BTreeMap<WorkerId, u32>,
    outcomes: VecDeque<Observation>,
    scores: BTreeMap<u32, FailureScore>,
    quarantine: BTreeMap<u32, Quarantine>,
}

impl Health {
    /// Returns a value without any recorded outcomes.
    pub fn new() -> Health {
        Health::default()
    }

    /// Records that an attempt succeeded on a worker.
    pub fn succeeded(
        &mut self,
        now: Timestamp,
        worker: &WorkerId,
        class: ClassIndex,
        task: TaskId,
    ) {
        let index = self.record(now, worker, class, task.job, false);
        if let Some(it) = self.quarantine.get_mut(&index)
            && it.probe.take_if(|probe| *probe == task).is_some()
        {
            it.successes += 1;
            it.next_probe_at = now;
            if RELEASE_SUCCESSES <= it.successes {
                self.release(index);
            }
        }
    }

    /// Records that an attempt failed on a worker and returns whether to retry
    /// its job. `other_group_failures` counts the job's failed attempts in
    /// other groups.
    pub fn failed(
        &mut self,
        now: Timestamp,
        worker: &WorkerId,
        class: ClassIndex,
        task: TaskId,
        other_group_failures: u32,
    ) -> RetryAdvice {
        let index = self.record(now, worker, class, task.job, true);
        if let Some(it) = self.quarantine.get_mut(&index)
            && it.probe.take_if(|probe| *probe == task).is_some()
        {
            it.successes = 0;
            it.interval_ms = (it.interval_ms * 2).min(MAX_PROBE_MS);
            it.next_probe_at = now.plus_ms(it.interval_ms);
        }
        self.attribute_failures();
        self.update_quarantine(now);
        let attributed_failures = self.attributed_failures(task.job)
            + OTHER_GROUP_WEIGHT * f64::from(other_group_failures);
        if attributed_failures < GIVE_UP_FAILURES {
            RetryAdvice::RetryElsewhere
        } else {
            RetryAdvice::GiveUp
        }
    }

    /// Returns the sum of the failures on different workers that are attributed
    /// to a job.
    ///
    /// A failure counts less if its worker has few successes. Otherwise the
    /// first job that is placed on several bad workers would be given up.
    pub fn attributed_failures(&self, job: JobId) -> f64 {
        let mut per_worker: BTreeMap<u32, f64> = BTreeMap::new();
        for it in self.outcomes.iter().filter(|it| it.failed && it.job == job) {
            let job_share = per_worker.entry(it.worker).or_default();
            *job_share = job_share.max(1.0 - it.worker_share);
        }
        per_worker
            .iter()
            .map(|(worker, job_share)| job_share * self.success_confidence(*worker))
            .sum()
    }

    /// Returns the confidence, from its successes, that a worker works.
    fn success_confidence(&self, worker: u32) -> f64 {
        let succeeded = self.outcomes.iter().filter(|it| it.worker == worker && !it.failed);
        let succeeded = succeeded.count() as f64;
        (succeeded + 0.5) / (succeeded + 1.5)
    }

    /// Returns the number of failures of a job in this group's window.
    pub fn job_failures(&self, job: JobId) -> u32 {
        self.outcomes.iter().filter(|it| it.failed && it.job == job).count() as u32
    }

    /// Returns the reliability of a worker, from 0.0 (every attempt fails) to
    /// 1.0, which is also that of a worker without recorded attempts.
    pub fn reliability(&self, worker: &WorkerId) -> f64 {
        let Some(score) = self.indexes.get(worker).and_then(|it| self.scores.get(it)) else {
            return 1.0;
        };
        (1.0 - (score.rate(PRIOR_RATE) - PRIOR_RATE) / (1.0 - PRIOR_RATE)).clamp(0.0, 1.0)
    }

    /// Reports whether a worker is quarantined.
    pub fn is_quarantined(&self, worker: &WorkerId) -> bool {
        self.indexes.get(worker).is_some_and(|it| self.quarantine.contains_key(it))
    }

    /// Reports whether a quarantined worker is due for a probe.
    pub fn is_probe_due(&self, now: Timestamp, worker: &WorkerId) -> bool {
        let it = self.indexes.get(worker).and_then(|it| self.quarantine.get(it));
        it.is_some_and(|it| it.probe.is_none() && it.next_probe_at <= now)
    }

    /// Reports whether any worker is quarantined.
    pub fn has_quarantined(&self) -> bool {
        !self.quarantine.is_empty()
    }

    /// Records that a task was placed on a quarantined worker as its probe.
    pub fn set_probe(&mut self, worker: &WorkerId, task: TaskId) {
        if let Some(it) = self.indexes.get(worker).and_then(|it| self.quarantine.get_mut(it)) {
            it.probe = Some(task);
        }
    }

    /// Clears the probe of a worker, because the task ended in a way that does
    /// not show whether the worker works.
    pub fn clear_probe(&mut self, worker: &WorkerId, task: &TaskId) {
        if let Some(it) = self.indexes.get(worker).and_then(|it| self.quarantine.get_mut(it)) {
            it.probe.take_if(|probe| probe == task);
        }
    }

    /// Returns when the next probe is due.
    pub fn next_probe_at(&self) -> Option<Timestamp> {
        let due = |it: &Quarantine| it.probe.is_none().then_some(it.next_probe_at);
        self.quarantine.values().fold(None, |min, it| earliest(min, due(it)))
    }

    /// Returns the status of the quarantined workers, at most `limit` of them.
    pub fn status(&self, limit: usize) -> Vec<QuarantineStatus> {
        let status = |(index, it): (&u32, &Quarantine)| QuarantineStatus {
            worker: self.workers[*index as usize].clone(),
            since: it.since,
            next_probe_at: it.next_probe_at,
            successes: it.successes,
            blamed: self.scores.get(index).map_or(0.0, |score| score.failures),
        };
        self.quarantine.iter().take(limit).map(status).collect()
    }

    fn index(&mut self, worker: &WorkerId) -> u32 {
        if let Some(index) = self.indexes.get(worker) {
            return *index;
        }
        let index = self.workers.len() as u32;
        self.workers.push(worker.clone());
        self.indexes.insert(worker.clone(), index);
        index
    }

    fn record(
        &mut self,
        now: Timestamp,
        worker: &WorkerId,
        class: ClassIndex,
        job: JobId,
        failed: bool,
    ) -> u32 {
        let index = self.index(worker);
        while self.outcomes.len() == MAX_OUTCOMES
            || self.outcomes.front().is_some_and(|it| it.at.plus_ms(WINDOW_MS) < now)
        {
            self.outcomes.pop_front();
        }
        let it = Observation { at: now, worker: index, class, job, failed, worker_share: 0.5 };
        self.outcomes.push_back(it);
        let score = self.scores.entry(index).or_default();
        score.attempts += 1.0;
        index
    }

    /// Divides each failure between its worker and its job, and computes the
    /// workers' scores from the shares.
    fn attribute_failures(&mut self) {
        let mut failed_on: BTreeMap<ClassIndex, BTreeSet<u32>> = BTreeMap::new();
        for it in self.outcomes.iter_mut() {
            it.worker_share = 0.5;
            if it.failed {
                failed_on.entry(it.class).or_default().insert(it.worker);
            }
        }
        let failing_workers: BTreeMap<ClassIndex, f64> =
            failed_on.into_iter().map(|(class, workers)| (class, workers.len() as f64)).collect();
        for _ in 0..ITERATIONS {
            let mut workers: BTreeMap<u32, FailureScore> = BTreeMap::new();
            let mut classes: BTreeMap<ClassIndex, FailureScore> = BTreeMap::new();
            let mut jobs: BTreeMap<JobId, FailureScore> = BTreeMap::new();
            for it in &self.outcomes {
                let worker = workers.entry(it.worker).or_default();
                let class = classes.entry(it.class).or_default();
                let job = jobs.entry(it.job).or_default();
                for score in [&mut *worker, &mut *class, &mut *job] {
                    score.attempts += 1.0;
                }
                if it.failed {
                    worker.failures += it.worker_share;
                    class.failures += 1.0 - it.worker_share;
                    job.failures += 1.0 - it.worker_share;
                }
            }
            for it in self.outcomes.iter_mut().filter(|it| it.failed) {
                let worker = workers[&it.worker].rate(PRIOR_RATE);
                let class = classes[&it.class].rate(PRIOR_RATE);
                let job = jobs[&it.job].rate(class.max(PRIOR_RATE));
                // If several workers failed a class, a fault of the class is
                // more likely than a fault of each of these workers.
                let class = class * failing_workers[&it.class];
                it.worker_share = worker / (worker + class.max(job));
            }
            self.scores = workers;
        }
    }

    fn update_quarantine(&mut self, now: Timestamp) {
        let is_bad = |score: &FailureScore| {
            QUARANTINE_MIN_FAILURES <= score.failures
                && QUARANTINE_MIN_RATE <= score.rate(PRIOR_RATE)
        };
        // Later failures on other workers can show that the work was at fault,
        // which ends a quarantine that has not had a failed probe yet.
        let scores = &self.scores;
        self.quarantine.retain(|index, it| {
            it.interval_ms != FIRST_PROBE_MS || scores.get(index).is_some_and(is_bad)
        });
        for (index, _) in self.scores.iter().filter(|(_, score)| is_bad(score)) {
            self.quarantine.entry(*index).or_insert(Quarantine {
                since: now,
                next_probe_at: now.plus_ms(FIRST_PROBE_MS),
                interval_ms: FIRST_PROBE_MS,
                probe: None,
                successes: 0,
            });
        }
    }

    /// Ends a quarantine. The failures that led to it no longer count.
    fn release(&mut self, index: u32) {
        self.quarantine.remove(&index);
        self.outcomes.retain(|it| it.worker != index || !it.failed);
        self.attribute_failures();
    }
}
