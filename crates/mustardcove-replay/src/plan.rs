//! Converts a trace header into the types of the core.

use std::collections::BTreeMap;

use mustardcove_core::{
    agreement::{
        record::{AgreementRecord, ChangeNote, MemberRecord},
        v2::MemberV2,
    },
    class::ClassTable,
    id::{FailureDomainId, RegionId, Revision},
    interference::SlowdownTable,
    ownership::ProcessKind,
    worker::{UpstreamInfo, WorkerInfo},
};
use mustardcove_platform::memory::{FleetConfig, Interference};

use crate::trace::Header;

/// A process that the header describes.
#[derive(Clone, Debug)]
pub(crate) struct ProcessPlan {
    pub(crate) name: String,
    pub(crate) kind: ProcessKind,
    pub(crate) domain: FailureDomainId,
    pub(crate) region: RegionId,
}

fn region_for_domain(header: &Header, domain: &FailureDomainId) -> RegionId {
    let regions = &header.fleet.regions;
    let found = regions.iter().find(|it| it.domains.contains(domain));
    found.unwrap_or(&regions[0]).name.clone()
}

/// Returns the workers in the order in which the header lists them.
pub(crate) fn workers(header: &Header) -> Vec<WorkerInfo> {
    let mut numbers: BTreeMap<&FailureDomainId, u32> = BTreeMap::new();
    let mut workers = Vec::new();
    for spec in &header.fleet.workers {
        for _ in 0..spec.count {
            let number = numbers.entry(&spec.domain).or_default();
            let rack = *number / spec.rack_size + 1;
            *number += 1;
            let address = format!("worker-{}", workers.len() + 1);
            let upstreams = spec.upstreams.iter().map(|it| UpstreamInfo {
                service: it.service.clone(),
                address: address.clone(),
                slots: it.slots,
                connections: it.connections,
            });
            workers.push(WorkerInfo {
                id: format!("{}-w{number}", spec.domain).parse().expect("a valid name"),
                upstreams: upstreams.collect(),
                address,
                region: region_for_domain(header, &spec.domain),
                domain: spec.domain.clone(),
                rack: format!("{}-r{rack}", spec.domain).parse().expect("a valid name"),
                capacity: spec.capacity,
                leaving: false,
            });
        }
    }
    workers
}

/// Returns the processes, schedulers first.
pub(crate) fn processes(header: &Header) -> Vec<ProcessPlan> {
    let fleet = &header.fleet;
    let mut processes = Vec::new();
    let kinds = [
        ("sched", ProcessKind::Scheduler, &fleet.schedulers),
        ("entry", ProcessKind::Entry, &fleet.entries),
    ];
    for (prefix, kind, specs) in kinds {
        let domains = specs.iter().flat_map(|it| (0..it.count).map(|_| it.domain.clone()));
        for (index, domain) in domains.enumerate() {
            processes.push(ProcessPlan {
                name: format!("{prefix}-{}", index + 1),
                kind,
                region: region_for_domain(header, &domain),
                domain,
            });
        }
    }
    processes
}

/// Returns the agreement in force when a trace starts.
pub(crate) fn initial_record(header: &Header) -> AgreementRecord {
    let mut record = AgreementRecord {
        revision: Revision(1),
        members: BTreeMap::new(),
        change: ChangeNote::default(),
    };
    for (index, member) in header.members.iter().enumerate() {
        let classes = header.classes.iter().filter(|it| member.classes.contains(&it.id));
        let it = MemberV2 {
            id: member.id.clone(),
            cap: member.cap,
            max_requests: member.max_requests,
            services: if index == 0 { header.services.clone() } else { Vec::new() },
            classes: classes.cloned().collect(),
            token_digests: Vec::new(),
            evict_over_cap: member.evict_over_cap,
        };
        record.members.insert(member.id.clone(), MemberRecord::V2(it));
    }
    record
}

/// Returns the configuration of the simulated workers.
pub(crate) fn fleet_config(header: &Header, seed: u64) -> FleetConfig {
    let mut interference = Interference::default();
    for it in &header.slowdowns {
        interference =
            interference.with_pair_by_load(it.victim.clone(), it.aggressor.clone(), it.added);
    }
    FleetConfig {
        interference,
        sample_every_ms: header.samples.every_ms,
        sample_delay_ms: header.samples.lag_ms,
        sample_noise: header.samples.noise,
        sample_loss_permille: header.samples.loss_permille,
        seed,
        ..FleetConfig::default()
    }
}

/// Returns the true slowdowns for the oracle policy.
///
/// Class indexes must match those that a group assigns: in order of name.
pub(crate) fn true_slowdowns(header: &Header) -> SlowdownTable {
    let agreement = initial_record(header).to_agreement();
    let mut classes = ClassTable::default();
    for class in agreement.classes.values() {
        classes.upsert(class);
    }
    SlowdownTable::from_fn(classes.len(), |level, victim, aggressor| {
        let (victim, aggressor) = (&classes.get(victim).id, &classes.get(aggressor).id);
        let slowdowns = header.slowdowns.iter();
        let mut slowdowns =
            slowdowns.filter(|it| it.victim == *victim && it.aggressor == *aggressor);
        slowdowns.next().map_or(0.0, |it| it.added[level.as_usize()])
    })
}
