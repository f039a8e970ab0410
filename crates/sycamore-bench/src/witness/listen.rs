//! The witness' side: collecting.

use super::{Ledger, Sighting};
use crate::{BenchError, Result};
use error_stack::ResultExt;
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::Duration;

/// Time between two looks for a new connection.
const ACCEPT_INTERVAL: Duration = Duration::from_millis(20);

/// Time between two looks at whether all that was sent has been read.
const SETTLE_INTERVAL: Duration = Duration::from_millis(50);

/// Collects reports on threads of its own, so that a busy load generator loses none.
pub struct Witness {
    addr: SocketAddr,
    seen: Arc<Mutex<Vec<Sighting>>>,
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Witness {
    /// Starts to listen on `addr`; port 0 takes a free one.
    ///
    /// # Errors
    /// [`BenchError::Io`] where the address is taken.
    pub fn start(addr: SocketAddr) -> Result<Self> {
        let context = || BenchError::Io(format!("witness on {addr}"));
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

    /// Where upstreams report to.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// All reports so far, once no more arrive.
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

    /// The reports that have arrived.
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

type Seen = Arc<Mutex<Vec<Sighting>>>;

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
    let ready = stream
        .set_nonblocking(false)
        .and_then(|()| stream.set_read_timeout(Some(Duration::from_millis(200))));
    if ready.is_err() {
        return;
    }
    let mut lines = BufReader::new(stream);
    let mut line = Vec::new();
    while !stop.load(Ordering::Relaxed) {
        match lines.read_until(b'\n', &mut line) {
            Ok(0) => return,
            // A line that broke off by the timeout goes on with the next read.
            Ok(_) if line.ends_with(b"\n") => {
                if let Ok(sighting) = serde_json::from_slice(&line) {
                    seen.lock().unwrap_or_else(PoisonError::into_inner).push(sighting);
                }
                line.clear();
            }
            Ok(_) => return,
            Err(error) if matches!(error.kind(), std::io::ErrorKind::WouldBlock) => {}
            Err(_) => return,
        }
    }
}
