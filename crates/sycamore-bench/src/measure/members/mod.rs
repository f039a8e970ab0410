//! Membership of a fleet: time to meet, control traffic at rest, and time to notice faults.

mod fault;

use super::{print, Violations};
use crate::fleet::{Deployment, Fleet, Options as FleetOptions, Upstreams, Usage};
use crate::{BenchError, Result};
use bpaf::{construct, long, Parser};
use error_stack::Report;
pub use fault::Fault;
use futures::future::{join_all, select, Either};
use serde::Serialize;
use std::pin::pin;
use std::time::{Duration, Instant};

/// Options of the measurement.
#[derive(Debug, Clone)]
pub struct Options {
    /// Seed of everything that is drawn.
    pub seed: u64,
    /// Nodes of the fleet.
    pub nodes: usize,
    /// Seconds of rest that traffic is measured over.
    pub seconds: u64,
    /// Faults, one after the other.
    pub faults: Vec<Fault>,
}

/// The parser of its options.
pub(super) fn parser() -> impl Parser<Options> {
    let seed = crate::cli::seed();
    let nodes = long("nodes").help("Nodes of the fleet").argument("N").fallback(20);
    let seconds = long("seconds").help("Seconds of rest").argument("N").fallback(20);
    let faults = long("fault")
        .help("Faults, separated by commas: kill, herd, freeze")
        .argument::<String>("F")
        .parse(|list| Fault::parse_list(&list))
        .fallback(Vec::new());
    construct!(Options { seed, nodes, seconds, faults })
}

/// Longest wait for all nodes to agree.
const AGREE_LIMIT: Duration = Duration::from_secs(90);
/// Time between two looks at all nodes.
const LOOK: Duration = Duration::from_millis(100);
/// Rest before traffic is measured.
const SETTLE: Duration = Duration::from_secs(8);
const MIB: f64 = 1_048_576.0;

#[derive(Debug, Serialize)]
struct Outcome {
    seed: u64,
    nodes: usize,
    seconds: f64,
    meet_ms: u128,
    idle_bytes_per_node_s: f64,
    idle_bytes_per_node_s_max: f64,
    platform_reads_per_s: f64,
    platform_writes_per_s: f64,
    cpu_core_share_mean: f64,
    cpu_core_share_max: f64,
    rss_mb_mean: f64,
    rss_mb_max: f64,
    faults: Vec<fault::Noticed>,
    violations: Violations,
}

/// Runs it.
pub(super) async fn run(options: Options) -> Result<()> {
    let deployment = Deployment::scaled(options.nodes);
    let fleet = Fleet::prepare(FleetOptions {
        deployment,
        seed: options.seed,
        upstreams: Upstreams::Announced,
        ready_limit: AGREE_LIMIT,
        ..Default::default()
    })
    .await?;
    let outcome = match select(pin!(measure(&fleet, &options)), pin!(fleet.tend())).await {
        Either::Left((outcome, _)) => outcome,
        Either::Right(_) => Err(Report::new(BenchError::Option("nothing measured".into()))),
    };
    if let Ok(outcome) = &outcome {
        print(outcome);
    }
    fleet.stop().await;
    outcome.map(|_| ())
}

async fn measure(fleet: &Fleet, options: &Options) -> Result<Outcome> {
    let start = Instant::now();
    add_all(fleet)?;
    let times = agree(fleet, options.nodes, &[]).await?;
    let meet_ms = times.iter().max().map_or(0, |at| (*at - start).as_millis());
    eprintln!("{} nodes met after {meet_ms} ms", options.nodes);
    monoio::time::sleep(SETTLE).await;
    let rest = rest(fleet, Duration::from_secs(options.seconds)).await?;
    let mut faults = Vec::new();
    for fault in &options.faults {
        faults.push(fault.run(fleet, options).await?);
    }
    Ok(Outcome { meet_ms, faults, seed: options.seed, nodes: options.nodes, ..rest })
}

/// Starts every instance of the deployment.
fn add_all(fleet: &Fleet) -> Result<()> {
    let version = fleet.options().upstream.version.clone();
    for service in &fleet.options().deployment.services {
        for i in 0..service.upstreams {
            fleet.add(fleet.spec(&service.name, i, &version))?;
        }
    }
    Ok(())
}

/// Waits until every running node but those in `without` knows `members` members, none of them
/// suspect; gives when each came to that.
async fn agree(fleet: &Fleet, members: usize, without: &[String]) -> Result<Vec<Instant>> {
    let end = Instant::now() + AGREE_LIMIT;
    let mut open: Vec<String> = fleet.running();
    open.retain(|name| !without.contains(name));
    let mut times = Vec::new();
    while !open.is_empty() {
        if Instant::now() >= end {
            let what = format!("{} nodes that know {members} members", open.len());
            return Err(Report::new(BenchError::NotReady(what)));
        }
        let counts = join_all(open.iter().map(|name| known(fleet, name))).await;
        let now = Instant::now();
        let before = open.len();
        let mut counts = counts.into_iter();
        open.retain(|_| counts.next().flatten() != Some((members, 0)));
        times.extend(std::iter::repeat_n(now, before - open.len()));
        monoio::time::sleep(LOOK).await;
    }
    Ok(times)
}

/// The members that `instance` knows, and how many of them are suspect.
async fn known(fleet: &Fleet, instance: &str) -> Option<(usize, usize)> {
    let metrics = fleet.metrics(instance).await.ok()?;
    let suspects =
        metrics.0.get("sycamoreshift_members{state=\"suspect\"}").copied().unwrap_or(0.0);
    Some((metrics.sum("sycamoreshift_members") as usize, suspects as usize))
}

struct Reading {
    bytes: f64,
    usage: Usage,
}

async fn read(fleet: &Fleet) -> Result<Vec<Reading>> {
    let read = |name: String| async move {
        let metrics = fleet.metrics(&name).await?;
        let bytes = metrics.sum("sycamoreshift_peer_bytes_total");
        Ok(Reading { bytes, usage: fleet.node_usage(&name)? })
    };
    join_all(fleet.running().into_iter().map(read)).await.into_iter().collect()
}

/// Traffic and use of resources over `time` of rest.
async fn rest(fleet: &Fleet, time: Duration) -> Result<Outcome> {
    let (start, before) = (Instant::now(), read(fleet).await?);
    let stats = fleet.platform_stats().await?;
    monoio::time::sleep(time).await;
    let (after, stats_after) = (read(fleet).await?, fleet.platform_stats().await?);
    let seconds = start.elapsed().as_secs_f64();
    let pairs = || before.iter().zip(&after);
    let bytes: Vec<f64> = pairs().map(|(a, b)| (b.bytes - a.bytes) / seconds).collect();
    let cpu: Vec<f64> = pairs()
        .map(|(a, b)| (b.usage.cpu.saturating_sub(a.usage.cpu)).as_secs_f64() / seconds)
        .collect();
    let rss: Vec<f64> = after.iter().map(|reading| reading.usage.rss as f64 / MIB).collect();
    Ok(Outcome {
        seed: 0,
        nodes: 0,
        seconds,
        meet_ms: 0,
        idle_bytes_per_node_s: mean(&bytes),
        idle_bytes_per_node_s_max: max(&bytes),
        platform_reads_per_s: (stats_after.reads - stats.reads) as f64 / seconds,
        platform_writes_per_s: (stats_after.writes - stats.writes) as f64 / seconds,
        cpu_core_share_mean: mean(&cpu),
        cpu_core_share_max: max(&cpu),
        rss_mb_mean: mean(&rss),
        rss_mb_max: max(&rss),
        faults: Vec::new(),
        violations: Violations::default(),
    })
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

fn max(values: &[f64]) -> f64 {
    values.iter().copied().fold(0.0, f64::max)
}
