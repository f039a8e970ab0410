//! Tests of what is known of an upstream process from its answers.

use super::common::at;
use sycamore_call::report::{LimitReport, ProcessReport, ReportChange, ReportLog};
use sycamore_types::prelude::*;

const PROCESS: ProcessId = ProcessId(7);

fn limit(per_second: f64) -> RateLimit {
    RateLimit::new(per_second).unwrap()
}

fn log() -> ReportLog {
    let mut log = ReportLog::default();
    log.begin(PROCESS);
    log
}

/// Records the report of an answer that arrived at `now` to a call sent at `sent`, in milliseconds.
fn record(log: &mut ReportLog, sent: u64, now: u64, report: LimitReport) -> Option<RateLimit> {
    log.record_limit(PROCESS, at(sent), at(now), report);
    log.limit()
}

/// Guards against a limit that outlives the answers which name it.
#[test]
fn each_answer_states_the_limit_of_the_moment() {
    let mut log = log();
    assert_eq!(record(&mut log, 0, 100, LimitReport::Limit(limit(18.4))), Some(limit(18.4)));
    assert_eq!(record(&mut log, 100, 200, LimitReport::Limit(limit(30.0))), Some(limit(30.0)));
    assert_eq!(record(&mut log, 200, 300, LimitReport::Limit(limit(5.0))), Some(limit(5.0)));
    assert_eq!(record(&mut log, 300, 400, LimitReport::Unlimited), None);
    assert_eq!(record(&mut log, 400, 500, LimitReport::Limit(limit(0.0))), Some(limit(0.0)));
}

/// Guards against a burst at an upstream whose limit an answer from before the limit seems to end.
#[test]
fn an_answer_to_a_call_from_before_a_report_neither_raises_nor_ends_the_limit() {
    let mut log = log();
    record(&mut log, 0, 100, LimitReport::Limit(limit(10.0)));
    assert_eq!(record(&mut log, 50, 110, LimitReport::Unlimited), Some(limit(10.0)));
    assert_eq!(record(&mut log, 50, 120, LimitReport::Limit(limit(20.0))), Some(limit(10.0)));
    assert_eq!(record(&mut log, 50, 130, LimitReport::Limit(limit(8.0))), Some(limit(8.0)));
    assert_eq!(record(&mut log, 130, 150, LimitReport::Limit(limit(20.0))), Some(limit(20.0)));
    assert_eq!(record(&mut log, 150, 160, LimitReport::Unlimited), None);
}

/// Guards against a value that can't be read lifting a limit, or setting one.
#[test]
fn a_report_that_cannot_be_read_changes_nothing() {
    let mut log = log();
    assert_eq!(record(&mut log, 0, 10, LimitReport::Unknown), None);
    record(&mut log, 10, 20, LimitReport::Limit(limit(3.0)));
    assert_eq!(record(&mut log, 20, 30, LimitReport::Unknown), Some(limit(3.0)));
}

/// Guards against the reports of one process being applied to its successor at the same address.
#[test]
fn reports_belong_to_one_process() {
    let mut log = log();
    record(&mut log, 0, 10, LimitReport::Limit(limit(3.0)));
    assert_eq!(log.record_leaving(PROCESS), Some(ReportChange::Leaving));
    assert_eq!(log.record_leaving(PROCESS), None);
    log.begin(PROCESS);
    assert!(log.limit().is_some() && log.is_leaving());
    log.begin(ProcessId(8));
    assert!(log.limit().is_none() && !log.is_leaving());
    assert_eq!(record(&mut log, 20, 30, LimitReport::Limit(limit(3.0))), None);
    assert_eq!(log.record_leaving(PROCESS), None);
}

/// Guards against a limit heard from another node that outweighs what the upstream itself said, and a
/// higher one that outweighs a lower one.
#[test]
fn a_limit_from_another_node_holds_until_the_upstream_is_heard() {
    let mut log = log();
    assert!(log.adopt_limit(ProcessId(8), at(0), limit(1.0)).is_none(), "another process");
    for (adopted, in_force) in [(9.0, 9.0), (12.0, 9.0), (4.0, 4.0)] {
        log.adopt_limit(PROCESS, at(10), limit(adopted));
        assert_eq!(log.limit(), Some(limit(in_force)));
    }
    assert_eq!(log.report().map(|report| report.limit), Some(LimitReport::Limit(limit(4.0))));
    assert_eq!(record(&mut log, 5, 20, LimitReport::Unlimited), Some(limit(4.0)), "sent before");
    assert_eq!(record(&mut log, 20, 30, LimitReport::Unlimited), None);
    assert!(log.adopt_limit(PROCESS, at(40), limit(1.0)).is_none());
    assert_eq!(log.report().map(|report| report.limit), Some(LimitReport::Unlimited));
}

/// Guards against a report that the receiving node can't parse or that malformed text passes for.
#[test]
fn reports_survive_formatting_and_parsing() {
    for known in [LimitReport::Unlimited, LimitReport::Unknown, LimitReport::Limit(limit(18.4))] {
        for is_leaving in [false, true] {
            let report = ProcessReport { process: PROCESS, limit: known, is_leaving };
            assert_eq!(report.to_string().parse(), Ok(report));
        }
    }
    for bad in ["", "7", "7/-", "x/-/0", "7/-/2", "7/nan/0", "7/1e30/0", "7/-1/0", "7/-/0/0"] {
        assert!(bad.parse::<ProcessReport>().is_err(), "{bad}");
    }
}
