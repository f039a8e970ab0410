//! Spending of an account's rate at the node that its calls come in at.

use super::{Loan, LOAN_TIME};
use std::collections::VecDeque;
use std::time::Duration;
use sycamore_types::prelude::*;

/// Time without an answer after which a request is sent again.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(30);
/// Time without an answer after which the account's home counts as unreachable.
const HOME_TIMEOUT: Duration = Duration::from_millis(120);
/// Period over which the calls that were lent give the rate to spend without a home.
const LENT_PERIOD: Duration = Duration::from_secs(2);
/// Longest time for which a node spends without a home.
const MAX_TIME_WITHOUT_HOME: Duration = Duration::from_secs(5);
/// Delay that a caller is told while no home can be reached.
const UNREACHABLE_RETRY: Duration = Duration::from_millis(300);
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
    number: u64,
    wanted: u32,
    /// Time at which it was first sent, and last.
    first_at: Time,
    last_at: Time,
}

/// Credit of one account at one node.
#[derive(Debug, Clone, Default)]
pub struct Borrower {
    calls: u32,
    expires: Time,
    waiting: VecDeque<u64>,
    asked: Option<Asked>,
    /// Time before which the home has no credit.
    empty_until: Time,
    /// Calls lent in the last [`LENT_PERIOD`] before the home was lost.
    lent: VecDeque<(Time, u32)>,
    /// Time since which the node spends without a home, and the calls that it has spent.
    without_home: Option<(Time, u32)>,
    /// Whether a call came while no home answered.
    must_probe: bool,
    next_number: u64,
}

impl Borrower {
    /// Creates an account's credit; `first` numbers its first request, and differs between starts of
    /// the node.
    pub fn new(first: u64) -> Self {
        Self { next_number: first, ..Self::default() }
    }

    /// Spends credit for the call `id`.
    pub fn spend(&mut self, now: Time, id: u64) -> Spent {
        self.forget(now);
        if self.take(now) {
            return Spent::Run;
        }
        if self.without_home.is_some() {
            self.must_probe = true;
            return self.spend_without_home(now);
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

    /// Returns the number and the calls of a request that is due, and records that it is sent: for the
    /// calls that wait, or for one while no home answers.
    pub fn request(&mut self, now: Time) -> Option<(u64, u32)> {
        self.forget(now);
        if let Some(asked) = &mut self.asked {
            if now.since(asked.last_at) < ANSWER_TIMEOUT {
                return None;
            }
            asked.last_at = now;
            return Some((asked.number, asked.wanted));
        }
        let count = u32::try_from(self.waiting.len()).unwrap_or(u32::MAX);
        let wanted = count.min(MAX_WANTED).max(u32::from(std::mem::take(&mut self.must_probe)));
        if wanted == 0 || now < self.empty_until {
            return None;
        }
        let number = self.next_number;
        self.next_number = self.next_number.wrapping_add(1);
        self.asked = Some(Asked { number, wanted, first_at: now, last_at: now });
        Some((number, wanted))
    }

    /// Returns the calls of request `number` if it is still open, and records that it is sent to another
    /// node at `now`.
    pub fn redirect(&mut self, now: Time, number: u64) -> Option<u32> {
        let asked = self.asked.as_mut().filter(|asked| asked.number == number)?;
        asked.last_at = now;
        Some(asked.wanted)
    }

    /// Applies the answer to request `number`; returns the waiting calls that may be sent on, and those
    /// that are refused.
    pub fn answer(
        &mut self,
        now: Time,
        number: u64,
        loan: Loan,
    ) -> (Vec<u64>, Vec<(u64, Refusal)>) {
        let Some(asked) = self.asked.take_if(|asked| asked.number == number) else {
            return Default::default();
        };
        // The loan may have been made when the request was first sent.
        let left = if now < self.expires { self.calls } else { 0 };
        self.calls = left + loan.calls;
        self.expires = asked.first_at + LOAN_TIME;
        self.without_home = None;
        self.lent.push_back((now, loan.calls));
        let mut run = Vec::new();
        while !self.waiting.is_empty() && self.take(now) {
            run.extend(self.waiting.pop_front());
        }
        if loan.calls >= asked.wanted {
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
        self.forget(now);
        let is_lost = self.asked.is_some_and(|asked| now.since(asked.first_at) >= HOME_TIMEOUT);
        if !is_lost {
            return Default::default();
        }
        self.asked = None;
        // Nothing was spent since the last loan, so the account's rate has room for that time.
        let since = self.lent.back().map_or(now, |(at, _)| *at);
        self.without_home.get_or_insert((since, 0));
        let (mut run, mut refused) = (Vec::new(), Vec::new());
        for id in std::mem::take(&mut self.waiting) {
            match self.spend_without_home(now) {
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

    /// Spends at the mean rate at which the home has lent, which all nodes together kept to the
    /// account's rate.
    fn spend_without_home(&mut self, now: Time) -> Spent {
        let Some((since, spent)) = &mut self.without_home else { return Spent::Wait };
        let lent: u32 = self.lent.iter().map(|(_, calls)| *calls).sum();
        let elapsed = now.since(*since).as_secs_f64();
        let allowed = f64::from(lent) * elapsed / LENT_PERIOD.as_secs_f64();
        if now.since(*since) < MAX_TIME_WITHOUT_HOME && f64::from(*spent) < allowed {
            *spent += 1;
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

    fn forget(&mut self, now: Time) {
        if self.without_home.is_none() {
            while self.lent.front().is_some_and(|(at, _)| now.since(*at) >= LENT_PERIOD) {
                self.lent.pop_front();
            }
        }
    }
}
