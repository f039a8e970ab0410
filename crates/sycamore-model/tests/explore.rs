//! The exploration itself: it visits all, and a counterexample is a shortest one.

use sycamore_model::{explore, Model, Options, Outcome};

/// A counter that goes up by one or two to a limit and must never be `forbidden`.
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
            true => Err(format!("the counter is {state}")),
            false => Ok(()),
        }
    }
}

#[test]
fn every_state_is_visited_once() {
    let outcome = explore(&Counter { limit: 9, forbidden: None }, &Options::default());
    assert_eq!(outcome, Outcome::Holds { states: 10 });
}

#[test]
fn a_counterexample_is_a_shortest_one() {
    let outcome = explore(&Counter { limit: 9, forbidden: Some(6) }, &Options::default());
    let trace = vec!["add 2".to_owned(); 3];
    assert_eq!(outcome, Outcome::Broken { property: "the counter is 6".to_owned(), trace });
}

#[test]
fn an_exploration_that_is_cut_off_proves_nothing() {
    let outcome = explore(&Counter { limit: 9, forbidden: None }, &Options { max_states: 5 });
    assert_eq!(outcome, Outcome::TooLarge { states: 6 });
}
