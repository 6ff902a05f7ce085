//! Acquisition of the claim on one worker group.
//!
//! Taking a claim needs up to three calls, retries aside: the previous
//! holder's session is read and must not exist, the claim is written if its
//! version is still the known one, and, if the answer to the write was lost,
//! the claim is read back and compared with the record that was written.

use crate::{
    id::{CallId, GroupId, ProcessId},
    ownership::record::{ClaimRecord, claim_key, decode_record, encode_record, session_key},
    store::{Expect, KeyVersion, StoreError, StoreOp, StoreReply, StoreResult},
    time::Timestamp,
};

/// Delay before a failed call is retried, in milliseconds.
const RETRY_MS: u64 = 200;

#[derive(Clone, Debug, PartialEq, Eq)]
enum Step {
    CheckHolder,
    Write,
    ReadBack,
}

/// How an attempt to write a claim ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimResult {
    /// The claim was written.
    Written {
        /// The record.
        record: ClaimRecord,
        /// The version of the key.
        version: KeyVersion,
    },
    /// Another process wrote the claim, or the previous holder still has a
    /// session.
    Failed,
}

/// An attempt to write the claim on a group.
#[derive(Clone, Debug)]
pub struct ClaimAttempt {
    group: GroupId,
    record: ClaimRecord,
    expect: Expect,
    previous_holder: Option<ProcessId>,
    step: Step,
    in_flight: Option<CallId>,
    retry_at: Timestamp,
}

impl ClaimAttempt {
    /// Returns an attempt to write `record` if `expect` holds; the session of
    /// `previous_holder`, if any, must have ended.
    pub fn new(
        group: GroupId,
        record: ClaimRecord,
        expect: Expect,
        previous_holder: Option<ProcessId>,
        now: Timestamp,
    ) -> ClaimAttempt {
        let step = if previous_holder.is_some() { Step::CheckHolder } else { Step::Write };
        ClaimAttempt {
            group,
            record,
            expect,
            previous_holder,
            step,
            in_flight: None,
            retry_at: now,
        }
    }

    /// Returns when the next call is due, if none is in flight.
    pub fn next_deadline(&self) -> Option<Timestamp> {
        self.in_flight.is_none().then_some(self.retry_at)
    }

    /// Returns the next call to the store, if one is due.
    pub fn poll(&mut self, now: Timestamp, call: CallId) -> Option<StoreOp> {
        if self.in_flight.is_some() || now < self.retry_at {
            return None;
        }
        self.in_flight = Some(call);
        Some(match &self.step {
            Step::CheckHolder => {
                let holder =
                    self.previous_holder.as_ref().expect("the step is entered with a holder");
                StoreOp::Get { key: session_key(holder) }
            }
            Step::Write => StoreOp::Put {
                key: claim_key(&self.group),
                value: encode_record(&self.record),
                expect: self.expect,
                lease: None,
            },
            Step::ReadBack => StoreOp::Get { key: claim_key(&self.group) },
        })
    }

    /// Handles the result of a call; returns `None` if it is not this
    /// attempt's call, and `Some(None)` if the attempt continues.
    pub fn handle(
        &mut self,
        now: Timestamp,
        call: CallId,
        result: &StoreResult,
    ) -> Option<Option<ClaimResult>> {
        if self.in_flight != Some(call) {
            return None;
        }
        self.in_flight = None;
        self.retry_at = now;
        Some(match (&self.step, result) {
            (Step::CheckHolder, Ok(StoreReply::Got { entry: None, .. })) => {
                self.step = Step::Write;
                None
            }
            (Step::CheckHolder, Ok(_)) => Some(ClaimResult::Failed),
            (Step::Write, Ok(StoreReply::Written { version })) => {
                Some(ClaimResult::Written { record: self.record.clone(), version: *version })
            }
            (Step::Write, Err(StoreError::Conflict { current })) => {
                // The conflict may be with an earlier write of this attempt
                // whose answer was lost.
                let own = current.as_ref().filter(|it| self.is_own(&it.value));
                Some(own.map_or(ClaimResult::Failed, |it| self.written(it.version)))
            }
            (Step::ReadBack, Ok(StoreReply::Got { entry, .. })) => match entry {
                Some(it) if self.is_own(&it.value) => Some(self.written(it.version)),
                Some(it) if self.expect == Expect::Version(it.version) => {
                    self.step = Step::Write;
                    None
                }
                Some(_) => Some(ClaimResult::Failed),
                None if self.expect == Expect::Absent => {
                    self.step = Step::Write;
                    None
                }
                None => Some(ClaimResult::Failed),
            },
            (step, _) => {
                if *step == Step::Write {
                    self.step = Step::ReadBack;
                }
                self.retry_at = now.plus_ms(RETRY_MS);
                None
            }
        })
    }

    fn is_own(&self, value: &[u8]) -> bool {
        decode_record::<ClaimRecord>(value).is_some_and(|it| it == self.record)
    }

    fn written(&self, version: KeyVersion) -> ClaimResult {
        ClaimResult::Written { record: self.record.clone(), version }
    }
}
