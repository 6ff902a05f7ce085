//! Writes that make a submission or a cancellation durable.
//!
//! A submission exists from the moment its key does, whichever process wrote
//! it. A write whose outcome is unknown is tried again on the condition that
//! the key does not exist. Once such a write may still take effect, the caller
//! is no longer told that the submission was refused. A cancellation of a
//! submission that does not exist withdraws it, so that no write of any process
//! stores it afterwards. The decisions are in
//! [`store_write`](mustardcove_core::fleet::store_write) and
//! [`withdrawals`](mustardcove_core::fleet::withdrawals), see
//! `docs/design/store-outage.md`.

use std::{sync::Arc, time::Duration};

use mustardcove_adapter::store::{Item, StoreFault, Write, WriteOutcome};
use mustardcove_core::{
    fleet::{
        handover::Handover,
        id::{SubmissionId, Term},
        message::{FleetMessage, StoreChange, StoreOutcome},
        record::{
            self, CANCEL_PREFIX, PROGRESS_PREFIX, ProgressRecord, SUBMISSION_PREFIX,
            UnreadableRecord, WITHDRAWN_PREFIX,
        },
        store_health::DOUBT_AFTER_MS,
        store_write::{NextStep, StoreView, WriteAttempts, WriteEnd},
        submission::{Submission, SubmissionState},
    },
    id::ProcessId,
    time::Timestamp,
    verdict::Verdict,
};
use serde::de::DeserializeOwned;
use slog::{error, info, warn};

use crate::{requests::OpenRequest, shared::Shared};

/// Makes a change durable, through another process if this one does not reach
/// the store. Returns the outcome as soon as it is known, and at `deadline` at
/// the latest.
pub async fn store(shared: &Arc<Shared>, change: StoreChange, deadline: Timestamp) -> StoreOutcome {
    let attempts = attempts(shared, &change, deadline);
    store_with(shared, &change, deadline, attempts, true).await
}

/// Makes a change durable without asking another process.
pub async fn store_directly(
    shared: &Arc<Shared>,
    change: &StoreChange,
    deadline: Timestamp,
) -> StoreOutcome {
    let attempts = attempts(shared, change, deadline);
    store_with(shared, change, deadline, attempts, false).await
}

/// Makes a change durable for a process that lacks the store. It is told at once
/// if this process does not reach the store either.
pub async fn store_for_peer(
    shared: &Arc<Shared>,
    change: &StoreChange,
    deadline: Timestamp,
) -> StoreOutcome {
    let (key, _) = encode_change(change);
    if shared.store_health().is_overdue(shared.now()) && !may_be_stored(shared, &key) {
        return StoreOutcome::NotStored;
    }
    let attempts = attempts(shared, change, deadline).for_peer(shared.now());
    store_with(shared, change, deadline, attempts, false).await
}

fn attempts(shared: &Shared, change: &StoreChange, deadline: Timestamp) -> WriteAttempts {
    let (key, _) = encode_change(change);
    WriteAttempts::new(shared.now(), deadline, may_be_stored(shared, &key))
}

/// Returns whether a write of a submission, for an earlier request to this
/// process, may take effect.
pub fn may_submission_be_stored(shared: &Shared, id: SubmissionId) -> bool {
    may_be_stored(shared, &record::key_of(SUBMISSION_PREFIX, id))
}

fn may_be_stored(shared: &Shared, key: &str) -> bool {
    shared.unsettled_writes().may_be_stored(key, shared.now())
}

async fn store_with(
    shared: &Arc<Shared>,
    change: &StoreChange,
    deadline: Timestamp,
    mut attempts: WriteAttempts,
    may_ask_peer: bool,
) -> StoreOutcome {
    // A leader of an earlier term may learn of the change once it is written.
    let term = shared.leadership.borrow().term;
    let (key, _) = encode_change(change);
    let mut answers = shared.store_answers();
    let mut peer: Option<OpenRequest<'_, StoreOutcome>> = None;
    loop {
        answers.mark_unchanged();
        let outcome = match attempts.next(view(shared, &key, may_ask_peer), shared.now()) {
            NextStep::Write => {
                let patience = Duration::from_millis(attempts.patience_ms());
                let written = write_once(shared, change, &key, deadline, patience).await;
                settle(shared, change, &key, &mut attempts, written, Some(term))
            }
            NextStep::ReadBack => match in_time(shared, deadline, shared.store.get(&key)).await {
                Ok(Some(_)) => {
                    settle(shared, change, &key, &mut attempts, Ok(Written::Earlier), None)
                }
                Ok(None) => {
                    shared.store_answered();
                    attempts.not_found(shared.now());
                    None
                }
                Err(fault) => settle(shared, change, &key, &mut attempts, Err(fault), None),
            },
            NextStep::AskPeer => {
                attempts.peer_asked();
                peer = ask_peer(shared, change, &key);
                None
            }
            NextStep::Wait(until) => {
                let now = shared.now();
                if shared.store_health().is_in_doubt(now) {
                    shared.probe_store();
                }
                tokio::select! {
                    _ = answers.changed() => None,
                    answer = peer_answer(&mut peer) => {
                        peer = None;
                        peer_answered(shared, change, &key, &mut attempts, answer)
                    }
                    () = shared.clock.sleep_until(until.min(now.plus_ms(DOUBT_AFTER_MS))) => None,
                }
            }
            NextStep::Finish(outcome) => Some(outcome),
        };
        if let Some(outcome) = outcome {
            let end = attempts.end(outcome);
            shared.metrics.store_write(end.into());
            if end != WriteEnd::Answered {
                info!(shared.log, "write not answered at once"; "key" => &key,
                    "outcome" => %outcome, "end" => %end, "may_ask_peer" => may_ask_peer,
                    "outage_ms" => shared.store_health().outage_ms(shared.now()));
            }
            return outcome;
        }
    }
}

fn view(shared: &Shared, key: &str, may_ask_peer: bool) -> StoreView {
    let now = shared.now();
    let health = shared.store_health();
    StoreView {
        is_away: health.is_away(now),
        is_in_doubt: health.is_in_doubt(now),
        may_be_stored: may_be_stored(shared, key),
        has_peer: may_ask_peer && peer_to_ask(shared).is_some(),
    }
}

/// Records the result of an attempt, and returns the outcome if it is known.
/// `term` is the one that was known before the attempt.
fn settle(
    shared: &Shared,
    change: &StoreChange,
    key: &str,
    attempts: &mut WriteAttempts,
    written: Result<Written, StoreFault>,
    term: Option<Term>,
) -> Option<StoreOutcome> {
    match written {
        Ok(written) => {
            shared.store_answered();
            shared.unsettled_writes().settled(key);
            if written == Written::NoSuchSubmission {
                return Some(StoreOutcome::NoSuchSubmission);
            }
            announce(shared, change, term.filter(|_| written == Written::Now));
            Some(StoreOutcome::Stored)
        }
        Err(fault) => {
            shared.store_failed();
            attempts.attempt_failed(fault.verdict, shared.now());
            warn!(shared.log, "write to the store failed"; "key" => key, "error" => %fault);
            None
        }
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
    /// The submission was withdrawn, and does not exist.
    NoSuchSubmission,
}

/// Sends the conditional write of a change. It is given up once the store has
/// answered a later call, since that one is likely to be answered, too.
async fn write_once(
    shared: &Arc<Shared>,
    change: &StoreChange,
    key: &str,
    deadline: Timestamp,
    patience: Duration,
) -> Result<Written, StoreFault> {
    let (_, value) = encode_change(change);
    let mut write = Write::default().expect(key, 0).set(key, &value);
    match change {
        StoreChange::Submit(submission) => {
            write = write.expect(record::key_of(WITHDRAWN_PREFIX, submission.id), 0);
        }
        StoreChange::Cancel(id) => {
            if in_time(shared, deadline, find_state(shared, *id)).await?.is_none()
                && withdraw(shared, *id, key, deadline, patience).await?
            {
                return Ok(Written::NoSuchSubmission);
            }
        }
    }
    match send_write(shared, &write, key, deadline, patience).await? {
        WriteOutcome::Committed(_) => Ok(Written::Now),
        // The key exists already, as it should, or the submission was withdrawn.
        WriteOutcome::Conflict(current) if current.iter().any(|it| it.key == key) => {
            Ok(Written::Earlier)
        }
        WriteOutcome::Conflict(_) => Ok(Written::NoSuchSubmission),
    }
}

/// Withdraws a submission that does not exist. Returns whether it does not exist
/// then; another process may have stored it meanwhile.
async fn withdraw(
    shared: &Arc<Shared>,
    id: SubmissionId,
    key: &str,
    deadline: Timestamp,
    patience: Duration,
) -> Result<bool, StoreFault> {
    let submission = record::key_of(SUBMISSION_PREFIX, id);
    let withdrawn = record::key_of(WITHDRAWN_PREFIX, id);
    let write = Write::default().expect(&submission, 0).expect(&withdrawn, 0).set(&withdrawn, &[]);
    let written = send_write(shared, &write, key, deadline, patience).await?;
    Ok(match written {
        WriteOutcome::Committed(_) => true,
        WriteOutcome::Conflict(current) => !current.iter().any(|it| it.key == submission),
    })
}

/// Sends a conditional write for a change whose key is `key`, under which it is
/// unsettled until it is answered.
async fn send_write(
    shared: &Arc<Shared>,
    write: &Write,
    key: &str,
    deadline: Timestamp,
    patience: Duration,
) -> Result<WriteOutcome, StoreFault> {
    shared.store_write_sent(key);
    // A caller that leaves drops this future, and the write remains unsettled.
    let written = tokio::select! {
        written = shared.store.write_until(write, deadline) => written,
        () = later_answer(shared, patience) => {
            Err(StoreFault::given_up(Verdict::MayHaveRun, "the store answers later calls"))
        }
    };
    if written.as_ref().is_err_and(|it| it.verdict == Verdict::NotRun) {
        shared.unsettled_writes().not_run(key);
    }
    written
}

/// Waits for the result of a read until `deadline` at the longest.
async fn in_time<T>(
    shared: &Shared,
    deadline: Timestamp,
    read: impl Future<Output = Result<T, StoreFault>>,
) -> Result<T, StoreFault> {
    let result = tokio::time::timeout(shared.clock.until(deadline), read).await;
    result.unwrap_or_else(|_| Err(StoreFault::given_up(Verdict::NotRun, "the caller's time ends")))
}

/// Waits until a write that begins now has been unanswered for `patience`, and
/// the store has then answered another call.
async fn later_answer(shared: &Arc<Shared>, patience: Duration) {
    tokio::time::sleep(patience).await;
    let mut answers = shared.store_answers();
    loop {
        shared.probe_store();
        let pause = Duration::from_millis(DOUBT_AFTER_MS);
        if let Ok(Ok(())) = tokio::time::timeout(pause, answers.changed()).await {
            return;
        }
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

/// Returns a process that reached the store recently, other than this one.
fn peer_to_ask(shared: &Shared) -> Option<ProcessId> {
    let heartbeat = shared.last_heartbeat();
    heartbeat.reaching_store.iter().find(|it| **it != shared.process).cloned()
}

/// Asks a peer to write a change; returns `None` if there is none or the request
/// cannot have left this process.
fn ask_peer<'a>(
    shared: &'a Shared,
    change: &StoreChange,
    key: &str,
) -> Option<OpenRequest<'a, StoreOutcome>> {
    let peer = peer_to_ask(shared)?;
    // Callers bound the number of requests.
    let pending = shared.store_requests.begin(usize::MAX)?;
    let request = pending.number;
    info!(shared.log, "asking a peer to write to the store"; "peer" => %peer,
        "request" => request, "key" => key);
    let message = FleetMessage::Store { request, change: change.clone() };
    shared.try_send(&peer, message).then(|| {
        shared.unsettled_writes().sent(key, shared.now());
        pending
    })
}

/// Waits for the answer of a peer; forever if none was asked. The answer is
/// `None` if it was lost.
async fn peer_answer(request: &mut Option<OpenRequest<'_, StoreOutcome>>) -> Option<StoreOutcome> {
    match request {
        Some(it) => (&mut it.answer).await.ok(),
        None => std::future::pending().await,
    }
}

/// Records the answer of a peer, and returns the outcome if it is known.
fn peer_answered(
    shared: &Shared,
    change: &StoreChange,
    key: &str,
    attempts: &mut WriteAttempts,
    answer: Option<StoreOutcome>,
) -> Option<StoreOutcome> {
    match answer {
        Some(outcome @ StoreOutcome::Stored) => {
            shared.unsettled_writes().settled(key);
            if let StoreChange::Submit(submission) = change {
                shared.states().record(submission.id, SubmissionState::Queued);
            }
            Some(outcome)
        }
        Some(outcome @ StoreOutcome::NoSuchSubmission) => {
            shared.unsettled_writes().not_run(key);
            Some(outcome)
        }
        Some(StoreOutcome::NotStored) => {
            shared.unsettled_writes().not_run(key);
            None
        }
        Some(StoreOutcome::MayBeStored) | None => {
            attempts.peer_unknown();
            None
        }
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

/// Decodes the record of a leader that stepped down in an item; see [`decode`].
pub fn decode_handover(shared: &Shared, item: &Item) -> Option<Handover> {
    readable(shared, "handover", item, Handover::decode(&item.value))
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
