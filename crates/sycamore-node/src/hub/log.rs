//! The log: one line of key=value pairs for each event, on standard output.
//!
//! A thread of its own writes the lines, so that a reader that stops reading stops nothing else: the
//! queue before it is bounded, and lines that find it full are dropped and counted in a line.

use super::Clock;
use prometheus::IntCounter;
use slog::{o, record, Drain, FnValue, Level, LevelFilter, Logger, Never, OwnedKVList, Record};
use slog_async::AsyncCore;
use slog_logfmt::Logfmt;
use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use sycamore_settings::operator::LogLevel;
use sycamore_settings::Settings;

/// A logger that names the instance on each line and writes to `out`, and the count of lines that
/// found its queue full.
pub fn logger(settings: &Settings, out: impl Write + Send + 'static) -> (Logger, IntCounter) {
    let level = match settings.log.level {
        LogLevel::Error => Level::Error,
        LogLevel::Warn => Level::Warning,
        LogLevel::Info => Level::Info,
        LogLevel::Debug => Level::Debug,
    };
    let lines = Logfmt::new(out).no_prefix().print_msg(true).print_level(true).build().fuse();
    let queue = usize::try_from(settings.log.queue).unwrap_or(usize::MAX);
    let core = AsyncCore::custom(lines).chan_size(queue).blocking(false).build();
    let name = "sycamoreshift_log_dropped_total";
    let dropped = IntCounter::new(name, "Lines that found the queue of the log full");
    let dropped = dropped.expect("the name is well formed");
    let queued = Queue { core, untold: AtomicU64::default(), dropped: dropped.clone() };
    let drain = LevelFilter::new(queued, level).fuse();
    let instance = settings.node.instance.to_string();
    let time = FnValue(|_| Clock::start().wall().0);
    (Logger::root(drain, o!("instance" => instance, "time_ms" => time)), dropped)
}

/// The bounded queue of lines. Lines that find it full are counted, and told of with the next line
/// that finds room.
struct Queue {
    core: AsyncCore,
    untold: AtomicU64,
    dropped: IntCounter,
}

impl Queue {
    fn tell(&self, values: &OwnedKVList) {
        let untold = self.untold.swap(0, Ordering::Relaxed);
        if untold == 0 {
            return;
        }
        let line = slog::b!("lines" => untold);
        let told = self
            .core
            .log(&record!(Level::Warning, "", &format_args!("log lines dropped"), line), values);
        if told.is_err() {
            self.untold.fetch_add(untold, Ordering::Relaxed);
        }
    }
}

impl Drain for Queue {
    type Ok = ();
    type Err = Never;

    fn log(&self, line: &Record<'_>, values: &OwnedKVList) -> Result<(), Never> {
        self.tell(values);
        if self.core.log(line, values).is_err() {
            self.untold.fetch_add(1, Ordering::Relaxed);
            self.dropped.inc();
        }
        Ok(())
    }
}
