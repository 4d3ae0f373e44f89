//! The rate at which the log takes appends.

/// Token bucket of one second's appends.
#[derive(Debug)]
pub(crate) struct AppendLimit {
    per_s: u64,
    milli_tokens: u64,
    refilled_at_ms: u64,
}

impl AppendLimit {
    /// Starts with the appends of one second.
    pub(crate) fn new(per_s: u32) -> Self {
        let per_s = u64::from(per_s);
        Self {
            per_s,
            milli_tokens: per_s * 1000,
            refilled_at_ms: 0,
        }
    }

    /// Takes one append, if there is one left.
    pub(crate) fn admit(&mut self, now_ms: u64) -> bool {
        let elapsed_ms = now_ms.saturating_sub(self.refilled_at_ms);
        self.refilled_at_ms = now_ms;
        let refilled = self
            .milli_tokens
            .saturating_add(elapsed_ms.saturating_mul(self.per_s));
        self.milli_tokens = refilled.min(self.per_s * 1000);
        let admitted = self.milli_tokens >= 1000;
        if admitted {
            self.milli_tokens -= 1000;
        }
        admitted
    }
}
