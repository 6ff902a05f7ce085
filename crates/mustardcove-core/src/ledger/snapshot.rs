//! Snapshots of a shard's state after one segment, divided into parts that fit
//! the store's limit.
//!
//! Two owners never write a snapshot of the same segment: a successor's first
//! segment comes after every segment that its predecessor knows to be durable.
//! A part may therefore be overwritten unconditionally, and a snapshot is
//! complete if all of its parts are present.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{
    id::{Epoch, ProcessId, SegmentNumber, ShardId},
    ledger::{
        DecodeError, FORMAT_VERSION, Job, Ledger,
        segment::{MAX_SEGMENT_BYTES, check_version, decode_from, encode_into},
    },
};

/// Returns the prefix of the keys of a shard's snapshots.
pub fn snapshot_prefix(shard: ShardId) -> String {
    format!("shard/{shard}/snap/")
}

/// Returns the key of one part of a snapshot.
pub fn snapshot_key(shard: ShardId, seq: SegmentNumber, part: u32) -> String {
    format!("shard/{shard}/snap/{:016}/{part:04}", seq.0)
}

/// Returns the segment and the part that a key names.
pub fn parse_snapshot_key(shard: ShardId, key: &str) -> Option<(SegmentNumber, u32)> {
    let (seq, part) = key.strip_prefix(&snapshot_prefix(shard))?.split_once('/')?;
    Some((seq.parse().ok()?, part.parse().ok()?))
}

#[derive(Debug, Serialize, Deserialize)]
struct PartHeader {
    seq: SegmentNumber,
    owner: Option<ProcessId>,
    epoch: Epoch,
    part: u32,
    parts: u32,
    jobs: u32,
}

/// One part of a snapshot.
#[derive(Clone, Debug, PartialEq)]
pub struct SnapshotPart {
    /// The last segment that the snapshot includes.
    pub seq: SegmentNumber,
    /// The owner at that segment.
    pub owner: Option<ProcessId>,
    /// The owner's epoch.
    pub epoch: Epoch,
    /// The index of this part, from 0.
    pub part: u32,
    /// The number of parts.
    pub parts: u32,
    /// The jobs in this part.
    pub jobs: Vec<Job>,
}

impl SnapshotPart {
    /// Returns the stored form of all parts of a snapshot.
    pub fn encode_all(ledger: &Ledger, seq: SegmentNumber) -> Vec<Bytes> {
        let mut chunks: Vec<(u32, Vec<u8>)> = vec![(0, Vec::new())];
        let mut buf = Vec::new();
        for (_, job) in ledger.jobs() {
            buf.clear();
            encode_into(&mut buf, job);
            let (_, last) = chunks.last().expect("there is always a chunk");
            if MAX_SEGMENT_BYTES < last.len() + buf.len() {
                chunks.push((0, Vec::new()));
            }
            let (count, last) = chunks.last_mut().expect("there is always a chunk");
            *count += 1;
            last.extend_from_slice(&buf);
        }
        let parts = chunks.len() as u32;
        let header = |part, jobs| PartHeader {
            seq,
            owner: ledger.owner().cloned(),
            epoch: ledger.epoch(),
            part,
            parts,
            jobs,
        };
        let encode = |(part, (jobs, body)): (usize, (u32, Vec<u8>))| {
            let mut buf = vec![FORMAT_VERSION];
            encode_into(&mut buf, &header(part as u32, jobs));
            buf.extend_from_slice(&body);
            Bytes::from(buf)
        };
        chunks.into_iter().enumerate().map(encode).collect()
    }

    /// Decodes the stored form of one part.
    ///
    /// # Errors
    ///
    /// Returns an error if the format is not known or the value is damaged.
    pub fn decode(value: &[u8]) -> Result<SnapshotPart, DecodeError> {
        let mut rest = check_version("snapshot", value)?;
        let header: PartHeader = decode_from("snapshot", &mut rest)?;
        let mut jobs = Vec::new();
        for _ in 0..header.jobs {
            jobs.push(decode_from("snapshot", &mut rest)?);
        }
        if !rest.is_empty() {
            return Err(DecodeError::new("snapshot", "bytes follow the last job"));
        }
        let PartHeader { seq, owner, epoch, part, parts, .. } = header;
        Ok(SnapshotPart { seq, owner, epoch, part, parts, jobs })
    }
}
