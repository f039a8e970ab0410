//! Randomly drawn scenarios of `measure moves`: traffic, instances and the defect of the new
//! version.

use rand::rngs::SmallRng;
use rand::Rng;
use serde::Serialize;

/// Defect of a move's new version, or disturbance of the whole service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// Good: the new version has no defect, and the service is not disturbed.
    Plain,
    /// Good: calls to both versions fail at a rate of 1% to 8%.
    BadBaseline,
    /// Good: both versions are overloaded for part of the move.
    Overload,
    /// Good: the service gets 6 to 10 calls a second.
    LowTraffic,
    /// Good: calls to the new version are slow during its cold start.
    ColdStart,
    /// Good: one request crashes the instance that runs it, twice in all.
    CrashRequest,
    /// Bad: calls fail from the start.
    FailsAtOnce,
    /// Bad: calls are slow from the start.
    SlowAtOnce,
    /// Bad: calls fail from a random moment of the move on.
    FailsLater,
    /// Bad: calls are slow on an instance above a load threshold.
    SlowUnderLoad,
    /// Bad: calls of one route fail.
    BadRoute,
    /// Bad: some calls crash the upstream.
    Crashes,
    /// Bad: all calls of one caller are rejected.
    WrongStatus,
}

/// Kinds with a good version, which must be done.
pub const GOOD: [Kind; 6] = [
    Kind::Plain,
    Kind::BadBaseline,
    Kind::Overload,
    Kind::LowTraffic,
    Kind::ColdStart,
    Kind::CrashRequest,
];

/// Kinds with a bad version, which must be taken back.
pub const BAD: [Kind; 7] = [
    Kind::FailsAtOnce,
    Kind::SlowAtOnce,
    Kind::FailsLater,
    Kind::SlowUnderLoad,
    Kind::BadRoute,
    Kind::Crashes,
    Kind::WrongStatus,
];

impl Kind {
    /// Returns whether a version of this kind must be taken back.
    pub fn is_bad(self) -> bool {
        BAD.contains(&self)
    }
}

/// One move with its service's traffic. Times are in milliseconds since the start of the trial.
#[derive(Debug, Clone)]
pub struct Scenario {
    /// Defect of the new version, or disturbance of the service.
    pub kind: Kind,
    /// Calls a second of the whole service.
    pub rate: f64,
    /// Number of instances of each version.
    pub instances: usize,
    /// Number of routes; calls are spread evenly over them.
    pub routes: usize,
    /// Number of callers; calls are spread evenly over them.
    pub callers: u64,
    /// Start of the move.
    pub start_ms: u64,
    /// Deadline of the move.
    pub deadline_ms: u64,
    /// Median latency of an undisturbed call, in milliseconds.
    pub latency_ms: f64,
    /// Probability that a call fails, on either version.
    pub base_failure: f64,
    /// Severity: the probability of a failure, timeout or crash, or the factor on the latency; 0
    /// for kinds that have none.
    pub degree: f64,
    /// Start of the defect or the overload; 0 for kinds without one.
    pub onset_ms: u64,
    /// End of the overload; unused by kinds without one.
    pub offset_ms: u64,
    /// Calls a second above which an instance is slow.
    pub load_threshold: f64,
}

/// Range of a service's calls between a move's start and deadline, except with low traffic.
const WINDOW_CALLS: std::ops::Range<f64> = 12_000.0..40_000.0;
/// Start of every move, in milliseconds since the start of the trial.
const START_MS: u64 = 5_000;

impl Scenario {
    /// Draws a scenario of `kind`.
    pub fn draw(kind: Kind, rng: &mut SmallRng) -> Self {
        let low = kind == Kind::LowTraffic;
        let rate = if low { rng.random_range(6.0..10.0) } else { rng.random_range(80.0..400.0) };
        let calls = if low { rate * 900.0 } else { rng.random_range(WINDOW_CALLS) };
        let window_ms = (calls / rate * 1_000.0).clamp(60_000.0, 900_000.0);
        let instances = rng.random_range(2..=4);
        let window = |part: f64| START_MS + (window_ms * part) as u64;
        let full = rate / instances as f64;
        Self {
            kind,
            rate,
            instances,
            routes: rng.random_range(2..=4),
            callers: 40,
            start_ms: START_MS,
            deadline_ms: window(1.0),
            latency_ms: rng.random_range(8.0..40.0),
            base_failure: match kind {
                Kind::BadBaseline => rng.random_range(0.01..0.08),
                _ => 0.000_5,
            },
            degree: draw_degree(kind, rng),
            onset_ms: match kind {
                Kind::FailsLater => window(rng.random_range(0.05..0.55)),
                Kind::Overload => window(rng.random_range(0.05..0.6)),
                _ => 0,
            },
            offset_ms: window(0.75),
            load_threshold: full * rng.random_range(0.2..0.7),
        }
    }
}

fn draw_degree(kind: Kind, rng: &mut SmallRng) -> f64 {
    match kind {
        Kind::FailsAtOnce | Kind::FailsLater => rng.random_range(0.05..1.0),
        Kind::BadRoute => rng.random_range(0.1..1.0),
        Kind::SlowAtOnce | Kind::SlowUnderLoad => rng.random_range(3.0..12.0),
        Kind::Crashes => rng.random_range(0.004..0.05),
        Kind::Overload => rng.random_range(0.1..0.5),
        _ => 0.0,
    }
}
