//! Builds the logger. A line that can't be written is dropped and counted, so
//! that logging never blocks a request.

use std::io;

use slog::{Drain, Level, LevelFilter, Logger, o};
use slog_async::{Async, OverflowStrategy};

use crate::settings::{Log, LogForm, LogLevel, Settings};

/// Builds the logger that `settings` asks for; it writes to standard error.
pub(crate) fn build(settings: &Settings) -> Logger {
    let fields = o!(
        "instance" => settings.instance.to_string(),
        "zone" => settings.zone.to_string(),
    );
    match settings.log.form {
        LogForm::Json => {
            let drain = slog_json::Json::default(io::stderr());
            Logger::root(buffered(&settings.log, drain.ignore_res()), fields)
        }
        LogForm::Terminal => {
            let decorator = slog_term::PlainDecorator::new(io::stderr());
            let drain = slog_term::FullFormat::new(decorator).build();
            Logger::root(buffered(&settings.log, drain.ignore_res()), fields)
        }
    }
}

fn buffered<D>(log: &Log, drain: D) -> slog::Fuse<LevelFilter<Async>>
where
    D: Drain<Ok = (), Err = slog::Never> + Send + 'static,
{
    let buffer = Async::new(drain)
        .chan_size(log.buffer_lines)
        .overflow_strategy(OverflowStrategy::DropAndReport)
        .thread_name("log".to_owned())
        .build();
    LevelFilter::new(buffer, level(log.level)).fuse()
}

fn level(level: LogLevel) -> Level {
    match level {
        LogLevel::Error => Level::Error,
        LogLevel::Warn => Level::Warning,
        LogLevel::Info => Level::Info,
        LogLevel::Debug => Level::Debug,
    }
}
