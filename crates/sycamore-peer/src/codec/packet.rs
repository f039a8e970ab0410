//! Datagrams on the wire.

use super::item::{item_to_wire, items_from_wire};
use super::{id, malformed};
use crate::limits::{MAX_PACKET_BYTES, MAX_PACKET_ITEMS};
use crate::proto;
use crate::proto::packet::Body as Wire;
use crate::{Error, Result};
use error_stack::{Report, ResultExt};
use prost::Message;
use sycamore_member::message::{Body, Packet};
use sycamore_types::prelude::*;

/// The number that stands for a deployment in datagrams: the first bytes of its name's hash.
pub fn deployment_tag(deployment: &Deployment) -> u64 {
    let hash = ContentHash::of(deployment.as_str().as_bytes());
    hash.0.iter().take(8).fold(0, |tag, byte| tag << 8 | u64::from(*byte))
}

/// Encodes `packet`, sent at `at`, for the deployment with `tag`.
///
/// # Errors
/// [`Error::Malformed`] where it exceeds [`MAX_PACKET_BYTES`] or [`MAX_PACKET_ITEMS`].
pub fn encode_packet(packet: &Packet, at: Stamp, tag: u64) -> Result<Vec<u8>> {
    let buf = proto::Packet {
        deployment: tag,
        from: packet.from.to_string(),
        body: Some(body_to_wire(&packet.body)),
        items: packet.items.iter().map(item_to_wire).collect(),
        at: Some(proto::Stamp { wall_ms: at.wall.0, logical: at.logical }),
    }
    .encode_to_vec();
    if buf.len() > MAX_PACKET_BYTES || packet.items.len() > MAX_PACKET_ITEMS {
        return Err(malformed("packet too large"));
    }
    Ok(buf)
}

/// Decodes a datagram of the deployment with `tag`, with the time at which it was sent.
///
/// # Errors
/// [`Error::Deployment`] where it is another deployment's, [`Error::Malformed`] where it is not
/// well formed or exceeds a bound.
pub fn decode_packet(buf: &[u8], tag: u64) -> Result<(Packet, Stamp)> {
    if buf.len() > MAX_PACKET_BYTES {
        return Err(malformed("packet too large"));
    }
    let wire = proto::Packet::decode(buf).change_context(Error::Malformed)?;
    if wire.deployment != tag {
        return Err(Report::new(Error::Deployment));
    }
    let at = wire.at.unwrap_or_default();
    let at = Stamp { wall: WallTime(at.wall_ms), logical: at.logical };
    let packet = Packet {
        from: id(&wire.from, "sender")?,
        body: body_from_wire(wire.body)?,
        items: items_from_wire(wire.items, MAX_PACKET_ITEMS)?,
    };
    Ok((packet, at))
}

fn body_to_wire(body: &Body) -> Wire {
    match body {
        Body::Ping { seq, digest } => {
            Wire::Ping(proto::Probe { seq: *seq, digest: (*digest).into() })
        }
        Body::Ack { seq, digest } => {
            Wire::Ack(proto::Probe { seq: *seq, digest: (*digest).into() })
        }
        Body::PingRequest { seq, target } => {
            Wire::PingRequest(proto::PingRequest { seq: *seq, target: target.to_string() })
        }
        Body::Nack { seq } => Wire::Nack(proto::Nack { seq: *seq }),
        Body::Push => Wire::Push(proto::Push {}),
    }
}

fn body_from_wire(wire: Option<Wire>) -> Result<Body> {
    Ok(match wire.ok_or_else(|| malformed("body missing"))? {
        Wire::Ping(probe) => Body::Ping { seq: probe.seq, digest: probe.digest.into() },
        Wire::Ack(probe) => Body::Ack { seq: probe.seq, digest: probe.digest.into() },
        Wire::PingRequest(req) => {
            Body::PingRequest { seq: req.seq, target: id(&req.target, "target")? }
        }
        Wire::Nack(nack) => Body::Nack { seq: nack.seq },
        Wire::Push(_) => Body::Push,
    })
}
