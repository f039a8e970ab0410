//! Tests of the body decoder and encoder: a truncated or malformed body never counts as complete,
//! and endless lines are rejected.

use bytes::BytesMut;
use quickcheck::quickcheck;
use sycamore_http::{BodyDecoder, BodyEncoder, BodyError, Framing, Piece};

/// Decodes `bytes` in slices of `step` bytes. Returns the body and whether it ended.
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

/// Decodes a chunked body, once in one slice and once byte by byte, with the same result.
fn decode_chunked(bytes: &str) -> Result<(Vec<u8>, bool), BodyError> {
    let whole = decode(Framing::Chunked, bytes.as_bytes(), usize::MAX);
    let split = decode(Framing::Chunked, bytes.as_bytes(), 1);
    assert_eq!(whole, split, "{bytes:?} decoded in one slice and byte by byte");
    whole
}

// Guards against chunk extensions or trailers that end up in the body or are refused.
#[test]
fn chunks_are_joined_without_extensions_and_trailers() {
    let plain = decode_chunked("3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
    assert_eq!(plain, Ok((b"abcde".to_vec(), true)));
    let extended = decode_chunked("3;name=value\r\nabc\r\n0;x\r\nmd5: 0\r\nsig: 1\r\n\r\n");
    assert_eq!(extended, Ok((b"abc".to_vec(), true)));
}

// Guards against accepting chunk framing that another parser may interpret differently, as request
// smuggling does.
#[test]
fn malformed_chunks_are_refused() {
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
        assert_eq!(decode_chunked(bytes), Err(err), "{bytes:?}");
    }
}

// Guards against buffering a size line or trailer section that never ends.
#[test]
fn endless_lines_are_refused() {
    let size = format!("1;{}", "x".repeat(1000));
    assert_eq!(decode_chunked(&size), Err(BodyError::ChunkSize));
    let trailer = format!("0\r\n{}", "a: b\r\n".repeat(4000));
    assert_eq!(decode_chunked(&trailer), Err(BodyError::Trailer));
    let line = format!("0\r\n{}", "a".repeat(10_000));
    assert_eq!(decode_chunked(&line), Err(BodyError::Trailer));
}

// Guards against taking the received part of a truncated body as the whole.
#[test]
fn truncated_body_does_not_count_as_ended() {
    assert_eq!(decode(Framing::Length(5), b"abc", 1), Ok((b"abc".to_vec(), false)));
    assert_eq!(decode_chunked("5\r\nabc"), Ok((b"abc".to_vec(), false)));
    assert_eq!(decode_chunked("3\r\nabc\r\n"), Ok((b"abc".to_vec(), false)));
}

// Guards against consuming bytes of the next message on the connection.
#[test]
fn bytes_after_the_body_stay_in_the_buffer() {
    let mut buf = BytesMut::from("abcGET / HTTP/1.1\r\n");
    let mut decoder = BodyDecoder::new(Framing::Length(3));
    assert!(matches!(decoder.decode(&mut buf), Ok(Piece::Data(data)) if data == "abc"));
    assert_eq!(decoder.decode(&mut buf), Ok(Piece::End));
    assert_eq!(&buf[..], b"GET / HTTP/1.1\r\n");
}

// Guards against writing a body that is shorter or longer than its declared length, which would
// shift the start of the next message.
#[test]
fn encoder_rejects_a_body_that_differs_from_its_declared_length() {
    let mut out = BytesMut::new();
    let mut encoder = BodyEncoder::new(Framing::Length(3));
    assert_eq!(encoder.encode(b"ab", &mut out), Ok(()));
    assert_eq!(encoder.finish(&mut out), Err(BodyError::Cut));
    assert_eq!(encoder.encode(b"cd", &mut out), Err(BodyError::Excess));
}

quickcheck! {
    // Guards against a panic, or a body longer than its input, on arbitrary bytes.
    fn arbitrary_chunked_input_neither_panics_nor_grows(bytes: Vec<u8>, step: usize) -> bool {
        match decode(Framing::Chunked, &bytes, step % 64) {
            Ok((body, _)) => body.len() <= bytes.len(),
            Err(_) => true,
        }
    }

    // Guards against an encoded body that decodes to other bytes or to no end.
    fn encoded_body_decodes_to_the_same_bytes(pieces: Vec<Vec<u8>>, step: usize) -> bool {
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
