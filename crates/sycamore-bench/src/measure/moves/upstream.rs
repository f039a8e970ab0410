//! How emulated upstreams of both versions answer, on faked time.

use super::scenario::{Kind, Scenario};
use rand::rngs::SmallRng;
use rand::Rng;
use std::time::Duration;
use sycamore_types::prelude::*;

/// Time that a crashed upstream is down, in milliseconds.
pub const DOWN_MS: u64 = 2_000;
/// Time that an instance of a version with cold starts is cold, in milliseconds.
const COLD_MS: u64 = 8_000;
/// Deadline of every call.
const CALL_LIMIT: Duration = Duration::from_millis(2_000);

/// A call to be answered.
#[derive(Debug, Clone, Copy)]
pub struct Call {
    /// Index of its route.
    pub route: usize,
    /// Index of its caller.
    pub caller: u64,
    /// Whether it runs on the new version.
    pub is_new: bool,
    /// When, in milliseconds.
    pub at_ms: u64,
    /// Calls a second that its instance had of late.
    pub load: f64,
}

/// What becomes of a call.
#[derive(Debug, Clone, Copy)]
pub struct Answer {
    /// How it ends.
    pub kind: OutcomeKind,
    /// How long that takes.
    pub latency: Duration,
    /// The upstream was cold.
    pub cold: bool,
    /// The upstream crashes instead of answering.
    pub crash: bool,
    /// The answer shows what is wrong with the version.
    pub shows: bool,
}

/// Answers `call`.
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
    let mut shows = false;
    let mut crash = false;
    if call.is_new && scenario.kind.is_bad() {
        match badness(scenario, call, rng) {
            Badness::None => {}
            Badness::Slow(factor) => {
                latency_ms *= factor;
                shows = true;
            }
            Badness::Ends(end) => {
                kind = end;
                shows = true;
            }
            Badness::Crash => {
                crash = true;
                shows = true;
            }
        }
    }
    let latency = Duration::from_secs_f64(latency_ms / 1_000.0);
    let (kind, latency) = match latency > CALL_LIMIT || kind == OutcomeKind::TimedOut {
        true => (OutcomeKind::TimedOut, CALL_LIMIT),
        false => (kind, latency),
    };
    Answer { kind, latency, cold, crash, shows }
}

enum Badness {
    None,
    Slow(f64),
    Ends(OutcomeKind),
    Crash,
}

fn badness(scenario: &Scenario, call: &Call, rng: &mut SmallRng) -> Badness {
    let degree = scenario.degree;
    match scenario.kind {
        Kind::FailsAtOnce if rng.random_bool(degree) => Badness::Ends(OutcomeKind::Failed),
        Kind::FailsLater if call.at_ms >= scenario.onset_ms && rng.random_bool(degree) => {
            Badness::Ends(OutcomeKind::Failed)
        }
        Kind::BadRoute if call.route == 0 && rng.random_bool(degree) => {
            Badness::Ends(OutcomeKind::Failed)
        }
        Kind::SlowAtOnce => Badness::Slow(degree),
        Kind::SlowUnderLoad if call.load > scenario.load_threshold => Badness::Slow(degree),
        Kind::Crashes if rng.random_bool(degree) => Badness::Crash,
        Kind::WrongStatus if call.caller == 0 => Badness::Ends(OutcomeKind::Rejected),
        _ => Badness::None,
    }
}

fn in_overload(scenario: &Scenario, at_ms: u64) -> bool {
    (scenario.onset_ms..scenario.offset_ms).contains(&at_ms)
}

fn is_cold(scenario: &Scenario, at_ms: u64) -> bool {
    at_ms < scenario.start_ms + COLD_MS
}

/// A factor with median 1 and a tail, from the sum of uniform draws.
fn lognormal(rng: &mut SmallRng) -> f64 {
    let normal: f64 = (0..6).map(|_| rng.random_range(-1.0..1.0_f64)).sum::<f64>() / 1.414;
    (0.4 * normal).exp()
}
