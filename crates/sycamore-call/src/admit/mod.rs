//! Admission beside an upstream: slots, connections, a short queue ordered by class and deadline, and
//! refusal at once of what can't finish in time.

mod limit;
mod queue;
mod turned_away;
mod work;

pub use limit::LimitPolicy;

use crate::load::Load;
use limit::Limiter;
use queue::{Queue, Waiting};
use std::collections::BTreeMap;
use std::time::Duration;
use sycamore_types::prelude::*;
use turned_away::TurnedAway;
use work::WorkTimes;

/// Factor of the expected wait that must fit into the longest: an estimate that is a little short
/// would let a call wait in vain.
const WAIT_MARGIN: f64 = 1.25;
/// Factor of the expected wait of a call with an objective: more urgent calls will overtake it.
const OVERTAKEN: f64 = 1.5;
/// Longest wait of a call whose objective is out of reach: while calls queue for longer than this, it
/// would take a slot from one that can still meet its own.
const LATE_WAIT: Duration = Duration::from_millis(25);
/// Longest such time.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

/// How much a call matters when not all can run.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Criticality {
    /// Refused first.
    Sheddable,
    /// Neither.
    #[default]
    Normal,
    /// Refused last.
    Critical,
}

impl Criticality {
    /// The class as headers carry it; unknown text counts as normal.
    pub fn from_text(text: &str) -> Self {
        match text {
            "critical" => Criticality::Critical,
            "sheddable" => Criticality::Sheddable,
            _ => Criticality::Normal,
        }
    }

    /// The class of calls with a rank, of which 0 is served first.
    pub fn from_rank(rank: u8) -> Self {
        match rank {
            0 => Criticality::Critical,
            1 => Criticality::Normal,
            _ => Criticality::Sheddable,
        }
    }

    /// The class as headers carry it.
    pub fn as_str(self) -> &'static str {
        match self {
            Criticality::Critical => "critical",
            Criticality::Normal => "normal",
            Criticality::Sheddable => "sheddable",
        }
    }
}

/// Settings of an [`Admission`].
#[derive(Debug, Clone)]
pub struct AdmissionConfig {
    /// Calls that may wait.
    pub queue: usize,
    /// Longest wait.
    pub queue_time: Duration,
    /// How the limit follows the upstream.
    pub policy: LimitPolicy,
    /// Shortest time after which a refused caller is asked to come back.
    pub min_retry_after: Duration,
}

impl Default for AdmissionConfig {
    fn default() -> Self {
        let limits = Limits::default();
        Self {
            queue: usize::from(limits.queue),
            queue_time: limits.queue_time,
            policy: LimitPolicy::default(),
            min_retry_after: Duration::from_secs(1),
        }
    }
}

/// A call that asks to run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Arrival {
    /// Distinguishes the calls of one node.
    pub id: u64,
    /// Distinguishes callers.
    pub caller: u64,
    /// How much it matters.
    pub class: Criticality,
    /// When it must have finished.
    pub deadline: Time,
    /// Until when its answer is worth most; `None` where only the deadline counts.
    pub objective: Option<Time>,
    /// What kind of work it is: calls of one kind take about as long as each other.
    pub work: u64,
}

/// How a call that ran ended, as far as admission cares.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RunEnd {
    /// The upstream answered.
    Answered,
    /// The upstream refused for load, or took too long.
    Overloaded,
    /// The caller left, or the upstream broke off.
    Aborted,
}

/// What happens to an admission.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Input {
    /// The upstream announced its capacity.
    Announce {
        /// Calls that it runs at a time.
        slots: u16,
        /// Connections that it takes.
        connections: u16,
    },
    /// A call asks to run.
    Arrive(Arrival),
    /// A call that ran ended.
    Finish(u64, RunEnd),
    /// A call that waits is given up by its caller.
    Cancel(u64),
    /// Time passed.
    Tick,
    /// The upstream leaves: nothing more is admitted, what waits is refused.
    Drain,
}

/// What is to be done with a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Decision {
    /// It runs now.
    Admit(u64),
    /// It is refused; it has not run.
    Refuse {
        /// The call.
        id: u64,
        /// Why.
        reason: RefusalReason,
        /// When to come back.
        retry_after: Duration,
    },
}

/// Admits calls to one upstream.
#[derive(Debug, Clone)]
pub struct Admission {
    config: AdmissionConfig,
    slots: u16,
    limiter: Limiter,
    running: BTreeMap<u64, (Arrival, Time)>,
    queue: Queue,
    times: WorkTimes,
    turned_away: TurnedAway,
    draining: bool,
}

impl Admission {
    /// An admission that admits nothing until the upstream announces its capacity.
    pub fn new(config: AdmissionConfig) -> Self {
        let limiter = Limiter::new(config.policy);
        Self {
            config,
            slots: 0,
            limiter,
            running: BTreeMap::new(),
            queue: Queue::default(),
            times: WorkTimes::default(),
            turned_away: TurnedAway::default(),
            draining: false,
        }
    }

    /// Applies `input` at `now`; decisions are in the order in which they are to be carried out.
    pub fn step(&mut self, now: Time, input: Input) -> Vec<Decision> {
        let mut out = Vec::new();
        match input {
            Input::Announce { slots, connections } => {
                self.slots = slots.min(connections);
                self.limiter.announce(self.slots);
            }
            Input::Arrive(arrival) => self.arrive(now, arrival, &mut out),
            Input::Finish(id, end) => self.finish(now, id, end),
            Input::Cancel(id) => drop(self.queue.remove(id)),
            Input::Tick => {}
            Input::Drain => self.drain(now, &mut out),
        }
        self.expire(now, &mut out);
        self.admit_waiting(now, &mut out);
        out
    }

    /// Takes new settings; what is under way keeps its place.
    pub fn configure(&mut self, limits: &Limits) {
        self.config.queue = usize::from(limits.queue);
        self.config.queue_time = limits.queue_time;
    }

    /// The load to report to other nodes.
    pub fn load(&self) -> Load {
        let count = |len: usize| u16::try_from(len).unwrap_or(u16::MAX);
        Load {
            running: count(self.running.len()),
            limit: self.limit(),
            queued: count(self.queue.len()),
        }
    }

    /// Calls that may run at a time right now.
    pub fn limit(&self) -> u16 {
        self.limiter.limit().min(self.slots)
    }

    /// Whether nothing more is admitted.
    pub fn is_draining(&self) -> bool {
        self.draining
    }

    /// When the next waiting call has waited long enough; [`Input::Tick`] is due then.
    pub fn next_tick(&self) -> Option<Time> {
        self.queue.next_expiry()
    }

    fn arrive(&mut self, now: Time, arrival: Arrival, out: &mut Vec<Decision>) {
        if self.draining {
            return out.push(self.refuse(now, arrival.id, RefusalReason::Draining));
        }
        if arrival.deadline <= now {
            return out.push(self.refuse(now, arrival.id, RefusalReason::Deadline));
        }
        if self.slots == 0 {
            return out.push(self.refuse(now, arrival.id, RefusalReason::NoUpstream));
        }
        if self.has_slot() && self.queue.len() == 0 {
            return self.admit(now, arrival, out);
        }
        if !self.finishes_in_time(now, &arrival) {
            return out.push(self.refuse(now, arrival.id, RefusalReason::Overloaded));
        }
        if !self.has_place(arrival.class) {
            match self.queue.evict_for(&arrival, &self.running_by(arrival.caller)) {
                Some(id) => out.push(self.refuse(now, id, RefusalReason::Overloaded)),
                None => return out.push(self.refuse(now, arrival.id, RefusalReason::Overloaded)),
            }
        }
        let expires = (now + self.config.queue_time).min(self.latest_start(now, &arrival));
        self.queue.push(Waiting { arrival, expires });
    }

    /// The lowest class may fill half of the queue only.
    fn has_place(&self, class: Criticality) -> bool {
        let places = match class {
            Criticality::Sheddable => self.config.queue / 2,
            Criticality::Normal | Criticality::Critical => self.config.queue,
        };
        self.queue.len() < places
    }

    fn running_by(&self, caller: u64) -> usize {
        self.running.values().filter(|(arrival, _)| arrival.caller == caller).count()
    }

    /// Whether a call can be expected to finish in time behind those that run before it.
    fn finishes_in_time(&self, now: Time, arrival: &Arrival) -> bool {
        let Some(service) = self.times.of(arrival.work) else { return true };
        let wait = self.expected_wait(self.queue.before(arrival));
        wait.mul_f64(WAIT_MARGIN) <= self.config.queue_time
            && is_worth_waiting(now, arrival, wait.mul_f64(OVERTAKEN), service)
    }

    /// Slots come free at the rate of `limit` calls per service time.
    fn expected_wait<'a>(&self, before: impl Iterator<Item = &'a Waiting>) -> Duration {
        let mean = self.times.mean().unwrap_or_default();
        let over = self.running.len().saturating_sub(usize::from(self.limit())) + 1;
        let ahead: Duration =
            before.map(|waiting| self.times.of(waiting.arrival.work).unwrap_or(mean)).sum();
        (mean.mul_f64(over as f64) + ahead) / u32::from(self.limit().max(1))
    }

    /// Until when a call may wait: while it can meet its objective, and a little longer.
    fn latest_start(&self, now: Time, arrival: &Arrival) -> Time {
        let Some(objective) = arrival.objective else { return arrival.deadline };
        let service = self.times.of(arrival.work).unwrap_or_default();
        let in_time = before(objective, service).max(now + LATE_WAIT);
        in_time.min(before(arrival.deadline, service))
    }

    fn has_slot(&self) -> bool {
        self.running.len() < usize::from(self.limit())
    }

    fn admit(&mut self, now: Time, arrival: Arrival, out: &mut Vec<Decision>) {
        self.running.insert(arrival.id, (arrival, now));
        out.push(Decision::Admit(arrival.id));
    }

    fn finish(&mut self, now: Time, id: u64, end: RunEnd) {
        let Some((arrival, started)) = self.running.remove(&id) else { return };
        let latency = now.since(started);
        if end == RunEnd::Answered {
            self.times.learn(arrival.work, latency);
        }
        // The call that just ended was still running when its latency was made.
        self.limiter.sample(latency, self.running.len() + 1, end);
    }

    fn drain(&mut self, now: Time, out: &mut Vec<Decision>) {
        self.draining = true;
        while let Some(waiting) = self.queue.pop() {
            out.push(self.refuse(now, waiting.arrival.id, RefusalReason::Draining));
        }
    }

    fn expire(&mut self, now: Time, out: &mut Vec<Decision>) {
        while let Some(id) = self.queue.take_expired(now) {
            out.push(self.refuse(now, id, RefusalReason::Overloaded));
        }
    }

    fn admit_waiting(&mut self, now: Time, out: &mut Vec<Decision>) {
        while self.has_slot() {
            let Some(waiting) = self.queue.pop_at(now, &self.times) else { return };
            if self.can_still_finish(now, &waiting.arrival) {
                self.admit(now, waiting.arrival, out);
            } else {
                out.push(self.refuse(now, waiting.arrival.id, RefusalReason::Overloaded));
            }
        }
    }

    fn can_still_finish(&self, now: Time, arrival: &Arrival) -> bool {
        now + self.times.of(arrival.work).unwrap_or_default() <= arrival.deadline
    }

    fn refuse(&mut self, now: Time, id: u64, reason: RefusalReason) -> Decision {
        let mut wait = self.expected_wait(self.queue.all());
        if reason == RefusalReason::Overloaded {
            let slot_time = self.times.mean().unwrap_or_default() / u32::from(self.limit().max(1));
            wait += self.turned_away.turn(now, slot_time);
        }
        let retry_after = wait.clamp(self.config.min_retry_after, MAX_RETRY_AFTER);
        Decision::Refuse { id, reason, retry_after }
    }
}

/// Whether waiting for `wait` and running for `service` is worth it: the objective is met, or the
/// deadline is and the wait is short.
fn is_worth_waiting(now: Time, arrival: &Arrival, wait: Duration, service: Duration) -> bool {
    let end = now + wait + service;
    match arrival.objective {
        None => end <= arrival.deadline,
        Some(objective) => {
            let late = wait <= LATE_WAIT && end <= arrival.deadline;
            end <= objective.min(arrival.deadline) || late
        }
    }
}

/// The time that is `span` before `at`.
fn before(at: Time, span: Duration) -> Time {
    Time(at.0.saturating_sub(u64::try_from(span.as_micros()).unwrap_or(u64::MAX)))
}
