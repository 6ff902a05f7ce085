//! Semantics of one worker, as a state machine without I/O.
//!
//! Work is counted in virtual milliseconds: a task does
//! `work_rate * pace / slowdown` of them per millisecond. The rate changes only
//! at events, so [`WorkerState::advance`] steps from event to event and the
//! outcome does not depend on how often it is called.

use std::collections::{BTreeMap, BTreeSet};

use mustardcove_core::{
    id::{ClassId, Epoch, Incarnation, TaskId},
    interference::LoadLevel,
    size::{Millicores, Resources},
    time::Timestamp,
    worker::{
        StopMode, TaskEvent, TaskStart, TaskStatus, UsageSample, WorkerError, WorkerInfo, WorkerOp,
        WorkerReply, WorkerReport, WorkerResult,
    },
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{
    fleet::FleetConfig,
    run_history::RunHistory,
    work::{Task, WorkSpec, resume_position},
};

/// Number of measurements that are kept until a poller fetches them.
const MAX_KEPT_SAMPLES: usize = 1_000;

const FIRST_INCARNATION: Incarnation = Incarnation(1);

/// Returns the sequence number before an incarnation's first event.
///
/// The ranges of two incarnations do not overlap. Otherwise, an
/// acknowledgement meant for an earlier incarnation could drop events of a
/// later one that were never reported.
fn first_sequence(incarnation: Incarnation) -> u64 {
    incarnation.0 << 32
}

/// The state of one worker and its tasks.
#[derive(Debug)]
pub struct WorkerState {
    /// The worker as the instance list describes it.
    pub info: WorkerInfo,
    /// Whether the worker fails every task that it starts.
    pub fails_everything: bool,
    incarnation: Incarnation,
    epoch: Epoch,
    tasks: BTreeMap<TaskId, Task>,
    /// Attempts that ended in this incarnation. Repeating the start of one has
    /// no effect.
    ended: BTreeSet<TaskId>,
    events: Vec<(u64, TaskId, TaskEvent)>,
    sequence: u64,
    /// Measurements with the time at which they arrive.
    samples: Vec<(Timestamp, UsageSample)>,
    next_sample_at: Timestamp,
    /// Requests in progress at this worker's upstreams, by class.
    pub serving: BTreeMap<ClassId, usize>,
    advanced_to: Timestamp,
    rng: ChaCha8Rng,
}

impl WorkerState {
    /// Returns a worker that runs nothing.
    pub fn new(now: Timestamp, info: WorkerInfo, config: &FleetConfig, seed: u64) -> WorkerState {
        WorkerState {
            info,
            fails_everything: false,
            incarnation: FIRST_INCARNATION,
            epoch: Epoch(0),
            tasks: BTreeMap::new(),
            ended: BTreeSet::new(),
            events: Vec::new(),
            sequence: first_sequence(FIRST_INCARNATION),
            samples: Vec::new(),
            next_sample_at: now.plus_ms(config.sample_every_ms),
            serving: BTreeMap::new(),
            advanced_to: now,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Returns the current incarnation.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns the tasks that are running.
    pub fn tasks(&self) -> impl Iterator<Item = TaskStatus> {
        self.tasks.values().map(Task::status)
    }

    /// Returns the latest event that is not acknowledged, if there is one.
    pub fn last_event(&self) -> Option<&(u64, TaskId, TaskEvent)> {
        self.events.last()
    }

    /// Reports whether there is anything to report: an event after `after`, a
    /// measurement that has arrived, or a restart since `after`.
    pub fn has_updates(&self, now: Timestamp, after: u64) -> bool {
        let first = first_sequence(self.incarnation);
        self.events.last().is_some_and(|(sequence, _, _)| after < *sequence)
            || (0 < after && after < first)
            || self.samples.iter().any(|(arrives_at, _)| *arrives_at <= now)
    }

    /// Returns the slowdown of `class` on this worker; 1.0 means no slowdown.
    pub fn slowdown(&self, config: &FleetConfig, class: &ClassId) -> f64 {
        slowdown_of(config, self.load(), &self.class_counts(), class)
    }

    fn class_counts(&self) -> BTreeMap<ClassId, usize> {
        let mut counts = self.serving.clone();
        for task in self.tasks.values() {
            match counts.get_mut(&task.start.class) {
                Some(count) => *count += 1,
                None => {
                    counts.insert(task.start.class.clone(), 1);
                }
            }
        }
        counts
    }

    /// Returns the slowdown of every class on this worker, computed once for
    /// all tasks.
    fn slowdowns(&self, config: &FleetConfig) -> BTreeMap<ClassId, f64> {
        let (load, counts) = (self.load(), self.class_counts());
        let slowdown = |it: &ClassId| (it.clone(), slowdown_of(config, load, &counts, it));
        counts.keys().map(slowdown).collect()
    }

    /// Returns the load level given by the processors committed to tasks.
    fn load(&self) -> LoadLevel {
        let committed = self.tasks.values().map(|it| it.start.resources.cpu.0).sum();
        LoadLevel::of(Millicores(committed), self.info.capacity.cpu)
    }

    /// Ends every task and starts a new incarnation, as after a crash.
    pub fn restart(&mut self, now: Timestamp, run_history: &mut RunHistory) {
        self.advanced_to = now;
        self.tasks.clear();
        run_history.record_worker_end(&self.info.id);
        self.incarnation = self.incarnation.next();
        self.epoch = Epoch(0);
        self.ended.clear();
        self.events.clear();
        self.sequence = first_sequence(self.incarnation);
        self.samples.clear();
        self.serving.clear();
    }

    /// Skips the time up to `now`, during which the worker was paused. Tasks
    /// whose leases expired in that time end before they do any more work.
    pub fn skip_to(&mut self, now: Timestamp, run_history: &mut RunHistory) {
        self.advanced_to = now;
        self.next_sample_at = self.next_sample_at.max(now);
        self.end_expired(now, run_history);
    }

    /// Returns the time of the next event if no call is made, including the
    /// arrival of measurements.
    pub fn next_event_at(&self, config: &FleetConfig) -> Option<Timestamp> {
        let arrivals = self.samples.iter().map(|(arrives_at, _)| *arrives_at);
        let arrival = arrivals.filter(|it| self.advanced_to < *it).min();
        let next = self.next_change(&self.rates(config)).min(arrival.unwrap_or(Timestamp::MAX));
        (next != Timestamp::MAX).then_some(next)
    }

    /// Returns the time at which the next task event or measurement is due.
    fn next_change(&self, rates: &[f64]) -> Timestamp {
        let mut next = Timestamp::MAX;
        for (task, rate) in self.tasks.values().zip(rates) {
            let left = task.ms_to_next_event() / rate;
            if left.is_finite() {
                next = next.min(self.advanced_to.plus_ms(left.ceil() as u64));
            }
            next = next.min(task.lease_until);
        }
        if !self.tasks.is_empty() || !self.serving.is_empty() {
            next = next.min(self.next_sample_at);
        }
        next
    }

    /// Returns the rate of each task, in virtual milliseconds per millisecond.
    fn rates(&self, config: &FleetConfig) -> Vec<f64> {
        let slowdowns = self.slowdowns(config);
        let rate = |it: &Task| config.work_rate * it.pace / slowdowns[&it.start.class];
        self.tasks.values().map(rate).collect()
    }

    /// Runs the worker until `now`.
    pub fn advance(&mut self, now: Timestamp, config: &FleetConfig, run_history: &mut RunHistory) {
        while self.advanced_to < now {
            let rates = self.rates(config);
            // Steps of at least one millisecond ensure that the loop ends.
            let next = self.next_change(&rates).max(self.advanced_to.plus_ms(1)).min(now);
            self.advance_work(next, &rates);
            self.end_expired(next, run_history);
            self.end_finished(run_history);
            self.take_samples(next, config);
        }
    }

    fn advance_work(&mut self, next: Timestamp, rates: &[f64]) {
        let elapsed = next.ms_since(self.advanced_to) as f64;
        for (task, rate) in self.tasks.values_mut().zip(rates) {
            task.done_ms += elapsed * rate;
        }
        self.advanced_to = next;
    }

    fn end_expired(&mut self, now: Timestamp, run_history: &mut RunHistory) {
        let is_expired = |it: &Task| it.lease_until <= now;
        let expired: Vec<TaskId> =
            self.tasks.iter().filter(|(_, it)| is_expired(it)).map(|(&id, _)| id).collect();
        for id in expired {
            let checkpoint = self.tasks.get(&id).and_then(|it| it.checkpoint.clone());
            self.end(id, TaskEvent::Stopped { checkpoint }, run_history);
        }
    }

    fn end_finished(&mut self, run_history: &mut RunHistory) {
        // Virtual time is a sum of fractions and may miss the end by a rounding
        // error.
        const ROUNDING_MS: f64 = 1e-6;
        let mut finished = Vec::new();
        let mut checkpoints = Vec::new();
        for (&id, task) in &mut self.tasks {
            let end = task.spec.work_ms as f64;
            if 0.0 < end && end <= task.done_ms + ROUNDING_MS {
                finished.push((id, task.outcome(self.fails_everything)));
                continue;
            }
            let every = task.spec.checkpoint_every_ms as f64;
            if 0.0 < every && task.checkpointed_ms + every <= task.done_ms + ROUNDING_MS {
                checkpoints.push((id, task.make_checkpoint()));
            }
        }
        for (id, checkpoint) in checkpoints {
            self.report(id, TaskEvent::Checkpointed { checkpoint });
        }
        for (id, event) in finished {
            self.end(id, event, run_history);
        }
    }

    fn end(&mut self, id: TaskId, event: TaskEvent, run_history: &mut RunHistory) {
        self.tasks.remove(&id);
        self.ended.insert(id);
        run_history.record_end(id, &self.info.id, matches!(event, TaskEvent::Succeeded { .. }));
        self.report(id, event);
    }

    fn report(&mut self, id: TaskId, event: TaskEvent) {
        self.sequence += 1;
        self.events.push((self.sequence, id, event));
    }

    fn take_samples(&mut self, now: Timestamp, config: &FleetConfig) {
        if now < self.next_sample_at {
            return;
        }
        self.next_sample_at = now.plus_ms(config.sample_every_ms.max(1));
        let mut taken = Vec::new();
        for (&id, task) in &self.tasks {
            taken.push((task.start.class.clone(), Some(id), task.start.resources));
        }
        for class in self.serving.keys() {
            taken.push((class.clone(), None, Resources::ZERO));
        }
        let slowdowns = self.slowdowns(config);
        for (class, task, used) in taken {
            let slowdown = slowdowns[&class];
            let noise = self.rng.random_range(-1.0..=1.0) * config.sample_noise;
            let delay = self.rng.random_range(0..=config.sample_delay_ms);
            if self.rng.random_range(0..1000) < config.sample_loss_permille {
                continue;
            }
            let sample = UsageSample {
                worker: self.info.id.clone(),
                taken_at: now,
                class,
                task,
                slowdown: slowdown * (1.0 + noise),
                used,
            };
            self.samples.push((now.plus_ms(delay), sample));
        }
        // Measurements that are not fetched are dropped, oldest first.
        let excess = self.samples.len().saturating_sub(MAX_KEPT_SAMPLES);
        self.samples.drain(..excess);
    }

    /// Returns a report with the events after `after` and the measurements that
    /// have arrived. Each measurement is reported only once.
    pub fn take_report(&mut self, now: Timestamp, after: u64) -> WorkerReport {
        let (arrived, pending) =
            std::mem::take(&mut self.samples).into_iter().partition(|(at, _)| *at <= now);
        self.samples = pending;
        let arrived: Vec<(Timestamp, UsageSample)> = arrived;
        WorkerReport {
            worker: self.info.id.clone(),
            incarnation: self.incarnation,
            sequence: self.sequence,
            events: self.events.iter().filter(|(it, _, _)| after < *it).cloned().collect(),
            samples: arrived.into_iter().map(|(_, sample)| sample).collect(),
        }
    }

    /// Applies a call. The state must have been advanced to `now` before.
    pub fn apply(
        &mut self,
        now: Timestamp,
        config: &FleetConfig,
        op: WorkerOp,
        run_history: &mut RunHistory,
    ) -> WorkerResult {
        let epoch = match &op {
            WorkerOp::Announce { epoch }
            | WorkerOp::Start { epoch, .. }
            | WorkerOp::Renew { epoch, .. }
            | WorkerOp::Stop { epoch, .. }
            | WorkerOp::Throttle { epoch, .. } => *epoch,
        };
        if epoch < self.epoch {
            return Err(WorkerError::StaleEpoch { current: self.epoch });
        }
        self.epoch = epoch;
        match op {
            WorkerOp::Announce { .. } => Ok(WorkerReply::Announced {
                incarnation: self.incarnation,
                tasks: self.tasks().collect(),
            }),
            WorkerOp::Start { start, lease_until, .. } => {
                self.start(now, config, start, lease_until, run_history)
            }
            WorkerOp::Renew { tasks, lease_until, acknowledged, .. } => {
                Ok(self.renew(now, &tasks, lease_until, acknowledged))
            }
            WorkerOp::Stop { task, mode, .. } => self.stop(task, mode, run_history),
            WorkerOp::Throttle { task, share_permille, .. } => {
                let task = self.tasks.get_mut(&task).ok_or_else(no_such_task)?;
                task.pace = f64::from(share_permille.clamp(1, 1000)) / 1000.0;
                Ok(WorkerReply::Throttled)
            }
        }
    }

    fn start(
        &mut self,
        now: Timestamp,
        config: &FleetConfig,
        start: TaskStart,
        lease_until: Timestamp,
        run_history: &mut RunHistory,
    ) -> WorkerResult {
        let id = start.task;
        if self.tasks.contains_key(&id) || self.ended.contains(&id) {
            return Ok(WorkerReply::Started { incarnation: self.incarnation });
        }
        let refused = |detail: &str| Err(WorkerError::Refused { detail: detail.to_owned() });
        if lease_until <= now {
            return refused("the lease has passed");
        }
        if self.info.leaving {
            return refused("the worker is leaving");
        }
        let used = self.tasks.values().map(|it| it.start.resources);
        let total = used.fold(start.resources, Resources::saturating_add);
        if !total.fits_in(self.info.capacity) {
            run_history.overcommits.push((self.info.id.clone(), id));
            return refused("the worker has no room");
        }
        run_history.record_start(now, id, &self.info.id);
        let mut spec: WorkSpec =
            serde_json::from_slice(&start.payload).unwrap_or_else(|_| config.work.clone());
        if self.fails_everything {
            spec.work_ms = config.failure_after_ms.max(1);
        }
        let done_ms = resume_position(start.resume_from.as_ref());
        let task = Task {
            spec,
            started_at: now,
            lease_until,
            done_ms,
            checkpointed_ms: done_ms,
            checkpoint: start.resume_from.clone(),
            pace: 1.0,
            start,
        };
        self.tasks.insert(id, task);
        Ok(WorkerReply::Started { incarnation: self.incarnation })
    }

    fn renew(
        &mut self,
        now: Timestamp,
        tasks: &[TaskId],
        lease_until: Timestamp,
        acknowledged: u64,
    ) -> WorkerReply {
        let mut unknown = Vec::new();
        for id in tasks {
            match self.tasks.get_mut(id) {
                Some(task) => task.lease_until = task.lease_until.max(lease_until),
                None => unknown.push(*id),
            }
        }
        self.events.retain(|(sequence, _, _)| acknowledged < *sequence);
        WorkerReply::Renewed { unknown, report: self.take_report(now, acknowledged) }
    }

    fn stop(&mut self, id: TaskId, mode: StopMode, run_history: &mut RunHistory) -> WorkerResult {
        let task = self.tasks.get_mut(&id).ok_or_else(no_such_task)?;
        let checkpoint = match mode {
            StopMode::Checkpoint => Some(task.make_checkpoint()),
            StopMode::Kill => task.checkpoint.clone(),
        };
        self.end(id, TaskEvent::Stopped { checkpoint }, run_history);
        Ok(WorkerReply::Stopping)
    }
}

fn slowdown_of(
    config: &FleetConfig,
    load: LoadLevel,
    counts: &BTreeMap<ClassId, usize>,
    victim: &ClassId,
) -> f64 {
    // A task is not its own neighbour.
    let neighbours = counts.iter().map(|(class, &count)| {
        (class, if class == victim { count.saturating_sub(1) } else { count })
    });
    config.interference.slowdown(victim, load, neighbours)
}

fn no_such_task() -> WorkerError {
    WorkerError::Refused { detail: "no such task".to_owned() }
}
