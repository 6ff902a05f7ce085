//! The platform's store.

use std::future::Future;

use mustardcove_core::store::{StoreOp, StoreResult};

/// A connection to the platform's store.
///
/// The trait has one method because a state machine produces calls as values;
/// a method per call would only unpack and repack them.
pub trait Store: Send + Sync + 'static {
    /// Makes one call.
    ///
    /// # Errors
    ///
    /// An [`Unavailable`](mustardcove_core::store::StoreError::Unavailable)
    /// error says whether the call may have taken effect; every other error
    /// means that it had none.
    fn call(&self, op: StoreOp) -> impl Future<Output = StoreResult> + Send;
}

impl<S: Store> Store for std::sync::Arc<S> {
    fn call(&self, op: StoreOp) -> impl Future<Output = StoreResult> + Send {
        S::call(self, op)
    }
}
