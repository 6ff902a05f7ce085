//! The source of timestamps; see `docs/design.md`, section 2.2.
//!
//! The type lives in `mustardcove-platform`, whose adapters check deadlines
//! too, so that a process has one clock.

pub use mustardcove_platform::Clock;
