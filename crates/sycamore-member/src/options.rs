//! Tuning parameters of the membership protocol.

use std::time::Duration;

/// Tuning parameters of [`crate::Membership`].
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Options {
    /// Interval between probes started by one node.
    pub probe_interval: Duration,
    /// Timeout of a direct probe, after which other members are asked to probe the target.
    pub probe_timeout: Duration,
    /// Time that a suspected member has to refute the suspicion before it is declared dead.
    pub suspicion: Duration,
    /// Number of members asked to probe a target that did not answer.
    pub helpers: usize,
    /// Number of members that a new item is pushed to.
    pub fanout: usize,
    /// Number of members that a new configuration head is pushed to. A node that no push reaches
    /// learns of it from probes, up to seconds later.
    pub head_fanout: usize,
    /// Number of members among [`Options::fanout`] chosen outside the node's own data centre.
    pub remote_fanout: usize,
    /// Number of failure detector datagrams that each update is piggybacked on.
    pub retransmits: u8,
    /// Upper bound on piggybacked items per failure detector datagram, in bytes.
    pub piggyback_bytes: usize,
    /// Sustained rate of pushed and piggybacked items, in bytes per second. Pushes of facts and of
    /// draining members are exempt.
    pub push_bytes_per_s: usize,
    /// Upper bound on the unused part of [`Options::push_bytes_per_s`] that accumulates, in bytes.
    pub push_burst_bytes: usize,
    /// Lower bound on the time between two table exchanges started by one node; a random part of up
    /// to the same time is added.
    pub exchange_interval: Duration,
    /// Time without a change after which differing digests are treated as a lasting difference.
    pub settle_time: Duration,
    /// Time after which differing digests start a table exchange even if the table still changes.
    pub max_mismatch_time: Duration,
    /// Upper bound on the items in one exchange message, in bytes; the first bucket may exceed it.
    pub exchange_bytes: usize,
    /// Time for which records of dead members are kept. It must exceed the longest network
    /// partition between regions, or an outdated record could revive a dead incarnation.
    pub dead_retention: Duration,
    /// Upper bound on member records, including dead members.
    pub max_members: usize,
    /// Upper bound on facts of each kind.
    pub max_facts: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            probe_interval: Duration::from_secs(1),
            probe_timeout: Duration::from_millis(300),
            suspicion: Duration::from_secs(4),
            helpers: 3,
            fanout: 4,
            head_fanout: 6,
            remote_fanout: 1,
            retransmits: 4,
            piggyback_bytes: 512,
            push_bytes_per_s: 256,
            push_burst_bytes: 8 << 10,
            exchange_interval: Duration::from_secs(10),
            settle_time: Duration::from_secs(2),
            max_mismatch_time: Duration::from_secs(10),
            exchange_bytes: 8 << 10,
            dead_retention: Duration::from_secs(24 * 3_600),
            max_members: 4_096,
            max_facts: 4_096,
        }
    }
}
