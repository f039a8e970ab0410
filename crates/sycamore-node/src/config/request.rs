//! Keeps a request for the next configuration at a node that watches the operators' rows.

use super::driver::Driver;
use super::fetch::random_peer;
use super::role::local_watchers;
use crate::peers::DeltaBody;
use crate::tasks::TaskGroup;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use sycamore_config::watch::Ask;
use sycamore_config::Apply;
use sycamore_types::prelude::*;

/// Spawns the task that sends the requests.
pub(super) fn start(driver: &Rc<Driver>, tasks: &TaskGroup) {
    tasks.spawn_until_stop(run(driver.clone()));
}

async fn run(driver: Rc<Driver>) {
    loop {
        // What peers told of rejected versions may have expired.
        driver.record_versions();
        let now = driver.hub.clock.now();
        let ask = driver.watch.borrow_mut().take_request(now);
        if let Some(ask) = ask {
            send(&driver, ask);
        }
        let due = driver.watch.borrow().next_request();
        let woken = driver.request_due.notified();
        let _ = monoio::time::timeout(due.since(now), woken).await;
    }
}

fn send(driver: &Driver, ask: Ask) {
    let base = driver.with_state(Apply::delta_base);
    for to in receivers(driver, ask) {
        driver.metrics.count_delta("followed");
        let asked_at = driver.hub.clock.boot().0;
        driver.peers.send_delta(to, DeltaBody::Request { base, asked_at });
    }
}

/// Returns the peers to ask: one of the data centre's watchers, by this node's name, so that each
/// watcher has its part of the requests; or all of them and a random peer.
fn receivers(driver: &Driver, ask: Ask) -> BTreeSet<SocketAddr> {
    let own = &driver.hub.settings.node.instance;
    let mut watchers = local_watchers(&driver.hub);
    watchers.retain(|member| member.instance != *own);
    // The hash's first bytes decide who watches, its last one spreads the others over the watchers.
    let spread = ContentHash::of(own.as_str().as_bytes()).0.last().copied().unwrap_or_default();
    let first = watchers.get(usize::from(spread) % watchers.len().max(1));
    match (ask, first) {
        (Ask::Watcher, Some(first)) => BTreeSet::from([first.endpoints.peer]),
        _ => watchers.iter().map(|m| m.endpoints.peer).chain(random_peer(driver)).collect(),
    }
}
