//! Pacing of the calls that start on an upstream which reports a rate limit.

use std::time::Duration;
use sycamore_types::prelude::*;

/// Maximum time between two calls. An upstream that reports a limit of zero must get a call now and
/// then, since only its answers can end the limit.
const MAX_INTERVAL: Duration = Duration::from_secs(4);
/// Minimum time by which calls may start ahead of the mean rate, so that the limit is used although
/// timers and arrivals are late; one interval where that is longer.
const MIN_BURST_TIME: Duration = Duration::from_millis(100);
/// Maximum time by which calls may start ahead of the mean rate.
const MAX_BURST_TIME: Duration = Duration::from_secs(1);
/// Period over which starts are counted.
const PERIOD: Duration = Duration::from_secs(1);
/// Number of parts of [`PERIOD`] that are counted apart.
const PARTS: usize = 10;
/// Multiple of a new limit that may have started in the [`PERIOD`] before it without being made up
/// for afterwards.
const FREE_EXCESS: f64 = 2.0;
/// Time over which calls that started before a new limit, beyond [`FREE_EXCESS`], are made up for by
/// a lower rate.
const REPAY_TIME: Duration = Duration::from_secs(3);

/// Generic cell rate algorithm (ITU-T I.371): within any span, calls start at most at the limit, and
/// those of the burst time more.
#[derive(Debug, Clone, Default)]
pub(super) struct Pacer {
    limit: Option<RateLimit>,
    /// Theoretical start of the next call at the mean rate.
    due: Time,
    /// Lower rate in force until the time that is given.
    repayment: Option<(RateLimit, Time)>,
    starts: StartCounter,
}

impl Pacer {
    /// Sets the limit from `now` on; `None` ends it.
    pub(super) fn set_limit(&mut self, now: Time, limit: Option<RateLimit>) {
        if self.limit == limit {
            return;
        }
        let calls_ahead = self.calls_ahead(now);
        self.repayment = limit.and_then(|limit| self.repayment_at(now, limit));
        self.limit = limit;
        // Calls that started ahead of the old rate are ahead of the new one, which would otherwise
        // let a burst start with each change.
        self.due = self.after(now, now, calls_ahead);
    }

    /// Returns the limit.
    pub(super) fn limit(&self) -> Option<RateLimit> {
        self.limit
    }

    /// Returns whether a call may start at `now`.
    pub(super) fn may_start(&self, now: Time) -> bool {
        self.limit.is_none() || self.due <= now + self.burst_time()
    }

    /// Records the start of a call.
    pub(super) fn record_start(&mut self, now: Time) {
        self.starts.record(now);
        if self.limit.is_some() {
            self.due = self.after(now, self.due.max(now), 1.0);
        }
    }

    /// Returns the time from `now` until a call may start behind `ahead` others.
    pub(super) fn wait(&self, now: Time, ahead: usize) -> Duration {
        if self.limit.is_none() {
            return Duration::ZERO;
        }
        let first = self.due.since(now + self.burst_time());
        let behind = u32::try_from(ahead).unwrap_or(u32::MAX);
        first.saturating_add(self.interval(now).saturating_mul(behind))
    }

    /// Returns the mean time between two calls.
    pub(super) fn interval(&self, now: Time) -> Duration {
        let rate = match self.repayment {
            Some((rate, until)) if now < until => Some(rate),
            _ => self.limit,
        };
        rate.map_or(Duration::ZERO, |rate| rate.interval(MAX_INTERVAL))
    }

    /// Returns the time at which `calls` may have started since `start` at the mean rate. A lower rate
    /// for repayment delays them at most until its end.
    fn after(&self, now: Time, start: Time, calls: f64) -> Time {
        let at_rate = start + self.interval(now).mul_f64(calls);
        match (self.repayment, self.limit) {
            (Some((_, until)), Some(limit)) => {
                let after_repayment =
                    start.max(until) + limit.interval(MAX_INTERVAL).mul_f64(calls);
                at_rate.min(after_repayment)
            }
            _ => at_rate,
        }
    }

    /// Returns the number of calls that have started ahead of the mean rate.
    fn calls_ahead(&self, now: Time) -> f64 {
        match self.interval(now) {
            Duration::ZERO => 0.0,
            interval => self.due.since(now).div_duration_f64(interval),
        }
    }

    /// Returns the time by which calls may start ahead of the mean rate.
    fn burst_time(&self) -> Duration {
        let interval = self.limit.map_or(Duration::ZERO, |limit| limit.interval(MAX_INTERVAL));
        interval.clamp(MIN_BURST_TIME, MAX_BURST_TIME)
    }

    /// Returns the share of the limit that `queued` waiting calls and the calls started within the
    /// last second use, in percent; `None` without a limit.
    pub(super) fn used_percent(&self, now: Time, queued: usize) -> Option<u16> {
        let rate = self.limit?.per_second();
        let demand = f64::from(self.starts.count(now)) + queued as f64;
        // A rate below one call a second is used or not, depending on the last call alone.
        let counted = if rate * PERIOD.as_secs_f64() >= 1.0 { demand / rate * 100.0 } else { 0.0 };
        let used = if self.may_start(now) { counted } else { counted.max(100.0) };
        // The cast saturates.
        Some(used as u16)
    }

    /// Returns the lower rate by which calls that started in the last second are made up for.
    fn repayment_at(&self, now: Time, limit: RateLimit) -> Option<(RateLimit, Time)> {
        let rate = limit.per_second();
        let free = FREE_EXCESS * rate * PERIOD.as_secs_f64();
        let excess = (f64::from(self.starts.count(now)) - free).max(0.0);
        let repaid = RateLimit::new((rate - excess / REPAY_TIME.as_secs_f64()).max(0.0)).ok()?;
        (excess > 0.0).then(|| (repaid, now + REPAY_TIME))
    }
}

/// Counts of the calls started in the last [`PERIOD`], in [`PARTS`].
#[derive(Debug, Clone, Default)]
struct StartCounter {
    parts: [u32; PARTS],
    /// Number of the part that was last counted in, from the start of the clock.
    last: u64,
}

impl StartCounter {
    fn record(&mut self, now: Time) {
        let part = part_of(now);
        for passed in (self.last + 1..=part).take(PARTS) {
            self.parts[index_of(passed)] = 0;
        }
        self.last = self.last.max(part);
        self.parts[index_of(part)] += 1;
    }

    fn count(&self, now: Time) -> u32 {
        let part = part_of(now);
        let oldest = part.saturating_sub(PARTS as u64 - 1);
        (oldest..=part.min(self.last)).map(|part| self.parts[index_of(part)]).sum()
    }
}

fn part_of(now: Time) -> u64 {
    let part = PERIOD / PARTS as u32;
    u64::try_from(u128::from(now.0) / part.as_micros().max(1)).unwrap_or(u64::MAX)
}

fn index_of(part: u64) -> usize {
    // The remainder is below PARTS.
    (part % PARTS as u64) as usize
}
