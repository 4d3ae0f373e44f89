//! Bounds the rate at which an instance takes requests over new connections, by its own load.
//!
//! Two bounds apply, the smaller one decides:
//!
//! - What the instance's link can carry, by the bytes that a request has lately taken. It holds
//!   at any time, since bytes that wait on the link are not seen before they have arrived.
//! - What the processor can do. While tasks run late, the rate that was lately taken is cut, again
//!   and again; afterwards it grows until it is far above what comes.
//!
//! Time spent waiting for backend servers is no load. Requests on open connections are counted but
//! never turned away.

/// Share of the link's bandwidth that requests may use. They come in bursts, and what the link
/// does not carry at once delays everything behind it.
const LINK_SHARE: f64 = 0.7;
/// Least share of the link's bandwidth that requests may use, whatever other traffic it carries.
const MIN_LINK_SHARE: f64 = 0.2;
/// Time constants of the two averages of the bytes per request, in ms. The larger average counts:
/// requests may become larger from one second to the next, and smaller ones are rarely a reason to
/// take more at once.
const BYTES_AVERAGES_MS: [f64; 2] = [1_000.0, 20_000.0];
/// Number of requests from which on an average is used.
const MIN_AVERAGED_REQUESTS: f64 = 25.0;
/// Time constant of the moving averages of the request rate and of other traffic, in ms.
const RATE_AVERAGE_MS: f64 = 300.0;
/// Delay of tasks from which on the processor counts as overloaded, in ms. Timers of a process
/// that is busy but not overloaded end a few ms late. At twice this delay, connections to servers
/// seem not to be established in time.
const MAX_DELAY_MS: f64 = 50.0;
/// Number of samples in a row that have to show a delay: one may be due to a single long task.
const DELAY_SAMPLES: usize = 3;
/// Time after a cut until it is checked whether delays have become shorter, in ms.
const CHECK_INTERVAL_MS: u64 = 150;
/// Range of the factor of one cut.
const CUT_RANGE: (f64, f64) = (0.5, 0.9);
/// Time in which what was taken too much is to be worked off, in ms.
const DRAIN_MS: f64 = 1_000.0;
/// Least bound while that is worked off, as a share of the rate that was too much.
const DRAIN_SHARE: f64 = 0.1;
/// Growth of the bound per second, as a share of the rate that was too much.
const GROWTH_PER_S: f64 = 0.2;
/// Least growth of the bound per second, in requests per second.
const MIN_GROWTH_PER_S: f64 = 10.0;
/// Multiple of the request rate above which the bound of the processor ends.
const RELEASE_FACTOR: f64 = 4.0;
/// Smallest bound, in requests per second: turning more away does not help an instance that can't
/// serve as many.
const MIN_LIMIT_PER_S: f64 = 20.0;
/// Time constant of the average of the usual request rate, in ms. Delays don't make an instance
/// turn away what it usually gets: others may be as busy.
const USUAL_AVERAGE_MS: f64 = 60_000.0;
/// Number of requests that may be taken at once, as a time at the rate of the bound, in ms.
const BURST_MS: f64 = 250.0;
/// Tokens for which a pause waits, as a time at the rate of the bound, in ms.
const PAUSE_REFILL_MS: f64 = 50.0;
/// Largest debt that requests on open connections leave, as a time at the rate of the bound, in ms.
const MAX_DEBT_MS: f64 = 500.0;
/// Longest pause, in ms: an instance that is in rotation takes some connections, whatever its
/// load.
const MAX_PAUSE_MS: u64 = 500;

/// Load of an instance in the interval since the last sample.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadSample {
    /// Delay of a task that was due at the end of the interval, in ms.
    pub delay_ms: u64,
    /// Bytes exchanged with callers, in both directions, for heads and bodies that have arrived
    /// whole. Each of them passes the link once more, on a connection to a server. What callers
    /// send and don't complete does not show what the next request takes.
    pub caller_bytes: u64,
    /// Bytes that the link carried in the busier direction.
    pub link_bytes: u64,
}

/// How an instance's bound on its processor changed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum IntakeChange {
    /// It is as before, or has another value.
    None,
    /// There is one now, in requests per second.
    Bounded(f64),
    /// There is none any more.
    Released,
}

/// Estimates how many requests a link carries.
#[derive(Debug)]
struct LinkBudget {
    bytes_per_s: f64,
    averages: [RequestBytes; BYTES_AVERAGES_MS.len()],
    /// Bytes per second in the busier direction that are not due to callers' requests.
    other_per_s: f64,
}

/// Average of the bytes per request.
#[derive(Clone, Copy, Debug)]
struct RequestBytes {
    time_constant_ms: f64,
    /// Requests and their bytes, weighted by age.
    requests: f64,
    bytes: f64,
}

/// Bound by the delay of tasks.
#[derive(Clone, Copy, Debug)]
struct DelayBound {
    limit_per_s: f64,
    least_per_s: f64,
    /// Lowest rate of requests at which delays became longer, per second.
    excessive_per_s: f64,
    /// Time of the last check, in ms, and the delay at that time.
    checked_at_ms: u64,
    checked_delay_ms: f64,
}

/// Tokens for requests that may be taken.
#[derive(Debug)]
struct Tokens {
    /// Negative after more requests were read on open connections than the bound allows;
    /// infinite while there is no bound.
    count: f64,
    refilled_at_ms: u64,
}

/// Decides whether an instance takes new connections.
#[derive(Debug)]
pub struct Intake {
    link: Option<LinkBudget>,
    delay_bound: Option<DelayBound>,
    tokens: Tokens,
    /// Time of the last connection that was taken, in ms.
    taken_at_ms: u64,
    delays_ms: [u64; DELAY_SAMPLES],
    requests_per_s: f64,
    /// Requests per second over a longer time, without those times at which delays were bounded.
    usual_per_s: f64,
    /// Requests read since the last sample.
    requests: u64,
    sampled_at_ms: u64,
}

impl RequestBytes {
    fn new(time_constant_ms: f64) -> Self {
        Self {
            time_constant_ms,
            requests: 0.0,
            bytes: 0.0,
        }
    }

    fn on_sample(&mut self, elapsed_ms: f64, requests: u64, bytes: u64) {
        let kept = (-elapsed_ms / self.time_constant_ms).exp();
        self.requests = self.requests * kept + requests as f64;
        self.bytes = self.bytes * kept + bytes as f64;
    }

    /// Returns the average, once enough requests have been seen.
    fn average(&self) -> Option<f64> {
        let is_known = self.requests >= MIN_AVERAGED_REQUESTS;
        is_known.then(|| (self.bytes / self.requests).max(1.0))
    }
}

impl LinkBudget {
    fn new(bytes_per_s: f64) -> Self {
        Self {
            bytes_per_s,
            averages: BYTES_AVERAGES_MS.map(RequestBytes::new),
            other_per_s: 0.0,
        }
    }

    fn on_sample(&mut self, elapsed_ms: f64, requests: u64, sample: LoadSample) {
        for average in &mut self.averages {
            average.on_sample(elapsed_ms, requests, sample.caller_bytes);
        }
        let other = sample.link_bytes.saturating_sub(sample.caller_bytes) as f64;
        let other_per_s = other * 1_000.0 / elapsed_ms;
        self.other_per_s += (other_per_s - self.other_per_s) * average_weight(elapsed_ms);
    }

    /// Returns the requests per second that the link carries, once requests have been seen.
    fn limit_per_s(&self) -> Option<f64> {
        let averages = self.averages.iter().filter_map(RequestBytes::average);
        let request_bytes = averages.reduce(f64::max)?;
        let free = self.bytes_per_s * LINK_SHARE - self.other_per_s;
        let free = free.max(self.bytes_per_s * MIN_LINK_SHARE);
        Some((free / request_bytes).max(MIN_LIMIT_PER_S))
    }
}

impl DelayBound {
    fn new(now_ms: u64, delay_ms: f64, requests_per_s: f64, least_per_s: f64) -> Self {
        let mut bound = Self {
            limit_per_s: requests_per_s,
            least_per_s,
            excessive_per_s: requests_per_s,
            checked_at_ms: now_ms,
            checked_delay_ms: delay_ms,
        };
        bound.cut(delay_ms, requests_per_s);
        bound
    }

    /// Cuts the bound while delays become longer, and further until what was taken too much will
    /// be worked off soon.
    fn on_delay(&mut self, now_ms: u64, delay_ms: f64, requests_per_s: f64) {
        if now_ms < self.checked_at_ms + CHECK_INTERVAL_MS {
            return;
        }
        let fallen_ms = self.checked_delay_ms - delay_ms;
        if fallen_ms <= 0.0 {
            self.cut(delay_ms, requests_per_s);
        } else if fallen_ms * DRAIN_MS < delay_ms * CHECK_INTERVAL_MS as f64 {
            let least_per_s = (self.excessive_per_s * DRAIN_SHARE).max(self.least_per_s);
            self.limit_per_s = (self.limit_per_s * CUT_RANGE.0).max(least_per_s);
        }
        self.checked_at_ms = now_ms;
        self.checked_delay_ms = delay_ms;
    }

    fn cut(&mut self, delay_ms: f64, requests_per_s: f64) {
        let (least, most) = CUT_RANGE;
        let factor = (MAX_DELAY_MS / delay_ms).clamp(least, most);
        self.excessive_per_s = requests_per_s.min(self.limit_per_s);
        self.limit_per_s = (self.excessive_per_s * factor).max(self.least_per_s);
    }

    fn grow(&mut self, elapsed_ms: f64) {
        let from_per_s = self.limit_per_s.max(self.excessive_per_s);
        let growth_per_s = (from_per_s * GROWTH_PER_S).max(MIN_GROWTH_PER_S);
        self.limit_per_s += growth_per_s * elapsed_ms / 1_000.0;
    }
}

impl Tokens {
    fn refill(&mut self, now_ms: u64, limit_per_s: f64) {
        let elapsed_ms = now_ms.saturating_sub(self.refilled_at_ms) as f64;
        let most = requests_in(BURST_MS, limit_per_s);
        self.count = (self.count + requests_in(elapsed_ms, limit_per_s)).min(most);
        self.refilled_at_ms = self.refilled_at_ms.max(now_ms);
    }

    fn spend(&mut self, limit_per_s: f64) {
        self.count = (self.count - 1.0).max(-requests_in(MAX_DEBT_MS, limit_per_s));
    }
}

impl Intake {
    /// Creates an intake of an instance whose link carries `link_bytes_per_s` in each direction,
    /// if that is known.
    pub fn new(now_ms: u64, link_bytes_per_s: Option<u64>) -> Self {
        let link = link_bytes_per_s.map(|bytes_per_s| LinkBudget::new(bytes_per_s as f64));
        Self {
            link,
            delay_bound: None,
            tokens: Tokens {
                count: f64::INFINITY,
                refilled_at_ms: now_ms,
            },
            taken_at_ms: now_ms,
            delays_ms: [0; DELAY_SAMPLES],
            requests_per_s: 0.0,
            usual_per_s: 0.0,
            requests: 0,
            sampled_at_ms: now_ms,
        }
    }

    /// Returns the bound in requests per second, if there is one.
    pub fn limit_per_s(&self) -> Option<f64> {
        let by_link = self.link.as_ref().and_then(LinkBudget::limit_per_s);
        let by_delay = self.delay_bound.map(|bound| bound.limit_per_s);
        match (by_link, by_delay) {
            (Some(by_link), Some(by_delay)) => Some(by_link.min(by_delay)),
            (by_link, by_delay) => by_link.or(by_delay),
        }
    }

    /// Returns how long new connections are to be turned away, in ms; 0 if they may be taken.
    pub fn pause_ms(&mut self, now_ms: u64) -> u64 {
        let Some(limit_per_s) = self.limit_per_s() else {
            return 0;
        };
        self.tokens.refill(now_ms, limit_per_s);
        if self.tokens.count >= 1.0 {
            return 0;
        }
        let wanted = requests_in(PAUSE_REFILL_MS, limit_per_s).max(1.0);
        let missing = wanted - self.tokens.count;
        let refilled_in_ms = (missing * 1_000.0 / limit_per_s).ceil() as u64;
        let longest_ms = (self.taken_at_ms + MAX_PAUSE_MS).saturating_sub(now_ms);
        refilled_in_ms.min(longest_ms)
    }

    /// Records that a connection has been taken. Its first request is counted with it.
    pub fn on_taken(&mut self, now_ms: u64) {
        self.taken_at_ms = now_ms;
        self.spend(now_ms);
    }

    /// Records that a request has been read, the first one of its connection or a later one.
    /// Returns whether the connection is to be closed after the response, as requests on open
    /// connections alone exceed the bound.
    pub fn on_request(&mut self, now_ms: u64, is_first: bool) -> bool {
        self.requests += 1;
        if !is_first {
            self.spend(now_ms);
        }
        self.tokens.count < 0.0
    }

    fn spend(&mut self, now_ms: u64) {
        if let Some(limit_per_s) = self.limit_per_s() {
            self.tokens.refill(now_ms, limit_per_s);
            self.tokens.spend(limit_per_s);
        } else {
            self.tokens.count = f64::INFINITY;
        }
    }

    /// Adapts the bounds to the load since the last sample.
    pub fn on_sample(&mut self, now_ms: u64, sample: LoadSample) -> IntakeChange {
        let elapsed_ms = now_ms.saturating_sub(self.sampled_at_ms).max(1) as f64;
        self.sampled_at_ms = now_ms;
        let requests = std::mem::take(&mut self.requests);
        if let Some(link) = &mut self.link {
            link.on_sample(elapsed_ms, requests, sample);
        }
        let requests_per_s = requests as f64 * 1_000.0 / elapsed_ms;
        self.requests_per_s += (requests_per_s - self.requests_per_s) * average_weight(elapsed_ms);
        if self.delay_bound.is_none() {
            let weight = 1.0 - (-elapsed_ms / USUAL_AVERAGE_MS).exp();
            self.usual_per_s += (requests_per_s - self.usual_per_s) * weight;
        }
        self.delays_ms.rotate_left(1);
        self.delays_ms[DELAY_SAMPLES - 1] = sample.delay_ms;
        self.adapt_to_delay(now_ms, elapsed_ms)
    }

    fn adapt_to_delay(&mut self, now_ms: u64, elapsed_ms: f64) -> IntakeChange {
        let delay_ms = self.delays_ms.iter().min().copied().unwrap_or(0) as f64;
        let is_late = delay_ms > MAX_DELAY_MS;
        let requests_per_s = self.requests_per_s;
        let least_per_s = self.usual_per_s.max(MIN_LIMIT_PER_S);
        match &mut self.delay_bound {
            None if is_late && requests_per_s > least_per_s => {
                let bound = DelayBound::new(now_ms, delay_ms, requests_per_s, least_per_s);
                self.delay_bound = Some(bound);
                self.tokens.count = self.tokens.count.min(0.0);
                IntakeChange::Bounded(bound.limit_per_s)
            }
            None => IntakeChange::None,
            Some(bound) if is_late => {
                bound.on_delay(now_ms, delay_ms, requests_per_s);
                IntakeChange::None
            }
            Some(bound)
                if bound.limit_per_s > RELEASE_FACTOR * requests_per_s.max(MIN_LIMIT_PER_S) =>
            {
                self.delay_bound = None;
                IntakeChange::Released
            }
            Some(bound) => {
                bound.grow(elapsed_ms);
                IntakeChange::None
            }
        }
    }
}

fn requests_in(time_ms: f64, limit_per_s: f64) -> f64 {
    limit_per_s * time_ms / 1_000.0
}

/// Returns the weight of the newest value in an average over [`RATE_AVERAGE_MS`].
fn average_weight(elapsed_ms: f64) -> f64 {
    1.0 - (-elapsed_ms / RATE_AVERAGE_MS).exp()
}
