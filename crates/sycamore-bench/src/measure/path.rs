//! The `path` measurement: mixed calls through nodes and upstreams, without faults. The simplest
//! measurement, and a template for new ones.

use super::{print, Violations};
use crate::fleet::{self, Deployment, Fleet, Options as FleetOptions, KEY_MEMORY, SHORT_VIEW_LAG};
use crate::load::{self, CallKind, Ended, Target};
use crate::Result;
use bpaf::{construct, long, Parser};
use futures::future::{select, Either};
use serde::Serialize;
use std::pin::pin;
use std::time::Duration;

/// Options of `measure path`.
#[derive(Debug, Clone)]
pub struct Options {
    /// Seed of all random choices.
    pub seed: u64,
    /// Calls a second over all nodes.
    pub rate: f64,
    /// Duration of the load, in seconds.
    pub seconds: u64,
}

/// Parses the options of `measure path`.
pub(super) fn parser() -> impl Parser<Options> {
    let seed = crate::cli::seed();
    let rate = long("rate").help("Calls a second over all nodes").argument("R").fallback(200.0);
    let seconds =
        long("seconds").help("Duration of the load, in seconds").argument("N").fallback(5);
    construct!(Options { seed, rate, seconds })
}

/// JSON result of `measure path`.
#[derive(Debug, Serialize)]
struct Outcome {
    seed: u64,
    nodes: usize,
    seconds: f64,
    calls: usize,
    ok: usize,
    refused: usize,
    unknown: usize,
    p50_ms: f64,
    p99_ms: f64,
    cpu_core_share_max: f64,
    rss_mb_max: f64,
    violations: Violations,
}

/// Runs `measure path` and prints its result.
pub(super) async fn run(options: Options) -> Result<()> {
    let deployment = Deployment::zlatna_klupa();
    let kinds = mixed_call_kinds(&deployment);
    let fleet_options = FleetOptions {
        deployment,
        seed: options.seed,
        settings: vec![fleet::short_view_lag()],
        ..Default::default()
    };
    let fleet = Fleet::start(fleet_options).await?;
    // Until `key_memory` and `view_lag` have passed, nodes can't know of earlier runs and answer calls
    // with idempotency keys as perhaps run.
    monoio::time::sleep(KEY_MEMORY + SHORT_VIEW_LAG).await;
    let load = load::Options {
        seed: options.seed,
        rate: options.rate,
        time: Duration::from_secs(options.seconds),
        targets: caller_targets(&fleet)?,
        kinds,
        ..Default::default()
    };
    let tally = match select(pin!(load::run(&load)), pin!(fleet.supervise())).await {
        Either::Left((tally, _)) => tally,
        Either::Right(_) => load::Tally::default(),
    };
    eprintln!("{tally}; load generator at most {:?} behind schedule", tally.lag());
    for (failure, count) in tally.failures().iter().take(10) {
        eprintln!("{count:>6} x {failure}");
    }
    let violations = tally.violations(&fleet.witness().ledger().await);
    let ok = tally.latencies(Ended::Ok);
    let usages = fleet.names().into_iter().map(|name| fleet.node_usage(&name));
    let usages = usages.collect::<Result<Vec<_>>>()?;
    let cpu = usages.iter().map(|usage| usage.cpu.as_secs_f64()).fold(0.0, f64::max);
    let rss = usages.iter().map(|usage| usage.rss).max().unwrap_or(0);
    print(&Outcome {
        seed: options.seed,
        nodes: usages.len(),
        seconds: tally.time().as_secs_f64(),
        calls: tally.records().len(),
        ok: tally.count(Ended::Ok),
        refused: tally.count(Ended::Refused),
        unknown: tally.count(Ended::Unknown),
        p50_ms: ok.quantile_ms(0.5),
        p99_ms: ok.quantile_ms(0.99),
        cpu_core_share_max: cpu / tally.time().as_secs_f64(),
        rss_mb_max: rss as f64 / f64::from(1 << 20),
        violations,
    });
    fleet.stop().await;
    Ok(())
}

/// Returns the caller listeners of all running nodes of `fleet` as one load target.
///
/// # Errors
/// An instance is unknown to `fleet`, which can't occur for those that it runs.
pub fn caller_targets(fleet: &Fleet) -> Result<Vec<Target>> {
    let addrs = fleet.running().into_iter().map(|name| Ok(fleet.addrs(&name)?.caller));
    Ok(vec![Target { prefix: "/".into(), addrs: addrs.collect::<Result<_>>()? }])
}

/// Returns the kinds of a mixed load on all services of `deployment`: lookups, bookings, bookings
/// repeated with an idempotency key, lookups that call the next service, and photos.
pub fn mixed_call_kinds(deployment: &Deployment) -> Vec<CallKind> {
    let names: Vec<&str> = deployment.services.iter().map(|s| s.name.as_str()).collect();
    let mut kinds = Vec::new();
    for (i, name) in names.iter().enumerate() {
        kinds.push(CallKind::lookup(name));
        kinds.push(CallKind::booking(name));
        kinds.push(CallKind::repeated(name));
        kinds.push(CallKind::nested(name, names[(i + 1) % names.len()]));
        kinds.extend(load::photos(name));
    }
    kinds
}
