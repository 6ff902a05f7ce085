//! Calls to workers.

use std::future::Future;

use mustardcove_core::{
    time::Timestamp,
    worker::{WorkerError, WorkerOp, WorkerReport, WorkerResult},
};

/// Connections to workers, addressed as in
/// [`WorkerInfo::address`](mustardcove_core::worker::WorkerInfo::address).
pub trait Workers: Send + Sync + 'static {
    /// Makes one call, unless `not_after` has passed when it is to be written.
    ///
    /// # Errors
    ///
    /// [`WorkerError::Unreachable`] carries `NotRun` if no part of the call's
    /// body was written, because the connection could not be opened or
    /// `not_after` had passed, and `MayHaveRun` if the answer did not arrive.
    fn call(
        &self,
        address: &str,
        op: WorkerOp,
        not_after: Timestamp,
    ) -> impl Future<Output = WorkerResult> + Send;

    /// Waits for a report with events after the sequence number `after`.
    ///
    /// Returns an empty report if nothing happened for a while. Events are not
    /// acknowledged by this call, so a lost answer loses none.
    ///
    /// # Errors
    ///
    /// Returns [`WorkerError::Unreachable`] if no whole answer arrived.
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
