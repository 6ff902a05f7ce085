//! Metrics of an entry process.
//!
//! Instruments come from the global meter provider, which the runtime sets up;
//! without one they cost next to nothing.

use std::sync::atomic::{AtomicU64, Ordering};

use mustardcove_core::verdict::Refusal;
use opentelemetry::{
    KeyValue, global,
    metrics::{Counter, Histogram},
};

/// Instruments of an entry process.
pub struct Metrics {
    requests: Counter<u64>,
    retries: Counter<u64>,
    latency_ms: Histogram<f64>,
    answered: AtomicU64,
    refused: AtomicU64,
}

impl Metrics {
    /// Returns instruments of the global meter.
    pub fn new() -> Metrics {
        let meter = global::meter("mustardcove-entry");
        Metrics {
            requests: meter.u64_counter("entry_requests").build(),
            retries: meter.u64_counter("entry_retries").build(),
            latency_ms: meter.f64_histogram("entry_latency_ms").build(),
            answered: AtomicU64::new(0),
            refused: AtomicU64::new(0),
        }
    }

    /// Records the end of a request of the given kind.
    pub fn record(&self, kind: &'static str, latency_ms: f64, refusal: Option<&Refusal>) {
        let (reason, verdict): (&'static str, &'static str) = match refusal {
            None => {
                self.answered.fetch_add(1, Ordering::Relaxed);
                ("none", "ran")
            }
            Some(it) => {
                self.refused.fetch_add(1, Ordering::Relaxed);
                (it.reason.into(), it.verdict.into())
            }
        };
        let kind = KeyValue::new("kind", kind);
        self.latency_ms.record(latency_ms, std::slice::from_ref(&kind));
        let attributes = [kind, KeyValue::new("reason", reason), KeyValue::new("verdict", verdict)];
        self.requests.add(1, &attributes);
    }

    /// Records a retry of a request of the class.
    pub fn record_retry(&self, class: &str) {
        self.retries.add(1, &[KeyValue::new("class", class.to_owned())]);
    }

    /// Returns how many requests were answered and refused.
    pub fn totals(&self) -> (u64, u64) {
        (self.answered.load(Ordering::Relaxed), self.refused.load(Ordering::Relaxed))
    }
}

impl Default for Metrics {
    fn default() -> Metrics {
        Metrics::new()
    }
}
