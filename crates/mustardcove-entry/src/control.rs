//! What the process learns from and tells to the store: its own session, the
//! sessions of the other processes, and the agreement.

use std::sync::Arc;

use mustardcove_core::{
    agreement::Agreement,
    configuration::{
        AgreementFollower, AgreementFollowerAction, AgreementFollowerConfig,
        AgreementFollowerEvent, Dissemination,
    },
    id::{CallId, ProcessId},
    message::PeerMessage,
    ownership::{
        ProcessKind, SessionRecord,
        record::{SESSION_PREFIX, decode_record},
        session::{ENTRY_SESSION_RENEW_MS, ENTRY_SESSION_TTL_MS, Session},
    },
    store::{StoreOp, StoreResult, watch::PrefixView},
    time::{Timestamp, earliest},
};
use mustardcove_platform::Store;
use slog::info;
use tokio::{
    sync::{mpsc, watch},
    task::JoinSet,
};

use crate::{entry::Entry, shards::ShardClient};

/// Longest wait between two looks at the machines, in milliseconds.
const MAX_IDLE_MS: u64 = 1_000;

/// Time that ending the session may take at shutdown, in milliseconds.
const END_TIMEOUT_MS: u64 = 1_000;

/// Which machine made a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Caller {
    Session,
    View,
    Follower,
}

/// Ends of the channels between the control task and the rest.
pub struct ControlChannels {
    /// Agreements that other processes forwarded.
    pub forwarded: mpsc::Receiver<Arc<Agreement>>,
    /// Agreements that are to be forwarded to other processes.
    pub forwards: mpsc::Sender<(ProcessId, PeerMessage)>,
    /// The live processes.
    pub sessions: watch::Sender<Arc<[SessionRecord]>>,
}

struct Control<C, S> {
    entry: Arc<Entry<C>>,
    store: Arc<S>,
    session: Session,
    view: PrefixView,
    follower: AgreementFollower,
    channels: ControlChannels,
    calls: JoinSet<(Caller, CallId, StoreResult)>,
    next_call: CallId,
}

/// Keeps the session and follows the store, until the process has drained and
/// its session has ended.
pub async fn run<C: ShardClient, S: Store>(
    entry: Arc<Entry<C>>,
    store: Arc<S>,
    record: SessionRecord,
    dissemination: Dissemination,
    channels: ControlChannels,
) {
    let follower =
        AgreementFollower::new(AgreementFollowerConfig { record: record.clone(), dissemination });
    let mut control = Control {
        entry,
        store,
        session: Session::new(record, ENTRY_SESSION_TTL_MS, ENTRY_SESSION_RENEW_MS),
        view: PrefixView::new(SESSION_PREFIX),
        follower,
        channels,
        calls: JoinSet::new(),
        next_call: CallId(0),
    };
    control.follow().await;
    control.end().await;
}

impl<C: ShardClient, S: Store> Control<C, S> {
    async fn follow(&mut self) {
        let draining = self.entry.draining().clone();
        let clock = self.entry.clock();
        loop {
            self.poll();
            let until = self.next_deadline();
            tokio::select! {
                Some(joined) = self.calls.join_next() => {
                    if let Ok((caller, call, result)) = joined {
                        self.on_reply(caller, call, result);
                    }
                }
                Some(agreement) = self.channels.forwarded.recv() => {
                    self.follow_event(AgreementFollowerEvent::Forwarded(agreement));
                }
                () = clock.sleep_until(until) => {}
                () = draining.cancelled() => return,
            }
        }
    }

    /// Ends the session, so that the others learn of it at once.
    async fn end(&mut self) {
        let clock = self.entry.clock();
        let deadline = clock.now().plus_ms(self.entry.cfg().shutdown_ms);
        self.session.set_draining(clock.now());
        self.poll_session();
        // Requests under way still use this process's part of the limits.
        let tasks = self.entry.tasks().clone();
        let _ = tokio::time::timeout(clock.until(deadline), tasks.wait()).await;
        let deadline = clock.now().plus_ms(END_TIMEOUT_MS);
        self.session.end(clock.now());
        while !self.session.is_ended() && clock.now() < deadline {
            self.poll_session();
            let until = self.session.next_deadline().map_or(deadline, |it| it.min(deadline));
            tokio::select! {
                Some(joined) = self.calls.join_next() => {
                    if let Ok((Caller::Session, call, result)) = joined {
                        self.session.handle(clock.now(), call, &result);
                    }
                }
                () = clock.sleep_until(until.max(clock.now().plus_ms(1))) => {}
            }
        }
    }

    fn next_deadline(&self) -> Timestamp {
        let now = self.entry.clock().now();
        let deadline = earliest(self.session.next_deadline(), self.view.next_deadline());
        let deadline = earliest(deadline, self.follower.next_deadline());
        let latest = now.plus_ms(MAX_IDLE_MS);
        deadline.map_or(latest, |it| it.clamp(now.plus_ms(1), latest))
    }

    fn poll(&mut self) {
        self.poll_session();
        let now = self.entry.clock().now();
        let call = self.take_call();
        if let Some(op) = self.view.poll(now, call) {
            self.start(Caller::View, call, op);
        }
        self.follow_event(AgreementFollowerEvent::Tick);
    }

    fn poll_session(&mut self) {
        let call = self.take_call();
        if let Some(op) = self.session.poll(self.entry.clock().now(), call) {
            self.start(Caller::Session, call, op);
        }
    }

    fn take_call(&mut self) -> CallId {
        self.next_call = self.next_call.next();
        self.next_call
    }

    fn start(&mut self, caller: Caller, call: CallId, op: StoreOp) {
        let store = Arc::clone(&self.store);
        self.calls.spawn(async move { (caller, call, store.call(op).await) });
    }

    fn on_reply(&mut self, caller: Caller, call: CallId, result: StoreResult) {
        let now = self.entry.clock().now();
        match caller {
            Caller::Session => {
                self.session.handle(now, call, &result);
            }
            Caller::View => {
                let changes = self.view.handle(now, call, &result);
                if changes.is_some_and(|it| !it.is_empty()) {
                    self.publish_sessions();
                }
            }
            Caller::Follower => {
                self.follow_event(AgreementFollowerEvent::StoreReply { call, result })
            }
        }
    }

    fn publish_sessions(&mut self) {
        let records =
            self.view.entries().filter_map(|it| decode_record::<SessionRecord>(&it.value));
        let records: Vec<SessionRecord> = records.collect();
        let entries = records.iter().filter(|it| it.kind == ProcessKind::Entry && !it.draining);
        let entries: Vec<ProcessId> = entries.map(|it| it.process.clone()).collect();
        self.entry.set_entries(&entries);
        self.follow_event(AgreementFollowerEvent::Processes(records.clone()));
        self.channels.sessions.send_replace(records.into());
    }

    fn follow_event(&mut self, event: AgreementFollowerEvent) {
        let mut actions = Vec::new();
        self.follower.handle(self.entry.clock().now(), event, &mut actions);
        for action in actions {
            match action {
                AgreementFollowerAction::Store { call, op } => {
                    self.start(Caller::Follower, call, op)
                }
                AgreementFollowerAction::Activate(agreement) => {
                    info!(self.entry.log(), "agreement in force";
                        "revision" => %agreement.revision);
                    self.entry.put_in_force(agreement);
                }
                AgreementFollowerAction::Forward { to, message } => {
                    // The receiver reads the record itself if this is lost.
                    let _ = self.channels.forwards.try_send((to, message));
                }
            }
        }
    }
}
