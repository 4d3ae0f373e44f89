//! Builds the logger. A line that can't be written is dropped and counted, so
//! that logging never blocks a request.

use std::{io, sync::mpsc, thread, time::Duration};

use savoryvane_core::ids::{InstanceName, ZoneName};
use slog::{Drain, Level, LevelFilter, Logger, Never, OwnedKVList, Record, o};
use slog_async::AsyncCore;

use crate::settings::{Log, LogForm, LogLevel, Settings};

/// Time for the last lines to be written when the process ends.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(1);

/// Builds the logger that `settings` asks for; it writes to standard error.
pub(crate) fn build(settings: &Settings) -> Logger {
    let (instance, zone) = (&settings.instance, &settings.zone);
    build_to(io::stderr(), &settings.log, instance, zone)
}

/// Builds a logger that writes to `out`, with the name and zone of the instance
/// on each line.
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
    let drain = LevelFilter::new(buffer, level(log.level));
    Logger::root(drain.fuse(), fields)
}

/// Lines that wait for the thread that writes them.
struct Buffer {
    /// Present until the buffer is dropped.
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
    /// The buffer waits for its thread, which may be stuck writing to a reader
    /// that does not read; the process must not be stuck with it.
    fn drop(&mut self) {
        let core = self.core.take();
        let (done, is_done) = mpsc::channel();
        thread::spawn(move || {
            drop(core);
            // Nobody waits any more after the timeout.
            let _ = done.send(());
        });
        let _ = is_done.recv_timeout(FLUSH_TIMEOUT);
    }
}

fn level(level: LogLevel) -> Level {
    match level {
        LogLevel::Error => Level::Error,
        LogLevel::Warn => Level::Warning,
        LogLevel::Info => Level::Info,
        LogLevel::Debug => Level::Debug,
    }
}
