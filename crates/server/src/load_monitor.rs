//! Measures the load of this instance itself: how late its tasks run, and how much its link
//! carries.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use slog::{Logger, info};
use tokio::time::{self, Instant};

use crate::link_meter::{LinkBytes, LinkMeter};

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
    link: Arc<LinkMeter>,
    link_bytes_per_s: u64,
    accepted: AtomicU64,
    requests: AtomicU64,
}

/// What was counted since the last log line.
#[derive(Debug)]
struct LogPeriod {
    began: Instant,
    link: LinkBytes,
    max_delay: Duration,
}

impl LoadMonitor {
    /// Creates a monitor of a link that carries `link_bytes_per_s` in each direction.
    pub(crate) fn new(log: Logger, link: Arc<LinkMeter>, link_bytes_per_s: u64) -> Self {
        Self {
            log,
            link,
            link_bytes_per_s,
            accepted: AtomicU64::new(0),
            requests: AtomicU64::new(0),
        }
    }

    /// Returns the meter of the link.
    pub(crate) fn link(&self) -> &Arc<LinkMeter> {
        &self.link
    }

    /// Counts a connection that a caller has opened.
    pub(crate) fn on_accepted(&self) {
        self.accepted.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a request whose head has been read.
    pub(crate) fn on_request(&self) {
        self.requests.fetch_add(1, Ordering::Relaxed);
    }

    /// Takes samples until the task is dropped.
    pub(crate) async fn run(self: Arc<Self>) {
        let mut period = LogPeriod {
            began: Instant::now(),
            link: self.link.total(),
            max_delay: Duration::ZERO,
        };
        loop {
            let due = Instant::now() + SAMPLE_INTERVAL;
            time::sleep_until(due).await;
            let delay = due.elapsed();
            metrics::histogram!("savoryvane_task_delay_seconds").record(delay);
            period.max_delay = period.max_delay.max(delay);
            if period.began.elapsed() >= LOG_INTERVAL {
                period = self.end_period(&period);
            }
        }
    }

    /// Logs a period in which there was load, and begins the next one.
    fn end_period(&self, period: &LogPeriod) -> LogPeriod {
        let link = self.link.total();
        let elapsed_s = period.began.elapsed().as_secs_f64();
        let per_s = |now: u64, before: u64| (now - before) as f64 / elapsed_s;
        let received_per_s = per_s(link.received, period.link.received);
        let sent_per_s = per_s(link.sent, period.link.sent);
        let link_share = received_per_s.max(sent_per_s) / self.link_bytes_per_s as f64;
        let accepted = self.accepted.swap(0, Ordering::Relaxed);
        let requests = self.requests.swap(0, Ordering::Relaxed);
        let max_delay_ms = period.max_delay.as_millis() as u64;
        if max_delay_ms >= LOGGED_DELAY_MS || link_share >= LOGGED_LINK_SHARE {
            info!(self.log, "instance under load"; "max_delay_ms" => max_delay_ms,
                "received_bytes_per_s" => received_per_s as u64,
                "sent_bytes_per_s" => sent_per_s as u64,
                "link_share" => format!("{link_share:.2}"),
                "connections_accepted" => accepted, "requests" => requests);
        }
        LogPeriod {
            began: Instant::now(),
            link,
            max_delay: Duration::ZERO,
        }
    }
}
