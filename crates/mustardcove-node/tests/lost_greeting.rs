//! A process that has just started beside a leader that is alive.

#[path = "support/local.rs"]
#[expect(dead_code, reason = "shared with tests that need more of it")]
mod local;

use std::time::Duration;

use local::{Local, free_ip, start_peers};
use mustardcove_core::{
    fleet::{
        message::FleetMessage,
        record::{self, LEADER_KEY, LeaderRecord},
    },
    id::ProcessId,
    message::PeerMessage,
};
use mustardcove_node::membership;
use mustardcove_runtime::peer::PeerEvent;

/// Time within which a process that has started claims the leadership if it
/// hears of no leader, with some to spare.
const CLAIM_TIME: Duration = Duration::from_secs(4);

/// Guards against a claim beside a sound leader, which waits for all that may
/// run: the connection over which a process greets the leader may be closed in
/// favour of the one that the leader opens, and the greeting is lost with it.
/// Without a greeting the leader finds the process only when it reads the
/// records of all processes.
#[tokio::test]
async fn greets_again() {
    let local = Local::start().await;
    let shared = local.shared.clone();
    let leader: ProcessId = "leader.1".parse().expect("a valid name");
    let (peers, mut events) = start_peers(&leader, free_ip()).await;
    let record = LeaderRecord {
        process: leader,
        address: peers.address().to_string(),
        region: shared.settings.region.clone(),
        claims: 1,
    };
    local.store.put(LEADER_KEY, &record::encode(&record));
    let (_inputs, received) = membership::leader_queue();
    tokio::spawn(membership::run(shared.clone(), received));
    let mut greetings = 0;
    let heard = tokio::time::timeout(CLAIM_TIME, async {
        while greetings < 2 {
            let Some(event) = events.recv().await else { return };
            let PeerEvent::Message { message, .. } = event else { continue };
            let PeerMessage::Fleet(message) = *message else { continue };
            greetings += u32::from(matches!(*message, FleetMessage::Joined(_)));
        }
    });
    heard.await.ok();
    assert_eq!(greetings, 2, "the first one may be lost");
    let now = shared.store.get(LEADER_KEY).await.expect("an answer").expect("a record");
    assert_eq!(now.value, record::encode(&record), "it claims before it has greeted again");
}
