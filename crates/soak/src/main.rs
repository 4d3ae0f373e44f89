//! Runs the real program as separate processes, injects faults from outside, and
//! checks its guarantees against what callers and backend servers observe.

mod caller;
mod client;
mod config;
mod crowd;
mod deployment;
mod disturbances;
mod error;
mod flags;
mod ledger;
mod plan;
mod ports;
mod presses;
mod process;
mod promises;
mod run;
mod sabotage;
mod signals;
mod stalled_clients;

use std::process::ExitCode;

use crate::{error::Result, flags::SavoryvaneSoak, run::Verdict};

fn main() -> ExitCode {
    let flags = SavoryvaneSoak::from_env_or_exit();
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(4)
        .enable_all()
        .build();
    let verdicts = match runtime {
        Ok(runtime) => runtime.block_on(run_seeds(&flags)),
        Err(err) => Err(err.into()),
    };
    match verdicts {
        Ok(0) => ExitCode::SUCCESS,
        Ok(_) => ExitCode::from(1),
        Err(err) => {
            eprintln!("savoryvane-soak: {err}");
            ExitCode::from(2)
        }
    }
}

/// Runs the seeds sequentially and returns the number of seeds that broke a promise.
async fn run_seeds(flags: &SavoryvaneSoak) -> Result<u64> {
    let first = flags.first_seed.unwrap_or(1);
    let seeds = flags.seeds.unwrap_or(1);
    let options = run::Options::from_flags(flags)?;
    println!("  seed  faults  asked  served  refused  failed  unanswered  verdict");
    let mut broken = 0;
    for seed in first..first + seeds {
        let verdict = run::run_seed(&options, seed).await?;
        print(seed, &verdict);
        broken += u64::from(!verdict.violations.is_empty());
    }
    println!("{broken} of {seeds} seeds with a broken promise");
    Ok(broken)
}

fn print(seed: u64, verdict: &Verdict) {
    let counts = &verdict.counts;
    let status = if verdict.violations.is_empty() {
        "kept"
    } else {
        "BROKEN"
    };
    println!(
        "{seed:6}  {:6}  {:5}  {:6}  {:7}  {:6}  {:10}  {status}",
        verdict.faults,
        counts.total,
        counts.served,
        counts.refused,
        counts.failed,
        counts.unanswered,
    );
    for violation in verdict.violations.iter().take(8) {
        println!("        {violation}");
    }
    if let Some(logs) = &verdict.logs {
        println!("        logs and plan: {}", logs.display());
    }
}
