//! Values that several tests start from.
#![allow(dead_code)]

use std::time::Duration;
use sycamore_moves::evidence::{Cell, Counts, Report, Totals};
use sycamore_moves::plan::{
    Author, Cause, Change, MoveSpec, OnTimeout, Outcome, OutcomeKind, Summary,
};
use sycamore_types::prelude::*;

pub fn now() -> WallTime {
    WallTime(1_796_000_000_000)
}

pub fn id<T: std::str::FromStr>(text: &str) -> T {
    text.parse().ok().expect("valid identifier")
}

/// A move of a service of its own, from a minute ahead, for ten minutes.
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

pub fn change(operator: &str, op: u128) -> Change {
    Change { author: Author::Operator(id(operator)), op: OpId(op), at: now() }
}

pub fn outcome(kind: OutcomeKind) -> Outcome {
    let cause = if kind == OutcomeKind::Done { Cause::Proven } else { Cause::Bad };
    let reason = "as the evidence says".to_owned();
    Outcome { kind, cause, reason, at: now(), share: Share::ALL, evidence: Summary::default() }
}

/// A report with calls on one route.
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
