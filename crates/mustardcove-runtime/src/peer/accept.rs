//! Accepts connections from peers and serves their lanes.

use std::{pin::pin, sync::Arc, time::Duration};

use bytes::Bytes;
use h2::{
    Reason, RecvStream,
    server::{Connection, SendResponse},
};
use http::Request;
use slog::{debug, warn};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::Semaphore,
    task::JoinSet,
    time::timeout,
};

use super::{
    dial::{CLOSE_TIMEOUT, CONNECTION_WINDOW_BYTES, STREAM_WINDOW_BYTES},
    hello::{self, Hello},
    lane::{LaneKind, LinkId},
    link::{LaneStreams, describe, run_lane, watch_pings},
    registry::{LinkGuard, Shared},
    remote::{LinkEnd, OpenedBy},
};

/// Wait after a failed accept before the next one.
const ACCEPT_RETRY_WAIT: Duration = Duration::from_millis(50);

/// Accepts connections until the transport shuts down.
pub(super) async fn run(shared: Arc<Shared>, listener: Arc<TcpListener>) {
    let limit = Arc::new(Semaphore::new(shared.config.max_connections));
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = shared.closing.cancelled() => return,
            () = shared.abort.cancelled() => return,
        };
        let (stream, from) = match accepted {
            Ok(it) => it,
            Err(error) => {
                // Accepting fails at once while no file descriptor is free;
                // without a wait this loop would then use a whole core.
                warn!(shared.log, "accepting a peer connection failed"; "error" => %error);
                tokio::time::sleep(ACCEPT_RETRY_WAIT).await;
                continue;
            }
        };
        let Ok(permit) = limit.clone().try_acquire_owned() else {
            warn!(shared.log, "too many connections from peers"; "address" => %from);
            continue;
        };
        let task = {
            let shared = shared.clone();
            async move {
                serve(shared, stream).await;
                drop(permit);
            }
        };
        shared.spawn(task);
    }
}

async fn serve(shared: Arc<Shared>, stream: TcpStream) {
    // If the option cannot be set, messages only take longer.
    let _ = stream.set_nodelay(true);
    let handshake = h2::server::Builder::new()
        .initial_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
        .max_concurrent_streams(LaneKind::ALL.len() as u32)
        .handshake(stream);
    let Ok(Ok(connection)) = timeout(shared.config.connect_timeout, handshake).await else {
        return;
    };
    let mut inbound =
        Inbound { link: shared.new_link(), attached: None, lanes: JoinSet::new(), open_lanes: 0 };
    let end = drive(&shared, &mut inbound, connection).await;
    if let Some(attached) = inbound.attached {
        attached.end(&end).await;
    }
}

/// State of a connection that a peer opened.
struct Inbound {
    link: LinkId,
    attached: Option<LinkGuard>,
    lanes: JoinSet<eyre::Result<()>>,
    open_lanes: usize,
}

async fn drive(
    shared: &Arc<Shared>,
    inbound: &mut Inbound,
    mut connection: Connection<TcpStream, Bytes>,
) -> LinkEnd {
    let pings = connection.ping_pong();
    let pings = async {
        match pings {
            Some(pings) => {
                let config = &shared.config;
                watch_pings(pings, config.ping_interval, config.ping_timeout).await
            }
            None => std::future::pending().await,
        }
    };
    let mut pings = pin!(pings);
    let stop = shared.abort.child_token();
    let mut is_closing = false;
    loop {
        let attached = inbound.attached.as_ref();
        let peer_stop = attached.map_or_else(|| stop.clone(), |it| it.peer().stop.clone());
        tokio::select! {
            opened = connection.accept() => match opened {
                Some(Ok((req, resp))) => open_lane(shared, inbound, req, resp).await,
                Some(Err(error)) => return LinkEnd::Broken(error.to_string()),
                None if inbound.open_lanes == 0 => return LinkEnd::Graceful,
                None => return LinkEnd::Broken("closed".to_owned()),
            },
            Some(ended) = inbound.lanes.join_next() => {
                inbound.open_lanes -= 1;
                match ended {
                    Ok(Ok(())) => {}
                    Ok(Err(error)) => return LinkEnd::Broken(describe(&error)),
                    Err(error) => return LinkEnd::Broken(error.to_string()),
                }
                if inbound.open_lanes == 0 {
                    connection.graceful_shutdown();
                    let closed = async { while connection.accept().await.is_some() {} };
                    let _ = timeout(CLOSE_TIMEOUT, closed).await;
                    return LinkEnd::Graceful;
                }
            }
            error = &mut pings => return LinkEnd::Broken(error),
            () = peer_stop.cancelled() => return LinkEnd::Broken("the peer was removed".to_owned()),
            () = shared.closing.cancelled(), if !is_closing => {
                is_closing = true;
                connection.graceful_shutdown();
            }
        }
    }
}

async fn open_lane(
    shared: &Arc<Shared>,
    inbound: &mut Inbound,
    req: Request<RecvStream>,
    mut resp: SendResponse<Bytes>,
) {
    let own = Hello::from_config(&shared.config);
    let (hello, kind) = match hello::read_request(&own, &req) {
        Ok(it) => it,
        Err(refusal) => {
            debug!(shared.log, "peer lane refused"; "status" => refusal.status().as_u16());
            let _ = resp.send_response(*refusal, true);
            return;
        }
    };
    let attached_process = inbound.attached.as_ref().map(|it| &it.peer().process);
    if attached_process.is_some_and(|it| *it != hello.process) {
        resp.send_reset(Reason::PROTOCOL_ERROR);
        return;
    }
    let peer = shared.peer_or_new(&hello.process, &hello.region);
    let Ok(send) = resp.send_response(hello::response(&own), false) else {
        return;
    };
    if inbound.attached.is_none() {
        let attached = shared.attach(peer.clone(), inbound.link, OpenedBy::Remote).await;
        inbound.attached = Some(attached);
    }
    let streams = LaneStreams { kind, send, recv: req.into_body() };
    let (shared, link) = (shared.clone(), inbound.link);
    inbound.open_lanes += 1;
    inbound.lanes.spawn(async move { run_lane(&shared, &peer, link, streams).await });
}
