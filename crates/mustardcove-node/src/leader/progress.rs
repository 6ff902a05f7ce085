//! Stores progress records and learned interference, on the condition that this
//! process still leads.
//!
//! One write of progress is in flight at a time. On a slow leader hundreds of
//! records take tens of writes, so they are taken from the plan in batches of a few
//! writes, those first that starts wait for, and the outcome of each write counts
//! at once. A record that has become urgent thus waits for one batch at most.

use std::sync::Arc;

use mustardcove_adapter::store::Write;
use mustardcove_core::{
    fleet::{
        id::{SubmissionId, Term},
        record::{self, LEADER_KEY, LEARNED_KEY, PROGRESS_PREFIX, ProgressRecord},
    },
    time::Timestamp,
};
use slog::{debug, info};

use super::{
    Leader, TaskResult,
    rows::{RECORDS_PER_WRITE, Row, RowOutcome, write_rows},
};
use crate::shared::{InterferenceStatus, Shared};

/// Time between two writes of progress, in milliseconds: long enough to spare
/// the store, and much shorter than the time within which workers expect ends
/// to be acknowledged.
const FLUSH_INTERVAL_MS: u64 = 200;
/// Time between two writes while a final state waits to be stored, in
/// milliseconds, since callers see it only afterwards.
const URGENT_FLUSH_INTERVAL_MS: u64 = 25;
/// Pause after a failed write, in milliseconds.
const FLUSH_RETRY_MS: u64 = 250;
/// Time after which a record that the store rejected is written again, in
/// milliseconds. It may be smaller then, or the store may accept more.
const REJECTED_RETRY_MS: u64 = 5_000;
/// Duration of a write of progress from which on it is logged, in milliseconds.
const SLOW_WRITE_MS: u64 = 500;
/// Most records that are taken from the plan at once.
const RECORDS_PER_BATCH: usize = 4 * RECORDS_PER_WRITE;

/// Result of one of the writes of a batch of changed progress records.
pub(super) struct FlushResult {
    /// When the write was sent.
    sent_at: Timestamp,
    /// The number of the last change that the records hold.
    change: u64,
    /// Records that are stored, with their new revisions.
    stored: Vec<(SubmissionId, u64)>,
    /// Records that are not known to be stored, with their current revisions if
    /// these are known.
    failed: Vec<(SubmissionId, Option<u64>)>,
    /// Records that the store does not accept.
    rejected: Vec<SubmissionId>,
    /// Whether the leader record has changed, so that another process leads.
    is_superseded: bool,
    /// Whether the store answered the last of the calls.
    is_answered: bool,
    /// What follows the last write of the batch; `None` before.
    end: Option<BatchEnd>,
}

/// What follows a batch of progress records.
#[derive(Clone, Copy, Debug)]
enum BatchEnd {
    /// No more records were changed when it was taken.
    Complete,
    /// Further records wait.
    Partial,
    /// Some records are not known to be stored.
    Failed,
}

impl Leader {
    /// Starts to store changed progress records if that is due and no write is
    /// in flight.
    pub(super) fn flush(&mut self, now: Timestamp) {
        let is_due = self.flush_at <= now
            || (self.planner.has_urgent_progress()
                && self.flush_at <= now.plus_ms(FLUSH_INTERVAL_MS - URGENT_FLUSH_INTERVAL_MS));
        if self.is_flushing || !is_due {
            return;
        }
        for (id, _) in self.rejected_records.extract_if(.., |_, retry_at| *retry_at <= now) {
            self.planner.progress_failed(id);
        }
        let (change, records) = loop {
            let (change, mut records) = self.planner.take_progress_up_to(RECORDS_PER_BATCH);
            // These become part of a later write, whether or not they change.
            for it in records.extract_if(.., |it| self.rejected_records.contains_key(&it.0)) {
                self.planner.progress_rejected(it.0);
            }
            if !records.is_empty() || !self.planner.has_progress() {
                break (change, records);
            }
        };
        if records.is_empty() {
            self.planner.acknowledge_stored();
            return;
        }
        self.is_flushing = true;
        let is_partial = self.planner.has_progress();
        let (shared, results, term) = (self.shared.clone(), self.results.clone(), self.term);
        tokio::spawn(async move {
            let mut has_failed = false;
            let mut writes = records.chunks(RECORDS_PER_WRITE).peekable();
            while let Some(records) = writes.next() {
                let mut result = write_records(&shared, term, change, records).await;
                has_failed |= !result.failed.is_empty();
                let is_last = writes.peek().is_none() || result.is_superseded;
                result.end = is_last.then_some(match is_partial {
                    _ if has_failed => BatchEnd::Failed,
                    true => BatchEnd::Partial,
                    false => BatchEnd::Complete,
                });
                // The receiver is dropped when the term ends.
                if results.send(TaskResult::Flushed(result)).is_err() || is_last {
                    return;
                }
            }
        });
    }

    /// Shows operators what is known of interference.
    pub(super) fn show_interference(&self) {
        let now = self.shared.now();
        let errors = self.planner.interference_errors();
        if errors.is_empty() {
            return;
        }
        let total = self.planner.interference_total();
        let over = total.over_target.iter().map(|(cause, ms)| format!("{cause}:{ms}"));
        info!(self.shared.log, "interference forecast"; "measurements" => total.measurements,
            "error_mean_percent" => total.mean_percent,
            "error_rms_percent" => total.root_mean_square_percent,
            "over_target_ms" => over.collect::<Vec<_>>().join(","));
        let pressures = self.planner.interference_pressures(now);
        *self.shared.interference() = InterferenceStatus { errors, pressures };
    }

    /// Starts to store the learned interference. A failed write is not retried,
    /// since the next one holds all of it.
    pub(super) fn store_learned_interference(&self) {
        let learned = self.planner.learned_interference();
        if learned.pressures.is_empty() {
            return;
        }
        let (shared, term) = (self.shared.clone(), self.term);
        tokio::spawn(async move {
            let write = Write::default()
                .expect(LEADER_KEY, term.0)
                .set(LEARNED_KEY, &record::encode(&learned));
            if let Err(fault) = shared.store.write(&write).await {
                shared.store_failed();
                debug!(shared.log, "learned interference not stored"; "error" => %fault);
            }
        });
    }

    /// Handles the end of a write, and schedules the next batch after the last one.
    pub(super) fn flush_ended(&mut self, result: FlushResult, now: Timestamp) {
        let ms = now.ms_since(result.sent_at);
        if SLOW_WRITE_MS <= ms {
            info!(self.shared.log, "progress stored slowly"; "ms" => ms,
                "stored" => result.stored.len(), "failed" => result.failed.len(),
                "rejected" => result.rejected.len());
        }
        self.write_ended(result.is_answered, now);
        if let Some(end) = result.end {
            self.is_flushing = false;
            self.flush_at = match end {
                BatchEnd::Complete => now.plus_ms(FLUSH_INTERVAL_MS),
                BatchEnd::Partial => now,
                BatchEnd::Failed => now.plus_ms(FLUSH_RETRY_MS),
            };
        }
        if result.is_superseded {
            self.end_reason = Some("another process leads");
            return;
        }
        for (id, revision) in &result.stored {
            self.planner.record_stored(*id, *revision, result.change);
        }
        self.planner.acknowledge_stored();
        for id in result.rejected {
            self.planner.progress_rejected(id);
            self.rejected_records.insert(id, now.plus_ms(REJECTED_RETRY_MS));
        }
        for (id, revision) in result.failed {
            if let Some(revision) = revision {
                self.planner.set_progress_revision(id, revision);
            }
            self.planner.progress_failed(id);
        }
    }
}

/// Writes a few records.
async fn write_records(
    shared: &Arc<Shared>,
    term: Term,
    change: u64,
    records: &[(SubmissionId, ProgressRecord, u64)],
) -> FlushResult {
    let sent_at = shared.now();
    let rows: Vec<Row> = (records.iter())
        .map(|(id, progress, revision)| Row {
            key: record::key_of(PROGRESS_PREFIX, *id),
            value: record::encode_progress(progress),
            revision: *revision,
        })
        .collect();
    let written = write_rows(shared, term, &rows).await;
    let mut result = FlushResult {
        sent_at,
        change,
        stored: Vec::new(),
        failed: Vec::new(),
        rejected: Vec::new(),
        is_superseded: written.is_superseded,
        is_answered: written.is_answered,
        end: None,
    };
    for ((id, ..), outcome) in records.iter().zip(written.outcomes) {
        match outcome {
            RowOutcome::Stored(revision) => result.stored.push((*id, revision)),
            RowOutcome::Conflict(revision) => result.failed.push((*id, Some(revision))),
            RowOutcome::Rejected => result.rejected.push(*id),
            RowOutcome::Unknown => result.failed.push((*id, None)),
        }
    }
    result
}
