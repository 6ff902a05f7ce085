//! State machine of one shard of the job ledger.
//!
//! A shard owns the states of the jobs that hash to it. Its history is a log
//! of numbered segments in the store; see `docs/design.md`, sections 3.1 and
//! 3.2.

use std::sync::Arc;

use crate::{
    agreement::Agreement,
    id::{CallId, GroupId, ProcessId, RequestId, WorkerId},
    message::{GroupSummary, GroupToShard, ShardRequest, ShardResponse, ShardToGroup},
    store::{StoreOp, StoreResult},
};

/// Something that happened to a shard.
#[derive(Clone, Debug)]
pub enum ShardEvent {
    /// Time passed; sent no later than the shard's next deadline.
    Tick,
    /// A call to the store ended.
    StoreReply {
        /// The call.
        call: CallId,
        /// Its result.
        result: StoreResult,
    },
    /// An entry process, or this process itself, made a request.
    Request {
        /// The process that made it.
        from: ProcessId,
        /// Its identifier of the request.
        request: RequestId,
        /// The request.
        body: ShardRequest,
    },
    /// The owner of a group sent a message.
    Group {
        /// The group.
        from: GroupId,
        /// The message.
        body: GroupToShard,
    },
    /// The owner of a group published its free capacity.
    Summary(GroupSummary),
    /// A revision of the agreement is in force.
    Agreement(Arc<Agreement>),
    /// A process is known to have ended.
    ProcessGone(ProcessId),
    /// A worker left the instance list; its group's owner says what is lost.
    WorkerGone(WorkerId),
    /// The shard is to be handed to another process.
    HandOver {
        /// The process that takes it.
        to: ProcessId,
    },
}

/// Something that a shard wants done.
#[derive(Clone, Debug)]
pub enum ShardAction {
    /// A call to the store.
    Store {
        /// The shard's identifier of the call.
        call: CallId,
        /// The call.
        op: StoreOp,
    },
    /// The answer to a request.
    Respond {
        /// The process that made the request.
        to: ProcessId,
        /// Its identifier of the request.
        request: RequestId,
        /// The answer.
        body: ShardResponse,
    },
    /// A message to the owner of a group.
    Group {
        /// The group.
        to: GroupId,
        /// The message.
        body: ShardToGroup,
    },
    /// Another process has written to the log; the shard is to be dropped.
    Fenced,
    /// The last segment is durable and names the successor; the shard is to be
    /// dropped.
    HandedOver {
        /// The successor.
        to: ProcessId,
    },
}
