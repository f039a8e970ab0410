//! One instance: a node and the upstream beside it.

use super::{Addrs, Hop, Process};
use crate::proxy::{Link, Proxy};
use crate::stand_in::upstream;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// What an instance is.
#[derive(Debug, Clone)]
pub struct InstanceSpec {
    /// Its name.
    pub instance: String,
    /// Its service.
    pub service: String,
    /// Its data centre.
    pub data_centre: String,
    /// Its region.
    pub region: String,
    /// Its upstream; addresses and names are filled in when it is started.
    pub upstream: upstream::Options,
}

/// The proxy before an instance's processes.
#[derive(Debug)]
pub struct Front {
    /// The proxy; it ends with the instance.
    pub proxy: Proxy,
    /// How each way is disturbed.
    pub links: BTreeMap<Hop, Arc<Link>>,
}

/// An instance of a fleet.
#[derive(Debug)]
pub struct Instance {
    /// What it is.
    pub spec: InstanceSpec,
    /// Where it listens.
    pub addrs: Addrs,
    /// Its node, where one was started.
    pub node: Option<Process>,
    /// Its upstream, where one was started.
    pub upstream: Option<Process>,
    /// The upstream is started again when it crashes.
    pub respawn: bool,
    /// Civil time of the node runs ahead by so much from its next start.
    pub clock_ahead: Duration,
    /// The proxy before its processes, where there is one.
    pub front: Option<Front>,
}
