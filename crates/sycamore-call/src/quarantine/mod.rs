//! Requests that crash upstreams: recognised by fingerprint after the second crash anywhere, refused
//! everywhere, released after a stated time.
//!
//! A crash has witnesses who did nothing: every request that was in flight on the instance. So a
//! request that completed here lately is not named; one that was named once is run only alone among
//! the named ones, so that a second crash tells which of them it was.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;
use sycamore_types::prelude::*;

/// Settings of a [`CrashLog`].
#[derive(Debug, Clone)]
pub struct CrashLogConfig {
    /// Time for which a crash is remembered against the requests that it took along, and so for
    /// which a quarantined request is refused after its last crash.
    pub quarantine: Duration,
    /// Crashes after which a request is quarantined.
    pub crashes: usize,
    /// Fingerprints remembered at most, of each kind.
    pub entries: usize,
}

impl Default for CrashLogConfig {
    fn default() -> Self {
        Self { quarantine: Duration::from_secs(600), crashes: 2, entries: 4_096 }
    }
}

/// What is known of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Nothing against it.
    Clear,
    /// It was in flight at a crash: it may run, but no other suspect beside it.
    Suspect,
    /// It crashes upstreams: refused until then.
    Quarantined(WallTime),
}

/// Crashes, suspects and quarantined requests, as known here.
#[derive(Debug, Clone)]
pub struct CrashLog {
    config: CrashLogConfig,
    seen: BTreeMap<Fingerprint, BTreeMap<u64, WallTime>>,
    quarantined: BTreeMap<Fingerprint, WallTime>,
    /// Requests that completed here, oldest first.
    completed: VecDeque<Fingerprint>,
    completed_count: BTreeMap<Fingerprint, u32>,
}

impl CrashLog {
    /// A log that knows nothing.
    pub fn new(config: CrashLogConfig) -> Self {
        Self {
            config,
            seen: BTreeMap::new(),
            quarantined: BTreeMap::new(),
            completed: VecDeque::new(),
            completed_count: BTreeMap::new(),
        }
    }

    /// What is known of `request`.
    pub fn verdict(&self, now: WallTime, request: Fingerprint) -> Verdict {
        if let Some(until) = self.quarantined.get(&request).filter(|until| now < **until) {
            return Verdict::Quarantined(*until);
        }
        let named = self
            .seen
            .get(&request)
            .is_some_and(|crashes| crashes.values().any(|until| now < *until));
        if named && !self.completed_count.contains_key(&request) {
            return Verdict::Suspect;
        }
        Verdict::Clear
    }

    /// Records that `request` was answered by an upstream that still stands.
    pub fn completed(&mut self, request: Fingerprint) {
        self.completed.push_back(request);
        *self.completed_count.entry(request).or_default() += 1;
        if self.completed.len() > self.config.entries {
            self.forget_completed();
        }
    }

    /// Records that the upstream beside this node crashed while `in_flight` ran there; `crash`
    /// tells crashes apart. Returns the facts to spread.
    pub fn crashed(&mut self, now: WallTime, crash: u64, in_flight: &[Fingerprint]) -> Vec<Fact> {
        let until = now + self.config.quarantine;
        let facts: Vec<Fact> = self
            .named_by_crash(now, in_flight)
            .into_iter()
            .map(|fingerprint| Fact::CrashSeen { fingerprint, crash, until })
            .collect();
        let condemned: Vec<Fact> = facts.iter().filter_map(|fact| self.learn(now, fact)).collect();
        facts.into_iter().chain(condemned).collect()
    }

    /// Whom a crash is held against: a request that was named before and ran here alone among
    /// suspects, otherwise all that never completed here.
    fn named_by_crash(&self, now: WallTime, in_flight: &[Fingerprint]) -> Vec<Fingerprint> {
        let with = |keep: &dyn Fn(&Fingerprint) -> bool| -> Vec<Fingerprint> {
            in_flight.iter().copied().filter(|request| keep(request)).collect()
        };
        let suspects = with(&|request| self.verdict(now, *request) == Verdict::Suspect);
        if suspects.len() == 1 {
            return suspects;
        }
        let unproven = with(&|request| !self.completed_count.contains_key(request));
        if unproven.is_empty() {
            in_flight.to_vec()
        } else {
            unproven
        }
    }

    /// Takes a fact learnt from another node or raised here; returns the fact to spread where it
    /// condemns a request.
    pub fn learn(&mut self, now: WallTime, fact: &Fact) -> Option<Fact> {
        self.forget(now);
        match fact {
            Fact::Quarantined { fingerprint, until } => {
                self.quarantine(*fingerprint, *until);
                None
            }
            Fact::CrashSeen { fingerprint, crash, until } => {
                self.crash_seen(now, *fingerprint, *crash, *until)
            }
            _ => None,
        }
    }

    fn crash_seen(
        &mut self,
        now: WallTime,
        fingerprint: Fingerprint,
        crash: u64,
        until: WallTime,
    ) -> Option<Fact> {
        if until <= now || self.is_full(&fingerprint) {
            return None;
        }
        let crashes = self.seen.entry(fingerprint).or_default();
        if crashes.len() < self.config.crashes {
            crashes.insert(crash, until);
        }
        if crashes.len() < self.config.crashes || self.quarantined.contains_key(&fingerprint) {
            return None;
        }
        // Every node that knows these crashes arrives at the same end.
        let until = crashes.values().copied().max().unwrap_or(until);
        self.quarantine(fingerprint, until);
        Some(Fact::Quarantined { fingerprint, until })
    }

    fn is_full(&self, fingerprint: &Fingerprint) -> bool {
        self.seen.len() >= self.config.entries && !self.seen.contains_key(fingerprint)
    }

    fn quarantine(&mut self, fingerprint: Fingerprint, until: WallTime) {
        if self.quarantined.len() < self.config.entries {
            let known = self.quarantined.entry(fingerprint).or_insert(until);
            *known = until.max(*known);
        }
    }

    /// Forgets what has expired; a released request starts with a clean record.
    fn forget(&mut self, now: WallTime) {
        let seen = &mut self.seen;
        self.quarantined.retain(|fingerprint, until| {
            let kept = now < *until;
            if !kept {
                seen.remove(fingerprint);
            }
            kept
        });
        seen.retain(|_, crashes| {
            crashes.retain(|_, until| now < *until);
            !crashes.is_empty()
        });
    }

    fn forget_completed(&mut self) {
        let Some(oldest) = self.completed.pop_front() else { return };
        if let Some(count) = self.completed_count.get_mut(&oldest) {
            *count -= 1;
            if *count == 0 {
                self.completed_count.remove(&oldest);
            }
        }
    }
}
