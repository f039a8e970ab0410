//! Checks the soak's invariants, which are guaranteed to callers, upstreams and operators, while faults
//! are injected.

use crate::load::{Ended, Record};
use crate::measure::Violations;
use crate::stand_in::upstream::report::Count;
use crate::witness::Ledger;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

/// Timeout that callers send with each call.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Time after [`CALL_TIMEOUT`] within which the final answer must arrive from an undisturbed node:
/// what the users allow after a route's timeout.
const ANSWER_SLACK: Duration = Duration::from_millis(500);
/// Time after the start of an upstream's drain during which calls may still reach it, as the users
/// allow, in microseconds.
const DRAIN_ALLOWED_US: u64 = 3_000_000;
/// Time after a node has passed on an answer with a leave after which its calls must not reach that
/// upstream process, as the users allow, in microseconds.
const LEAVE_ALLOWED_US: u64 = 2_000_000;
/// Reason of a refusal of a repeated call while the first call with its key is running: a correct
/// answer although the key has run.
const IN_PROGRESS: &str = "in-progress";

/// Violated invariant: its name, and the observation that shows it.
pub type Violation = (&'static str, String);

/// Period in which a fault affects the callers of one address.
#[derive(Debug, Clone, Copy)]
struct Window {
    /// Start of the period, in microseconds since the Unix epoch.
    from_us: u64,
    /// End of the period, in microseconds since the Unix epoch; `None` while the fault goes on.
    to_us: Option<u64>,
    /// Whether the fault made open connections silent for good. Such a fault excuses only calls without
    /// an answer, because calls on other connections are answered.
    silent: bool,
}

/// Checker of the invariants, with the calls, disturbances and violations recorded so far.
#[derive(Debug, Default)]
pub struct Invariants {
    records: RefCell<HashMap<String, Vec<Record>>>,
    windows: RefCell<BTreeMap<SocketAddr, Vec<Window>>>,
    violations: RefCell<BTreeSet<Violation>>,
}

impl Invariants {
    /// Records a call that ended, for the next check.
    pub fn record_call(&self, record: &Record) {
        self.records.borrow_mut().entry(record.token.clone()).or_default().push(record.clone());
    }

    /// Records that a fault which affects the callers of `addr` begins.
    pub fn begin_disturbance(&self, addr: SocketAddr, now_us: u64) {
        let window = Window { from_us: now_us, to_us: None, silent: false };
        self.windows.borrow_mut().entry(addr).or_default().push(window);
    }

    /// Records that the open connections of the callers of `addr` go silent for good: bytes sent on
    /// them never arrive.
    pub fn begin_silence(&self, addr: SocketAddr, now_us: u64) {
        let window = Window { from_us: now_us, to_us: None, silent: true };
        self.windows.borrow_mut().entry(addr).or_default().push(window);
    }

    /// Records that one of the faults which affect the callers of `addr` ends.
    pub fn end_disturbance(&self, addr: SocketAddr, now_us: u64) {
        let mut windows = self.windows.borrow_mut();
        let open =
            windows.entry(addr).or_default().iter_mut().find(|w| w.to_us.is_none() && !w.silent);
        if let Some(window) = open {
            window.to_us = Some(now_us);
        }
    }

    /// Records a violation of the invariant `name`, shown by `seen`.
    pub fn add_violation(&self, name: &'static str, seen: String) {
        self.violations.borrow_mut().insert((name, seen));
    }

    /// Checks an upstream's count of the requests that it got.
    pub fn check_count(&self, instance: &str, count: &Count) {
        if count.worst_ratio > 1.0 {
            let Count { worst_got, worst_before, .. } = count;
            let seen = format!(
                "{instance}: {worst_got} requests in 4 s, {worst_before} of them before the first report"
            );
            self.add_violation("over the rate limit", seen);
        }
    }

    /// Checks that no call reached an upstream process after the node that it was sent to had passed
    /// on an answer in which that process reported its leave. A disturbance of that node since then
    /// excuses the call.
    pub fn check_leaves(&self, ledger: &Ledger) {
        let records = self.records.borrow();
        let answers = records.values().flatten().filter(|record| record.leaving);
        for answer in answers {
            let (Some(addr), Some(instance)) = (answer.addr, &answer.instance) else { continue };
            let passed_us = answer.sent_us + answer.latency.as_micros() as u64;
            let Some(reported) = ledger.runs_on(instance).find(|run| run.token == answer.token)
            else {
                continue;
            };
            // The process may have been replaced while its answer was on its way to the caller.
            let end_us = ledger.next_start_of(instance, reported.at_us);
            let late = ledger.runs_on(instance).filter(|run| run.at_us < end_us);
            for run in late {
                let Some(record) = records.get(&run.token).and_then(|records| records.first())
                else {
                    continue;
                };
                let is_late = record.sent_us > passed_us + LEAVE_ALLOWED_US;
                let is_same_node = record.addr == Some(addr) && record.sendings == 1;
                if is_late && is_same_node && !self.is_disturbed(addr, passed_us, run.at_us) {
                    let seen = format!("{instance}: {} after {}", run.token, answer.token);
                    self.add_violation("work after a reported leave", seen);
                }
            }
        }
    }

    /// Checks all calls recorded so far against the runs that upstreams reported.
    pub fn check_calls(&self, ledger: &Ledger) {
        let runs = ledger.runs();
        for (token, records) in self.records.borrow().iter() {
            let ran = runs.get(token.as_str()).map_or(0, Vec::len);
            if ran > 1 && !records[0].idempotent {
                self.add_violation(
                    "ran twice",
                    format!("{token}: {records:?}, {:?}", runs[&**token]),
                );
            }
            // While a second sending has no answer yet, it may be the one that ran.
            let all_ended = records.len() == records[0].sendings;
            if ran > 0 && all_ended && records.iter().all(is_refused_as_not_run) {
                self.add_violation("not run, and ran", format!("{token}: {records:?}"));
            }
            for record in records {
                self.check_answer(record);
            }
        }
        let late = ledger.runs_after_drain(DRAIN_ALLOWED_US);
        if late > 0 {
            self.add_violation("work after leaving", format!("{late} runs"));
        }
    }

    /// Records a violation if the call's answer is wrong, truncated or late without an excuse.
    fn check_answer(&self, record: &Record) {
        match record.ended {
            Ended::Wrong => self.add_violation("another's answer", format!("{record:?}")),
            Ended::Short => self.add_violation("answer not whole", format!("{record:?}")),
            _ => {}
        }
        let late = record.latency > CALL_TIMEOUT + ANSWER_SLACK;
        if late && !self.was_disturbed(record) {
            self.add_violation("answer late", format!("{record:?}"));
        }
    }

    /// Records a violation for each kind of wrong configuration counted in `seen`.
    pub fn check_configs(&self, seen: &Violations) {
        let counts = [
            ("configuration went back", seen.config_went_back),
            ("configuration in part", seen.partial_apply),
            ("route without its service", seen.dangling_route),
        ];
        for (name, count) in counts {
            if count > 0 {
                self.add_violation(name, format!("{count} times"));
            }
        }
    }

    /// Returns the violations recorded so far, sorted by name.
    pub fn violations(&self) -> Vec<Violation> {
        self.violations.borrow().iter().cloned().collect()
    }

    /// Returns the number of recorded calls per [`Ended`] variant, keyed by the variant's name.
    pub fn call_counts(&self) -> BTreeMap<String, usize> {
        let mut counts = BTreeMap::new();
        for record in self.records.borrow().values().flatten() {
            *counts.entry(format!("{:?}", record.ended)).or_default() += 1;
        }
        counts
    }

    /// Returns whether a fault affected the callers of `addr` within a period.
    fn is_disturbed(&self, addr: SocketAddr, from_us: u64, to_us: u64) -> bool {
        let windows = self.windows.borrow();
        windows
            .get(&addr)
            .into_iter()
            .flatten()
            .any(|w| w.from_us <= to_us && w.to_us.is_none_or(|to| to >= from_us))
    }

    /// Returns whether a fault excuses a late answer to the call.
    fn was_disturbed(&self, record: &Record) -> bool {
        let Some(addr) = record.addr else { return true };
        let ended_us = record.sent_us + record.latency.as_micros() as u64;
        let windows = self.windows.borrow();
        windows.get(&addr).into_iter().flatten().any(|w| {
            let overlaps = w.from_us <= ended_us && w.to_us.is_none_or(|to| to >= record.sent_us);
            overlaps && (!w.silent || record.ended == Ended::TimedOut)
        })
    }
}

/// Returns whether the answer claims that no request with the call's key has run.
fn is_refused_as_not_run(record: &Record) -> bool {
    record.ended == Ended::Refused && record.reason.as_deref() != Some(IN_PROGRESS)
}
