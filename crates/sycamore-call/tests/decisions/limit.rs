//! Tests that compare the limit policies in simulated time: goodput at twice the capacity of
//! upstreams that declare more slots than they can serve well.

use super::common::ms;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use sycamore_call::admit::{Input, RunEnd};
use sycamore_call::{Admission, AdmissionConfig, Arrival, Criticality, Decision, LimitPolicy};
use sycamore_types::prelude::*;

const SLOTS: u16 = 12;
const SECONDS: u64 = 40;
const POLICIES: [LimitPolicy; 3] = [LimitPolicy::Fixed, LimitPolicy::Aimd, LimitPolicy::Gradient];

/// Cause for which calls on the simulated upstream slow down or fail.
#[derive(Debug, Clone, Copy)]
enum Slowness {
    /// More than six concurrent calls slow each other down.
    Contended,
    /// The upstream refuses calls beyond six concurrent ones.
    Sheds,
    /// A dependency of the upstream is slow, whatever the concurrency.
    Behind,
}

impl Slowness {
    /// Returns the service time in microseconds of a call that starts as one of `running`; `None`
    /// where the upstream refuses it.
    fn time_us(self, running: usize) -> Option<u64> {
        let over = running as f64 / 6.0;
        match self {
            Slowness::Contended if over > 1.0 => Some((20_000.0 * over * over) as u64),
            Slowness::Sheds if over > 1.0 => None,
            Slowness::Contended | Slowness::Sheds => Some(20_000),
            Slowness::Behind => Some(60_000),
        }
    }

    /// Returns the maximum throughput, in calls per second.
    fn capacity(self) -> f64 {
        match self {
            Slowness::Contended | Slowness::Sheds => 300.0,
            Slowness::Behind => 200.0,
        }
    }
}

/// Returns the rate of calls that succeeded in time, as a fraction of the capacity.
fn goodput(policy: LimitPolicy, slowness: Slowness) -> f64 {
    let mut rng = SmallRng::seed_from_u64(5);
    let mut admission = Admission::new(AdmissionConfig { policy, ..Default::default() });
    admission.step(Time(0), Input::Announce { slots: SLOTS, connections: 120 });
    let mut deadlines = BTreeMap::new();
    let mut ends: BinaryHeap<Reverse<(u64, u64, bool)>> = BinaryHeap::new();
    let (mut next_arrival, mut id, mut done) = (0, 0, 0);
    while next_arrival < SECONDS * 1_000_000 {
        let ended = ends.peek().map(|Reverse(end)| *end).filter(|end| end.0 <= next_arrival);
        let (now, input) = match ended {
            Some((at, call, served)) => {
                ends.pop();
                let in_time = served && at <= deadlines[&call];
                done += u64::from(in_time);
                let end = if in_time { RunEnd::Answered } else { RunEnd::Overloaded };
                (at, Input::Finish(call, end))
            }
            None => {
                let now = next_arrival;
                let gap = -(1.0 - rng.random::<f64>()).ln() / (2.0 * slowness.capacity());
                next_arrival += (gap * 1e6) as u64;
                id += 1;
                let deadline = Time(now) + ms(500);
                deadlines.insert(id, deadline.0);
                let class = Criticality::Normal;
                (
                    now,
                    Input::Arrive(Arrival {
                        id,
                        caller: id % 40,
                        class,
                        deadline,
                        objective: None,
                        work: 0,
                        is_inner: false,
                    }),
                )
            }
        };
        for decision in admission.step(Time(now), input) {
            if let Decision::Admit(call) = decision {
                let running = usize::from(admission.load(Time(0)).running);
                let end = match slowness.time_us(running) {
                    Some(time) => (now + time, call, true),
                    None => (now + 200, call, false),
                };
                ends.push(Reverse(end));
            }
        }
    }
    done as f64 / (slowness.capacity() * SECONDS as f64)
}

/// Guards against a default policy whose goodput falls behind another one when calls contend, the
/// upstream sheds, or a dependency is slow.
#[test]
fn the_default_policy_has_the_highest_goodput() {
    for slowness in [Slowness::Contended, Slowness::Sheds, Slowness::Behind] {
        let figures = POLICIES.map(|policy| goodput(policy, slowness));
        let [fixed, aimd, gradient] = figures;
        println!("{slowness:?}: fixed {fixed:.3}, aimd {aimd:.3}, gradient {gradient:.3}");
        assert!(aimd + 0.01 >= fixed.max(gradient), "{slowness:?}");
    }
}
