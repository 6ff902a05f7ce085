//! Metrics that all processes share.
//!
//! Their names, units and attributes are declared only here. The three measures
//! that users asked for (service latency, batch throughput and evictions) are
//! broken down by class; the other metrics help to explain them.

use std::sync::Arc;

use mustardcove_core::{
    id::{ClassId, RegionId},
    verdict::Verdict,
};
use opentelemetry::{
    KeyValue,
    metrics::{Counter, Histogram, Meter, MeterProvider, UpDownCounter},
};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

/// Upper bounds of the buckets of latency histograms, in milliseconds.
///
/// They include the limits of `docs/design.md`, section 1.9, so that violations
/// can be counted exactly: 0.5 ms, 1 s, 4.5 s, 10 s and 19 s.
const LATENCY_BOUNDS_MS: [f64; 17] = [
    0.25, 0.5, 1.0, 2.0, 4.0, 8.0, 16.0, 32.0, 64.0, 125.0, 250.0, 500.0, 1_000.0, 2_000.0,
    4_500.0, 10_000.0, 19_000.0,
];

/// The kind of a call to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum StoreCallKind {
    /// A read of one or more keys.
    Read,
    /// A write, a deletion or a lease operation.
    Write,
    /// A watch, which waits for changes.
    Watch,
}

/// The kind of thing whose ownership changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum OwnedKind {
    /// A shard of the job ledger.
    Shard,
    /// A worker group.
    Group,
}

/// How ownership changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum OwnershipChange {
    /// This process took ownership.
    Taken,
    /// This process handed ownership to another.
    HandedOver,
    /// This process lost ownership.
    Lost,
}

/// The direction of traffic.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Direction {
    /// From this process to a peer.
    Sent,
    /// From a peer to this process.
    Received,
}

fn attribute(name: &'static str, value: impl Into<&'static str>) -> KeyValue {
    KeyValue::new(name, value.into())
}

fn class_attribute(class: &ClassId) -> KeyValue {
    KeyValue::new("class", class.as_str().to_owned())
}

#[derive(Debug)]
struct Instruments {
    service_latency: Histogram<f64>,
    batch_done: Counter<u64>,
    batch_work: Counter<u64>,
    evictions: Counter<u64>,
    start_latency: Histogram<f64>,
    watcher_gap: Histogram<f64>,
    store_calls: Counter<u64>,
    store_latency: Histogram<f64>,
    region_bytes: Counter<u64>,
    ownership: Counter<u64>,
    retries: Counter<u64>,
    shed: Counter<u64>,
    verdicts: Counter<u64>,
    child_deaths: Counter<u64>,
    peer_refused: Counter<u64>,
    peer_links: UpDownCounter<i64>,
}

impl Instruments {
    fn new(meter: &Meter) -> Instruments {
        let counter = |name: &'static str, unit: &'static str, help: &'static str| {
            meter.u64_counter(name).with_unit(unit).with_description(help).build()
        };
        let latency = |name: &'static str, help: &'static str| {
            let bounds = LATENCY_BOUNDS_MS.to_vec();
            let builder = meter.f64_histogram(name).with_unit("ms").with_description(help);
            builder.with_boundaries(bounds).build()
        };
        Instruments {
            service_latency: latency("service_latency", "Time to answer a service request."),
            batch_done: counter("batch_done", "{job}", "Batch jobs that ran to their end."),
            batch_work: counter("batch_work", "ms", "Run time of batch jobs that ended."),
            evictions: counter("evictions", "{task}", "Tasks evicted."),
            start_latency: latency("start_latency", "Time from a submission to its start."),
            watcher_gap: latency("watcher_gap", "Time that a watcher was not running."),
            store_calls: counter("store_calls", "{call}", "Calls to the store."),
            store_latency: latency("store_latency", "Time to answer a call to the store."),
            region_bytes: counter("region_traffic", "By", "Bytes to and from peers by region."),
            ownership: counter("ownership_changes", "{change}", "Changes of owner."),
            retries: counter("retries", "{retry}", "Requests sent again."),
            shed: counter("shed_requests", "{request}", "Requests refused under load."),
            verdicts: counter("verdicts", "{answer}", "Verdicts given with refusals."),
            child_deaths: counter("child_deaths", "{death}", "Supervised children that died."),
            peer_refused: counter("peer_refused", "{message}", "Messages not sent to a peer."),
            peer_links: meter
                .i64_up_down_counter("peer_links")
                .with_unit("{connection}")
                .with_description("Open connections to peers.")
                .build(),
        }
    }
}

/// The metrics of a process; clones record into the same instruments.
#[derive(Clone, Debug)]
pub struct Metrics {
    provider: SdkMeterProvider,
    registry: Registry,
    meter: Meter,
    instruments: Arc<Instruments>,
}

impl Metrics {
    /// Returns metrics that are exported in the Prometheus format.
    ///
    /// # Errors
    ///
    /// Returns an error if the exporter cannot be set up.
    pub fn new() -> eyre::Result<Metrics> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_target_info()
            .scope_info_enabled(false)
            .with_namespace("mustardcove")
            .build()?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("mustardcove");
        let instruments = Arc::new(Instruments::new(&meter));
        Ok(Metrics { provider, registry, meter, instruments })
    }

    /// Returns the meter, for gauges that observe a program's own state.
    pub fn meter(&self) -> &Meter {
        &self.meter
    }

    /// Installs the provider of these metrics as the global meter provider.
    pub fn install_global(&self) {
        opentelemetry::global::set_meter_provider(self.provider.clone());
    }

    /// Returns the current values in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// Returns an error if the values cannot be encoded.
    pub fn render(&self) -> eyre::Result<String> {
        let mut buf = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut buf)?;
        Ok(String::from_utf8(buf)?)
    }

    /// Shuts the exporter down at the end of the process.
    pub fn shutdown(&self) {
        // The process is ending, so a failure here has no consequences.
        let _ = self.provider.shutdown();
    }

    /// Records the latency of an answer to a service request.
    pub fn service_latency(&self, class: &ClassId, ms: f64) {
        self.instruments.service_latency.record(ms, &[class_attribute(class)]);
    }

    /// Counts a batch job that ran to its end, and adds its run time.
    pub fn batch_done(&self, class: &ClassId, run_ms: u64) {
        let attributes = [class_attribute(class)];
        self.instruments.batch_done.add(1, &attributes);
        self.instruments.batch_work.add(run_ms, &attributes);
    }

    /// Counts an eviction.
    pub fn eviction(&self, class: &ClassId) {
        self.instruments.evictions.add(1, &[class_attribute(class)]);
    }

    /// Records the time from a submission to its start.
    pub fn start_latency(&self, class: &ClassId, ms: f64) {
        self.instruments.start_latency.record(ms, &[class_attribute(class)]);
    }

    /// Records how long a watcher was not running.
    pub fn watcher_gap(&self, class: &ClassId, ms: f64) {
        self.instruments.watcher_gap.record(ms, &[class_attribute(class)]);
    }

    /// Counts a call to the store and records its latency.
    pub fn store_call(&self, kind: StoreCallKind, succeeded: bool, ms: f64) {
        let outcome = if succeeded { "answered" } else { "failed" };
        let attributes = [attribute("kind", kind), attribute("outcome", outcome)];
        self.instruments.store_calls.add(1, &attributes);
        if kind != StoreCallKind::Watch {
            self.instruments.store_latency.record(ms, &attributes);
        }
    }

    /// Counts bytes exchanged with a peer in a region.
    pub fn region_bytes(&self, own: &RegionId, peer: &RegionId, direction: Direction, bytes: u64) {
        let crosses = if own == peer { "no" } else { "yes" };
        let region = KeyValue::new("region", peer.as_str().to_owned());
        let attributes = [region, attribute("crosses", crosses), attribute("direction", direction)];
        self.instruments.region_bytes.add(bytes, &attributes);
    }

    /// Counts a change of ownership.
    pub fn ownership_change(&self, owned: OwnedKind, change: OwnershipChange) {
        let attributes = [attribute("owned", owned), attribute("change", change)];
        self.instruments.ownership.add(1, &attributes);
    }

    /// Counts a retry.
    pub fn retry(&self, class: &ClassId) {
        self.instruments.retries.add(1, &[class_attribute(class)]);
    }

    /// Counts a request that was refused under load.
    pub fn shed_request(&self, class: &ClassId) {
        self.instruments.shed.add(1, &[class_attribute(class)]);
    }

    /// Counts the verdict of a refusal.
    pub fn verdict(&self, class: &ClassId, verdict: Verdict) {
        let attributes = [class_attribute(class), attribute("verdict", verdict)];
        self.instruments.verdicts.add(1, &attributes);
    }

    /// Counts the death of a supervised child.
    pub fn child_death(&self, child: &str) {
        let child = KeyValue::new("child", child.to_owned());
        self.instruments.child_deaths.add(1, &[child]);
    }

    /// Counts a message that was not sent to a peer.
    pub fn peer_refused(&self, reason: &'static str) {
        self.instruments.peer_refused.add(1, &[attribute("reason", reason)]);
    }

    /// Adds to the number of open connections to peers.
    pub fn peer_links(&self, change: i64) {
        self.instruments.peer_links.add(change, &[]);
    }
}
