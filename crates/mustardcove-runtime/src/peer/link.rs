//! Reads and writes the lanes of one connection (link).

use std::{future::poll_fn, sync::Arc, time::Duration};

use bytes::{Buf, Bytes};
use h2::{Ping, PingPong, RecvStream, SendStream};
use mustardcove_core::message::PeerMessage;
use tokio::time::{sleep, timeout};

use super::{
    PeerEvent,
    error::PeerErrorKind,
    frame::Decoder,
    lane::{LaneKind, LinkId, Queued},
    pending::answered_request,
    registry::Shared,
    remote::Peer,
};
use crate::metrics::Direction;

/// Largest chunk for which stream capacity is reserved at once.
const CHUNK_BYTES: usize = 64 << 10;

/// The sending and receiving halves of a lane's stream.
pub(super) struct LaneStreams {
    pub(super) kind: LaneKind,
    pub(super) send: SendStream<Bytes>,
    pub(super) recv: RecvStream,
}

/// Transfers messages in both directions until both sides have finished.
pub(super) async fn run_lane(
    shared: &Shared,
    peer: &Arc<Peer>,
    link: LinkId,
    streams: LaneStreams,
) -> eyre::Result<()> {
    let LaneStreams { kind, send, recv } = streams;
    let write = write_lane(shared, peer, link, kind, send);
    let read = read_lane(shared, peer, link, recv);
    tokio::try_join!(write, read)?;
    Ok(())
}

async fn write_lane(
    shared: &Shared,
    peer: &Peer,
    link: LinkId,
    kind: LaneKind,
    mut send: SendStream<Bytes>,
) -> eyre::Result<()> {
    while let Some(Queued { bytes, request }) = peer.lane(kind).pop(link).await {
        if let Some((request, gate)) = request {
            if !gate.take() {
                continue;
            }
            peer.pending.mark_written(request, link);
        }
        let length = bytes.len();
        write_all(&mut send, bytes).await?;
        shared.count_bytes(peer, Direction::Sent, length);
    }
    send.send_data(Bytes::new(), true)?;
    Ok(())
}

async fn write_all(send: &mut SendStream<Bytes>, mut bytes: Bytes) -> eyre::Result<()> {
    while bytes.has_remaining() {
        send.reserve_capacity(bytes.len().min(CHUNK_BYTES));
        let capacity = poll_fn(|cx| send.poll_capacity(cx)).await;
        let capacity = capacity.ok_or_else(|| eyre::eyre!("the peer reset the stream"))??;
        let chunk = bytes.split_to(bytes.len().min(capacity));
        send.send_data(chunk, false)?;
    }
    Ok(())
}

async fn read_lane(
    shared: &Shared,
    peer: &Arc<Peer>,
    link: LinkId,
    mut recv: RecvStream,
) -> eyre::Result<()> {
    let mut decoder = Decoder::new(shared.config.max_message_bytes);
    let mut is_confirmed = false;
    while let Some(chunk) = recv.data().await {
        let chunk = chunk?;
        if !std::mem::replace(&mut is_confirmed, true) {
            peer.confirm_link(link, &shared.config.process);
        }
        shared.count_bytes(peer, Direction::Received, chunk.len());
        decoder.push(&chunk);
        while let Some(message) = decoder.next_message()? {
            deliver(shared, peer, message).await;
        }
        // Flow-control capacity is released only after delivery, so that a
        // process that falls behind slows its peers down instead of buffering
        // without bound.
        recv.flow_control().release_capacity(chunk.len())?;
    }
    if !decoder.is_at_boundary() {
        eyre::bail!("the stream ended inside a message");
    }
    peer.finish_link(link, &shared.config.process);
    Ok(())
}

async fn deliver(shared: &Shared, peer: &Arc<Peer>, message: PeerMessage) {
    if let Some(request) = answered_request(&message) {
        if !peer.pending.answer(request, Ok(message)) {
            peer.count_late_answer();
        }
        return;
    }
    let message = Box::new(message);
    shared.emit(PeerEvent::Message { from: peer.process.clone(), message }).await;
}

/// Pings the peer until a ping fails, and returns why.
pub(super) async fn watch_pings(
    mut pings: PingPong,
    interval: Duration,
    answer_timeout: Duration,
) -> String {
    loop {
        sleep(interval).await;
        match timeout(answer_timeout, pings.ping(Ping::opaque())).await {
            Ok(Ok(_)) => {}
            Ok(Err(error)) => return error.to_string(),
            Err(_) => return format!("no answer to a ping in {} ms", answer_timeout.as_millis()),
        }
    }
}

/// Returns the text of an error that ended a connection.
pub(super) fn describe(error: &eyre::Report) -> String {
    match error.downcast_ref::<super::error::PeerError>() {
        Some(it) if it.kind() == PeerErrorKind::Protocol => format!("protocol violation: {it}"),
        Some(_) | None => format!("{error:#}"),
    }
}
