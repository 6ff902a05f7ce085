//! The event queue, in order of virtual time.

use std::{cmp::Ordering, collections::BinaryHeap};

use mustardcove_core::store::StoreResult;

use super::{
    ProcessIndex, WorkerPosition, callers::CallerAnswer, fleet::WorkerCall, process::ProcessEvent,
    store::StoreCall, upstream::UpstreamRequest,
};

/// An event in the world.
#[derive(Debug)]
pub(crate) enum Event {
    /// An event of the trace, by its index.
    Trace(usize),
    /// The next arrival of a stream, by the stream's index in the trace.
    StreamArrival(usize),
    /// An event reaches a process.
    Deliver { to: ProcessIndex, incarnation: u64, event: Box<ProcessEvent> },
    /// A call reaches the store.
    StoreCallArrived(Box<StoreCall>),
    /// A lease at the store may have expired.
    StoreLeaseExpiry,
    /// The wait of a watch at the store times out.
    WatchTimeout(u64),
    /// A call reaches a worker.
    WorkerCallArrived(Box<WorkerCall>),
    /// A worker's next own event is due, such as the end of a task.
    WorkerTimer(WorkerPosition),
    /// A request reaches an upstream.
    UpstreamRequestArrived(Box<UpstreamRequest>),
    /// An upstream ends its work on a request.
    UpstreamRequestEnded { worker: WorkerPosition, request: u64 },
    /// A probe reaches an upstream.
    ProbeArrived { worker: WorkerPosition, from: (ProcessIndex, u64) },
    /// The instance list shows a change.
    InstanceListChanged,
    /// A caller sends its request, for the first time or again.
    CallerSends(usize),
    /// An answer reaches a caller.
    CallerAnswered { caller: usize, answer: Box<CallerAnswer> },
    /// The store answers an operator.
    OperatorReply { operator: usize, result: StoreResult },
    /// Pending revisions are to be checked.
    CheckRevisions,
}

struct Item {
    at: u64,
    seq: u64,
    event: Event,
}

impl PartialEq for Item {
    fn eq(&self, other: &Item) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Item {}

impl PartialOrd for Item {
    fn partial_cmp(&self, other: &Item) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Item {
    fn cmp(&self, other: &Item) -> Ordering {
        (other.at, other.seq).cmp(&(self.at, self.seq))
    }
}

/// A queue of events ordered by time, and by insertion at the same time.
#[derive(Default)]
pub(crate) struct Queue {
    heap: BinaryHeap<Item>,
    pushed: u64,
}

impl Queue {
    pub(crate) fn push(&mut self, at: u64, event: Event) {
        self.pushed += 1;
        self.heap.push(Item { at, seq: self.pushed, event });
    }

    /// Returns the next event with its time if it happens before `end`.
    pub(crate) fn pop_before(&mut self, end: u64) -> Option<(u64, Event)> {
        if self.heap.peek()?.at >= end {
            return None;
        }
        self.heap.pop().map(|it| (it.at, it.event))
    }
}
