//! Dispatches the calls of the state machines to the store and to workers.

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

/// A finished call and its result.
#[derive(Debug)]
pub enum CallCompletion {
    /// The node called the store.
    Store {
        /// The call.
        call: NodeCall,
        /// Its result.
        result: StoreResult,
    },
    /// The follower of the agreement called the store.
    Follower {
        /// The call.
        call: CallId,
        /// Its result.
        result: StoreResult,
    },
    /// The node called a worker.
    Worker {
        /// The call.
        call: NodeCall,
        /// The worker.
        worker: WorkerId,
        /// Its result.
        result: WorkerResult,
    },
}

/// Runs each call in a task of its own and sends its completion to a channel.
///
/// The channel is unbounded: the state machines limit their calls in flight,
/// and a full channel would delay the renewal of leases.
#[derive(Debug)]
pub struct CallDispatcher<S, W> {
    store: Arc<S>,
    workers: Arc<W>,
    clock: Clock,
    addresses: HashMap<WorkerId, Arc<str>>,
    tasks: TaskTracker,
    completions: mpsc::UnboundedSender<CallCompletion>,
}

impl<S: Store, W: Workers> CallDispatcher<S, W> {
    /// Returns a dispatcher that sends completions to `completions`.
    pub fn new(
        store: Arc<S>,
        workers: Arc<W>,
        clock: Clock,
        completions: mpsc::UnboundedSender<CallCompletion>,
    ) -> CallDispatcher<S, W> {
        let addresses = HashMap::new();
        CallDispatcher { store, workers, clock, addresses, tasks: TaskTracker::new(), completions }
    }

    /// Replaces the addresses of all workers.
    pub fn set_addresses(&mut self, addresses: HashMap<WorkerId, Arc<str>>) {
        self.addresses = addresses;
    }

    /// Returns the address of a worker, if the instance list has it.
    pub fn address(&self, worker: &WorkerId) -> Option<&Arc<str>> {
        self.addresses.get(worker)
    }

    /// Returns the connections to the workers.
    pub fn workers(&self) -> &Arc<W> {
        &self.workers
    }

    /// Starts a call of the node to the store.
    pub fn start_store_call(&self, call: NodeCall, op: StoreOp) {
        self.spawn_store_call(op, |result| CallCompletion::Store { call, result });
    }

    /// Starts a call of the follower of the agreement to the store.
    pub fn start_follower_call(&self, call: CallId, op: StoreOp) {
        self.spawn_store_call(op, move |result| CallCompletion::Follower { call, result });
    }

    fn spawn_store_call(
        &self,
        op: StoreOp,
        complete: impl FnOnce(StoreResult) -> CallCompletion + Send + 'static,
    ) {
        let (store, completions) = (Arc::clone(&self.store), self.completions.clone());
        self.tasks.spawn(async move {
            let result = store.call(op).await;
            // Sending fails only when the driver has ended, and nothing waits for
            // the completion then.
            let _ = completions.send(complete(result));
        });
    }

    /// Starts a call to a worker. It fails with [`Verdict::NotRun`] if the
    /// address of the worker is not known or `not_after` has passed.
    pub fn start_worker_call(
        &self,
        call: NodeCall,
        worker: WorkerId,
        op: WorkerOp,
        not_after: Timestamp,
    ) {
        let completions = self.completions.clone();
        let Some(address) = self.addresses.get(&worker).cloned() else {
            let result = Err(WorkerError::Unreachable { verdict: Verdict::NotRun });
            let _ = completions.send(CallCompletion::Worker { call, worker, result });
            return;
        };
        let (workers, clock) = (Arc::clone(&self.workers), self.clock);
        self.tasks.spawn(async move {
            let result = if not_after < clock.now() {
                Err(WorkerError::Unreachable { verdict: Verdict::NotRun })
            } else {
                workers.call(&address, op, not_after).await
            };
            let _ = completions.send(CallCompletion::Worker { call, worker, result });
        });
    }
}
