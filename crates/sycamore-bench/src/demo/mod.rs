//! The `demo` command: runs both deployments at their current sizes under mixed calls, changes the
//! configuration, and imports a sheet with a good move, which must be done, and a bad move, which
//! must be taken back.

mod moves;
mod print;

use crate::fleet::{
    self, guard, ConfigWatch, Deployment, Fleet, Options as FleetOptions, KEY_MEMORY,
    SHORT_VIEW_LAG,
};
use crate::load::{self, Tally};
use crate::measure::{caller_targets, mixed_call_kinds, Violations};
use crate::stand_in::upstream;
use crate::{BenchError, Result};
use error_stack::Report;
use futures::future::{join, select, try_join, Either};
use moves::{DemoMoves, Ending};
use std::cell::Cell;
use std::pin::pin;
use std::time::{Duration, Instant};

/// Options of the `demo` command.
#[derive(Debug, Clone)]
pub struct Options {
    /// Seed of all random choices.
    pub seed: u64,
    /// Keep the nodes' settings and logs after the run.
    pub keep: bool,
}

/// Longest time that the demonstration may run before its processes are killed.
const LIMIT: Duration = Duration::from_secs(100);
/// Rate of the mixed load on each deployment, in calls a second.
const RATE_PER_S: f64 = 400.0;
/// Longest time that the load runs; it ends earlier with the moves.
const LOAD_LIMIT: Duration = Duration::from_secs(80);
/// Longest time after the start of an upstream's drain in which requests may reach it, in
/// microseconds.
const DRAIN_ALLOWED_US: u64 = 3_000_000;
/// Longest time after a verdict in which requests may reach the bad version, in microseconds.
const VERDICT_ALLOWED_US: u64 = 1_000_000;

/// Runs the demonstration and prints its progress and results.
///
/// # Errors
/// The demonstration could not be carried out, a move ended otherwise than expected, or a guarantee
/// was violated.
pub async fn run(options: Options) -> Result<()> {
    let _limit = guard::limit_run(LIMIT);
    let start = Instant::now();
    let (zlatna_klupa, sutokatha) = try_join(
        Fleet::start(fleet_options(&options, Deployment::zlatna_klupa())),
        Fleet::start(fleet_options(&options, Deployment::sutokatha())),
    )
    .await?;
    print::started(&[&zlatna_klupa, &sutokatha], start.elapsed());
    // Until `key_memory` and `view_lag` have passed, nodes can't know of earlier runs and answer calls
    // with idempotency keys as perhaps run.
    monoio::time::sleep(KEY_MEMORY + SHORT_VIEW_LAG).await;
    let done = Cell::new(false);
    let watch = ConfigWatch::default();
    let run_moves = async {
        let result = moves::run(&zlatna_klupa, &watch).await;
        done.set(true);
        result
    };
    let (moves, (first, second)) = join(
        run_moves,
        join(
            run_supervised(
                &zlatna_klupa,
                Some(&watch),
                load_until(&zlatna_klupa, options.seed, &done),
            ),
            run_supervised(&sutokatha, None, load_until(&sutokatha, options.seed + 1, &done)),
        ),
    )
    .await;
    let (first, second) = (first?, second?);
    let moves = moves?;
    let mut violations = count_violations(&zlatna_klupa, &first, &watch).await;
    violations += count_violations(&sutokatha, &second, &ConfigWatch::default()).await;
    let ledger = zlatna_klupa.witness().ledger().await;
    violations.work_after_verdict += moves.runs_after_verdict(&ledger, VERDICT_ALLOWED_US);
    print::calls(&[(&zlatna_klupa, &first), (&sutokatha, &second)]);
    print::moves(&moves, &ledger);
    print::end(&violations, start.elapsed());
    join(zlatna_klupa.stop(), sutokatha.stop()).await;
    check_outcome(&moves, &violations)
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

/// Sends mixed calls to the nodes of `fleet` until `done` is set or [`LOAD_LIMIT`] has passed.
async fn load_until(fleet: &Fleet, seed: u64, done: &Cell<bool>) -> Result<Tally> {
    let load = load::Options {
        seed,
        rate: RATE_PER_S,
        time: LOAD_LIMIT,
        targets: caller_targets(fleet)?,
        kinds: mixed_call_kinds(&fleet.options().deployment),
        ..load::Options::default()
    };
    Ok(load::run_until(&load, || done.get()).await)
}

/// Runs `work` while `fleet` is supervised, and its configurations are checked by `watch` if given,
/// until `work` ends.
async fn run_supervised<T>(
    fleet: &Fleet,
    watch: Option<&ConfigWatch>,
    work: impl std::future::Future<Output = Result<T>>,
) -> Result<T> {
    let supervision = async {
        match watch {
            Some(watch) => {
                join(fleet.supervise(), watch.run(fleet)).await;
            }
            None => fleet.supervise().await,
        }
    };
    match select(pin!(work), pin!(supervision)).await {
        Either::Left((result, _)) => result,
        Either::Right(_) => Err(Report::new(BenchError::Unmet(
            "the fleet supervision ended before the demonstration did".into(),
        ))),
    }
}

/// Counts the violations that callers' answers, the upstreams' ledger and the configuration `watch`
/// show.
async fn count_violations(fleet: &Fleet, tally: &Tally, watch: &ConfigWatch) -> Violations {
    let ledger = fleet.witness().ledger().await;
    let mut violations = tally.violations(&ledger);
    violations += watch.violations();
    violations.work_after_drain += ledger.runs_after_drain(DRAIN_ALLOWED_US);
    violations
}

/// Fails unless the good move was done in time, the bad one taken back, and no guarantee violated.
fn check_outcome(moves: &DemoMoves, violations: &Violations) -> Result<()> {
    let unmet = |what: String| Err(Report::new(BenchError::Unmet(what)));
    match (moves.good.ending, moves.bad.ending) {
        (Ending::Done, Ending::TakenBack) if !moves.good.in_time() => {
            unmet("the good move was done after its deadline, expected before".into())
        }
        (Ending::Done, Ending::TakenBack) if violations.total() == 0 => Ok(()),
        (Ending::Done, Ending::TakenBack) => unmet(format!("guarantees violated: {violations:?}")),
        (good, bad) => unmet(format!(
            "the good move is {good}, expected done; the bad one is {bad}, expected taken back"
        )),
    }
}
