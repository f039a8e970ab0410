//! Fixtures shared by the tests.
#![allow(dead_code)]

use std::time::Duration;
use sycamore_moves::evidence::{Cell, Counts, Report, Totals};
use sycamore_moves::plan::{
    Author, Cause, Change, MoveSpec, OnTimeout, Outcome, OutcomeKind, Summary,
};
use sycamore_types::prelude::*;

/// Returns the time at which the fixtures' moves are written.
pub fn now() -> WallTime {
    WallTime(1_796_000_000_000)
}

/// Parses an identifier of any type.
pub fn id<T: std::str::FromStr>(text: &str) -> T {
    text.parse().ok().expect("valid identifier")
}

/// Returns a move of a service of its own that starts a minute after [`now`] and has a window of
/// ten minutes.
pub fn spec(name: &str) -> MoveSpec {
    MoveSpec {
        mv: id(name),
        service: id(&format!("service-{name}")),
        from: id("1"),
        to: id("2"),
        start: now() + Duration::from_secs(60),
        deadline: now() + Duration::from_secs(660),
        cap: Share::from_basis_points(500),
        watch: Some(Duration::from_secs(60)),
        on_timeout: OnTimeout::TakeBack,
    }
}

/// Returns a change that `operator` makes at [`now`] under the operation id `op`.
pub fn change(operator: &str, op: u128) -> Change {
    Change { author: Author::Operator(id(operator)), op: OpId(op), at: now() }
}

/// Returns an outcome decided at [`now`], with the usual cause of its kind.
pub fn outcome(kind: OutcomeKind) -> Outcome {
    let cause = if kind == OutcomeKind::Done { Cause::Proven } else { Cause::Bad };
    let reason = "as the evidence says".to_owned();
    Outcome { kind, cause, reason, at: now(), share: Share::ALL, evidence: Summary::default() }
}

/// Returns a report of a process with `ok` and `failed` calls on one route.
pub fn report(mv: &str, instance: &str, version: &str, seq: u64, ok: u64, failed: u64) -> Report {
    let mut counts = Counts { ok, failed, ..Counts::default() };
    counts.latency.add(20, u32::try_from(ok).expect("small"));
    let mut totals = Totals::default();
    totals.cells.insert(Cell { route: id("tickets"), band: 3 }, counts);
    Report {
        mv: id(mv),
        instance: id(instance),
        incarnation: Incarnation(1),
        generation: Incarnation(1),
        seq,
        version: id(version),
        confirmed: false,
        totals,
    }
}
