//! Keeps the view of upstreams current: instance list, probes, silent
//! upstreams and connections that upstreams closed.

use std::{sync::Arc, time::Duration};

use mustardcove_core::{
    id::WorkerId,
    membership::{ConnectionSignal, MembershipEvent, PROBE_TIMEOUT_MS, Upstream},
};
use mustardcove_platform::InstanceList;
use slog::{info, warn};
use tokio::sync::mpsc;

use crate::{
    entry::Entry,
    pool::ServicePool,
    shards::ShardClient,
    upstream::{Alive, Connect},
};

/// Interval of ticks, in milliseconds; it is below every wait of a membership.
const TICK_MS: u64 = 50;

/// Time without a sign of life after which an upstream is probed, in
/// milliseconds.
const SILENT_MS: u64 = 1_000;

/// Interval at which silent upstreams are looked for, in milliseconds.
///
/// Silence, this interval and the time-out of a probe together stay within the
/// 3 s after which a leaving upstream must get no new work.
const SILENT_INTERVAL_MS: u64 = 500;

/// Silent upstreams that are probed per interval and service.
///
/// Sixteen probes a second over open connections cost about 8 KB/s, of the
/// 14 KB/s that control may use. With more silent upstreams each is probed less
/// often.
const SILENT_PROBES: usize = 8;

/// Fetches the instance list until the process drains.
pub async fn follow_list<C: ShardClient, L: InstanceList>(entry: Arc<Entry<C>>, list: L) {
    let interval = Duration::from_millis(entry.cfg().list_interval_ms);
    let mut ticks = tokio::time::interval(interval);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut failing = false;
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            () = entry.draining().cancelled() => return,
        }
        match list.fetch().await {
            Ok(snapshot) => {
                failing = false;
                for pool in entry.pools() {
                    let workers = Arc::clone(&snapshot.workers);
                    let event =
                        MembershipEvent::InstanceList { version: snapshot.version, workers };
                    probe_all(&entry, &pool, pool.handle(event));
                }
                entry.set_listed();
            }
            // The last list stays in use, so one line per outage is enough.
            Err(error) if !failing => {
                failing = true;
                warn!(entry.log(), "instance list could not be fetched"; "error" => %error);
            }
            Err(_) => {}
        }
    }
}

/// Probes suspended and silent upstreams until the process drains.
pub async fn watch_upstreams<C: ShardClient>(
    entry: Arc<Entry<C>>,
    mut closed: mpsc::Receiver<WorkerId>,
) {
    let mut ticks = tokio::time::interval(Duration::from_millis(TICK_MS));
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut until_silent_ms = SILENT_INTERVAL_MS;
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            Some(worker) = closed.recv() => {
                probe_closed(&entry, &worker);
                continue;
            }
            () = entry.draining().cancelled() => return,
        }
        for pool in entry.pools() {
            probe_all(&entry, &pool, pool.handle(MembershipEvent::Tick));
        }
        until_silent_ms = until_silent_ms.saturating_sub(TICK_MS);
        if until_silent_ms == 0 {
            until_silent_ms = SILENT_INTERVAL_MS;
            for pool in entry.pools() {
                for worker in pool.without_recent_answer(SILENT_MS, SILENT_PROBES) {
                    check(&entry, &pool, worker);
                }
            }
        }
    }
}

/// Probes an upstream that closed a connection: it may have begun to leave.
fn probe_closed<C: ShardClient>(entry: &Arc<Entry<C>>, worker: &WorkerId) {
    for pool in entry.pools() {
        if pool.client(worker).is_some() {
            check(entry, &pool, worker.clone());
        }
    }
}

fn probe_all<C: ShardClient>(
    entry: &Arc<Entry<C>>,
    pool: &Arc<ServicePool>,
    upstreams: Vec<Upstream>,
) {
    for upstream in upstreams {
        let (entry, pool) = (Arc::clone(entry), Arc::clone(pool));
        tokio::spawn(async move {
            let result = probe(&entry, &pool, &upstream.worker, Connect::Anew).await;
            let departs = pool
                .suspension_signal(&upstream.worker)
                .is_some_and(ConnectionSignal::is_departure);
            // An upstream that announced its departure has to say itself that
            // it takes work again.
            let ok = match result {
                Ok(Alive::TakesWork) => true,
                Ok(Alive::Answers) => !departs,
                Err(_) => false,
            };
            if ok {
                info!(entry.log(), "upstream answered a probe"; "worker" => %upstream.worker);
            }
            pool.handle(MembershipEvent::ProbeEnded { worker: upstream.worker, ok });
        });
    }
}

/// Probes an upstream that gets new work, and suspends it if that fails.
fn check<C: ShardClient>(entry: &Arc<Entry<C>>, pool: &Arc<ServicePool>, worker: WorkerId) {
    // Whatever comes of the probe, the next one waits for another silence.
    pool.record_answer(&worker);
    let (entry, pool) = (Arc::clone(entry), Arc::clone(pool));
    tokio::spawn(async move {
        match probe(&entry, &pool, &worker, Connect::Pooled).await {
            Ok(_) => pool.record_answer(&worker),
            Err(signal) => {
                info!(entry.log(), "upstream failed a probe and gets no new work";
                    "worker" => %worker, "sign" => %signal);
                pool.handle(MembershipEvent::Signal { worker, signal });
            }
        }
    });
}

async fn probe<C: ShardClient>(
    entry: &Arc<Entry<C>>,
    pool: &Arc<ServicePool>,
    worker: &WorkerId,
    connect: Connect,
) -> Result<Alive, ConnectionSignal> {
    let Some(client) = pool.client(worker) else { return Err(ConnectionSignal::Refused) };
    let tag = entry.tags().tag(&http::HeaderMap::new());
    client.probe(&tag.attempt_id(0), Duration::from_millis(PROBE_TIMEOUT_MS), connect).await
}
