//! State dumps: the state of a process as JSON of bounded size.
//!
//! Operators and scripts use dumps to find out what a process is doing. A dump
//! is made on request, so it costs nothing otherwise, and it is bounded, so
//! that it adds little load to a process that is already overloaded. Rows that
//! do not fit are left out and counted.

use std::future::Future;

use serde::Serialize;
use serde_json::{Map, Value, json};

/// A source of state dumps.
pub trait DumpSource: Clone + Send + Sync + 'static {
    /// Returns a dump of the current state of at most `limit` bytes.
    fn dump(&self, limit: usize) -> impl Future<Output = Dump> + Send;
}

/// A dump of the state of a process, limited in size.
#[derive(Clone, Debug)]
pub struct Dump {
    sections: Map<String, Value>,
    omitted: Map<String, Value>,
    /// Sections that did not fit even as a count of omitted rows.
    dropped_sections: u64,
    remaining: usize,
}

/// Bytes reserved for the JSON punctuation around a name or a count.
const OVERHEAD_BYTES: usize = 64;

impl Dump {
    /// Returns an empty dump of at most `limit` bytes.
    pub fn new(limit: usize) -> Dump {
        let remaining = limit.saturating_sub(OVERHEAD_BYTES);
        Dump { sections: Map::new(), omitted: Map::new(), dropped_sections: 0, remaining }
    }

    fn reserve(&mut self, bytes: usize) -> bool {
        let fits = bytes <= self.remaining;
        if fits {
            self.remaining -= bytes;
        }
        fits
    }

    /// Reserves space for the count of rows omitted from a section.
    fn reserve_omission(&mut self, name: &str) -> bool {
        let fits = self.reserve(name.len() + OVERHEAD_BYTES);
        if !fits {
            self.dropped_sections += 1;
        }
        fits
    }

    /// Records the count of omitted rows in the reserved space, or releases the
    /// space if nothing was omitted.
    fn record_omission(&mut self, name: &str, omitted: u64) {
        if omitted == 0 {
            self.remaining += name.len() + OVERHEAD_BYTES;
        } else {
            self.omitted.insert(name.to_owned(), json!(omitted));
        }
    }

    /// Adds a value under a name, or records that it did not fit.
    pub fn add_value(&mut self, name: &str, value: &impl Serialize) {
        if !self.reserve_omission(name) {
            return;
        }
        let value = serde_json::to_value(value).unwrap_or_else(|it| json!(it.to_string()));
        let fits = self.reserve(name.len() + value.to_string().len() + OVERHEAD_BYTES);
        if fits {
            self.sections.insert(name.to_owned(), value);
        }
        self.record_omission(name, u64::from(!fits));
    }

    /// Adds rows under a name until the dump is full. The remaining rows are
    /// only counted.
    pub fn add_rows<T: Serialize>(&mut self, name: &str, rows: impl IntoIterator<Item = T>) {
        if !self.reserve_omission(name) {
            return;
        }
        let mut added = Vec::new();
        let mut omitted = 0;
        let has_space = self.reserve(name.len() + OVERHEAD_BYTES);
        for row in rows {
            if !has_space || 0 < omitted {
                omitted += 1;
                continue;
            }
            let row = serde_json::to_value(row).unwrap_or_else(|it| json!(it.to_string()));
            // The additional byte is for the comma.
            if self.reserve(row.to_string().len() + 1) {
                added.push(row);
            } else {
                omitted += 1;
            }
        }
        if has_space {
            self.sections.insert(name.to_owned(), Value::Array(added));
        }
        self.record_omission(name, omitted);
    }

    /// Returns the dump as JSON. Its section `omitted` holds the number of rows
    /// that did not fit, by section; `others` there is the number of sections
    /// for which there was no space at all.
    pub fn into_json(mut self) -> String {
        if 0 < self.dropped_sections {
            self.omitted.insert("others".to_owned(), json!(self.dropped_sections));
        }
        if !self.omitted.is_empty() {
            self.sections.insert("omitted".to_owned(), Value::Object(self.omitted));
        }
        Value::Object(self.sections).to_string()
    }
}
