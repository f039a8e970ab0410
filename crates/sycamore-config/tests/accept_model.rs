//! Exhaustive model of acceptance: operators race on the head row through a platform that loses
//! requests and answers, delays writes, and has outages. The operators run the real [`Settle`].

use serde_json::{json, Value};
use std::fmt;
use std::time::Duration;
use sycamore_model::{explore, Model, Options, Outcome};
use sycamore_platform::backoff::BackoffSettings;
use sycamore_platform::prelude::*;
use sycamore_platform::settle::{Answer, Settle, SettleSettings, Step};
use sycamore_types::prelude::*;

const KEY: &str = "config/head";

/// What an operator's node does wrong on purpose.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Mutant {
    None,
    /// Takes a lost answer for a refusal and reports that it lost.
    LostIsRefused,
    /// Takes a lost answer for a success.
    LostIsWon,
    /// After a lost answer reads the row and sends its change again on top of it.
    Rebases,
}

/// The row as the operations that wrote it, oldest first.
type History = Vec<u8>;

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Phase {
    Idle,
    Writing,
    Reading,
    Won,
    Lost,
    Unknown { may_have_run: bool },
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Operator {
    /// Length of the history that it read before it proposed.
    base: usize,
    machine: Machine,
    phase: Phase,
    /// Writes under way that may still take effect, each with its base.
    delayed: Vec<usize>,
}

/// The real machine; compared by its printed state.
#[derive(Clone)]
struct Machine(Settle);

impl fmt::Debug for Machine {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}", self.0)
    }
}
impl PartialEq for Machine {
    fn eq(&self, other: &Self) -> bool {
        format!("{self:?}") == format!("{other:?}")
    }
}
impl Eq for Machine {}
impl std::hash::Hash for Machine {
    fn hash<H: std::hash::Hasher>(&self, state: &mut H) {
        format!("{self:?}").hash(state);
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct State {
    row: History,
    operators: Vec<Operator>,
    /// The longest history there ever was; the row must extend it.
    seen: History,
}

struct Accept {
    operators: usize,
    mutant: Mutant,
}

fn row(history: &[u8]) -> Option<Row> {
    let (last, before) = history.split_last()?;
    let recent: Vec<OpId> = before.iter().rev().map(|op| OpId(u128::from(*op))).collect();
    let value = json!({ "op": OpId(u128::from(*last)), "recent": recent });
    Some(Row { key: KEY.to_owned(), value, revision: Revision(history.len() as u64) })
}

fn settings() -> SettleSettings {
    let backoff = BackoffSettings { base: Duration::ZERO, cap: Duration::ZERO };
    SettleSettings { failures: 3, backoff }
}

fn machine(op: usize, history: &[u8]) -> Machine {
    Machine(Settle::new(KEY, OpId(op as u128), row(history).as_ref(), &settings(), 0))
}

fn conflict(history: &[u8]) -> Answer {
    let value: Option<Value> = row(history).map(|row| row.value);
    let revision = Revision(history.len() as u64);
    Answer::Conflicted(vec![Conflict { key: KEY.to_owned(), revision, value }])
}

impl Accept {
    fn starts(&self, state: &State, i: usize) -> Vec<(String, State)> {
        let mut next = state.clone();
        let operator = &mut next.operators[i];
        operator.base = state.row.len();
        operator.machine = machine(i, &state.row);
        operator.phase = Phase::Writing;
        vec![(format!("operator {i} reads revision {} and proposes", state.row.len()), next)]
    }

    fn writes(&self, state: &State, i: usize) -> Vec<(String, State)> {
        let base = state.operators[i].base;
        let mut moves = Vec::new();
        let (after, answer) = take_effect(&state.row, base, i);
        let mut answered = state.clone();
        answered.row = after.clone();
        self.answer(&mut answered, i, answer);
        moves.push((format!("the write of operator {i} is answered"), answered));
        let mut lost = state.clone();
        lost.row = after;
        self.answer(&mut lost, i, Answer::Failed { may_have_run: true });
        moves.push((format!("the answer to operator {i} is lost"), lost));
        let mut delayed = state.clone();
        delayed.operators[i].delayed.push(base);
        self.answer(&mut delayed, i, Answer::Failed { may_have_run: true });
        moves.push((format!("the write of operator {i} is delayed"), delayed));
        let mut refused = state.clone();
        self.answer(&mut refused, i, Answer::Failed { may_have_run: false });
        moves.push((format!("the write of operator {i} is refused"), refused));
        moves
    }

    fn reads(&self, state: &State, i: usize) -> Vec<(String, State)> {
        let mut read = state.clone();
        self.answer(&mut read, i, Answer::Read(row(&state.row)));
        let mut failed = state.clone();
        self.answer(&mut failed, i, Answer::Failed { may_have_run: false });
        vec![
            (format!("operator {i} reads back"), read),
            (format!("operator {i} can't read back"), failed),
        ]
    }

    fn answer(&self, state: &mut State, i: usize, answer: Answer) {
        let lost = answer == Answer::Failed { may_have_run: true };
        let history = state.row.clone();
        let operator = &mut state.operators[i];
        match self.mutant {
            Mutant::LostIsRefused if lost => operator.phase = Phase::Lost,
            Mutant::LostIsWon if lost => operator.phase = Phase::Won,
            Mutant::Rebases if lost => {
                operator.base = history.len();
                operator.machine = machine(i, &history);
            }
            _ => operator.phase = phase(operator.machine.0.step(answer)),
        }
    }
}

/// The row after a write, and the answer to it.
fn take_effect(history: &[u8], base: usize, op: usize) -> (History, Answer) {
    if history.len() != base {
        return (history.to_vec(), conflict(history));
    }
    let mut after = history.to_vec();
    after.push(u8::try_from(op).expect("few operators"));
    (after.clone(), Answer::Committed(Revision(after.len() as u64)))
}

fn phase(step: Step) -> Phase {
    match step {
        Step::Write(_) => Phase::Writing,
        Step::Read(_) => Phase::Reading,
        Step::Done(Settled::Won { .. }) => Phase::Won,
        Step::Done(Settled::Lost { .. }) => Phase::Lost,
        Step::Done(Settled::Unknown { may_have_run }) => Phase::Unknown { may_have_run },
    }
}

impl Model for Accept {
    type State = State;
    type Action = String;

    fn starts(&self) -> Vec<State> {
        let idle = |i| Operator {
            base: 0,
            machine: machine(i, &[]),
            phase: Phase::Idle,
            delayed: Vec::new(),
        };
        let operators = (0..self.operators).map(idle).collect();
        vec![State { row: Vec::new(), operators, seen: Vec::new() }]
    }

    fn next(&self, state: &State) -> Vec<(String, State)> {
        let mut moves = Vec::new();
        for (i, operator) in state.operators.iter().enumerate() {
            match operator.phase {
                Phase::Idle => moves.extend(self.starts(state, i)),
                Phase::Writing => moves.extend(self.writes(state, i)),
                Phase::Reading => moves.extend(self.reads(state, i)),
                Phase::Won | Phase::Lost | Phase::Unknown { .. } => {}
            }
            for (at, base) in operator.delayed.iter().enumerate() {
                let mut late = state.clone();
                late.operators[i].delayed.remove(at);
                late.row = take_effect(&state.row, *base, i).0;
                moves.push((format!("a delayed write of operator {i} arrives"), late));
            }
        }
        for (_, next) in &mut moves {
            if next.row.len() > next.seen.len() {
                next.seen = next.row.clone();
            }
        }
        moves
    }

    fn check(&self, state: &State) -> Result<(), String> {
        if !state.row.starts_with(&state.seen) {
            return Err("an accepted configuration is reverted".to_owned());
        }
        for (i, operator) in state.operators.iter().enumerate() {
            let effects = state.row.iter().filter(|op| usize::from(**op) == i).count();
            match operator.phase {
                _ if effects > 1 => return Err(format!("operator {i} is accepted twice")),
                Phase::Won if effects == 0 => {
                    return Err(format!("operator {i} is told that it won and was not accepted"))
                }
                Phase::Lost | Phase::Unknown { may_have_run: false } if effects > 0 => {
                    return Err(format!("operator {i} is told that it lost and was accepted"))
                }
                _ => {}
            }
        }
        Ok(())
    }
}

fn run(operators: usize, mutant: Mutant) -> Outcome {
    let outcome = explore(&Accept { operators, mutant }, &Options::default());
    println!("acceptance, {operators} operators, {mutant:?}: {outcome}");
    outcome
}

#[test]
fn operators_race_and_each_is_told_what_happened() {
    assert!(matches!(run(2, Mutant::None), Outcome::Holds { .. }));
}

#[test]
fn mutants_are_caught() {
    for mutant in [Mutant::LostIsRefused, Mutant::LostIsWon, Mutant::Rebases] {
        assert!(matches!(run(2, mutant), Outcome::Broken { .. }), "{mutant:?}");
    }
}
