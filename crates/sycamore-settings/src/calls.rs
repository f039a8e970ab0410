//! Section `[calls]`: settings of routing, admission and retries of calls.

use crate::unit::{OptionalCount, OptionalSpan, Size, Span};
use serde::{Deserialize, Serialize};
use serde_with::{serde_as, DisplayFromStr};
use std::time::Duration;

/// Memory reserved for the request body of one exchange, in bytes.
///
/// The reservation covers the first part of the body (up to 32 KiB and one read), a copy of it
/// while it is sent, and the reads of the relay.
pub const EXCHANGE_BYTES: u64 = 128 << 10;
/// Shortest time without an announcement after which an upstream counts as lost.
const MIN_ANNOUNCEMENT_TIMEOUT: Duration = Duration::from_secs(5);
/// Intervals between announcements that may pass without one: a single one may be lost.
const ANNOUNCEMENT_INTERVALS: u32 = 2;
/// Delay of an announcement on its way that doesn't count as silence.
const ANNOUNCEMENT_DELAY: Duration = Duration::from_secs(2);

/// Algorithm that adapts the concurrency limit to the upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LimitPolicy {
    /// Constant limit: the slots that the upstream declares.
    Fixed,
    /// Additive increase while calls succeed, multiplicative decrease on refusals and timeouts.
    #[default]
    Aimd,
    /// Limit scaled by the ratio of the long-term to the short-term mean latency.
    Gradient,
}

/// Settings of routing, admission and retries of calls, section `[calls]`.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Calls {
    /// Largest number of nodes on the path of a call, at least 1.
    #[serde_as(as = "DisplayFromStr")]
    pub hop_limit: u8,
    /// Largest number of connections accepted from one IP address.
    #[serde_as(as = "DisplayFromStr")]
    pub connections_per_address: u32,
    /// Longest time that a caller may take to send the head of a request.
    #[serde_as(as = "Span")]
    pub head_timeout: Duration,
    /// Memory limit for the request bodies of all concurrent exchanges, which reserve
    /// [`EXCHANGE_BYTES`] each. Exchanges that relay to another node may use half of it.
    #[serde_as(as = "Size")]
    pub body_memory: u64,
    /// Longest time that a drain waits for calls in flight before the node stops without them.
    #[serde_as(as = "Span")]
    pub drain_timeout: Duration,
    /// Time for which a draining node still accepts new calls, while callers switch to other nodes.
    #[serde_as(as = "Span")]
    pub drain_notice: Duration,
    /// Time after which a node that was told to stop is killed. The drain ends so early that the
    /// node ends by itself before; `None` if it isn't killed.
    #[serde_as(as = "OptionalSpan")]
    pub grace: Option<Duration>,
    /// Whether the upstream's listener may have an address other than loopback, which programs
    /// other than the upstream on the node's instance may reach.
    #[serde_as(as = "DisplayFromStr")]
    pub upstream_beyond_loopback: bool,
    /// Time between two announcements of the upstream; `None` if it isn't stated.
    #[serde_as(as = "OptionalSpan")]
    pub announce_interval: Option<Duration>,
    /// Shortest retry delay that a caller is given when its call is refused for overload.
    #[serde_as(as = "Span")]
    pub min_retry_after: Duration,
    /// Largest number of refusals for overload after which a call is sent to another upstream with
    /// known free capacity without using the retry budget.
    #[serde_as(as = "DisplayFromStr")]
    pub free_reroutes: u8,
    /// Largest number of retries to a service that all nodes together may accumulate, in addition
    /// to the percentage of calls in the service's retry budget; `None` allows ten per node.
    #[serde_as(as = "OptionalCount")]
    pub fleet_retries_saved: Option<u32>,
    /// Algorithm that adapts the concurrency limit to the upstream.
    pub limit_policy: LimitPolicy,
    /// Time for which a request that crashes upstreams is refused.
    #[serde_as(as = "Span")]
    pub quarantine: Duration,
    /// Time for which an idempotency key is remembered after its call.
    ///
    /// A new owner of a key answers "unknown" for this time plus [`Calls::view_lag`] if it can't
    /// ask the old owner. A call that may have been in flight for longer than half of this time is
    /// answered "unknown" too; the other half is left for callers to repeat a call.
    #[serde_as(as = "Span")]
    pub key_memory: Duration,
    /// Longest time for which two nodes may have different views of the membership.
    #[serde_as(as = "Span")]
    pub view_lag: Duration,
}

impl Calls {
    /// Returns the time without an announcement after which the upstream counts as lost: two
    /// [`Calls::announce_interval`]s and 2 s, but at least 5 s.
    pub fn announcement_timeout(&self) -> Duration {
        let stated = self.announce_interval.map(|interval| {
            interval.saturating_mul(ANNOUNCEMENT_INTERVALS).saturating_add(ANNOUNCEMENT_DELAY)
        });
        stated.unwrap_or_default().max(MIN_ANNOUNCEMENT_TIMEOUT)
    }
}

impl Default for Calls {
    fn default() -> Self {
        Self {
            hop_limit: 16,
            connections_per_address: 256,
            head_timeout: Duration::from_secs(10),
            body_memory: 16 << 20,
            drain_timeout: Duration::from_secs(60),
            drain_notice: Duration::from_millis(500),
            grace: None,
            upstream_beyond_loopback: false,
            announce_interval: None,
            min_retry_after: Duration::from_secs(1),
            free_reroutes: 0,
            fleet_retries_saved: None,
            limit_policy: LimitPolicy::default(),
            quarantine: Duration::from_secs(600),
            key_memory: Duration::from_secs(60),
            view_lag: Duration::from_secs(10),
        }
    }
}
