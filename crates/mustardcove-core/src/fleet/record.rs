//! Records in the platform's store.
//!
//! Each submission has three kinds of keys, so that no writer overwrites
//! another's value: the submission itself, written once by the process that
//! accepts it; its cancellation, written once by the process that accepted
//! that; and its progress, written by the leader alone.

use std::sync::Arc;

use serde::{Deserialize, Serialize, de::DeserializeOwned};

use super::{
    id::{Incarnation, RunNumber, SubmissionId},
    submission::{Submission, SubmissionState},
};
use crate::id::{FailureDomainId, HostId, ProcessId, RegionId, WorkerId};

/// Prefix of everything that a leader follows with one watch: the leader
/// record, submissions and cancellations.
pub const WORK_PREFIX: &str = "work/";
/// The key of the leader record.
pub const LEADER_KEY: &str = "work/leader";
/// Prefix of the keys of submissions.
pub const SUBMISSION_PREFIX: &str = "work/submission/";
/// Prefix of the keys of cancellations.
pub const CANCEL_PREFIX: &str = "work/cancel/";
/// Prefix of the records of submissions that were cancelled before they were
/// stored; see [`withdrawals`](super::withdrawals). The leader follows none of them.
pub const WITHDRAWN_PREFIX: &str = "withdrawn/";
/// Prefix of the keys of progress records.
pub const PROGRESS_PREFIX: &str = "progress/";
/// Prefix of the keys of process records.
pub const PROCESS_PREFIX: &str = "process/";
/// Prefix of the keys of the roster's segments.
pub const ROSTER_PREFIX: &str = "roster/";
/// Most segments of the roster: a key with a higher number is not ours.
const MAX_ROSTER_SEGMENTS: usize = 1_024;

/// The key of what the last leader that stepped down left to its successor; see
/// [`Handover`](super::handover::Handover).
pub const HANDOVER_KEY: &str = "handover";
/// The key of the processes that count; see [`members`](super::members).
pub const MEMBERS_KEY: &str = "members";
/// The key of the interference that leaders have learned.
pub const LEARNED_KEY: &str = "learned";

/// Returns the key of a submission's record below a prefix.
pub fn key_of(prefix: &str, id: SubmissionId) -> String {
    format!("{prefix}{id}")
}

/// Returns the submission that a key below a prefix belongs to.
pub fn id_of(prefix: &str, key: &str) -> Option<SubmissionId> {
    key.strip_prefix(prefix)?.parse().ok()
}

/// Returns the key of a segment of the roster.
pub fn roster_key(segment: usize) -> String {
    format!("{ROSTER_PREFIX}{segment}")
}

/// Returns the number of the roster's segment that is stored at a key.
pub fn roster_segment_of(key: &str) -> Option<usize> {
    let segment = key.strip_prefix(ROSTER_PREFIX)?.parse().ok()?;
    (segment < MAX_ROSTER_SEGMENTS).then_some(segment)
}

/// The current leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// The process.
    pub process: ProcessId,
    /// Its address for peers.
    pub address: String,
    /// Its region.
    pub region: RegionId,
    /// Number of leaders so far, this one included. Run numbers are derived
    /// from it, so that they rise across leaders without a write.
    pub claims: u64,
}

/// A process that may lead and poll workers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ProcessRecord {
    /// The process.
    pub process: ProcessId,
    /// The name of its instance.
    pub name: String,
    /// Its address for peers.
    pub address: String,
    /// Its region.
    pub region: RegionId,
    /// Its failure domain.
    pub domain: FailureDomainId,
    /// Its share of a processor, in proportion to which it gets workers.
    pub cpu_share: f64,
}

/// The progress of a submission, as far as leaders have recorded it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ProgressRecord {
    /// Its state.
    pub state: SubmissionState,
    /// Occurrences that have begun and are not done, and those from
    /// `next_occurrence` on that have begun, done or not.
    pub occurrences: Vec<OccurrenceProgress>,
    /// Occurrences below this number, other than the listed ones, are done.
    pub next_occurrence: u32,
    /// Tasks that may have crashed a worker; see [`encode_progress`].
    #[serde(skip)]
    pub suspects: Vec<SuspectTask>,
}

/// What is known against a task that may crash the workers which start it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SuspectTask {
    /// Its occurrence.
    pub occurrence: u32,
    /// Its step.
    pub step: u16,
    /// Its index.
    pub index: u16,
    /// Runs under which a worker has crashed.
    pub crashed_runs: Vec<CrashedRun>,
    /// Runs whose worker may crash, or may have crashed.
    pub open_runs: Vec<OpenRun>,
}

/// A run under which a worker has crashed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashedRun {
    /// The run.
    pub run: RunNumber,
    /// Whether nothing else explains the crash.
    pub is_sole: bool,
}

/// A run of which it is not known whether it crashed its worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenRun {
    /// The run.
    pub run: RunNumber,
    /// Its worker.
    pub worker: WorkerId,
    /// The incarnation of the worker that was to start it.
    pub incarnation: Incarnation,
    /// The host of the worker.
    pub host: Option<HostId>,
    /// Whether nothing else would explain a crash.
    pub is_sole: bool,
}

/// Progress of an occurrence.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OccurrenceProgress {
    /// Its number.
    pub occurrence: u32,
    /// Tasks that are done or have failed, in step and index order.
    pub tasks: Vec<TaskProgress>,
}

/// Progress of a task.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TaskProgress {
    /// Its step.
    pub step: u16,
    /// Its index.
    pub index: u16,
    /// Whether it is done.
    pub is_done: bool,
    /// Runs that failed. Their numbers are kept because a worker may list an
    /// end again to the next leader, which must not count it twice.
    pub failed_runs: Vec<RunNumber>,
    /// The checkpoint that the next run resumes from.
    pub checkpoint: Option<String>,
}

/// Interference that leaders have learned, so that the next one need not slow
/// down latency-critical tasks to learn it again.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LearnedInterference {
    /// The images, each with the lowest tail latency measured, in
    /// milliseconds.
    pub images: Vec<(Arc<str>, Option<f32>)>,
    /// Pressures by the positions in `images` of the latency-critical image
    /// and of its neighbour's.
    pub pressures: Vec<(u16, u16, f32)>,
}

/// Error returned when a value is not a record of the expected type.
#[derive(Debug)]
pub struct UnreadableRecord {
    detail: String,
}

impl std::fmt::Display for UnreadableRecord {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "unreadable record: {}", self.detail)
    }
}

impl std::error::Error for UnreadableRecord {}

/// The most memory that decoding one record may use, in bytes.
const DECODE_LIMIT: usize = 4 << 20;

/// Encodes a record.
///
/// # Panics
///
/// Panics if the type cannot be encoded, which is a bug in its definition.
pub fn encode<T: Serialize>(record: &T) -> Vec<u8> {
    bincode::serde::encode_to_vec(record, bincode::config::standard())
        .expect("records consist of encodable types")
}

/// Decodes a record.
///
/// # Errors
///
/// Returns an error if the bytes are not a record of this type.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, UnreadableRecord> {
    let (record, rest) = decode_first(bytes)?;
    if !rest.is_empty() {
        return Err(UnreadableRecord { detail: format!("{} trailing bytes", rest.len()) });
    }
    Ok(record)
}

/// Decodes the record at the beginning, and returns the bytes after it.
///
/// # Errors
///
/// Returns an error if the bytes do not begin with a record of this type.
pub fn decode_first<T: DeserializeOwned>(bytes: &[u8]) -> Result<(T, &[u8]), UnreadableRecord> {
    let config = bincode::config::standard().with_limit::<DECODE_LIMIT>();
    let decoded = bincode::serde::decode_from_slice(bytes, config);
    let (record, read) = decoded.map_err(|error| UnreadableRecord { detail: error.to_string() })?;
    Ok((record, &bytes[read..]))
}

/// Decodes a submission.
///
/// Records of builds before version 6 of the peer protocol end before the version
/// of the manifest, which then counts as 0: it is the last field, and 0 takes one
/// byte.
///
/// # Errors
///
/// Returns an error if the bytes are no submission.
pub fn decode_submission(bytes: &[u8]) -> Result<Submission, UnreadableRecord> {
    decode(bytes).or_else(|error| decode(&[bytes, &[0]].concat()).map_err(|_| error))
}

/// Encodes a progress record. Its suspected tasks follow only if there are any,
/// so that all other records are as builds without them wrote and read them.
///
/// # Panics
///
/// Panics if the type cannot be encoded, which is a bug in its definition.
pub fn encode_progress(record: &ProgressRecord) -> Vec<u8> {
    let mut bytes = encode(record);
    if !record.suspects.is_empty() {
        bytes.extend(encode(&record.suspects));
    }
    bytes
}

/// Decodes a progress record.
///
/// # Errors
///
/// Returns an error if the bytes are no progress record.
pub fn decode_progress(bytes: &[u8]) -> Result<ProgressRecord, UnreadableRecord> {
    let (mut record, rest) = decode_first::<ProgressRecord>(bytes)?;
    if !rest.is_empty() {
        record.suspects = decode(rest)?;
    }
    Ok(record)
}
