//! Stores and reads what a leader that steps down leaves to its successor; see
//! [`handover`](mustardcove_core::fleet::handover).

use std::time::Duration;

use mustardcove_adapter::store::{Item, StoreFault, Write, WriteOutcome};
use mustardcove_core::fleet::{
    handover::{Handover, WorkerHandover},
    id::Term,
    message::FleetMessage,
    record::{self, HANDOVER_KEY, LEADER_KEY},
};
use slog::{info, warn};
use tokio::{sync::mpsc, time::Instant};

use super::{Leader, MAX_LOGGED_WORKERS, TaskResult};
use crate::durable;

/// Longest time for which a leader that steps down writes, during which nothing
/// is started. Without its record the successor waits for longer.
const STEP_DOWN_TIME: Duration = Duration::from_millis(600);

impl Leader {
    /// Ends the term: gives the last orders, stores the progress and hands over
    /// the plan. Inputs are handled no more, so that both are of one moment.
    pub(super) async fn step_down(&mut self, results: &mut mpsc::UnboundedReceiver<TaskResult>) {
        self.plan();
        self.send_states();
        let deadline = Instant::now() + STEP_DOWN_TIME;
        let handed_over = tokio::time::timeout_at(deadline, async {
            self.flush_all(results).await;
            self.hand_over().await
        });
        match handed_over.await {
            Ok(Ok(())) => {}
            Ok(Err(why)) => self.log_not_handed_over(&why),
            Err(_) => self.log_not_handed_over("the store did not answer in time"),
        }
        self.pollers.broadcast(FleetMessage::SteppedDown { term: self.term });
    }

    /// Stores all progress. Ends whose effects are not stored keep the plan of
    /// their workers from being handed over.
    async fn flush_all(&mut self, results: &mut mpsc::UnboundedReceiver<TaskResult>) {
        while self.is_flushing || self.planner.has_progress() {
            if !self.is_flushing {
                let now = self.shared.now();
                self.flush_at = now;
                self.flush(now);
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

    /// Stores what the successor has to know of the workers. The leader must
    /// order nothing afterwards.
    ///
    /// # Errors
    ///
    /// Returns why it is not stored, or may not be.
    async fn hand_over(&mut self) -> Result<(), String> {
        self.planner.acknowledge_stored();
        let now = self.shared.now();
        let workers = self.planner.hand_over(now);
        let mut handover = Handover { term: self.term, written_at: now, workers };
        handover.limit_size(record::encode(&handover).len());
        let value = record::encode(&handover);
        let write = Write::default().expect(LEADER_KEY, self.term.0).set(HANDOVER_KEY, &value);
        match self.shared.store.write(&write).await {
            Ok(WriteOutcome::Committed(_)) => {}
            Ok(WriteOutcome::Conflict(_)) => return Err("another process leads".to_owned()),
            Err(fault) => return Err(fault.to_string()),
        }
        info!(self.shared.log, "plan handed over"; "term" => %self.term,
            "workers" => handover.workers.len(), "silent" => count_silent(&handover.workers),
            "without_plan" => count_unknown(&handover.workers), "bytes" => value.len(),
            "ms" => self.shared.now().ms_since(now));
        Ok(())
    }

    fn log_not_handed_over(&self, why: &str) {
        warn!(self.shared.log, "plan not handed over"; "term" => %self.term, "why" => why);
    }

    /// Takes over what the predecessor stored when it stepped down, if it did.
    pub(super) fn take_over_plan(
        &mut self,
        item: Result<Option<Item>, StoreFault>,
        predecessor: Term,
    ) {
        let item = match item {
            Ok(Some(item)) => item,
            Ok(None) => return,
            Err(fault) => {
                warn!(self.shared.log, "plan of the predecessor not read"; "error" => %fault);
                return;
            }
        };
        let handover: Option<Handover> = durable::decode(&self.shared, "handover", &item);
        let now = self.shared.now();
        let known_at = self.shared.stepped_down_at(predecessor).unwrap_or(now);
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
}

fn count_silent(workers: &[WorkerHandover]) -> usize {
    workers.iter().filter(|it| it.silent_since.is_some()).count()
}

fn count_unknown(workers: &[WorkerHandover]) -> usize {
    workers.iter().filter(|it| it.plan.is_none()).count()
}
