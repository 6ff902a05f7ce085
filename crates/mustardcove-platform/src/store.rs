//! The client interface of the platform's store.

use std::future::Future;

use mustardcove_core::store::{StoreOp, StoreResult};

/// A client of the platform's store.
///
/// The trait has one method because the state machines emit calls as
/// [`StoreOp`] values; a method per call would only convert them back and
/// forth.
pub trait Store: Send + Sync + 'static {
    /// Makes one call.
    ///
    /// # Errors
    ///
    /// An [`Unavailable`](mustardcove_core::store::StoreError::Unavailable)
    /// error says whether the call may have taken effect; every other error
    /// means that it had no effect.
    fn call(&self, op: StoreOp) -> impl Future<Output = StoreResult> + Send;
}

impl<S: Store> Store for std::sync::Arc<S> {
    fn call(&self, op: StoreOp) -> impl Future<Output = StoreResult> + Send {
        S::call(self, op)
    }
}
