//! How long a silent server is waited for where a request may be repeated.
//!
//! The load that it answers: a zone is cut off, or engines go dark, without a
//! reset. Requests there hold the results of their stages until their callers
//! give up, and nobody gets an answer.

/// Shortest time, in ms: four in a hundred plain calls of the users take more
/// than 100 ms on a calm day, and hardly any 400.
const SHORTEST_MS: u64 = 400;
/// Longest time until the first event, in ms: on a calm day an engine that is
/// well answers 99 in 100 prompts within it.
const LONGEST_MS: u64 = 1_000;
/// Time between two events, in ms: an engine that puts a request back for more
/// urgent ones pauses for less.
const BETWEEN_EVENTS_MS: u64 = 1_500;

/// Returns how long a server may take to begin its answer before the request is
/// sent to another one, in ms: as long as the whole answer was to take.
pub fn answer_patience_ms(goal_ms: u64) -> u64 {
    goal_ms.clamp(SHORTEST_MS, LONGEST_MS)
}

/// Returns how long a stream may pause before another server goes on, in ms.
pub fn event_patience_ms() -> u64 {
    BETWEEN_EVENTS_MS
}
