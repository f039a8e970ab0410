//! Structured log of the node on standard output: one line of key=value pairs per record.
//!
//! A separate thread writes the lines, so a stalled reader never blocks the node. The queue to that
//! thread is bounded; lines that find it full are dropped, and their number is logged later.

use super::Clock;
use prometheus::IntCounter;
use slog::{o, record, Drain, FnValue, Level, LevelFilter, Logger, Never, OwnedKVList, Record};
use slog_async::AsyncCore;
use slog_logfmt::Logfmt;
use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use sycamore_settings::operator::LogLevel;
use sycamore_settings::Settings;

/// Creates a logger that writes to `out` and adds the instance and the wall-clock time to each
/// line, and the counter of lines dropped because its queue was full.
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
    let dropped = IntCounter::new(name, "Log lines dropped because the log's queue was full");
    let dropped = dropped.expect("the name is well formed");
    let queued = Queue { core, unreported: AtomicU64::default(), dropped: dropped.clone() };
    let drain = LevelFilter::new(queued, level).fuse();
    let instance = settings.node.instance.to_string();
    let time = FnValue(|_| Clock::start().wall().0);
    (Logger::root(drain, o!("instance" => instance, "time_ms" => time)), dropped)
}

/// Bounded queue of log lines. Lines that find it full are dropped and counted; the count is logged
/// before the next line that finds room.
struct Queue {
    core: AsyncCore,
    unreported: AtomicU64,
    dropped: IntCounter,
}

impl Queue {
    /// Logs the number of dropped lines that was not reported yet, if there is room in the queue.
    fn report_dropped(&self, values: &OwnedKVList) {
        let unreported = self.unreported.swap(0, Ordering::Relaxed);
        if unreported == 0 {
            return;
        }
        let line = slog::b!("lines" => unreported);
        let sent = self
            .core
            .log(&record!(Level::Warning, "", &format_args!("log lines dropped"), line), values);
        if sent.is_err() {
            self.unreported.fetch_add(unreported, Ordering::Relaxed);
        }
    }
}

impl Drain for Queue {
    type Ok = ();
    type Err = Never;

    fn log(&self, line: &Record<'_>, values: &OwnedKVList) -> Result<(), Never> {
        self.report_dropped(values);
        if self.core.log(line, values).is_err() {
            self.unreported.fetch_add(1, Ordering::Relaxed);
            self.dropped.inc();
        }
        Ok(())
    }
}
