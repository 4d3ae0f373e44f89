//! Messages between entry instances.
//!
//! A frame is a length (4 bytes, big-endian), a kind (2 bytes, big-endian) and a
//! body of that length less two, encoded with `bincode`. A kind that is not known
//! is skipped, so that a newer instance may send more kinds than an older one
//! knows. A body may be longer than what is read of it, so that fields may be
//! added at its end; any other change of a message takes a new kind.
//!
//! - `POST /peer/v1/gossip`: a request stream that stays open and carries frames
//!   one way; [`Hello`] comes first.
//! - `POST /peer/v1/request`: one frame each way.

mod limits;
mod poison;
mod routing;
mod server_limits;

use bincode::config::{Configuration, Limit, LittleEndian, Varint};
pub use poison::{CrashQuery, CrashState, KnownCrashes, PermitQuery, PermitReturn};
use quick_error::quick_error;
pub use routing::{
    KnownState, ListedPeer, RoutingQuery, RoutingState, SchedulerQuery, SchedulerState,
};
pub use savoryvane_core::forwarding::{GrantQuery, GrantState};
use savoryvane_core::ids::{
    IdempotencyKey, Incarnation, InstanceName, Offset, PipelineName, RequestId, WorkspaceName,
};
pub use savoryvane_core::poison::{CrashReport, PermitState};
pub use savoryvane_core::{
    digest::{AgedDigest, Digest, DigestBatch, Leaver, LeavingBackend, LeavingNotice, ZoneDigest},
    quota::{Demand, Grant, QuotaClaimant, Rate, UsageGrant, UsageReport, WorkspaceKey},
    stages::{RequestKey, StageOutcome, Submission},
};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
pub use server_limits::{LimitQuery, LimitState};

use limits::is_within_limits;

/// Version of the protocol that this code speaks.
pub const PROTOCOL_VERSION: u16 = 1;
/// Path of the gossip stream.
pub const GOSSIP_PATH: &str = "/peer/v1/gossip";
/// Path of requests.
pub const REQUEST_PATH: &str = "/peer/v1/request";
/// Header with the name of the sending instance.
pub const FROM: &str = "x-from";
/// Header with the sender's incarnation, as 16 hexadecimal digits.
pub const FROM_INCARNATION: &str = "x-from-incarnation";
/// Header with the name of the instance that is meant.
pub const TO: &str = "x-to";
/// Header with the incarnation that is meant; another one refuses with 421.
pub const TO_INCARNATION: &str = "x-to-incarnation";
/// Header with the time that the sender waits for the answer, in ms.
pub const WAIT_MS: &str = "x-wait-ms";

/// Longest frame, its length field not counted.
pub const MAX_FRAME_BYTES: usize = 1 << 20;
/// Most entries of a list in a message.
pub const MAX_ENTRIES: usize = 16_384;
/// Most bytes of a record, an input or an answer in a message.
pub const MAX_PAYLOAD_BYTES: usize = 768 << 10;
/// Longest request identifier, idempotency key or ticket, in bytes.
pub const MAX_KEY_BYTES: usize = 256;

const LENGTH_BYTES: usize = 4;
const KIND_BYTES: usize = 2;
const CODEC: Configuration<LittleEndian, Varint, Limit<MAX_FRAME_BYTES>> =
    bincode::config::standard().with_limit::<MAX_FRAME_BYTES>();

quick_error! {
    /// Why bytes are not a frame.
    #[derive(Debug, PartialEq, Eq)]
    pub enum FrameError {
        /// The length is over the limit or too short for a kind.
        Length(bytes: usize) {
            display("frame of {} bytes", bytes)
        }
        /// The body is not what its kind says.
        Malformed(kind: u16) {
            display("malformed message of kind {}", kind)
        }
        /// The message is well-formed but breaks a limit.
        OverLimit(kind: u16) {
            display("message of kind {} over its limits", kind)
        }
    }
}

/// Result of encoding or decoding a frame.
pub type Result<T> = std::result::Result<T, FrameError>;

/// Opens a gossip stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// Highest version of the protocol that the sender speaks.
    pub version: u16,
    /// Name of the sender.
    pub instance: InstanceName,
    /// Its incarnation.
    pub incarnation: Incarnation,
}

/// Newest position of the configuration stream that the sender knows of.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigHead {
    /// Offset that the next append will get.
    pub next: Offset,
    /// Time since the log said so, in ms.
    pub age_ms: u32,
}

/// One record of the configuration stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayedRecord {
    /// Offset of the record.
    pub offset: Offset,
    /// Time of the append by the log's clock, in ms since the Unix epoch.
    pub appended_at_ms: u64,
    /// Payload as the log keeps it.
    pub payload: Vec<u8>,
}

/// Records of the configuration stream, in the log's order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigRecords {
    /// Newest position that the sender knows of.
    pub head: ConfigHead,
    /// Records without a gap.
    pub records: Vec<RelayedRecord>,
}

/// Asks for records of the configuration stream from an offset on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigRecordsQuery {
    /// First offset that is wanted.
    pub from: Offset,
}

/// Asks for one part of the receiver's configuration state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigSnapshotQuery {
    /// Position of the state whose further parts are wanted; none for the first.
    pub covers: Option<Offset>,
    /// Number of the part, from 0.
    pub part: u32,
}

/// One part of a configuration state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigSnapshotPart {
    /// Next offset after the records that the state has applied.
    pub covers: Offset,
    /// Number of this part, from 0.
    pub part: u32,
    /// Number of parts.
    pub parts: u32,
    /// Time since the sender last heard that its state is the newest, in ms.
    pub age_ms: u64,
    /// The part, as a checkpoint has it.
    pub payload: Vec<u8>,
}

/// Asks for the answer that was given under an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerQuery {
    /// Workspace of the key.
    pub workspace: WorkspaceName,
    /// The key.
    pub key: IdempotencyKey,
    /// Longest time to wait for a request in flight, in ms.
    pub wait_ms: u64,
}

/// What an instance knows of a request under a key or ticket.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AnswerState {
    /// It knows nothing of it.
    Absent,
    /// It is still in flight.
    InFlight,
    /// It ended; the JSON body of the answer.
    Answered(Vec<u8>),
}

/// Asks the instance that issued a ticket to run its request, or for the answer
/// when it has run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TicketRun {
    /// The ticket.
    pub ticket: String,
    /// Workspace that presents it.
    pub workspace: WorkspaceName,
    /// Pipeline to run.
    pub pipeline: PipelineName,
    /// Identifier of the request.
    pub request: RequestId,
    /// Time left for the request, in ms.
    pub deadline_ms: u64,
    /// JSON of the request's body.
    pub body: Vec<u8>,
}

/// Claims that the receiver appends in its next batch. What became of them is
/// read from the log, never from the answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimAppend {
    /// Claims in the form that the log keeps.
    pub claims: Vec<Vec<u8>>,
}

/// Offset of the batch, as the log answered the append.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimAppended {
    /// Offset of the batch's record.
    pub offset: Offset,
}

/// Says that a message was taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Taken;

macro_rules! messages {
    ($($(#[$doc:meta])* $number:literal $variant:ident($body:ty),)+) => {
        /// A message between instances.
        #[derive(Clone, Debug, PartialEq)]
        pub enum Message {
            $($(#[$doc])* $variant($body),)+
        }

        impl Message {
            /// Returns the number that stands for the kind of message in a frame.
            pub fn kind(&self) -> u16 {
                match self {
                    $(Self::$variant(_) => $number,)+
                }
            }

            fn encode_body(&self) -> Option<Vec<u8>> {
                match self {
                    $(Self::$variant(body) => encode_body(body),)+
                }
            }

            fn decode_body(kind: u16, bytes: &[u8]) -> Option<Result<Self>> {
                match kind {
                    $($number => Some(decode_body::<$body>(kind, bytes).map(Self::$variant)),)+
                    _ => None,
                }
            }
        }
    };
}

messages! {
    /// Opens a gossip stream.
    1 Hello(Hello),
    /// Digests of instances of the zone.
    2 Digests(DigestBatch),
    /// Says that something is leaving.
    3 Leaving(LeavingNotice),
    /// Accounts of other zones, or of the sender's to another zone.
    4 Zones(Vec<ZoneDigest>),
    /// Demand for workspaces; a request.
    5 UsageReport(UsageReport),
    /// Answer to a report of demand.
    6 UsageGrant(UsageGrant),
    /// Newest position of the configuration stream.
    7 ConfigHead(ConfigHead),
    /// Records of the configuration stream, relayed or asked for.
    8 ConfigRecords(ConfigRecords),
    /// Asks for records; a request.
    9 ConfigRecordsQuery(ConfigRecordsQuery),
    /// Asks for a part of the configuration state; a request.
    10 ConfigSnapshotQuery(ConfigSnapshotQuery),
    /// Answer to that request.
    11 ConfigSnapshotPart(ConfigSnapshotPart),
    /// Asks for an answer; a request.
    12 AnswerQuery(AnswerQuery),
    /// Answer to a query for an answer and to a run of a ticket.
    13 AnswerState(AnswerState),
    /// Asks for a run of a ticket; a request.
    14 TicketRun(TicketRun),
    /// Claims to append in the receiver's next batch; a request.
    15 ClaimAppend(ClaimAppend),
    /// Answer to that request.
    16 ClaimAppended(ClaimAppended),
    /// The receiver does not serve this request now.
    17 Declined(Declined),
    /// Stages of a request to schedule; a request.
    18 StageSubmission(Submission),
    /// Answer to that request, once they have ended.
    19 StageOutcome(StageOutcome),
    /// Results of a request that are not needed any more; a request.
    20 StageRelease(RequestKey),
    /// Answer to a request that needs no other.
    21 Taken(Taken),
    /// Asks who schedules; a request.
    26 SchedulerQuery(SchedulerQuery),
    /// Answer to that request.
    36 SchedulerState(SchedulerState),
    /// Asks for routes and servers; a request.
    37 RoutingQuery(RoutingQuery),
    /// Answer to that request.
    38 RoutingState(RoutingState),
    /// Tells of servers that ended under requests, and asks for others; a request.
    30 CrashQuery(CrashQuery),
    /// Answer to that request.
    31 CrashState(CrashState),
    /// Asks for the permit to run a suspect; a request.
    32 PermitQuery(PermitQuery),
    /// Answer to that request.
    33 PermitState(PermitState),
    /// Gives a permit back; a request.
    34 PermitReturn(PermitReturn),
    /// Servers that ended under requests of pipelines.
    35 Ends(Vec<CrashReport>),
    /// Tells of limits that servers name, and asks for others; a request.
    39 LimitQuery(LimitQuery),
    /// Answer to that request.
    40 LimitState(LimitState),
    /// Asks for a grant to send to a server that names a limit; a request.
    41 GrantQuery(GrantQuery),
    /// Answer to that request.
    42 GrantState(GrantState),
}

/// Why a request gets no other answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Declined {
    /// The receiver does not have what is asked for.
    Absent,
    /// The receiver is not the one to ask.
    NotMine,
    /// The receiver does not know the request.
    Unsupported,
}

fn encode_body<T: Serialize>(body: &T) -> Option<Vec<u8>> {
    bincode::serde::encode_to_vec(body, CODEC).ok()
}

fn decode_body<T: DeserializeOwned>(kind: u16, bytes: &[u8]) -> Result<T> {
    bincode::serde::decode_from_slice(bytes, CODEC)
        .map(|(body, _read)| body)
        .map_err(|_| FrameError::Malformed(kind))
}

/// Encodes a message as a frame.
///
/// # Errors
///
/// Fails when the message breaks a limit.
pub fn encode(message: &Message) -> Result<Vec<u8>> {
    let kind = message.kind();
    let body = message.encode_body().ok_or(FrameError::OverLimit(kind))?;
    let length = body.len() + KIND_BYTES;
    if length > MAX_FRAME_BYTES || !is_within_limits(message) {
        return Err(FrameError::OverLimit(kind));
    }
    let mut frame = Vec::with_capacity(LENGTH_BYTES + length);
    frame.extend_from_slice(&(length as u32).to_be_bytes());
    frame.extend_from_slice(&kind.to_be_bytes());
    frame.extend_from_slice(&body);
    Ok(frame)
}

/// Collects bytes of a stream and takes whole messages off their front.
#[derive(Debug, Default)]
pub struct FrameReader {
    buffer: Vec<u8>,
    skipped: u64,
}

impl FrameReader {
    /// Creates a reader that has seen nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds bytes as they came off the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns how many messages of unknown kind were skipped.
    pub fn skipped(&self) -> u64 {
        self.skipped
    }

    /// Tells whether every byte was taken, as it must be where a stream ends.
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Takes the next whole message of a known kind.
    ///
    /// # Errors
    ///
    /// Fails on bytes that are not a frame; the stream is of no use then.
    pub fn next_message(&mut self) -> Result<Option<Message>> {
        loop {
            let Some(end) = self.frame_end()? else {
                return Ok(None);
            };
            let decoded = decode_frame(&self.buffer[LENGTH_BYTES..end]);
            self.buffer.drain(..end);
            match decoded {
                Some(message) => return message.map(Some),
                None => self.skipped += 1,
            }
        }
    }

    fn frame_end(&self) -> Result<Option<usize>> {
        let Some((head, rest)) = self.buffer.split_first_chunk::<LENGTH_BYTES>() else {
            return Ok(None);
        };
        let length = u32::from_be_bytes(*head) as usize;
        if !(KIND_BYTES..=MAX_FRAME_BYTES).contains(&length) {
            return Err(FrameError::Length(length));
        }
        Ok((rest.len() >= length).then_some(LENGTH_BYTES + length))
    }
}

fn decode_frame(frame: &[u8]) -> Option<Result<Message>> {
    let (head, body) = frame.split_first_chunk::<KIND_BYTES>()?;
    let kind = u16::from_be_bytes(*head);
    let message = Message::decode_body(kind, body)?;
    Some(message.and_then(|message| {
        if is_within_limits(&message) {
            Ok(message)
        } else {
            Err(FrameError::OverLimit(kind))
        }
    }))
}
