//! What is submitted to a scheduler, and what it asks for.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{
    ids::{BackendName, Incarnation, InstanceName, PoolName, RequestId, ZoneName},
    poison::RequestDigest,
};

/// A request as its scheduler knows it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RequestKey {
    /// Instance that took the request from its caller.
    pub instance: InstanceName,
    /// Run of that instance.
    pub incarnation: Incarnation,
    /// Number of the submission within that run.
    pub number: u64,
}

/// One stage of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StageWork {
    /// Service that does it.
    pub service: PoolName,
    /// Indices of the stages whose results it needs.
    pub after: Vec<usize>,
    /// Number of its pieces; none when it is left out.
    pub pieces: u32,
    /// Usual size of one result, in bytes.
    pub result_bytes: u64,
}

/// The stages of one request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Submission {
    /// How the scheduler knows it.
    pub key: RequestKey,
    /// Identifier that backend servers see.
    pub request: RequestId,
    /// Its stages, by number.
    pub stages: Vec<StageWork>,
    /// Key of the pieces that need no results.
    pub piece_key: String,
    /// Time left until its answer should begin, in ms.
    pub goal_left_ms: u64,
    /// Time left until its caller gives up, in ms.
    pub deadline_left_ms: u64,
    /// Time by which its deadline is shorter than is usual, in ms: its caller may
    /// have waited that long already, after a refusal.
    pub missing_ms: u64,
    /// Time that the request itself needs after its stages, in ms.
    pub rest_ms: u64,
    /// Its rank, 0 being the most urgent.
    pub priority: u8,
    /// Availability zone in which its results are wanted.
    pub home_zone: Option<ZoneName>,
    /// Pieces that another scheduler has had done before it handed it over.
    pub done: Vec<DonePiece>,
    /// What it asks for, under whichever identifier.
    pub digest: RequestDigest,
    /// Backend servers that have ended under it, as far as is known.
    pub ends: u32,
}

/// A piece that is done, as one scheduler hands it over to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DonePiece {
    /// Number of the stage.
    pub stage: usize,
    /// Number of the piece.
    pub piece: u32,
    /// The server that keeps its result, unless that is not needed any more.
    pub kept: Option<(BackendName, ResultRef)>,
}

/// A result that a backend server keeps.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResultRef {
    /// Name under which it can be fetched.
    pub handle: String,
    /// Availability zone of the server that keeps it.
    pub zone: ZoneName,
    /// Its usual size, in bytes.
    pub bytes: u64,
}

/// Why stages were not run to their end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refusal {
    /// They would not be done in time.
    TooBusy,
    /// Their time has run out.
    TooLate,
    /// No backend server of a service takes pieces.
    NoServer,
    /// Pieces failed too often.
    Failed,
    /// Backend servers end under it.
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
    /// All is done; these are the results that no other stage has used.
    Ready(Vec<ResultRef>),
    /// Another scheduler goes on.
    Moved {
        /// What is done.
        done: Vec<DonePiece>,
        /// The instance that schedules now, as far as is known.
        to: Option<InstanceName>,
    },
    /// Nothing more is done.
    Refused {
        /// Why.
        reason: Refusal,
        /// When another try makes sense, in ms.
        retry_after_ms: u64,
        /// Estimated time to the end of the stages, in ms.
        forecast_ms: u64,
    },
}

impl StageOutcome {
    /// Returns the refusal of a request under which servers end. When it is tried again
    /// is told by whoever counts them, not by how busy servers are.
    pub fn ends_servers() -> Self {
        Self::Refused {
            reason: Refusal::EndsServers,
            retry_after_ms: 0,
            forecast_ms: 0,
        }
    }
}

/// Number of a call of a scheduler.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CallId(pub u64);

/// What a piece is made of.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ItemInput {
    /// The request's key for pieces.
    Key(String),
    /// Results of earlier stages.
    Results(Vec<String>),
}

/// One piece of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallItem {
    /// Identifier of the request.
    pub request: RequestId,
    /// What the request asks for.
    pub digest: RequestDigest,
    /// Number of the stage.
    pub stage: usize,
    /// Number of the piece.
    pub piece: u32,
    /// Time after which it is of no use, in ms.
    pub left_ms: u64,
    /// What it is made of.
    pub input: ItemInput,
}

/// A call of a backend server with pieces of several requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StageCall {
    /// Number of the call.
    pub id: CallId,
    /// Service of the server.
    pub service: PoolName,
    /// The server.
    pub server: BackendName,
    /// Its address.
    pub addr: SocketAddr,
    /// Pieces, in the order in which their ends are reported.
    pub items: Vec<CallItem>,
    /// Time after which the call is given up, in ms.
    pub timeout_ms: u64,
}

/// What a scheduler asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StageAction {
    /// Call a backend server.
    Call(StageCall),
    /// Tell a backend server that results are not needed any more.
    Free {
        /// The server.
        server: BackendName,
        /// Its address.
        addr: SocketAddr,
        /// The results.
        handles: Vec<String>,
    },
    /// Try to connect to a backend server until it can be reached.
    Probe {
        /// The server.
        server: BackendName,
        /// Its address.
        addr: SocketAddr,
    },
    /// Tell whoever submitted a request how its stages ended.
    Finish {
        /// The request.
        key: RequestKey,
        /// How they ended.
        outcome: StageOutcome,
    },
}
