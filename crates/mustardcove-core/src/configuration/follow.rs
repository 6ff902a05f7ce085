//! Following the agreement record.
//!
//! With few processes each of them keeps a watch on the record. A waiting
//! watch counts as a call at the store, and one from the far region crosses
//! the billed link, so with many processes one relay per failure domain
//! watches and forwards. The relay is the process that ranks lowest in its
//! domain among those with a session, so no election is needed; while two
//! processes both think they are the relay, both forward, which is harmless.

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
    ownership::{SessionRecord, rank::relay_for_domain, record::decode},
    store::{
        StoreOp, StoreReply, StoreResult,
        watch::{PrefixView, ViewChange},
    },
    time::{Timestamp, earliest},
};

/// How often a process without a watch reads the record, in milliseconds.
///
/// It bounds the delay when a relay dies or a message is lost; 48 processes
/// make 9.6 reads a second, and the target is 19 s.
pub const FALLBACK_READ_MS: u64 = 5_000;

/// How revisions reach the processes.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display, EnumString, IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Dissemination {
    /// Every process keeps a watch.
    Flat,
    /// One process per failure domain keeps a watch and forwards.
    Relay,
}

/// Configuration of a follower.
#[derive(Clone, Debug)]
pub struct FollowerConfig {
    /// This process.
    pub record: SessionRecord,
    /// How revisions reach it.
    pub dissemination: Dissemination,
}

/// Something that concerns the record.
#[derive(Clone, Debug)]
pub enum FollowerEvent {
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

/// Something that a follower wants done.
#[derive(Clone, Debug)]
pub enum FollowerAction {
    /// A call to the store.
    Store {
        /// The follower's identifier of the call.
        call: CallId,
        /// The call.
        op: StoreOp,
    },
    /// A higher revision than any before is to be put in force.
    InForce(Arc<Agreement>),
    /// A revision is to be forwarded.
    Forward {
        /// The process that needs it.
        to: ProcessId,
        /// The message.
        message: PeerMessage,
    },
}

/// The state machine that follows the record.
#[derive(Debug)]
pub struct Follower {
    cfg: FollowerConfig,
    view: PrefixView,
    in_force: Option<Arc<Agreement>>,
    processes: Vec<SessionRecord>,
    read: Option<CallId>,
    read_at: Timestamp,
    next_call: CallId,
}

impl Follower {
    /// Returns a follower with no revision in force.
    pub fn new(cfg: FollowerConfig) -> Follower {
        Follower {
            cfg,
            view: PrefixView::new(AGREEMENT_KEY),
            in_force: None,
            processes: Vec::new(),
            read: None,
            read_at: Timestamp(0),
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
        let first = relay_for_domain(&self.cfg.record.domain, self.processes.iter());
        first.is_some_and(|it| it.process == self.cfg.record.process)
    }

    /// Returns when the follower next needs a [`FollowerEvent::Tick`].
    pub fn next_deadline(&self) -> Option<Timestamp> {
        let watch = self.view.next_deadline().filter(|_| self.is_watching());
        let read = (self.read.is_none() && !self.is_watching()).then_some(self.read_at);
        earliest(watch, read)
    }

    /// Handles an event.
    pub fn handle(&mut self, now: Timestamp, event: FollowerEvent, out: &mut Vec<FollowerAction>) {
        match event {
            FollowerEvent::Tick => (),
            FollowerEvent::StoreReply { call, result } => {
                self.store_reply(now, call, &result, out);
            }
            FollowerEvent::Processes(processes) => self.processes_changed(processes, out),
            FollowerEvent::Forwarded(agreement) => self.offer(agreement, out),
        }
        self.poll_store(now, out);
    }

    fn store_reply(
        &mut self,
        now: Timestamp,
        call: CallId,
        result: &StoreResult,
        out: &mut Vec<FollowerAction>,
    ) {
        if self.read == Some(call) {
            self.read = None;
            self.read_at = now.plus_ms(FALLBACK_READ_MS);
            if let Ok(StoreReply::Got { entry: Some(entry), .. }) = result {
                self.offer_record(&entry.value, out);
            }
            return;
        }
        for change in self.view.handle(now, call, result).unwrap_or_default() {
            // A deleted record leaves the last revision in force: an accepted
            // configuration never reverts.
            if let ViewChange::Put(entry) = change {
                self.offer_record(&entry.value, out);
            }
        }
    }

    fn offer_record(&mut self, value: &[u8], out: &mut Vec<FollowerAction>) {
        if let Some(record) = decode::<AgreementRecord>(value) {
            self.offer(Arc::new(record.to_agreement()), out);
        }
    }

    /// Puts a revision in force if it is above the current one.
    fn offer(&mut self, agreement: Arc<Agreement>, out: &mut Vec<FollowerAction>) {
        if self.in_force.is_some() && agreement.revision <= self.revision() {
            return;
        }
        self.in_force = Some(Arc::clone(&agreement));
        out.push(FollowerAction::InForce(agreement));
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

    fn forward(&self, receivers: Vec<ProcessId>, out: &mut Vec<FollowerAction>) {
        let Some(agreement) = &self.in_force else { return };
        for to in receivers {
            let message = PeerMessage::Configuration(Arc::clone(agreement));
            out.push(FollowerAction::Forward { to, message });
        }
    }

    fn processes_changed(&mut self, processes: Vec<SessionRecord>, out: &mut Vec<FollowerAction>) {
        let before = std::mem::replace(&mut self.processes, processes);
        if self.cfg.dissemination == Dissemination::Relay && self.is_relay() {
            // A process that just came has no revision yet.
            let is_new = |it: &&ProcessId| before.iter().all(|old| old.process != **it);
            let newcomers: Vec<_> = self.receivers().filter(is_new).cloned().collect();
            self.forward(newcomers, out);
        }
    }

    fn poll_store(&mut self, now: Timestamp, out: &mut Vec<FollowerAction>) {
        let call = self.next_call;
        let op = if self.is_watching() {
            self.view.poll(now, call)
        } else if self.read.is_none() && self.read_at <= now {
            self.read = Some(call);
            Some(StoreOp::Get { key: AGREEMENT_KEY.to_owned() })
        } else {
            None
        };
        if let Some(op) = op {
            self.next_call = call.next();
            out.push(FollowerAction::Store { call, op });
        }
    }
}
