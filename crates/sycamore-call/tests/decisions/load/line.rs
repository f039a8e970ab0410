//! Simulation of the admission at one upstream under streams of calls, in simulated time.

use crate::common::ms;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;
use sycamore_call::admit::{Input, RunEnd};
use sycamore_call::{Admission, AdmissionConfig, Arrival, Criticality, Decision, LimitPolicy};
use sycamore_types::prelude::*;

/// Stream of similar calls that arrive at random.
#[derive(Debug, Clone, Copy)]
pub struct Stream {
    /// Arrival rate, in calls per second.
    pub per_s: f64,
    /// Mean service time of a call on the upstream.
    pub work: Duration,
    /// Time after which an answer is worth less.
    pub objective: Duration,
    /// Time after which the caller leaves.
    pub deadline: Duration,
    /// Importance of the calls under overload.
    pub class: Criticality,
}

/// Counts of the outcomes of one stream's calls.
#[derive(Debug, Clone, Copy, Default)]
pub struct Tally {
    /// Calls that arrived.
    pub arrived: u64,
    /// Calls answered within the objective.
    pub in_time: u64,
    /// Calls answered after the objective, but by the deadline.
    pub late: u64,
    /// Calls refused.
    pub refused: u64,
    /// Maximum time that a refused call had waited.
    pub max_wait_of_refused: Duration,
}

/// Number of slots of the upstream.
pub const SLOTS: u16 = 18;
const SECONDS: u64 = 60;

/// Simulates `streams`; without `by_objective`, calls are ordered and admitted by their deadlines
/// only.
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
    let mut next: Vec<u64> = streams.iter().map(|stream| draw_gap_us(&mut rng, stream)).collect();
    let mut calls: BTreeMap<u64, (usize, Time)> = BTreeMap::new();
    let mut ends: BinaryHeap<Reverse<(u64, u64)>> = BinaryHeap::new();
    let mut id = 0;
    loop {
        let (stream_index, arrival) =
            (0..streams.len()).map(|i| (i, next[i])).min_by_key(|n| n.1).unwrap();
        let end = ends.peek().map(|Reverse((at, _))| *at).unwrap_or(u64::MAX);
        let tick = admission.next_tick(Time(0)).map_or(u64::MAX, |at| at.0);
        let now = arrival.min(end).min(tick);
        if now > SECONDS * 1_000_000 {
            return tallies;
        }
        let input = if now == tick && tick < end {
            Input::Tick
        } else if now == end {
            let Reverse((_, call)) = ends.pop().unwrap();
            let (stream_index, came) = calls[&call];
            let took = Time(now).since(came);
            let tally = &mut tallies[stream_index];
            tally.in_time += u64::from(took <= streams[stream_index].objective);
            tally.late += u64::from(
                took > streams[stream_index].objective && took <= streams[stream_index].deadline,
            );
            Input::Finish(call, RunEnd::Answered)
        } else {
            next[stream_index] = now + draw_gap_us(&mut rng, &streams[stream_index]);
            id += 1;
            calls.insert(id, (stream_index, Time(now)));
            tallies[stream_index].arrived += 1;
            Input::Arrive(new_arrival(
                id,
                stream_index,
                Time(now),
                &streams[stream_index],
                by_objective,
            ))
        };
        for decision in admission.step(Time(now), input) {
            match decision {
                Decision::Admit(call) => {
                    let work = streams[calls[&call].0].work.mul_f64(rng.random_range(0.6..1.4));
                    ends.push(Reverse((now + work.as_micros() as u64, call)));
                }
                Decision::Refuse { id, .. } => {
                    let (stream_index, came) = calls[&id];
                    let held = Time(now).since(came);
                    tallies[stream_index].refused += 1;
                    tallies[stream_index].max_wait_of_refused =
                        tallies[stream_index].max_wait_of_refused.max(held);
                }
            }
        }
    }
}

fn draw_gap_us(rng: &mut SmallRng, stream: &Stream) -> u64 {
    (-(1.0 - rng.random::<f64>()).ln() / stream.per_s * 1e6) as u64
}

fn new_arrival(
    id: u64,
    stream_index: usize,
    now: Time,
    stream: &Stream,
    by_objective: bool,
) -> Arrival {
    Arrival {
        id,
        caller: id % 40,
        class: stream.class,
        deadline: now + stream.deadline,
        objective: by_objective.then(|| now + stream.objective),
        work: if by_objective { stream_index as u64 + 1 } else { 0 },
        is_inner: false,
    }
}
