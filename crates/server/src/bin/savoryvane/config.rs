//! Selects the mode of operation from the command line.

use std::path::PathBuf;

use crate::flags::Savoryvane;

/// Mode of operation.
#[derive(Debug)]
pub(crate) enum Mode {
    /// Prints the version.
    Version,
    /// Checks the settings in a file.
    Check(PathBuf, Kind),
    /// Serves requests with the settings in a file.
    Serve(PathBuf, Kind),
}

/// Kind of instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Kind {
    /// An entry instance, which runs pipelines.
    Entry,
    /// A gateway, which forwards requests.
    Gateway,
}

/// Converts the flags to a mode.
///
/// # Errors
///
/// Returns a message if the combination of flags is invalid.
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
