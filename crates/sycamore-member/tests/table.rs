//! Properties of the table: it is a join semilattice, and its bounds hold.
#![allow(clippy::unwrap_used)]

use quickcheck::{quickcheck, Arbitrary, Gen};
use std::net::SocketAddr;
use std::time::Duration;
use sycamore_member::message::Item;
use sycamore_member::message::Scope;
use sycamore_member::table::{Joined, Table, MAX_AHEAD_MS, MAX_FACT_LIFE};
use sycamore_types::prelude::*;

const WALL: WallTime = WallTime(1_000_000);
const MAX_ITEMS: usize = 4_096;

#[derive(Debug, Clone)]
struct AnyItem(Item);

fn member(instance: u8, incarnation: u64, state: MemberState, slots: u16) -> Member {
    let address = SocketAddr::from(([10, 0, 0, instance], 7403));
    Member {
        instance: format!("n{instance}").parse().unwrap(),
        incarnation: Incarnation(incarnation),
        state,
        service: "counter".parse().unwrap(),
        version: "1".parse().unwrap(),
        data_centre: "a".parse().unwrap(),
        region: "r".parse().unwrap(),
        endpoints: Endpoints { peer: address, relay: address },
        slots,
        left: (slots % 2 == 1).then_some(ProcessId(7)),
    }
}

fn stamp(g: &mut Gen) -> Stamp {
    Stamp { wall: WallTime(u64::from(u8::arbitrary(g) % 3)), logical: 0 }
}

fn fact(g: &mut Gen) -> Fact {
    let small = u64::from(u8::arbitrary(g) % 3);
    let until = WALL + Duration::from_millis(1 + u64::from(u8::arbitrary(g) % 3));
    match u8::arbitrary(g) % 7 {
        0 => Fact::BadVersion {
            service: "counter".parse().unwrap(),
            version: format!("{small}").parse().unwrap(),
            by: format!("m{}", u8::arbitrary(g) % 2).parse().unwrap(),
            reason: format!("{}", u8::arbitrary(g) % 2),
            at: stamp(g),
        },
        1 => Fact::Aborted {
            by: format!("m{small}").parse().unwrap(),
            service: "counter".parse().unwrap(),
            version: format!("{}", u8::arbitrary(g) % 2).parse().unwrap(),
            at: stamp(g),
        },
        2 => Fact::Quarantined { fingerprint: Fingerprint(small), until },
        3 => Fact::CrashSeen { fingerprint: Fingerprint(small), crash: 1, until },
        4 => Fact::Head(ConfigHead {
            version: ConfigVersion(small),
            manifest: ContentHash::of(&[u8::arbitrary(g) % 2]),
        }),
        5 => Fact::MoveRow {
            mv: "m1".parse().unwrap(),
            revision: small,
            row: format!("{}", u8::arbitrary(g) % 2),
            until,
        },
        _ => Fact::Cleared {
            by: "m1".parse().unwrap(),
            step: u16::from(u8::arbitrary(g) % 2),
            at: stamp(g),
            until,
        },
    }
}

impl Arbitrary for AnyItem {
    fn arbitrary(g: &mut Gen) -> Self {
        if bool::arbitrary(g) {
            return AnyItem(Item::Fact(fact(g)));
        }
        let states = [
            MemberState::Joining,
            MemberState::Serving,
            MemberState::Suspect,
            MemberState::Draining,
            MemberState::Dead,
        ];
        let (instance, incarnation) = (u8::arbitrary(g) % 3, u64::from(u8::arbitrary(g) % 3));
        let slots = u16::from(u8::arbitrary(g) % 2);
        AnyItem(Item::Member(member(instance, incarnation, *g.choose(&states).unwrap(), slots)))
    }
}

fn table(items: &[AnyItem]) -> Table {
    let mut table = Table::new(MAX_ITEMS, MAX_ITEMS);
    for item in items {
        table.join(&item.0, Time::default(), WALL);
    }
    table
}

fn content(table: &Table) -> (Vec<Member>, Vec<Fact>, Vec<u32>) {
    let members = table.members().cloned().collect();
    (members, table.facts().cloned().collect(), table.buckets(Scope::All))
}

quickcheck! {
    /// Guards against tables that diverge because of the order or duplication of messages.
    fn joining_is_commutative_and_idempotent(items: Vec<AnyItem>, rotate: usize) -> bool {
        let mut other = items.clone();
        other.reverse();
        let len = other.len().max(1);
        let by = (rotate % len).min(other.len());
        other.rotate_left(by);
        other.extend(items.iter().take(3).cloned());
        content(&table(&items)) == content(&table(&other))
    }

    /// Guards against tables that diverge because of the order of table exchanges.
    fn joining_tables_is_associative(a: Vec<AnyItem>, b: Vec<AnyItem>, c: Vec<AnyItem>) -> bool {
        let of = |table: &Table| -> Vec<AnyItem> {
            let members = table.members().cloned().map(Item::Member);
            members.chain(table.facts().cloned().map(Item::Fact)).map(AnyItem).collect()
        };
        let join = |x: &[AnyItem], y: &[AnyItem]| table(&[x, y].concat());
        let left = join(&of(&join(&a, &b)), &c);
        let right = join(&a, &of(&join(&b, &c)));
        content(&left) == content(&right)
    }

    /// Guards against an outdated record that improves a member's state without a new incarnation.
    fn a_member_state_never_improves_within_an_incarnation(items: Vec<AnyItem>) -> bool {
        let mut table = Table::new(MAX_ITEMS, MAX_ITEMS);
        items.iter().all(|AnyItem(item)| {
            let before = match item {
                Item::Member(m) => table.member(&m.instance).map(|m| (m.incarnation, m.state)),
                Item::Fact(_) | Item::Brief(_) => None,
            };
            table.join(item, Time::default(), WALL);
            match item {
                Item::Member(m) => {
                    let after = table.member(&m.instance).map(|m| (m.incarnation, m.state));
                    after >= before
                }
                Item::Fact(_) | Item::Brief(_) => true,
            }
        })
    }

    /// Guards against digests that depend on the order of joins, which would cause endless
    /// exchanges.
    fn equal_tables_have_equal_digests(items: Vec<AnyItem>) -> bool {
        let mut other = items.clone();
        other.reverse();
        table(&items).digest() == table(&other).digest()
    }
}

/// Guards against a bad version that is forgotten, and against an expired fact that is accepted
/// again from a node with a late clock.
#[test]
fn bad_versions_never_expire_and_expired_facts_are_refused() {
    let bad = Fact::BadVersion {
        service: "counter".parse().unwrap(),
        version: "2".parse().unwrap(),
        by: "m1".parse().unwrap(),
        reason: "errors".into(),
        at: Stamp::default(),
    };
    let quarantined =
        Fact::Quarantined { fingerprint: Fingerprint(1), until: WALL + Duration::from_secs(1) };
    let mut table = Table::new(MAX_ITEMS, MAX_ITEMS);
    table.join(&Item::Fact(bad.clone()), Time::default(), WALL);
    table.join(&Item::Fact(quarantined.clone()), Time::default(), WALL);
    let later = WALL + Duration::from_secs(365 * 24 * 3_600);
    table.expire(Time::from_secs(365 * 24 * 3_600), later, Duration::from_secs(1));
    assert_eq!(table.facts().collect::<Vec<_>>(), [&bad]);
    let rejoined = table.join(&Item::Fact(quarantined), Time::default(), later);
    assert_eq!(rejoined, Joined::Refused, "an expired fact is accepted");
}

/// Guards against unbounded growth and against records with incarnations or expiry times far in the
/// future; refusals must be counted.
#[test]
fn bounds_hold_and_refusals_are_counted() {
    let mut table = Table::new(2, 2);
    let too_far_ahead = WALL.0 + MAX_AHEAD_MS + 1;
    let dead = member(9, 1, MemberState::Dead, 0);
    let items = [
        (Item::Member(dead.clone()), Joined::New),
        (Item::Member(member(1, 1, MemberState::Serving, 0)), Joined::New),
        // The dead member is removed to make room.
        (Item::Member(member(2, 1, MemberState::Serving, 0)), Joined::New),
        (Item::Member(member(3, 1, MemberState::Serving, 0)), Joined::Refused),
        (Item::Member(member(1, too_far_ahead, MemberState::Serving, 0)), Joined::Refused),
    ];
    for (item, joined) in items {
        assert_eq!(table.join(&item, Time::default(), WALL), joined, "{item:?}");
    }
    assert!(table.member(&dead.instance).is_none());
    let quarantined =
        |n| Fact::Quarantined { fingerprint: Fingerprint(n), until: WALL + Duration::from_secs(n) };
    for n in 1..=3 {
        table.join(&Item::Fact(quarantined(n)), Time::default(), WALL);
    }
    assert_eq!(table.facts().count(), 2, "the fact that expires first is evicted");
    assert!(!table.facts().any(|fact| *fact == quarantined(1)));
    let too_long = Fact::Quarantined {
        fingerprint: Fingerprint(4),
        until: WALL + MAX_FACT_LIFE + Duration::from_secs(1),
    };
    assert_eq!(table.join(&Item::Fact(too_long), Time::default(), WALL), Joined::Refused);
    assert_eq!(table.refused(), 3);
}
