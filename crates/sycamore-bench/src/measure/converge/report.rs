//! The result of a measurement.

use super::Options;
use crate::measure::Violations;
use serde::Serialize;

/// The bound on convergence, in milliseconds.
const BOUND_MS: f64 = 14_000.0;

/// The result as printed.
#[derive(Debug, Serialize)]
pub(super) struct Report {
    seed: u64,
    nodes: usize,
    changes: usize,
    policy: &'static str,
    faults: Vec<&'static str>,
    pub(super) seconds: f64,
    p50_ms: f64,
    p99_ms: f64,
    max_ms: f64,
    /// Nodes, over all changes, that had not put a change into force in time.
    late: usize,
    /// From a killed node's start to its first configuration.
    pub(super) restart_p50_ms: Option<f64>,
    pub(super) restart_max_ms: Option<f64>,
    pub(super) idle_bytes_per_node_s: f64,
    pub(super) idle_peer_bytes_per_node_s: f64,
    pub(super) bytes_per_change_per_node: f64,
    pub(super) platform_reads_per_s: f64,
    pub(super) platform_writes_per_s: f64,
    pub(super) platform_refused: u64,
    pub(super) cpu_core_share_mean: Option<f64>,
    pub(super) cpu_core_share_max: Option<f64>,
    pub(super) rss_mb_mean: Option<f64>,
    pub(super) rss_mb_max: Option<f64>,
    /// Commands that lost a race and were told who won.
    pub(super) race_lost: usize,
    /// Commands of a race of which not exactly one was accepted.
    pub(super) race_broken: usize,
    pub(super) violations: Violations,
}

impl Report {
    /// A report on `times`, in milliseconds from command to in force; a node that never came is
    /// infinite.
    pub(super) fn new(options: &Options, mut times: Vec<f64>) -> Self {
        times.sort_by(f64::total_cmp);
        Self {
            seed: options.seed,
            nodes: options.nodes,
            changes: options.changes,
            policy: match options.policy {
                super::Policy::Product => "product",
                super::Policy::Baseline => "baseline",
            },
            faults: options.faults.iter().map(|fault| fault.as_str()).collect(),
            seconds: 0.0,
            p50_ms: quantile(&times, 0.5),
            p99_ms: quantile(&times, 0.99),
            max_ms: quantile(&times, 1.0),
            late: times.iter().filter(|time| **time > BOUND_MS).count(),
            restart_p50_ms: None,
            restart_max_ms: None,
            idle_bytes_per_node_s: 0.0,
            idle_peer_bytes_per_node_s: 0.0,
            bytes_per_change_per_node: 0.0,
            platform_reads_per_s: 0.0,
            platform_writes_per_s: 0.0,
            platform_refused: 0,
            cpu_core_share_mean: None,
            cpu_core_share_max: None,
            rss_mb_mean: None,
            rss_mb_max: None,
            race_lost: 0,
            race_broken: 0,
            violations: Violations::default(),
        }
    }

    /// Adds the times, in milliseconds, from killed nodes' starts to their first configuration.
    pub(super) fn with_restarts(mut self, mut times: Vec<f64>) -> Self {
        if !times.is_empty() {
            times.sort_by(f64::total_cmp);
            self.restart_p50_ms = Some(quantile(&times, 0.5));
            self.restart_max_ms = Some(quantile(&times, 1.0));
        }
        self
    }
}

/// The value below which the share `q` of the ascending `values` lies; NaN, which JSON writes as
/// null, where there is none.
fn quantile(values: &[f64], q: f64) -> f64 {
    let rank = (q * values.len() as f64).ceil() as usize;
    values.get(rank.saturating_sub(1)).copied().unwrap_or(f64::NAN)
}
