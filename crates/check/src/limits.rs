//! Limits on the time and memory that a hostile file can use.

use std::{
    fs::File,
    io::{self, Read},
    path::Path,
};

/// Limits beyond which a file is refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Longest accepted file, in bytes.
    pub file_bytes: usize,
    /// Deepest accepted nesting of mappings and lists.
    pub depth: usize,
    /// Largest accepted content after aliases are expanded, in bytes; each
    /// scalar, mapping and list counts [`Limits::NODE_BYTES`] in addition to its text.
    pub expanded_bytes: usize,
    /// Maximum of the number of opening brackets and braces times the file's length in
    /// bytes. The parser checks every open bracket and brace for each token, so this
    /// product bounds its work; files in block style have few.
    pub flow_work: usize,
}

impl Limits {
    /// Bytes that each scalar, mapping or list counts in addition to its text.
    pub const NODE_BYTES: usize = 8;

    /// Reads the file at `path`. Of a file that is too long it reads only one byte over
    /// the limit, so that [`read`](crate::read) refuses it.
    ///
    /// # Errors
    ///
    /// Returns an error when the file can't be read.
    pub fn read_file(&self, path: &Path) -> io::Result<Vec<u8>> {
        let mut bytes = Vec::new();
        let max_read_bytes = self.file_bytes as u64 + 1;
        File::open(path)?
            .take(max_read_bytes)
            .read_to_end(&mut bytes)?;
        Ok(bytes)
    }
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            file_bytes: 1 << 20,
            depth: 16,
            expanded_bytes: 8 << 20,
            flow_work: 1 << 31,
        }
    }
}
