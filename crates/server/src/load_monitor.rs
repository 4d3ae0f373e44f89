//! Measures the load of this instance itself, how late its tasks run and how much its link
//! carries, and bounds the new connections that it takes by it.

use std::{
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use savoryvane_core::intake::{Intake, IntakeChange, LoadSample};
use slog::{Logger, info};
use tokio::time::{self, Instant};

use crate::{
    clock::Clock,
    link_meter::{LinkBytes, LinkMeter},
    lock::lock,
};

/// Interval between two samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);
/// Interval between two log lines.
const LOG_INTERVAL: Duration = Duration::from_secs(1);
/// Delay of tasks from which on a log line is written, in ms.
const LOGGED_DELAY_MS: u64 = 20;
/// Share of the link's bandwidth from which on a log line is written.
const LOGGED_LINK_SHARE: f64 = 0.5;

/// Measures how late tasks run and what the link carries.
#[derive(Debug)]
pub(crate) struct LoadMonitor {
    log: Logger,
    clock: Clock,
    callers: Arc<LinkMeter>,
    servers: Arc<LinkMeter>,
    link_bytes_per_s: Option<u64>,
    intake: Mutex<Intake>,
    accepted: AtomicU64,
    requests: AtomicU64,
    pauses: AtomicU64,
}

/// Bytes on the connections of callers and servers.
#[derive(Clone, Copy, Debug)]
struct Totals {
    callers: LinkBytes,
    servers: LinkBytes,
}

impl Totals {
    /// Returns the bytes since `before`.
    fn since(self, before: Self) -> Self {
        Self {
            callers: self.callers.since(before.callers),
            servers: self.servers.since(before.servers),
        }
    }

    fn received(self) -> u64 {
        self.callers.received + self.servers.received
    }

    fn sent(self) -> u64 {
        self.callers.sent + self.servers.sent
    }

    fn busier_direction(self) -> u64 {
        self.received().max(self.sent())
    }
}

/// What was counted since the last log line.
#[derive(Debug)]
struct LogPeriod {
    began: Instant,
    totals: Totals,
    max_delay: Duration,
}

impl LoadMonitor {
    /// Creates a monitor of a link that carries `link_bytes_per_s` in each direction, if that is
    /// known.
    pub(crate) fn new(log: Logger, clock: Clock, link_bytes_per_s: Option<u64>) -> Self {
        Self {
            log,
            clock,
            callers: Arc::default(),
            servers: Arc::default(),
            link_bytes_per_s,
            intake: Mutex::new(Intake::new(clock.now_ms(), link_bytes_per_s)),
            accepted: AtomicU64::new(0),
            requests: AtomicU64::new(0),
            pauses: AtomicU64::new(0),
        }
    }

    /// Returns the meter of the callers' connections.
    pub(crate) fn callers(&self) -> &Arc<LinkMeter> {
        &self.callers
    }

    /// Returns the meter of the connections to backend servers.
    pub(crate) fn servers(&self) -> &Arc<LinkMeter> {
        &self.servers
    }

    /// Returns for how long connections of callers are to be refused.
    pub(crate) fn pause(&self) -> Duration {
        let pause_ms = self.intake().pause_ms(self.clock.now_ms());
        if pause_ms > 0 {
            self.pauses.fetch_add(1, Ordering::Relaxed);
            metrics::counter!("savoryvane_intake_pauses_total").increment(1);
        }
        Duration::from_millis(pause_ms)
    }

    /// Counts a connection that a caller has opened.
    pub(crate) fn on_accepted(&self) {
        self.accepted.fetch_add(1, Ordering::Relaxed);
        self.intake().on_taken(self.clock.now_ms());
    }

    /// Counts a request whose head has been read, the first one of its connection or a later
    /// one. Returns whether its connection is to be closed after the response.
    pub(crate) fn on_request(&self, is_first: bool) -> bool {
        self.requests.fetch_add(1, Ordering::Relaxed);
        self.intake().on_request(self.clock.now_ms(), is_first)
    }

    /// Takes samples until the task is dropped.
    pub(crate) async fn run(self: Arc<Self>) {
        let mut totals = self.totals();
        let mut period = LogPeriod {
            began: Instant::now(),
            totals,
            max_delay: Duration::ZERO,
        };
        loop {
            let due = Instant::now() + SAMPLE_INTERVAL;
            time::sleep_until(due).await;
            let delay = due.elapsed();
            metrics::histogram!("savoryvane_task_delay_seconds").record(delay);
            period.max_delay = period.max_delay.max(delay);
            let carried = self.totals().since(totals);
            totals = self.totals();
            self.on_sample(LoadSample {
                delay_ms: delay.as_millis() as u64,
                caller_bytes: carried.callers.complete + carried.callers.sent,
                link_bytes: carried.busier_direction(),
            });
            if period.began.elapsed() >= LOG_INTERVAL {
                period = self.end_period(&period);
            }
        }
    }

    fn on_sample(&self, sample: LoadSample) {
        let change = self.intake().on_sample(self.clock.now_ms(), sample);
        match change {
            IntakeChange::None => {}
            IntakeChange::Bounded(limit_per_s) => {
                info!(self.log, "new connections bounded by delay"; "delay_ms" => sample.delay_ms,
                    "limit_per_s" => limit_per_s as u64);
            }
            IntakeChange::Released => {
                info!(self.log, "new connections no longer bounded by delay");
            }
        }
    }

    /// Logs a period in which there was load, and begins the next one.
    fn end_period(&self, period: &LogPeriod) -> LogPeriod {
        let totals = self.totals();
        let carried = totals.since(period.totals);
        let elapsed_s = period.began.elapsed().as_secs_f64();
        let per_s = |bytes: u64| bytes as f64 / elapsed_s;
        let link_share = self
            .link_bytes_per_s
            .map_or(0.0, |link| per_s(carried.busier_direction()) / link as f64);
        let accepted = self.accepted.swap(0, Ordering::Relaxed);
        let requests = self.requests.swap(0, Ordering::Relaxed);
        let pauses = self.pauses.swap(0, Ordering::Relaxed);
        let max_delay_ms = period.max_delay.as_millis() as u64;
        if max_delay_ms >= LOGGED_DELAY_MS || link_share >= LOGGED_LINK_SHARE || pauses > 0 {
            let limit_per_s = self.intake().limit_per_s();
            info!(self.log, "instance under load"; "max_delay_ms" => max_delay_ms,
                "received_bytes_per_s" => per_s(carried.received()) as u64,
                "sent_bytes_per_s" => per_s(carried.sent()) as u64,
                "link_share" => format!("{link_share:.2}"),
                "connections_accepted" => accepted, "requests" => requests, "pauses" => pauses,
                "limit_per_s" => limit_per_s.map(|limit| limit as u64));
        }
        LogPeriod {
            began: Instant::now(),
            totals,
            max_delay: Duration::ZERO,
        }
    }

    fn totals(&self) -> Totals {
        Totals {
            callers: self.callers.total(),
            servers: self.servers.total(),
        }
    }

    fn intake(&self) -> MutexGuard<'_, Intake> {
        lock(&self.intake)
    }
}
