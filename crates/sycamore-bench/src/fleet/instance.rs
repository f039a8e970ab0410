//! Instance of a fleet: a node and the upstream it serves.

use super::{Addrs, Hop, Process};
use crate::proxy::{Link, Proxy};
use crate::stand_in::upstream;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Specification of an instance.
#[derive(Debug, Clone)]
pub struct InstanceSpec {
    /// Name of the instance.
    pub instance: String,
    /// Service of the instance's upstream.
    pub service: String,
    /// Name of the instance's data centre.
    pub data_centre: String,
    /// Name of the data centre's region.
    pub region: String,
    /// Options of the instance's upstream; [`super::Fleet::add`] sets its addresses, names and seed.
    pub upstream: upstream::Options,
}

/// Proxy in front of an instance's processes.
#[derive(Debug)]
pub struct Front {
    /// Running proxy; held so that it ends with the instance.
    pub proxy: Proxy,
    /// Link of each hop, by which the hop is disturbed.
    pub links: BTreeMap<Hop, Arc<Link>>,
}

/// Instance of a fleet with its processes.
#[derive(Debug)]
pub struct Instance {
    /// Specification of the instance.
    pub spec: InstanceSpec,
    /// Addresses at which its processes listen.
    pub addrs: Addrs,
    /// Process of its node; `None` before the start and after a kill.
    pub node: Option<Process>,
    /// Process of its upstream; `None` before the start, after a kill, and in fleets with
    /// [`super::Upstreams::Announced`].
    pub upstream: Option<Process>,
    /// Whether [`super::Fleet::supervise`] restarts the upstream when it crashes.
    pub respawn: bool,
    /// Lead of the node's wall clock, from its next start on.
    pub clock_ahead: Duration,
    /// Proxy in front of its processes; `None` without [`super::Options::disturbed`].
    pub front: Option<Front>,
}
