//! The log: one line of key=value pairs for each event, on standard output.
//!
//! A thread of its own writes the lines, so that a reader that stops reading stops nothing else: the
//! queue before it is bounded, and lines that find it full are dropped and counted in a line.

use super::Clock;
use slog::{o, Drain, FnValue, Level, LevelFilter, Logger};
use slog_async::{Async, OverflowStrategy};
use slog_logfmt::Logfmt;
use std::io::Write;
use sycamore_settings::operator::LogLevel;
use sycamore_settings::Settings;

/// A logger that names the instance on each line and writes to `out`.
pub fn logger(settings: &Settings, out: impl Write + Send + 'static) -> Logger {
    let level = match settings.log.level {
        LogLevel::Error => Level::Error,
        LogLevel::Warn => Level::Warning,
        LogLevel::Info => Level::Info,
        LogLevel::Debug => Level::Debug,
    };
    let lines = Logfmt::new(out).no_prefix().print_msg(true).print_level(true).build().fuse();
    let queue = usize::try_from(settings.log.queue).unwrap_or(usize::MAX);
    let lines = Async::new(lines)
        .chan_size(queue)
        .overflow_strategy(OverflowStrategy::DropAndReport)
        .build()
        .fuse();
    let drain = LevelFilter::new(lines, level).fuse();
    let instance = settings.node.instance.to_string();
    let time = FnValue(|_| Clock::start().wall().0);
    Logger::root(drain, o!("instance" => instance, "time_ms" => time))
}
