//! Settings of the machine.

use std::time::Duration;

/// Settings of [`crate::Membership`].
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Options {
    /// Time between two probes.
    pub probe_interval: Duration,
    /// Time that a probed member has to answer, before others are asked to probe it.
    pub probe_timeout: Duration,
    /// Time that a suspect has to refute, before it is taken for dead.
    pub suspicion: Duration,
    /// Members asked to probe one that did not answer.
    pub helpers: usize,
    /// Members that news is pushed to at once.
    pub fanout: usize,
    /// How many of [`Options::fanout`] are chosen outside the node's own data centre.
    pub remote_fanout: usize,
    /// Datagrams of the failure detector that each piece of news rides on.
    pub retransmits: u8,
    /// Bytes of news on one datagram of the failure detector.
    pub piggyback_bytes: usize,
    /// Bytes of news about members per second; facts and drains are not held back.
    pub push_bytes_per_s: usize,
    /// Bytes of news about members that may be sent at once.
    pub push_burst_bytes: usize,
    /// Least time between two comparisons of tables that this node starts; as much again is added
    /// at random.
    pub exchange_interval: Duration,
    /// Time without news after which different digests are taken for a lasting difference.
    pub quiet: Duration,
    /// Time after which different digests are acted on, news or not.
    pub patience: Duration,
    /// Bytes of items in one exchange message.
    pub exchange_bytes: usize,
    /// Time that dead members are remembered. It must exceed the longest cut between regions, or
    /// an old record could bring a dead incarnation back.
    pub dead_retention: Duration,
    /// Members remembered, dead ones included.
    pub max_members: usize,
    /// Facts of each kind remembered.
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
            remote_fanout: 1,
            retransmits: 4,
            piggyback_bytes: 512,
            push_bytes_per_s: 256,
            push_burst_bytes: 8 << 10,
            exchange_interval: Duration::from_secs(10),
            quiet: Duration::from_secs(2),
            patience: Duration::from_secs(10),
            exchange_bytes: 8 << 10,
            dead_retention: Duration::from_secs(24 * 3_600),
            max_members: 4_096,
            max_facts: 4_096,
        }
    }
}
