//! Tests of the body relay: large bodies pass unchanged, and a truncated body is an error.

use super::{pair, run};
use bytes::{Bytes, BytesMut};
use monoio::io::{AsyncWriteRentExt, Splitable};
use sycamore_http::conn::{relay_body, write_all, ReadError, Reader};
use sycamore_http::{BodyDecoder, BodyEncoder, Framing};

const PHOTO_BYTES: usize = 12 << 20;

/// Sends `sent` as a body framed as `from` through the relay, which frames it as `to`. Returns the
/// relay's result and the body that was received, which is empty if it was incomplete.
async fn relay(sent: Vec<u8>, from: Framing, to: Framing) -> (Result<(), ReadError>, Vec<u8>) {
    let (mut near, far) = pair().await;
    let (back, front) = pair().await;
    let sender = monoio::spawn(async move { near.write_all(sent).await.0.map(drop) });
    let receiver = monoio::spawn(async move {
        let (read, _write) = front.into_split();
        let body = Reader::new(read).body(BodyDecoder::new(to), usize::MAX).await;
        body.map_or_else(|_| Vec::new(), Vec::from)
    });
    let (read, _keep) = far.into_split();
    let (_keep, mut write) = back.into_split();
    let mut reader = Reader::new(read);
    let relayed = relay_body(
        &mut reader,
        &mut BodyDecoder::new(from),
        &mut write,
        BodyEncoder::new(to),
        BytesMut::new(),
    )
    .await;
    drop(write);
    sender.await.unwrap();
    (relayed.unwrap(), receiver.await)
}

// Guards against lost, repeated or reordered bytes in a body far larger than one read.
#[test]
fn large_body_is_relayed_unchanged_in_either_framing() {
    let photo: Vec<u8> = (0..PHOTO_BYTES).map(|i| (i % 251) as u8).collect();
    let length = Framing::Length(PHOTO_BYTES as u64);
    let (relayed, got) = run(relay(photo.clone(), length, length));
    assert!(relayed.is_ok());
    assert!(got == photo);
    let (relayed, got) = run(relay(photo.clone(), length, Framing::Chunked));
    assert!(relayed.is_ok());
    assert!(got == photo);
}

// Guards against relaying a body that ends early, because its sender closed the connection, as a
// complete shorter body.
#[test]
fn truncated_body_is_an_error_and_never_a_complete_shorter_body() {
    let (relayed, got) = run(relay(vec![7; 5], Framing::Length(9), Framing::Length(9)));
    assert!(matches!(relayed, Err(ReadError::Cut)));
    assert_eq!(got, []);
    let cut = Bytes::from_static(b"5\r\nhello\r\n").to_vec();
    let (relayed, got) = run(relay(cut, Framing::Chunked, Framing::Chunked));
    assert!(matches!(relayed, Err(ReadError::Cut)));
    assert_eq!(got, []);
}

// Guards against refusing a body that has no length and ends when its sender closes the connection.
#[test]
fn body_without_a_length_is_relayed_in_chunks_until_its_connection_closes() {
    let (relayed, got) = run(relay(b"whole".to_vec(), Framing::UntilClose, Framing::Chunked));
    assert!(relayed.is_ok());
    assert_eq!(got, b"whole");
}

// Guards against taking a connection reset as the end of a body without a length, which would make
// a truncated body look complete.
#[test]
fn connection_reset_does_not_end_a_body_without_a_length() {
    run(async {
        let (near, far) = pair().await;
        let (read, _write) = far.into_split();
        let mut reader = Reader::new(read);
        let sending = monoio::spawn(async move {
            let mut near = near;
            near.write_all(b"half".to_vec()).await.0.unwrap();
            monoio::time::sleep(std::time::Duration::from_millis(50)).await;
            // With a linger time of zero, closing the socket resets the connection.
            let linger = nix::libc::linger { l_onoff: 1, l_linger: 0 };
            let fd = std::os::fd::AsRawFd::as_raw_fd(&near);
            nix::sys::socket::setsockopt(fd, nix::sys::socket::sockopt::Linger, &linger).unwrap();
        });
        let body = reader.body(BodyDecoder::new(Framing::UntilClose), usize::MAX).await;
        sending.await;
        assert!(matches!(body, Err(ReadError::Io(_))), "{body:?}");
    });
}

// Guards against a truncated body that looks complete because a write on the connection consumed the
// report of its reset: an operating system gives it once.
#[test]
fn reset_that_a_write_reported_does_not_end_a_body_without_a_length() {
    run(async {
        let (near, far) = pair().await;
        let (read, mut write) = far.into_split();
        let mut reader = Reader::new(read);
        let mut near = near;
        near.write_all(b"half".to_vec()).await.0.unwrap();
        let linger = nix::libc::linger { l_onoff: 1, l_linger: 0 };
        let fd = std::os::fd::AsRawFd::as_raw_fd(&near);
        nix::sys::socket::setsockopt(fd, nix::sys::socket::sockopt::Linger, &linger).unwrap();
        drop(near);
        let failure = loop {
            if let Err(err) = write_all(&mut write, Bytes::from_static(b"upload")).await {
                break err.kind();
            }
            monoio::time::sleep(std::time::Duration::from_millis(1)).await;
        };
        reader.record_write_failure(failure);
        for _ in 0..2 {
            let body = reader.body(BodyDecoder::new(Framing::UntilClose), usize::MAX).await;
            assert!(matches!(body, Err(ReadError::Io(_))), "{body:?}");
        }
    });
}
