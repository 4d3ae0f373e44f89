//! Reads files within a limit and writes them whole or not at all.

use std::{
    ffi::OsString,
    fs::{self, File},
    io::{self, Read, Write},
    path::Path,
};

use crate::error::{Error, Result};

/// Reads the file at `path`, which must not be longer than `max_bytes`.
pub(crate) fn read(path: &Path, max_bytes: u64) -> Result<Vec<u8>> {
    let fail = |err| Error::Read(path.to_owned(), err);
    let file = File::open(path).map_err(fail)?;
    let mut bytes = Vec::new();
    let mut start = file.take(max_bytes + 1);
    start.read_to_end(&mut bytes).map_err(fail)?;
    if bytes.len() as u64 > max_bytes {
        return Err(fail(io::Error::other(format!(
            "longer than {max_bytes} bytes"
        ))));
    }
    Ok(bytes)
}

/// Writes the file at `path`; one that is there is replaced only by the whole of
/// the new one.
pub(crate) fn write(path: &Path, text: &str) -> Result<()> {
    write_beside(path, text).map_err(|err| Error::Write(path.to_owned(), err))
}

fn write_beside(path: &Path, text: &str) -> io::Result<()> {
    let mut name = OsString::from(path);
    name.push(format!(".{}.tmp", std::process::id()));
    let beside = Path::new(&name);
    let written = File::create_new(beside)
        .and_then(|mut file| {
            file.write_all(text.as_bytes())
                .and_then(|()| file.sync_all())
        })
        .and_then(|()| fs::rename(beside, path));
    if written.is_err() {
        let _ = fs::remove_file(beside);
    }
    written
}
