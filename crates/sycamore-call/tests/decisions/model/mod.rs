//! Exhaustive models over the real state machines.

mod attempt;
mod key;

use sycamore_model::{explore, Model, Options, Outcome};

/// Explores `model` and expects every state to hold; prints the number of states.
#[track_caller]
fn assert_holds(name: &str, model: &impl Model) {
    let outcome = explore(model, &Options::default());
    println!("model {name}: {outcome}");
    assert!(matches!(outcome, Outcome::Holds { .. }), "{name}: {outcome}");
}

/// Explores a mutant and expects a state that breaks `property`.
#[track_caller]
fn assert_broken(name: &str, model: &impl Model, property: &str) {
    let outcome = explore(model, &Options::default());
    println!("mutant {name}: {outcome}");
    match outcome {
        Outcome::Broken { property: broken, .. } => assert!(broken.contains(property), "{broken}"),
        other => panic!("mutant {name} was not caught: {other}"),
    }
}
