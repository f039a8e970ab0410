//! Kills all started processes when this process gets SIGINT or SIGTERM, or a run exceeds its time
//! limit.
//!
//! A started process is also killed when its [`super::Process`] is dropped, for instance by a panic.
//! Only SIGKILL of this process leaves started processes behind.

use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use std::collections::BTreeSet;
use std::sync::mpsc::{channel, RecvTimeoutError, Sender};
use std::sync::{Mutex, MutexGuard, Once, PoisonError};
use std::thread::JoinHandle;
use std::time::Duration;

/// Ids of the processes that were started and not waited for.
static STARTED: Mutex<BTreeSet<i32>> = Mutex::new(BTreeSet::new());
/// Installation of the signal handler, with the first started process.
static HANDLER: Once = Once::new();

/// Exit status after SIGINT or SIGTERM.
const INTERRUPTED_STATUS: i32 = 130;
/// Exit status after a run exceeded its time limit.
const TIMEOUT_STATUS: i32 = 124;

fn started() -> MutexGuard<'static, BTreeSet<i32>> {
    STARTED.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Registers a started process to be killed with this one.
pub(super) fn add(pid: i32) {
    HANDLER.call_once(handle_signals);
    started().insert(pid);
}

/// Removes a process that has ended or is about to be waited for: its id may then be reused.
pub(super) fn remove(pid: i32) {
    started().remove(&pid);
}

/// Time limit of a run, lifted when dropped.
pub struct RunLimit {
    lift: Option<Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

/// Exits this process and kills all processes that it started once `limit` has passed, unless the
/// returned guard is dropped before.
#[must_use = "the limit is lifted when dropped"]
pub fn limit_run(limit: Duration) -> RunLimit {
    let (lift, lifted) = channel();
    let thread = std::thread::spawn(move || {
        if lifted.recv_timeout(limit) == Err(RecvTimeoutError::Timeout) {
            eprintln!("run exceeded its time limit of {limit:?}; killing all processes");
            kill_all_and_exit(TIMEOUT_STATUS);
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
            kill_all_and_exit(INTERRUPTED_STATUS);
        }
    });
}

fn kill_all_and_exit(status: i32) -> ! {
    for pid in started().iter() {
        let _ = kill(Pid::from_raw(*pid), Signal::SIGKILL);
    }
    std::process::exit(status);
}
