//! Small fleet under load, on which a test runs its scenario.

use futures::future::{join, select, Either};
use std::pin::pin;
use std::sync::{Condvar, Mutex, PoisonError};
use std::time::Duration;
use sycamore_bench::fleet::{ConfigWatch, Deployment, Fleet, Options, ServiceSpec, KEY_MEMORY};
use sycamore_bench::load::{self, CallKind, Tally, Target};
use sycamore_bench::measure::{mixed_call_kinds, Violations};
use sycamore_bench::witness::Ledger;
use sycamore_bench::{http, Result};

/// Most fleets that run at the same time.
const MAX_FLEETS: usize = 3;

/// Number of running fleets.
static RUNNING: Mutex<usize> = Mutex::new(0);
/// Signals that a fleet has ended.
static FREED: Condvar = Condvar::new();

/// Longest time that one test may run before its processes are killed.
const LIMIT: Duration = Duration::from_secs(600);

/// Default of `[calls] view_lag`: time for which the membership views of two nodes may differ.
const VIEW_LAG: Duration = Duration::from_secs(10);

/// Mean time that a booking takes the upstream, in microseconds.
const BOOKING_US: u64 = 800_000;

/// Permit to run a fleet, returned when dropped.
pub struct FleetPermit;

/// Blocks until fewer than [`MAX_FLEETS`] fleets run.
pub fn fleet_permit() -> FleetPermit {
    let running = RUNNING.lock().unwrap_or_else(PoisonError::into_inner);
    let full = |running: &mut usize| *running >= MAX_FLEETS;
    let mut running = FREED.wait_while(running, full).unwrap_or_else(PoisonError::into_inner);
    *running += 1;
    FleetPermit
}

impl Drop for FleetPermit {
    fn drop(&mut self) {
        *RUNNING.lock().unwrap_or_else(PoisonError::into_inner) -= 1;
        FREED.notify_one();
    }
}

/// Returns the options of a fleet with two services of three upstreams each.
pub fn small_fleet() -> Options {
    let service = |name: &str| ServiceSpec { name: name.into(), upstreams: 3 };
    let services = vec![service("counter"), service("intake")];
    Options {
        deployment: Deployment { services, ..Deployment::zlatna_klupa() },
        ready_limit: Duration::from_secs(120),
        ..Options::default()
    }
}

/// Result of a scenario under load.
pub struct Outcome {
    /// Answers that callers got.
    pub tally: Tally,
    /// Requests that ran on upstreams.
    pub ledger: Ledger,
    /// Counts of violated guarantees.
    pub violations: Violations,
}

/// Runs `scenario` on a small fleet under mixed calls to the nodes `callers_at`, or to all nodes if
/// `callers_at` is empty. The load ends with the scenario.
pub fn run_under_load(
    seed: u64,
    callers_at: &[&str],
    scenario: impl AsyncFnOnce(&Fleet) -> Result<()>,
) -> Outcome {
    let _permit = fleet_permit();
    let _limit = sycamore_bench::fleet::guard::limit_run(LIMIT);
    http::run(async {
        let fleet =
            Fleet::start(Options { seed, ..small_fleet() }).await.expect("the fleet starts");
        // Until these times have passed, nodes can't know of earlier runs and answer calls with
        // idempotency keys as perhaps run.
        sleep(KEY_MEMORY + VIEW_LAG).await;
        run_with_load(&fleet, seed, callers_at, scenario).await
    })
}

async fn run_with_load(
    fleet: &Fleet,
    seed: u64,
    callers_at: &[&str],
    scenario: impl AsyncFnOnce(&Fleet) -> Result<()>,
) -> Outcome {
    let done = std::cell::Cell::new(false);
    let watch = ConfigWatch::default();
    let load = load::Options {
        seed,
        rate: 60.0,
        time: Duration::from_secs(120),
        targets: targets(fleet, callers_at),
        kinds: slow_bookings(without_nested_calls(mixed_call_kinds(&fleet.options().deployment))),
        ..load::Options::default()
    };
    let scenario = async {
        let result = scenario(fleet).await;
        done.set(true);
        result
    };
    let work = join(load::run_until(&load, || done.get()), scenario);
    let supervision = join(fleet.supervise(), watch.run(fleet));
    let (tally, result) = match select(pin!(work), pin!(supervision)).await {
        Either::Left((both, _)) => both,
        Either::Right(_) => unreachable!("Fleet::supervise never returns"),
    };
    result.expect("the scenario succeeds");
    let ledger = fleet.witness().ledger().await;
    let mut violations = tally.violations(&ledger);
    violations += watch.violations();
    println!("{tally}\n{violations:?}");
    Outcome { tally, ledger, violations }
}

fn targets(fleet: &Fleet, callers_at: &[&str]) -> Vec<Target> {
    let names: Vec<String> = match callers_at {
        [] => fleet.running(),
        some => some.iter().map(|name| (*name).to_owned()).collect(),
    };
    let addrs = names.iter().map(|name| fleet.addrs(name).expect("an instance").caller);
    vec![Target { prefix: "/".into(), addrs: addrs.collect() }]
}

/// Removes the kinds whose calls call another service: the outcome of such a call is not the
/// caller's, which these tests check.
fn without_nested_calls(kinds: Vec<CallKind>) -> Vec<CallKind> {
    kinds.into_iter().filter(|kind| kind.nested_paths.is_empty()).collect()
}

/// Makes bookings slow, so that some are in flight whenever a process is disturbed.
fn slow_bookings(kinds: Vec<CallKind>) -> Vec<CallKind> {
    let slow = |kind: CallKind| match kind.is_idempotent() {
        true => kind,
        false => CallKind { work_us: Some(BOOKING_US), ..kind },
    };
    kinds.into_iter().map(slow).collect()
}

/// Waits for `time` while the load goes on.
pub async fn sleep(time: Duration) {
    monoio::time::sleep(time).await;
}
