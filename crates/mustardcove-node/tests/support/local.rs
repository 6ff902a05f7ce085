//! The shared state of a node, without its tasks, against a stand-in store.

use std::{
    net::{IpAddr, Ipv4Addr},
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicU8, Ordering},
    },
};

use mustardcove_adapter::{
    settings::NodeSettings,
    standin::{self, store::StandinStore},
};
use mustardcove_core::id::ProcessId;
use mustardcove_node::{
    metrics::NodeMetrics,
    shared::{Parts, Shared},
};
use mustardcove_platform::{Clock, standin::server::Server};
use mustardcove_runtime::{
    metrics::Metrics,
    peer::{PeerConfig, PeerEvent, Peers},
};
use slog::{Discard, Logger, o};
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

/// Number of nodes created in this process, which gives each its own address.
static NODE_COUNT: AtomicU8 = AtomicU8::new(0);

/// Returns an address that no other node of the tests uses.
pub(crate) fn free_ip() -> Ipv4Addr {
    let number = NODE_COUNT.fetch_add(1, Ordering::Relaxed);
    Ipv4Addr::new(127, 20 + (std::process::id() % 200) as u8, 200, number + 1)
}

/// Starts the transport of a process at the port that nodes use for it.
pub(crate) async fn start_peers(
    process: &ProcessId,
    ip: Ipv4Addr,
) -> (Peers, mpsc::Receiver<PeerEvent>) {
    let config = PeerConfig::new(process.clone(), "home".parse().unwrap(), (ip, 7720).into());
    let log = Logger::root(Discard, o!());
    let metrics = Metrics::new().expect("metrics");
    Peers::start(config, Clock::start(), metrics, log).await.expect("a free port")
}

/// A node's shared state and its store.
pub(crate) struct Local {
    pub(crate) shared: Arc<Shared>,
    pub(crate) events: mpsc::Receiver<PeerEvent>,
    pub(crate) store: StandinStore,
    _store_server: Server,
}

impl Local {
    pub(crate) async fn start() -> Local {
        Local::with_settings("").await
    }

    /// Starts a node with further lines in its settings.
    pub(crate) async fn with_settings(lines: &str) -> Local {
        let store = StandinStore::default();
        let server = store.serve(IpAddr::V4(Ipv4Addr::LOCALHOST)).await.expect("a free port");
        let ip = free_ip();
        let text = standin::settings("node", "north", ip, server.address()) + lines;
        let path = std::env::temp_dir().join(format!("mustardcove-local-{ip}.conf"));
        std::fs::write(&path, text).expect("a settings file");
        let settings = NodeSettings::load(Path::new(&path)).expect("valid settings");
        std::fs::remove_file(&path).ok();
        let process: ProcessId = "node.1".parse().expect("a valid name");
        let (peers, events) = start_peers(&process, ip).await;
        let parts = Parts {
            process,
            settings,
            clock: Clock::start(),
            log: Logger::root(Discard, o!()),
            metrics: NodeMetrics::new(Metrics::new().expect("metrics")),
            peers,
            stop: CancellationToken::new(),
        };
        Local { shared: Arc::new(Shared::new(parts)), events, store, _store_server: server }
    }
}
