//! The entry instance of savoryvane.

mod app;
mod config;
mod flags;

use std::process::ExitCode;

fn main() -> ExitCode {
    app::run()
}
