//! The header: the first line of a trace.

use std::collections::BTreeSet;

use mustardcove_core::{
    agreement::Service,
    class::Class,
    configuration::Dissemination,
    id::{ClassId, FailureDomainId, MemberId, RegionId, ServiceId},
    size::Resources,
};
use serde::Deserialize;

/// The deployment that a trace runs on, and the settings of the run.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Header {
    /// Version of the format.
    pub version: u32,
    /// Name of the trace.
    pub name: String,
    /// What the trace shows, in one line.
    pub description: String,
    /// Length of the trace, in virtual milliseconds.
    pub duration_ms: u64,
    /// Seed of all random choices, unless another is given to the run.
    pub seed: u64,
    /// The instances of the deployment.
    pub fleet: FleetSpec,
    /// Latencies between processes.
    pub latencies: Latencies,
    /// The links between regions.
    pub link: LinkSpec,
    /// The store.
    pub store: StoreSpec,
    /// Delay after which the instance list shows a change, in milliseconds.
    #[serde(default = "default_list_lag_ms")]
    pub list_lag_ms: u64,
    /// Number of shards.
    #[serde(default = "default_shards")]
    pub shards: u16,
    /// Number of worker groups in each failure domain.
    #[serde(default = "default_slices")]
    pub slices: u16,
    /// How revisions of the agreement reach the processes.
    #[serde(default = "default_dissemination")]
    pub dissemination: Dissemination,
    /// Time within which a revision must be in force everywhere, in
    /// milliseconds.
    pub configuration_bound_ms: u64,
    /// Services.
    #[serde(default)]
    pub services: Vec<Service>,
    /// Classes of work.
    pub classes: Vec<Class>,
    /// Members.
    pub members: Vec<MemberSpec>,
    /// True slowdowns; pairs of classes that are not listed do not interfere.
    #[serde(default)]
    pub slowdowns: Vec<Slowdown>,
    /// How workers measure their tasks.
    #[serde(default)]
    pub samples: SampleSpec,
}

fn default_list_lag_ms() -> u64 {
    1_000
}

fn default_shards() -> u16 {
    16
}

fn default_slices() -> u16 {
    1
}

fn default_dissemination() -> Dissemination {
    Dissemination::Flat
}

/// The instances of a deployment.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetSpec {
    /// The regions with their failure domains.
    pub regions: Vec<RegionSpec>,
    /// The workers, in sets of identical ones.
    pub workers: Vec<WorkerSpec>,
    /// Scheduler processes.
    pub schedulers: Vec<InstanceSpec>,
    /// Entry processes.
    pub entries: Vec<InstanceSpec>,
}

/// A region and its failure domains.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RegionSpec {
    /// Name of the region.
    pub name: RegionId,
    /// Its failure domains.
    pub domains: Vec<FailureDomainId>,
}

/// Identical workers, named `{domain}-w{number}` from 1, in racks named
/// `{domain}-r{number}`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkerSpec {
    /// Their failure domain.
    pub domain: FailureDomainId,
    /// How many there are.
    pub count: u32,
    /// Number of workers in each rack.
    pub rack_size: u32,
    /// Capacity of each worker.
    pub capacity: Resources,
    /// The upstreams on each worker.
    #[serde(default)]
    pub upstreams: Vec<UpstreamSpec>,
}

/// An upstream on a worker.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UpstreamSpec {
    /// The service that it serves.
    pub service: ServiceId,
    /// Maximum number of requests handled at the same time.
    pub slots: u32,
    /// Maximum number of connections.
    pub connections: u32,
}

/// Processes of one failure domain, named `sched-{number}` or
/// `entry-{number}`; numbers start at 1 and run through all domains.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct InstanceSpec {
    /// Failure domain of the processes.
    pub domain: FailureDomainId,
    /// How many there are.
    pub count: u32,
}

/// One-way latencies, in microseconds.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Latencies {
    /// Inside a failure domain.
    pub domain_us: u64,
    /// Between failure domains of a region.
    pub region_us: u64,
    /// Between regions.
    pub remote_us: u64,
    /// Between callers and entry processes.
    pub client_us: u64,
}

/// A link between two regions.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LinkSpec {
    /// Bandwidth each way, in kbit/s.
    pub kbit_per_s: u64,
}

/// Location and timing of the store.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoreSpec {
    /// The region in which the store runs.
    pub region: RegionId,
    /// Time that the store takes to serve a call, in microseconds.
    pub service_us: u64,
    /// Timeout of a call at the process that made it, in milliseconds.
    #[serde(default = "default_store_timeout_ms")]
    pub timeout_ms: u64,
}

fn default_store_timeout_ms() -> u64 {
    1_500
}

/// A member and its limits.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MemberSpec {
    /// Name of the member.
    pub id: MemberId,
    /// Its cap: the most that its tasks may hold.
    pub cap: Resources,
    /// Maximum number of service requests in flight.
    pub max_requests: u32,
    /// The classes that it uses.
    pub classes: BTreeSet<ClassId>,
    /// Whether its work may be evicted when the cap is lowered.
    #[serde(default)]
    pub evict_over_cap: bool,
}

/// The slowdown that one task of a class adds to tasks of another class.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Slowdown {
    /// The class that is slowed down.
    pub victim: ClassId,
    /// The class that slows it down.
    pub aggressor: ClassId,
    /// Added slowdown at low, medium and high load of the worker, as a multiple
    /// of the run time without neighbours.
    pub added: [f64; 3],
}

/// How workers measure their tasks.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct SampleSpec {
    /// Time between two measurements, in milliseconds.
    pub every_ms: u64,
    /// Maximum delay of a measurement, in milliseconds.
    pub lag_ms: u64,
    /// Relative error of a measurement.
    pub noise: f64,
    /// Share of measurements that are lost, in thousandths.
    pub loss_permille: u16,
}

impl Default for SampleSpec {
    fn default() -> SampleSpec {
        SampleSpec { every_ms: 1_000, lag_ms: 0, noise: 0.0, loss_permille: 0 }
    }
}
