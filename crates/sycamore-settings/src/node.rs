//! Sections `[node]` and `[listen]`: identity of a node and addresses of its listeners.

use serde::{Deserialize, Serialize};
use serde_with::{serde_as, DisplayFromStr, NoneAsEmptyString};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use sycamore_types::id::{DataCentre, Deployment, InstanceId, Region, ServiceName};
use sycamore_types::member::Endpoints;

/// Identity of the node, section `[node]`. All keys must be given; the defaults are those of the
/// sample file.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Node {
    /// Deployment of the node; peers of another deployment are refused.
    pub deployment: Deployment,
    /// Instance on which the node runs.
    pub instance: InstanceId,
    /// Service of the upstream on the node's instance.
    pub service: ServiceName,
    /// Data centre of the instance.
    pub data_centre: DataCentre,
    /// Region of the data centre.
    pub region: Region,
}

impl Default for Node {
    fn default() -> Self {
        Self {
            deployment: Deployment::new("sample").expect("constant identifier"),
            instance: InstanceId::new("counter-1").expect("constant identifier"),
            service: ServiceName::new("counter").expect("constant identifier"),
            data_centre: DataCentre::new("hr-north-a").expect("constant identifier"),
            region: Region::new("hr-north").expect("constant identifier"),
        }
    }
}

/// Addresses and ports of the node's listeners, section `[listen]`.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Listen {
    /// Address of the listener for calls from callers.
    #[serde_as(as = "DisplayFromStr")]
    pub caller: SocketAddr,
    /// Address of the listener for the upstream on the node's instance.
    #[serde_as(as = "DisplayFromStr")]
    pub upstream: SocketAddr,
    /// Address of the listener for calls relayed by other nodes.
    #[serde_as(as = "DisplayFromStr")]
    pub relay: SocketAddr,
    /// Address of the listener for control messages of other nodes.
    #[serde_as(as = "DisplayFromStr")]
    pub peer: SocketAddr,
    /// Address at which other nodes reach the relay listener, if it differs from the listener's
    /// own, for example because of port forwarding.
    #[serde_as(as = "NoneAsEmptyString")]
    pub relay_advertised: Option<SocketAddr>,
    /// Address at which other nodes reach the peer listener, if it differs from the listener's own.
    #[serde_as(as = "NoneAsEmptyString")]
    pub peer_advertised: Option<SocketAddr>,
    /// Address of the listener for operators.
    #[serde_as(as = "DisplayFromStr")]
    pub operator: SocketAddr,
    /// Address of a separate listener for readiness probes; `None` for no such listener, since the
    /// operators' listener answers readiness probes as well.
    #[serde_as(as = "NoneAsEmptyString")]
    pub ready: Option<SocketAddr>,
}

impl Listen {
    /// Returns the addresses at which other nodes reach this node.
    pub fn endpoints(&self) -> Endpoints {
        Endpoints {
            peer: self.peer_advertised.unwrap_or(self.peer),
            relay: self.relay_advertised.unwrap_or(self.relay),
        }
    }
}

impl Default for Listen {
    fn default() -> Self {
        let on = |port| SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), port);
        Self {
            caller: on(7400),
            upstream: on(7401),
            relay: on(7402),
            peer: on(7403),
            relay_advertised: None,
            peer_advertised: None,
            operator: on(7404),
            ready: None,
        }
    }
}
