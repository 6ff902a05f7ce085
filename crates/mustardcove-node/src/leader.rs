//! The part that leads: connects the plan with the store and the processes
//! that call workers.
//!
//! It reads what earlier leaders left, tells every process that it leads, and
//! from then on feeds the plan with reports and the store's changes. It lasts
//! until the leader record names another process, a worker has seen a higher
//! term, or the process stops.

mod callers;
mod recovery;
mod writing;

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use mustardcove_adapter::{
    discovery,
    store::{Event, Item, StoreFault, WORKERS_PREFIX, Watched},
};
use mustardcove_core::{
    fleet::{
        election::HEARTBEAT_INTERVAL_MS,
        id::{SubmissionId, Term},
        message::{FleetMessage, Heartbeat, Order, WorkerReport},
        planner::{Actions, Decision, Planner, TicketReply, TicketRequest, WorkerListing},
        poller::{LEADER_SILENT_MS, MAX_ORPHAN_LEASE_MS},
        record::{
            self, CANCEL_PREFIX, LEADER_KEY, LeaderRecord, ProgressRecord, SUBMISSION_PREFIX,
            WORK_PREFIX,
        },
        submission::Submission,
    },
    id::{ProcessId, WorkerId},
    time::Timestamp,
};
use slog::{debug, info, warn};
use tokio::{sync::mpsc, time::Instant};

use self::{callers::Callers, writing::Flushed};
use crate::{durable, shared::Shared};

/// Time for which changes are collected before the plan is worked on.
const PLAN_DELAY: Duration = Duration::from_millis(10);
/// Longest time between two times that the plan is worked on.
const PLAN_IDLE: Duration = Duration::from_millis(100);
/// Time between two readings of the workers' entries: several fit into the
/// time in which a leaving worker must get no more work.
const DISCOVERY_INTERVAL: Duration = Duration::from_millis(600);
/// How long the store may hold the watch of submissions.
const WATCH_WAIT: Duration = Duration::from_millis(1_000);
/// Pause between two watches, in which changes gather.
const WATCH_PAUSE: Duration = Duration::from_millis(400);
/// Pause after a failed call to the store.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Workers missing from a reading have left only if the store has answered for
/// this long, in milliseconds: entries that lapsed during an outage come back
/// within two seconds.
const ENTRIES_SETTLE_MS: u64 = 2_500;
/// Time between two writes of what was learned.
const LEARNED_INTERVAL: Duration = Duration::from_millis(2_500);
/// States in one message.
const STATES_PER_MESSAGE: usize = 2_000;

/// What reaches the part that leads from outside.
#[derive(Debug)]
pub enum LeaderInput {
    /// A message of another process, or of this one.
    Message {
        /// The sender.
        from: ProcessId,
        /// The message.
        message: FleetMessage,
    },
    /// The last connection to a process broke.
    Down {
        /// The process.
        process: ProcessId,
    },
}

/// What the leader's own tasks found out.
enum Found {
    /// The workers' entries, or that they could not be read.
    Workers(Result<Vec<WorkerListing>, StoreFault>),
    /// Changes of submissions, cancellations and the leader record.
    Changes(Vec<Event>),
    /// Records that were read anew, because the history was dropped.
    Everything(Vec<Item>),
    /// A submission that a worker runs, with its progress.
    LookedUp(SubmissionId, LookedUp),
    /// The recommendation service answered, or not.
    Advised(TicketReply),
    /// Progress was written, or not.
    Flushed(Flushed),
    /// The processes that are registered.
    Processes(Vec<Item>),
}

type LookedUp = Result<Option<(Arc<Submission>, Option<(ProgressRecord, u64)>)>, StoreFault>;

struct Leader {
    shared: Arc<Shared>,
    term: Term,
    planner: Planner,
    callers: Callers,
    found: mpsc::UnboundedSender<Found>,
    is_flushing: bool,
    flush_at: Timestamp,
    /// When the watch last answered, which proves that this process leads.
    confirmed_at: Timestamp,
    /// Since when the store has answered without a failure.
    store_sound_since: Option<Timestamp>,
    /// Whether what earlier leaders left was read.
    is_restored: bool,
    ends_because: Option<&'static str>,
}

/// Leads until the term is over; returns why it is.
pub async fn lead(
    shared: &Arc<Shared>,
    term: Term,
    claims: u64,
    inputs: &mut mpsc::Receiver<LeaderInput>,
) -> &'static str {
    let (found, mut findings) = mpsc::unbounded_channel();
    let now = shared.now();
    let manifest = shared.manifest().unwrap_or_default();
    let uncertain_until = now.plus_ms(MAX_ORPHAN_LEASE_MS);
    let mut leader = Leader {
        shared: shared.clone(),
        term,
        planner: Planner::new(term, claims, manifest, uncertain_until),
        callers: Callers::new(shared.clone(), term),
        found,
        is_flushing: false,
        flush_at: now,
        confirmed_at: now,
        store_sound_since: None,
        is_restored: false,
        ends_because: None,
    };
    let _tasks = match leader.take_over().await {
        Ok(tasks) => tasks,
        Err(why) => return why,
    };
    info!(shared.log, "plan restored"; "term" => %term,
        "ms" => shared.now().ms_since(now), "submissions" => leader.planner.published_states().len());
    let mut beat = tokio::time::interval(Duration::from_millis(HEARTBEAT_INTERVAL_MS));
    let mut learned = tokio::time::interval(LEARNED_INTERVAL);
    let mut plan_at = Instant::now();
    loop {
        tokio::select! {
            input = inputs.recv() => match input {
                Some(input) => {
                    leader.input(input);
                    plan_at = plan_at.min(Instant::now() + PLAN_DELAY);
                }
                None => return "the process ends",
            },
            Some(found) = findings.recv() => {
                leader.found(found);
                plan_at = plan_at.min(Instant::now() + PLAN_DELAY);
            }
            _ = beat.tick() => leader.beat(),
            _ = learned.tick() => leader.store_learned(),
            () = tokio::time::sleep_until(plan_at) => {
                leader.plan();
                plan_at = Instant::now() + PLAN_IDLE;
            }
            () = shared.stop.cancelled() => {
                leader.plan();
                leader.callers.broadcast(|| FleetMessage::SteppedDown { term });
                return "the process stops";
            }
        }
        if let Some(why) = leader.ends_because {
            return why;
        }
    }
}

impl Leader {
    fn input(&mut self, input: LeaderInput) {
        let now = self.shared.now();
        match input {
            LeaderInput::Down { process } => self.callers.down(&process, now),
            LeaderInput::Message { from, message } => self.message(from, message, now),
        }
    }

    fn message(&mut self, from: ProcessId, message: FleetMessage, now: Timestamp) {
        match message {
            FleetMessage::Report { term, sent_at, reaches_store, reports } => {
                if term == self.term {
                    self.callers.heard(&from, reaches_store, now);
                    self.reports(&from, sent_at, reports, now);
                }
            }
            FleetMessage::Joined(record) => {
                self.callers.joined(record);
                self.beat();
            }
            FleetMessage::Submitted(submitted) => {
                let mut taken = Vec::with_capacity(submitted.len());
                for it in submitted {
                    taken.push(it.submission.id);
                    self.planner.submit(it.submission, !it.may_have_started, now);
                }
                let taken =
                    FleetMessage::Acknowledged { submissions: taken, cancelled: Vec::new() };
                self.shared.send(&from, taken);
            }
            FleetMessage::Cancelled(ids) => {
                let known =
                    ids.into_iter().filter(|it| self.planner.contains(*it)).collect::<Vec<_>>();
                for id in &known {
                    self.planner.cancel(*id, now);
                }
                let taken =
                    FleetMessage::Acknowledged { submissions: Vec::new(), cancelled: known };
                self.shared.send(&from, taken);
            }
            other => debug!(self.shared.log, "unexpected message"; "from" => %from,
                "message" => ?other),
        }
    }

    /// Hands reports to the plan, with points in time on this process's clock.
    fn reports(
        &mut self,
        from: &ProcessId,
        sent_at: Timestamp,
        reports: Vec<(WorkerId, WorkerReport)>,
        now: Timestamp,
    ) {
        let moved = |it: Timestamp| now.plus_ms(it.ms_since(sent_at));
        for (worker, mut report) in reports {
            if !self.callers.is_caller_of(from, &worker) {
                continue;
            }
            match &mut report {
                WorkerReport::Polled(look) => look.leases_expire_by = moved(look.leases_expire_by),
                WorkerReport::PollFailed { leases_expire_by, .. } => {
                    *leases_expire_by = leases_expire_by.map(moved);
                }
                WorkerReport::Fenced
                | WorkerReport::PaceUnconfirmed { .. }
                | WorkerReport::Start { .. }
                | WorkerReport::Stop { .. } => {}
            }
            self.planner.report(&worker, report, now);
        }
    }

    fn found(&mut self, found: Found) {
        let now = self.shared.now();
        match found {
            Found::Workers(Ok(listings)) => {
                self.store_answered(now);
                let since = self.store_sound_since.unwrap_or(now);
                let may_remove = ENTRIES_SETTLE_MS <= now.ms_since(since);
                self.planner.update_workers(listings, may_remove);
            }
            Found::Workers(Err(fault)) => self.store_failed("workers not read", &fault),
            Found::Changes(events) => {
                self.store_answered(now);
                self.confirmed_at = now;
                for event in events {
                    if let Event::Written(item) = event {
                        self.record(&item, now);
                    }
                }
            }
            Found::Everything(items) => {
                self.store_answered(now);
                for item in items {
                    self.record(&item, now);
                }
            }
            Found::LookedUp(id, Ok(Some((submission, progress)))) => {
                let progress = progress.as_ref().map(|(it, revision)| (it, *revision));
                self.planner.restore(submission, false, progress, now);
                debug!(self.shared.log, "submission looked up"; "submission" => %id);
            }
            Found::LookedUp(id, Ok(None)) => self.planner.submission_not_found(id, now),
            Found::LookedUp(id, Err(fault)) => {
                self.store_failed("submission not looked up", &fault);
                self.look_up(id);
            }
            Found::Advised(advice) => self.planner.tickets_received(advice, now),
            Found::Flushed(flushed) => self.flushed(flushed, now),
            Found::Processes(items) => self.callers.registered(&items, now),
        }
    }

    fn store_answered(&mut self, now: Timestamp) {
        self.shared.store_answered();
        self.store_sound_since.get_or_insert(now);
    }

    fn store_failed(&mut self, what: &str, fault: &StoreFault) {
        self.shared.metrics.store_fault();
        self.store_sound_since = None;
        debug!(self.shared.log, "store call failed"; "what" => what, "error" => %fault);
    }

    /// Takes a record of the watched keys.
    fn record(&mut self, item: &Item, now: Timestamp) {
        if item.key == LEADER_KEY {
            if self.term.0 < item.revision {
                let by = record::decode::<LeaderRecord>(&item.value).ok();
                warn!(self.shared.log, "another process leads"; "term" => item.revision,
                    "leader" => ?by.map(|it| it.process));
                self.ends_because = Some("another process leads");
            }
        } else if let Some(id) = record::id_of(CANCEL_PREFIX, &item.key) {
            self.planner.cancel(id, now);
        } else if record::id_of(SUBMISSION_PREFIX, &item.key).is_some()
            && let Some(submission) = durable::decode_submission(&self.shared, item)
        {
            self.planner.submit(submission, false, now);
        }
    }

    /// Works on the plan and carries out what follows.
    fn plan(&mut self) {
        let now = self.shared.now();
        if let Some(manifest) = self.shared.manifest() {
            self.planner.set_manifest(manifest);
        }
        let lost = self.callers.update(&self.planner, now);
        self.planner.poller_lost(&lost, now.plus_ms(MAX_ORPHAN_LEASE_MS));
        self.planner.tick(now);
        let actions = self.planner.take_actions();
        self.carry_out(actions);
        self.flush(now);
    }

    fn carry_out(&mut self, actions: Actions) {
        if actions.is_superseded {
            self.ends_because = Some("a worker has seen a higher term");
        }
        let mut orders: BTreeMap<ProcessId, Vec<(WorkerId, Order)>> = BTreeMap::new();
        for (worker, order) in actions.orders {
            match self.callers.caller_of(&worker) {
                Some(caller) => orders.entry(caller.clone()).or_default().push((worker, order)),
                None => debug!(self.shared.log, "no process calls the worker";
                    "worker" => %worker),
            }
        }
        for (caller, orders) in orders {
            self.shared.send(&caller, FleetMessage::Orders { term: self.term, orders });
        }
        for decision in &actions.decisions {
            self.log(decision);
        }
        for id in actions.lookups {
            self.look_up(id);
        }
        for question in actions.ticket_requests {
            self.ask(question);
        }
        if !actions.states.is_empty() {
            let (term, states) = (self.term, actions.states);
            self.callers.broadcast(|| FleetMessage::States { term, states: states.clone() });
        }
    }

    fn log(&self, decision: &Decision) {
        let text = |it: Option<String>| it.unwrap_or_else(|| "-".to_owned());
        info!(self.shared.log, "decision"; "kind" => %decision.kind,
            "submission" => text(decision.submission.map(|it| it.to_string())),
            "worker" => text(decision.worker.as_ref().map(|it| it.to_string())),
            "inputs" => &decision.inputs, "term" => %self.term);
    }

    fn beat(&mut self) {
        let now = self.shared.now();
        // A leader that neither reaches the store nor most of the processes
        // may have been replaced; what it leases must end.
        let is_confirmed = now.ms_since(self.confirmed_at) < LEADER_SILENT_MS;
        let may_extend = is_confirmed || self.callers.hears_most(now);
        let pending = self.is_restored.then(|| self.planner.pending());
        let reaching_store = self.callers.reaching_store(now);
        let (term, manifest) = (self.term, self.shared.manifest_version());
        self.callers.broadcast(|| {
            FleetMessage::Heartbeat(Heartbeat {
                term,
                manifest,
                may_extend,
                pending: pending.clone(),
                reaching_store: reaching_store.clone(),
            })
        });
        for process in self.callers.take_unsynced() {
            self.sync(&process);
        }
        self.shared.metrics.plan(self.planner.counts(now));
    }

    /// Sends all states to a process that has none of this term.
    fn sync(&self, process: &ProcessId) {
        let states = self.planner.published_states();
        for chunk in states.chunks(STATES_PER_MESSAGE) {
            let message = FleetMessage::States { term: self.term, states: chunk.to_vec() };
            self.shared.send(process, message);
        }
    }

    fn look_up(&self, id: SubmissionId) {
        let (shared, found) = (self.shared.clone(), self.found.clone());
        tokio::spawn(async move {
            let result = recovery::read_submission(&shared, id).await;
            if result.is_err() {
                tokio::time::sleep(RETRY_PAUSE).await;
            }
            // The term is over if nobody receives it.
            let _ = found.send(Found::LookedUp(id, result));
        });
    }

    /// Asks the recommendation service; without an answer, nothing is allowed.
    fn ask(&self, question: TicketRequest) {
        let (shared, found) = (self.shared.clone(), self.found.clone());
        tokio::spawn(async move {
            let now = shared.now();
            let nothing =
                TicketReply { step: question.step, allowed: Vec::new(), valid_until: now };
            let advice = match &shared.advice {
                Some(service) => service.ask(&question, now).await,
                None => Err(eyre::eyre!("the settings name no recommendation service")),
            };
            let advice = advice.unwrap_or_else(|error| {
                warn!(shared.log, "no advice"; "step" => %question.step,
                    "workers" => question.workers.len(), "error" => %error);
                nothing
            });
            // The term is over if nobody receives it.
            let _ = found.send(Found::Advised(advice));
        });
    }

    /// Begins what has to be read again and again.
    fn follow_workers(&self) -> impl Future<Output = ()> + Send + 'static {
        let (shared, found) = (self.shared.clone(), self.found.clone());
        async move {
            let mut unreadable = 0;
            loop {
                let result = shared.store.range(WORKERS_PREFIX).await;
                let listings = result.map(|(items, _)| {
                    let listings: Vec<WorkerListing> =
                        items.iter().filter_map(discovery::decode).collect();
                    let now_unreadable = items.len() - listings.len();
                    if now_unreadable != unreadable {
                        warn!(shared.log, "entries that name no worker"; "entries" => items.len(),
                            "unreadable" => now_unreadable, "before" => unreadable);
                        unreadable = now_unreadable;
                    }
                    listings
                });
                if found.send(Found::Workers(listings)).is_err() {
                    return;
                }
                tokio::time::sleep(DISCOVERY_INTERVAL).await;
            }
        }
    }

    fn follow_work(&self, mut after: u64) -> impl Future<Output = ()> + Send + 'static {
        let (shared, found) = (self.shared.clone(), self.found.clone());
        async move {
            loop {
                let finding = match shared.store.watch(WORK_PREFIX, after, WATCH_WAIT).await {
                    Ok(Watched::Events(events, revision)) => {
                        after = revision;
                        Some(Found::Changes(events))
                    }
                    Ok(Watched::HistoryDropped) => match shared.store.range(WORK_PREFIX).await {
                        Ok((items, revision)) => {
                            after = revision;
                            Some(Found::Everything(items))
                        }
                        Err(_) => None,
                    },
                    Err(fault) => {
                        shared.metrics.store_fault();
                        debug!(shared.log, "watch of submissions failed"; "error" => %fault);
                        None
                    }
                };
                let pause = if finding.is_some() { WATCH_PAUSE } else { RETRY_PAUSE };
                if finding.is_some_and(|it| found.send(it).is_err()) {
                    return;
                }
                tokio::time::sleep(pause).await;
            }
        }
    }
}
