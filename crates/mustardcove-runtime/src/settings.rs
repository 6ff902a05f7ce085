//! Settings of a process, read from an INI file.
//!
//! Every setting is declared once, in a table of its program: section, key,
//! kind with range, default and help text. Parsing, validation and the page
//! `docs/settings.md` all use that table. A key that is not declared is an
//! error, reported with file, line and the most similar declared key: if a
//! misspelt key were ignored, its default would silently stay in force.

pub mod args;
pub mod common;
pub mod declare;
pub mod docs_page;
pub mod error;
mod lines;
mod read;

use std::{collections::BTreeMap, net::IpAddr, net::SocketAddr, path::Path, time::Duration};

pub use self::{
    args::{ConfigArgs, Loaded},
    declare::{Program, Rule, Setting, Value, ValueKind},
    error::{SettingsError, SettingsErrors},
};

/// The validated settings of a process, with defaults applied.
#[derive(Clone, Debug)]
pub struct Settings {
    values: BTreeMap<String, Value>,
}

impl Settings {
    /// Loads the settings of a program from a file.
    ///
    /// # Errors
    ///
    /// Returns every error that was found, each with its location.
    pub fn load(program: &Program, path: &Path) -> Result<Settings, SettingsErrors> {
        let file = path.display().to_string();
        match std::fs::read_to_string(path) {
            Ok(text) => Settings::parse(program, &file, &text),
            Err(error) => {
                Err(SettingsErrors::one(SettingsError::new(&file, None, error.to_string())))
            }
        }
    }

    /// Parses the settings of a program from text. Errors name the text `file`.
    ///
    /// # Errors
    ///
    /// Returns every error that was found, each with its location.
    pub fn parse(program: &Program, file: &str, text: &str) -> Result<Settings, SettingsErrors> {
        read::read(program, file, text).map(|values| Settings { values })
    }

    fn value(&self, name: &str) -> &Value {
        self.values.get(name).unwrap_or_else(|| panic!("setting {name} is not declared"))
    }

    /// Returns a duration.
    ///
    /// # Panics
    ///
    /// This and the following methods panic if `name` (`section.key`) is not
    /// declared with the matching kind, which is a bug in the program.
    pub fn duration(&self, name: &str) -> Duration {
        match self.value(name) {
            Value::Duration(it) => *it,
            other => wrong_kind(name, other),
        }
    }

    /// Returns a number of bytes.
    pub fn bytes(&self, name: &str) -> usize {
        match self.value(name) {
            Value::Bytes(it) => usize::try_from(*it).unwrap_or(usize::MAX),
            other => wrong_kind(name, other),
        }
    }

    /// Returns a number.
    pub fn count(&self, name: &str) -> u64 {
        match self.value(name) {
            Value::Count(it) => *it,
            other => wrong_kind(name, other),
        }
    }

    /// Returns a number as a `usize`, which suits sizes and capacities.
    pub fn count_usize(&self, name: &str) -> usize {
        usize::try_from(self.count(name)).unwrap_or(usize::MAX)
    }

    /// Returns a share, from 0.0 to 1.0.
    pub fn share(&self, name: &str) -> f64 {
        match self.value(name) {
            Value::Share(it) => *it,
            other => wrong_kind(name, other),
        }
    }

    /// Returns an IP address with a port.
    pub fn address(&self, name: &str) -> SocketAddr {
        match self.value(name) {
            Value::Address(it) => *it,
            other => wrong_kind(name, other),
        }
    }

    /// Returns an IP address.
    pub fn ip(&self, name: &str) -> IpAddr {
        match self.value(name) {
            Value::Ip(it) => *it,
            other => wrong_kind(name, other),
        }
    }

    /// Returns the value of a text, name or choice setting.
    pub fn text(&self, name: &str) -> &str {
        match self.value(name) {
            Value::Text(it) => it,
            other => wrong_kind(name, other),
        }
    }

    /// Returns a name, parsed as an identifier.
    pub fn id<T: std::str::FromStr>(&self, name: &str) -> T {
        let text = self.text(name);
        text.parse().unwrap_or_else(|_| panic!("setting {name} is not declared as a name"))
    }

    /// Returns whether a flag is set.
    pub fn flag(&self, name: &str) -> bool {
        match self.value(name) {
            Value::Flag(it) => *it,
            other => wrong_kind(name, other),
        }
    }
}

fn wrong_kind(name: &str, value: &Value) -> ! {
    panic!("setting {name} is declared with another kind: {value:?}")
}
