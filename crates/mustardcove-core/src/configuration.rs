//! Dissemination and change of the agreement record.
//!
//! A process learns of a new revision from its own watch or from the relay of
//! its failure domain, whichever comes first, and ignores every revision that
//! is not above the one in force. Operators change the record by
//! compare-and-swap; see `docs/design.md`, section 3.12.

pub mod change;
pub mod follow;

pub use self::{
    change::{AgreementChange, AgreementChangeError, AgreementChangeStep},
    follow::{
        AgreementFollower, AgreementFollowerAction, AgreementFollowerConfig,
        AgreementFollowerEvent, Dissemination,
    },
};
