//! Evacuations of failure domains, by real processes and the stand-in store.

#[path = "support/local.rs"]
#[expect(dead_code, reason = "shared with tests that need more of it")]
mod local;
#[path = "support/proxy.rs"]
#[expect(dead_code, reason = "shared with the fault soak")]
mod proxy;
#[path = "support/rig.rs"]
#[expect(dead_code, reason = "shared with the fault soak")]
mod rig;

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use local::Local;
use mustardcove_adapter::{
    standin::{EVACUATION_SETTINGS, empty_manifest, evacuation_key},
    store::{MANIFEST_KEY, OPERATORS_PREFIX},
};
use mustardcove_core::fleet::id::SubmissionId;
use mustardcove_node::operator_watch;
use proxy::Mode;
use reqwest::StatusCode;
use rig::{Rig, one_step};

/// Time within which an evacuation is in force, with a wide margin for a busy
/// machine: users allow 5 s, and 11 s while the store turns processes away.
const IN_FORCE: Duration = Duration::from_millis(2_500);
/// Longest time until a few short tasks are done.
const LONG: Duration = Duration::from_secs(20);

/// Starts a rig whose nodes follow evacuations. Every second worker is in the north.
async fn start(name: &str, nodes: usize) -> Rig {
    let mut rig = Rig::start(name, 0, 6).await;
    rig.settings = EVACUATION_SETTINGS;
    for _ in 0..nodes {
        rig.add_node().await;
    }
    rig
}

/// Returns how many runs workers in the north have started.
fn northern_starts(rig: &Rig) -> u64 {
    rig.workers.iter().step_by(2).map(|it| it.worker.starts()).sum()
}

/// Runs short tasks at a node and returns how many of them started in the north.
async fn northern_starts_of(rig: &Rig, node: usize, id: u64) -> u64 {
    let before = northern_starts(rig);
    let id = SubmissionId(id);
    assert_eq!(rig.submit(node, id, &one_step(12, 200)).await, Some(StatusCode::OK));
    assert!(rig.wait_for(id, "completed", LONG).await, "not completed");
    northern_starts(rig) - before
}

fn count_lines(rig: &Rig, text: &str) -> usize {
    rig.logs().iter().filter(|it| it.contains(text)).count()
}

/// Guards against starts in an evacuated domain, also while the store turns the
/// leader away, which then learns of the evacuation from the others, and against a
/// domain that stays unused afterwards.
#[tokio::test]
async fn leader_turned_away() {
    let rig = start("evacuated", 3).await;
    rig.wait_ready().await;
    assert_ne!(northern_starts_of(&rig, 0, 0xe1).await, 0, "nothing to evacuate");
    let leader = rig.leaders()[0];
    rig.nodes[leader].store.set(Mode::Refused);
    rig.store.put(&evacuation_key("north"), b"{}");
    tokio::time::sleep(IN_FORCE).await;
    let other = (leader + 1) % 3;
    assert_eq!(northern_starts_of(&rig, other, 0xe2).await, 0);
    rig.nodes[leader].store.set(Mode::Pass);
    rig.store.delete(&evacuation_key("north"));
    tokio::time::sleep(IN_FORCE).await;
    assert_ne!(northern_starts_of(&rig, other, 0xe3).await, 0, "the domain stays unused");
    assert_ne!(count_lines(&rig, "domain evacuated"), 0);
    assert_ne!(count_lines(&rig, "evacuation ended"), 0);
    assert_eq!(rig.monitor.violations(), Vec::<String>::new());
}

/// Guards against starts before a leader has read the evacuations, and against
/// harm from keys that name no domain, or one without workers.
#[tokio::test]
async fn in_force_at_start() {
    let mut rig = Rig::start("evacuated-before", 0, 6).await;
    rig.settings = EVACUATION_SETTINGS;
    for domain in ["north", "nowhere", "", "a b"] {
        rig.store.put(&evacuation_key(domain), b"not read");
    }
    rig.store.put(&format!("{OPERATORS_PREFIX}other"), b"not read");
    for _ in 0..2 {
        rig.add_node().await;
    }
    rig.wait_ready().await;
    assert_eq!(northern_starts_of(&rig, 0, 0xe4).await, 0);
    // All processes are killed, and others take over.
    (0..2).for_each(|it| rig.kill(it));
    (0..2).for_each(|it| rig.restart(it));
    rig.wait_ready().await;
    assert_eq!(northern_starts_of(&rig, 1, 0xe5).await, 0);
    assert_eq!(northern_starts(&rig), 0);
    assert_eq!(count_lines(&rig, "unreadable evacuation key"), 2 * 4, "one line for each key");
    let is_about = |it: &&String| it.contains("domain evacuated") && it.contains("domain=nowhere");
    let unused = rig.logs().iter().filter(is_about).filter(|it| it.contains("workers=0")).count();
    assert_ne!(unused, 0, "the domain without workers");
}

/// Returns how long a node takes to learn of a change of evacuations.
async fn learned_in(local: &Local, is_evacuated: bool) -> Duration {
    let domain = "north".parse().expect("a valid name");
    let began = Instant::now();
    while local.shared.is_evacuated(&domain) != is_evacuated {
        assert!(began.elapsed() < LONG, "the change is not heard");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    began.elapsed()
}

/// Guards against a change that is not heard while the process pauses after a
/// large manifest, or because the store has dropped the history meanwhile.
#[tokio::test]
async fn heard_soon() {
    let local = Local::with_settings(EVACUATION_SETTINGS).await;
    local.store.put(MANIFEST_KEY, &empty_manifest(1, 10));
    tokio::spawn(operator_watch::run(Arc::clone(&local.shared)));
    local.shared.manifest.subscribe().wait_for(Option::is_some).await.expect("a manifest");
    tokio::time::sleep(Duration::from_millis(200)).await;
    local.store.put(MANIFEST_KEY, &empty_manifest(2, 400_000));
    let mut manifests = local.shared.manifest.subscribe();
    let is_second = |it: &Option<Arc<_>>| -> bool {
        it.as_ref()
            .is_some_and(|it: &Arc<mustardcove_core::fleet::manifest::Manifest>| it.version.0 == 2)
    };
    manifests.wait_for(is_second).await.expect("a manifest");
    // The manifest is read again 2.3 s later.
    local.store.put(&evacuation_key("north"), b"{}");
    assert!(learned_in(&local, true).await < Duration::from_millis(1_000));
    local.store.mute_watches(true);
    local.store.delete(&evacuation_key("north"));
    tokio::time::sleep(Duration::from_millis(3_500)).await;
    assert!(local.shared.is_evacuated(&"north".parse().expect("a valid name")));
    local.store.drop_history();
    local.store.mute_watches(false);
    assert!(learned_in(&local, false).await < IN_FORCE);
    // The manifest was read again as well, and is followed from there on.
    local.store.put(MANIFEST_KEY, &empty_manifest(3, 10));
    manifests.wait_for(|it| it.as_ref().is_some_and(|it| it.version.0 == 3)).await.expect("one");
}

/// Guards against calls that an idle process did not make before, with and without
/// evacuations, and against evacuations that take effect although the settings do
/// not ask for them.
#[tokio::test]
async fn idle_calls() {
    for (settings, is_followed) in [("", false), (EVACUATION_SETTINGS, true)] {
        let local = Local::with_settings(settings).await;
        local.store.put(MANIFEST_KEY, &empty_manifest(1, 10));
        tokio::spawn(operator_watch::run(Arc::clone(&local.shared)));
        local.shared.manifest.subscribe().wait_for(Option::is_some).await.expect("a manifest");
        tokio::time::sleep(Duration::from_millis(200)).await;
        let before = local.store.read_calls();
        tokio::time::sleep(Duration::from_millis(3_500)).await;
        let calls = local.store.read_calls() - before;
        assert!(calls <= 4, "{calls} calls in 3.5 s");
        local.store.put(&evacuation_key("north"), b"{}");
        tokio::time::sleep(Duration::from_millis(300)).await;
        let domain = "north".parse().expect("a valid name");
        assert_eq!(local.shared.is_evacuated(&domain), is_followed);
    }
}
