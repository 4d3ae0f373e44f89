//! Parses the path and headers of callers' requests.

use http::{HeaderMap, header};
use savoryvane_core::{
    ids::{IdempotencyKey, PipelineName, RequestId, WorkspaceName, is_valid_name},
    ticket::TicketId,
};
use savoryvane_wire::caller;

use crate::{
    controller::Head, credential, exclusive::DedupKey, http_body::NDJSON, refusal::Refusal,
};

/// Maximum length of a request id or idempotency key, in bytes.
const MAX_TOKEN_BYTES: usize = 128;

/// Returns the pipeline named in `path`, or `None` if the path is not valid.
pub(super) fn parse_pipeline(path: &str) -> Option<PipelineName> {
    let name = path
        .strip_prefix("/v1/pipelines/")?
        .strip_suffix("/requests")?;
    is_valid_name(name).then(|| PipelineName::new(name))
}

/// Parses the headers of a request.
pub(super) fn parse_head(
    headers: &HeaderMap,
    pipeline: PipelineName,
    id: &RequestId,
    arrived_at_ms: u64,
) -> Result<Head, Refusal> {
    let workspace = parse_workspace(headers)?;
    let credential = credential::presented(headers).ok_or(Refusal::Unauthorized)?;
    let deadline_ms = single_value(headers, caller::DEADLINE_MS)?
        .map(|text| text.parse().ok().filter(|ms| *ms > 0))
        .map(|ms| ms.ok_or(Refusal::BadHeader(caller::DEADLINE_MS)))
        .transpose()?;
    Ok(Head {
        request: id.clone(),
        workspace,
        credential: Some(credential.to_owned()),
        pipeline,
        deadline_ms,
        warrant: parse_warrant(headers)?,
        arrived_at_ms,
    })
}

/// Returns the workspace named in the headers.
pub(super) fn parse_workspace(headers: &HeaderMap) -> Result<WorkspaceName, Refusal> {
    single_value(headers, caller::WORKSPACE)?
        .filter(|name| is_valid_name(name))
        .map(WorkspaceName::new)
        .ok_or(Refusal::BadHeader(caller::WORKSPACE))
}

/// Returns the idempotency key or the ticket. A request can't have both, because
/// keys and tickets are tracked independently.
fn parse_warrant(headers: &HeaderMap) -> Result<Option<DedupKey>, Refusal> {
    let key = parse_token(headers, caller::IDEMPOTENCY_KEY)?.map(IdempotencyKey::new);
    let ticket = single_value(headers, caller::TICKET)?
        .map(|text| TicketId::parse(text).ok_or(Refusal::BadHeader(caller::TICKET)))
        .transpose()?;
    match (key, ticket) {
        (Some(_), Some(_)) => Err(Refusal::BadHeader(caller::TICKET)),
        (Some(key), None) => Ok(Some(DedupKey::Key(key))),
        (None, ticket) => Ok(ticket.map(DedupKey::Ticket)),
    }
}

/// Returns whether a request has an idempotency key or a ticket.
pub(super) fn has_warrant(headers: &HeaderMap) -> bool {
    headers.contains_key(caller::IDEMPOTENCY_KEY) || headers.contains_key(caller::TICKET)
}

/// Returns the caller's request id, or a new one if the caller gave none.
pub(super) fn parse_request_id(headers: &HeaderMap) -> Result<RequestId, Refusal> {
    let given = parse_token(headers, caller::REQUEST_ID)?;
    Ok(given.map_or_else(new_request_id, RequestId::new))
}

/// Returns a random request id.
pub(super) fn new_request_id() -> RequestId {
    RequestId::new(format!("{:032x}", rand::random::<u128>()))
}

/// Returns the value of a header that must be a short visible ASCII string.
fn parse_token<'a>(headers: &'a HeaderMap, name: &'static str) -> Result<Option<&'a str>, Refusal> {
    match single_value(headers, name)? {
        Some(text) if text.is_empty() || text.len() > MAX_TOKEN_BYTES => {
            Err(Refusal::BadHeader(name))
        }
        Some(text) if !text.bytes().all(|byte| byte.is_ascii_graphic()) => {
            Err(Refusal::BadHeader(name))
        }
        valid => Ok(valid),
    }
}

/// Returns the value of a header that may appear at most once.
fn single_value<'a>(
    headers: &'a HeaderMap,
    name: &'static str,
) -> Result<Option<&'a str>, Refusal> {
    let mut values = headers.get_all(name).iter();
    let (first, second) = (values.next(), values.next());
    match (first, second) {
        (None, _) => Ok(None),
        (Some(value), None) => match value.to_str() {
            Ok(text) => Ok(Some(text.trim())),
            Err(_) => Err(Refusal::BadHeader(name)),
        },
        (Some(_), Some(_)) => Err(Refusal::BadHeader(name)),
    }
}

/// Returns whether the caller accepts the answer as a stream of events.
pub(super) fn accepts_stream(headers: &HeaderMap) -> bool {
    headers
        .get(header::ACCEPT)
        .and_then(|accept| accept.to_str().ok())
        .is_some_and(|accept| accept.contains(NDJSON))
}
