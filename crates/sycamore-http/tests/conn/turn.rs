//! Tests of streams that are always ready: a task that uses one leaves the event loop to the others.

use super::run;
use bytes::BytesMut;
use monoio::buf::{IoBuf, IoVecBuf};
use monoio::io::AsyncWriteRent;
use monoio::time::sleep;
use monoio::BufResult;
use std::cell::Cell;
use std::future::Future;
use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};
use sycamore_http::conn::{relay_body, ReadError, Reader};
use sycamore_http::{BodyDecoder, BodyEncoder, Framing, HeadLimits};

/// Shortest time that the tested task must take, so that it is longer than a turn by far.
const MIN_TIME: Duration = Duration::from_millis(60);
/// Interval of the other task of the thread, and its longest time between two wake-ups: some turns
/// without optimisation.
const INTERVAL: Duration = Duration::from_millis(2);
const MAX_GAP: Duration = Duration::from_millis(40);

/// Writer that takes everything at once.
struct Sink;

impl AsyncWriteRent for Sink {
    async fn write<T: IoBuf>(&mut self, buf: T) -> BufResult<usize, T> {
        (Ok(buf.bytes_init()), buf)
    }

    async fn writev<T: IoVecBuf>(&mut self, buf: T) -> BufResult<usize, T> {
        (Err(io::ErrorKind::Unsupported.into()), buf)
    }

    async fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }

    async fn shutdown(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Runs `task` beside another one that wakes up each [`INTERVAL`], and checks that it did.
#[track_caller]
fn assert_gives_way(task: impl Future) {
    let (took, gap) = run(async {
        let (latest, gap) = (Rc::new(Cell::new(Instant::now())), Rc::new(Cell::default()));
        let (seen, longest) = (latest.clone(), gap.clone());
        let _other = monoio::spawn(async move {
            loop {
                sleep(INTERVAL).await;
                let since = seen.replace(Instant::now()).elapsed();
                longest.set(since.max(longest.get()));
            }
        });
        let began = Instant::now();
        task.await;
        (began.elapsed(), gap.get().max(latest.get().elapsed()))
    });
    assert!(took >= MIN_TIME, "the input was processed in {took:?}");
    assert!(gap <= MAX_GAP, "the other task did not run for {gap:?} of {took:?}");
}

/// Returns a body in chunks of `size` bytes, `bytes` in all, without its end.
fn chunks(size: usize, bytes: usize) -> Vec<u8> {
    let piece = format!("{size:x}\r\n{}\r\n", "x".repeat(size));
    piece.repeat(bytes / piece.len()).into_bytes()
}

async fn relay(input: &[u8]) {
    let mut reader = Reader::new(input);
    let mut decoder = BodyDecoder::new(Framing::Chunked);
    let encoder = BodyEncoder::new(Framing::Chunked);
    let relayed = relay_body(&mut reader, &mut decoder, &mut Sink, encoder, BytesMut::new()).await;
    assert!(matches!(relayed, Ok(Err(ReadError::Cut))));
}

// Guards against a body that takes the thread for as long as its sender is fast enough: neither the
// relay's own timeout nor any other task would run.
#[test]
fn relay_of_a_body_without_end_gives_way() {
    for input in [chunks(1, 2 << 20), chunks(8 << 10, 200 << 20)] {
        assert_gives_way(relay(&input));
    }
}

// Guards against the same in bytes that are dropped.
#[test]
fn discard_of_bytes_without_end_gives_way() {
    let input = vec![b'x'; 400 << 20];
    assert_gives_way(Reader::new(&input[..]).discard(usize::MAX));
}

// Guards against a caller that sends requests without waiting for their answers, faster than they are
// answered.
#[test]
fn requests_that_are_always_there_give_way() {
    let input = b"GET /nowhere HTTP/1.1\r\nhost: a\r\n\r\n".repeat(40_000);
    assert_gives_way(async {
        let mut reader = Reader::new(&input[..]);
        while reader.wait_for_message().await.is_ok() {
            reader.request_head(&HeadLimits::DEFAULT).await.unwrap();
        }
    });
}
