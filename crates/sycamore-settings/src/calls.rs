//! `[calls]`: routing, admission and retries.

use crate::unit::{Size, Span};
use serde::{Deserialize, Serialize};
use serde_with::{serde_as, DisplayFromStr, NoneAsEmptyString};
use std::time::Duration;

/// Memory that the request body of one exchange counts for, in bytes: its first part, of up to
/// 32 KiB and a piece, a copy of that on its way out, and the pieces of the relay.
pub const EXCHANGE_BYTES: u64 = 128 << 10;

/// How the number of calls that run at a time follows the upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LimitPolicy {
    /// The declared slots, always.
    Fixed,
    /// Additive increase while all is well, multiplicative decrease on refusals and timeouts.
    #[default]
    Aimd,
    /// The ratio of the long to the short mean latency scales it.
    Gradient,
}

/// Routing, admission and retries.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Calls {
    /// Nodes that a call may pass.
    #[serde_as(as = "DisplayFromStr")]
    pub hop_limit: u8,
    /// Connections accepted from one address.
    #[serde_as(as = "DisplayFromStr")]
    pub connections_per_address: u32,
    /// Time a caller has to send a request's head.
    #[serde_as(as = "Span")]
    pub head_timeout: Duration,
    /// Memory that all request bodies under way may take, [`EXCHANGE_BYTES`] each; exchanges that
    /// relay to another node may take half of it.
    #[serde_as(as = "Size")]
    pub body_memory: u64,
    /// Time that a drain waits for calls in flight before the node stops all the same.
    #[serde_as(as = "Span")]
    pub drain_timeout: Duration,
    /// Time for which a node that was told to stop still takes new calls, while callers move on.
    #[serde_as(as = "Span")]
    pub drain_notice: Duration,
    /// Allow the upstream's listener on an address other than loopback.
    #[serde_as(as = "DisplayFromStr")]
    pub upstream_beyond_loopback: bool,
    /// Shortest time after which a caller that was refused for load is asked to come back.
    #[serde_as(as = "Span")]
    pub min_retry_after: Duration,
    /// Refusals for load after which a call goes to another upstream that is known to have room,
    /// without using the retry budget.
    #[serde_as(as = "DisplayFromStr")]
    pub free_reroutes: u8,
    /// Retries that all nodes together may save up towards a service, on top of its budget's part of
    /// the calls; ten a node where it is empty.
    #[serde_as(as = "NoneAsEmptyString")]
    pub fleet_retries_saved: Option<u32>,
    /// How the number of calls that run at a time follows the upstream.
    pub limit_policy: LimitPolicy,
    /// Time that a request stays quarantined.
    #[serde_as(as = "Span")]
    pub quarantine: Duration,
    /// Time that an idempotency key is remembered after its call; a new owner of a key answers
    /// "unknown" for as long and [`Calls::view_lag`] where the old one can't be asked. So is a call
    /// answered that may have been under way for longer than half of it: callers repeat a call
    /// within the other half.
    #[serde_as(as = "Span")]
    pub key_memory: Duration,
    /// Longest time for which nodes may differ about who is a member.
    #[serde_as(as = "Span")]
    pub view_lag: Duration,
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
            upstream_beyond_loopback: false,
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
