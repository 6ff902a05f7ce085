//! Entries of other writers among those of the workers.

#[path = "support/proxy.rs"]
#[expect(dead_code, reason = "shared with the fault soak")]
mod proxy;
#[path = "support/rig.rs"]
#[expect(dead_code, reason = "shared with the fault soak")]
mod rig;

use std::time::Duration;

use mustardcove_adapter::store::WORKERS_PREFIX;
use mustardcove_core::fleet::{id::SubmissionId, poller::MAX_ORPHAN_LEASE_MS, record};
use reqwest::StatusCode;
use rig::{Rig, two_steps};

/// Longest time for short tasks on a fleet that accepts them.
const SHORT: Duration = Duration::from_secs(8);
/// Several readings of the workers' entries, with the writes that follow.
const SEVERAL_READINGS: Duration = Duration::from_millis(2_000);
/// Largest value of the store, in bytes.
const MAX_VALUE_BYTES: usize = 1 << 20;

const GOOD: &str = r#"{"Service":"press","Address":"127.0.0.1:9","Zone":"north","Version":"v1",
    "Slots":8,"State":"ready","ColdLeftMs":0,"Capacity":{"Cpu":16000,"MemMb":32768,"Gpu":0},
    "Labels":["large","r1"],"Seq":4,"Machine":"m-odd","born":1700000000000}"#;

/// Returns the entry with a part of it replaced.
fn with(from: &str, to: &str) -> Vec<u8> {
    assert!(GOOD.contains(from), "{from}");
    GOOD.replacen(from, to, 1).into_bytes()
}

/// Returns an entry whose value is as large as the store accepts.
fn huge() -> Vec<u8> {
    let rest = with("large", "").len();
    with("large", &"x".repeat(MAX_VALUE_BYTES - rest))
}

/// Returns odd entries of each kind; `used` is the address of a worker.
fn odd_entries(used: &str) -> Vec<(String, Vec<u8>)> {
    let nested = format!("{}{}", "[".repeat(200_000), "]".repeat(200_000));
    let values: Vec<(&str, Vec<u8>)> = vec![
        ("nested", with("\"v1\"", &nested)),
        ("nested-capacity", with("16000", &nested)),
        ("large-number", with("16000", "1e400")),
        ("overflow", with("16000", "18446744073709551616")),
        ("negative", with("16000", "-5")),
        ("fractional", with("16000", "0.5")),
        ("most-cpu", with("16000", "18446744073709551615")),
        ("most-memory", with("32768", "18446744073709551615")),
        ("no-capacity", with("16000", "0")),
        ("far-future", with("1700000000000", "18446744073709551615")),
        ("large-seq", with("\"Seq\":4", "\"Seq\":1e999")),
        ("large-port", with("127.0.0.1:9", "127.0.0.1:70000")),
        ("port-zero", with("127.0.0.1:9", "127.0.0.1:0")),
        ("unspecified", with("127.0.0.1:9", "0.0.0.0:8161")),
        ("multicast", with("127.0.0.1:9", "224.0.0.1:80")),
        ("v6", with("127.0.0.1:9", "[fe80::1%7]:80")),
        ("nobody", with("127.0.0.1:9", "127.0.0.1:1")),
        ("taken", with("127.0.0.1:9", used)),
        ("state", with("ready", "resting")),
        ("service", with("press", "unheard-of")),
        ("type", with("\"press\"", "[7]")),
        ("missing", with("\"Zone\":\"north\",", "")),
        ("labels", with("\"large\"", &vec!["\"l\""; 5_000].join(","))),
        ("huge", huge()),
        ("null", b"null".to_vec()),
        ("bytes", vec![0xff, 0xfe, 0x00, 0x7b]),
        ("empty", Vec::new()),
        ("", with("v1", "v2")),
        ("a/b//c", with("v1", "v2")),
        ("a b&c=\u{e9}#?%zz\r\n", with("v1", "v2")),
    ];
    let mut entries: Vec<(String, Vec<u8>)> =
        values.into_iter().map(|(id, value)| (format!("{WORKERS_PREFIX}{id}"), value)).collect();
    entries.push((format!("{WORKERS_PREFIX}{}", "i".repeat(190)), with("v1", "v2")));
    entries
}

/// Returns a metric of the leader.
async fn metric(rig: &Rig, name: &str) -> usize {
    for node in 0..rig.nodes.len() {
        let (_, text) = rig.admin(node, "/metrics").await.expect("an answer");
        let of_name = |it: &&str| it.split(['{', ' ']).next() == Some(name);
        if let Some(line) = text.lines().find(of_name) {
            return line.rsplit(' ').next().and_then(|it| it.parse().ok()).expect("a number");
        }
    }
    panic!("no process has the metric {name}");
}

/// Guards against a leader that ends, or that uses no worker from then on,
/// because one entry among those of the workers is odd: a huge one made the
/// record of the workers larger than the store accepts.
#[tokio::test]
async fn work_goes_on() {
    let mut rig = Rig::start("odd-entries", 2, 4).await;
    rig.wait_ready().await;
    let first = SubmissionId(0xa1);
    assert_eq!(rig.submit(0, first, &two_steps(2, 100)).await, Some(StatusCode::OK));
    assert!(rig.wait_for(first, "completed", SHORT).await);
    let used = rig.workers[0].proxy.address.to_string();
    let odd = odd_entries(&used);
    for (key, value) in &odd {
        rig.store.put(key, value);
    }
    tokio::time::sleep(SEVERAL_READINGS).await;
    // Their next incarnations are usable once they are recorded.
    for it in &rig.workers {
        it.worker.crash();
    }
    tokio::time::sleep(SEVERAL_READINGS).await;
    let second = SubmissionId(0xa2);
    assert_eq!(rig.submit(1, second, &two_steps(4, 100)).await, Some(StatusCode::OK));
    assert!(rig.wait_for(second, "completed", SHORT).await, "new workers are not used");
    assert_eq!(rig.monitor.violations(), Vec::<String>::new());
    let logs = rig.logs();
    let ended = logs.iter().find(|it| it.contains("panic") || it.contains("process failed"));
    assert_eq!(ended, None);
    let is_ignored = |it: &&String| it.contains("entry names no worker to use");
    let ignored: Vec<&String> = logs.iter().filter(is_ignored).collect();
    let bad_port = ignored.iter().filter(|it| it.contains("key=servers/large-port")).count();
    assert_eq!(bad_port, 1, "each is named once: {ignored:?}");
    // Nothing shows that these are no workers but that none answers.
    let polled = ["nested", "large-seq", "no-capacity", "nobody", "taken", "v6"];
    assert_eq!(metric(&rig, "mustardcove_ignored_entries").await, odd.len() - polled.len());
    assert!((0..2).all(|it| rig.is_running(it)), "a process has ended");
}

/// Guards against a record of the workers that cannot be read and makes each
/// later leader wait, since none replaces it.
#[tokio::test]
async fn unreadable_roster() {
    let mut rig = Rig::start("unreadable-roster", 1, 1).await;
    rig.wait_ready().await;
    rig.store.put(&record::roster_key(3), b"no record");
    rig.store.put("roster/x", b"no record");
    for _ in 0..2 {
        rig.kill(0);
        rig.restart(0);
        rig.wait_ready().await;
        tokio::time::sleep(Duration::from_millis(MAX_ORPHAN_LEASE_MS) + SEVERAL_READINGS).await;
    }
    let logs = rig.logs();
    let is_unreadable =
        |it: &&String| it.contains("unreadable record") && it.contains("key=roster/3");
    let unreadable = logs.iter().filter(is_unreadable).count();
    assert_eq!(unreadable, 1, "the first leader that cannot read it replaces it");
}

/// Guards against an entry at whose address nobody answers, for which each new
/// leader waits before it places work that may have run.
#[tokio::test]
async fn takeover_not_delayed() {
    let mut rig = Rig::start("odd-takeover", 1, 2).await;
    rig.wait_ready().await;
    rig.store.put(&format!("{WORKERS_PREFIX}nobody"), &with("127.0.0.1:9", "127.0.0.1:1"));
    tokio::time::sleep(SEVERAL_READINGS).await;
    let id = SubmissionId(0xa3);
    assert_eq!(rig.submit(0, id, &two_steps(1, 1_500)).await, Some(StatusCode::OK));
    tokio::time::sleep(Duration::from_millis(500)).await;
    rig.kill(0);
    rig.restart(0);
    let takeover = Duration::from_millis(MAX_ORPHAN_LEASE_MS - 600);
    assert!(rig.wait_for(id, "completed", takeover).await, "its second step waits");
    assert_eq!(rig.monitor.violations(), Vec::<String>::new());
}
