//! The `savoryvane` program: runs an entry instance or a gateway.

mod app;
mod config;
mod flags;

use std::process::ExitCode;

fn main() -> ExitCode {
    app::run()
}
