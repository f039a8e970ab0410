//! What is drawn for one move: its traffic, its versions and what is wrong with the new one.

use rand::rngs::SmallRng;
use rand::Rng;
use serde::Serialize;

/// What is the matter with a move's new version, or with the service around it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// Good: nothing is the matter.
    Plain,
    /// Good: both versions fail now and then.
    BadBaseline,
    /// Good: the whole service is overloaded for a while.
    Overload,
    /// Good: the traffic is low.
    LowTraffic,
    /// Good: instances of the new version start cold.
    ColdStart,
    /// Good: one request crashes an instance of each version that runs it, twice in all.
    CrashRequest,
    /// Bad: calls fail from the start.
    FailsAtOnce,
    /// Bad: calls are slow from the start.
    SlowAtOnce,
    /// Bad: calls begin to fail some time into the move.
    FailsLater,
    /// Bad: calls are slow once an instance is busy.
    SlowUnderLoad,
    /// Bad: calls of one route fail.
    BadRoute,
    /// Bad: some calls crash the upstream.
    Crashes,
    /// Bad: one caller gets a wrong status.
    WrongStatus,
}

/// Kinds of good versions.
pub const GOOD: [Kind; 6] = [
    Kind::Plain,
    Kind::BadBaseline,
    Kind::Overload,
    Kind::LowTraffic,
    Kind::ColdStart,
    Kind::CrashRequest,
];

/// Kinds of bad versions.
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
    /// Whether a version of this kind must be taken back.
    pub fn is_bad(self) -> bool {
        BAD.contains(&self)
    }
}

/// One move and its surroundings. Times are in milliseconds from the begin of the trial.
#[derive(Debug, Clone)]
pub struct Scenario {
    /// What is the matter.
    pub kind: Kind,
    /// Calls a second of the whole service.
    pub rate: f64,
    /// Instances of each version.
    pub instances: usize,
    /// Routes; calls are spread evenly over them.
    pub routes: usize,
    /// Callers; calls are spread evenly over them.
    pub callers: u64,
    /// When the move starts.
    pub start_ms: u64,
    /// Its deadline.
    pub deadline_ms: u64,
    /// Median latency of a call, in milliseconds.
    pub latency_ms: f64,
    /// Chance that any call of any version fails.
    pub base_failure: f64,
    /// How bad it is: the chance of a failure or crash, or the factor of slowness.
    pub degree: f64,
    /// When the badness or the overload begins.
    pub onset_ms: u64,
    /// When the overload ends.
    pub offset_ms: u64,
    /// Calls a second of one instance from which on it is slow.
    pub load_threshold: f64,
}

/// Calls in a window that a move of usual traffic gets.
const WINDOW_CALLS: std::ops::Range<f64> = 12_000.0..40_000.0;
const START_MS: u64 = 5_000;

impl Scenario {
    /// Draws a move of `kind`.
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
            degree: degree(kind, rng),
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

fn degree(kind: Kind, rng: &mut SmallRng) -> f64 {
    match kind {
        Kind::FailsAtOnce | Kind::FailsLater => rng.random_range(0.05..1.0),
        Kind::BadRoute => rng.random_range(0.1..1.0),
        Kind::SlowAtOnce | Kind::SlowUnderLoad => rng.random_range(3.0..12.0),
        Kind::Crashes => rng.random_range(0.004..0.05),
        Kind::Overload => rng.random_range(0.1..0.5),
        _ => 0.0,
    }
}
