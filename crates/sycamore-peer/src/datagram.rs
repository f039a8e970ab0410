//! UDP socket for the membership protocol: probes between nodes and pushed members and facts.

use crate::codec::{decode_packet, deployment_tag, encode_packet};
use crate::counters::{Counters, DATAGRAM_HEADER_BYTES};
use crate::limits::MAX_PACKET_BYTES;
use crate::{Error, Result};
use error_stack::ResultExt;
use monoio::net::udp::UdpSocket;
use std::net::SocketAddr;
use std::sync::Arc;
use sycamore_http::conn::Turn;
use sycamore_member::message::Packet;
use sycamore_types::prelude::*;

/// UDP socket that sends and accepts packets of one deployment only.
pub struct Datagrams {
    socket: UdpSocket,
    tag: u64,
    counters: Arc<Counters>,
}

/// Packet received from another node.
#[derive(Debug, Clone, PartialEq)]
pub struct Received {
    /// Membership packet that the datagram carried.
    pub packet: Packet,
    /// Reading of the sender's hybrid logical clock when it sent the packet; zero where the packet
    /// carries none.
    pub at: Stamp,
    /// Source address of the datagram.
    pub from: SocketAddr,
}

impl Datagrams {
    /// Binds a UDP socket to `address` for the packets of `deployment`.
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

    /// Returns the local address of the socket, with the port that the system chose.
    ///
    /// # Errors
    /// [`Error::Socket`] where the operating system reports no address.
    pub fn local_addr(&self) -> Result<SocketAddr> {
        self.socket.local_addr().change_context(Error::Socket)
    }

    /// Sends `packet` to `to`, stamped with the clock reading `at`. Loss of the datagram after the
    /// operating system accepted it is not reported.
    ///
    /// # Errors
    /// [`Error::Malformed`] where the packet exceeds its bounds, [`Error::Socket`] where the
    /// operating system refuses to send it.
    pub async fn send(&self, packet: &Packet, at: Stamp, to: SocketAddr) -> Result<()> {
        let buf = encode_packet(packet, at, self.tag)?;
        let len = buf.len() as u64;
        let (sent, _) = self.socket.send_to(buf, to).await;
        sent.change_context(Error::Socket)?;
        self.counters.add_bytes_out(len + DATAGRAM_HEADER_BYTES);
        Ok(())
    }

    /// Waits for the next well-formed packet of this deployment. Malformed, oversized and foreign
    /// datagrams are counted as refused and skipped.
    ///
    /// # Errors
    /// [`Error::Socket`] where the socket fails.
    pub async fn recv(&self) -> Result<Received> {
        // One byte more than the bound, because the system cuts longer datagrams to the buffer: a
        // full buffer then means an oversized datagram.
        let mut buf = vec![0; MAX_PACKET_BYTES + 1];
        let mut turn = Turn::default();
        loop {
            turn.give_way_if_due().await;
            let (received, back) = turn.run(self.socket.recv_from(buf)).await;
            buf = back;
            let (len, from) = match received {
                Ok(received) => received,
                // An earlier datagram of this socket reached a closed port; the socket remains
                // usable.
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
