//! Standard output of the demonstration.

use super::moves::{DemoMoves, Move};
use crate::fleet::Fleet;
use crate::load::{Ended, Tally};
use crate::measure::Violations;
use crate::witness::Ledger;
use std::time::Duration;

/// Prints the deployments of the started fleets and the time until they were ready.
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

/// Prints the move's share and state if they differ from `shown`, the line that was printed last;
/// `since` is the time since the import.
pub fn progress(mv: &Move, since: Duration, shown: &mut String) {
    let share = mv.report["share"].as_f64().unwrap_or(0.0) / 100.0;
    let line = format!("{}: {} at {share:.2}%", mv.name, mv.ending);
    if line != *shown {
        println!("{:5.1} s  {line}", since.as_secs_f64());
        *shown = line;
    }
}

/// Prints the outcomes of the calls to each fleet, with the reasons of refused and unknown ones.
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

/// Prints the outcome of both moves with the request counts of the upstreams' ledger.
pub fn moves(moves: &DemoMoves, ledger: &Ledger) {
    println!();
    print_row("move", "service", "ended", "after", "in time", "calls on new", "reason");
    for mv in [&moves.good, &moves.bad] {
        let (all, new) = DemoMoves::runs(mv, ledger);
        print_row(
            mv.name,
            mv.service,
            &mv.ending.to_string(),
            &time_to_decision(mv),
            if mv.in_time() { "yes" } else { "no" },
            &format!("{new} of {all}"),
            mv.report["reason"].as_str().unwrap_or("-"),
        );
    }
}

fn print_row(
    mv: &str,
    service: &str,
    ended: &str,
    after: &str,
    time: &str,
    calls: &str,
    reason: &str,
) {
    println!("{mv:<10} {service:<8} {ended:<13} {after:>7} {time:>8} {calls:>14}  {reason}");
}

/// Returns the time from the move's start to its decision, `-` while it is undecided.
fn time_to_decision(mv: &Move) -> String {
    match (mv.report["start"].as_u64(), mv.report["decided"].as_u64()) {
        (Some(start), Some(decided)) => {
            format!("{:.1} s", decided.saturating_sub(start) as f64 / 1_000.0)
        }
        _ => "-".into(),
    }
}

/// Prints the counts of violated guarantees and the time that the demonstration took.
pub fn end(violations: &Violations, took: Duration) {
    println!("\nguarantees violated: {}", violations.total());
    if violations.total() > 0 {
        println!("{violations:?}");
    }
    println!("took {took:.1?}");
}
