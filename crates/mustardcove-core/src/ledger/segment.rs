//! Segments, the values of a shard's log.
//!
//! A segment is written only if its key is absent, so each position of the log
//! has at most one writer. If the answer to a write is lost, the token tells
//! the writer whether the value that it finds is its own.

use std::sync::Arc;

use bytes::Bytes;
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::{
    id::{Epoch, ProcessId, SegmentNumber, ShardId, WriteToken},
    ledger::{DecodeError, FORMAT_VERSION, Record},
};

/// Most bytes of records in one segment; the rest of the store's limit of 1 MB
/// is left for the header.
pub const MAX_SEGMENT_BYTES: usize = 900 * 1024;

/// Returns the prefix of the keys of a shard's log.
pub fn log_prefix(shard: ShardId) -> String {
    format!("shard/{shard}/log/")
}

/// Returns the key of a segment.
pub fn log_key(shard: ShardId, seq: SegmentNumber) -> String {
    format!("shard/{shard}/log/{:016}", seq.0)
}

/// Returns the number of the segment that a key names.
pub fn parse_log_key(shard: ShardId, key: &str) -> Option<SegmentNumber> {
    key.strip_prefix(&log_prefix(shard))?.parse().ok()
}

/// Who wrote a segment and under which token.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SegmentHeader {
    /// The writer.
    pub process: ProcessId,
    /// The epoch of its ownership.
    pub epoch: Epoch,
    /// A token that is unique to this append.
    pub token: WriteToken,
}

/// One value of a shard's log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Segment {
    /// Who wrote it.
    pub header: SegmentHeader,
    /// The changes, in order.
    pub records: Vec<Record>,
}

impl Segment {
    /// Returns the stored form of records that were encoded separately.
    pub fn assemble<'a>(
        header: &SegmentHeader,
        records: impl ExactSizeIterator<Item = &'a [u8]>,
    ) -> Bytes {
        let mut buf = vec![FORMAT_VERSION];
        encode_into(&mut buf, header);
        encode_into(&mut buf, &(records.len() as u32));
        for record in records {
            buf.extend_from_slice(record);
        }
        Bytes::from(buf)
    }

    /// Returns the stored form of the segment.
    pub fn encode(&self) -> Bytes {
        let records: Vec<Arc<[u8]>> = self.records.iter().map(encode_record).collect();
        Segment::assemble(&self.header, records.iter().map(|it| it.as_ref()))
    }

    /// Decodes the stored form of a segment.
    ///
    /// # Errors
    ///
    /// Returns an error if the format is not known or the value is damaged.
    pub fn decode(value: &[u8]) -> Result<Segment, DecodeError> {
        let (header, count, mut rest) = Segment::split(value)?;
        let mut records = Vec::new();
        for _ in 0..count {
            records.push(decode_from("segment", &mut rest)?);
        }
        if !rest.is_empty() {
            return Err(DecodeError::new("segment", "bytes follow the last record"));
        }
        Ok(Segment { header, records })
    }

    /// Decodes only the header of the stored form.
    ///
    /// # Errors
    ///
    /// Returns an error if the format is not known or the header is damaged.
    pub fn decode_header(value: &[u8]) -> Result<SegmentHeader, DecodeError> {
        Segment::split(value).map(|(header, ..)| header)
    }

    fn split(value: &[u8]) -> Result<(SegmentHeader, u32, &[u8]), DecodeError> {
        let mut rest = check_version("segment", value)?;
        let header = decode_from("segment", &mut rest)?;
        let count = decode_from("segment", &mut rest)?;
        Ok((header, count, rest))
    }
}

/// Returns the stored form of one record.
pub fn encode_record(record: &Record) -> Arc<[u8]> {
    let mut buf = Vec::new();
    encode_into(&mut buf, record);
    Arc::from(buf)
}

pub(super) fn encode_into<T: Serialize>(buf: &mut Vec<u8>, value: &T) {
    bincode::serde::encode_into_std_write(value, buf, bincode::config::standard())
        .expect("values of the ledger can always be encoded");
}

pub(super) fn decode_from<T: DeserializeOwned>(
    what: &'static str,
    rest: &mut &[u8],
) -> Result<T, DecodeError> {
    let config = bincode::config::standard().with_limit::<{ crate::store::MAX_VALUE_BYTES }>();
    let (value, read) = bincode::serde::decode_from_slice(rest, config)
        .map_err(|err| DecodeError::new(what, err))?;
    *rest = &rest[read..];
    Ok(value)
}

pub(super) fn check_version<'a>(
    what: &'static str,
    value: &'a [u8],
) -> Result<&'a [u8], DecodeError> {
    match value.split_first() {
        Some((&FORMAT_VERSION, rest)) => Ok(rest),
        Some((version, _)) => Err(DecodeError::new(what, format!("unknown format {version}"))),
        None => Err(DecodeError::new(what, "value is empty")),
    }
}
