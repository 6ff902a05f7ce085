//! Messages of a leader whose task does not receive them.

#[path = "support/local.rs"]
mod local;

use std::{sync::Arc, time::Duration};

use local::Local;
use mustardcove_core::{
    fleet::{
        evacuation::EvacuationList,
        id::{ManifestVersion, Term},
        message::{FleetMessage, Heartbeat},
    },
    id::ProcessId,
    message::PeerMessage,
    time::Timestamp,
};
use mustardcove_node::{
    dispatch::{self, Routes},
    shared::Leadership,
};
use mustardcove_runtime::peer::PeerEvent;
use tokio::sync::mpsc;

/// Longest time to handle a few messages.
const SHORT: Duration = Duration::from_secs(2);

fn event(from: &ProcessId, message: FleetMessage) -> PeerEvent {
    let message = Box::new(PeerMessage::Fleet(Box::new(message)));
    PeerEvent::Message { from: from.clone(), message }
}

/// Guards against a process that no longer handles any message, above all the
/// heartbeats of its successor, since messages for its leader task fill a queue
/// that is not read while the store does not answer.
#[tokio::test]
async fn full_queue_blocks_nothing() {
    let Local { shared, events: _events, store: _store, .. } = Local::start().await;
    let own = Leadership { term: Term(5), leader: Some(shared.process.clone()) };
    shared.leadership.send_replace(own);
    let (poller, _poller_inputs) = mpsc::channel(1);
    let (leader, _leader_inputs) = mpsc::channel(2);
    let (events, received) = mpsc::channel(16);
    tokio::spawn(dispatch::run(Arc::clone(&shared), received, Routes { poller, leader }));
    let peer: ProcessId = "other.1".parse().expect("a valid name");
    for _ in 0..5 {
        let cancelled = FleetMessage::Cancelled(Vec::new());
        events.send(event(&peer, cancelled)).await.expect("dispatch runs");
    }
    let heartbeat = Heartbeat {
        term: Term(6),
        region: "north".parse().expect("a valid name"),
        sent_at: Timestamp::default(),
        covered: None,
        report_delay_ms: 0,
        needs_witnesses: false,
        manifest: ManifestVersion::default(),
        pending: None,
        reaching_store: Vec::new(),
        evacuations: EvacuationList::default(),
        load: None,
        places: Vec::new(),
    };
    events.send(event(&peer, FleetMessage::Heartbeat(heartbeat))).await.expect("dispatch runs");
    let mut leadership = shared.leadership.subscribe();
    let successor = leadership.wait_for(|it| it.leader.as_ref() == Some(&peer));
    let is_known = tokio::time::timeout(SHORT, successor).await.is_ok();
    assert!(is_known, "the heartbeat of the successor is not handled");
}
