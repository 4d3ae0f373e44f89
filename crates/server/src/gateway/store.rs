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
use savoryvane_platform::store::{self, Call, InstanceRecord, Page, Read, Record, Topic};
use tokio::time;

use crate::{
    clock::Clock,
    connections::{ConnectionSettings, Connections, SendError},
    lock::lock,
    platform::request,
};

/// Time for a call to be answered beyond what it waits by itself: the store
/// answers in 4 ms, and slowed down sixty times in 240.
const TIMEOUT: Duration = Duration::from_millis(800);
/// The same of a whole topic, which is a megabyte or more in a large fleet and comes
/// over a link of 10 Mbit/s.
const WHOLE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Times that a page is asked for, once the one before it has come.
const MOST_PAGE_TRIES: u32 = 3;
/// Pause before it is asked for again, in ms: spread, since others ask too.
const PAGE_PAUSES_MS: RangeInclusive<u64> = 100..=400;
/// Time for a connection to be made.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Largest answer that is read, in bytes: a page of the store is at most 1 MB,
/// in base64.
const MAX_ANSWER_BYTES: usize = 4 << 20;
/// Connections that are kept.
const MAX_IDLE: usize = 2;
/// Time after which a kept connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

quick_error! {
    /// Why a call of the store has no answer.
    #[derive(Debug)]
    pub enum StoreError {
        /// It was not reached, or its answer was lost.
        Unanswered(err: SendError) {
            from()
            display("no answer: {err}")
        }
        /// It is of an era before one that the store has answered from.
        Outdated(era: u64) {
            display("answer of the earlier era {era}")
        }
        /// It refused, or its answer makes no sense.
        Refused(err: savoryvane_platform::Error) {
            from()
            display("{err}")
        }
    }
}

/// Result of a call of the store.
pub(super) type Result<T> = std::result::Result<T, StoreError>;

/// What a read of a topic gave.
pub(super) enum Reading {
    /// Records from the position that was asked for on, in order.
    Records {
        records: Vec<Record>,
        /// Offset of the first record that was not read.
        next: u64,
    },
    /// Records at that position are not there: the newest of each key has to be read.
    Trimmed,
}

/// The newest record of each key of a topic.
pub(super) struct Newest {
    pub(super) records: Vec<Record>,
    /// Era of the store that they are of.
    pub(super) era: u64,
    /// Offset from which later records are to be read.
    pub(super) end: u64,
}

/// An answer of the store.
struct StoreAnswer {
    status: StatusCode,
    era: u64,
    body: Bytes,
}

/// Calls the store over connections of its own.
#[derive(Clone, Debug)]
pub(super) struct StoreClient {
    addr: SocketAddr,
    clock: Clock,
    turns: Arc<Mutex<Turns>>,
    connections: Arc<Connections>,
}

/// When the store is called.
#[derive(Debug)]
struct Turns {
    retry: StoreRetry,
    reader: StoreRole,
    /// Latest era that the store has answered from.
    era: u64,
    /// Time at which a call failed last, in ms.
    failed_at_ms: Option<u64>,
}

impl StoreClient {
    pub(super) fn new(addr: SocketAddr, clock: Clock) -> Self {
        Self {
            addr,
            clock,
            turns: Arc::new(Mutex::new(Turns {
                retry: StoreRetry::default(),
                // Until it knows what it is, it has nobody else to rely on.
                reader: StoreRole::Reserve,
                era: 0,
                failed_at_ms: None,
            })),
            connections: Connections::new(ConnectionSettings {
                connect_timeout: CONNECT_TIMEOUT,
                max_idle: MAX_IDLE,
                idle_timeout: IDLE_TIMEOUT,
            }),
        }
    }

    /// Takes over what this instance has to do with the store, which is to be known once
    /// it has routes and servers: until then it has nobody else to rely on.
    pub(super) fn set_reader(&self, reader: StoreRole) {
        self.turns().reader = reader;
    }

    /// Begins a call; after one that failed returns how long to wait instead, but for
    /// the one that tries whether the store is back.
    pub(super) fn begin(&self) -> std::result::Result<(), Duration> {
        let wait_ms = self.turns().retry.begin(self.clock.now_ms());
        wait_ms.map_or(Ok(()), |wait_ms| Err(Duration::from_millis(wait_ms)))
    }

    /// Tells whether the last call failed.
    pub(super) fn is_failing(&self) -> bool {
        self.turns().retry.is_failing()
    }

    /// Returns the time since a call failed last, in ms.
    pub(super) fn failed_ago_ms(&self) -> Option<u64> {
        let failed_at_ms = self.turns().failed_at_ms?;
        Some(self.clock.now_ms().saturating_sub(failed_at_ms))
    }

    /// Returns the latest era that the store has answered from.
    pub(super) fn era(&self) -> u64 {
        self.turns().era
    }

    fn turns(&self) -> MutexGuard<'_, Turns> {
        lock(&self.turns)
    }

    /// Reads `topic` from `from` on, waiting up to `wait` for a record.
    pub(super) async fn read(
        &self,
        topic: Topic,
        from: Position,
        wait: Duration,
    ) -> Result<Reading> {
        let wait_ms = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
        let call = store::read(topic, from.offset, wait_ms);
        let answer = self.call(call, wait + TIMEOUT).await?;
        if answer.era != from.era {
            // Other records have the offsets of an earlier era.
            return Ok(Reading::Trimmed);
        }
        match store::decode_read(from.offset, answer.status, &answer.body)? {
            Read::Records { next, records, .. } => Ok(Reading::Records { records, next }),
            Read::Trimmed => Ok(Reading::Trimmed),
        }
    }

    /// Reads the newest record of each key of `topic`.
    pub(super) async fn newest(&self, topic: Topic) -> Result<Newest> {
        let mut records: Vec<Record> = Vec::new();
        let mut first = None;
        let mut after: Option<String> = None;
        loop {
            let answer = self.page(topic, after.as_deref()).await?;
            let Page {
                records: page,
                last_key,
                has_more,
                end,
            } = store::decode_newest(answer.status, &answer.body)?;
            // Pages are taken one after the other: what changed meanwhile is
            // read again from the end that the first one gave.
            let (era, end) = *first.get_or_insert((answer.era, end));
            if era != answer.era {
                return Err(StoreError::Outdated(era));
            }
            records.extend(page);
            if !has_more || last_key.is_none() || last_key == after {
                return Ok(Newest { records, era, end });
            }
            after = last_key;
        }
    }

    /// Reads one page of a topic. Where hundreds read whole topics at the same time one
    /// comes late, and the pages before it need not be read again for that.
    async fn page(&self, topic: Topic, after: Option<&str>) -> Result<StoreAnswer> {
        let mut tries = 1;
        loop {
            let call = store::newest(topic, after);
            match self.call(call, WHOLE_TIMEOUT).await {
                Err(_) if after.is_some() && tries < MOST_PAGE_TRIES => {}
                answer => return answer,
            }
            tries += 1;
            let pause_ms = rand::random_range(PAGE_PAUSES_MS);
            time::sleep(Duration::from_millis(pause_ms)).await;
        }
    }

    /// Writes what the instance `name` says of itself.
    pub(super) async fn write_instance(&self, name: &str, record: &InstanceRecord) -> Result<()> {
        self.write(store::write_instance(name, record)?).await
    }

    /// Makes a call that writes.
    pub(super) async fn write(&self, call: Call) -> Result<()> {
        let answer = self.call(call, TIMEOUT).await?;
        Ok(store::decode_write(answer.status)?)
    }

    async fn call(&self, call: Call, timeout: Duration) -> Result<StoreAnswer> {
        let request = request(call.method, self.addr, &call.path, call.body);
        let answer = self
            .connections
            .exchange(self.addr, request, timeout, MAX_ANSWER_BYTES)
            .await;
        metrics::counter!("savoryvane_store_calls_total",
            "outcome" => if answer.is_ok() { "answered" } else { "lost" })
        .increment(1);
        let is_served = answer
            .as_ref()
            .is_ok_and(|answer| !is_refusal(answer.status()));
        let now_ms = self.clock.now_ms();
        {
            let mut turns = self.turns();
            let reader = turns.reader;
            match is_served {
                true => turns.retry.on_answered(),
                false => {
                    turns.retry.on_failed(now_ms, reader, rand::random());
                    turns.failed_at_ms = Some(now_ms);
                }
            }
        }
        let answer = answer?;
        let era = store::era(answer.headers());
        self.on_era(era)?;
        Ok(StoreAnswer {
            status: answer.status(),
            era,
            body: answer.into_body(),
        })
    }

    /// Notes the era of an answer.
    fn on_era(&self, era: u64) -> Result<()> {
        let mut turns = self.turns();
        if era < turns.era {
            return Err(StoreError::Outdated(era));
        }
        turns.era = era;
        Ok(())
    }
}

/// Tells whether the store takes no calls of this instance now.
fn is_refusal(status: StatusCode) -> bool {
    status == StatusCode::TOO_MANY_REQUESTS || status.is_server_error()
}
