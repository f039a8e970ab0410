//! Recognising that the upstream crashed, and which requests were in flight.

use super::pool;
use super::state::State;
use crate::hub::AnnouncedUpstream;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use sycamore_call::quarantine::Verdict;
use sycamore_types::prelude::*;

/// Reason given with the answer to a call whose upstream crashed.
pub(super) const REASON: &str = "crashed";
/// Time within which the connections of one crash break.
const CRASH_SPAN: Duration = Duration::from_millis(200);
/// Time given to the other connections of a crash to break as well.
const SETTLE_TIME: Duration = Duration::from_millis(20);

/// Looks at whether the upstream is gone.
const PROBES: usize = 3;
/// Time between two of them.
const PROBE_INTERVAL: Duration = Duration::from_millis(5);

/// Whether a request that was in flight at an earlier crash runs here.
pub(super) fn runs_suspect(state: &State) -> bool {
    let now = state.hub.clock.wall();
    let crashes = state.crashes.borrow();
    let running = state.running.borrow();
    running.values().any(|request| crashes.verdict(now, *request) == Verdict::Suspect)
}

/// Remembers that the connection of `request` broke.
pub(super) fn note_broken(state: &State, request: Fingerprint) {
    let now = state.now();
    let mut broken = state.broken.borrow_mut();
    broken.retain(|(at, _)| now.since(*at) < CRASH_SPAN);
    broken.push((now, request));
}

/// Finds out whether the upstream is gone, and gives that; the first call of a crash that asks
/// has [`follow`] raise the crash's facts.
pub(super) async fn check(state: &Rc<State>, upstream: &AnnouncedUpstream) -> bool {
    let crashed = is_gone(upstream.address).await;
    if crashed && !state.crash_check.replace(true) {
        state.crashed.notify_one();
    }
    crashed
}

/// Raises the facts of each crash, for as long as the node runs.
pub(super) async fn follow(state: Rc<State>) {
    loop {
        state.crashed.notified().await;
        monoio::time::sleep(SETTLE_TIME).await;
        raise(&state);
        monoio::time::sleep(CRASH_SPAN).await;
        state.crash_check.set(false);
    }
}

/// A process that ends closes its sockets one after the other, so that one look may be too early.
async fn is_gone(address: SocketAddr) -> bool {
    for _ in 0..PROBES {
        match pool::open(address).await {
            Err(_) => return true,
            Ok(_) => monoio::time::sleep(PROBE_INTERVAL).await,
        }
    }
    false
}

fn raise(state: &State) {
    let mut in_flight: Vec<Fingerprint> =
        state.broken.borrow_mut().drain(..).map(|(_, request)| request).collect();
    in_flight.sort_unstable();
    in_flight.dedup();
    state.crash_count.set(state.crash_count.get() + 1);
    let crash = crash_id(state);
    let now = state.hub.clock.wall();
    let facts = state.crashes.borrow_mut().crashed(now, crash, &in_flight);
    for fact in facts {
        state.hub.raise(fact);
    }
}

/// Tells crashes apart across the fleet.
fn crash_id(state: &State) -> u64 {
    let instance = &state.hub.settings.node.instance;
    let text = format!("{instance};{};{}", state.hub.incarnation.0, state.crash_count.get());
    let hash = ContentHash::of(text.as_bytes());
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&hash.0[..8]);
    u64::from_be_bytes(bytes)
}
