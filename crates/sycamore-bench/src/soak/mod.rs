//! Fault soak: real programs as processes, faults from outside drawn from a seed, and promises
//! checked while it runs from what callers and upstreams see.

mod play;
mod promises;
pub mod schedule;

pub use promises::{Breach, Promises};

use crate::fleet::{
    ConfigWatch, Deployment, Fleet, Options as FleetOptions, ServiceSpec, KEY_MEMORY,
};
use crate::load::{self, CallKind, Ended, Target};
use crate::measure::{self, print};
use crate::Result;
use bpaf::{construct, long, Parser};
use futures::future::{join, join_all, select, Either};
use play::Player;
use promises::PATIENCE;
use serde::Serialize;
use std::cell::Cell;
use std::collections::BTreeMap;
use std::pin::pin;
use std::time::{Duration, Instant};

/// Upstreams of each of the two services.
const UPSTREAMS: usize = 3;
/// Calls a second: far below what the upstreams can take, so that nothing is refused for load.
const RATE: f64 = 60.0;
/// Mean work of a booking, in microseconds: some are under way whenever something is disturbed.
const BOOKING_US: u64 = 200_000;
/// Time after which a caller leaves without an answer, beyond the time that it says it waits.
const GIVES_UP: Duration = Duration::from_secs(1);
/// Time between two checks of the promises.
const CHECK: Duration = Duration::from_secs(1);
/// Time after the last event in which everything must be as before, which the users allow.
const RECOVERY: Duration = Duration::from_secs(15);
/// Time of the load that shows it.
const AFTER: Duration = Duration::from_secs(3);

/// Options of the soak.
#[derive(Debug, Clone)]
pub struct Options {
    /// Seed of events and load.
    pub seed: u64,
    /// Seeds played one after the other, from [`Options::seed`] on.
    pub seeds: u64,
    /// Seconds in which events begin.
    pub seconds: u64,
}

/// The parser of its options.
pub fn parser() -> impl Parser<Options> {
    let seed = crate::cli::seed();
    let seeds = long("seeds").help("Seeds to play, from the first on").argument("N").fallback(1);
    let seconds = long("seconds").help("Seconds of events").argument("N").fallback(20);
    construct!(Options { seed, seeds, seconds })
}

/// What one seed brought.
#[derive(Debug, Serialize)]
pub struct Outcome {
    /// The seed.
    pub seed: u64,
    /// Events played.
    pub events: usize,
    /// Calls by how they ended.
    pub calls: BTreeMap<String, usize>,
    /// Broken promises with what was seen.
    pub breaches: Vec<Breach>,
    /// Folder with settings and logs, kept where a promise was broken.
    pub logs: String,
}

/// Plays all seeds and prints each outcome as a JSON line.
///
/// # Errors
/// Where a fleet can't be used, or a promise was broken.
pub async fn run(options: Options) -> Result<()> {
    let mut broken = Vec::new();
    for seed in options.seed..options.seed + options.seeds {
        let outcome = play(seed, Duration::from_secs(options.seconds)).await?;
        print(&outcome);
        if !outcome.breaches.is_empty() {
            broken.push(seed);
        }
    }
    match broken.is_empty() {
        true => Ok(()),
        false => Err(crate::BenchError::Unmet(format!("promises hold on seeds {broken:?}")).into()),
    }
}

/// Plays one seed.
///
/// # Errors
/// Where the fleet can't be used.
pub async fn play(seed: u64, time: Duration) -> Result<Outcome> {
    let fleet = Fleet::start(fleet_options(seed)).await?;
    // Until then no node can know of earlier runs, and keyed calls are answered as perhaps run.
    let doubt = KEY_MEMORY + sycamore_settings::calls::Calls::default().view_lag;
    if let Either::Right(_) = select(pin!(monoio::time::sleep(doubt)), pin!(fleet.tend())).await {
        unreachable!("a fleet is tended for ever");
    }
    let promises = Promises::default();
    let events = schedule::plan(seed, time, &fleet.names());
    let watch = ConfigWatch::default();
    let (changes, newest) = (Cell::new(0), Cell::new(0));
    let player = Player { fleet: &fleet, promises: &promises, changes: &changes, newest: &newest };
    let done = Cell::new(false);
    let story = async {
        let played = join_all(events.iter().map(|event| player.play(event))).await;
        done.set(true);
        played.into_iter().collect::<Result<Vec<()>>>()
    };
    let load = load_options(&fleet, seed, time * 4)?;
    let calls = load::run_watched(&load, || done.get(), |record| promises.seen(record));
    let checks = async {
        loop {
            monoio::time::sleep(CHECK).await;
            promises.check(&fleet.witness().so_far());
            promises.check_configs(&watch.violations());
        }
    };
    let care = join(join(fleet.tend(), watch.run(&fleet)), checks);
    let whole = async {
        let (_, told) = join(calls, story).await;
        told?;
        recover(&fleet, &promises, &watch, newest.get(), seed).await
    };
    if let Either::Left((ended, _)) = select(pin!(whole), pin!(care)).await {
        ended?;
    }
    promises.check(&fleet.witness().ledger().await);
    promises.check_configs(&watch.violations());
    let breaches = promises.breaches();
    let logs = fleet.dir().display().to_string();
    let outcome = Outcome { seed, events: events.len(), calls: promises.counts(), breaches, logs };
    match outcome.breaches.is_empty() {
        true => fleet.stop().await,
        false => fleet.stop_and_keep().await,
    }
    Ok(outcome)
}

/// Everything serves again in time, with the newest configuration everywhere.
async fn recover(
    fleet: &Fleet,
    promises: &Promises,
    watch: &ConfigWatch,
    newest: u64,
    seed: u64,
) -> Result<()> {
    let begun = Instant::now();
    let whole = async {
        fleet.wait_ready().await?;
        fleet.wait_members().await?;
        let everywhere = || async { watch.all_at(fleet, newest) };
        fleet.wait_for("the newest configuration everywhere", everywhere).await
    };
    if let Err(report) = whole.await {
        promises.broken("not as before", report.current_context().to_string());
    }
    eprintln!("whole after {:.1} s", begun.elapsed().as_secs_f64());
    for round in 1.. {
        let mut load = load_options(fleet, seed + round * 1_000_000, AFTER)?;
        // A service that was down as a whole can't tell repeats yet.
        load.kinds.retain(|kind| kind.key == load::KeyUse::None);
        let tally = load::run_watched(&load, || false, |record| promises.seen(record)).await;
        let bad: Vec<_> = tally.records().iter().filter(|r| r.ended != Ended::Ok).collect();
        if bad.is_empty() {
            break;
        }
        eprintln!("{} calls failed after {:.1} s", bad.len(), begun.elapsed().as_secs_f64());
        if begun.elapsed() > RECOVERY {
            for record in bad {
                promises.broken("call failed after all was over", format!("{record:?}"));
            }
            break;
        }
    }
    Ok(())
}

fn fleet_options(seed: u64) -> FleetOptions {
    let service = |name: &str| ServiceSpec { name: name.into(), upstreams: UPSTREAMS };
    let services = vec![service("counter"), service("intake")];
    FleetOptions {
        deployment: Deployment { services, ..Deployment::zlatna_klupa() },
        seed,
        ready_limit: RECOVERY,
        disturbed: true,
        ..FleetOptions::default()
    }
}

fn load_options(fleet: &Fleet, seed: u64, time: Duration) -> Result<load::Options> {
    let addrs =
        fleet.names().iter().map(|name| fleet.front_for_callers(name)).collect::<Result<_>>()?;
    Ok(load::Options {
        seed,
        rate: RATE,
        time,
        limit: PATIENCE + GIVES_UP,
        targets: vec![Target { prefix: "/".into(), addrs }],
        kinds: measure::mixed_call_kinds(&fleet.options().deployment)
            .into_iter()
            .filter_map(kind)
            .collect(),
        ..load::Options::default()
    })
}

/// A call onward has its own outcome, which is not the caller's: those are left out.
fn kind(kind: CallKind) -> Option<CallKind> {
    let timeout_ms = Some(PATIENCE.as_millis() as u64);
    let work_us = if kind.is_idempotent() { kind.work_us } else { Some(BOOKING_US) };
    kind.onward.is_empty().then_some(CallKind { timeout_ms, work_us, ..kind })
}
