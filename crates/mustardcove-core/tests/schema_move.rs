//! Guards against records that change their meaning when a member moves from
//! one schema to the other, and against invalid records in force.

use mustardcove_core::{
    agreement::{
        SchemaVersion, Service,
        record::{AgreementRecord, MemberRecord},
        v1::{ClassV1, MemberV1, ServiceV1},
        v2::MemberV2,
    },
    class::{Class, ClassKind, Delivery},
    size::Resources,
};
use proptest::{prelude::*, test_runner::RngSeed};

fn class_v1() -> impl Strategy<Value = ClassV1> {
    (0..3_usize, 0..3_usize, any::<bool>(), 1..64_u64, 0..256_u64, 0..4_u32, 0..10_000_u64)
        .prop_map(|(kind, delivery, urgent, cores, memory_gb, accelerators, run_seconds)| ClassV1 {
            name: format!("class-{kind}{delivery}").parse().unwrap(),
            kind: [ClassKind::Service, ClassKind::Batch, ClassKind::Watcher][kind],
            delivery: [Delivery::Idempotent, Delivery::Exclusive, Delivery::AtMostOnce][delivery],
            service: (kind == 0).then(|| "service".parse().unwrap()),
            urgent,
            evictable: kind != 0,
            cores,
            memory_gb,
            accelerators,
            run_seconds,
            target_ms: 50,
        })
}

fn member_v1() -> impl Strategy<Value = MemberV1> {
    (prop::collection::vec(class_v1(), 0..4), 1..500_u64, 1..500_u64).prop_map(
        |(classes, cores, memory_gb)| MemberV1 {
            name: "member".parse().unwrap(),
            cores,
            memory_gb,
            accelerators: 4,
            max_requests: 10,
            services: vec![ServiceV1 {
                name: "service".parse().unwrap(),
                slot_cores: 1,
                slot_memory_gb: 2,
            }],
            classes,
            token_digests: Vec::new(),
        },
    )
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(0x7363_6865),
        ..ProptestConfig::default()
    })]

    /// A record that is converted to the new schema and back is unchanged.
    #[test]
    fn round_trip_keeps_record(member in member_v1()) {
        let old = MemberRecord::V1(member);
        let new = old.convert(SchemaVersion::V2).unwrap();
        prop_assert_eq!(new.to_v2(), old.to_v2());
        prop_assert_eq!(new.convert(SchemaVersion::V1).unwrap(), old);
    }
}

fn class(id: &str, kind: ClassKind) -> Class {
    Class {
        id: id.parse().unwrap(),
        kind,
        delivery: Delivery::Exclusive,
        service: None,
        urgent: false,
        evictable: false,
        resources: Resources::new(500, 512, 0),
        expected_run_ms: 1_500,
        latency_target_ms: 0,
        weight: 2.0,
    }
}

fn member(id: &str, classes: Vec<Class>) -> MemberV2 {
    MemberV2 {
        id: id.parse().unwrap(),
        cap: Resources::new(4_000, 4_096, 0),
        max_requests: 8,
        services: vec![Service {
            id: "service".parse().unwrap(),
            slot_resources: Resources::new(1_000, 1_024, 0),
        }],
        classes,
        token_digests: Vec::new(),
        evict_over_cap: true,
    }
}

fn record(members: Vec<MemberV2>) -> AgreementRecord {
    let members = members.into_iter().map(|it| (it.id.clone(), MemberRecord::V2(it)));
    AgreementRecord { members: members.collect(), ..AgreementRecord::default() }
}

/// Guards against a conversion to the old schema that drops a feature, or that
/// reports only the first problem.
#[test]
fn downgrade_names_every_problem() {
    let member = MemberRecord::V2(member("a", vec![class("scan", ClassKind::Batch)]));
    let problems = member.convert(SchemaVersion::V1).unwrap_err();
    let text: Vec<String> = problems.iter().map(ToString::to_string).collect();
    // Every feature that the old schema lacks is named, not only the first.
    assert_eq!(
        text,
        [
            "evict_over_cap: has no counterpart in schema v1",
            "classes.scan: schema v1 has whole cores only",
            "classes.scan: schema v1 has whole gibibytes only",
            "classes.scan: schema v1 has no weights",
        ]
    );
}

/// Guards against a member that has to change schemas because another one
/// does.
#[test]
fn mixed_schemas() {
    let mut mixed = record(vec![member("a", vec![class("scan", ClassKind::Batch)])]);
    let old = MemberV1 {
        name: "b".parse().unwrap(),
        cores: 8,
        memory_gb: 16,
        accelerators: 0,
        max_requests: 2,
        services: Vec::new(),
        classes: Vec::new(),
        token_digests: Vec::new(),
    };
    mixed.members.insert("b".parse().unwrap(), MemberRecord::V1(old));
    mixed.validate().unwrap();
    let text = serde_json::to_string(&mixed).unwrap();
    assert_eq!(serde_json::from_str::<AgreementRecord>(&text).unwrap(), mixed);
    let agreement = mixed.to_agreement();
    let caps: Vec<Resources> = agreement.members.values().map(|it| it.cap).collect();
    assert_eq!(caps, [Resources::new(4_000, 4_096, 0), Resources::new(8_000, 16_384, 0)]);
}

/// Guards against putting a record in force that refers to something missing
/// or contradicts itself.
#[test]
fn invalid_records() {
    let check = |members: Vec<MemberV2>, expected: &str| {
        let problems = record(members).validate().unwrap_err();
        let text: Vec<String> = problems.iter().map(ToString::to_string).collect();
        assert!(text.iter().any(|it| it.contains(expected)), "{text:?} lacks {expected:?}");
    };
    let mut large = class("scan", ClassKind::Batch);
    large.resources = Resources::new(8_000, 512, 0);
    check(vec![member("a", vec![large])], "more than the cap");
    check(vec![member("a", vec![class("check", ClassKind::Service)])], "has to name its service");
    let mut unknown = class("check", ClassKind::Service);
    unknown.service = Some("nowhere".parse().unwrap());
    check(vec![member("a", vec![unknown])], "service nowhere does not exist");
    let mut once = class("watch", ClassKind::Watcher);
    once.delivery = Delivery::AtMostOnce;
    check(vec![member("a", vec![once])], "a watcher cannot have delivery at_most_once");
    let mut other = class("scan", ClassKind::Batch);
    other.weight = 3.0;
    let members =
        vec![member("a", vec![class("scan", ClassKind::Batch)]), member("b", vec![other])];
    check(members, "member a defines this class differently");
    let mut token = member("a", Vec::new());
    token.token_digests.push("secret".to_owned());
    check(vec![token], "not a hex-encoded SHA-256 digest");
}
