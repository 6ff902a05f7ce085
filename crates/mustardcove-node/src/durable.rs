//! Writes that make a submission or a cancellation durable.
//!
//! A submission exists from the moment its key does, whichever process wrote
//! it. A write whose outcome is unknown is tried again on the condition that
//! the key does not exist. Once such a write may still take effect, the caller
//! is no longer told that the submission was refused.

use std::{sync::Arc, time::Duration};

use mustardcove_adapter::store::{Item, StoreFault, Write, WriteOutcome};
use mustardcove_core::{
    fleet::{
        id::{SubmissionId, Term},
        message::{FleetMessage, StoreChange, StoreOutcome},
        record::{
            self, CANCEL_PREFIX, PROGRESS_PREFIX, ProgressRecord, SUBMISSION_PREFIX,
            UnreadableRecord,
        },
        submission::{Submission, SubmissionState},
    },
    time::Timestamp,
    verdict::Verdict,
};
use serde::de::DeserializeOwned;
use slog::{error, info, warn};

use crate::shared::Shared;

/// Pause before a failed write is tried again: a few times the store's usual
/// latency.
const RETRY_PAUSE: Duration = Duration::from_millis(40);
/// Longest pause between two attempts.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(400);
/// Failed attempts after which another process is asked to write.
const FAILURES_BEFORE_PEER: u32 = 2;

/// Makes a change durable, through another process if this one does not reach
/// the store.
pub async fn store(shared: &Arc<Shared>, change: StoreChange, deadline: Timestamp) -> StoreOutcome {
    let mut outcome = store_directly(shared, &change, deadline).await;
    if outcome == StoreOutcome::NotStored || outcome == StoreOutcome::MayBeStored {
        let by_peer = store_via_peer(shared, &change, deadline).await;
        outcome = match (outcome, by_peer) {
            (_, StoreOutcome::Stored | StoreOutcome::NoSuchSubmission) => by_peer,
            (StoreOutcome::NotStored, _) => by_peer,
            _ => StoreOutcome::MayBeStored,
        };
    }
    outcome
}

/// Makes a change durable without asking another process.
pub async fn store_directly(
    shared: &Arc<Shared>,
    change: &StoreChange,
    deadline: Timestamp,
) -> StoreOutcome {
    // A leader of an earlier term may learn of the change once it is written.
    let term = shared.leadership.borrow().term;
    let mut may_be_stored = false;
    let mut failures = 0;
    let mut pause = RETRY_PAUSE;
    loop {
        if shared.is_store_away() {
            // A caller who is told so at once can come back in time.
            return if may_be_stored { StoreOutcome::MayBeStored } else { StoreOutcome::NotStored };
        }
        match write_once(shared, change).await {
            Ok(written) => {
                shared.store_answered();
                return match written {
                    Written::Now | Written::Earlier => {
                        announce(shared, change, (written == Written::Now).then_some(term));
                        StoreOutcome::Stored
                    }
                    Written::NoSuchSubmission => StoreOutcome::NoSuchSubmission,
                };
            }
            Err(fault) => {
                shared.store_failed();
                may_be_stored |= fault.verdict == Verdict::MayHaveRun;
                failures += 1;
                let (key, _) = encode_change(change);
                warn!(shared.log, "write to the store failed"; "key" => key,
                    "error" => %fault, "refusals" => failures);
            }
        }
        let is_late = deadline <= shared.now().plus_ms(pause.as_millis() as u64);
        if is_late || (FAILURES_BEFORE_PEER <= failures && !shared.reaches_store()) {
            return if may_be_stored { StoreOutcome::MayBeStored } else { StoreOutcome::NotStored };
        }
        tokio::time::sleep(pause).await;
        pause = (pause * 2).min(MAX_RETRY_PAUSE);
    }
}

fn encode_change(change: &StoreChange) -> (String, Vec<u8>) {
    match change {
        StoreChange::Submit(submission) => {
            (record::key_of(SUBMISSION_PREFIX, submission.id), record::encode(submission.as_ref()))
        }
        StoreChange::Cancel(id) => (record::key_of(CANCEL_PREFIX, *id), Vec::new()),
    }
}

/// Result of one attempt to write a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Written {
    /// It took effect.
    Now,
    /// The change was stored before, by this or another process.
    Earlier,
    /// There is no submission to cancel.
    NoSuchSubmission,
}

async fn write_once(shared: &Shared, change: &StoreChange) -> Result<Written, StoreFault> {
    if let StoreChange::Cancel(id) = change
        && find_state(shared, *id).await?.is_none()
    {
        return Ok(Written::NoSuchSubmission);
    }
    let (key, value) = encode_change(change);
    let write = Write::default().expect(key.clone(), 0).set(key, &value);
    // A conflict means that the key exists already, as it should.
    match shared.store.write(&write).await? {
        WriteOutcome::Committed(_) => Ok(Written::Now),
        WriteOutcome::Conflict(_) => Ok(Written::Earlier),
    }
}

/// Records a stored change for callers of this process, and puts it into the
/// outbox for the leader. `written_in` is the term known before it was written,
/// if no other process can have told a leader of it.
fn announce(shared: &Shared, change: &StoreChange, written_in: Option<Term>) {
    match change {
        StoreChange::Submit(submission) => {
            shared.states().record(submission.id, SubmissionState::Queued);
            shared.outbox.add_submission(submission.clone(), written_in);
        }
        StoreChange::Cancel(id) => {
            shared.states().record(*id, SubmissionState::Cancelled);
            shared.outbox.add_cancellation(*id);
        }
    }
}

async fn store_via_peer(
    shared: &Arc<Shared>,
    change: &StoreChange,
    deadline: Timestamp,
) -> StoreOutcome {
    let peers = shared.last_heartbeat().reaching_store.clone();
    let Some(peer) = peers.iter().find(|it| **it != shared.process) else {
        return StoreOutcome::NotStored;
    };
    let (request, answer) = shared.begin_store_request();
    info!(shared.log, "asking a peer to write to the store"; "peer" => %peer, "request" => request);
    shared.send(peer, FleetMessage::Store { request, change: change.clone() });
    let outcome = tokio::time::timeout(shared.clock.until(deadline), answer).await;
    shared.end_store_request(request, None);
    match outcome {
        Ok(Ok(outcome)) => {
            if outcome == StoreOutcome::Stored
                && let StoreChange::Submit(submission) = change
            {
                shared.states().record(submission.id, SubmissionState::Queued);
            }
            outcome
        }
        Ok(Err(_)) | Err(_) => StoreOutcome::MayBeStored,
    }
}

/// Returns the state of a submission, from the store if it is not cached;
/// `None` if there is no such submission.
///
/// # Errors
///
/// Returns an error if the store gave no usable answer.
pub async fn find_state(
    shared: &Shared,
    id: SubmissionId,
) -> Result<Option<SubmissionState>, StoreFault> {
    if let Some(state) = shared.states().state(id) {
        return Ok(Some(state));
    }
    let item = shared.store.get(&record::key_of(SUBMISSION_PREFIX, id)).await?;
    let Some(item) = item else { return Ok(None) };
    let progress = shared.store.get(&record::key_of(PROGRESS_PREFIX, id)).await?;
    let progress = progress.and_then(|it| decode_progress(shared, &it));
    let state = progress.map_or(SubmissionState::Queued, |it| it.state);
    info!(shared.log, "submission without a cached state"; "submission" => %id,
        "state" => %state, "revision" => item.revision);
    // The leader sends the states of its whole plan, so it may not know of this
    // submission, and the process that accepted it may have died.
    if !state.is_final()
        && let Some(submission) = decode_submission(shared, &item)
    {
        shared.outbox.add_submission(submission, None);
    }
    shared.states().record(id, state);
    Ok(Some(state))
}

/// Decodes the record in an item; a record that cannot be decoded is logged.
pub fn decode<T: DeserializeOwned>(shared: &Shared, what: &'static str, item: &Item) -> Option<T> {
    readable(shared, what, item, record::decode(&item.value))
}

fn readable<T>(
    shared: &Shared,
    what: &'static str,
    item: &Item,
    decoded: Result<T, UnreadableRecord>,
) -> Option<T> {
    match decoded {
        Ok(record) => Some(record),
        Err(error) => {
            error!(shared.log, "unreadable record"; "kind" => what, "key" => &item.key,
                "revision" => item.revision, "error" => %error);
            None
        }
    }
}

/// Decodes the progress record in an item; see [`decode`].
pub fn decode_progress(shared: &Shared, item: &Item) -> Option<ProgressRecord> {
    readable(shared, "progress", item, record::decode_progress(&item.value))
}

/// Decodes the submission in an item; see [`decode`]. One that cannot be planned
/// is logged, too.
pub fn decode_submission(shared: &Shared, item: &Item) -> Option<Arc<Submission>> {
    let decoded = record::decode_submission(&item.value);
    let submission = Arc::new(readable(shared, "submission", item, decoded)?);
    if let Err(error) = submission.check() {
        error!(shared.log, "submission cannot be planned"; "key" => &item.key, "error" => %error);
        return None;
    }
    Some(submission)
}
