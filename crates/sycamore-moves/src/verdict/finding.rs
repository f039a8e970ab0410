//! What a verdict says.

use super::Pair;
use std::fmt;
use sycamore_types::prelude::*;

/// A sign of badness.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Signal {
    /// Calls fail, break or time out.
    Failed,
    /// Calls are answered with a status of 400 to 499.
    Rejected,
    /// The upstream refuses calls for load.
    Shed,
    /// More calls are slow than beyond the old version's 90th percentile.
    Slow90,
    /// More calls are slow than beyond the old version's 99th percentile.
    Slow99,
    /// Upstreams crash.
    Crash,
}

/// Which calls a test looks at.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Scope {
    /// All calls.
    All,
    /// Those of one route.
    Route(RouteName),
    /// Those of one bucket of callers.
    Callers(u8),
}

/// A version was found bad.
#[derive(Debug, Clone, PartialEq)]
pub struct Finding {
    /// The sign.
    pub signal: Signal,
    /// Where it showed.
    pub scope: Scope,
    /// Counts over the whole move.
    pub counts: Pair,
    /// Natural logarithm of the evidence against "as good at the same time".
    pub pair_evidence: f64,
    /// Natural logarithm of the evidence against "as good at the same load".
    pub reference_evidence: f64,
}

impl fmt::Display for Signal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Signal::Failed => "calls failed",
            Signal::Rejected => "calls were answered with a 4xx status",
            Signal::Shed => "calls were shed by the upstream",
            Signal::Slow90 => "calls were slower than the old version's 90th percentile allows",
            Signal::Slow99 => "calls were slower than the old version's 99th percentile allows",
            Signal::Crash => "crashes against calls",
        })
    }
}

impl fmt::Display for Scope {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Scope::All => write!(f, "over all"),
            Scope::Route(route) => write!(f, "on route {route}"),
            Scope::Callers(bucket) => write!(f, "for callers of group {bucket}"),
        }
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Pair { new, old } = self.counts;
        write!(
            f,
            "{} of {} {} {} on the new version, {} of {} on the old one",
            new.hits, new.calls, self.signal, self.scope, old.hits, old.calls
        )
    }
}
