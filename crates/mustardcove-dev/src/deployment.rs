//! The two deployments at their present sizes.

use std::collections::BTreeMap;

use mustardcove_core::{
    agreement::{
        Service,
        record::{AgreementRecord, MemberRecord},
        v2::MemberV2,
    },
    class::{Class, ClassKind, Delivery},
    id::{ClassId, FailureDomainId, MemberId, RegionId, ServiceId},
    size::Resources,
    worker::{UpstreamInfo, WorkerInfo},
};
use mustardcove_platform::memory::interference::Interference;
use sha2::{Digest as _, Sha256};

/// Number of workers of a deployment.
const WORKERS: usize = 48;

/// Number of workers of a rack.
const RACK_WORKERS: usize = 8;

/// Number of slots of an upstream.
const SLOTS: u32 = 8;

/// Maximum number of connections to an upstream.
const CONNECTIONS: u32 = 64;

/// Number of entry instances of a deployment; each runs an entry and a scheduler
/// process.
pub const INSTANCES: usize = 7;

/// A stream of requests of one class.
#[derive(Clone, Debug)]
pub struct Stream {
    /// Class of the requests.
    pub class: ClassId,
    /// Mean rate, in requests per second.
    pub rate: f64,
    /// Run time of each request without interference, in milliseconds; zero
    /// means that it runs until it is stopped.
    pub work_ms: u64,
    /// Maximum number of requests in one run of the load.
    pub max_requests: usize,
}

/// Configuration of a deployment and of the load on it.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Name of the deployment.
    pub name: &'static str,
    /// The member that the callers belong to.
    pub member: MemberId,
    /// Token with which callers authenticate as the member.
    pub token: String,
    /// Failure domains and their regions; the store is in the first region.
    pub domains: Vec<(FailureDomainId, RegionId)>,
    /// The agreement.
    pub record: AgreementRecord,
    /// The workers; their addresses are set when they are started.
    pub workers: Vec<WorkerInfo>,
    /// Slowdowns that the workers apply; schedulers have to learn them.
    pub interference: Interference,
    /// Streams of requests that callers make.
    pub streams: Vec<Stream>,
}

impl Deployment {
    /// Returns the definition of a class.
    ///
    /// # Panics
    ///
    /// Panics if the deployment has no such class.
    pub fn class(&self, class: &ClassId) -> Class {
        let agreement = self.record.to_agreement();
        agreement.classes[class].clone()
    }
}

fn id<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().expect("names of the deployments are valid")
}

struct ClassSpec {
    name: &'static str,
    kind: ClassKind,
    delivery: Delivery,
    service: Option<&'static str>,
    urgent: bool,
    evictable: bool,
    resources: Resources,
    expected_run_ms: u64,
    latency_target_ms: u64,
    weight: f64,
}

impl ClassSpec {
    fn build(&self) -> Class {
        Class {
            id: id(self.name),
            kind: self.kind,
            delivery: self.delivery,
            service: self.service.map(id),
            urgent: self.urgent,
            evictable: self.evictable,
            resources: self.resources,
            expected_run_ms: self.expected_run_ms,
            latency_target_ms: self.latency_target_ms,
            weight: self.weight,
        }
    }
}

/// Returns the digest of a token in hexadecimal, as used in records and
/// settings.
pub fn token_digest(token: &str) -> String {
    Sha256::digest(token.as_bytes()).iter().map(|byte| format!("{byte:02x}")).collect()
}

fn record(
    member: &MemberId,
    token: &str,
    service: Service,
    classes: Vec<Class>,
) -> AgreementRecord {
    let member = MemberV2 {
        id: member.clone(),
        cap: Resources::new(1_000_000, 4_000 * 1_024, 0),
        max_requests: 2_048,
        services: vec![service],
        classes,
        token_digests: vec![token_digest(token)],
        evict_over_cap: true,
    };
    let members = BTreeMap::from([(member.id.clone(), MemberRecord::V2(member))]);
    AgreementRecord { members, ..AgreementRecord::default() }
}

fn workers(
    domains: &[(FailureDomainId, RegionId)],
    service: &ServiceId,
    capacity: Resources,
) -> Vec<WorkerInfo> {
    let worker = |number: usize| {
        let (domain, region) = &domains[number % domains.len()];
        let rack = number / domains.len() / RACK_WORKERS;
        WorkerInfo {
            id: id(&format!("{domain}-w{number:02}")),
            address: String::new(),
            region: region.clone(),
            domain: domain.clone(),
            rack: id(&format!("{domain}-r{rack}")),
            capacity,
            leaving: false,
            upstreams: vec![UpstreamInfo {
                service: service.clone(),
                address: String::new(),
                slots: SLOTS,
                connections: CONNECTIONS,
            }],
        }
    };
    (0..WORKERS).map(worker).collect()
}

/// Returns the deployment of the bindery.
pub fn bindery() -> Deployment {
    let domains = vec![
        (id("ub-bayangol"), id("ulaanbaatar")),
        (id("ub-khanuul"), id("ulaanbaatar")),
        (id("erd-north"), id("erdenet")),
    ];
    let member: MemberId = id("bindery");
    let service: ServiceId = id("album-press");
    let classes = [
        ClassSpec {
            name: "layout-proof",
            kind: ClassKind::Service,
            delivery: Delivery::Exclusive,
            service: Some("album-press"),
            urgent: true,
            evictable: false,
            resources: Resources::new(1_000, 1_024, 0),
            expected_run_ms: 40,
            latency_target_ms: 500,
            weight: 4.0,
        },
        ClassSpec {
            name: "binding-run",
            kind: ClassKind::Batch,
            delivery: Delivery::AtMostOnce,
            service: None,
            urgent: false,
            evictable: true,
            resources: Resources::new(4_000, 8 * 1_024, 0),
            expected_run_ms: 3_000,
            latency_target_ms: 0,
            weight: 3.0,
        },
        ClassSpec {
            name: "archival-scan",
            kind: ClassKind::Batch,
            delivery: Delivery::Exclusive,
            service: None,
            urgent: false,
            evictable: true,
            resources: Resources::new(2_000, 4 * 1_024, 0),
            expected_run_ms: 8_000,
            latency_target_ms: 0,
            weight: 1.0,
        },
    ];
    let slot = Service { id: service.clone(), slot_resources: Resources::new(1_000, 2_048, 0) };
    let token = "bindery-development-token".to_owned();
    let classes = classes.iter().map(ClassSpec::build).collect();
    Deployment {
        name: "bindery",
        record: record(&member, &token, slot, classes),
        workers: workers(&domains, &service, Resources::new(32_000, 125 * 1_024, 0)),
        interference: Interference::uniform(0.02)
            .with_pair(id("layout-proof"), id("binding-run"), 0.25)
            .with_pair(id("layout-proof"), id("archival-scan"), 0.05),
        streams: vec![
            stream("layout-proof", 30.0, 40, 100_000),
            stream("binding-run", 6.0, 3_000, 10_000),
            stream("archival-scan", 2.0, 8_000, 10_000),
        ],
        member,
        token,
        domains,
    }
}

/// Returns the deployment of Cotetul.
pub fn cotetul() -> Deployment {
    let domains = vec![
        (id("iasi-a"), id("moldova")),
        (id("suceava-b"), id("moldova")),
        (id("timis-a"), id("banat")),
    ];
    let member: MemberId = id("cotetul");
    let service: ServiceId = id("coop-desk");
    let classes = [
        ClassSpec {
            name: "availability-check",
            kind: ClassKind::Service,
            delivery: Delivery::Idempotent,
            service: Some("coop-desk"),
            urgent: true,
            evictable: false,
            resources: Resources::new(500, 512, 0),
            expected_run_ms: 20,
            latency_target_ms: 200,
            weight: 5.0,
        },
        ClassSpec {
            name: "booking",
            kind: ClassKind::Service,
            delivery: Delivery::AtMostOnce,
            service: Some("coop-desk"),
            urgent: true,
            evictable: false,
            resources: Resources::new(500, 512, 0),
            expected_run_ms: 30,
            latency_target_ms: 1_000,
            weight: 5.0,
        },
        ClassSpec {
            name: "invoice",
            kind: ClassKind::Batch,
            delivery: Delivery::AtMostOnce,
            service: None,
            urgent: false,
            evictable: true,
            resources: Resources::new(2_000, 4 * 1_024, 0),
            expected_run_ms: 1_500,
            latency_target_ms: 0,
            weight: 1.0,
        },
        ClassSpec {
            name: "sensor-watcher",
            kind: ClassKind::Watcher,
            delivery: Delivery::Exclusive,
            service: None,
            urgent: true,
            evictable: true,
            resources: Resources::new(250, 256, 0),
            expected_run_ms: 0,
            latency_target_ms: 10_000,
            weight: 4.0,
        },
    ];
    let slot = Service { id: service.clone(), slot_resources: Resources::new(1_000, 2_048, 0) };
    let token = "cotetul-development-token".to_owned();
    let classes = classes.iter().map(ClassSpec::build).collect();
    Deployment {
        name: "cotetul",
        record: record(&member, &token, slot, classes),
        workers: workers(&domains, &service, Resources::new(64_000, 250 * 1_024, 0)),
        interference: Interference::uniform(0.02).with_pair(
            id("availability-check"),
            id("invoice"),
            0.3,
        ),
        streams: vec![
            stream("availability-check", 80.0, 20, 100_000),
            stream("booking", 5.0, 30, 10_000),
            stream("invoice", 5.0, 1_500, 10_000),
            stream("sensor-watcher", 5.0, 0, 60),
        ],
        member,
        token,
        domains,
    }
}

fn stream(class: &str, rate: f64, work_ms: u64, max_requests: usize) -> Stream {
    Stream { class: id(class), rate, work_ms, max_requests }
}
