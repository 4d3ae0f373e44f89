//! The error type, with the exit code and the next step for each error.

use std::{io, net::SocketAddr, path::PathBuf};

use http::StatusCode;
use quick_error::quick_error;
use savoryvane_check::Problems;
use savoryvane_core::ids::{ChangeId, InstanceName};
use savoryvane_wire::admin::{AdminError, Reach};

use crate::table::printable;

/// Result of an operation of the command line.
pub type Result<T> = std::result::Result<T, Error>;

/// Exit codes of `savoryvanectl`; its help and the operators' page list them too.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Exit {
    /// Done.
    Done = 0,
    /// Any other failure, such as a file that can't be read.
    Failed = 1,
    /// The command line is wrong.
    Usage = 2,
    /// The intent or plan is wrong; nothing was changed.
    Invalid = 3,
    /// No instance could be reached; nothing was changed.
    Unreachable = 4,
    /// Refused because of a conflict; nothing was changed.
    Conflict = 5,
    /// The credential was refused.
    Unauthorized = 6,
    /// It is unknown whether a confirm or drain took effect; it may be repeated.
    Unknown = 7,
    /// A change is accepted, but not yet known to be in force on every instance.
    NotEverywhere = 8,
    /// The operator declined the plan.
    Declined = 9,
}

quick_error! {
    /// Why a command failed.
    #[derive(Debug)]
    #[non_exhaustive]
    pub enum Error {
        /// The command line is wrong.
        Usage(reason: String) {
            display("{reason}")
        }
        /// A file can't be read.
        Read(path: PathBuf, err: io::Error) {
            display("{}: can't be read: {err}", path.display())
            source(err)
        }
        /// A file can't be written.
        Write(path: PathBuf, err: io::Error) {
            display("{}: can't be written: {err}", path.display())
            source(err)
        }
        /// Standard output or input failed.
        Terminal(err: io::Error) {
            from()
            display("standard input or output: {err}")
            source(err)
        }
        /// No log line names a request.
        NoSuchRequest(request: String) {
            display("no log line names the request {}", printable(request))
        }
        /// A credential file has no usable credential.
        Credential(path: PathBuf) {
            display("{}: the first line is not a credential of printable ASCII characters", path.display())
        }
        /// The intent is invalid; all its problems are listed.
        Intent(problems: Problems) {
            display("{problems}")
        }
        /// A plan file does not hold a plan.
        NotAPlan(path: PathBuf, reason: String) {
            display("{}: not a plan: {reason}", path.display())
        }
        /// The listed addresses did not respond.
        Unreachable(failures: Vec<(SocketAddr, String)>) {
            display("no answer from {}", list_failures(failures))
        }
        /// An instance refused the request.
        Refused(addr: SocketAddr, status: StatusCode, body: AdminError) {
            display("refused by {addr} ({}): {}", status.as_u16(), printable(&body.error))
        }
        /// A response is not one of the operators' interface.
        BadAnswer(addr: SocketAddr, status: StatusCode, reason: String) {
            display("{addr} gave an answer that is not of the operators' interface (status {}): {reason}", status.as_u16())
        }
        /// A drain was sent, but no response arrived.
        DrainUnknown(addr: SocketAddr, reason: String) {
            display("{addr} may be leaving or not: {reason}")
        }
        /// A confirm was sent, but no response reported its result.
        Unknown(id: ChangeId, reason: String) {
            display("change {id} is not known to be in force: {}", printable(reason))
        }
        /// A change is accepted, but not yet known to be in force on every instance.
        NotEverywhere(id: ChangeId, reach: Reach) {
            display("change {id} is accepted, but in force on {} of {} listed instances only", reach.in_force, reach.listed)
        }
        /// None of the given addresses belongs to the instance to drain.
        NotFound(instance: InstanceName) {
            display("none of the given addresses is instance {instance}")
        }
        /// The operator declined the plan.
        Declined {
            display("not confirmed; nothing was changed")
        }
    }
}

fn list_failures(failures: &[(SocketAddr, String)]) -> String {
    let parts: Vec<_> = failures
        .iter()
        .map(|(addr, reason)| format!("{addr} ({reason})"))
        .collect();
    parts.join(", ")
}

impl Error {
    /// Returns the exit code of the process.
    pub fn exit(&self) -> Exit {
        match self {
            Self::Usage(_) => Exit::Usage,
            Self::Read(..)
            | Self::Write(..)
            | Self::Terminal(_)
            | Self::Credential(_)
            | Self::NoSuchRequest(_) => Exit::Failed,
            Self::Intent(_) | Self::NotAPlan(..) => Exit::Invalid,
            Self::Unreachable(_) => Exit::Unreachable,
            Self::Refused(_, status, _) => refusal_exit(*status),
            Self::BadAnswer(..) => Exit::Failed,
            Self::Unknown(..) | Self::DrainUnknown(..) => Exit::Unknown,
            Self::NotEverywhere(..) => Exit::NotEverywhere,
            Self::NotFound(_) => Exit::Conflict,
            Self::Declined => Exit::Declined,
        }
    }

    /// Returns what the operator should do next.
    pub fn next_step(&self) -> String {
        let step = match self {
            Self::Usage(_) => "see `savoryvanectl --help`",
            Self::Read(..) => "check the path, the permissions and the size",
            Self::Write(..) => "check the directory and its permissions",
            Self::Terminal(_) => "check where input comes from and output goes to",
            Self::NoSuchRequest(_) => "give the lines of all instances from that time",
            Self::Credential(_) => "put the operators' credential on the file's first line",
            Self::Intent(_) => "correct the intent and plan again; nothing was sent",
            Self::NotAPlan(..) => "make the plan again with `savoryvanectl plan -f INTENT -o PLAN`",
            Self::Unreachable(_) => {
                "check the addresses in --admin and that the instances run; nothing was changed"
            }
            Self::Refused(_, _, body) => return printable(&body.next_step),
            Self::BadAnswer(..) => {
                "check that the address is an operator listener (`admin` in the \
                 instance's settings) of the same version"
            }
            Self::Unknown(..) => {
                "run the same confirm again, on any instance: the change takes effect once"
            }
            Self::DrainUnknown(..) => "look at `savoryvanectl status`; a drain may be repeated",
            Self::NotEverywhere(..) => {
                "look at `savoryvanectl instances`; an instance that is cut off follows \
                 when it is back, the change is not lost"
            }
            Self::NotFound(_) => "give the instance's own operator address in --admin",
            Self::Declined => "run the confirm again when the plan is right, or plan again",
        };
        step.to_owned()
    }
}

fn refusal_exit(status: StatusCode) -> Exit {
    match status {
        StatusCode::UNAUTHORIZED | StatusCode::FORBIDDEN => Exit::Unauthorized,
        StatusCode::CONFLICT => Exit::Conflict,
        StatusCode::BAD_REQUEST
        | StatusCode::UNPROCESSABLE_ENTITY
        | StatusCode::PAYLOAD_TOO_LARGE => Exit::Invalid,
        _ => Exit::Failed,
    }
}
