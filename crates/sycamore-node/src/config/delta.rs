//! Asks peers for differences between configurations in datagrams, and answers their requests.

use super::driver::Driver;
use super::fetch::random_peer;
use crate::peers::{DeltaBody, DeltaMessage, Deltas};
use crate::tasks::TaskGroup;
use bytes::Bytes;
use slog::info;
use std::collections::{BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use sycamore_config::delta::{MAX_DATAGRAM_DELTA, MAX_FETCHED_DELTA};
use sycamore_config::{Apply, Delta, Input};
use sycamore_member::message::ProofAge;
use sycamore_platform::Revision;
use sycamore_types::prelude::*;

/// Number of peers asked for a delta at once, since a datagram or a peer's version may be missing.
const PEERS_ASKED: usize = 3;
/// Random draws of a peer, which may repeat one.
const PEER_DRAWS: usize = 8;
/// Shortest time for which a request is held; its sender has asked again by then.
const MIN_HOLD_TIME: Duration = Duration::from_secs(2);
/// Number of encoded deltas kept: from the versions that peers have in force during a change.
const CACHED_DELTAS: usize = 8;

/// Latest encoded deltas to the configuration in force. Most peers ask from the same base.
#[derive(Default)]
pub(super) struct DeltaCache {
    /// Base and head of each delta with its encoding, oldest first; `None` if it is too large. All
    /// have the head of the latest, as deltas to an earlier one are no longer asked for.
    encoded: VecDeque<(ContentHash, ConfigHead, Option<Bytes>)>,
}

impl DeltaCache {
    fn encode(&mut self, delta: &Delta) -> Option<Bytes> {
        let is_it =
            |base: &ContentHash, head: &ConfigHead| *base == delta.base && *head == delta.head;
        if let Some((_, _, found)) = self.encoded.iter().find(|(base, head, _)| is_it(base, head)) {
            return found.clone();
        }
        let encoded = delta.encode(MAX_FETCHED_DELTA).map(Bytes::from);
        self.encoded.retain(|(_, head, _)| *head == delta.head);
        if self.encoded.len() == CACHED_DELTAS {
            self.encoded.pop_front();
        }
        self.encoded.push_back((delta.base, delta.head, encoded.clone()));
        encoded
    }
}

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
        driver.peers.send_delta(to, DeltaBody::Request { base, asked_at: 0 });
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
    while let Some(DeltaMessage { from, source, body }) = deltas.recv().await {
        match body {
            DeltaBody::Request { base, asked_at } => answer(&driver, from, source, base, asked_at),
            DeltaBody::Delta(encoded) => receive(&driver, &from, &encoded),
            DeltaBody::Current { head, revision, age, rejected, proof } => {
                driver.record_peer_rejected(&from, rejected);
                record_proof(&driver, head, proof);
                driver.handle_current(source, head, Revision(revision), age);
            }
        }
    }
}

/// Answers the request of the instance `from` with a delta. Without one that fits into a datagram,
/// tells it what this node has in force, and holds the request until there is a newer
/// configuration.
fn answer(driver: &Driver, from: InstanceId, source: SocketAddr, base: ContentHash, asked_at: u64) {
    let delta = driver.with_state(|apply| apply.delta_from(&base));
    if delta.is_some_and(|delta| send(driver, &from, &delta)) {
        return;
    }
    driver.metrics.count_delta("held");
    let now = driver.hub.clock.now();
    let until = now + MIN_HOLD_TIME.max(driver.hub.settings.config.max_age());
    driver.held_requests.borrow_mut().hold(now, until, from, base);
    send_current(driver, source, asked_at);
}

/// Answers the held requests for which the configuration in force has a delta.
pub(super) fn answer_held(driver: &Driver) {
    let now = driver.hub.clock.now();
    let answers = driver.with_state(|apply| {
        driver.held_requests.borrow_mut().take_answerable(now, |base| apply.delta_from(base))
    });
    for (from, delta) in answers {
        if !send(driver, &from, &delta) {
            if let Some(to) = address(driver, &from) {
                send_current(driver, to, 0);
            }
        }
    }
}

/// Returns the peer address of the member `instance`; `None` if it is unknown.
fn address(driver: &Driver, instance: &InstanceId) -> Option<SocketAddr> {
    driver.hub.members.borrow().members.get(instance).map(|member| member.endpoints.peer)
}

/// Sends `delta` to the member `to` if it fits into a datagram; returns whether it did. It goes to
/// the member's own address, so that nobody can have it sent elsewhere.
fn send(driver: &Driver, to: &InstanceId, delta: &Delta) -> bool {
    let encoded = encode(driver, delta).filter(|encoded| encoded.len() <= MAX_DATAGRAM_DELTA);
    let (Some(to), Some(encoded)) = (address(driver, to), encoded) else {
        driver.metrics.count_delta("not-sent");
        return false;
    };
    driver.metrics.count_delta("sent");
    driver.peers.send_delta(to, DeltaBody::Delta(encoded.to_vec()));
    true
}

/// Encodes `delta`; `None` if it is too large for a peer's fetch.
pub(super) fn encode(driver: &Driver, delta: &Delta) -> Option<Bytes> {
    driver.encoded_deltas.borrow_mut().encode(delta)
}

/// Tells the peer at `to` what this node has in force, what it rejected, and how old its knowledge
/// is. It is hardly longer than a request, so that the address needs no check.
fn send_current(driver: &Driver, to: SocketAddr, asked_at: u64) {
    let Some(age) = driver.knowledge_age() else { return };
    let revision = driver.complete_at.get().map_or(Revision::ABSENT, |(_, at)| at).0;
    let head = driver.with_state(Apply::head);
    let in_force = head.map_or_else(ConfigVersion::default, |head| head.version);
    let rejected = driver.hub.newer_versions.borrow().rejected_row_above(in_force);
    driver.metrics.count_delta("current");
    let proof = driver.hub.proof_age().map(|age| ProofAge { asked_at, age });
    let proof = proof.filter(|_| asked_at > 0);
    driver.peers.send_delta(to, DeltaBody::Current { head, revision, age, rejected, proof });
}

/// Takes over the proof of a peer that has `head` in force. Its age is counted from when this node
/// asked for it, since the time of the answer on its way is unknown.
fn record_proof(driver: &Driver, head: Option<ConfigHead>, proof: Option<ProofAge>) {
    let (Some(head), Some(ProofAge { asked_at, age })) = (head, proof) else { return };
    let now = driver.hub.clock.boot();
    let age_us = u64::try_from(age.as_micros()).unwrap_or(u64::MAX);
    let at = Time(asked_at.saturating_sub(age_us));
    // A number that this node didn't send, as of its machine's earlier start, may lie ahead.
    if Time(asked_at) <= now {
        driver.hub.record_proof(head.version, at);
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
