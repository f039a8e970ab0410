//! What a call gains and loses by the nodes: time added against a direct call of the same run, and
//! the promises, with faults during the load.

use super::{kinds, print, Violations};
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

/// Part of the rate that goes past the nodes for comparison.
const DIRECT_PART: f64 = 0.25;
/// Time that an instance stays frozen.
const FROZEN: Duration = Duration::from_secs(2);
/// Time after which every node is out of doubt about idempotency keys, with [`SETTINGS`].
const SETTLE: Duration = Duration::from_secs(4);
/// Short memories of keys, so that a run does not begin in doubt.
const SETTINGS: [(&str, &str, &str); 2] =
    [("calls", "key_memory", "2s"), ("calls", "view_lag", "1s")];

/// Options of the measurement.
#[derive(Debug, Clone)]
pub struct Options {
    /// Seed of everything that is drawn.
    pub seed: u64,
    /// Calls a second.
    pub rate: f64,
    /// Seconds of load.
    pub seconds: u64,
    /// Faults during the load, `kill` and `freeze`.
    pub fault: String,
}

/// The parser of its options.
pub(super) fn parser() -> impl Parser<Options> {
    let seed = crate::cli::seed();
    let rate = long("rate").help("Calls a second").argument("R").fallback(200.0);
    let seconds = long("seconds").help("Seconds of load").argument("N").fallback(6);
    let fault = long("fault")
        .help("Faults during the load, a comma list of kill and freeze")
        .argument("LIST")
        .fallback(String::new());
    construct!(Options { seed, rate, seconds, fault })
}

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

/// Runs it.
pub(super) async fn run(options: Options) -> Result<()> {
    let deployment = Deployment::zlatna_klupa();
    let mixed = kinds(&deployment);
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
    let through = load(&options, options.rate, super::callers_of(&fleet)?, mixed);
    let direct_rate = options.rate * DIRECT_PART;
    // Tokens are drawn from the seed: two loads with the same one would pass for repeats.
    let seeded = |add: u64| Options { seed: options.seed + add, ..options.clone() };
    let direct = load(&seeded(1_000), direct_rate, services_of(&fleet)?, vec![probe()]);
    let probed = load(&seeded(2_000), direct_rate, super::callers_of(&fleet)?, vec![probe()]);
    let loads = async {
        let faults = faults(&fleet, &options);
        let loads = (load::run(&through), load::run(&direct), load::run(&probed));
        futures::join!(loads.0, loads.1, loads.2, faults)
    };
    let Either::Left(((through, direct, probed, faulted), _)) =
        select(pin!(loads), pin!(fleet.tend())).await
    else {
        return Err(Report::new(BenchError::Unmet("upstreams are tended to the end".into())));
    };
    faulted?;
    eprintln!("through nodes: {through}");
    eprintln!("probes through nodes: {probed}");
    eprintln!("probes past nodes: {direct}");
    let ledger = fleet.witness().ledger().await;
    through.describe_repeated_runs(&ledger).iter().for_each(|story| eprintln!("{story}"));
    let violations = through.violations(&ledger);
    print(&outcome(&options, fleet.names().len(), &through, &direct, &probed, violations));
    fleet.stop().await;
    Ok(())
}

fn outcome(
    options: &Options,
    nodes: usize,
    through: &Tally,
    direct: &Tally,
    probed: &Tally,
    violations: Violations,
) -> Outcome {
    let named = [Ended::Ok, Ended::Refused, Ended::Unknown].map(|ended| through.count(ended));
    let [ok, refused, unknown] = named;
    let calls = through.records().len();
    let (direct_p50_ms, direct_p99_ms) = (quantile_ms(direct, 0.5), quantile_ms(direct, 0.99));
    Outcome {
        seed: options.seed,
        nodes,
        seconds: through.time().as_secs_f64(),
        fault: options.fault.clone(),
        calls,
        ok,
        refused,
        unknown,
        other: calls - ok - refused - unknown,
        direct_p50_ms,
        direct_p99_ms,
        added_p50_ms: quantile_ms(probed, 0.5) - direct_p50_ms,
        added_p99_ms: quantile_ms(probed, 0.99) - direct_p99_ms,
        violations,
    }
}

/// The quantile `q` of the calls that succeeded, in milliseconds.
pub(super) fn quantile_ms(tally: &Tally, q: f64) -> f64 {
    let ok = tally.records().iter().filter(|record| record.ended == Ended::Ok);
    quantile_of(ok, q)
}

/// The quantile `q` of the latencies of `records`, in milliseconds; 0 where there are none.
pub(super) fn quantile_of<'a>(records: impl Iterator<Item = &'a Record>, q: f64) -> f64 {
    let mut latencies: Vec<Duration> = records.map(|record| record.latency).collect();
    latencies.sort_unstable();
    let at = (latencies.len() as f64 * q) as usize;
    let latency = latencies.get(at.min(latencies.len().saturating_sub(1)));
    latency.map_or(0.0, |latency| latency.as_secs_f64() * 1_000.0)
}

fn load(options: &Options, rate: f64, targets: Vec<Target>, kinds: Vec<CallKind>) -> load::Options {
    let time = Duration::from_secs(options.seconds);
    load::Options { seed: options.seed, rate, time, targets, kinds, ..Default::default() }
}

/// A lookup that takes no work, so that the way is all that is timed.
fn probe() -> CallKind {
    CallKind { work_us: Some(0), ..CallKind::lookup("counter") }
}

/// The upstreams themselves, as one target.
fn services_of(fleet: &Fleet) -> Result<Vec<Target>> {
    let names = fleet.of_service("counter").into_iter();
    let addrs = names.map(|name| Ok(fleet.addrs(&name)?.service)).collect::<Result<_>>()?;
    Ok(vec![Target { prefix: "/".into(), addrs }])
}

/// Lets one instance of the second service meet each fault, a third of the load in.
async fn faults(fleet: &Fleet, options: &Options) -> Result<()> {
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
                monoio::time::sleep(FROZEN).await;
                fleet.signal_node(victim, Signal::SIGCONT)?;
            }
            other => return Err(Report::new(BenchError::Option(format!("--fault {other}")))),
        }
    }
    Ok(())
}
