//! Detection of crashes of the local upstream and of the requests that were in flight.

use super::meta::first_bytes;
use super::pool;
use super::state::State;
use crate::hub::AnnouncedUpstream;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use sycamore_call::quarantine::Verdict;
use sycamore_types::prelude::*;

/// Reason in the answer to a call whose upstream crashed.
pub(super) const CRASH_REASON: &str = "crashed";
/// Time within which broken connections belong to the same crash.
const CRASH_WINDOW: Duration = Duration::from_millis(200);
/// Time to wait after a crash is detected, in which its other connections break as well.
const SETTLE_DELAY: Duration = Duration::from_millis(20);

/// Number of connection attempts that must succeed before the upstream counts as running.
const PROBE_COUNT: usize = 3;
/// Time between two connection attempts.
const PROBE_INTERVAL: Duration = Duration::from_millis(5);

/// Returns whether a request that was in flight at an earlier crash runs on the local upstream.
pub(super) fn is_suspect_running(state: &State) -> bool {
    let now = state.hub.clock.wall();
    let crashes = state.crashes.borrow();
    let running = state.running.borrow();
    running.values().any(|request| crashes.verdict(now, *request) == Verdict::Suspect)
}

/// Records that the connection to the upstream broke while `request` was running on it.
pub(super) fn record_broken_call(state: &State, request: Fingerprint) {
    let now = state.now();
    let mut broken_calls = state.broken_calls.borrow_mut();
    broken_calls.retain(|(at, _)| now.since(*at) < CRASH_WINDOW);
    broken_calls.push((now, request));
}

/// Probes the upstream and returns whether it crashed; the first call to detect a crash has
/// [`raise_facts_on_crash`] raise the crash's facts.
pub(super) async fn detect_crash(state: &Rc<State>, upstream: &AnnouncedUpstream) -> bool {
    let crashed = is_gone(upstream.address).await;
    if crashed && !state.crash_pending.replace(true) {
        state.crash_detected.notify_one();
    }
    crashed
}

/// Raises the facts of each detected crash, until the node stops.
pub(super) async fn raise_facts_on_crash(state: Rc<State>) {
    loop {
        state.crash_detected.notified().await;
        monoio::time::sleep(SETTLE_DELAY).await;
        raise_facts(&state);
        monoio::time::sleep(CRASH_WINDOW).await;
        state.crash_pending.set(false);
    }
}

/// Returns whether no connection to `address` can be opened. A process that ends closes its sockets
/// one after the other, so the first attempt may still succeed.
async fn is_gone(address: SocketAddr) -> bool {
    for _ in 0..PROBE_COUNT {
        match pool::open(address).await {
            Err(_) => return true,
            Ok(_) => monoio::time::sleep(PROBE_INTERVAL).await,
        }
    }
    false
}

fn raise_facts(state: &State) {
    let mut in_flight: Vec<Fingerprint> =
        state.broken_calls.borrow_mut().drain(..).map(|(_, request)| request).collect();
    in_flight.sort_unstable();
    in_flight.dedup();
    state.crash_count.set(state.crash_count.get() + 1);
    let crash = crash_id(state);
    let now = state.hub.clock.wall();
    let facts = state.crashes.borrow_mut().record_crash(now, crash, &in_flight);
    for fact in facts {
        state.hub.raise(fact);
    }
}

/// Returns an identifier for the last crash that is unique in the fleet: a hash of the instance,
/// its incarnation and the number of the crash.
fn crash_id(state: &State) -> u64 {
    let instance = &state.hub.settings.node.instance;
    let text = format!("{instance};{};{}", state.hub.incarnation.0, state.crash_count.get());
    first_bytes(&ContentHash::of(text.as_bytes()))
}
