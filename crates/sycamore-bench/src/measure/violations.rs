//! Counts of guarantee violations that a run has observed.

use serde::Serialize;
use std::ops::AddAssign;

/// Counts of violated guarantees; every count of a correct run is 0.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Violations {
    /// A node replaced its configuration by an older version.
    pub config_went_back: usize,
    /// A node used a route whose service its configuration lacks.
    pub dangling_route: usize,
    /// A configuration was applied in part: nodes had different manifests of one version.
    pub partial_apply: usize,
    /// A non-idempotent request, or one with an idempotency key, ran more than once.
    pub ran_twice: usize,
    /// A request that was refused as not run had run.
    pub false_not_run: usize,
    /// A caller got the answer to another call.
    pub wrong_answer: usize,
    /// A truncated answer looked complete, or a graceful shutdown cut an answer off.
    pub cut_answer: usize,
    /// A draining upstream got a request later than the run allows.
    pub work_after_drain: usize,
    /// A version found bad got a request later after the verdict than the run allows.
    pub work_after_verdict: usize,
}

impl Violations {
    /// Sums all counts.
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
