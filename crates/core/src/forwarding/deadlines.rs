//! Recognizes callers who come back after a refusal.
//!
//! A refused caller comes back with a new identifier and with less time left
//! than callers of its route usually give. What it has waited already counts
//! against its goal, and refusing it again is worse than refusing a new one.

use std::collections::HashMap;

/// Time over which the longest deadline of a route is taken, in ms.
const WINDOW_MS: u64 = 10_000;
/// Most routes that are watched; further ones have no usual deadline.
const MOST_ROUTES: usize = 4_096;

/// Longest deadlines of one route.
#[derive(Clone, Copy, Debug, Default)]
struct Longest {
    began_ms: u64,
    current_ms: u64,
    previous_ms: u64,
}

/// The time that callers of each route usually give.
#[derive(Debug, Default)]
pub struct RouteDeadlines {
    routes: HashMap<String, Longest>,
}

impl RouteDeadlines {
    /// Takes in the deadline of a request and returns how much longer callers of
    /// its route usually give, in ms.
    pub fn shortfall_ms(&mut self, now_ms: u64, route: &str, deadline_ms: u64) -> u64 {
        if !self.routes.contains_key(route) && self.routes.len() >= MOST_ROUTES {
            return 0;
        }
        let longest = self.routes.entry(route.to_owned()).or_default();
        if now_ms.saturating_sub(longest.began_ms) >= WINDOW_MS {
            longest.previous_ms = longest.current_ms;
            longest.current_ms = 0;
            longest.began_ms = now_ms;
        }
        longest.current_ms = longest.current_ms.max(deadline_ms);
        let usual_ms = longest.current_ms.max(longest.previous_ms);
        usual_ms - deadline_ms
    }
}
