//! JSON encoding of calls, with binary values in base64.
//!
//! The value types serialise [`Bytes`] as a byte string, which `serde_json`
//! writes as a list of numbers, up to four times the size of the value. The
//! formatter in this module writes base64 instead. `serde_json` reads that
//! text back undecoded, so [`BinaryFields`] then decodes each binary field in
//! place. Its matches are exhaustive: a new variant does not compile until
//! someone decides whether it has binary fields.

use std::io;

use base64::{Engine, engine::general_purpose::STANDARD};
use bytes::Bytes;
use mustardcove_core::{
    store::{Entry, StoreError, StoreOp, StoreReply, WatchEvent},
    worker::{TaskEvent, WorkerError, WorkerOp, WorkerReply, WorkerReport},
};
use serde::{Serialize, de::DeserializeOwned};
use serde_json::ser::Formatter;

use crate::instances::InstanceSnapshot;

/// Writes byte strings as base64.
struct Base64Formatter;

impl Formatter for Base64Formatter {
    fn write_byte_array<W>(&mut self, writer: &mut W, value: &[u8]) -> io::Result<()>
    where
        W: ?Sized + io::Write,
    {
        writer.write_all(b"\"")?;
        writer.write_all(STANDARD.encode(value).as_bytes())?;
        writer.write_all(b"\"")
    }
}

/// A value whose binary fields are encoded as base64.
pub trait BinaryFields {
    /// Decodes every binary field in place.
    ///
    /// # Errors
    ///
    /// Returns an error if a field is not valid base64.
    fn decode_binary(&mut self) -> Result<(), base64::DecodeError>;
}

fn decode(value: &mut Bytes) -> Result<(), base64::DecodeError> {
    *value = STANDARD.decode(&*value)?.into();
    Ok(())
}

impl BinaryFields for Entry {
    fn decode_binary(&mut self) -> Result<(), base64::DecodeError> {
        decode(&mut self.value)
    }
}

impl<T: BinaryFields> BinaryFields for Option<T> {
    fn decode_binary(&mut self) -> Result<(), base64::DecodeError> {
        self.iter_mut().try_for_each(T::decode_binary)
    }
}

impl<T: BinaryFields> BinaryFields for Vec<T> {
    fn decode_binary(&mut self) -> Result<(), base64::DecodeError> {
        self.iter_mut().try_for_each(T::decode_binary)
    }
}

impl BinaryFields for WatchEvent {
    fn decode_binary(&mut self) -> Result<(), base64::DecodeError> {
        match self {
            WatchEvent::Put(entry) => entry.decode_binary(),
            WatchEvent::Delete { .. } => Ok(()),
        }
    }
}

impl BinaryFields for StoreOp {
    fn decode_binary(&mut self) -> Result<(), base64::DecodeError> {
        match self {
            StoreOp::Put { value, .. } => decode(value),
            StoreOp::Get { .. }
            | StoreOp::List { .. }
            | StoreOp::Delete { .. }
            | StoreOp::GrantLease { .. }
            | StoreOp::RenewLease { .. }
            | StoreOp::RevokeLease { .. }
            | StoreOp::Watch { .. } => Ok(()),
        }
    }
}

impl BinaryFields for StoreReply {
    fn decode_binary(&mut self) -> Result<(), base64::DecodeError> {
        match self {
            StoreReply::Got { entry, .. } => entry.decode_binary(),
            StoreReply::Listed { entries, .. } => entries.decode_binary(),
            StoreReply::Changes { events, .. } => events.decode_binary(),
            StoreReply::Written { .. }
            | StoreReply::Deleted
            | StoreReply::Granted { .. }
            | StoreReply::Renewed
            | StoreReply::Revoked => Ok(()),
        }
    }
}

impl BinaryFields for StoreError {
    fn decode_binary(&mut self) -> Result<(), base64::DecodeError> {
        match self {
            StoreError::Conflict { current } => current.decode_binary(),
            StoreError::LeaseLost
            | StoreError::Compacted { .. }
            | StoreError::TooLarge
            | StoreError::Unavailable { .. } => Ok(()),
        }
    }
}

impl BinaryFields for WorkerOp {
    fn decode_binary(&mut self) -> Result<(), base64::DecodeError> {
        match self {
            WorkerOp::Start { start, .. } => decode(&mut start.payload),
            WorkerOp::Announce { .. }
            | WorkerOp::Renew { .. }
            | WorkerOp::Stop { .. }
            | WorkerOp::Throttle { .. } => Ok(()),
        }
    }
}

impl BinaryFields for WorkerReport {
    fn decode_binary(&mut self) -> Result<(), base64::DecodeError> {
        self.events.iter_mut().try_for_each(|(_, _, event)| match event {
            TaskEvent::Succeeded { result } => decode(result),
            TaskEvent::Failed { .. }
            | TaskEvent::Stopped { .. }
            | TaskEvent::Checkpointed { .. } => Ok(()),
        })
    }
}

impl BinaryFields for WorkerReply {
    fn decode_binary(&mut self) -> Result<(), base64::DecodeError> {
        match self {
            WorkerReply::Renewed { report, .. } => report.decode_binary(),
            WorkerReply::Announced { .. }
            | WorkerReply::Started { .. }
            | WorkerReply::Stopping
            | WorkerReply::Throttled => Ok(()),
        }
    }
}

impl BinaryFields for WorkerError {
    fn decode_binary(&mut self) -> Result<(), base64::DecodeError> {
        Ok(())
    }
}

impl BinaryFields for InstanceSnapshot {
    fn decode_binary(&mut self) -> Result<(), base64::DecodeError> {
        Ok(())
    }
}

impl<T: BinaryFields, E: BinaryFields> BinaryFields for Result<T, E> {
    fn decode_binary(&mut self) -> Result<(), base64::DecodeError> {
        match self {
            Ok(value) => value.decode_binary(),
            Err(error) => error.decode_binary(),
        }
    }
}

/// Returns the value as JSON.
///
/// # Panics
///
/// Panics if the value cannot be written as JSON, which no type that
/// implements [`BinaryFields`] here can cause.
pub fn to_json<T: Serialize + BinaryFields>(value: &T) -> Bytes {
    let mut buf = Vec::with_capacity(256);
    let mut serializer = serde_json::Serializer::with_formatter(&mut buf, Base64Formatter);
    value.serialize(&mut serializer).expect("value types have string keys");
    buf.into()
}

/// Reads a value from JSON.
///
/// # Errors
///
/// Returns an error if the text is not JSON of this type or a binary field is
/// not base64.
pub fn from_json<T: DeserializeOwned + BinaryFields>(json: &[u8]) -> eyre::Result<T> {
    let mut value: T = serde_json::from_slice(json)?;
    value.decode_binary()?;
    Ok(value)
}
