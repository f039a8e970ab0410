//! Options of a fleet.

use super::Deployment;
use crate::stand_in::upstream;
use std::time::Duration;

/// How upstreams are emulated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Upstreams {
    /// Each as a process.
    Processes,
    /// None runs; the harness announces them to their nodes. For control traffic only.
    Announced,
}

/// Options of a fleet.
#[derive(Debug, Clone)]
pub struct Options {
    /// Which services, where and how large.
    pub deployment: Deployment,
    /// Seed of the upstreams.
    pub seed: u64,
    /// How upstreams are emulated.
    pub upstreams: Upstreams,
    /// What all upstreams have in common.
    pub upstream: upstream::Options,
    /// Settings of every node besides its names and addresses: section, key, value.
    pub settings: Vec<(String, String, String)>,
    /// The platform's cap on reads a second.
    pub reads_per_s: u32,
    /// The platform's cap on writes a second.
    pub writes_per_s: u32,
    /// Longest wait for the fleet to be ready.
    pub ready_limit: Duration,
    /// A proxy stands before every process; see [`super::Fleet::link`].
    pub disturbed: bool,
    /// Settings and logs are kept after the run.
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
