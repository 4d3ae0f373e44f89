//! Finds out what the command line asks for.

use std::path::PathBuf;

use crate::flags::Savoryvane;

/// What the program is asked to do.
#[derive(Debug)]
pub(crate) enum Mode {
    /// Print the version.
    Version,
    /// Check the settings in a file.
    Check(PathBuf),
    /// Serve with the settings in a file.
    Serve(PathBuf),
}

/// Turns the flags into a mode.
///
/// # Errors
///
/// Returns what is wrong with the command line.
pub(crate) fn mode(flags: Savoryvane) -> Result<Mode, &'static str> {
    match flags {
        Savoryvane { version: true, .. } => Ok(Mode::Version),
        Savoryvane { config: None, .. } => Err("flag `--config FILE` is missing"),
        Savoryvane {
            config: Some(file),
            check,
            ..
        } => Ok(if check {
            Mode::Check(file)
        } else {
            Mode::Serve(file)
        }),
    }
}
