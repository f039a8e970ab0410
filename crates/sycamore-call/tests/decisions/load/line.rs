//! An admission before one upstream, fed with calls on faked time.

use crate::common::ms;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;
use sycamore_call::admit::{Input, RunEnd};
use sycamore_call::{Admission, AdmissionConfig, Arrival, Criticality, Decision, LimitPolicy};
use sycamore_types::prelude::*;

/// Calls of one kind.
#[derive(Debug, Clone, Copy)]
pub struct Stream {
    /// Calls a second.
    pub per_s: f64,
    /// Time of one on the upstream.
    pub work: Duration,
    /// Time within which an answer is worth most.
    pub objective: Duration,
    /// Time after which its caller leaves.
    pub deadline: Duration,
    /// How much it matters.
    pub class: Criticality,
}

/// What became of the calls of one stream.
#[derive(Debug, Clone, Copy, Default)]
pub struct Tally {
    /// Calls that came.
    pub asked: u64,
    /// Answered within the objective.
    pub in_time: u64,
    /// Answered after it, by the deadline.
    pub late: u64,
    /// Refused.
    pub refused: u64,
    /// Longest time for which a call that was refused had waited.
    pub longest_held: Duration,
}

/// Slots of the upstream.
pub const SLOTS: u16 = 18;
const SECONDS: u64 = 60;

/// Runs `streams`; without `by_objective` calls are ordered and admitted by their deadlines only.
pub fn run(streams: &[Stream], by_objective: bool) -> Vec<Tally> {
    let mut rng = SmallRng::seed_from_u64(11);
    let mut admission = Admission::new(AdmissionConfig {
        queue: 64,
        queue_time: ms(5_000),
        policy: LimitPolicy::Fixed,
        ..AdmissionConfig::default()
    });
    admission.step(Time(0), Input::Announce { slots: SLOTS, connections: 120 });
    let mut tallies = vec![Tally::default(); streams.len()];
    let mut next: Vec<u64> = streams.iter().map(|stream| gap(&mut rng, stream)).collect();
    let mut calls: BTreeMap<u64, (usize, Time)> = BTreeMap::new();
    let mut ends: BinaryHeap<Reverse<(u64, u64)>> = BinaryHeap::new();
    let mut id = 0;
    loop {
        let (kind, arrival) = (0..streams.len()).map(|i| (i, next[i])).min_by_key(|n| n.1).unwrap();
        let end = ends.peek().map(|Reverse((at, _))| *at).unwrap_or(u64::MAX);
        let tick = admission.next_tick().map_or(u64::MAX, |at| at.0);
        let now = arrival.min(end).min(tick);
        if now > SECONDS * 1_000_000 {
            return tallies;
        }
        let input = if now == tick && tick < end {
            Input::Tick
        } else if now == end {
            let Reverse((_, call)) = ends.pop().unwrap();
            let (kind, came) = calls[&call];
            let took = Time(now).since(came);
            let tally = &mut tallies[kind];
            tally.in_time += u64::from(took <= streams[kind].objective);
            tally.late +=
                u64::from(took > streams[kind].objective && took <= streams[kind].deadline);
            Input::Finish(call, RunEnd::Answered)
        } else {
            next[kind] = now + gap(&mut rng, &streams[kind]);
            id += 1;
            calls.insert(id, (kind, Time(now)));
            tallies[kind].asked += 1;
            Input::Arrive(arrive(id, kind, Time(now), &streams[kind], by_objective))
        };
        for decision in admission.step(Time(now), input) {
            match decision {
                Decision::Admit(call) => {
                    let work = streams[calls[&call].0].work.mul_f64(rng.random_range(0.6..1.4));
                    ends.push(Reverse((now + work.as_micros() as u64, call)));
                }
                Decision::Refuse { id, .. } => {
                    let (kind, came) = calls[&id];
                    let held = Time(now).since(came);
                    tallies[kind].refused += 1;
                    tallies[kind].longest_held = tallies[kind].longest_held.max(held);
                }
            }
        }
    }
}

fn gap(rng: &mut SmallRng, stream: &Stream) -> u64 {
    (-(1.0 - rng.random::<f64>()).ln() / stream.per_s * 1e6) as u64
}

fn arrive(id: u64, kind: usize, now: Time, stream: &Stream, by_objective: bool) -> Arrival {
    Arrival {
        id,
        caller: id % 40,
        class: stream.class,
        deadline: now + stream.deadline,
        objective: by_objective.then(|| now + stream.objective),
        work: if by_objective { kind as u64 + 1 } else { 0 },
    }
}
