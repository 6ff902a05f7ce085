//! Metrics of an entry process.
//!
//! Latency, retries, shedding and verdicts are recorded per class with the
//! instruments that all processes share. Requests are also counted per kind,
//! because a refused submission may not name a class.

use std::sync::atomic::{AtomicU64, Ordering};

use mustardcove_core::{
    id::ClassId,
    verdict::{Refusal, Verdict},
};
use mustardcove_runtime::metrics::Metrics as RuntimeMetrics;
use opentelemetry::{KeyValue, metrics::Counter};

/// Instruments of an entry process.
pub struct Metrics {
    runtime: RuntimeMetrics,
    requests: Counter<u64>,
    answered: AtomicU64,
    refused: AtomicU64,
}

impl Metrics {
    /// Returns the instruments, which extend those that all processes share.
    pub fn new(runtime: RuntimeMetrics) -> Metrics {
        let requests = runtime.meter().u64_counter("entry_requests").build();
        Metrics { runtime, requests, answered: AtomicU64::new(0), refused: AtomicU64::new(0) }
    }

    /// Records the result of a request of the given kind.
    pub fn record(&self, kind: &'static str, refusal: Option<&Refusal>) {
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
        let attributes = [
            KeyValue::new("kind", kind),
            KeyValue::new("reason", reason),
            KeyValue::new("verdict", verdict),
        ];
        self.requests.add(1, &attributes);
    }

    /// Records the result of a service request that got as far as the selection
    /// of an upstream.
    pub fn record_service(&self, class: &ClassId, latency_ms: f64, verdict: Verdict) {
        self.runtime.service_latency(class, latency_ms);
        self.runtime.verdict(class, verdict);
    }

    /// Records a retry of a request of the class.
    pub fn record_retry(&self, class: &ClassId) {
        self.runtime.retry(class);
    }

    /// Records a request of the class that was shed.
    pub fn record_shed(&self, class: &ClassId) {
        self.runtime.shed_request(class);
    }

    /// Returns the number of answered and of refused requests.
    pub fn totals(&self) -> (u64, u64) {
        (self.answered.load(Ordering::Relaxed), self.refused.load(Ordering::Relaxed))
    }
}
