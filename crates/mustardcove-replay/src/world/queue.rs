//! Events in order of virtual time.

use std::{cmp::Ordering, collections::BinaryHeap};

use mustardcove_core::store::StoreResult;

use super::{
    ProcessIndex, WorkerPosition, fleet::WorkerCall, jobs::CallerAnswer, process::ProcessEvent,
    store::StoreCall, upstream::UpstreamRequest,
};

/// Something that happens in the world.
#[derive(Debug)]
pub(crate) enum Event {
    /// An event of the trace.
    Trace(usize),
    /// The next arrival of a stream, by its position in the trace.
    StreamNext(usize),
    /// Something reaches a process.
    Deliver { to: ProcessIndex, born: u64, event: Box<ProcessEvent> },
    /// A call reaches the store.
    StoreArrive(Box<StoreCall>),
    /// A lease may have passed.
    StoreExpire,
    /// A watch has waited long enough.
    WatchTimeout(u64),
    /// A call reaches a worker.
    WorkerArrive(Box<WorkerCall>),
    /// Something happens at a worker by itself.
    WorkerWake(WorkerPosition),
    /// A request reaches an upstream.
    UpstreamArrive(Box<UpstreamRequest>),
    /// An upstream is done with a request.
    UpstreamDone { worker: WorkerPosition, serving: u64 },
    /// A probe reaches an upstream.
    ProbeArrive { worker: WorkerPosition, from: (ProcessIndex, u64) },
    /// A change of the instances shows in the list.
    ListChanged,
    /// A caller asks, or asks again.
    CallerAsks(usize),
    /// An answer reaches a caller.
    CallerAnswered { caller: usize, answer: Box<CallerAnswer> },
    /// The store answers an operator.
    OperatorReply { operator: usize, result: StoreResult },
    /// It is time to see whether a revision is in force everywhere.
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

/// Events in order of time, those of one time in the order of pushing.
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

    /// Returns the next event if it happens before `end`.
    pub(crate) fn pop_before(&mut self, end: u64) -> Option<(u64, Event)> {
        if self.heap.peek()?.at >= end {
            return None;
        }
        self.heap.pop().map(|it| (it.at, it.event))
    }
}
