//! Avoids backend servers that have refused a call recently.

/// Time for which a backend server is avoided after a first refusal, in ms.
const FIRST_AVOID_MS: u64 = 50;
/// Maximum doublings of that time while refusals continue.
const MAX_DOUBLINGS: u32 = 6;

/// The recent refusals of a backend server.
#[derive(Clone, Debug, Default)]
pub(crate) struct Refusals {
    avoided_until_ms: u64,
    /// Avoidance periods since its last success.
    consecutive: u32,
}

impl Refusals {
    /// Returns whether other backend servers are preferred.
    pub(crate) fn is_avoided(&self, now_ms: u64) -> bool {
        now_ms < self.avoided_until_ms
    }

    /// Counts a refusal; further ones while the server is avoided count as the
    /// same one.
    pub(crate) fn on_refusal(&mut self, now_ms: u64) {
        if self.is_avoided(now_ms) {
            return;
        }
        self.avoided_until_ms = now_ms + (FIRST_AVOID_MS << self.consecutive.min(MAX_DOUBLINGS));
        self.consecutive += 1;
    }

    pub(crate) fn on_success(&mut self) {
        *self = Self::default();
    }
}
