//! Serves configuration objects to peers.
//!
//! A request for objects that this node is still fetching is held for up to [`MAX_HOLD`]: nodes
//! fetch from the peer from which they learnt a head, so a change travels down that tree without
//! retries.

use super::delta::encode;
use super::driver::Driver;
use crate::tasks::TaskGroup;
use futures::StreamExt;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;
use sycamore_config::delta::MAX_FETCHED_DELTA;
use sycamore_config::manifest::MAX_MANIFEST_BYTES;
use sycamore_peer::limits::MAX_FETCH_BYTES;
use sycamore_peer::{Call, FetchRequest, Fetched, Objects};
use sycamore_types::prelude::*;

/// Longest time for which a peer's fetch request is held until this node has a wanted object.
const MAX_HOLD: Duration = Duration::from_millis(300);
/// Time between two checks of the held fetch requests.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum number of held fetch requests; further ones are answered at once.
const MAX_HELD: usize = 64;

// A reply holds a whole delta, or else at least the manifest.
const _: () =
    assert!(MAX_FETCHED_DELTA <= MAX_FETCH_BYTES && MAX_MANIFEST_BYTES <= MAX_FETCH_BYTES);

type FetchCall = Call<FetchRequest, Fetched>;

/// Spawns the task that answers peers' fetch requests.
pub(super) fn start(driver: &Rc<Driver>, tasks: &TaskGroup) {
    let Some(mut calls) = driver.peers.take_fetch() else { return };
    let driver = driver.clone();
    tasks.spawn_until_stop(async move {
        let mut held = VecDeque::new();
        loop {
            let next = match held.is_empty() {
                true => Some(calls.next().await),
                false => next_or_change(&driver, &mut calls).await,
            };
            match next {
                Some(Some(call)) => answer_or_hold(&driver, call, &mut held),
                Some(None) => return,
                None => {}
            }
            answer_held(&driver, &mut held);
        }
    });
}

/// Waits for the next request; gives `None` if this node's objects changed or [`CHECK_INTERVAL`]
/// passed first. The inner `None` means that the queue of requests is closed.
async fn next_or_change(
    driver: &Driver,
    calls: &mut crate::peers::FetchCalls,
) -> Option<Option<FetchCall>> {
    monoio::select! {
        call = calls.next() => Some(call),
        () = driver.objects_changed.notified() => None,
        () = monoio::time::sleep(CHECK_INTERVAL) => None,
    }
}

/// Answers `call`, or holds it if this node has none of its objects yet and is fetching one.
fn answer_or_hold(driver: &Driver, call: FetchCall, held: &mut VecDeque<(Time, FetchCall)>) {
    match reply(driver, &call.body) {
        None if held.len() < MAX_HELD => {
            held.push_back((driver.hub.clock.now() + MAX_HOLD, call));
        }
        reply => {
            let reply = reply.unwrap_or_else(|| held_objects(driver, &call.body));
            answer(call, reply);
        }
    }
}

fn answer_held(driver: &Driver, held: &mut VecDeque<(Time, FetchCall)>) {
    let now = driver.hub.clock.now();
    for _ in 0..held.len() {
        let Some((until, call)) = held.pop_front() else { return };
        match reply(driver, &call.body) {
            None if until > now => held.push_back((until, call)),
            reply => {
                let reply = reply.unwrap_or_else(|| held_objects(driver, &call.body));
                answer(call, reply);
            }
        }
    }
}

fn answer(call: FetchCall, reply: Fetched) {
    // The send fails if the caller has given up, which is harmless.
    let _ = call.tx.send(reply);
}

/// Returns a delta if the request asks for the manifest in force and names a base that one starts
/// from, else the objects; `None` if this node is still fetching what the request is for.
fn reply(driver: &Driver, req: &FetchRequest) -> Option<Fetched> {
    let in_force = driver.with_state(|apply| apply.head()).map(|head| head.manifest);
    let asks_for_it = in_force.is_some_and(|manifest| req.hashes.contains(&manifest));
    let delta = req.base.filter(|_| asks_for_it).and_then(|base| {
        let delta = driver.with_state(|apply| apply.delta_from(&base))?;
        encode(driver, &delta)
    });
    if let Some(encoded) = delta {
        return Some(Fetched::Delta(encoded));
    }
    let is_fetched = |hash| driver.with_state(|apply| apply.is_fetching(hash));
    // A delta will be smaller than the objects, and take one round trip.
    if req.base.is_some() && req.hashes.iter().any(is_fetched) {
        return None;
    }
    let found = held_objects(driver, req);
    let is_wanted = |hash| driver.with_state(|apply| apply.is_wanted(hash));
    let is_empty = matches!(&found, Fetched::Objects(objects) if objects.is_empty());
    (!is_empty || !req.hashes.iter().any(is_wanted)).then_some(found)
}

/// Returns the requested objects that this node has.
fn held_objects(driver: &Driver, req: &FetchRequest) -> Fetched {
    Fetched::Objects(objects(driver, &req.hashes))
}

/// Collects the requested objects that this node has, up to [`MAX_FETCH_BYTES`].
fn objects(driver: &Driver, hashes: &[ContentHash]) -> Objects {
    let mut room = MAX_FETCH_BYTES;
    let mut objects = Objects::new();
    for hash in hashes {
        let Some(body) = driver.with_state(|apply| apply.object(hash).cloned()) else { continue };
        if body.len() > room {
            break;
        }
        room -= body.len();
        objects.push((*hash, body));
    }
    objects
}
