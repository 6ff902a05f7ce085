//! Workers in memory, with faults that tests inject at run time.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    net::IpAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use mustardcove_core::{
    id::{ClassId, Incarnation, TaskId, WorkerId},
    time::Timestamp,
    verdict::Verdict,
    worker::{TaskStatus, WorkerError, WorkerInfo, WorkerOp, WorkerReport, WorkerResult},
};
use tokio::sync::watch;

use super::{
    interference::Interference, run_history::RunHistory, work::WorkSpec, worker_state::WorkerState,
};
use crate::{clock::Clock, workers::Workers};

/// Longest time that a request for reports waits.
pub const REPORT_WAIT: Duration = Duration::from_secs(10);

/// How the workers of a fleet behave.
#[derive(Clone, Debug)]
pub struct FleetConfig {
    /// Virtual milliseconds of work done per millisecond.
    pub work_rate: f64,
    /// The work of a task whose payload is not a [`WorkSpec`].
    pub work: WorkSpec,
    /// Slowdowns that tasks actually experience, before measurement errors.
    pub interference: Interference,
    /// Time between measurements, in milliseconds.
    pub sample_every_ms: u64,
    /// Largest delay of a measurement, in milliseconds.
    pub sample_delay_ms: u64,
    /// Largest relative error of a measurement.
    pub sample_noise: f64,
    /// Share of measurements that are lost, in thousandths.
    pub sample_loss_permille: u16,
    /// Virtual time after which a task fails on a worker that fails every
    /// task, in milliseconds.
    pub failure_after_ms: u64,
    /// Seed of the measurements' errors, delays and losses.
    pub seed: u64,
}

impl Default for FleetConfig {
    fn default() -> FleetConfig {
        FleetConfig {
            work_rate: 1.0,
            work: WorkSpec::default(),
            interference: Interference::default(),
            sample_every_ms: 1_000,
            sample_delay_ms: 0,
            sample_noise: 0.0,
            sample_loss_permille: 0,
            failure_after_ms: 50,
            seed: 1,
        }
    }
}

/// A fault of one worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WorkerFault {
    /// No fault.
    #[default]
    None,
    /// Connections to the worker are refused; its tasks continue.
    Unreachable,
    /// Calls take effect but are not answered; tasks continue.
    AnswersLost,
    /// The worker is frozen: it runs no tasks, does not end expired leases
    /// and answers no calls.
    Paused,
}

#[derive(Debug)]
struct Inner {
    workers: BTreeMap<WorkerId, WorkerState>,
    faults: BTreeMap<WorkerId, WorkerFault>,
    /// Pairs of poller and worker that cannot reach each other.
    partitioned: BTreeSet<(IpAddr, WorkerId)>,
    addresses: HashMap<String, WorkerId>,
    /// Wakes calls that wait for a change on a worker.
    changed: BTreeMap<WorkerId, watch::Sender<()>>,
    run_history: RunHistory,
    /// Workers added so far, which makes each worker's seed distinct.
    workers_added: u64,
}

impl Inner {
    fn fault(&self, worker: &WorkerId) -> WorkerFault {
        self.faults.get(worker).copied().unwrap_or_default()
    }

    fn notify(&self, worker: &WorkerId) {
        if let Some(changed) = self.changed.get(worker) {
            changed.send_replace(());
        }
    }

    fn subscribe(&mut self, worker: &WorkerId) -> watch::Receiver<()> {
        let changed = self.changed.entry(worker.clone()).or_insert_with(|| watch::channel(()).0);
        changed.subscribe()
    }

    fn advance(&mut self, worker: &WorkerId, now: Timestamp, config: &FleetConfig) {
        let is_paused = self.fault(worker) == WorkerFault::Paused;
        let Some(state) = self.workers.get_mut(worker) else {
            return;
        };
        if !is_paused {
            state.advance(now, config, &mut self.run_history);
        }
    }

    /// Advances the worker that runs an earlier attempt of the same job to
    /// `now`, so that an attempt that has ended by itself is not recorded as
    /// overlapping with `task`.
    fn advance_earlier_attempt(&mut self, task: TaskId, now: Timestamp, config: &FleetConfig) {
        let Some((_, worker)) = self.run_history.running(task.job).cloned() else {
            return;
        };
        if self.fault(&worker) == WorkerFault::Paused {
            // A paused task whose lease has expired never runs again: the
            // worker ends it as soon as it resumes.
            if let Some(state) = self.workers.get_mut(&worker) {
                state.skip_to(now, &mut self.run_history);
            }
            return;
        }
        self.advance(&worker, now, config);
    }
}

/// Workers in memory; clones share the same fleet.
///
/// A worker's address is the one in its [`WorkerInfo`].
#[derive(Clone, Debug)]
pub struct MemoryFleet {
    inner: Arc<Mutex<Inner>>,
    config: Arc<FleetConfig>,
    clock: Clock,
    poller: Option<IpAddr>,
}

impl MemoryFleet {
    /// Returns a fleet without workers.
    pub fn new(clock: Clock, config: FleetConfig) -> MemoryFleet {
        let inner = Inner {
            workers: BTreeMap::new(),
            faults: BTreeMap::new(),
            partitioned: BTreeSet::new(),
            addresses: HashMap::new(),
            changed: BTreeMap::new(),
            run_history: RunHistory::default(),
            workers_added: 0,
        };
        MemoryFleet {
            inner: Arc::new(Mutex::new(inner)),
            config: Arc::new(config),
            clock,
            poller: None,
        }
    }

    /// Returns a client of the fleet whose calls come from `poller`.
    pub fn connection(&self, poller: IpAddr) -> MemoryFleet {
        MemoryFleet { poller: Some(poller), ..self.clone() }
    }

    /// Returns the clock of the workers.
    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// Adds a worker, or replaces the description of the one with the same id.
    pub fn upsert(&self, info: WorkerInfo) {
        let now = self.clock.now();
        let mut inner = self.lock();
        inner.addresses.retain(|_, it| *it != info.id);
        inner.addresses.insert(info.address.clone(), info.id.clone());
        match inner.workers.get_mut(&info.id) {
            Some(state) => state.info = info,
            None => {
                inner.workers_added += 1;
                let seed = self.config.seed.wrapping_add(inner.workers_added);
                let state = WorkerState::new(now, info.clone(), &self.config, seed);
                inner.workers.insert(info.id, state);
            }
        }
    }

    /// Returns the descriptions of all workers.
    pub fn infos(&self) -> Vec<WorkerInfo> {
        self.lock().workers.values().map(|it| it.info.clone()).collect()
    }

    /// Sets the fault of a worker.
    pub fn set_fault(&self, worker: &WorkerId, fault: WorkerFault) {
        let now = self.clock.now();
        let mut inner = self.lock();
        let before = inner.fault(worker);
        if before == WorkerFault::Paused && fault != WorkerFault::Paused {
            let Inner { workers, run_history, .. } = &mut *inner;
            if let Some(state) = workers.get_mut(worker) {
                state.skip_to(now, run_history);
            }
        } else {
            inner.advance(worker, now, &self.config);
        }
        inner.faults.insert(worker.clone(), fault);
        inner.notify(worker);
    }

    /// Returns the fault of a worker.
    pub fn fault(&self, worker: &WorkerId) -> WorkerFault {
        self.lock().fault(worker)
    }

    /// Partitions a poller from a worker, so that its calls do not arrive, or
    /// ends the partition.
    pub fn set_partitioned(&self, poller: IpAddr, worker: &WorkerId, is_partitioned: bool) {
        let mut inner = self.lock();
        let pair = (poller, worker.clone());
        if is_partitioned {
            inner.partitioned.insert(pair);
        } else {
            inner.partitioned.remove(&pair);
        }
    }

    /// Ends every task of a worker and starts a new incarnation.
    pub fn restart(&self, worker: &WorkerId) {
        let now = self.clock.now();
        let mut inner = self.lock();
        inner.advance(worker, now, &self.config);
        let Inner { workers, run_history, .. } = &mut *inner;
        if let Some(state) = workers.get_mut(worker) {
            state.restart(now, run_history);
        }
        inner.notify(worker);
    }

    /// Removes a worker and ends all its tasks.
    pub fn remove(&self, worker: &WorkerId) {
        self.restart(worker);
        let mut inner = self.lock();
        inner.workers.remove(worker);
        inner.addresses.retain(|_, it| it != worker);
        inner.notify(worker);
    }

    /// Marks a worker as leaving or not.
    pub fn set_leaving(&self, worker: &WorkerId, leaving: bool) {
        if let Some(state) = self.lock().workers.get_mut(worker) {
            state.info.leaving = leaving;
        }
    }

    /// Reports whether a worker is leaving.
    pub fn is_leaving(&self, worker: &WorkerId) -> bool {
        self.lock().workers.get(worker).is_some_and(|it| it.info.leaving)
    }

    /// Sets whether a worker fails every task that it starts.
    pub fn set_fails_everything(&self, worker: &WorkerId, fails: bool) {
        if let Some(state) = self.lock().workers.get_mut(worker) {
            state.fails_everything = fails;
        }
    }

    /// Returns a copy of the record of runs, up to the current time.
    pub fn run_history(&self) -> RunHistory {
        self.advance_all();
        self.lock().run_history.clone()
    }

    /// Returns the tasks that are running on a worker.
    pub fn tasks(&self, worker: &WorkerId) -> Vec<TaskStatus> {
        self.advance_all();
        let inner = self.lock();
        inner.workers.get(worker).map(|it| it.tasks().collect()).unwrap_or_default()
    }

    fn advance_all(&self) {
        let now = self.clock.now();
        let mut inner = self.lock();
        let ids: Vec<WorkerId> = inner.workers.keys().cloned().collect();
        for id in ids {
            inner.advance(&id, now, &self.config);
        }
    }

    /// Records that an upstream of `worker` begins to serve a request, and
    /// returns the slowdown of the request; `None` if there is no such worker.
    pub fn begin_serving(
        &self,
        worker: &WorkerId,
        class: &ClassId,
        task: Option<TaskId>,
    ) -> Option<f64> {
        let now = self.clock.now();
        let mut inner = self.lock();
        inner.advance(worker, now, &self.config);
        let Inner { workers, run_history, .. } = &mut *inner;
        let state = workers.get_mut(worker)?;
        *state.serving.entry(class.clone()).or_default() += 1;
        if let Some(task) = task {
            run_history.record_start(now, task, worker);
        }
        Some(state.slowdown(&self.config, class))
    }

    /// Records that an upstream of `worker` no longer serves a request.
    pub fn end_serving(
        &self,
        worker: &WorkerId,
        class: &ClassId,
        task: Option<TaskId>,
        completed: bool,
    ) {
        let now = self.clock.now();
        let mut inner = self.lock();
        inner.advance(worker, now, &self.config);
        let Inner { workers, run_history, .. } = &mut *inner;
        if let Some(task) = task {
            run_history.record_end(task, worker, completed);
        }
        let Some(state) = workers.get_mut(worker) else {
            return;
        };
        if let Some(count) = state.serving.get_mut(class) {
            *count = count.saturating_sub(1);
            if *count == 0 {
                state.serving.remove(class);
            }
        }
    }

    /// Returns the worker at an address.
    pub fn worker_at(&self, address: &str) -> Option<WorkerId> {
        self.lock().addresses.get(address).cloned()
    }

    /// Applies a call of `poller` to a worker; `None` means that the answer is
    /// lost.
    pub(crate) async fn call_worker(
        &self,
        worker: &WorkerId,
        op: WorkerOp,
        poller: Option<IpAddr>,
    ) -> Option<WorkerResult> {
        self.wait_until_resumed(worker).await;
        let now = self.clock.now();
        let mut inner = self.lock();
        if inner.is_unreachable(worker, poller) {
            return Some(Err(WorkerError::Unreachable { verdict: Verdict::NotRun }));
        }
        inner.advance(worker, now, &self.config);
        if let WorkerOp::Start { start, .. } = &op {
            inner.advance_earlier_attempt(start.task, now, &self.config);
        }
        let answers_lost = inner.fault(worker) == WorkerFault::AnswersLost;
        let Inner { workers, run_history, .. } = &mut *inner;
        let state = workers.get_mut(worker)?;
        let result = state.apply(now, &self.config, op, run_history);
        inner.notify(worker);
        (!answers_lost).then_some(result)
    }

    /// Waits for a report; `None` means that the answer is lost.
    pub(crate) async fn wait_for_report(
        &self,
        worker: &WorkerId,
        after: u64,
        poller: Option<IpAddr>,
    ) -> Option<Result<WorkerReport, WorkerError>> {
        let until = self.clock.now().plus_ms(REPORT_WAIT.as_millis() as u64);
        let mut changed = self.lock().subscribe(worker);
        loop {
            self.wait_until_resumed(worker).await;
            changed.borrow_and_update();
            let now = self.clock.now();
            let wake_at = {
                let mut inner = self.lock();
                if inner.is_unreachable(worker, poller) {
                    return Some(Err(WorkerError::Unreachable { verdict: Verdict::NotRun }));
                }
                inner.advance(worker, now, &self.config);
                let answers_lost = inner.fault(worker) == WorkerFault::AnswersLost;
                let state = inner.workers.get_mut(worker)?;
                if state.has_updates(now, after) || until <= now {
                    let report = state.take_report(now, after);
                    return (!answers_lost).then_some(Ok(report));
                }
                state.next_event_at(&self.config).map_or(until, |it| it.min(until))
            };
            tokio::select! {
                _ = changed.changed() => {}
                () = self.clock.sleep_until(wake_at.max(now.plus_ms(1))) => {}
            }
        }
    }

    /// Waits until a worker is not paused.
    pub(crate) async fn wait_until_resumed(&self, worker: &WorkerId) {
        let mut changed = self.lock().subscribe(worker);
        loop {
            changed.borrow_and_update();
            if self.fault(worker) != WorkerFault::Paused {
                return;
            }
            if changed.changed().await.is_err() {
                return;
            }
        }
    }

    /// Returns the incarnation of a worker, or `None` if there is no such worker.
    pub fn incarnation(&self, worker: &WorkerId) -> Option<Incarnation> {
        self.lock().workers.get(worker).map(WorkerState::incarnation)
    }

    /// Waits until the incarnation of a worker differs from `from`.
    pub(crate) async fn wait_until_restarted(&self, worker: &WorkerId, from: Option<Incarnation>) {
        let mut changed = self.lock().subscribe(worker);
        loop {
            changed.borrow_and_update();
            if self.incarnation(worker) != from || changed.changed().await.is_err() {
                return;
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(|it| it.into_inner())
    }
}

impl Inner {
    fn is_unreachable(&self, worker: &WorkerId, poller: Option<IpAddr>) -> bool {
        let is_partitioned = |it| self.partitioned.contains(&(it, worker.clone()));
        !self.workers.contains_key(worker)
            || self.fault(worker) == WorkerFault::Unreachable
            || poller.is_some_and(is_partitioned)
    }
}

/// Longest time that a call waits for its answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

impl Workers for MemoryFleet {
    async fn call(&self, address: &str, op: WorkerOp, not_after: Timestamp) -> WorkerResult {
        let unreachable = |verdict| Err(WorkerError::Unreachable { verdict });
        let Some(worker) = self.worker_at(address) else {
            return unreachable(Verdict::NotRun);
        };
        if not_after <= self.clock.now() {
            return unreachable(Verdict::NotRun);
        }
        let call = self.call_worker(&worker, op, self.poller);
        match tokio::time::timeout(CALL_TIMEOUT, call).await {
            Ok(Some(result)) => result,
            Ok(None) | Err(_) => unreachable(Verdict::MayHaveRun),
        }
    }

    async fn reports(&self, address: &str, after: u64) -> Result<WorkerReport, WorkerError> {
        let unreachable = |verdict| Err(WorkerError::Unreachable { verdict });
        let Some(worker) = self.worker_at(address) else {
            return unreachable(Verdict::NotRun);
        };
        let wait = REPORT_WAIT + CALL_TIMEOUT;
        match tokio::time::timeout(wait, self.wait_for_report(&worker, after, self.poller)).await {
            Ok(Some(result)) => result,
            Ok(None) | Err(_) => unreachable(Verdict::MayHaveRun),
        }
    }
}
