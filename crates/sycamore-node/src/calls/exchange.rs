//! One request sent on and its answer relayed back, while the caller, the deadline and the other
//! side are all watched.

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
    encode_request, encode_response, response_framing, strip_hop_by_hop, wants_close,
};
use sycamore_http::{BodyDecoder, BodyEncoder, Framing, HeadLimits, RequestHead, ResponseHead};

/// Time given to an answer where the upstream stopped reading the request.
const EARLY_ANSWER_TIME: Duration = Duration::from_millis(100);

/// Why no answer came.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Failure {
    /// The caller left, or cut its request.
    CallerGone,
    /// The deadline passed.
    Deadline,
    /// The connection broke, or the answer can't be trusted.
    Broken,
}

/// The head of an answer.
pub(super) struct Answered {
    pub(super) head: ResponseHead,
    pub(super) framing: Framing,
    /// The connection may be used again once the answer is read.
    reusable: bool,
}

/// How the relay of an answer ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Relayed {
    /// Whole; the connection it came on may be used again.
    Reusable,
    /// Whole; the connection it came on is to be closed.
    Whole,
    /// It failed; the caller's connection must be closed.
    Failed(Failure),
}

/// Sends `head` and the body of `msg` to `out`, and waits for the answer's head. With `wait`, a body
/// that is not whole here is sent only once the other side asks for it. Without `inbound`, which
/// only a whole body can do without, it is for others to see that the caller leaves.
pub(super) async fn send(
    mut inbound: Option<&mut Inbound>,
    msg: &mut Message,
    out: &mut Stream,
    mut head: RequestHead,
    wait: bool,
    left: Duration,
) -> Result<Answered, Failure> {
    let method = head.method.clone();
    let sent = async {
        if msg.is_whole() {
            return send_whole(inbound.as_deref_mut(), msg, out, &head)
                .await
                .map(|head| (head, true));
        }
        let Some(inbound) = inbound else { return Err(Failure::CallerGone) };
        if wait {
            head.headers.insert(header::EXPECT, HeaderValue::from_static("100-continue"));
            send_after_continue(inbound, msg, out, &head).await
        } else {
            let mut first = BytesMut::new();
            encode_request(&head, msg.framing, &mut first);
            send_streamed(inbound, msg, out, first).await
        }
    };
    let (head, is_sent) = timeout(left, sent).await.map_err(|_| Failure::Deadline)??;
    let framing = response_framing(&head, &method).map_err(|_| Failure::Broken)?;
    // The request must have gone out whole, or its rest would be taken for the next one.
    let reusable =
        is_sent && framing != Framing::UntilClose && !wants_close(&head.headers, head.version);
    Ok(Answered { head, framing, reusable })
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
) -> Result<(ResponseHead, bool), Failure> {
    let mut bytes = BytesMut::new();
    encode_request(head, msg.framing, &mut bytes);
    write_all(&mut out.writer, bytes.freeze()).await.map_err(|_| Failure::Broken)?;
    let first =
        out.reader.any_response_head(&HeadLimits::DEFAULT).await.map_err(|_| Failure::Broken)?;
    if first.status != StatusCode::CONTINUE {
        return Ok((first, false));
    }
    send_streamed(inbound, msg, out, BytesMut::new()).await
}

/// Gives the answer's head, and whether the body went out whole before it came.
async fn send_streamed(
    inbound: &mut Inbound,
    msg: &mut Message,
    out: &mut Stream,
    mut first: BytesMut,
) -> Result<(ResponseHead, bool), Failure> {
    let mut encoder = BodyEncoder::new(msg.framing);
    encoder.encode(&msg.take_prefix(), &mut first).map_err(|_| Failure::CallerGone)?;
    let uploaded = {
        let upload =
            relay_body(&mut inbound.reader, &mut msg.decoder, &mut out.writer, encoder, first);
        let answered = out.reader.response_head(&HeadLimits::DEFAULT);
        match select(pin!(upload), pin!(answered)).await {
            Either::Left((uploaded, _)) => uploaded,
            Either::Right((head, _)) => {
                return head.map(|head| (head, false)).map_err(|_| Failure::Broken);
            }
        }
    };
    match uploaded {
        Ok(Ok(())) => answer_head(inbound, out).await.map(|head| (head, true)),
        Ok(Err(_)) => Err(Failure::CallerGone),
        // The upstream may have answered before it stopped reading.
        Err(_) => match timeout(EARLY_ANSWER_TIME, answer_head(inbound, out)).await {
            Ok(answered) => answered.map(|head| (head, false)),
            Err(_) => Err(Failure::Broken),
        },
    }
}

async fn answer_head(inbound: &mut Inbound, out: &mut Stream) -> Result<ResponseHead, Failure> {
    let answered = out.reader.response_head(&HeadLimits::DEFAULT);
    let gone = inbound.reader.closed();
    match select(pin!(answered), pin!(gone)).await {
        Either::Left((head, _)) => head.map_err(|_| Failure::Broken),
        Either::Right(_) => Err(Failure::CallerGone),
    }
}

/// Relays the answer's head, changed by `edit`, and its body to the caller.
pub(super) async fn relay_answer(
    inbound: &mut Inbound,
    out: &mut Stream,
    answered: Answered,
    left: Duration,
    edit: impl FnOnce(&mut ResponseHead),
) -> Relayed {
    let Answered { mut head, framing, reusable } = answered;
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
    let gone = inbound.reader.closed();
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

/// Reads the whole body of an answer, at most `limit` bytes; [`ReadError::BodyTooLarge`] beyond.
pub(super) async fn whole_body(
    out: &mut Stream,
    answered: &Answered,
    limit: usize,
    left: Duration,
) -> Result<Bytes, ReadError> {
    let body = out.reader.body(BodyDecoder::new(answered.framing), limit);
    timeout(left, body).await.unwrap_or(Err(ReadError::Cut))
}

impl Answered {
    /// Whether the connection may be used again once the answer is read.
    pub(super) fn is_reusable(&self) -> bool {
        self.reusable
    }
}
