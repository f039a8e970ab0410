//! Bounded queue of calls that wait for a slot of the upstream.

use super::work::ServiceTimes;
use super::{Arrival, Criticality};
use std::cmp::Reverse;
use sycamore_types::prelude::*;

/// Number of queued calls by which a caller must exceed another one before it loses a place to it.
const MIN_EVICTION_LEAD: usize = 2;

/// Queued call and the time at which it is refused.
#[derive(Debug, Clone, Copy)]
pub(super) struct Waiting {
    pub(super) arrival: Arrival,
    pub(super) expires: Time,
}

/// Queue in no particular order, bounded by the settings of the admission; linear scans are cheap
/// because it is short.
#[derive(Debug, Clone, Default)]
pub(super) struct Queue(Vec<Waiting>);

impl Queue {
    pub(super) fn len(&self) -> usize {
        self.0.len()
    }

    pub(super) fn push(&mut self, waiting: Waiting) {
        self.0.push(waiting);
    }

    pub(super) fn remove(&mut self, id: u64) -> Option<Waiting> {
        let at = self.0.iter().position(|waiting| waiting.arrival.id == id)?;
        Some(self.0.swap_remove(at))
    }

    /// Removes the call to run at `now`: the first in priority order among those that can meet
    /// their objective, or among all if none can.
    pub(super) fn pop_at(&mut self, now: Time, service_times: &ServiceTimes) -> Option<Waiting> {
        let meets_objective = |waiting: &&Waiting| {
            let service = service_times.of(waiting.arrival.work).unwrap_or_default();
            waiting.arrival.objective.is_none_or(|objective| now + service <= objective)
        };
        let first = self
            .0
            .iter()
            .filter(meets_objective)
            .min_by_key(|waiting| priority_key(&waiting.arrival));
        match first.map(|waiting| waiting.arrival.id) {
            Some(id) => self.remove(id),
            None => self.pop(),
        }
    }

    /// Removes the first call in priority order: highest class, then calls of running calls, then
    /// earliest objective or else deadline.
    pub(super) fn pop(&mut self) -> Option<Waiting> {
        let first = self.0.iter().min_by_key(|waiting| priority_key(&waiting.arrival))?.arrival.id;
        self.remove(first)
    }

    /// Iterates over the calls that would run before `arrival`.
    pub(super) fn ahead_of(&self, arrival: &Arrival) -> impl Iterator<Item = &Waiting> {
        let own_key = priority_key(arrival);
        self.0.iter().filter(move |waiting| priority_key(&waiting.arrival) < own_key)
    }

    /// Iterates over all queued calls.
    pub(super) fn all(&self) -> impl Iterator<Item = &Waiting> {
        self.0.iter()
    }

    /// Removes the calls that expire before they start; `start_behind` returns the start of a call
    /// behind a number of others.
    pub(super) fn take_late(&mut self, start_behind: impl Fn(usize) -> Time) -> Vec<u64> {
        self.0.sort_unstable_by_key(|waiting| priority_key(&waiting.arrival));
        let (mut ahead, mut late) = (0, Vec::new());
        self.0.retain(|waiting| {
            let is_in_time = start_behind(ahead) <= waiting.expires;
            ahead += usize::from(is_in_time);
            if !is_in_time {
                late.push(waiting.arrival.id);
            }
            is_in_time
        });
        late
    }

    pub(super) fn next_expiry(&self) -> Option<Time> {
        self.0.iter().map(|waiting| waiting.expires).min()
    }

    pub(super) fn take_expired(&mut self, now: Time) -> Option<u64> {
        let expired = self.0.iter().find(|waiting| waiting.expires <= now)?.arrival.id;
        self.remove(expired).map(|waiting| waiting.arrival.id)
    }

    /// Removes a call to make space for `arrival`: the last one of a lower class, or else one of a
    /// caller that holds at least [`MIN_EVICTION_LEAD`] more places than the arrival's caller.
    /// `running` is the number of running calls of the arrival's caller; they count as one place.
    pub(super) fn evict_for(&mut self, arrival: &Arrival, running: &usize) -> Option<u64> {
        let evicted = self
            .find_lower_class(arrival)
            .or_else(|| self.find_dominant_caller(arrival, *running))?;
        self.remove(evicted).map(|waiting| waiting.arrival.id)
    }

    fn find_lower_class(&self, arrival: &Arrival) -> Option<u64> {
        let last = self.0.iter().max_by_key(|waiting| priority_key(&waiting.arrival))?.arrival;
        (last.class < arrival.class).then_some(last.id)
    }

    fn find_dominant_caller(&self, arrival: &Arrival, running: usize) -> Option<u64> {
        let evictable = || self.0.iter().filter(|waiting| waiting.arrival.class <= arrival.class);
        let held =
            |caller: u64| self.0.iter().filter(|waiting| waiting.arrival.caller == caller).count();
        let dominant =
            evictable().max_by_key(|waiting| held(waiting.arrival.caller))?.arrival.caller;
        if held(dominant) < held(arrival.caller) + running.min(1) + MIN_EVICTION_LEAD {
            return None;
        }
        let last = evictable()
            .filter(|waiting| waiting.arrival.caller == dominant)
            .max_by_key(|waiting| priority_key(&waiting.arrival))?;
        Some(last.arrival.id)
    }
}

/// Orders calls by class, then those that a running call waits for, then by time.
fn priority_key(arrival: &Arrival) -> (Reverse<Criticality>, Reverse<bool>, Time, u64) {
    let due = arrival.objective.unwrap_or(arrival.deadline);
    (Reverse(arrival.class), Reverse(arrival.is_inner), due, arrival.id)
}
