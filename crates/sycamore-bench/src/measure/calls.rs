//! The `calls` measurement: latency that nodes add compared with direct calls of the same run, and
//! violated guarantees to callers, with optional faults during the load.

use super::{mixed_call_kinds, print, Violations};
use crate::fleet::{Deployment, Fleet, Options as FleetOptions};
use crate::load::{self, CallKind, Ended, Record, Tally, Target};
use crate::{BenchError, Result};
use bpaf::{construct, long, Parser};
use error_stack::Report;
use futures::future::{select, Either};
use nix::sys::signal::Signal;
use serde::Serialize;
use std::pin::pin;
use std::time::Duration;

/// Rate of the direct calls that bypass the nodes, as a fraction of the mixed load's rate.
const DIRECT_FRACTION: f64 = 0.25;
/// Time for which the `freeze` fault pauses a node with SIGSTOP.
const PAUSE_TIME: Duration = Duration::from_secs(2);
/// Wait before the load, with [`SETTINGS`]: until `key_memory` and `view_lag` have passed, nodes
/// can't know of earlier runs and answer calls with idempotency keys as perhaps run.
const SETTLE: Duration = Duration::from_secs(4);
/// Node settings as section, key, value: a short `key_memory` and `view_lag` keep [`SETTLE`] short.
const SETTINGS: [(&str, &str, &str); 2] =
    [("calls", "key_memory", "2s"), ("calls", "view_lag", "1s")];

/// Options of `measure calls`.
#[derive(Debug, Clone)]
pub struct Options {
    /// Seed of all random choices.
    pub seed: u64,
    /// Calls a second of the mixed load.
    pub rate: f64,
    /// Duration of the load, in seconds.
    pub seconds: u64,
    /// Faults during the load: a comma-separated list of `kill` and `freeze`, empty for none.
    pub fault: String,
}

/// Parses the options of `measure calls`.
pub(super) fn parser() -> impl Parser<Options> {
    let seed = crate::cli::seed();
    let rate = long("rate").help("Calls a second of the mixed load").argument("R").fallback(200.0);
    let seconds =
        long("seconds").help("Duration of the load, in seconds").argument("N").fallback(6);
    let fault = long("fault")
        .help("Faults during the load, comma-separated: kill, freeze")
        .argument("LIST")
        .fallback(String::new());
    construct!(Options { seed, rate, seconds, fault })
}

/// JSON result of `measure calls`.
#[derive(Debug, Serialize)]
struct Outcome {
    seed: u64,
    nodes: usize,
    seconds: f64,
    fault: String,
    calls: usize,
    ok: usize,
    refused: usize,
    unknown: usize,
    other: usize,
    direct_p50_ms: f64,
    direct_p99_ms: f64,
    added_p50_ms: f64,
    added_p99_ms: f64,
    violations: Violations,
}

/// Runs `measure calls` and prints its result.
pub(super) async fn run(options: Options) -> Result<()> {
    let deployment = Deployment::zlatna_klupa();
    let mixed_kinds = mixed_call_kinds(&deployment);
    let settings = SETTINGS.map(|(s, k, v)| (s.to_owned(), k.to_owned(), v.to_owned())).into();
    let fleet = Fleet::start(FleetOptions {
        deployment,
        seed: options.seed,
        settings,
        ..Default::default()
    })
    .await?;
    fleet.wait_members().await?;
    monoio::time::sleep(SETTLE).await;
    let mixed = load_options(&options, options.rate, super::caller_targets(&fleet)?, mixed_kinds);
    let direct_rate = options.rate * DIRECT_FRACTION;
    // Call tokens derive from the seed: two loads with one seed would count as repeats of the same
    // calls.
    let seeded = |add: u64| Options { seed: options.seed + add, ..options.clone() };
    let direct = load_options(
        &seeded(1_000),
        direct_rate,
        upstream_targets(&fleet)?,
        vec![zero_work_lookup()],
    );
    let proxied = load_options(
        &seeded(2_000),
        direct_rate,
        super::caller_targets(&fleet)?,
        vec![zero_work_lookup()],
    );
    let loads = async {
        let faults = inject_faults(&fleet, &options);
        let loads = (load::run(&mixed), load::run(&direct), load::run(&proxied));
        futures::join!(loads.0, loads.1, loads.2, faults)
    };
    let Either::Left(((mixed, direct, proxied, faulted), _)) =
        select(pin!(loads), pin!(fleet.supervise())).await
    else {
        return Err(Report::new(BenchError::Unmet(
            "the fleet supervision ended before the load did".into(),
        )));
    };
    faulted?;
    eprintln!("mixed calls through nodes: {mixed}");
    eprintln!("zero-work lookups through nodes: {proxied}");
    eprintln!("zero-work lookups sent directly: {direct}");
    let ledger = fleet.witness().ledger().await;
    mixed.describe_repeated_runs(&ledger).iter().for_each(|trace| eprintln!("{trace}"));
    let violations = mixed.violations(&ledger);
    print(&summarize(&options, fleet.names().len(), &mixed, &direct, &proxied, violations));
    fleet.stop().await;
    Ok(())
}

fn summarize(
    options: &Options,
    nodes: usize,
    mixed: &Tally,
    direct: &Tally,
    proxied: &Tally,
    violations: Violations,
) -> Outcome {
    let named = [Ended::Ok, Ended::Refused, Ended::Unknown].map(|ended| mixed.count(ended));
    let [ok, refused, unknown] = named;
    let calls = mixed.records().len();
    let (direct_p50_ms, direct_p99_ms) =
        (ok_latency_quantile_ms(direct, 0.5), ok_latency_quantile_ms(direct, 0.99));
    Outcome {
        seed: options.seed,
        nodes,
        seconds: mixed.time().as_secs_f64(),
        fault: options.fault.clone(),
        calls,
        ok,
        refused,
        unknown,
        other: calls - ok - refused - unknown,
        direct_p50_ms,
        direct_p99_ms,
        added_p50_ms: ok_latency_quantile_ms(proxied, 0.5) - direct_p50_ms,
        added_p99_ms: ok_latency_quantile_ms(proxied, 0.99) - direct_p99_ms,
        violations,
    }
}

/// Computes the quantile `q` of the successful calls' latencies in `tally`, in milliseconds.
pub(super) fn ok_latency_quantile_ms(tally: &Tally, q: f64) -> f64 {
    let ok = tally.records().iter().filter(|record| record.ended == Ended::Ok);
    latency_quantile_ms(ok, q)
}

/// Computes the quantile `q` of the latencies of `records`, in milliseconds; 0 for no records.
pub(super) fn latency_quantile_ms<'a>(records: impl Iterator<Item = &'a Record>, q: f64) -> f64 {
    let mut latencies: Vec<Duration> = records.map(|record| record.latency).collect();
    latencies.sort_unstable();
    let at = (latencies.len() as f64 * q) as usize;
    let latency = latencies.get(at.min(latencies.len().saturating_sub(1)));
    latency.map_or(0.0, |latency| latency.as_secs_f64() * 1_000.0)
}

fn load_options(
    options: &Options,
    rate: f64,
    targets: Vec<Target>,
    kinds: Vec<CallKind>,
) -> load::Options {
    let time = Duration::from_secs(options.seconds);
    load::Options { seed: options.seed, rate, time, targets, kinds, ..Default::default() }
}

/// Returns a lookup that takes the upstream no time, so that only the network path is timed.
fn zero_work_lookup() -> CallKind {
    CallKind { work_us: Some(0), ..CallKind::lookup("counter") }
}

/// Returns the service addresses of the `counter` upstreams as one target, bypassing the nodes.
fn upstream_targets(fleet: &Fleet) -> Result<Vec<Target>> {
    let names = fleet.of_service("counter").into_iter();
    let addrs = names.map(|name| Ok(fleet.addrs(&name)?.service)).collect::<Result<_>>()?;
    Ok(vec![Target { prefix: "/".into(), addrs }])
}

/// Injects each fault of `options` into an `intake` instance of its own, one after the other, after
/// a third of the load's duration.
async fn inject_faults(fleet: &Fleet, options: &Options) -> Result<()> {
    let victims = fleet.of_service("intake");
    monoio::time::sleep(Duration::from_secs(options.seconds) / 3).await;
    for (fault, victim) in options.fault.split(',').filter(|f| !f.is_empty()).zip(&victims) {
        match fault {
            "kill" => {
                fleet.kill_upstream(victim)?;
                fleet.kill_node(victim)?;
            }
            "freeze" => {
                fleet.signal_node(victim, Signal::SIGSTOP)?;
                monoio::time::sleep(PAUSE_TIME).await;
                fleet.signal_node(victim, Signal::SIGCONT)?;
            }
            other => {
                return Err(Report::new(BenchError::Option(format!(
                    "--fault: unknown fault {other:?}, expected kill or freeze"
                ))))
            }
        }
    }
    Ok(())
}
