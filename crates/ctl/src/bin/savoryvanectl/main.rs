//! The operator's command line of savoryvane.

mod app;
mod flags;

use std::process::ExitCode;

fn main() -> ExitCode {
    app::run()
}
