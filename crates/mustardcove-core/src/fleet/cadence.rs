//! How often the leader and the other processes send messages.
//!
//! In a small fleet every message is sent almost at once. Each message costs
//! its receiver some tens of microseconds, whatever it holds, so in a large
//! fleet the leader's time would go to receiving many small ones. There, what
//! is to be sent is collected for longer, so that the number of messages in a
//! second stays bounded whatever the number of processes is.

/// Most messages of one kind that the leader receives or sends in a second.
const MESSAGES_PER_S: u64 = 4_000;
/// Shortest time between two plans, in milliseconds.
const MIN_PLAN_DELAY_MS: u64 = 10;
/// Longest time for which anything is collected, in milliseconds: the first
/// step of a small submission should not wait noticeably.
const MAX_DELAY_MS: u64 = 150;
/// Time between two plans, as a multiple of the time that the last one took.
/// The rest is for handling reports: a leader that mostly plans falls behind
/// with them.
const PLAN_PAUSE_FACTOR: u64 = 2;

/// Returns the time for which messages from or to each of `processes` are
/// collected, in milliseconds.
pub fn message_delay_ms(processes: usize) -> u64 {
    (processes as u64 * 1_000 / MESSAGES_PER_S).min(MAX_DELAY_MS)
}

/// Returns the shortest time from the end of a plan to the begin of the next,
/// in milliseconds, given how long the last one took.
pub fn plan_delay_ms(processes: usize, last_plan_ms: u64) -> u64 {
    let paused = last_plan_ms.saturating_mul(PLAN_PAUSE_FACTOR);
    message_delay_ms(processes).max(paused).clamp(MIN_PLAN_DELAY_MS, MAX_DELAY_MS)
}
