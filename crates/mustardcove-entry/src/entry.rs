//! State of an entry process, shared by all of its requests.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, MutexGuard, RwLock,
        atomic::{AtomicBool, Ordering},
    },
};

use mustardcove_core::{
    agreement::Agreement,
    class::Class,
    id::{MemberId, ProcessId, ServiceId, WorkerId},
    limit::{EntryShare, MemberLimit, ShedClass, Shedder},
    retry::{FailedAttempt, RetryBudget, RetryDecision, RetryPolicy},
    time::Timestamp,
    verdict::{Refusal, RefusalReason},
};
use mustardcove_platform::Clock;
use mustardcove_runtime::metrics::Metrics as RuntimeMetrics;
use slog::Logger;
use tokio::sync::mpsc;
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use crate::{
    auth::TokenTable, config::EntryConfig, dispatch_table::DispatchTable, metrics::Metrics,
    pool::ServicePool, request_id::RequestTags,
};

/// Capacity of the channel that reports connections closed by upstreams.
const CLOSED_CONNECTIONS_CAPACITY: usize = 1_024;

/// Retry delay for a member at its request limit, in milliseconds.
const OVER_CAP_RETRY_AFTER_MS: u64 = 250;

/// The agreement in force, with the token table built from it.
pub struct ActiveAgreement {
    /// The agreement.
    pub agreement: Arc<Agreement>,
    /// The members' tokens.
    pub tokens: TokenTable,
}

struct Admission {
    shedder: Shedder,
    share: EntryShare,
    members: HashMap<MemberId, MemberLimit>,
}

struct Retries {
    policy: RetryPolicy,
    budgets: HashMap<MemberId, RetryBudget>,
}

/// State of an entry process.
pub struct Entry<C> {
    cfg: EntryConfig,
    clock: Clock,
    log: Logger,
    shards: C,
    tags: RequestTags,
    active_agreement: RwLock<Option<Arc<ActiveAgreement>>>,
    pools: RwLock<HashMap<ServiceId, Arc<ServicePool>>>,
    admission: Mutex<Admission>,
    retries: Mutex<Retries>,
    dispatch_table: DispatchTable,
    list_received: AtomicBool,
    draining: CancellationToken,
    tasks: TaskTracker,
    metrics: Metrics,
    closed_connections: mpsc::Sender<WorkerId>,
}

impl<C> Entry<C> {
    /// Returns the state of a process, and a receiver that yields the worker of
    /// each upstream that closed a connection.
    pub fn new(
        cfg: EntryConfig,
        clock: Clock,
        log: Logger,
        shards: C,
        metrics: RuntimeMetrics,
    ) -> (Arc<Entry<C>>, mpsc::Receiver<WorkerId>) {
        let (closed_connections, reports) = mpsc::channel(CLOSED_CONNECTIONS_CAPACITY);
        let admission = Admission {
            shedder: Shedder::new(cfg.max_requests as u64, cfg.seed),
            share: EntryShare::new(cfg.process.clone(), cfg.share_hold_ms),
            members: HashMap::new(),
        };
        let retries = Retries { policy: RetryPolicy::new(cfg.seed), budgets: HashMap::new() };
        let entry = Entry {
            tags: RequestTags::new(cfg.process.clone()),
            cfg,
            clock,
            log,
            shards,
            active_agreement: RwLock::new(None),
            pools: RwLock::new(HashMap::new()),
            admission: Mutex::new(admission),
            retries: Mutex::new(retries),
            dispatch_table: DispatchTable::default(),
            list_received: AtomicBool::new(false),
            draining: CancellationToken::new(),
            tasks: TaskTracker::new(),
            metrics: Metrics::new(metrics),
            closed_connections,
        };
        (Arc::new(entry), reports)
    }

    /// Returns the configuration.
    pub fn cfg(&self) -> &EntryConfig {
        &self.cfg
    }

    /// Returns the clock.
    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// Returns the logger.
    pub fn log(&self) -> &Logger {
        &self.log
    }

    /// Returns the client of the shards.
    pub fn shards(&self) -> &C {
        &self.shards
    }

    /// Returns the source of request tags.
    pub fn tags(&self) -> &RequestTags {
        &self.tags
    }

    /// Returns the table of dispatched guarded requests.
    pub fn dispatch_table(&self) -> &DispatchTable {
        &self.dispatch_table
    }

    /// Returns the metrics.
    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// Returns the tracker of tasks that must end before the process exits.
    pub fn tasks(&self) -> &TaskTracker {
        &self.tasks
    }

    /// Returns the token that is cancelled when the process drains.
    pub fn draining(&self) -> &CancellationToken {
        &self.draining
    }

    /// Returns the agreement in force, if one is.
    pub fn active_agreement(&self) -> Option<Arc<ActiveAgreement>> {
        self.active_agreement.read().unwrap_or_else(|it| it.into_inner()).clone()
    }

    /// Puts an agreement in force and returns the pools of the services that it
    /// adds.
    ///
    /// Does nothing if the agreement in force has the same or a later revision.
    pub fn activate(&self, agreement: Arc<Agreement>) -> Vec<Arc<ServicePool>> {
        let tokens = TokenTable::new(&agreement);
        let mut active = self.active_agreement.write().unwrap_or_else(|it| it.into_inner());
        if active.as_ref().is_some_and(|it| agreement.revision <= it.agreement.revision) {
            return Vec::new();
        }
        let mut pools = self.pools.write().unwrap_or_else(|it| it.into_inner());
        let mut added = Vec::new();
        for id in agreement
            .services
            .keys()
            .filter(|it| !pools.contains_key(it))
            .cloned()
            .collect::<Vec<_>>()
        {
            let pool = ServicePool::new(
                id.clone(),
                &self.cfg,
                self.clock,
                self.closed_connections.clone(),
            );
            let pool = Arc::new(pool);
            added.push(Arc::clone(&pool));
            pools.insert(id, pool);
        }
        pools.retain(|id, _| agreement.services.contains_key(id));
        *active = Some(Arc::new(ActiveAgreement { agreement, tokens }));
        added
    }

    /// Returns the pool of a service's upstreams.
    pub fn pool(&self, service: &ServiceId) -> Option<Arc<ServicePool>> {
        self.pools.read().unwrap_or_else(|it| it.into_inner()).get(service).cloned()
    }

    /// Returns the pools of all services.
    pub fn pools(&self) -> Vec<Arc<ServicePool>> {
        self.pools.read().unwrap_or_else(|it| it.into_inner()).values().cloned().collect()
    }

    /// Records the live entry processes.
    pub fn set_entries(&self, live: &[ProcessId]) {
        let now = self.clock.now();
        self.admission().share.on_processes(now, live);
    }

    /// Records that an instance list was received.
    pub fn set_list_received(&self) {
        self.list_received.store(true, Ordering::Relaxed);
    }

    /// Reports whether the process accepts requests.
    pub fn is_ready(&self) -> bool {
        let mut admission = self.admission();
        admission.share.on_tick(self.clock.now());
        let share_ready = admission.share.is_ready();
        drop(admission);
        share_ready
            && !self.draining.is_cancelled()
            && self.list_received.load(Ordering::Relaxed)
            && self.active_agreement().is_some()
    }

    /// Admits a request to this process, or sheds it by class.
    ///
    /// # Errors
    ///
    /// Returns a refusal with verdict `NotRun`.
    pub fn admit(self: &Arc<Self>, class: ShedClass) -> Result<AdmissionPermit<C>, Refusal> {
        let now = self.clock.now();
        if self.draining.is_cancelled() {
            return Err(self.shutting_down(now));
        }
        self.admission().shedder.try_begin(now, class)?;
        Ok(AdmissionPermit { entry: Arc::clone(self), member: None })
    }

    /// Returns the refusal that a process gives while it shuts down.
    ///
    /// Another process can accept the request immediately, so `retry_at` is
    /// `now`.
    pub fn shutting_down(&self, now: Timestamp) -> Refusal {
        let detail = "the process is shutting down; ask again over a new connection";
        Refusal::not_run(RefusalReason::ShuttingDown, detail).with_retry_at(now)
    }

    /// Decides whether and when a failed attempt for a member is retried.
    pub fn decide_retry(&self, member: &MemberId, failed: FailedAttempt) -> RetryDecision {
        let now = self.clock.now();
        let mut retries = self.retries.lock().unwrap_or_else(|it| it.into_inner());
        let Retries { policy, budgets } = &mut *retries;
        let budget = budgets.entry(member.clone()).or_insert_with(|| RetryBudget::new(now));
        policy.decide(now, failed, budget)
    }

    /// Credits the retry budget of a member with a successful request.
    pub fn record_success(&self, member: &MemberId) {
        let mut retries = self.retries.lock().unwrap_or_else(|it| it.into_inner());
        match retries.budgets.get_mut(member) {
            Some(budget) => budget.on_success(),
            None => {
                let mut budget = RetryBudget::new(self.clock.now());
                budget.on_success();
                retries.budgets.insert(member.clone(), budget);
            }
        }
    }

    /// Returns the number of requests in flight, the number for each member, and
    /// this process's share of the members' limits in thousandths.
    pub fn load(&self) -> (u64, Vec<(MemberId, u32)>, u32) {
        let admission = self.admission();
        let members = admission.members.iter();
        let members = members.map(|(id, limit)| (id.clone(), limit.in_flight())).collect();
        (admission.shedder.in_flight(), members, admission.share.part_of(1_000))
    }

    fn admission(&self) -> MutexGuard<'_, Admission> {
        self.admission.lock().unwrap_or_else(|it| it.into_inner())
    }
}

/// Permit of an admitted request; dropping it releases the request's place in
/// the limits.
pub struct AdmissionPermit<C> {
    entry: Arc<Entry<C>>,
    member: Option<MemberId>,
}

impl<C> AdmissionPermit<C> {
    /// Counts the request against the limit of its member.
    ///
    /// # Errors
    ///
    /// Returns a refusal with verdict `NotRun` if the member has as many
    /// requests in flight as this process may hold for it.
    pub fn acquire_for_member(
        &mut self,
        member: &MemberId,
        max_requests: u32,
    ) -> Result<(), Refusal> {
        let now = self.entry.clock.now();
        let mut admission = self.entry.admission();
        admission.share.on_tick(now);
        let part = admission.share.part_of(max_requests);
        let limit = admission.members.entry(member.clone()).or_default();
        if limit.try_begin(part) {
            self.member = Some(member.clone());
            return Ok(());
        }
        let detail =
            format!("{} requests of the member in flight here, of {part}", limit.in_flight());
        let refusal = Refusal::not_run(RefusalReason::OverCap, detail);
        Err(refusal.with_retry_at(now.plus_ms(OVER_CAP_RETRY_AFTER_MS)))
    }
}

impl<C> Drop for AdmissionPermit<C> {
    fn drop(&mut self) {
        let mut admission = self.entry.admission();
        admission.shedder.end();
        let Some(member) = &self.member else { return };
        if let Some(limit) = admission.members.get_mut(member) {
            limit.end();
        }
    }
}

/// Returns the class if the member may use it.
///
/// # Errors
///
/// Returns a refusal with verdict `NotRun`. It is the same for a class of another
/// member and for one that does not exist, so that it reveals neither.
pub fn class_for<'a>(
    active: &'a ActiveAgreement,
    member: &MemberId,
    class: &str,
) -> Result<&'a Class, Refusal> {
    let not_available = || {
        let detail = "the class does not exist or is not open to the member";
        Refusal::not_run(RefusalReason::Invalid, detail)
    };
    let id = class.parse().map_err(|_| not_available())?;
    active.agreement.class_for(member, &id).ok_or_else(not_available)
}
