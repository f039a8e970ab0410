//! Requests as they come in.

use super::listen::Side;
use super::pool::Stream;
use crate::edge::RequestWords;
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

/// Bytes of a body that are held to be sent again; longer bodies wait for admission before they are
/// sent on.
pub(super) const PREFIX_BYTES: usize = 32 << 10;

/// A connection that requests come in on.
pub(super) struct Inbound {
    pub(super) reader: Reader<OwnedReadHalf<TcpStream>>,
    pub(super) writer: OwnedWriteHalf<TcpStream>,
    /// The connection closes after the response under way.
    pub(super) closes: bool,
    /// The request under way is a HEAD.
    pub(super) head_only: bool,
    /// Who connects.
    pub(super) side: Side,
    /// What the request under way says of itself.
    pub(super) words: RequestWords,
}

impl Inbound {
    pub(super) fn new(stream: TcpStream, side: Side) -> Self {
        let Stream { reader, writer, .. } = Stream::from_split(stream.into_split());
        let words = RequestWords::default();
        Self { reader, writer, closes: false, head_only: false, side, words }
    }

    /// Reads a request up to its body.
    pub(super) async fn message(&mut self, limits: &HeadLimits) -> Result<Message, ReadError> {
        let mut head = self.reader.request_head(limits).await?;
        let framing = request_framing(&head)?;
        self.closes |= wants_close(&head.headers, head.version);
        let continues = framing != Framing::Empty && expects_continue(&head.headers);
        strip_hop_by_hop(&mut head.headers);
        head.headers.remove(header::EXPECT);
        let decoder = BodyDecoder::new(framing);
        Ok(Message { head, framing, continues, prefix: BytesMut::new(), taken: false, decoder })
    }
}

/// A request, with as much of its body as has been read.
pub(super) struct Message {
    pub(super) head: RequestHead,
    pub(super) framing: Framing,
    /// The sender waits for an interim answer before it sends the body.
    continues: bool,
    prefix: BytesMut,
    /// The prefix was taken, to be sent on once.
    taken: bool,
    pub(super) decoder: BodyDecoder,
}

impl Message {
    /// Removes the fields that only nodes may set.
    pub(super) fn strip_internal(&mut self) {
        strip_internal(&mut self.head.headers);
    }

    /// Length of the body, where it is known.
    pub(super) fn body_len(&self) -> Option<u64> {
        match self.framing {
            Framing::Empty => Some(0),
            Framing::Length(len) => Some(len),
            Framing::Chunked | Framing::UntilClose => None,
        }
    }

    /// Whether the sender waits to be told to send the body.
    pub(super) fn waits(&self) -> bool {
        self.continues
    }

    /// Tells the sender to send the body, where it waits for that.
    pub(super) async fn proceed(&mut self, inbound: &mut Inbound) -> std::io::Result<()> {
        if std::mem::take(&mut self.continues) {
            write_all(&mut inbound.writer, Bytes::from_static(CONTINUE)).await?;
        }
        Ok(())
    }

    /// Reads the body until it is whole or [`PREFIX_BYTES`] are there.
    pub(super) async fn read_prefix(&mut self, inbound: &mut Inbound) -> Result<(), ReadError> {
        while self.prefix.len() < PREFIX_BYTES {
            match inbound.reader.piece(&mut self.decoder).await? {
                Some(piece) => self.prefix.extend_from_slice(&piece),
                None => {
                    // A whole body goes on with its length, whatever way it came.
                    if self.framing == Framing::Chunked {
                        self.framing = Framing::Length(self.prefix.len() as u64);
                    }
                    return Ok(());
                }
            }
        }
        Ok(())
    }

    /// Whether the whole body has been read, so that the next request may follow.
    pub(super) fn is_read(&self) -> bool {
        self.decoder.is_done()
    }

    /// Whether the whole body is here and can be sent any number of times.
    pub(super) fn is_whole(&self) -> bool {
        self.is_read() && !self.taken
    }

    /// Whether the body has been sent on in part or whole without being kept: it can't be sent
    /// again.
    pub(super) fn is_spent(&self) -> bool {
        self.taken
    }

    /// Takes the part of the body that has been read, to be sent on once.
    pub(super) fn take_prefix(&mut self) -> BytesMut {
        self.taken = true;
        std::mem::take(&mut self.prefix)
    }

    /// The part of the body that has been read.
    pub(super) fn prefix(&self) -> &[u8] {
        &self.prefix
    }
}

/// Removes the fields that only nodes may set.
pub(super) fn strip_internal(fields: &mut http::HeaderMap) {
    let internal: Vec<_> =
        fields.keys().filter(|name| name.as_str().starts_with(INTERNAL_PREFIX)).cloned().collect();
    for name in internal {
        fields.remove(name);
    }
}
