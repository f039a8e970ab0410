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

const STATES: [(MemberState, &str); 4] = [
    (MemberState::Joining, "joining"),
    (MemberState::Serving, "serving"),
    (MemberState::Suspect, "suspect"),
    (MemberState::Draining, "draining"),
];

impl Metrics {
    /// Registers the metrics.
    pub(super) fn register(registry: &Registry) -> Result<Self> {
        let meter = Meter::new(registry);
        Ok(Self {
            bytes: meter.counters(
                "peer_bytes_total",
                "Control bytes between nodes",
                &["direction"],
            )?,
            connections: meter.counters(
                "peer_connections_total",
                "Connections between nodes",
                &["kind"],
            )?,
            refused: meter.counter(
                "peer_messages_refused_total",
                "Messages that were malformed, oversized or of another deployment",
            )?,
            dropped: meter.counter(
                "peer_messages_dropped_total",
                "Messages not sent because a queue was full",
            )?,
            members: meter.gauges("members", "Members known by state", &["state"])?,
        })
    }

    /// Takes over the counts of the sockets.
    pub(super) fn traffic(&self, counters: &Counters) {
        raise_to(&self.bytes.with_label_values(&["in"]), counters.bytes_in());
        raise_to(&self.bytes.with_label_values(&["out"]), counters.bytes_out());
        let connections = |kind| self.connections.with_label_values(&[kind]);
        raise_to(&connections("accepted"), counters.connections_in());
        raise_to(&connections("opened"), counters.connections_out());
        raise_to(&connections("refused"), counters.connections_refused());
        raise_to(&self.refused, counters.refused());
    }

    /// Counts the members in `view`.
    pub(super) fn members(&self, view: &MemberView) {
        for (state, label) in STATES {
            let count = view.members.values().filter(|member| member.state == state).count();
            self.members.with_label_values(&[label]).set(i64::try_from(count).unwrap_or(i64::MAX));
        }
    }

    /// Counts a message that was not sent because a queue was full.
    pub(super) fn dropped(&self) {
        self.dropped.inc();
    }
}
