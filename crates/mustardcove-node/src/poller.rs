//! Polls the workers that the leader assigned to this process.
//!
//! Each worker has a tokio task that polls it. The worker holds a poll until a
//! run ends, so that the next step starts without delay; a minimum interval
//! bounds the number of polls. Orders are sent concurrently with the polls.
//! Everything that workers answer goes to the leader in batches.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use mustardcove_adapter::workers::{PollAnswer, PollCall, PollFault, Target};
use mustardcove_core::{
    fleet::{
        id::{AssignmentNumber, BootMillis, Term},
        message::{
            FleetMessage, Order, PollResult, ReportRow, StartOrder, StartOutcome, WorkerContact,
            WorkerReport,
        },
        poller::{
            BUSY_POLL_WAIT_MS, IDLE_REPORT_INTERVAL_MS, KnownConnections, LeasePermission,
            LeaseStatus, MIN_POLL_INTERVAL_MS, NextPoll, PollWait, WorkerPoller, identity_poll,
            start_deadline,
        },
    },
    id::{FailureDomainId, WorkerId},
    time::Timestamp,
    verdict::Verdict,
};
use slog::{debug, info};
use tokio::sync::{Notify, mpsc};
use tokio_util::sync::{CancellationToken, DropGuard};

use crate::shared::{Shared, boot_now, lock};

/// How long a worker on which something runs holds a poll.
const BUSY_POLL_WAIT: Duration = Duration::from_millis(BUSY_POLL_WAIT_MS);
/// How long a worker on which nothing runs holds a poll.
const IDLE_POLL_WAIT: Duration = Duration::from_millis(2_000);
/// How long a worker holds a poll at most while the leader lacks the store: a
/// fraction of the time for which its answer permits anything.
const WITNESS_POLL_WAIT: Duration = Duration::from_millis(300);
/// Shortest time between the starts of two polls of a worker.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(MIN_POLL_INTERVAL_MS);
/// Shortest time for which reports are collected before they are sent; the
/// leader of a large fleet asks for a longer one.
const MIN_REPORT_DELAY: Duration = Duration::from_millis(8);
/// Time between two messages to the leader while there are no reports.
const IDLE_REPORT_INTERVAL: Duration = Duration::from_millis(IDLE_REPORT_INTERVAL_MS);

/// Attempts to send a start over a connection that leads to the incarnation that
/// answered. Each opens one; other calls may take it first.
const START_ATTEMPTS: u32 = 6;

/// Instructions that the leader sends to this process.
#[derive(Debug)]
pub enum PollerInput {
    /// The workers to poll from now on.
    Assign {
        /// The leader's term.
        term: Term,
        /// All workers of this process; others are no longer polled.
        workers: Vec<WorkerContact>,
    },
    /// Orders to send to workers.
    Orders {
        /// The leader's term.
        term: Term,
        /// The newest report that the leader had handled.
        handled: Option<BootMillis>,
        /// What the leader permits.
        permission: LeasePermission,
        /// The orders, each with its worker.
        orders: Vec<(WorkerId, Order)>,
    },
}

/// A worker that this process polls.
#[derive(Debug)]
struct PolledWorker {
    shared: Arc<Shared>,
    target: Target,
    assignment: AssignmentNumber,
    /// Its failure domain, which its entry may change.
    domain: Mutex<FailureDomainId>,
    state: Mutex<WorkerPoller>,
    /// Ends the pause before the next poll of a worker without runs.
    order_received: Notify,
    /// Ends a poll that an earlier incarnation was asked for.
    restart_noticed: Notify,
    reports: mpsc::UnboundedSender<Reported>,
}

/// A report on a worker.
#[derive(Debug)]
struct Reported {
    term: Term,
    row: ReportRow,
}

/// What the answer to a poll counts from.
#[derive(Clone, Copy, Debug)]
struct Asked {
    at: Timestamp,
    /// When the leader sent the last heartbeat that had arrived, on its clock.
    after: Option<Timestamp>,
}

struct AssignedWorker {
    worker: Arc<PolledWorker>,
    _stop: DropGuard,
}

/// Handles the leader's messages until the process ends.
pub async fn run(shared: Arc<Shared>, mut inputs: mpsc::Receiver<PollerInput>) {
    let (reports, collected) = mpsc::unbounded_channel();
    let reporter = tokio::spawn(send_reports(shared.clone(), collected));
    let mut term = Term::default();
    let mut assigned: BTreeMap<WorkerId, AssignedWorker> = BTreeMap::new();
    while let Some(input) = inputs.recv().await {
        match input {
            PollerInput::Assign { term: new, workers } if term <= new => {
                if term < new {
                    retire(&shared, term, new, std::mem::take(&mut assigned));
                    term = new;
                }
                assign(&shared, term, workers, &reports, &mut assigned);
            }
            PollerInput::Orders { term: of, handled, permission, orders } if of == term => {
                let start_by = start_deadline(handled, permission, boot_now());
                for (worker, order) in orders {
                    match assigned.get(&worker) {
                        Some(it) => PolledWorker::execute(&it.worker, order, start_by),
                        None => debug!(shared.log, "order for a worker of another process";
                            "worker" => %worker),
                    }
                }
            }
            PollerInput::Assign { .. } | PollerInput::Orders { .. } => {}
        }
    }
    reporter.abort();
}

/// Ends pollers of the term `earlier`, and tells the leader by when the leases have
/// expired that they granted. Starts in progress grant no more.
fn retire(
    shared: &Shared,
    earlier: Term,
    term: Term,
    assigned: BTreeMap<WorkerId, AssignedWorker>,
) {
    if assigned.is_empty() {
        return;
    }
    let retire = |(id, it): (WorkerId, AssignedWorker)| {
        (id, it.worker.assignment, it.worker.state().retire())
    };
    let workers = assigned.into_iter().map(retire).collect();
    let (sent_at, stepped_down_at) = (shared.now(), shared.stepped_down_at(earlier));
    shared.send_to_leader(FleetMessage::EarlierLeases {
        term,
        earlier,
        stepped_down_at,
        sent_at,
        workers,
    });
}

fn assign(
    shared: &Arc<Shared>,
    term: Term,
    workers: Vec<WorkerContact>,
    reports: &mpsc::UnboundedSender<Reported>,
    assigned: &mut BTreeMap<WorkerId, AssignedWorker>,
) {
    let is_gone = |worker: &WorkerId, it: &mut AssignedWorker| {
        let is_same = |new: &WorkerContact| new.assignment == it.worker.assignment;
        !workers.iter().any(|new| new.worker == *worker && is_same(new))
    };
    let gone: BTreeMap<_, _> = assigned.extract_if(.., is_gone).collect();
    let (removed, mut added) = (gone.len(), 0);
    retire(shared, term, term, gone);
    for contact in workers {
        if let Some(it) = assigned.get(&contact.worker) {
            it.worker.state().confirm(contact.confirmed_since);
            *lock(&it.worker.domain) = contact.domain;
            continue;
        }
        added += 1;
        let id = contact.worker.clone();
        let target = Target { worker: contact.worker, address: contact.address, term };
        let worker = Arc::new(PolledWorker {
            shared: shared.clone(),
            target,
            assignment: contact.assignment,
            domain: Mutex::new(contact.domain),
            state: Mutex::new(WorkerPoller::default()),
            order_received: Notify::new(),
            restart_noticed: Notify::new(),
            reports: reports.clone(),
        });
        let stop = CancellationToken::new();
        tokio::spawn({
            let worker = worker.clone();
            let stop = stop.clone();
            async move { stop.run_until_cancelled(worker.poll_loop()).await }
        });
        assigned.insert(id, AssignedWorker { worker, _stop: stop.drop_guard() });
    }
    if 0 < removed + added {
        info!(shared.log, "workers assigned"; "term" => %term, "workers" => assigned.len(),
            "begun" => added, "gone" => removed);
    }
}

impl PolledWorker {
    fn state(&self) -> MutexGuard<'_, WorkerPoller> {
        lock(&self.state)
    }

    fn send_report(&self, report: WorkerReport) {
        self.send_report_after(report, None);
    }

    /// Sends a report on a call that was made after a heartbeat.
    fn send_report_after(&self, report: WorkerReport, asked_after: Option<Timestamp>) {
        let (worker, assignment) = (self.target.worker.clone(), self.assignment);
        let row = ReportRow { worker, assignment, asked_after, report };
        // The reporter ends only with the process.
        let _ = self.reports.send(Reported { term: self.target.term, row });
    }

    /// Returns what a poll that is made now counts from.
    fn asked(&self) -> Asked {
        Asked { at: self.shared.now(), after: self.shared.heartbeat_sent_at(self.target.term) }
    }

    async fn poll_loop(&self) {
        loop {
            let started = tokio::time::Instant::now();
            let is_busy = self.state().is_busy();
            let is_answered = self.poll().await;
            if !is_answered {
                let pause_ms = self.state().failed_poll_pause_ms();
                tokio::time::sleep(Duration::from_millis(pause_ms)).await;
            } else if is_busy {
                tokio::time::sleep_until(started + MIN_POLL_INTERVAL).await;
            } else {
                let pause = tokio::time::sleep_until(started + MIN_POLL_INTERVAL);
                tokio::select! {
                    () = pause => {}
                    () = self.order_received.notified() => {}
                }
            }
        }
    }

    /// Polls the worker once. Returns whether it answered, which it also has if a
    /// start found out meanwhile that it has restarted.
    async fn poll(&self) -> bool {
        tokio::select! {
            biased;
            () = self.restart_noticed.notified() => true,
            is_answered = self.poll_incarnation() => is_answered,
        }
    }

    async fn poll_incarnation(&self) -> bool {
        // The permission is looked at last: a process that stands still in between
        // grants no lease that begins after its end.
        let asked = self.asked();
        let may_extend = self.shared.may_extend_leases(self.target.term);
        let (next, known) = {
            let mut state = self.state();
            (state.next_poll(may_extend, asked.at, boot_now()), state.connections())
        };
        let longest = if self.shared.needs_witnesses() { WITNESS_POLL_WAIT } else { Duration::MAX };
        let call = |poll| poll_call(poll, known.clone(), longest);
        let mut answer = self.shared.workers.poll(&self.target, call(next)).await;
        let is_unsent =
            |it: &PollFault| it.verdict == Verdict::NotRun && !it.is_fenced && !it.is_replaced;
        let second = match &answer {
            Err(fault) if fault.needs_older_connection => self.state().without_binding(),
            Err(fault) if is_unsent(fault) && next.send_by <= self.shared.now() => {
                self.state().without_acknowledgement(next)
            }
            _ => None,
        };
        if let Some(second) = second {
            answer = self.shared.workers.poll(&self.target, call(second)).await;
        }
        let now = self.shared.now();
        self.shared.metrics.poll(answer.is_ok());
        if !self.state().is_polled() {
            // A start has found out that the worker has restarted.
            return true;
        }
        match answer {
            Ok(answer) => {
                let lease = record_answer(&mut self.state(), &answer, now);
                self.send_answer(answer, lease, asked);
                true
            }
            Err(fault) => {
                self.poll_failed(&fault);
                false
            }
        }
    }

    /// Reports an answer to the leader.
    fn send_answer(&self, answer: PollAnswer, lease: LeaseStatus, asked: Asked) {
        let report = WorkerReport::Polled(PollResult {
            incarnation: answer.incarnation,
            leases_expire_by: lease.leases_expire_by,
            responsive_since: lease.responsive_since,
            asked_at: asked.at,
            running: answer.running,
            ended: answer.ended,
            may_lack_ends: answer.may_lack_ends,
        });
        self.send_report_after(report, asked.after);
    }

    fn poll_failed(&self, fault: &PollFault) {
        let mut state = self.state();
        let report = if fault.is_replaced {
            state.poll_misdirected()
        } else if fault.is_fenced {
            state.poll_failed();
            WorkerReport::Fenced
        } else {
            state.poll_failed()
        };
        if state.has_fallen_silent() {
            info!(self.shared.log, "worker does not answer"; "worker" => %self.target.worker,
                "error" => %fault);
        } else {
            debug!(self.shared.log, "poll failed"; "worker" => %self.target.worker,
                "error" => %fault);
        }
        drop(state);
        self.send_report(report);
    }

    fn execute(worker: &Arc<PolledWorker>, order: Order, start_by: Option<BootMillis>) {
        match order {
            Order::Start(order) => {
                worker.order_received.notify_one();
                let worker = worker.clone();
                tokio::spawn(async move { worker.start(order, start_by).await });
            }
            Order::Stop { task, run } => {
                let worker = worker.clone();
                tokio::spawn(async move {
                    let is_confirmed = worker.shared.workers.stop(&worker.target, task, run).await;
                    if is_confirmed {
                        worker.state().stop_confirmed();
                    }
                    worker.shared.metrics.order("stop", outcome_label(is_confirmed));
                    let answered_at = worker.shared.now();
                    let report = WorkerReport::Stop { task, run, is_confirmed, answered_at };
                    worker.send_report(report);
                });
            }
            Order::Pace { task, run, percent } => {
                let worker = worker.clone();
                tokio::spawn(async move {
                    let workers = &worker.shared.workers;
                    let is_confirmed = workers.pace(&worker.target, task, run, percent).await;
                    worker.shared.metrics.order("pace", outcome_label(is_confirmed));
                    if !is_confirmed {
                        worker.send_report(WorkerReport::PaceUnconfirmed { task, run });
                    }
                });
            }
            Order::AcknowledgeEnds { incarnation, through } => {
                worker.state().acknowledge_ends(incarnation, through);
            }
        }
    }

    async fn start(&self, order: StartOrder, deadline: Option<BootMillis>) {
        let mut outcome = match deadline {
            Some(deadline) => self.start_once(&order, deadline).await,
            None => StartOutcome::TooLate,
        };
        // A start is idempotent: a run that exists already is left as it is.
        if let Some(deadline) = deadline.filter(|it| boot_now() < *it)
            && outcome == StartOutcome::MayHaveRun
        {
            let second = self.start_once(&order, deadline).await;
            outcome = StartOutcome::after_unanswered(second);
        }
        if outcome != StartOutcome::MayHaveRun {
            self.state().start_answered();
        }
        self.shared.metrics.order("start", outcome.into());
        let (task, run, answered_at) = (order.task, order.run, self.shared.now());
        self.send_report(WorkerReport::Start { task, run, outcome, answered_at });
    }

    async fn start_once(&self, order: &StartOrder, deadline: BootMillis) -> StartOutcome {
        let now = self.shared.now();
        let left_ms = deadline.ms_since(boot_now());
        if left_ms == 0 {
            return StartOutcome::TooLate;
        }
        let not_after = now.plus_ms(left_ms);
        for _ in 0..START_ATTEMPTS {
            if let Some(outcome) = self.send_start(order, not_after).await {
                return outcome;
            }
            if let Err(outcome) = self.check_incarnation().await {
                return outcome;
            }
        }
        StartOutcome::TooLate
    }

    /// Sends a start over a connection that leads to the incarnation that answered
    /// last; `None` if there is no such connection. Sends nothing to an evacuated
    /// domain, of which this process may know before the leader does.
    async fn send_start(&self, order: &StartOrder, not_after: Timestamp) -> Option<StartOutcome> {
        if self.shared.is_evacuated(&lock(&self.domain)) {
            return Some(StartOutcome::Evacuated);
        }
        let (lease_until, connections) = {
            let mut state = self.state();
            (state.grant_start_lease(self.shared.now()), state.connections())
        };
        let Some(lease_until) = lease_until else { return Some(StartOutcome::NotRun) };
        let workers = &self.shared.workers;
        workers.start(&self.target, order, lease_until, not_after, connections).await
    }

    /// Asks over a new connection whether the incarnation is there that answered
    /// the last poll. If it is another, the answer takes the place of the poll in
    /// flight, which only the earlier one could answer.
    ///
    /// # Errors
    ///
    /// Returns the outcome of a start that is not sent for that reason.
    async fn check_incarnation(&self) -> Result<(), StartOutcome> {
        let (asked, asked_boot) = (self.asked(), boot_now());
        let known = self.state().incarnation();
        let poll = poll_call(identity_poll(asked.at), KnownConnections::default(), Duration::ZERO);
        let answer = self.shared.workers.poll(&self.target, poll).await;
        self.shared.metrics.poll(answer.is_ok());
        let answer = answer.map_err(|_| StartOutcome::NotRun)?;
        let lease = {
            let mut state = self.state();
            if state.answered_over(answer.incarnation, answer.connections) {
                return Ok(());
            }
            if !state.asked_beside(known, asked.at, asked_boot) {
                return Err(StartOutcome::TooLate);
            }
            let lease = record_answer(&mut state, &answer, self.shared.now());
            self.restart_noticed.notify_waiters();
            lease
        };
        info!(self.shared.log, "worker has restarted, start withheld";
            "worker" => %self.target.worker, "incarnation" => %answer.incarnation);
        self.send_answer(answer, lease, asked);
        Err(StartOutcome::Restarted)
    }
}

/// Records an answered poll, and returns the lease status to report.
fn record_answer(state: &mut WorkerPoller, answer: &PollAnswer, now: Timestamp) -> LeaseStatus {
    let has_runs = !answer.running.is_empty();
    let lease = state.poll_answered(answer.incarnation, answer.clock_ms, has_runs, now);
    state.answered_over(answer.incarnation, answer.connections);
    if answer.may_lack_ends {
        state.ends_cut_off();
    }
    lease
}

fn poll_call(poll: NextPoll, known: KnownConnections, longest: Duration) -> PollCall {
    let wait = match poll.wait {
        PollWait::None => Duration::ZERO,
        PollWait::Busy => BUSY_POLL_WAIT,
        PollWait::Idle => IDLE_POLL_WAIT,
    };
    PollCall {
        lease_until: poll.lease_until,
        acknowledge_through: poll.acknowledge_through,
        wait: wait.min(longest),
        not_after: poll.send_by,
        connections: poll.is_bound().then_some(known),
    }
}

fn outcome_label(is_confirmed: bool) -> &'static str {
    if is_confirmed { "confirmed" } else { "no_answer" }
}

/// Sends the collected reports to the leader.
async fn send_reports(shared: Arc<Shared>, mut collected: mpsc::UnboundedReceiver<Reported>) {
    loop {
        let mut reports = Vec::new();
        tokio::select! {
            first = collected.recv() => {
                let Some(first) = first else { return };
                reports.push(first);
                let delay = Duration::from_millis(shared.report_delay_ms()).max(MIN_REPORT_DELAY);
                tokio::time::sleep(delay).await;
                while let Ok(next) = collected.try_recv() {
                    reports.push(next);
                }
            }
            () = tokio::time::sleep(IDLE_REPORT_INTERVAL) => {}
        }
        let term = shared.leadership.borrow().term;
        // Answers to calls of an earlier term, above all refusals because of
        // that term, do not apply to the current one.
        let reports = reports.into_iter().filter(|it| it.term == term).map(|it| it.row);
        let reports = reports.collect();
        let reaches_store = shared.reaches_store();
        shared.send_to_leader(FleetMessage::Report {
            term,
            sent_at: shared.now(),
            sent_boot_ms: boot_now(),
            heartbeat_at: shared.heartbeat_sent_at(term),
            reaches_store,
            evacuations: shared.unreported_evacuations(),
            reports,
            places: shared.take_unreported_places(),
        });
    }
}
