//! The session of one process in the store.
//!
//! A session is a key under a lease. Its process computes the deadline until
//! which it may act from the time at which it *sent* the renewal, so that the
//! deadline passes at the process before the lease can expire at the store.

use serde::Serialize;

use crate::{
    id::CallId,
    ownership::record::{SessionRecord, encode_record, session_key},
    store::{Expect, LeaseId, StoreError, StoreOp, StoreReply, StoreResult},
    time::{Timestamp, earliest},
};

/// Time after which a scheduler's session expires unless renewed, in
/// milliseconds.
pub const SESSION_TTL_MS: u64 = 3_000;

/// Interval between renewals of a scheduler's session, in milliseconds.
pub const SESSION_RENEW_MS: u64 = 1_000;

/// Time after which an entry's session expires unless renewed, in milliseconds.
///
/// An entry process owns nothing that others take over, so its session may be
/// renewed less often, which saves writes.
pub const ENTRY_SESSION_TTL_MS: u64 = 10_000;

/// Interval between renewals of an entry's session, in milliseconds.
pub const ENTRY_SESSION_RENEW_MS: u64 = 3_000;

/// How long before its lease expires a process stops acting, in milliseconds.
pub const SESSION_MARGIN_MS: u64 = 500;

/// Delay before the first retry of a failed call, in milliseconds; it doubles
/// with each failure, up to the renewal interval.
const FIRST_RETRY_MS: u64 = 100;

/// What changed about a session.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SessionChange {
    /// The session is valid until this deadline.
    Extended(Timestamp),
    /// The store has ended the session; everything held under it is lost.
    Lost,
    /// The session was ended on request.
    Ended,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    Grant,
    Publish,
    Renew,
    Revoke,
}

#[derive(Clone, Copy, Debug)]
struct InFlight {
    call: CallId,
    step: Step,
    sent_at: Timestamp,
}

/// The state machine of a session.
#[derive(Clone, Debug)]
pub struct Session {
    record: SessionRecord,
    ttl_ms: u64,
    renew_ms: u64,
    lease: Option<LeaseId>,
    published: bool,
    /// Whether the published record differs from the current one.
    outdated: bool,
    /// When the last successful grant or renewal of the lease was sent.
    renewed_at: Timestamp,
    next_call_at: Timestamp,
    failures: u32,
    in_flight: Option<InFlight>,
    ending: bool,
    ended: bool,
}

/// A session in the state dump.
#[derive(Clone, Debug, Serialize)]
pub struct SessionDump {
    /// The record as published.
    pub record: SessionRecord,
    /// The lease, if one is held.
    pub lease: Option<String>,
    /// The time until which the session is valid.
    pub deadline: Timestamp,
}

impl Session {
    /// Returns a session whose lease is granted by the first calls that
    /// [`Session::poll`] returns.
    pub fn new(record: SessionRecord, ttl_ms: u64, renew_ms: u64) -> Session {
        Session {
            record,
            ttl_ms,
            renew_ms,
            lease: None,
            published: false,
            outdated: false,
            renewed_at: Timestamp(0),
            next_call_at: Timestamp(0),
            failures: 0,
            in_flight: None,
            ending: false,
            ended: false,
        }
    }

    /// Returns what the process publishes about itself.
    pub fn record(&self) -> &SessionRecord {
        &self.record
    }

    /// Returns the time until which the session is valid; it is in the past if
    /// there is no session.
    pub fn deadline(&self) -> Timestamp {
        if !self.published || self.ending {
            return Timestamp(0);
        }
        self.renewed_at.plus_ms(self.ttl_ms.saturating_sub(SESSION_MARGIN_MS))
    }

    /// Reports whether the session is valid now.
    pub fn is_valid(&self, now: Timestamp) -> bool {
        now < self.deadline()
    }

    /// Reports whether the session was ended on request.
    pub fn is_ended(&self) -> bool {
        self.ended
    }

    /// Publishes that the process is shutting down.
    pub fn set_draining(&mut self, now: Timestamp) {
        if !self.record.draining {
            self.record.draining = true;
            self.outdated = true;
            self.next_call_at = now;
        }
    }

    /// Ends the session by revoking its lease, so that its key is deleted at
    /// once instead of when the lease expires.
    pub fn end(&mut self, now: Timestamp) {
        if self.ending {
            return;
        }
        self.ending = true;
        self.next_call_at = now;
        if self.lease.is_none() {
            self.ended = true;
        }
    }

    /// Returns when the next call is due.
    pub fn next_deadline(&self) -> Option<Timestamp> {
        if self.ended {
            return None;
        }
        let overdue = self.in_flight.map(|it| it.sent_at.plus_ms(self.renew_ms));
        earliest(overdue, self.in_flight.is_none().then_some(self.next_call_at))
    }

    /// Returns the next call to the store, if one is due.
    ///
    /// A call without an answer is abandoned after one renewal interval,
    /// because waiting longer would let the session expire.
    pub fn poll(&mut self, now: Timestamp, call: CallId) -> Option<StoreOp> {
        if self.next_deadline().is_none_or(|it| now < it) {
            return None;
        }
        let (step, op) = self.next_call();
        self.in_flight = Some(InFlight { call, step, sent_at: now });
        Some(op)
    }

    fn next_call(&self) -> (Step, StoreOp) {
        let Some(lease) = self.lease else {
            return (Step::Grant, StoreOp::GrantLease { ttl_ms: self.ttl_ms });
        };
        if self.ending {
            return (Step::Revoke, StoreOp::RevokeLease { lease });
        }
        if !self.published || self.outdated {
            let put = StoreOp::Put {
                key: session_key(&self.record.process),
                value: encode_record(&self.record),
                // Only this process writes the key, so a retry is harmless.
                expect: Expect::Any,
                lease: Some(lease),
            };
            return (Step::Publish, put);
        }
        (Step::Renew, StoreOp::RenewLease { lease })
    }

    /// Handles the result of a call; returns `None` if it is not the session's
    /// call in flight.
    pub fn handle(
        &mut self,
        now: Timestamp,
        call: CallId,
        result: &StoreResult,
    ) -> Option<Option<SessionChange>> {
        let in_flight = self.in_flight.filter(|it| it.call == call)?;
        self.in_flight = None;
        Some(match result {
            Ok(reply) => {
                self.failures = 0;
                self.handle_reply(now, in_flight, reply)
            }
            Err(StoreError::LeaseLost) => self.handle_lease_lost(now),
            Err(_) => {
                self.failures += 1;
                let delay = (FIRST_RETRY_MS << self.failures.min(6)).min(self.renew_ms);
                self.next_call_at = now.plus_ms(delay);
                None
            }
        })
    }

    fn handle_reply(
        &mut self,
        now: Timestamp,
        in_flight: InFlight,
        reply: &StoreReply,
    ) -> Option<SessionChange> {
        match (in_flight.step, reply) {
            (Step::Grant, StoreReply::Granted { lease }) => {
                self.lease = Some(*lease);
                self.renewed_at = in_flight.sent_at;
                self.next_call_at = now;
                None
            }
            (Step::Publish, _) => {
                // Publishing does not renew the lease, so the deadline stays.
                self.published = true;
                self.outdated = false;
                self.next_call_at = self.renewed_at.plus_ms(self.renew_ms);
                Some(SessionChange::Extended(self.deadline()))
            }
            (Step::Renew, _) => {
                self.renewed_at = in_flight.sent_at;
                self.next_call_at = in_flight.sent_at.plus_ms(self.renew_ms);
                Some(SessionChange::Extended(self.deadline()))
            }
            (Step::Revoke, _) => {
                self.ended = true;
                self.lease = None;
                Some(SessionChange::Ended)
            }
            _ => None,
        }
    }

    fn handle_lease_lost(&mut self, now: Timestamp) -> Option<SessionChange> {
        self.lease = None;
        self.published = false;
        self.next_call_at = now;
        if self.ending {
            self.ended = true;
            return Some(SessionChange::Ended);
        }
        Some(SessionChange::Lost)
    }

    /// Returns the session for the state dump.
    pub fn dump(&self) -> SessionDump {
        SessionDump {
            record: self.record.clone(),
            lease: self.lease.map(|it| it.to_string()),
            deadline: self.deadline(),
        }
    }
}
