//! Acquiring and releasing slots of the local upstream through admission control.

use super::state::State;
use monoio::time::timeout;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use sycamore_call::admit::{Input, RunEnd};
use sycamore_call::{Arrival, Decision};
use sycamore_types::prelude::*;
use tokio::sync::oneshot;

/// Refusal by admission control: its reason, and the time after which the caller may retry.
pub(super) type Refused = (RefusalReason, Duration);

/// Senders of the admission decision to waiting calls, by identifier of the call.
#[derive(Default)]
pub(super) struct Waiters(RefCell<HashMap<u64, oneshot::Sender<Result<(), Refused>>>>);

/// Slot of the upstream held by one call, released on drop.
pub(super) struct Slot {
    state: Rc<State>,
    id: u64,
    end: RunEnd,
}

impl Slot {
    /// Sets how the call that holds the slot ended, which admission control learns on release;
    /// [`RunEnd::Aborted`] if it is never set.
    pub(super) fn set_end(&mut self, end: RunEnd) {
        self.end = end;
    }

    /// Returns the identifier of the call that holds the slot, unique within this process.
    pub(super) fn id(&self) -> u64 {
        self.id
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        step(&self.state, Input::Finish(self.id, self.end));
    }
}

/// Wait of one call for its admission decision, cancelled on drop.
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
            // The call was admitted, but its future was dropped before it received the decision.
            step(&self.state, Input::Finish(self.id, RunEnd::Aborted));
        }
    }
}

/// Waits until admission control grants `arrival` a slot of the upstream or refuses it.
pub(super) async fn acquire(state: &Rc<State>, arrival: Arrival) -> Result<Slot, Refused> {
    let (tx, rx) = oneshot::channel();
    let (id, began) = (arrival.id, state.now());
    state.waiters.0.borrow_mut().insert(id, tx);
    let mut wait = Wait { state: state.clone(), id, rx };
    step(state, Input::Arrive(arrival));
    let decided = (&mut wait.rx).await.unwrap_or(Err((RefusalReason::Draining, Duration::ZERO)));
    drop(wait);
    state.metrics.observe_wait(state.now().since(began));
    decided.map(|()| Slot { state: state.clone(), id, end: RunEnd::Aborted })
}

/// Applies `input` to admission control and sends its decisions to the waiting calls.
pub(super) fn step(state: &State, input: Input) {
    let decisions = state.admission.borrow_mut().step(state.now(), input);
    for decision in decisions {
        let (id, verdict) = match decision {
            Decision::Admit(id) => (id, Ok(())),
            Decision::Refuse { id, reason, retry_after } => (id, Err((reason, retry_after))),
        };
        let waiter = state.waiters.0.borrow_mut().remove(&id);
        let delivered = waiter.is_some_and(|waiter| waiter.send(verdict).is_ok());
        if !delivered && verdict.is_ok() {
            // The call was dropped in the meantime: release its slot.
            step(state, Input::Finish(id, RunEnd::Aborted));
        }
    }
    let load = state.admission.borrow().load(state.now());
    state.metrics.set_load(load);
    if load.queued > 0 {
        state.queue_changed.notify_one();
    }
}

/// Starts queued calls when the rate limit lets them, and refuses those whose maximum wait has passed,
/// until the node stops.
pub(super) async fn run_queue(state: Rc<State>) {
    loop {
        let next = state.admission.borrow().next_tick(state.now());
        let changed = state.queue_changed.notified();
        let Some(at) = next else {
            changed.await;
            continue;
        };
        let left = at.since(state.now()).max(Duration::from_millis(1));
        // A change of the queue or the limit may bring the next start forward.
        if timeout(left, changed).await.is_err() {
            step(&state, Input::Tick);
        }
    }
}
