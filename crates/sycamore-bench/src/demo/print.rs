//! What the demonstration prints.

use super::moves::{Morning, Move};
use crate::fleet::Fleet;
use crate::load::{Ended, Tally};
use crate::measure::Violations;
use crate::witness::Ledger;
use std::time::Duration;

/// The fleets are up.
pub fn started(fleets: &[&Fleet], took: Duration) {
    for fleet in fleets {
        let deployment = &fleet.options().deployment;
        let services: Vec<String> = deployment
            .services
            .iter()
            .map(|service| format!("{} with {}", service.name, service.upstreams))
            .collect();
        println!(
            "{}: {} upstreams, each with its node ({}), in {} data centres",
            deployment.name,
            deployment.upstreams(),
            services.join(", "),
            deployment.centres().len()
        );
    }
    println!("all ready after {took:.1?}; mixed calls begin");
}

/// A move's share or state has changed; `shown` holds what was printed last.
pub fn progress(mv: &Move, since: Duration, shown: &mut String) {
    let share = mv.report["share"].as_f64().unwrap_or(0.0) / 100.0;
    let line = format!("{}: {} at {share:.2}%", mv.name, mv.ending);
    if line != *shown {
        println!("{:5.1} s  {line}", since.as_secs_f64());
        *shown = line;
    }
}

/// What became of the calls.
pub fn calls(loads: &[(&Fleet, &Tally)]) {
    println!();
    for (fleet, tally) in loads {
        println!("{}: {tally}", fleet.options().deployment.name);
        for (ended, name) in [(Ended::Refused, "refused"), (Ended::Unknown, "unknown")] {
            for (reason, count) in tally.reasons(ended) {
                println!("  {name}, {reason}: {count}");
            }
        }
    }
}

/// The report, with the witness' counts beside it.
pub fn moves(morning: &Morning, ledger: &Ledger) {
    println!();
    line("move", "service", "ended", "after", "in time", "calls on new", "reason");
    for mv in [&morning.good, &morning.bad] {
        let (all, new) = Morning::runs(mv, ledger);
        line(
            mv.name,
            mv.service,
            &mv.ending.to_string(),
            &decided(mv),
            if mv.in_time() { "yes" } else { "no" },
            &format!("{new} of {all}"),
            mv.report["reason"].as_str().unwrap_or("-"),
        );
    }
}

fn line(mv: &str, service: &str, ended: &str, after: &str, time: &str, calls: &str, reason: &str) {
    println!("{mv:<10} {service:<8} {ended:<13} {after:>7} {time:>8} {calls:>14}  {reason}");
}

fn decided(mv: &Move) -> String {
    match (mv.report["start"].as_u64(), mv.report["decided"].as_u64()) {
        (Some(start), Some(decided)) => {
            format!("{:.1} s", decided.saturating_sub(start) as f64 / 1_000.0)
        }
        _ => "-".into(),
    }
}

/// Broken promises and the time taken.
pub fn end(violations: &Violations, took: Duration) {
    println!("\npromises broken: {}", violations.total());
    if violations.total() > 0 {
        println!("{violations:?}");
    }
    println!("took {took:.1?}");
}
