//! The client interface of the workers.

use std::future::Future;

use mustardcove_core::{
    time::Timestamp,
    worker::{WorkerError, WorkerOp, WorkerReport, WorkerResult},
};

/// A client of all workers, which are addressed as in
/// [`WorkerInfo::address`](mustardcove_core::worker::WorkerInfo::address).
pub trait Workers: Send + Sync + 'static {
    /// Makes one call, unless `not_after` has passed by the time that its body
    /// would be sent.
    ///
    /// # Errors
    ///
    /// [`WorkerError::Unreachable`] carries `NotRun` if no part of the call's
    /// body was sent, because the connection could not be opened or
    /// `not_after` had passed, and `MayHaveRun` if the body was sent and no
    /// answer arrived.
    fn call(
        &self,
        address: &str,
        op: WorkerOp,
        not_after: Timestamp,
    ) -> impl Future<Output = WorkerResult> + Send;

    /// Waits for a report with events after the sequence number `after`.
    ///
    /// Returns an empty report if nothing happens for a while. The call does
    /// not acknowledge events, so a lost answer loses none of them.
    ///
    /// # Errors
    ///
    /// Returns [`WorkerError::Unreachable`] if no complete answer arrived.
    fn reports(
        &self,
        address: &str,
        after: u64,
    ) -> impl Future<Output = Result<WorkerReport, WorkerError>> + Send;
}

impl<W: Workers> Workers for std::sync::Arc<W> {
    fn call(
        &self,
        address: &str,
        op: WorkerOp,
        not_after: Timestamp,
    ) -> impl Future<Output = WorkerResult> + Send {
        W::call(self, address, op, not_after)
    }

    fn reports(
        &self,
        address: &str,
        after: u64,
    ) -> impl Future<Output = Result<WorkerReport, WorkerError>> + Send {
        W::reports(self, address, after)
    }
}
