//! Identifiers.
//!
//! Each kind of identifier is its own type, so that a worker cannot be passed
//! where a member is expected. Names chosen by operators are reference-counted
//! strings, because they are copied into many messages; numbers that the
//! system assigns are plain integers.

use std::{fmt, str::FromStr, sync::Arc};

use serde::{Deserialize, Deserializer, Serialize, Serializer, de};
use xxhash_rust::xxh3::xxh3_128_with_seed;

/// Longest name accepted for any operator-chosen identifier, in bytes.
pub const MAX_NAME_BYTES: usize = 128;

/// Error returned when text is not a valid identifier.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ParseIdError {
    kind: &'static str,
    text: String,
}

impl ParseIdError {
    pub(crate) fn new(kind: &'static str, text: &str) -> ParseIdError {
        ParseIdError { kind, text: text.to_owned() }
    }
}

impl fmt::Display for ParseIdError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} is not a valid {}", self.text, self.kind)
    }
}

impl std::error::Error for ParseIdError {}

/// Reports whether the text is a valid name.
///
/// Names may hold letters, digits and `-_.:/@`, so that they can appear in
/// store keys, log lines and URLs without escaping.
fn is_valid_name(text: &str) -> bool {
    !text.is_empty()
        && text.len() <= MAX_NAME_BYTES
        && text.bytes().all(|b| b.is_ascii_alphanumeric() || b"-_.:/@".contains(&b))
}

macro_rules! name_id {
    ($(#[$doc:meta])* $name:ident, $kind:literal) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the identifier as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl FromStr for $name {
            type Err = ParseIdError;

            fn from_str(text: &str) -> Result<Self, ParseIdError> {
                if is_valid_name(text) {
                    Ok(Self(Arc::from(text)))
                } else {
                    Err(ParseIdError { kind: $kind, text: text.to_owned() })
                }
            }
        }

        impl TryFrom<String> for $name {
            type Error = ParseIdError;

            fn try_from(text: String) -> Result<Self, ParseIdError> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(id: $name) -> String {
                id.0.as_ref().to_owned()
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

name_id! {
    /// A member of the agreement: a firm, division or team with a cap.
    MemberId, "member id"
}
name_id! {
    /// A class of work, unique in a deployment.
    ClassId, "class id"
}
name_id! {
    /// A latency-critical service that upstreams provide.
    ServiceId, "service id"
}
name_id! {
    /// A failure domain of the platform.
    FailureDomainId, "failure domain id"
}
name_id! {
    /// A region, which holds one or more failure domains.
    RegionId, "region id"
}
name_id! {
    /// A rack inside a failure domain.
    RackId, "rack id"
}
name_id! {
    /// An instance that runs tasks.
    WorkerId, "worker id"
}
name_id! {
    /// The machine on which a worker runs. It outlasts the worker: the next
    /// worker there has another identifier, or another incarnation.
    HostId, "host id"
}
name_id! {
    /// One incarnation of a process of this system.
    ///
    /// A restarted process has a new identifier, so that its predecessor's
    /// claims are never mistaken for its own.
    ProcessId, "process id"
}
name_id! {
    /// A group of workers whose capacity has one owner.
    GroupId, "group id"
}
name_id! {
    /// The key by which a caller makes a submission idempotent.
    IdempotencyKey, "idempotency key"
}

macro_rules! number_id {
    ($(#[$doc:meta])* $name:ident, $int:ty, $kind:literal) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $int);

        impl $name {
            /// Returns the identifier that follows this one.
            pub fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl FromStr for $name {
            type Err = ParseIdError;

            fn from_str(text: &str) -> Result<Self, ParseIdError> {
                text.parse().map(Self).map_err(|_| ParseIdError::new($kind, text))
            }
        }
    };
}

pub(crate) use number_id;

number_id! {
    /// A shard of the job ledger.
    ShardId, u16, "shard id"
}
number_id! {
    /// The number of a claim on a worker group; a higher epoch fences a lower one.
    Epoch, u64, "epoch"
}
number_id! {
    /// The number of an attempt to run a job, counted from 1.
    AttemptNumber, u32, "attempt number"
}
number_id! {
    /// The revision of the agreement record.
    Revision, u64, "revision"
}
number_id! {
    /// The position of a segment in a shard's log, counted from 1.
    SegmentNumber, u64, "segment number"
}
number_id! {
    /// The number of a request at the process that sent it.
    RequestId, u64, "request id"
}
number_id! {
    /// A call made by a state machine, used to match its reply.
    CallId, u64, "call id"
}
number_id! {
    /// One run of a worker process; a restarted worker has a new incarnation.
    Incarnation, u64, "incarnation"
}
number_id! {
    /// A connection of a client, counted from 1 in the order of opening; 0 is
    /// none.
    ConnectionNumber, u64, "connection number"
}
number_id! {
    /// A token that identifies one write to the store when it is read back.
    WriteToken, u64, "write token"
}

/// A job, derived from the member and its idempotency key.
///
/// Any entry process computes the same identifier for the same submission, so
/// a repeated submission reaches the shard that holds the first one.
///
/// In JSON it is hexadecimal text, because JSON numbers of 128 bits lose
/// digits or are refused; in binary encodings it is an integer.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobId(pub u128);

impl Serialize for JobId {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        if serializer.is_human_readable() {
            serializer.collect_str(self)
        } else {
            self.0.serialize(serializer)
        }
    }
}

impl<'de> Deserialize<'de> for JobId {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        if deserializer.is_human_readable() {
            let text = String::deserialize(deserializer)?;
            text.parse().map_err(de::Error::custom)
        } else {
            u128::deserialize(deserializer).map(JobId)
        }
    }
}

impl JobId {
    /// Seed of the hash; a change would move every job to another shard.
    const HASH_SEED: u64 = 0x6d75_7374_6172_6400;

    /// Returns the identifier of the job submitted by `member` under `key`.
    ///
    /// # Examples
    ///
    /// ```
    /// use mustardcove_core::id::JobId;
    ///
    /// let member = "bindery".parse().unwrap();
    /// let key = "order-17".parse().unwrap();
    /// assert_eq!(JobId::new(&member, &key), JobId::new(&member, &key));
    /// ```
    pub fn new(member: &MemberId, key: &IdempotencyKey) -> JobId {
        let mut buf = Vec::with_capacity(member.as_str().len() + key.as_str().len() + 1);
        buf.extend_from_slice(member.as_str().as_bytes());
        // Names never hold a zero byte, so the pair is encoded unambiguously.
        buf.push(0);
        buf.extend_from_slice(key.as_str().as_bytes());
        JobId(xxh3_128_with_seed(&buf, JobId::HASH_SEED))
    }

    /// Returns the shard that owns this job among `shards` shards.
    ///
    /// # Panics
    ///
    /// Panics if `shards` is zero.
    pub fn shard(self, shards: u16) -> ShardId {
        ShardId((self.0 % u128::from(shards)) as u16)
    }
}

impl fmt::Debug for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "JobId({self})")
    }
}

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl FromStr for JobId {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, ParseIdError> {
        let error = || ParseIdError { kind: "job id", text: text.to_owned() };
        if text.len() != 32 {
            return Err(error());
        }
        u128::from_str_radix(text, 16).map(JobId).map_err(|_| error())
    }
}

/// One attempt to run a job, which a worker runs as a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskId {
    /// The job.
    pub job: JobId,
    /// The attempt.
    pub attempt: AttemptNumber,
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.job, self.attempt)
    }
}

impl FromStr for TaskId {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, ParseIdError> {
        let error = || ParseIdError { kind: "task id", text: text.to_owned() };
        let (job, attempt) = text.split_once('.').ok_or_else(error)?;
        Ok(TaskId { job: job.parse()?, attempt: attempt.parse()? })
    }
}
