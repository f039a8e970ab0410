//! The `members` measurement: time until all nodes know all others, control traffic and resources
//! of an idle fleet, and fault detection time.

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

/// Options of `measure members`.
#[derive(Debug, Clone)]
pub struct Options {
    /// Seed of all random choices.
    pub seed: u64,
    /// Number of nodes of the fleet.
    pub nodes: usize,
    /// Seconds over which the idle fleet's traffic is measured.
    pub seconds: u64,
    /// Faults, injected one after the other.
    pub faults: Vec<Fault>,
}

/// Parses the options of `measure members`.
pub(super) fn parser() -> impl Parser<Options> {
    let seed = crate::cli::seed();
    let nodes = long("nodes").help("Number of nodes").argument("N").fallback(20);
    let seconds = long("seconds")
        .help("Seconds over which idle traffic is measured")
        .argument("N")
        .fallback(20);
    let faults = long("fault")
        .help("Faults, comma-separated: kill, herd, freeze")
        .argument::<String>("F")
        .parse(|list| Fault::parse_list(&list))
        .fallback(Vec::new());
    construct!(Options { seed, nodes, seconds, faults })
}

/// Longest wait until all nodes know the expected number of members.
const MEMBERSHIP_LIMIT: Duration = Duration::from_secs(90);
/// Time between two queries of the nodes' metrics.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Wait between full membership and the measurement of idle traffic.
const SETTLE: Duration = Duration::from_secs(8);
/// Number of bytes in a mebibyte.
const MIB: f64 = 1_048_576.0;

/// JSON result of `measure members`.
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
    faults: Vec<fault::FaultTimes>,
    violations: Violations,
}

/// Runs `measure members` and prints its result.
pub(super) async fn run(options: Options) -> Result<()> {
    let deployment = Deployment::scaled(options.nodes);
    let fleet = Fleet::prepare(FleetOptions {
        deployment,
        seed: options.seed,
        upstreams: Upstreams::Announced,
        ready_limit: MEMBERSHIP_LIMIT,
        ..Default::default()
    })
    .await?;
    let outcome = match select(pin!(measure(&fleet, &options)), pin!(fleet.supervise())).await {
        Either::Left((outcome, _)) => outcome,
        Either::Right(_) => Err(Report::new(BenchError::Option(
            "the fleet supervision ended before the measurement did".into(),
        ))),
    };
    if let Ok(outcome) = &outcome {
        print(outcome);
    }
    fleet.stop().await;
    outcome.map(|_| ())
}

async fn measure(fleet: &Fleet, options: &Options) -> Result<Outcome> {
    let start = Instant::now();
    add_instances(fleet)?;
    let times = wait_until_all_know(fleet, options.nodes, &[]).await?;
    let meet_ms = times.iter().max().map_or(0, |at| (*at - start).as_millis());
    eprintln!("{} nodes know each other after {meet_ms} ms", options.nodes);
    monoio::time::sleep(SETTLE).await;
    let idle = measure_idle(fleet, Duration::from_secs(options.seconds)).await?;
    let mut faults = Vec::new();
    for fault in &options.faults {
        faults.push(fault.run(fleet, options).await?);
    }
    Ok(Outcome { meet_ms, faults, seed: options.seed, nodes: options.nodes, ..idle })
}

/// Starts every instance of the deployment.
fn add_instances(fleet: &Fleet) -> Result<()> {
    let version = fleet.options().upstream.version.clone();
    for service in &fleet.options().deployment.services {
        for i in 0..service.upstreams {
            fleet.add(fleet.spec(&service.name, i, &version))?;
        }
    }
    Ok(())
}

/// Waits until every running node except `without` knows `members` members, none of them suspect;
/// returns the moment at which each node did.
async fn wait_until_all_know(
    fleet: &Fleet,
    members: usize,
    without: &[String],
) -> Result<Vec<Instant>> {
    let end = Instant::now() + MEMBERSHIP_LIMIT;
    let mut waiting: Vec<String> = fleet.running();
    waiting.retain(|name| !without.contains(name));
    let mut times = Vec::new();
    while !waiting.is_empty() {
        if Instant::now() >= end {
            let what = format!(
                "{} nodes don't know {members} members, none suspect, after {MEMBERSHIP_LIMIT:?}",
                waiting.len()
            );
            return Err(Report::new(BenchError::NotReady(what)));
        }
        let counts = join_all(waiting.iter().map(|name| member_counts(fleet, name))).await;
        let now = Instant::now();
        let before = waiting.len();
        let mut counts = counts.into_iter();
        waiting.retain(|_| counts.next().flatten() != Some((members, 0)));
        times.extend(std::iter::repeat_n(now, before - waiting.len()));
        monoio::time::sleep(POLL_INTERVAL).await;
    }
    Ok(times)
}

/// Reads the number of members that `instance` knows and how many of them are suspect; `None` where
/// it doesn't answer.
async fn member_counts(fleet: &Fleet, instance: &str) -> Option<(usize, usize)> {
    let metrics = fleet.metrics(instance).await.ok()?;
    let suspects =
        metrics.0.get("sycamoreshift_members{state=\"suspect\"}").copied().unwrap_or(0.0);
    Some((metrics.sum("sycamoreshift_members") as usize, suspects as usize))
}

/// Counters and resource usage of one node at one moment.
struct Reading {
    /// Peer protocol bytes sent and received since the node's start.
    bytes: f64,
    usage: Usage,
}

async fn read_nodes(fleet: &Fleet) -> Result<Vec<Reading>> {
    let read = |name: String| async move {
        let metrics = fleet.metrics(&name).await?;
        let bytes = metrics.sum("sycamoreshift_peer_bytes_total");
        Ok(Reading { bytes, usage: fleet.node_usage(&name)? })
    };
    join_all(fleet.running().into_iter().map(read)).await.into_iter().collect()
}

/// Measures traffic and resource usage of the idle fleet over `time`. Seed, nodes, faults and the
/// time to full membership are left for the caller to set.
async fn measure_idle(fleet: &Fleet, time: Duration) -> Result<Outcome> {
    let (start, before) = (Instant::now(), read_nodes(fleet).await?);
    let stats = fleet.platform_stats().await?;
    monoio::time::sleep(time).await;
    let (after, stats_after) = (read_nodes(fleet).await?, fleet.platform_stats().await?);
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
