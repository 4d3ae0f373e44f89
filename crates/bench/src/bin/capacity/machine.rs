//! Processor time and memory of this process, as the kernel counts them.

use std::{fs, process::Command};

const PAGE_BYTES: u64 = 4_096;

/// Returns the processor time of this thread, in ns.
pub(crate) fn thread_cpu_ns() -> u64 {
    let text = fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    let first = text.split_whitespace().next();
    first.and_then(|field| field.parse().ok()).unwrap_or(0)
}

/// Returns the resident memory of this process, in bytes.
pub(crate) fn resident_bytes() -> u64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1);
    pages
        .and_then(|field| field.parse::<u64>().ok())
        .unwrap_or(0)
        * PAGE_BYTES
}

/// Measures memory in a process of its own, which nothing was freed in before.
/// Returns bytes, or none when the run failed.
pub(crate) fn memory_of(what: &str, size: usize) -> Option<f64> {
    let program = std::env::current_exe().ok()?;
    let output = Command::new(program)
        .args(["memory", what, &size.to_string()])
        .output()
        .ok()?;
    String::from_utf8(output.stdout).ok()?.trim().parse().ok()
}
