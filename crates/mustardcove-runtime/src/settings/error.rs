//! Errors in settings, with their locations.

use std::fmt;

/// An error in a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    file: String,
    line: Option<usize>,
    problem: String,
    nearest: Option<String>,
}

impl SettingsError {
    /// Returns an error at a line of a file, counted from 1.
    pub fn new(file: &str, line: Option<usize>, problem: impl Into<String>) -> SettingsError {
        SettingsError { file: file.to_owned(), line, problem: problem.into(), nearest: None }
    }

    /// Adds the valid name that is most similar to an unknown one.
    pub fn with_nearest(mut self, nearest: Option<String>) -> SettingsError {
        self.nearest = nearest;
        self
    }

    /// Returns the line, counted from 1, if the error belongs to one.
    pub fn line(&self) -> Option<usize> {
        self.line
    }
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.line {
            Some(line) => write!(f, "{}:{line}: {}", self.file, self.problem)?,
            None => write!(f, "{}: {}", self.file, self.problem)?,
        }
        match &self.nearest {
            Some(nearest) => write!(f, "; the nearest valid name is {nearest}"),
            None => Ok(()),
        }
    }
}

impl std::error::Error for SettingsError {}

/// All errors that were found in a file, ordered by line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsErrors {
    errors: Vec<SettingsError>,
}

impl SettingsErrors {
    pub(super) fn new(mut errors: Vec<SettingsError>) -> SettingsErrors {
        errors.sort_by_key(|it| it.line.unwrap_or(usize::MAX));
        SettingsErrors { errors }
    }

    pub(super) fn one(error: SettingsError) -> SettingsErrors {
        SettingsErrors { errors: vec![error] }
    }

    /// Returns the errors.
    pub fn errors(&self) -> &[SettingsError] {
        &self.errors
    }
}

impl fmt::Display for SettingsErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, error) in self.errors.iter().enumerate() {
            if 0 < index {
                f.write_str("\n")?;
            }
            write!(f, "{error}")?;
        }
        Ok(())
    }
}

impl std::error::Error for SettingsErrors {}
