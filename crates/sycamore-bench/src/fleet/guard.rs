//! Ends every process that this one started, whatever happens to this one.
//!
//! A started process is ended when its [`super::Process`] is dropped (also by a panic), on SIGINT
//! and SIGTERM, and when the run's time is over. Only SIGKILL of this process leaves them behind.

use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use std::collections::BTreeSet;
use std::sync::mpsc::{channel, RecvTimeoutError, Sender};
use std::sync::{Mutex, MutexGuard, Once, PoisonError};
use std::thread::JoinHandle;
use std::time::Duration;

static STARTED: Mutex<BTreeSet<i32>> = Mutex::new(BTreeSet::new());
static HANDLER: Once = Once::new();

/// Exit status after a signal.
const INTERRUPTED: i32 = 130;
/// Exit status when the run's time was over.
const OUT_OF_TIME: i32 = 124;

fn started() -> MutexGuard<'static, BTreeSet<i32>> {
    STARTED.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Remembers a started process.
pub(super) fn add(pid: i32) {
    HANDLER.call_once(handle_signals);
    started().insert(pid);
}

/// Forgets a process, just before it is waited for.
pub(super) fn remove(pid: i32) {
    started().remove(&pid);
}

/// A bound on the time of a run, lifted when dropped.
pub struct RunLimit {
    lift: Option<Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

/// Ends this process and all that it started when `limit` has passed.
#[must_use = "the limit is lifted when dropped"]
pub fn limit_run(limit: Duration) -> RunLimit {
    let (lift, lifted) = channel();
    let thread = std::thread::spawn(move || {
        if lifted.recv_timeout(limit) == Err(RecvTimeoutError::Timeout) {
            eprintln!("the run took longer than {limit:?}: ended");
            end_all(OUT_OF_TIME);
        }
    });
    RunLimit { lift: Some(lift), thread: Some(thread) }
}

impl Drop for RunLimit {
    fn drop(&mut self) {
        self.lift = None;
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn handle_signals() {
    let Ok(mut signals) = Signals::new([SIGINT, SIGTERM]) else { return };
    std::thread::spawn(move || {
        if signals.forever().next().is_some() {
            end_all(INTERRUPTED);
        }
    });
}

fn end_all(status: i32) -> ! {
    for pid in started().iter() {
        let _ = kill(Pid::from_raw(*pid), Signal::SIGKILL);
    }
    std::process::exit(status);
}
