//! State machine of one worker group.
//!
//! The owner of a group is the only one that commits capacity on its workers.
//! What it knows is soft state: a new owner rebuilds it from what the workers
//! list and from what the shards have bound. See `docs/design.md`, sections
//! 3.3 and 3.4.

use std::sync::Arc;

use bytes::Bytes;

use crate::{
    agreement::Agreement,
    id::{CallId, ShardId, WorkerId},
    message::{GroupSummary, GroupToShard, ShardToGroup},
    store::{StoreOp, StoreResult},
    time::Timestamp,
    worker::{WorkerInfo, WorkerOp, WorkerReport, WorkerResult},
};

/// Something that happened to a group.
#[derive(Clone, Debug)]
pub enum GroupEvent {
    /// Time passed; sent no later than the group's next deadline.
    Tick,
    /// The claim holds until the deadline: nothing may be started after it.
    ClaimDeadline(Timestamp),
    /// The workers of the group, from the instance list.
    Workers(Arc<[WorkerInfo]>),
    /// A call to the store ended.
    StoreReply {
        /// The call.
        call: CallId,
        /// Its result.
        result: StoreResult,
    },
    /// A call to a worker ended.
    WorkerReply {
        /// The worker.
        worker: WorkerId,
        /// The call.
        call: CallId,
        /// Its result.
        result: WorkerResult,
    },
    /// A worker reported without being asked.
    Report(WorkerReport),
    /// The owner of a shard sent a message.
    Shard {
        /// The shard.
        from: ShardId,
        /// The message.
        body: ShardToGroup,
    },
    /// A revision of the agreement is in force.
    Agreement(Arc<Agreement>),
    /// Another group published what it learned about interference.
    Interference(Bytes),
    /// The group is to be given up: nothing more is started.
    Release,
}

/// Something that a group wants done.
#[derive(Clone, Debug)]
pub enum GroupAction {
    /// A call to the store.
    Store {
        /// The group's identifier of the call.
        call: CallId,
        /// The call.
        op: StoreOp,
    },
    /// A call to a worker.
    Worker {
        /// The group's identifier of the call.
        call: CallId,
        /// The worker.
        worker: WorkerId,
        /// The call.
        op: WorkerOp,
        /// The driver drops the call if this time has passed when it is about
        /// to write to the socket, so that a paused process starts nothing.
        not_after: Timestamp,
    },
    /// A message to the owner of a shard.
    Shard {
        /// The shard.
        to: ShardId,
        /// The message.
        body: GroupToShard,
    },
    /// Free capacity, for every scheduler process.
    Summary(GroupSummary),
    /// Learned slowdowns, for the other groups.
    Interference(Bytes),
    /// Nothing is in flight any more and the claim may be given up.
    Released,
}
