//! Version floor of a starting node: the lowest configuration version that it may serve.
//!
//! An instance persists nothing, so its node can't know which version it served before a restart.
//! The head row gives the floor. During a platform outage, the highest head among several peers in
//! different data centres is used instead. With neither, the node doesn't serve.

use std::collections::{BTreeMap, BTreeSet};
use sycamore_types::prelude::*;

/// Upper bound on the number of peers whose heads are kept. Further reports are ignored: after this
/// many, no peer in another data centre is expected.
const MAX_PEER_HEADS: usize = 256;

/// Quorum of peers whose heads replace an unreadable head row.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct FloorSettings {
    /// Number of peers that must have reported a head.
    pub peers: usize,
    /// Number of distinct data centres that those peers must be in.
    pub data_centres: usize,
}

impl Default for FloorSettings {
    fn default() -> Self {
        Self { peers: 5, data_centres: 2 }
    }
}

/// Highest configuration head seen by a peer that serves and knows its own floor.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerHead<'a> {
    /// Instance that reported the head.
    pub instance: &'a InstanceId,
    /// Data centre of the reporting instance.
    pub data_centre: &'a DataCentre,
    /// Highest configuration head that the instance has seen.
    pub head: ConfigHead,
}

/// Determines the version floor of a starting node.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Floor {
    settings: FloorSettings,
    peer_heads: BTreeMap<InstanceId, (DataCentre, ConfigVersion)>,
    known: Option<ConfigVersion>,
}

impl Floor {
    /// Creates a floor that is not known yet.
    pub fn new(settings: FloorSettings) -> Self {
        Self { settings, peer_heads: BTreeMap::new(), known: None }
    }

    /// Returns the version floor; `None` while it is unknown and the node may not serve.
    pub fn known(&self) -> Option<ConfigVersion> {
        self.known
    }

    /// Sets the floor from the head row, unless it is already known, and returns it.
    ///
    /// `head` is `None` if the row doesn't exist, which gives version 0.
    pub fn on_head_row(&mut self, head: Option<ConfigHead>) -> Option<ConfigVersion> {
        self.set(head.map_or(ConfigVersion::default(), |head| head.version))
    }

    /// Records a peer's head and returns the floor once enough peers have reported.
    pub fn on_peer_head(&mut self, peer: PeerHead<'_>) -> Option<ConfigVersion> {
        if self.known.is_some() || self.peer_heads.len() >= MAX_PEER_HEADS {
            return self.known;
        }
        let reported = (peer.data_centre.clone(), peer.head.version);
        self.peer_heads.insert(peer.instance.clone(), reported);
        let data_centres: BTreeSet<&DataCentre> =
            self.peer_heads.values().map(|(dc, _)| dc).collect();
        let is_quorum = self.peer_heads.len() >= self.settings.peers
            && data_centres.len() >= self.settings.data_centres;
        let highest =
            self.peer_heads.values().map(|(_, version)| *version).max().unwrap_or_default();
        match is_quorum {
            true => self.set(highest),
            false => None,
        }
    }

    /// Sets the floor unless it is already known, and returns it.
    fn set(&mut self, version: ConfigVersion) -> Option<ConfigVersion> {
        self.known.get_or_insert(version);
        self.peer_heads.clear();
        self.known
    }
}
