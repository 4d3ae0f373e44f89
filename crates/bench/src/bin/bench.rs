//! Runs the policy against the baseline and checks the bounds.

use std::process::ExitCode;

use savoryvane_bench::{
    deployment::Deployment,
    policy::{Part, Policy},
    report::{Line, objective_report, report},
    scenario::Scenario,
};

mod flags {
    xflags::xflags! {
        /// Runs the policy bench; fails when a bound breaks.
        cmd bench {
            /// Deployment to run: uithangbord or taalghar; both by default.
            optional --deployment deployment: String
            /// Scenario to run; every one by default.
            optional --scenario scenario: String
            /// Part of the policy to switch off.
            optional --without part: String
            /// Seed of the run.
            optional --seed seed: u64
            /// Shows only the lines whose name contains this.
            optional --only only: String
        }
    }
}

const DEFAULT_SEED: u64 = 1;

fn main() -> ExitCode {
    let flags = flags::Bench::from_env_or_exit();
    let Some(policy) = policy(flags.without.as_deref()) else {
        eprintln!("no such part of the policy");
        return ExitCode::FAILURE;
    };
    let scenarios: Vec<Scenario> = Scenario::ALL
        .into_iter()
        .filter(|scenario| is_asked(flags.scenario.as_deref(), scenario.as_str()))
        .collect();
    let seed = flags.seed.unwrap_or(DEFAULT_SEED);
    println!(
        "{:<52} {:>10} {:>10} {:>10} verdict",
        "figure", "value", "baseline", "bound"
    );
    let mut failed = 0;
    for deployment in [Deployment::uithangbord(), Deployment::taalghar()] {
        if !is_asked(flags.deployment.as_deref(), deployment.name) {
            continue;
        }
        for line in report(&deployment, &scenarios, policy, seed) {
            failed += print(&line, flags.only.as_deref());
        }
        if flags.scenario.is_none() {
            for line in objective_report(&deployment, policy, seed) {
                failed += print(&line, flags.only.as_deref());
            }
        }
    }
    println!("{failed} bounds broken, seed {seed}");
    if failed == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

fn policy(without: Option<&str>) -> Option<Policy> {
    match without {
        None => Some(Policy::Current),
        Some(name) => Part::ALL
            .into_iter()
            .find(|part| part.as_str() == name)
            .map(Policy::Without),
    }
}

fn is_asked(asked: Option<&str>, name: &str) -> bool {
    asked.is_none_or(|asked| asked == name)
}

/// Prints a line and returns the bounds that it breaks.
fn print(line: &Line, only: Option<&str>) -> usize {
    if only.is_none_or(|only| line.name.contains(only)) {
        println!("{line}");
    }
    usize::from(!line.passes())
}
