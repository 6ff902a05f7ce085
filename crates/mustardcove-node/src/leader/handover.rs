//! Stores and reads what a leader that steps down leaves to its successor; see
//! [`handover`](mustardcove_core::fleet::handover).

use std::time::Duration;

use mustardcove_adapter::store::{Item, StoreFault, Write, WriteOutcome};
use mustardcove_core::fleet::{
    handover::{Handover, HandoverOutcome, PollerId, WorkerHandover},
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
use crate::durable;

/// Longest time for which a leader that steps down stores progress. A worker
/// whose ends are not stored then is handed over without its plan.
const FLUSH_TIME: Duration = Duration::from_millis(300);
/// Longest time for which it then tries to store its record, during which
/// nothing is started. Without the record its successor waits for longer.
const RECORD_TIME: Duration = Duration::from_millis(500);
/// Attempts of a new leader to read the record of its predecessor.
const READ_ATTEMPTS: u32 = 3;

impl Leader {
    /// Ends the term: stores the progress and hands over the plan. Inputs are
    /// handled no more and nothing is started, so that both are of one moment.
    pub(super) async fn step_down(
        &mut self,
        results: &mut mpsc::UnboundedReceiver<TaskResult>,
    ) -> HandoverOutcome {
        if !self.pollers.predecessors(self.shared.now()).may_order() {
            // It has ordered nothing, and an earlier leader may go on.
            self.pollers.broadcast(FleetMessage::SteppedDown { term: self.term });
            return HandoverOutcome::MayNotOrder;
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
        self.pollers.broadcast(FleetMessage::SteppedDown { term: self.term });
        if outcome == HandoverOutcome::Stored {
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
        let now = self.shared.now();
        let workers = self.planner.hand_over(now, |it| self.pollers.poller_id(it));
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
                return;
            }
        };
        let handover = durable::decode_handover(&self.shared, &item);
        let now = self.shared.now();
        // The record was written before the claim took effect.
        let known_at = self.shared.stepped_down_at(predecessor).unwrap_or(self.claimed_at);
        let workers = handover.map(|it| it.taken_over(predecessor, known_at)).unwrap_or_default();
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

fn count_silent(workers: &[WorkerHandover]) -> usize {
    workers.iter().filter(|it| it.silent_since.is_some()).count()
}

fn count_unknown(workers: &[WorkerHandover]) -> usize {
    workers.iter().filter(|it| it.plan.is_none()).count()
}
