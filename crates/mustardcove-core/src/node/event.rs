//! Events and actions of a node.

use std::sync::Arc;

use crate::{
    agreement::Agreement,
    id::{CallId, Epoch, GroupId, ProcessId, ShardId, WorkerId},
    message::{GroupToShard, PeerMessage, ShardToGroup},
    store::{StoreOp, StoreResult},
    time::Timestamp,
    worker::{WorkerInfo, WorkerOp, WorkerReport, WorkerResult},
};

/// The state machine inside a node that made a call.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum CallOwner {
    /// The ownership state machine.
    Ownership,
    /// A shard.
    Shard(ShardId),
    /// A group.
    Group(GroupId),
}

/// Identifies a call made by a state machine inside a node.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct NodeCall {
    /// The state machine that made the call.
    pub owner: CallOwner,
    /// Distinguishes a shard or group from an earlier one with the same
    /// identifier, whose answers must not reach it; zero for ownership.
    pub generation: u64,
    /// The identifier that the state machine gave the call.
    pub call: CallId,
}

/// An input of a node.
#[derive(Clone, Debug)]
pub enum NodeEvent {
    /// Time passed; sent no later than the node's next deadline.
    Tick,
    /// A call to the store ended.
    StoreReply {
        /// The call.
        call: NodeCall,
        /// Its result.
        result: StoreResult,
    },
    /// A call to a worker ended.
    WorkerReply {
        /// The call.
        call: NodeCall,
        /// The worker.
        worker: WorkerId,
        /// Its result.
        result: WorkerResult,
    },
    /// A worker reported without being asked.
    Report(WorkerReport),
    /// Another process, or this one, sent a message.
    Peer {
        /// The sender.
        from: ProcessId,
        /// The message.
        message: PeerMessage,
    },
    /// A connection to another process was opened; messages that were sent to
    /// it before may be lost.
    PeerConnected(ProcessId),
    /// The instance list changed; carries all workers in it.
    Workers(Arc<[WorkerInfo]>),
    /// A revision of the agreement was received.
    Agreement(Arc<Agreement>),
    /// The process is shutting down.
    Drain,
}

/// An output of a node, to be carried out by the driver.
#[derive(Clone, Debug)]
pub enum NodeAction {
    /// A call to the store.
    Store {
        /// The call.
        call: NodeCall,
        /// The operation.
        op: StoreOp,
    },
    /// A call to a worker.
    Worker {
        /// The call.
        call: NodeCall,
        /// The worker.
        worker: WorkerId,
        /// The operation.
        op: WorkerOp,
        /// The latest time at which the call may be sent; later it is dropped.
        not_after: Timestamp,
    },
    /// A message to another process.
    Peer {
        /// The receiver.
        to: ProcessId,
        /// The message.
        message: PeerMessage,
    },
    /// A change to be shown in logs and metrics.
    Changed(NodeChange),
}

/// A change of what a node owns.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NodeChange {
    /// A shard was opened; it serves requests once it has recovered.
    ShardOpened(ShardId),
    /// A shard was taken over by another process.
    ShardFenced(ShardId),
    /// A shard was handed over.
    ShardHandedOver {
        /// The shard.
        shard: ShardId,
        /// The successor.
        to: ProcessId,
    },
    /// A group was claimed.
    GroupOpened {
        /// The group.
        group: GroupId,
        /// The epoch of the claim.
        epoch: Epoch,
    },
    /// A group was released or lost.
    GroupClosed(GroupId),
    /// A process has ended.
    ProcessEnded(ProcessId),
    /// Everything was handed over and the session has ended.
    Drained,
}

/// A message between state machines of the same node.
#[derive(Clone, Debug)]
pub(super) enum LocalEvent {
    ToGroup { shard: ShardId, group: GroupId, body: ShardToGroup },
    ToShard { group: GroupId, shard: ShardId, body: GroupToShard },
}
