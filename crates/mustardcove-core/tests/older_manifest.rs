//! A leader whose manifest is older than the one under which a submission was
//! accepted.

#[path = "support/fleet_world.rs"]
#[expect(dead_code, reason = "shared with tests that need more of it")]
mod fleet_world;
#[path = "support/planner_rig.rs"]
#[expect(dead_code, reason = "shared with tests that need more of it")]
mod planner_rig;

use std::sync::Arc;

use fleet_world::{SERVICE, manifest, queue, step, submission};
use mustardcove_core::fleet::{
    id::ManifestVersion,
    manifest::{Manifest, Queue, Service},
    record,
    submission::Submission,
};
use planner_rig::{Rig, START};

const NEW_SERVICE: &str = "press-two";
const OLD: ManifestVersion = ManifestVersion(1);
const NEW: ManifestVersion = ManifestVersion(4);

fn new_queue() -> Queue {
    Queue { service: NEW_SERVICE.to_owned(), ..queue(3) }
}

/// Returns the manifest that sends the queue to the new service.
fn new_manifest(version: ManifestVersion) -> Arc<Manifest> {
    let service =
        Service { name: NEW_SERVICE.to_owned(), rejects_overload: true, is_standby: false };
    let mut services = manifest(3).services.clone();
    services.push(service);
    Arc::new(Manifest { version, queues: vec![new_queue()], services, limits: Default::default() })
}

/// Returns a leader with the old manifest, and a worker of each service.
fn leader() -> Rig {
    let mut rig = Rig::new(manifest(3), &[("w0", 4_000), ("w1", 4_000)]);
    rig.update_listings(|it| {
        let is_new = it.worker.as_str() == "w1";
        it.service = if is_new { NEW_SERVICE } else { SERVICE }.to_owned();
    });
    rig
}

fn accepted(id: u64, queue: Queue, manifest: ManifestVersion) -> Arc<Submission> {
    let plain = submission(id, vec![step(1, 500, &[])], START);
    Arc::new(Submission { queue, manifest, ..(*plain).clone() })
}

fn started_on(rig: &mut Rig) -> Vec<String> {
    rig.advance(100);
    rig.poll_all();
    rig.plan().into_iter().map(|it| it.0.to_string()).collect()
}

/// Guards against work that the old service runs although it was accepted under
/// the manifest that names the new one.
#[test]
fn accepted_later() {
    let mut rig = leader();
    rig.submit(accepted(1, new_queue(), NEW));
    assert_eq!(started_on(&mut rig), ["w1"]);
}

/// The same with a manifest that the leader reads meanwhile and that is still
/// older.
#[test]
fn between_both() {
    let mut rig = leader();
    rig.submit(accepted(1, new_queue(), NEW));
    let between = Manifest { version: ManifestVersion(3), ..(*manifest(3)).clone() };
    rig.planner.set_manifest(Arc::new(between));
    assert_eq!(started_on(&mut rig), ["w1"]);
}

/// Guards against work that stays with the old service once the leader knows the
/// newer manifest.
#[test]
fn accepted_earlier() {
    let mut rig = leader();
    rig.planner.set_manifest(new_manifest(NEW));
    rig.submit(accepted(1, queue(3), OLD));
    assert_eq!(started_on(&mut rig), ["w1"]);
    rig.submit(accepted(2, queue(3), ManifestVersion::default()));
    assert_eq!(started_on(&mut rig), ["w1"], "its record tells no version");
}

/// Guards against work that runs elsewhere while its service is not known here.
#[test]
fn service_unknown() {
    let mut rig = Rig::new(manifest(3), &[("w0", 4_000)]);
    rig.submit(accepted(1, new_queue(), NEW));
    assert!(started_on(&mut rig).is_empty());
}

/// Guards against accepted work that is lost because an earlier build has stored
/// it without the version.
#[test]
fn earlier_record() {
    let stored = accepted(1, new_queue(), ManifestVersion::default());
    let bytes = record::encode(stored.as_ref());
    let without_version = &bytes[..bytes.len() - 1];
    assert_eq!(record::decode_submission(without_version).unwrap(), *stored);
    let later = accepted(1, new_queue(), NEW);
    assert_eq!(record::decode_submission(&record::encode(later.as_ref())).unwrap(), *later);
    assert!(record::decode_submission(&bytes[..bytes.len() - 2]).is_err());
}
