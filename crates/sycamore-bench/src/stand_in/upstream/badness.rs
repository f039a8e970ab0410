//! Defects of a version that an upstream emulates.

use rand::rngs::SmallRng;
use rand::Rng;
use std::fmt;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::str::FromStr;
use std::time::Duration;

/// Kind of defect of a version.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Badness {
    /// The version has no defect.
    #[default]
    None,
    /// 30 % of requests fail from the start.
    FailsAtOnce,
    /// All requests take four times as long from the start.
    SlowAtOnce,
    /// 30 % of requests fail, but only once [`super::Options::bad_onset`] has passed.
    FailsLater,
    /// Requests take six times as long while more than a third of the slots are taken.
    SlowUnderLoad,
    /// 60 % of requests fail whose path contains [`super::Options::bad_route`].
    OneBadRoute,
    /// 2 % of requests crash the upstream.
    Crashes,
    /// All requests of about one caller in eight fail.
    WrongForOneCaller,
}

/// Number of groups that callers are hashed into; [`Badness::WrongForOneCaller`] affects one group.
const CALLER_GROUPS: u64 = 8;

/// Result of a request on a version with a defect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestResult {
    /// The request is answered normally.
    Answered,
    /// The request is answered with status 500.
    Failed,
    /// The request crashes the upstream.
    Crash,
}

/// Properties of a request and its upstream on which the effect of a defect depends.
#[derive(Debug, Clone)]
pub struct RequestContext<'a> {
    /// Time since the upstream started.
    pub age: Duration,
    /// Time since the start after which [`Badness::FailsLater`] takes effect.
    pub onset: Duration,
    /// Fraction of the upstream's slots that are taken, from 0.0 to 1.0.
    pub busy: f64,
    /// Path of the request.
    pub path: &'a str,
    /// Text by which [`Badness::OneBadRoute`] recognizes a path.
    pub bad_route: &'a str,
    /// Name of the caller; empty if the request has none.
    pub caller: &'a str,
}

impl Badness {
    /// All kinds except [`Badness::None`].
    pub const KINDS: [Badness; 7] = [
        Badness::FailsAtOnce,
        Badness::SlowAtOnce,
        Badness::FailsLater,
        Badness::SlowUnderLoad,
        Badness::OneBadRoute,
        Badness::Crashes,
        Badness::WrongForOneCaller,
    ];

    /// Draws one of [`Badness::KINDS`].
    pub fn draw(rng: &mut impl Rng) -> Self {
        Self::KINDS[rng.random_range(0..Self::KINDS.len())]
    }

    /// Returns the kind's name on the command line.
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

    /// Draws the result of a request.
    pub fn draw_result(self, at: &RequestContext<'_>, rng: &mut SmallRng) -> RequestResult {
        let failed = match self {
            Badness::None | Badness::SlowAtOnce | Badness::SlowUnderLoad => false,
            Badness::FailsAtOnce => rng.random_bool(0.3),
            Badness::FailsLater => at.age >= at.onset && rng.random_bool(0.3),
            Badness::OneBadRoute => at.path.contains(at.bad_route) && rng.random_bool(0.6),
            Badness::WrongForOneCaller => caller_group(at.caller) == 0,
            Badness::Crashes if rng.random_bool(0.02) => return RequestResult::Crash,
            Badness::Crashes => false,
        };
        if failed {
            RequestResult::Failed
        } else {
            RequestResult::Answered
        }
    }

    /// Returns the factor by which a request takes longer.
    pub fn slowdown(self, at: &RequestContext<'_>) -> f64 {
        match self {
            Badness::SlowAtOnce => 4.0,
            Badness::SlowUnderLoad if at.busy > 1.0 / 3.0 => 6.0,
            _ => 1.0,
        }
    }
}

/// Returns the group that `caller` is hashed into.
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
            .ok_or_else(|| {
                let names: Vec<_> = Badness::KINDS.iter().map(|kind| kind.as_str()).collect();
                format!("unknown kind of badness {text:?}, expected none, {}", names.join(", "))
            })
    }
}
