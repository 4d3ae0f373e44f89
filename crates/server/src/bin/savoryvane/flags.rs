//! Command-line flags.

use std::path::PathBuf;

xflags::xflags! {
    /// The entry instance of savoryvane: serves the requests of callers.
    cmd savoryvane {
        /// Settings file, in YAML, of an instance that runs pipelines.
        optional --config file: PathBuf
        /// Settings file, in YAML, of an instance that forwards requests by the
        /// routes in the platform's store.
        optional --gateway file: PathBuf
        /// Checks the settings and exits.
        optional --check
        /// Prints the version and exits.
        optional -V, --version
    }
}
