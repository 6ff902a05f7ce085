//! Control task: keeps the process's session in the store, and follows the
//! sessions of the other processes and the agreement.

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

/// Longest wait between two polls of the state machines, in milliseconds.
const MAX_IDLE_MS: u64 = 1_000;

/// Timeout for ending the session at shutdown, in milliseconds.
const END_TIMEOUT_MS: u64 = 1_000;

/// The state machine that made a store call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallSource {
    Session,
    View,
    Follower,
}

/// Channels between the control task and the rest of the process.
pub struct ControlChannels {
    /// Agreements received from other processes.
    pub forwarded: mpsc::Receiver<Arc<Agreement>>,
    /// Agreements to forward to other processes.
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
    calls: JoinSet<(CallSource, CallId, StoreResult)>,
    next_call: CallId,
}

/// Renews the session and follows the store until the process has drained and
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
    control.run_until_drain().await;
    control.shut_down().await;
}

impl<C: ShardClient, S: Store> Control<C, S> {
    async fn run_until_drain(&mut self) {
        let draining = self.entry.draining().clone();
        let clock = self.entry.clock();
        loop {
            self.poll();
            let until = self.next_deadline();
            tokio::select! {
                Some(joined) = self.calls.join_next() => {
                    if let Ok((source, call, result)) = joined {
                        self.handle_reply(source, call, result);
                    }
                }
                Some(agreement) = self.channels.forwarded.recv() => {
                    self.handle_follower_event(AgreementFollowerEvent::Forwarded(agreement));
                }
                () = clock.sleep_until(until) => {}
                () = draining.cancelled() => return,
            }
        }
    }

    /// Marks the session as draining, waits for the requests in progress and ends
    /// the session, so that other processes do not have to wait for its expiry.
    async fn shut_down(&mut self) {
        let clock = self.entry.clock();
        let deadline = clock.now().plus_ms(self.entry.cfg().shutdown_ms);
        self.session.set_draining(clock.now());
        self.poll_session();
        // Requests in progress still use this process's share of the limits.
        let tasks = self.entry.tasks().clone();
        let _ = tokio::time::timeout(clock.until(deadline), tasks.wait()).await;
        let deadline = clock.now().plus_ms(END_TIMEOUT_MS);
        self.session.end(clock.now());
        while !self.session.is_ended() && clock.now() < deadline {
            self.poll_session();
            let until = self.session.next_deadline().map_or(deadline, |it| it.min(deadline));
            tokio::select! {
                Some(joined) = self.calls.join_next() => {
                    if let Ok((CallSource::Session, call, result)) = joined {
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
        let call = self.next_call_id();
        if let Some(op) = self.view.poll(now, call) {
            self.start(CallSource::View, call, op);
        }
        self.handle_follower_event(AgreementFollowerEvent::Tick);
    }

    fn poll_session(&mut self) {
        let call = self.next_call_id();
        if let Some(op) = self.session.poll(self.entry.clock().now(), call) {
            self.start(CallSource::Session, call, op);
        }
    }

    fn next_call_id(&mut self) -> CallId {
        self.next_call = self.next_call.next();
        self.next_call
    }

    fn start(&mut self, source: CallSource, call: CallId, op: StoreOp) {
        let store = Arc::clone(&self.store);
        self.calls.spawn(async move { (source, call, store.call(op).await) });
    }

    fn handle_reply(&mut self, source: CallSource, call: CallId, result: StoreResult) {
        let now = self.entry.clock().now();
        match source {
            CallSource::Session => {
                self.session.handle(now, call, &result);
            }
            CallSource::View => {
                let changes = self.view.handle(now, call, &result);
                if changes.is_some_and(|it| !it.is_empty()) {
                    self.publish_sessions();
                }
            }
            CallSource::Follower => {
                self.handle_follower_event(AgreementFollowerEvent::StoreReply { call, result })
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
        self.handle_follower_event(AgreementFollowerEvent::Processes(records.clone()));
        self.channels.sessions.send_replace(records.into());
    }

    fn handle_follower_event(&mut self, event: AgreementFollowerEvent) {
        let mut actions = Vec::new();
        self.follower.handle(self.entry.clock().now(), event, &mut actions);
        for action in actions {
            match action {
                AgreementFollowerAction::Store { call, op } => {
                    self.start(CallSource::Follower, call, op)
                }
                AgreementFollowerAction::Activate(agreement) => {
                    info!(self.entry.log(), "agreement in force";
                        "revision" => %agreement.revision);
                    self.entry.activate(agreement);
                }
                AgreementFollowerAction::Forward { to, message } => {
                    // If this message is lost, the receiver reads the record
                    // from the store.
                    let _ = self.channels.forwards.try_send((to, message));
                }
            }
        }
    }
}
