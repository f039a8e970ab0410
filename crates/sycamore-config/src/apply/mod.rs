//! Atomic replacement of a node's configuration: fetching, verification and application.

mod behind;
mod candidate;
mod machine;
mod object;
mod reject;

pub use machine::Apply;
pub use reject::RejectReason;

use crate::delta::Delta;
use bytes::Bytes;
use std::time::Duration;
use sycamore_platform::backoff::BackoffSettings;
use sycamore_types::prelude::*;

/// Size of a configuration, counted in entries and in bytes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ConfigSize {
    /// Number of entries: services, routes and limits of callers.
    pub resources: usize,
    /// Size of the encoded resources, in bytes, without the manifest.
    pub bytes: usize,
}

/// Limits and delays of [`Apply`].
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ApplySettings {
    /// Upper bound on heads that are fetched concurrently; the lowest versions are dropped first.
    pub candidates: usize,
    /// Failed fetches from peers before one fetch from the object store.
    pub peer_attempts: u32,
    /// Upper bound on the consecutive failures counted for the backoff; at least
    /// `peer_attempts` + 1.
    pub max_failures: u32,
    /// Number of [`FetchAnswer::Absent`] answers after which a head is rejected.
    pub max_absent: u32,
    /// Upper bound on the objects requested in one fetch.
    pub fetch_resources: usize,
    /// Upper bound on the size of a manifest with its resources, in bytes.
    pub max_bytes: usize,
    /// Delays between a failed fetch and the next one.
    pub backoff: BackoffSettings,
    /// Time without bytes from a peer after which a fetch is given up. It doubles with each further
    /// fetch of a candidate that timed out, from the second on: a single silent peer is dead rather
    /// than slow, several are silent because the way to this node is.
    pub fetch_timeout: Duration,
    /// Upper bound on the time without bytes from a peer; no bound below `fetch_timeout`.
    pub max_fetch_timeout: Duration,
    /// Time of a whole fetch from a peer after which it is given up while bytes still arrive.
    pub max_fetch_time: Duration,
    /// Time after learning of a newer version until peers are asked for a delta. Where the usual
    /// ways work, the configuration arrives before.
    pub delta_delay: Duration,
    /// Time between the first two requests for a delta; it doubles with each request.
    pub delta_interval: Duration,
    /// Upper bound on the time between two requests for a delta.
    pub max_delta_interval: Duration,
    /// Seed of the random part of the delays.
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
            fetch_timeout: Duration::from_millis(500),
            max_fetch_timeout: Duration::from_secs(2),
            max_fetch_time: Duration::from_secs(5),
            delta_delay: Duration::from_millis(300),
            delta_interval: Duration::from_millis(200),
            max_delta_interval: Duration::from_secs(2),
            seed: 0,
        }
    }
}

/// Origin of configuration objects and heads.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Source {
    /// Another node, chosen by the caller of [`Apply`].
    Peer,
    /// The platform, whose object store holds each configuration as one pack.
    Store,
}

impl Source {
    /// Returns the name of the source as logged.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Peer => "peer",
            Self::Store => "platform",
        }
    }
}

/// Result of a fetch. Objects are verified against their hashes before use.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FetchAnswer {
    /// Requested objects that the peer had.
    Objects(Vec<Bytes>),
    /// Pack of the configuration from the object store.
    Pack(Bytes),
    /// Difference from the configuration in force to the peer's.
    Delta(Delta),
    /// The object store has no object for the manifest's hash.
    Absent,
    /// The peer sent nothing for as long as the fetch's limit, or not everything in time.
    TimedOut,
    /// The fetch failed in another way, or was refused.
    Failed,
}

/// Event that [`Apply`] processes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Input {
    /// A configuration head was learned from a peer or from the head row.
    HeadLearned {
        /// Version and manifest hash of the configuration.
        head: ConfigHead,
        /// Origin of the head. A head from the platform is fetched from the object store first,
        /// because few peers have its objects yet.
        from: Source,
        /// Delay before the first fetch, during which the pack may arrive unrequested; counted
        /// from the time since which a newer version than the one in force is known.
        fetch_delay: Duration,
    },
    /// A complete configuration arrived without a fetch.
    PackReceived {
        /// Version and manifest hash of the configuration.
        head: ConfigHead,
        /// Manifest and all resources, in the object store's format.
        pack: Bytes,
    },
    /// A peer sent the difference to a newer configuration.
    DeltaReceived(Delta),
    /// The version floor was determined; lower versions are never applied.
    Floor(ConfigVersion),
    /// The pending fetch for `head` ended.
    Fetched {
        /// Head of the configuration that was fetched.
        head: ConfigHead,
        /// Result of the fetch.
        answer: FetchAnswer,
    },
    /// The time returned by [`Apply::next_tick`] was reached.
    Tick,
}

/// Operation that the caller of [`Apply`] has to perform.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Fetch objects and report the result as exactly one [`Input::Fetched`].
    Fetch {
        /// Head of the configuration to fetch.
        head: ConfigHead,
        /// Origin to fetch from.
        source: Source,
        /// Hashes of the missing objects; a fetch from the store returns the whole pack anyway.
        hashes: Vec<ContentHash>,
        /// Limits of a fetch from a peer; one from the store has those of the platform's client.
        limit: FetchLimit,
    },
    /// Ask peers by datagram for the difference from the configuration in force to theirs. The
    /// answer, if any, is an [`Input::DeltaReceived`].
    RequestDelta {
        /// Manifest hash of the configuration in force.
        base: ContentHash,
    },
    /// Replace the configuration in force atomically.
    Apply(Snapshot),
    /// Report a rejected head; the configuration in force stays.
    Reject {
        /// Version and manifest hash of the rejected configuration.
        head: ConfigHead,
        /// Reason for the rejection.
        reason: RejectReason,
    },
}
