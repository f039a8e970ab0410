//! Kinds of badness of a version.

use rand::rngs::SmallRng;
use rand::Rng;
use std::fmt;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::str::FromStr;
use std::time::Duration;

/// How a version is bad.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Badness {
    /// Not at all.
    #[default]
    None,
    /// Three in ten requests fail from the start.
    FailsAtOnce,
    /// All requests take four times as long from the start.
    SlowAtOnce,
    /// As [`Badness::FailsAtOnce`], but only after a time.
    FailsLater,
    /// Requests take six times as long while more than a third of the slots are taken.
    SlowUnderLoad,
    /// Six in ten requests fail, on one route only.
    OneBadRoute,
    /// One request in fifty crashes the upstream.
    Crashes,
    /// All requests of about one caller in eight fail.
    WrongForOneCaller,
}

/// Callers are told apart into so many groups, of which one is wronged.
const CALLER_GROUPS: u64 = 8;

/// What becomes of one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fate {
    /// It is answered.
    Answered,
    /// It is answered 500.
    Failed,
    /// It crashes the upstream.
    Crash,
}

/// What badness depends on.
#[derive(Debug, Clone)]
pub struct Circumstances<'a> {
    /// Time since the upstream started.
    pub age: Duration,
    /// Time after which late badness shows.
    pub onset: Duration,
    /// Slots taken, as a fraction.
    pub busy: f64,
    /// The request's path.
    pub path: &'a str,
    /// What the path of the bad route holds.
    pub bad_route: &'a str,
    /// The caller's name.
    pub caller: &'a str,
}

impl Badness {
    /// Every kind but [`Badness::None`].
    pub const KINDS: [Badness; 7] = [
        Badness::FailsAtOnce,
        Badness::SlowAtOnce,
        Badness::FailsLater,
        Badness::SlowUnderLoad,
        Badness::OneBadRoute,
        Badness::Crashes,
        Badness::WrongForOneCaller,
    ];

    /// A kind drawn from `rng`.
    pub fn draw(rng: &mut impl Rng) -> Self {
        Self::KINDS[rng.random_range(0..Self::KINDS.len())]
    }

    /// The kind as options write it.
    pub fn as_str(self) -> &'static str {
        match self {
            Badness::None => "none",
            Badness::FailsAtOnce => "fails-at-once",
            Badness::SlowAtOnce => "slow-at-once",
            Badness::FailsLater => "fails-later",
            Badness::SlowUnderLoad => "slow-under-load",
            Badness::OneBadRoute => "one-bad-route",
            Badness::Crashes => "crashes",
            Badness::WrongForOneCaller => "wrong-for-one-caller",
        }
    }

    /// What becomes of a request.
    pub fn fate(self, at: &Circumstances<'_>, rng: &mut SmallRng) -> Fate {
        let failed = match self {
            Badness::None | Badness::SlowAtOnce | Badness::SlowUnderLoad => false,
            Badness::FailsAtOnce => rng.random_bool(0.3),
            Badness::FailsLater => at.age >= at.onset && rng.random_bool(0.3),
            Badness::OneBadRoute => at.path.contains(at.bad_route) && rng.random_bool(0.6),
            Badness::WrongForOneCaller => caller_group(at.caller) == 0,
            Badness::Crashes if rng.random_bool(0.02) => return Fate::Crash,
            Badness::Crashes => false,
        };
        if failed {
            Fate::Failed
        } else {
            Fate::Answered
        }
    }

    /// How many times longer a request takes.
    pub fn slowdown(self, at: &Circumstances<'_>) -> f64 {
        match self {
            Badness::SlowAtOnce => 4.0,
            Badness::SlowUnderLoad if at.busy > 1.0 / 3.0 => 6.0,
            _ => 1.0,
        }
    }
}

/// The group that `caller` falls into.
pub fn caller_group(caller: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    caller.hash(&mut hasher);
    hasher.finish() % CALLER_GROUPS
}

impl fmt::Display for Badness {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for Badness {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        std::iter::once(Badness::None)
            .chain(Badness::KINDS)
            .find(|kind| kind.as_str() == text)
            .ok_or_else(|| format!("{text:?} is no kind of badness"))
    }
}
