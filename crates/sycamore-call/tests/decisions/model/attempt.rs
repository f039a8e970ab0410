//! Model of a call without an idempotency key and its retries: a non-idempotent call runs at most
//! once, and an answer of "not run" is true, while connections fail before and after each step,
//! upstreams crash, refuse and are slow, and the caller's node applies the real retry policy.

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

/// Progress of the current attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Attempt {
    /// No attempt is in flight; one may start.
    Idle,
    /// The request is on its way to this upstream's node.
    Sent(usize),
    /// The call is queued at this upstream's node.
    Waiting(usize),
    /// The call runs on this upstream.
    Running(usize),
    /// The failure is on its way back.
    Failed(AttemptFailure),
    /// The caller has received the upstream's answer.
    Answered,
    /// The caller was told that the call did not run.
    NotRun,
    /// The caller was told that the call may have run.
    Unknown,
}

#[derive(Clone, PartialEq, Eq, Hash)]
struct State {
    attempt: Attempt,
    attempts: u8,
    runs: u8,
    earlier: Option<AttemptFailure>,
    /// Inputs given to each upstream's admission; they are replayed, since an admission can't be
    /// compared.
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

/// Fault that makes the model differ from the node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Mutant {
    None,
    /// A broken connection counts as a refusal.
    BrokenIsNotRun,
    /// Every call counts as idempotent.
    AllIdempotent,
    /// The caller's node reports "not run" for a queued call whose connection broke.
    WaitingIsNotRun,
    /// Only the last attempt determines what the caller is told.
    IgnoresEarlier,
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

    /// Applies `input` to the admission of `upstream`; returns its decision on the call.
    fn apply_input(state: &mut State, upstream: usize, input: Input) -> Option<Decision> {
        state.inputs[upstream].push(input);
        let (_, decisions) = Self::admission(&state.inputs[upstream]);
        decisions.into_iter().find(|decision| match decision {
            Decision::Admit(id) | Decision::Refuse { id, .. } => *id == CALL,
        })
    }

    fn apply_decision(state: &mut State, upstream: usize, decision: Option<Decision>) {
        match decision {
            None => {}
            Some(Decision::Admit(_)) => {
                state.runs += 1;
                state.attempt = Attempt::Running(upstream);
            }
            Some(Decision::Refuse { reason, .. }) => {
                state.attempt = Attempt::Failed(AttemptFailure::NotRun(reason));
            }
        }
    }

    /// Returns another call at an upstream that has not ended, if there is one.
    fn other_running_call(inputs: &[Input]) -> Option<u64> {
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
            is_inner: false,
        })
    }

    /// Applies the retry policy of the caller's node to a failed attempt.
    fn apply_retry_policy(&self, state: &mut State, failure: AttemptFailure) {
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
            Mutant::IgnoresEarlier => None,
            _ => state.earlier,
        };
        let answer = failure.or_earlier(earlier);
        state.earlier = Some(answer);
        state.attempt = match (budget.decide(&call, failure), answer) {
            (RetryDecision::Retry(_), _) => Attempt::Idle,
            (RetryDecision::GiveUp, AttemptFailure::NotRun(_)) => Attempt::NotRun,
            (RetryDecision::GiveUp, AttemptFailure::Unknown { .. }) => Attempt::Unknown,
        };
    }

    /// Returns the attempt's state after its connection broke with the request already sent.
    fn after_broken_connection(&self, waiting: bool, crashed: bool) -> Attempt {
        let reports_not_run = match self.mutant {
            Mutant::BrokenIsNotRun => true,
            Mutant::WaitingIsNotRun => waiting,
            Mutant::None | Mutant::AllIdempotent | Mutant::IgnoresEarlier => false,
        };
        Attempt::Failed(match reports_not_run {
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
                            Attempt::Failed(AttemptFailure::NotRun(RefusalReason::NoUpstream));
                    });
                    add(format!("send to {i}"), &|next| {
                        start(next);
                        next.attempt = Attempt::Sent(i);
                    });
                }
                if !state.tried.contains(&false) {
                    let none = AttemptFailure::NotRun(RefusalReason::NoUpstream);
                    add("no upstream is left".into(), &|next| next.attempt = Attempt::Failed(none));
                }
            }
            Attempt::Sent(i) => {
                add("the request arrives".into(), &|next| {
                    next.attempt = Attempt::Waiting(i);
                    let decision = Self::apply_input(next, i, Self::arrival(CALL));
                    Self::apply_decision(next, i, decision);
                });
                add("the request is lost".into(), &|next| {
                    next.attempt = self.after_broken_connection(true, false);
                });
                add("the request arrives, and its answer is lost".into(), &|next| {
                    let decision = Self::apply_input(next, i, Self::arrival(CALL));
                    next.runs += u8::from(matches!(decision, Some(Decision::Admit(_))));
                    next.attempt = self.after_broken_connection(true, false);
                });
            }
            Attempt::Waiting(i) => {
                let other = Self::other_running_call(&state.inputs[i]);
                if let Some(other) = other {
                    add("another call ends".into(), &|next| {
                        let decision =
                            Self::apply_input(next, i, Input::Finish(other, RunEnd::Answered));
                        Self::apply_decision(next, i, decision);
                    });
                }
                add("the upstream's node drains".into(), &|next| {
                    let decision = Self::apply_input(next, i, Input::Drain);
                    Self::apply_decision(next, i, decision);
                });
                add("the connection breaks, and the call runs later".into(), &|next| {
                    let ended = Input::Finish(other.unwrap_or(OTHER), RunEnd::Answered);
                    let decision = Self::apply_input(next, i, ended);
                    next.runs += u8::from(matches!(decision, Some(Decision::Admit(_))));
                    next.attempt = self.after_broken_connection(true, false);
                });
            }
            Attempt::Running(i) => {
                add("the answer arrives".into(), &|next| next.attempt = Attempt::Answered);
                add("the answer is lost".into(), &|next| {
                    Self::apply_input(next, i, Input::Finish(CALL, RunEnd::Answered));
                    next.attempt = self.after_broken_connection(false, false);
                });
                add("the upstream crashes".into(), &|next| {
                    Self::apply_input(next, i, Input::Finish(CALL, RunEnd::Aborted));
                    next.attempt = self.after_broken_connection(false, true);
                });
            }
            Attempt::Failed(failure) => {
                add(format!("the caller's node learns {failure:?}"), &|next| {
                    self.apply_retry_policy(next, failure);
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

/// Guards against a second run of a call and against a false "not run", over every order of faults
/// that the model has.
#[test]
fn a_non_idempotent_call_runs_at_most_once() {
    assert_holds("attempts", &attempts(Mutant::None, false));
    assert_holds("attempts, idempotent", &attempts(Mutant::None, true));
}

/// Guards against a model too weak to find that a call whose connection broke is retried although
/// it may have run.
#[test]
fn the_model_detects_a_broken_connection_taken_for_a_refusal() {
    assert_broken("broken is not-run", &attempts(Mutant::BrokenIsNotRun, false), "run");
}

/// Guards against a model too weak to find the second run when every call is taken for idempotent.
#[test]
fn the_model_detects_retries_of_non_idempotent_calls() {
    assert_broken("all idempotent", &attempts(Mutant::AllIdempotent, false), "ran twice");
}

/// Guards against a model too weak to find a "not run" answer after an earlier attempt that may
/// have run.
#[test]
fn the_model_detects_a_refusal_that_hides_an_earlier_run() {
    assert_broken(
        "earlier attempt ignored",
        &attempts(Mutant::IgnoresEarlier, true),
        "refused as not run",
    );
}

/// Guards against a model too weak to find that a queued call may still run after its connection
/// broke.
#[test]
fn the_model_detects_a_queued_call_taken_for_refused() {
    assert_broken("waiting is not-run", &attempts(Mutant::WaitingIsNotRun, false), "run");
}
