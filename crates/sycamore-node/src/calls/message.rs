//! Incoming connections and the requests read from them.

use super::listen::ListenerKind;
use super::pool::Stream;
use crate::edge::RequestInfo;
use bytes::{Bytes, BytesMut};
use http::header;
use monoio::io::{OwnedReadHalf, OwnedWriteHalf, Splitable};
use monoio::net::TcpStream;
use sycamore_http::conn::{write_all, ReadError, Reader};
use sycamore_http::wire::{
    expects_continue, request_framing, strip_hop_by_hop, wants_close, CONTINUE,
};
use sycamore_http::{BodyDecoder, Framing, HeadLimits, RequestHead};
use sycamore_types::headers::INTERNAL_PREFIX;

/// Number of body bytes buffered for retries; a longer body is forwarded only after the call has
/// been admitted.
pub(super) const PREFIX_BYTES: usize = 32 << 10;

/// Accepted connection that carries requests of a caller, the upstream or another node.
pub(super) struct Inbound {
    pub(super) reader: Reader<OwnedReadHalf<TcpStream>>,
    pub(super) writer: OwnedWriteHalf<TcpStream>,
    /// Whether the connection closes after the current response.
    pub(super) closes: bool,
    /// Whether the current request is a HEAD, whose response has no body.
    pub(super) head_only: bool,
    /// Listener that accepted the connection.
    pub(super) listener: ListenerKind,
    /// Caller's identifier, timeout, class and name from the current request's headers.
    pub(super) info: RequestInfo,
}

impl Inbound {
    pub(super) fn new(stream: TcpStream, listener: ListenerKind) -> Self {
        let Stream { reader, writer, .. } = Stream::from_split(stream.into_split());
        let info = RequestInfo::default();
        Self { reader, writer, closes: false, head_only: false, listener, info }
    }

    /// Reads the head of the next request and removes its hop-by-hop header fields.
    pub(super) async fn message(&mut self, limits: &HeadLimits) -> Result<Message, ReadError> {
        let mut head = self.reader.request_head(limits).await?;
        let framing = request_framing(&head)?;
        self.closes |= wants_close(&head.headers, head.version);
        let awaits_continue = framing != Framing::Empty && expects_continue(&head.headers);
        strip_hop_by_hop(&mut head.headers);
        head.headers.remove(header::EXPECT);
        let decoder = BodyDecoder::new(framing);
        let prefix = BytesMut::new();
        Ok(Message { head, framing, awaits_continue, prefix, prefix_taken: false, decoder })
    }
}

/// Request with the part of its body that has been read so far.
pub(super) struct Message {
    pub(super) head: RequestHead,
    pub(super) framing: Framing,
    /// Whether the sender waits for `100 Continue` before it sends the body.
    awaits_continue: bool,
    /// First part of the body, at most [`PREFIX_BYTES`] and one read beyond.
    prefix: BytesMut,
    /// Whether the prefix was taken to be forwarded once, and is no longer buffered.
    prefix_taken: bool,
    pub(super) decoder: BodyDecoder,
}

impl Message {
    /// Returns a copy of a request without a body.
    pub(super) fn copy_without_body(&self) -> Self {
        Self {
            head: self.head.clone(),
            framing: Framing::Empty,
            awaits_continue: false,
            prefix: BytesMut::new(),
            prefix_taken: false,
            decoder: BodyDecoder::new(Framing::Empty),
        }
    }

    /// Removes the header fields that only nodes may set.
    pub(super) fn strip_internal(&mut self) {
        strip_internal(&mut self.head.headers);
    }

    /// Returns the length of the body in bytes; `None` if the request doesn't declare it.
    pub(super) fn body_len(&self) -> Option<u64> {
        match self.framing {
            Framing::Empty => Some(0),
            Framing::Length(len) => Some(len),
            Framing::Chunked | Framing::UntilClose => None,
        }
    }

    /// Returns whether the sender waits for `100 Continue` before it sends the body.
    pub(super) fn awaits_continue(&self) -> bool {
        self.awaits_continue
    }

    /// Sends `100 Continue` if the sender waits for it.
    pub(super) async fn send_continue(&mut self, inbound: &mut Inbound) -> std::io::Result<()> {
        if std::mem::take(&mut self.awaits_continue) {
            write_all(&mut inbound.writer, Bytes::from_static(CONTINUE)).await?;
        }
        Ok(())
    }

    /// Reads the body until it is complete or [`PREFIX_BYTES`] are buffered.
    pub(super) async fn read_prefix(&mut self, inbound: &mut Inbound) -> Result<(), ReadError> {
        while self.prefix.len() < PREFIX_BYTES {
            match inbound.reader.body_piece(&mut self.decoder).await? {
                Some(piece) => self.prefix.extend_from_slice(&piece),
                None => {
                    // A complete body is forwarded with its length, also if it came in chunks.
                    if self.framing == Framing::Chunked {
                        self.framing = Framing::Length(self.prefix.len() as u64);
                    }
                    return Ok(());
                }
            }
        }
        Ok(())
    }

    /// Returns whether the whole body has been read, so that the connection can carry the next
    /// request.
    pub(super) fn is_body_read(&self) -> bool {
        self.decoder.is_done()
    }

    /// Returns whether the whole body is buffered and can be sent any number of times.
    pub(super) fn is_body_buffered(&self) -> bool {
        self.is_body_read() && !self.prefix_taken
    }

    /// Returns whether part or all of the body was forwarded without being kept, so that the
    /// request can't be sent again.
    pub(super) fn is_body_forwarded(&self) -> bool {
        self.prefix_taken
    }

    /// Takes the buffered part of the body, to be forwarded once.
    pub(super) fn take_prefix(&mut self) -> BytesMut {
        self.prefix_taken = true;
        std::mem::take(&mut self.prefix)
    }

    /// Returns the buffered part of the body.
    pub(super) fn prefix(&self) -> &[u8] {
        &self.prefix
    }
}

/// Removes the header fields that only nodes may set.
pub(super) fn strip_internal(fields: &mut http::HeaderMap) {
    let internal: Vec<_> =
        fields.keys().filter(|name| name.as_str().starts_with(INTERNAL_PREFIX)).cloned().collect();
    for name in internal {
        fields.remove(name);
    }
}
