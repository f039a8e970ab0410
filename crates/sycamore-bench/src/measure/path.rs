//! Mixed calls along the whole path: the shortest example of a measurement.

use super::{print, Violations};
use crate::fleet::{self, Deployment, Fleet, Options as FleetOptions, KEY_MEMORY, SHORT_VIEW_LAG};
use crate::load::{self, CallKind, Ended, Target};
use crate::Result;
use bpaf::{construct, long, Parser};
use futures::future::{select, Either};
use serde::Serialize;
use std::pin::pin;
use std::time::Duration;

/// Options of the measurement.
#[derive(Debug, Clone)]
pub struct Options {
    /// Seed of everything that is drawn.
    pub seed: u64,
    /// Calls a second.
    pub rate: f64,
    /// Seconds of load.
    pub seconds: u64,
}

/// The parser of its options.
pub(super) fn parser() -> impl Parser<Options> {
    let seed = crate::cli::seed();
    let rate = long("rate").help("Calls a second").argument("R").fallback(200.0);
    let seconds = long("seconds").help("Seconds of load").argument("N").fallback(5);
    construct!(Options { seed, rate, seconds })
}

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

/// Runs it.
pub(super) async fn run(options: Options) -> Result<()> {
    let deployment = Deployment::zlatna_klupa();
    let kinds = kinds(&deployment);
    let fleet_options = FleetOptions {
        deployment,
        seed: options.seed,
        settings: vec![fleet::short_view_lag()],
        ..Default::default()
    };
    let fleet = Fleet::start(fleet_options).await?;
    monoio::time::sleep(KEY_MEMORY + SHORT_VIEW_LAG).await;
    let load = load::Options {
        seed: options.seed,
        rate: options.rate,
        time: Duration::from_secs(options.seconds),
        targets: callers_of(&fleet)?,
        kinds,
        ..Default::default()
    };
    let tally = match select(pin!(load::run(&load)), pin!(fleet.tend())).await {
        Either::Left((tally, _)) => tally,
        Either::Right(_) => load::Tally::default(),
    };
    eprintln!("{tally}; generator late by {:?} at most", tally.lag());
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

/// The caller listeners of all running nodes, as one target.
///
/// # Errors
/// Never for instances of `fleet` itself.
pub fn callers_of(fleet: &Fleet) -> Result<Vec<Target>> {
    let addrs = fleet.running().into_iter().map(|name| Ok(fleet.addrs(&name)?.caller));
    Ok(vec![Target { prefix: "/".into(), addrs: addrs.collect::<Result<_>>()? }])
}

/// Lookups, bookings, repeats, photos and chains over all services of `deployment`.
pub fn kinds(deployment: &Deployment) -> Vec<CallKind> {
    let names: Vec<&str> = deployment.services.iter().map(|s| s.name.as_str()).collect();
    let mut kinds = Vec::new();
    for (i, name) in names.iter().enumerate() {
        kinds.push(CallKind::lookup(name));
        kinds.push(CallKind::booking(name));
        kinds.push(CallKind::repeated(name));
        kinds.push(CallKind::chained(name, names[(i + 1) % names.len()]));
        kinds.extend(load::photos(name));
    }
    kinds
}
