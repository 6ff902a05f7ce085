//! Quarantine of workers and suspicion of jobs.
//!
//! A failed attempt is the fault of the worker, of the job, or of the job's
//! class, and one failure alone does not say which. The failures and successes
//! of the last minutes are therefore judged together: a failure is blamed on
//! the worker in the measure in which the worker fails work that succeeds
//! elsewhere, and on the job in the measure in which it fails where other work
//! succeeds. The measures depend on each other and are found by a few rounds
//! of iteration over a bounded window of outcomes.
//!
//! A quarantined worker gets single probes at growing intervals and is
//! released after successes. See `docs/groups.md`.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};

use crate::{
    class::ClassIndex,
    id::{JobId, TaskId, WorkerId},
    time::{Timestamp, earliest},
};

/// Most outcomes that are judged together.
const MAX_OUTCOMES: usize = 1_024;

/// Age at which an outcome no longer counts, in milliseconds.
const WINDOW_MS: u64 = 600_000;

/// Blamed failures at which a worker is quarantined.
const QUARANTINE_BLAME: f64 = 1.8;

/// Share of blamed failures among a worker's attempts at which it is
/// quarantined.
const QUARANTINE_SHARE: f64 = 0.5;

/// Blamed failures on different workers at which a job is given up.
const JOB_BLAME: f64 = 2.2;

/// Weight of an attempt that failed in another group, of whose worker nothing
/// is known here.
const FOREIGN_WEIGHT: f64 = 0.5;

/// Time until the first probe of a quarantined worker, in milliseconds.
const FIRST_PROBE_MS: u64 = 15_000;

/// Longest time between two probes, in milliseconds.
const MAX_PROBE_MS: u64 = 1_800_000;

/// Successful probes in a row after which a worker is released.
const RELEASE_AFTER: u32 = 2;

/// Rounds of mutual adjustment of the two sides; the shares move by less than
/// a hundredth after that.
const ROUNDS: usize = 8;

/// Failures per attempt assumed of a worker, job or class of which little is
/// known, and the number of attempts that this assumption counts for.
const PRIOR_RATE: f64 = 0.05;
const PRIOR_ATTEMPTS: f64 = 1.0;

#[derive(Clone, Copy, Debug)]
struct Observation {
    at: Timestamp,
    worker: u32,
    class: ClassIndex,
    job: JobId,
    failed: bool,
    /// The share of the failure that is the worker's.
    blame: f64,
}

#[derive(Clone, Debug, Default)]
struct Side {
    attempts: f64,
    blamed: f64,
}

impl Side {
    fn rate(&self, prior: f64) -> f64 {
        (self.blamed + prior * PRIOR_ATTEMPTS) / (self.attempts + PRIOR_ATTEMPTS)
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

/// A quarantined worker as shown to operators.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct QuarantineStatus {
    /// The worker.
    pub worker: WorkerId,
    /// When it was quarantined.
    pub since: Timestamp,
    /// When it gets its next probe.
    pub next_probe_at: Timestamp,
    /// Successful probes in a row.
    pub successes: u32,
    /// Failures blamed on it lately.
    pub blamed: f64,
}

/// What a failed attempt says about its job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobVerdict {
    /// Another attempt on another worker may succeed.
    TryElsewhere,
    /// The job failed on several workers where other work succeeds.
    GiveUp,
}

/// Scores of workers and jobs.
#[derive(Clone, Debug, Default)]
pub struct Health {
    workers: Vec<WorkerId>,
    numbers: BTreeMap<WorkerId, u32>,
    outcomes: VecDeque<Observation>,
    sides: BTreeMap<u32, Side>,
    quarantine: BTreeMap<u32, Quarantine>,
}

impl Health {
    /// Returns scores of which nothing is known yet.
    pub fn new() -> Health {
        Health::default()
    }

    /// Notes that an attempt succeeded on a worker.
    pub fn succeeded(
        &mut self,
        now: Timestamp,
        worker: &WorkerId,
        class: ClassIndex,
        task: TaskId,
    ) {
        let number = self.push(now, worker, class, task.job, false);
        if let Some(it) = self.quarantine.get_mut(&number)
            && it.probe.take_if(|probe| *probe == task).is_some()
        {
            it.successes += 1;
            it.next_probe_at = now;
            if RELEASE_AFTER <= it.successes {
                self.release(number);
            }
        }
    }

    /// Notes that an attempt failed on a worker, and returns what that says
    /// about the job. `foreign_failures` counts the job's failed attempts in
    /// other groups.
    pub fn failed(
        &mut self,
        now: Timestamp,
        worker: &WorkerId,
        class: ClassIndex,
        task: TaskId,
        foreign_failures: u32,
    ) -> JobVerdict {
        let number = self.push(now, worker, class, task.job, true);
        if let Some(it) = self.quarantine.get_mut(&number)
            && it.probe.take_if(|probe| *probe == task).is_some()
        {
            it.successes = 0;
            it.interval_ms = (it.interval_ms * 2).min(MAX_PROBE_MS);
            it.next_probe_at = now.plus_ms(it.interval_ms);
        }
        self.judge();
        self.update_quarantine(now);
        let suspicion = self.job_suspicion(task.job) + FOREIGN_WEIGHT * f64::from(foreign_failures);
        if suspicion < JOB_BLAME { JobVerdict::TryElsewhere } else { JobVerdict::GiveUp }
    }

    /// Returns how many failures on different workers are blamed on a job.
    ///
    /// A failure counts less if its worker has not yet proved to work:
    /// otherwise the first job that meets several bad workers is given up.
    pub fn job_suspicion(&self, job: JobId) -> f64 {
        let mut per_worker: BTreeMap<u32, f64> = BTreeMap::new();
        for it in self.outcomes.iter().filter(|it| it.failed && it.job == job) {
            let blame = per_worker.entry(it.worker).or_default();
            *blame = blame.max(1.0 - it.blame);
        }
        per_worker.iter().map(|(worker, blame)| blame * self.proof(*worker)).sum()
    }

    /// Returns how far the successes of a worker prove that it works.
    fn proof(&self, worker: u32) -> f64 {
        let succeeded = self.outcomes.iter().filter(|it| it.worker == worker && !it.failed);
        let succeeded = succeeded.count() as f64;
        (succeeded + 0.5) / (succeeded + 1.5)
    }

    /// Returns how many failures of a job were seen here.
    pub fn failures_of(&self, job: JobId) -> u32 {
        self.outcomes.iter().filter(|it| it.failed && it.job == job).count() as u32
    }

    /// Returns how far a worker is trusted, from 0.0 to 1.0.
    pub fn trust(&self, worker: &WorkerId) -> f64 {
        let Some(side) = self.numbers.get(worker).and_then(|it| self.sides.get(it)) else {
            return 1.0;
        };
        (1.0 - (side.rate(PRIOR_RATE) - PRIOR_RATE) / (1.0 - PRIOR_RATE)).clamp(0.0, 1.0)
    }

    /// Reports whether a worker is quarantined.
    pub fn is_quarantined(&self, worker: &WorkerId) -> bool {
        self.numbers.get(worker).is_some_and(|it| self.quarantine.contains_key(it))
    }

    /// Reports whether a quarantined worker may get a probe now.
    pub fn wants_probe(&self, now: Timestamp, worker: &WorkerId) -> bool {
        let it = self.numbers.get(worker).and_then(|it| self.quarantine.get(it));
        it.is_some_and(|it| it.probe.is_none() && it.next_probe_at <= now)
    }

    /// Reports whether any worker is quarantined.
    pub fn has_quarantined(&self) -> bool {
        !self.quarantine.is_empty()
    }

    /// Notes that a task was placed on a quarantined worker as its probe.
    pub fn set_probe(&mut self, worker: &WorkerId, task: TaskId) {
        if let Some(it) = self.numbers.get(worker).and_then(|it| self.quarantine.get_mut(it)) {
            it.probe = Some(task);
        }
    }

    /// Notes that a task ended in a way that says nothing about its worker.
    pub fn forget_probe(&mut self, worker: &WorkerId, task: &TaskId) {
        if let Some(it) = self.numbers.get(worker).and_then(|it| self.quarantine.get_mut(it)) {
            it.probe.take_if(|probe| probe == task);
        }
    }

    /// Returns when the next probe is due.
    pub fn next_probe_at(&self) -> Option<Timestamp> {
        let due = |it: &Quarantine| it.probe.is_none().then_some(it.next_probe_at);
        self.quarantine.values().fold(None, |min, it| earliest(min, due(it)))
    }

    /// Returns the quarantined workers for operators, at most `limit`.
    pub fn status(&self, limit: usize) -> Vec<QuarantineStatus> {
        let status = |(number, it): (&u32, &Quarantine)| QuarantineStatus {
            worker: self.workers[*number as usize].clone(),
            since: it.since,
            next_probe_at: it.next_probe_at,
            successes: it.successes,
            blamed: self.sides.get(number).map_or(0.0, |side| side.blamed),
        };
        self.quarantine.iter().take(limit).map(status).collect()
    }

    fn number(&mut self, worker: &WorkerId) -> u32 {
        if let Some(number) = self.numbers.get(worker) {
            return *number;
        }
        let number = self.workers.len() as u32;
        self.workers.push(worker.clone());
        self.numbers.insert(worker.clone(), number);
        number
    }

    fn push(
        &mut self,
        now: Timestamp,
        worker: &WorkerId,
        class: ClassIndex,
        job: JobId,
        failed: bool,
    ) -> u32 {
        let number = self.number(worker);
        while self.outcomes.len() == MAX_OUTCOMES
            || self.outcomes.front().is_some_and(|it| it.at.plus_ms(WINDOW_MS) < now)
        {
            self.outcomes.pop_front();
        }
        let it = Observation { at: now, worker: number, class, job, failed, blame: 0.5 };
        self.outcomes.push_back(it);
        let side = self.sides.entry(number).or_default();
        side.attempts += 1.0;
        number
    }

    /// Divides the blame for each failure between its worker and its job.
    fn judge(&mut self) {
        let mut failed_on: BTreeMap<ClassIndex, BTreeSet<u32>> = BTreeMap::new();
        for it in self.outcomes.iter_mut() {
            it.blame = 0.5;
            if it.failed {
                failed_on.entry(it.class).or_default().insert(it.worker);
            }
        }
        let spread: BTreeMap<ClassIndex, f64> =
            failed_on.into_iter().map(|(class, workers)| (class, workers.len() as f64)).collect();
        for _ in 0..ROUNDS {
            let mut workers: BTreeMap<u32, Side> = BTreeMap::new();
            let mut classes: BTreeMap<ClassIndex, Side> = BTreeMap::new();
            let mut jobs: BTreeMap<JobId, Side> = BTreeMap::new();
            for it in &self.outcomes {
                let worker = workers.entry(it.worker).or_default();
                let class = classes.entry(it.class).or_default();
                let job = jobs.entry(it.job).or_default();
                for side in [&mut *worker, &mut *class, &mut *job] {
                    side.attempts += 1.0;
                }
                if it.failed {
                    worker.blamed += it.blame;
                    class.blamed += 1.0 - it.blame;
                    job.blamed += 1.0 - it.blame;
                }
            }
            for it in self.outcomes.iter_mut().filter(|it| it.failed) {
                let worker = workers[&it.worker].rate(PRIOR_RATE);
                let class = classes[&it.class].rate(PRIOR_RATE);
                let job = jobs[&it.job].rate(class.max(PRIOR_RATE));
                // That one class is at fault is likelier than that each of the
                // workers which failed it is.
                let class = class * spread[&it.class];
                it.blame = worker / (worker + class.max(job));
            }
            self.sides = workers;
        }
    }

    fn update_quarantine(&mut self, now: Timestamp) {
        let is_bad = |side: &Side| {
            QUARANTINE_BLAME <= side.blamed && QUARANTINE_SHARE <= side.rate(PRIOR_RATE)
        };
        // New failures elsewhere can show that the work was at fault.
        let sides = &self.sides;
        self.quarantine.retain(|number, it| {
            it.interval_ms != FIRST_PROBE_MS || sides.get(number).is_some_and(is_bad)
        });
        for (number, _) in self.sides.iter().filter(|(_, side)| is_bad(side)) {
            self.quarantine.entry(*number).or_insert(Quarantine {
                since: now,
                next_probe_at: now.plus_ms(FIRST_PROBE_MS),
                interval_ms: FIRST_PROBE_MS,
                probe: None,
                successes: 0,
            });
        }
    }

    /// Ends a quarantine; the failures that led to it no longer count.
    fn release(&mut self, number: u32) {
        self.quarantine.remove(&number);
        self.outcomes.retain(|it| it.worker != number || !it.failed);
        self.judge();
    }
}
