//! A token bucket whose rate may change at any time.

use crate::quota::Rate;

/// Tokens for one request. A token is one unit of [`Rate`] times one millisecond.
const TOKENS_PER_REQUEST: u64 = 1_000_000_000;
/// Bucket capacity as a time at the rate of the safe share, in ms. It covers new
/// demand until a home has responded to it.
const SAFE_SHARE_CAPACITY_MS: u64 = 2_000;
/// Bucket capacity as a time at the bucket's own rate, in ms.
const RATE_CAPACITY_MS: u64 = 500;
/// Tokens for a thousandth of a request.
const TOKENS_PER_MILLI_REQUEST: u64 = TOKENS_PER_REQUEST / 1_000;
/// Minimum capacity in tokens: three requests, so that requests that arrive before
/// the first granted tokens need not be refused.
const MIN_CAPACITY_TOKENS: u64 = 3 * TOKENS_PER_REQUEST;
/// Time in which the requested rate refills a bucket, in ms.
const REFILL_TIME_MS: u64 = 2_000;
/// Minimum capacity in tokens of a bucket that is refilled by a rate rather than by
/// granted tokens, and whose level can trigger an early report.
const MIN_RATE_CAPACITY_TOKENS: u64 = 4 * TOKENS_PER_REQUEST;

/// Token bucket with `TOKENS_PER_REQUEST` tokens for each request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TokenBucket {
    tokens: u64,
    refilled_at_ms: u64,
}

/// Rates that determine the refill and the capacity of a bucket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BucketRates {
    /// Refill rate.
    pub rate: Rate,
    /// Safe share of the quota, which contributes to the capacity.
    pub safe: Rate,
}

impl BucketRates {
    /// Returns whether the capacity is large enough to refill the bucket by a rate.
    pub fn has_rate_capacity(self) -> bool {
        self.capacity() >= MIN_RATE_CAPACITY_TOKENS
    }

    /// Returns the capacity of the bucket, in tokens.
    fn capacity(self) -> u64 {
        let by_safe = self.safe.0.saturating_mul(SAFE_SHARE_CAPACITY_MS);
        let by_rate = self.rate.0.saturating_mul(RATE_CAPACITY_MS);
        by_safe.max(by_rate).max(MIN_CAPACITY_TOKENS)
    }
}

impl TokenBucket {
    /// Creates a full bucket.
    pub fn new(now_ms: u64, flow: BucketRates) -> Self {
        Self {
            tokens: flow.capacity(),
            refilled_at_ms: now_ms,
        }
    }

    /// Creates an empty bucket.
    pub fn empty(now_ms: u64) -> Self {
        Self {
            tokens: 0,
            refilled_at_ms: now_ms,
        }
    }

    /// Adds the tokens for the time since the last call.
    pub fn refill(&mut self, now_ms: u64, flow: BucketRates) {
        let elapsed_ms = now_ms.saturating_sub(self.refilled_at_ms);
        let added = flow.rate.0.saturating_mul(elapsed_ms);
        self.tokens = self.tokens.saturating_add(added).min(flow.capacity());
        self.refilled_at_ms = self.refilled_at_ms.max(now_ms);
    }

    /// Adds the tokens for the time since the last call, up to a level of
    /// `max_milli` thousandths of a request.
    pub fn refill_up_to(&mut self, now_ms: u64, flow: BucketRates, max_milli: u64) {
        self.refill(now_ms, flow);
        self.tokens = self
            .tokens
            .min(max_milli.saturating_mul(TOKENS_PER_MILLI_REQUEST));
    }

    /// Takes the tokens for one request, if available.
    pub fn try_take(&mut self) -> bool {
        let has_tokens = self.tokens >= TOKENS_PER_REQUEST;
        if has_tokens {
            self.tokens -= TOKENS_PER_REQUEST;
        }
        has_tokens
    }

    /// Returns whether a bucket that is refilled by a rate is less than half full.
    pub fn is_low(&self, flow: BucketRates) -> bool {
        flow.has_rate_capacity() && self.tokens < flow.capacity() / 2
    }

    /// Returns the tokens missing to a full bucket, in thousandths of a request.
    pub fn missing_milli(&self, flow: BucketRates) -> u32 {
        let missing = flow.capacity().saturating_sub(self.tokens) / TOKENS_PER_MILLI_REQUEST;
        u32::try_from(missing).unwrap_or(u32::MAX)
    }

    /// Adds thousandths of a request.
    pub fn add_milli(&mut self, milli: u32) {
        self.tokens = self
            .tokens
            .saturating_add(u64::from(milli) * TOKENS_PER_MILLI_REQUEST);
    }

    /// Takes up to `milli` thousandths of a request and returns the number taken.
    pub fn take_up_to_milli(&mut self, milli: u32) -> u32 {
        let taken = u64::from(milli).min(self.tokens / TOKENS_PER_MILLI_REQUEST);
        self.tokens -= taken * TOKENS_PER_MILLI_REQUEST;
        taken as u32
    }

    /// Returns the rate that would fill the bucket within `REFILL_TIME_MS`.
    pub fn refill_rate(&self, flow: BucketRates) -> Rate {
        Rate(
            flow.capacity()
                .saturating_sub(self.tokens)
                .div_ceil(REFILL_TIME_MS),
        )
    }

    /// Returns the time until tokens for one request are available, in ms.
    pub fn wait_ms(&self, flow: BucketRates) -> u64 {
        let missing = TOKENS_PER_REQUEST.saturating_sub(self.tokens);
        missing.div_ceil(flow.rate.0.max(1))
    }
}
