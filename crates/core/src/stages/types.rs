//! The inputs and outputs of the stage scheduler.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{
    ids::{BackendName, Incarnation, InstanceName, PoolName, RequestId, ZoneName},
    poison::RequestDigest,
};

/// Identifies a request at its scheduler.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RequestKey {
    /// Instance that accepted the request from its caller.
    pub instance: InstanceName,
    /// Run of that instance.
    pub incarnation: Incarnation,
    /// Sequence number of the submission within that run.
    pub number: u64,
}

/// One stage of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StageWork {
    /// Service that runs it.
    pub service: PoolName,
    /// Indices of the stages whose results it needs.
    pub after: Vec<usize>,
    /// Number of its pieces; 0 if the stage is skipped.
    pub pieces: u32,
    /// Typical size of one result, in bytes.
    pub result_bytes: u64,
}

/// The stages of one request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Submission {
    /// Identifies the request at the scheduler.
    pub key: RequestKey,
    /// Identifier that backend servers see.
    pub request: RequestId,
    /// Stages of the request, by index.
    pub stages: Vec<StageWork>,
    /// Input of the pieces of stages that need no results.
    pub piece_key: String,
    /// Time left until the response should begin, in ms.
    pub goal_left_ms: u64,
    /// Time left until the caller gives up, in ms.
    pub deadline_left_ms: u64,
    /// Difference between the usual deadline and the caller's, in ms. A caller that
    /// retries after a refusal has a shorter deadline left.
    pub missing_ms: u64,
    /// Time that the request itself needs after its stages, in ms.
    pub rest_ms: u64,
    /// Priority rank; 0 is the most urgent.
    pub priority: u8,
    /// Availability zone in which the final results are needed.
    pub home_zone: Option<ZoneName>,
    /// Pieces that a previous scheduler completed before it handed the request over.
    pub done: Vec<DonePiece>,
    /// Digest of the request's content, independent of its identifier.
    pub digest: RequestDigest,
    /// Number of backend servers known to have crashed under it.
    pub ends: u32,
}

impl Submission {
    /// Returns the number of pieces of all its stages.
    pub fn piece_count(&self) -> u64 {
        let pieces = self.stages.iter().map(|stage| u64::from(stage.pieces));
        pieces.sum()
    }
}

/// A completed piece, as handed over from one scheduler to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DonePiece {
    /// Index of the stage.
    pub stage: usize,
    /// Index of the piece.
    pub piece: u32,
    /// The server that stores its result; `None` if the result is no longer needed.
    pub kept: Option<(BackendName, ResultRef)>,
}

/// A result stored by a backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResultRef {
    /// Handle with which it can be fetched.
    pub handle: String,
    /// Availability zone of the server that stores it.
    pub zone: ZoneName,
    /// Typical size, in bytes.
    pub bytes: u64,
}

/// The reason why stages were not completed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refusal {
    /// They would not be completed in time.
    TooBusy,
    /// Their deadline has passed.
    TooLate,
    /// A service has no available backend server.
    NoServer,
    /// Pieces failed too often.
    Failed,
    /// Backend servers crash under the request.
    EndsServers,
}

impl Refusal {
    /// Returns the name used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::TooBusy => "stages_too_busy",
            Self::TooLate => "stages_too_late",
            Self::NoServer => "stages_no_server",
            Self::Failed => "stages_failed",
            Self::EndsServers => "ends_servers",
        }
    }
}

/// How the stages of a request ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StageOutcome {
    /// All stages are completed. Holds the results that no other stage consumes.
    Ready(Vec<ResultRef>),
    /// The request is handed over to another scheduler.
    Moved {
        /// Completed pieces.
        done: Vec<DonePiece>,
        /// The instance that is now the scheduler, if known.
        to: Option<InstanceName>,
    },
    /// The stages are refused or abandoned.
    Refused {
        /// The reason.
        reason: Refusal,
        /// Time after which the caller should retry, in ms.
        retry_after_ms: u64,
        /// Estimated time until the stages would be completed, in ms.
        forecast_ms: u64,
    },
}

impl StageOutcome {
    /// Returns the refusal of a request under which servers crash. Its retry time comes
    /// from the crash tracker rather than from the load of the servers.
    pub fn ends_servers() -> Self {
        Self::Refused {
            reason: Refusal::EndsServers,
            retry_after_ms: 0,
            forecast_ms: 0,
        }
    }
}

/// Identifies a call within a scheduler.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CallId(pub u64);

/// The input of a piece.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ItemInput {
    /// The request's piece key.
    Key(String),
    /// Handles of the results of earlier stages.
    Results(Vec<String>),
}

/// One piece in a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallItem {
    /// Identifier of the request.
    pub request: RequestId,
    /// Digest of the request's content.
    pub digest: RequestDigest,
    /// Index of the stage.
    pub stage: usize,
    /// Index of the piece.
    pub piece: u32,
    /// Time left until its result is useless, in ms.
    pub left_ms: u64,
    /// Input of the piece.
    pub input: ItemInput,
}

/// A call to a backend server with pieces of several requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StageCall {
    /// Identifies the call.
    pub id: CallId,
    /// Service of the server.
    pub service: PoolName,
    /// Server to call.
    pub server: BackendName,
    /// Address of the server.
    pub addr: SocketAddr,
    /// Pieces of the call; outcomes are reported in the same order.
    pub items: Vec<CallItem>,
    /// Time after which the call is aborted, in ms.
    pub timeout_ms: u64,
}

/// An action that the scheduler's owner has to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StageAction {
    /// Calls a backend server.
    Call(StageCall),
    /// Frees results that are no longer needed at a backend server.
    Free {
        /// Server that stores the results.
        server: BackendName,
        /// Address of the server.
        addr: SocketAddr,
        /// Handles of the results.
        handles: Vec<String>,
    },
    /// Tries to connect to a backend server until it is reachable.
    Probe {
        /// Server to probe.
        server: BackendName,
        /// Address of the server.
        addr: SocketAddr,
    },
    /// Reports to the submitter how the stages of a request ended.
    Finish {
        /// Identifies the request.
        key: RequestKey,
        /// How the stages ended.
        outcome: StageOutcome,
    },
}
