//! Messages that membership machines of different nodes send to each other.

use std::net::SocketAddr;
use sycamore_types::prelude::*;

/// A member or a fact: what tables hold and messages carry.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Item {
    /// A member as its highest known incarnation.
    Member(Member),
    /// A spread fact.
    Fact(Fact),
    /// A member's state alone. A node that knows the member fills in the rest; others ignore it,
    /// and learn the whole record when they compare tables.
    Brief(Brief),
}

/// The state of a member, without what it is.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Brief {
    /// The instance.
    pub instance: InstanceId,
    /// Its generation.
    pub incarnation: Incarnation,
    /// What it is doing.
    pub state: MemberState,
}

/// What an item is about.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ItemKey {
    /// A member.
    Member(InstanceId),
    /// A fact.
    Fact(FactKey),
}

impl Item {
    /// What the item is about.
    pub fn key(&self) -> ItemKey {
        match self {
            Item::Member(member) => ItemKey::Member(member.instance.clone()),
            Item::Fact(fact) => ItemKey::Fact(fact.key()),
            Item::Brief(brief) => ItemKey::Member(brief.instance.clone()),
        }
    }

    /// The item as datagrams carry it: only the state of a member that is suspect or dead, since
    /// many may be at once.
    #[must_use]
    pub fn into_brief(self) -> Self {
        match self {
            Item::Member(Member { instance, incarnation, state, .. })
                if matches!(state, MemberState::Suspect | MemberState::Dead) =>
            {
                Item::Brief(Brief { instance, incarnation, state })
            }
            other => other,
        }
    }

    /// An upper estimate of the encoded size, in bytes.
    pub fn size(&self) -> usize {
        /// Tags, lengths and numbers of one item.
        const FRAME_BYTES: usize = 56;
        /// The same of a brief one.
        const BRIEF_FRAME_BYTES: usize = 20;
        match self {
            Item::Member(member) => FRAME_BYTES + member_bytes(member),
            Item::Fact(fact) => FRAME_BYTES + fact_text_bytes(fact),
            Item::Brief(brief) => BRIEF_FRAME_BYTES + brief.instance.as_str().len(),
        }
    }
}

fn member_bytes(member: &Member) -> usize {
    let ip_bytes = |address: SocketAddr| if address.is_ipv4() { 4 } else { 16 };
    member.instance.as_str().len()
        + member.service.as_str().len()
        + member.version.as_str().len()
        + member.data_centre.as_str().len()
        + member.region.as_str().len()
        + ip_bytes(member.endpoints.peer)
        + ip_bytes(member.endpoints.relay)
}

fn fact_text_bytes(fact: &Fact) -> usize {
    match fact {
        Fact::BadVersion { service, version, by, reason, .. } => {
            service.as_str().len() + version.as_str().len() + by.as_str().len() + reason.len()
        }
        Fact::Aborted { by, service, version, .. } => {
            service.as_str().len() + version.as_str().len() + by.as_str().len()
        }
        Fact::MoveRow { mv, row, .. } => mv.as_str().len() + row.len(),
        Fact::Cleared { by, .. } => by.as_str().len(),
        Fact::Quarantined { .. } | Fact::CrashSeen { .. } | Fact::Head(_) => 0,
    }
}

/// What a table holds in short: equal tables have equal digests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub struct Digest {
    /// Of the members.
    pub members: u32,
    /// Of the facts.
    pub facts: u32,
}

impl From<u64> for Digest {
    fn from(bits: u64) -> Self {
        Self { members: (bits >> 32) as u32, facts: bits as u32 }
    }
}

impl From<Digest> for u64 {
    fn from(digest: Digest) -> Self {
        u64::from(digest.members) << 32 | u64::from(digest.facts)
    }
}

/// What a comparison of tables is about.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub enum Scope {
    /// Members and facts.
    #[default]
    All,
    /// Facts only: few, and each matters to every node at once.
    Facts,
}

/// What a datagram is for.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Body {
    /// Asks for an [`Body::Ack`].
    Ping {
        /// Chosen by the asking node, repeated in the answer.
        seq: u32,
        /// Digest of the sender's table.
        digest: Digest,
    },
    /// Answers a [`Body::Ping`], or a [`Body::PingRequest`] whose target answered.
    Ack {
        /// The ping's number.
        seq: u32,
        /// Digest of the sender's table.
        digest: Digest,
    },
    /// Asks the receiver to ping `target` and to tell the result.
    PingRequest {
        /// Chosen by the asking node, repeated in the answer.
        seq: u32,
        /// The instance to ping.
        target: InstanceId,
    },
    /// Answers a [`Body::PingRequest`] whose target did not answer in time.
    Nack {
        /// The request's number.
        seq: u32,
    },
    /// Carries items only.
    Push,
}

/// One datagram between nodes.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Packet {
    /// The sending instance.
    pub from: InstanceId,
    /// What the datagram is for.
    pub body: Body,
    /// News.
    pub items: Vec<Item>,
}

/// Compares tables bucket by bucket, offers items, or both.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct ExchangeRequest {
    /// Digest of each bucket of the caller's table; empty where items are only offered.
    pub buckets: Vec<u32>,
    /// The bucket to compare first.
    pub first: u32,
    /// Items offered.
    pub items: Vec<Item>,
    /// What is compared.
    pub scope: Scope,
}

/// Answers an [`ExchangeRequest`].
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct ExchangeReply {
    /// Buckets that differ and whose items are all given.
    pub differing: Vec<u32>,
    /// The items of those buckets.
    pub items: Vec<Item>,
    /// The bucket to go on from, where not all that differ fitted.
    pub next: Option<u32>,
}
