//! The short queue before an upstream.

use super::work::WorkTimes;
use super::Arrival;
use std::cmp::Reverse;
use sycamore_types::prelude::*;

/// How many more calls than another a caller may hold before the queue takes one of its places.
const FAIR_LEAD: usize = 2;

/// A call that waits.
#[derive(Debug, Clone, Copy)]
pub(super) struct Waiting {
    pub(super) arrival: Arrival,
    pub(super) expires: Time,
}

/// Calls that wait, bounded by the admission's settings. It is short, so that scans are cheap.
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

    /// Takes the call that runs next at `now`: of those that can meet their objective, or else of all,
    /// the first in order.
    pub(super) fn pop_at(&mut self, now: Time, times: &WorkTimes) -> Option<Waiting> {
        let reachable = |waiting: &&Waiting| {
            let service = times.of(waiting.arrival.work).unwrap_or_default();
            waiting.arrival.objective.is_none_or(|objective| now + service <= objective)
        };
        let first = self.0.iter().filter(reachable).min_by_key(|w| order(&w.arrival));
        match first.map(|waiting| waiting.arrival.id) {
            Some(id) => self.remove(id),
            None => self.pop(),
        }
    }

    /// Takes the call that is first in order: highest class, then earliest objective or else deadline.
    pub(super) fn pop(&mut self) -> Option<Waiting> {
        let next = self.0.iter().min_by_key(|waiting| order(&waiting.arrival))?.arrival.id;
        self.remove(next)
    }

    /// Calls that would run before `arrival`.
    pub(super) fn before(&self, arrival: &Arrival) -> impl Iterator<Item = &Waiting> {
        let own = order(arrival);
        self.0.iter().filter(move |waiting| order(&waiting.arrival) < own)
    }

    /// All calls that wait.
    pub(super) fn all(&self) -> impl Iterator<Item = &Waiting> {
        self.0.iter()
    }

    pub(super) fn next_expiry(&self) -> Option<Time> {
        self.0.iter().map(|waiting| waiting.expires).min()
    }

    pub(super) fn take_expired(&mut self, now: Time) -> Option<u64> {
        let expired = self.0.iter().find(|waiting| waiting.expires <= now)?.arrival.id;
        self.remove(expired).map(|waiting| waiting.arrival.id)
    }

    /// Takes out a call that must make way for `arrival`: one of a lower class, or one of a caller
    /// that holds clearly more places. `running` counts what the arrival's caller already runs.
    pub(super) fn evict_for(&mut self, arrival: &Arrival, running: &usize) -> Option<u64> {
        let victim = self.lower_class(arrival).or_else(|| self.greedy_caller(arrival, *running))?;
        self.remove(victim).map(|waiting| waiting.arrival.id)
    }

    fn lower_class(&self, arrival: &Arrival) -> Option<u64> {
        let last = self.0.iter().max_by_key(|waiting| order(&waiting.arrival))?.arrival;
        (last.class < arrival.class).then_some(last.id)
    }

    fn greedy_caller(&self, arrival: &Arrival, running: usize) -> Option<u64> {
        let of_class = || self.0.iter().filter(|waiting| waiting.arrival.class <= arrival.class);
        let held =
            |caller: u64| self.0.iter().filter(|waiting| waiting.arrival.caller == caller).count();
        let greedy = of_class().max_by_key(|waiting| held(waiting.arrival.caller))?.arrival.caller;
        if held(greedy) < held(arrival.caller) + running.min(1) + FAIR_LEAD {
            return None;
        }
        let last = of_class()
            .filter(|waiting| waiting.arrival.caller == greedy)
            .max_by_key(|waiting| order(&waiting.arrival))?;
        Some(last.arrival.id)
    }
}

fn order(arrival: &Arrival) -> (Reverse<super::Criticality>, Time, u64) {
    (Reverse(arrival.class), arrival.objective.unwrap_or(arrival.deadline), arrival.id)
}
