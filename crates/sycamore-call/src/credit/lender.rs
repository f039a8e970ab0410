//! Home of accounts: token buckets from which calls are lent to other nodes.

use super::shares::Shares;
use super::{Ask, LOAN_TIME};
use std::collections::BTreeMap;
use std::time::Duration;
use sycamore_types::prelude::*;

/// Time for which a loan is remembered, so that a repeated request isn't granted again.
const REQUEST_MEMORY: Duration = Duration::from_secs(1);

/// Time from a loan to the start of the calls that waited for it.
const START_TIME: Duration = Duration::from_millis(30);

/// Longest time for which a home lends nothing to make up for what was spent without it.
const MAX_DEBT: Duration = Duration::from_secs(1);

/// Calls lent on one request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Loan {
    /// Number of calls.
    pub calls: u32,
    /// Time until there is credit for a further call.
    pub wait: Duration,
    /// Part of the account's rate that the borrower may go on at if it loses the home after this loan,
    /// in calls per 1,000 s. Those of all borrowers add up to no more than the rate.
    pub alone_per_ks: u32,
}

/// Token buckets of the accounts whose home this node is.
#[derive(Debug, Clone, Default)]
pub struct Lender {
    buckets: BTreeMap<AccountName, Bucket>,
}

#[derive(Debug, Clone)]
struct Bucket {
    /// Calls that may be lent.
    tokens: f64,
    updated: Time,
    /// Earliest time of a loan: those of an earlier home are void by then.
    opens_at: Time,
    /// Loans of the last [`REQUEST_MEMORY`] by borrower and number of its request.
    lent: BTreeMap<(InstanceId, u64), (Loan, Time)>,
    shares: Shares,
}

impl Lender {
    /// Makes this node the home of `accounts` at `now`, and of no others. The bucket of an account that
    /// is new to it starts empty, since an earlier home may have lent what was in its own.
    pub fn serve<'a>(&mut self, now: Time, accounts: impl Iterator<Item = &'a AccountName>) {
        let mut earlier = std::mem::take(&mut self.buckets);
        for name in accounts {
            let bucket = earlier.remove(name).unwrap_or_else(|| Bucket {
                tokens: 0.0,
                updated: now,
                opens_at: now + LOAN_TIME,
                lent: BTreeMap::new(),
                shares: Shares::default(),
            });
            self.buckets.insert(name.clone(), bucket);
        }
    }

    /// Lends up to the wanted calls of `account` for the request of `borrower`; a repeated request gets
    /// the loan that it had. `None` if this node isn't the account's home.
    pub fn lend(
        &mut self,
        now: Time,
        account: &ClientAccount,
        borrower: &InstanceId,
        ask: Ask,
    ) -> Option<Loan> {
        let rate = account.rate?.per_second();
        let bucket = self.buckets.get_mut(&account.name)?;
        bucket.lent.retain(|_, (_, at)| now.since(*at) < REQUEST_MEMORY);
        if let Some((loan, _)) = bucket.lent.get(&(borrower.clone(), ask.number)) {
            return Some(*loan);
        }
        bucket.refill(now, rate, account.burst);
        // While this home was out of reach, its bucket filled and others spent in its place; while some
        // nodes spend without a home, one that others know lends them the whole rate.
        let debt = rate * MAX_DEBT.as_secs_f64();
        bucket.tokens = (bucket.tokens - f64::from(ask.spent)).max(-debt);
        let loan = bucket.take(now, rate, ask.wanted);
        let alone = bucket.shares.grant(now, rate, borrower, loan.calls);
        // The cast saturates, and rounds down.
        let loan = Loan { alone_per_ks: (alone * 1_000.0) as u32, ..loan };
        bucket.lent.insert((borrower.clone(), ask.number), (loan, now));
        Some(loan)
    }
}

impl Bucket {
    /// Adds the calls of the time since the last update. Lent calls start up to [`START_TIME`] later, so
    /// the bucket holds as much less than the burst, and one call at least.
    fn refill(&mut self, now: Time, rate: f64, burst: u32) {
        let capacity = (f64::from(burst) - rate * START_TIME.as_secs_f64()).max(1.0);
        let elapsed = now.since(self.updated).as_secs_f64();
        self.tokens = (self.tokens + elapsed * rate).min(capacity);
        self.updated = self.updated.max(now);
    }

    fn take(&mut self, now: Time, rate: f64, wanted: u32) -> Loan {
        let is_open = self.opens_at <= now;
        // The cast saturates, also for a bucket in debt.
        let calls = if is_open { wanted.min(self.tokens as u32) } else { 0 };
        self.tokens -= f64::from(calls);
        let missing = (1.0 - self.tokens).max(0.0);
        let refill = Duration::try_from_secs_f64(missing / rate).unwrap_or(Duration::MAX);
        let wait = refill.max(self.opens_at.since(now));
        Loan { calls, wait, ..Loan::default() }
    }
}
