//! Problems found in a file.

use std::{error::Error, fmt};

/// Maximum number of listed problems; a longer list would not help to correct the file.
const MAX_LISTED_PROBLEMS: usize = 100;
/// Longest quoted text from a file, in characters.
const MAX_QUOTED_CHARS: usize = 64;

/// One problem in a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// Path of the field, such as `pipelines[0].deadline_ms`; empty for the
    /// whole file.
    pub path: String,
    /// What was found there.
    pub found: String,
    /// What is allowed there.
    pub allowed: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if !self.path.is_empty() {
            write!(f, "{}: ", self.path)?;
        }
        write!(f, "found {}, allowed is {}", self.found, self.allowed)
    }
}

/// The problems of a file, in the order in which they were found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problems {
    file: String,
    list: Vec<Problem>,
    unlisted: usize,
}

impl Problems {
    pub(crate) fn new(file: &str) -> Self {
        Self {
            file: file.to_owned(),
            list: Vec::new(),
            unlisted: 0,
        }
    }

    /// Returns the listed problems.
    pub fn list(&self) -> &[Problem] {
        &self.list
    }

    pub(crate) fn report(&mut self, path: String, found: String, allowed: String) {
        if self.list.len() == MAX_LISTED_PROBLEMS {
            self.unlisted += 1;
            return;
        }
        self.list.push(Problem {
            path,
            found,
            allowed,
        });
    }
}

impl fmt::Display for Problems {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, problem) in self.list.iter().enumerate() {
            let separator = if index == 0 { "" } else { "\n" };
            write!(f, "{separator}{}: {problem}", self.file)?;
        }
        if self.unlisted > 0 {
            write!(f, "\n{}: {} more problems", self.file, self.unlisted)?;
        }
        Ok(())
    }
}

impl Error for Problems {}

/// Quotes text from a file, truncated and with control characters escaped.
pub(crate) fn quote(text: &str) -> String {
    match text.char_indices().nth(MAX_QUOTED_CHARS) {
        None => format!("{text:?}"),
        Some((end, _)) => format!("{:?} and {} more bytes", &text[..end], text.len() - end),
    }
}
