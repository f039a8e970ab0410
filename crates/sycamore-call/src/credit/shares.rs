//! Parts of an account's rate that its home leaves to borrowers for the time in which they can't reach
//! it.

use std::collections::BTreeMap;
use std::time::Duration;
use sycamore_types::prelude::*;

/// Period over which the calls lent to a borrower are averaged.
const MEAN_PERIOD: Duration = Duration::from_secs(1);
/// Time after its last loan for which a borrower may keep its part.
pub(super) const SHARE_TIME: Duration = Duration::from_secs(2);

/// Parts of one account's rate by borrower, which add up to no more than the rate.
///
/// What was lent of late doesn't tell the rate by itself: a burst is lent at once, and borrowers that
/// all went on at that speed would exceed the rate together.
#[derive(Debug, Clone, Default)]
pub(super) struct Shares {
    parts: BTreeMap<InstanceId, Part>,
    /// Mean of the calls lent to all borrowers, in calls per second.
    total: Mean,
}

#[derive(Debug, Clone, Default)]
struct Part {
    lent: Mean,
    /// Rate that the borrower may go on at, in calls per second.
    per_second: f64,
    /// Time until which the borrower may begin to do so.
    until: Time,
}

impl Shares {
    /// Records a loan of `calls` at `now`, and returns the part of the account's `rate` that
    /// `borrower` may go on at if this loan remains its last; both in calls per second.
    pub(super) fn grant(&mut self, now: Time, rate: f64, borrower: &InstanceId, calls: u32) -> f64 {
        self.parts.retain(|_, part| now < part.until);
        let total = self.total.add(now, calls);
        let others = self.parts.iter().filter(|(name, _)| *name != borrower);
        let free = (rate - others.map(|(_, part)| part.per_second).sum::<f64>()).max(0.0);
        let part = self.parts.entry(borrower.clone()).or_default();
        let own = part.lent.add(now, calls) * rate / total.max(rate);
        part.per_second = own.min(free);
        part.until = now + SHARE_TIME;
        part.per_second
    }
}

/// Mean number of calls per second that decays over [`MEAN_PERIOD`].
#[derive(Debug, Clone, Copy, Default)]
struct Mean {
    per_second: f64,
    updated: Time,
}

impl Mean {
    /// Adds `calls` at `now` and returns the mean.
    fn add(&mut self, now: Time, calls: u32) -> f64 {
        let periods = now.since(self.updated).as_secs_f64() / MEAN_PERIOD.as_secs_f64();
        let added = f64::from(calls) / MEAN_PERIOD.as_secs_f64();
        self.per_second = self.per_second * (-periods).exp() + added;
        self.updated = self.updated.max(now);
        self.per_second
    }
}
