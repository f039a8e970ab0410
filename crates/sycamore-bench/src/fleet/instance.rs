//! One instance: a node and the upstream beside it.

use super::{Addrs, Process};
use crate::stand_in::upstream;

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
}
