//! `[platform]`: the platform's table and object store.

use crate::unit::Span;
use serde::{Deserialize, Serialize};
use serde_with::{serde_as, DisplayFromStr};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

/// The platform's transactional table and object store.
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
    /// Time that one request to either may take.
    #[serde_as(as = "Span")]
    pub timeout: Duration,
    /// Reads a second that all nodes together may spend on looking for changes.
    #[serde_as(as = "DisplayFromStr")]
    pub fleet_reads_per_s: u32,
    /// Writes a second that all nodes together may spend on the time line.
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
