//! Forwarding of one request to an upstream or node and relaying of its answer, interrupted by the
//! deadline or the caller's disconnect.

use super::message::{Inbound, Message};
use super::pool::Stream;
use bytes::{Bytes, BytesMut};
use futures::future::{select, Either};
use http::{header, HeaderValue, StatusCode};
use monoio::time::timeout;
use std::pin::pin;
use std::time::Duration;
use sycamore_http::conn::{relay_body, write_all, ReadError};
use sycamore_http::wire::{
    encode_request, encode_response, keep_alive_timeout, response_framing, strip_hop_by_hop,
    wants_close,
};
use sycamore_http::{BodyDecoder, BodyEncoder, Framing, HeadLimits, RequestHead, ResponseHead};

/// Time to wait for an answer after the receiver has stopped reading the request body.
const EARLY_ANSWER_TIMEOUT: Duration = Duration::from_millis(100);

/// Reason why an exchange brought no complete answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Failure {
    /// The caller disconnected, or ended its request before the body was complete.
    CallerGone,
    /// The deadline passed.
    Deadline,
    /// The connection broke, or the answer was malformed.
    Broken,
}

/// Head of an answer whose body has not been read yet.
pub(super) struct AnswerHead {
    pub(super) head: ResponseHead,
    pub(super) framing: Framing,
    /// Part of the request that had been sent when the head arrived.
    pub(super) sent: Sent,
    /// Whether the connection may be reused once the body has been read.
    reusable: bool,
}

/// Part of a request that was sent before its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Sent {
    /// The request was sent whole.
    Whole,
    /// The answer arrived before the end of the request's body, the rest of which is not sent.
    Part,
    /// The connection failed with this error before the request's body was sent whole.
    Failed(std::io::ErrorKind),
}

/// End of the relay of an answer to the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Relayed {
    /// The answer was relayed whole; the connection it came on may be reused.
    Reusable,
    /// The answer was relayed whole; the connection it came on must be closed.
    Whole,
    /// The relay failed; the caller's connection must be closed.
    Failed(Failure),
}

/// Sends `head` and the body of `msg` to `out` and waits up to `left` for the answer's head.
///
/// With `expect_continue`, a body that is not buffered here is sent only after the receiver's
/// `100 Continue`. `inbound` is the caller's connection, watched for a disconnect; it may be `None`
/// only for a buffered body, and the function that called this one then watches the caller.
pub(super) async fn send(
    mut inbound: Option<&mut Inbound>,
    msg: &mut Message,
    out: &mut Stream,
    mut head: RequestHead,
    expect_continue: bool,
    left: Duration,
) -> Result<AnswerHead, Failure> {
    let method = head.method.clone();
    let sent = async {
        if msg.is_body_buffered() {
            return send_whole(inbound.as_deref_mut(), msg, out, &head)
                .await
                .map(|head| (head, Sent::Whole));
        }
        let Some(inbound) = inbound else { return Err(Failure::CallerGone) };
        if expect_continue {
            head.headers.insert(header::EXPECT, HeaderValue::from_static("100-continue"));
            send_after_continue(inbound, msg, out, &head).await
        } else {
            let mut first = BytesMut::new();
            encode_request(&head, msg.framing, &mut first);
            send_streamed(inbound, msg, out, first).await
        }
    };
    let (head, sent) = timeout(left, sent).await.map_err(|_| Failure::Deadline)??;
    let framing = response_framing(&head, &method).map_err(|_| Failure::Broken)?;
    out.idle_time = keep_alive_timeout(&head.headers);
    // After a partly sent request, the next one would be read as the rest of its body.
    let reusable = sent == Sent::Whole
        && framing != Framing::UntilClose
        && !wants_close(&head.headers, head.version);
    Ok(AnswerHead { head, framing, sent, reusable })
}

async fn send_whole(
    inbound: Option<&mut Inbound>,
    msg: &Message,
    out: &mut Stream,
    head: &RequestHead,
) -> Result<ResponseHead, Failure> {
    let mut bytes = BytesMut::with_capacity(1024 + msg.prefix().len());
    encode_request(head, msg.framing, &mut bytes);
    bytes.extend_from_slice(msg.prefix());
    write_all(&mut out.writer, bytes.freeze()).await.map_err(|_| Failure::Broken)?;
    match inbound {
        Some(inbound) => answer_head(inbound, out).await,
        None => out.reader.response_head(&HeadLimits::DEFAULT).await.map_err(|_| Failure::Broken),
    }
}

async fn send_after_continue(
    inbound: &mut Inbound,
    msg: &mut Message,
    out: &mut Stream,
    head: &RequestHead,
) -> Result<(ResponseHead, Sent), Failure> {
    let mut bytes = BytesMut::new();
    encode_request(head, msg.framing, &mut bytes);
    write_all(&mut out.writer, bytes.freeze()).await.map_err(|_| Failure::Broken)?;
    let first =
        out.reader.any_response_head(&HeadLimits::DEFAULT).await.map_err(|_| Failure::Broken)?;
    if first.status != StatusCode::CONTINUE {
        return Ok((first, Sent::Part));
    }
    send_streamed(inbound, msg, out, BytesMut::new()).await
}

/// Sends the request body and returns the answer's head, and what was sent before the answer arrived.
async fn send_streamed(
    inbound: &mut Inbound,
    msg: &mut Message,
    out: &mut Stream,
    mut first: BytesMut,
) -> Result<(ResponseHead, Sent), Failure> {
    let mut encoder = BodyEncoder::new(msg.framing);
    encoder.encode(&msg.take_prefix(), &mut first).map_err(|_| Failure::CallerGone)?;
    let uploaded = {
        let upload =
            relay_body(&mut inbound.reader, &mut msg.decoder, &mut out.writer, encoder, first);
        let answered = out.reader.response_head(&HeadLimits::DEFAULT);
        match select(pin!(upload), pin!(answered)).await {
            Either::Left((uploaded, _)) => uploaded,
            Either::Right((head, _)) => {
                return head.map(|head| (head, Sent::Part)).map_err(|_| Failure::Broken);
            }
        }
    };
    match uploaded {
        Ok(Ok(())) => answer_head(inbound, out).await.map(|head| (head, Sent::Whole)),
        Ok(Err(_)) => Err(Failure::CallerGone),
        // The receiver may have answered before it stopped reading.
        Err(err) => {
            out.reader.record_write_failure(err.kind());
            match timeout(EARLY_ANSWER_TIMEOUT, answer_head(inbound, out)).await {
                Ok(answered) => answered.map(|head| (head, Sent::Failed(err.kind()))),
                Err(_) => Err(Failure::Broken),
            }
        }
    }
}

async fn answer_head(inbound: &mut Inbound, out: &mut Stream) -> Result<ResponseHead, Failure> {
    let answered = out.reader.response_head(&HeadLimits::DEFAULT);
    let gone = inbound.reader.wait_until_closed();
    match select(pin!(answered), pin!(gone)).await {
        Either::Left((head, _)) => head.map_err(|_| Failure::Broken),
        Either::Right(_) => Err(Failure::CallerGone),
    }
}

/// Relays an answer to the caller, at most for `left`: its head, changed by `edit`, and its body.
pub(super) async fn relay_answer(
    inbound: &mut Inbound,
    out: &mut Stream,
    answered: AnswerHead,
    left: Duration,
    edit: impl FnOnce(&mut ResponseHead),
) -> Relayed {
    let AnswerHead { mut head, framing, reusable, .. } = answered;
    strip_hop_by_hop(&mut head.headers);
    edit(&mut head);
    if inbound.closes {
        head.headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    let mut first = BytesMut::with_capacity(1024);
    encode_response(&head, framing, &mut first);
    let mut decoder = BodyDecoder::new(framing);
    let encoder = BodyEncoder::new(framing);
    let relay = relay_body(&mut out.reader, &mut decoder, &mut inbound.writer, encoder, first);
    let gone = inbound.reader.wait_until_closed();
    let relayed = match timeout(left, select(pin!(relay), pin!(gone))).await {
        Err(_) => return Relayed::Failed(Failure::Deadline),
        Ok(Either::Right(_)) => return Relayed::Failed(Failure::CallerGone),
        Ok(Either::Left((relayed, _))) => relayed,
    };
    match relayed {
        Ok(Ok(())) if reusable && !out.reader.has_unread() => Relayed::Reusable,
        Ok(Ok(())) => Relayed::Whole,
        Ok(Err(_)) => Relayed::Failed(Failure::Broken),
        Err(_) => Relayed::Failed(Failure::CallerGone),
    }
}

/// Reads the whole body of an answer.
///
/// # Errors
/// Returns [`ReadError::BodyTooLarge`] beyond `limit` bytes and [`ReadError::Cut`] after `left`.
pub(super) async fn read_whole_body(
    out: &mut Stream,
    answered: &AnswerHead,
    limit: usize,
    left: Duration,
) -> Result<Bytes, ReadError> {
    let body = out.reader.body(BodyDecoder::new(answered.framing), limit);
    timeout(left, body).await.unwrap_or(Err(ReadError::Cut))
}

impl AnswerHead {
    /// Returns whether the connection may be reused once the body has been read.
    pub(super) fn is_reusable(&self) -> bool {
        self.reusable
    }
}
