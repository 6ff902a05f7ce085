//! Opens connections to a peer, with a back-off between attempts.

use std::{net::SocketAddr, pin::pin, sync::Arc, time::Duration};

use bytes::Bytes;
use h2::client::{Connection, SendRequest};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use slog::debug;
use tokio::{
    net::{TcpSocket, TcpStream},
    time::timeout,
};
use xxhash_rust::xxh3::xxh3_64;

use super::{
    error::{PeerError, PeerErrorKind},
    hello::{self, Hello},
    lane::LaneKind,
    link::{LaneStreams, describe, run_lane, watch_pings},
    registry::Shared,
    remote::{LinkEnd, OpenedBy, Peer},
};
use crate::backoff::Backoff;

/// Flow-control window of a lane.
pub(super) const STREAM_WINDOW_BYTES: u32 = 1 << 20;

/// Flow-control window of a connection, which both lanes share.
pub(super) const CONNECTION_WINDOW_BYTES: u32 = 4 << 20;

/// Longest time to exchange GOAWAY and close a connection after both lanes have
/// ended.
pub(super) const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);

/// Opens a connection to a peer whenever a message is queued and none is open.
pub(super) async fn run(shared: Arc<Shared>, peer: Arc<Peer>) {
    let seed = shared.config.seed ^ xxh3_64(peer.process.as_str().as_bytes());
    let rng = ChaCha8Rng::seed_from_u64(seed);
    let mut backoff = Backoff::new(shared.config.backoff_min, shared.config.backoff_max, rng);
    loop {
        tokio::select! {
            () = peer.link_needed() => {}
            () = peer.stop.cancelled() => return,
            () = shared.closing.cancelled() => return,
        }
        let Some(address) = peer.address() else {
            return;
        };
        let attempt = timeout(shared.config.connect_timeout, connect(&shared, &peer, address));
        let wait = match attempt.await.unwrap_or_else(|_| Err(unreachable("timed out"))) {
            Ok(connected) => {
                backoff.reset();
                drive(&shared, &peer, connected).await;
                shared.config.backoff_min
            }
            Err(error) => {
                debug!(shared.log, "connecting to a peer failed";
                    "peer" => %peer.process, "address" => %address, "error" => %error);
                let wait = backoff.next_wait();
                peer.refuse_until(shared.clock.now().plus_ms(wait.as_millis() as u64), &error);
                peer.fail_queued(&error);
                wait
            }
        };
        tokio::select! {
            () = tokio::time::sleep(wait) => {}
            () = peer.stop.cancelled() => return,
            () = shared.closing.cancelled() => return,
        }
    }
}

fn unreachable(detail: impl Into<String>) -> PeerError {
    PeerError::new(PeerErrorKind::Unreachable, detail)
}

struct Connected {
    connection: Connection<TcpStream, Bytes>,
    requests: SendRequest<Bytes>,
    lanes: [LaneStreams; 2],
}

async fn connect(
    shared: &Shared,
    peer: &Peer,
    address: SocketAddr,
) -> Result<Connected, PeerError> {
    let stream = open(shared, address).await.map_err(|it| unreachable(it.to_string()))?;
    let handshake = h2::client::Builder::new()
        .initial_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
        .enable_push(false)
        .handshake(stream);
    let (requests, mut connection) = handshake.await.map_err(|it| unreachable(it.to_string()))?;
    let lanes = tokio::select! {
        lanes = open_lanes(shared, peer, &requests) => lanes?,
        end = &mut connection => {
            let detail = end.err().map_or_else(|| "closed".to_owned(), |it| it.to_string());
            return Err(unreachable(detail));
        }
    };
    Ok(Connected { connection, requests, lanes })
}

async fn open(shared: &Shared, address: SocketAddr) -> std::io::Result<TcpStream> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    let own = shared.address.ip();
    if !own.is_unspecified() && own.is_ipv4() == address.is_ipv4() {
        socket.bind(SocketAddr::new(own, 0))?;
    }
    let stream = socket.connect(address).await?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Opens both lanes concurrently, which saves a round trip between regions.
async fn open_lanes(
    shared: &Shared,
    peer: &Peer,
    requests: &SendRequest<Bytes>,
) -> Result<[LaneStreams; 2], PeerError> {
    let [control, bulk] = LaneKind::ALL;
    let (control, bulk) = tokio::try_join!(
        open_lane(shared, peer, requests, control),
        open_lane(shared, peer, requests, bulk)
    )?;
    Ok([control, bulk])
}

async fn open_lane(
    shared: &Shared,
    peer: &Peer,
    requests: &SendRequest<Bytes>,
    kind: LaneKind,
) -> Result<LaneStreams, PeerError> {
    let own = Hello::from_config(&shared.config);
    let failed = |it: h2::Error| unreachable(it.to_string());
    let mut requests = requests.clone().ready().await.map_err(failed)?;
    let (resp, send) =
        requests.send_request(hello::request(&own, &peer.process, kind), false).map_err(failed)?;
    let resp = resp.await.map_err(failed)?;
    hello::check_response(&own, &peer.process, &resp)?;
    Ok(LaneStreams { kind, send, recv: resp.into_body() })
}

/// Runs the lanes of a connection until it ends.
async fn drive(shared: &Arc<Shared>, peer: &Arc<Peer>, connected: Connected) {
    let Connected { mut connection, requests, lanes: [control, bulk] } = connected;
    let link = shared.new_link();
    let pings = connection.ping_pong();
    let attached = shared.attach(peer.clone(), link, OpenedBy::Local).await;
    let end = {
        let lanes = async {
            tokio::try_join!(
                run_lane(shared, peer, link, control),
                run_lane(shared, peer, link, bulk)
            )
        };
        let pings = async {
            match pings {
                Some(pings) => {
                    let config = &shared.config;
                    watch_pings(pings, config.ping_interval, config.ping_timeout).await
                }
                None => std::future::pending().await,
            }
        };
        let mut lanes = pin!(lanes);
        tokio::select! {
            result = &mut lanes => match result {
                Ok(_) => LinkEnd::Graceful,
                Err(error) => LinkEnd::Broken(describe(&error)),
            },
            error = pings => LinkEnd::Broken(error),
            () = peer.stop.cancelled() => LinkEnd::Broken("the peer was removed".to_owned()),
            end = &mut connection => {
                let error = end.err().map_or_else(|| "closed".to_owned(), |it| it.to_string());
                LinkEnd::Broken(error)
            }
        }
    };
    attached.end(&end).await;
    if end == LinkEnd::Graceful {
        // Dropping the last request handle makes h2 send GOAWAY and close.
        drop(requests);
        let _ = timeout(CLOSE_TIMEOUT, connection).await;
    }
}
