//! Detects callers that retry after a refusal.
//!
//! A refused caller retries with a new request identifier and with a shorter deadline than is
//! usual on its route. The time that it has already waited counts against its goal, and refusing
//! it again is worse than refusing a new caller.

use std::collections::HashMap;

/// Length of the window over which the longest deadline of a route is taken, in ms.
const WINDOW_MS: u64 = 10_000;
/// Most routes that are tracked; the shortfall of further ones is 0.
const MAX_ROUTES: usize = 4_096;

/// Longest deadlines of one route in the current and the previous window.
#[derive(Clone, Copy, Debug, Default)]
struct LongestDeadlines {
    began_at_ms: u64,
    current_ms: u64,
    previous_ms: u64,
}

/// Usual deadlines of each route: the longest recent ones.
#[derive(Debug, Default)]
pub struct RouteDeadlines {
    routes: HashMap<String, LongestDeadlines>,
}

impl RouteDeadlines {
    /// Records the deadline of a request and returns by how much it is shorter than the usual
    /// deadline of its route, in ms.
    pub fn shortfall_ms(&mut self, now_ms: u64, route: &str, deadline_ms: u64) -> u64 {
        if !self.routes.contains_key(route) && self.routes.len() >= MAX_ROUTES {
            return 0;
        }
        let longest = self.routes.entry(route.to_owned()).or_default();
        if now_ms.saturating_sub(longest.began_at_ms) >= WINDOW_MS {
            longest.previous_ms = longest.current_ms;
            longest.current_ms = 0;
            longest.began_at_ms = now_ms;
        }
        longest.current_ms = longest.current_ms.max(deadline_ms);
        let usual_ms = longest.current_ms.max(longest.previous_ms);
        usual_ms - deadline_ms
    }
}
