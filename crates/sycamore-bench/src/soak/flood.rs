//! Caller that is always ready: it sends without a pause and drops what it gets, from a thread of its
//! own, so that the node's event loop finds its connection ready each time.

use super::schedule::Flooding;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

/// Size of the blocks that are sent, in bytes.
const BLOCK_BYTES: usize = 64 << 10;
/// Time after which a read or write fails, and the thread looks whether it is to end.
const IO_TIMEOUT: Duration = Duration::from_millis(200);
/// Pause after a connection that ended.
const RECONNECT_PAUSE: Duration = Duration::from_millis(20);

/// Running flood; its thread ends and is joined when this is dropped.
pub(super) struct Flood {
    ended: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Flood {
    /// Starts to flood the callers' listener at `node` with requests for `path`.
    pub(super) fn start(node: SocketAddr, path: &str, flooding: Flooding) -> Self {
        let ended = Arc::new(AtomicBool::new(false));
        let (seen, path) = (ended.clone(), path.to_owned());
        let thread = std::thread::spawn(move || {
            while !seen.load(Ordering::Relaxed) {
                // A node that is down or closes the connection is flooded again later.
                drop(flood(node, &path, flooding, &seen));
                std::thread::sleep(RECONNECT_PAUSE);
            }
        });
        Self { ended, thread: Some(thread) }
    }
}

impl Drop for Flood {
    fn drop(&mut self) {
        self.ended.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            // A panic of the thread has been printed.
            drop(thread.join());
        }
    }
}

/// Floods one connection until it ends or `ended` is set.
fn flood(
    node: SocketAddr,
    path: &str,
    flooding: Flooding,
    ended: &AtomicBool,
) -> std::io::Result<()> {
    let mut stream = TcpStream::connect_timeout(&node, IO_TIMEOUT)?;
    stream.set_read_timeout(Some(IO_TIMEOUT))?;
    stream.set_write_timeout(Some(IO_TIMEOUT))?;
    let (start, piece) = match flooding {
        Flooding::Chunks => {
            let start =
                format!("POST {path} HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n");
            (start, "1\r\nx\r\n".to_owned())
        }
        Flooding::Requests => (String::new(), "GET /none HTTP/1.1\r\nhost: a\r\n\r\n".to_owned()),
    };
    let block = piece.repeat(BLOCK_BYTES / piece.len());
    let mut sender = stream.try_clone()?;
    let sending = std::thread::scope(|scope| {
        let sending = scope.spawn(move || {
            sender.write_all(start.as_bytes())?;
            while !ended.load(Ordering::Relaxed) {
                sender.write_all(block.as_bytes())?;
            }
            Ok(())
        });
        let mut buf = vec![0; BLOCK_BYTES];
        // A read that times out ends the connection: the node answers nothing any more.
        while !ended.load(Ordering::Relaxed) && stream.read(&mut buf).is_ok_and(|read| read > 0) {}
        drop(stream.shutdown(Shutdown::Both));
        sending.join()
    });
    sending.unwrap_or(Ok(()))
}
