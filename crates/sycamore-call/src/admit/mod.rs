//! Admission control at an upstream: bounds concurrent calls by slots and connections, queues a few
//! more by class and deadline, and refuses at once the calls that can't finish in time.

mod arrival;
mod limit;
mod pace;
mod probe;
mod queue;
mod rate_limits;
mod turned_away;
mod work;

pub use arrival::{Arrival, Criticality};
pub use limit::LimitPolicy;
pub use work::MAX_KINDS;

use crate::load::Load;
use limit::Limiter;
use pace::Pacer;
use probe::LimitProbe;
use queue::{Queue, Waiting};
use rate_limits::RateLimits;
use std::collections::BTreeMap;
use std::time::Duration;
use sycamore_types::prelude::*;
use turned_away::RefusedCallers;
use work::ServiceTimes;

/// Safety factor on the expected queue wait before it is compared with the maximum wait; with an
/// estimate slightly too low, calls would wait and then be refused.
const WAIT_SAFETY_FACTOR: f64 = 1.25;
/// Factor on the expected queue wait of a call with an objective, since more urgent calls will
/// overtake it.
const OBJECTIVE_WAIT_FACTOR: f64 = 1.5;
/// Maximum wait of a call that can't meet its objective. While the queue wait is longer, such a
/// call would take a slot from one that can still meet its objective.
const MAX_LATE_WAIT: Duration = Duration::from_millis(25);
/// Maximum delay that a refused caller is told to wait before it retries.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

/// Settings of an [`Admission`].
#[derive(Debug, Clone)]
pub struct AdmissionConfig {
    /// Maximum number of calls that wait for a slot.
    pub queue: usize,
    /// Maximum time that a call waits for a slot.
    pub queue_time: Duration,
    /// Algorithm that adapts the concurrency limit to the upstream.
    pub policy: LimitPolicy,
    /// Minimum delay that a refused caller is told to wait before it retries.
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

/// Outcome of a call that ran, reduced to what adapts the concurrency limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RunEnd {
    /// The upstream answered.
    Answered,
    /// The upstream refused because of its load, or took too long.
    Overloaded,
    /// The caller left, or the upstream dropped the connection.
    Aborted,
}

/// Event that changes an admission's state.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Input {
    /// The upstream announced its capacity.
    Announce {
        /// Number of calls that the upstream runs at a time.
        slots: u16,
        /// Number of connections that the upstream accepts.
        connections: u16,
    },
    /// A call requests admission.
    Arrive(Arrival),
    /// A running call, given by its identifier, ended.
    Finish(u64, RunEnd),
    /// The caller abandoned a queued call, given by its identifier.
    Cancel(u64),
    /// Time passed; expires queued calls.
    Tick,
    /// The upstream may have a rate limit that this node doesn't know: few calls run until its first
    /// answer.
    ProbeLimit,
    /// The upstream reported this rate limit, or that it has none.
    Limit(Option<RateLimit>),
    /// The upstream is cold until the given time, and takes at most this rate of calls meanwhile.
    WarmUp {
        /// Maximum rate of calls while the upstream is cold.
        rate: RateLimit,
        /// End of the warm-up; a time that has passed ends it at once.
        until: Time,
    },
    /// The upstream takes as many calls as its slots allow, whether or not it is cold.
    EndWarmUp,
    /// The upstream drains: queued and arriving calls are refused.
    Drain,
    /// The upstream takes calls again after a drain, or another process took its place.
    Resume,
}

/// Decision on a call, given by its identifier.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Decision {
    /// The call runs now.
    Admit(u64),
    /// The call is refused; it has not run.
    Refuse {
        /// Identifier of the refused call.
        id: u64,
        /// Reason of the refusal.
        reason: RefusalReason,
        /// Delay that the caller is told to wait before it retries.
        retry_after: Duration,
    },
}

/// Admission control of one upstream.
#[derive(Debug, Clone)]
pub struct Admission {
    config: AdmissionConfig,
    slots: u16,
    limiter: Limiter,
    pacer: Pacer,
    rate_limits: RateLimits,
    probe: Option<LimitProbe>,
    running: BTreeMap<u64, (Arrival, Time)>,
    queue: Queue,
    service_times: ServiceTimes,
    refused_callers: RefusedCallers,
    draining: bool,
}

impl Admission {
    /// Creates an admission that refuses every call until the upstream announces its capacity.
    pub fn new(config: AdmissionConfig) -> Self {
        let limiter = Limiter::new(config.policy);
        Self {
            config,
            slots: 0,
            limiter,
            pacer: Pacer::default(),
            rate_limits: RateLimits::default(),
            probe: None,
            running: BTreeMap::new(),
            queue: Queue::default(),
            service_times: ServiceTimes::default(),
            refused_callers: RefusedCallers::default(),
            draining: false,
        }
    }

    /// Applies `input` at `now`; returns the decisions in the order in which they are to be carried
    /// out.
    pub fn step(&mut self, now: Time, input: Input) -> Vec<Decision> {
        let mut out = Vec::new();
        // A warm-up that has ended must not delay the call that arrives now.
        self.pacer.set_limit(now, self.rate_limits.in_force(now));
        match input {
            Input::Announce { slots, connections } => {
                self.slots = slots.min(connections);
                self.limiter.announce(self.slots);
            }
            Input::Arrive(arrival) => self.handle_arrival(now, arrival, &mut out),
            Input::Finish(id, end) => self.finish(now, id, end),
            Input::Cancel(id) => drop(self.queue.remove(id)),
            Input::Tick => {}
            Input::ProbeLimit => self.probe = Some(LimitProbe::default()),
            Input::Limit(limit) => {
                self.probe = None;
                self.rate_limits.set_reported(limit);
            }
            Input::WarmUp { rate, until } => self.rate_limits.set_warm_up(Some((rate, until))),
            Input::EndWarmUp => self.rate_limits.set_warm_up(None),
            Input::Drain => self.drain(now, &mut out),
            Input::Resume => self.draining = false,
        }
        self.pacer.set_limit(now, self.rate_limits.in_force(now));
        self.expire(now, &mut out);
        self.admit_queued(now, &mut out);
        self.refuse_late_starts(now, &mut out);
        out
    }

    /// Applies new limits to later arrivals; running and queued calls are unaffected.
    pub fn configure(&mut self, limits: &Limits) {
        self.config.queue = usize::from(limits.queue);
        self.config.queue_time = limits.queue_time;
    }

    /// Returns the load at `now` to report to other nodes.
    pub fn load(&self, now: Time) -> Load {
        let count = |len: usize| u16::try_from(len).unwrap_or(u16::MAX);
        Load {
            running: count(self.running.len()),
            limit: self.limit(),
            queued: count(self.queue.len()),
            rate_percent: self.pacer.used_percent(now, self.queue.len()),
        }
    }

    /// Returns the rate limit in force: what the upstream reported, or less while it warms up.
    pub fn rate_limit(&self) -> Option<RateLimit> {
        self.pacer.limit()
    }

    /// Returns the current concurrency limit, in calls.
    pub fn limit(&self) -> u16 {
        self.limiter.limit().min(self.slots)
    }

    /// Returns whether the upstream drains, so that every call is refused.
    pub fn is_draining(&self) -> bool {
        self.draining
    }

    /// Returns when the next queued call expires, or may start under the rate limit; the caller must
    /// then apply [`Input::Tick`].
    pub fn next_tick(&self, now: Time) -> Option<Time> {
        let expiry = self.queue.next_expiry()?;
        let next = match (self.has_slot(now), self.probe.and_then(LimitProbe::ends_at)) {
            (true, _) => now + self.pacer.wait(now, 0),
            (false, Some(end)) => end,
            (false, None) => expiry,
        };
        let end = self.rate_limits.warm_up_end().filter(|end| now < *end);
        Some(next.min(expiry).min(end.unwrap_or(expiry)))
    }

    fn handle_arrival(&mut self, now: Time, arrival: Arrival, out: &mut Vec<Decision>) {
        if self.draining {
            return out.push(self.refuse(now, arrival.id, RefusalReason::Draining));
        }
        if arrival.deadline <= now {
            return out.push(self.refuse(now, arrival.id, RefusalReason::Deadline));
        }
        if self.slots == 0 {
            return out.push(self.refuse(now, arrival.id, RefusalReason::NoUpstream));
        }
        if self.may_start(now) && self.queue.len() == 0 {
            return self.admit(now, arrival, out);
        }
        let reason = self.reason_to_wait(now);
        if !self.is_expected_in_time(now, &arrival) {
            return out.push(self.refuse(now, arrival.id, reason));
        }
        if !self.has_queue_space(arrival.class) {
            match self.queue.evict_for(&arrival, &self.running_calls_of(arrival.caller)) {
                Some(id) => out.push(self.refuse(now, id, reason)),
                None => return out.push(self.refuse(now, arrival.id, reason)),
            }
        }
        let expires = (now + self.config.queue_time).min(self.latest_start(now, &arrival));
        self.queue.push(Waiting { arrival, expires });
    }

    /// Returns whether the queue has space for a call of `class`; sheddable calls may fill only
    /// half of it.
    fn has_queue_space(&self, class: Criticality) -> bool {
        let capacity = match class {
            Criticality::Sheddable => self.config.queue / 2,
            Criticality::Normal | Criticality::Critical => self.config.queue,
        };
        self.queue.len() < capacity
    }

    fn running_calls_of(&self, caller: u64) -> usize {
        self.running.values().filter(|(arrival, _)| arrival.caller == caller).count()
    }

    /// Returns whether a call is expected to finish in time behind the calls that run before it.
    fn is_expected_in_time(&self, now: Time, arrival: &Arrival) -> bool {
        let service = match (self.service_times.of(arrival.work), self.pacer.limit()) {
            (Some(service), _) => service,
            (None, Some(_)) => Duration::ZERO,
            (None, None) => return true,
        };
        let wait = self.expected_wait(now, self.queue.ahead_of(arrival));
        wait.mul_f64(WAIT_SAFETY_FACTOR) <= self.config.queue_time
            && is_wait_acceptable(now, arrival, wait.mul_f64(OBJECTIVE_WAIT_FACTOR), service)
    }

    /// Estimates the wait behind the calls in `ahead`: slots become free at the rate of `limit`
    /// calls per service time, and calls start at the rate limit.
    fn expected_wait<'a>(&self, now: Time, ahead: impl Iterator<Item = &'a Waiting>) -> Duration {
        let mean = self.service_times.mean().unwrap_or_default();
        let excess = self.running.len().saturating_sub(usize::from(self.limit())) + 1;
        let mut count = 0;
        let queued_time: Duration = ahead
            .map(|waiting| {
                count += 1;
                self.service_times.of(waiting.arrival.work).unwrap_or(mean)
            })
            .sum();
        let for_slot = (mean.mul_f64(excess as f64) + queued_time) / u32::from(self.limit().max(1));
        for_slot.max(self.pacer.wait(now, count))
    }

    /// Returns the latest start of a call that still meets its objective, or [`MAX_LATE_WAIT`] from
    /// now if that is later, but never so late that it misses the deadline.
    fn latest_start(&self, now: Time, arrival: &Arrival) -> Time {
        let service = self.service_times.of(arrival.work).unwrap_or_default();
        let latest_by_deadline = time_before(arrival.deadline, service);
        let Some(objective) = arrival.objective else { return latest_by_deadline };
        let latest = time_before(objective, service).max(now + MAX_LATE_WAIT);
        latest.min(latest_by_deadline)
    }

    fn has_slot(&self, now: Time) -> bool {
        let limit = self.probe.map_or(self.limit(), |probe| probe.cap(now, self.limit()));
        self.running.len() < usize::from(limit)
    }

    /// Returns whether a call may start by the concurrency limit and the rate limit.
    fn may_start(&self, now: Time) -> bool {
        self.has_slot(now) && self.pacer.may_start(now)
    }

    /// Returns the reason for which a call that can't wait is refused.
    fn reason_to_wait(&self, now: Time) -> RefusalReason {
        match self.has_slot(now) && self.pacer.limit().is_some() {
            true => RefusalReason::RateLimited,
            false => RefusalReason::Overloaded,
        }
    }

    fn admit(&mut self, now: Time, arrival: Arrival, out: &mut Vec<Decision>) {
        self.pacer.record_start(now);
        if let Some(probe) = &mut self.probe {
            probe.record_start(now);
        }
        self.running.insert(arrival.id, (arrival, now));
        out.push(Decision::Admit(arrival.id));
    }

    fn finish(&mut self, now: Time, id: u64, end: RunEnd) {
        let Some((arrival, started)) = self.running.remove(&id) else { return };
        let latency = now.since(started);
        if end == RunEnd::Answered {
            self.service_times.record(arrival.work, latency);
        }
        // The ended call was still running while its latency was measured.
        self.limiter.record_sample(latency, self.running.len() + 1, end);
    }

    fn drain(&mut self, now: Time, out: &mut Vec<Decision>) {
        self.draining = true;
        while let Some(waiting) = self.queue.pop() {
            out.push(self.refuse(now, waiting.arrival.id, RefusalReason::Draining));
        }
    }

    fn expire(&mut self, now: Time, out: &mut Vec<Decision>) {
        while let Some(id) = self.queue.take_expired(now) {
            out.push(self.refuse(now, id, self.reason_to_wait(now)));
        }
    }

    fn admit_queued(&mut self, now: Time, out: &mut Vec<Decision>) {
        while self.may_start(now) {
            let Some(waiting) = self.queue.pop_at(now, &self.service_times) else { return };
            if self.can_meet_deadline(now, &waiting.arrival) {
                self.admit(now, waiting.arrival, out);
            } else {
                out.push(self.refuse(now, waiting.arrival.id, RefusalReason::Overloaded));
            }
        }
    }

    /// Refuses the queued calls that the rate limit lets start too late only, since more urgent ones
    /// have overtaken them or the limit has fallen.
    fn refuse_late_starts(&mut self, now: Time, out: &mut Vec<Decision>) {
        if self.pacer.limit().is_none() {
            return;
        }
        let pacer = &self.pacer;
        let late = self.queue.take_late(|ahead| now + pacer.wait(now, ahead));
        for id in late {
            out.push(self.refuse(now, id, RefusalReason::RateLimited));
        }
    }

    fn can_meet_deadline(&self, now: Time, arrival: &Arrival) -> bool {
        now + self.service_times.of(arrival.work).unwrap_or_default() <= arrival.deadline
    }

    fn refuse(&mut self, now: Time, id: u64, reason: RefusalReason) -> Decision {
        let mut wait = self.expected_wait(now, self.queue.all());
        let start_time = match reason {
            RefusalReason::Overloaded => {
                self.service_times.mean().unwrap_or_default() / u32::from(self.limit().max(1))
            }
            RefusalReason::RateLimited => self.pacer.interval(now),
            _ => Duration::ZERO,
        };
        if !start_time.is_zero() {
            wait += self.refused_callers.enqueue(now, start_time);
        }
        let retry_after = wait.clamp(self.config.min_retry_after, MAX_RETRY_AFTER);
        Decision::Refuse { id, reason, retry_after }
    }
}

/// Returns whether a call should wait for `wait` before it runs for `service`: it then meets its
/// objective, or meets its deadline after a wait of at most [`MAX_LATE_WAIT`].
fn is_wait_acceptable(now: Time, arrival: &Arrival, wait: Duration, service: Duration) -> bool {
    let end = now + wait + service;
    match arrival.objective {
        None => end <= arrival.deadline,
        Some(objective) => {
            let is_short_wait = wait <= MAX_LATE_WAIT && end <= arrival.deadline;
            end <= objective.min(arrival.deadline) || is_short_wait
        }
    }
}

/// Returns the time `span` before `at`.
fn time_before(at: Time, span: Duration) -> Time {
    Time(at.0.saturating_sub(u64::try_from(span.as_micros()).unwrap_or(u64::MAX)))
}
