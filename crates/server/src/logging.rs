//! Logging. Lines that don't fit in the buffer are dropped and counted, so that
//! logging never blocks a request.

use std::{io, sync::mpsc, thread, time::Duration};

use savoryvane_core::ids::{InstanceName, ZoneName};
use slog::{Drain, Level, LevelFilter, Logger, Never, OwnedKVList, Record, o};
use slog_async::AsyncCore;

use crate::settings::{Log, LogForm, LogLevel, Settings};

/// Time limit for writing the buffered lines when the process ends.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(1);

/// Builds a logger as configured in `settings` that writes to standard error.
pub(crate) fn build(settings: &Settings) -> Logger {
    let (instance, zone) = (&settings.instance, &settings.zone);
    build_to(io::stderr(), &settings.log, instance, zone)
}

/// Builds a logger that writes to `out` and adds the name and zone of the instance
/// to each line.
pub(crate) fn build_to(
    out: impl io::Write + Send + 'static,
    log: &Log,
    instance: &InstanceName,
    zone: &ZoneName,
) -> Logger {
    let fields = o!("instance" => instance.to_string(), "zone" => zone.to_string());
    let buffer = match log.form {
        LogForm::Json => Buffer::new(log, slog_json::Json::default(out).ignore_res()),
        LogForm::Terminal => {
            let decorator = slog_term::PlainDecorator::new(out);
            let drain = slog_term::FullFormat::new(decorator).build();
            Buffer::new(log, drain.ignore_res())
        }
    };
    let drain = LevelFilter::new(buffer, slog_level(log.level));
    Logger::root(drain.fuse(), fields)
}

/// Buffer of lines for the writer thread.
struct Buffer {
    /// `Some` until the buffer is dropped.
    core: Option<AsyncCore>,
}

impl Buffer {
    fn new<D>(log: &Log, drain: D) -> Self
    where
        D: Drain<Ok = (), Err = Never> + Send + 'static,
    {
        let core = AsyncCore::custom(drain)
            .chan_size(log.buffer_lines)
            .thread_name("log".to_owned())
            .build();
        Self { core: Some(core) }
    }
}

impl Drain for Buffer {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), Never> {
        if let Some(core) = &self.core
            && core.log(record, values).is_err()
        {
            metrics::counter!("savoryvane_log_lines_dropped_total").increment(1);
        }
        Ok(())
    }
}

impl Drop for Buffer {
    /// Waits for the writer thread for a limited time. The thread may be blocked on
    /// a reader that doesn't read, which must not block the end of the process.
    fn drop(&mut self) {
        let core = self.core.take();
        let (flushed_tx, flushed_rx) = mpsc::channel();
        thread::spawn(move || {
            drop(core);
            // Fails if the receiver was dropped after the timeout.
            let _ = flushed_tx.send(());
        });
        let _ = flushed_rx.recv_timeout(FLUSH_TIMEOUT);
    }
}

fn slog_level(level: LogLevel) -> Level {
    match level {
        LogLevel::Error => Level::Error,
        LogLevel::Warn => Level::Warning,
        LogLevel::Info => Level::Info,
        LogLevel::Debug => Level::Debug,
    }
}
