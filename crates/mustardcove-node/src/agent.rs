//! Calls the workers that the leader assigned to this process.
//!
//! Each worker has a task that looks at it: the worker holds the call until a
//! run ends, so the next step starts at once, and a pause between two calls
//! bounds their number. Orders are carried out beside it. Everything that
//! workers say goes to the leader in batches.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use mustardcove_adapter::workers::{LookCall, Target};
use mustardcove_core::{
    fleet::{
        id::Term,
        message::{
            FleetMessage, Order, PollResult, StartOrder, StartOutcome, WorkerContact, WorkerReport,
        },
        poller::{MIN_POLL_INTERVAL_MS, ORDER_VALID_MS, PollWait, WorkerPoller},
    },
    id::WorkerId,
    time::Timestamp,
};
use slog::{debug, info};
use tokio::sync::{Notify, mpsc};
use tokio_util::sync::{CancellationToken, DropGuard};

use crate::shared::{Shared, boot_ms, lock};

/// How long a worker on which something runs holds a look. It also renews the
/// lease, which lasts several times longer.
const BUSY_WAIT: Duration = Duration::from_millis(800);
/// How long a worker on which nothing runs holds a look.
const IDLE_WAIT: Duration = Duration::from_millis(2_000);
/// Shortest time between the starts of two looks at a worker.
const LOOK_GAP: Duration = Duration::from_millis(MIN_POLL_INTERVAL_MS);
/// Pause after a look that failed.
const FAILED_LOOK_PAUSE: Duration = Duration::from_millis(250);
/// Time for which reports are collected before they are sent.
const REPORT_DELAY: Duration = Duration::from_millis(8);
/// Time between two reports when there is nothing to tell.
const IDLE_REPORT: Duration = Duration::from_millis(400);

/// What the leader tells this process to do.
#[derive(Debug)]
pub enum AgentInput {
    /// The workers to call from now on.
    Assign {
        /// The leader's term.
        term: Term,
        /// All of them.
        workers: Vec<WorkerContact>,
    },
    /// Calls to make.
    Orders {
        /// The leader's term.
        term: Term,
        /// The orders.
        orders: Vec<(WorkerId, Order)>,
    },
}

/// The caller of one worker.
#[derive(Debug)]
struct Caller {
    shared: Arc<Shared>,
    target: Target,
    calls: Mutex<WorkerPoller>,
    /// Wakes the look that a worker without runs is not asked for yet.
    ordered: Notify,
    reports: mpsc::UnboundedSender<(Term, WorkerId, WorkerReport)>,
}

struct Assigned {
    caller: Arc<Caller>,
    _stop: DropGuard,
}

/// Carries out what the leader wants until the process ends.
pub async fn run(shared: Arc<Shared>, mut inputs: mpsc::Receiver<AgentInput>) {
    let (reports, collected) = mpsc::unbounded_channel();
    let reporter = tokio::spawn(report(shared.clone(), collected));
    let mut term = Term::default();
    let mut assigned: BTreeMap<WorkerId, Assigned> = BTreeMap::new();
    while let Some(input) = inputs.recv().await {
        match input {
            AgentInput::Assign { term: new, workers } if term <= new => {
                if term < new {
                    term = new;
                    assigned.clear();
                }
                assign(&shared, term, workers, &reports, &mut assigned);
            }
            AgentInput::Orders { term: of, orders } if of == term => {
                for (worker, order) in orders {
                    match assigned.get(&worker) {
                        Some(it) => Caller::carry_out(&it.caller, order),
                        None => debug!(shared.log, "order for a worker of another process";
                            "worker" => %worker),
                    }
                }
            }
            AgentInput::Assign { .. } | AgentInput::Orders { .. } => {}
        }
    }
    reporter.abort();
}

fn assign(
    shared: &Arc<Shared>,
    term: Term,
    workers: Vec<WorkerContact>,
    reports: &mpsc::UnboundedSender<(Term, WorkerId, WorkerReport)>,
    assigned: &mut BTreeMap<WorkerId, Assigned>,
) {
    let before = assigned.len();
    let kept = |worker: &WorkerId, it: &mut Assigned| {
        workers.iter().any(|new| new.worker == *worker && new.address == it.caller.target.address)
    };
    assigned.retain(kept);
    let (gone, mut begun) = (before - assigned.len(), 0);
    for contact in workers {
        if let Some(it) = assigned.get(&contact.worker) {
            it.caller.calls().confirm(contact.confirmed);
            continue;
        }
        begun += 1;
        let worker = contact.worker.clone();
        let target = Target { worker: contact.worker, address: contact.address, term };
        let caller = Arc::new(Caller {
            shared: shared.clone(),
            target,
            calls: Mutex::new(WorkerPoller::default()),
            ordered: Notify::new(),
            reports: reports.clone(),
        });
        let stop = CancellationToken::new();
        tokio::spawn({
            let caller = caller.clone();
            let stop = stop.clone();
            async move { stop.run_until_cancelled(caller.look_on()).await }
        });
        assigned.insert(worker, Assigned { caller, _stop: stop.drop_guard() });
    }
    if 0 < gone + begun {
        info!(shared.log, "workers assigned"; "term" => %term, "workers" => assigned.len(),
            "begun" => begun, "gone" => gone);
    }
}

impl Caller {
    fn calls(&self) -> MutexGuard<'_, WorkerPoller> {
        lock(&self.calls)
    }

    fn tell(&self, report: WorkerReport) {
        // The reporter ends only with the process.
        let _ = self.reports.send((self.target.term, self.target.worker.clone(), report));
    }

    async fn look_on(&self) {
        loop {
            let started = tokio::time::Instant::now();
            let is_busy = self.calls().is_busy();
            let is_answered = self.look().await;
            if !is_answered {
                tokio::time::sleep(FAILED_LOOK_PAUSE).await;
            } else if is_busy {
                tokio::time::sleep_until(started + LOOK_GAP).await;
            } else {
                let pause = tokio::time::sleep_until(started + LOOK_GAP);
                tokio::select! {
                    () = pause => {}
                    () = self.ordered.notified() => {}
                }
            }
        }
    }

    /// Looks at the worker once. Returns whether it answered.
    async fn look(&self) -> bool {
        let may_extend = self.shared.may_extend_leases();
        let asked_at = self.shared.now();
        let next = self.calls().next_poll(may_extend, asked_at);
        let call = LookCall {
            lease_until: next.lease_until,
            forget_through: next.acknowledge_through,
            wait: match next.wait {
                PollWait::None => Duration::ZERO,
                PollWait::Busy => BUSY_WAIT,
                PollWait::Idle => IDLE_WAIT,
            },
            not_after: asked_at.plus_ms(ORDER_VALID_MS),
        };
        let listed = self.shared.workers.look(&self.target, call).await;
        let now = self.shared.now();
        self.shared.metrics.look(listed.is_ok());
        match listed {
            Ok(listed) => {
                let has_runs = !listed.running.is_empty();
                let answered =
                    self.calls().poll_answered(listed.life, listed.clock_ms, has_runs, now);
                self.tell(WorkerReport::Polled(PollResult {
                    incarnation: listed.life,
                    leases_expire_by: answered.leases_expire_by,
                    responsive_since: answered.responsive_since,
                    running: listed.running,
                    ended: listed.ended,
                }));
                true
            }
            Err(fault) => {
                let missed = self.calls().poll_failed();
                debug!(self.shared.log, "look failed"; "worker" => %self.target.worker,
                    "error" => %fault);
                self.tell(if fault.is_fenced { WorkerReport::Fenced } else { missed });
                false
            }
        }
    }

    fn carry_out(caller: &Arc<Caller>, order: Order) {
        match order {
            Order::Start(order) => {
                caller.ordered.notify_one();
                let caller = caller.clone();
                tokio::spawn(async move { caller.start(order).await });
            }
            Order::Stop { task, run } => {
                let caller = caller.clone();
                tokio::spawn(async move {
                    let is_confirmed = caller.shared.workers.stop(&caller.target, task, run).await;
                    caller.shared.metrics.order("stop", confirmed(is_confirmed));
                    caller.tell(WorkerReport::Stop { task, run, is_confirmed });
                });
            }
            Order::Pace { task, run, percent } => {
                let caller = caller.clone();
                tokio::spawn(async move {
                    let workers = &caller.shared.workers;
                    let is_confirmed = workers.pace(&caller.target, task, run, percent).await;
                    caller.shared.metrics.order("pace", confirmed(is_confirmed));
                    if !is_confirmed {
                        caller.tell(WorkerReport::PaceUnconfirmed { task, run });
                    }
                });
            }
            Order::AcknowledgeEnds { incarnation, through } => {
                caller.calls().acknowledge_ends(incarnation, through);
            }
        }
    }

    async fn start(&self, order: StartOrder) {
        let now = self.shared.now();
        let boot_deadline = boot_ms() + ORDER_VALID_MS;
        let not_after = now.plus_ms(ORDER_VALID_MS);
        let mut outcome = self.start_once(&order, not_after).await;
        // The same start may be sent twice: a run that is there stays as it is.
        if outcome == StartOutcome::MayHaveRun && boot_ms() < boot_deadline {
            outcome = match self.start_once(&order, not_after).await {
                StartOutcome::NotRun => StartOutcome::MayHaveRun,
                second => second,
            };
        }
        self.shared.metrics.order("start", outcome.into());
        self.tell(WorkerReport::Start { task: order.task, run: order.run, outcome });
    }

    async fn start_once(&self, order: &StartOrder, not_after: Timestamp) -> StartOutcome {
        let Some(lease_until) = self.calls().grant_start_lease(self.shared.now()) else {
            return StartOutcome::NotRun;
        };
        self.shared.workers.start(&self.target, order, lease_until, not_after).await
    }
}

fn confirmed(is_confirmed: bool) -> &'static str {
    if is_confirmed { "confirmed" } else { "no_answer" }
}

/// Sends what was collected to the leader.
async fn report(
    shared: Arc<Shared>,
    mut collected: mpsc::UnboundedReceiver<(Term, WorkerId, WorkerReport)>,
) {
    loop {
        let mut reports = Vec::new();
        tokio::select! {
            first = collected.recv() => {
                let Some(first) = first else { return };
                reports.push(first);
                tokio::time::sleep(REPORT_DELAY).await;
                while let Ok(next) = collected.try_recv() {
                    reports.push(next);
                }
            }
            () = tokio::time::sleep(IDLE_REPORT) => {}
        }
        let term = shared.leadership.borrow().term;
        // What a worker told a caller of an earlier term, a refusal for its
        // sake above all, says nothing about this one.
        let reports = reports.into_iter().filter(|it| it.0 == term).map(|it| (it.1, it.2));
        let reports = reports.collect();
        let reaches_store = shared.reaches_store();
        let sent_at = shared.now();
        shared.send_to_leader(FleetMessage::Report { term, sent_at, reaches_store, reports });
    }
}
