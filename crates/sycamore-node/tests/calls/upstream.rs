//! Fake upstream whose behaviour is chosen by the last segment of a request's path.

use bytes::{Bytes, BytesMut};
use monoio::io::{OwnedWriteHalf, Splitable};
use monoio::net::{TcpListener, TcpStream};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use sycamore_http::conn::{write_all, Reader};
use sycamore_http::wire::request_framing;
use sycamore_http::{BodyDecoder, HeadLimits, RequestHead};

#[derive(Default)]
struct Shared {
    /// Paths of the requests that ran, in order.
    runs: RefCell<Vec<String>>,
    /// Heads of the requests that ran, in order.
    heads: RefCell<Vec<RequestHead>>,
    running: Cell<usize>,
    most_running: Cell<usize>,
    cancelled: Cell<usize>,
    crashed: Cell<bool>,
    released: Cell<bool>,
    /// Answers without end that the node has cut off.
    ended: Cell<usize>,
    /// Number of connections opened so far; gives the number of the next one.
    opened: Cell<u64>,
    /// Number below which connections answer no further request.
    muted: Cell<u64>,
    /// Header lines that every answer has in addition, each with its line break.
    fields: RefCell<String>,
    /// Times at which the requests that ran arrived.
    arrivals: RefCell<Vec<Instant>>,
}

/// Fake upstream that listens on loopback.
pub struct Upstream {
    address: SocketAddr,
    shared: Rc<Shared>,
}

impl Upstream {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let shared: Rc<Shared> = Rc::default();
        monoio::spawn(accept(listener, shared.clone()));
        Self { address, shared }
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of requests that ran whose path ends in `name`.
    pub fn runs(&self, name: &str) -> usize {
        self.shared.runs.borrow().iter().filter(|path| path.ends_with(name)).count()
    }

    /// Returns the maximum number of requests that ran at the same time.
    pub fn most_running(&self) -> usize {
        self.shared.most_running.get()
    }

    /// Returns the number of requests whose connection was closed while they ran.
    pub fn cancelled(&self) -> usize {
        self.shared.cancelled.get()
    }

    /// Returns the number of answers without end that the node has cut off.
    #[allow(dead_code, reason = "only tests/endless has such answers")]
    pub fn ended(&self) -> usize {
        self.shared.ended.get()
    }

    /// Returns the header field `name` of the last request.
    pub fn last_field(&self, name: &str) -> Option<String> {
        let heads = self.shared.heads.borrow();
        let value = heads.last()?.headers.get(name)?;
        Some(String::from_utf8_lossy(value.as_bytes()).into_owned())
    }

    /// Returns the number of connections that were opened so far.
    #[allow(dead_code, reason = "tests/endless counts no connections")]
    pub fn opened(&self) -> u64 {
        self.shared.opened.get()
    }

    /// Stops answering on the connections that are open, without closing them; new ones are served.
    pub fn mute(&self) {
        self.shared.muted.set(self.shared.opened.get());
    }

    /// Has every later answer carry `fields`, header lines with their line breaks.
    #[allow(dead_code, reason = "tests/endless needs no such fields")]
    pub fn set_fields(&self, fields: &str) {
        *self.shared.fields.borrow_mut() = fields.to_owned();
    }

    /// Returns the maximum number of requests that arrived within any span of `window` since
    /// `start`.
    #[allow(dead_code, reason = "tests/endless counts no arrivals")]
    pub fn most_arrivals(&self, start: Instant, window: Duration) -> usize {
        let arrivals = self.shared.arrivals.borrow();
        let counted: Vec<Instant> = arrivals.iter().copied().filter(|at| *at >= start).collect();
        let within =
            |(i, from): (usize, &Instant)| counted.partition_point(|at| *at < *from + window) - i;
        counted.iter().enumerate().map(within).max().unwrap_or_default()
    }

    /// Has every request for `wait` answered, running and later ones.
    pub fn release(&self) {
        self.shared.released.set(true);
    }
}

async fn accept(listener: TcpListener, shared: Rc<Shared>) {
    while !shared.crashed.get() {
        let waiting = monoio::time::timeout(Duration::from_millis(1), listener.accept());
        if let Ok(Ok((stream, _))) = waiting.await {
            stream.set_nodelay(true).unwrap();
            let shared = shared.clone();
            monoio::spawn(async move {
                let serve = serve(stream, &shared);
                let crash = crash(&shared);
                futures::future::select(std::pin::pin!(serve), std::pin::pin!(crash)).await;
            });
        }
    }
}

async fn crash(shared: &Shared) {
    while !shared.crashed.get() {
        monoio::time::sleep(Duration::from_millis(1)).await;
    }
}

async fn serve(stream: TcpStream, shared: &Shared) {
    let (read, mut writer) = stream.into_split();
    let mut reader = Reader::new(read);
    let number = shared.opened.get();
    shared.opened.set(number + 1);
    // Refusal that the connection carried, which a faulty upstream writes once more.
    let mut refusal = None;
    while let Ok(head) = reader.request_head(&HeadLimits::DEFAULT).await {
        if number < shared.muted.get() {
            std::future::pending::<()>().await;
        }
        let path = head.uri.path().to_owned();
        let framing = request_framing(&head).unwrap();
        shared.heads.borrow_mut().push(head);
        shared.runs.borrow_mut().push(path.clone());
        shared.arrivals.borrow_mut().push(Instant::now());
        let running = Running::new(shared);
        let Ok(body) = reader.body(BodyDecoder::new(framing), usize::MAX).await else { return };
        let answer = {
            let work = work(&path, &body, shared);
            let gone = reader.wait_until_closed();
            match futures::future::select(std::pin::pin!(work), std::pin::pin!(gone)).await {
                futures::future::Either::Left((answer, _)) => answer,
                futures::future::Either::Right(_) => {
                    shared.cancelled.set(shared.cancelled.get() + 1);
                    return;
                }
            }
        };
        drop(running);
        if let Some((prefix, repeated)) = endless(&path) {
            return write_without_end(&mut writer, prefix, repeated, &path, shared).await;
        }
        let Some((bytes, keep)) = answer else { return };
        let bytes = with_fields(&bytes, &shared.fields.borrow());
        if path.ends_with("shed") {
            refusal = Some(bytes.clone());
        }
        if let Some(refusal) = refusal.clone().filter(|_| path.ends_with("repeats")) {
            // The answer follows in a packet of its own.
            if write_all(&mut writer, refusal).await.is_err() {
                return;
            }
            monoio::time::sleep(Duration::from_millis(20)).await;
        }
        if write_all(&mut writer, bytes).await.is_err() || !keep {
            return;
        }
    }
}

/// Returns an answer with `fields` behind its status line.
fn with_fields(answer: &Bytes, fields: &str) -> Bytes {
    let status_line = answer.windows(2).position(|pair| pair == b"\r\n").map_or(0, |at| at + 2);
    let mut bytes = BytesMut::from(&answer[..status_line]);
    bytes.extend_from_slice(fields.as_bytes());
    bytes.extend_from_slice(&answer[status_line..]);
    bytes.freeze()
}

/// Returns the first bytes of an answer without end and those that follow again and again.
fn endless(path: &str) -> Option<(&'static str, &'static str)> {
    let chunked = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    let name = path.rsplit('/').next()?;
    Some(match name.strip_suffix("-drip").unwrap_or(name) {
        "endless-junk" => ("", "no answer "),
        "endless-status" => ("HTTP/1.1 200 ", "OK "),
        "endless-fields" => ("HTTP/1.1 200 OK\r\n", "x-more: 1\r\n"),
        "endless-interim" => ("", "HTTP/1.1 102 Processing\r\n\r\n"),
        "endless-extension" => (chunked, "5;x="),
        "endless-trailers" => {
            ("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n", "x-more: 1\r\n")
        }
        "endless-extra" => ("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok", "more"),
        "endless-body" => ("HTTP/1.1 200 OK\r\n\r\n", "body "),
        _ => return None,
    })
}

/// Writes `prefix`, then `repeated` until the connection is closed: as fast as the reader takes it,
/// or one byte at a time for paths that end in `-drip`.
async fn write_without_end(
    writer: &mut OwnedWriteHalf<TcpStream>,
    prefix: &'static str,
    repeated: &'static str,
    path: &str,
    shared: &Shared,
) {
    let is_drip = path.ends_with("-drip");
    let piece = if is_drip { Bytes::from(repeated) } else { repeated.repeat(2_000).into() };
    let pieces = std::iter::once(Bytes::from(prefix)).chain(std::iter::repeat(piece));
    for mut rest in pieces {
        while !rest.is_empty() {
            let next = rest.split_to(if is_drip { 1 } else { rest.len() });
            if write_all(writer, next).await.is_err() {
                shared.ended.set(shared.ended.get() + 1);
                return;
            }
            if is_drip {
                monoio::time::sleep(Duration::from_millis(1)).await;
            }
        }
    }
}

/// Count of a running request, removed on drop.
struct Running<'a>(&'a Shared);

impl<'a> Running<'a> {
    fn new(shared: &'a Shared) -> Self {
        shared.running.set(shared.running.get() + 1);
        shared.most_running.set(shared.most_running.get().max(shared.running.get()));
        Self(shared)
    }
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.0.running.set(self.0.running.get() - 1);
    }
}

/// Returns the answer's bytes and whether the connection stays open; `None` closes it without an
/// answer.
async fn work(path: &str, body: &[u8], shared: &Shared) -> Option<(Bytes, bool)> {
    let raw = |text: &str, keep| Some((Bytes::copy_from_slice(text.as_bytes()), keep));
    let name = path.rsplit('/').next().unwrap_or_default();
    if let Some(status) = name.strip_prefix("status-") {
        return raw(&format!("HTTP/1.1 {status} Any\r\ncontent-length: 0\r\n\r\n"), true);
    }
    match name {
        "wait" => {
            while !shared.released.get() {
                monoio::time::sleep(Duration::from_millis(1)).await;
            }
            whole("200 OK", body)
        }
        "slow" => {
            monoio::time::sleep(Duration::from_millis(50)).await;
            whole("200 OK", body)
        }
        "crash" => {
            monoio::time::sleep(Duration::from_millis(5)).await;
            shared.crashed.set(true);
            None
        }
        "close" => None,
        "cut" => raw("HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhello", false),
        "cut-chunks" => {
            raw("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n", false)
        }
        "both" => raw(
            "HTTP/1.1 200 OK\r\ncontent-length: 5\r\ntransfer-encoding: chunked\r\n\r\nhello",
            true,
        ),
        "unframed" => raw("HTTP/1.1 200 OK\r\n\r\nhello", false),
        "extra" => raw(
            "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nokHTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\ncross",
            true,
        ),
        "chunks" => raw(
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5;x=y\r\nhello\r\n0\r\na: b\r\n\r\n",
            true,
        ),
        "hop" => raw(
            "HTTP/1.1 200 OK\r\nconnection: x-one\r\nx-one: 1\r\nx-shift-load: 9/9/9\r\ncontent-length: 2\r\n\r\nok",
            true,
        ),
        "shed" => raw(
            "HTTP/1.1 503 Service Unavailable\r\nshift-outcome: not-run\r\nretry-after: 1\r\ncontent-length: 0\r\n\r\n",
            true,
        ),
        "liar" => raw("HTTP/1.1 200 OK\r\nshift-outcome: not-run\r\ncontent-length: 0\r\n\r\n", true),
        "fail" => whole("500 Internal Server Error", b"failed"),
        _ => whole("200 OK", body),
    }
}

fn whole(status: &str, body: &[u8]) -> Option<(Bytes, bool)> {
    let mut bytes = BytesMut::from(
        format!("HTTP/1.1 {status}\r\ncontent-length: {}\r\n\r\n", body.len()).as_bytes(),
    );
    bytes.extend_from_slice(body);
    Some((bytes.freeze(), true))
}
