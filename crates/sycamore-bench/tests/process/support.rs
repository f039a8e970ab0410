//! A small fleet with load beside a story.

use futures::future::{join, select, Either};
use std::pin::pin;
use std::sync::{Condvar, Mutex, PoisonError};
use std::time::Duration;
use sycamore_bench::fleet::{ConfigWatch, Deployment, Fleet, Options, ServiceSpec, KEY_MEMORY};
use sycamore_bench::load::{self, CallKind, Tally, Target};
use sycamore_bench::measure::{mixed_call_kinds, Violations};
use sycamore_bench::witness::Ledger;
use sycamore_bench::{http, Result};

/// Fleets that run at the same time.
const FLEETS: usize = 3;

static RUNNING: Mutex<usize> = Mutex::new(0);
static FREED: Condvar = Condvar::new();

/// Longest time that one test may take before its processes are ended.
const LIMIT: Duration = Duration::from_secs(600);

/// Time for which views of two nodes may differ, as nodes assume by default.
const VIEW_LAG: Duration = Duration::from_secs(10);

/// Mean work of a booking, in microseconds.
const BOOKING_US: u64 = 800_000;

/// Leave to run a fleet, given back when dropped.
pub struct Turn;

/// Waits for leave to run a fleet.
pub fn turn() -> Turn {
    let running = RUNNING.lock().unwrap_or_else(PoisonError::into_inner);
    let full = |running: &mut usize| *running >= FLEETS;
    let mut running = FREED.wait_while(running, full).unwrap_or_else(PoisonError::into_inner);
    *running += 1;
    Turn
}

impl Drop for Turn {
    fn drop(&mut self) {
        *RUNNING.lock().unwrap_or_else(PoisonError::into_inner) -= 1;
        FREED.notify_one();
    }
}

/// Two services with three upstreams each.
pub fn small() -> Options {
    let service = |name: &str| ServiceSpec { name: name.into(), upstreams: 3 };
    let services = vec![service("counter"), service("intake")];
    Options {
        deployment: Deployment { services, ..Deployment::zlatna_klupa() },
        ready_limit: Duration::from_secs(120),
        ..Options::default()
    }
}

/// What a story under load brought.
pub struct Outcome {
    /// What callers saw.
    pub tally: Tally,
    /// What ran.
    pub ledger: Ledger,
    /// Broken promises.
    pub violations: Violations,
}

/// Plays `story` on a small fleet while calls arrive; load ends with the story.
pub fn play(
    seed: u64,
    callers_at: &[&str],
    story: impl AsyncFnOnce(&Fleet) -> Result<()>,
) -> Outcome {
    let _turn = turn();
    let _limit = sycamore_bench::fleet::guard::limit_run(LIMIT);
    http::run(async {
        let fleet = Fleet::start(Options { seed, ..small() }).await.expect("the fleet starts");
        // Until then no node can know of earlier runs, and keyed calls are answered as perhaps run.
        pass(KEY_MEMORY + VIEW_LAG).await;
        load_beside(&fleet, seed, callers_at, story).await
    })
}

async fn load_beside(
    fleet: &Fleet,
    seed: u64,
    callers_at: &[&str],
    story: impl AsyncFnOnce(&Fleet) -> Result<()>,
) -> Outcome {
    let done = std::cell::Cell::new(false);
    let watch = ConfigWatch::default();
    let load = load::Options {
        seed,
        rate: 60.0,
        time: Duration::from_secs(120),
        targets: targets(fleet, callers_at),
        kinds: slow_bookings(without_chains(mixed_call_kinds(&fleet.options().deployment))),
        ..load::Options::default()
    };
    let story = async {
        let told = story(fleet).await;
        done.set(true);
        told
    };
    let work = join(load::run_until(&load, || done.get()), story);
    let care = join(fleet.tend(), watch.run(fleet));
    let (tally, told) = match select(pin!(work), pin!(care)).await {
        Either::Left((both, _)) => both,
        Either::Right(_) => unreachable!("a fleet is tended for ever"),
    };
    told.expect("the story can be told");
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

/// A call onward has its own outcome, which is not the caller's; these tests judge the caller's.
fn without_chains(kinds: Vec<CallKind>) -> Vec<CallKind> {
    kinds.into_iter().filter(|kind| kind.onward.is_empty()).collect()
}

/// Bookings take long, so that some are in flight whenever a process is disturbed.
fn slow_bookings(kinds: Vec<CallKind>) -> Vec<CallKind> {
    let slow = |kind: CallKind| match kind.is_idempotent() {
        true => kind,
        false => CallKind { work_us: Some(BOOKING_US), ..kind },
    };
    kinds.into_iter().map(slow).collect()
}

/// Lets load pass for a while.
pub async fn pass(time: Duration) {
    monoio::time::sleep(time).await;
}
