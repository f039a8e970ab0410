//! Faults on command, and counts.

use serde::{Deserialize, Serialize};

/// A command to the stand-in; what it does not name stays.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Control {
    /// Everything is answered 503 for so long, in milliseconds; 0 ends an outage.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub outage_ms: Option<u64>,
    /// Every answer is held back so long, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub slow_ms: Option<u64>,
    /// The answers of so many next writes are lost after the writes took effect.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub lost_answers: Option<u32>,
    /// Cap on reads a second.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub reads_per_s: Option<u32>,
    /// Cap on writes a second.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub writes_per_s: Option<u32>,
}

/// Counts since the stand-in started.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Stats {
    /// Reads served.
    pub reads: u64,
    /// Writes served, conflicts included.
    pub writes: u64,
    /// Requests refused: over a cap, or in an outage.
    pub refused: u64,
    /// Transactions whose conditions failed.
    pub conflicts: u64,
    /// Bytes of bodies received and sent.
    pub body_bytes: u64,
}
