//! A test deployment: real node processes that run against the platform's
//! stand-in.

use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        Arc,
        atomic::{AtomicU8, Ordering},
    },
    time::{Duration, Instant},
};

use mustardcove_adapter::{
    standin::{
        self, ADMIN_PORT, CALLERS_PORT, run_monitor::RunMonitor, store::StandinStore,
        worker::StandinWorker,
    },
    store::{MANIFEST_KEY, WORKERS_PREFIX},
};
use mustardcove_core::fleet::id::SubmissionId;
use mustardcove_platform::standin::server::Server;
use reqwest::{Client, Method, StatusCode};
use serde_json::{Value, json};
use tokio::task::JoinHandle;

use crate::proxy::Proxy;

pub(crate) const HOST: &str = "callers.example";
pub(crate) const PREFIX: &str = "/bind/";
const SERVICE: &str = "press";
const LOCALHOST: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);
/// Time between two writes of the workers' entries.
const ENTRY_INTERVAL: Duration = Duration::from_millis(400);
/// Time between two checks for tasks that have finished or expired.
const ADVANCE_INTERVAL: Duration = Duration::from_millis(10);

/// Number of rigs started in this process, which gives each its own addresses.
static RIG_COUNT: AtomicU8 = AtomicU8::new(0);

/// A node process, and the proxy between it and the store.
pub(crate) struct Node {
    pub(crate) child: Child,
    settings: PathBuf,
    ip: Ipv4Addr,
    pub(crate) store: Proxy,
    log: PathBuf,
}

/// A worker, behind a proxy.
pub(crate) struct Worker {
    pub(crate) worker: StandinWorker,
    pub(crate) proxy: Arc<Proxy>,
    _server: Server,
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
    _store_server: Server,
    _worker_task: JoinHandle<()>,
}

impl Rig {
    pub(crate) async fn start(name: &str, nodes: usize, workers: usize) -> Rig {
        let monitor = Arc::new(RunMonitor::default());
        let store = StandinStore::default();
        let store_server = store.serve(LOCALHOST).await.expect("a free port");
        let mut started = Vec::new();
        for i in 0..workers {
            let worker = StandinWorker::new(&format!("i-{i:04}"), monitor.clone());
            let server = worker.serve(LOCALHOST).await.expect("a free port");
            let proxy = Arc::new(Proxy::start(server.address()).await);
            started.push(Worker { worker, proxy, _server: server });
        }
        let worker_task = tokio::spawn(advance_workers(
            store.clone(),
            started.iter().map(|it| (it.worker.clone(), it.proxy.clone())).collect(),
        ));
        let dir = std::env::temp_dir().join(format!("mustardcove-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&dir).expect("a directory");
        let number = RIG_COUNT.fetch_add(1, Ordering::Relaxed);
        let mut rig = Rig {
            nodes: Vec::new(),
            workers: started,
            store,
            monitor,
            client: Client::builder().pool_max_idle_per_host(0).build().expect("a client"),
            dir,
            version: 0,
            _store_server: store_server,
            _worker_task: worker_task,
        };
        rig.change_manifest(3_000);
        for i in 0..nodes {
            let ip = Ipv4Addr::new(127, 20 + (std::process::id() % 200) as u8, number, i as u8 + 1);
            let store = Proxy::start(rig._store_server.address()).await;
            let settings = rig.dir.join(format!("node-{i}.conf"));
            let log = rig.dir.join(format!("node-{i}.log"));
            let domain = ["north", "south"][i % 2];
            let text = standin::settings(&format!("node-{i}"), domain, ip, store.address);
            std::fs::write(&settings, text).expect("a settings file");
            let child = spawn(&settings, &log);
            rig.nodes.push(Node { child, settings, ip, store, log });
        }
        rig
    }

    /// Writes the next version of the manifest.
    pub(crate) fn change_manifest(&mut self, timeout_ms: u64) {
        self.version += 3;
        let manifest = standin::manifest(self.version, HOST, PREFIX, SERVICE, timeout_ms);
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

/// Ends finished and expired tasks on the workers, and writes their entries.
async fn advance_workers(store: StandinStore, workers: Vec<(StandinWorker, Arc<Proxy>)>) {
    let mut entries_at = Instant::now();
    let mut ids: Vec<String> = workers.iter().map(|it| it.0.id()).collect();
    loop {
        for (worker, _) in &workers {
            worker.advance();
        }
        if entries_at <= Instant::now() {
            entries_at += ENTRY_INTERVAL;
            for (i, (worker, proxy)) in workers.iter().enumerate() {
                let zone = ["north", "south"][i % 2];
                let earlier = std::mem::replace(&mut ids[i], worker.id());
                if earlier != ids[i] {
                    store.delete(&format!("{WORKERS_PREFIX}{earlier}"));
                }
                if let Some(entry) = worker.entry(SERVICE, proxy.address, zone) {
                    let key = format!("{WORKERS_PREFIX}{}", ids[i]);
                    store.put(&key, entry.to_string().as_bytes());
                }
            }
        }
        tokio::time::sleep(ADVANCE_INTERVAL).await;
    }
}

/// Returns a submission of two steps, the second after the first.
pub(crate) fn two_steps(count: u64, ms: u64) -> Value {
    json!({ "TaskSpec": format!("ms={ms} cpu=500,700 "), "Steps": [
        { "Count": count, "Cpu": 500, "MemMb": 64, "EstimatedMs": ms },
        { "Count": 2, "Cpu": 700, "MemMb": 64, "EstimatedMs": ms, "After": [0] }] })
}
