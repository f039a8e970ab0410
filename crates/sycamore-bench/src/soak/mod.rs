//! Fault soak: injects seeded faults into a fleet of real processes and checks invariants during the
//! run, from what callers and upstreams observe.

mod flood;
mod names;
mod play;
mod promises;
pub mod schedule;

pub use promises::{Invariants, Violation};

use crate::fleet::{
    ConfigWatch, Deployment, Fleet, Options as FleetOptions, ServiceSpec, KEY_MEMORY,
};
use crate::load::{self, CallKind, Ended, Target};
use crate::measure::{self, print};
use crate::Result;
use bpaf::{construct, long, Parser};
use futures::future::{join, join_all, select, Either};
use play::Player;
use promises::CALL_TIMEOUT;
use serde::Serialize;
use std::cell::Cell;
use std::collections::BTreeMap;
use std::pin::pin;
use std::time::{Duration, Instant};

/// Number of upstreams of each of the two services.
const UPSTREAMS_PER_SERVICE: usize = 3;
/// Rate of the load in calls per second: far below the upstreams' capacity, so that no call is
/// refused because of load.
const CALLS_PER_S: f64 = 60.0;
/// Mean run time of a booking, in microseconds: long enough that some bookings are running whenever
/// a fault begins.
const BOOKING_WORK_US: u64 = 200_000;
/// Time after [`CALL_TIMEOUT`] at which a caller without an answer closes its connection.
const CALLER_SLACK: Duration = Duration::from_secs(1);
/// Time between two checks of the invariants.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum time for an upstream to tell its count.
const COUNT_TIME: Duration = Duration::from_millis(500);
/// Time after the last event within which the fleet must have recovered, as the users require.
const RECOVERY_LIMIT: Duration = Duration::from_secs(15);
/// Duration of one round of the load that checks the recovery.
const RECOVERY_LOAD_TIME: Duration = Duration::from_secs(3);

/// Options of the `soak` command.
#[derive(Debug, Clone)]
pub struct Options {
    /// First seed to run; each seed determines the events and the load of one run.
    pub seed: u64,
    /// Number of consecutive seeds to run, starting with [`Options::seed`].
    pub seeds: u64,
    /// Period in seconds within which events begin.
    pub seconds: u64,
}

/// Returns the command-line parser of the `soak` command's options.
pub fn parser() -> impl Parser<Options> {
    let seed = crate::cli::seed();
    let seeds = long("seeds").help("Number of consecutive seeds").argument("N").fallback(1);
    let seconds = long("seconds").help("Seconds of fault events").argument("N").fallback(20);
    construct!(Options { seed, seeds, seconds })
}

/// Result of a soak run with one seed, printed as a line of JSON.
#[derive(Debug, Serialize)]
pub struct Outcome {
    /// Seed of the run.
    pub seed: u64,
    /// Number of events that were carried out.
    pub events: usize,
    /// Number of calls per [`Ended`] variant, keyed by the variant's name.
    pub calls: BTreeMap<String, usize>,
    /// Violated invariants with the observations that show them.
    #[serde(rename = "breaches")]
    pub violations: Vec<Violation>,
    /// Directory with the fleet's settings and logs; deleted if no invariant was violated.
    pub logs: String,
}

/// Runs the soak with each seed and prints each outcome as a line of JSON.
///
/// # Errors
/// [`crate::BenchError::Unmet`] with the seeds on which an invariant was violated, or the error of a
/// fleet that could not be started or controlled.
pub async fn run(options: Options) -> Result<()> {
    let mut violated = Vec::new();
    for seed in options.seed..options.seed + options.seeds {
        let outcome = play(seed, Duration::from_secs(options.seconds)).await?;
        print(&outcome);
        if !outcome.violations.is_empty() {
            violated.push(seed);
        }
    }
    match violated.is_empty() {
        true => Ok(()),
        false => {
            let what = format!("invariants violated with seeds {violated:?}");
            Err(crate::BenchError::Unmet(what).into())
        }
    }
}

/// Runs the soak with one seed: `time` is the period within which events begin.
///
/// # Errors
/// The error of a fleet that could not be started or controlled.
pub async fn play(seed: u64, time: Duration) -> Result<Outcome> {
    let fleet = Fleet::start(fleet_options(seed)).await?;
    // After the start of a whole service its nodes can't know about earlier runs for this long, and
    // answer calls with an idempotency key as unknown.
    let key_warmup = KEY_MEMORY + sycamore_settings::calls::Calls::default().view_lag;
    let warmup = monoio::time::sleep(key_warmup);
    if let Either::Right(_) = select(pin!(warmup), pin!(fleet.supervise())).await {
        unreachable!("Fleet::supervise never returns");
    }
    let invariants = Invariants::default();
    let events = schedule::plan(seed, time, &fleet.names());
    let watch = ConfigWatch::default();
    let (changes, newest) = (Cell::new(0), Cell::new(0));
    let player =
        Player { fleet: &fleet, invariants: &invariants, changes: &changes, newest: &newest };
    let done = Cell::new(false);
    let play_all = async {
        let results = join_all(events.iter().map(|event| player.play(event))).await;
        done.set(true);
        results.into_iter().collect::<Result<Vec<()>>>()
    };
    let load = load_options(&fleet, seed, time * 4)?;
    let calls = load::run_watched(&load, || done.get(), |record| invariants.record_call(record));
    let checks = async {
        loop {
            monoio::time::sleep(CHECK_INTERVAL).await;
            let ledger = fleet.witness().so_far();
            invariants.check_calls(&ledger);
            invariants.check_leaves(&ledger);
            invariants.check_configs(&watch.violations());
            check_counts(&fleet, &invariants).await;
        }
    };
    let background = join(join(fleet.supervise(), watch.run(&fleet)), checks);
    let run = async {
        let (_, played) = join(calls, play_all).await;
        played?;
        check_recovery(&fleet, &invariants, &watch, newest.get(), seed).await
    };
    if let Either::Left((result, _)) = select(pin!(run), pin!(background)).await {
        result?;
    }
    let ledger = fleet.witness().ledger().await;
    invariants.check_calls(&ledger);
    invariants.check_leaves(&ledger);
    invariants.check_configs(&watch.violations());
    let violations = invariants.violations();
    let logs = fleet.dir().display().to_string();
    let outcome =
        Outcome { seed, events: events.len(), calls: invariants.call_counts(), violations, logs };
    match outcome.violations.is_empty() {
        true => fleet.stop().await,
        false => fleet.stop_and_keep().await,
    }
    Ok(outcome)
}

/// Checks the counts of all upstreams that answer; the others are killed or paused.
async fn check_counts(fleet: &Fleet, invariants: &Invariants) {
    let names = fleet.names();
    let counts =
        names.iter().map(|name| monoio::time::timeout(COUNT_TIME, fleet.report(name, None)));
    for (name, count) in names.iter().zip(join_all(counts).await) {
        if let Ok(Ok(count)) = count {
            invariants.check_count(name, &count);
        }
    }
}

/// Checks that within [`RECOVERY_LIMIT`] all nodes are ready, know each other, have a configuration
/// not older than `newest`, and answer every call of a fresh load.
async fn check_recovery(
    fleet: &Fleet,
    invariants: &Invariants,
    watch: &ConfigWatch,
    newest: u64,
    seed: u64,
) -> Result<()> {
    let start = Instant::now();
    let recovered = async {
        fleet.wait_ready().await?;
        fleet.wait_members().await?;
        let at_newest = || async { watch.all_at(fleet, newest) };
        fleet.wait_for("the newest configuration on every node", at_newest).await
    };
    if let Err(report) = recovered.await {
        invariants.add_violation("not as before", report.current_context().to_string());
    }
    eprintln!("wait for recovery ended after {:.1} s", start.elapsed().as_secs_f64());
    for round in 1.. {
        let mut load = load_options(fleet, seed + round * 1_000_000, RECOVERY_LOAD_TIME)?;
        // A service whose nodes were all restarted can't recognize repeated keys yet.
        load.kinds.retain(|kind| kind.key == load::KeyUse::None);
        let tally =
            load::run_watched(&load, || false, |record| invariants.record_call(record)).await;
        let failed: Vec<_> = tally.records().iter().filter(|r| r.ended != Ended::Ok).collect();
        if failed.is_empty() {
            break;
        }
        let elapsed = start.elapsed().as_secs_f64();
        eprintln!("{} calls failed in the load that ended after {elapsed:.1} s", failed.len());
        if start.elapsed() > RECOVERY_LIMIT {
            for record in failed {
                invariants.add_violation("call failed after all was over", format!("{record:?}"));
            }
            break;
        }
    }
    Ok(())
}

fn fleet_options(seed: u64) -> FleetOptions {
    let service = |name: &str| ServiceSpec { name: name.into(), upstreams: UPSTREAMS_PER_SERVICE };
    let services = vec![service("counter"), service("intake")];
    FleetOptions {
        deployment: Deployment { services, ..Deployment::zlatna_klupa() },
        seed,
        ready_limit: RECOVERY_LIMIT,
        disturbed: true,
        ..FleetOptions::default()
    }
}

fn load_options(fleet: &Fleet, seed: u64, time: Duration) -> Result<load::Options> {
    let addrs =
        fleet.names().iter().map(|name| fleet.front_for_callers(name)).collect::<Result<_>>()?;
    Ok(load::Options {
        seed,
        rate: CALLS_PER_S,
        time,
        limit: CALL_TIMEOUT + CALLER_SLACK,
        targets: vec![Target { prefix: "/".into(), addrs }],
        kinds: measure::mixed_call_kinds(&fleet.options().deployment)
            .into_iter()
            .filter_map(soak_kind)
            .collect(),
        ..load::Options::default()
    })
}

/// Returns `kind` with the soak's timeout and work time, or `None` if the upstream makes a call of
/// its own to serve it: the nested call's outcome isn't the caller's, and can't be checked here.
fn soak_kind(kind: CallKind) -> Option<CallKind> {
    let timeout_ms = Some(CALL_TIMEOUT.as_millis() as u64);
    let work_us = if kind.is_idempotent() { kind.work_us } else { Some(BOOKING_WORK_US) };
    kind.nested_paths.is_empty().then_some(CallKind { timeout_ms, work_us, ..kind })
}
