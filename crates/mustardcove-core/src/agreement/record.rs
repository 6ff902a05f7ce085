//! The agreement as operators write it and as the store keeps it.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{
    agreement::{Agreement, Member, SchemaVersion, v1::MemberV1, v2::MemberV2},
    id::{MemberId, Revision, WriteToken},
    time::Timestamp,
};

/// Key of the record in force.
pub const AGREEMENT_KEY: &str = "config/agreement";

/// Prefix of the keys of earlier records.
pub const HISTORY_PREFIX: &str = "config/history/";

/// Returns the key under which an earlier record is kept.
pub fn history_key(revision: Revision) -> String {
    format!("{HISTORY_PREFIX}{:016}", revision.0)
}

/// A member's record under one of the schemas.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "schema", rename_all = "snake_case")]
pub enum MemberRecord {
    /// Under the old schema.
    V1(MemberV1),
    /// Under the new schema.
    V2(MemberV2),
}

impl MemberRecord {
    /// Returns the member's name.
    pub fn id(&self) -> &MemberId {
        match self {
            MemberRecord::V1(member) => &member.name,
            MemberRecord::V2(member) => &member.id,
        }
    }

    /// Returns the schema of the record.
    pub fn schema(&self) -> SchemaVersion {
        match self {
            MemberRecord::V1(_) => SchemaVersion::V1,
            MemberRecord::V2(_) => SchemaVersion::V2,
        }
    }
}

/// Who changed the agreement, when and how.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct ChangeNote {
    /// The operator who made the change.
    pub author: String,
    /// What was changed, in one line.
    pub summary: String,
    /// When it was changed.
    pub changed_at: Timestamp,
    /// Identifies the write when its answer was lost.
    pub token: WriteToken,
}

/// The agreement as operators write it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct AgreementRecord {
    /// The revision; the first record has revision 1.
    pub revision: Revision,
    /// The members' records by name.
    pub members: BTreeMap<MemberId, MemberRecord>,
    /// The change that made this revision.
    pub change: ChangeNote,
}

impl AgreementRecord {
    /// Returns the form that the rest of the system reads.
    ///
    /// A class or service that several members define under the same name is
    /// shared; [`validate`](Self::validate) refuses definitions that differ.
    pub fn to_agreement(&self) -> Agreement {
        let mut agreement = Agreement { revision: self.revision, ..Agreement::default() };
        for (id, record) in &self.members {
            let member = record.to_v2();
            let in_force = Member {
                id: id.clone(),
                schema: record.schema(),
                cap: member.cap,
                max_requests: member.max_requests,
                classes: member.classes.iter().map(|it| it.id.clone()).collect(),
                token_digests: member.token_digests,
                evict_over_cap: member.evict_over_cap,
            };
            agreement.members.insert(id.clone(), in_force);
            for class in member.classes {
                agreement.classes.insert(class.id.clone(), class);
            }
            for service in member.services {
                agreement.services.insert(service.id.clone(), service);
            }
        }
        agreement
    }

    /// Returns the differences between this record and a later one, one line
    /// each.
    pub fn diff(&self, later: &AgreementRecord) -> Vec<String> {
        let mut lines = Vec::new();
        for (id, record) in &self.members {
            match later.members.get(id) {
                None => lines.push(format!("- member {id}")),
                Some(other) => diff_member(record, other, &mut lines),
            }
        }
        for id in later.members.keys().filter(|it| !self.members.contains_key(*it)) {
            lines.push(format!("+ member {id}"));
        }
        lines
    }
}

fn diff_member(old: &MemberRecord, new: &MemberRecord, lines: &mut Vec<String>) {
    let id = old.id();
    if old.schema() != new.schema() {
        lines.push(format!("~ member {id}: schema {} -> {}", old.schema(), new.schema()));
    }
    let (old, new) = (old.to_v2(), new.to_v2());
    if old.cap != new.cap {
        lines.push(format!("~ member {id}: cap {} -> {}", old.cap, new.cap));
    }
    if old.max_requests != new.max_requests {
        let (from, to) = (old.max_requests, new.max_requests);
        lines.push(format!("~ member {id}: max_requests {from} -> {to}"));
    }
    if old.evict_over_cap != new.evict_over_cap {
        let (from, to) = (old.evict_over_cap, new.evict_over_cap);
        lines.push(format!("~ member {id}: evict_over_cap {from} -> {to}"));
    }
    if old.token_digests != new.token_digests {
        lines.push(format!("~ member {id}: tokens changed"));
    }
    diff_items(id, "class", &old.classes, &new.classes, |it| it.id.as_str(), lines);
    diff_items(id, "service", &old.services, &new.services, |it| it.id.as_str(), lines);
}

fn diff_items<T: PartialEq>(
    member: &MemberId,
    kind: &str,
    old: &[T],
    new: &[T],
    name: impl Fn(&T) -> &str,
    lines: &mut Vec<String>,
) {
    for item in old {
        match new.iter().find(|it| name(it) == name(item)) {
            None => lines.push(format!("- member {member}: {kind} {}", name(item))),
            Some(other) if other != item => {
                lines.push(format!("~ member {member}: {kind} {}", name(item)));
            }
            Some(_) => (),
        }
    }
    for item in new {
        if old.iter().all(|it| name(it) != name(item)) {
            lines.push(format!("+ member {member}: {kind} {}", name(item)));
        }
    }
}
