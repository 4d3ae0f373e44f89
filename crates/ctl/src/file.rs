//! Reads files up to a size limit and writes files atomically.

use std::{
    ffi::OsString,
    fs::{self, File},
    io::{self, Read, Write},
    path::Path,
};

use crate::error::{Error, Result};

/// Reads the file at `path`; a file longer than `max_bytes` is an error.
pub(crate) fn read(path: &Path, max_bytes: u64) -> Result<Vec<u8>> {
    let read_error = |err| Error::Read(path.to_owned(), err);
    let file = File::open(path).map_err(read_error)?;
    let mut bytes = Vec::new();
    let mut limited = file.take(max_bytes + 1);
    limited.read_to_end(&mut bytes).map_err(read_error)?;
    if bytes.len() as u64 > max_bytes {
        return Err(read_error(io::Error::other(format!(
            "longer than {max_bytes} bytes"
        ))));
    }
    Ok(bytes)
}

/// Writes the file at `path` atomically: an existing file is replaced only by the
/// complete new one.
pub(crate) fn write(path: &Path, text: &str) -> Result<()> {
    write_and_rename(path, text).map_err(|err| Error::Write(path.to_owned(), err))
}

fn write_and_rename(path: &Path, text: &str) -> io::Result<()> {
    let mut temp_name = OsString::from(path);
    temp_name.push(format!(".{}.tmp", std::process::id()));
    let temp_path = Path::new(&temp_name);
    let result = File::create_new(temp_path)
        .and_then(|mut file| {
            file.write_all(text.as_bytes())
                .and_then(|()| file.sync_all())
        })
        .and_then(|()| fs::rename(temp_path, path));
    if result.is_err() {
        let _ = fs::remove_file(temp_path);
    }
    result
}
