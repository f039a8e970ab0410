//! The codec: whatever can be sent is read back the same, and anything else is an error.
#![allow(clippy::unwrap_used)]

use quickcheck::{quickcheck, Arbitrary, Gen};
use std::net::SocketAddr;
use sycamore_member::message::{
    Body, Brief, Digest, ExchangeReply, ExchangeRequest, Item, Packet, Scope,
};
use sycamore_peer::codec::{
    decode_packet, deployment_tag, encode_packet, item_from_wire, item_to_wire, reply_from_wire,
    reply_to_wire, request_from_wire, request_to_wire,
};
use sycamore_peer::limits::{MAX_EXCHANGE_ITEMS, MAX_PACKET_BYTES};
use sycamore_peer::Error;
use sycamore_types::prelude::*;

#[derive(Debug, Clone)]
struct AnyPacket(Packet);

#[derive(Debug, Clone)]
struct AnyItem(Item);

fn id<T: std::str::FromStr>(g: &mut Gen) -> T
where
    T::Err: std::fmt::Debug,
{
    let chars: Vec<char> = "abz019-_.:".chars().collect();
    let len = 1 + usize::arbitrary(g) % 12;
    let text: String = (0..len).map(|_| *g.choose(&chars).unwrap()).collect();
    text.parse().unwrap()
}

fn stamp(g: &mut Gen) -> Stamp {
    Stamp { wall: WallTime(u64::arbitrary(g)), logical: u32::arbitrary(g) }
}

fn fact(g: &mut Gen) -> Fact {
    let until = WallTime(u64::arbitrary(g));
    match u8::arbitrary(g) % 7 {
        0 => Fact::BadVersion {
            service: id(g),
            version: id(g),
            by: id(g),
            reason: String::from("errors on the route"),
            at: stamp(g),
        },
        1 => Fact::Aborted { by: id(g), service: id(g), version: id(g), at: stamp(g) },
        2 => Fact::Quarantined { fingerprint: Fingerprint(u64::arbitrary(g)), until },
        3 => Fact::CrashSeen {
            fingerprint: Fingerprint(u64::arbitrary(g)),
            crash: u64::arbitrary(g),
            until,
        },
        4 => Fact::Head(ConfigHead {
            version: ConfigVersion(u64::arbitrary(g)),
            manifest: ContentHash::of(&[u8::arbitrary(g)]),
        }),
        5 => Fact::MoveRow {
            mv: id(g),
            revision: u64::arbitrary(g),
            row: String::from("{\"share\":100}"),
            until,
        },
        _ => Fact::Cleared { by: id(g), step: u16::arbitrary(g), at: stamp(g), until },
    }
}

fn member(g: &mut Gen) -> Member {
    let states = [
        MemberState::Joining,
        MemberState::Serving,
        MemberState::Suspect,
        MemberState::Draining,
        MemberState::Dead,
    ];
    Member {
        instance: id(g),
        incarnation: Incarnation(u64::arbitrary(g)),
        state: *g.choose(&states).unwrap(),
        service: id(g),
        version: id(g),
        data_centre: id(g),
        region: id(g),
        endpoints: Endpoints {
            peer: SocketAddr::from(([10, 1, u8::arbitrary(g), 3], u16::arbitrary(g))),
            relay: SocketAddr::from(([0u16, 0, 0, 0, 0, 0, 0, u16::arbitrary(g)], 9)),
        },
        slots: u16::arbitrary(g),
    }
}

impl Arbitrary for AnyItem {
    fn arbitrary(g: &mut Gen) -> Self {
        AnyItem(match u8::arbitrary(g) % 3 {
            0 => Item::Member(member(g)),
            1 => Item::Fact(fact(g)),
            _ => {
                let Member { instance, incarnation, state, .. } = member(g);
                Item::Brief(Brief { instance, incarnation, state })
            }
        })
    }
}

impl Arbitrary for AnyPacket {
    fn arbitrary(g: &mut Gen) -> Self {
        let (seq, digest) = (u32::arbitrary(g), Digest::from(u64::arbitrary(g)));
        let body = match u8::arbitrary(g) % 5 {
            0 => Body::Ping { seq, digest },
            1 => Body::Ack { seq, digest },
            2 => Body::PingRequest { seq, target: id(g) },
            3 => Body::Nack { seq },
            _ => Body::Push,
        };
        let items = (0..usize::arbitrary(g) % 8).map(|_| AnyItem::arbitrary(g).0).collect();
        AnyPacket(Packet { from: id(g), body, items })
    }
}

const AT: Stamp = Stamp { wall: WallTime(1_796_344_110_107), logical: 300 };

fn tag() -> u64 {
    deployment_tag(&Deployment::new("klupa").unwrap())
}

quickcheck! {
    fn packets_come_back_the_same(packet: AnyPacket, wall: u64, logical: u32) -> bool {
        let at = Stamp { wall: WallTime(wall), logical };
        let buf = encode_packet(&packet.0, at, tag()).unwrap();
        decode_packet(&buf, tag()).unwrap() == (packet.0, at)
    }

    fn items_come_back_the_same(item: AnyItem) -> bool {
        item_from_wire(item_to_wire(&item.0)).unwrap() == item.0
    }

    fn exchanges_come_back_the_same(first: bool, buckets: Vec<u32>, items: Vec<AnyItem>) -> bool {
        let items: Vec<Item> = items.into_iter().map(|item| item.0).collect();
        let scope = if first { Scope::Facts } else { Scope::All };
        let req =
            ExchangeRequest { buckets: buckets.clone(), first: 3, items: items.clone(), scope };
        let reply = ExchangeReply { differing: buckets, items, next: Some(4) };
        request_from_wire(request_to_wire(&req)).unwrap() == req
            && reply_from_wire(reply_to_wire(&reply)).unwrap() == reply
    }

    fn size_bounds_the_encoding(item: AnyItem) -> bool {
        let packet = |items| Packet { from: "a".parse().unwrap(), body: Body::Push, items };
        let with = encode_packet(&packet(vec![item.0.clone()]), AT, tag()).unwrap().len();
        let without = encode_packet(&packet(Vec::new()), AT, tag()).unwrap().len();
        with - without <= item.0.size()
    }

    fn garbage_never_panics(buf: Vec<u8>) -> bool {
        decode_packet(&buf, tag()).is_err() || !buf.is_empty()
    }

    fn cut_packets_never_panic(packet: AnyPacket, cut: usize) -> bool {
        let buf = encode_packet(&packet.0, AT, tag()).unwrap();
        let cut = cut % buf.len();
        decode_packet(&buf[..cut], tag()).is_err() || cut > 0
    }
}

#[test]
fn another_deployment_is_refused() {
    let packet = Packet { from: "a".parse().unwrap(), body: Body::Push, items: Vec::new() };
    let other = deployment_tag(&Deployment::new("sutokatha").unwrap());
    let refused = decode_packet(&encode_packet(&packet, AT, other).unwrap(), tag()).unwrap_err();
    assert_eq!(*refused.current_context(), Error::Deployment);
}

#[test]
fn oversized_messages_are_refused() {
    let buf = vec![0; MAX_PACKET_BYTES + 1];
    assert_eq!(*decode_packet(&buf, tag()).unwrap_err().current_context(), Error::Malformed);
    let head = Fact::Head(ConfigHead { version: ConfigVersion(1), manifest: ContentHash::of(b"") });
    let items = vec![Item::Fact(head); MAX_EXCHANGE_ITEMS + 1];
    let wire = request_to_wire(&ExchangeRequest { items, ..ExchangeRequest::default() });
    assert_eq!(*request_from_wire(wire).unwrap_err().current_context(), Error::Malformed);
}
