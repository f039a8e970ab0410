//! What the router knows of one instance.

use super::{AttemptEnd, RouterConfig};
use crate::load::Load;
use std::time::Duration;
use sycamore_types::prelude::*;

/// Time for which an instance that said it is draining gets nothing, unless the view changes first.
const DRAINING_TIME: Duration = Duration::from_secs(10);
/// Least weight of a cold instance.
const COLD_WEIGHT: f64 = 0.1;
/// Most doublings of an ejection's length.
const MAX_DOUBLINGS: u32 = 6;

#[derive(Debug, Clone)]
pub(super) struct Peer {
    pub(super) incarnation: Incarnation,
    /// Attempts of this node that have not ended.
    pub(super) under_way: u32,
    new_since: Option<Time>,
    load: Load,
    load_at: Option<Time>,
    /// Attempts of this node under way when the load was reported: part of it.
    under_way_then: u32,
    failures: u32,
    ejections: u32,
    ejected: Option<Time>,
    draining: Option<Time>,
}

impl Peer {
    pub(super) fn new(member: &Member, new_since: Option<Time>) -> Self {
        Self {
            incarnation: member.incarnation,
            under_way: 0,
            new_since,
            load: Load { limit: member.slots, ..Load::default() },
            load_at: None,
            under_way_then: 0,
            failures: 0,
            ejections: 0,
            ejected: None,
            draining: None,
        }
    }

    pub(super) fn ended(&mut self, now: Time, end: AttemptEnd, config: &RouterConfig) {
        self.under_way = self.under_way.saturating_sub(1);
        match end {
            AttemptEnd::Answered(load) => {
                if load.limit > 0 {
                    self.load = load;
                }
                self.load_at = Some(now);
                self.under_way_then = self.under_way;
                self.failures = 0;
                if self.ejected.is_some_and(|until| until <= now) {
                    self.ejected = None;
                    self.ejections = 0;
                }
            }
            AttemptEnd::Draining => self.draining = Some(now + DRAINING_TIME),
            AttemptEnd::NoUpstream => {
                self.failures = self.failures.max(config.eject_failures.saturating_sub(1));
                self.failed(now, config);
            }
            AttemptEnd::Failed => self.failed(now, config),
            AttemptEnd::Cancelled => {}
        }
    }

    fn failed(&mut self, now: Time, config: &RouterConfig) {
        self.failures += 1;
        if self.failures < config.eject_failures || self.ejected_until(now).is_some() {
            return;
        }
        let doubled = config.eject_time * 2_u32.pow(self.ejections.min(MAX_DOUBLINGS));
        self.ejected = Some(now + doubled.min(config.eject_time_max));
        self.ejections += 1;
        // One more failure after the ejection ejects again.
        self.failures = config.eject_failures.saturating_sub(1);
    }

    pub(super) fn is_draining(&self, now: Time) -> bool {
        self.draining.is_some_and(|until| now < until)
    }

    pub(super) fn ejected_until(&self, now: Time) -> Option<Time> {
        self.ejected.filter(|until| now < *until)
    }

    /// Utilisation by the load last reported, corrected by what this node did since.
    pub(super) fn utilisation(&self, now: Time, config: &RouterConfig) -> f64 {
        let fresh = self.load_at.is_some_and(|at| now.since(at) < config.load_age);
        if !fresh {
            return f64::from(self.under_way) / f64::from(self.load.limit.max(1));
        }
        let since = f64::from(self.under_way) - f64::from(self.under_way_then);
        let limit = f64::from(self.load.limit.max(1));
        (self.load.utilisation() + since / limit).max(f64::from(self.under_way) / limit)
    }

    /// How often it is drawn, 1.0 for a warm instance.
    pub(super) fn weight(&self, now: Time, config: &RouterConfig) -> f64 {
        let Some(since) = self.new_since else { return 1.0 };
        let warm = now.since(since).as_secs_f64() / config.slow_start.as_secs_f64().max(1e-9);
        warm.clamp(COLD_WEIGHT, 1.0)
    }
}
