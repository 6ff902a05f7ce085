//! Pool of one service's upstreams, with the requests that wait for a slot.
//!
//! A request that finds no upstream with a free slot waits for a short, bounded
//! time. Refusing it immediately would turn every brief peak into refusals, and
//! waiting longer would only delay the refusal. Urgent requests are woken first.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use mustardcove_core::{
    id::{ServiceId, WorkerId},
    membership::{
        ConnectionSignal, Membership, MembershipAction, MembershipEvent, Upstream, UpstreamView,
    },
    routing::{RouteChoice, RouteOutcome, RouteView, Router, Tier},
    time::Timestamp,
    verdict::{Refusal, RefusalReason},
};
use mustardcove_platform::Clock;
use tokio::sync::{Notify, mpsc};

use crate::{
    config::EntryConfig,
    upstream::{AttemptEnd, UpstreamClient},
};

/// Longest interval at which a waiting request checks for a free slot, in
/// milliseconds; it bounds the delay after a lost wake-up.
const SLOT_CHECK_INTERVAL_MS: u64 = 500;

/// Retry delay for a refused caller, in milliseconds.
const RETRY_AFTER_MS: u64 = 500;

#[derive(Debug)]
struct State {
    membership: Membership,
    router: Router,
    clients: HashMap<WorkerId, Arc<UpstreamClient>>,
}

/// Upstreams of one service.
#[derive(Debug)]
pub struct ServicePool {
    service: ServiceId,
    state: Mutex<State>,
    /// Notified when a slot becomes free: `[urgent, other]` requests.
    slot_freed: [Notify; 2],
    waiting: [AtomicUsize; 2],
    max_queued: usize,
    queue_wait_ms: u64,
    /// Paths of service requests and of probes.
    paths: (String, String),
    max_answer_bytes: usize,
    clock: Clock,
    closed_connections: mpsc::Sender<WorkerId>,
}

/// A slot at an upstream, held for one attempt.
#[derive(Debug)]
pub struct UpstreamSlot {
    pool: Arc<ServicePool>,
    choice: RouteChoice,
    worker: WorkerId,
    client: Arc<UpstreamClient>,
    started: Instant,
    ended: bool,
}

impl ServicePool {
    /// Returns a pool without upstreams.
    ///
    /// The worker of an upstream that closes a connection is sent to
    /// `closed_connections`.
    pub fn new(
        service: ServiceId,
        cfg: &EntryConfig,
        clock: Clock,
        closed_connections: mpsc::Sender<WorkerId>,
    ) -> ServicePool {
        let state = State {
            membership: Membership::new(service.clone(), cfg.seed),
            router: Router::new(cfg.region.clone(), cfg.domain.clone(), cfg.seed),
            clients: HashMap::new(),
        };
        ServicePool {
            service,
            state: Mutex::new(state),
            slot_freed: [Notify::new(), Notify::new()],
            waiting: [AtomicUsize::new(0), AtomicUsize::new(0)],
            max_queued: cfg.max_queued,
            queue_wait_ms: cfg.queue_wait_ms,
            paths: (cfg.service_path.clone(), cfg.probe_path.clone()),
            max_answer_bytes: cfg.max_answer_bytes,
            clock,
            closed_connections,
        }
    }

    /// Returns the service.
    pub fn service(&self) -> &ServiceId {
        &self.service
    }

    /// Handles a membership event and returns the upstreams to probe.
    pub fn handle(&self, event: MembershipEvent) -> Vec<Upstream> {
        let now = self.clock.now();
        let mut actions = Vec::new();
        let mut probes = Vec::new();
        let has_room = {
            let mut state = self.lock();
            state.membership.handle(now, event, &mut actions);
            for action in actions {
                self.apply(&mut state, &action);
                if let MembershipAction::Probe(upstream) = action {
                    probes.push(upstream);
                }
            }
            state.router.has_room()
        };
        if has_room {
            self.slot_freed.iter().for_each(Notify::notify_waiters);
        }
        probes
    }

    /// Returns when the membership next needs a tick.
    pub fn next_deadline(&self) -> Option<Timestamp> {
        self.lock().membership.next_deadline()
    }

    /// Waits for a free slot at an upstream, not beyond `deadline`.
    ///
    /// # Errors
    ///
    /// Returns a refusal with verdict `NotRun` if no slot is free in time, and
    /// does so immediately if the remaining time is too short for an answer.
    pub async fn acquire(
        self: &Arc<Self>,
        urgent: bool,
        deadline: Timestamp,
        avoid: &[RouteChoice],
    ) -> Result<UpstreamSlot, Refusal> {
        if let Some(ticket) = self.choose(avoid) {
            return Ok(ticket);
        }
        let began = self.clock.now();
        let latest = deadline.minus_ms(self.expected_ms());
        let until = began.plus_ms(self.queue_wait_ms).min(latest);
        let class = usize::from(!urgent);
        let _waiting = WaitingGuard::start(&self.waiting[class]);
        let queued: usize = self.waiting.iter().map(|it| it.load(Ordering::Relaxed)).sum();
        if self.max_queued < queued && !urgent {
            return Err(self.refusal(began));
        }
        loop {
            let notified = self.slot_freed[class].notified();
            tokio::pin!(notified);
            // Registered before the check, so that a slot freed in between wakes
            // this request.
            notified.as_mut().enable();
            if let Some(ticket) = self.choose(avoid) {
                return Ok(ticket);
            }
            let now = self.clock.now();
            if until <= now {
                return Err(self.refusal(now));
            }
            let wait = self.clock.until(until).min(Duration::from_millis(SLOT_CHECK_INTERVAL_MS));
            let _ = tokio::time::timeout(wait, notified).await;
        }
    }

    /// Returns the average latency of an answer, in milliseconds.
    pub fn expected_ms(&self) -> u64 {
        self.lock().router.average_latency_us(Tier::Domain).div_ceil(1_000)
    }

    /// Returns the client of an upstream.
    pub fn client(&self, worker: &WorkerId) -> Option<Arc<UpstreamClient>> {
        self.lock().clients.get(worker).cloned()
    }

    /// Returns the signal that suspended an upstream, if it is suspended.
    pub fn suspension_signal(&self, worker: &WorkerId) -> Option<ConnectionSignal> {
        self.lock().membership.suspension_signal(worker)
    }

    /// Returns up to `limit` upstreams that have not answered for `age_ms`,
    /// longest first.
    pub fn without_recent_answer(&self, age_ms: u64, limit: usize) -> Vec<WorkerId> {
        let now = self.clock.now();
        self.lock().router.without_recent_answer(now, age_ms, limit)
    }

    /// Records that an upstream answered a probe.
    pub fn record_answer(&self, worker: &WorkerId) {
        let now = self.clock.now();
        self.lock().router.record_answer(now, worker);
    }

    /// Returns up to `limit` upstreams with their states and loads.
    pub fn views(&self, limit: usize) -> (Vec<UpstreamView>, Vec<RouteView>) {
        let state = self.lock();
        let upstreams = state.membership.iter().take(limit).collect();
        (upstreams, state.router.iter().take(limit).collect())
    }

    /// Returns the number of waiting requests as `[urgent, other]`.
    pub fn waiting(&self) -> [usize; 2] {
        [self.waiting[0].load(Ordering::Relaxed), self.waiting[1].load(Ordering::Relaxed)]
    }

    fn apply(&self, state: &mut State, action: &MembershipAction) {
        match action {
            MembershipAction::Add(upstream) => {
                let client = UpstreamClient::new(
                    upstream,
                    &self.paths.0,
                    &self.paths.1,
                    self.max_answer_bytes,
                    self.clock,
                    self.closed_connections.clone(),
                );
                // An upstream whose address does not form a URI is unreachable.
                let Ok(client) = client else { return };
                state.clients.insert(upstream.worker.clone(), Arc::new(client));
            }
            MembershipAction::Remove(worker) => {
                state.clients.remove(worker);
            }
            MembershipAction::Pause(_)
            | MembershipAction::Resume(_)
            | MembershipAction::Probe(_) => {}
        }
        state.router.apply(action);
    }

    fn choose(self: &Arc<Self>, avoid: &[RouteChoice]) -> Option<UpstreamSlot> {
        let now = self.clock.now();
        let mut state = self.lock();
        let choice = state.router.choose(now, avoid)?;
        let found = state.router.worker(choice).and_then(|worker| {
            let client = state.clients.get(worker)?;
            Some((worker.clone(), Arc::clone(client)))
        });
        let Some((worker, client)) = found else {
            state.router.end(now, choice, RouteOutcome::Failed);
            return None;
        };
        drop(state);
        let started = Instant::now();
        Some(UpstreamSlot { pool: Arc::clone(self), choice, worker, client, started, ended: false })
    }

    fn end(&self, choice: RouteChoice, outcome: RouteOutcome) {
        let now = self.clock.now();
        let has_room = {
            let mut state = self.lock();
            state.router.end(now, choice, outcome);
            state.router.has_room()
        };
        if !has_room {
            return;
        }
        let urgent = 0 < self.waiting[0].load(Ordering::Relaxed);
        self.slot_freed[usize::from(!urgent)].notify_one();
    }

    fn refusal(&self, now: Timestamp) -> Refusal {
        let accepting = self.lock().router.iter().any(|it| it.accepting);
        let (reason, detail) = if accepting {
            (RefusalReason::Overloaded, "every upstream is at its limit")
        } else {
            (RefusalReason::NoUpstream, "no upstream takes requests at the moment")
        };
        let detail = format!("{detail} (service {})", self.service);
        Refusal::not_run(reason, detail).with_retry_at(now.plus_ms(RETRY_AFTER_MS))
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|it| it.into_inner())
    }
}

/// Counts a request as waiting until the guard is dropped.
struct WaitingGuard<'a>(&'a AtomicUsize);

impl WaitingGuard<'_> {
    fn start(count: &AtomicUsize) -> WaitingGuard<'_> {
        count.fetch_add(1, Ordering::Relaxed);
        WaitingGuard(count)
    }
}

impl Drop for WaitingGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl UpstreamSlot {
    /// Returns the worker that runs the upstream.
    pub fn worker(&self) -> &WorkerId {
        &self.worker
    }

    /// Returns the routing choice, which later attempts can avoid.
    pub fn choice(&self) -> RouteChoice {
        self.choice
    }

    /// Returns the client of the upstream.
    pub fn client(&self) -> &UpstreamClient {
        &self.client
    }

    /// Releases the slot and records how the attempt ended.
    pub fn end(mut self, end: &AttemptEnd) {
        self.ended = true;
        if let Some(signal) = end.signal {
            self.report_signal(signal);
        }
        self.pool.end(self.choice, self.outcome(end));
    }

    fn report_signal(&self, signal: ConnectionSignal) {
        let event = MembershipEvent::Signal { worker: self.worker.clone(), signal };
        // A signal never starts a probe; only a tick does.
        self.pool.handle(event);
    }

    fn outcome(&self, end: &AttemptEnd) -> RouteOutcome {
        let elapsed_us = self.started.elapsed().as_micros() as u64;
        let error = match &end.result {
            Ok(_) => return RouteOutcome::Answered(elapsed_us),
            Err(error) => error,
        };
        if error.overloaded {
            return RouteOutcome::Refused;
        }
        match error.refusal.reason {
            // Missing a deadline that is shorter than the average latency says
            // nothing about the upstream.
            RefusalReason::DeadlineExceeded if elapsed_us / 1_000 < self.pool.expected_ms() => {
                RouteOutcome::Abandoned
            }
            RefusalReason::DeadlineExceeded => RouteOutcome::TimedOut(elapsed_us),
            RefusalReason::Internal => RouteOutcome::Abandoned,
            _ => RouteOutcome::Failed,
        }
    }
}

impl Drop for UpstreamSlot {
    fn drop(&mut self) {
        if !self.ended {
            self.pool.end(self.choice, RouteOutcome::Abandoned);
        }
    }
}
