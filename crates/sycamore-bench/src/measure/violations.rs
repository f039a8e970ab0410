//! Counts of guarantee violations that a run has observed.

use serde::Serialize;
use std::ops::AddAssign;

/// Counts of violated guarantees; every count of a correct run is 0.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Violations {
    /// Number of times that an older version replaced a node's configuration.
    pub config_went_back: usize,
    /// Number of routes in a node's configuration whose service that configuration lacks.
    pub dangling_route: usize,
    /// Number of configurations applied in part, seen as different manifests of one version.
    pub partial_apply: usize,
    /// Number of requests that ran more than once although they are not idempotent or carry an
    /// idempotency key.
    pub ran_twice: usize,
    /// Number of requests that were refused as not run, but had run.
    pub false_not_run: usize,
    /// Number of answers that belong to another call than the caller's.
    pub wrong_answer: usize,
    /// Number of truncated answers that looked complete, or that a graceful shutdown cut off.
    pub cut_answer: usize,
    /// Number of requests that reached a draining upstream later than the run allows.
    pub work_after_drain: usize,
    /// Number of requests that reached a bad version later after its verdict than the run allows.
    pub work_after_verdict: usize,
}

impl Violations {
    /// Returns the number of violations of all kinds.
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
