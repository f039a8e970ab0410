//! Serves objects of configurations to peers.

use super::driver::Driver;
use crate::tasks::TaskGroup;
use std::rc::Rc;
use sycamore_peer::limits::MAX_FETCH_BYTES;
use sycamore_peer::Objects;
use sycamore_types::prelude::*;

/// Starts the task.
pub(super) fn start(driver: &Rc<Driver>, tasks: &TaskGroup) {
    let Some(mut calls) = driver.peers.take_fetch() else { return };
    let driver = driver.clone();
    tasks.spawn_until_stop(async move {
        use futures::StreamExt;
        while let Some(call) = calls.next().await {
            // The caller may have given up; then nobody takes the answer.
            let _ = call.tx.send(held(&driver, &call.body));
        }
    });
}

/// Those of the objects that this node holds, as far as they fit into one answer.
fn held(driver: &Driver, hashes: &[ContentHash]) -> Objects {
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
