//! Guards against urgent work that is refused while less urgent work is
//! admitted, and against refusals without a verdict and a retry time.

use mustardcove_core::{
    limit::{ShedClass, Shedder},
    time::Timestamp,
    verdict::{RefusalReason, Verdict},
};
use proptest::prelude::*;
use strum::IntoEnumIterator as _;

proptest! {
    /// Guards against admitting a class while a more urgent one is shed, and
    /// against refusals without a verdict or a usable retry time.
    #[test]
    fn less_urgent_classes_are_shed_first(
        seed: u64,
        capacity in 1..200u64,
        steps in prop::collection::vec((0..5usize, any::<bool>()), 1..500),
    ) {
        let classes: Vec<ShedClass> = ShedClass::iter().collect();
        let mut shedder = Shedder::new(capacity, seed);
        let now = Timestamp(77);
        for (at, ends) in steps {
            if ends && 0 < shedder.in_flight() {
                shedder.end();
            }
            let Some(&class) = classes.get(at) else { continue };
            let before = shedder.in_flight();
            match shedder.try_begin(now, class) {
                Ok(()) => prop_assert_eq!(shedder.in_flight(), before + 1),
                Err(refusal) => {
                    prop_assert_eq!(shedder.in_flight(), before);
                    prop_assert_eq!(refusal.verdict, Verdict::NotRun);
                    prop_assert_eq!(refusal.reason, RefusalReason::Overloaded);
                    let wait_ms = refusal.retry_at.unwrap().ms_since(now);
                    prop_assert!((200..=5_000).contains(&wait_ms));
                    // All less urgent classes are refused too.
                    for lower in classes.iter().filter(|it| class < **it) {
                        prop_assert!(shedder.try_begin(now, *lower).is_err());
                    }
                }
            }
            prop_assert!(shedder.in_flight() <= capacity);
        }
    }
}

/// Guards against urgent work that finds no capacity because other work has
/// filled it.
#[test]
fn urgent_work_may_use_full_capacity() {
    let mut shedder = Shedder::new(100, 1);
    let admitted = |shedder: &mut Shedder, class| {
        (0..200).filter(|_| shedder.try_begin(Timestamp(0), class).is_ok()).count()
    };
    assert_eq!(admitted(&mut shedder, ShedClass::Batch), 70);
    assert_eq!(admitted(&mut shedder, ShedClass::Watcher), 10);
    assert_eq!(admitted(&mut shedder, ShedClass::Service), 10);
    assert_eq!(admitted(&mut shedder, ShedClass::Urgent), 10);
}
