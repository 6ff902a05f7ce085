//! Declarations of settings, and parsing of their values.

use std::{
    fmt,
    net::{IpAddr, SocketAddr},
    time::Duration,
};

use mustardcove_core::{id::ProcessId, size::ByteCount};

use super::Settings;

/// The kind of value that a setting holds, with its range.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ValueKind {
    /// A duration with a unit: `250ms`, `3s`, `5m` or `24h`.
    Duration {
        /// The minimum, in milliseconds.
        min_ms: u64,
        /// The maximum, in milliseconds.
        max_ms: u64,
    },
    /// A number of bytes with a unit: `64B`, `64KiB` or `1MiB`.
    Bytes {
        /// The minimum.
        min: u64,
        /// The maximum.
        max: u64,
    },
    /// A number without a unit.
    Count {
        /// The minimum.
        min: u64,
        /// The maximum.
        max: u64,
    },
    /// A percentage from 0% to 100%: `25%` or `2.5%`.
    Share,
    /// An IP address and a port.
    Address,
    /// An IP address.
    Ip,
    /// A name that is a valid identifier.
    Name,
    /// Any text.
    Text,
    /// One of the given words.
    Choice(&'static [&'static str]),
    /// `yes` or `no`.
    Flag,
}

/// The value of a setting.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    /// The value of a [`ValueKind::Duration`].
    Duration(Duration),
    /// The value of a [`ValueKind::Bytes`].
    Bytes(u64),
    /// The value of a [`ValueKind::Count`].
    Count(u64),
    /// The value of a [`ValueKind::Share`], from 0.0 to 1.0.
    Share(f64),
    /// The value of a [`ValueKind::Address`].
    Address(SocketAddr),
    /// The value of a [`ValueKind::Ip`].
    Ip(IpAddr),
    /// The value of a [`ValueKind::Name`], [`ValueKind::Text`] or [`ValueKind::Choice`].
    Text(String),
    /// The value of a [`ValueKind::Flag`].
    Flag(bool),
}

/// The declaration of a setting.
#[derive(Clone, Copy, Debug)]
pub struct Setting {
    /// The section.
    pub section: &'static str,
    /// The key.
    pub key: &'static str,
    /// Which values it accepts.
    pub kind: ValueKind,
    /// Its value if it is not set, or `None` if it is required.
    pub default: Option<&'static str>,
    /// Its description in one sentence, which is printed into
    /// `docs/settings.md`.
    pub help: &'static str,
}

impl Setting {
    /// Returns the full name, `section.key`.
    pub fn name(&self) -> String {
        format!("{}.{}", self.section, self.key)
    }
}

/// A constraint between settings.
#[derive(Clone, Copy, Debug)]
pub struct Rule {
    /// The full name of the setting at whose line a violation is reported.
    pub at: &'static str,
    /// The text of the error, which says what must hold.
    pub text: &'static str,
    /// Returns whether the constraint is satisfied.
    pub holds: fn(&Settings) -> bool,
}

/// The declared settings of a program, in tables that programs may share.
#[derive(Clone, Copy, Debug)]
pub struct Program {
    /// The name of the program.
    pub name: &'static str,
    /// The declarations of settings.
    pub tables: &'static [&'static [Setting]],
    /// The constraints between settings.
    pub rules: &'static [&'static [Rule]],
}

impl Program {
    /// Returns every declaration.
    pub fn settings(&self) -> impl Iterator<Item = &'static Setting> + use<> {
        self.tables.iter().copied().flatten()
    }

    /// Returns every rule.
    pub fn rules(&self) -> impl Iterator<Item = &'static Rule> + use<> {
        self.rules.iter().copied().flatten()
    }
}

const DURATION_UNITS: [(&str, u64); 4] = [("ms", 1), ("s", 1_000), ("m", 60_000), ("h", 3_600_000)];

fn parse_duration_ms(text: &str) -> Option<u64> {
    let (suffix, unit) = DURATION_UNITS.iter().find(|(suffix, _)| text.ends_with(suffix))?;
    let digits = &text[..text.len() - suffix.len()];
    digits.parse::<u64>().ok()?.checked_mul(*unit)
}

fn parse_share(text: &str) -> Option<f64> {
    let share = text.strip_suffix('%')?.parse::<f64>().ok()? / 100.0;
    (0.0..=1.0).contains(&share).then_some(share)
}

impl ValueKind {
    /// Parses a value of this kind.
    ///
    /// # Errors
    ///
    /// Returns a message that says what was expected instead of `text`.
    pub fn parse(self, text: &str) -> Result<Value, String> {
        let value = match self {
            ValueKind::Duration { min_ms, max_ms } => parse_duration_ms(text)
                .filter(|it| (min_ms..=max_ms).contains(it))
                .map(|it| Value::Duration(Duration::from_millis(it))),
            ValueKind::Bytes { min, max } => text
                .parse::<ByteCount>()
                .ok()
                .filter(|it| (min..=max).contains(&it.0))
                .map(|it| Value::Bytes(it.0)),
            ValueKind::Count { min, max } => {
                text.parse().ok().filter(|it| (min..=max).contains(it)).map(Value::Count)
            }
            ValueKind::Share => parse_share(text).map(Value::Share),
            ValueKind::Address => text.parse().ok().map(Value::Address),
            ValueKind::Ip => text.parse().ok().map(Value::Ip),
            ValueKind::Name => text.parse::<ProcessId>().ok().map(|it| Value::Text(it.into())),
            ValueKind::Text => Some(Value::Text(text.to_owned())),
            ValueKind::Choice(words) => words.contains(&text).then(|| Value::Text(text.to_owned())),
            ValueKind::Flag => match text {
                "yes" => Some(Value::Flag(true)),
                "no" => Some(Value::Flag(false)),
                _ => None,
            },
        };
        value.ok_or_else(|| format!("{text:?} is not {self}"))
    }
}

fn display_ms(ms: u64) -> String {
    let unit = DURATION_UNITS.iter().rev().find(|(_, unit)| 0 < ms && ms.is_multiple_of(*unit));
    let (suffix, unit) = unit.unwrap_or(&DURATION_UNITS[0]);
    format!("{}{suffix}", ms / unit)
}

fn display_bytes(bytes: u64) -> String {
    match bytes {
        it if 0 < it && it.is_multiple_of(1 << 20) => format!("{}MiB", it >> 20),
        it if 0 < it && it.is_multiple_of(1 << 10) => format!("{}KiB", it >> 10),
        it => format!("{it}B"),
    }
}

impl fmt::Display for ValueKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ValueKind::Duration { min_ms, max_ms } => {
                let (min, max) = (display_ms(*min_ms), display_ms(*max_ms));
                write!(f, "a duration with unit (ms, s, m, h) from {min} to {max}")
            }
            ValueKind::Bytes { min, max } => {
                let (min, max) = (display_bytes(*min), display_bytes(*max));
                write!(f, "a size with unit (B, KiB, MiB) from {min} to {max}")
            }
            ValueKind::Count { min, max } => write!(f, "a number from {min} to {max}"),
            ValueKind::Share => f.write_str("a percentage from 0% to 100%"),
            ValueKind::Address => f.write_str("an IP number and port"),
            ValueKind::Ip => f.write_str("an IP number"),
            ValueKind::Name => f.write_str("a name of letters, digits and -_.:/@"),
            ValueKind::Text => f.write_str("text"),
            ValueKind::Choice(words) => write!(f, "one of {}", words.join(", ")),
            ValueKind::Flag => f.write_str("yes or no"),
        }
    }
}
