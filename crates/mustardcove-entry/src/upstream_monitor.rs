//! Monitoring of upstreams: fetches the instance list, and probes upstreams that
//! are suspended, have not answered recently or closed a connection.

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
    upstream::{ProbeConnection, ProbeStatus},
};

/// Interval of ticks, in milliseconds; it is shorter than every delay of a
/// membership.
const TICK_INTERVAL_MS: u64 = 50;

/// Time without an answer after which an upstream is probed, in milliseconds.
const ANSWER_AGE_LIMIT_MS: u64 = 1_000;

/// Interval between searches for upstreams without a recent answer, in
/// milliseconds.
///
/// The age limit above, this interval and the timeout of a probe together stay
/// within the 3 s after which a leaving upstream must not get new work.
const ANSWER_CHECK_INTERVAL_MS: u64 = 500;

/// Maximum number of upstreams without a recent answer that are probed per
/// search and service.
///
/// Sixteen probes a second over open connections use about 8 KB/s of the 14 KB/s
/// budget for control traffic. If more upstreams lack a recent answer, each is
/// probed less often.
const MAX_PROBES_PER_CHECK: usize = 8;

/// Fetches the instance list until the process drains.
pub async fn follow_instance_list<C: ShardClient, L: InstanceList>(entry: Arc<Entry<C>>, list: L) {
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
                    spawn_probes(&entry, &pool, pool.handle(event));
                }
                entry.set_list_received();
            }
            // The last list stays in use; only the first failure of an outage is
            // logged.
            Err(error) if !failing => {
                failing = true;
                warn!(entry.log(), "failed to fetch the instance list"; "error" => %error);
            }
            Err(_) => {}
        }
    }
}

/// Probes suspended upstreams and those without a recent answer until the
/// process drains.
pub async fn probe_upstreams<C: ShardClient>(
    entry: Arc<Entry<C>>,
    mut closed_connections: mpsc::Receiver<WorkerId>,
) {
    let mut ticks = tokio::time::interval(Duration::from_millis(TICK_INTERVAL_MS));
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut until_check_ms = ANSWER_CHECK_INTERVAL_MS;
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            Some(worker) = closed_connections.recv() => {
                probe_after_close(&entry, &worker);
                continue;
            }
            () = entry.draining().cancelled() => return,
        }
        for pool in entry.pools() {
            spawn_probes(&entry, &pool, pool.handle(MembershipEvent::Tick));
        }
        until_check_ms = until_check_ms.saturating_sub(TICK_INTERVAL_MS);
        if until_check_ms == 0 {
            until_check_ms = ANSWER_CHECK_INTERVAL_MS;
            for pool in entry.pools() {
                for worker in pool.without_recent_answer(ANSWER_AGE_LIMIT_MS, MAX_PROBES_PER_CHECK)
                {
                    probe_active(&entry, &pool, worker);
                }
            }
        }
    }
}

/// Probes an upstream that closed a connection, because it may be leaving.
fn probe_after_close<C: ShardClient>(entry: &Arc<Entry<C>>, worker: &WorkerId) {
    for pool in entry.pools() {
        if pool.client(worker).is_some() {
            probe_active(entry, &pool, worker.clone());
        }
    }
}

fn spawn_probes<C: ShardClient>(
    entry: &Arc<Entry<C>>,
    pool: &Arc<ServicePool>,
    upstreams: Vec<Upstream>,
) {
    for upstream in upstreams {
        let (entry, pool) = (Arc::clone(entry), Arc::clone(pool));
        tokio::spawn(async move {
            let result = probe(&entry, &pool, &upstream.worker, ProbeConnection::New).await;
            let announced_departure = pool
                .suspension_signal(&upstream.worker)
                .is_some_and(ConnectionSignal::is_departure);
            // An upstream that announced its departure is resumed only if it
            // confirms that it accepts work again.
            let ok = match result {
                Ok(ProbeStatus::AcceptsWork) => true,
                Ok(ProbeStatus::Responds) => !announced_departure,
                Err(_) => false,
            };
            if ok {
                info!(entry.log(), "upstream answered a probe"; "worker" => %upstream.worker);
            }
            pool.handle(MembershipEvent::ProbeEnded { worker: upstream.worker, ok });
        });
    }
}

/// Probes an active upstream, and suspends it if the probe fails.
fn probe_active<C: ShardClient>(entry: &Arc<Entry<C>>, pool: &Arc<ServicePool>, worker: WorkerId) {
    // Recorded as an answer before the probe, so that the upstream is probed
    // again only after it has not answered for another `ANSWER_AGE_LIMIT_MS`.
    pool.record_answer(&worker);
    let (entry, pool) = (Arc::clone(entry), Arc::clone(pool));
    tokio::spawn(async move {
        match probe(&entry, &pool, &worker, ProbeConnection::Pooled).await {
            Ok(_) => pool.record_answer(&worker),
            Err(signal) => {
                info!(entry.log(), "upstream failed a probe and is suspended";
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
    connection: ProbeConnection,
) -> Result<ProbeStatus, ConnectionSignal> {
    let Some(client) = pool.client(worker) else { return Err(ConnectionSignal::Refused) };
    let tag = entry.tags().tag(&http::HeaderMap::new());
    client.probe(&tag.attempt_id(0), Duration::from_millis(PROBE_TIMEOUT_MS), connection).await
}
