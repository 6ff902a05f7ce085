//! The source of [`Timestamp`]s.
//!
//! Wall time is read once, at process start; from then on monotonic time is
//! added. A timestamp therefore never steps back within a process, and lease
//! deadlines do not move, even when the wall clock is set.
//! Clocks of two processes differ by at most
//! [`MAX_CLOCK_ERROR_MS`](mustardcove_core::time::MAX_CLOCK_ERROR_MS).

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use mustardcove_core::time::Timestamp;
use tokio::time::Instant;

/// A clock that never steps back.
///
/// Copies share the same start, so that all parts of a process agree.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start_wall_time: Timestamp,
    started: Instant,
}

impl Clock {
    /// Returns a clock that starts at the current wall time.
    pub fn start() -> Clock {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock::starting_at(Timestamp(since_epoch.as_millis() as u64))
    }

    /// Returns a clock that starts at the given time, for tests.
    pub fn starting_at(wall: Timestamp) -> Clock {
        Clock { start_wall_time: wall, started: Instant::now() }
    }

    /// Returns the current time.
    pub fn now(&self) -> Timestamp {
        self.start_wall_time.plus_ms(self.started.elapsed().as_millis() as u64)
    }

    /// Returns the time left until `deadline`, or zero if it has passed.
    pub fn until(&self, deadline: Timestamp) -> Duration {
        Duration::from_millis(self.now().ms_until(deadline))
    }

    /// Waits until `deadline`; returns at once if it has passed, and never if it
    /// is [`Timestamp::MAX`].
    pub async fn sleep_until(&self, deadline: Timestamp) {
        if deadline == Timestamp::MAX {
            return std::future::pending().await;
        }
        tokio::time::sleep(self.until(deadline)).await;
    }
}

impl Default for Clock {
    fn default() -> Clock {
        Clock::start()
    }
}
