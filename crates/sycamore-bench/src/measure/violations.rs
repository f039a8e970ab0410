//! Counts of broken promises.

use serde::Serialize;
use std::ops::AddAssign;

/// Counts of broken promises, which must all be 0.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Violations {
    /// A node's configuration got an older version.
    pub config_went_back: usize,
    /// A route pointed at a resource that its node did not have.
    pub dangling_route: usize,
    /// A configuration was in force in part.
    pub partial_apply: usize,
    /// A non-idempotent request, or one with an idempotency key, ran more than once.
    pub ran_twice: usize,
    /// A request refused as not run did run.
    pub false_not_run: usize,
    /// A caller got an answer that was not its own.
    pub wrong_answer: usize,
    /// An answer passed for whole and was not, or a graceful shutdown cut one.
    pub cut_answer: usize,
    /// A leaving upstream got work later than allowed.
    pub work_after_drain: usize,
    /// A bad version got work later than allowed after its verdict.
    pub work_after_verdict: usize,
}

impl Violations {
    /// All of them.
    pub fn total(&self) -> usize {
        self.config_went_back
            + self.dangling_route
            + self.partial_apply
            + self.ran_twice
            + self.false_not_run
            + self.wrong_answer
            + self.cut_answer
            + self.work_after_drain
            + self.work_after_verdict
    }
}

impl AddAssign for Violations {
    fn add_assign(&mut self, rhs: Self) {
        self.config_went_back += rhs.config_went_back;
        self.dangling_route += rhs.dangling_route;
        self.partial_apply += rhs.partial_apply;
        self.ran_twice += rhs.ran_twice;
        self.false_not_run += rhs.false_not_run;
        self.wrong_answer += rhs.wrong_answer;
        self.cut_answer += rhs.cut_answer;
        self.work_after_drain += rhs.work_after_drain;
        self.work_after_verdict += rhs.work_after_verdict;
    }
}
