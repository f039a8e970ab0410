//! The version floor of a fresh node: the lowest configuration that it may serve.
//!
//! A restarted instance keeps nothing, so its node can't know which version it served before. The
//! head row tells; with the platform out, the highest head of several peers in different data
//! centres does. Without either the node does not serve.

use std::collections::{BTreeMap, BTreeSet};
use sycamore_types::prelude::*;

/// Peers remembered at most; beyond them nobody new is in a further data centre.
const MAX_TOLD: usize = 256;

/// How many peers stand in for the head row.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct FloorSettings {
    /// Peers that must have told the head in force.
    pub peers: usize,
    /// Data centres that those peers must be in.
    pub data_centres: usize,
}

impl Default for FloorSettings {
    fn default() -> Self {
        Self { peers: 5, data_centres: 2 }
    }
}

/// The highest head that a serving peer, which has a floor itself, has seen.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerHead<'a> {
    /// The peer.
    pub instance: &'a InstanceId,
    /// Its data centre.
    pub data_centre: &'a DataCentre,
    /// The highest head that it has seen.
    pub head: ConfigHead,
}

/// Finds the floor of a fresh node.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Floor {
    settings: FloorSettings,
    told: BTreeMap<InstanceId, (DataCentre, ConfigVersion)>,
    known: Option<ConfigVersion>,
}

impl Floor {
    /// A floor that is not known yet.
    pub fn new(settings: FloorSettings) -> Self {
        Self { settings, told: BTreeMap::new(), known: None }
    }

    /// The floor; `None` while the node may not serve.
    pub fn known(&self) -> Option<ConfigVersion> {
        self.known
    }

    /// The head row was read; `None` where there is none.
    pub fn read(&mut self, head: Option<ConfigHead>) -> Option<ConfigVersion> {
        self.settle(head.map_or(ConfigVersion::default(), |head| head.version))
    }

    /// A peer told the highest head that it has seen.
    pub fn told(&mut self, peer: PeerHead<'_>) -> Option<ConfigVersion> {
        if self.known.is_some() || self.told.len() >= MAX_TOLD {
            return self.known;
        }
        let told = (peer.data_centre.clone(), peer.head.version);
        self.told.insert(peer.instance.clone(), told);
        let data_centres: BTreeSet<&DataCentre> = self.told.values().map(|(dc, _)| dc).collect();
        let enough = self.told.len() >= self.settings.peers
            && data_centres.len() >= self.settings.data_centres;
        let highest = self.told.values().map(|(_, version)| *version).max().unwrap_or_default();
        match enough {
            true => self.settle(highest),
            false => None,
        }
    }

    fn settle(&mut self, version: ConfigVersion) -> Option<ConfigVersion> {
        self.known.get_or_insert(version);
        self.told.clear();
        self.known
    }
}
