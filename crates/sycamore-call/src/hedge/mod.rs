//! Second attempts for the slowest calls (hedged requests; Dean and Barroso, "The Tail at Scale", 2013).

mod budget;
mod times;

use budget::Budget;
use std::collections::BTreeMap;
use std::time::Duration;
use sycamore_types::prelude::*;
use times::RouteTimes;

/// Maximum number of routes whose times are kept; calls of further routes get no second attempt.
const MAX_ROUTES: usize = 1_024;
/// Mean utilisation of a service's instances, and utilisation of the instance of a second attempt, from
/// which there is none: the extra work would delay other calls.
pub const MAX_UTILISATION: f64 = 0.7;
/// Utilisation of the first instance from which the call waits in its queue, whose end is known.
const QUEUE_UTILISATION: f64 = 1.0;

/// Settings of a [`Hedge`].
#[derive(Debug, Clone, PartialEq)]
pub struct HedgeConfig {
    /// Second attempts as a fraction of a service's calls; none where it is 0.
    pub extra: f64,
    /// Fractions of services that differ from [`HedgeConfig::extra`].
    pub services: BTreeMap<ServiceName, f64>,
    /// Fraction of a route's calls that are faster than one which gets a second attempt.
    pub quantile: f64,
    /// Minimum time before a second attempt.
    pub floor: Duration,
}

impl Default for HedgeConfig {
    fn default() -> Self {
        Self {
            extra: 0.0,
            services: BTreeMap::new(),
            quantile: 0.97,
            floor: Duration::from_millis(20),
        }
    }
}

/// Call whose first attempt is about to begin.
#[derive(Debug, Clone, Copy)]
pub struct HedgedCall<'a> {
    /// Route of the call.
    pub route: &'a RouteName,
    /// Service that is called.
    pub service: &'a ServiceName,
    /// Whether the call may run twice and can be sent twice.
    pub is_repeatable: bool,
    /// Whether the call is a retry by a node above, or its first attempt is one.
    pub is_retry: bool,
    /// Maximum number of attempts of the call.
    pub attempts: u8,
    /// Whether the first attempt goes to an unproven version.
    pub is_unproven: bool,
    /// Utilisation of the first attempt's instance.
    pub utilisation: f64,
    /// Time left until the deadline.
    pub left: Duration,
}

/// Second attempts of the calls that come in at one node.
#[derive(Debug, Clone)]
pub struct Hedge {
    config: HedgeConfig,
    times: BTreeMap<RouteName, RouteTimes>,
    budgets: BTreeMap<ServiceName, Budget>,
}

impl Hedge {
    /// Creates the state of a node that knows no times.
    pub fn new(config: HedgeConfig) -> Self {
        Self { config, times: BTreeMap::new(), budgets: BTreeMap::new() }
    }

    /// Returns whether any service may get second attempts.
    pub fn is_enabled(&self) -> bool {
        self.config.extra > 0.0 || self.config.services.values().any(|extra| *extra > 0.0)
    }

    /// Records the time from the first attempt of a call of `route` to the head of its answer.
    pub fn record_time(&mut self, now: Time, route: &RouteName, took: Duration) {
        if self.times.len() < MAX_ROUTES || self.times.contains_key(route) {
            self.times.entry(route.clone()).or_default().record(now, took);
        }
    }

    /// Counts the call, and returns the time after which it gets a second attempt unless it is answered;
    /// `None` if it gets none.
    pub fn delay(&mut self, now: Time, call: &HedgedCall<'_>) -> Option<Duration> {
        let extra = self.extra_of(call.service);
        if extra <= 0.0 {
            return None;
        }
        self.budgets.entry(call.service.clone()).or_default().record_call(now, extra);
        let usual = self.times.get(call.route)?.quantile(self.config.quantile)?;
        let delay = usual.max(self.config.floor);
        let may_repeat = call.is_repeatable && !call.is_retry && call.attempts > 1;
        let is_wanted = may_repeat
            && !call.is_unproven
            && call.utilisation < QUEUE_UTILISATION
            && call.left > delay + usual;
        is_wanted.then_some(delay)
    }

    /// Returns whether a second attempt of a call of `service` may be sent now, and counts it;
    /// `mean_utilisation` is that of the service's instances.
    pub fn spend(&mut self, now: Time, service: &ServiceName, mean_utilisation: f64) -> bool {
        let extra = self.extra_of(service);
        mean_utilisation < MAX_UTILISATION
            && self.budgets.get_mut(service).is_some_and(|budget| budget.spend(now, extra))
    }

    fn extra_of(&self, service: &ServiceName) -> f64 {
        self.config.services.get(service).copied().unwrap_or(self.config.extra)
    }
}
