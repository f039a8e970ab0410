//! Asks peers for differences between configurations in datagrams, and answers their requests.

use super::driver::Driver;
use super::fetch::random_peer;
use crate::peers::{DeltaBody, DeltaMessage, Deltas};
use crate::tasks::TaskGroup;
use slog::info;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use sycamore_config::{Delta, Input};
use sycamore_types::prelude::*;

/// Number of peers asked for a delta at once, since a datagram or a peer's version may be missing.
const PEERS_ASKED: usize = 3;
/// Random draws of a peer, which may repeat one.
const PEER_DRAWS: usize = 8;

/// Spawns the task that handles datagrams about deltas.
pub(super) fn start(driver: &Rc<Driver>, tasks: &TaskGroup) {
    let Some(deltas) = driver.peers.take_deltas() else { return };
    tasks.spawn_until_stop(handle_messages(driver.clone(), deltas));
}

/// Asks peers for the difference from the configuration with manifest hash `base`, which is in
/// force, to theirs.
pub(super) fn request(driver: &Driver, base: ContentHash) {
    let peers = choose_peers(driver);
    info!(driver.hub.log, "configuration delta requested"; "peers" => peers.len(),
        "in_force" => driver.hub.snapshot.borrow().version.0);
    driver.metrics.count_delta("requested");
    for to in peers {
        driver.peers.send_delta(to, DeltaBody::Request(base));
    }
}

/// Chooses the peer that told of the highest known head, and random ones.
fn choose_peers(driver: &Driver) -> BTreeSet<SocketAddr> {
    let highest = driver.with_state(|apply| apply.highest());
    let source = highest.and_then(|head| driver.hub.facts.head_source(&head));
    let mut peers: BTreeSet<SocketAddr> = source.into_iter().collect();
    for _ in 0..PEER_DRAWS {
        if peers.len() == PEERS_ASKED {
            break;
        }
        peers.extend(random_peer(driver));
    }
    peers
}

async fn handle_messages(driver: Rc<Driver>, mut deltas: Deltas) {
    while let Some(DeltaMessage { from, body }) = deltas.recv().await {
        match body {
            DeltaBody::Request(base) => answer(&driver, from, base),
            DeltaBody::Delta(encoded) => receive(&driver, &from, &encoded),
        }
    }
}

/// Answers the request of the member `from`, or holds it until this node has a newer configuration.
fn answer(driver: &Driver, from: InstanceId, base: ContentHash) {
    match driver.with_state(|apply| apply.delta_from(&base)) {
        Some(delta) => send(driver, &from, &delta),
        None => {
            driver.metrics.count_delta("held");
            driver.held_requests.borrow_mut().hold(driver.hub.clock.now(), from, base);
        }
    }
}

/// Answers the held requests for which the configuration in force has a delta.
pub(super) fn answer_held(driver: &Driver) {
    let now = driver.hub.clock.now();
    let answers = driver.with_state(|apply| {
        driver.held_requests.borrow_mut().take_answerable(now, |base| apply.delta_from(base))
    });
    for (from, delta) in answers {
        send(driver, &from, &delta);
    }
}

/// Sends `delta` to the member `to` if it fits into a datagram. It goes to the member's own address,
/// so that nobody can have it sent elsewhere.
fn send(driver: &Driver, to: &InstanceId, delta: &Delta) {
    let to = driver.hub.members.borrow().members.get(to).map(|member| member.endpoints.peer);
    match (to, delta.encode()) {
        (Some(to), Some(encoded)) => {
            driver.metrics.count_delta("sent");
            driver.peers.send_delta(to, DeltaBody::Delta(encoded));
        }
        _ => driver.metrics.count_delta("not-sent"),
    }
}

fn receive(driver: &Driver, from: &InstanceId, encoded: &[u8]) {
    let before = driver.hub.snapshot.borrow().version;
    let Some(delta) = Delta::decode(encoded) else {
        return driver.metrics.count_delta("malformed");
    };
    let version = delta.head.version;
    driver.input(Input::DeltaReceived(delta));
    if driver.hub.snapshot.borrow().version == before {
        // The answers of the other peers that were asked.
        return driver.metrics.count_delta("unused");
    }
    driver.metrics.count_delta("applied");
    info!(driver.hub.log, "configuration delta received"; "version" => version.0, "from" => %from,
        "bytes" => encoded.len());
}
