//! Bodies: whole or refused, never short and never a hang.

use bytes::BytesMut;
use quickcheck::quickcheck;
use sycamore_http::{BodyDecoder, BodyEncoder, BodyError, Framing, Piece};

/// Decodes `bytes` fed in slices of `step`; the body, and whether it ended.
fn decode(framing: Framing, bytes: &[u8], step: usize) -> Result<(Vec<u8>, bool), BodyError> {
    let mut decoder = BodyDecoder::new(framing);
    let mut buf = BytesMut::new();
    let mut body = Vec::new();
    for slice in bytes.chunks(step.max(1)) {
        buf.extend_from_slice(slice);
        loop {
            match decoder.decode(&mut buf)? {
                Piece::Data(data) => body.extend_from_slice(&data),
                Piece::Need => break,
                Piece::End => return Ok((body, true)),
            }
        }
    }
    Ok((body, decoder.is_done()))
}

fn chunked(bytes: &str) -> Result<(Vec<u8>, bool), BodyError> {
    let whole = decode(Framing::Chunked, bytes.as_bytes(), usize::MAX);
    let split = decode(Framing::Chunked, bytes.as_bytes(), 1);
    assert_eq!(whole, split, "{bytes:?} read in one go and byte by byte");
    whole
}

#[test]
fn chunks_are_joined_and_extensions_and_trailers_dropped() {
    let plain = chunked("3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
    assert_eq!(plain, Ok((b"abcde".to_vec(), true)));
    let extended = chunked("3;name=value\r\nabc\r\n0;x\r\nmd5: 0\r\nsig: 1\r\n\r\n");
    assert_eq!(extended, Ok((b"abc".to_vec(), true)));
}

#[test]
fn broken_chunks_are_refused() {
    let cases = [
        ("x\r\n", BodyError::ChunkSize),
        ("\r\n", BodyError::ChunkSize),
        (" 3\r\nabc\r\n", BodyError::ChunkSize),
        ("+3\r\nabc\r\n", BodyError::ChunkSize),
        ("0x3\r\nabc\r\n", BodyError::ChunkSize),
        ("3\nabc\r\n", BodyError::ChunkSize),
        ("ffffffffffffffff\r\n", BodyError::ChunkSize),
        ("3\r\nabcd\r\n", BodyError::ChunkEnd),
        ("3\r\nabc\n", BodyError::ChunkEnd),
        ("0\r\na: b\n\r\n", BodyError::Trailer),
    ];
    for (bytes, err) in cases {
        assert_eq!(chunked(bytes), Err(err), "{bytes:?}");
    }
}

#[test]
fn endless_lines_are_refused_not_awaited() {
    let size = format!("1;{}", "x".repeat(1000));
    assert_eq!(chunked(&size), Err(BodyError::ChunkSize));
    let trailer = format!("0\r\n{}", "a: b\r\n".repeat(4000));
    assert_eq!(chunked(&trailer), Err(BodyError::Trailer));
    let line = format!("0\r\n{}", "a".repeat(10_000));
    assert_eq!(chunked(&line), Err(BodyError::Trailer));
}

#[test]
fn a_short_body_never_ends() {
    assert_eq!(decode(Framing::Length(5), b"abc", 1), Ok((b"abc".to_vec(), false)));
    assert_eq!(chunked("5\r\nabc"), Ok((b"abc".to_vec(), false)));
    assert_eq!(chunked("3\r\nabc\r\n"), Ok((b"abc".to_vec(), false)));
}

#[test]
fn what_follows_the_body_is_left() {
    let mut buf = BytesMut::from("abcGET / HTTP/1.1\r\n");
    let mut decoder = BodyDecoder::new(Framing::Length(3));
    assert!(matches!(decoder.decode(&mut buf), Ok(Piece::Data(data)) if data == "abc"));
    assert_eq!(decoder.decode(&mut buf), Ok(Piece::End));
    assert_eq!(&buf[..], b"GET / HTTP/1.1\r\n");
}

#[test]
fn the_encoder_holds_to_its_length() {
    let mut out = BytesMut::new();
    let mut encoder = BodyEncoder::new(Framing::Length(3));
    assert_eq!(encoder.encode(b"ab", &mut out), Ok(()));
    assert_eq!(encoder.finish(&mut out), Err(BodyError::Cut));
    assert_eq!(encoder.encode(b"cd", &mut out), Err(BodyError::Excess));
}

quickcheck! {
    fn arbitrary_chunks_never_panic_or_grow(bytes: Vec<u8>, step: usize) -> bool {
        match decode(Framing::Chunked, &bytes, step % 64) {
            Ok((body, _)) => body.len() <= bytes.len(),
            Err(_) => true,
        }
    }

    fn what_is_encoded_is_decoded(pieces: Vec<Vec<u8>>, step: usize) -> bool {
        let whole = pieces.concat();
        [Framing::Chunked, Framing::Length(whole.len() as u64)].into_iter().all(|framing| {
            let mut out = BytesMut::new();
            let mut encoder = BodyEncoder::new(framing);
            for piece in &pieces {
                encoder.encode(piece, &mut out).unwrap();
            }
            encoder.finish(&mut out).unwrap();
            decode(framing, &out, step % 64) == Ok((whole.clone(), true))
        })
    }
}
