//! One instance of ten is ten times slower than the others, at several loads: second attempts cut the
//! slowest answers within their limit, and there are none where the service is busy.

use crate::common::{at, centre, instance, member, ms, region, service, version, view};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use sycamore_call::hedge::{Hedge, HedgeConfig, HedgedCall};
use sycamore_call::route::{AttemptEnd, VersionBans};
use sycamore_call::{Load, Pick, Router, RouterConfig};
use sycamore_types::prelude::*;

const INSTANCES: usize = 10;
const SLOTS: usize = 10;
/// Mean time of a call at a fast instance, in milliseconds.
const WORK: u64 = 20;
const SLOWER: u64 = 10;
const EXTRA: f64 = 0.05;

/// Attempt that waits or runs at an instance.
#[derive(Clone, Copy)]
struct Attempt {
    call: usize,
    work: u64,
}

#[derive(Default)]
struct Instance {
    waiting: VecDeque<Attempt>,
    /// Running attempts by the time of their end.
    running: Vec<(u64, Attempt)>,
}

struct Town {
    router: Router,
    hedge: Hedge,
    view: MemberView,
    instances: Vec<Instance>,
    random: SmallRng,
    /// Begin, first instance and, once answered, time of each call.
    calls: Vec<(u64, usize, Option<u64>)>,
    /// Calls by the time at which a second attempt is due.
    due: BTreeMap<u64, Vec<usize>>,
    extra: usize,
}

impl Town {
    fn new(extra: f64, seed: u64) -> Self {
        let members = (0..INSTANCES).map(|i| member(&format!("i{i}"), "1", "a"));
        let view = view(members);
        let mut router = Router::new(RouterConfig::default(), seed);
        router.update(at(0), &view);
        Self {
            router,
            hedge: Hedge::new(HedgeConfig { extra, ..HedgeConfig::default() }),
            view,
            instances: (0..INSTANCES).map(|_| Instance::default()).collect(),
            random: SmallRng::seed_from_u64(seed),
            calls: Vec::new(),
            due: BTreeMap::new(),
            extra: 0,
        }
    }

    fn pick(&mut self, now: u64, tried: &[InstanceId]) -> Option<usize> {
        let (service, centre, region) = (service(), centre("a"), region());
        let pick = Pick {
            service: &service,
            view: &self.view,
            shares: &ShareTable::default(),
            bans: &VersionBans::default(),
            out_of_use: &BTreeSet::new(),
            tried,
            data_centre: &centre,
            region: &region,
            bytes: Some(0),
        };
        let chosen = self.router.pick(at(now), &pick)?;
        assert_eq!(chosen.version, version("1"));
        chosen.instance.as_str()[1..].parse().ok()
    }

    fn send(&mut self, call: usize, to: usize) {
        let slower = if to == 0 { SLOWER } else { 1 };
        let work = self.random.random_range(WORK / 2..=WORK * 3 / 2) * slower;
        self.instances[to].waiting.push_back(Attempt { call, work });
    }

    fn load(&self, of: usize) -> Load {
        let count = |len: usize| u16::try_from(len).unwrap();
        let Instance { waiting, running } = &self.instances[of];
        Load {
            running: count(running.len()),
            limit: count(SLOTS),
            queued: count(waiting.len()),
            rate_percent: None,
        }
    }

    fn arrive(&mut self, now: u64) {
        let Some(first) = self.pick(now, &[]) else { return };
        let call = self.calls.len();
        self.calls.push((now, first, None));
        self.send(call, first);
        let route = RouteName::new("r").unwrap();
        let utilisation = self.router.utilisation_of(at(now), &name(first));
        let hedged = HedgedCall {
            route: &route,
            service: &service(),
            is_repeatable: true,
            is_retry: false,
            attempts: 2,
            is_unproven: false,
            utilisation,
            left: ms(4_000),
        };
        if let Some(delay) = self.hedge.delay(at(now), &hedged) {
            let due = now + u64::try_from(delay.as_millis()).unwrap();
            self.due.entry(due).or_default().push(call);
        }
    }

    fn hedge_due(&mut self, now: u64) {
        for call in self.due.remove(&now).unwrap_or_default() {
            let (_, first, answered) = self.calls[call];
            if answered.is_some() {
                continue;
            }
            let mean = self.router.mean_utilisation_of(at(now), &service(), &self.view);
            let Some(second) = self.pick(now, &[name(first)]) else { continue };
            let may = self.router.may_hedge_to(at(now), &name(second))
                && self.hedge.spend(at(now), &service(), mean);
            match may {
                true => {
                    self.extra += 1;
                    self.send(call, second);
                }
                false => self.router.record_end(at(now), &name(second), AttemptEnd::Cancelled),
            }
        }
    }

    fn run(&mut self, now: u64) {
        for i in 0..INSTANCES {
            let (ended, running) = std::mem::take(&mut self.instances[i].running)
                .into_iter()
                .partition(|r| r.0 <= now);
            self.instances[i].running = running;
            for (_, Attempt { call, .. }) in ended {
                let (begun, first, answered) = self.calls[call];
                let end = match answered {
                    None => AttemptEnd::Answered(self.load(i)),
                    Some(_) => AttemptEnd::Cancelled,
                };
                self.router.record_end(at(now), &name(i), end);
                if answered.is_none() {
                    self.calls[call].2 = Some(now - begun);
                    if first == i {
                        let took = ms(now - begun);
                        self.hedge.record_time(at(now), &RouteName::new("r").unwrap(), took);
                    }
                }
            }
            while self.instances[i].running.len() < SLOTS {
                let Some(next) = self.instances[i].waiting.pop_front() else { break };
                if self.calls[next.call].2.is_none() {
                    self.instances[i].running.push((now + next.work, next));
                }
            }
        }
    }

    /// Plays `secs` seconds at `load` times the capacity.
    fn play(&mut self, load: f64, secs: u64) {
        let fast = (INSTANCES - 1) * SLOTS;
        let per_ms = load * fast as f64 / WORK as f64;
        for now in 1..=secs * 1_000 {
            self.run(now);
            self.hedge_due(now);
            let mut owed = per_ms;
            while owed >= 1.0 || self.random.random_bool(owed.clamp(0.0, 1.0)) {
                owed -= 1.0;
                self.arrive(now);
            }
        }
    }

    /// Returns the time of the slowest thousandth of the answered calls, and the number of these.
    fn slowest(&self) -> (u64, usize) {
        let mut times: Vec<u64> = self.calls.iter().filter_map(|(.., took)| *took).collect();
        times.sort_unstable();
        (times[times.len() * 999 / 1_000], times.len())
    }
}

fn name(of: usize) -> InstanceId {
    instance(&format!("i{of}"))
}

/// Guards against second attempts that cost more than they bring: with one slow instance of ten, the
/// slowest thousandth is halved at less than the operator's limit.
#[test]
fn second_attempts_halve_the_slowest_answers_within_their_limit() {
    let (mut off, mut on) = (Town::new(0.0, 9), Town::new(EXTRA, 9));
    off.play(0.3, 30);
    on.play(0.3, 30);
    let ((before, _), (after, _)) = (off.slowest(), on.slowest());
    let extra = on.extra as f64 / on.calls.len() as f64;
    assert!(after * 2 <= before, "p99.9 of {before} ms before, {after} ms after");
    assert!(extra <= EXTRA, "{extra} of the calls were sent twice");
    assert_eq!(off.extra, 0);
}

/// Guards against extra work that delays other calls: at and above capacity there is none, and as many
/// calls are answered as without.
#[test]
fn a_busy_service_gets_no_second_attempts() {
    for load in [1.0, 1.5] {
        let (mut off, mut on) = (Town::new(0.0, 4), Town::new(EXTRA, 4));
        off.play(load, 20);
        on.play(load, 20);
        let ((_, without), (_, with)) = (off.slowest(), on.slowest());
        let share = on.extra as f64 / on.calls.len() as f64;
        // The first second begins with an idle service.
        assert!(share <= 0.001, "{share} of the calls were sent twice at {load} of capacity");
        let goodput = with as f64 / without as f64;
        assert!((goodput - 1.0).abs() <= 0.01, "{goodput} of the answers at {load} of capacity");
    }
}
