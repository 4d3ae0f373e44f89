//! The command line.

use std::path::PathBuf;

xflags::xflags! {
    /// Injects faults into instances that run as processes, and checks their promises.
    ///
    /// Exit codes: 0 all promises kept; 1 a promise was broken; 2 the soak could not run.
    cmd savoryvane-soak {
        /// The program to run (target/release/savoryvane).
        optional --program file: PathBuf
        /// Number of seeds, run sequentially (1).
        optional --seeds count: u64
        /// First seed (1).
        optional --first-seed seed: u64
        /// Duration of the fault phase of each seed, in s (10).
        optional --seconds seconds: u64
        /// Number of instances (5).
        optional --instances count: usize
        /// Number of concurrent callers (16).
        optional --callers count: usize
        /// Directory for the logs of seeds that broke a promise (target/soak).
        optional --logs folder: PathBuf
        /// Breaks a promise on purpose, to verify that the soak detects it: twice, false-refusal,
        /// cut-short, mixed, unasked, regress, late-config, late-drain, cut-on-stop,
        /// overspent, uncounted, over-limit, unseen-leaving, over-backoff, joined,
        /// forgotten-streams, not-back, unretried, unbounded-memory.
        optional --sabotage promise: String
    }
}
