//! Calls to the store and to workers on behalf of the state machines.

use std::{collections::HashMap, sync::Arc};

use mustardcove_core::{
    id::{CallId, WorkerId},
    node::NodeCall,
    store::{StoreOp, StoreResult},
    time::Timestamp,
    verdict::Verdict,
    worker::{WorkerError, WorkerOp, WorkerResult},
};
use mustardcove_platform::{Clock, Store, Workers};
use tokio::sync::mpsc;
use tokio_util::task::TaskTracker;

/// The end of a call.
#[derive(Debug)]
pub enum CallEnd {
    /// Of a call of the node to the store.
    Store {
        /// The call.
        call: NodeCall,
        /// Its result.
        result: StoreResult,
    },
    /// Of a call of the follower of the agreement to the store.
    Follower {
        /// The call.
        call: CallId,
        /// Its result.
        result: StoreResult,
    },
    /// Of a call to a worker.
    Worker {
        /// The call.
        call: NodeCall,
        /// The worker.
        worker: WorkerId,
        /// Its result.
        result: WorkerResult,
    },
}

/// Starts calls and reports their ends.
///
/// The channel is not bounded: the machines limit their calls in flight, and
/// an end that had to wait would hold up the lease that it renews.
#[derive(Debug)]
pub struct Calls<S, W> {
    store: Arc<S>,
    workers: Arc<W>,
    clock: Clock,
    addresses: HashMap<WorkerId, Arc<str>>,
    tasks: TaskTracker,
    ends: mpsc::UnboundedSender<CallEnd>,
}

impl<S: Store, W: Workers> Calls<S, W> {
    /// Returns calls whose ends go to `ends`.
    pub fn new(
        store: Arc<S>,
        workers: Arc<W>,
        clock: Clock,
        ends: mpsc::UnboundedSender<CallEnd>,
    ) -> Calls<S, W> {
        let addresses = HashMap::new();
        Calls { store, workers, clock, addresses, tasks: TaskTracker::new(), ends }
    }

    /// Replaces the addresses of the workers.
    pub fn set_addresses(&mut self, addresses: HashMap<WorkerId, Arc<str>>) {
        self.addresses = addresses;
    }

    /// Returns the address of a worker.
    pub fn address(&self, worker: &WorkerId) -> Option<&Arc<str>> {
        self.addresses.get(worker)
    }

    /// Returns the connections to the workers.
    pub fn workers(&self) -> &Arc<W> {
        &self.workers
    }

    /// Starts a call of the node to the store.
    pub fn store(&self, call: NodeCall, op: StoreOp) {
        self.call_store(op, |result| CallEnd::Store { call, result });
    }

    /// Starts a call of the follower to the store.
    pub fn follower(&self, call: CallId, op: StoreOp) {
        self.call_store(op, move |result| CallEnd::Follower { call, result });
    }

    fn call_store(&self, op: StoreOp, end: impl FnOnce(StoreResult) -> CallEnd + Send + 'static) {
        let (store, ends) = (Arc::clone(&self.store), self.ends.clone());
        self.tasks.spawn(async move {
            let result = store.call(op).await;
            // The driver is gone only when the process ends.
            let _ = ends.send(end(result));
        });
    }

    /// Starts a call to a worker, unless `not_after` has passed by then.
    pub fn worker(&self, call: NodeCall, worker: WorkerId, op: WorkerOp, not_after: Timestamp) {
        let ends = self.ends.clone();
        let Some(address) = self.addresses.get(&worker).cloned() else {
            let result = Err(WorkerError::Unreachable { verdict: Verdict::NotRun });
            let _ = ends.send(CallEnd::Worker { call, worker, result });
            return;
        };
        let (workers, clock) = (Arc::clone(&self.workers), self.clock);
        self.tasks.spawn(async move {
            let result = if not_after < clock.now() {
                Err(WorkerError::Unreachable { verdict: Verdict::NotRun })
            } else {
                workers.call(&address, op, not_after).await
            };
            let _ = ends.send(CallEnd::Worker { call, worker, result });
        });
    }
}
