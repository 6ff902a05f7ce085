//! The leader task, which connects the planner with the store and the pollers.
//!
//! It restores the state that earlier leaders stored, announces itself to every
//! process, and from then on passes reports and changes in the store to the
//! planner and carries out the planner's actions. The term ends when the
//! leader record names another process, a worker has seen a higher term, or
//! the process stops.

mod displaced;
mod explain;
mod handover;
mod members;
mod pollers;
mod progress;
mod recovery;
mod rows;
mod withdrawals;
mod workers;

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use mustardcove_adapter::store::{Event, Item, StoreFault, WORKERS_PREFIX, WatchOutcome};
use mustardcove_core::{
    fleet::{
        cadence,
        confirmation::Confirmation,
        election::{Candidacy, HEARTBEAT_INTERVAL_MS},
        evacuation::EvacuationSource,
        handover::HandoverOutcome,
        id::{BootMillis, SubmissionId, Term},
        message::{FleetMessage, Heartbeat, Order, ReportRow, WorkerReport},
        overload::{LoadReport, Place, Places},
        planner::{Actions, Decision, Planner, TicketReply, TicketRequest, WorkerListing},
        poller::{LEADER_SILENT_MS, LOST_POLLER_LEASE_MS, MAX_ORPHAN_LEASE_MS, ORDER_MAX_AGE_MS},
        record::{
            self, CANCEL_PREFIX, LEADER_KEY, LeaderRecord, ProgressRecord, SUBMISSION_PREFIX,
            WORK_PREFIX,
        },
        roster::Roster,
        standstill::Standstill,
        submission::{Submission, SubmissionState},
        succession::{StoreCall, Succession},
        withdrawals::Withdrawals,
    },
    id::{ProcessId, WorkerId},
    time::{ClockShift, Timestamp},
};
use slog::{debug, info, warn};
use tokio::{sync::mpsc, time::Instant};

use self::{
    handover::Inherited,
    members::MembersWritten,
    pollers::Pollers,
    progress::FlushResult,
    workers::{Entries, RosterWritten},
};
use crate::{
    durable,
    shared::{Shared, boot_now},
};

/// Time for which inputs are collected before the planner runs.
const PLAN_DELAY: Duration = Duration::from_millis(10);
/// Longest time between two runs of the planner.
const MAX_PLAN_INTERVAL: Duration = Duration::from_millis(100);
/// Time between two readings of the workers' entries: several readings fit into
/// the time within which a draining worker must no longer be given work.
const DISCOVERY_INTERVAL: Duration = Duration::from_millis(600);
/// How long the store may hold a watch of the work records.
const WATCH_WAIT: Duration = Duration::from_millis(1_000);
/// Pause between two watches, which batches changes.
const WATCH_PAUSE: Duration = Duration::from_millis(400);
/// Pause after a failed call to the store.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Time between two questions to the store whether this term still leads: a
/// fraction of the time for which the answer permits anything.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(250);
/// The same for the first [`FIRST_QUESTIONS`] of a term, until which nothing is
/// started.
const FIRST_CONFIRM_INTERVAL: Duration = Duration::from_millis(50);
/// Number of questions that are asked at that interval.
const FIRST_QUESTIONS: u32 = 20;
/// Most workers that a line of the log names.
const MAX_LOGGED_WORKERS: usize = 8;
/// A worker without an entry counts as removed only if the store has answered
/// without a failure for this long, in milliseconds: entries that expired
/// during an outage of the store are written again within two seconds.
const ENTRIES_SETTLE_MS: u64 = 2_500;
/// Age of the last reading of the workers' entries from which on they are stale
/// if other processes reach the store, in milliseconds: less than the time for
/// which the platform lets a start rest on a capacity that has shrunk.
const MAX_ENTRIES_AGE_MS: u64 = 3_500;
/// Time between two writes of the learned interference, after which operators see
/// it, too.
const LEARNED_WRITE_INTERVAL: Duration = Duration::from_millis(2_500);
/// Most inputs that are handled before other work gets its turn.
const MAX_INPUTS_AT_ONCE: usize = 512;
/// Age of a report from which on the log says that the leader is behind, in
/// milliseconds: with older ones, runs would soon count as unconfirmed.
const LAG_LOGGED_MS: u64 = 1_200;
/// Most states sent at each heartbeat to processes that may have missed some:
/// about 1 MB.
const MAX_SYNCED_STATES: usize = 60_000;
/// Most states in one message.
const STATES_PER_MESSAGE: usize = 2_000;

/// Time from the last answer of the store from which on a leader that restores its
/// state sends no heartbeats, in milliseconds: without the store it never leads, and
/// others may claim.
const MAX_RESTORE_SILENCE_MS: u64 = 3_000;
/// Ends of terms, as the log names them.
const WHY_STOPPED: &str = "the process stops";
const WHY_HEARD: &str = "a successor sent a heartbeat";

/// Input of the leader task from other tasks.
#[derive(Debug)]
pub enum LeaderInput {
    /// A message from another process, or from this one.
    Message {
        /// The sender.
        from: ProcessId,
        /// The message.
        message: Box<FleetMessage>,
        /// When it arrived.
        received_at: Timestamp,
    },
    /// The last connection to a process was lost.
    Down {
        /// The process.
        process: ProcessId,
    },
}

/// A claim of the leadership that succeeded.
#[derive(Clone, Copy, Debug)]
pub struct Claim {
    /// The new term.
    pub term: Term,
    /// The number of leaders so far, including this one.
    pub claims: u64,
    /// The term whose record the claim has replaced; 0 if there was none.
    pub predecessor: Term,
    /// When the claim was sent to the store.
    pub sent_at: Timestamp,
    /// The same on the boot clock.
    pub sent_boot: BootMillis,
}

/// Why a term has ended, and what the successor finds of it.
#[derive(Clone, Copy, Debug)]
pub struct TermEnd {
    /// Why it has ended.
    pub why: &'static str,
    /// What was handed over.
    pub handover: HandoverOutcome,
}

/// Result of a background task of the leader.
enum TaskResult {
    /// The leader record, with the time at which the store was asked for it.
    LeaderRead {
        asked_at: Timestamp,
        asked_boot: BootMillis,
        record: Result<Option<Item>, StoreFault>,
    },
    /// The workers' entries, or the fault of a failed reading.
    Workers(Result<Entries, StoreFault>),
    /// Changes of submissions, cancellations and the leader record.
    Changes(Vec<Event>),
    /// All work records, read anew because the store dropped the history.
    Resynced(Vec<Item>),
    /// A submission that a worker runs and the plan did not contain, as read
    /// from the store.
    LookedUp(SubmissionId, LookedUp),
    /// The reply of the recommendation service; without tickets if it failed.
    TicketsReceived(TicketReply),
    /// A write of progress ended.
    Flushed(FlushResult),
    /// A write of the roster ended.
    RosterWritten(RosterWritten),
    /// The records of the registered processes.
    Processes(Vec<Item>),
    /// A write of the members ended, with what the store holds.
    MembersWritten(MembersWritten),
    /// The withdrawn submissions.
    Withdrawals(Vec<Item>),
    /// The record of the predecessor, if it could be read only after a while.
    Handover(Option<Item>),
}

/// A submission with its progress and that record's revision; `None` if there
/// is no such submission.
type LookedUp = Result<Option<(Arc<Submission>, Option<(ProgressRecord, u64)>)>, StoreFault>;

/// State of one term.
struct Leader {
    shared: Arc<Shared>,
    term: Term,
    /// The term whose record the claim has replaced.
    predecessor: Term,
    /// What the predecessor has left.
    inherited: Option<Inherited>,
    /// The process that the leader record names, if it is another one.
    successor: Option<ProcessId>,
    /// When the store had answered the claim.
    claimed_at: Timestamp,
    planner: Planner,
    pollers: Pollers,
    roster: Roster,
    /// The last list of service discovery, and when it was read.
    listed: Vec<WorkerListing>,
    listed_at: Timestamp,
    /// The listed workers that are recorded once they have answered.
    unanswered: Vec<WorkerListing>,
    /// The entries that the log says are ignored, each with the reason.
    logged_entries: BTreeMap<String, String>,
    is_storing_roster: bool,
    is_storing_members: bool,
    /// No write of the roster before this time.
    store_roster_at: Timestamp,
    results: mpsc::UnboundedSender<TaskResult>,
    is_flushing: bool,
    flush_at: Timestamp,
    /// Submissions whose records the store rejected, each with the time at
    /// which its record is written again.
    rejected_records: BTreeMap<SubmissionId, Timestamp>,
    confirmation: Confirmation,
    /// Whether the term was confirmed at the last heartbeat.
    was_confirmed: bool,
    /// Whether the log says that the leases of earlier leaders have expired.
    logged_expiry: bool,
    /// Since when the store has answered without a failure; `None` after one.
    store_healthy_since: Option<Timestamp>,
    succession: Succession,
    /// Whether the state that earlier leaders stored was restored.
    is_restored: bool,
    /// Published states that were not sent yet.
    unsent_states: Vec<(SubmissionId, SubmissionState)>,
    /// No states are sent before this time.
    send_states_at: Timestamp,
    /// Age of the oldest report that was handled since the last heartbeat, in
    /// milliseconds. It includes the time between two heartbeats.
    oldest_report_ms: u64,
    /// Whether the reports before the last heartbeat were handled late.
    is_behind: bool,
    standstill: Standstill,
    /// When to send the next heartbeat while earlier state is restored; never before
    /// the members are known, since the first heartbeat counts them.
    heartbeat_at: Timestamp,
    /// No heartbeat is sent from this time on while earlier state is restored.
    heartbeats_end_at: Timestamp,
    /// Callers that were told to come back.
    places: Places,
    withdrawals: Withdrawals,
    /// No submission is explained before this time.
    explain_at: Timestamp,
    /// Why the term has to end; `None` while it goes on.
    end_reason: Option<&'static str>,
}

/// Leads until the term ends.
pub async fn lead(
    shared: &Arc<Shared>,
    claim: Claim,
    inputs: &mut mpsc::Receiver<LeaderInput>,
) -> TermEnd {
    let Claim { term, claims, .. } = claim;
    let (results, mut task_results) = mpsc::unbounded_channel();
    let now = shared.now();
    let manifest = shared.manifest().unwrap_or_default();
    let earlier_leases_expire_by = now.plus_ms(MAX_ORPHAN_LEASE_MS);
    let mut leader = Leader {
        shared: shared.clone(),
        term,
        predecessor: claim.predecessor,
        inherited: None,
        successor: None,
        claimed_at: now,
        planner: Planner::new(term, claims, manifest, earlier_leases_expire_by),
        pollers: Pollers::new(shared.clone(), term),
        roster: Roster::default(),
        listed: Vec::new(),
        listed_at: now,
        unanswered: Vec::new(),
        logged_entries: BTreeMap::new(),
        is_storing_roster: false,
        is_storing_members: false,
        store_roster_at: now,
        results,
        is_flushing: false,
        flush_at: now,
        rejected_records: BTreeMap::new(),
        confirmation: Confirmation::new(claim.sent_at, claim.sent_boot),
        was_confirmed: true,
        logged_expiry: false,
        store_healthy_since: None,
        succession: Succession::new(shared.leader_stepped_down_at()),
        is_restored: false,
        unsent_states: Vec::new(),
        send_states_at: now,
        oldest_report_ms: 0,
        is_behind: false,
        standstill: Standstill::new(boot_now()),
        heartbeat_at: Timestamp::MAX,
        heartbeats_end_at: now.plus_ms(MAX_RESTORE_SILENCE_MS),
        places: Places::default(),
        withdrawals: Withdrawals::default(),
        explain_at: now,
        end_reason: None,
    };
    let leases_expire_by = leader.pollers.predecessors(now).leases_expire_by();
    leader.planner.set_unfenced_leases_expire_by(leases_expire_by);
    leader.planner.set_cold_slack(shared.settings.cold_slack_ms);
    let mut leadership = shared.leadership.subscribe();
    let restored = tokio::select! {
        biased;
        () = shared.stop.cancelled() => Err(WHY_STOPPED),
        Ok(_) = leadership.wait_for(|it| term < it.term) => Err(WHY_HEARD),
        tasks = leader.take_over(claim.predecessor) => tasks,
    };
    let _tasks = match restored {
        Ok(tasks) => tasks,
        Err(why) if why == WHY_HEARD || leader.end_reason.is_some() => {
            leader.learn_inherited().await;
            return leader.displaced(why, inputs);
        }
        Err(why) => {
            leader.learn_queued(inputs);
            let handover = leader.pass_on(HandoverOutcome::NotRestored).await;
            return TermEnd { why, handover };
        }
    };
    leader.log_restored(claim.predecessor);
    let mut heartbeat_tick = tokio::time::interval(Duration::from_millis(HEARTBEAT_INTERVAL_MS));
    let mut learned_tick = tokio::time::interval(LEARNED_WRITE_INTERVAL);
    let mut plan_at = Instant::now();
    // No plan begins before this time.
    let mut plan_after = Instant::now();
    loop {
        tokio::select! {
            input = inputs.recv() => match input {
                Some(input) => {
                    leader.handle_input(input);
                    leader.handle_queued(inputs);
                    plan_at = plan_at.min(plan_after.max(Instant::now() + PLAN_DELAY));
                }
                None => break,
            },
            Some(result) = task_results.recv() => {
                leader.handle_result(result);
                plan_at = plan_at.min(plan_after.max(Instant::now() + PLAN_DELAY));
            }
            () = shared.clock.sleep_until(leader.send_states_at),
                if !leader.unsent_states.is_empty() => leader.send_states(),
            _ = heartbeat_tick.tick() => leader.send_heartbeat(),
            _ = learned_tick.tick() => {
                leader.show_interference();
                leader.store_learned_interference();
            }
            () = tokio::time::sleep_until(plan_at) => {
                let began = Instant::now();
                leader.handle_queued(inputs);
                leader.plan();
                let plan_ms = began.elapsed().as_millis() as u64;
                let delay_ms = cadence::plan_delay_ms(leader.pollers.count(), plan_ms);
                plan_after = Instant::now() + Duration::from_millis(delay_ms);
                plan_at = plan_after.max(Instant::now() + MAX_PLAN_INTERVAL);
            }
            Ok(_) = leadership.wait_for(|it| term < it.term) => {
                return leader.displaced(WHY_HEARD, inputs);
            }
            () = shared.stop.cancelled() => break,
        }
        if let Some(why) = leader.end_reason {
            return leader.displaced(why, inputs);
        }
    }
    let handover = leader.step_down(&mut task_results).await;
    TermEnd { why: WHY_STOPPED, handover }
}

impl Leader {
    /// Handles the inputs that have arrived, so that a plan rests on the newest
    /// reports even if the leader is behind.
    fn handle_queued(&mut self, inputs: &mut mpsc::Receiver<LeaderInput>) {
        for _ in 0..MAX_INPUTS_AT_ONCE {
            match inputs.try_recv() {
                Ok(input) => self.handle_input(input),
                Err(_) => return,
            }
        }
    }

    fn handle_input(&mut self, input: LeaderInput) {
        let now = self.shared.now();
        match input {
            LeaderInput::Down { process } => self.pollers.connection_lost(&process, now),
            LeaderInput::Message { from, message, received_at } => {
                let other = self.handle_lease_message(&from, *message, received_at);
                if let Some(message) = other {
                    self.handle_message(from, message, now);
                }
            }
        }
    }

    fn handle_message(&mut self, from: ProcessId, message: FleetMessage, now: Timestamp) {
        match message {
            FleetMessage::Report {
                term,
                sent_at,
                sent_boot_ms,
                heartbeat_at,
                reaches_store,
                evacuations,
                reports,
                places,
            } => {
                if let Some(list) = evacuations {
                    self.shared.learn_evacuations(&list, EvacuationSource::Report);
                }
                if term == self.term {
                    self.add_places(sent_at, places, now);
                    self.pollers.report_received(&from, reaches_store, now);
                    self.handle_reports(&from, sent_at, reports, now);
                    let heard = self.pollers.report_handled(&from, sent_boot_ms, heartbeat_at, now);
                    if let Some(heartbeat_at) = heartbeat_at {
                        let age_ms = now.ms_since(heartbeat_at);
                        self.oldest_report_ms = self.oldest_report_ms.max(age_ms);
                        for worker in heard {
                            self.planner.record_heard(&worker, heartbeat_at);
                        }
                    }
                }
            }
            FleetMessage::Joined(record) => {
                self.pollers.add(record);
                self.send_heartbeat();
            }
            FleetMessage::Submitted(submitted) => {
                let mut acknowledged = Vec::with_capacity(submitted.len());
                for it in submitted {
                    acknowledged.push(it.submission.id);
                    self.planner.submit(it.submission, !it.may_have_started, now);
                }
                let reply =
                    FleetMessage::Acknowledged { submissions: acknowledged, cancelled: Vec::new() };
                self.shared.send(&from, reply);
            }
            FleetMessage::Cancelled(ids) => {
                let known =
                    ids.into_iter().filter(|it| self.planner.contains(*it)).collect::<Vec<_>>();
                for id in &known {
                    self.planner.cancel(*id, now);
                }
                let reply =
                    FleetMessage::Acknowledged { submissions: Vec::new(), cancelled: known };
                self.shared.send(&from, reply);
            }
            FleetMessage::Explain { request, question } => {
                self.explain(&from, request, question, now);
            }
            other => debug!(self.shared.log, "unexpected message"; "from" => %from,
                "message" => ?other),
        }
    }

    /// Records places of callers that another process told to come back.
    fn add_places(&mut self, sent_at: Timestamp, places: Vec<Place>, now: Timestamp) {
        let shift = ClockShift::new(sent_at, now);
        for place in places {
            self.places.add(place.to_local(shift));
        }
    }

    /// Returns the load of the pools with what is promised to callers that were
    /// told to come back; `None` until the state of earlier leaders is restored.
    fn load_report(&mut self, now: Timestamp) -> Option<LoadReport> {
        let planner = &self.planner;
        self.places.expire(now, |id| planner.contains(id));
        if !self.is_restored {
            return None;
        }
        let mut report = self.planner.load_report(now);
        self.places.fill(&mut report);
        Some(report)
    }

    /// Passes reports to the planner, with points in time converted to this
    /// process's clock.
    fn handle_reports(
        &mut self,
        from: &ProcessId,
        sent_at: Timestamp,
        reports: Vec<ReportRow>,
        now: Timestamp,
    ) {
        let shift = ClockShift::new(sent_at, now);
        for ReportRow { worker, assignment, asked_after, report } in reports {
            if self.pollers.is_current(from, &worker, assignment) {
                if let WorkerReport::Polled(poll) = &report {
                    self.pollers.record_witness(&worker, poll.incarnation, asked_after, now);
                }
                self.planner.report(&worker, report.to_local(shift), now);
            }
        }
    }

    fn handle_result(&mut self, result: TaskResult) {
        let now = self.shared.now();
        match result {
            TaskResult::LeaderRead { asked_at, asked_boot, record } => {
                self.leader_read(asked_at, asked_boot, record, now);
            }
            TaskResult::Workers(Ok(mut entries)) => {
                self.store_answered(now);
                let since = self.store_healthy_since.unwrap_or(now);
                let may_remove = ENTRIES_SETTLE_MS <= now.ms_since(since);
                let cold = std::mem::take(&mut entries.cold);
                let listings = self.admit_workers(entries, now);
                self.listed.clone_from(&listings);
                self.listed_at = now;
                self.workers_listed(listings, may_remove, now);
                self.planner.set_cold(&cold);
            }
            TaskResult::Workers(Err(fault)) => self.store_failed("workers not read", &fault),
            TaskResult::Changes(events) => {
                self.store_answered(now);
                for event in events {
                    if let Event::Written(item) = event {
                        self.apply_record(&item, now);
                    }
                }
            }
            TaskResult::Resynced(items) => {
                self.store_answered(now);
                for item in items {
                    self.apply_record(&item, now);
                }
            }
            TaskResult::LookedUp(id, Ok(Some((submission, progress)))) => {
                let progress = progress.as_ref().map(|(it, revision)| (it, *revision));
                self.planner.restore(submission, false, progress, now);
                debug!(self.shared.log, "submission looked up"; "submission" => %id);
            }
            TaskResult::LookedUp(id, Ok(None)) => self.planner.submission_not_found(id, now),
            TaskResult::LookedUp(id, Err(fault)) => {
                self.store_failed("submission not looked up", &fault);
                self.look_up(id);
            }
            TaskResult::TicketsReceived(reply) => self.planner.tickets_received(reply, now),
            TaskResult::Flushed(result) => self.flush_ended(result, now),
            TaskResult::RosterWritten(result) => self.roster_written(result, now),
            TaskResult::Processes(items) => {
                self.pollers.update_registered(&items, now);
                self.store_members(now);
            }
            TaskResult::MembersWritten(result) => self.members_written(result, now),
            TaskResult::Withdrawals(items) => self.remove_withdrawals(items, now),
            TaskResult::Handover(item) => self.handover_read(item.as_ref()),
        }
    }

    fn leader_read(
        &mut self,
        asked_at: Timestamp,
        asked_boot: BootMillis,
        record: Result<Option<Item>, StoreFault>,
        now: Timestamp,
    ) {
        match record {
            Ok(Some(item)) => {
                self.store_answered(now);
                if item.revision == self.term.0 {
                    self.confirmation.store_answered(asked_at, asked_boot);
                }
                self.apply_record(&item, now);
            }
            Ok(None) => {
                self.store_answered(now);
                debug!(self.shared.log, "no leader record"; "term" => %self.term);
            }
            Err(fault) => self.store_failed("leader record not read", &fault),
        }
    }

    fn store_answered(&mut self, now: Timestamp) {
        self.shared.store_answered();
        self.succession.record_answer(StoreCall::Read);
        self.store_healthy_since.get_or_insert(now);
    }

    /// Records that a write ended, with or without an answer of the store.
    fn write_ended(&mut self, is_answered: bool, now: Timestamp) {
        if is_answered {
            self.succession.record_answer(StoreCall::Write);
        } else {
            self.succession.record_failure(StoreCall::Write, now);
        }
    }

    fn store_failed(&mut self, what: &str, fault: &StoreFault) {
        self.shared.store_failed();
        self.succession.record_failure(StoreCall::Read, self.shared.now());
        self.store_healthy_since = None;
        debug!(self.shared.log, "store call failed"; "what" => what, "error" => %fault);
    }

    /// Applies a work record: the leader record, a submission or a
    /// cancellation.
    fn apply_record(&mut self, item: &Item, now: Timestamp) {
        if item.key == LEADER_KEY {
            if self.term.0 < item.revision {
                let by: Option<LeaderRecord> = durable::decode(&self.shared, "leader", item);
                warn!(self.shared.log, "another process leads"; "term" => item.revision,
                    "leader" => ?by.as_ref().map(|it| &it.process));
                self.end_reason = Some("another process leads");
                self.successor = by.filter(|it| self.shared.add_leader(it)).map(|it| it.process);
            }
        } else if let Some(id) = record::id_of(CANCEL_PREFIX, &item.key) {
            self.planner.cancel(id, now);
        } else if record::id_of(SUBMISSION_PREFIX, &item.key).is_some()
            && let Some(submission) = durable::decode_submission(&self.shared, item)
        {
            self.planner.submit(submission, false, now);
        }
    }

    /// Runs the planner, executes its actions and stores progress that is due.
    fn plan(&mut self) {
        let now = self.shared.now();
        if let Some(ms) = self.standstill.observe(boot_now()) {
            self.pollers.stood_still(ms, now);
        }
        if let Some(manifest) = self.shared.manifest() {
            self.planner.set_manifest(manifest);
        }
        self.update_confirmation(now);
        let leases_expire_by = now.plus_ms(LOST_POLLER_LEASE_MS);
        for (worker, poller) in self.pollers.update(&self.planner, now) {
            self.planner.poller_replaced(&worker, poller, leases_expire_by);
        }
        if !self.pollers.predecessors(now).may_order() {
            return;
        }
        // While no process reaches the store, the last list is the best there
        // is, and work goes on.
        let are_entries_old = MAX_ENTRIES_AGE_MS <= now.ms_since(self.listed_at);
        let are_stale = are_entries_old && self.pollers.is_store_reached(now);
        self.planner.set_entries_stale(are_stale);
        self.apply_evacuations(now);
        self.planner.tick(now);
        self.log_expiry(now);
        let actions = self.planner.take_actions();
        self.execute(actions);
        self.flush(now);
        self.record_answered();
        self.store_roster(now);
    }

    /// Passes on the evacuated failure domains that this process knows.
    fn apply_evacuations(&mut self, now: Timestamp) {
        let changes = self.planner.set_evacuations(&self.shared.evacuations().list, now);
        let revision = self.planner.evacuations().as_of;
        for it in changes {
            let what = if it.is_evacuated { "domain evacuated" } else { "evacuation ended" };
            info!(self.shared.log, "{}", what; "domain" => %it.domain, "revision" => %revision,
                "workers" => it.workers, "runs" => it.runs, "term" => %self.term);
        }
    }

    fn execute(&mut self, actions: Actions) {
        if actions.is_superseded {
            self.end_reason = Some("a worker has seen a higher term");
        }
        let mut orders: BTreeMap<ProcessId, Vec<(WorkerId, Order)>> = BTreeMap::new();
        for (worker, order) in actions.orders {
            match self.pollers.poller_of(&worker) {
                Some(poller) => orders.entry(poller.clone()).or_default().push((worker, order)),
                None => debug!(self.shared.log, "no process polls the worker";
                    "worker" => %worker),
            }
        }
        for (poller, orders) in orders {
            let handled = self.pollers.handled(&poller);
            let covered = self.pollers.covered(&poller);
            let orders = FleetMessage::Orders { term: self.term, handled, covered, orders };
            self.shared.send(&poller, orders);
        }
        let confirmed_ms = self.confirmation_age_ms();
        for decision in &actions.decisions {
            self.log_decision(decision, confirmed_ms);
        }
        for id in actions.submission_lookups {
            self.look_up(id);
        }
        for request in actions.ticket_requests {
            self.request_tickets(request);
        }
        self.unsent_states.extend(actions.states);
        self.send_states();
    }

    /// Sends the states that were published since the last time, unless that
    /// was a moment ago: each message goes to every process.
    fn send_states(&mut self) {
        let now = self.shared.now();
        if self.unsent_states.is_empty() || now < self.send_states_at {
            return;
        }
        let delay_ms = cadence::message_delay_ms(self.pollers.count());
        self.send_states_at = now.plus_ms(delay_ms);
        let states = std::mem::take(&mut self.unsent_states);
        self.pollers.broadcast(FleetMessage::States { term: self.term, states });
    }

    fn log_decision(&self, decision: &Decision, confirmed_ms: u64) {
        let or_dash = |it: Option<String>| it.unwrap_or_else(|| "-".to_owned());
        info!(self.shared.log, "decision"; "kind" => %decision.kind,
            "submission" => or_dash(decision.submission.map(|it| it.to_string())),
            "worker" => or_dash(decision.worker.as_ref().map(|it| it.to_string())),
            "inputs" => &decision.inputs, "term" => %self.term,
            "confirmed_ms" => confirmed_ms);
    }

    fn send_heartbeat(&mut self) {
        let now = self.shared.now();
        self.heartbeat_at = now.plus_ms(HEARTBEAT_INTERVAL_MS);
        self.update_confirmation(now);
        let pending = self.is_restored.then(|| self.planner.pending());
        let reaching_store = self.pollers.reaching_store(now);
        let load = self.load_report(now);
        let heartbeat = Heartbeat {
            term: self.term,
            region: self.shared.settings.region.clone(),
            sent_at: now,
            covered: None,
            report_delay_ms: cadence::message_delay_ms(self.pollers.count()),
            needs_witnesses: self.confirmation.needs_witnesses(now),
            manifest: self.shared.manifest_version(),
            pending,
            reaching_store,
            evacuations: self.shared.evacuations().list.clone(),
            load,
            places: self.places.iter().cloned().collect(),
        };
        for process in self.pollers.ids() {
            let covered = self.pollers.covered(process);
            let heartbeat = Heartbeat { covered, ..heartbeat.clone() };
            self.shared.send(process, FleetMessage::Heartbeat(heartbeat));
        }
        self.ask_for_successor(now);
        self.log_confirmation();
        self.check_lag();
        self.sync_states();
        self.shared.metrics.record_plan(self.planner.counts(now));
        *self.shared.long_running_waits() = self.planner.long_running_waits(now);
    }

    /// Asks processes that reach the store to claim the leadership if this one
    /// lacks it. The term goes on until a successor is heard, since the store
    /// may refuse their writes, too.
    fn ask_for_successor(&mut self, now: Timestamp) {
        if !self.succession.is_lacking(now) {
            return;
        }
        let candidates = self.pollers.candidates(now);
        let own_share = self.shared.settings.cpu_share;
        let Some(request) = self.succession.take_request(&candidates, own_share, now) else {
            return;
        };
        warn!(self.shared.log, "asking for a successor"; "term" => %self.term,
            "lacks" => %request.lacks, "asked" => request.asked.len(),
            "first" => request.asked.first().map(|it| it.to_string()));
        // Also counts for the next term of this process.
        self.shared.update_candidacy(Candidacy::leader_stepped_down);
        let message = FleetMessage::SuccessorWanted { term: self.term };
        self.shared.send_to_all(&request.asked, message);
    }

    /// Returns how long ago it was shown that this process leads, in
    /// milliseconds.
    fn confirmation_age_ms(&self) -> u64 {
        self.shared.now().ms_since(self.confirmation.permitted_from(boot_now()))
    }

    /// Updates what this leader may conclude and permit. A leader that may have
    /// been replaced permits nothing, and starts nothing.
    fn update_confirmation(&mut self, now: Timestamp) {
        let workers =
            self.pollers.witnesses().heard_through(&self.roster, self.confirmation.store_through());
        self.confirmation.heard(self.pollers.heard(), workers, boot_now());
        let permitted_from = self.confirmation.permitted_from(boot_now());
        self.pollers.confirm(permitted_from);
        let is_recent = now.ms_since(permitted_from) < ORDER_MAX_AGE_MS;
        let may_start = is_recent && self.pollers.are_permitted(now);
        self.planner.set_confirmed(self.confirmation.sole_through(), may_start);
        let predecessors = self.pollers.predecessors(now);
        self.planner.set_unfenced_leases_expire_by(predecessors.leases_expire_by());
    }

    /// Logs when the term is no longer confirmed, or is again.
    fn log_confirmation(&mut self) {
        let now = self.shared.now();
        let is_confirmed = self.confirmation_age_ms() < LEADER_SILENT_MS;
        if std::mem::replace(&mut self.was_confirmed, is_confirmed) == is_confirmed {
            return;
        }
        let what = if is_confirmed { "leader is confirmed" } else { "leader is not confirmed" };
        let store_ms = now.ms_since(self.confirmation.store_through());
        let most_ms = self.confirmation.majority_through().map(|it| now.ms_since(it));
        warn!(self.shared.log, "{}", what; "term" => %self.term, "store_ms" => store_ms,
            "most_processes_ms" => most_ms, "processes" => self.pollers.count());
    }

    /// Logs once when the leases of earlier leaders have expired, with the
    /// workers that this leader has not heard by then.
    fn log_expiry(&mut self, now: Timestamp) {
        if self.logged_expiry || !self.planner.are_earlier_leases_expired(now) {
            return;
        }
        self.logged_expiry = true;
        let unheard: Vec<String> =
            self.planner.unfenced_workers().map(|it| it.to_string()).collect();
        info!(self.shared.log, "leases of earlier leaders have expired"; "term" => %self.term,
            "unheard" => unheard.len(), "confirmed_ms" => self.confirmation_age_ms(),
            "workers" => unheard[..unheard.len().min(MAX_LOGGED_WORKERS)].join(","));
    }

    /// Records how old the reports are that were handled since the last
    /// heartbeat, and logs it if the leader is behind.
    fn check_lag(&mut self) {
        let oldest_ms = std::mem::take(&mut self.oldest_report_ms);
        self.shared.metrics.record_report_age(oldest_ms);
        let is_behind = LAG_LOGGED_MS <= oldest_ms;
        if is_behind || self.is_behind {
            warn!(self.shared.log, "leader lags"; "oldest_report_ms" => oldest_ms,
                "behind" => is_behind, "term" => %self.term);
        }
        self.is_behind = is_behind;
    }

    /// Sends the states of all submissions to processes that may have missed
    /// some, to a bounded number at a time: after a change of the leader this
    /// goes to every process, and would otherwise fill the link between two
    /// regions until they lose this leader, too.
    fn sync_states(&mut self) {
        let states = self.planner.published_states().len().max(1);
        let processes = (MAX_SYNCED_STATES / states).max(1);
        for process in self.pollers.take_unsynced(processes) {
            self.send_all_states(&process);
        }
    }

    /// Sends the states of all submissions to a process, in several messages if
    /// there are many.
    fn send_all_states(&self, process: &ProcessId) {
        let states = self.planner.published_states();
        for chunk in states.chunks(STATES_PER_MESSAGE) {
            let message = FleetMessage::States { term: self.term, states: chunk.to_vec() };
            self.shared.send(process, message);
        }
    }

    fn look_up(&self, id: SubmissionId) {
        let (shared, results) = (self.shared.clone(), self.results.clone());
        tokio::spawn(async move {
            let result = recovery::read_submission(&shared, id).await;
            if result.is_err() {
                tokio::time::sleep(RETRY_PAUSE).await;
            }
            // The receiver is dropped when the term ends.
            let _ = results.send(TaskResult::LookedUp(id, result));
        });
    }

    /// Asks the recommendation service for tickets. If that fails, the planner
    /// gets a reply without tickets, which allows no worker.
    fn request_tickets(&self, request: TicketRequest) {
        let (shared, results) = (self.shared.clone(), self.results.clone());
        tokio::spawn(async move {
            let now = shared.now();
            let no_tickets =
                TicketReply { step: request.step, allowed: Vec::new(), valid_until: now };
            let reply = match &shared.recommendation {
                Some(service) => service.request_tickets(&request, now).await,
                None => Err(eyre::eyre!("the settings name no recommendation service")),
            };
            let reply = reply.unwrap_or_else(|error| {
                warn!(shared.log, "no advice"; "step" => %request.step,
                    "workers" => request.workers.len(), "error" => %error);
                no_tickets
            });
            // The receiver is dropped when the term ends.
            let _ = results.send(TaskResult::TicketsReceived(reply));
        });
    }

    /// Reads the workers' entries at a fixed interval until the term ends.
    fn refresh_workers(&self) -> impl Future<Output = ()> + Send + 'static {
        let (shared, results) = (self.shared.clone(), self.results.clone());
        async move {
            loop {
                let began = Instant::now();
                let result = shared.store.range(WORKERS_PREFIX).await;
                let took = began.elapsed();
                let entries = result.map(|(items, _)| Entries::decode(&items, shared.now()));
                if results.send(TaskResult::Workers(entries)).is_err() {
                    return;
                }
                // A large list over a narrow link leaves half of it to others.
                tokio::time::sleep(DISCOVERY_INTERVAL.max(took)).await;
            }
        }
    }

    /// Asks the store at a fixed interval whether this term still leads, until
    /// it ends.
    fn confirm_term(&self) -> impl Future<Output = ()> + Send + 'static {
        let (shared, results) = (self.shared.clone(), self.results.clone());
        async move {
            for question in 0u32.. {
                let (asked_at, asked_boot) = (shared.now(), boot_now());
                let record = shared.store.get(LEADER_KEY).await;
                let result = TaskResult::LeaderRead { asked_at, asked_boot, record };
                if results.send(result).is_err() {
                    return;
                }
                let is_first = question < FIRST_QUESTIONS;
                let interval = if is_first { FIRST_CONFIRM_INTERVAL } else { CONFIRM_INTERVAL };
                tokio::time::sleep(interval).await;
            }
        }
    }

    /// Watches the work records after a revision until the term ends.
    fn watch_work(&self, mut after: u64) -> impl Future<Output = ()> + Send + 'static {
        let (shared, results) = (self.shared.clone(), self.results.clone());
        async move {
            loop {
                let result = match shared.store.watch(WORK_PREFIX, after, WATCH_WAIT).await {
                    Ok(WatchOutcome::Events(events, revision)) => {
                        after = revision;
                        Some(TaskResult::Changes(events))
                    }
                    Ok(WatchOutcome::HistoryDropped) => match shared.store.range(WORK_PREFIX).await
                    {
                        Ok((items, revision)) => {
                            after = revision;
                            Some(TaskResult::Resynced(items))
                        }
                        Err(fault) => {
                            shared.store_failed();
                            warn!(shared.log, "work records not read";
                                "why" => "history dropped", "after" => after, "error" => %fault);
                            None
                        }
                    },
                    Err(fault) => {
                        shared.store_failed();
                        warn!(shared.log, "watch of work records failed"; "after" => after,
                            "error" => %fault);
                        None
                    }
                };
                let pause = if result.is_some() { WATCH_PAUSE } else { RETRY_PAUSE };
                if result.is_some_and(|it| results.send(it).is_err()) {
                    return;
                }
                tokio::time::sleep(pause).await;
            }
        }
    }
}
