//! The source of timestamps; see `docs/design.md`, section 2.2.
//!
//! The type is defined in `mustardcove-platform`, because the adapters there
//! check deadlines too and a process should have only one clock.

pub use mustardcove_platform::Clock;
