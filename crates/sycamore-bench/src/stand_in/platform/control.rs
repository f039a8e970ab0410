//! Control messages for faults of the platform's stand-in, and its counters.

use serde::{Deserialize, Serialize};

/// Control message to the stand-in; absent fields leave a property unchanged.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Control {
    /// Duration of an outage in milliseconds, during which every request is answered with 503; 0 ends an
    /// outage.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub outage_ms: Option<u64>,
    /// Delay of every request in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub slow_ms: Option<u64>,
    /// Number of successful writes whose answers are lost, starting with the next.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub lost_answers: Option<u32>,
    /// Limit on reads per second.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub reads_per_s: Option<u32>,
    /// Limit on writes per second.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub writes_per_s: Option<u32>,
}

/// Counters since the stand-in started.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Stats {
    /// Number of reads served.
    pub reads: u64,
    /// Number of writes served, conflicts included.
    pub writes: u64,
    /// Number of requests refused because of a rate limit or an outage.
    pub refused: u64,
    /// Number of transactions whose conditions did not hold.
    pub conflicts: u64,
    /// Total size in bytes of the bodies received and sent.
    pub body_bytes: u64,
}
