//! The command line.

use std::path::PathBuf;

xflags::xflags! {
    /// Plays faults against instances that run as processes, and checks what they
    /// promise.
    ///
    /// Exit codes: 0 every promise was kept; 1 one was broken; 2 it could not be run.
    cmd savoryvane-soak {
        /// The program to run (target/release/savoryvane).
        optional --program file: PathBuf
        /// Seeds to play, one after the other (1).
        optional --seeds count: u64
        /// The first of them (1).
        optional --first-seed seed: u64
        /// Time with faults in each, in s (10).
        optional --seconds seconds: u64
        /// Instances (5).
        optional --instances count: usize
        /// Callers who ask at the same time (16).
        optional --callers count: usize
        /// Folder for logs of seeds that broke a promise (target/soak).
        optional --logs folder: PathBuf
        /// Breaks a promise on purpose, to see that it is found: twice, false-refusal,
        /// cut-short, mixed, unasked, regress, late-config, late-drain, cut-on-stop,
        /// overspent, not-back.
        optional --sabotage promise: String
    }
}
