//! Witness: collects the reports of upstreams.

use super::{Ledger, UpstreamEvent};
use crate::{BenchError, Result};
use error_stack::ResultExt;
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::Duration;

/// Time between two checks for a new connection, and for the end of the witness.
const ACCEPT_INTERVAL: Duration = Duration::from_millis(20);

/// Longest wait for a line before a reader checks for the end of the witness.
const READ_TIMEOUT: Duration = Duration::from_millis(200);

/// Time without a new report after which all reports are considered read.
const SETTLE_INTERVAL: Duration = Duration::from_millis(50);

/// Collector of upstreams' reports; reads them on threads of its own, so that a busy load generator
/// doesn't delay or lose any. Dropping it ends the threads.
pub struct Witness {
    addr: SocketAddr,
    seen: Arc<Mutex<Vec<UpstreamEvent>>>,
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Witness {
    /// Starts a witness that listens on `addr`; port 0 selects a free port.
    ///
    /// # Errors
    /// [`BenchError::Io`] if `addr` can't be bound.
    pub fn start(addr: SocketAddr) -> Result<Self> {
        let context = || BenchError::Io(format!("start witness on {addr}"));
        let listener = TcpListener::bind(addr).change_context_lazy(context)?;
        listener.set_nonblocking(true).change_context_lazy(context)?;
        let addr = listener.local_addr().change_context_lazy(context)?;
        let seen = Arc::new(Mutex::new(Vec::new()));
        let stop = Arc::new(AtomicBool::new(false));
        let thread = std::thread::spawn({
            let (seen, stop) = (seen.clone(), stop.clone());
            move || accept(&listener, &seen, &stop)
        });
        Ok(Self { addr, seen, stop, thread: Some(thread) })
    }

    /// Returns the address that upstreams report to.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Waits until no reports arrive any more and returns all of them.
    pub async fn ledger(&self) -> Ledger {
        let mut count = usize::MAX;
        loop {
            let now = self.seen.lock().unwrap_or_else(PoisonError::into_inner).len();
            if now == count {
                break;
            }
            count = now;
            monoio::time::sleep(SETTLE_INTERVAL).await;
        }
        self.so_far()
    }

    /// Returns the reports that have arrived so far.
    pub fn so_far(&self) -> Ledger {
        Ledger::new(self.seen.lock().unwrap_or_else(PoisonError::into_inner).clone())
    }
}

impl Drop for Witness {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

type Seen = Arc<Mutex<Vec<UpstreamEvent>>>;

fn accept(listener: &TcpListener, seen: &Seen, stop: &Arc<AtomicBool>) {
    let mut readers = Vec::new();
    while !stop.load(Ordering::Relaxed) {
        match listener.accept() {
            Ok((stream, _)) => {
                let (seen, stop) = (seen.clone(), stop.clone());
                readers.push(std::thread::spawn(move || read(stream, &seen, &stop)));
            }
            Err(_) => std::thread::sleep(ACCEPT_INTERVAL),
        }
    }
    for reader in readers {
        let _ = reader.join();
    }
}

fn read(stream: TcpStream, seen: &Seen, stop: &AtomicBool) {
    let ready =
        stream.set_nonblocking(false).and_then(|()| stream.set_read_timeout(Some(READ_TIMEOUT)));
    if ready.is_err() {
        return;
    }
    let mut lines = BufReader::new(stream);
    let mut line = Vec::new();
    while !stop.load(Ordering::Relaxed) {
        match lines.read_until(b'\n', &mut line) {
            Ok(0) => return,
            // After a timeout `line` keeps the part that was read, and the next read appends.
            Ok(_) if line.ends_with(b"\n") => {
                if let Ok(event) = serde_json::from_slice(&line) {
                    seen.lock().unwrap_or_else(PoisonError::into_inner).push(event);
                }
                line.clear();
            }
            Ok(_) => return,
            Err(error) if matches!(error.kind(), std::io::ErrorKind::WouldBlock) => {}
            Err(_) => return,
        }
    }
}
