//! Items and members on the wire.

use super::fact::{fact_from_wire, fact_to_wire};
use super::{id, malformed};
use crate::proto;
use crate::proto::item::Item as Wire;
use crate::Result;
use bytes::Bytes;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};
use sycamore_member::message::{Brief, Item};
use sycamore_types::prelude::*;

/// An item as it goes on the wire.
pub fn item_to_wire(item: &Item) -> proto::Item {
    let item = match item {
        Item::Member(member) => Wire::Member(member_to_wire(member)),
        Item::Fact(fact) => fact_to_wire(fact),
        Item::Brief(brief) => Wire::Brief(brief_to_wire(brief)),
    };
    proto::Item { item: Some(item) }
}

/// The item in `wire`.
///
/// # Errors
/// [`crate::Error::Malformed`] where a field is missing or out of its bounds.
pub fn item_from_wire(wire: proto::Item) -> Result<Item> {
    match wire.item.ok_or_else(|| malformed("empty item"))? {
        Wire::Member(member) => member_from_wire(&member).map(Item::Member),
        Wire::Brief(brief) => brief_from_wire(&brief).map(Item::Brief),
        fact => fact_from_wire(fact).map(Item::Fact),
    }
}

/// Items in `wire`, at most `max`.
pub(super) fn items_from_wire(wire: Vec<proto::Item>, max: usize) -> Result<Vec<Item>> {
    if wire.len() > max {
        return Err(malformed("too many items"));
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
    }
}

fn member_from_wire(wire: &proto::Member) -> Result<Member> {
    Ok(Member {
        instance: id(&wire.instance, "instance")?,
        incarnation: Incarnation(wire.incarnation),
        state: state_from_wire(wire.state())?,
        service: id(&wire.service, "service")?,
        version: id(&wire.version, "version")?,
        data_centre: id(&wire.data_centre, "data centre")?,
        region: id(&wire.region, "region")?,
        endpoints: Endpoints {
            peer: address_from_wire(wire.peer.as_ref())?,
            relay: address_from_wire(wire.relay.as_ref())?,
        },
        slots: u16::try_from(wire.slots).map_err(|_| malformed("slots"))?,
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
        instance: id(&wire.instance, "instance")?,
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
        proto::MemberState::Unspecified => Err(malformed("member state")),
        proto::MemberState::Joining => Ok(MemberState::Joining),
        proto::MemberState::Serving => Ok(MemberState::Serving),
        proto::MemberState::Suspect => Ok(MemberState::Suspect),
        proto::MemberState::Draining => Ok(MemberState::Draining),
        proto::MemberState::Dead => Ok(MemberState::Dead),
    }
}

fn address_to_wire(address: SocketAddr) -> proto::Address {
    let ip = match address.ip() {
        IpAddr::V4(ip) => Bytes::copy_from_slice(&ip.octets()),
        IpAddr::V6(ip) => Bytes::copy_from_slice(&ip.octets()),
    };
    proto::Address { ip, port: u32::from(address.port()) }
}

fn address_from_wire(wire: Option<&proto::Address>) -> Result<SocketAddr> {
    let wire = wire.ok_or_else(|| malformed("address missing"))?;
    let port = u16::try_from(wire.port).map_err(|_| malformed("port"))?;
    Ok(SocketAddr::new(ip_from_wire(&wire.ip)?, port))
}

fn ip_from_wire(ip: &[u8]) -> Result<IpAddr> {
    if let Ok(octets) = <[u8; 4]>::try_from(ip) {
        return Ok(IpAddr::V4(Ipv4Addr::from(octets)));
    }
    <[u8; 16]>::try_from(ip)
        .map(|octets| IpAddr::V6(Ipv6Addr::from(octets)))
        .map_err(|_| malformed("IP address"))
}
