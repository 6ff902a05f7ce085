//! A test deployment: real node processes that run against the platform's
//! stand-in.

use std::{
    collections::HashMap,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU8, Ordering},
    },
    time::{Duration, Instant},
};

use mustardcove_adapter::{
    standin::{
        self, ADMIN_PORT, CALLERS_PORT, PEERS_PORT, run_monitor::RunMonitor, store::StandinStore,
        worker::StandinWorker,
    },
    store::{MANIFEST_KEY, WORKERS_PREFIX},
};
use mustardcove_core::fleet::{
    id::SubmissionId,
    record::{self, LEADER_KEY, LeaderRecord, PROCESS_PREFIX, ProcessRecord},
};
use mustardcove_platform::standin::server::Server;
use reqwest::{Client, Method, StatusCode};
use serde_json::{Value, json};
use tokio::task::JoinHandle;

use crate::proxy::{Mode, Proxy, Regions};

pub(crate) const HOST: &str = "callers.example";
pub(crate) const PREFIX: &str = "/bind/";
/// Prefix of the queue for best-effort work, where there is one.
pub(crate) const BEST_EFFORT_PREFIX: &str = "/fill/";
const SERVICE: &str = "press";
const LOCALHOST: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);
/// Time between two writes of the workers' entries.
const ENTRY_INTERVAL: Duration = Duration::from_millis(400);
/// Time between two checks for tasks that have finished or expired.
const ADVANCE_INTERVAL: Duration = Duration::from_millis(10);

/// The failure domains of a deployment of two regions, each with its region.
const TWO_REGIONS: [(&str, &str); 2] = [("north", "inland"), ("south", "coast")];
/// Time until a process that was started has asked the store for the leader.
const GREETING_TIME: Duration = Duration::from_millis(600);

/// Number of rigs started in this process, which gives each its own addresses.
static RIG_COUNT: AtomicU8 = AtomicU8::new(0);

/// A node process, and the proxy between it and the store.
pub(crate) struct Node {
    pub(crate) child: Child,
    settings: PathBuf,
    ip: Ipv4Addr,
    pub(crate) store: Proxy,
    /// The proxy at which peers of other regions find it, if there are any.
    peers: Option<Proxy>,
    region: usize,
    log: PathBuf,
}

/// How regions are cut off from each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Cut {
    /// Nothing arrives in either direction.
    Silent,
    /// Connections are closed, and refused.
    Refused,
    /// What this region sends does not reach the other.
    From(usize),
}

impl Cut {
    /// Returns the mode of proxies for callers of a region.
    fn mode(self, caller_region: usize) -> Mode {
        match self {
            Cut::Silent => Mode::Silent,
            Cut::Refused => Mode::Refused,
            Cut::From(region) if region == caller_region => Mode::RequestsLost,
            Cut::From(_) => Mode::AnswersLost,
        }
    }
}

/// A worker, behind a proxy.
pub(crate) struct Worker {
    pub(crate) worker: StandinWorker,
    pub(crate) proxy: Arc<Proxy>,
    region: usize,
    /// Whether its writes do not reach the store.
    is_unheard: Arc<AtomicBool>,
    _server: Server,
}

impl Worker {
    async fn start(worker: StandinWorker) -> Worker {
        let server = worker.serve(LOCALHOST).await.expect("a free port");
        let proxy = Arc::new(Proxy::start(server.address()).await);
        Worker { worker, proxy, region: 0, is_unheard: Arc::default(), _server: server }
    }

    async fn in_region(worker: StandinWorker, region: usize, regions: &Regions) -> Worker {
        let server = worker.serve(LOCALHOST).await.expect("a free port");
        let proxy = Arc::new(Proxy::in_region(server.address(), region, regions).await);
        Worker { worker, proxy, region, is_unheard: Arc::default(), _server: server }
    }

    /// Restarts the worker under its id. Its connections are reset, or go silent
    /// for good if its machine has lost power.
    pub(crate) fn crash(&self, has_lost_power: bool) {
        if has_lost_power {
            self.proxy.silence();
        } else {
            self.proxy.reset();
        }
        self.worker.crash();
    }

    fn writer(&self, zone: &'static str) -> EntryWriter {
        EntryWriter {
            id: self.worker.id(),
            worker: self.worker.clone(),
            address: self.proxy.address,
            zone,
            is_unheard: self.is_unheard.clone(),
        }
    }
}

/// What writes the entry of a worker.
struct EntryWriter {
    id: String,
    worker: StandinWorker,
    address: SocketAddr,
    zone: &'static str,
    is_unheard: Arc<AtomicBool>,
}

/// A deployment.
pub(crate) struct Rig {
    pub(crate) nodes: Vec<Node>,
    pub(crate) workers: Vec<Worker>,
    pub(crate) store: StandinStore,
    pub(crate) monitor: Arc<RunMonitor>,
    client: Client,
    dir: PathBuf,
    version: u64,
    /// Whether manifests that are written from now on have a queue for best-effort
    /// work.
    pub(crate) has_best_effort_queue: bool,
    number: u8,
    /// Further lines in the settings of nodes that are started from now on.
    pub(crate) settings: &'static str,
    /// The region that reaches the store while regions are cut off.
    store_region: usize,
    regions: Regions,
    store_servers: Vec<Server>,
    _worker_task: JoinHandle<()>,
}

impl Rig {
    pub(crate) async fn start(name: &str, nodes: usize, workers: usize) -> Rig {
        let monitor = Arc::new(RunMonitor::default());
        let mut started = Vec::new();
        for i in 0..workers {
            let worker = StandinWorker::new(&format!("i-{i:04}"), monitor.clone());
            started.push((Worker::start(worker).await, ["north", "south"][i % 2]));
        }
        let mut rig = Rig::without_nodes(name, monitor, started);
        let server = rig.store.serve(LOCALHOST).await.expect("a free port");
        rig.store_servers.push(server);
        for _ in 0..nodes {
            rig.add_node().await;
        }
        rig
    }

    /// Starts a node with a name and an address of its own, and returns its number.
    pub(crate) async fn add_node(&mut self) -> usize {
        let i = self.nodes.len();
        let store = Proxy::start(self.store_servers[0].address()).await;
        let domain = ["north", "south"][i % 2];
        let text = standin::settings(&format!("node-{i}"), domain, self.ip(i), store.address);
        self.start_node(&text, store, None, 0);
        i
    }

    /// Starts a deployment of two regions, which [`Rig::cut`] can cut off from
    /// each other. A node of region 0 becomes the leader, since the others have
    /// a small share of a processor. `nodes` and `workers` are numbers for each
    /// region; those of region 0 come first.
    pub(crate) async fn start_regions(
        name: &str,
        nodes: [usize; 2],
        workers: [usize; 2],
        store_region: usize,
    ) -> Rig {
        let monitor = Arc::new(RunMonitor::default());
        let regions = Regions::default();
        let mut started = Vec::new();
        for region in region_of_each(workers) {
            let id = format!("i-{:04}", started.len());
            let worker = StandinWorker::new(&id, monitor.clone());
            let worker = Worker::in_region(worker, region, &regions).await;
            started.push((worker, TWO_REGIONS[region].0));
        }
        let mut rig = Rig::without_nodes(name, monitor, started);
        rig.regions = regions;
        rig.store_region = store_region;
        let mut peers = Vec::new();
        // Addresses of peers as the other region sees them.
        let mut far_addresses = [HashMap::new(), HashMap::new()];
        for (i, region) in region_of_each(nodes).enumerate() {
            let address = SocketAddr::from((rig.ip(i), PEERS_PORT));
            let proxy = Proxy::start(address).await;
            far_addresses[1 - region].insert(address.to_string(), proxy.address.to_string());
            peers.push((proxy, region));
        }
        for far in far_addresses {
            let view = rig.store.view(move |key, value| rewrite_address(&far, key, value));
            rig.store_servers.push(view.serve(LOCALHOST).await.expect("a free port"));
        }
        for (i, (peers, region)) in peers.into_iter().enumerate() {
            let store = Proxy::start(rig.store_servers[region].address()).await;
            // Nodes that find a leader tell it their own address, not that of
            // the proxy, so all of them ask for the leader before there is one.
            store.set(Mode::Silent);
            let (domain, cpu_share) = (TWO_REGIONS[region].0, [0.5, 0.1][region]);
            let text = standin::region_settings(
                &format!("node-{i}"),
                domain,
                &TWO_REGIONS,
                cpu_share,
                rig.ip(i),
                store.address,
            );
            rig.start_node(&text, store, Some(peers), region);
        }
        tokio::time::sleep(GREETING_TIME).await;
        rig.nodes.iter().for_each(|it| it.store.set(Mode::Pass));
        rig
    }

    fn without_nodes(
        name: &str,
        monitor: Arc<RunMonitor>,
        workers: Vec<(Worker, &'static str)>,
    ) -> Rig {
        let store = StandinStore::default();
        let writers = workers.iter().map(|(it, zone)| it.writer(zone)).collect();
        let worker_task = tokio::spawn(advance_workers(store.clone(), writers));
        let dir = std::env::temp_dir().join(format!("mustardcove-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&dir).expect("a directory");
        let mut rig = Rig {
            nodes: Vec::new(),
            workers: workers.into_iter().map(|it| it.0).collect(),
            store,
            monitor,
            client: Client::builder().pool_max_idle_per_host(0).build().expect("a client"),
            dir,
            version: 0,
            has_best_effort_queue: false,
            settings: "",
            number: RIG_COUNT.fetch_add(1, Ordering::Relaxed),
            store_region: 0,
            regions: Regions::default(),
            store_servers: Vec::new(),
            _worker_task: worker_task,
        };
        rig.change_manifest(3_000);
        rig
    }

    fn ip(&self, node: usize) -> Ipv4Addr {
        Ipv4Addr::new(127, 20 + (std::process::id() % 200) as u8, self.number, node as u8 + 1)
    }

    /// Starts the next node with the text of its settings.
    fn start_node(&mut self, text: &str, store: Proxy, peers: Option<Proxy>, region: usize) {
        let i = self.nodes.len();
        let settings = self.dir.join(format!("node-{i}.conf"));
        let log = self.dir.join(format!("node-{i}.log"));
        std::fs::write(&settings, text.to_owned() + self.settings).expect("a settings file");
        let child = spawn(&settings, &log);
        self.regions.add(child.id(), region);
        self.nodes.push(Node { child, settings, ip: self.ip(i), store, peers, region, log });
    }

    /// Cuts the two regions off from each other, and the one without the store
    /// from that.
    pub(crate) fn cut(&self, how: Cut) {
        let far_mode = |server_region: usize| how.mode(1 - server_region);
        self.set_far(far_mode, |it| how == Cut::From(it) || !matches!(how, Cut::From(_)));
    }

    /// Ends a cut.
    pub(crate) fn heal(&self) {
        self.set_far(|_| Mode::Pass, |_| false);
    }

    /// Sets the mode for callers of the other region, by the region of the
    /// server, and whether nothing that a region sends arrives.
    fn set_far(&self, mode: impl Fn(usize) -> Mode, is_unheard: impl Fn(usize) -> bool) {
        let store_region = self.store_region;
        for node in &self.nodes {
            if node.region != store_region {
                node.store.set(mode(store_region));
            }
            if let Some(peers) = &node.peers {
                peers.set(mode(node.region));
            }
        }
        for it in &self.workers {
            it.proxy.set_far(mode(it.region));
            let is_unheard = it.region != store_region && is_unheard(it.region);
            it.is_unheard.store(is_unheard, Ordering::Relaxed);
        }
    }

    /// Removes the entries of workers whose writes do not reach the store, as
    /// the platform does after a while.
    pub(crate) fn expire_entries(&self) {
        for it in self.workers.iter().filter(|it| it.is_unheard.load(Ordering::Relaxed)) {
            self.store.delete(&format!("{WORKERS_PREFIX}{}", it.worker.id()));
        }
    }

    /// Returns the nodes whose logs say that they became the leader.
    pub(crate) fn leaders(&self) -> Vec<usize> {
        let has_led = |it: &Node| {
            let log = std::fs::read_to_string(&it.log).unwrap_or_default();
            log.contains("claims=") || log.contains("\"claims\"")
        };
        (0..self.nodes.len()).filter(|it| has_led(&self.nodes[*it])).collect()
    }

    /// Writes the next version of the manifest.
    pub(crate) fn change_manifest(&mut self, timeout_ms: u64) {
        self.version += 3;
        let mut manifest = standin::manifest(self.version, HOST, PREFIX, SERVICE, timeout_ms);
        if self.has_best_effort_queue {
            manifest = standin::with_best_effort_queue(&manifest, BEST_EFFORT_PREFIX);
        }
        self.store.put(MANIFEST_KEY, &manifest);
    }

    /// Returns the address of a port of a node.
    pub(crate) fn address(&self, node: usize, port: u16) -> SocketAddr {
        (self.nodes[node].ip, port).into()
    }

    fn signal(&self, node: usize, signal: &str) {
        let pid = self.nodes[node].child.id().to_string();
        // Fails if the process has ended, which does not matter.
        let _ = Command::new("kill").args([signal, &pid]).status();
    }

    pub(crate) fn pause(&self, node: usize) {
        self.signal(node, "-STOP");
    }

    pub(crate) fn resume(&self, node: usize) {
        self.signal(node, "-CONT");
    }

    pub(crate) fn hang_up(&self, node: usize) {
        self.signal(node, "-HUP");
    }

    pub(crate) fn terminate(&self, node: usize) {
        self.signal(node, "-TERM");
    }

    pub(crate) fn kill(&mut self, node: usize) {
        let child = &mut self.nodes[node].child;
        child.kill().ok();
        child.wait().ok();
    }

    /// Starts a node again if it has ended.
    pub(crate) fn restart(&mut self, node: usize) {
        let node = &mut self.nodes[node];
        if node.child.try_wait().ok().flatten().is_some() {
            node.child = spawn(&node.settings, &node.log);
            self.regions.add(node.child.id(), node.region);
        }
    }

    pub(crate) fn is_running(&mut self, node: usize) -> bool {
        self.nodes[node].child.try_wait().ok().flatten().is_none()
    }

    /// Sends a request to a node; `None` if no answer arrived.
    pub(crate) async fn call(
        &self,
        node: usize,
        method: Method,
        path: &str,
        body: Option<Value>,
    ) -> Option<(StatusCode, Value)> {
        let uri = format!("http://{}:{CALLERS_PORT}{path}", self.nodes[node].ip);
        self.request(method, uri, body).await
    }

    /// Reads an administration route of a node as text.
    pub(crate) async fn admin(&self, node: usize, path: &str) -> Option<(StatusCode, String)> {
        let uri = format!("http://{}:{ADMIN_PORT}{path}", self.nodes[node].ip);
        let resp = self.client.get(uri).timeout(Duration::from_secs(3)).send().await.ok()?;
        Some((resp.status(), resp.text().await.ok()?))
    }

    async fn request(
        &self,
        method: Method,
        uri: String,
        body: Option<Value>,
    ) -> Option<(StatusCode, Value)> {
        let req = self.client.request(method, uri).header("host", HOST);
        let req = req.timeout(Duration::from_secs(3));
        let req = match body {
            Some(body) => req.json(&body),
            None => req,
        };
        let resp = req.send().await.ok()?;
        let status = resp.status();
        let body = resp.bytes().await.ok()?;
        Some((status, serde_json::from_slice(&body).unwrap_or(Value::Null)))
    }

    pub(crate) async fn submit(
        &self,
        node: usize,
        id: SubmissionId,
        body: &Value,
    ) -> Option<StatusCode> {
        let path = format!("{PREFIX}{id}");
        Some(self.call(node, Method::POST, &path, Some(body.clone())).await?.0)
    }

    /// Submits and returns the status with the value of Retry-After.
    pub(crate) async fn submit_once(
        &self,
        node: usize,
        id: SubmissionId,
        body: &Value,
    ) -> Option<(StatusCode, Option<u64>)> {
        self.submit_to(node, PREFIX, id, body).await
    }

    /// Does the same at the queue with a prefix. The request does not depend on the
    /// rig, so that many can be under way while that changes.
    pub(crate) fn submit_to(
        &self,
        node: usize,
        prefix: &str,
        id: SubmissionId,
        body: &Value,
    ) -> impl Future<Output = Option<(StatusCode, Option<u64>)>> + use<> {
        let uri = format!("http://{}:{CALLERS_PORT}{prefix}{id}", self.nodes[node].ip);
        let req = self.client.post(uri).header("host", HOST).json(body);
        async move {
            let resp = req.timeout(Duration::from_secs(3)).send().await.ok()?;
            let retry_after = resp.headers().get("retry-after");
            let seconds = retry_after.and_then(|it| it.to_str().ok()?.parse().ok());
            Some((resp.status(), seconds))
        }
    }

    pub(crate) async fn state(&self, node: usize, id: SubmissionId) -> Option<String> {
        let (status, body) = self.call(node, Method::GET, &format!("{PREFIX}{id}"), None).await?;
        if status == StatusCode::GONE {
            return Some("unknown".to_owned());
        }
        body["State"].as_str().map(str::to_owned)
    }

    pub(crate) async fn cancel(&self, node: usize, id: SubmissionId) -> Option<StatusCode> {
        Some(self.call(node, Method::DELETE, &format!("{PREFIX}{id}"), None).await?.0)
    }

    /// Waits until a submission is in a state at any node.
    pub(crate) async fn wait_for(&self, id: SubmissionId, state: &str, limit: Duration) -> bool {
        self.wait_for_any(id, &[state], limit).await.is_some()
    }

    /// Waits until a submission is in one of some states at any node, and
    /// returns it; `None` if it is in none of them in time.
    pub(crate) async fn wait_for_any(
        &self,
        id: SubmissionId,
        states: &[&str],
        limit: Duration,
    ) -> Option<String> {
        let until = Instant::now() + limit;
        let mut node = 0;
        while Instant::now() < until {
            node = (node + 1) % self.nodes.len();
            if let Some(state) = self.state(node, id).await
                && states.contains(&state.as_str())
            {
                return Some(state);
            }
            tokio::time::sleep(Duration::from_millis(60)).await;
        }
        None
    }

    /// Waits until a node answers a query of the queue, which shows that it
    /// has a manifest and receives a leader's heartbeats.
    pub(crate) async fn wait_ready(&self) {
        let until = Instant::now() + Duration::from_secs(10);
        while Instant::now() < until {
            for node in 0..self.nodes.len() {
                let answer = self.call(node, Method::GET, PREFIX, None).await;
                if answer.is_some_and(|it| it.0 == StatusCode::OK) {
                    return;
                }
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        panic!("no node became ready; logs in {}", self.dir.display());
    }

    /// Returns the lines of all logs.
    pub(crate) fn logs(&self) -> Vec<String> {
        let read = |it: &Node| std::fs::read_to_string(&it.log).unwrap_or_default();
        let lines = |text: String| text.lines().map(str::to_owned).collect::<Vec<_>>();
        self.nodes.iter().flat_map(|it| lines(read(it))).collect()
    }

    /// Keeps the logs when the rig is dropped, and returns their directory.
    pub(crate) fn keep_logs(&mut self) -> PathBuf {
        std::mem::take(&mut self.dir)
    }
}

impl Drop for Rig {
    fn drop(&mut self) {
        for node in &mut self.nodes {
            node.child.kill().ok();
            node.child.wait().ok();
        }
        if !self.dir.as_os_str().is_empty() {
            std::fs::remove_dir_all(&self.dir).ok();
        }
    }
}

fn spawn(settings: &PathBuf, log: &PathBuf) -> Child {
    let log = std::fs::OpenOptions::new().create(true).append(true).open(log).expect("a log");
    Command::new(env!("CARGO_BIN_EXE_mustardcove-node"))
        .arg("--settings")
        .arg(settings)
        .stdout(Stdio::from(log))
        .stderr(Stdio::null())
        .spawn()
        .expect("the program starts")
}

/// Returns the region of each node or worker, by their numbers in each region.
fn region_of_each(counts: [usize; 2]) -> impl Iterator<Item = usize> {
    std::iter::repeat_n(0, counts[0]).chain(std::iter::repeat_n(1, counts[1]))
}

/// Replaces the address of a process, or a leader, of the other region.
fn rewrite_address(far: &HashMap<String, String>, key: &str, value: &[u8]) -> Option<Vec<u8>> {
    if key == LEADER_KEY {
        let record: LeaderRecord = record::decode(value).ok()?;
        let address = far.get(&record.address)?.clone();
        return Some(record::encode(&LeaderRecord { address, ..record }));
    }
    if key.starts_with(PROCESS_PREFIX) {
        let record: ProcessRecord = record::decode(value).ok()?;
        let address = far.get(&record.address)?.clone();
        return Some(record::encode(&ProcessRecord { address, ..record }));
    }
    None
}

/// Ends finished and expired tasks on the workers, and writes their entries.
async fn advance_workers(store: StandinStore, mut workers: Vec<EntryWriter>) {
    let mut entries_at = Instant::now();
    loop {
        for it in &workers {
            it.worker.advance();
        }
        if entries_at <= Instant::now() {
            entries_at += ENTRY_INTERVAL;
            for it in workers.iter_mut().filter(|it| !it.is_unheard.load(Ordering::Relaxed)) {
                let earlier = std::mem::replace(&mut it.id, it.worker.id());
                if earlier != it.id {
                    store.delete(&format!("{WORKERS_PREFIX}{earlier}"));
                }
                if let Some(entry) = it.worker.entry(SERVICE, it.address, it.zone) {
                    let key = format!("{WORKERS_PREFIX}{}", it.id);
                    store.put(&key, entry.to_string().as_bytes());
                }
            }
        }
        tokio::time::sleep(ADVANCE_INTERVAL).await;
    }
}

/// Returns a submission of one step.
pub(crate) fn one_step(count: u64, ms: u64) -> Value {
    json!({ "TaskSpec": format!("ms={ms} cpu=500 "), "Steps": [
        { "Count": count, "Cpu": 500, "MemMb": 64, "EstimatedMs": ms }] })
}

/// Returns a submission of two steps, the second after the first.
pub(crate) fn two_steps(count: u64, ms: u64) -> Value {
    json!({ "TaskSpec": format!("ms={ms} cpu=500,700 "), "Steps": [
        { "Count": count, "Cpu": 500, "MemMb": 64, "EstimatedMs": ms },
        { "Count": 2, "Cpu": 700, "MemMb": 64, "EstimatedMs": ms, "After": [0] }] })
}

/// Returns a best-effort submission of one step, whose tasks take `ms`. Two of them
/// fill a worker and leave an eighth of it.
pub(crate) fn best_effort(count: u64, ms: u64, estimate_ms: u64) -> Value {
    json!({ "TaskSpec": format!("ms={ms} "), "Steps": [
        { "Count": count, "Cpu": 3_500, "MemMb": 64, "EstimatedMs": estimate_ms, "Fills": true,
            "SavesProgress": true }] })
}
