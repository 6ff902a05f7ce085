//! Dispatches messages of other processes to the tasks that handle them.

use std::sync::Arc;

use mustardcove_core::{
    fleet::{
        election::Candidacy,
        id::Term,
        message::{FleetMessage, Heartbeat},
        poller::LeasePermission,
    },
    id::ProcessId,
    message::PeerMessage,
};
use mustardcove_runtime::peer::PeerEvent;
use slog::{info, warn};
use tokio::sync::mpsc::{self, error::TrySendError};

use crate::{
    durable,
    leader::LeaderInput,
    poller::PollerInput,
    shared::{Leadership, Shared},
};

/// Time limit of a write on behalf of another process, in milliseconds.
const PEER_WRITE_TIMEOUT_MS: u64 = 1_500;

/// The tasks that receive messages.
#[derive(Clone, Debug)]
pub struct Routes {
    /// The poller.
    pub poller: mpsc::Sender<PollerInput>,
    /// The leader task, which receives only while this process leads.
    pub leader: mpsc::Sender<LeaderInput>,
}

/// Handles events until the transport closes the channel.
pub async fn run(shared: Arc<Shared>, mut events: mpsc::Receiver<PeerEvent>, routes: Routes) {
    while let Some(event) = events.recv().await {
        match event {
            PeerEvent::Message { from, message } => {
                if let PeerMessage::Fleet(message) = *message {
                    handle(&shared, &routes, from, *message).await;
                }
            }
            PeerEvent::Up { process } => {
                if shared.leadership.borrow().leader.as_ref() == Some(&process) {
                    shared.update_candidacy(|it, _| it.connection_restored());
                }
            }
            PeerEvent::Down { process, graceful } => {
                if shared.leadership.borrow().leader.as_ref() == Some(&process) {
                    info!(shared.log, "connection to the leader lost"; "leader" => %process,
                        "graceful" => graceful);
                    shared.update_candidacy(Candidacy::connection_broke);
                }
                to_leader(&shared, &routes, LeaderInput::Down { process });
            }
        }
    }
}

/// Passes an input to the leader task; drops it while this process does not
/// lead, or if the queue is full.
///
/// The leader task does not receive while it reads the records of earlier
/// leaders, which lasts as long as the store does not answer, nor after its
/// term. Waiting for it would keep the heartbeats of its successor and the
/// orders for this process's workers from being handled. Senders repeat what
/// must arrive.
fn to_leader(shared: &Shared, routes: &Routes, input: LeaderInput) {
    let is_leader = shared.leadership.borrow().leader.as_ref() == Some(&shared.process);
    if !is_leader {
        return;
    }
    match routes.leader.try_send(input) {
        Ok(()) => {}
        Err(TrySendError::Full(_)) => shared.metrics.leader_input_dropped(),
        Err(TrySendError::Closed(_)) => warn!(shared.log, "leader task has ended"),
    }
}

async fn handle(shared: &Arc<Shared>, routes: &Routes, from: ProcessId, message: FleetMessage) {
    match message {
        FleetMessage::Heartbeat(heartbeat) => record_heartbeat(shared, from, heartbeat),
        FleetMessage::SteppedDown { term } => {
            if shared.leadership.borrow().term == term {
                info!(shared.log, "leader stepped down"; "leader" => %from, "term" => %term);
                shared.record_step_down(term);
                shared.update_candidacy(Candidacy::leader_stepped_down);
            }
        }
        FleetMessage::SuccessorWanted { term } => {
            if shared.leadership.borrow().term == term {
                info!(shared.log, "leader asks for a successor"; "leader" => %from,
                    "term" => %term);
                shared.update_candidacy(Candidacy::leader_stepped_down);
            }
        }
        FleetMessage::Assign { term, workers } => {
            if is_current(shared, term) {
                // The poller ends only with the process.
                let _ = routes.poller.send(PollerInput::Assign { term, workers }).await;
            }
        }
        FleetMessage::Orders { term, handled, covered, orders } => {
            if is_current(shared, term) {
                let permission = LeasePermission::new(covered);
                let orders = PollerInput::Orders { term, handled, permission, orders };
                let _ = routes.poller.send(orders).await;
            }
        }
        FleetMessage::States { term, states } => {
            shared.states().apply(term, &states);
        }
        FleetMessage::Acknowledged { submissions, cancelled } => {
            shared.outbox.acknowledged(&submissions, &cancelled);
        }
        FleetMessage::Joined(_)
        | FleetMessage::Report { .. }
        | FleetMessage::EarlierLeases { .. }
        | FleetMessage::LeaderDisplaced { .. }
        | FleetMessage::Submitted(_)
        | FleetMessage::Cancelled(_)
        | FleetMessage::Explain { .. } => {
            let received_at = shared.now();
            let message = Box::new(message);
            to_leader(shared, routes, LeaderInput::Message { from, message, received_at });
        }
        FleetMessage::LeasesLearned { term } => shared.record_leases_learned(term),
        FleetMessage::Store { request, change } => {
            let shared = shared.clone();
            tokio::spawn(async move {
                let deadline = shared.now().plus_ms(PEER_WRITE_TIMEOUT_MS);
                let outcome = durable::store_for_peer(&shared, &change, deadline).await;
                shared.send(&from, FleetMessage::Stored { request, outcome });
            });
        }
        FleetMessage::Stored { request, outcome } => {
            shared.store_requests.answered(request, outcome);
        }
        FleetMessage::Explained { request, reply } => {
            shared.explanations.answered(request, reply);
        }
        FleetMessage::AskHeard { vote, term } => {
            if let Some(hears) = shared.hears_leader(term) {
                shared.send(&from, FleetMessage::Heard { vote, hears });
            }
        }
        FleetMessage::Heard { vote, hears } => shared.record_vote(vote, &from, hears),
    }
}

fn is_current(shared: &Shared, term: Term) -> bool {
    shared.leadership.borrow().term <= term
}

fn record_heartbeat(shared: &Shared, from: ProcessId, heartbeat: Heartbeat) {
    let known = shared.leadership.borrow().clone();
    if heartbeat.term < known.term {
        return;
    }
    if known.term < heartbeat.term || known.leader.is_none() {
        info!(shared.log, "leader changed"; "leader" => %from, "term" => %heartbeat.term,
            "before" => %known.term);
        shared.leadership.send_replace(Leadership { term: heartbeat.term, leader: Some(from) });
        shared.outbox.added.notify_one();
    }
    if shared.manifest_version() < heartbeat.manifest {
        shared.newer_manifest.notify_one();
    }
    shared.record_heartbeat(heartbeat);
}
