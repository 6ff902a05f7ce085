//! Validation of the agreement.
//!
//! A record that passes can be put in force as it is: everything that it
//! refers to exists, and no class asks for more than its member's cap.

use std::{collections::BTreeMap, fmt};

use serde::{Deserialize, Serialize};

use crate::{
    agreement::{Service, record::AgreementRecord, v2::MemberV2},
    class::{Class, ClassKind, Delivery},
    id::{ClassId, MemberId, ServiceId},
};

/// Most members of one agreement.
pub const MAX_MEMBERS: usize = 256;

/// Most classes of one member.
pub const MAX_CLASSES: usize = 64;

/// Length of a hex-encoded SHA-256 digest, in characters.
const DIGEST_CHARS: usize = 64;

/// A problem in a record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// Where the problem is, as a path into the record.
    pub path: String,
    /// What the problem is.
    pub text: String,
}

impl Problem {
    /// Returns a problem at a path.
    pub fn new(path: impl Into<String>, text: impl Into<String>) -> Problem {
        Problem { path: path.into(), text: text.into() }
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.text)
    }
}

impl AgreementRecord {
    /// Checks the record.
    ///
    /// # Errors
    ///
    /// Returns every problem that was found, so that one round of corrections
    /// is enough.
    pub fn validate(&self) -> Result<(), Vec<Problem>> {
        let mut problems = Vec::new();
        if MAX_MEMBERS < self.members.len() {
            problems.push(Problem::new("members", format!("more than {MAX_MEMBERS} members")));
        }
        let mut classes = BTreeMap::new();
        let mut services = BTreeMap::new();
        for (id, record) in &self.members {
            let path = format!("members.{id}");
            if record.id() != id {
                let text = format!("the record names member {}", record.id());
                problems.push(Problem::new(&path, text));
            }
            let member = record.to_v2();
            check_shared_definitions(
                &path,
                id,
                &member,
                &mut classes,
                &mut services,
                &mut problems,
            );
            check_member(&path, &member, &mut problems);
        }
        for (id, (owner, class)) in &classes {
            let path = format!("members.{owner}.classes.{id}");
            check_class_service(&path, class, &services, &mut problems);
        }
        if problems.is_empty() { Ok(()) } else { Err(problems) }
    }
}

/// Definitions by name, each with the first member that has it.
type SharedDefinitions<K, T> = BTreeMap<K, (MemberId, T)>;

fn check_shared_definitions(
    path: &str,
    id: &MemberId,
    member: &MemberV2,
    classes: &mut SharedDefinitions<ClassId, Class>,
    services: &mut SharedDefinitions<ServiceId, Service>,
    problems: &mut Vec<Problem>,
) {
    for class in &member.classes {
        let (owner, known) =
            classes.entry(class.id.clone()).or_insert_with(|| (id.clone(), class.clone()));
        if known != class {
            let text = format!("member {owner} defines this class differently");
            problems.push(Problem::new(format!("{path}.classes.{}", class.id), text));
        }
    }
    for service in &member.services {
        let (owner, known) =
            services.entry(service.id.clone()).or_insert_with(|| (id.clone(), service.clone()));
        if known != service {
            let text = format!("member {owner} defines this service differently");
            problems.push(Problem::new(format!("{path}.services.{}", service.id), text));
        }
    }
}

fn check_member(path: &str, member: &MemberV2, problems: &mut Vec<Problem>) {
    if MAX_CLASSES < member.classes.len() {
        problems.push(Problem::new(path, format!("more than {MAX_CLASSES} classes")));
    }
    for (index, digest) in member.token_digests.iter().enumerate() {
        let is_hex = digest.bytes().all(|b| b.is_ascii_hexdigit());
        if digest.len() != DIGEST_CHARS || !is_hex {
            let text = "not a hex-encoded SHA-256 digest";
            problems.push(Problem::new(format!("{path}.token_digests.{index}"), text));
        }
    }
    for class in &member.classes {
        let path = format!("{path}.classes.{}", class.id);
        if member.classes.iter().filter(|it| it.id == class.id).count() != 1 {
            problems.push(Problem::new(&path, "defined more than once"));
        }
        check_class(&path, class, member, problems);
    }
}

fn check_class(path: &str, class: &Class, member: &MemberV2, problems: &mut Vec<Problem>) {
    if !class.weight.is_finite() || class.weight <= 0.0 {
        problems.push(Problem::new(path, "weight must be a positive number"));
    }
    let is_task = class.kind != ClassKind::Service;
    if is_task && class.resources.cpu.0 == 0 {
        problems.push(Problem::new(path, "tasks need some processor time"));
    }
    if is_task && !class.resources.fits_in(member.cap) {
        let text = format!("needs {}, more than the cap {}", class.resources, member.cap);
        problems.push(Problem::new(path, text));
    }
    if class.kind == ClassKind::Watcher && class.delivery == Delivery::AtMostOnce {
        // A watcher does not end by itself, so it has to run again after a
        // failure.
        problems.push(Problem::new(path, "a watcher cannot have delivery at_most_once"));
    }
    if class.kind == ClassKind::Service && class.evictable {
        problems.push(Problem::new(path, "service requests cannot be evicted"));
    }
}

fn check_class_service(
    path: &str,
    class: &Class,
    services: &SharedDefinitions<ServiceId, Service>,
    problems: &mut Vec<Problem>,
) {
    match (&class.service, class.kind) {
        (None, ClassKind::Service) => {
            problems.push(Problem::new(path, "a service class has to name its service"));
        }
        (Some(service), ClassKind::Service) if !services.contains_key(service) => {
            problems.push(Problem::new(path, format!("service {service} does not exist")));
        }
        (Some(_), ClassKind::Batch | ClassKind::Watcher) => {
            problems.push(Problem::new(path, "only service classes name a service"));
        }
        _ => (),
    }
}
