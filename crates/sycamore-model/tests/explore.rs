//! Exploration of a small model: visited states, counterexamples and limits.

use sycamore_model::{explore, Model, Options, Outcome};

/// Model of a counter that increases by one or two up to `limit` and must never equal `forbidden`.
struct Counter {
    limit: u8,
    forbidden: Option<u8>,
}

impl Model for Counter {
    type State = u8;
    type Action = String;

    fn starts(&self) -> Vec<u8> {
        vec![0]
    }

    fn next(&self, state: &u8) -> Vec<(String, u8)> {
        [1, 2]
            .into_iter()
            .map(|step| (format!("add {step}"), state + step))
            .filter(|(_, next)| *next <= self.limit)
            .collect()
    }

    fn check(&self, state: &u8) -> Result<(), String> {
        match self.forbidden == Some(*state) {
            true => Err(format!("the counter equals {state}")),
            false => Ok(()),
        }
    }
}

/// Guards against states that are skipped, or counted again when reached by another path.
#[test]
fn every_state_is_visited_once() {
    let outcome = explore(&Counter { limit: 9, forbidden: None }, &Options::default());
    assert_eq!(outcome, Outcome::Holds { states: 10 });
}

/// Guards against needlessly long counterexamples.
#[test]
fn a_counterexample_has_the_fewest_transitions() {
    let outcome = explore(&Counter { limit: 9, forbidden: Some(6) }, &Options::default());
    let trace = vec!["add 2".to_owned(); 3];
    assert_eq!(outcome, Outcome::Broken { property: "the counter equals 6".to_owned(), trace });
}

/// Guards against an incomplete exploration that is reported as a proof.
#[test]
fn an_exploration_beyond_its_limit_is_reported_as_too_large() {
    let outcome = explore(&Counter { limit: 9, forbidden: None }, &Options { max_states: 5 });
    assert_eq!(outcome, Outcome::TooLarge { states: 6 });
}
