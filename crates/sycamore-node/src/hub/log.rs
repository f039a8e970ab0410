//! The log: one line of key=value pairs for each event, on standard error.

use super::Clock;
use slog::{o, Drain, FnValue, Level, LevelFilter, Logger};
use slog_logfmt::Logfmt;
use std::sync::Mutex;
use sycamore_settings::operator::LogLevel;
use sycamore_settings::Settings;

/// A logger that names the instance on each line.
pub fn logger(settings: &Settings) -> Logger {
    let level = match settings.log.level {
        LogLevel::Error => Level::Error,
        LogLevel::Warn => Level::Warning,
        LogLevel::Info => Level::Info,
        LogLevel::Debug => Level::Debug,
    };
    let lines = Logfmt::new(std::io::stderr()).no_prefix().print_msg(true).print_level(true);
    let lines = lines.build().fuse();
    let drain = LevelFilter::new(Mutex::new(lines).map(slog::Fuse), level).fuse();
    let instance = settings.node.instance.to_string();
    let time = FnValue(|_| Clock::start().wall().0);
    Logger::root(drain, o!("instance" => instance, "time_ms" => time))
}
