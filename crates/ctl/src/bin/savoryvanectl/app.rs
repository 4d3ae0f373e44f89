//! Turns the command line into settings and a command, and runs it.

use std::{
    env,
    io::{self, Write},
    net::SocketAddr,
    process::ExitCode,
};

use savoryvane_core::ids::{InstanceName, OperatorName, is_valid_name};
use savoryvane_ctl::{
    Command, Confirmed, Controller, Costs, Credential, Error, Exit, Format, Grouping, ObjectList,
    Planned, ReportForm, Result, Settings, account, explain,
};
use serde_json::json;

use crate::flags::{self, Savoryvanectl, SavoryvanectlCmd};

/// Variable with the addresses that are used without `--admin`.
const ADMIN_VARIABLE: &str = "SAVORYVANE_ADMIN";
/// Longest time for one answer, in ms; a confirm may take an instance 5 s.
const DEFAULT_TIMEOUT_MS: u64 = 10_000;
/// Longest wait for a change to be in force everywhere, in ms.
const DEFAULT_WAIT_MS: u64 = 10_000;
/// Seconds for each row of an account.
const DEFAULT_EVERY_S: u64 = 2;
/// Longest accepted time on the command line, in ms.
const MAX_TIME_MS: u64 = 3_600_000;
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
    if let SavoryvanectlCmd::Explain(explained) = &flags.subcommand {
        return explain(
            &explained.request,
            io::stdin().lock(),
            &mut io::stdout().lock(),
        );
    }
    if let SavoryvanectlCmd::Account(accounted) = &flags.subcommand {
        return account(
            accounted.every_s.unwrap_or(DEFAULT_EVERY_S).max(1),
            accounted.svg.as_deref(),
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
        timeout_ms: time_ms("--timeout-ms", flags.timeout_ms, DEFAULT_TIMEOUT_MS, 1)?,
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

fn time_ms(flag: &str, given: Option<u64>, default: u64, least: u64) -> Result<u64> {
    let ms = given.unwrap_or(default);
    if (least..=MAX_TIME_MS).contains(&ms) {
        return Ok(ms);
    }
    let allowed = format!("allowed: {least} to {MAX_TIME_MS}");
    Err(Error::Usage(format!("{flag} {ms}; {allowed}")))
}

fn command(flags: &SavoryvanectlCmd) -> Result<Command> {
    Ok(match flags {
        // All but the last are done with before a command is made of them.
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
        SavoryvanectlCmd::Plan(plan) => Command::Plan(planned(plan)?),
        SavoryvanectlCmd::Confirm(confirm) => Command::Confirm(confirmed(confirm)?),
        SavoryvanectlCmd::History(_) => Command::History,
        SavoryvanectlCmd::Costs(costs) => Command::Costs(cost_report(costs)?),
        SavoryvanectlCmd::Drain(drain) => {
            let name = name("instance", &drain.instance)?;
            Command::Drain(InstanceName::new(name))
        }
    })
}

fn planned(flags: &flags::Plan) -> Result<Planned> {
    let operator = match &flags.operator {
        Some(text) => Some(OperatorName::new(name("operator", text)?)),
        None => None,
    };
    Ok(Planned {
        intent: flags.file.clone(),
        output: flags.output.clone(),
        operator,
    })
}

fn confirmed(flags: &flags::Confirm) -> Result<Confirmed> {
    Ok(Confirmed {
        plan: flags.plan.clone(),
        yes: flags.yes,
        wait_ms: time_ms("--wait-ms", flags.wait_ms, DEFAULT_WAIT_MS, 0)?,
    })
}

fn cost_report(flags: &flags::Costs) -> Result<Costs> {
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
    Ok(Costs {
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

/// Without a command the help is what was asked for.
fn help() -> ExitCode {
    match Savoryvanectl::from_vec(vec!["--help".into()]) {
        Err(err) if err.is_help() => print(&err.to_string()),
        _ => unreachable!("--help always ends in help"),
    }
}

/// Writes a line; a reader that has gone is no reason to fail.
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
