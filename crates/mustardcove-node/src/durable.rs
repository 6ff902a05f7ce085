//! Writes that make a submission or a cancellation last.
//!
//! A submission exists from the moment its key does, whichever process wrote
//! it. A write whose outcome is unknown is read back and tried again; as long
//! as one such write may still take effect, the caller is not told that the
//! submission was refused.

use std::{sync::Arc, time::Duration};

use mustardcove_adapter::store::{Item, StoreFault, Write, Written};
use mustardcove_core::{
    fleet::{
        id::SubmissionId,
        message::{FleetMessage, StoreChange, StoreOutcome},
        record::{self, CANCEL_PREFIX, PROGRESS_PREFIX, ProgressRecord, SUBMISSION_PREFIX},
        submission::{Submission, SubmissionState},
    },
    time::Timestamp,
    verdict::Verdict,
};
use serde::de::DeserializeOwned;
use slog::{error, info, warn};

use crate::shared::Shared;

/// Pause before a failed write is tried again: a few times the store's usual
/// answer.
const RETRY_PAUSE: Duration = Duration::from_millis(40);
/// Longest pause between two tries.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(400);
/// Refusals after which another process is asked to write.
const REFUSALS_BEFORE_PEER: u32 = 2;

/// Makes a change last, by this process or by one that reaches the store.
pub async fn store(shared: &Arc<Shared>, change: StoreChange, deadline: Timestamp) -> StoreOutcome {
    let mut outcome = store_here(shared, &change, deadline).await;
    if outcome == StoreOutcome::NotStored || outcome == StoreOutcome::MayBeStored {
        let by_peer = store_by_peer(shared, &change, deadline).await;
        outcome = match (outcome, by_peer) {
            (_, StoreOutcome::Stored | StoreOutcome::Unknown) => by_peer,
            (StoreOutcome::NotStored, _) => by_peer,
            _ => StoreOutcome::MayBeStored,
        };
    }
    outcome
}

/// Makes a change last by this process, without asking another.
pub async fn store_here(
    shared: &Arc<Shared>,
    change: &StoreChange,
    deadline: Timestamp,
) -> StoreOutcome {
    let mut may_be_stored = false;
    let mut refusals = 0;
    let mut pause = RETRY_PAUSE;
    loop {
        match write_once(shared, change).await {
            Ok(outcome) => {
                shared.store_answered();
                if outcome == StoreOutcome::Stored {
                    announce(shared, change);
                }
                return outcome;
            }
            Err(fault) => {
                shared.metrics.store_fault();
                may_be_stored |= fault.verdict == Verdict::MayHaveRun;
                refusals += 1;
                let (key, _) = record_of(change);
                warn!(shared.log, "write to the store failed"; "key" => key,
                    "error" => %fault, "refusals" => refusals);
            }
        }
        let is_late = deadline <= shared.now().plus_ms(pause.as_millis() as u64);
        if is_late || (REFUSALS_BEFORE_PEER <= refusals && !shared.reaches_store()) {
            return if may_be_stored { StoreOutcome::MayBeStored } else { StoreOutcome::NotStored };
        }
        tokio::time::sleep(pause).await;
        pause = (pause * 2).min(MAX_RETRY_PAUSE);
    }
}

fn record_of(change: &StoreChange) -> (String, Vec<u8>) {
    match change {
        StoreChange::Submit(submission) => {
            (record::key_of(SUBMISSION_PREFIX, submission.id), record::encode(submission.as_ref()))
        }
        StoreChange::Cancel(id) => (record::key_of(CANCEL_PREFIX, *id), Vec::new()),
    }
}

async fn write_once(shared: &Shared, change: &StoreChange) -> Result<StoreOutcome, StoreFault> {
    if let StoreChange::Cancel(id) = change
        && find(shared, *id).await?.is_none()
    {
        return Ok(StoreOutcome::Unknown);
    }
    let (key, value) = record_of(change);
    let write = Write::default().expect(key.clone(), 0).set(key, &value);
    // A conflict means that the key exists, which is all that is wanted.
    match shared.store.write(&write).await? {
        Written::Done(_) | Written::Conflict(_) => Ok(StoreOutcome::Stored),
    }
}

/// Lets the leader and this process know of a change that is stored.
fn announce(shared: &Shared, change: &StoreChange) {
    match change {
        StoreChange::Submit(submission) => {
            shared.answers().record(submission.id, SubmissionState::Queued);
            shared.outbox.submitted(submission.clone());
        }
        StoreChange::Cancel(id) => {
            shared.answers().record(*id, SubmissionState::Cancelled);
            shared.outbox.cancelled(*id);
        }
    }
}

async fn store_by_peer(
    shared: &Arc<Shared>,
    change: &StoreChange,
    deadline: Timestamp,
) -> StoreOutcome {
    let peers = shared.last_beat().reaching_store.clone();
    let Some(peer) = peers.iter().find(|it| **it != shared.process) else {
        return StoreOutcome::NotStored;
    };
    let (request, answer) = shared.begin_store_request();
    info!(shared.log, "asking a peer to write"; "peer" => %peer, "request" => request);
    shared.send(peer, FleetMessage::Store { request, change: change.clone() });
    let outcome = tokio::time::timeout(shared.clock.until(deadline), answer).await;
    shared.end_store_request(request, None);
    match outcome {
        Ok(Ok(outcome)) => {
            if outcome == StoreOutcome::Stored
                && let StoreChange::Submit(submission) = change
            {
                shared.answers().record(submission.id, SubmissionState::Queued);
            }
            outcome
        }
        Ok(Err(_)) | Err(_) => StoreOutcome::MayBeStored,
    }
}

/// Reads the state of a submission from the store; `None` if there is none.
///
/// # Errors
///
/// Returns an error if the store gave no usable answer.
pub async fn find(
    shared: &Shared,
    id: SubmissionId,
) -> Result<Option<SubmissionState>, StoreFault> {
    if let Some(state) = shared.answers().state(id) {
        return Ok(Some(state));
    }
    let submission = shared.store.get(&record::key_of(SUBMISSION_PREFIX, id)).await?;
    if submission.is_none() {
        return Ok(None);
    }
    let progress = shared.store.get(&record::key_of(PROGRESS_PREFIX, id)).await?;
    let progress = progress.and_then(|it| decode_progress(shared, &it));
    let state = progress.map_or(SubmissionState::Queued, |it| it.state);
    shared.answers().record(id, state);
    Ok(Some(state))
}

/// Returns the record in an item; one that cannot be read is logged.
pub fn decode<T: DeserializeOwned>(shared: &Shared, what: &'static str, item: &Item) -> Option<T> {
    match record::decode(&item.value) {
        Ok(record) => Some(record),
        Err(error) => {
            error!(shared.log, "unreadable record"; "kind" => what, "key" => &item.key,
                "revision" => item.revision, "error" => %error);
            None
        }
    }
}

/// Returns the progress in an item; one that cannot be read is logged.
pub fn decode_progress(shared: &Shared, item: &Item) -> Option<ProgressRecord> {
    decode(shared, "progress", item)
}

/// Returns the submission in an item; one that cannot be read is logged.
pub fn decode_submission(shared: &Shared, item: &Item) -> Option<Arc<Submission>> {
    decode(shared, "submission", item)
}
