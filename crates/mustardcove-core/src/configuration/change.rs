//! One change of the agreement record by an operator.
//!
//! The record is read, the change is applied to it, and the result is written
//! on condition that the key still has the version that was read. If the
//! answer to the write is lost, the record is read back and its token tells
//! whether the write took effect. The record that is replaced is saved to the
//! history first, so that the history has no gaps whatever fails.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::{
    agreement::{
        record::{AGREEMENT_KEY, AgreementRecord, ChangeNote, history_key},
        validate::Problem,
    },
    id::Revision,
    ownership::record::{decode_record, encode_record},
    store::{Expect, KeyVersion, StoreError, StoreOp, StoreReply, StoreResult},
    verdict::Verdict,
};

/// Most calls with an unknown outcome; one more ends the change.
const MAX_UNKNOWN_OUTCOMES: u32 = 5;

/// Why a change was not made, or may not have been.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AgreementChangeError {
    /// Another operator's change was written first.
    Conflict {
        /// The revision that is in the store now.
        revision: Revision,
        /// The change that made it.
        change: ChangeNote,
    },
    /// The record is not valid.
    Invalid {
        /// What is wrong with it.
        problems: Vec<Problem>,
    },
    /// Too many calls to the store had an unknown outcome.
    Unavailable {
        /// Whether the change may have been made.
        verdict: Verdict,
    },
}

impl fmt::Display for AgreementChangeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            AgreementChangeError::Conflict { revision, change } => write!(
                f,
                "revision {revision} by {:?} came first: {}",
                change.author, change.summary
            ),
            AgreementChangeError::Invalid { problems } => {
                let lines: Vec<String> = problems.iter().map(ToString::to_string).collect();
                f.write_str(&lines.join("; "))
            }
            AgreementChangeError::Unavailable { verdict } => {
                write!(f, "store unavailable ({verdict})")
            }
        }
    }
}

impl std::error::Error for AgreementChangeError {}

/// The next step of a change.
#[derive(Clone, Debug, PartialEq)]
pub enum AgreementChangeStep {
    /// Send this call and pass its result to [`AgreementChange::handle`].
    Call(StoreOp),
    /// The change is durable.
    Done(Box<AgreementRecord>),
    /// The change was not made, or may not have been.
    Failed(AgreementChangeError),
}

#[derive(Clone, Debug, PartialEq)]
enum Phase {
    Read,
    SaveHistory,
    Write,
    ReadBack,
    /// Reads the history to find this change, which a later one may have
    /// replaced.
    CheckHistory,
}

/// A change in progress.
#[derive(Debug)]
pub struct AgreementChange<F> {
    edit: F,
    /// The revision that must be current, if the change depends on one.
    based_on: Option<Revision>,
    note: ChangeNote,
    phase: Phase,
    current: AgreementRecord,
    version: Option<KeyVersion>,
    target: AgreementRecord,
    unknown_outcomes: u32,
}

impl<F> AgreementChange<F>
where
    F: FnMut(&AgreementRecord) -> Result<AgreementRecord, Vec<Problem>>,
{
    /// Returns a change that applies `edit` to the record in the store.
    ///
    /// With `based_on`, the change fails with a conflict unless that revision
    /// is the current one; `note.token` has to be unique.
    pub fn new(edit: F, based_on: Option<Revision>, note: ChangeNote) -> AgreementChange<F> {
        AgreementChange {
            edit,
            based_on,
            note,
            phase: Phase::Read,
            current: AgreementRecord::default(),
            version: None,
            target: AgreementRecord::default(),
            unknown_outcomes: 0,
        }
    }

    /// Returns the first call.
    pub fn start(&self) -> StoreOp {
        StoreOp::Get { key: AGREEMENT_KEY.to_owned() }
    }

    /// Handles the result of the last call.
    pub fn handle(&mut self, result: &StoreResult) -> AgreementChangeStep {
        match (self.phase.clone(), result) {
            (Phase::Read, Ok(StoreReply::Got { entry, .. })) => {
                let found = entry.as_ref().map(|it| (it.value.as_ref(), it.version));
                self.apply_edit(found)
            }
            (Phase::SaveHistory, Ok(_) | Err(StoreError::Conflict { .. })) => self.write(),
            (Phase::Write, Ok(_)) => AgreementChangeStep::Done(Box::new(self.target.clone())),
            (Phase::Write, Err(StoreError::Conflict { current })) => {
                let found = current.as_ref().map(|it| it.value.as_ref());
                self.resolve_conflict(found)
            }
            (Phase::ReadBack, Ok(StoreReply::Got { entry, .. })) => {
                let unchanged = entry.as_ref().map(|it| it.version) == self.version;
                if unchanged {
                    return self.write();
                }
                let found = entry.as_ref().map(|it| it.value.as_ref());
                self.resolve_conflict(found)
            }
            (Phase::CheckHistory, Ok(StoreReply::Got { entry, .. })) => {
                self.resolve_from_history(entry.as_ref().map(|it| it.value.as_ref()))
            }
            (Phase::Write | Phase::ReadBack, Err(StoreError::TooLarge)) => {
                let problem = Problem::new("", "the record exceeds the store's value size");
                AgreementChangeStep::Failed(AgreementChangeError::Invalid {
                    problems: vec![problem],
                })
            }
            (phase, _) => self.retry_unknown(&phase),
        }
    }

    fn apply_edit(&mut self, found: Option<(&[u8], KeyVersion)>) -> AgreementChangeStep {
        self.version = found.map(|(_, version)| version);
        self.current = match found {
            None => AgreementRecord::default(),
            Some((value, _)) => match decode_record(value) {
                Some(record) => record,
                None => {
                    let problem = Problem::new("", "the record in the store cannot be read");
                    return AgreementChangeStep::Failed(AgreementChangeError::Invalid {
                        problems: vec![problem],
                    });
                }
            },
        };
        if self.based_on.is_some_and(|it| it != self.current.revision) {
            return AgreementChangeStep::Failed(self.conflict_with(&self.current));
        }
        let edited = (self.edit)(&self.current).and_then(|it| it.validate().map(|()| it));
        match edited {
            Err(problems) => {
                AgreementChangeStep::Failed(AgreementChangeError::Invalid { problems })
            }
            Ok(mut record) => {
                record.revision = self.current.revision.next();
                record.change = self.note.clone();
                self.target = record;
                self.save_history()
            }
        }
    }

    fn save_history(&mut self) -> AgreementChangeStep {
        if self.version.is_none() {
            return self.write();
        }
        self.phase = Phase::SaveHistory;
        AgreementChangeStep::Call(StoreOp::Put {
            key: history_key(self.current.revision),
            value: encode_record(&self.current),
            expect: Expect::Absent,
            lease: None,
        })
    }

    fn write(&mut self) -> AgreementChangeStep {
        self.phase = Phase::Write;
        AgreementChangeStep::Call(StoreOp::Put {
            key: AGREEMENT_KEY.to_owned(),
            value: encode_record(&self.target),
            expect: self.version.map_or(Expect::Absent, Expect::Version),
            lease: None,
        })
    }

    /// Finds out why the key no longer has the version that was read: either
    /// this change was written after all, or another one was written first.
    fn resolve_conflict(&mut self, found: Option<&[u8]>) -> AgreementChangeStep {
        let found: AgreementRecord = found.and_then(decode_record).unwrap_or_default();
        if found.change.token == self.note.token {
            return AgreementChangeStep::Done(Box::new(found));
        }
        // If the answer to this change's write was lost, a later change may
        // have replaced it, after saving it to the history.
        if self.unknown_outcomes != 0 && self.target.revision < found.revision {
            self.current = found;
            return self.check_history();
        }
        AgreementChangeStep::Failed(self.conflict_with(&found))
    }

    fn check_history(&mut self) -> AgreementChangeStep {
        self.phase = Phase::CheckHistory;
        AgreementChangeStep::Call(StoreOp::Get { key: history_key(self.target.revision) })
    }

    fn resolve_from_history(&self, found: Option<&[u8]>) -> AgreementChangeStep {
        let saved: AgreementRecord = found.and_then(decode_record).unwrap_or_default();
        if saved.change.token == self.note.token {
            return AgreementChangeStep::Done(Box::new(saved));
        }
        AgreementChangeStep::Failed(self.conflict_with(&self.current))
    }

    fn conflict_with(&self, found: &AgreementRecord) -> AgreementChangeError {
        AgreementChangeError::Conflict { revision: found.revision, change: found.change.clone() }
    }

    fn retry_unknown(&mut self, phase: &Phase) -> AgreementChangeStep {
        self.unknown_outcomes += 1;
        let may_have_run = matches!(phase, Phase::Write | Phase::ReadBack | Phase::CheckHistory);
        if MAX_UNKNOWN_OUTCOMES < self.unknown_outcomes {
            let verdict = if may_have_run { Verdict::MayHaveRun } else { Verdict::NotRun };
            return AgreementChangeStep::Failed(AgreementChangeError::Unavailable { verdict });
        }
        match phase {
            Phase::Read => AgreementChangeStep::Call(self.start()),
            Phase::SaveHistory => self.save_history(),
            Phase::Write | Phase::ReadBack => {
                self.phase = Phase::ReadBack;
                AgreementChangeStep::Call(self.start())
            }
            Phase::CheckHistory => self.check_history(),
        }
    }
}
