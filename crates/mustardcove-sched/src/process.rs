//! Assembles the process: a supervisor runs the administration routes and the
//! node as its children.

use std::{net::SocketAddr, process::ExitCode, sync::Arc, time::Duration};

use eyre::WrapErr as _;
use mustardcove_core::{
    configuration::{AgreementFollower, AgreementFollowerConfig},
    group::GroupConfig,
    id::ProcessId,
    node::{Node, NodeConfig, NodeDump},
    ownership::{ProcessKind, SessionRecord},
    shard::ShardConfig,
};
use mustardcove_platform::{
    Clock, InstanceList, InstanceSnapshot,
    http::{HttpInstances, HttpLimits, HttpStore, HttpWorkers},
};
use mustardcove_runtime::{
    admin::{self, Readiness},
    counted_store::CountedStore,
    dump::{Dump, DumpSource},
    metrics::Metrics,
    peer::Peers,
    settings::{Settings, common},
    supervisor::{Restart, Supervisor},
};
use rand::RngExt as _;
use slog::{Logger, info, o, warn};
use tokio::{
    net::TcpListener,
    sync::{Mutex, mpsc, oneshot},
};
use tokio_util::sync::CancellationToken;

use crate::{
    driver::{self, DumpRequest, Inputs, Parts},
    policy::LearnedPolicyFactory,
    settings::{dissemination, shape},
    shape,
};

/// Maximum number of entries of each list in a state dump.
const MAX_DUMP_ENTRIES: usize = 1_000;

/// Requests state dumps from the node for the administration routes.
#[derive(Clone)]
struct NodeDumpSource {
    requests: mpsc::Sender<DumpRequest>,
}

impl NodeDumpSource {
    async fn request_dump(&self) -> Option<NodeDump> {
        let (tx, rx) = oneshot::channel();
        self.requests.send((MAX_DUMP_ENTRIES, tx)).await.ok()?;
        rx.await.ok()
    }
}

impl DumpSource for NodeDumpSource {
    async fn dump(&self, limit: usize) -> Dump {
        let mut dump = Dump::new(limit);
        match self.request_dump().await {
            Some(node) => {
                dump.add_value("revision", &node.revision);
                dump.add_value("ownership", &node.ownership);
                dump.add_rows("shards", node.shards);
                dump.add_rows("groups", node.groups);
            }
            None => dump.add_value("error", &"the node is not running"),
        }
        dump
    }
}

/// State that all incarnations of the node use.
struct Shared {
    settings: Settings,
    clock: Clock,
    log: Logger,
    metrics: Metrics,
    readiness: Readiness,
    dumps: Mutex<mpsc::Receiver<DumpRequest>>,
    admin_address: SocketAddr,
}

impl Shared {
    fn store(&self) -> CountedStore<HttpStore> {
        let address = self.settings.address("store.address").to_string();
        let store = HttpStore::new(self.clock, &address, common::store_limits(&self.settings));
        CountedStore::new(store, self.metrics.clone())
    }

    fn limits(&self) -> HttpLimits {
        let local_address = common::local_address(&self.settings);
        HttpLimits { local_address, ..HttpLimits::default() }
    }
}

/// Runs the process until `stop` is cancelled.
///
/// # Errors
///
/// Returns an error if the process cannot start.
pub async fn run(
    settings: Settings,
    log: Logger,
    clock: Clock,
    stop: CancellationToken,
) -> eyre::Result<ExitCode> {
    let metrics = Metrics::new()?;
    let readiness = Readiness::default();
    let admin_listen = settings.address("admin.listen");
    let listener = TcpListener::bind(admin_listen)
        .await
        .wrap_err_with(|| format!("cannot listen at admin.listen = {admin_listen}"))?;
    let (requests, dumps) = mpsc::channel(4);
    let shared = Arc::new(Shared {
        admin_address: listener.local_addr()?,
        clock,
        log: log.clone(),
        metrics: metrics.clone(),
        readiness: readiness.clone(),
        dumps: Mutex::new(dumps),
        settings,
    });
    let store = shared.store();
    tokio::select! {
        result = shape::write_or_verify(&store, shape(&shared.settings)) => result?,
        () = stop.cancelled() => return Ok(ExitCode::SUCCESS),
    }
    let policy = common::restart_policy(&shared.settings);
    let mut supervisor = Supervisor::new(policy, log, metrics.clone());
    let limit = shared.settings.bytes("admin.dump_limit");
    let routes = admin::router(readiness, metrics, NodeDumpSource { requests }, limit);
    let listener = Arc::new(listener);
    supervisor.add_child("admin", Restart::Always, move |stop| {
        let (listener, routes) = (Arc::clone(&listener), routes.clone());
        async move {
            let listener = clone_listener(&listener)?;
            admin::serve(listener, routes, stop).await
        }
    });
    supervisor.set_last_stop_timeout(Duration::from_millis(500));
    supervisor.add_child("node", Restart::Always, move |stop| {
        let shared = Arc::clone(&shared);
        async move { run_node(&shared, stop).await }
    });
    Ok(supervisor.run_process(stop).await)
}

/// Returns a second handle to a listening socket, so that a restarted child
/// listens at the same address.
fn clone_listener(listener: &TcpListener) -> eyre::Result<TcpListener> {
    use std::os::fd::AsFd as _;
    let fd = listener.as_fd().try_clone_to_owned()?;
    Ok(TcpListener::from_std(std::net::TcpListener::from(fd))?)
}

/// Runs one incarnation of the node.
///
/// Each incarnation has a new process id, so that it never mistakes the claims
/// of an earlier one for its own.
async fn run_node(shared: &Arc<Shared>, stop: CancellationToken) -> eyre::Result<()> {
    let seed: u64 = rand::rng().random();
    let name = shared.settings.text("process.name");
    let process: ProcessId = format!("{name}-{seed:016x}").parse()?;
    let log = shared.log.new(o!("id" => process.to_string()));
    let config = common::peer_config(&shared.settings, process.clone(), seed);
    let (peers, peer_events) =
        Peers::start(config, shared.clock, shared.metrics.clone(), log.clone())
            .await
            .wrap_err("cannot listen at peer.listen")?;
    let record = SessionRecord {
        process,
        kind: ProcessKind::Scheduler,
        peer_address: peers.address().to_string(),
        admin_address: shared.admin_address.to_string(),
        region: common::region(&shared.settings),
        domain: common::failure_domain(&shared.settings),
        draining: false,
    };
    info!(log, "scheduler starts"; "peer_address" => %peers.address(),
        "admin_address" => %shared.admin_address, "domain" => %record.domain);
    let shape = shape(&shared.settings);
    let node = Node::new(
        NodeConfig {
            record: record.clone(),
            shards: shape.shards,
            groups_per_domain: shape.slices,
            shard: ShardConfig::default(),
            group: GroupConfig { shards: shape.shards, ..GroupConfig::default() },
            seed,
        },
        LearnedPolicyFactory,
    );
    let dissemination = dissemination(&shared.settings);
    let follower = AgreementFollower::new(AgreementFollowerConfig { record, dissemination });
    let (lists_tx, instances) = mpsc::channel(1);
    let (dumps_tx, dumps) = mpsc::channel(4);
    let parts = Parts {
        node,
        follower,
        clock: shared.clock,
        store: Arc::new(shared.store()),
        workers: Arc::new(HttpWorkers::new(shared.clock, shared.limits())),
        peers,
        readiness: shared.readiness.clone(),
        metrics: shared.metrics.clone(),
        log: log.clone(),
    };
    let inputs = Inputs { peers: peer_events, instances, dumps };
    tokio::select! {
        () = driver::run(parts, inputs, stop) => Ok(()),
        () = follow_instance_list(shared, lists_tx, &log) => Ok(()),
        () = forward_dump_requests(shared, dumps_tx) => Ok(()),
    }
}

/// Fetches the instance list at regular intervals and sends each new version to
/// `lists`.
async fn follow_instance_list(
    shared: &Shared,
    lists: mpsc::Sender<InstanceSnapshot>,
    log: &Logger,
) {
    let address = shared.settings.address("instances.address").to_string();
    let list = HttpInstances::new(shared.clock, &address, shared.limits());
    let mut interval = tokio::time::interval(shared.settings.duration("instances.interval"));
    let mut version = None;
    let mut failed = false;
    loop {
        interval.tick().await;
        match list.fetch().await {
            Ok(snapshot) => {
                failed = false;
                if version != Some(snapshot.version) {
                    version = Some(snapshot.version);
                    if lists.send(snapshot).await.is_err() {
                        return std::future::pending().await;
                    }
                }
            }
            Err(error) => {
                // Only the first of several consecutive failures is logged.
                if !failed {
                    warn!(log, "instance list not fetched"; "error" => %error);
                }
                failed = true;
            }
        }
    }
}

/// Forwards requests for state dumps to the current incarnation of the node. The
/// administration routes that send them outlive it.
async fn forward_dump_requests(shared: &Shared, dumps: mpsc::Sender<DumpRequest>) {
    let mut requests = shared.dumps.lock().await;
    while let Some(request) = requests.recv().await {
        if dumps.send(request).await.is_err() {
            break;
        }
    }
    std::future::pending::<()>().await;
}
