//! Limits that keep a hostile file from costing time or memory.

use std::{
    fs::File,
    io::{self, Read},
    path::Path,
};

/// What a file may cost before it is refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Longest accepted file, in bytes.
    pub file_bytes: usize,
    /// Deepest accepted nesting of mappings and lists.
    pub depth: usize,
    /// Largest accepted content after aliases are expanded, in bytes; each
    /// scalar, mapping and list counts [`Limits::NODE_BYTES`] beside its text.
    pub expanded_bytes: usize,
    /// Most opening brackets and braces times the file's length in bytes. The
    /// parser looks at every open one for each token, so that this bounds its
    /// work; files in block style hardly count.
    pub flow_work: usize,
}

impl Limits {
    /// What each scalar, mapping or list counts beside its text, in bytes.
    pub const NODE_BYTES: usize = 8;

    /// Reads the file at `path`: the whole of it, or of one that is too long
    /// just enough for [`read`](crate::read) to refuse it.
    ///
    /// # Errors
    ///
    /// Fails when the file can't be read.
    pub fn read_file(&self, path: &Path) -> io::Result<Vec<u8>> {
        let mut bytes = Vec::new();
        let most = self.file_bytes as u64 + 1;
        File::open(path)?.take(most).read_to_end(&mut bytes)?;
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
