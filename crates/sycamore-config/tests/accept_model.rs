//! Exhaustive model of accepting configurations: operators write the head row concurrently through
//! a platform that loses requests and answers, delays writes, and has outages. The operators run
//! the real [`Settle`].

use serde_json::{json, Value};
use std::fmt;
use std::time::Duration;
use sycamore_model::{explore, Model, Options, Outcome};
use sycamore_platform::backoff::BackoffSettings;
use sycamore_platform::prelude::*;
use sycamore_platform::settle::{Answer, Settle, SettleSettings, Step};
use sycamore_types::prelude::*;

const KEY: &str = "config/head";

/// Deliberate fault of an operator's node, which the model must detect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Mutant {
    None,
    /// Treats a lost answer as a refusal and reports that the operation lost.
    LostAnswerIsLoss,
    /// Treats a lost answer as success.
    LostAnswerIsWin,
    /// Reads the row after a lost answer and writes its change again on top of it.
    Rebases,
}

/// Operations that wrote the head row, oldest first.
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
    /// Length of the history that the operator read before its write.
    base: usize,
    machine: Machine,
    phase: Phase,
    /// Delayed writes that may still take effect, each given by its base.
    delayed: Vec<usize>,
}

/// Wrapper of the real state machine, compared and hashed by its debug output.
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
    /// Longest history so far; the row must extend it.
    seen: History,
}

/// Model of operators that write the head row concurrently.
struct AcceptModel {
    operators: usize,
    mutant: Mutant,
}

/// Returns the stored row after the operations of `history`; `None` if there are none.
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

/// Creates the state machine of operator `op`, which has read the row after `history`.
fn machine(op: usize, history: &[u8]) -> Machine {
    Machine(Settle::new(KEY, OpId(op as u128), row(history).as_ref(), &settings(), 0))
}

/// Returns the answer to a write whose base is not the current revision.
fn conflict(history: &[u8]) -> Answer {
    let value: Option<Value> = row(history).map(|row| row.value);
    let revision = Revision(history.len() as u64);
    Answer::Conflicted(vec![Conflict { key: KEY.to_owned(), revision, value }])
}

impl AcceptModel {
    /// Returns the transition of idle operator `i`, which reads the row and starts to write.
    fn propose(&self, state: &State, i: usize) -> Vec<(String, State)> {
        let mut next = state.clone();
        let operator = &mut next.operators[i];
        operator.base = state.row.len();
        operator.machine = machine(i, &state.row);
        operator.phase = Phase::Writing;
        vec![(format!("operator {i} reads revision {} and writes", state.row.len()), next)]
    }

    /// Returns the possible results of the write of operator `i`.
    fn write_results(&self, state: &State, i: usize) -> Vec<(String, State)> {
        let base = state.operators[i].base;
        let mut transitions = Vec::new();
        let (after, answer) = execute_write(&state.row, base, i);
        let mut answered = state.clone();
        answered.row = after.clone();
        self.answer(&mut answered, i, answer);
        transitions.push((format!("the write of operator {i} is answered"), answered));
        let mut lost = state.clone();
        lost.row = after;
        self.answer(&mut lost, i, Answer::Failed { may_have_run: true });
        transitions.push((format!("the answer to operator {i} is lost"), lost));
        let mut delayed = state.clone();
        delayed.operators[i].delayed.push(base);
        self.answer(&mut delayed, i, Answer::Failed { may_have_run: true });
        transitions.push((format!("the write of operator {i} is delayed"), delayed));
        let mut refused = state.clone();
        self.answer(&mut refused, i, Answer::Failed { may_have_run: false });
        transitions.push((format!("the write of operator {i} is refused"), refused));
        transitions
    }

    /// Returns the possible results of the read with which operator `i` resolves a lost answer.
    fn read_results(&self, state: &State, i: usize) -> Vec<(String, State)> {
        let mut read = state.clone();
        self.answer(&mut read, i, Answer::Read(row(&state.row)));
        let mut failed = state.clone();
        self.answer(&mut failed, i, Answer::Failed { may_have_run: false });
        vec![
            (format!("operator {i} reads the row"), read),
            (format!("operator {i} fails to read the row"), failed),
        ]
    }

    /// Passes `answer` to operator `i`.
    fn answer(&self, state: &mut State, i: usize, answer: Answer) {
        let lost = answer == Answer::Failed { may_have_run: true };
        let history = state.row.clone();
        let operator = &mut state.operators[i];
        match self.mutant {
            Mutant::LostAnswerIsLoss if lost => operator.phase = Phase::Lost,
            Mutant::LostAnswerIsWin if lost => operator.phase = Phase::Won,
            Mutant::Rebases if lost => {
                operator.base = history.len();
                operator.machine = machine(i, &history);
            }
            _ => operator.phase = phase(operator.machine.0.step(answer)),
        }
    }
}

/// Executes a conditional write; returns the row after it and the answer.
fn execute_write(history: &[u8], base: usize, op: usize) -> (History, Answer) {
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

impl Model for AcceptModel {
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
        let mut transitions = Vec::new();
        for (i, operator) in state.operators.iter().enumerate() {
            match operator.phase {
                Phase::Idle => transitions.extend(self.propose(state, i)),
                Phase::Writing => transitions.extend(self.write_results(state, i)),
                Phase::Reading => transitions.extend(self.read_results(state, i)),
                Phase::Won | Phase::Lost | Phase::Unknown { .. } => {}
            }
            for (at, base) in operator.delayed.iter().enumerate() {
                let mut late = state.clone();
                late.operators[i].delayed.remove(at);
                late.row = execute_write(&state.row, *base, i).0;
                transitions.push((format!("a delayed write of operator {i} arrives"), late));
            }
        }
        for (_, next) in &mut transitions {
            if next.row.len() > next.seen.len() {
                next.seen = next.row.clone();
            }
        }
        transitions
    }

    fn check(&self, state: &State) -> Result<(), String> {
        if !state.row.starts_with(&state.seen) {
            return Err("an accepted operation was removed from the row".to_owned());
        }
        for (i, operator) in state.operators.iter().enumerate() {
            let effects = state.row.iter().filter(|op| usize::from(**op) == i).count();
            match operator.phase {
                _ if effects > 1 => {
                    return Err(format!("the operation of operator {i} was executed twice"))
                }
                Phase::Won if effects == 0 => {
                    return Err(format!(
                        "operator {i} reports success, but its operation was not executed"
                    ))
                }
                Phase::Lost | Phase::Unknown { may_have_run: false } if effects > 0 => {
                    return Err(format!(
                        "operator {i} reports failure, but its operation was executed"
                    ))
                }
                _ => {}
            }
        }
        Ok(())
    }
}

fn run(operators: usize, mutant: Mutant) -> Outcome {
    let outcome = explore(&AcceptModel { operators, mutant }, &Options::default());
    println!("acceptance, {operators} operators, {mutant:?}: {outcome}");
    outcome
}

/// Guards against an operator that reports the wrong result, or an operation that is executed twice
/// or reverted, when two operators write concurrently and answers are lost or delayed.
#[test]
fn concurrent_operators_report_what_was_executed() {
    assert!(matches!(run(2, Mutant::None), Outcome::Holds { .. }));
}

/// Guards against a model that is too weak: each deliberate fault must violate a property.
#[test]
fn every_mutant_is_detected() {
    for mutant in [Mutant::LostAnswerIsLoss, Mutant::LostAnswerIsWin, Mutant::Rebases] {
        assert!(matches!(run(2, mutant), Outcome::Broken { .. }), "{mutant:?}");
    }
}
