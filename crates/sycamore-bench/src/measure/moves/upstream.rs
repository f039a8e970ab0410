//! Answers of emulated upstreams of both versions, on simulated time.

use super::scenario::{Kind, Scenario};
use rand::rngs::SmallRng;
use rand::Rng;
use std::time::Duration;
use sycamore_types::prelude::*;

/// Time from a crash of an upstream until it is up again, in milliseconds.
pub const DOWN_MS: u64 = 2_000;
/// Time after a move's start for which a version with cold starts is cold, in milliseconds.
const COLD_MS: u64 = 8_000;
/// Timeout of every call.
const CALL_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Call to an emulated upstream.
#[derive(Debug, Clone, Copy)]
pub struct Call {
    /// Index of the call's route.
    pub route: usize,
    /// Index of the call's caller.
    pub caller: u64,
    /// Whether the call runs on the new version.
    pub is_new: bool,
    /// Time of the call, in milliseconds.
    pub at_ms: u64,
    /// Recent load of the instance before the call, in calls a second.
    pub load: f64,
}

/// Result of a call to an emulated upstream.
#[derive(Debug, Clone, Copy)]
pub struct Answer {
    /// Outcome with which the call ends.
    pub kind: OutcomeKind,
    /// Time until the call ends.
    pub latency: Duration,
    /// Whether the upstream was in its cold start.
    pub cold: bool,
    /// Whether the upstream crashes instead of answering.
    pub crash: bool,
    /// Whether the answer is affected by the version's defect.
    pub shows_defect: bool,
}

/// Draws the answer to `call` under `scenario`.
pub fn answer(scenario: &Scenario, call: &Call, rng: &mut SmallRng) -> Answer {
    let mut latency_ms = scenario.latency_ms * lognormal(rng);
    let mut kind = OutcomeKind::Ok;
    let mut cold = false;
    if rng.random_bool(scenario.base_failure) {
        kind = OutcomeKind::Failed;
    }
    if scenario.kind == Kind::Overload && in_overload(scenario, call.at_ms) {
        latency_ms *= 6.0;
        if rng.random_bool(scenario.degree) {
            kind = OutcomeKind::TimedOut;
        }
    }
    if scenario.kind == Kind::ColdStart && call.is_new && is_cold(scenario, call.at_ms) {
        latency_ms *= 20.0;
        cold = true;
    }
    let mut shows_defect = false;
    let mut crash = false;
    if call.is_new && scenario.kind.is_bad() {
        match draw_defect(scenario, call, rng) {
            Defect::None => {}
            Defect::Slow(factor) => {
                latency_ms *= factor;
                shows_defect = true;
            }
            Defect::Ends(end) => {
                kind = end;
                shows_defect = true;
            }
            Defect::Crash => {
                crash = true;
                shows_defect = true;
            }
        }
    }
    let latency = Duration::from_secs_f64(latency_ms / 1_000.0);
    let (kind, latency) = match latency > CALL_TIMEOUT || kind == OutcomeKind::TimedOut {
        true => (OutcomeKind::TimedOut, CALL_TIMEOUT),
        false => (kind, latency),
    };
    Answer { kind, latency, cold, crash, shows_defect }
}

/// Effect of the new version's defect on one call.
enum Defect {
    None,
    /// Multiplies the latency by the factor.
    Slow(f64),
    Ends(OutcomeKind),
    Crash,
}

fn draw_defect(scenario: &Scenario, call: &Call, rng: &mut SmallRng) -> Defect {
    let degree = scenario.degree;
    match scenario.kind {
        Kind::FailsAtOnce if rng.random_bool(degree) => Defect::Ends(OutcomeKind::Failed),
        Kind::FailsLater if call.at_ms >= scenario.onset_ms && rng.random_bool(degree) => {
            Defect::Ends(OutcomeKind::Failed)
        }
        Kind::BadRoute if call.route == 0 && rng.random_bool(degree) => {
            Defect::Ends(OutcomeKind::Failed)
        }
        Kind::SlowAtOnce => Defect::Slow(degree),
        Kind::SlowUnderLoad if call.load > scenario.load_threshold => Defect::Slow(degree),
        Kind::Crashes if rng.random_bool(degree) => Defect::Crash,
        Kind::WrongStatus if call.caller == 0 => Defect::Ends(OutcomeKind::Rejected),
        _ => Defect::None,
    }
}

fn in_overload(scenario: &Scenario, at_ms: u64) -> bool {
    (scenario.onset_ms..scenario.offset_ms).contains(&at_ms)
}

fn is_cold(scenario: &Scenario, at_ms: u64) -> bool {
    at_ms < scenario.start_ms + COLD_MS
}

/// Draws an approximately log-normal factor with median 1, from a sum of uniform draws.
fn lognormal(rng: &mut SmallRng) -> f64 {
    let normal: f64 = (0..6).map(|_| rng.random_range(-1.0..1.0_f64)).sum::<f64>() / 1.414;
    (0.4 * normal).exp()
}
