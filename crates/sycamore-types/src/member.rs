//! Cluster members: upstreams that announced themselves, each with the node beside it.

use crate::id::{DataCentre, InstanceId, ProcessId, Region, ServiceName, UpstreamVersion};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Incarnation of an instance; increases when it restarts and when it refutes a suspicion.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

/// Lifecycle state of a member; within one incarnation it only moves down this list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MemberState {
    /// Node that is up while its upstream is starting or has not announced itself.
    Joining,
    /// Member that accepts calls.
    Serving,
    /// Member that missed probes of the failure detector; it gets calls only where no better
    /// candidate is known.
    Suspect,
    /// Member that is leaving and gets no new calls.
    Draining,
    /// Member that has left or failed.
    Dead,
}

/// Socket addresses on which a node accepts traffic of other nodes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Endpoints {
    /// Address for control messages.
    pub peer: SocketAddr,
    /// Address for relayed calls.
    pub relay: SocketAddr,
}

/// Upstream and its node, as gossiped to other nodes.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Member {
    /// Name of the instance.
    pub instance: InstanceId,
    /// Incarnation of the instance.
    pub incarnation: Incarnation,
    /// Last known lifecycle state.
    pub state: MemberState,
    /// Service that the upstream serves.
    pub service: ServiceName,
    /// Version of the upstream's software.
    pub version: UpstreamVersion,
    /// Data centre of the instance.
    pub data_centre: DataCentre,
    /// Region of the instance.
    pub region: Region,
    /// Addresses of the instance's node.
    pub endpoints: Endpoints,
    /// Number of concurrent calls that the upstream declared it can run.
    pub slots: u16,
    /// Upstream process that has left and that no other has followed: no node calls it again, also once
    /// the node beside it has restarted and doesn't know it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub left: Option<ProcessId>,
}

/// Consistent view of all members that a node knows.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct MemberView {
    /// Members by instance, without dead ones.
    pub members: BTreeMap<InstanceId, Member>,
}

impl MemberView {
    /// Iterates over the members of `service` in state [`MemberState::Serving`] or
    /// [`MemberState::Suspect`].
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
