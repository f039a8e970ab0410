//! Encodes and decodes the datagrams that carry membership packets.

use super::fact::{head_from_wire, head_to_wire};
use super::item::{address_from_wire, address_to_wire, item_to_wire, items_from_wire};
use super::{malformed, parse_id};
use crate::limits::{MAX_PACKET_BYTES, MAX_PACKET_ITEMS};
use crate::proto;
use crate::proto::packet::Body as WireBody;
use crate::{Error, Result};
use bytes::Bytes;
use error_stack::{Report, ResultExt};
use prost::Message;
use std::time::Duration;
use sycamore_member::message::{Body, Packet, ProofAge};
use sycamore_types::prelude::*;

/// Returns the number that identifies a deployment in datagrams: the first 8 bytes of the content
/// hash of its name, in big-endian order.
pub fn deployment_tag(deployment: &Deployment) -> u64 {
    let hash = ContentHash::of(deployment.as_str().as_bytes());
    hash.0.iter().take(8).fold(0, |tag, byte| tag << 8 | u64::from(*byte))
}

/// Encodes `packet` as a datagram of the deployment with `tag`; `at` is the sender's reading of its
/// hybrid logical clock.
///
/// # Errors
/// [`Error::Malformed`] where the packet exceeds [`MAX_PACKET_BYTES`] or [`MAX_PACKET_ITEMS`].
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
        return Err(malformed("packet exceeds MAX_PACKET_BYTES or MAX_PACKET_ITEMS"));
    }
    Ok(buf)
}

/// Decodes a datagram of the deployment with `tag` to a packet and the sender's clock reading,
/// which is zero where the datagram has none.
///
/// # Errors
/// [`Error::Deployment`] where the datagram belongs to another deployment, [`Error::Malformed`]
/// where it is malformed or exceeds a bound.
pub fn decode_packet(buf: &[u8], tag: u64) -> Result<(Packet, Stamp)> {
    if buf.len() > MAX_PACKET_BYTES {
        return Err(malformed("packet exceeds MAX_PACKET_BYTES"));
    }
    let wire = proto::Packet::decode(buf).change_context(Error::Malformed)?;
    if wire.deployment != tag {
        return Err(Report::new(Error::Deployment));
    }
    let at = wire.at.unwrap_or_default();
    let at = Stamp { wall: WallTime(at.wall_ms), logical: at.logical };
    let packet = Packet {
        from: parse_id(&wire.from, "sender")?,
        body: body_from_wire(wire.body)?,
        items: items_from_wire(wire.items, MAX_PACKET_ITEMS)?,
    };
    Ok((packet, at))
}

fn body_to_wire(body: &Body) -> WireBody {
    match body {
        Body::Ping { seq, digest } => {
            WireBody::Ping(proto::Probe { seq: *seq, digest: (*digest).into() })
        }
        Body::Ack { seq, digest } => {
            WireBody::Ack(proto::Probe { seq: *seq, digest: (*digest).into() })
        }
        Body::PingRequest { seq, target } => {
            WireBody::PingRequest(proto::PingRequest { seq: *seq, target: target.to_string() })
        }
        Body::Nack { seq } => WireBody::Nack(proto::Nack { seq: *seq }),
        Body::Push => WireBody::Push(proto::Push {}),
        Body::DeltaRequest { base, asked_at } => {
            let base = Bytes::copy_from_slice(&base.0);
            WireBody::DeltaRequest(proto::DeltaRequest { base, asked_at: *asked_at })
        }
        Body::Delta { encoded } => {
            WireBody::Delta(proto::Delta { encoded: Bytes::copy_from_slice(encoded) })
        }
        Body::Current { head, revision, age, rejected, proof } => {
            WireBody::Current(proto::Current {
                head: head.as_ref().map(head_to_wire),
                revision: *revision,
                age_ms: to_millis(*age),
                rejected: rejected.unwrap_or_default().0,
                asked_at: proof.map_or(0, |proof| proof.asked_at),
                proof_age_ms: proof.map_or(0, |proof| to_millis(proof.age)),
            })
        }
        Body::CreditRequest { number, account, calls, spent } => {
            WireBody::CreditRequest(proto::CreditRequest {
                number: *number,
                account: account.to_string(),
                calls: *calls,
                spent: *spent,
            })
        }
        Body::Credit { number, account, calls, wait, alone_per_ks, home } => {
            WireBody::Credit(proto::Credit {
                number: *number,
                account: account.to_string(),
                calls: *calls,
                wait_ms: to_millis(*wait),
                home: home.map(address_to_wire),
                alone_per_ks: *alone_per_ks,
            })
        }
    }
}

fn to_millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

fn body_from_wire(wire: Option<WireBody>) -> Result<Body> {
    Ok(match wire.ok_or_else(|| malformed("packet without a body"))? {
        WireBody::Ping(probe) => Body::Ping { seq: probe.seq, digest: probe.digest.into() },
        WireBody::Ack(probe) => Body::Ack { seq: probe.seq, digest: probe.digest.into() },
        WireBody::PingRequest(req) => {
            Body::PingRequest { seq: req.seq, target: parse_id(&req.target, "target")? }
        }
        WireBody::Nack(nack) => Body::Nack { seq: nack.seq },
        WireBody::Push(_) => Body::Push,
        WireBody::DeltaRequest(req) => {
            let base = req.base.as_ref().try_into().map(ContentHash);
            let base = base.map_err(|_| malformed("manifest hash of a request"))?;
            Body::DeltaRequest { base, asked_at: req.asked_at }
        }
        WireBody::Delta(delta) => Body::Delta { encoded: delta.encoded.to_vec() },
        WireBody::Current(current) => {
            let head = current.head.as_ref().map(head_from_wire).transpose()?;
            let age = Duration::from_millis(current.age_ms);
            let rejected = Some(ConfigVersion(current.rejected)).filter(|version| version.0 > 0);
            // The age was rounded down.
            let proof_age = Duration::from_millis(current.proof_age_ms.saturating_add(1));
            let proof = ProofAge { asked_at: current.asked_at, age: proof_age };
            let proof = Some(proof).filter(|proof| proof.asked_at > 0);
            Body::Current { head, revision: current.revision, age, rejected, proof }
        }
        WireBody::CreditRequest(req) => Body::CreditRequest {
            number: req.number,
            account: parse_id(&req.account, "account")?,
            calls: req.calls,
            spent: req.spent,
        },
        WireBody::Credit(credit) => Body::Credit {
            number: credit.number,
            account: parse_id(&credit.account, "account")?,
            calls: credit.calls,
            wait: Duration::from_millis(credit.wait_ms),
            alone_per_ks: credit.alone_per_ks,
            home: credit.home.as_ref().map(|home| address_from_wire(Some(home))).transpose()?,
        },
    })
}
