//! Members: upstreams that announced themselves, each with the node beside it.

use crate::id::{DataCentre, InstanceId, Region, ServiceName, UpstreamVersion};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Generation of an instance; a restart or a refutation takes a higher one.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

/// What a member is doing. Within one incarnation the state only moves down this list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MemberState {
    /// The node is up, its upstream has not announced itself or is starting.
    Joining,
    /// The upstream takes work.
    Serving,
    /// The failure detector has missed it; it still gets work where nothing better is known.
    Suspect,
    /// It leaves and gets no new work.
    Draining,
    /// It is gone.
    Dead,
}

/// Where a node listens.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Endpoints {
    /// Control messages of other nodes.
    pub peer: SocketAddr,
    /// Calls relayed by other nodes.
    pub relay: SocketAddr,
}

/// An upstream and its node, as other nodes know it.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Member {
    /// The instance.
    pub instance: InstanceId,
    /// Its generation.
    pub incarnation: Incarnation,
    /// What it is doing.
    pub state: MemberState,
    /// The service that it serves.
    pub service: ServiceName,
    /// The version of its upstream.
    pub version: UpstreamVersion,
    /// The data centre it is in.
    pub data_centre: DataCentre,
    /// The region it is in.
    pub region: Region,
    /// Where its node listens.
    pub endpoints: Endpoints,
    /// Slots that its upstream declared.
    pub slots: u16,
}

/// All members that a node knows, one consistent view.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct MemberView {
    /// Members by instance, dead ones left out.
    pub members: BTreeMap<InstanceId, Member>,
}

impl MemberView {
    /// The members of `service` in `state` [`MemberState::Serving`] or [`MemberState::Suspect`].
    pub fn serving<'a>(
        &'a self,
        service: &'a ServiceName,
    ) -> impl Iterator<Item = &'a Member> + 'a {
        self.members.values().filter(move |member| {
            member.service == *service
                && matches!(member.state, MemberState::Serving | MemberState::Suspect)
        })
    }
}
