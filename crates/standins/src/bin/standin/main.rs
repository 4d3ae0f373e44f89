//! Runs one stand-in as a process until SIGTERM.

mod calls;
mod cli;
mod kinds;
mod run;

use std::process::ExitCode;

/// Exit code of a failure; wrong arguments give 2, as xflags does.
const FAILED: u8 = 1;

#[tokio::main]
async fn main() -> ExitCode {
    let flags = cli::Standin::from_env_or_exit();
    match run::run(flags.subcommand).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("standin: {err}");
            ExitCode::from(FAILED)
        }
    }
}
