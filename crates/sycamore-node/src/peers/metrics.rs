//! Metrics of membership and of traffic between nodes.

use crate::hub::{raise_to, Meter};
use prometheus::{IntCounter, IntCounterVec, IntGaugeVec, Registry, Result};
use sycamore_peer::Counters;
use sycamore_types::prelude::*;

/// Metrics of membership and of traffic between nodes.
pub(super) struct Metrics {
    bytes: IntCounterVec,
    connections: IntCounterVec,
    refused: IntCounter,
    dropped: IntCounter,
    members: IntGaugeVec,
}

/// Member states that are counted, with their label values; dead members aren't in the view.
const STATES: [(MemberState, &str); 4] = [
    (MemberState::Joining, "joining"),
    (MemberState::Serving, "serving"),
    (MemberState::Suspect, "suspect"),
    (MemberState::Draining, "draining"),
];

impl Metrics {
    /// Registers the metrics with `registry`.
    pub(super) fn register(registry: &Registry) -> Result<Self> {
        let meter = Meter::new(registry);
        Ok(Self {
            bytes: meter.counters(
                "peer_bytes_total",
                "Bytes of control traffic between nodes, by direction",
                &["direction"],
            )?,
            connections: meter.counters(
                "peer_connections_total",
                "Connections between nodes, by kind",
                &["kind"],
            )?,
            refused: meter.counter(
                "peer_messages_refused_total",
                "Received messages that were malformed, oversized or of another deployment",
            )?,
            dropped: meter.counter(
                "peer_messages_dropped_total",
                "Messages dropped before sending because a queue was full",
            )?,
            members: meter.gauges("members", "Known members, by state", &["state"])?,
        })
    }

    /// Copies the byte, connection and refusal counts of the sockets.
    pub(super) fn copy_traffic(&self, counters: &Counters) {
        raise_to(&self.bytes.with_label_values(&["in"]), counters.bytes_in());
        raise_to(&self.bytes.with_label_values(&["out"]), counters.bytes_out());
        let connections = |kind| self.connections.with_label_values(&[kind]);
        raise_to(&connections("accepted"), counters.connections_in());
        raise_to(&connections("opened"), counters.connections_out());
        raise_to(&connections("refused"), counters.connections_refused());
        raise_to(&self.refused, counters.refused());
    }

    /// Sets the number of members in each state from `view`.
    pub(super) fn set_members(&self, view: &MemberView) {
        for (state, label) in STATES {
            let count = view.members.values().filter(|member| member.state == state).count();
            self.members.with_label_values(&[label]).set(i64::try_from(count).unwrap_or(i64::MAX));
        }
    }

    /// Counts a message dropped before sending because a queue was full.
    pub(super) fn count_dropped(&self) {
        self.dropped.inc();
    }
}
