//! Timeouts for silent servers, after which a repeatable request is sent to another one.
//!
//! They address a zone that is partitioned, or engines that stop, without connection resets.
//! Without timeouts, requests to these servers hold the results of their stages until their
//! callers give up, and no caller gets a response.

/// Lower bound of the response timeout, in ms: in the two deployments under light load
/// (`quiet-1`), 99 in 100 plain calls take less than 94 and 333 ms.
const MIN_RESPONSE_TIMEOUT_MS: u64 = 400;
/// Upper bound of the response timeout, in ms: the shortest latency goal in use, so that a
/// response that begins later misses its goal anyway.
const MAX_RESPONSE_TIMEOUT_MS: u64 = 1_000;
/// Timeout between two events of a stream, in ms: a stream counts as late after 400 ms, and
/// its caller disconnects after 2 s at the earliest.
const EVENT_TIMEOUT_MS: u64 = 1_500;

/// Returns how long a server may take to begin its response before the request is sent to
/// another one, in ms: the latency goal for the whole response, within bounds.
pub fn response_timeout_ms(goal_ms: u64) -> u64 {
    goal_ms.clamp(MIN_RESPONSE_TIMEOUT_MS, MAX_RESPONSE_TIMEOUT_MS)
}

/// Returns how long a stream may pause before another server resumes it, in ms.
pub fn event_timeout_ms() -> u64 {
    EVENT_TIMEOUT_MS
}
