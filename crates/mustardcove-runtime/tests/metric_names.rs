//! Names, units and labels of the metrics that operators and the docs use.

use mustardcove_core::{
    id::{ClassId, RegionId},
    store::{StoreOp, StoreRevision},
    verdict::Verdict,
};
use mustardcove_platform::{Store, memory::MemoryStore};
use mustardcove_runtime::{
    clock::Clock,
    counted_store::CountedStore,
    metrics::{Direction, Metrics, OwnedKind, OwnershipChange, StoreCallKind},
};

/// Guards against a metric that is renamed or loses its unit or a label.
#[test]
fn metric_names_unchanged() {
    let metrics = Metrics::new().unwrap();
    let class: ClassId = "check".parse().unwrap();
    let (own, remote): (RegionId, RegionId) =
        ("moldova".parse().unwrap(), "banat".parse().unwrap());
    metrics.service_latency(&class, 3.0);
    metrics.batch_done(&class, 250);
    metrics.eviction(&class);
    metrics.start_latency(&class, 4_400.0);
    metrics.watcher_gap(&class, 900.0);
    metrics.store_call(StoreCallKind::Write, true, 2.0);
    metrics.region_bytes(&own, &remote, Direction::Sent, 120);
    metrics.ownership_change(OwnedKind::Group, OwnershipChange::HandedOver);
    metrics.retry(&class);
    metrics.shed_request(&class);
    metrics.verdict(&class, Verdict::MayHaveRun);
    metrics.child_death("peers");
    metrics.peer_refused("queue_full");
    metrics.peer_links(2);
    let text = metrics.render().unwrap();
    for line in [
        "mustardcove_service_latency_milliseconds_bucket{class=\"check\",le=\"4\"} 1",
        "mustardcove_service_latency_milliseconds_bucket{class=\"check\",le=\"2\"} 0",
        "mustardcove_batch_done_total{class=\"check\"} 1",
        "mustardcove_batch_work_milliseconds_total{class=\"check\"} 250",
        "mustardcove_evictions_total{class=\"check\"} 1",
        "mustardcove_start_latency_milliseconds_bucket{class=\"check\",le=\"4500\"} 1",
        "mustardcove_watcher_gap_milliseconds_count{class=\"check\"} 1",
        "mustardcove_store_calls_total{kind=\"write\",outcome=\"answered\"} 1",
        "mustardcove_store_latency_milliseconds_count{kind=\"write\",outcome=\"answered\"} 1",
        "mustardcove_region_traffic_bytes_total{crosses=\"yes\",direction=\"sent\",region=\"banat\"} 120",
        "mustardcove_ownership_changes_total{change=\"handed_over\",owned=\"group\"} 1",
        "mustardcove_retries_total{class=\"check\"} 1",
        "mustardcove_shed_requests_total{class=\"check\"} 1",
        "mustardcove_verdicts_total{class=\"check\",verdict=\"may_have_run\"} 1",
        "mustardcove_child_deaths_total{child=\"peers\"} 1",
        "mustardcove_peer_refused_total{reason=\"queue_full\"} 1",
        "mustardcove_peer_links 2",
    ] {
        assert!(text.lines().any(|it| it == line), "{line} is missing in\n{text}");
    }
}

/// Guards against store calls that are not counted, or are counted as another
/// kind.
#[tokio::test(start_paused = true)]
async fn store_calls_counted() {
    let metrics = Metrics::new().unwrap();
    let memory = MemoryStore::new(Clock::start(), 1);
    let store = CountedStore::new(memory.clone(), metrics.clone());
    let watch = StoreOp::Watch { prefix: String::new(), after: StoreRevision(0), wait_ms: 5 };
    let get = StoreOp::Get { key: "a".to_owned() };
    for op in [watch, get.clone(), get.clone(), StoreOp::GrantLease { ttl_ms: 10 }] {
        store.call(op).await.unwrap();
    }
    memory.set_faults(|it| it.outage = true);
    store.call(get).await.unwrap_err();
    let text = metrics.render().unwrap();
    for (labels, count) in [
        ("kind=\"watch\",outcome=\"answered\"", 1),
        ("kind=\"read\",outcome=\"answered\"", 2),
        ("kind=\"read\",outcome=\"failed\"", 1),
        ("kind=\"write\",outcome=\"answered\"", 1),
    ] {
        let line = format!("mustardcove_store_calls_total{{{labels}}} {count}");
        assert!(text.lines().any(|it| it == line), "{line} is missing in\n{text}");
    }
}
