//! Simulation of the rate at which harmless requests are quarantined because they were in flight at
//! two crashes.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;
use sycamore_call::quarantine::Verdict;
use sycamore_call::{CrashLog, CrashLogConfig};
use sycamore_types::prelude::*;

const NODES: usize = 5;
const SLOTS: usize = 12;
const STEPS: u64 = 12_000;
/// Number of steps between two requests that crash upstreams.
const STEPS_PER_POISON: u64 = 100;
/// Number of times that a crashing request is sent by its caller.
const POISON_REPEATS: usize = 6;
/// Number of distinct requests that many callers send alike.
const POPULAR_REQUESTS: u64 = 40;
const POISON_BASE: u64 = 1 << 40;

#[derive(Default)]
struct Count {
    crashes: usize,
    poisons: usize,
    poisons_quarantined: usize,
    crashes_of: BTreeMap<Fingerprint, usize>,
    in_flight_at_crash: usize,
    harmless_quarantined: usize,
}

struct Fleet {
    logs: Vec<CrashLog>,
    running: Vec<Vec<Fingerprint>>,
    /// Requests that wait to be sent, including repeats.
    waiting: Vec<Fingerprint>,
    rng: SmallRng,
    next: u64,
    count: Count,
}

fn is_poison(request: Fingerprint) -> bool {
    request.0 >= POISON_BASE
}

impl Fleet {
    fn new(seed: u64) -> Self {
        Self {
            logs: (0..NODES).map(|_| CrashLog::new(CrashLogConfig::default())).collect(),
            running: vec![Vec::new(); NODES],
            waiting: Vec::new(),
            rng: SmallRng::seed_from_u64(seed),
            next: POPULAR_REQUESTS,
            count: Count::default(),
        }
    }

    fn harmless_request(&mut self) -> Fingerprint {
        if self.rng.random_bool(0.3) {
            return Fingerprint(self.rng.random_range(0..POPULAR_REQUESTS));
        }
        self.next += 1;
        Fingerprint(self.next)
    }

    fn step(&mut self, step: u64) {
        let now = WallTime(step * 10);
        if step.is_multiple_of(STEPS_PER_POISON) {
            self.count.poisons += 1;
            let poison = Fingerprint(POISON_BASE + step);
            self.waiting.extend([poison; POISON_REPEATS]);
        }
        for node in 0..NODES {
            if let Some(at) = self.running[node].iter().position(|r| is_poison(*r)) {
                self.crash(node, at, now);
            }
            self.complete_some(node);
            while self.running[node].len() < SLOTS {
                let at = self.waiting.iter().position(|r| self.may_run(node, *r, now));
                let request = match at {
                    Some(at) => self.waiting.swap_remove(at),
                    None => self.harmless_request(),
                };
                if !self.may_run(node, request, now) {
                    break;
                }
                self.running[node].push(request);
            }
        }
        let logs = &self.logs;
        self.waiting
            .retain(|request| !matches!(logs[0].verdict(now, *request), Verdict::Quarantined(_)));
    }

    fn complete_some(&mut self, node: usize) {
        let done: Vec<bool> =
            self.running[node].iter().map(|_| self.rng.random_bool(0.3)).collect();
        let mut done = done.into_iter();
        let log = &mut self.logs[node];
        self.running[node].retain(|request| {
            let ends = done.next().unwrap_or(false) && !is_poison(*request);
            if ends {
                log.record_completion(*request);
            }
            !ends
        });
    }

    /// Applies the node's rule: no quarantined request, and one suspect at a time.
    fn may_run(&self, node: usize, request: Fingerprint, now: WallTime) -> bool {
        let log = &self.logs[node];
        match log.verdict(now, request) {
            Verdict::Clear => true,
            Verdict::Quarantined(_) => false,
            Verdict::Suspect => !self.running[node]
                .iter()
                .any(|running| log.verdict(now, *running) == Verdict::Suspect),
        }
    }

    fn crash(&mut self, node: usize, at: usize, now: WallTime) {
        self.count.crashes += 1;
        let poison = self.running[node][at];
        *self.count.crashes_of.entry(poison).or_default() += 1;
        let in_flight = std::mem::take(&mut self.running[node]);
        self.count.in_flight_at_crash += in_flight.len() - 1;
        let crash = self.count.crashes as u64;
        let facts = self.logs[node].record_crash(now, crash, &in_flight);
        for fact in &facts {
            if let Fact::Quarantined { fingerprint, .. } = fact {
                match is_poison(*fingerprint) {
                    true => self.count.poisons_quarantined += 1,
                    false => self.count.harmless_quarantined += 1,
                }
            }
            (0..NODES).filter(|other| *other != node).for_each(|other| {
                self.logs[other].learn(now, fact);
            });
        }
        // Every caller whose call broke repeats it, all at once.
        self.waiting.extend(in_flight.into_iter().filter(|request| *request != poison));
    }
}

/// Guards against quarantining more than 1% of the harmless requests in flight at crashes, and
/// against a request that crashes upstreams again after its second crash.
#[test]
fn harmless_requests_are_rarely_quarantined() {
    let mut fleet = Fleet::new(11);
    (0..STEPS).for_each(|step| fleet.step(step));
    let count = &fleet.count;
    let rate = count.harmless_quarantined as f64 / count.in_flight_at_crash as f64;
    println!(
        "{} poisons, {} crashes, {} quarantined; {} harmless requests in flight at crashes, {} quarantined: {rate:.5}",
        count.poisons,
        count.crashes,
        count.poisons_quarantined,
        count.in_flight_at_crash,
        count.harmless_quarantined,
    );
    let twice = count.crashes_of.values().filter(|crashes| **crashes >= 2).count();
    let most = count.crashes_of.values().max();
    println!("{twice} poisons crashed a second upstream, {most:?} at most");
    assert!(count.poisons >= 100);
    assert_eq!(count.poisons_quarantined, twice, "every second crash quarantines its request");
    assert!(rate <= 0.01, "{rate}");
}
