//! Operators that change the agreement, and the activation of revisions.

use mustardcove_core::{
    agreement::{
        record::{AgreementRecord, ChangeNote, MemberRecord},
        validate::Problem,
    },
    configuration::{AgreementChange, AgreementChangeStep},
    id::{MemberId, Revision, WriteToken},
    ownership::record::decode_record,
    size::Resources,
    store::StoreResult,
};

use super::{ProcessIndex, World, queue::Event};
use crate::defect::Defect;
use crate::trace::{ConfigurationEvent, OperatorsEvent};

/// Interval at which pending revisions are checked, in microseconds.
const REVISION_CHECK_INTERVAL_US: u64 = 100_000;

type Edit = Box<dyn FnMut(&AgreementRecord) -> Result<AgreementRecord, Vec<Problem>>>;

/// An operator with a change in progress.
pub(crate) struct Operator {
    change: AgreementChange<Edit>,
    done: bool,
}

/// A revision that is durable but not yet in force everywhere.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PendingRevision {
    pub(crate) revision: Revision,
    pub(crate) written_us: u64,
    reported: bool,
}

impl World {
    pub(super) fn change_agreement(&mut self, it: &ConfigurationEvent) {
        let edit = edit_member(it.member.clone(), it.cap, it.max_requests);
        self.add_operator(edit, None);
    }

    pub(super) fn race_operators(&mut self, it: &OperatorsEvent) {
        let based_on = self.checks.newest_revision;
        for number in 0..it.count {
            let current_limit = self.trace.header.members.iter().find(|m| m.id == it.member);
            let current_limit = current_limit.map_or(1, |it| it.max_requests);
            let edit = edit_member(it.member.clone(), None, Some(current_limit + number + 1));
            self.add_operator(edit, Some(based_on));
        }
        self.checks.operator_races.push((based_on, it.count));
    }

    fn add_operator(&mut self, edit: Edit, based_on: Option<Revision>) {
        let number = self.operators.len() as u64 + 1;
        let note = ChangeNote {
            author: format!("operator-{number}"),
            token: WriteToken(number),
            ..ChangeNote::default()
        };
        let change = AgreementChange::new(edit, based_on, note);
        let op = change.start();
        let operator = self.operators.len();
        self.operators.push(Operator { change, done: false });
        self.operator_call(operator, op);
    }

    pub(super) fn operator_reply(&mut self, operator: usize, result: StoreResult) {
        let it = &mut self.operators[operator];
        if it.done {
            return;
        }
        match it.change.handle(&result) {
            AgreementChangeStep::Call(op) => self.operator_call(operator, op),
            AgreementChangeStep::Done(record) => {
                it.done = true;
                self.metrics.changes += 1;
                let trace_ms = self.trace_ms();
                self.checks.change_acknowledged(trace_ms, record.revision);
            }
            AgreementChangeStep::Failed(_) => {
                it.done = true;
                self.metrics.changes_refused += 1;
            }
        }
    }

    /// Records a revision that became durable.
    pub(super) fn revision_written(&mut self, now_us: u64, value: &[u8]) {
        let Some(record) = decode_record::<AgreementRecord>(value) else { return };
        let trace_ms = self.trace_ms();
        self.checks.revision_written(trace_ms, record.revision);
        let pending =
            PendingRevision { revision: record.revision, written_us: now_us, reported: false };
        self.checks.pending_revisions.push(pending);
        self.queue.push(now_us + REVISION_CHECK_INTERVAL_US, Event::CheckRevisions);
    }

    /// Records that a revision came into force at a process.
    pub(super) fn agreement_activated(&mut self, index: ProcessIndex, revision: Revision) {
        let trace_ms = self.trace_ms();
        let it = &mut self.processes[index];
        if revision <= it.revision {
            let detail = format!("{} went from {} to {revision}", it.plan.name, it.revision);
            self.checks.violation("P9", trace_ms, detail);
        }
        it.revision = revision;
        if self.defect == Some(Defect::RevertedRevision) {
            // The next revision, which is one higher, then no longer counts as
            // newer.
            it.revision = Revision(revision.0 + 1);
        }
        let written = self.checks.pending_revisions.iter().find(|it| it.revision == revision);
        if let Some(written) = written {
            let since_us = written.written_us.max(self.processes[index].reachable_since_us);
            let took_ms = self.now_us.saturating_sub(since_us) / 1_000;
            self.metrics.configuration_ms = self.metrics.configuration_ms.max(took_ms);
        }
    }

    /// Checks P9: whether revisions are in force everywhere within the bound.
    pub(super) fn check_revisions(&mut self) {
        let now_us = self.now_us;
        let trace_ms = self.trace_ms();
        let bound_ms = self.trace.header.configuration_bound_ms;
        let mut pending = std::mem::take(&mut self.checks.pending_revisions);
        pending.retain_mut(|it| {
            let mut everywhere = true;
            for index in 0..self.processes.len() {
                let process = &self.processes[index];
                let is_counted = process.alive
                    && !process.paused
                    && process.stopping_since_us.is_none()
                    && !self.store.outage
                    && !self.is_process_disconnected_from_store(index);
                if !process.alive || process.stopping_since_us.is_some() {
                    continue;
                }
                if it.revision <= process.revision {
                    continue;
                }
                everywhere = false;
                let since_us = it.written_us.max(process.reachable_since_us);
                let took_ms = now_us.saturating_sub(since_us) / 1_000;
                if !is_counted {
                    continue;
                }
                self.metrics.configuration_ms = self.metrics.configuration_ms.max(took_ms);
                if bound_ms < took_ms && !it.reported {
                    it.reported = true;
                    let name = &process.plan.name;
                    let detail = format!("revision {} is not in force at {name}", it.revision);
                    self.checks.violation("P9", trace_ms, detail);
                }
            }
            !everywhere
        });
        if !pending.is_empty() {
            self.queue.push(now_us + REVISION_CHECK_INTERVAL_US, Event::CheckRevisions);
        }
        self.checks.pending_revisions = pending;
    }
}

fn edit_member(member: MemberId, cap: Option<Resources>, max_requests: Option<u32>) -> Edit {
    Box::new(move |record| {
        let mut record = record.clone();
        if let Some(MemberRecord::V2(it)) = record.members.get_mut(&member) {
            it.cap = cap.unwrap_or(it.cap);
            it.max_requests = max_requests.unwrap_or(it.max_requests);
        }
        Ok(record)
    })
}
