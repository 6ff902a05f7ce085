//! Ownership of shards and worker groups by scheduler processes.
//!
//! Every process keeps one session in the store under a lease. Live scheduler
//! processes are ranked per shard and per group: the process that ranks first
//! takes over what has no owner, and an owner hands over to a process that
//! ranks higher. Shards need no claim, because opening a shard's log fences
//! its previous owner. Groups have a claim with an epoch, because no write to
//! the store can prevent a process from starting work on a worker. The machine
//! never relies on another process's clock: a claim is taken over only after
//! the store itself has ended the session of the process that holds it. See
//! `docs/design.md`, sections 3.4 and 3.13, and `docs/ownership.md`.

pub mod claim;
pub mod machine;
pub mod rank;
pub mod record;
pub mod session;

pub use self::{
    machine::{Ownership, OwnershipAction, OwnershipConfig, OwnershipDump, OwnershipEvent},
    record::{ClaimRecord, ProcessKind, SessionRecord, claim_key, session_key},
};
