//! Converts the command line into settings and a command, and executes it.

use std::{
    env,
    io::{self, Write},
    net::SocketAddr,
    process::ExitCode,
};

use savoryvane_core::ids::{InstanceName, OperatorName, is_valid_name};
use savoryvane_ctl::{
    Command, ConfirmArgs, Controller, CostsArgs, Credential, Error, Exit, Format, Grouping,
    ObjectList, PlanArgs, ReportForm, Result, Settings, account, explain,
};
use serde_json::json;

use crate::flags::{self, Savoryvanectl, SavoryvanectlCmd};

/// Environment variable with the addresses to use without `--admin`.
const ADMIN_VARIABLE: &str = "SAVORYVANE_ADMIN";
/// Default timeout for one response, in ms; a confirm may take an instance 5 s.
const DEFAULT_TIMEOUT_MS: u64 = 10_000;
/// Default maximum time to wait until a change is in force everywhere, in ms.
const DEFAULT_WAIT_MS: u64 = 10_000;
/// Default interval of each row of the account, in seconds.
const DEFAULT_INTERVAL_S: u64 = 2;
/// Largest accepted duration on the command line, in ms.
const MAX_DURATION_MS: u64 = 3_600_000;
const VERSION: &str = concat!("savoryvanectl ", env!("CARGO_PKG_VERSION"));

/// Runs the program.
pub(crate) fn run() -> ExitCode {
    let flags = match Savoryvanectl::from_env() {
        Ok(flags) => flags,
        Err(err) if err.is_help() => return print(&err.to_string()),
        Err(err) => return fail(&Error::Usage(err.to_string()), Format::Human),
    };
    if flags.version {
        return print(VERSION);
    }
    if matches!(flags.subcommand, SavoryvanectlCmd::Help(_)) {
        return help();
    }
    let format = if flags.json {
        Format::Json
    } else {
        Format::Human
    };
    match execute(flags, format) {
        Ok(()) => exit(Exit::Done),
        Err(Error::Terminal(err)) if err.kind() == io::ErrorKind::BrokenPipe => exit(Exit::Done),
        Err(err) => fail(&err, format),
    }
}

fn execute(flags: Savoryvanectl, format: Format) -> Result<()> {
    if let SavoryvanectlCmd::Explain(args) = &flags.subcommand {
        return explain(&args.request, io::stdin().lock(), &mut io::stdout().lock());
    }
    if let SavoryvanectlCmd::Account(args) = &flags.subcommand {
        return account(
            args.every_s.unwrap_or(DEFAULT_INTERVAL_S).max(1),
            args.svg.as_deref(),
            io::stdin().lock(),
            &mut io::stdout().lock(),
        );
    }
    let command = command(&flags.subcommand)?;
    let settings = settings(&flags, format)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let (mut out, mut notes) = (io::stdout(), io::stderr());
    let mut controller = Controller::new(&settings, &mut out, &mut notes);
    runtime.block_on(controller.run(&command))
}

fn settings(flags: &Savoryvanectl, format: Format) -> Result<Settings> {
    let admins = match &flags.admin {
        Some(addrs) => addrs.clone(),
        None => env::var(ADMIN_VARIABLE).map_err(|_| {
            Error::Usage(format!(
                "give --admin ADDR[,ADDR...] or set {ADMIN_VARIABLE}"
            ))
        })?,
    };
    let Some(credential_file) = &flags.credential_file else {
        return Err(Error::Usage("give --credential-file FILE".to_owned()));
    };
    Ok(Settings {
        admins: addresses(&admins)?,
        credential: Credential::load(credential_file)?,
        timeout_ms: duration_ms("--timeout-ms", flags.timeout_ms, DEFAULT_TIMEOUT_MS, 1)?,
        format,
    })
}

fn addresses(list: &str) -> Result<Vec<SocketAddr>> {
    let mut addrs = Vec::new();
    for text in list.split(',') {
        let addr = text.trim().parse().map_err(|_| {
            let allowed = "allowed: IP address and port, such as 127.0.0.1:8081";
            Error::Usage(format!("operator address {text:?}; {allowed}"))
        })?;
        if !addrs.contains(&addr) {
            addrs.push(addr);
        }
    }
    Ok(addrs)
}

fn duration_ms(flag: &str, given: Option<u64>, default: u64, min_ms: u64) -> Result<u64> {
    let ms = given.unwrap_or(default);
    if (min_ms..=MAX_DURATION_MS).contains(&ms) {
        return Ok(ms);
    }
    let allowed = format!("allowed: {min_ms} to {MAX_DURATION_MS}");
    Err(Error::Usage(format!("{flag} {ms}; {allowed}")))
}

fn command(flags: &SavoryvanectlCmd) -> Result<Command> {
    Ok(match flags {
        // The first three never get here: `run` and `execute` handle them earlier.
        SavoryvanectlCmd::Help(_)
        | SavoryvanectlCmd::Explain(_)
        | SavoryvanectlCmd::Account(_)
        | SavoryvanectlCmd::Status(_) => Command::Status,
        SavoryvanectlCmd::Instances(_) => Command::Instances,
        SavoryvanectlCmd::Backends(_) => Command::Backends,
        SavoryvanectlCmd::Workspaces(_) => Command::Objects(ObjectList::Workspaces),
        SavoryvanectlCmd::Pipelines(_) => Command::Objects(ObjectList::Pipelines),
        SavoryvanectlCmd::Pools(_) => Command::Objects(ObjectList::Pools),
        SavoryvanectlCmd::Models(_) => Command::Objects(ObjectList::Models),
        SavoryvanectlCmd::Plan(plan) => Command::Plan(plan_args(plan)?),
        SavoryvanectlCmd::Confirm(confirm) => Command::Confirm(confirm_args(confirm)?),
        SavoryvanectlCmd::History(_) => Command::History,
        SavoryvanectlCmd::Costs(costs) => Command::Costs(costs_args(costs)?),
        SavoryvanectlCmd::Drain(drain) => {
            let name = name("instance", &drain.instance)?;
            Command::Drain(InstanceName::new(name))
        }
    })
}

fn plan_args(flags: &flags::Plan) -> Result<PlanArgs> {
    let operator = match &flags.operator {
        Some(text) => Some(OperatorName::new(name("operator", text)?)),
        None => None,
    };
    Ok(PlanArgs {
        intent: flags.file.clone(),
        output: flags.output.clone(),
        operator,
    })
}

fn confirm_args(flags: &flags::Confirm) -> Result<ConfirmArgs> {
    Ok(ConfirmArgs {
        plan: flags.plan.clone(),
        yes: flags.yes,
        wait_ms: duration_ms("--wait-ms", flags.wait_ms, DEFAULT_WAIT_MS, 0)?,
    })
}

fn costs_args(flags: &flags::Costs) -> Result<CostsArgs> {
    let grouping = match flags.by.as_deref() {
        None => Grouping::Full,
        Some("stage") => Grouping::Stage,
        Some("pipeline") => Grouping::Pipeline,
        Some("workspace") => Grouping::Workspace,
        Some(other) => {
            let allowed = "allowed: stage, pipeline, workspace";
            return Err(Error::Usage(format!("--by {other:?}; {allowed}")));
        }
    };
    let form = if flags.csv {
        ReportForm::Csv
    } else {
        ReportForm::AsFormat
    };
    Ok(CostsArgs {
        grouping,
        form,
        output: flags.output.clone(),
        partial: flags.partial,
    })
}

fn name<'a>(what: &str, text: &'a str) -> Result<&'a str> {
    if is_valid_name(text) {
        return Ok(text);
    }
    let allowed = "allowed: 1 to 63 lower-case letters, digits, '-' or '.'";
    Err(Error::Usage(format!("{what} {text:?}; {allowed}")))
}

/// Prints the help; a command line without a command requests it too.
fn help() -> ExitCode {
    match Savoryvanectl::from_vec(vec!["--help".into()]) {
        Err(err) if err.is_help() => print(&err.to_string()),
        _ => unreachable!("--help always ends in help"),
    }
}

/// Writes a line to standard output; ignores errors such as a closed pipe.
fn print(text: &str) -> ExitCode {
    let _ = writeln!(io::stdout().lock(), "{}", text.trim_end());
    exit(Exit::Done)
}

fn fail(err: &Error, format: Format) -> ExitCode {
    let (next_step, code) = (err.next_step(), err.exit());
    let text = match format {
        Format::Human => format!("error: {err}\nnext: {next_step}"),
        Format::Json => json!({
            "error": err.to_string(),
            "next_step": next_step,
            "exit_code": code as u8,
        })
        .to_string(),
    };
    let _ = writeln!(io::stderr().lock(), "{text}");
    exit(code)
}

fn exit(code: Exit) -> ExitCode {
    ExitCode::from(code as u8)
}
