//! Faults found in a file.

use std::{error::Error, fmt};

/// Most problems that are kept; a file with more is not read any better with a
/// longer list.
const MAX_PROBLEMS: usize = 100;
/// Longest quoted part of a file, in characters.
const MAX_QUOTED_CHARS: usize = 64;

/// One fault of a file.
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

/// Every fault of a file, in the order in which they were found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problems {
    file: String,
    list: Vec<Problem>,
    dropped: usize,
}

impl Problems {
    pub(crate) fn new(file: &str) -> Self {
        Self {
            file: file.to_owned(),
            list: Vec::new(),
            dropped: 0,
        }
    }

    /// Returns the problems that were kept.
    pub fn list(&self) -> &[Problem] {
        &self.list
    }

    pub(crate) fn note(&mut self, path: String, found: String, allowed: String) {
        if self.list.len() == MAX_PROBLEMS {
            self.dropped += 1;
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
            let line_end = if index == 0 { "" } else { "\n" };
            write!(f, "{line_end}{}: {problem}", self.file)?;
        }
        if self.dropped > 0 {
            write!(f, "\n{}: {} more problems", self.file, self.dropped)?;
        }
        Ok(())
    }
}

impl Error for Problems {}

/// Quotes a part of a file: shortened, control characters escaped.
pub(crate) fn quote(text: &str) -> String {
    match text.char_indices().nth(MAX_QUOTED_CHARS) {
        None => format!("{text:?}"),
        Some((end, _)) => format!("{:?} and {} more bytes", &text[..end], text.len() - end),
    }
}
