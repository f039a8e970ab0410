//! Exhaustive exploration of small models over the real state machines.
//!
//! A [`Model`] says where a protocol starts, what may happen next (deliveries, losses, duplicates,
//! crashes, pauses, lost answers) and what must hold in every state. [`explore`] visits every state
//! that can be reached, breadth first, so that a counterexample is a shortest one.

use pathfinding::directed::bfs::{bfs, bfs_reach};
use std::fmt;
use std::hash::Hash;

/// A protocol small enough to explore whole.
pub trait Model {
    /// One state of the whole system: processes, messages under way and platform.
    type State: Clone + Eq + Hash;
    /// One thing that happens.
    type Action: Clone + fmt::Display;

    /// The states that the system may start in.
    fn starts(&self) -> Vec<Self::State>;

    /// Everything that may happen in `state`, with the state after it.
    fn next(&self, state: &Self::State) -> Vec<(Self::Action, Self::State)>;

    /// What must hold in every state.
    ///
    /// # Errors
    /// A sentence that says which property `state` breaks.
    fn check(&self, state: &Self::State) -> Result<(), String>;
}

/// What an exploration found.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// Every reachable state holds; there are `states` of them.
    Holds {
        /// Number of distinct states.
        states: usize,
    },
    /// A property is broken.
    Broken {
        /// The property, in a sentence.
        property: String,
        /// The shortest sequence of actions that breaks it, in words.
        trace: Vec<String>,
    },
    /// There are more than `states` states: nothing is proved.
    TooLarge {
        /// Number of distinct states visited.
        states: usize,
    },
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Outcome::Holds { states } => write!(f, "holds in all {states} states"),
            Outcome::Broken { property, trace } => {
                writeln!(f, "broken: {property}")?;
                trace.iter().enumerate().try_for_each(|(i, act)| writeln!(f, "{:>3}. {act}", i + 1))
            }
            Outcome::TooLarge { states } => write!(f, "not explored whole: over {states} states"),
        }
    }
}

/// Limits of an exploration.
#[derive(Debug, Clone)]
pub struct Options {
    /// Distinct states visited at most.
    pub max_states: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self { max_states: 500_000 }
    }
}

/// Visits every state of `model` that can be reached, breadth first. Holds one copy of each state;
/// a trace is only worked out once a property is found broken.
pub fn explore<M: Model>(model: &M, options: &Options) -> Outcome {
    let mut visited = 0;
    for state in bfs_reach(None, |state| successors(model, state)).flatten() {
        visited += 1;
        if let Err(property) = model.check(&state) {
            return Outcome::Broken { property, trace: trace(model) };
        }
        if visited > options.max_states {
            return Outcome::TooLarge { states: visited };
        }
    }
    Outcome::Holds { states: visited }
}

/// The states after `state`; `None` is a virtual root that leads to all starts.
fn successors<M: Model>(model: &M, state: &Option<M::State>) -> Vec<Option<M::State>> {
    match state {
        None => model.starts().into_iter().map(Some).collect(),
        Some(state) => model.next(state).into_iter().map(|(_, next)| Some(next)).collect(),
    }
}

/// The shortest sequence of actions, in words, to a state that breaks a property.
fn trace<M: Model>(model: &M) -> Vec<String> {
    let broken =
        |state: &Option<M::State>| state.as_ref().is_some_and(|state| model.check(state).is_err());
    let path = bfs(&None, |state| successors(model, state), broken).unwrap_or_default();
    let states: Vec<M::State> = path.into_iter().flatten().collect();
    states.windows(2).filter_map(|pair| action(model, &pair[0], &pair[1])).collect()
}

/// An action that leads from `state` to `next`, in words.
fn action<M: Model>(model: &M, state: &M::State, next: &M::State) -> Option<String> {
    let found = model.next(state).into_iter().find(|(_, after)| after == next);
    found.map(|(action, _)| action.to_string())
}
