//! A loopback proxy that delays, silences, refuses and resets connections, or
//! withholds one direction, and does so differently for far callers.

use std::{
    collections::HashMap,
    fs,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::{Mutex as AsyncMutex, oneshot, watch},
    task::JoinHandle,
};

/// What the proxy does with the bytes that it receives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Mode {
    /// Forwards them.
    Pass,
    /// Forwards them after a delay.
    Delay(Duration),
    /// Withholds both directions and keeps connections open.
    Silent,
    /// Forwards requests and withholds the answers.
    AnswersLost,
    /// Withholds requests and forwards answers.
    RequestsLost,
    /// Closes all connections, and new ones at once.
    Refused,
}

/// A caller whose region is asked for: its port, and where the answer goes.
type Waiting = (u16, oneshot::Sender<Option<usize>>);

/// The processes of all regions, by which a proxy tells where a caller is.
#[derive(Clone, Debug, Default)]
pub(crate) struct Regions {
    processes: Arc<Mutex<Vec<(u32, usize)>>>,
    waiting: Arc<Mutex<Vec<Waiting>>>,
    /// Held during a look-up, which takes milliseconds of processor time. One
    /// look-up serves all callers that wait.
    turn: Arc<AsyncMutex<()>>,
}

impl Regions {
    pub(crate) fn add(&self, pid: u32, region: usize) {
        self.processes.lock().expect("no panic under the lock").push((pid, region));
    }

    /// Returns the region of the process that opened a connection from
    /// `caller`, an address of this machine; `None` if the connection has ended.
    async fn region_of(&self, caller: SocketAddr) -> Option<usize> {
        let (answer, answered) = oneshot::channel();
        self.waiting.lock().expect("no panic under the lock").push((caller.port(), answer));
        {
            let _turn = self.turn.lock().await;
            let waiting = std::mem::take(&mut *self.waiting.lock().expect("no panic under it"));
            if !waiting.is_empty() {
                let processes = self.processes.lock().expect("no panic under the lock").clone();
                let look_up = move || look_up(&processes, waiting);
                tokio::task::spawn_blocking(look_up).await.expect("it does not panic");
            }
        }
        answered.await.ok().flatten()
    }
}

/// Answers which process each caller is, by the sockets that are open.
fn look_up(processes: &[(u32, usize)], waiting: Vec<Waiting>) {
    let mut regions = HashMap::new();
    for (pid, region) in processes {
        let Ok(open) = fs::read_dir(format!("/proc/{pid}/fd")) else { continue };
        let links = open.filter_map(|it| fs::read_link(it.ok()?.path()).ok());
        for link in links {
            let link = link.to_string_lossy();
            let inode = link.strip_prefix("socket:[").and_then(|it| it.strip_suffix(']'));
            if let Some(inode) = inode {
                regions.insert(inode.to_owned(), *region);
            }
        }
    }
    let table = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let region_of_row = |row: &str| {
        let mut fields = row.split_whitespace();
        let port = u16::from_str_radix(fields.nth(1)?.split_once(':')?.1, 16).ok()?;
        Some((port, *regions.get(fields.nth(7)?)?))
    };
    let rows: HashMap<u16, usize> = table.lines().skip(1).filter_map(region_of_row).collect();
    for (port, answer) in waiting {
        // Fails if the proxy has ended, which does not matter.
        let _ = answer.send(rows.get(&port).copied());
    }
}

/// A proxy to one address.
#[derive(Debug)]
pub(crate) struct Proxy {
    pub(crate) address: SocketAddr,
    mode: watch::Sender<Mode>,
    /// The mode for callers of another region.
    far: watch::Sender<Mode>,
    resets: watch::Sender<u64>,
    silences: watch::Sender<u64>,
    task: JoinHandle<()>,
}

impl Proxy {
    pub(crate) async fn start(target: SocketAddr) -> Proxy {
        Proxy::listen(target, None).await
    }

    /// Starts a proxy to a server in a region, which has a mode of its own for
    /// callers of other regions.
    pub(crate) async fn in_region(target: SocketAddr, region: usize, regions: &Regions) -> Proxy {
        Proxy::listen(target, Some((region, regions.clone()))).await
    }

    async fn listen(target: SocketAddr, place: Option<(usize, Regions)>) -> Proxy {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        let (mode, mode_rx) = watch::channel(Mode::Pass);
        let (far, far_rx) = watch::channel(Mode::Pass);
        let (resets, reset_rx) = watch::channel(0);
        let (silences, silence_rx) = watch::channel(0);
        let task = tokio::spawn(async move {
            while let Ok((inbound, caller)) = listener.accept().await {
                let (place, mode_rx, far_rx) = (place.clone(), mode_rx.clone(), far_rx.clone());
                let (reset_rx, silence_rx) = (reset_rx.clone(), silence_rx.clone());
                tokio::spawn(async move {
                    let mode_rx = match place {
                        None => mode_rx,
                        Some((region, regions)) => {
                            let Some(from) = regions.region_of(caller).await else { return };
                            if from == region { mode_rx } else { far_rx }
                        }
                    };
                    relay(inbound, target, mode_rx, reset_rx, silence_rx).await;
                });
            }
        });
        Proxy { address, mode, far, resets, silences, task }
    }

    pub(crate) fn set(&self, mode: Mode) {
        self.mode.send_replace(mode);
    }

    /// Sets the mode for callers of other regions.
    pub(crate) fn set_far(&self, mode: Mode) {
        self.far.send_replace(mode);
    }

    /// Closes all open connections.
    pub(crate) fn reset(&self) {
        self.resets.send_modify(|it| *it += 1);
    }

    /// Withholds everything on the open connections for good, as after a loss of
    /// power of the server's machine. New ones work.
    pub(crate) fn silence(&self) {
        self.silences.send_modify(|it| *it += 1);
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn relay(
    inbound: TcpStream,
    target: SocketAddr,
    mode_rx: watch::Receiver<Mode>,
    mut reset_rx: watch::Receiver<u64>,
    mut silence_rx: watch::Receiver<u64>,
) {
    let mut refused_rx = mode_rx.clone();
    if *refused_rx.borrow_and_update() == Mode::Refused {
        return;
    }
    let Ok(outbound) = TcpStream::connect(target).await else { return };
    let _ = (inbound.set_nodelay(true), outbound.set_nodelay(true));
    reset_rx.mark_unchanged();
    silence_rx.mark_unchanged();
    let (from_caller, to_caller) = inbound.into_split();
    let (from_server, to_server) = outbound.into_split();
    let connected = async {
        tokio::select! {
            () = forward(from_caller, to_server, mode_rx.clone(), false) => {}
            () = forward(from_server, to_caller, mode_rx, true) => {}
            _ = reset_rx.changed() => {}
            _ = refused_rx.wait_for(|it| *it == Mode::Refused) => {}
        }
    };
    tokio::pin!(connected);
    tokio::select! {
        () = &mut connected => {}
        // The connections stay open, and nothing is read from them.
        _ = silence_rx.changed() => std::future::pending().await,
    }
}

async fn forward(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut mode_rx: watch::Receiver<Mode>,
    is_answer: bool,
) {
    let mut buf = vec![0; 16 << 10];
    loop {
        let Ok(n @ 1..) = from.read(&mut buf).await else { return };
        loop {
            let mode = *mode_rx.borrow_and_update();
            match mode {
                Mode::Pass => break,
                Mode::Delay(delay) => {
                    tokio::time::sleep(delay).await;
                    break;
                }
                Mode::AnswersLost if !is_answer => break,
                Mode::RequestsLost if is_answer => break,
                Mode::Refused => return,
                Mode::Silent | Mode::AnswersLost | Mode::RequestsLost => {
                    if mode_rx.changed().await.is_err() {
                        return;
                    }
                }
            }
        }
        if to.write_all(&buf[..n]).await.is_err() {
            return;
        }
    }
}
