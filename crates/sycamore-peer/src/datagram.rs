//! Datagrams between nodes: probes and pushed news.

use crate::codec::{decode_packet, deployment_tag, encode_packet};
use crate::counters::{Counters, DATAGRAM_HEADER_BYTES};
use crate::limits::MAX_PACKET_BYTES;
use crate::{Error, Result};
use error_stack::ResultExt;
use monoio::net::udp::UdpSocket;
use std::net::SocketAddr;
use std::sync::Arc;
use sycamore_member::message::Packet;
use sycamore_types::prelude::*;

/// A bound datagram socket of one deployment.
pub struct Datagrams {
    socket: UdpSocket,
    tag: u64,
    counters: Arc<Counters>,
}

/// A packet that came in.
#[derive(Debug, Clone, PartialEq)]
pub struct Received {
    /// The packet.
    pub packet: Packet,
    /// The sender's clock when it sent it.
    pub at: Stamp,
    /// Where it came from.
    pub from: SocketAddr,
}

impl Datagrams {
    /// Binds `address`.
    ///
    /// # Errors
    /// [`Error::Socket`] where the address can't be bound.
    pub fn bind(
        address: SocketAddr,
        deployment: &Deployment,
        counters: Arc<Counters>,
    ) -> Result<Self> {
        let socket = UdpSocket::bind(address).change_context(Error::Socket)?;
        Ok(Self { socket, tag: deployment_tag(deployment), counters })
    }

    /// The address that the socket is bound to.
    ///
    /// # Errors
    /// [`Error::Socket`] where the system doesn't tell.
    pub fn local_addr(&self) -> Result<SocketAddr> {
        self.socket.local_addr().change_context(Error::Socket)
    }

    /// Sends `packet` at `at` to `to`. A datagram that the system drops is not reported.
    ///
    /// # Errors
    /// [`Error::Malformed`] where the packet exceeds its bounds, [`Error::Socket`] where the
    /// system refuses it.
    pub async fn send(&self, packet: &Packet, at: Stamp, to: SocketAddr) -> Result<()> {
        let buf = encode_packet(packet, at, self.tag)?;
        let len = buf.len() as u64;
        let (sent, _) = self.socket.send_to(buf, to).await;
        sent.change_context(Error::Socket)?;
        self.counters.add_bytes_out(len + DATAGRAM_HEADER_BYTES);
        Ok(())
    }

    /// The next well-formed packet of this deployment. Others are counted as
    /// refused and skipped.
    ///
    /// # Errors
    /// [`Error::Socket`] where the socket fails.
    pub async fn recv(&self) -> Result<Received> {
        // One byte more than allowed tells an oversized datagram from a full one.
        let mut buf = vec![0; MAX_PACKET_BYTES + 1];
        loop {
            let (received, back) = self.socket.recv_from(buf).await;
            buf = back;
            let (len, from) = match received {
                Ok(received) => received,
                // An earlier datagram met a closed port; the socket itself is well.
                Err(e) if e.kind() == std::io::ErrorKind::ConnectionRefused => continue,
                Err(e) => return Err(e).change_context(Error::Socket),
            };
            self.counters.add_bytes_in(len as u64 + DATAGRAM_HEADER_BYTES);
            match decode_packet(buf.get(..len).unwrap_or_default(), self.tag) {
                Ok((packet, at)) => return Ok(Received { packet, at, from }),
                Err(_) => self.counters.add_refused(1),
            }
        }
    }
}
