//! Tests of the codec: messages survive encoding and decoding unchanged, and malformed, oversized
//! or foreign input is an error.
#![allow(clippy::unwrap_used)]

use quickcheck::{quickcheck, Arbitrary, Gen};
use std::net::SocketAddr;
use std::time::Duration;
use sycamore_member::message::{
    Body, Brief, Digest, ExchangeReply, ExchangeRequest, Item, Packet, Scope,
};
use sycamore_peer::codec::{
    decode_packet, deployment_tag, encode_packet, item_from_wire, item_to_wire, reply_from_wire,
    reply_to_wire, request_from_wire, request_to_wire,
};
use sycamore_peer::limits::{MAX_EXCHANGE_ITEMS, MAX_PACKET_BYTES};
use sycamore_peer::Error;
use sycamore_types::id::MAX_SERVICE_BYTES;
use sycamore_types::prelude::*;

/// Packet with arbitrary content, for quickcheck.
#[derive(Debug, Clone)]
struct ArbitraryPacket(Packet);

/// Item with arbitrary content, for quickcheck.
#[derive(Debug, Clone)]
struct ArbitraryItem(Item);

fn arbitrary_id<T: std::str::FromStr>(g: &mut Gen) -> T
where
    T::Err: std::fmt::Debug,
{
    let chars: Vec<char> = "abz019-_.:".chars().collect();
    let len = 1 + usize::arbitrary(g) % 12;
    let text: String = (0..len).map(|_| *g.choose(&chars).unwrap()).collect();
    text.parse().unwrap()
}

/// Returns a service's name of up to the maximum length, whose length takes two bytes to encode.
fn arbitrary_service(g: &mut Gen) -> ServiceName {
    "s".repeat(1 + usize::arbitrary(g) % MAX_SERVICE_BYTES).parse().unwrap()
}

fn arbitrary_stamp(g: &mut Gen) -> Stamp {
    Stamp { wall: WallTime(u64::arbitrary(g)), logical: u32::arbitrary(g) }
}

fn arbitrary_head(g: &mut Gen) -> ConfigHead {
    ConfigHead {
        version: ConfigVersion(u64::arbitrary(g)),
        manifest: ContentHash::of(&[u8::arbitrary(g)]),
    }
}

fn arbitrary_fact(g: &mut Gen) -> Fact {
    let until = WallTime(u64::arbitrary(g));
    match u8::arbitrary(g) % 7 {
        0 => Fact::BadVersion {
            service: arbitrary_service(g),
            version: arbitrary_id(g),
            by: arbitrary_id(g),
            reason: String::from("errors on the route"),
            at: arbitrary_stamp(g),
        },
        1 => Fact::Aborted {
            by: arbitrary_id(g),
            service: arbitrary_service(g),
            version: arbitrary_id(g),
            at: arbitrary_stamp(g),
        },
        2 => Fact::Quarantined { fingerprint: Fingerprint(u64::arbitrary(g)), until },
        3 => Fact::CrashSeen {
            fingerprint: Fingerprint(u64::arbitrary(g)),
            crash: u64::arbitrary(g),
            until,
        },
        4 => Fact::Head(arbitrary_head(g)),
        5 => Fact::MoveRow {
            mv: arbitrary_id(g),
            revision: u64::arbitrary(g),
            row: String::from("{\"share\":100}"),
            until,
        },
        _ => Fact::Cleared {
            by: arbitrary_id(g),
            step: u16::arbitrary(g),
            at: arbitrary_stamp(g),
            until,
        },
    }
}

fn arbitrary_member(g: &mut Gen) -> Member {
    let states = [
        MemberState::Joining,
        MemberState::Serving,
        MemberState::Suspect,
        MemberState::Draining,
        MemberState::Dead,
    ];
    Member {
        instance: arbitrary_id(g),
        incarnation: Incarnation(u64::arbitrary(g)),
        state: *g.choose(&states).unwrap(),
        service: arbitrary_service(g),
        version: arbitrary_id(g),
        data_centre: arbitrary_id(g),
        region: arbitrary_id(g),
        endpoints: Endpoints {
            peer: SocketAddr::from(([10, 1, u8::arbitrary(g), 3], u16::arbitrary(g))),
            relay: SocketAddr::from(([0u16, 0, 0, 0, 0, 0, 0, u16::arbitrary(g)], 9)),
        },
        slots: u16::arbitrary(g),
        left: bool::arbitrary(g).then(|| ProcessId(u64::arbitrary(g))),
    }
}

impl Arbitrary for ArbitraryItem {
    fn arbitrary(g: &mut Gen) -> Self {
        ArbitraryItem(match u8::arbitrary(g) % 3 {
            0 => Item::Member(arbitrary_member(g)),
            1 => Item::Fact(arbitrary_fact(g)),
            _ => {
                let Member { instance, incarnation, state, .. } = arbitrary_member(g);
                Item::Brief(Brief { instance, incarnation, state })
            }
        })
    }
}

impl Arbitrary for ArbitraryPacket {
    fn arbitrary(g: &mut Gen) -> Self {
        let (seq, digest) = (u32::arbitrary(g), Digest::from(u64::arbitrary(g)));
        let body = match u8::arbitrary(g) % 10 {
            0 => Body::Ping { seq, digest },
            1 => Body::Ack { seq, digest },
            2 => Body::PingRequest { seq, target: arbitrary_id(g) },
            3 => Body::Nack { seq },
            4 => Body::DeltaRequest {
                base: ContentHash::of(&[u8::arbitrary(g)]),
                asked_at: u64::arbitrary(g),
            },
            5 => Body::Delta { encoded: Arbitrary::arbitrary(g) },
            6 => Body::Current {
                head: bool::arbitrary(g).then(|| arbitrary_head(g)),
                revision: u64::arbitrary(g),
                age: Duration::from_millis(u64::arbitrary(g)),
                rejected: bool::arbitrary(g).then(|| ConfigVersion(u64::arbitrary(g).max(1))),
                proof: None,
            },
            7 => Body::CreditRequest {
                number: u64::arbitrary(g),
                account: arbitrary_id(g),
                calls: u32::arbitrary(g),
                spent: u32::arbitrary(g),
            },
            8 => Body::Credit {
                number: u64::arbitrary(g),
                account: arbitrary_id(g),
                calls: u32::arbitrary(g),
                wait: Duration::from_millis(u64::arbitrary(g)),
                alone_per_ks: u32::arbitrary(g),
                home: bool::arbitrary(g).then(|| "10.1.0.8:7620".parse().unwrap()),
            },
            _ => Body::Push,
        };
        let items = (0..usize::arbitrary(g) % 8).map(|_| ArbitraryItem::arbitrary(g).0).collect();
        ArbitraryPacket(Packet { from: arbitrary_id(g), body, items })
    }
}

const AT: Stamp = Stamp { wall: WallTime(1_796_344_110_107), logical: 300 };

fn tag() -> u64 {
    deployment_tag(&Deployment::new("klupa").unwrap())
}

quickcheck! {
    /// Guards against a packet field or clock reading that is lost or changed on the way.
    fn packets_survive_encoding(packet: ArbitraryPacket, wall: u64, logical: u32) -> bool {
        let at = Stamp { wall: WallTime(wall), logical };
        let buf = encode_packet(&packet.0, at, tag()).unwrap();
        decode_packet(&buf, tag()).unwrap() == (packet.0, at)
    }

    /// Guards against a field that one direction of the conversion leaves out: every kind of item
    /// is converted to its message and back.
    fn items_survive_conversion(item: ArbitraryItem) -> bool {
        item_from_wire(item_to_wire(&item.0)).unwrap() == item.0
    }

    /// Guards against a field of an exchange request or reply that the conversion loses.
    fn exchanges_survive_conversion(
        facts_only: bool,
        buckets: Vec<u32>,
        items: Vec<ArbitraryItem>
    ) -> bool {
        let items: Vec<Item> = items.into_iter().map(|item| item.0).collect();
        let scope = if facts_only { Scope::Facts } else { Scope::All };
        let req =
            ExchangeRequest { buckets: buckets.clone(), first: 3, items: items.clone(), scope };
        let reply = ExchangeReply { differing: buckets, items, next: Some(4) };
        request_from_wire(request_to_wire(&req)).unwrap() == req
            && reply_from_wire(reply_to_wire(&reply)).unwrap() == reply
    }

    /// Guards against packets over the size bound: senders fill them by [`Item::size`], so it must
    /// not be below an item's encoded size.
    fn item_size_is_at_least_its_encoded_size(item: ArbitraryItem) -> bool {
        let packet = |items| Packet { from: "a".parse().unwrap(), body: Body::Push, items };
        let with_item = encode_packet(&packet(vec![item.0.clone()]), AT, tag()).unwrap().len();
        let empty = encode_packet(&packet(Vec::new()), AT, tag()).unwrap().len();
        with_item - empty <= item.0.size()
    }

    /// Guards against a panic on datagrams that are no packets: arbitrary bytes are decoded.
    fn decoding_arbitrary_bytes_never_panics(buf: Vec<u8>) -> bool {
        decode_packet(&buf, tag()).is_err() || !buf.is_empty()
    }

    /// Guards against a panic on truncated datagrams: a packet is cut at an arbitrary place.
    fn decoding_truncated_packets_never_panics(packet: ArbitraryPacket, cut: usize) -> bool {
        let buf = encode_packet(&packet.0, AT, tag()).unwrap();
        let cut = cut % buf.len();
        decode_packet(&buf[..cut], tag()).is_err() || cut > 0
    }
}

/// Guards against accepting a datagram that carries another deployment's tag.
#[test]
fn packet_of_another_deployment_is_refused() {
    let packet = Packet { from: "a".parse().unwrap(), body: Body::Push, items: Vec::new() };
    let other = deployment_tag(&Deployment::new("sutokatha").unwrap());
    let refused = decode_packet(&encode_packet(&packet, AT, other).unwrap(), tag()).unwrap_err();
    assert_eq!(*refused.current_context(), Error::Deployment);
}

/// Guards against unbounded work for one message: a datagram one byte and an exchange request one
/// item over the bound.
#[test]
fn oversized_messages_are_refused() {
    let buf = vec![0; MAX_PACKET_BYTES + 1];
    assert_eq!(*decode_packet(&buf, tag()).unwrap_err().current_context(), Error::Malformed);
    let head = Fact::Head(ConfigHead { version: ConfigVersion(1), manifest: ContentHash::of(b"") });
    let items = vec![Item::Fact(head); MAX_EXCHANGE_ITEMS + 1];
    let wire = request_to_wire(&ExchangeRequest { items, ..ExchangeRequest::default() });
    assert_eq!(*request_from_wire(wire).unwrap_err().current_context(), Error::Malformed);
}
