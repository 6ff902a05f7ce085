//! Line numbers of sections and keys, for error messages.
//!
//! `rust-ini` parses the values but does not report their lines, so the text is
//! scanned a second time for section headers and keys.

/// The location of a section header or key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Location {
    pub(super) section: String,
    /// The key, or `None` for the section header.
    pub(super) key: Option<String>,
    pub(super) line: usize,
}

/// Returns the locations of all section headers and keys.
pub(super) fn scan(text: &str) -> Vec<Location> {
    let mut locations = Vec::new();
    let mut section = String::new();
    for (index, line) in text.lines().enumerate() {
        let line = line.trim();
        if line.is_empty() || line.starts_with([';', '#']) {
            continue;
        }
        if let Some(name) = line.strip_prefix('[').and_then(|it| it.split(']').next()) {
            section = name.trim().to_owned();
            locations.push(Location { section: section.clone(), key: None, line: index + 1 });
            continue;
        }
        let key = line.split(['=', ':']).next().unwrap_or_default().trim().to_owned();
        locations.push(Location { section: section.clone(), key: Some(key), line: index + 1 });
    }
    locations
}
