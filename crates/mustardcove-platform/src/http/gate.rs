//! A request body that is handed out at most once, and not after a deadline.
//!
//! A server applies a call only after it has read the whole body. A call whose
//! body was never handed to a connection therefore did not run, whatever else
//! went wrong, and one whose body was handed out may have run. [`Gate`]
//! decides between the two atomically: either the connection takes the body,
//! or the client closes the gate and the connection gets nothing to send.
//!
//! The same step checks `not_after`, so that a process that was paused while
//! it waited for a connection does not send an expired call when it resumes,
//! and, for a call that only one process may receive, the connection that was
//! chosen for it.

use std::{
    fmt,
    pin::Pin,
    sync::{
        Arc, OnceLock,
        atomic::{AtomicU8, Ordering},
    },
    task::{Context, Poll},
};

use bytes::Bytes;
use http::Extensions;
use hyper::body::{Body, Frame, SizeHint};
use hyper_util::client::legacy::connect::CaptureConnection;
use mustardcove_core::{
    fleet::poller::KnownConnections, id::ConnectionNumber, time::Timestamp, verdict::Verdict,
};

use crate::clock::Clock;

const WAITING: u8 = 0;
const TAKEN: u8 = 1;
const CLOSED: u8 = 2;
/// Closed because the connection was newer than permitted.
const CLOSED_TO_CONNECTION: u8 = 3;

/// The connections over which a call may be sent.
#[derive(Clone, Debug)]
struct PermittedConnections {
    chosen: Arc<OnceLock<CaptureConnection>>,
    known: KnownConnections,
}

impl PermittedConnections {
    fn include_chosen(&self) -> bool {
        let Some(chosen) = self.chosen.get() else { return false };
        let mut extras = Extensions::new();
        if let Some(connected) = chosen.connection_metadata().as_ref() {
            connected.get_extras(&mut extras);
        }
        extras.get::<ConnectionNumber>().is_some_and(|it| *it <= self.known.through())
    }
}

/// Decides whether the body of one call may still be sent.
#[derive(Clone, Debug)]
pub struct Gate {
    state: Arc<AtomicU8>,
    clock: Clock,
    not_after: Timestamp,
    connections: Option<PermittedConnections>,
}

impl Gate {
    /// Returns a gate that lets the body through until `not_after`.
    pub fn new(clock: Clock, not_after: Timestamp) -> Gate {
        Gate { state: Arc::new(AtomicU8::new(WAITING)), clock, not_after, connections: None }
    }

    /// Returns the gate restricted to some connections, or to none in particular. The
    /// call has to be [bound](Gate::bind) to the connection that is chosen for it.
    pub fn restricted_to(self, known: Option<KnownConnections>) -> Gate {
        let permitted = |known| PermittedConnections { chosen: Arc::default(), known };
        Gate { connections: known.map(permitted), ..self }
    }

    /// Tells the gate where to find the connection that is chosen for its call.
    pub fn bind(&self, chosen: CaptureConnection) {
        if let Some(connections) = &self.connections {
            // A gate has one call, so it is bound once.
            let _ = connections.chosen.set(chosen);
        }
    }

    /// Returns whether the call may be sent over some connections only.
    pub fn is_restricted(&self) -> bool {
        self.connections.is_some()
    }

    /// Closes the gate to a call that would need a new connection, which it may not
    /// use.
    pub fn close_to_new_connection(&self) {
        // Fails if the call was given up, which stands.
        let _ = self.change(CLOSED_TO_CONNECTION);
    }

    /// Returns whether the call was not sent because the connection chosen for it
    /// is newer than permitted.
    pub fn is_closed_to_connection(&self) -> bool {
        self.state.load(Ordering::Acquire) == CLOSED_TO_CONNECTION
    }

    fn change(&self, to: u8) -> Result<u8, u8> {
        self.state.compare_exchange(WAITING, to, Ordering::AcqRel, Ordering::Acquire)
    }

    /// Closes the gate unless the body has been taken, and returns whether the
    /// call may have taken effect.
    pub fn close(&self) -> Verdict {
        match self.change(CLOSED) {
            Ok(_) | Err(CLOSED | CLOSED_TO_CONNECTION) => Verdict::NotRun,
            Err(_) => Verdict::MayHaveRun,
        }
    }

    /// Claims the body for sending; returns true at most once, never from
    /// `not_after` on, and never for a connection that is not permitted.
    pub fn take(&self) -> bool {
        if self.not_after <= self.clock.now() {
            self.close();
            return false;
        }
        if self.connections.as_ref().is_some_and(|it| !it.include_chosen()) {
            self.close_to_new_connection();
            return false;
        }
        self.change(TAKEN).is_ok()
    }
}

/// Error that a connection gets instead of a body that must not be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GateClosed;

impl fmt::Display for GateClosed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the call was given up before it was written")
    }
}

impl std::error::Error for GateClosed {}

/// The body of a call, sent only if its [`Gate`] allows it.
#[derive(Debug)]
pub struct GatedBody {
    gate: Gate,
    bytes: Option<Bytes>,
}

impl GatedBody {
    /// Returns a body that `gate` guards.
    ///
    /// # Panics
    ///
    /// Panics if `bytes` is empty: a connection need not ask for an empty
    /// body, so the gate could not tell whether the call was sent.
    pub fn new(gate: Gate, bytes: Bytes) -> GatedBody {
        assert!(!bytes.is_empty(), "a gated body must not be empty");
        GatedBody { gate, bytes: Some(bytes) }
    }

    /// Returns the empty body of a read. It never takes the gate, so a failed
    /// read counts as not run, which is true because reads have no effect.
    pub fn none(gate: Gate) -> GatedBody {
        GatedBody { gate, bytes: None }
    }
}

impl Body for GatedBody {
    type Data = Bytes;
    type Error = GateClosed;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, GateClosed>>> {
        let Some(bytes) = self.bytes.take() else {
            return Poll::Ready(None);
        };
        let frame = if self.gate.take() { Ok(Frame::data(bytes)) } else { Err(GateClosed) };
        Poll::Ready(Some(frame))
    }

    fn is_end_stream(&self) -> bool {
        self.bytes.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.bytes.as_ref().map_or(0, |it| it.len() as u64))
    }
}
