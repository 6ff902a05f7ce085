//! Sizes and rates.
//!
//! Processors are counted in thousandths of a core and memory in mebibytes.
//! Both are integers, so sums and comparisons are exact. In JSON they are text
//! with a unit (`"250m"`, `"8GiB"`), because a bare number in a record that
//! people write does not show its unit; in binary encodings they are integers.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Deserializer, Serialize, Serializer, de};

/// Error returned when text is not a valid size.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ParseSizeError {
    kind: &'static str,
    text: String,
}

impl fmt::Display for ParseSizeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} is not a valid {}", self.text, self.kind)
    }
}

impl std::error::Error for ParseSizeError {}

macro_rules! size {
    ($(#[$doc:meta])* $name:ident, $int:ty) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $int);
    };
}

macro_rules! size_with_unit {
    ($(#[$doc:meta])* $name:ident, $int:ty) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $int);

        impl Serialize for $name {
            fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
                if serializer.is_human_readable() {
                    serializer.collect_str(self)
                } else {
                    self.0.serialize(serializer)
                }
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                if deserializer.is_human_readable() {
                    let text = String::deserialize(deserializer)?;
                    text.parse().map_err(de::Error::custom)
                } else {
                    <$int>::deserialize(deserializer).map($name)
                }
            }
        }
    };
}

size_with_unit! {
    /// Processor time, in thousandths of a core.
    Millicores, u64
}
size_with_unit! {
    /// Memory, in mebibytes.
    MemoryMib, u64
}
size! {
    /// A number of accelerators.
    Accelerators, u32
}
size! {
    /// A number of bytes.
    ByteCount, u64
}
size! {
    /// A rate, in thousandths of an event per second.
    RateMilliHz, u64
}

impl fmt::Display for Millicores {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.0.is_multiple_of(1000) {
            write!(f, "{}", self.0 / 1000)
        } else {
            write!(f, "{}m", self.0)
        }
    }
}

impl FromStr for Millicores {
    type Err = ParseSizeError;

    /// Parses whole cores (`4`) or thousandths of a core (`250m`).
    fn from_str(text: &str) -> Result<Self, ParseSizeError> {
        let error = || ParseSizeError { kind: "processor size", text: text.to_owned() };
        if let Some(digits) = text.strip_suffix('m') {
            return digits.parse().map(Millicores).map_err(|_| error());
        }
        let cores: u64 = text.parse().map_err(|_| error())?;
        cores.checked_mul(1000).map(Millicores).ok_or_else(error)
    }
}

impl fmt::Display for MemoryMib {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.0 != 0 && self.0.is_multiple_of(1024) {
            write!(f, "{}GiB", self.0 / 1024)
        } else {
            write!(f, "{}MiB", self.0)
        }
    }
}

impl FromStr for MemoryMib {
    type Err = ParseSizeError;

    /// Parses mebibytes (`512MiB`) or gibibytes (`125GiB`).
    fn from_str(text: &str) -> Result<Self, ParseSizeError> {
        let error = || ParseSizeError { kind: "memory size", text: text.to_owned() };
        if let Some(digits) = text.strip_suffix("GiB") {
            let gib: u64 = digits.parse().map_err(|_| error())?;
            return gib.checked_mul(1024).map(MemoryMib).ok_or_else(error);
        }
        let digits = text.strip_suffix("MiB").ok_or_else(error)?;
        digits.parse().map(MemoryMib).map_err(|_| error())
    }
}

impl fmt::Display for Accelerators {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for Accelerators {
    type Err = ParseSizeError;

    fn from_str(text: &str) -> Result<Self, ParseSizeError> {
        let error = |_| ParseSizeError { kind: "accelerator count", text: text.to_owned() };
        text.parse().map(Accelerators).map_err(error)
    }
}

impl fmt::Display for ByteCount {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}B", self.0)
    }
}

impl FromStr for ByteCount {
    type Err = ParseSizeError;

    /// Parses bytes (`64B`), kibibytes (`64KiB`) or mebibytes (`1MiB`).
    fn from_str(text: &str) -> Result<Self, ParseSizeError> {
        let error = || ParseSizeError { kind: "byte count", text: text.to_owned() };
        let units = [("KiB", 1 << 10), ("MiB", 1 << 20), ("B", 1)];
        let unit = units.iter().find_map(|(suffix, unit)| Some((text.strip_suffix(suffix)?, unit)));
        let (digits, unit) = unit.ok_or_else(error)?;
        let count: u64 = digits.parse().map_err(|_| error())?;
        count.checked_mul(*unit).map(ByteCount).ok_or_else(error)
    }
}

impl fmt::Display for RateMilliHz {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:03}/s", self.0 / 1000, self.0 % 1000)
    }
}

impl FromStr for RateMilliHz {
    type Err = ParseSizeError;

    /// Parses events per second with up to three decimals (`2.5/s`).
    fn from_str(text: &str) -> Result<Self, ParseSizeError> {
        let error = || ParseSizeError { kind: "rate", text: text.to_owned() };
        let number = text.strip_suffix("/s").ok_or_else(error)?;
        let (whole, decimals) = number.split_once('.').unwrap_or((number, ""));
        if 3 < decimals.len() || !decimals.bytes().all(|b| b.is_ascii_digit()) {
            return Err(error());
        }
        let whole: u64 = whole.parse().map_err(|_| error())?;
        let decimals: u64 = format!("{decimals:0<3}").parse().map_err(|_| error())?;
        let milli = whole.checked_mul(1000).and_then(|it| it.checked_add(decimals));
        milli.map(RateMilliHz).ok_or_else(error)
    }
}

/// The resources that a task needs or an instance offers, in each dimension
/// with a hard limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Resources {
    /// Processor time.
    pub cpu: Millicores,
    /// Memory.
    pub memory: MemoryMib,
    /// Accelerators.
    pub accelerators: Accelerators,
}

impl Resources {
    /// Nothing in any dimension.
    pub const ZERO: Resources =
        Resources { cpu: Millicores(0), memory: MemoryMib(0), accelerators: Accelerators(0) };

    /// Returns resources of `cpu` thousandths of a core, `memory` mebibytes and
    /// `accelerators` accelerators.
    pub const fn new(cpu: u64, memory: u64, accelerators: u32) -> Resources {
        Resources {
            cpu: Millicores(cpu),
            memory: MemoryMib(memory),
            accelerators: Accelerators(accelerators),
        }
    }

    /// Returns the sum, or `None` on overflow.
    pub fn checked_add(self, rhs: Resources) -> Option<Resources> {
        Some(Resources {
            cpu: Millicores(self.cpu.0.checked_add(rhs.cpu.0)?),
            memory: MemoryMib(self.memory.0.checked_add(rhs.memory.0)?),
            accelerators: Accelerators(self.accelerators.0.checked_add(rhs.accelerators.0)?),
        })
    }

    /// Returns the difference, or `None` if any dimension would be negative.
    pub fn checked_sub(self, rhs: Resources) -> Option<Resources> {
        Some(Resources {
            cpu: Millicores(self.cpu.0.checked_sub(rhs.cpu.0)?),
            memory: MemoryMib(self.memory.0.checked_sub(rhs.memory.0)?),
            accelerators: Accelerators(self.accelerators.0.checked_sub(rhs.accelerators.0)?),
        })
    }

    /// Returns the sum, with each dimension limited to its maximum.
    pub fn saturating_add(self, rhs: Resources) -> Resources {
        Resources {
            cpu: Millicores(self.cpu.0.saturating_add(rhs.cpu.0)),
            memory: MemoryMib(self.memory.0.saturating_add(rhs.memory.0)),
            accelerators: Accelerators(self.accelerators.0.saturating_add(rhs.accelerators.0)),
        }
    }

    /// Returns the difference, with each dimension at least zero.
    pub fn saturating_sub(self, rhs: Resources) -> Resources {
        Resources {
            cpu: Millicores(self.cpu.0.saturating_sub(rhs.cpu.0)),
            memory: MemoryMib(self.memory.0.saturating_sub(rhs.memory.0)),
            accelerators: Accelerators(self.accelerators.0.saturating_sub(rhs.accelerators.0)),
        }
    }

    /// Returns this amount multiplied by `count`, with each dimension limited to
    /// its maximum.
    pub fn saturating_mul(self, count: u32) -> Resources {
        Resources {
            cpu: Millicores(self.cpu.0.saturating_mul(u64::from(count))),
            memory: MemoryMib(self.memory.0.saturating_mul(u64::from(count))),
            accelerators: Accelerators(self.accelerators.0.saturating_mul(count)),
        }
    }

    /// Returns the smaller amount in each dimension.
    pub fn min(self, rhs: Resources) -> Resources {
        Resources {
            cpu: self.cpu.min(rhs.cpu),
            memory: self.memory.min(rhs.memory),
            accelerators: self.accelerators.min(rhs.accelerators),
        }
    }

    /// Returns the larger amount in each dimension.
    pub fn max(self, rhs: Resources) -> Resources {
        Resources {
            cpu: self.cpu.max(rhs.cpu),
            memory: self.memory.max(rhs.memory),
            accelerators: self.accelerators.max(rhs.accelerators),
        }
    }

    /// Reports whether this amount fits into `available` in every dimension.
    pub fn fits_in(self, available: Resources) -> bool {
        self.cpu <= available.cpu
            && self.memory <= available.memory
            && self.accelerators <= available.accelerators
    }

    /// Reports whether the amount is zero in every dimension.
    pub fn is_zero(self) -> bool {
        self == Resources::ZERO
    }
}

impl fmt::Display for Resources {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "cpu={},memory={},accelerators={}", self.cpu, self.memory, self.accelerators)
    }
}

impl FromStr for Resources {
    type Err = ParseSizeError;

    /// Parses `cpu=4,memory=8GiB,accelerators=1`; a missing part is zero.
    fn from_str(text: &str) -> Result<Self, ParseSizeError> {
        let mut resources = Resources::ZERO;
        for part in text.split(',') {
            match part.trim().split_once('=') {
                Some(("cpu", value)) => resources.cpu = value.parse()?,
                Some(("memory", value)) => resources.memory = value.parse()?,
                Some(("accelerators", value)) => resources.accelerators = value.parse()?,
                _ => {
                    return Err(ParseSizeError { kind: "resource list", text: text.to_owned() });
                }
            }
        }
        Ok(resources)
    }
}
