//! How long a silent server is waited for where a request may be repeated.
//!
//! The load that it answers: a zone is cut off, or engines go dark, without a
//! reset. Requests there hold the results of their stages until their callers
//! give up, and nobody gets an answer.

/// Shortest time, in ms: on calm days of the users 99 in 100 plain calls take
/// less than 94 and 333 ms (`quiet-1` of the two deployments).
const SHORTEST_MS: u64 = 400;
/// Longest time until the first event, in ms: the shortest goal of the users'
/// drafts, so that an answer that begins after it is late in any case.
const LONGEST_MS: u64 = 1_000;
/// Time between two events, in ms: a stream counts as late after 400 ms, and its
/// caller leaves after 2 s at the earliest.
const BETWEEN_EVENTS_MS: u64 = 1_500;

/// Returns how long a server may take to begin its answer before the request is
/// sent to another one, in ms: as long as the whole answer was to take.
pub fn response_timeout_ms(goal_ms: u64) -> u64 {
    goal_ms.clamp(SHORTEST_MS, LONGEST_MS)
}

/// Returns how long a stream may pause before another server goes on, in ms.
pub fn event_timeout_ms() -> u64 {
    BETWEEN_EVENTS_MS
}
