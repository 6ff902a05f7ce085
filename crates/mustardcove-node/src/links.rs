//! Hands messages of other processes to the parts that they concern.

use std::sync::Arc;

use mustardcove_core::{
    fleet::{
        election::Candidacy,
        id::Term,
        message::{FleetMessage, Heartbeat},
    },
    id::ProcessId,
    message::PeerMessage,
};
use mustardcove_runtime::peer::PeerEvent;
use slog::{info, warn};
use tokio::sync::mpsc;

use crate::{
    agent::AgentInput,
    durable,
    leader::LeaderInput,
    shared::{Leadership, Shared},
};

/// Longest time that a write for another process may take, in milliseconds.
const WRITE_FOR_PEER_MS: u64 = 1_500;

/// Where messages go.
#[derive(Clone, Debug)]
pub struct Routes {
    /// The part that calls workers.
    pub agent: mpsc::Sender<AgentInput>,
    /// The part that leads, if it does.
    pub leader: mpsc::Sender<LeaderInput>,
}

/// Handles events until the transport ends.
pub async fn run(shared: Arc<Shared>, mut events: mpsc::Receiver<PeerEvent>, routes: Routes) {
    while let Some(event) = events.recv().await {
        match event {
            PeerEvent::Message { from, message } => {
                if let PeerMessage::Fleet(message) = *message {
                    handle(&shared, &routes, from, *message).await;
                }
            }
            PeerEvent::Up { .. } => {}
            PeerEvent::Down { process, graceful } => {
                if shared.leadership.borrow().leader.as_ref() == Some(&process) {
                    info!(shared.log, "connection to the leader lost"; "leader" => %process,
                        "graceful" => graceful);
                    shared.update_candidacy(Candidacy::connection_broke);
                }
                to_leader(&shared, &routes, LeaderInput::Down { process }).await;
            }
        }
    }
}

/// Hands something to the part that leads; dropped while this process does
/// not lead.
async fn to_leader(shared: &Shared, routes: &Routes, input: LeaderInput) {
    let is_leader = shared.leadership.borrow().leader.as_ref() == Some(&shared.process);
    if is_leader && routes.leader.send(input).await.is_err() {
        warn!(shared.log, "the part that leads has ended");
    }
}

async fn handle(shared: &Arc<Shared>, routes: &Routes, from: ProcessId, message: FleetMessage) {
    match message {
        FleetMessage::Heartbeat(beat) => note_beat(shared, from, beat),
        FleetMessage::SteppedDown { term } => {
            if shared.leadership.borrow().term == term {
                info!(shared.log, "the leader left"; "leader" => %from, "term" => %term);
                shared.update_candidacy(Candidacy::leader_stepped_down);
            }
        }
        FleetMessage::Assign { term, workers } => {
            if is_current(shared, term) {
                // The part that calls workers ends only with the process.
                let _ = routes.agent.send(AgentInput::Assign { term, workers }).await;
            }
        }
        FleetMessage::Orders { term, orders } => {
            if is_current(shared, term) {
                let _ = routes.agent.send(AgentInput::Orders { term, orders }).await;
            }
        }
        FleetMessage::States { term, states } => {
            shared.answers().apply(term, &states);
        }
        FleetMessage::Acknowledged { submissions, cancelled } => {
            shared.outbox.taken(&submissions, &cancelled);
        }
        FleetMessage::Joined(_)
        | FleetMessage::Report { .. }
        | FleetMessage::Submitted(_)
        | FleetMessage::Cancelled(_) => {
            to_leader(shared, routes, LeaderInput::Message { from, message }).await;
        }
        FleetMessage::Store { request, change } => {
            let shared = shared.clone();
            tokio::spawn(async move {
                let deadline = shared.now().plus_ms(WRITE_FOR_PEER_MS);
                let outcome = durable::store_here(&shared, &change, deadline).await;
                shared.send(&from, FleetMessage::Stored { request, outcome });
            });
        }
        FleetMessage::Stored { request, outcome } => {
            shared.end_store_request(request, Some(outcome));
        }
    }
}

fn is_current(shared: &Shared, term: Term) -> bool {
    shared.leadership.borrow().term <= term
}

fn note_beat(shared: &Shared, from: ProcessId, beat: Heartbeat) {
    let known = shared.leadership.borrow().clone();
    if beat.term < known.term {
        return;
    }
    if known.term < beat.term || known.leader.is_none() {
        info!(shared.log, "leader changed"; "leader" => %from, "term" => %beat.term,
            "before" => %known.term);
        shared.leadership.send_replace(Leadership { term: beat.term, leader: Some(from) });
        shared.outbox.added.notify_one();
    }
    if shared.manifest_version() < beat.manifest {
        shared.newer_manifest.notify_one();
    }
    shared.note_beat(beat);
}
