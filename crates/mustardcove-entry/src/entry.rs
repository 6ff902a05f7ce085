//! State of an entry process, shared by its requests.

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
    auth::TokenTable, config::EntryConfig, flights::Flights, metrics::Metrics, pool::ServicePool,
    request_id::RequestTags,
};

/// Reports of closed connections that may wait to be handled.
const CLOSED_REPORTS: usize = 1_024;

/// Time after which a member at its limit may ask again, in milliseconds.
const OVER_CAP_RETRY_MS: u64 = 250;

/// An agreement with what requests need of it.
pub struct InForce {
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
    in_force: RwLock<Option<Arc<InForce>>>,
    pools: RwLock<HashMap<ServiceId, Arc<ServicePool>>>,
    admission: Mutex<Admission>,
    retries: Mutex<Retries>,
    flights: Flights,
    listed: AtomicBool,
    draining: CancellationToken,
    tasks: TaskTracker,
    metrics: Metrics,
    closed: mpsc::Sender<WorkerId>,
}

impl<C> Entry<C> {
    /// Returns the state of a process, and the channel that names upstreams
    /// which closed a connection.
    pub fn new(
        cfg: EntryConfig,
        clock: Clock,
        log: Logger,
        shards: C,
        metrics: RuntimeMetrics,
    ) -> (Arc<Entry<C>>, mpsc::Receiver<WorkerId>) {
        let (closed, reports) = mpsc::channel(CLOSED_REPORTS);
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
            in_force: RwLock::new(None),
            pools: RwLock::new(HashMap::new()),
            admission: Mutex::new(admission),
            retries: Mutex::new(retries),
            flights: Flights::default(),
            listed: AtomicBool::new(false),
            draining: CancellationToken::new(),
            tasks: TaskTracker::new(),
            metrics: Metrics::new(metrics),
            closed,
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

    /// Returns the guarded requests under way.
    pub fn flights(&self) -> &Flights {
        &self.flights
    }

    /// Returns the metrics.
    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// Returns the tasks that must end before the process does.
    pub fn tasks(&self) -> &TaskTracker {
        &self.tasks
    }

    /// Returns the token that is cancelled when the process drains.
    pub fn draining(&self) -> &CancellationToken {
        &self.draining
    }

    /// Returns the agreement in force, if one is.
    pub fn in_force(&self) -> Option<Arc<InForce>> {
        self.in_force.read().unwrap_or_else(|it| it.into_inner()).clone()
    }

    /// Puts an agreement in force unless one with a revision as high is, and
    /// returns the services that are new.
    pub fn put_in_force(&self, agreement: Arc<Agreement>) -> Vec<Arc<ServicePool>> {
        let tokens = TokenTable::new(&agreement);
        let mut in_force = self.in_force.write().unwrap_or_else(|it| it.into_inner());
        if in_force.as_ref().is_some_and(|it| agreement.revision <= it.agreement.revision) {
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
            let pool = ServicePool::new(id.clone(), &self.cfg, self.clock, self.closed.clone());
            let pool = Arc::new(pool);
            added.push(Arc::clone(&pool));
            pools.insert(id, pool);
        }
        pools.retain(|id, _| agreement.services.contains_key(id));
        *in_force = Some(Arc::new(InForce { agreement, tokens }));
        added
    }

    /// Returns the upstreams of a service.
    pub fn pool(&self, service: &ServiceId) -> Option<Arc<ServicePool>> {
        self.pools.read().unwrap_or_else(|it| it.into_inner()).get(service).cloned()
    }

    /// Returns the upstreams of every service.
    pub fn pools(&self) -> Vec<Arc<ServicePool>> {
        self.pools.read().unwrap_or_else(|it| it.into_inner()).values().cloned().collect()
    }

    /// Records the live entry processes.
    pub fn set_entries(&self, live: &[ProcessId]) {
        let now = self.clock.now();
        self.admission().share.on_processes(now, live);
    }

    /// Records that the instance list was fetched.
    pub fn set_listed(&self) {
        self.listed.store(true, Ordering::Relaxed);
    }

    /// Reports whether the process takes requests.
    pub fn is_ready(&self) -> bool {
        let mut admission = self.admission();
        admission.share.on_tick(self.clock.now());
        let shares = admission.share.is_ready();
        drop(admission);
        shares
            && !self.draining.is_cancelled()
            && self.listed.load(Ordering::Relaxed)
            && self.in_force().is_some()
    }

    /// Admits a request to this process, by class.
    ///
    /// # Errors
    ///
    /// Returns a refusal with verdict `NotRun`.
    pub fn admit(self: &Arc<Self>, class: ShedClass) -> Result<Admitted<C>, Refusal> {
        let now = self.clock.now();
        if self.draining.is_cancelled() {
            return Err(self.shutting_down(now));
        }
        self.admission().shedder.try_begin(now, class)?;
        Ok(Admitted { entry: Arc::clone(self), member: None })
    }

    /// Returns the refusal of a process that is shutting down.
    ///
    /// Another process takes the request at once, so the wait is the shortest.
    pub fn shutting_down(&self, now: Timestamp) -> Refusal {
        let detail = "the process is shutting down; ask again over a new connection";
        Refusal::not_run(RefusalReason::ShuttingDown, detail).with_retry_at(now)
    }

    /// Decides what follows a failed attempt of a member's request.
    pub fn decide_retry(&self, member: &MemberId, failed: FailedAttempt) -> RetryDecision {
        let now = self.clock.now();
        let mut retries = self.retries.lock().unwrap_or_else(|it| it.into_inner());
        let Retries { policy, budgets } = &mut *retries;
        let budget = budgets.entry(member.clone()).or_insert_with(|| RetryBudget::new(now));
        policy.decide(now, failed, budget)
    }

    /// Records a request of a member that succeeded.
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

    /// Returns the requests in flight, those of each member, and the part of
    /// a limit of 1,000 that this process may use.
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

/// A request that was admitted; dropping it makes room.
pub struct Admitted<C> {
    entry: Arc<Entry<C>>,
    member: Option<MemberId>,
}

impl<C> Admitted<C> {
    /// Counts the request against the limit of its member.
    ///
    /// # Errors
    ///
    /// Returns a refusal with verdict `NotRun` if the member has as many
    /// requests in flight as this process may hold for it.
    pub fn count_for(&mut self, member: &MemberId, max_requests: u32) -> Result<(), Refusal> {
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
        Err(refusal.with_retry_at(now.plus_ms(OVER_CAP_RETRY_MS)))
    }
}

impl<C> Drop for Admitted<C> {
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
/// Returns a refusal with verdict `NotRun` that does not tell a class of
/// another member from one that does not exist.
pub fn class_for<'a>(
    in_force: &'a InForce,
    member: &MemberId,
    class: &str,
) -> Result<&'a Class, Refusal> {
    let unknown = || {
        let detail = "the class does not exist or is not open to the member";
        Refusal::not_run(RefusalReason::Invalid, detail)
    };
    let id = class.parse().map_err(|_| unknown())?;
    in_force.agreement.class_for(member, &id).ok_or_else(unknown)
}
