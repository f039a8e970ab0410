//! Exhaustive model checks of the real state machines.

mod attempt;
mod key;

use sycamore_model::{explore, Model, Options, Outcome};

/// Explores `model`, asserts that every state holds, and prints the number of states.
#[track_caller]
fn assert_holds(name: &str, model: &impl Model) {
    let outcome = explore(model, &Options::default());
    println!("model {name}: {outcome}");
    assert!(matches!(outcome, Outcome::Holds { .. }), "{name}: {outcome}");
}

/// Explores a faulty variant of a model and asserts that some state breaks `property`.
#[track_caller]
fn assert_broken(name: &str, model: &impl Model, property: &str) {
    let outcome = explore(model, &Options::default());
    println!("mutant {name}: {outcome}");
    match outcome {
        Outcome::Broken { property: broken, .. } => assert!(broken.contains(property), "{broken}"),
        other => panic!("mutant {name} was not caught: {other}"),
    }
}
