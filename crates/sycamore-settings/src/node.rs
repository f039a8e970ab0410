//! `[node]` and `[listen]`: who the node is and where it listens.

use serde::{Deserialize, Serialize};
use serde_with::{serde_as, DisplayFromStr, NoneAsEmptyString};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use sycamore_types::id::{DataCentre, Deployment, InstanceId, Region, ServiceName};
use sycamore_types::member::Endpoints;

/// Who the node is. All keys must be given.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Node {
    /// The deployment; peers of another one are refused.
    pub deployment: Deployment,
    /// The instance that the node runs on.
    pub instance: InstanceId,
    /// The service that the upstream beside the node serves.
    pub service: ServiceName,
    /// The data centre of the instance.
    pub data_centre: DataCentre,
    /// The region of the data centre.
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

/// Where the node listens, an address and port each.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Listen {
    /// Callers.
    #[serde_as(as = "DisplayFromStr")]
    pub caller: SocketAddr,
    /// The upstream beside the node.
    #[serde_as(as = "DisplayFromStr")]
    pub upstream: SocketAddr,
    /// Calls relayed by other nodes.
    #[serde_as(as = "DisplayFromStr")]
    pub relay: SocketAddr,
    /// Control messages of other nodes.
    #[serde_as(as = "DisplayFromStr")]
    pub peer: SocketAddr,
    /// Where other nodes reach the relay listener, where that is another address than its own, such
    /// as behind a port that is passed on.
    #[serde_as(as = "NoneAsEmptyString")]
    pub relay_advertised: Option<SocketAddr>,
    /// Where other nodes reach the peer listener, likewise.
    #[serde_as(as = "NoneAsEmptyString")]
    pub peer_advertised: Option<SocketAddr>,
    /// Operators.
    #[serde_as(as = "DisplayFromStr")]
    pub operator: SocketAddr,
    /// Questions whether the node is ready; none where it is empty, since operators' address
    /// answers them as well.
    #[serde_as(as = "NoneAsEmptyString")]
    pub ready: Option<SocketAddr>,
}

impl Listen {
    /// Where other nodes reach this one.
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
