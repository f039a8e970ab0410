//! Waiting for a slot of the upstream, and giving it back.

use super::state::State;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use sycamore_call::admit::{Input, RunEnd};
use sycamore_call::{Arrival, Decision};
use sycamore_types::prelude::*;
use tokio::sync::oneshot;

/// A refusal by admission: why, and when to come back.
pub(super) type Refused = (RefusalReason, Duration);

/// Calls that wait for a decision.
#[derive(Default)]
pub(super) struct Waiters(RefCell<HashMap<u64, oneshot::Sender<Result<(), Refused>>>>);

/// A slot of the upstream; given back when dropped.
pub(super) struct Slot {
    state: Rc<State>,
    id: u64,
    end: RunEnd,
}

impl Slot {
    /// Sets how the call that holds the slot ended.
    pub(super) fn ended(&mut self, end: RunEnd) {
        self.end = end;
    }

    /// Distinguishes the calls of this node.
    pub(super) fn id(&self) -> u64 {
        self.id
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        step(&self.state, Input::Finish(self.id, self.end));
    }
}

/// A wait for a decision; given up when dropped.
struct Wait {
    state: Rc<State>,
    id: u64,
    rx: oneshot::Receiver<Result<(), Refused>>,
}

impl Drop for Wait {
    fn drop(&mut self) {
        let undecided = self.state.waiters.0.borrow_mut().remove(&self.id).is_some();
        if undecided {
            step(&self.state, Input::Cancel(self.id));
        } else if let Ok(Ok(())) = self.rx.try_recv() {
            // It was let in and left before it heard of it.
            step(&self.state, Input::Finish(self.id, RunEnd::Aborted));
        }
    }
}

/// Waits until the upstream has a slot for `arrival`.
pub(super) async fn acquire(state: &Rc<State>, arrival: Arrival) -> Result<Slot, Refused> {
    let (tx, rx) = oneshot::channel();
    let (id, began) = (arrival.id, state.now());
    state.waiters.0.borrow_mut().insert(id, tx);
    let mut wait = Wait { state: state.clone(), id, rx };
    step(state, Input::Arrive(arrival));
    let decided = (&mut wait.rx).await.unwrap_or(Err((RefusalReason::Draining, Duration::ZERO)));
    drop(wait);
    state.metrics.waited(state.now().since(began));
    decided.map(|()| Slot { state: state.clone(), id, end: RunEnd::Aborted })
}

/// Applies `input` to the admission and tells the calls that it decides on.
pub(super) fn step(state: &State, input: Input) {
    let decisions = state.admission.borrow_mut().step(state.now(), input);
    for decision in decisions {
        let (id, verdict) = match decision {
            Decision::Admit(id) => (id, Ok(())),
            Decision::Refuse { id, reason, retry_after } => (id, Err((reason, retry_after))),
        };
        let waiter = state.waiters.0.borrow_mut().remove(&id);
        let told = waiter.is_some_and(|waiter| waiter.send(verdict).is_ok());
        if !told && verdict.is_ok() {
            // Its caller left in the meantime.
            step(state, Input::Finish(id, RunEnd::Aborted));
        }
    }
    let load = state.admission.borrow().load();
    state.metrics.load(load);
    if load.queued > 0 {
        state.queued.notify_one();
    }
}

/// Refuses calls whose wait has been too long, for as long as the node runs.
pub(super) async fn expire(state: Rc<State>) {
    loop {
        let next = state.admission.borrow().next_tick();
        match next {
            None => state.queued.notified().await,
            Some(at) => {
                let left = at.since(state.now()).max(Duration::from_millis(1));
                monoio::time::sleep(left).await;
                step(&state, Input::Tick);
            }
        }
    }
}
