//! Line numbers of settings.
//!
//! `rust-ini` reads the values but does not say where they stood, so the text
//! is scanned once more for section headers and keys.

/// Where a section or key stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Place {
    pub(super) section: String,
    /// `None` for the header of the section.
    pub(super) key: Option<String>,
    pub(super) line: usize,
}

/// Returns the places of all section headers and keys.
pub(super) fn scan(text: &str) -> Vec<Place> {
    let mut places = Vec::new();
    let mut section = String::new();
    for (index, line) in text.lines().enumerate() {
        let line = line.trim();
        if line.is_empty() || line.starts_with([';', '#']) {
            continue;
        }
        if let Some(name) = line.strip_prefix('[').and_then(|it| it.split(']').next()) {
            section = name.trim().to_owned();
            places.push(Place { section: section.clone(), key: None, line: index + 1 });
            continue;
        }
        let key = line.split(['=', ':']).next().unwrap_or_default().trim().to_owned();
        places.push(Place { section: section.clone(), key: Some(key), line: index + 1 });
    }
    places
}
