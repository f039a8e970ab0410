//! The callers' side: route, choose an upstream, relay, and try again where that is safe.

use super::answer::{respond, Answer, RETRY_AFTER};
use super::exchange::{relay_answer, send, Answered, Failure, Relayed};
use super::failed::{broken, end_of, failure_in, is_reroute, no_upstream, Failed};
use super::journal;
use super::listen::Side;
use super::message::{strip_internal, Inbound, Message};
use super::meta::{text, CallMeta, Target};
use super::pool::Stream;
use super::state::State;
use crate::edge::History;
use http::HeaderMap;
use std::rc::Rc;
use std::str::FromStr;
use std::time::{Duration, Instant};
use sycamore_call::retry::CallState;
use sycamore_call::route::AttemptEnd;
use sycamore_call::{AttemptFailure, Choice, Load, Pick, RetryBudget, RetryDecision};
use sycamore_types::headers;
use sycamore_types::prelude::*;

/// A call on its way out of this node, on the caller's connection.
pub(super) struct Outgoing<'a> {
    pub(super) inbound: &'a mut Inbound,
    pub(super) msg: &'a mut Message,
    pub(super) meta: CallMeta,
    pub(super) retry: RetryPolicy,
}

impl Outgoing<'_> {
    /// Makes attempts until one is answered or the call is given up.
    pub(super) async fn attempts(&mut self, state: &Rc<State>) -> Forwarded {
        let call = Call { msg: self.msg, meta: &mut self.meta, retry: &self.retry };
        attempts(state, call, Some(self.inbound)).await
    }
}

/// A call apart from the connection that it came on.
pub(super) struct Call<'a> {
    pub(super) msg: &'a mut Message,
    pub(super) meta: &'a mut CallMeta,
    pub(super) retry: &'a RetryPolicy,
}

/// What became of a call that was answered by some node.
pub(super) enum Forwarded {
    /// An answer to relay.
    Answered(Box<Reply>),
    /// The node's own answer.
    Own(Answer),
    /// The caller left: nothing is to be answered.
    CallerGone,
}

/// An answer that came, not yet relayed.
pub(super) struct Reply {
    pub(super) stream: Stream,
    pub(super) answered: Answered,
    instance: InstanceId,
    address: std::net::SocketAddr,
    load: Load,
}

impl Reply {
    /// The answer was read whole.
    pub(super) fn done(self, state: &State) {
        let end = AttemptEnd::Answered(self.load);
        state.router.borrow_mut().ended(state.now(), &self.instance, end);
        if self.answered.is_reusable() && !self.stream.reader.has_unread() {
            state.relays.put(self.address, self.stream);
        }
    }

    /// The answer was cut.
    pub(super) fn failed(self, state: &State) {
        state.router.borrow_mut().ended(state.now(), &self.instance, AttemptEnd::Failed);
    }
}

enum Attempt {
    Answered(Box<Reply>),
    Failed(Failed),
    CallerGone,
}

/// Relays a call to an upstream's node and its answer back.
pub(super) async fn forward(state: &Rc<State>, mut out: Outgoing<'_>) -> std::io::Result<()> {
    match out.attempts(state).await {
        Forwarded::Own(answer) => own_answer(state, out.inbound, &answer).await,
        Forwarded::CallerGone => Err(std::io::ErrorKind::ConnectionAborted.into()),
        Forwarded::Answered(reply) => relay(state, out.inbound, &out.meta, *reply).await,
    }
}

/// Gives an answer of the node itself.
pub(super) async fn own_answer(
    state: &State,
    inbound: &mut Inbound,
    answer: &Answer,
) -> std::io::Result<()> {
    state.metrics.answered(answer.outcome.as_str(), &answer.reason);
    journal::own_answer(state, inbound.words.id.as_ref(), answer);
    let resp = match inbound.side {
        Side::Relay => answer.to_response(),
        Side::Caller | Side::Upstream => state.edges.calls.answer(answer, &inbound.words),
    };
    respond(inbound, &resp).await
}

/// Makes attempts until one is answered or the call is given up; without `inbound`, the body must be
/// whole and it is for others to see that the caller leaves.
pub(super) async fn attempts(
    state: &Rc<State>,
    mut out: Call<'_>,
    mut inbound: Option<&mut Inbound>,
) -> Forwarded {
    let out = &mut out;
    let service = out.meta.service.clone();
    state.budget(&service, out.retry, |budget| budget.first_attempt());
    let mut tried = Vec::new();
    let mut bans = state.bans.borrow().clone();
    let mut may_have_run: Option<Failed> = None;
    let mut rerouted = 0;
    for attempt in 1..=u8::MAX {
        let failed = match choose(state, out, &tried, &bans) {
            None => no_upstream(),
            Some(choice) => {
                tried.push(choice.instance.clone());
                state.metrics.attempt(attempt);
                match try_once(state, out, inbound.as_deref_mut(), &choice, attempt).await {
                    Attempt::Answered(reply) => {
                        match retry_after_error(state, out, reply, attempt, &tried).await {
                            Some(reply) => return Forwarded::Answered(reply),
                            None => {
                                may_have_run = Some(broken(Failure::Broken));
                                continue;
                            }
                        }
                    }
                    Attempt::CallerGone => return Forwarded::CallerGone,
                    Attempt::Failed(failed) => {
                        learn_ban(state, &mut bans, &service, &choice, failed.failure);
                        note_failure(state, out, &choice, failed.failure);
                        failed
                    }
                }
            }
        };
        if out.msg.is_spent() {
            return Forwarded::Own(failed.after(may_have_run).answer);
        }
        let call = CallState { rerouted, ..call_state(state, out, attempt, &tried) };
        let decision =
            state.budget(&service, out.retry, |budget| budget.decide(&call, failed.failure));
        match decision {
            RetryDecision::GiveUp => return Forwarded::Own(failed.after(may_have_run).answer),
            RetryDecision::Retry(backoff) => {
                if !backoff.is_zero() {
                    monoio::time::sleep(backoff).await;
                }
                let overloaded = AttemptFailure::NotRun(RefusalReason::Overloaded);
                rerouted += u8::from(failed.failure == overloaded);
                out.meta.depth.is_retry |= !is_reroute(failed.failure);
                may_have_run = Some(failed.after(may_have_run));
            }
        }
    }
    Forwarded::Own(no_upstream().answer)
}

/// Gives an answer back unless it is an upstream's error and the call is to be tried elsewhere; the
/// answer is dropped then.
async fn retry_after_error(
    state: &Rc<State>,
    out: &mut Call<'_>,
    reply: Box<Reply>,
    attempt: u8,
    tried: &[InstanceId],
) -> Option<Box<Reply>> {
    let error = reply.answered.head.status.is_server_error();
    if !error || !out.meta.repeats || !out.msg.is_whole() {
        return Some(reply);
    }
    let call = call_state(state, out, attempt, tried);
    let service = out.meta.service.clone();
    let failure = AttemptFailure::Unknown { crashed: false };
    let decide = |budget: &mut RetryBudget| budget.decide(&call, failure);
    if !call.has_room || state.budget(&service, out.retry, decide) == RetryDecision::GiveUp {
        return Some(reply);
    }
    out.meta.depth.is_retry = true;
    let Reply { stream, answered, instance, address, load } = *reply;
    let end = AttemptEnd::Answered(load);
    state.router.borrow_mut().ended(state.now(), &instance, end);
    keep_after_refusal(state, stream, answered, address).await;
    None
}

fn note_failure(state: &State, out: &Call<'_>, choice: &Choice, failure: AttemptFailure) {
    let id = state.edges.calls.words(&out.msg.head).id;
    let saved = state.budget(&out.meta.service, out.retry, |budget| budget.saved());
    state.metrics.failed(&out.meta.service, failure.as_str(), saved);
    journal::attempt_failed(state, id.as_ref(), out.meta, choice, failure, saved);
}

fn call_state(state: &State, out: &Call<'_>, attempts: u8, tried: &[InstanceId]) -> CallState {
    let now = state.now();
    let view = state.hub.members.borrow().clone();
    CallState {
        attempts,
        rerouted: 0,
        idempotent: out.meta.repeats && out.msg.is_whole(),
        is_retry: out.meta.depth.is_retry && attempts == 1,
        has_room: state.router.borrow().has_room(now, &out.meta.service, &view, tried),
        left: out.meta.left(now),
    }
}

fn choose(
    state: &State,
    out: &Call<'_>,
    tried: &[InstanceId],
    bans: &sycamore_call::route::VersionBans,
) -> Option<Choice> {
    let node = &state.hub.settings.node;
    let view = state.hub.members.borrow().clone();
    let shares = state.hub.shares.borrow().clone();
    let pick = Pick {
        service: &out.meta.service,
        view: &view,
        shares: &shares,
        bans,
        tried,
        data_centre: &node.data_centre,
        region: &node.region,
        bytes: out.msg.body_len(),
    };
    state.router.borrow_mut().pick(state.now(), &pick)
}

/// What a refusal says of a version holds for this call, and for all where it is a verdict.
fn learn_ban(
    state: &State,
    bans: &mut sycamore_call::route::VersionBans,
    service: &ServiceName,
    choice: &Choice,
    failure: AttemptFailure,
) {
    match failure {
        AttemptFailure::NotRun(RefusalReason::BadVersion) => {
            bans.insert(service.clone(), choice.version.clone());
            state.bans.borrow_mut().insert(service.clone(), choice.version.clone());
        }
        AttemptFailure::NotRun(RefusalReason::ShareSpent) => {
            bans.insert(service.clone(), choice.version.clone());
        }
        _ => {}
    }
}

async fn try_once(
    state: &Rc<State>,
    out: &mut Call<'_>,
    inbound: Option<&mut Inbound>,
    choice: &Choice,
    attempt: u8,
) -> Attempt {
    let now = state.now();
    if out.meta.left(now) == Duration::ZERO {
        state.router.borrow_mut().ended(now, &choice.instance, AttemptEnd::Cancelled);
        let answer = Answer::refused(RefusalReason::Deadline, RETRY_AFTER);
        let failure = AttemptFailure::NotRun(RefusalReason::Deadline);
        return Attempt::Failed(Failed { failure, answer });
    }
    let mut undecided = Undecided { state, instance: &choice.instance, ended: false };
    let Ok(mut stream) = state.relays.connect(choice.relay).await else {
        undecided.end(AttemptEnd::NoUpstream);
        return Attempt::Failed(no_upstream());
    };
    let target = Target { version: choice.version.clone(), share: choice.share };
    let mut head = out.msg.head.clone();
    let deployment = &state.hub.settings.node.deployment;
    out.meta.write(state.now(), deployment, Some(&target), attempt, &mut head.headers);
    let left = out.meta.left(state.now());
    let began = Instant::now();
    let sent = send(inbound, out.msg, &mut stream, head, true, left).await;
    if matches!(sent, Err(Failure::Deadline)) && stream.history == History::Reused {
        state.relays.doubt(choice.relay, began);
    }
    match sent {
        Err(Failure::CallerGone) => {
            undecided.end(AttemptEnd::Cancelled);
            Attempt::CallerGone
        }
        Err(failure) => {
            undecided.end(AttemptEnd::Failed);
            Attempt::Failed(broken(failure))
        }
        Ok(answered) => {
            let load = load_of(&answered.head.headers);
            match failure_in(&answered) {
                None => {
                    undecided.ended = true;
                    let (instance, address) = (choice.instance.clone(), choice.relay);
                    Attempt::Answered(Box::new(Reply { stream, answered, instance, address, load }))
                }
                Some(failed) => {
                    undecided.end(end_of(failed.failure, load));
                    // The refusal's body is small; reading it makes the connection usable again.
                    keep_after_refusal(state, stream, answered, choice.relay).await;
                    Attempt::Failed(failed)
                }
            }
        }
    }
}

/// Tells the router how an attempt ended, also where its future is dropped.
struct Undecided<'a> {
    state: &'a State,
    instance: &'a InstanceId,
    ended: bool,
}

impl Undecided<'_> {
    fn end(&mut self, end: AttemptEnd) {
        self.ended = true;
        self.state.router.borrow_mut().ended(self.state.now(), self.instance, end);
    }
}

impl Drop for Undecided<'_> {
    fn drop(&mut self) {
        if !self.ended {
            self.end(AttemptEnd::Cancelled);
        }
    }
}

/// Most bytes of a refusal's body.
pub(super) const MAX_REFUSAL_BYTES: usize = 4 << 10;
/// Longest time to read it.
pub(super) const REFUSAL_TIME: Duration = Duration::from_millis(50);

async fn keep_after_refusal(
    state: &State,
    mut stream: Stream,
    answered: Answered,
    address: std::net::SocketAddr,
) {
    let body =
        super::exchange::whole_body(&mut stream, &answered, MAX_REFUSAL_BYTES, REFUSAL_TIME).await;
    if body.is_ok() && answered.is_reusable() {
        state.relays.put(address, stream);
    }
}

fn load_of(fields: &HeaderMap) -> Load {
    text(fields, headers::LOAD).and_then(|text| Load::from_str(text).ok()).unwrap_or_default()
}

/// Relays an answer to the caller.
pub(super) async fn relay(
    state: &State,
    inbound: &mut Inbound,
    meta: &CallMeta,
    reply: Reply,
) -> std::io::Result<()> {
    let Reply { mut stream, answered, instance, address, load } = reply;
    let left = meta.left(state.now());
    let status = answered.head.status.as_u16();
    let edit = |head: &mut sycamore_http::ResponseHead| strip_internal(&mut head.headers);
    let mut undecided = Undecided { state, instance: &instance, ended: false };
    let relayed = relay_answer(inbound, &mut stream, answered, left, edit).await;
    match relayed {
        Relayed::Reusable => {
            undecided.end(AttemptEnd::Answered(load));
            state.relays.put(address, stream);
        }
        Relayed::Whole => undecided.end(AttemptEnd::Answered(load)),
        Relayed::Failed(Failure::CallerGone) => undecided.end(AttemptEnd::Cancelled),
        Relayed::Failed(_) => undecided.end(AttemptEnd::Failed),
    }
    match relayed {
        Relayed::Reusable | Relayed::Whole => {
            state.metrics.answered("answered", "");
            state.metrics.took(&meta.route, state.now().since(meta.began));
            let id = inbound.words.id.as_ref();
            journal::answered(state, id, meta, &instance, status, load);
            Ok(())
        }
        Relayed::Failed(_) => {
            state.metrics.answered("cut", "");
            Err(std::io::ErrorKind::ConnectionAborted.into())
        }
    }
}
