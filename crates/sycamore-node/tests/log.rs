//! Tests that the log never blocks the node while its reader is stalled.

use slog::info;
use std::io::Write;
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use sycamore_node::hub::log::logger;
use sycamore_settings::operator::Log;
use sycamore_settings::Settings;

/// Capacity of the log's queue, in lines.
const QUEUE_LINES: u32 = 64;
/// Lines logged while the reader is stalled.
const FLOOD_LINES: u32 = 20_000;

fn settings() -> Settings {
    Settings { log: Log { queue: QUEUE_LINES, ..Log::default() }, ..Settings::default() }
}

/// Output that blocks on its first write until it is released, and then collects all lines.
struct StalledOutput {
    release: Receiver<()>,
    released: bool,
    lines: Arc<Mutex<Vec<u8>>>,
}

impl Write for StalledOutput {
    fn write(&mut self, buf: &[u8]) -> std::io::Result<usize> {
        if !self.released {
            self.released = self.release.recv().is_ok();
        }
        self.lines.lock().expect("no writer panicked").extend_from_slice(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

fn stalled_output() -> (StalledOutput, Sender<()>, Arc<Mutex<Vec<u8>>>) {
    let (tx, release) = channel();
    let lines = Arc::<Mutex<Vec<u8>>>::default();
    (StalledOutput { release, released: false, lines: lines.clone() }, tx, lines)
}

/// A reader of the node's output that stalls must not block logging. Lines beyond the queue's
/// capacity are dropped; their number must appear in the log and in the counter.
#[test]
fn logging_to_a_stalled_reader_returns_and_reports_the_dropped_lines() {
    let (out, release, lines) = stalled_output();
    let (log, dropped) = logger(&settings(), out);
    let begun = Instant::now();
    for number in 0..FLOOD_LINES {
        info!(log, "flood"; "number" => number);
    }
    // A log that waited for its reader would block here forever.
    assert!(begun.elapsed() < Duration::from_secs(5), "{:?}", begun.elapsed());
    release.send(()).expect("the reader waits");
    // The count of dropped lines is logged before the first line that finds room again.
    let whole = format!("number={}", QUEUE_LINES - 1);
    while !String::from_utf8_lossy(&lines.lock().expect("no panic")).contains(&whole) {
        std::thread::sleep(Duration::from_millis(1));
    }
    info!(log, "after");
    drop(log);
    let text = String::from_utf8(lines.lock().expect("no writer panicked").clone());
    let text = text.expect("lines are text");
    let kept = text.lines().filter(|line| line.contains("flood")).count();
    assert!(kept <= 2 * QUEUE_LINES as usize, "{kept} lines were kept");
    let reports = text.lines().filter_map(|line| line.split_once("log lines dropped"));
    let counts =
        reports.filter_map(|(_, fields)| fields.rsplit_once("lines=")?.1.parse::<u64>().ok());
    assert_eq!(counts.sum::<u64>(), dropped.get(), "not every dropped line is reported: {text}");
    assert_eq!(kept as u64 + dropped.get(), u64::from(FLOOD_LINES));
}

/// A line break in a name of somebody else's must not begin a line of its own, which readers would take
/// for an event of the node.
#[test]
fn a_line_break_in_a_value_adds_no_line() {
    let (out, release, lines) = stalled_output();
    release.send(()).expect("the output waits");
    let (log, _) = logger(&settings(), out);
    let name = "a\nmsg=forged level=ERRO\r\u{2028}\u{85}b\"c\\";
    info!(log, "odd"; "name" => name, "debug" => ?name);
    drop(log);
    let text = String::from_utf8(lines.lock().expect("no writer panicked").clone());
    let text = text.expect("lines are text");
    assert_eq!(text.trim_end().lines().count(), 1, "{text}");
    assert!(!text.contains('\r'), "{text}");
}
