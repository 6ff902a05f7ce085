//! Conversion of members' records between the schemas.

use crate::{
    agreement::{
        SchemaVersion, Service,
        record::MemberRecord,
        v1::{ClassV1, MemberV1, ServiceV1},
        v2::MemberV2,
        validate::Problem,
    },
    class::Class,
    size::Resources,
};

/// Mebibytes of one gibibyte.
const MIB_PER_GIB: u64 = 1024;

/// Weight of a class under the old schema, which has none.
const V1_WEIGHT: f64 = 1.0;

impl MemberRecord {
    /// Returns the record under another schema.
    ///
    /// # Errors
    ///
    /// Returns one problem for every feature of the record that the other schema
    /// lacks.
    pub fn convert(&self, schema: SchemaVersion) -> Result<MemberRecord, Vec<Problem>> {
        match schema {
            SchemaVersion::V1 => self.to_v1().map(MemberRecord::V1),
            SchemaVersion::V2 => Ok(MemberRecord::V2(self.to_v2())),
        }
    }

    /// Returns the record under the new schema, which can express every record.
    pub fn to_v2(&self) -> MemberV2 {
        match self {
            MemberRecord::V1(member) => member_to_v2(member),
            MemberRecord::V2(member) => member.clone(),
        }
    }

    fn to_v1(&self) -> Result<MemberV1, Vec<Problem>> {
        match self {
            MemberRecord::V1(member) => Ok(member.clone()),
            MemberRecord::V2(member) => member_to_v1(member),
        }
    }
}

fn member_to_v2(member: &MemberV1) -> MemberV2 {
    MemberV2 {
        id: member.name.clone(),
        cap: resources(member.cores, member.memory_gb, member.accelerators),
        max_requests: member.max_requests,
        services: member.services.iter().map(service_to_v2).collect(),
        classes: member.classes.iter().map(class_to_v2).collect(),
        token_digests: member.token_digests.clone(),
        evict_over_cap: false,
    }
}

fn service_to_v2(service: &ServiceV1) -> Service {
    Service {
        id: service.name.clone(),
        slot_resources: resources(service.slot_cores, service.slot_memory_gb, 0),
    }
}

fn class_to_v2(class: &ClassV1) -> Class {
    Class {
        id: class.name.clone(),
        kind: class.kind,
        delivery: class.delivery,
        service: class.service.clone(),
        urgent: class.urgent,
        evictable: class.evictable,
        resources: resources(class.cores, class.memory_gb, class.accelerators),
        expected_run_ms: class.run_seconds.saturating_mul(1000),
        latency_target_ms: class.target_ms,
        weight: V1_WEIGHT,
    }
}

fn resources(cores: u64, memory_gb: u64, accelerators: u32) -> Resources {
    let cpu = cores.saturating_mul(1000);
    Resources::new(cpu, memory_gb.saturating_mul(MIB_PER_GIB), accelerators)
}

fn member_to_v1(member: &MemberV2) -> Result<MemberV1, Vec<Problem>> {
    let mut problems = Vec::new();
    if member.evict_over_cap {
        problems.push(Problem::new("evict_over_cap", "has no counterpart in schema v1"));
    }
    let mut whole_units = |path: &str, size: Resources| {
        if !size.cpu.0.is_multiple_of(1000) {
            problems.push(Problem::new(path, "schema v1 has whole cores only"));
        }
        if !size.memory.0.is_multiple_of(MIB_PER_GIB) {
            problems.push(Problem::new(path, "schema v1 has whole gibibytes only"));
        }
        (size.cpu.0 / 1000, size.memory.0 / MIB_PER_GIB, size.accelerators.0)
    };
    let (cores, memory_gb, accelerators) = whole_units("cap", member.cap);
    let mut services = Vec::new();
    for service in &member.services {
        let path = format!("services.{}", service.id);
        let (slot_cores, slot_memory_gb, accelerators) = whole_units(&path, service.slot_resources);
        if accelerators != 0 {
            let text = "schema v1 has no accelerators for services";
            services.push(Err(Problem::new(&path, text)));
            continue;
        }
        services.push(Ok(ServiceV1 { name: service.id.clone(), slot_cores, slot_memory_gb }));
    }
    let mut classes = Vec::new();
    for class in &member.classes {
        let path = format!("classes.{}", class.id);
        let size = whole_units(&path, class.resources);
        classes.push(class_to_v1(class, &path, size));
    }
    let services = collect(services, &mut problems);
    let classes = collect(classes, &mut problems);
    if !problems.is_empty() {
        return Err(problems);
    }
    Ok(MemberV1 {
        name: member.id.clone(),
        cores,
        memory_gb,
        accelerators,
        max_requests: member.max_requests,
        services,
        classes,
        token_digests: member.token_digests.clone(),
    })
}

fn class_to_v1(class: &Class, path: &str, size: (u64, u64, u32)) -> Result<ClassV1, Problem> {
    if class.weight != V1_WEIGHT {
        return Err(Problem::new(path, "schema v1 has no weights"));
    }
    if !class.expected_run_ms.is_multiple_of(1000) {
        return Err(Problem::new(path, "schema v1 has whole seconds of run time only"));
    }
    let (cores, memory_gb, accelerators) = size;
    Ok(ClassV1 {
        name: class.id.clone(),
        kind: class.kind,
        delivery: class.delivery,
        service: class.service.clone(),
        urgent: class.urgent,
        evictable: class.evictable,
        cores,
        memory_gb,
        accelerators,
        run_seconds: class.expected_run_ms / 1000,
        target_ms: class.latency_target_ms,
    })
}

/// Returns the successes and appends the failures to `problems`.
fn collect<T>(results: Vec<Result<T, Problem>>, problems: &mut Vec<Problem>) -> Vec<T> {
    let mut kept = Vec::new();
    for result in results {
        match result {
            Ok(it) => kept.push(it),
            Err(problem) => problems.push(problem),
        }
    }
    kept
}
