//! Findings of the verdict tests, and their texts.

use super::Pair;
use std::fmt;
use sycamore_types::prelude::*;

/// Kind of misbehaviour that a test looks for; a call that shows it is a hit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Signal {
    /// Calls that fail, break off or time out.
    Failed,
    /// Calls answered with a status of 400 to 499.
    Rejected,
    /// Calls that the upstream refuses because of load.
    Shed,
    /// Calls slower than the old version's 90th latency percentile.
    Slow90,
    /// Calls slower than the old version's 99th latency percentile.
    Slow99,
    /// Crashes of upstreams, counted against calls.
    Crash,
}

/// Set of calls that a test counts.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Scope {
    /// Calls of all routes and callers.
    All,
    /// Calls of one route.
    Route(RouteName),
    /// Calls of one bucket of callers, by its index.
    Callers(u8),
}

/// Evidence on which a new version was found bad.
#[derive(Debug, Clone, PartialEq)]
pub struct Finding {
    /// Misbehaviour that was found.
    pub signal: Signal,
    /// Calls in which it was found.
    pub scope: Scope,
    /// Counts of both versions over the whole move.
    pub counts: Pair,
    /// Natural logarithm of the pair test's evidence that the new version is worse at the same
    /// time.
    pub pair_evidence: f64,
    /// Natural logarithm of the reference test's evidence that it is worse at the same load.
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
