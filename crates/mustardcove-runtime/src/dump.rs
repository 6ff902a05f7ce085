//! State dumps: what a process knows, as JSON of bounded size.
//!
//! A dump is for a person or a script that asks what a process is doing. It is
//! made on request, so it costs nothing otherwise, and it is bounded, so that
//! it adds little load to a process that is already overloaded. Rows that do not
//! fit are left out and counted.

use std::future::Future;

use serde::Serialize;
use serde_json::{Map, Value, json};

/// Something that can describe its state.
pub trait DumpSource: Clone + Send + Sync + 'static {
    /// Describes the state in at most `limit` bytes.
    fn dump(&self, limit: usize) -> impl Future<Output = Dump> + Send;
}

/// A description of a process's state, limited in size.
#[derive(Clone, Debug)]
pub struct Dump {
    sections: Map<String, Value>,
    omitted: Map<String, Value>,
    /// Sections that could not even be named.
    unnamed: u64,
    left: usize,
}

/// Bytes kept back for the punctuation around a name or a count.
const OVERHEAD_BYTES: usize = 64;

impl Dump {
    /// Returns an empty dump of at most `limit` bytes.
    pub fn new(limit: usize) -> Dump {
        let left = limit.saturating_sub(OVERHEAD_BYTES);
        Dump { sections: Map::new(), omitted: Map::new(), unnamed: 0, left }
    }

    fn take(&mut self, bytes: usize) -> bool {
        let fits = bytes <= self.left;
        if fits {
            self.left -= bytes;
        }
        fits
    }

    /// Keeps back the room in which to note what was left out of a section.
    fn reserve_note(&mut self, name: &str) -> bool {
        let fits = self.take(name.len() + OVERHEAD_BYTES);
        if !fits {
            self.unnamed += 1;
        }
        fits
    }

    /// Uses the room kept back for a note, or gives it back.
    fn note(&mut self, name: &str, omitted: u64) {
        if omitted == 0 {
            self.left += name.len() + OVERHEAD_BYTES;
        } else {
            self.omitted.insert(name.to_owned(), json!(omitted));
        }
    }

    /// Adds a value under a name, or notes that it did not fit.
    pub fn value(&mut self, name: &str, value: &impl Serialize) {
        if !self.reserve_note(name) {
            return;
        }
        let value = serde_json::to_value(value).unwrap_or_else(|it| json!(it.to_string()));
        let fits = self.take(name.len() + value.to_string().len() + OVERHEAD_BYTES);
        if fits {
            self.sections.insert(name.to_owned(), value);
        }
        self.note(name, u64::from(!fits));
    }

    /// Adds rows under a name until the dump is full. The remaining rows are
    /// counted and not described.
    pub fn rows<T: Serialize>(&mut self, name: &str, rows: impl IntoIterator<Item = T>) {
        if !self.reserve_note(name) {
            return;
        }
        let mut added = Vec::new();
        let mut omitted = 0;
        let has_room = self.take(name.len() + OVERHEAD_BYTES);
        for row in rows {
            if !has_room || 0 < omitted {
                omitted += 1;
                continue;
            }
            let row = serde_json::to_value(row).unwrap_or_else(|it| json!(it.to_string()));
            // One byte for the comma.
            if self.take(row.to_string().len() + 1) {
                added.push(row);
            } else {
                omitted += 1;
            }
        }
        if has_room {
            self.sections.insert(name.to_owned(), Value::Array(added));
        }
        self.note(name, omitted);
    }

    /// Returns the dump as JSON; `omitted` counts the rows that did not fit, by
    /// section, and `others` the sections for which there was no room at all.
    pub fn into_json(mut self) -> String {
        if 0 < self.unnamed {
            self.omitted.insert("others".to_owned(), json!(self.unnamed));
        }
        if !self.omitted.is_empty() {
            self.sections.insert("omitted".to_owned(), Value::Object(self.omitted));
        }
        Value::Object(self.sections).to_string()
    }
}
