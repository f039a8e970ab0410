//! Messages between the membership state machines of different nodes.

use std::net::SocketAddr;
use std::time::Duration;
use sycamore_types::prelude::*;

/// Entry of a membership table, as carried by messages.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Item {
    /// Record of a member at its highest known incarnation.
    Member(Member),
    /// Fact that is disseminated to all nodes.
    Fact(Fact),
    /// State of a member without the rest of its record. A node that has a record of the member
    /// updates it; others ignore the item and receive the record by a table exchange.
    Brief(Brief),
}

/// State of a member without the rest of its record.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Brief {
    /// Instance of the member.
    pub instance: InstanceId,
    /// Incarnation that the state belongs to.
    pub incarnation: Incarnation,
    /// State of the member in that incarnation.
    pub state: MemberState,
}

/// Key of an item in a membership table.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ItemKey {
    /// Key of a member record.
    Member(InstanceId),
    /// Key of a fact.
    Fact(FactKey),
}

impl Item {
    /// Returns the table key of the item.
    pub fn key(&self) -> ItemKey {
        match self {
            Item::Member(member) => ItemKey::Member(member.instance.clone()),
            Item::Fact(fact) => ItemKey::Fact(fact.key()),
            Item::Brief(brief) => ItemKey::Member(brief.instance.clone()),
        }
    }

    /// Returns the item as datagrams carry it: suspect and dead members, of which there may be many
    /// at once, are shortened to their state.
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

    /// Returns an upper estimate of the encoded size, in bytes.
    pub fn size(&self) -> usize {
        /// Size of the tags, lengths and numbers of a member or fact.
        const FRAME_BYTES: usize = 56;
        /// Size of the tags, lengths and numbers of a [`Brief`].
        const BRIEF_FRAME_BYTES: usize = 20;
        match self {
            Item::Member(member) => FRAME_BYTES + member_bytes(member),
            Item::Fact(fact) => FRAME_BYTES + fact_text_bytes(fact),
            Item::Brief(brief) => BRIEF_FRAME_BYTES + brief.instance.as_str().len(),
        }
    }
}

/// Returns the size of the strings, addresses and optional fields of `member`, in bytes.
fn member_bytes(member: &Member) -> usize {
    /// Size of the tag and number of a process that left.
    const LEFT_BYTES: usize = 9;
    let ip_bytes = |address: SocketAddr| if address.is_ipv4() { 4 } else { 16 };
    member.instance.as_str().len()
        + member.service.as_str().len()
        + member.version.as_str().len()
        + member.data_centre.as_str().len()
        + member.region.as_str().len()
        + ip_bytes(member.endpoints.peer)
        + ip_bytes(member.endpoints.relay)
        + member.left.map_or(0, |_| LEFT_BYTES)
}

/// Returns the size of the strings of `fact`, in bytes.
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
        Fact::OutOfUse { data_centre, .. } => data_centre.as_str().len(),
        Fact::Quarantined { .. } | Fact::CrashSeen { .. } | Fact::Head(_) => 0,
    }
}

/// Digests of a table's content; equal tables have equal digests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub struct Digest {
    /// Digest of the members that are not dead.
    pub members: u32,
    /// Digest of the facts.
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

/// Part of the table that an exchange compares.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub enum Scope {
    /// Compares members and facts.
    #[default]
    All,
    /// Compares facts only, which are few and urgent for every node.
    Facts,
}

/// Type of a datagram, with its parameters.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Body {
    /// Requests a [`Body::Ack`].
    Ping {
        /// Sequence number chosen by the sender, repeated in the answer.
        seq: u32,
        /// Digest of the sender's membership table.
        digest: Digest,
    },
    /// Answers a [`Body::Ping`], or a [`Body::PingRequest`] whose target has answered.
    Ack {
        /// Sequence number of the answered ping or ping request.
        seq: u32,
        /// Digest of the sender's membership table.
        digest: Digest,
    },
    /// Requests that the receiver pings `target` and reports the result.
    PingRequest {
        /// Sequence number chosen by the sender, repeated in the answer.
        seq: u32,
        /// Instance to ping.
        target: InstanceId,
    },
    /// Answers a [`Body::PingRequest`] whose target did not answer in time.
    Nack {
        /// Sequence number of the answered ping request.
        seq: u32,
    },
    /// Carries items without a request or an answer.
    Push,
    /// Requests a [`Body::Delta`] from the configuration with manifest hash `base` to the
    /// receiver's; not handled by the membership protocol, like the answer.
    DeltaRequest {
        /// Manifest hash of the sender's configuration in force.
        base: ContentHash,
        /// Time of the sender's clock, which the answer repeats; 0 if it needs no proof.
        asked_at: u64,
    },
    /// Answers a [`Body::DeltaRequest`].
    Delta {
        /// Encoded difference between two configurations.
        encoded: Vec<u8>,
    },
    /// Answers a [`Body::DeltaRequest`] for which there is no delta, or none that fits into a
    /// datagram.
    Current {
        /// Head of the sender's configuration in force; `None` if it has none.
        head: Option<ConfigHead>,
        /// Revision of the platform's table up to which the sender's configuration holds.
        revision: u64,
        /// Age of the sender's knowledge of the platform's table.
        age: Duration,
        /// Highest version above the one in force that the sender read as an operator's row and
        /// rejected; `None` if there is none.
        rejected: Option<ConfigVersion>,
        /// Proof of how recent the sender's configuration is; `None` if it has none, or wasn't asked.
        proof: Option<ProofAge>,
    },
    /// Asks the home of a client account to lend calls; not handled by the membership protocol, like
    /// the answer.
    CreditRequest {
        /// Number of the request; a repeated request has the same.
        number: u64,
        /// Account whose calls are wanted.
        account: AccountName,
        /// Number of calls.
        calls: u32,
        /// Number of calls that the sender has spent without the home and not told it yet.
        spent: u32,
    },
    /// Answers a [`Body::CreditRequest`].
    Credit {
        /// Number of the request.
        number: u64,
        /// Account whose calls are lent.
        account: AccountName,
        /// Number of calls.
        calls: u32,
        /// Time until there is credit for a further call.
        wait: Duration,
        /// Calls per 1,000 s that the receiver may start while it reaches no home.
        alone_per_ks: u32,
        /// Address of the account's home, where the sender isn't it and has lent nothing.
        home: Option<SocketAddr>,
    },
}

/// Age of a proof that a configuration is the newest, in an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ProofAge {
    /// Time in the request, by the clock of its sender. The time on the way is unknown, so the sender
    /// counts the age from then on.
    pub asked_at: u64,
    /// Age of the proof when the answer was sent.
    pub age: Duration,
}

/// Datagram between nodes.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Packet {
    /// Instance that sends the datagram.
    pub from: InstanceId,
    /// Request, answer or push in the datagram.
    pub body: Body,
    /// Pushed or piggybacked items.
    pub items: Vec<Item>,
}

/// Request of a table exchange: compares tables bucket by bucket, offers items, or both.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct ExchangeRequest {
    /// Digest of each bucket of the sender's table; empty if items are only offered.
    pub buckets: Vec<u32>,
    /// Index of the bucket to compare first.
    pub first: u32,
    /// Items offered to the receiver.
    pub items: Vec<Item>,
    /// Part of the table that is compared.
    pub scope: Scope,
}

/// Reply to an [`ExchangeRequest`].
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct ExchangeReply {
    /// Indices of differing buckets that the reply covers completely.
    pub differing: Vec<u32>,
    /// Items of those buckets.
    pub items: Vec<Item>,
    /// Index of the bucket to continue with; `None` if all differing buckets fitted.
    pub next: Option<u32>,
}
