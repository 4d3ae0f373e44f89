//! Avoids backend servers that refused a call lately.

/// Time for which a backend server is avoided after a first refusal, in ms.
const FIRST_MS: u64 = 50;
/// Doublings of that time while it goes on refusing.
const MOST_DOUBLINGS: u32 = 6;

/// What a backend server has refused lately.
#[derive(Clone, Debug, Default)]
pub(crate) struct Refusals {
    avoided_until_ms: u64,
    /// Times that it was avoided since it last answered.
    in_a_row: u32,
}

impl Refusals {
    /// Tells whether others are better for a call.
    pub(crate) fn is_avoided(&self, now_ms: u64) -> bool {
        now_ms < self.avoided_until_ms
    }

    /// Counts a refusal; those of calls sent together count once.
    pub(crate) fn on_refusal(&mut self, now_ms: u64) {
        if self.is_avoided(now_ms) {
            return;
        }
        self.avoided_until_ms = now_ms + (FIRST_MS << self.in_a_row.min(MOST_DOUBLINGS));
        self.in_a_row += 1;
    }

    pub(crate) fn on_success(&mut self) {
        *self = Self::default();
    }
}
