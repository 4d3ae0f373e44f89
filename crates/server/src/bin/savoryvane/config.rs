//! Finds out what the command line asks for.

use std::path::PathBuf;

use crate::flags::Savoryvane;

/// What the program is asked to do.
#[derive(Debug)]
pub(crate) enum Mode {
    /// Print the version.
    Version,
    /// Check the settings in a file.
    Check(PathBuf, Kind),
    /// Serve with the settings in a file.
    Serve(PathBuf, Kind),
}

/// Kind of instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Kind {
    /// It runs pipelines.
    Entry,
    /// It forwards requests.
    Gateway,
}

/// Turns the flags into a mode.
///
/// # Errors
///
/// Returns what is wrong with the command line.
pub(crate) fn mode(flags: Savoryvane) -> Result<Mode, &'static str> {
    if flags.version {
        return Ok(Mode::Version);
    }
    let (file, kind) = match (flags.config, flags.gateway) {
        (Some(file), None) => (file, Kind::Entry),
        (None, Some(file)) => (file, Kind::Gateway),
        (Some(_), Some(_)) => return Err("flags `--config` and `--gateway` exclude each other"),
        (None, None) => return Err("flag `--config FILE` or `--gateway FILE` is missing"),
    };
    Ok(if flags.check {
        Mode::Check(file, kind)
    } else {
        Mode::Serve(file, kind)
    })
}
