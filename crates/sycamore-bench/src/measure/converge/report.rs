//! JSON result of `measure converge`.

use super::Options;
use crate::measure::Violations;
use serde::Serialize;

/// Bound on convergence, in milliseconds: a change not applied by then counts as late.
const BOUND_MS: f64 = 14_000.0;

/// JSON result of `measure converge`. Times are from a command to a node's use of the change.
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
    /// Number of pairs of a node and a change where the node applied it after [`BOUND_MS`] or never.
    late: usize,
    /// Time from a killed node's restart until it applied the change; absent without restarts.
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
    /// Number of commands that were refused in a race with the winner's name.
    pub(super) race_lost: usize,
    /// Number of commands that failed in a race without a winner's name, and races where no command was
    /// accepted or two were accepted as one version.
    pub(super) race_broken: usize,
    pub(super) violations: Violations,
}

impl Report {
    /// Creates a report of `times`, in milliseconds from a command to a node's use of the change;
    /// infinite for a node that never applied it. The other figures are left for the caller to set.
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

    /// Adds the times, in milliseconds, from killed nodes' restarts until they applied the change.
    pub(super) fn with_restarts(mut self, mut times: Vec<f64>) -> Self {
        if !times.is_empty() {
            times.sort_by(f64::total_cmp);
            self.restart_p50_ms = Some(quantile(&times, 0.5));
            self.restart_max_ms = Some(quantile(&times, 1.0));
        }
        self
    }
}

/// Computes the quantile `q` of the ascending `values` by nearest rank; NaN, which JSON writes as
/// null, for no values.
fn quantile(values: &[f64], q: f64) -> f64 {
    let rank = (q * values.len() as f64).ceil() as usize;
    values.get(rank.saturating_sub(1)).copied().unwrap_or(f64::NAN)
}
