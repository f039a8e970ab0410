//! Section `[platform]`: addresses of the platform and limits on its use.

use crate::unit::Span;
use serde::{Deserialize, Serialize};
use serde_with::{serde_as, DisplayFromStr};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

/// Addresses of the platform's transactional table and object store, and limits on their use,
/// section `[platform]`.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Platform {
    /// Address of the transactional table.
    #[serde_as(as = "DisplayFromStr")]
    pub table: SocketAddr,
    /// Address of the object store.
    #[serde_as(as = "DisplayFromStr")]
    pub objects: SocketAddr,
    /// Longest time until the answer to a request begins, connecting included, and between its
    /// parts.
    #[serde_as(as = "Span")]
    pub timeout: Duration,
    /// Largest rate of reads per second with which all nodes together look for changes, at least 1.
    #[serde_as(as = "DisplayFromStr")]
    pub fleet_reads_per_s: u32,
    /// Largest rate of writes per second with which all nodes together archive the timeline, at
    /// least 1.
    #[serde_as(as = "DisplayFromStr")]
    pub fleet_writes_per_s: u32,
}

impl Default for Platform {
    fn default() -> Self {
        let on = |port| SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), port);
        Self {
            table: on(7390),
            objects: on(7390),
            timeout: Duration::from_secs(2),
            fleet_reads_per_s: 20,
            fleet_writes_per_s: 20,
        }
    }
}
