//! Messages between entry instances.
//!
//! A frame is a length (4 bytes, big-endian), a kind (2 bytes, big-endian) and a
//! body of the length minus two bytes, encoded with `bincode`. The receiver skips
//! unknown kinds, so that a newer instance may send kinds that an older one does
//! not know. It ignores trailing bytes of a body, so that fields may be added at
//! the end; any other change to a message needs a new kind.
//!
//! - `POST /peer/v1/gossip`: a long-lived request stream that carries frames in
//!   one direction; [`Hello`] is the first.
//! - `POST /peer/v1/request`: one frame in each direction.
//! - `POST /peer/v1/tunnel`: the bytes of a connection to a backend server in each direction,
//!   without frames. Status 200 once the connection is established, 502 if the server refused it,
//!   504 if the server did not accept it in time, 503 if the receiver does not relay it.

mod limits;
mod poison;
mod routing;
mod server_limits;
mod streams;

use bincode::config::{Configuration, Limit, LittleEndian, Varint};
pub use poison::{CrashQuery, CrashState, KnownCrashes, PermitQuery, PermitReturn};
use quick_error::quick_error;
pub use routing::{
    KnownState, ListedLayout, ListedPeer, RoutingQuery, RoutingState, SchedulerQuery,
    SchedulerState,
};
pub use savoryvane_core::forwarding::{GrantQuery, GrantState, StreamKnowledge, StreamRecord};
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
pub use streams::{MAX_STREAM_RECORDS, StreamQuery};

use limits::is_within_limits;

/// Protocol version that this code implements.
pub const PROTOCOL_VERSION: u16 = 1;
/// Path of the gossip stream.
pub const GOSSIP_PATH: &str = "/peer/v1/gossip";
/// Path for requests.
pub const REQUEST_PATH: &str = "/peer/v1/request";
/// Path for connections to backend servers.
pub const TUNNEL_PATH: &str = "/peer/v1/tunnel";
/// Header with the address of the backend server that a tunnel leads to.
pub const SERVER: &str = "x-server";
/// Header with the name of the sending instance.
pub const FROM: &str = "x-from";
/// Header with the sender's incarnation, as 16 hexadecimal digits.
pub const FROM_INCARNATION: &str = "x-from-incarnation";
/// Header with the name of the intended receiver.
pub const TO: &str = "x-to";
/// Header with the incarnation of the intended receiver; any other returns 421.
pub const TO_INCARNATION: &str = "x-to-incarnation";
/// Header with the time that the sender waits for the response, in ms.
pub const WAIT_MS: &str = "x-wait-ms";

/// Longest frame, in bytes, without its length field.
pub const MAX_FRAME_BYTES: usize = 2 << 20;
/// Maximum number of entries of a list in a message.
pub const MAX_ENTRIES: usize = 16_384;
/// Largest record, input or answer in a message, in bytes: more than the largest body that callers
/// may send by default.
pub const MAX_PAYLOAD_BYTES: usize = 1_536 << 10;
/// Longest request identifier, idempotency key or ticket, in bytes.
pub const MAX_KEY_BYTES: usize = 256;
/// Longest value of a caller's header in a message, in bytes: the longest head that a gateway reads.
pub const MAX_HEADER_VALUE_BYTES: usize = 64 << 10;
/// Most pieces of a request's stages.
pub const MAX_PIECES: u64 = MAX_ENTRIES as u64;

const LENGTH_BYTES: usize = 4;
const KIND_BYTES: usize = 2;
const CODEC: Configuration<LittleEndian, Varint, Limit<MAX_FRAME_BYTES>> =
    bincode::config::standard().with_limit::<MAX_FRAME_BYTES>();

quick_error! {
    /// Why a frame can't be encoded or decoded.
    #[derive(Debug, PartialEq, Eq)]
    pub enum FrameError {
        /// The length exceeds the limit or is too short for a kind.
        Length(bytes: usize) {
            display("frame length of {} bytes is out of range", bytes)
        }
        /// The body does not decode as a message of its kind.
        Malformed(kind: u16) {
            display("malformed message of kind {}", kind)
        }
        /// The message is well-formed but exceeds a limit.
        OverLimit(kind: u16) {
            display("message of kind {} exceeds its limits", kind)
        }
    }
}

/// Result of encoding or decoding a frame.
pub type Result<T> = std::result::Result<T, FrameError>;

/// Opens a gossip stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// Highest protocol version that the sender supports.
    pub version: u16,
    /// Name of the sender.
    pub instance: InstanceName,
    /// Its incarnation.
    pub incarnation: Incarnation,
}

/// Newest position of the configuration stream that the sender knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigHead {
    /// Offset that the next append will get.
    pub next: Offset,
    /// Time since the log reported it, in ms.
    pub age_ms: u32,
}

/// One record of the configuration stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayedRecord {
    /// Offset of the record.
    pub offset: Offset,
    /// Time of the append by the log's clock, in ms since the Unix epoch.
    pub appended_at_ms: u64,
    /// Payload as stored in the log.
    pub payload: Vec<u8>,
}

/// Records of the configuration stream, in the log's order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigRecords {
    /// Newest position that the sender knows.
    pub head: ConfigHead,
    /// Records without a gap.
    pub records: Vec<RelayedRecord>,
}

/// Requests the records of the configuration stream from an offset on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigRecordsQuery {
    /// First offset to return.
    pub from: Offset,
}

/// Requests one part of the receiver's configuration state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigSnapshotQuery {
    /// Position of the state whose next parts are requested; `None` for the first part.
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
    /// Time since the sender last learned that its state is the newest, in ms.
    pub age_ms: u64,
    /// The part, encoded as in a checkpoint.
    pub payload: Vec<u8>,
}

/// Requests the answer stored under an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerQuery {
    /// Workspace of the key.
    pub workspace: WorkspaceName,
    /// The idempotency key.
    pub key: IdempotencyKey,
    /// Maximum time to wait for a request in flight, in ms.
    pub wait_ms: u64,
}

/// State of a request with an idempotency key or ticket on an instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AnswerState {
    /// The instance does not know the request.
    Absent,
    /// The request is in flight.
    InFlight,
    /// The request has ended; holds the JSON body of the answer.
    Answered(Vec<u8>),
}

/// Requests that the instance that issued a ticket runs its request, or returns
/// the answer if the request has already run.
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
    /// Body of the request, in JSON.
    pub body: Vec<u8>,
}

/// Claims that the receiver appends in its next batch. The sender learns the
/// result from the log, never from the response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimAppend {
    /// Claims, encoded as in the log.
    pub claims: Vec<Vec<u8>>,
}

/// Offset of the batch, as returned by the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimAppended {
    /// Offset of the batch's record.
    pub offset: Offset,
}

/// Acknowledges a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ack;

macro_rules! messages {
    ($($(#[$doc:meta])* $number:literal $variant:ident($body:ty),)+) => {
        /// A message between instances.
        #[derive(Clone, Debug, PartialEq)]
        pub enum Message {
            $($(#[$doc])* $variant($body),)+
        }

        impl Message {
            /// Returns the kind number of the message in a frame.
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
    /// Digests of instances of one zone.
    2 Digests(DigestBatch),
    /// Announces that an instance or backend server is leaving.
    3 Leaving(LeavingNotice),
    /// Digests of other zones, or of the sender's zone when sent to another zone.
    4 Zones(Vec<ZoneDigest>),
    /// Request that reports the demand of workspaces.
    5 UsageReport(UsageReport),
    /// Response to a usage report.
    6 UsageGrant(UsageGrant),
    /// Newest position of the configuration stream.
    7 ConfigHead(ConfigHead),
    /// Records of the configuration stream, relayed or sent in response to a query.
    8 ConfigRecords(ConfigRecords),
    /// Request for configuration records.
    9 ConfigRecordsQuery(ConfigRecordsQuery),
    /// Request for a part of the configuration state.
    10 ConfigSnapshotQuery(ConfigSnapshotQuery),
    /// Response to [`ConfigSnapshotQuery`].
    11 ConfigSnapshotPart(ConfigSnapshotPart),
    /// Request for a stored answer.
    12 AnswerQuery(AnswerQuery),
    /// Response to [`AnswerQuery`] and to [`TicketRun`].
    13 AnswerState(AnswerState),
    /// Request to run the pipeline request of a ticket.
    14 TicketRun(TicketRun),
    /// Request to append claims in the receiver's next batch.
    15 ClaimAppend(ClaimAppend),
    /// Response to [`ClaimAppend`].
    16 ClaimAppended(ClaimAppended),
    /// Response of a receiver that does not serve the request now.
    17 Declined(Declined),
    /// Request to schedule the stages of a pipeline request.
    18 StageSubmission(Submission),
    /// Response to a stage submission, sent once the stages have ended.
    19 StageOutcome(StageOutcome),
    /// Request to release results of a pipeline request that are no longer needed.
    20 StageRelease(RequestKey),
    /// Response without content.
    21 Ack(Ack),
    /// Request for the receiver's scheduler state.
    26 SchedulerQuery(SchedulerQuery),
    /// Response to [`SchedulerQuery`].
    45 SchedulerState(SchedulerState),
    /// Request for routes, servers and instances.
    46 RoutingQuery(RoutingQuery),
    /// Response to [`RoutingQuery`].
    58 RoutingState(RoutingState),
    /// Request that exchanges reports of servers that crashed while they ran requests.
    51 CrashQuery(CrashQuery),
    /// Response to [`CrashQuery`].
    52 CrashState(CrashState),
    /// Request for a permit to run a suspect request.
    53 PermitQuery(PermitQuery),
    /// Response to [`PermitQuery`].
    54 PermitState(PermitState),
    /// Request that returns a permit.
    55 PermitReturn(PermitReturn),
    /// Reports of servers that crashed while they ran requests.
    56 CrashReports(Vec<CrashReport>),
    /// Request that exchanges the rate limits that servers state.
    39 LimitQuery(LimitQuery),
    /// Response to [`LimitQuery`].
    40 LimitState(LimitState),
    /// Request for a grant to send to a server that states a rate limit.
    41 GrantQuery(GrantQuery),
    /// Response to [`GrantQuery`].
    42 GrantState(GrantState),
    /// Request to keep records of streams.
    48 StreamRecords(Vec<StreamRecord>),
    /// Request for what the receiver knows of a stream.
    49 StreamQuery(StreamQuery),
    /// Response to [`StreamQuery`].
    50 StreamState(StreamKnowledge),
}

/// Why the receiver declines a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Declined {
    /// The receiver does not have the requested item.
    Absent,
    /// The receiver is not responsible for the request.
    NotMine,
    /// The receiver does not support this kind of request.
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
/// Returns [`FrameError::OverLimit`] when the message exceeds a limit.
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

/// Buffers the bytes of a stream and decodes complete messages from its front.
#[derive(Debug, Default)]
pub struct FrameReader {
    buffer: Vec<u8>,
    skipped: u64,
}

impl FrameReader {
    /// Creates a reader with an empty buffer.
    pub fn new() -> Self {
        Self::default()
    }

    /// Appends bytes received from the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the number of skipped messages of unknown kind.
    pub fn skipped(&self) -> u64 {
        self.skipped
    }

    /// Returns whether all bytes are decoded, as they must be when a stream ends.
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Removes and returns the next complete message of a known kind.
    ///
    /// # Errors
    ///
    /// Returns an error for bytes that are not a frame; the stream can't be read on.
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
        let Some((length_field, rest)) = self.buffer.split_first_chunk::<LENGTH_BYTES>() else {
            return Ok(None);
        };
        let length = u32::from_be_bytes(*length_field) as usize;
        if !(KIND_BYTES..=MAX_FRAME_BYTES).contains(&length) {
            return Err(FrameError::Length(length));
        }
        Ok((rest.len() >= length).then_some(LENGTH_BYTES + length))
    }
}

fn decode_frame(frame: &[u8]) -> Option<Result<Message>> {
    let (kind_field, body) = frame.split_first_chunk::<KIND_BYTES>()?;
    let kind = u16::from_be_bytes(*kind_field);
    let message = Message::decode_body(kind, body)?;
    Some(message.and_then(|message| {
        if is_within_limits(&message) {
            Ok(message)
        } else {
            Err(FrameError::OverLimit(kind))
        }
    }))
}
