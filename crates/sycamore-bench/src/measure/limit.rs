//! The `limit` measurement: upstreams that name rate limits, at a multiple of what they take, and one
//! that leaves; counted by the upstreams themselves, with optional faults of the nodes beside them.

use super::calls::latency_quantile_ms;
use super::{print, Violations};
use crate::fleet::{Deployment, Fleet, Hop, Options as FleetOptions, ServiceSpec};
use crate::load::{self, CallKind, Ended, Target};
use crate::proxy::Fault;
use crate::stand_in::upstream;
use crate::stand_in::upstream::report::SelfReport;
use crate::{BenchError, Result};
use bpaf::{construct, long, Parser};
use error_stack::Report;
use futures::future::{select, Either};
use nix::sys::signal::Signal;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::Serialize;
use std::pin::pin;
use std::str::FromStr;
use std::time::Duration;

/// Number of upstreams, all of one service.
const UPSTREAMS: usize = 12;
/// Time that a call takes.
const WORK: Duration = Duration::from_millis(60);
/// Timeout that callers send.
const TIMEOUT_MS: u64 = 1_000;
/// Time from the start of the load to the first report of the limits.
const UNLIMITED_TIME: Duration = Duration::from_secs(2);
/// Maximum load before the limits are named, as a multiple of them. The users count the second before
/// the first report as well: nobody can keep a limit that one second alone exceeds.
const MAX_TIMES_BEFORE: f64 = 3.0;
/// Time between two faults.
const FAULT_GAP: Duration = Duration::from_millis(1_500);
/// Duration of a freeze or a cut, and time until a killed node starts again.
const FAULT_TIME: Duration = Duration::from_secs(1);
/// Part of the load's time after which one upstream reports that it is leaving.
const LEAVE_AFTER: f64 = 0.6;

/// Options of `measure limit`.
#[derive(Debug, Clone)]
pub struct Options {
    /// Seed of all random choices.
    pub seed: u64,
    /// Limit that each upstream names, in requests per second.
    pub limit: f64,
    /// Offered load, as a multiple of the sum of the limits.
    pub times: f64,
    /// Duration of the load, in seconds.
    pub seconds: u64,
    /// Faults of nodes beside upstreams: a comma-separated list of `kill`, `freeze` and `cut`, empty
    /// for none.
    pub fault: String,
}

/// Parses the options of `measure limit`.
pub(super) fn parser() -> impl Parser<Options> {
    let seed = crate::cli::seed();
    let limit = long("limit")
        .help("Requests a second that each upstream names")
        .argument("R")
        .fallback(8.0);
    let times =
        long("times").help("Offered load, as a multiple of the limits").argument("X").fallback(2.0);
    let seconds =
        long("seconds").help("Duration of the load, in seconds").argument("N").fallback(16);
    let fault = long("fault")
        .help("Faults beside upstreams, comma-separated: kill, freeze, cut")
        .argument("LIST")
        .fallback(String::new());
    construct!(Options { seed, limit, times, seconds, fault })
}

/// JSON result of `measure limit`.
#[derive(Debug, Serialize)]
struct Outcome {
    seed: u64,
    nodes: usize,
    seconds: f64,
    limit: f64,
    times: f64,
    fault: String,
    /// Upstreams that got more within 4 s than the users allow.
    overruns: usize,
    /// Highest ratio of what an upstream got within 4 s to what the users allow.
    worst_ratio: f64,
    /// Share of the limits that was used.
    used_share: f64,
    /// Requests later than 2 s after the leave was first reported.
    after_leave: usize,
    refusal_p99_ms: f64,
    calls: usize,
    ok: usize,
    refused: usize,
    other: usize,
    violations: Violations,
}

/// Fault of the node beside an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum NodeFault {
    /// The node is killed and starts again.
    Kill,
    /// The node is paused.
    Freeze,
    /// No call of another node reaches the node.
    Cut,
}

impl FromStr for NodeFault {
    type Err = BenchError;

    fn from_str(text: &str) -> std::result::Result<Self, BenchError> {
        match text {
            "kill" => Ok(Self::Kill),
            "freeze" => Ok(Self::Freeze),
            "cut" => Ok(Self::Cut),
            _ => Err(BenchError::Option(format!(
                "--fault: unknown fault {text:?}, expected kill, freeze or cut"
            ))),
        }
    }
}

impl Options {
    /// Returns the faults to inject in turn.
    ///
    /// # Errors
    /// [`BenchError::Option`] for an unknown fault, or a limit or a load that is no positive number.
    fn checked_faults(&self) -> Result<Vec<NodeFault>> {
        for (name, value) in [("limit", self.limit), ("times", self.times)] {
            if !(value.is_finite() && value > 0.0) {
                let what = format!("--{name}: {value}, expected a number above 0");
                return Err(BenchError::Option(what).into());
            }
        }
        let names = self.fault.split(',').filter(|name| !name.is_empty());
        Ok(names.map(str::parse).collect::<std::result::Result<_, _>>()?)
    }
}

/// Runs `measure limit` and prints its result.
pub(super) async fn run(options: Options) -> Result<()> {
    let faults = options.checked_faults()?;
    let service = ServiceSpec { name: "counter".into(), upstreams: UPSTREAMS };
    let deployment = Deployment { services: vec![service], ..Deployment::zlatna_klupa() };
    let fleet = Fleet::start(FleetOptions {
        deployment,
        seed: options.seed,
        upstream: upstream::Options { work: WORK, ..Default::default() },
        disturbed: true,
        ..Default::default()
    })
    .await?;
    fleet.wait_members().await?;
    let names = fleet.names();
    let addrs = names.iter().map(|name| fleet.front_for_callers(name)).collect::<Result<_>>()?;
    let time = Duration::from_secs(options.seconds);
    let limits = options.limit * names.len() as f64;
    let load = load::Options {
        seed: options.seed,
        rate: limits * options.times,
        time: time.saturating_sub(UNLIMITED_TIME),
        targets: vec![Target { prefix: "/".into(), addrs }],
        kinds: vec![CallKind { timeout_ms: Some(TIMEOUT_MS), ..CallKind::lookup("counter") }],
        ..Default::default()
    };
    let before = load::Options {
        // Tokens of calls derive from the seed: those of the two loads must differ.
        seed: options.seed + 1_000,
        rate: limits * options.times.min(MAX_TIMES_BEFORE),
        time: UNLIMITED_TIME,
        ..load.clone()
    };
    let events = async {
        let limited = limit_and_leave(&fleet, &options, &names);
        futures::join!(limited, inject_faults(&fleet, &options, &faults, &names))
    };
    let loads = async {
        let limited = async {
            monoio::time::sleep(UNLIMITED_TIME).await;
            load::run(&load).await
        };
        futures::join!(load::run(&before), limited).1
    };
    let run = async { futures::join!(loads, events) };
    let Either::Left(((tally, (limited, faulted)), _)) =
        select(pin!(run), pin!(fleet.supervise())).await
    else {
        return Err(Report::new(BenchError::Unmet("the fleet's supervision ended".into())));
    };
    limited?;
    faulted?;
    eprintln!("{tally}");
    let mut counts = Vec::new();
    for name in &names {
        counts.push(fleet.report(name, None).await?);
    }
    let got: usize = counts.iter().map(|count| count.got).sum();
    let entitled: f64 = counts.iter().map(|count| count.entitled).sum();
    let refused = tally.records().iter().filter(|record| record.ended == Ended::Refused);
    let [ok, refusals] = [Ended::Ok, Ended::Refused].map(|ended| tally.count(ended));
    print(&Outcome {
        seed: options.seed,
        nodes: names.len(),
        seconds: options.seconds as f64,
        limit: options.limit,
        times: options.times,
        fault: options.fault,
        overruns: counts.iter().filter(|count| count.worst_ratio > 1.0).count(),
        worst_ratio: counts.iter().map(|count| count.worst_ratio).fold(0.0, f64::max),
        used_share: got as f64 / entitled.max(f64::MIN_POSITIVE),
        after_leave: counts.iter().map(|count| count.after_leave).sum(),
        refusal_p99_ms: latency_quantile_ms(refused, 0.99),
        calls: tally.records().len(),
        ok,
        refused: refusals,
        other: tally.records().len() - ok - refusals,
        violations: tally.violations(&fleet.witness().ledger().await),
    });
    fleet.stop().await;
    Ok(())
}

/// Has all upstreams name the limit, and one of them report later that it is leaving. The limits end
/// with the load, so that only its time is counted.
async fn limit_and_leave(fleet: &Fleet, options: &Options, names: &[String]) -> Result<()> {
    let time = Duration::from_secs(options.seconds);
    let leave_at = time.mul_f64(LEAVE_AFTER);
    let limited = SelfReport { rate_limit: Some(options.limit), leaving: false };
    monoio::time::sleep(UNLIMITED_TIME).await;
    for name in names {
        fleet.report(name, Some(limited)).await?;
    }
    monoio::time::sleep(leave_at.saturating_sub(UNLIMITED_TIME)).await;
    if let Some(name) = names.last() {
        let leaving = SelfReport { rate_limit: None, leaving: true };
        fleet.report(name, Some(leaving)).await?;
    }
    monoio::time::sleep(time.saturating_sub(leave_at)).await;
    for name in names.iter().rev().skip(1) {
        fleet.report(name, Some(SelfReport::default())).await?;
    }
    Ok(())
}

/// Injects `faults` in turn, each into the node beside an upstream that is drawn, until
/// shortly before the end of the load.
async fn inject_faults(
    fleet: &Fleet,
    options: &Options,
    faults: &[NodeFault],
    names: &[String],
) -> Result<()> {
    let mut rng = SmallRng::seed_from_u64(options.seed);
    monoio::time::sleep(UNLIMITED_TIME + FAULT_GAP).await;
    let last = Duration::from_secs(options.seconds).saturating_sub(FAULT_TIME * 2);
    let mut at = UNLIMITED_TIME + FAULT_GAP;
    for fault in faults.iter().cycle() {
        if at >= last {
            break;
        }
        let victim = &names[rng.random_range(0..names.len())];
        eprintln!("{:5.1} s {fault:?} of the node of {victim}", at.as_secs_f64());
        inject(fleet, *fault, victim).await?;
        monoio::time::sleep(FAULT_GAP).await;
        at += FAULT_TIME + FAULT_GAP;
    }
    Ok(())
}

/// Injects `fault` into the node of `victim` for [`FAULT_TIME`].
async fn inject(fleet: &Fleet, fault: NodeFault, victim: &str) -> Result<()> {
    match fault {
        NodeFault::Kill => fleet.kill_node(victim)?,
        NodeFault::Freeze => fleet.signal_node(victim, Signal::SIGSTOP)?,
        NodeFault::Cut => fleet.link(victim, Hop::Relay)?.set(Fault::Silence),
    }
    monoio::time::sleep(FAULT_TIME).await;
    match fault {
        NodeFault::Kill => fleet.start_node(victim),
        NodeFault::Freeze => fleet.signal_node(victim, Signal::SIGCONT),
        NodeFault::Cut => {
            fleet.link(victim, Hop::Relay)?.set(Fault::None);
            Ok(())
        }
    }
}
