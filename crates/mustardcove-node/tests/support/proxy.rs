//! A loopback proxy that delays, silences and resets connections, or withholds
//! answers.

use std::{net::SocketAddr, time::Duration};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::watch,
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
}

/// A proxy to one address.
#[derive(Debug)]
pub(crate) struct Proxy {
    pub(crate) address: SocketAddr,
    mode: watch::Sender<Mode>,
    resets: watch::Sender<u64>,
    task: JoinHandle<()>,
}

impl Proxy {
    pub(crate) async fn start(target: SocketAddr) -> Proxy {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        let (mode, mode_rx) = watch::channel(Mode::Pass);
        let (resets, reset_rx) = watch::channel(0);
        let task = tokio::spawn(async move {
            while let Ok((inbound, _)) = listener.accept().await {
                tokio::spawn(relay(inbound, target, mode_rx.clone(), reset_rx.clone()));
            }
        });
        Proxy { address, mode, resets, task }
    }

    pub(crate) fn set(&self, mode: Mode) {
        self.mode.send_replace(mode);
    }

    /// Closes all open connections.
    pub(crate) fn reset(&self) {
        self.resets.send_modify(|it| *it += 1);
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
) {
    let Ok(outbound) = TcpStream::connect(target).await else { return };
    let _ = (inbound.set_nodelay(true), outbound.set_nodelay(true));
    reset_rx.mark_unchanged();
    let (from_caller, to_caller) = inbound.into_split();
    let (from_server, to_server) = outbound.into_split();
    tokio::select! {
        () = forward(from_caller, to_server, mode_rx.clone(), false) => {}
        () = forward(from_server, to_caller, mode_rx, true) => {}
        _ = reset_rx.changed() => {}
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
                Mode::Silent | Mode::AnswersLost => {
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
