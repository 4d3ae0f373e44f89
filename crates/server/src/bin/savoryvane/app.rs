//! Runs the program and maps its result to an exit code.

use std::{
    io::{self, Write},
    path::Path,
    process::ExitCode,
};

use savoryvane_server::{DrainOutcome, Error, Gateway, GatewaySettings, Instance, Settings};
use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::{
    config::{self, Kind, Mode},
    flags::Savoryvane,
};

/// Success; a stop interrupted no request.
const EXIT_OK: u8 = 0;
/// The process could not start, or a system call failed.
const EXIT_FAILED: u8 = 1;
/// The command line is invalid.
const EXIT_USAGE: u8 = 2;
/// The settings are invalid or unreadable.
const EXIT_SETTINGS: u8 = 3;
/// The drain timeout passed with requests in flight.
const EXIT_DRAIN_TIMEOUT: u8 = 4;
/// A second signal ended the process without a complete drain.
const EXIT_SECOND_SIGNAL: u8 = 5;

/// Runs the program and returns its exit code.
pub(crate) fn run() -> ExitCode {
    let flags = match Savoryvane::from_env() {
        Ok(flags) => flags,
        Err(err) if err.is_help() => return print(&err.to_string()),
        Err(err) => return fail_usage(&err.to_string()),
    };
    match config::mode(flags) {
        Ok(Mode::Version) => print(concat!("savoryvane ", env!("CARGO_PKG_VERSION"))),
        Ok(Mode::Check(file, Kind::Entry)) => check(Settings::load(&file)),
        Ok(Mode::Check(file, Kind::Gateway)) => check(GatewaySettings::load(&file)),
        Ok(Mode::Serve(file, Kind::Entry)) => serve(&file),
        Ok(Mode::Serve(file, Kind::Gateway)) => serve_gateway(&file),
        Err(reason) => fail_usage(reason),
    }
}

fn check<S>(settings: Result<S, Error>) -> ExitCode {
    match settings {
        Ok(_) => print("settings are valid"),
        Err(err) => fail(&err),
    }
}

fn serve(file: &Path) -> ExitCode {
    let settings = match Settings::load(file) {
        Ok(settings) => settings,
        Err(err) => return fail(&err),
    };
    let runtime = match tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
    {
        Ok(runtime) => runtime,
        Err(err) => return fail(&Error::System("runtime", err)),
    };
    let code = match runtime.block_on(serve_until_stopped(settings)) {
        Ok(code) => ExitCode::from(code),
        Err(err) => fail(&err),
    };
    // Only operators' connections are still open; they end with the process.
    runtime.shutdown_background();
    code
}

async fn serve_until_stopped(settings: Settings) -> Result<u8, Error> {
    let mut signals = Signals::new().map_err(|err| Error::System("signals", err))?;
    let instance = Instance::start(settings).await?;
    print_addresses(&instance);
    tokio::select! {
        () = signals.next() => {}
        () = instance.leaving() => {}
    }
    tokio::select! {
        ended = instance.leave() => Ok(match ended {
            DrainOutcome::Drained => EXIT_OK,
            DrainOutcome::TimedOut => EXIT_DRAIN_TIMEOUT,
        }),
        () = signals.next() => Ok(EXIT_SECOND_SIGNAL),
    }
}

/// Runs a gateway on one thread: a gateway has a fraction of a core, and each
/// further thread costs memory.
fn serve_gateway(file: &Path) -> ExitCode {
    let settings = match GatewaySettings::load(file) {
        Ok(settings) => settings,
        Err(err) => return fail(&err),
    };
    let runtime = match tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
    {
        Ok(runtime) => runtime,
        Err(err) => return fail(&Error::System("runtime", err)),
    };
    match runtime.block_on(forward_until_stopped(file, settings)) {
        Ok(code) => ExitCode::from(code),
        Err(err) => fail(&err),
    }
}

async fn forward_until_stopped(file: &Path, settings: GatewaySettings) -> Result<u8, Error> {
    let mut signals = Signals::new().map_err(|err| Error::System("signals", err))?;
    let mut reload = signal(SignalKind::hangup()).map_err(|err| Error::System("signals", err))?;
    let gateway = Gateway::start(settings).await?;
    loop {
        tokio::select! {
            () = signals.next() => break,
            _ = reload.recv() => gateway.on_reload(GatewaySettings::load(file)),
        }
    }
    let leaving = gateway.leave();
    tokio::pin!(leaving);
    loop {
        tokio::select! {
            ended = &mut leaving => return Ok(match ended {
                DrainOutcome::Drained => EXIT_OK,
                DrainOutcome::TimedOut => EXIT_DRAIN_TIMEOUT,
            }),
            () = signals.next() => return Ok(EXIT_SECOND_SIGNAL),
            // Ignores reloads: a gateway keeps the settings that it was started with.
            _ = reload.recv() => {}
        }
    }
}

/// Signals that request a stop of the process.
struct Signals {
    terminate: Signal,
    interrupt: Signal,
}

impl Signals {
    fn new() -> io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    async fn next(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

/// Prints the bound addresses; scripts read the selected ports from this line.
fn print_addresses(instance: &Instance) {
    let addresses = instance.addresses();
    print(&format!(
        "listening caller={} peer={} admin={}",
        addresses.caller, addresses.peer, addresses.admin
    ));
}

/// Prints a line to standard output. A closed reader is not an error.
fn print(text: &str) -> ExitCode {
    let mut out = io::stdout().lock();
    let _ = writeln!(out, "{}", text.trim_end());
    let _ = out.flush();
    ExitCode::from(EXIT_OK)
}

fn fail_usage(reason: &str) -> ExitCode {
    print_error(&format!("{reason}\nsee `savoryvane --help`"));
    ExitCode::from(EXIT_USAGE)
}

fn fail(err: &Error) -> ExitCode {
    print_error(&err.to_string());
    ExitCode::from(match err {
        Error::Unreadable(..) | Error::Settings(..) => EXIT_SETTINGS,
        _ => EXIT_FAILED,
    })
}

fn print_error(text: &str) {
    let _ = writeln!(io::stderr().lock(), "{text}");
}
