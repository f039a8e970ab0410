//! The `overload` measurement: goodput, attempts per call and refusal latency above capacity.

use super::calls::latency_quantile_ms;
use super::{print, Violations};
use crate::fleet::{Deployment, Fleet, Options as FleetOptions, ServiceSpec};
use crate::load::{self, CallKind, Ended, Pick, Target};
use crate::stand_in::upstream;
use crate::Result;
use bpaf::{construct, long, Parser};
use serde::Serialize;
use std::time::Duration;

/// Number of upstreams of each service.
const UPSTREAMS: usize = 2;
/// Number of calls that each upstream runs at the same time.
const SLOTS: u16 = 4;
/// Mean time that a call takes at each service level, without its nested calls.
const WORK_TIME: Duration = Duration::from_millis(40);
/// Timeout of each call, in milliseconds.
const TIMEOUT_MS: u64 = 2_000;
/// Retries per failed call under the `baseline` policy, whatever the failure.
const BASELINE_RETRIES: u32 = 3;

/// Options of `measure overload`.
#[derive(Debug, Clone)]
pub struct Options {
    /// Seed of all random choices.
    pub seed: u64,
    /// Offered load, as a multiple of capacity.
    pub load: f64,
    /// Number of services that each call passes through, one calling the next; at least 1.
    pub depth: usize,
    /// Duration of the load, in seconds.
    pub seconds: u64,
    /// Policy of the callers: `node` sends calls through the nodes; with `baseline` callers bypass the
    /// nodes, pick upstreams round robin and retry a failed call up to three times.
    pub policy: String,
}

/// Parses the options of `measure overload`.
pub(super) fn parser() -> impl Parser<Options> {
    let seed = crate::cli::seed();
    let load =
        long("load").help("Offered load, as a multiple of capacity").argument("X").fallback(2.0);
    let depth =
        long("depth").help("Services that each call passes through").argument("D").fallback(1);
    let seconds =
        long("seconds").help("Duration of the load, in seconds").argument("N").fallback(6);
    let policy = long("policy")
        .help("node, or baseline: round robin past the nodes and three retries")
        .argument("P")
        .fallback("node".to_owned());
    construct!(Options { seed, load, depth, seconds, policy })
}

/// JSON result of `measure overload`.
#[derive(Debug, Serialize)]
struct Outcome {
    seed: u64,
    nodes: usize,
    seconds: f64,
    load: f64,
    depth: usize,
    policy: String,
    capacity_per_s: f64,
    goodput_share: f64,
    attempts_per_call: f64,
    attempts_per_call_max: f64,
    refusal_p99_ms: f64,
    calls: usize,
    ok: usize,
    refused: usize,
    unknown: usize,
    violations: Violations,
}

/// Runs `measure overload` and prints its result.
pub(super) async fn run(options: Options) -> Result<()> {
    let names: Vec<String> = (0..options.depth.max(1)).map(|i| format!("level-{i}")).collect();
    let upstream = upstream::Options { slots: SLOTS, work: WORK_TIME, ..Default::default() };
    let fleet = Fleet::start(FleetOptions {
        deployment: overload_deployment(&names),
        seed: options.seed,
        upstream,
        ..Default::default()
    })
    .await?;
    fleet.wait_members().await?;
    // A call occupies its slot at the first level until all levels have answered.
    let slots = (UPSTREAMS * usize::from(SLOTS)) as f64;
    let capacity_per_s = slots / (WORK_TIME.as_secs_f64() * names.len() as f64);
    let baseline = options.policy == "baseline";
    let load = load::Options {
        seed: options.seed,
        rate: capacity_per_s * options.load,
        time: Duration::from_secs(options.seconds),
        targets: targets(&fleet, &names[0], baseline)?,
        pick: if baseline { Pick::RoundRobin } else { Pick::Random },
        retries: if baseline { BASELINE_RETRIES } else { 0 },
        kinds: vec![nested_lookup(&names)],
        ..Default::default()
    };
    let tally = load::run(&load).await;
    eprintln!("{tally}");
    let ledger = fleet.witness().ledger().await;
    let violations = tally.violations(&ledger);
    let sent: u32 = tally.records().iter().map(|record| record.attempts).sum();
    let at_callers = f64::from(sent) / tally.records().len().max(1) as f64;
    let at_nodes = attempts_per_call(&fleet).await;
    let refused = tally.records().iter().filter(|record| record.ended == Ended::Refused);
    print(&Outcome {
        seed: options.seed,
        nodes: fleet.names().len(),
        seconds: options.seconds as f64,
        load: options.load,
        depth: names.len(),
        capacity_per_s,
        goodput_share: tally.count(Ended::Ok) as f64
            / (capacity_per_s * options.load.min(1.0) * options.seconds as f64),
        attempts_per_call: if baseline { at_callers } else { at_nodes.0 },
        attempts_per_call_max: if baseline { at_callers } else { at_nodes.1 },
        refusal_p99_ms: latency_quantile_ms(refused, 0.99),
        calls: tally.records().len(),
        ok: tally.count(Ended::Ok),
        refused: tally.count(Ended::Refused),
        unknown: tally.count(Ended::Unknown),
        policy: options.policy,
        violations,
    });
    fleet.stop().await;
    Ok(())
}

fn overload_deployment(names: &[String]) -> Deployment {
    let services =
        names.iter().map(|name| ServiceSpec { name: name.clone(), upstreams: UPSTREAMS });
    Deployment {
        name: "overload".into(),
        regions: vec![("hr-north".into(), vec!["hr-north-a".into()])],
        services: services.collect(),
        slots: SLOTS,
    }
}

/// Returns a lookup that passes through every service of `names` in turn.
fn nested_lookup(names: &[String]) -> CallKind {
    let nested_paths = names[1..].iter().map(|name| format!("/{name}/status/onward"));
    let timeout_ms = Some(TIMEOUT_MS);
    CallKind { nested_paths: nested_paths.collect(), timeout_ms, ..CallKind::lookup(&names[0]) }
}

fn targets(fleet: &Fleet, first: &str, baseline: bool) -> Result<Vec<Target>> {
    let addr = |name: String| {
        let addrs = fleet.addrs(&name)?;
        Ok(if baseline { addrs.service } else { addrs.caller })
    };
    let addrs = fleet.of_service(first).into_iter().map(addr).collect::<Result<_>>()?;
    Ok(vec![Target { prefix: "/".into(), addrs }])
}

/// Reads the attempts per call from the nodes' metrics: the mean over all nodes, and the highest of
/// any node. Nodes that don't answer are left out.
async fn attempts_per_call(fleet: &Fleet) -> (f64, f64) {
    let (mut firsts, mut retries, mut most) = (0.0, 0.0, 1.0_f64);
    for name in fleet.running() {
        let Ok(metrics) = fleet.metrics(&name).await else { continue };
        let first = metrics.sum("sycamoreshift_call_first_attempts_total");
        let retry = metrics.sum("sycamoreshift_call_retries_total");
        firsts += first;
        retries += retry;
        if first > 0.0 {
            most = most.max((first + retry) / first);
        }
    }
    ((firsts + retries) / f64::max(firsts, 1.0), most)
}
