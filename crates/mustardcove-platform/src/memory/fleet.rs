//! Workers in memory, with faults that tests switch on at run time.

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
    interference::Interference, ledger::RunLedger, work::WorkSpec, worker_state::WorkerState,
};
use crate::{clock::Clock, workers::Workers};

/// Longest time that a call for reports waits.
pub const REPORT_WAIT: Duration = Duration::from_secs(10);

/// How the workers of a fleet behave.
#[derive(Clone, Debug)]
pub struct FleetConfig {
    /// Virtual milliseconds of work done per millisecond.
    pub scale: f64,
    /// The work of a task whose payload does not describe it.
    pub work: WorkSpec,
    /// True slowdowns.
    pub interference: Interference,
    /// Time between measurements, in milliseconds.
    pub sample_every_ms: u64,
    /// The most by which a measurement is late, in milliseconds.
    pub sample_delay_ms: u64,
    /// Relative error of a measurement.
    pub sample_noise: f64,
    /// Share of measurements that never arrive, in thousandths.
    pub sample_loss_permille: u16,
    /// Virtual time after which a task fails on a worker that fails
    /// everything, in milliseconds.
    pub failure_after_ms: u64,
    /// Seed of noise, lateness and loss.
    pub seed: u64,
}

impl Default for FleetConfig {
    fn default() -> FleetConfig {
        FleetConfig {
            scale: 1.0,
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
    /// The worker works.
    #[default]
    None,
    /// Connections to the worker are refused; its tasks go on.
    Unreachable,
    /// Calls are applied and never answered; tasks go on.
    AnswersLost,
    /// The worker stands still: tasks, leases and calls alike.
    Paused,
}

#[derive(Debug)]
struct Inner {
    workers: BTreeMap<WorkerId, WorkerState>,
    faults: BTreeMap<WorkerId, WorkerFault>,
    cut_off: BTreeSet<(IpAddr, WorkerId)>,
    addresses: HashMap<String, WorkerId>,
    /// Wakes those who wait for something to happen on a worker.
    changed: BTreeMap<WorkerId, watch::Sender<()>>,
    ledger: RunLedger,
    seeded: u64,
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
            state.advance(now, config, &mut self.ledger);
        }
    }

    /// Brings the worker that runs an earlier attempt up to date, so that an
    /// attempt that ended by itself is not taken for an overlap.
    fn settle(&mut self, task: TaskId, now: Timestamp, config: &FleetConfig) {
        let Some((_, worker)) = self.ledger.running(task.job).cloned() else {
            return;
        };
        if self.fault(&worker) == WorkerFault::Paused {
            // A paused task whose lease passed never runs again: its end is
            // the first thing that the worker notices when it goes on.
            if let Some(state) = self.workers.get_mut(&worker) {
                state.skip_to(now, &mut self.ledger);
            }
            return;
        }
        self.advance(&worker, now, config);
    }
}

/// Workers in memory; clones are connections to the same fleet.
///
/// A worker's address is the one in its [`WorkerInfo`].
#[derive(Clone, Debug)]
pub struct MemoryFleet {
    inner: Arc<Mutex<Inner>>,
    config: Arc<FleetConfig>,
    clock: Clock,
    caller: Option<IpAddr>,
}

impl MemoryFleet {
    /// Returns a fleet without workers.
    pub fn new(clock: Clock, config: FleetConfig) -> MemoryFleet {
        let inner = Inner {
            workers: BTreeMap::new(),
            faults: BTreeMap::new(),
            cut_off: BTreeSet::new(),
            addresses: HashMap::new(),
            changed: BTreeMap::new(),
            ledger: RunLedger::default(),
            seeded: 0,
        };
        MemoryFleet {
            inner: Arc::new(Mutex::new(inner)),
            config: Arc::new(config),
            clock,
            caller: None,
        }
    }

    /// Returns a connection whose calls come from `caller`.
    pub fn connection(&self, caller: IpAddr) -> MemoryFleet {
        MemoryFleet { caller: Some(caller), ..self.clone() }
    }

    /// Returns the clock of the workers.
    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// Adds a worker, or replaces the description of a known one.
    pub fn upsert(&self, info: WorkerInfo) {
        let now = self.clock.now();
        let mut inner = self.lock();
        inner.addresses.retain(|_, it| *it != info.id);
        inner.addresses.insert(info.address.clone(), info.id.clone());
        match inner.workers.get_mut(&info.id) {
            Some(state) => state.info = info,
            None => {
                inner.seeded += 1;
                let seed = self.config.seed.wrapping_add(inner.seeded);
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
            let Inner { workers, ledger, .. } = &mut *inner;
            if let Some(state) = workers.get_mut(worker) {
                state.skip_to(now, ledger);
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

    /// Refuses connections between a caller and a worker, or ends that.
    pub fn cut_off(&self, caller: IpAddr, worker: &WorkerId, cut_off: bool) {
        let mut inner = self.lock();
        let pair = (caller, worker.clone());
        if cut_off {
            inner.cut_off.insert(pair);
        } else {
            inner.cut_off.remove(&pair);
        }
    }

    /// Ends every task of a worker and begins a new incarnation.
    pub fn restart(&self, worker: &WorkerId) {
        let now = self.clock.now();
        let mut inner = self.lock();
        inner.advance(worker, now, &self.config);
        let Inner { workers, ledger, .. } = &mut *inner;
        if let Some(state) = workers.get_mut(worker) {
            state.restart(now, ledger);
        }
        inner.notify(worker);
    }

    /// Ends a worker with all its tasks, for good.
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

    /// Makes a worker fail every task that it starts, or ends that.
    pub fn set_fails_everything(&self, worker: &WorkerId, fails: bool) {
        if let Some(state) = self.lock().workers.get_mut(worker) {
            state.fails_everything = fails;
        }
    }

    /// Returns a copy of the record of runs, as of now.
    pub fn ledger(&self) -> RunLedger {
        self.advance_all();
        self.lock().ledger.clone()
    }

    /// Returns the tasks that run on a worker now.
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

    /// Notes that an upstream of `worker` begins to serve a request, and
    /// returns by how much it is slowed down; `None` if there is no such worker.
    pub fn begin_serving(
        &self,
        worker: &WorkerId,
        class: &ClassId,
        task: Option<TaskId>,
    ) -> Option<f64> {
        let now = self.clock.now();
        let mut inner = self.lock();
        inner.advance(worker, now, &self.config);
        let Inner { workers, ledger, .. } = &mut *inner;
        let state = workers.get_mut(worker)?;
        *state.serving.entry(class.clone()).or_default() += 1;
        if let Some(task) = task {
            ledger.started(now, task, worker);
        }
        Some(state.slowdown(&self.config, class))
    }

    /// Notes that a request is no longer served.
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
        let Inner { workers, ledger, .. } = &mut *inner;
        if let Some(task) = task {
            ledger.ended(task, worker, completed);
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

    /// Applies a call of `caller` to a worker; `None` means that no answer is
    /// to be given.
    pub(crate) async fn call_worker(
        &self,
        worker: &WorkerId,
        op: WorkerOp,
        caller: Option<IpAddr>,
    ) -> Option<WorkerResult> {
        self.until_resumed(worker).await;
        let now = self.clock.now();
        let mut inner = self.lock();
        if inner.is_unreachable(worker, caller) {
            return Some(Err(WorkerError::Unreachable { verdict: Verdict::NotRun }));
        }
        inner.advance(worker, now, &self.config);
        if let WorkerOp::Start { start, .. } = &op {
            inner.settle(start.task, now, &self.config);
        }
        let answers_lost = inner.fault(worker) == WorkerFault::AnswersLost;
        let Inner { workers, ledger, .. } = &mut *inner;
        let state = workers.get_mut(worker)?;
        let result = state.apply(now, &self.config, op, ledger);
        inner.notify(worker);
        (!answers_lost).then_some(result)
    }

    /// Waits for a report; `None` means that no answer is to be given.
    pub(crate) async fn report_of(
        &self,
        worker: &WorkerId,
        after: u64,
        caller: Option<IpAddr>,
    ) -> Option<Result<WorkerReport, WorkerError>> {
        let until = self.clock.now().plus_ms(REPORT_WAIT.as_millis() as u64);
        let mut changed = self.lock().subscribe(worker);
        loop {
            self.until_resumed(worker).await;
            changed.borrow_and_update();
            let now = self.clock.now();
            let wake_at = {
                let mut inner = self.lock();
                if inner.is_unreachable(worker, caller) {
                    return Some(Err(WorkerError::Unreachable { verdict: Verdict::NotRun }));
                }
                inner.advance(worker, now, &self.config);
                let answers_lost = inner.fault(worker) == WorkerFault::AnswersLost;
                let state = inner.workers.get_mut(worker)?;
                if state.has_news(now, after) || until <= now {
                    let report = state.take_report(now, after);
                    return (!answers_lost).then_some(Ok(report));
                }
                state.next_event(&self.config).map_or(until, |it| it.min(until))
            };
            tokio::select! {
                _ = changed.changed() => {}
                () = self.clock.sleep_until(wake_at.max(now.plus_ms(1))) => {}
            }
        }
    }

    /// Waits until a worker is not paused.
    pub(crate) async fn until_resumed(&self, worker: &WorkerId) {
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

    /// Returns the incarnation of a worker, if there is such a worker.
    pub fn incarnation(&self, worker: &WorkerId) -> Option<Incarnation> {
        self.lock().workers.get(worker).map(WorkerState::incarnation)
    }

    /// Waits until a worker is no longer in this incarnation.
    pub(crate) async fn until_restarted(&self, worker: &WorkerId, from: Option<Incarnation>) {
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
    fn is_unreachable(&self, worker: &WorkerId, caller: Option<IpAddr>) -> bool {
        let is_cut_off = |it| self.cut_off.contains(&(it, worker.clone()));
        !self.workers.contains_key(worker)
            || self.fault(worker) == WorkerFault::Unreachable
            || caller.is_some_and(is_cut_off)
    }
}

/// How long a call waits for an answer that does not come.
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
        let call = self.call_worker(&worker, op, self.caller);
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
        match tokio::time::timeout(wait, self.report_of(&worker, after, self.caller)).await {
            Ok(Some(result)) => result,
            Ok(None) | Err(_) => unreachable(Verdict::MayHaveRun),
        }
    }
}
