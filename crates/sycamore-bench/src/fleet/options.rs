//! Options for starting a fleet.

use super::Deployment;
use crate::stand_in::upstream;
use std::time::Duration;

/// Way in which a fleet emulates its upstreams.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Upstreams {
    /// Each upstream is a process.
    Processes,
    /// No upstream runs, but [`super::Fleet::supervise`] announces one to each node. Calls can't be
    /// answered, so this is for measurements of control traffic only.
    Announced,
}

/// Options for starting a fleet.
#[derive(Debug, Clone)]
pub struct Options {
    /// Services and locations of the fleet.
    pub deployment: Deployment,
    /// Seed from which each upstream's own seed is derived.
    pub seed: u64,
    /// Way in which upstreams are emulated.
    pub upstreams: Upstreams,
    /// Options of all upstreams; addresses, names, slots and seeds are set for each.
    pub upstream: upstream::Options,
    /// Additional settings of every node as section, key and value; they replace the fleet's own.
    pub settings: Vec<(String, String, String)>,
    /// Platform's limit on reads per second.
    pub reads_per_s: u32,
    /// Platform's limit on writes per second.
    pub writes_per_s: u32,
    /// Longest wait for the fleet to reach an awaited state, such as readiness.
    pub ready_limit: Duration,
    /// Whether a proxy stands in front of every process; see [`super::Fleet::link`].
    pub disturbed: bool,
    /// Whether the fleet's settings and logs are kept after the run.
    pub keep: bool,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            deployment: Deployment::zlatna_klupa(),
            seed: 1,
            upstreams: Upstreams::Processes,
            upstream: upstream::Options::default(),
            settings: Vec::new(),
            reads_per_s: 2_000,
            writes_per_s: 400,
            ready_limit: Duration::from_secs(30),
            disturbed: false,
            keep: false,
        }
    }
}
