//! A token bucket whose rate may change at any time.

use crate::quota::Rate;

/// One request, in the bucket's unit: a [`Rate`] times milliseconds.
const ONE: u64 = 1_000_000_000;
/// Time of the safe share that a bucket holds, in ms: until a home has answered
/// new demand.
const SAFE_DEPTH_MS: u64 = 2_000;
/// Time of its own rate that a bucket holds, in ms.
const DEPTH_MS: u64 = 500;
/// A thousandth of a request.
const MILLI: u64 = ONE / 1_000;
/// Least that a bucket holds: three requests, so that those that come before the
/// first is made up for need not be refused.
const LEAST_DEPTH: u64 = 3 * ONE;
/// Time within which a bucket is to be filled again, in ms.
const FILL_MS: u64 = 2_000;
/// Least depth of a bucket that is filled by a rate rather than made up for, and
/// whose fill is worth a report out of turn.
const RATE_DEPTH: u64 = 4 * ONE;

/// Tokens for requests, in thousand-millionths.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TokenBucket {
    tokens: u64,
    filled_ms: u64,
}

/// Rates that a bucket goes by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BucketRates {
    /// Rate at which it fills.
    pub rate: Rate,
    /// Safe share of the quota, by which its depth is counted.
    pub safe: Rate,
}

impl BucketRates {
    /// Tells whether a bucket holds enough to speak of a rate.
    pub fn has_rate_capacity(self) -> bool {
        self.capacity() >= RATE_DEPTH
    }

    /// Returns what a bucket holds at most.
    fn capacity(self) -> u64 {
        let by_safe = self.safe.0.saturating_mul(SAFE_DEPTH_MS);
        let by_rate = self.rate.0.saturating_mul(DEPTH_MS);
        by_safe.max(by_rate).max(LEAST_DEPTH)
    }
}

impl TokenBucket {
    /// Creates a full bucket.
    pub fn new(now_ms: u64, flow: BucketRates) -> Self {
        Self {
            tokens: flow.capacity(),
            filled_ms: now_ms,
        }
    }

    /// Creates an empty bucket.
    pub fn empty(now_ms: u64) -> Self {
        Self {
            tokens: 0,
            filled_ms: now_ms,
        }
    }

    /// Adds what came in since the last call.
    pub fn refill(&mut self, now_ms: u64, flow: BucketRates) {
        let elapsed_ms = now_ms.saturating_sub(self.filled_ms);
        let came = flow.rate.0.saturating_mul(elapsed_ms);
        self.tokens = self.tokens.saturating_add(came).min(flow.capacity());
        self.filled_ms = self.filled_ms.max(now_ms);
    }

    /// Adds what came in since the last call, to hold `most_milli` thousandths of a request
    /// at most.
    pub fn refill_up_to(&mut self, now_ms: u64, flow: BucketRates, most_milli: u64) {
        self.refill(now_ms, flow);
        self.tokens = self.tokens.min(most_milli.saturating_mul(MILLI));
    }

    /// Takes the token of one request, if there is one.
    pub fn try_take(&mut self) -> bool {
        let is_enough = self.tokens >= ONE;
        if is_enough {
            self.tokens -= ONE;
        }
        is_enough
    }

    /// Tells whether a deep bucket is down to its half.
    pub fn is_low(&self, flow: BucketRates) -> bool {
        flow.has_rate_capacity() && self.tokens < flow.capacity() / 2
    }

    /// Returns what is missing to a full bucket, in thousandths of a request.
    pub fn missing_milli(&self, flow: BucketRates) -> u32 {
        let missing = flow.capacity().saturating_sub(self.tokens) / MILLI;
        u32::try_from(missing).unwrap_or(u32::MAX)
    }

    /// Adds thousandths of a request.
    pub fn add_milli(&mut self, milli: u32) {
        self.tokens = self.tokens.saturating_add(u64::from(milli) * MILLI);
    }

    /// Takes up to so many thousandths of a request, and returns how many.
    pub fn take_up_to_milli(&mut self, milli: u32) -> u32 {
        let taken = u64::from(milli).min(self.tokens / MILLI);
        self.tokens -= taken * MILLI;
        taken as u32
    }

    /// Returns the rate that would fill the bucket within `FILL_MS`.
    pub fn refill_rate(&self, flow: BucketRates) -> Rate {
        Rate(
            flow.capacity()
                .saturating_sub(self.tokens)
                .div_ceil(FILL_MS),
        )
    }

    /// Returns the time until the token of one request is there, in ms.
    pub fn wait_ms(&self, flow: BucketRates) -> u64 {
        let missing = ONE.saturating_sub(self.tokens);
        missing.div_ceil(flow.rate.0.max(1))
    }
}
