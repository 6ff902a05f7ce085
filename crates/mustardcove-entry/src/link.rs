//! Links to other processes over the peer transport.

use mustardcove_core::{
    id::{ProcessId, Revision, ShardId},
    message::{ShardRequest, ShardResponse},
    ownership::SessionRecord,
    time::Timestamp,
    verdict::{Refusal, RefusalReason, Verdict},
};
use mustardcove_runtime::peer::{PeerError, Peers};

use crate::{operators::RevisionSource, shards::ShardLink};

/// Sends requests over the process's connections to its peers.
#[derive(Clone, Debug)]
pub struct PeerLink {
    peers: Peers,
}

impl PeerLink {
    /// Returns a link that uses the peer connections.
    pub fn new(peers: Peers) -> PeerLink {
        PeerLink { peers }
    }
}

fn refusal(error: &PeerError) -> Refusal {
    let detail = error.to_string();
    match error.verdict() {
        Verdict::NotRun => Refusal::not_run(RefusalReason::NoOwner, detail),
        Verdict::Ran | Verdict::MayHaveRun => Refusal::may_have_run(RefusalReason::NoOwner, detail),
    }
}

impl ShardLink for PeerLink {
    async fn send(
        &self,
        to: &SessionRecord,
        shard: ShardId,
        body: ShardRequest,
        deadline: Timestamp,
    ) -> Result<ShardResponse, Refusal> {
        let answer = self.peers.request(&to.process, shard, body, deadline).await;
        answer.map_err(|error| refusal(&error))
    }
}

impl RevisionSource for PeerLink {
    async fn revision_of(&self, process: &ProcessId, deadline: Timestamp) -> Option<Revision> {
        self.peers.request_revision(process, deadline).await.ok()
    }
}
