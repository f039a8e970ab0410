//! The demonstration: both deployments at today's sizes with mixed calls, a change of the
//! configuration, and a sheet with a good and a bad move, which must end done and taken back.

mod moves;
mod print;

use crate::fleet::{
    self, guard, ConfigWatch, Deployment, Fleet, Options as FleetOptions, KEY_MEMORY,
    SHORT_VIEW_LAG,
};
use crate::load::{self, Tally};
use crate::measure::{callers_of, kinds, Violations};
use crate::stand_in::upstream;
use crate::{BenchError, Result};
use error_stack::Report;
use futures::future::{join, select, try_join, Either};
use moves::{Ending, Morning};
use std::cell::Cell;
use std::pin::pin;
use std::time::{Duration, Instant};

/// Options of the demonstration.
#[derive(Debug, Clone)]
pub struct Options {
    /// Seed of everything that is drawn.
    pub seed: u64,
    /// Settings and logs are kept.
    pub keep: bool,
}

/// Longest time that the demonstration may take before it is ended.
const LIMIT: Duration = Duration::from_secs(100);
/// Calls a second to each deployment.
const RATE: f64 = 400.0;
/// Time that load may run at most.
const LOAD_TIME: Duration = Duration::from_secs(80);
/// Time that work may still reach an upstream that leaves, in microseconds.
const DRAIN_ALLOWED_US: u64 = 3_000_000;
/// Time that work may still reach a version found bad, in microseconds.
const VERDICT_ALLOWED_US: u64 = 1_000_000;

/// Runs it.
///
/// # Errors
/// Where it could not be carried out, or did not end as it must.
pub async fn run(options: Options) -> Result<()> {
    let _limit = guard::limit_run(LIMIT);
    let start = Instant::now();
    let (zlatna_klupa, sutokatha) = try_join(
        Fleet::start(fleet_options(&options, Deployment::zlatna_klupa())),
        Fleet::start(fleet_options(&options, Deployment::sutokatha())),
    )
    .await?;
    print::started(&[&zlatna_klupa, &sutokatha], start.elapsed());
    monoio::time::sleep(KEY_MEMORY + SHORT_VIEW_LAG).await;
    let done = Cell::new(false);
    let watch = ConfigWatch::default();
    let morning = async {
        let ended = moves::run(&zlatna_klupa, &watch).await;
        done.set(true);
        ended
    };
    let (ended, (first, second)) = join(
        morning,
        join(
            beside(&zlatna_klupa, Some(&watch), load_until(&zlatna_klupa, options.seed, &done)),
            beside(&sutokatha, None, load_until(&sutokatha, options.seed + 1, &done)),
        ),
    )
    .await;
    let (first, second) = (first?, second?);
    let morning = ended?;
    let mut violations = checked(&zlatna_klupa, &first, &watch).await;
    violations += checked(&sutokatha, &second, &ConfigWatch::default()).await;
    let ledger = zlatna_klupa.witness().ledger().await;
    violations.work_after_verdict += morning.runs_after_verdict(&ledger, VERDICT_ALLOWED_US);
    print::calls(&[(&zlatna_klupa, &first), (&sutokatha, &second)]);
    print::moves(&morning, &ledger);
    print::end(&violations, start.elapsed());
    join(zlatna_klupa.stop(), sutokatha.stop()).await;
    verdict(&morning, &violations)
}

fn fleet_options(options: &Options, deployment: Deployment) -> FleetOptions {
    FleetOptions {
        deployment,
        seed: options.seed,
        keep: options.keep,
        settings: vec![fleet::short_view_lag()],
        upstream: upstream::Options {
            work: Duration::from_millis(6),
            cold: Duration::from_millis(500),
            ..upstream::Options::default()
        },
        ..FleetOptions::default()
    }
}

/// Mixed calls to `fleet` until `done`.
async fn load_until(fleet: &Fleet, seed: u64, done: &Cell<bool>) -> Result<Tally> {
    let load = load::Options {
        seed,
        rate: RATE,
        time: LOAD_TIME,
        targets: callers_of(fleet)?,
        kinds: kinds(&fleet.options().deployment),
        ..load::Options::default()
    };
    Ok(load::run_until(&load, || done.get()).await)
}

/// Runs `work` while the fleet is tended and watched.
async fn beside<T>(
    fleet: &Fleet,
    watch: Option<&ConfigWatch>,
    work: impl std::future::Future<Output = Result<T>>,
) -> Result<T> {
    let tend = async {
        match watch {
            Some(watch) => {
                join(fleet.tend(), watch.run(fleet)).await;
            }
            None => fleet.tend().await,
        }
    };
    match select(pin!(work), pin!(tend)).await {
        Either::Left((result, _)) => result,
        Either::Right(_) => Err(Report::new(BenchError::Unmet("the fleet's care ended".into()))),
    }
}

async fn checked(fleet: &Fleet, tally: &Tally, watch: &ConfigWatch) -> Violations {
    let ledger = fleet.witness().ledger().await;
    let mut violations = tally.violations(&ledger);
    violations += watch.violations();
    violations.work_after_drain += ledger.runs_after_drain(DRAIN_ALLOWED_US);
    violations
}

fn verdict(morning: &Morning, violations: &Violations) -> Result<()> {
    let unmet = |what: String| Err(Report::new(BenchError::Unmet(what)));
    match (morning.good.ending, morning.bad.ending) {
        (Ending::Done, Ending::TakenBack) if !morning.good.in_time() => {
            unmet("the good move was done after its deadline".into())
        }
        (Ending::Done, Ending::TakenBack) if violations.total() == 0 => Ok(()),
        (Ending::Done, Ending::TakenBack) => unmet(format!("promises broken: {violations:?}")),
        (good, bad) => unmet(format!("the good move is {good}, the bad one {bad}")),
    }
}
