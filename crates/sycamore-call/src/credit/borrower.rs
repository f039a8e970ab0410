//! Spending of an account's rate at the node that its calls come in at.

use super::shares::SHARE_TIME;
use super::{mix, Ask, Loan, LOAN_TIME};
use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;
use sycamore_types::prelude::*;

/// Time without an answer after which a request is sent again.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(30);
/// Time without an answer after which the account's home counts as unreachable.
const HOME_TIMEOUT: Duration = Duration::from_millis(120);
/// Longest time for which a node spends without a home.
const MAX_TIME_WITHOUT_HOME: Duration = Duration::from_secs(5);
/// Delay that a caller is told while no home can be reached.
const UNREACHABLE_RETRY: Duration = Duration::from_millis(300);
/// Maximum number of requests without an answer that are remembered.
const MAX_ABANDONED: usize = 64;
/// Maximum number of calls in one request.
const MAX_WANTED: u32 = 10_000;

/// Reason for which a call has no credit, with the time after which there is some.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// The account's rate is used up.
    RateUsed(Duration),
    /// The account's home doesn't answer.
    HomeUnreachable(Duration),
}

/// Result of an attempt to spend credit for a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Spent {
    /// The call may be sent on.
    Run,
    /// The call waits for the answer to a request.
    Wait,
    /// The call is refused.
    Refused(Refusal),
}

/// Request to the account's home that isn't answered yet.
#[derive(Debug, Clone, Copy)]
struct Asked {
    ask: Ask,
    /// Time at which it was first sent, and last.
    first_at: Time,
    last_at: Time,
}

/// Spending without a home.
#[derive(Debug, Clone, Copy)]
struct Alone {
    /// Time at which the home was lost.
    since: Time,
    /// Part of the account's rate, in calls per second.
    per_second: f64,
    /// Calls spent since then.
    spent: u32,
}

/// Credit of one account at one node.
#[derive(Debug, Clone, Default)]
pub struct Borrower {
    calls: u32,
    expires: Time,
    waiting: VecDeque<u64>,
    asked: Option<Asked>,
    /// Numbers of the latest requests that were given up without an answer.
    abandoned: BTreeSet<u64>,
    /// Time before which the home has no credit.
    empty_until: Time,
    /// Time of the last loan, and the part of the account's rate that came with it, in calls per
    /// second.
    granted: Option<(Time, f64)>,
    /// Spending while no home answers.
    alone: Option<Alone>,
    /// Calls spent without a home that no home knows of.
    untold: u32,
    /// Fraction of a call by which this node rounds its part of the rate. It differs between nodes, so
    /// that all together round neither up nor down.
    rounding: f64,
    /// Whether a call came while no home answered.
    must_probe: bool,
    next_number: u64,
}

impl Borrower {
    /// Creates an account's credit; `first` numbers its first request, and differs between nodes and
    /// between starts of a node.
    pub fn new(first: u64) -> Self {
        let rounding = f64::from((mix(first) >> 32) as u32) / (f64::from(u32::MAX) + 1.0);
        Self { next_number: first, rounding, ..Self::default() }
    }

    /// Spends credit for the call `id`.
    pub fn spend(&mut self, now: Time, id: u64) -> Spent {
        if self.take(now) {
            return Spent::Run;
        }
        if self.alone.is_some() {
            self.must_probe = true;
            return self.spend_alone(now);
        }
        if now < self.empty_until {
            return Spent::Refused(Refusal::RateUsed(self.empty_until.since(now)));
        }
        self.waiting.push_back(id);
        Spent::Wait
    }

    /// Drops the call `id`, whose caller has left, from those that wait.
    pub fn cancel(&mut self, id: u64) {
        self.waiting.retain(|waiting| *waiting != id);
    }

    /// Gives back the credit of a call that has not run.
    pub fn give_back(&mut self, now: Time) {
        if now < self.expires {
            self.calls += 1;
        }
    }

    /// Returns a request that is due, and records that it is sent: for the calls that wait, or for one
    /// while no home answers.
    pub fn request(&mut self, now: Time) -> Option<Ask> {
        if let Some(asked) = &mut self.asked {
            if now.since(asked.last_at) < ANSWER_TIMEOUT {
                return None;
            }
            asked.last_at = now;
            return Some(asked.ask);
        }
        let count = u32::try_from(self.waiting.len()).unwrap_or(u32::MAX);
        let wanted = count.min(MAX_WANTED).max(u32::from(std::mem::take(&mut self.must_probe)));
        if wanted == 0 || now < self.empty_until {
            return None;
        }
        let ask = Ask { number: self.next_number, wanted, spent: self.untold };
        self.next_number = self.next_number.wrapping_add(1);
        self.asked = Some(Asked { ask, first_at: now, last_at: now });
        Some(ask)
    }

    /// Returns request `number` if it is still open, and records that it is sent to another node at
    /// `now`.
    pub fn redirect(&mut self, now: Time, number: u64) -> Option<Ask> {
        let asked = self.asked.as_mut().filter(|asked| asked.ask.number == number)?;
        asked.last_at = now;
        Some(asked.ask)
    }

    /// Applies the answer to request `number`; returns the waiting calls that may be sent on, and those
    /// that are refused.
    pub fn answer(
        &mut self,
        now: Time,
        number: u64,
        loan: Loan,
    ) -> (Vec<u64>, Vec<(u64, Refusal)>) {
        let Some(asked) = self.asked.take_if(|asked| asked.ask.number == number) else {
            if self.abandoned.remove(&number) {
                // The home was slow and not out of reach: it has lent what was spent in its place.
                self.untold = self.untold.saturating_sub(loan.calls);
            }
            return Default::default();
        };
        // The loan may have been made when the request was first sent.
        let left = if now < self.expires { self.calls } else { 0 };
        self.calls = left + loan.calls;
        self.expires = asked.first_at + LOAN_TIME;
        self.alone = None;
        self.untold = self.untold.saturating_sub(asked.ask.spent);
        self.granted = Some((now, f64::from(loan.alone_per_ks) / 1_000.0));
        let mut run = Vec::new();
        while !self.waiting.is_empty() && self.take(now) {
            run.extend(self.waiting.pop_front());
        }
        if loan.calls >= asked.ask.wanted {
            // Those that still wait came after the request.
            return (run, Vec::new());
        }
        self.empty_until = now + loan.wait;
        let refusal = Refusal::RateUsed(loan.wait);
        (run, self.waiting.drain(..).map(|id| (id, refusal)).collect())
    }

    /// Finds out whether the home has not answered in time; returns the waiting calls that may be sent
    /// on without it, and those that are refused.
    pub fn tick(&mut self, now: Time) -> (Vec<u64>, Vec<(u64, Refusal)>) {
        let is_lost = |asked: &mut Asked| now.since(asked.first_at) >= HOME_TIMEOUT;
        let Some(asked) = self.asked.take_if(is_lost) else { return Default::default() };
        self.abandoned.insert(asked.ask.number);
        if self.abandoned.len() > MAX_ABANDONED {
            self.abandoned.pop_first();
        }
        let lost = self.lose_home(asked.first_at);
        self.alone.get_or_insert(lost);
        let (mut run, mut refused) = (Vec::new(), Vec::new());
        for id in std::mem::take(&mut self.waiting) {
            match self.spend_alone(now) {
                Spent::Refused(refusal) => refused.push((id, refusal)),
                Spent::Run | Spent::Wait => run.push(id),
            }
        }
        (run, refused)
    }

    /// Returns when the machine must be ticked, or its next request is due; `None` while neither is.
    pub fn next_tick(&self) -> Option<Time> {
        self.asked.map(|asked| (asked.last_at + ANSWER_TIMEOUT).min(asked.first_at + HOME_TIMEOUT))
    }

    /// Returns the begin of spending without the home, which has not answered a request of `asked_at`.
    fn lose_home(&self, asked_at: Time) -> Alone {
        let granted = self.granted.filter(|(at, _)| asked_at.since(*at) < SHARE_TIME);
        let Some((at, per_second)) = granted else {
            return Alone { since: asked_at, per_second: 0.0, spent: 0 };
        };
        // The home was lost between its last loan and the request, unknown when: the middle, so that all
        // nodes together begin neither early nor late.
        Alone { since: at + asked_at.since(at) / 2, per_second, spent: 0 }
    }

    /// Spends at this node's part of the account's rate.
    fn spend_alone(&mut self, now: Time) -> Spent {
        let Some(alone) = &mut self.alone else { return Spent::Wait };
        let elapsed = now.since(alone.since);
        let allowed = alone.per_second * elapsed.as_secs_f64() + self.rounding;
        if elapsed < MAX_TIME_WITHOUT_HOME && f64::from(alone.spent + 1) <= allowed {
            alone.spent += 1;
            self.untold += 1;
            return Spent::Run;
        }
        Spent::Refused(Refusal::HomeUnreachable(UNREACHABLE_RETRY))
    }

    fn take(&mut self, now: Time) -> bool {
        let has_credit = self.calls > 0 && now < self.expires;
        if has_credit {
            self.calls -= 1;
        }
        has_credit
    }
}
