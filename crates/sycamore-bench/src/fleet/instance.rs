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
    /// Addresses at which the instance's processes listen.
    pub addrs: Addrs,
    /// Process of the instance's node; `None` before the start and after a kill.
    pub node: Option<Process>,
    /// Process of the instance's upstream; `None` before the start, after a kill, and in fleets with
    /// [`super::Upstreams::Announced`].
    pub upstream: Option<Process>,
    /// Whether [`super::Fleet::supervise`] restarts the upstream when it crashes.
    pub respawn: bool,
    /// Time by which the node's wall clock is ahead, from the node's next start on.
    pub clock_ahead: Duration,
    /// Proxy in front of the instance's processes; `None` without [`super::Options::disturbed`].
    pub front: Option<Front>,
}
