//! Router's record of one instance: load, failures and slow start.

use super::{AttemptEnd, RouterConfig};
use crate::load::Load;
use std::time::Duration;
use sycamore_types::prelude::*;

/// Time for which an instance that reported draining gets no calls, unless it leaves or restarts
/// first.
const DRAINING_HOLD: Duration = Duration::from_secs(10);
/// Minimum weight of an instance in slow start.
const MIN_SLOW_START_WEIGHT: f64 = 0.1;
/// Maximum number of times that the duration of an ejection doubles.
const MAX_DOUBLINGS: u32 = 6;

#[derive(Debug, Clone)]
pub(super) struct Peer {
    pub(super) incarnation: Incarnation,
    /// Attempts of this node at the instance that have not ended.
    pub(super) in_flight: u32,
    warming_since: Option<Time>,
    load: Load,
    reported_at: Option<Time>,
    /// Attempts of this node in flight when the load was reported, which the load includes.
    in_flight_at_report: u32,
    /// Attempts of this node since the load was reported.
    sent_since_report: u32,
    /// Time until which the instance's rate limit is expected to be used up.
    rate_spent_until: Option<Time>,
    consecutive_failures: u32,
    ejections: u32,
    ejected_until: Option<Time>,
    draining_until: Option<Time>,
}

impl Peer {
    pub(super) fn new(member: &Member, warming_since: Option<Time>) -> Self {
        Self {
            incarnation: member.incarnation,
            in_flight: 0,
            warming_since,
            load: Load { limit: member.slots, ..Load::default() },
            reported_at: None,
            in_flight_at_report: 0,
            sent_since_report: 0,
            rate_spent_until: None,
            consecutive_failures: 0,
            ejections: 0,
            ejected_until: None,
            draining_until: None,
        }
    }

    /// Records that an attempt begins.
    pub(super) fn record_attempt(&mut self) {
        self.in_flight += 1;
        self.sent_since_report = self.sent_since_report.saturating_add(1);
    }

    pub(super) fn record_end(&mut self, now: Time, end: AttemptEnd, config: &RouterConfig) {
        self.in_flight = self.in_flight.saturating_sub(1);
        match end {
            AttemptEnd::Answered(load) => {
                self.rate_spent_until = None;
                self.record_load(now, load);
            }
            AttemptEnd::RateLimited(load, wait) => {
                self.rate_spent_until = Some(now + wait);
                self.record_load(now, load);
            }
            AttemptEnd::Draining => self.draining_until = Some(now + DRAINING_HOLD),
            AttemptEnd::NoUpstream => {
                self.consecutive_failures =
                    self.consecutive_failures.max(config.eject_failures.saturating_sub(1));
                self.record_failure(now, config);
            }
            AttemptEnd::Failed => self.record_failure(now, config),
            AttemptEnd::Cancelled => {}
        }
    }

    fn record_load(&mut self, now: Time, load: Load) {
        if load.limit > 0 {
            self.load = load;
        }
        self.reported_at = Some(now);
        self.in_flight_at_report = self.in_flight;
        self.sent_since_report = 0;
        self.consecutive_failures = 0;
        if self.ejected_until.is_some_and(|until| until <= now) {
            self.ejected_until = None;
            self.ejections = 0;
        }
    }

    pub(super) fn record_failure(&mut self, now: Time, config: &RouterConfig) {
        self.consecutive_failures += 1;
        if self.consecutive_failures < config.eject_failures || self.ejected_until(now).is_some() {
            return;
        }
        let duration = config.eject_time * 2_u32.pow(self.ejections.min(MAX_DOUBLINGS));
        self.ejected_until = Some(now + duration.min(config.eject_time_max));
        self.ejections += 1;
        // A single failure after the ejection ejects the instance again.
        self.consecutive_failures = config.eject_failures.saturating_sub(1);
    }

    /// Returns whether the instance's rate limit is expected to be used up.
    pub(super) fn is_rate_spent(&self, now: Time) -> bool {
        self.rate_spent_until.is_some_and(|until| now < until)
    }

    pub(super) fn is_draining(&self, now: Time) -> bool {
        self.draining_until.is_some_and(|until| now < until)
    }

    pub(super) fn ejected_until(&self, now: Time) -> Option<Time> {
        self.ejected_until.filter(|until| now < *until)
    }

    /// Returns the utilisation of the slots, or of the rate limit `rate` where that is more.
    pub(super) fn utilisation(
        &self,
        now: Time,
        config: &RouterConfig,
        rate: Option<RateLimit>,
    ) -> f64 {
        let of_slots = self.slot_utilisation(now, config);
        rate.map_or(of_slots, |rate| of_slots.max(self.rate_utilisation(now, config, rate)))
    }

    /// Returns the utilisation last reported, corrected by the attempts that this node started and
    /// ended since; the node's own attempts alone where the report is too old.
    fn slot_utilisation(&self, now: Time, config: &RouterConfig) -> f64 {
        let limit = f64::from(self.load.limit.max(1));
        if !self.is_reported_within(now, config.max_load_age) {
            return f64::from(self.in_flight) / limit;
        }
        let started_since = f64::from(self.in_flight) - f64::from(self.in_flight_at_report);
        (self.load.utilisation() + started_since / limit).max(f64::from(self.in_flight) / limit)
    }

    /// Returns the part of the rate limit `rate` that is used, 1.0 or more while it is expected to
    /// be used up.
    fn rate_utilisation(&self, now: Time, config: &RouterConfig, rate: RateLimit) -> f64 {
        let spent = match self.rate_spent_until {
            Some(until) if now < until => 1.0 + until.since(now).as_secs_f64(),
            _ => 0.0,
        };
        if !self.is_reported_within(now, config.max_rate_age) {
            return spent;
        }
        let reported = self.load.rate_percent.map_or(0.0, |percent| f64::from(percent) / 100.0);
        // The reported use covers one second, in which a rate below one call has room for one.
        spent.max(reported + f64::from(self.sent_since_report) / rate.per_second().max(1.0))
    }

    /// Returns whether the instance has reported its load since `at`.
    pub(super) fn has_answered_since(&self, at: Time) -> bool {
        self.reported_at.is_some_and(|reported| at <= reported)
    }

    fn is_reported_within(&self, now: Time, max_age: Duration) -> bool {
        self.reported_at.is_some_and(|at| now.since(at) < max_age)
    }

    /// Returns the weight in random draws, 1.0 outside the slow start.
    pub(super) fn weight(&self, now: Time, config: &RouterConfig) -> f64 {
        let Some(since) = self.warming_since else { return 1.0 };
        let progress = now.since(since).as_secs_f64() / config.slow_start.as_secs_f64().max(1e-9);
        progress.clamp(MIN_SLOW_START_WEIGHT, 1.0)
    }
}
