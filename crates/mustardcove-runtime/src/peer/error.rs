//! Errors of the peer transport.

use std::fmt;

use mustardcove_core::verdict::Verdict;
use strum::{Display, IntoStaticStr};

/// Why a message or request failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum PeerErrorKind {
    /// The process is not registered and has no connection.
    UnknownPeer,
    /// No connection could be opened, or the back-off after the last failed
    /// attempt has not ended.
    Unreachable,
    /// A message queue, the event queue or the table of pending requests is
    /// full.
    QueueFull,
    /// The message exceeds the size limit.
    TooLarge,
    /// The deadline passed before the message was written.
    NotWritten,
    /// The message was written, and its connection ended before an answer came.
    Disconnected,
    /// The message was written, and no answer came by the deadline.
    NoAnswer,
    /// This process is shutting down.
    ShuttingDown,
    /// The peer violated the protocol.
    Protocol,
}

/// Error of a message or request. Its kind determines the verdict.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerError {
    kind: PeerErrorKind,
    detail: String,
}

impl PeerError {
    /// Returns an error with a human-readable detail.
    pub fn new(kind: PeerErrorKind, detail: impl Into<String>) -> PeerError {
        PeerError { kind, detail: detail.into() }
    }

    /// Returns why the message failed.
    pub fn kind(&self) -> PeerErrorKind {
        self.kind
    }

    /// Returns whether the peer may have handled the message.
    pub fn verdict(&self) -> Verdict {
        match self.kind {
            PeerErrorKind::UnknownPeer
            | PeerErrorKind::Unreachable
            | PeerErrorKind::QueueFull
            | PeerErrorKind::TooLarge
            | PeerErrorKind::NotWritten
            | PeerErrorKind::ShuttingDown => Verdict::NotRun,
            PeerErrorKind::Disconnected | PeerErrorKind::NoAnswer | PeerErrorKind::Protocol => {
                Verdict::MayHaveRun
            }
        }
    }
}

impl fmt::Display for PeerError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({}): {}", self.kind, self.verdict(), self.detail)
    }
}

impl std::error::Error for PeerError {}
