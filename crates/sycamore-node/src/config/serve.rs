//! Serves objects of configurations to peers.
//!
//! A call for objects that this node is about to get is held for a moment: nodes fetch from the peer
//! that told them of a head, so that a change runs down the tree of tellers without retries.

use super::driver::Driver;
use crate::tasks::TaskGroup;
use futures::StreamExt;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;
use sycamore_peer::limits::MAX_FETCH_BYTES;
use sycamore_peer::{Call, Objects};
use sycamore_types::prelude::*;

/// Longest time that a call is held.
const HOLD: Duration = Duration::from_millis(300);
/// Time between two looks at the calls held.
const LOOK: Duration = Duration::from_millis(50);
/// Calls held at once.
const MAX_HELD: usize = 64;

type FetchCall = Call<Vec<ContentHash>, Objects>;

/// Starts the task.
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
                Some(Some(call)) => take(&driver, call, &mut held),
                Some(None) => return,
                None => {}
            }
            answer_held(&driver, &mut held);
        }
    });
}

/// The next call, or `None` where the objects held have changed or some time has passed.
async fn next_or_change(
    driver: &Driver,
    calls: &mut crate::peers::FetchCalls,
) -> Option<Option<FetchCall>> {
    monoio::select! {
        call = calls.next() => Some(call),
        () = driver.gained.notified() => None,
        () = monoio::time::sleep(LOOK) => None,
    }
}

/// Answers `call`, or holds it where its first object is on its way.
fn take(driver: &Driver, call: FetchCall, held: &mut VecDeque<(Time, FetchCall)>) {
    let objects = objects(driver, &call.body);
    let wanted = call.body.iter().any(|hash| driver.read(|apply| apply.is_wanted(hash)));
    if objects.is_empty() && wanted && held.len() < MAX_HELD {
        held.push_back((driver.hub.clock.now() + HOLD, call));
    } else {
        answer(call, objects);
    }
}

fn answer_held(driver: &Driver, held: &mut VecDeque<(Time, FetchCall)>) {
    let now = driver.hub.clock.now();
    for _ in 0..held.len() {
        let Some((until, call)) = held.pop_front() else { return };
        let objects = objects(driver, &call.body);
        if objects.is_empty() && until > now {
            held.push_back((until, call));
        } else {
            answer(call, objects);
        }
    }
}

fn answer(call: FetchCall, objects: Objects) {
    // The caller may have given up; then nobody takes the answer.
    let _ = call.tx.send(objects);
}

/// Those of the objects that this node holds, as far as they fit into one answer.
fn objects(driver: &Driver, hashes: &[ContentHash]) -> Objects {
    let mut room = MAX_FETCH_BYTES;
    let mut objects = Objects::new();
    for hash in hashes {
        let Some(body) = driver.read(|apply| apply.object(hash).cloned()) else { continue };
        if body.len() > room {
            break;
        }
        room -= body.len();
        objects.push((*hash, body));
    }
    objects
}
