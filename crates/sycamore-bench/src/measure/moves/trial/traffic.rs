//! Traffic of a trial: choice of version and instance for each call, and the calls' ends.

use super::super::setup::{self, CALLER_NODES};
use super::super::upstream::{answer, Call};
use super::super::Policy;
use super::{Simulation, ROUND_MS};
use rand::Rng;
use sycamore_types::prelude::*;

impl Simulation<'_> {
    /// Sends the calls that are due in this round, each from a random caller.
    pub(super) fn send_due_calls(&mut self) {
        self.due_calls += self.scenario.rate * ROUND_MS as f64 / 1_000.0;
        while self.due_calls >= 1.0 {
            self.due_calls -= 1.0;
            let caller = self.rng.random_range(0..self.scenario.callers);
            self.send_call(caller);
        }
    }

    /// Sends a call of `caller` to a version by the share, or to the old one if no instance of the
    /// new one admits it; the call is dropped if none of the old one does either.
    fn send_call(&mut self, caller: u64) {
        let open = !self.table.row().is_ended() && self.baseline.taken_back_ms.is_none();
        if open && self.now >= self.scenario.start_ms {
            self.calls += 1;
        }
        let wants_new = self.rng.random_bool(self.new_version_share(caller).as_fraction());
        let target = wants_new.then(|| self.pick_instance(true)).flatten();
        let Some(index) = target.or_else(|| self.pick_instance(false)) else { return };
        let mut call = Call {
            route: self.rng.random_range(0..self.scenario.routes),
            caller,
            is_new: self.nodes[index].is_new,
            at_ms: self.now,
            load: 0.0,
        };
        call.load = self.nodes[index].count_load(&call);
        if call.is_new {
            self.calls_new += u64::from(open);
            self.count_new(index);
        }
        self.start_call(index, &call);
    }

    /// Returns the new version's share that the node which `caller` speaks to applies.
    fn new_version_share(&self, caller: u64) -> Share {
        match self.policy {
            Policy::Baseline => self.baseline.share(self.scenario, self.now),
            Policy::Product => {
                // The cast loses nothing: callers are counted in tens.
                let index = 2 * self.scenario.instances + (caller as usize) % CALLER_NODES;
                self.nodes[index].control.split(WallTime(self.now)).to
            }
        }
    }

    /// Returns the index of a random node of the version that admits a call. Nodes that are down or
    /// refuse because of a verdict are skipped.
    fn pick_instance(&mut self, is_new: bool) -> Option<usize> {
        let instances = self.scenario.instances;
        let first = if is_new { instances } else { 0 };
        let offset = self.rng.random_range(0..instances);
        let mut candidates = (0..instances).map(|i| first + (i + offset) % instances);
        let product = self.policy == Policy::Product;
        candidates.find(|index| {
            let node = &self.nodes[*index];
            node.is_up(self.now) && !(product && node.refuses())
        })
    }

    /// Counts a call that the new version got on the node with the given index.
    fn count_new(&mut self, index: usize) {
        self.last_new_ms = self.now;
        if self.policy == Policy::Product && self.nodes[index].control.is_withdrawn() {
            self.after_verdict += 1;
        }
        let sufficed = self.observer.as_ref().and_then(|observer| observer.sufficed_ms);
        if sufficed.is_some_and(|at| self.now > at + 1_000) {
            self.after_evidence += 1;
        }
    }

    /// Draws the answer to `call` and starts it on the node with the given index.
    fn start_call(&mut self, index: usize, call: &Call) {
        let answer = answer(self.scenario, call, &mut self.rng);
        if answer.shows_defect {
            self.first_defect_ms.get_or_insert(self.now);
        }
        let mut crash = answer.crash;
        if self.crash_requests > 0 && call.is_new && self.now > self.scenario.start_ms + 5_000 {
            self.crash_requests -= 1;
            crash = true;
        }
        // The cast loses nothing: a latency is at most the call timeout, a few seconds.
        let ends_ms = self.now + (answer.latency.as_millis() as u64).max(1);
        let member = &self.nodes[index].member;
        let outcome = CallOutcome {
            service: member.service.clone(),
            version: member.version.clone(),
            route: setup::route(call.route),
            caller: call.caller,
            kind: answer.kind,
            latency: answer.latency,
            cold: answer.cold,
        };
        self.nodes[index].running.push(super::super::node::Running { ends_ms, outcome, crash });
    }

    /// Ends the calls that are due and passes their outcomes to the observer and the baseline.
    pub(super) fn finish_due_calls(&mut self) {
        for index in 0..2 * self.scenario.instances {
            let node = &mut self.nodes[index];
            let was_up = node.is_up(self.now);
            let outcomes = node.finish(self.now);
            let crashed = was_up && !node.is_up(self.now);
            let (is_new, instance) = (node.is_new, node.member.instance.clone());
            for (nth, outcome) in outcomes.iter().enumerate() {
                if let Some(observer) = &mut self.observer {
                    observer.record(self.now, &instance, outcome, crashed && nth == 0);
                }
                if is_new {
                    self.baseline.record(self.now, outcome.kind);
                }
            }
        }
    }
}
