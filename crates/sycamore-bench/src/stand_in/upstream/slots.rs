//! Slots of an upstream with a bounded queue of waiting requests.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};

#[derive(Default)]
struct State {
    taken: usize,
    next_ticket: u64,
    /// Tickets and wakers of waiting requests, the longest waiting first.
    queue: VecDeque<(u64, Waker)>,
}

/// Fixed number of slots with a bounded first-come, first-served queue.
#[derive(Clone)]
pub struct Slots {
    slots: usize,
    queue: usize,
    state: Rc<RefCell<State>>,
}

/// Taken slot; released when dropped.
pub struct Slot {
    slots: Slots,
}

/// Error of a request that found neither a free slot nor a free place in the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Full;

/// Future that waits for a slot.
pub struct Take {
    slots: Slots,
    /// Ticket of the waiting request; `None` before the first poll and after a slot was taken.
    ticket: Option<u64>,
}

impl Slots {
    /// Creates `slots` free slots with a queue of `queue` places.
    pub fn new(slots: usize, queue: usize) -> Self {
        Self { slots, queue, state: Rc::default() }
    }

    /// Returns the number of taken slots.
    pub fn taken(&self) -> usize {
        self.state.borrow().taken
    }

    /// Returns the number of requests that wait for a slot.
    pub fn queued(&self) -> usize {
        self.state.borrow().queue.len()
    }

    /// Takes a slot, and waits in the queue if none is free; the future fails with `Full` if the queue
    /// is full. Dropping the future leaves the queue.
    pub fn take(&self) -> Take {
        Take { slots: self.clone(), ticket: None }
    }

    fn wake_first(&self) {
        if let Some((_, waker)) = self.state.borrow().queue.front() {
            waker.wake_by_ref();
        }
    }
}

impl Future for Take {
    type Output = Result<Slot, Full>;

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Self::Output> {
        let slots = self.slots.clone();
        let mut state = slots.state.borrow_mut();
        let place = self.ticket.and_then(|own| state.queue.iter().position(|(t, _)| *t == own));
        let first = place.map_or(state.queue.is_empty(), |place| place == 0);
        if first && state.taken < slots.slots {
            if place.is_some() {
                state.queue.pop_front();
            }
            state.taken += 1;
            self.ticket = None;
            drop(state);
            slots.wake_first();
            return Poll::Ready(Ok(Slot { slots: slots.clone() }));
        }
        if let Some(place) = place {
            state.queue[place].1 = cx.waker().clone();
            return Poll::Pending;
        }
        if state.queue.len() >= slots.queue {
            return Poll::Ready(Err(Full));
        }
        let ticket = state.next_ticket;
        state.next_ticket += 1;
        state.queue.push_back((ticket, cx.waker().clone()));
        self.ticket = Some(ticket);
        Poll::Pending
    }
}

impl Drop for Take {
    fn drop(&mut self) {
        if let Some(own) = self.ticket {
            self.slots.state.borrow_mut().queue.retain(|(ticket, _)| *ticket != own);
            self.slots.wake_first();
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.slots.state.borrow_mut().taken -= 1;
        self.slots.wake_first();
    }
}
