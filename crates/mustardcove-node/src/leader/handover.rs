//! Stores and reads what a leader that steps down leaves to its successor; see
//! [`handover`](mustardcove_core::fleet::handover).

use std::{sync::Arc, time::Duration};

use mustardcove_adapter::store::{Item, StoreFault, Write, WriteOutcome};
use mustardcove_core::fleet::{
    handover::{Handover, HandoverOutcome, KnownLeases, PollerId, WorkerHandover},
    id::{AssignmentNumber, Term},
    message::FleetMessage,
    record::{HANDOVER_KEY, LEADER_KEY},
};
use mustardcove_core::{
    id::{ProcessId, WorkerId},
    time::{ClockShift, Timestamp},
};
use slog::{debug, info, warn};
use tokio::sync::mpsc;

use super::{Leader, MAX_LOGGED_WORKERS, RETRY_PAUSE, TaskResult};
use crate::{durable, shared::Shared};

/// Longest time for which a leader that steps down stores progress. A worker
/// whose ends are not stored then is handed over without its plan.
const FLUSH_TIME: Duration = Duration::from_millis(300);
/// Longest time for which it then tries to store its record, during which
/// nothing is started. Without the record its successor waits for longer.
const RECORD_TIME: Duration = Duration::from_millis(500);
/// Attempts of a new leader to read the record of its predecessor before it goes on
/// without its plan.
const READ_ATTEMPTS: u32 = 3;

/// The record of the predecessor.
pub(super) struct Inherited {
    record: Handover,
    /// A time on the clock of this process before which it was written.
    known_at: Timestamp,
}

impl Inherited {
    fn workers(&self) -> Vec<WorkerHandover> {
        self.record.clone().taken_over(self.record.term, self.known_at)
    }
}

impl Leader {
    /// Ends the term: stores the progress and hands over the plan. Inputs are
    /// handled no more and nothing is started, so that both are of one moment.
    pub(super) async fn step_down(
        &mut self,
        results: &mut mpsc::UnboundedReceiver<TaskResult>,
    ) -> HandoverOutcome {
        if !self.pollers.predecessors(self.shared.now()).may_order() {
            // It has ordered nothing, and an earlier leader may go on.
            return self.pass_on(HandoverOutcome::MayNotOrder).await;
        }
        let actions = self.planner.take_actions();
        self.execute(actions);
        self.planner.prepare_hand_over(self.shared.now());
        // A record without the rest of the progress is sound as well.
        let _ = tokio::time::timeout(FLUSH_TIME, self.flush_all(results)).await;
        self.planner.acknowledge_stored();
        let outcome = match tokio::time::timeout(RECORD_TIME, self.hand_over()).await {
            Ok(outcome) => outcome,
            Err(_) => HandoverOutcome::NotStored,
        };
        self.ended(outcome, HandoverOutcome::Stored)
    }

    /// Ends a term in which nothing was ordered and no lease was granted: stores the
    /// record of the predecessor for the successor, or `nothing` if there is none.
    pub(super) async fn pass_on(&mut self, nothing: HandoverOutcome) -> HandoverOutcome {
        let pass_on = async {
            self.read_inherited().await;
            let Some(inherited) = &self.inherited else { return nothing };
            let workers = self.planner.pass_on(inherited.workers());
            let stored = self.store_handover(workers).await;
            if stored == HandoverOutcome::Stored { HandoverOutcome::PassedOn } else { stored }
        };
        let outcome = tokio::time::timeout(RECORD_TIME, pass_on).await;
        self.ended(outcome.unwrap_or(HandoverOutcome::NotStored), HandoverOutcome::PassedOn)
    }

    /// Reads the record of the predecessor if that was not done yet, and takes over the
    /// ends of leases in it, which also help the successor.
    pub(super) async fn learn_inherited(&mut self) {
        if tokio::time::timeout(RECORD_TIME, self.read_inherited()).await.is_err() {
            return;
        }
        let Some(inherited) = &self.inherited else { return };
        let known = inherited.workers().into_iter().map(KnownLeases::from).collect();
        self.planner.learn_leases(known);
    }

    /// Reads the record of the predecessor if that was not done yet.
    async fn read_inherited(&mut self) {
        while self.inherited.is_none() {
            match self.shared.store.get(HANDOVER_KEY).await {
                Ok(item) => {
                    self.inherit(item.as_ref());
                    return;
                }
                Err(fault) => {
                    debug!(self.shared.log, "plan of the predecessor not read"; "error" => %fault);
                    tokio::time::sleep(RETRY_PAUSE).await;
                }
            }
        }
    }

    /// Tells the other processes that the term has ended. Unless the record for the
    /// successor is stored, as `expected` says, the successor is told what is known of
    /// leases.
    fn ended(&self, outcome: HandoverOutcome, expected: HandoverOutcome) -> HandoverOutcome {
        self.pollers.broadcast(FleetMessage::SteppedDown { term: self.term });
        if outcome == expected {
            return outcome;
        }
        warn!(self.shared.log, "plan not handed over"; "term" => %self.term, "why" => %outcome);
        if self.tell_successor() { HandoverOutcome::TellingSuccessor } else { outcome }
    }

    /// Stores all progress that the store accepts.
    async fn flush_all(&mut self, results: &mut mpsc::UnboundedReceiver<TaskResult>) {
        let mut is_first = true;
        while self.is_flushing || self.planner.has_progress() {
            if !self.is_flushing {
                // Later ones keep their pauses, above all after a failed one.
                if std::mem::take(&mut is_first) {
                    self.flush_at = self.shared.now();
                }
                self.shared.clock.sleep_until(self.flush_at).await;
                self.flush(self.shared.now());
            }
            if !self.is_flushing {
                // What is left was rejected by the store.
                return;
            }
            // Results of other tasks no longer matter.
            if let Some(TaskResult::Flushed(result)) = results.recv().await {
                self.flush_ended(result, self.shared.now());
            }
        }
    }

    /// Stores what the successor has to know of the workers, and retries
    /// failures. The leader must order nothing afterwards.
    async fn hand_over(&self) -> HandoverOutcome {
        let workers = self.planner.hand_over(self.shared.now(), |it| self.pollers.poller_id(it));
        self.store_handover(workers).await
    }

    /// Stores a record under the condition that this process still leads, and retries
    /// failures.
    async fn store_handover(&self, workers: Vec<WorkerHandover>) -> HandoverOutcome {
        let now = self.shared.now();
        let mut handover = Handover { term: self.term, written_at: now, workers };
        handover.limit_size();
        let value = handover.encode();
        let write = Write::default().expect(LEADER_KEY, self.term.0).set(HANDOVER_KEY, &value);
        loop {
            match self.shared.store.write(&write).await {
                Ok(WriteOutcome::Committed(_)) => break,
                Ok(WriteOutcome::Conflict(_)) => return HandoverOutcome::Superseded,
                Err(fault) => {
                    debug!(self.shared.log, "plan not stored yet"; "error" => %fault);
                    tokio::time::sleep(RETRY_PAUSE).await;
                }
            }
        }
        info!(self.shared.log, "plan handed over"; "term" => %self.term,
            "workers" => handover.workers.len(), "silent" => count_silent(&handover.workers),
            "without_plan" => count_unknown(&handover.workers), "bytes" => value.len(),
            "ms" => self.shared.now().ms_since(now));
        HandoverOutcome::Stored
    }

    /// Logs and counts for how many recorded workers the ends of earlier leases are
    /// known when the state of earlier leaders was restored.
    pub(super) fn log_restored(&self, predecessor: Term) {
        let ends = self.planner.earlier_lease_ends();
        info!(self.shared.log, "plan restored"; "term" => %self.term, "from" => %predecessor,
            "ms" => self.shared.now().ms_since(self.claimed_at),
            "submissions" => self.planner.published_states().len(),
            "ends_known" => ends.known, "ends_unknown" => ends.unknown);
        self.shared.metrics.term_began(ends.unknown == 0);
    }

    /// Keeps the record of the predecessor, if it is that.
    fn inherit(&mut self, item: Option<&Item>) {
        let record = item.and_then(|it| durable::decode_handover(&self.shared, it));
        // The record was written before the claim took effect.
        let known_at = self.shared.stepped_down_at(self.predecessor).unwrap_or(self.claimed_at);
        let record = record.filter(|it| it.term == self.predecessor);
        self.inherited = record.map(|record| Inherited { record, known_at });
    }

    /// Handles the record of the predecessor that was read late. Its plan is not used,
    /// since this leader has acted without it; the ends of leases still hold.
    pub(super) fn handover_read(&mut self, item: Option<&Item>) {
        self.inherit(item);
        let Some(inherited) = &self.inherited else { return };
        let known = inherited.workers().into_iter().map(KnownLeases::from).collect();
        let learned = self.planner.learn_leases(known);
        info!(self.shared.log, "plan of the predecessor read late"; "term" => %self.term,
            "earlier" => learned);
    }

    /// Handles that the record of the predecessor was written before `known_at`.
    /// Processes that heard of the step-down know that from earlier on than one which
    /// only sees it when it claims.
    pub(super) fn inherited_before(&mut self, known_at: Timestamp) {
        let Some(inherited) = self.inherited.as_mut().filter(|it| known_at < it.known_at) else {
            return;
        };
        let earlier_ms = inherited.known_at.ms_since(known_at);
        inherited.known_at = known_at;
        let known = inherited.workers().into_iter().map(KnownLeases::from).collect();
        let learned = self.planner.learn_leases(known);
        info!(self.shared.log, "handover was earlier"; "term" => %self.term, "ms" => earlier_ms,
            "earlier" => learned);
    }

    /// Takes over what the predecessor stored when it stepped down, if it did.
    /// Retries failures for a while, since the wait without it is longer.
    pub(super) async fn take_over_plan(
        &mut self,
        mut item: Result<Option<Item>, StoreFault>,
        predecessor: Term,
    ) {
        for _ in 1..READ_ATTEMPTS {
            if item.is_ok() {
                break;
            }
            tokio::time::sleep(RETRY_PAUSE).await;
            item = self.shared.store.get(HANDOVER_KEY).await;
        }
        let item = match item {
            Ok(Some(item)) => item,
            Ok(None) => return,
            Err(fault) => {
                warn!(self.shared.log, "plan of the predecessor not read"; "error" => %fault);
                tokio::spawn(read_later(self.shared.clone(), self.results.clone()));
                return;
            }
        };
        self.inherit(Some(&item));
        let now = self.shared.now();
        let workers = self.inherited.as_ref().map(Inherited::workers).unwrap_or_default();
        if workers.is_empty() {
            return;
        }
        let silent = workers.iter().filter(|it| it.silent_since.is_some());
        let longest_ms = silent.clone().filter_map(|it| Some(now.ms_since(it.silent_since?))).max();
        let left_ms = |it: &WorkerHandover| now.ms_until(it.leases_expire_by);
        let first: Vec<String> = silent
            .take(MAX_LOGGED_WORKERS)
            .map(|it| format!("{}:{}", it.worker, left_ms(it)))
            .collect();
        info!(self.shared.log, "plan taken over"; "term" => %self.term, "from" => %predecessor,
            "workers" => workers.len(), "silent" => count_silent(&workers),
            "without_plan" => count_unknown(&workers), "longest_silence_ms" => longest_ms,
            "silent_lease_left_ms" => first.join(","));
        self.planner.take_over(workers);
    }

    /// Handles by when the leases have expired that a process granted under the
    /// predecessor or in assignments that have ended.
    pub(super) fn earlier_leases_reported(
        &mut self,
        process: &ProcessId,
        earlier: Term,
        shift: ClockShift,
        workers: &[(WorkerId, AssignmentNumber, Option<Timestamp>)],
    ) {
        let mut counted = 0;
        for (worker, assignment, expire_by) in workers {
            let (process, assignment) = (process.clone(), *assignment);
            let poller = PollerId { term: earlier, process, assignment };
            let expire_by = expire_by.map(|it| shift.to_local(it));
            let counts = self.planner.poller_retired(worker, &poller, expire_by);
            counted += usize::from(counts);
        }
        info!(self.shared.log, "earlier leases reported"; "term" => %self.term,
            "from" => %process, "earlier" => %earlier, "workers" => workers.len(),
            "counted" => counted);
    }
}

/// Reads the record of the predecessor once the store answers.
async fn read_later(shared: Arc<Shared>, results: mpsc::UnboundedSender<TaskResult>) {
    while !results.is_closed() {
        tokio::time::sleep(RETRY_PAUSE).await;
        if let Ok(item) = shared.store.get(HANDOVER_KEY).await {
            // The receiver is dropped when the term ends.
            let _ = results.send(TaskResult::Handover(item));
            return;
        }
    }
}

fn count_silent(workers: &[WorkerHandover]) -> usize {
    workers.iter().filter(|it| it.silent_since.is_some()).count()
}

fn count_unknown(workers: &[WorkerHandover]) -> usize {
    workers.iter().filter(|it| it.plan.is_none()).count()
}
