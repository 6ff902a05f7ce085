//! Stores and reads what a leader that steps down leaves to its successor; see
//! [`handover`](mustardcove_core::fleet::handover).

use std::time::Duration;

use mustardcove_adapter::store::{Item, StoreFault, Write, WriteOutcome};
use mustardcove_core::fleet::{
    handover::Handover,
    id::Term,
    record::{self, HANDOVER_KEY, LEADER_KEY},
};
use slog::{info, warn};

use super::{Leader, MAX_LOGGED_WORKERS};
use crate::durable;

/// Time limit of the write. The successor claims only once this leader has
/// stepped down, and nothing is started meanwhile.
const WRITE_TIMEOUT: Duration = Duration::from_millis(400);

impl Leader {
    /// Stores what the successor has to know of workers that do not answer, if
    /// there are any. The leader must order nothing afterwards.
    pub(super) async fn hand_over(&self) {
        let now = self.shared.now();
        let silences = self.planner.silences(now);
        if silences.is_empty() {
            return;
        }
        let count = silences.len();
        let handover = Handover { term: self.term, written_at: now, silences };
        let write = Write::default()
            .expect(LEADER_KEY, self.term.0)
            .set(HANDOVER_KEY, &record::encode(&handover));
        // Without the record the successor waits until all leases of this term
        // have ended.
        let why = match tokio::time::timeout(WRITE_TIMEOUT, self.shared.store.write(&write)).await {
            Ok(Ok(WriteOutcome::Committed(_))) => {
                info!(self.shared.log, "leases handed over"; "term" => %self.term,
                    "silent_workers" => count, "ms" => self.shared.now().ms_since(now));
                return;
            }
            Ok(Ok(WriteOutcome::Conflict(_))) => "another process leads".to_owned(),
            Ok(Err(fault)) => fault.to_string(),
            Err(_) => "the store did not answer in time".to_owned(),
        };
        warn!(self.shared.log, "leases not handed over"; "term" => %self.term,
            "silent_workers" => count, "why" => why);
    }

    /// Takes over what the predecessor stored when it stepped down, if it did.
    pub(super) fn take_over_silences(
        &mut self,
        item: Result<Option<Item>, StoreFault>,
        predecessor: Term,
    ) {
        let item = match item {
            Ok(Some(item)) => item,
            Ok(None) => return,
            Err(fault) => {
                warn!(self.shared.log, "handed over leases not read"; "error" => %fault);
                return;
            }
        };
        let handover: Option<Handover> = durable::decode(&self.shared, "handover", &item);
        let now = self.shared.now();
        let silences = handover.map(|it| it.taken_over(predecessor, now)).unwrap_or_default();
        if silences.is_empty() {
            return;
        }
        let latest = silences.iter().map(|it| now.ms_until(it.leases_expire_by)).max();
        let longest = silences.iter().filter_map(|it| Some(now.ms_since(it.since?))).max();
        let workers: Vec<String> = silences
            .iter()
            .take(MAX_LOGGED_WORKERS)
            .map(|it| format!("{}:{}", it.worker, now.ms_until(it.leases_expire_by)))
            .collect();
        info!(self.shared.log, "leases taken over"; "term" => %self.term,
            "from" => %predecessor, "silent_workers" => silences.len(),
            "lease_left_ms" => latest, "longest_silence_ms" => longest,
            "workers" => workers.join(","));
        self.planner.take_over(silences);
    }
}
