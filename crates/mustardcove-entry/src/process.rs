//! Assembly of the process: starts its parts and runs them in a supervisor tree.

use std::{net::SocketAddr, process::ExitCode, sync::Arc, time::Duration};

use eyre::WrapErr as _;
use mustardcove_core::{
    agreement::Agreement,
    id::{ProcessId, WorkerId},
    message::PeerMessage,
    ownership::{ProcessKind, SessionRecord},
};
use mustardcove_platform::{
    Clock,
    http::{HttpInstances, HttpLimits, HttpStore},
};
use mustardcove_runtime::{
    admin::{self, Readiness},
    dump::{Dump, DumpSource},
    metrics::Metrics,
    peer::{PeerEvent, Peers},
    settings::{Settings, common},
    supervisor::{Restart, Supervisor},
};
use rand::RngExt as _;
use slog::{Logger, info, o};
use tokio::{
    net::TcpListener,
    sync::{mpsc, watch},
};
use tokio_util::sync::CancellationToken;

use crate::{
    api::{self, admin::process_dump},
    control::{self, ControlChannels},
    entry::Entry,
    link::PeerLink,
    operators::{self, Operators},
    server,
    settings::{dissemination, entry_config, operator_tokens},
    shards::{OwnerClient, Sessions, ShardClient},
    upstream_monitor,
};

/// Interval at which readiness is updated.
const READINESS_INTERVAL: Duration = Duration::from_millis(50);

/// Capacity of the queues of agreements to and from other processes.
const AGREEMENT_QUEUE_CAPACITY: usize = 1_024;

type Client = OwnerClient<PeerLink>;

/// Source of the state dump on the administration routes.
struct EntryDumpSource<C> {
    entry: Arc<Entry<C>>,
    peers: Peers,
    api_address: SocketAddr,
}

impl<C> Clone for EntryDumpSource<C> {
    fn clone(&self) -> EntryDumpSource<C> {
        EntryDumpSource {
            entry: Arc::clone(&self.entry),
            peers: self.peers.clone(),
            api_address: self.api_address,
        }
    }
}

impl<C: ShardClient> DumpSource for EntryDumpSource<C> {
    async fn dump(&self, limit: usize) -> Dump {
        let mut dump = Dump::new(limit);
        dump.add_value("api_address", &self.api_address);
        dump.add_value("entry", &process_dump(&self.entry));
        dump.add_rows("peers", self.peers.status());
        dump
    }
}

/// The parts of the process once its sockets are bound.
struct StartedParts {
    entry: Arc<Entry<Client>>,
    closed_connections: mpsc::Receiver<WorkerId>,
    peers: Peers,
    peer_events: mpsc::Receiver<PeerEvent>,
    record: SessionRecord,
    sessions: (watch::Sender<Arc<[SessionRecord]>>, Sessions),
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
    metrics.install_global();
    let admin_listener = bind(&settings, "admin.listen").await?;
    let api_listener = bind(&settings, "api.listen").await?;
    let admin_address = admin_listener.local_addr()?;
    let started = start(&settings, &log, clock, &metrics, admin_address).await?;
    info!(started.entry.log(), "entry process starts"; "api_address" => %api_listener.local_addr()?,
        "admin_address" => %admin_address, "peer_address" => %started.peers.address());
    let tree = tree(settings, clock, metrics, started, admin_listener, api_listener)?;
    Ok(tree.run_process(stop).await)
}

async fn bind(settings: &Settings, name: &str) -> eyre::Result<TcpListener> {
    let address: SocketAddr = settings.address(name);
    let bound = TcpListener::bind(address).await;
    bound.wrap_err_with(|| format!("cannot listen at {name} = {address}"))
}

async fn start(
    settings: &Settings,
    log: &Logger,
    clock: Clock,
    metrics: &Metrics,
    admin_address: SocketAddr,
) -> eyre::Result<StartedParts> {
    let seed: u64 = rand::rng().random();
    let name = settings.text("process.name");
    let process: ProcessId = format!("{name}-{seed:016x}").parse()?;
    let log = log.new(o!("id" => process.to_string()));
    let config = common::peer_config(settings, process.clone(), seed);
    let (peers, peer_events) = Peers::start(config, clock, metrics.clone(), log.clone())
        .await
        .wrap_err("cannot listen at peer.listen")?;
    let record = SessionRecord {
        process: process.clone(),
        kind: ProcessKind::Entry,
        peer_address: peers.address().to_string(),
        admin_address: admin_address.to_string(),
        region: common::region(settings),
        domain: common::failure_domain(settings),
        draining: false,
    };
    let empty: Arc<[SessionRecord]> = Arc::new([]);
    let (sessions_tx, sessions) = watch::channel(empty);
    let client = OwnerClient::new(PeerLink::new(peers.clone()), sessions.clone(), clock);
    let cfg = entry_config(settings, process, seed);
    let (entry, closed_connections) = Entry::new(cfg, clock, log, client, metrics.clone());
    let sessions = (sessions_tx, sessions);
    Ok(StartedParts { entry, closed_connections, peers, peer_events, record, sessions })
}

/// Returns the supervisor tree.
///
/// Its children stop in reverse order of their start. First the callers' API
/// finishes or refuses the requests in progress, then the session ends, then the
/// connections to the other processes close.
///
/// Children that own a channel are not restarted: if one of them fails, the
/// process ends and the platform replaces it.
fn tree(
    settings: Settings,
    clock: Clock,
    metrics: Metrics,
    started: StartedParts,
    admin_listener: TcpListener,
    api_listener: TcpListener,
) -> std::io::Result<Supervisor> {
    let StartedParts { entry, closed_connections, peers, peer_events, record, sessions } = started;
    let (sessions_tx, sessions) = sessions;
    let api_address = api_listener.local_addr()?;
    let log = entry.log().clone();
    let mut tree = Supervisor::new(common::restart_policy(&settings), log, metrics.clone());
    let store_address = settings.address("store.address").to_string();
    let store = Arc::new(HttpStore::new(clock, &store_address, common::store_limits(&settings)));
    let limits =
        HttpLimits { local_address: common::local_address(&settings), ..HttpLimits::default() };

    let readiness = Readiness::default();
    let source = EntryDumpSource { entry: Arc::clone(&entry), peers: peers.clone(), api_address };
    let limit = settings.bytes("admin.dump_limit");
    let operators = Operators {
        entry: Arc::clone(&entry),
        store: Arc::clone(&store),
        sessions: sessions.clone(),
        revisions: PeerLink::new(peers.clone()),
        tokens: operator_tokens(&settings),
    };
    let routes = admin::router(readiness.clone(), metrics, source, limit)
        .merge(operators::router(operators));
    start_once(&mut tree, "admin", (admin_listener, routes), |(listener, routes), stop| {
        admin::serve(listener, routes, stop)
    });
    tree.set_last_stop_timeout(Duration::from_millis(500));

    let (forwarded_tx, forwarded) = mpsc::channel(AGREEMENT_QUEUE_CAPACITY);
    let (forwards, forwards_rx) = mpsc::channel(AGREEMENT_QUEUE_CAPACITY);
    let bridge = PeerBridge {
        peers,
        events: peer_events,
        forwards: forwards_rx,
        forwarded: forwarded_tx,
        sessions,
        entry: Arc::clone(&entry),
    };
    start_once(&mut tree, "peers", bridge, |bridge, stop| bridge.run(stop));
    tree.set_last_stop_timeout(Duration::from_secs(1));

    let channels = ControlChannels { forwarded, forwards, sessions: sessions_tx };
    let dissemination = dissemination(&settings);
    let parts = (Arc::clone(&entry), store, record, channels);
    start_once(
        &mut tree,
        "control",
        parts,
        move |(entry, store, record, channels), _| async move {
            control::run(entry, store, record, dissemination, channels).await;
            Ok(())
        },
    );

    let list_entry = Arc::clone(&entry);
    let list_address = settings.address("instances.address").to_string();
    tree.add_child("instances", Restart::OnFailure, move |_| {
        let list = HttpInstances::new(clock, &list_address, limits.clone());
        let entry = Arc::clone(&list_entry);
        async move {
            upstream_monitor::follow_instance_list(entry, list).await;
            Ok(())
        }
    });
    let parts = (Arc::clone(&entry), closed_connections);
    start_once(&mut tree, "upstreams", parts, |(entry, closed_connections), _| async move {
        upstream_monitor::probe_upstreams(entry, closed_connections).await;
        Ok(())
    });
    let readiness_entry = Arc::clone(&entry);
    tree.add_child("readiness", Restart::Always, move |stop| {
        update_readiness(Arc::clone(&readiness_entry), readiness.clone(), stop)
    });
    let router = api::router(&entry);
    start_once(
        &mut tree,
        "api",
        (entry, api_listener),
        move |(entry, listener), stop| async move {
            let draining = entry.draining().clone();
            let serve = server::serve(entry, listener, router);
            let drain = async {
                stop.cancelled().await;
                draining.cancel();
                std::future::pending::<()>().await
            };
            tokio::select! {
                () = serve => Ok(()),
                () = drain => unreachable!("the wait after the drain never ends"),
            }
        },
    );
    Ok(tree)
}

/// Adds a child that owns its parts and can therefore be started only once.
fn start_once<P, F, Fut>(tree: &mut Supervisor, name: &str, parts: P, run: F)
where
    P: Send + 'static,
    F: FnOnce(P, CancellationToken) -> Fut + Send + 'static,
    Fut: Future<Output = eyre::Result<()>> + Send + 'static,
{
    let mut owned = Some((parts, run));
    tree.add_child(name, Restart::Never, move |stop| {
        let (parts, run) = owned.take().expect("a child that is not restarted starts once");
        run(parts, stop)
    });
}

async fn update_readiness(
    entry: Arc<Entry<Client>>,
    readiness: Readiness,
    stop: CancellationToken,
) -> eyre::Result<()> {
    let mut ticks = tokio::time::interval(READINESS_INTERVAL);
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            () = stop.cancelled() => {
                readiness.set_not_ready("shutting down");
                return Ok(());
            }
        }
        if entry.is_ready() {
            readiness.set_ready();
        } else {
            readiness.set_not_ready("the agreement, the instance list or the sessions are unread");
        }
    }
}

/// Passes messages between the peer transport and the control task, and keeps
/// the list of peers in step with the sessions.
struct PeerBridge {
    peers: Peers,
    events: mpsc::Receiver<PeerEvent>,
    forwards: mpsc::Receiver<(ProcessId, PeerMessage)>,
    forwarded: mpsc::Sender<Arc<Agreement>>,
    sessions: Sessions,
    entry: Arc<Entry<Client>>,
}

impl PeerBridge {
    async fn run(mut self, stop: CancellationToken) -> eyre::Result<()> {
        let mut previous: Vec<SessionRecord> = Vec::new();
        loop {
            tokio::select! {
                Some(event) = self.events.recv() => self.handle_event(event).await,
                Some((to, message)) = self.forwards.recv() => {
                    // If this message is lost, the receiver reads the record
                    // from the store.
                    let _ = self.peers.send(&to, &message);
                }
                Ok(()) = self.sessions.changed() => self.sessions_changed(&mut previous),
                () = stop.cancelled() => break,
            }
        }
        self.peers.shutdown(Duration::from_millis(500)).await;
        Ok(())
    }

    async fn handle_event(&self, event: PeerEvent) {
        if let PeerEvent::Message { from, message } = event {
            match *message {
                PeerMessage::Configuration(agreement) => {
                    // The control task receives until the process ends.
                    let _ = self.forwarded.send(agreement).await;
                }
                PeerMessage::RevisionRequest { request } => {
                    let active = self.entry.active_agreement();
                    let revision = active.map(|it| it.agreement.revision).unwrap_or_default();
                    let answer = PeerMessage::RevisionResponse { request, revision };
                    let _ = self.peers.send(&from, &answer);
                }
                _ => (),
            }
        }
    }

    fn sessions_changed(&mut self, previous: &mut Vec<SessionRecord>) {
        let live = self.sessions.borrow_and_update().clone();
        let own = &self.entry.cfg().process;
        for record in live.iter().filter(|it| it.process != *own && !previous.contains(it)) {
            if let Ok(address) = record.peer_address.parse() {
                self.peers.add_peer(record.process.clone(), address, record.region.clone());
            }
        }
        for record in previous.iter() {
            if live.iter().all(|it| it.process != record.process) {
                self.peers.remove_peer(&record.process);
            }
        }
        *previous = live.to_vec();
    }
}
