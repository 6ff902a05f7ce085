//! A store wrapper that counts calls.
//!
//! The platform bills the store by calls, and the budget for calls is one of
//! the acceptance limits, so every process counts its calls.

use mustardcove_core::store::{StoreError, StoreOp, StoreResult};
use mustardcove_platform::Store;
use tokio::time::Instant;

use crate::metrics::{Metrics, StoreCallKind};

/// A store that records every call in the metrics.
#[derive(Clone, Debug)]
pub struct CountedStore<S> {
    store: S,
    metrics: Metrics,
}

impl<S> CountedStore<S> {
    /// Wraps a store.
    pub fn new(store: S, metrics: Metrics) -> CountedStore<S> {
        CountedStore { store, metrics }
    }
}

fn kind(op: &StoreOp) -> StoreCallKind {
    match op {
        StoreOp::Watch { .. } => StoreCallKind::Watch,
        it if it.is_write() => StoreCallKind::Write,
        _ => StoreCallKind::Read,
    }
}

impl<S: Store> Store for CountedStore<S> {
    async fn call(&self, op: StoreOp) -> StoreResult {
        let (kind, began) = (kind(&op), Instant::now());
        let result = self.store.call(op).await;
        // Other errors, such as a conflict, are answers of the store.
        let is_answered = !matches!(result, Err(StoreError::Unavailable { .. }));
        let ms = began.elapsed().as_secs_f64() * 1_000.0;
        self.metrics.store_call(kind, is_answered, ms);
        result
    }
}
