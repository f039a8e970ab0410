//! Control traffic of a fleet, summed from the nodes' metrics.

use crate::fleet::Fleet;
use futures::future::join_all;

/// Control bytes of all running nodes, each counted since its start.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(super) struct Bytes {
    /// Bytes sent to peers.
    pub(super) peers: f64,
    /// Bytes sent to and received from the platform.
    pub(super) platform: f64,
}

impl Bytes {
    /// Reads the counters of all running nodes of `fleet`. A node that doesn't answer counts as
    /// zero.
    pub(super) async fn of(fleet: &Fleet) -> Self {
        let names = fleet.running();
        let pages = join_all(names.iter().map(|name| fleet.metrics(name))).await;
        let mut bytes = Self::default();
        for page in pages.into_iter().flatten() {
            let out = page.0.get("sycamoreshift_peer_bytes_total{direction=\"out\"}");
            bytes.peers += out.copied().unwrap_or_default();
            bytes.platform += page.sum("sycamoreshift_platform_bytes_total");
        }
        bytes
    }

    /// Sums peer and platform bytes.
    pub(super) fn total(self) -> f64 {
        self.peers + self.platform
    }
}
