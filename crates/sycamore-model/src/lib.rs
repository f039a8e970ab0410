//! Exhaustive exploration of small models over the real state machines.
//!
//! A [`Model`] says where a protocol starts, what may happen next (deliveries, losses, duplicates,
//! crashes, pauses, lost answers) and what must hold in every state. [`explore`] visits every state
//! that can be reached, breadth first, so that a counterexample is a shortest one.

use pathfinding::directed::bfs::bfs_reach;
use std::collections::HashMap;
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
        Self { max_states: 5_000_000 }
    }
}

/// Visits every state of `model` that can be reached, breadth first.
pub fn explore<M: Model>(model: &M, options: &Options) -> Outcome {
    let mut parents: HashMap<M::State, Option<(M::State, String)>> = HashMap::new();
    let starts = model.starts();
    for start in &starts {
        parents.insert(start.clone(), None);
    }
    // One virtual root leads to all starts, so that one search covers them.
    let root: Option<M::State> = None;
    let mut visited = 0;
    let reach = bfs_reach(root, |state| match state {
        None => starts.iter().cloned().map(Some).collect::<Vec<_>>(),
        Some(state) => successors(model, state, &mut parents),
    });
    for state in reach.flatten() {
        visited += 1;
        if let Err(property) = model.check(&state) {
            return Outcome::Broken { property, trace: trace(&parents, state) };
        }
        if visited > options.max_states {
            return Outcome::TooLarge { states: visited };
        }
    }
    Outcome::Holds { states: visited }
}

fn successors<M: Model>(
    model: &M,
    state: &M::State,
    parents: &mut HashMap<M::State, Option<(M::State, String)>>,
) -> Vec<Option<M::State>> {
    let mut states = Vec::new();
    for (action, next) in model.next(state) {
        parents.entry(next.clone()).or_insert_with(|| Some((state.clone(), action.to_string())));
        states.push(Some(next));
    }
    states
}

fn trace<S: Clone + Eq + Hash>(parents: &HashMap<S, Option<(S, String)>>, end: S) -> Vec<String> {
    let mut actions = Vec::new();
    let mut state = end;
    while let Some(Some((parent, action))) = parents.get(&state) {
        actions.push(action.clone());
        state = parent.clone();
    }
    actions.reverse();
    actions
}
