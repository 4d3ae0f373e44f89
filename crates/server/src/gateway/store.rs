//! Client of the platform's store.

use std::{
    net::SocketAddr,
    ops::RangeInclusive,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use bytes::Bytes;
use http::StatusCode;
use quick_error::quick_error;
use savoryvane_core::forwarding::{Position, StoreRetry, StoreRole};
use savoryvane_platform::store::{self, Call, InstanceRecord, Page, ReadResponse, Record, Topic};
use tokio::time::{self, Instant};

use crate::{
    clock::Clock,
    connections::{ConnectionSettings, Connections, MAX_HEAD_BYTES, SendError},
    lock::lock,
    platform::request,
};

/// Timeout of a call beyond the wait that it requests: the store responds in 4 ms, and in
/// 240 ms when slowed down by a factor of sixty.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);
/// Timeout of a page of a whole topic, which is a megabyte or more in a large fleet and
/// is transferred over a link of 10 Mbit/s.
const PAGE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Maximum number of attempts to read a page other than the first.
const MAX_PAGE_ATTEMPTS: u32 = 3;
/// Range of the random delay before the next attempt, in ms: spread, since other
/// instances retry too.
const PAGE_RETRY_DELAYS_MS: RangeInclusive<u64> = 100..=400;
/// Timeout for connecting to the store.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Largest response that is read, in bytes: a page of the store is at most 1 MB, in
/// base64.
const MAX_RESPONSE_BYTES: usize = 4 << 20;
/// Maximum number of idle connections.
const MAX_IDLE_CONNECTIONS: usize = 2;
/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

quick_error! {
    /// Why a call to the store failed.
    #[derive(Debug)]
    pub enum StoreError {
        /// The store was unreachable, or its response was lost.
        Unanswered(err: SendError) {
            from()
            display("no response: {err}")
        }
        /// The response is from an era before one that the store has already responded
        /// from.
        Outdated(era: u64) {
            display("response from the earlier era {era}")
        }
        /// The store rejected the call, or its response is invalid.
        Refused(err: savoryvane_platform::Error) {
            from()
            display("{err}")
        }
    }
}

/// Result of a call to the store.
pub(super) type Result<T> = std::result::Result<T, StoreError>;

/// The result of a read of a topic.
pub(super) enum ReadOutcome {
    /// Records from the requested position on, in order.
    Records {
        records: Vec<Record>,
        /// Offset of the first record that was not read.
        next: u64,
        /// Time at which the call was sent.
        sent_at: Instant,
    },
    /// The records at that position no longer exist: the latest record of each key has to
    /// be read.
    Trimmed,
}

/// The latest record of each key of a topic.
pub(super) struct TopicSnapshot {
    pub(super) records: Vec<Record>,
    /// Era of the store that the records belong to.
    pub(super) era: u64,
    /// Offset from which later records have to be read.
    pub(super) end: u64,
    /// Time at which the last call was sent.
    pub(super) sent_at: Instant,
}

/// A response of the store.
struct StoreResponse {
    status: StatusCode,
    era: u64,
    body: Bytes,
    /// Time at which the call was sent.
    sent_at: Instant,
}

/// Calls the store over its own connections.
#[derive(Clone, Debug)]
pub(super) struct StoreClient {
    addr: SocketAddr,
    clock: Clock,
    call_state: Arc<Mutex<CallState>>,
    connections: Arc<Connections>,
}

/// State that decides when the store is called.
#[derive(Debug)]
struct CallState {
    retry: StoreRetry,
    reader: StoreRole,
    /// Latest era that the store has responded from.
    era: u64,
    /// Time of the last failed call, in ms.
    failed_at_ms: Option<u64>,
}

impl StoreClient {
    pub(super) fn new(addr: SocketAddr, clock: Clock) -> Self {
        Self {
            addr,
            clock,
            call_state: Arc::new(Mutex::new(CallState {
                retry: StoreRetry::default(),
                // Until its role is known, it can rely on no other instance.
                reader: StoreRole::Reserve,
                era: 0,
                failed_at_ms: None,
            })),
            connections: Connections::new(ConnectionSettings {
                connect_timeout: CONNECT_TIMEOUT,
                max_idle: MAX_IDLE_CONNECTIONS,
                idle_timeout: IDLE_TIMEOUT,
                max_response_bytes: (MAX_HEAD_BYTES + MAX_RESPONSE_BYTES) as u64,
            }),
        }
    }

    /// Sets this instance's role in reading the store. It must be called only once the
    /// instance has routes and servers: until then, it can rely on no other instance.
    pub(super) fn set_reader(&self, reader: StoreRole) {
        self.call_state().reader = reader;
    }

    /// Begins a call. While calls are failing, returns the time to wait instead, except
    /// for the call that checks whether the store is available again.
    pub(super) fn try_begin(&self) -> std::result::Result<(), Duration> {
        let wait_ms = {
            let mut call_state = self.call_state();
            let reader = call_state.reader;
            call_state.retry.begin(self.clock.now_ms(), reader)
        };
        wait_ms.map_or(Ok(()), |wait_ms| Err(Duration::from_millis(wait_ms)))
    }

    /// Returns whether the last call failed.
    pub(super) fn is_failing(&self) -> bool {
        self.call_state().retry.is_failing()
    }

    /// Returns the time since the last failed call, in ms.
    pub(super) fn failed_ago_ms(&self) -> Option<u64> {
        let failed_at_ms = self.call_state().failed_at_ms?;
        Some(self.clock.now_ms().saturating_sub(failed_at_ms))
    }

    /// Returns the latest era that the store has responded from.
    pub(super) fn era(&self) -> u64 {
        self.call_state().era
    }

    fn call_state(&self) -> MutexGuard<'_, CallState> {
        lock(&self.call_state)
    }

    /// Reads `topic` from `from` on, waiting up to `wait` for a record.
    pub(super) async fn read(
        &self,
        topic: Topic,
        from: Position,
        wait: Duration,
    ) -> Result<ReadOutcome> {
        let wait_ms = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
        let call = store::read(topic, from.offset, wait_ms);
        let response = self.call(call, wait + CALL_TIMEOUT).await?;
        if response.era != from.era {
            // The same offsets hold other records in another era.
            return Ok(ReadOutcome::Trimmed);
        }
        match store::decode_read(topic, from.offset, response.status, &response.body)? {
            ReadResponse::Records { next, records, .. } => {
                let sent_at = response.sent_at;
                Ok(ReadOutcome::Records {
                    records,
                    next,
                    sent_at,
                })
            }
            ReadResponse::Trimmed { .. } => Ok(ReadOutcome::Trimmed),
        }
    }

    /// Reads all retained records of `topic` that were written before the read.
    pub(super) async fn read_retained(&self, topic: Topic) -> Result<Vec<Record>> {
        let mut retained = Vec::new();
        let mut from = 0;
        let mut until = None;
        while until.is_none_or(|until| from < until) {
            let call = store::read(topic, from, 0);
            let response = self.call(call, PAGE_TIMEOUT).await?;
            match store::decode_read(topic, from, response.status, &response.body)? {
                ReadResponse::Records { end, next, records } => {
                    retained.extend(records);
                    from = next;
                    until.get_or_insert(end);
                }
                // Records may expire while others are read.
                ReadResponse::Trimmed { first: Some(first) } if first > from => from = first,
                ReadResponse::Trimmed { .. } => break,
            }
        }
        Ok(retained)
    }

    /// Reads the latest record of each key of `topic`.
    pub(super) async fn newest(&self, topic: Topic) -> Result<TopicSnapshot> {
        let mut records: Vec<Record> = Vec::new();
        let mut first = None;
        let mut after: Option<String> = None;
        loop {
            let response = self.page(topic, after.as_deref()).await?;
            let Page {
                records: page,
                last_key,
                has_more,
                end,
            } = store::decode_newest(response.status, &response.body)?;
            // Pages are read one after the other: changes made meanwhile are read again
            // from the end offset that the first page gave.
            let (era, end) = *first.get_or_insert((response.era, end));
            if era != response.era {
                return Err(StoreError::Outdated(era));
            }
            records.extend(page);
            if !has_more || last_key.is_none() || last_key == after {
                let sent_at = response.sent_at;
                return Ok(TopicSnapshot {
                    records,
                    era,
                    end,
                    sent_at,
                });
            }
            after = last_key;
        }
    }

    /// Reads one page of a topic. When hundreds of instances read whole topics at the
    /// same time, a page may be late; retrying it avoids reading the earlier pages again.
    async fn page(&self, topic: Topic, after: Option<&str>) -> Result<StoreResponse> {
        let mut attempts = 1;
        loop {
            let call = store::newest(topic, after);
            match self.call(call, PAGE_TIMEOUT).await {
                Err(_) if after.is_some() && attempts < MAX_PAGE_ATTEMPTS => {}
                response => return response,
            }
            attempts += 1;
            let delay_ms = rand::random_range(PAGE_RETRY_DELAYS_MS);
            time::sleep(Duration::from_millis(delay_ms)).await;
        }
    }

    /// Writes the list entry of the instance `name`.
    pub(super) async fn write_instance(&self, name: &str, record: &InstanceRecord) -> Result<()> {
        self.write(store::write_instance(name, record)?).await
    }

    /// Makes a call that writes.
    pub(super) async fn write(&self, call: Call) -> Result<()> {
        let response = self.call(call, CALL_TIMEOUT).await?;
        Ok(store::decode_write(response.status)?)
    }

    async fn call(&self, call: Call, timeout: Duration) -> Result<StoreResponse> {
        let request = request(call.method, self.addr, &call.path, call.body);
        let sent_at = Instant::now();
        let response = self
            .connections
            .exchange(self.addr, request, timeout, MAX_RESPONSE_BYTES)
            .await;
        metrics::counter!("savoryvane_store_calls_total",
            "outcome" => if response.is_ok() { "answered" } else { "lost" })
        .increment(1);
        let is_served = response
            .as_ref()
            .is_ok_and(|response| !is_refusal(response.status()));
        let now_ms = self.clock.now_ms();
        {
            let mut call_state = self.call_state();
            match is_served {
                true => call_state.retry.on_answered(),
                false => {
                    call_state.retry.on_failed(now_ms, rand::random());
                    call_state.failed_at_ms = Some(now_ms);
                }
            }
        }
        let response = response?;
        let era = store::era(response.headers());
        self.on_era(era)?;
        Ok(StoreResponse {
            status: response.status(),
            era,
            body: response.into_body(),
            sent_at,
        })
    }

    /// Records the era of a response.
    fn on_era(&self, era: u64) -> Result<()> {
        let mut call_state = self.call_state();
        if era < call_state.era {
            return Err(StoreError::Outdated(era));
        }
        call_state.era = era;
        Ok(())
    }
}

/// Returns whether the store rejects this instance's calls at the moment.
fn is_refusal(status: StatusCode) -> bool {
    status == StatusCode::TOO_MANY_REQUESTS || status.is_server_error()
}
