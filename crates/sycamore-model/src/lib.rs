//! Explicit-state model checker for small models that run the real state machines.
//!
//! A [`Model`] defines the initial states, the transitions (deliveries, losses, duplicates,
//! crashes, pauses, lost answers) and the invariant of a protocol. [`explore`] visits every
//! reachable state in breadth-first order, so a counterexample is as short as possible.

use pathfinding::directed::bfs::{bfs, bfs_reach};
use std::fmt;
use std::hash::Hash;

/// Protocol with few enough states to be explored exhaustively.
pub trait Model {
    /// State of the whole system: processes, messages in flight and platform.
    type State: Clone + Eq + Hash;
    /// Transition label, shown in the trace of a counterexample.
    type Action: Clone + fmt::Display;

    /// Returns the initial states of the system.
    fn starts(&self) -> Vec<Self::State>;

    /// Returns every transition possible in `state`, with the resulting state.
    fn next(&self, state: &Self::State) -> Vec<(Self::Action, Self::State)>;

    /// Checks the invariant in `state`.
    ///
    /// # Errors
    /// Returns a description of the property that `state` violates.
    fn check(&self, state: &Self::State) -> Result<(), String>;
}

/// Result of an exploration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The invariant holds in every reachable state.
    Holds {
        /// Number of distinct reachable states.
        states: usize,
    },
    /// A reachable state violates the invariant.
    Broken {
        /// Description of the violated property, as returned by [`Model::check`].
        property: String,
        /// Labels of a shortest sequence of transitions to a violating state.
        trace: Vec<String>,
    },
    /// The exploration exceeded [`Options::max_states`] and proves nothing.
    TooLarge {
        /// Number of distinct states visited before the exploration stopped.
        states: usize,
    },
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Outcome::Holds { states } => write!(f, "the invariant holds in all {states} states"),
            Outcome::Broken { property, trace } => {
                writeln!(f, "invariant violated: {property}")?;
                trace
                    .iter()
                    .enumerate()
                    .try_for_each(|(i, label)| writeln!(f, "{:>3}. {label}", i + 1))
            }
            Outcome::TooLarge { states } => {
                write!(f, "exploration incomplete after {states} states")
            }
        }
    }
}

/// Limits of an exploration.
#[derive(Debug, Clone)]
pub struct Options {
    /// Upper bound on the number of distinct states visited.
    pub max_states: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self { max_states: 500_000 }
    }
}

/// Visits every reachable state of `model` in breadth-first order and checks the invariant.
///
/// Each state is stored once. The trace of a counterexample is computed by a second search, only
/// after a violation was found.
pub fn explore<M: Model>(model: &M, options: &Options) -> Outcome {
    let mut visited = 0;
    for state in bfs_reach(None, |state| successors(model, state)).flatten() {
        visited += 1;
        if let Err(property) = model.check(&state) {
            return Outcome::Broken { property, trace: shortest_trace(model) };
        }
        if visited > options.max_states {
            return Outcome::TooLarge { states: visited };
        }
    }
    Outcome::Holds { states: visited }
}

/// Returns the states after `state`; `None` is a virtual root whose successors are the initial
/// states.
fn successors<M: Model>(model: &M, state: &Option<M::State>) -> Vec<Option<M::State>> {
    match state {
        None => model.starts().into_iter().map(Some).collect(),
        Some(state) => model.next(state).into_iter().map(|(_, next)| Some(next)).collect(),
    }
}

/// Returns the labels of a shortest sequence of transitions to a state that violates the invariant.
fn shortest_trace<M: Model>(model: &M) -> Vec<String> {
    let is_violated =
        |state: &Option<M::State>| state.as_ref().is_some_and(|state| model.check(state).is_err());
    let path = bfs(&None, |state| successors(model, state), is_violated).unwrap_or_default();
    let states: Vec<M::State> = path.into_iter().flatten().collect();
    states.windows(2).filter_map(|pair| transition_label(model, &pair[0], &pair[1])).collect()
}

/// Returns the label of a transition from `state` to `next`.
fn transition_label<M: Model>(model: &M, state: &M::State, next: &M::State) -> Option<String> {
    let found = model.next(state).into_iter().find(|(_, after)| after == next);
    found.map(|(action, _)| action.to_string())
}
