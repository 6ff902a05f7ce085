//! Following the agreement record.
//!
//! With few processes, each of them keeps a watch on the record. A waiting
//! watch counts as a call to the store, and one from the remote region crosses
//! the billed link between regions. With many processes, one relay per failure
//! domain therefore keeps a watch and forwards revisions. The relay is the
//! process that ranks lowest in its domain among those with a session, so no
//! election is needed. While two processes consider themselves the relay, both
//! forward, which is harmless.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, IntoStaticStr};

use crate::{
    agreement::{
        Agreement,
        record::{AGREEMENT_KEY, AgreementRecord},
    },
    id::{CallId, ProcessId, Revision},
    message::PeerMessage,
    ownership::{SessionRecord, rank::relay_for_domain, record::decode_record},
    store::{
        StoreOp, StoreReply, StoreResult,
        watch::{PrefixView, ViewChange},
    },
    time::{Timestamp, earliest},
};

/// How often a process without a watch reads the record, in milliseconds.
///
/// This bounds the delay when a relay fails or a message is lost; a revision has
/// to be in force everywhere within 19 s. With 48 processes it causes 9.6 reads
/// per second.
pub const FALLBACK_READ_MS: u64 = 5_000;

/// How new revisions reach the processes.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display, EnumString, IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Dissemination {
    /// Every process keeps a watch.
    Flat,
    /// One process per failure domain keeps a watch and forwards revisions.
    Relay,
}

/// Configuration of a follower.
#[derive(Clone, Debug)]
pub struct AgreementFollowerConfig {
    /// What this process publishes about itself.
    pub record: SessionRecord,
    /// How new revisions reach the processes.
    pub dissemination: Dissemination,
}

/// An input of a follower.
#[derive(Clone, Debug)]
pub enum AgreementFollowerEvent {
    /// Time passed.
    Tick,
    /// A call to the store ended.
    StoreReply {
        /// The call.
        call: CallId,
        /// Its result.
        result: StoreResult,
    },
    /// The processes that have a session.
    Processes(Vec<SessionRecord>),
    /// Another process forwarded a revision.
    Forwarded(Arc<Agreement>),
}

/// An action that a follower requests from its driver.
#[derive(Clone, Debug)]
pub enum AgreementFollowerAction {
    /// A call to the store.
    Store {
        /// The follower's identifier of the call.
        call: CallId,
        /// The call.
        op: StoreOp,
    },
    /// Puts a revision in force that is higher than all before.
    Activate(Arc<Agreement>),
    /// Forwards a revision to another process.
    Forward {
        /// The receiver.
        to: ProcessId,
        /// The message.
        message: PeerMessage,
    },
}

/// The state machine that follows the record.
#[derive(Debug)]
pub struct AgreementFollower {
    cfg: AgreementFollowerConfig,
    view: PrefixView,
    in_force: Option<Arc<Agreement>>,
    processes: Vec<SessionRecord>,
    fallback_read: Option<CallId>,
    fallback_read_at: Timestamp,
    next_call: CallId,
}

impl AgreementFollower {
    /// Returns a follower with no revision in force.
    pub fn new(cfg: AgreementFollowerConfig) -> AgreementFollower {
        AgreementFollower {
            cfg,
            view: PrefixView::new(AGREEMENT_KEY),
            in_force: None,
            processes: Vec::new(),
            fallback_read: None,
            fallback_read_at: Timestamp(0),
            next_call: CallId(0),
        }
    }

    /// Returns the revision in force; zero if there is none.
    pub fn revision(&self) -> Revision {
        self.in_force.as_ref().map(|it| it.revision).unwrap_or_default()
    }

    /// Returns the agreement in force.
    pub fn agreement(&self) -> Option<&Arc<Agreement>> {
        self.in_force.as_ref()
    }

    /// Reports whether this process keeps a watch.
    pub fn is_watching(&self) -> bool {
        match self.cfg.dissemination {
            Dissemination::Flat => true,
            Dissemination::Relay => self.is_relay(),
        }
    }

    fn is_relay(&self) -> bool {
        let relay = relay_for_domain(&self.cfg.record.domain, self.processes.iter());
        relay.is_some_and(|it| it.process == self.cfg.record.process)
    }

    /// Returns when the follower next needs a [`AgreementFollowerEvent::Tick`].
    pub fn next_deadline(&self) -> Option<Timestamp> {
        let watch = self.view.next_deadline().filter(|_| self.is_watching());
        let read =
            (self.fallback_read.is_none() && !self.is_watching()).then_some(self.fallback_read_at);
        earliest(watch, read)
    }

    /// Handles an event and appends the resulting actions to `out`.
    pub fn handle(
        &mut self,
        now: Timestamp,
        event: AgreementFollowerEvent,
        out: &mut Vec<AgreementFollowerAction>,
    ) {
        match event {
            AgreementFollowerEvent::Tick => (),
            AgreementFollowerEvent::StoreReply { call, result } => {
                self.handle_reply(now, call, &result, out);
            }
            AgreementFollowerEvent::Processes(processes) => self.update_processes(processes, out),
            AgreementFollowerEvent::Forwarded(agreement) => self.put_in_force(agreement, out),
        }
        self.poll_store(now, out);
    }

    fn handle_reply(
        &mut self,
        now: Timestamp,
        call: CallId,
        result: &StoreResult,
        out: &mut Vec<AgreementFollowerAction>,
    ) {
        if self.fallback_read == Some(call) {
            self.fallback_read = None;
            self.fallback_read_at = now.plus_ms(FALLBACK_READ_MS);
            if let Ok(StoreReply::Got { entry: Some(entry), .. }) = result {
                self.apply_record(&entry.value, out);
            }
            return;
        }
        for change in self.view.handle(now, call, result).unwrap_or_default() {
            // A deleted record leaves the last revision in force: an accepted
            // configuration never reverts.
            if let ViewChange::Put(entry) = change {
                self.apply_record(&entry.value, out);
            }
        }
    }

    fn apply_record(&mut self, value: &[u8], out: &mut Vec<AgreementFollowerAction>) {
        if let Some(record) = decode_record::<AgreementRecord>(value) {
            self.put_in_force(Arc::new(record.to_agreement()), out);
        }
    }

    /// Puts a revision in force if it is above the current one.
    fn put_in_force(&mut self, agreement: Arc<Agreement>, out: &mut Vec<AgreementFollowerAction>) {
        if self.in_force.is_some() && agreement.revision <= self.revision() {
            return;
        }
        self.in_force = Some(Arc::clone(&agreement));
        out.push(AgreementFollowerAction::Activate(agreement));
        if self.cfg.dissemination == Dissemination::Relay && self.is_relay() {
            let receivers: Vec<_> = self.receivers().cloned().collect();
            self.forward(receivers, out);
        }
    }

    fn receivers(&self) -> impl Iterator<Item = &ProcessId> {
        let own = &self.cfg.record;
        let others = self.processes.iter();
        others
            .filter(|it| it.domain == own.domain && it.process != own.process)
            .map(|it| &it.process)
    }

    fn forward(&self, receivers: Vec<ProcessId>, out: &mut Vec<AgreementFollowerAction>) {
        let Some(agreement) = &self.in_force else { return };
        for to in receivers {
            let message = PeerMessage::Configuration(Arc::clone(agreement));
            out.push(AgreementFollowerAction::Forward { to, message });
        }
    }

    fn update_processes(
        &mut self,
        processes: Vec<SessionRecord>,
        out: &mut Vec<AgreementFollowerAction>,
    ) {
        let before = std::mem::replace(&mut self.processes, processes);
        if self.cfg.dissemination == Dissemination::Relay && self.is_relay() {
            // A process that is new in the list has no revision yet.
            let is_new = |it: &&ProcessId| before.iter().all(|old| old.process != **it);
            let new_processes: Vec<_> = self.receivers().filter(is_new).cloned().collect();
            self.forward(new_processes, out);
        }
    }

    fn poll_store(&mut self, now: Timestamp, out: &mut Vec<AgreementFollowerAction>) {
        let call = self.next_call;
        let op = if self.is_watching() {
            self.view.poll(now, call)
        } else if self.fallback_read.is_none() && self.fallback_read_at <= now {
            self.fallback_read = Some(call);
            Some(StoreOp::Get { key: AGREEMENT_KEY.to_owned() })
        } else {
            None
        };
        if let Some(op) = op {
            self.next_call = call.next();
            out.push(AgreementFollowerAction::Store { call, op });
        }
    }
}
