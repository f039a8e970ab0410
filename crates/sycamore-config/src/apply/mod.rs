//! Brings a node from one configuration to the next, whole or not at all.

mod candidate;
mod machine;
mod reject;

pub use machine::Apply;
pub use reject::RejectReason;

use bytes::Bytes;
use std::time::Duration;
use sycamore_platform::backoff::BackoffSettings;
use sycamore_types::prelude::*;

/// Bounds of the apply machine.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ApplySettings {
    /// Heads followed at once; the lowest gives way.
    pub candidates: usize,
    /// Fetches from peers before each one from the object store.
    pub peer_attempts: u32,
    /// Failures in a row that are told apart; at least `peer_attempts` + 1.
    pub max_failures: u32,
    /// Answers of the object store that it has no such object after which a head is rejected.
    pub max_absent: u32,
    /// Resources asked for in one fetch from a peer.
    pub fetch_resources: usize,
    /// Bytes of one configuration, manifest and resources together.
    pub max_bytes: usize,
    /// Delays after failed fetches.
    pub backoff: BackoffSettings,
    /// Decides the delays.
    pub seed: u64,
}

impl Default for ApplySettings {
    fn default() -> Self {
        Self {
            candidates: 4,
            peer_attempts: 8,
            max_failures: 27,
            max_absent: 3,
            fetch_resources: 64,
            max_bytes: crate::manifest::MAX_PACK_BYTES,
            backoff: BackoffSettings {
                base: Duration::from_millis(40),
                cap: Duration::from_secs(2),
            },
            seed: 0,
        }
    }
}

/// Where objects are fetched from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Source {
    /// Another node; the daemon chooses which.
    Peer,
    /// The platform's object store, which holds the whole configuration in one object.
    Store,
}

/// What a fetch brought. Nothing in it is trusted before its hash was checked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FetchAnswer {
    /// Objects from a peer, as many as it had.
    Objects(Vec<Bytes>),
    /// The configuration's object from the store.
    Pack(Bytes),
    /// The store has no such object.
    Absent,
    /// No answer in time, or a refusal.
    Failed,
}

/// What the machine is told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Input {
    /// A head was heard of.
    Heard {
        /// The head.
        head: ConfigHead,
        /// Who told: a peer, or the platform's head row, in which case few peers have it yet.
        from: Source,
        /// Time for which the configuration may come by itself before it is fetched.
        lead: Duration,
    },
    /// A whole configuration came by itself, whatever is being fetched.
    Given {
        /// Its head.
        head: ConfigHead,
        /// All of it, as the object store would hold it.
        pack: Bytes,
    },
    /// The version floor is known.
    Floor(ConfigVersion),
    /// The answer to the one fetch under way for `head`.
    Fetched {
        /// The head fetched for.
        head: ConfigHead,
        /// What it brought.
        answer: FetchAnswer,
    },
    /// Time has passed.
    Tick,
}

/// What the daemon shall do.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Fetch objects and answer with [`Input::Fetched`], once.
    Fetch {
        /// The head fetched for.
        head: ConfigHead,
        /// Where from.
        source: Source,
        /// The objects wanted; from the store the whole configuration comes all the same.
        hashes: Vec<ContentHash>,
    },
    /// Put the configuration into force, in one step.
    Apply(Snapshot),
    /// Report that a head was rejected; what is in force stays.
    Reject {
        /// The head.
        head: ConfigHead,
        /// Why.
        reason: RejectReason,
    },
}
