//! Guards against lost updates of the agreement when operators race and when
//! answers of the store are lost, and against gaps in the history.

use mustardcove_core::{
    agreement::{
        record::{AgreementRecord, ChangeNote, MemberRecord, history_key},
        v2::MemberV2,
        validate::Problem,
    },
    configuration::{AgreementChange, AgreementChangeError, AgreementChangeStep},
    id::{Revision, WriteToken},
    ownership::record::decode_record,
    size::Resources,
    store::{StoreError, StoreOp, StoreReply},
    time::Timestamp,
    verdict::Verdict,
};
use mustardcove_platform::memory::store_state::StoreState;
use proptest::{prelude::*, test_runner::RngSeed};

const NOW: Timestamp = Timestamp(1);

fn add_member(
    name: String,
) -> impl FnMut(&AgreementRecord) -> Result<AgreementRecord, Vec<Problem>> {
    move |record| {
        let mut record = record.clone();
        let member = MemberV2 {
            id: name.parse().unwrap(),
            cap: Resources::new(1_000, 1_024, 0),
            max_requests: 1,
            services: Vec::new(),
            classes: Vec::new(),
            token_digests: Vec::new(),
            evict_over_cap: false,
        };
        record.members.insert(member.id.clone(), MemberRecord::V2(member));
        Ok(record)
    }
}

fn note(token: u64) -> ChangeNote {
    ChangeNote {
        author: format!("operator-{token}"),
        summary: format!("add member {token}"),
        changed_at: NOW,
        token: WriteToken(token),
    }
}

fn read(store: &mut StoreState, key: &str) -> Option<AgreementRecord> {
    match store.apply(NOW, &StoreOp::Get { key: key.to_owned() }) {
        Ok(StoreReply::Got { entry, .. }) => entry.and_then(|it| decode_record(&it.value)),
        _ => None,
    }
}

fn run<F>(store: &mut StoreState, mut change: AgreementChange<F>) -> AgreementChangeStep
where
    F: FnMut(&AgreementRecord) -> Result<AgreementRecord, Vec<Problem>>,
{
    let mut step = AgreementChangeStep::Call(change.start());
    while let AgreementChangeStep::Call(op) = step {
        step = change.handle(&store.apply(NOW, &op));
    }
    step
}

/// Guards against overwriting a change that an operator has not seen; the
/// conflict has to name who made it.
#[test]
fn named_conflict() {
    let mut store = StoreState::default();
    let first = run(&mut store, AgreementChange::new(add_member("a".to_owned()), None, note(1)));
    assert!(matches!(first, AgreementChangeStep::Done(_)));
    // The second operator read the agreement before the first change.
    let change = AgreementChange::new(add_member("b".to_owned()), Some(Revision(0)), note(2));
    let AgreementChangeStep::Failed(AgreementChangeError::Conflict { revision, change }) =
        run(&mut store, change)
    else {
        panic!("the second change was not refused");
    };
    assert_eq!(revision, Revision(1));
    assert_eq!(change.author, "operator-1");
}

/// Guards against reporting a change as not made although it was written and
/// then replaced by another one.
#[test]
fn replaced_after_loss() {
    // The answer to the first write is lost and another operator replaces the
    // record before the first one reads back.
    let mut store = StoreState::default();
    let mut first = AgreementChange::new(add_member("a".to_owned()), None, note(1));
    let op = first.start();
    let AgreementChangeStep::Call(write) = first.handle(&store.apply(NOW, &op)) else { panic!() };
    store.apply(NOW, &write).unwrap();
    let lost = Err(StoreError::Unavailable { verdict: Verdict::MayHaveRun });
    let mut step = first.handle(&lost);
    let second = run(&mut store, AgreementChange::new(add_member("b".to_owned()), None, note(2)));
    assert!(matches!(second, AgreementChangeStep::Done(_)));
    while let AgreementChangeStep::Call(op) = step {
        step = first.handle(&store.apply(NOW, &op));
    }
    assert!(matches!(step, AgreementChangeStep::Done(_)), "{step:?}");
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(0x7261_6365),
        ..ProptestConfig::default()
    })]

    /// Calls of three operators interleave and lose answers in any combination.
    /// Every change that is reported as made is in the record, no change that is
    /// reported as not made is in it, and the history has no gaps.
    #[test]
    fn interleaved_changes(schedule in prop::collection::vec((0..3_usize, 0..4_u8), 0..60)) {
        let mut store = StoreState::default();
        let names = ["a", "b", "c"];
        let mut changes: Vec<_> = (0..3)
            .map(|it| AgreementChange::new(add_member(names[it].to_owned()), None, note(it as u64 + 1)))
            .collect();
        let mut steps: Vec<AgreementChangeStep> =
            changes.iter().map(|it| AgreementChangeStep::Call(it.start())).collect();
        let finish = (0..3_usize).flat_map(|it| std::iter::repeat_n((it, 3_u8), 40));
        for (index, delivery) in schedule.into_iter().chain(finish) {
            let AgreementChangeStep::Call(op) = steps[index].clone() else { continue };
            let lost = Err(StoreError::Unavailable { verdict: Verdict::MayHaveRun });
            let result = match delivery {
                0 => lost,
                1 => {
                    // The call takes effect and its answer is lost.
                    store.apply(NOW, &op).ok();
                    lost
                }
                _ => store.apply(NOW, &op),
            };
            steps[index] = changes[index].handle(&result);
        }
        let current = read(&mut store, "config/agreement").unwrap_or_default();
        for (index, step) in steps.iter().enumerate() {
            let made = current.members.contains_key(&names[index].parse().unwrap());
            match step {
                AgreementChangeStep::Done(_) => prop_assert!(made, "lost update of {}", names[index]),
                AgreementChangeStep::Failed(AgreementChangeError::Unavailable {
                    verdict: Verdict::MayHaveRun,
                }) => (),
                AgreementChangeStep::Failed(error) => prop_assert!(!made, "{error}, but the change was made"),
                AgreementChangeStep::Call(_) => prop_assert!(false, "change did not end"),
            }
        }
        for revision in 1..current.revision.0 {
            let kept = read(&mut store, &history_key(Revision(revision)));
            prop_assert_eq!(kept.map(|it| it.revision), Some(Revision(revision)));
        }
    }
}
