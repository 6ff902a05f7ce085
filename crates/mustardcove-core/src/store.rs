//! Calls to the platform's store, as values.
//!
//! A state machine pushes a [`StoreOp`] and later receives the matching
//! result. Adapters execute the calls; nothing here performs I/O. An error of
//! a write says whether the write may have taken effect, because a lost answer
//! is the most common way to break a compare-and-swap protocol.

pub mod watch;

use std::fmt;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::verdict::Verdict;

/// Largest value that the store holds, in bytes.
pub const MAX_VALUE_BYTES: usize = 1 << 20;

/// The store's version of a key; it changes with every write to the key.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct KeyVersion(pub u64);

/// The store's revision as a whole; it rises with every write to any key.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct StoreRevision(pub u64);

/// A lease of the store.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct LeaseId(pub u64);

impl fmt::Display for LeaseId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// The condition under which a write takes effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Expect {
    /// The key is absent.
    Absent,
    /// The key has this version.
    Version(KeyVersion),
    /// There is no condition.
    Any,
}

/// A key with its value and version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Bytes,
    /// The version of the key.
    pub version: KeyVersion,
}

/// A change reported by a watch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WatchEvent {
    /// A key was written.
    Put(Entry),
    /// A key was deleted or its lease expired.
    Delete {
        /// The key.
        key: String,
    },
}

/// A call to the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StoreOp {
    /// Reads one key.
    Get {
        /// The key.
        key: String,
    },
    /// Reads keys with a prefix in order.
    List {
        /// The prefix.
        prefix: String,
        /// The key after which to begin; empty for the first.
        start_after: String,
        /// The most keys to return.
        limit: u32,
    },
    /// Writes one key if the condition holds.
    Put {
        /// The key.
        key: String,
        /// The new value.
        value: Bytes,
        /// The condition for the write to take effect.
        expect: Expect,
        /// The lease whose expiry deletes the key.
        lease: Option<LeaseId>,
    },
    /// Deletes one key if the condition holds.
    Delete {
        /// The key.
        key: String,
        /// The condition for the deletion to take effect.
        expect: Expect,
    },
    /// Creates a lease.
    GrantLease {
        /// Time after which the lease expires unless renewed, in milliseconds.
        ttl_ms: u64,
    },
    /// Renews a lease.
    RenewLease {
        /// The lease.
        lease: LeaseId,
    },
    /// Revokes a lease and deletes its keys.
    RevokeLease {
        /// The lease.
        lease: LeaseId,
    },
    /// Waits for changes under a prefix after a revision.
    Watch {
        /// The prefix.
        prefix: String,
        /// The revision after which changes are reported.
        after: StoreRevision,
        /// How long to wait for a change, in milliseconds.
        wait_ms: u64,
    },
}

impl StoreOp {
    /// Reports whether the call counts towards the store's limit on writes.
    pub fn is_write(&self) -> bool {
        match self {
            StoreOp::Put { .. }
            | StoreOp::Delete { .. }
            | StoreOp::GrantLease { .. }
            | StoreOp::RenewLease { .. }
            | StoreOp::RevokeLease { .. } => true,
            StoreOp::Get { .. } | StoreOp::List { .. } | StoreOp::Watch { .. } => false,
        }
    }
}

/// A successful answer of the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StoreReply {
    /// Answers [`StoreOp::Get`].
    Got {
        /// The entry, if the key exists.
        entry: Option<Entry>,
        /// The store's revision at the time of the read.
        revision: StoreRevision,
    },
    /// Answers [`StoreOp::List`].
    Listed {
        /// The entries, in key order.
        entries: Vec<Entry>,
        /// Whether more keys follow.
        more: bool,
        /// The store's revision at the time of the read.
        revision: StoreRevision,
    },
    /// Answers [`StoreOp::Put`].
    Written {
        /// The new version of the key.
        version: KeyVersion,
    },
    /// Answers [`StoreOp::Delete`].
    Deleted,
    /// Answers [`StoreOp::GrantLease`].
    Granted {
        /// The new lease.
        lease: LeaseId,
    },
    /// Answers [`StoreOp::RenewLease`].
    Renewed,
    /// Answers [`StoreOp::RevokeLease`].
    Revoked,
    /// Answers [`StoreOp::Watch`].
    Changes {
        /// The changes, oldest first; empty if none came in time.
        events: Vec<WatchEvent>,
        /// The revision to pass to the next watch.
        revision: StoreRevision,
    },
}

/// An error of the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StoreError {
    /// The condition of a write did not hold; the write had no effect.
    Conflict {
        /// The entry that was found, if any.
        current: Option<Entry>,
    },
    /// The lease does not exist or no longer exists.
    LeaseLost,
    /// The watch asked for changes that the store no longer keeps.
    Compacted {
        /// The oldest revision that can be watched from.
        oldest: StoreRevision,
    },
    /// The value is larger than the store accepts; the write had no effect.
    TooLarge,
    /// The store did not answer, or answered that it is unavailable.
    Unavailable {
        /// Whether the call may have taken effect.
        verdict: Verdict,
    },
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StoreError::Conflict { current: Some(it) } => {
                write!(f, "key {} was changed by another writer", it.key)
            }
            StoreError::Conflict { current: None } => f.write_str("key is absent"),
            StoreError::LeaseLost => f.write_str("lease does not exist"),
            StoreError::Compacted { oldest } => {
                write!(f, "changes before revision {} are no longer kept", oldest.0)
            }
            StoreError::TooLarge => f.write_str("value exceeds the store's limit"),
            StoreError::Unavailable { verdict } => write!(f, "store unavailable ({verdict})"),
        }
    }
}

impl std::error::Error for StoreError {}

/// The result of a call to the store.
pub type StoreResult = Result<StoreReply, StoreError>;
