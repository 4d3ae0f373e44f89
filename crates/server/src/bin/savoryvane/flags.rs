//! The command line.

use std::path::PathBuf;

xflags::xflags! {
    /// The entry instance of savoryvane: serves the requests of callers.
    cmd savoryvane {
        /// Settings file, in YAML.
        optional --config file: PathBuf
        /// Checks the settings and exits.
        optional --check
        /// Prints the version and exits.
        optional -V, --version
    }
}
