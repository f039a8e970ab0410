//! Quarantine of requests that crash upstreams: a fingerprint that two crashes anywhere are held
//! against is refused everywhere until the quarantine expires.
//!
//! A crash involves every request in flight on the instance, most of them harmless. So a request
//! that completed here recently is not suspected, and two suspects never run at the same time, so
//! that a second crash identifies the culprit.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;
use sycamore_types::prelude::*;

/// Settings of a [`CrashLog`].
#[derive(Debug, Clone)]
pub struct CrashLogConfig {
    /// Time for which a crash counts against the requests in flight, and so the time for which a
    /// quarantined request is refused after its last crash.
    pub quarantine: Duration,
    /// Number of crashes after which a request is quarantined.
    pub crashes: usize,
    /// Maximum number of fingerprints in each table: suspected, quarantined and completed requests.
    pub entries: usize,
}

impl Default for CrashLogConfig {
    fn default() -> Self {
        Self { quarantine: Duration::from_secs(600), crashes: 2, entries: 4_096 }
    }
}

/// Standing of a request with regard to crashes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// No crash counts against the request.
    Clear,
    /// The request was in flight at a crash; it may run, but not at the same time as
    /// another suspect.
    Suspect,
    /// The request crashes upstreams and is refused until this time.
    Quarantined(WallTime),
}

/// Crashes, suspected requests and quarantined requests that this node knows of.
#[derive(Debug, Clone)]
pub struct CrashLog {
    config: CrashLogConfig,
    crashes_by_request: BTreeMap<Fingerprint, BTreeMap<u64, WallTime>>,
    quarantined: BTreeMap<Fingerprint, WallTime>,
    /// Requests that completed here, oldest first.
    completed: VecDeque<Fingerprint>,
    completed_count: BTreeMap<Fingerprint, u32>,
}

impl CrashLog {
    /// Creates a log without crashes.
    pub fn new(config: CrashLogConfig) -> Self {
        Self {
            config,
            crashes_by_request: BTreeMap::new(),
            quarantined: BTreeMap::new(),
            completed: VecDeque::new(),
            completed_count: BTreeMap::new(),
        }
    }

    /// Returns whether `request` is clear, suspect or quarantined at `now`.
    pub fn verdict(&self, now: WallTime, request: Fingerprint) -> Verdict {
        if let Some(until) = self.quarantined.get(&request).filter(|until| now < **until) {
            return Verdict::Quarantined(*until);
        }
        let is_implicated = self
            .crashes_by_request
            .get(&request)
            .is_some_and(|crashes| crashes.values().any(|until| now < *until));
        if is_implicated && !self.completed_count.contains_key(&request) {
            return Verdict::Suspect;
        }
        Verdict::Clear
    }

    /// Records that `request` was answered by an upstream that did not crash.
    pub fn record_completion(&mut self, request: Fingerprint) {
        self.completed.push_back(request);
        *self.completed_count.entry(request).or_default() += 1;
        if self.completed.len() > self.config.entries {
            self.remove_oldest_completed();
        }
    }

    /// Records that the upstream beside this node crashed while `in_flight` ran there; `crash`
    /// identifies the crash. Returns the facts to spread.
    pub fn record_crash(
        &mut self,
        now: WallTime,
        crash: u64,
        in_flight: &[Fingerprint],
    ) -> Vec<Fact> {
        let until = now + self.config.quarantine;
        let facts: Vec<Fact> = self
            .implicated_by_crash(now, in_flight)
            .into_iter()
            .map(|fingerprint| Fact::CrashSeen { fingerprint, crash, until })
            .collect();
        let quarantined: Vec<Fact> =
            facts.iter().filter_map(|fact| self.learn(now, fact)).collect();
        facts.into_iter().chain(quarantined).collect()
    }

    /// Returns the requests that a crash counts against: the only suspect in flight, or else all
    /// requests that have not completed here, or else all.
    fn implicated_by_crash(&self, now: WallTime, in_flight: &[Fingerprint]) -> Vec<Fingerprint> {
        let select = |keep: &dyn Fn(&Fingerprint) -> bool| -> Vec<Fingerprint> {
            in_flight.iter().copied().filter(|request| keep(request)).collect()
        };
        let suspects = select(&|request| self.verdict(now, *request) == Verdict::Suspect);
        if suspects.len() == 1 {
            return suspects;
        }
        let never_completed = select(&|request| !self.completed_count.contains_key(request));
        if never_completed.is_empty() {
            in_flight.to_vec()
        } else {
            never_completed
        }
    }

    /// Applies a fact from another node or of this one; returns a fact to spread if it quarantines
    /// a request.
    pub fn learn(&mut self, now: WallTime, fact: &Fact) -> Option<Fact> {
        self.remove_expired(now);
        match fact {
            Fact::Quarantined { fingerprint, until } => {
                self.quarantine(*fingerprint, *until);
                None
            }
            Fact::CrashSeen { fingerprint, crash, until } => {
                self.count_crash(now, *fingerprint, *crash, *until)
            }
            _ => None,
        }
    }

    fn count_crash(
        &mut self,
        now: WallTime,
        fingerprint: Fingerprint,
        crash: u64,
        until: WallTime,
    ) -> Option<Fact> {
        if until <= now || self.is_full(&fingerprint) {
            return None;
        }
        let crashes = self.crashes_by_request.entry(fingerprint).or_default();
        if crashes.len() < self.config.crashes {
            crashes.insert(crash, until);
        }
        if crashes.len() < self.config.crashes || self.quarantined.contains_key(&fingerprint) {
            return None;
        }
        // Taking the latest expiry, every node that knows these crashes computes the same end.
        let until = crashes.values().copied().max().unwrap_or(until);
        self.quarantine(fingerprint, until);
        Some(Fact::Quarantined { fingerprint, until })
    }

    fn is_full(&self, fingerprint: &Fingerprint) -> bool {
        self.crashes_by_request.len() >= self.config.entries
            && !self.crashes_by_request.contains_key(fingerprint)
    }

    fn quarantine(&mut self, fingerprint: Fingerprint, until: WallTime) {
        if self.quarantined.len() < self.config.entries {
            let known = self.quarantined.entry(fingerprint).or_insert(until);
            *known = until.max(*known);
        }
    }

    /// Drops expired entries; a request whose quarantine ended starts with a clean record.
    fn remove_expired(&mut self, now: WallTime) {
        let crashes_by_request = &mut self.crashes_by_request;
        self.quarantined.retain(|fingerprint, until| {
            let kept = now < *until;
            if !kept {
                crashes_by_request.remove(fingerprint);
            }
            kept
        });
        crashes_by_request.retain(|_, crashes| {
            crashes.retain(|_, until| now < *until);
            !crashes.is_empty()
        });
    }

    fn remove_oldest_completed(&mut self) {
        let Some(oldest) = self.completed.pop_front() else { return };
        if let Some(count) = self.completed_count.get_mut(&oldest) {
            *count -= 1;
            if *count == 0 {
                self.completed_count.remove(&oldest);
            }
        }
    }
}
