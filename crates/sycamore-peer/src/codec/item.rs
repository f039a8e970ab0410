//! Converts items and members to and from their protobuf messages.

use super::fact::{fact_from_wire, fact_to_wire};
use super::{malformed, parse_id};
use crate::proto;
use crate::proto::item::Item as WireItem;
use crate::Result;
use bytes::Bytes;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};
use sycamore_member::message::{Brief, Item};
use sycamore_types::prelude::*;

/// Converts an item to its protobuf message.
pub fn item_to_wire(item: &Item) -> proto::Item {
    let item = match item {
        Item::Member(member) => WireItem::Member(member_to_wire(member)),
        Item::Fact(fact) => fact_to_wire(fact),
        Item::Brief(brief) => WireItem::Brief(brief_to_wire(brief)),
    };
    proto::Item { item: Some(item) }
}

/// Converts a protobuf message to an item.
///
/// # Errors
/// [`crate::Error::Malformed`] where it is empty, or a field is missing or out of bounds.
pub fn item_from_wire(wire: proto::Item) -> Result<Item> {
    match wire.item.ok_or_else(|| malformed("item without content"))? {
        WireItem::Member(member) => member_from_wire(&member).map(Item::Member),
        WireItem::Brief(brief) => brief_from_wire(&brief).map(Item::Brief),
        fact => fact_from_wire(fact).map(Item::Fact),
    }
}

/// Converts protobuf messages to at most `max` items.
///
/// # Errors
/// [`crate::Error::Malformed`] where there are more, or one of them is malformed.
pub(super) fn items_from_wire(wire: Vec<proto::Item>, max: usize) -> Result<Vec<Item>> {
    if wire.len() > max {
        return Err(malformed("more items than one message may carry"));
    }
    wire.into_iter().map(item_from_wire).collect()
}

fn member_to_wire(member: &Member) -> proto::Member {
    proto::Member {
        instance: member.instance.to_string(),
        incarnation: member.incarnation.0,
        state: state_to_wire(member.state).into(),
        service: member.service.to_string(),
        version: member.version.to_string(),
        data_centre: member.data_centre.to_string(),
        region: member.region.to_string(),
        peer: Some(address_to_wire(member.endpoints.peer)),
        relay: Some(address_to_wire(member.endpoints.relay)),
        slots: u32::from(member.slots),
        left: member.left.map(|process| process.0),
    }
}

fn member_from_wire(wire: &proto::Member) -> Result<Member> {
    Ok(Member {
        instance: parse_id(&wire.instance, "instance")?,
        incarnation: Incarnation(wire.incarnation),
        state: state_from_wire(wire.state())?,
        service: parse_id(&wire.service, "service")?,
        version: parse_id(&wire.version, "version")?,
        data_centre: parse_id(&wire.data_centre, "data centre")?,
        region: parse_id(&wire.region, "region")?,
        endpoints: Endpoints {
            peer: address_from_wire(wire.peer.as_ref())?,
            relay: address_from_wire(wire.relay.as_ref())?,
        },
        slots: u16::try_from(wire.slots).map_err(|_| malformed("slots"))?,
        left: wire.left.map(ProcessId),
    })
}

fn brief_to_wire(brief: &Brief) -> proto::Brief {
    proto::Brief {
        instance: brief.instance.to_string(),
        incarnation: brief.incarnation.0,
        state: state_to_wire(brief.state).into(),
    }
}

fn brief_from_wire(wire: &proto::Brief) -> Result<Brief> {
    Ok(Brief {
        instance: parse_id(&wire.instance, "instance")?,
        incarnation: Incarnation(wire.incarnation),
        state: state_from_wire(wire.state())?,
    })
}

fn state_to_wire(state: MemberState) -> proto::MemberState {
    match state {
        MemberState::Joining => proto::MemberState::Joining,
        MemberState::Serving => proto::MemberState::Serving,
        MemberState::Suspect => proto::MemberState::Suspect,
        MemberState::Draining => proto::MemberState::Draining,
        MemberState::Dead => proto::MemberState::Dead,
    }
}

fn state_from_wire(state: proto::MemberState) -> Result<MemberState> {
    match state {
        proto::MemberState::Unspecified => Err(malformed("member state is unspecified or unknown")),
        proto::MemberState::Joining => Ok(MemberState::Joining),
        proto::MemberState::Serving => Ok(MemberState::Serving),
        proto::MemberState::Suspect => Ok(MemberState::Suspect),
        proto::MemberState::Draining => Ok(MemberState::Draining),
        proto::MemberState::Dead => Ok(MemberState::Dead),
    }
}

pub(super) fn address_to_wire(address: SocketAddr) -> proto::Address {
    let ip = match address.ip() {
        IpAddr::V4(ip) => Bytes::copy_from_slice(&ip.octets()),
        IpAddr::V6(ip) => Bytes::copy_from_slice(&ip.octets()),
    };
    proto::Address { ip, port: u32::from(address.port()) }
}

pub(super) fn address_from_wire(wire: Option<&proto::Address>) -> Result<SocketAddr> {
    let wire = wire.ok_or_else(|| malformed("member without an address"))?;
    let port = u16::try_from(wire.port).map_err(|_| malformed("port"))?;
    Ok(SocketAddr::new(ip_from_wire(&wire.ip)?, port))
}

fn ip_from_wire(ip: &[u8]) -> Result<IpAddr> {
    if let Ok(octets) = <[u8; 4]>::try_from(ip) {
        return Ok(IpAddr::V4(Ipv4Addr::from(octets)));
    }
    <[u8; 16]>::try_from(ip)
        .map(|octets| IpAddr::V6(Ipv6Addr::from(octets)))
        .map_err(|_| malformed("IP address is neither 4 nor 16 bytes long"))
}
