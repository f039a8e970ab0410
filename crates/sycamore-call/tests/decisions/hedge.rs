//! Tests of the decision on second attempts.

use super::common::{at, ms, service};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;
use sycamore_call::hedge::{Hedge, HedgeConfig, HedgedCall};
use sycamore_types::prelude::*;

fn route() -> RouteName {
    RouteName::new("lookup").unwrap()
}

/// Returns a machine that has seen 1,000 answers of 1 to 100 ms.
fn hedge(extra: f64) -> Hedge {
    let mut hedge = Hedge::new(HedgeConfig { extra, ..HedgeConfig::default() });
    (0..1_000).for_each(|i| hedge.record_time(at(1), &route(), ms(1 + i % 100)));
    hedge
}

/// Asks for the delay of a call that `change` makes differ from one which gets a second attempt.
fn delay(hedge: &mut Hedge, change: impl FnOnce(&mut HedgedCall<'_>)) -> Option<Duration> {
    let (route, service) = (route(), service());
    let mut call = HedgedCall {
        route: &route,
        service: &service,
        is_repeatable: true,
        is_retry: false,
        attempts: 2,
        is_unproven: false,
        utilisation: 0.5,
        left: ms(4_000),
    };
    change(&mut call);
    hedge.delay(at(2), &call)
}

/// Guards against a second attempt where none may be sent or none helps, each for its own reason.
#[test]
fn only_calls_that_may_run_twice_and_are_worth_it_get_a_second_attempt() {
    let mut hedge = hedge(0.05);
    let usual = delay(&mut hedge, |_| {}).unwrap();
    assert!((ms(92)..=ms(107)).contains(&usual), "{usual:?} for the 97th of 1 to 100 ms");
    assert_eq!(delay(&mut hedge, |call| call.is_repeatable = false), None);
    assert_eq!(delay(&mut hedge, |call| call.is_retry = true), None);
    assert_eq!(delay(&mut hedge, |call| call.attempts = 1), None);
    assert_eq!(delay(&mut hedge, |call| call.is_unproven = true), None);
    assert_eq!(delay(&mut hedge, |call| call.utilisation = 1.0), None, "waits in a queue");
    assert_eq!(delay(&mut hedge, |call| call.left = ms(150)), None, "near its deadline");
    let other = RouteName::new("other").unwrap();
    let other_route = HedgeConfig { extra: 0.05, ..HedgeConfig::default() };
    let mut unknown = Hedge::new(other_route);
    unknown.record_time(at(1), &other, ms(50));
    assert_eq!(delay(&mut unknown, |_| {}), None, "of unknown times");
    assert_eq!(delay(&mut Hedge::new(HedgeConfig::default()), |_| {}), None, "off by default");
}

/// Guards against second attempts of a service for which the operator allows none.
#[test]
fn a_service_may_have_a_limit_of_its_own() {
    let services = [(service(), 0.0)].into();
    let mut hedge = Hedge::new(HedgeConfig { extra: 0.05, services, ..HedgeConfig::default() });
    (0..1_000).for_each(|_| hedge.record_time(at(1), &route(), ms(50)));
    assert_eq!(delay(&mut hedge, |_| {}), None);
    assert!(!hedge.spend(at(2), &service(), 0.1));
}

/// Guards against more extra work than the operator allows in any ten seconds: calls come at rates that
/// change by the second, and each asks for a second attempt.
#[test]
fn no_ten_seconds_hold_more_second_attempts_than_the_limit() {
    for seed in 0..50 {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut hedge = hedge(0.05);
        let (mut calls, mut sent) = (Vec::new(), Vec::new());
        for second in 0..60_u64 {
            let count = random.random_range(0..400);
            for i in 0..count {
                let now = at(second * 1_000 + i * 1_000 / count);
                let (route, service) = (route(), service());
                let call = HedgedCall {
                    route: &route,
                    service: &service,
                    is_repeatable: true,
                    is_retry: false,
                    attempts: 2,
                    is_unproven: false,
                    utilisation: 0.1,
                    left: ms(4_000),
                };
                hedge.delay(now, &call);
                hedge.record_time(now, &route, ms(50));
                calls.push(now);
                if hedge.spend(now, &service, 0.1) {
                    sent.push(now);
                }
            }
        }
        assert!(sent.len() as f64 >= 0.8 * 0.05 * calls.len() as f64, "{} sent", sent.len());
        for begin in &sent {
            let within = |at: &&Time| **at >= *begin && at.since(*begin) < Duration::from_secs(10);
            let (in_calls, in_sent) =
                (calls.iter().filter(within).count(), sent.iter().filter(within).count());
            let is_whole = calls.last().unwrap().since(*begin) >= Duration::from_secs(10);
            let share = in_sent as f64 / in_calls as f64;
            assert!(!is_whole || share <= 0.05, "{share} of the calls, seed {seed}");
        }
    }
}

/// Guards against extra work on a busy service.
#[test]
fn a_busy_service_gets_none() {
    let mut hedge = hedge(0.5);
    for _ in 0..100 {
        assert!(delay(&mut hedge, |_| {}).is_some());
    }
    assert!(hedge.spend(at(2), &service(), 0.69));
    assert!(!hedge.spend(at(2), &service(), 0.7));
}
