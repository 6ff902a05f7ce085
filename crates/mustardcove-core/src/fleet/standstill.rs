//! Whether a process has stood still, so that its waits were over before it could
//! hear anything.
//!
//! Load pattern: a process is stopped, its virtual machine is paused, or it gets no
//! processor time for a second. Meanwhile its deadlines pass, and what others send
//! waits in its buffers or is lost with a connection that they close. When it goes on
//! it would conclude that they are lost. So a wait for a sign of life does not count
//! the time in which its owner could not hear.
//!
//! A process whose ticks are always late must still conclude something at some time,
//! so a wait is extended a few times at most between two signs of life.

use super::id::BootMillis;

/// Time between two observations that a process plans, in milliseconds.
pub const OBSERVE_INTERVAL_MS: u64 = 200;
/// How late an observation has to be to show a standstill, in milliseconds: longer
/// than a process on a small share of a busy processor usually waits for its turn, and
/// less than half of the shortest wait for a heartbeat.
const LATE_MS: u64 = 500;
/// Most extensions of a wait between two signs of life.
const MAX_EXTENSIONS: u8 = 2;

/// Notices that a process stood still, by the boot clock, which also counts the time
/// in which its machine was suspended.
#[derive(Clone, Copy, Debug)]
pub struct Standstill {
    observed_at: BootMillis,
}

impl Standstill {
    /// Returns the state of a process that runs now.
    pub fn new(now: BootMillis) -> Standstill {
        Standstill { observed_at: now }
    }

    /// Records that the process runs now. Returns for how long it stood still since
    /// the last observation, in milliseconds; `None` if it did not.
    pub fn observe(&mut self, now: BootMillis) -> Option<u64> {
        let late_ms = now.ms_since(self.observed_at).saturating_sub(OBSERVE_INTERVAL_MS);
        self.observed_at = self.observed_at.max(now);
        (LATE_MS <= late_ms).then_some(late_ms)
    }
}

/// The extensions of one wait because of standstills.
#[derive(Clone, Copy, Debug, Default)]
pub struct Extensions {
    used: u8,
}

impl Extensions {
    /// Returns whether the wait may be extended once more, and counts it.
    pub fn take(&mut self) -> bool {
        let may_extend = self.used < MAX_EXTENSIONS;
        self.used += u8::from(may_extend);
        may_extend
    }

    /// Records a sign of life, which the next wait is for.
    pub fn reset(&mut self) {
        self.used = 0;
    }
}
