//! One call without an idempotency key through retries: it runs at most once where it is not
//! idempotent, and an answer of "not run" is true, while connections fail before and after each
//! byte, upstreams crash, refuse and are slow, and the caller's node decides by the real rules.

use super::{assert_broken, assert_holds};
use crate::common::{at, ms};
use std::fmt;
use sycamore_call::admit::{Input, RunEnd};
use sycamore_call::retry::CallState;
use sycamore_call::{
    Admission, AdmissionConfig, Arrival, AttemptFailure, Criticality, Decision, RetryBudget,
    RetryConfig, RetryDecision,
};
use sycamore_model::Model;
use sycamore_types::prelude::*;

const UPSTREAMS: usize = 2;
const CALL: u64 = 1;
const OTHER: u64 = 2;

/// Where the attempt under way is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Attempt {
    /// None is: one may start.
    Idle,
    /// Under way to this upstream's node.
    Sent(usize),
    /// Waiting there for a slot.
    Waiting(usize),
    /// Running there.
    Running(usize),
    /// Its end is on the way back.
    Back(AttemptFailure),
    /// The caller has its answer.
    Answered,
    /// The caller was told that it did not run.
    NotRun,
    /// The caller was told that it may have run.
    Unknown,
}

#[derive(Clone, PartialEq, Eq, Hash)]
struct State {
    attempt: Attempt,
    attempts: u8,
    runs: u8,
    earlier: Option<AttemptFailure>,
    /// What each upstream's admission was given; it is replayed, since it can't be compared.
    inputs: Vec<Vec<Input>>,
    tried: [bool; UPSTREAMS],
}

#[derive(Clone)]
struct Action(String);

impl fmt::Display for Action {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// How a mutant differs from the daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Mutant {
    None,
    /// A broken connection is taken for a refusal.
    BrokenIsNotRun,
    /// Every call is taken for idempotent.
    AllIdempotent,
    /// A call that waits is told "not run" by its caller's node when the connection breaks.
    WaitingIsNotRun,
    /// The last attempt alone decides what the caller is told.
    LastCounts,
}

struct Attempts {
    mutant: Mutant,
    idempotent: bool,
}

impl Attempts {
    fn admission(inputs: &[Input]) -> (Admission, Vec<Decision>) {
        let mut admission = Admission::new(AdmissionConfig { queue: 1, ..Default::default() });
        admission.step(at(0), Input::Announce { slots: 1, connections: 9 });
        let mut last = Vec::new();
        for (i, input) in inputs.iter().enumerate() {
            last = admission.step(at(i as u64), *input);
        }
        (admission, last)
    }

    /// Gives `input` to the admission of `upstream`; what it decides on the call.
    fn give(state: &mut State, upstream: usize, input: Input) -> Option<Decision> {
        state.inputs[upstream].push(input);
        let (_, decisions) = Self::admission(&state.inputs[upstream]);
        decisions.into_iter().find(|decision| match decision {
            Decision::Admit(id) | Decision::Refuse { id, .. } => *id == CALL,
        })
    }

    fn decided(state: &mut State, upstream: usize, decision: Option<Decision>) {
        match decision {
            None => {}
            Some(Decision::Admit(_)) => {
                state.runs += 1;
                state.attempt = Attempt::Running(upstream);
            }
            Some(Decision::Refuse { reason, .. }) => {
                state.attempt = Attempt::Back(AttemptFailure::NotRun(reason));
            }
        }
    }

    /// Another call at an upstream that has not ended, where there is one.
    fn others(inputs: &[Input]) -> Option<u64> {
        let ended =
            |id| inputs.iter().any(|input| matches!(input, Input::Finish(by, _) if *by == id));
        inputs.iter().find_map(|input| match input {
            Input::Arrive(arrival) if arrival.id != CALL && !ended(arrival.id) => Some(arrival.id),
            _ => None,
        })
    }

    fn arrival(id: u64) -> Input {
        let class = Criticality::Normal;
        Input::Arrive(Arrival {
            id,
            caller: id,
            class,
            deadline: at(10_000),
            objective: None,
            work: 0,
        })
    }

    /// What the caller's node does with the end of an attempt.
    fn back(&self, state: &mut State, failure: AttemptFailure) {
        let mut budget = RetryBudget::new(RetryConfig::default(), 1);
        let call = CallState {
            attempts: state.attempts,
            rerouted: 0,
            idempotent: self.idempotent || self.mutant == Mutant::AllIdempotent,
            is_retry: false,
            has_room: state.tried.contains(&false),
            left: ms(1_000),
        };
        let earlier = match self.mutant {
            Mutant::LastCounts => None,
            _ => state.earlier,
        };
        let answer = failure.after(earlier);
        state.earlier = Some(answer);
        state.attempt = match (budget.decide(&call, failure), answer) {
            (RetryDecision::Retry(_), _) => Attempt::Idle,
            (RetryDecision::GiveUp, AttemptFailure::NotRun(_)) => Attempt::NotRun,
            (RetryDecision::GiveUp, AttemptFailure::Unknown { .. }) => Attempt::Unknown,
        };
    }

    /// The connection breaks after the request went out.
    fn broken(&self, waiting: bool, crashed: bool) -> Attempt {
        let lies = match self.mutant {
            Mutant::BrokenIsNotRun => true,
            Mutant::WaitingIsNotRun => waiting,
            Mutant::None | Mutant::AllIdempotent | Mutant::LastCounts => false,
        };
        Attempt::Back(match lies {
            true => AttemptFailure::NotRun(RefusalReason::NoUpstream),
            false => AttemptFailure::Unknown { crashed },
        })
    }
}

impl Model for Attempts {
    type State = State;
    type Action = Action;

    fn starts(&self) -> Vec<State> {
        let state = |busy: [usize; UPSTREAMS]| State {
            attempt: Attempt::Idle,
            attempts: 0,
            runs: 0,
            earlier: None,
            inputs: busy
                .map(|calls| (0..calls as u64).map(|i| Self::arrival(OTHER + i)).collect())
                .into(),
            tried: [false; UPSTREAMS],
        };
        vec![state([0, 0]), state([1, 0]), state([2, 0]), state([1, 1]), state([2, 2])]
    }

    fn next(&self, state: &State) -> Vec<(Action, State)> {
        let mut out = Vec::new();
        let mut add = |text: String, change: &dyn Fn(&mut State)| {
            let mut next = state.clone();
            change(&mut next);
            out.push((Action(text), next));
        };
        match state.attempt {
            Attempt::Idle => {
                for i in (0..UPSTREAMS).filter(|i| !state.tried[*i]) {
                    let start = |next: &mut State| {
                        next.attempts += 1;
                        next.tried[i] = true;
                    };
                    add(format!("connect to {i} fails"), &|next| {
                        start(next);
                        next.attempt =
                            Attempt::Back(AttemptFailure::NotRun(RefusalReason::NoUpstream));
                    });
                    add(format!("send to {i}"), &|next| {
                        start(next);
                        next.attempt = Attempt::Sent(i);
                    });
                }
                if !state.tried.contains(&false) {
                    let none = AttemptFailure::NotRun(RefusalReason::NoUpstream);
                    add("no upstream is left".into(), &|next| next.attempt = Attempt::Back(none));
                }
            }
            Attempt::Sent(i) => {
                add("the request arrives".into(), &|next| {
                    next.attempt = Attempt::Waiting(i);
                    let decision = Self::give(next, i, Self::arrival(CALL));
                    Self::decided(next, i, decision);
                });
                add("the request is lost".into(), &|next| {
                    next.attempt = self.broken(true, false);
                });
                add("it arrives, and nobody hears of it".into(), &|next| {
                    let decision = Self::give(next, i, Self::arrival(CALL));
                    next.runs += u8::from(matches!(decision, Some(Decision::Admit(_))));
                    next.attempt = self.broken(true, false);
                });
            }
            Attempt::Waiting(i) => {
                let others = Self::others(&state.inputs[i]);
                if let Some(other) = others {
                    add("another call ends".into(), &|next| {
                        let decision = Self::give(next, i, Input::Finish(other, RunEnd::Answered));
                        Self::decided(next, i, decision);
                    });
                }
                add("the upstream's node drains".into(), &|next| {
                    let decision = Self::give(next, i, Input::Drain);
                    Self::decided(next, i, decision);
                });
                add("the connection breaks, and it runs later".into(), &|next| {
                    let ended = Input::Finish(others.unwrap_or(OTHER), RunEnd::Answered);
                    let decision = Self::give(next, i, ended);
                    next.runs += u8::from(matches!(decision, Some(Decision::Admit(_))));
                    next.attempt = self.broken(true, false);
                });
            }
            Attempt::Running(i) => {
                add("the answer arrives".into(), &|next| next.attempt = Attempt::Answered);
                add("the answer is lost".into(), &|next| {
                    Self::give(next, i, Input::Finish(CALL, RunEnd::Answered));
                    next.attempt = self.broken(false, false);
                });
                add("the upstream crashes".into(), &|next| {
                    Self::give(next, i, Input::Finish(CALL, RunEnd::Aborted));
                    next.attempt = self.broken(false, true);
                });
            }
            Attempt::Back(failure) => {
                add(format!("the caller's node learns {failure:?}"), &|next| {
                    self.back(next, failure);
                });
            }
            Attempt::Answered | Attempt::NotRun | Attempt::Unknown => {}
        }
        out
    }

    fn check(&self, state: &State) -> Result<(), String> {
        if state.runs > 1 && !self.idempotent {
            return Err("a non-idempotent call ran twice".into());
        }
        if state.attempt == Attempt::NotRun && state.runs > 0 {
            return Err("a call refused as not run did run".into());
        }
        if state.attempts > 3 {
            return Err("more attempts than the policy allows".into());
        }
        Ok(())
    }
}

fn attempts(mutant: Mutant, idempotent: bool) -> Attempts {
    Attempts { mutant, idempotent }
}

#[test]
fn a_call_runs_at_most_once_and_not_run_is_true() {
    assert_holds("attempts", &attempts(Mutant::None, false));
    assert_holds("attempts, idempotent", &attempts(Mutant::None, true));
}

#[test]
fn a_broken_connection_is_no_refusal() {
    assert_broken("broken is not-run", &attempts(Mutant::BrokenIsNotRun, false), "run");
}

#[test]
fn a_post_is_not_repeated() {
    assert_broken("all idempotent", &attempts(Mutant::AllIdempotent, false), "ran twice");
}

#[test]
fn a_refusal_does_not_undo_an_earlier_attempt() {
    assert_broken("the last counts", &attempts(Mutant::LastCounts, true), "refused as not run");
}

#[test]
fn a_lost_wait_is_no_refusal() {
    assert_broken("waiting is not-run", &attempts(Mutant::WaitingIsNotRun, false), "run");
}
