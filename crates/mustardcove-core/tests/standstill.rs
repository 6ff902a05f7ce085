//! Whether a process notices that it stood still.

use mustardcove_core::fleet::{
    id::BootMillis,
    standstill::{Extensions, OBSERVE_INTERVAL_MS, Standstill},
};

/// Guards against conclusions from a time in which the process could not hear, and
/// against taking each late tick of a busy processor for one.
#[test]
fn notices_once() {
    let mut standstill = Standstill::new(BootMillis(1_000));
    let mut now = BootMillis(1_000);
    for late_ms in [0, 100, 300] {
        now = now.plus_ms(OBSERVE_INTERVAL_MS + late_ms);
        assert_eq!(standstill.observe(now), None, "{late_ms} ms late");
    }
    now = now.plus_ms(2_000);
    assert_eq!(standstill.observe(now), Some(2_000 - OBSERVE_INTERVAL_MS));
    assert_eq!(standstill.observe(now), None, "it is over");
}

/// Guards against a wait that is extended without end.
#[test]
fn bounded_extensions() {
    let mut extensions = Extensions::default();
    let count = (0..100).filter(|_| extensions.take()).count();
    assert!(0 < count && count < 5, "{count}");
    extensions.reset();
    assert!(extensions.take(), "there was a sign of life");
}
