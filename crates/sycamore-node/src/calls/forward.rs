//! Calling side of a call: chooses an upstream, relays the call to its node, and retries or
//! reroutes it where that is safe.

use super::answer::{respond, Answer, Outcome, DEFAULT_RETRY_AFTER};
use super::credit;
use super::exchange::{read_whole_body, relay_answer, send, AnswerHead, Failure, Relayed};
use super::failed::{
    attempt_end, failed_exchange, failure_from_answer, is_reroute, no_upstream, FailedAttempt,
};
use super::hedge;
use super::journal;
use super::listen::ListenerKind;
use super::message::{strip_internal, Inbound, Message};
use super::meta::{set, text, CallMeta, Target};
use super::pool::Stream;
use super::report::{self, read_report};
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

/// Outgoing call together with the caller's connection.
pub(super) struct Outgoing<'a> {
    pub(super) inbound: &'a mut Inbound,
    pub(super) msg: &'a mut Message,
    pub(super) meta: CallMeta,
    pub(super) retry: RetryPolicy,
}

impl Outgoing<'_> {
    /// Makes attempts until one is answered or the retry policy gives the call up.
    pub(super) async fn run_attempts(&mut self, state: &Rc<State>) -> Forwarded {
        let call = Call { msg: self.msg, meta: &mut self.meta, retry: &self.retry };
        run_attempts(state, call, Some(self.inbound)).await
    }
}

/// Outgoing call without the caller's connection.
pub(super) struct Call<'a> {
    pub(super) msg: &'a mut Message,
    pub(super) meta: &'a mut CallMeta,
    pub(super) retry: &'a RetryPolicy,
}

/// Result of all attempts of a call.
pub(super) enum Forwarded {
    /// An upstream's answer, to be relayed.
    Answered(Box<Reply>),
    /// The node's own answer, after every attempt failed.
    Own(Answer),
    /// The caller disconnected: there is nobody to answer.
    CallerGone,
}

/// Answer whose head has arrived and whose body has not been read yet.
pub(super) struct Reply {
    pub(super) stream: Stream,
    pub(super) answered: AnswerHead,
    pub(super) instance: InstanceId,
    address: std::net::SocketAddr,
    load: Load,
}

impl Reply {
    /// Records that the answer was read whole, and keeps the connection for reuse.
    pub(super) fn record_success(self, state: &State) {
        let end = AttemptEnd::Answered(self.load);
        state.router.borrow_mut().record_end(state.now(), &self.instance, end);
        if self.answered.is_reusable() && !self.stream.reader.has_unread() {
            state.relays.put(self.address, self.stream);
        }
    }

    /// Records that the answer ended early.
    pub(super) fn record_failure(self, state: &State) {
        state.router.borrow_mut().record_end(state.now(), &self.instance, AttemptEnd::Failed);
    }
}

/// Result of one attempt.
pub(super) enum Attempt {
    Answered(Box<Reply>),
    Failed(FailedAttempt),
    CallerGone,
}

/// Runs the attempts of a call and relays the answer to the caller.
pub(super) async fn forward(state: &Rc<State>, mut out: Outgoing<'_>) -> std::io::Result<()> {
    match out.run_attempts(state).await {
        Forwarded::Own(answer) => {
            if answer.outcome == Outcome::NotRun {
                credit::give_back(state, &out.meta);
            }
            send_own_answer(state, out.inbound, &answer).await
        }
        Forwarded::CallerGone => Err(std::io::ErrorKind::ConnectionAborted.into()),
        Forwarded::Answered(reply) => relay_reply(state, out.inbound, &out.meta, *reply).await,
    }
}

/// Sends an answer of the node itself, in the format of the listener, and logs and counts it.
pub(super) async fn send_own_answer(
    state: &State,
    inbound: &mut Inbound,
    answer: &Answer,
) -> std::io::Result<()> {
    state.metrics.count_answer(answer.outcome.as_str(), &answer.reason);
    journal::log_own_answer(state, inbound.info.id.as_ref(), answer);
    let resp = match inbound.listener {
        ListenerKind::Relay => answer.to_response(),
        ListenerKind::Caller | ListenerKind::Upstream => {
            state.edges.calls.answer(answer, &inbound.info)
        }
    };
    respond(inbound, &resp).await
}

/// Makes attempts until one is answered or the retry policy gives the call up.
///
/// `inbound` is the caller's connection, watched for a disconnect. It may be `None` only if the
/// body is buffered; the function that called this one then watches the caller.
pub(super) async fn run_attempts(
    state: &Rc<State>,
    mut out: Call<'_>,
    mut inbound: Option<&mut Inbound>,
) -> Forwarded {
    let out = &mut out;
    let service = out.meta.service.clone();
    state.with_retry_budget(&service, out.retry, |budget| budget.first_attempt());
    let mut tried = Vec::new();
    let mut bans = state.bans.borrow().clone();
    let mut may_have_run: Option<FailedAttempt> = None;
    let mut rerouted = 0;
    for attempt in 1..=u8::MAX {
        let failed = match choose_upstream(state, out, &tried, &bans) {
            None => no_upstream(),
            Some(choice) => {
                tried.push(choice.instance.clone());
                state.metrics.count_attempt(attempt);
                let tried_once = match hedge::plan(state, out, inbound.is_some(), &choice, attempt)
                {
                    Some(delay) => hedge::run(state, out, &choice, delay, &mut tried).await,
                    None => try_once(state, out, inbound.as_deref_mut(), &choice, attempt).await,
                };
                match tried_once {
                    Attempt::Answered(reply) => {
                        match retry_after_error(state, out, reply, attempt, &tried).await {
                            Some(reply) => return Forwarded::Answered(reply),
                            None => {
                                may_have_run = Some(failed_exchange(Failure::Broken));
                                continue;
                            }
                        }
                    }
                    Attempt::CallerGone => return Forwarded::CallerGone,
                    Attempt::Failed(failed) => {
                        record_ban(state, &mut bans, &service, &choice, failed.failure);
                        record_failed_attempt(state, out, &choice, failed.failure);
                        failed
                    }
                }
            }
        };
        if out.msg.is_body_forwarded() {
            return Forwarded::Own(failed.or_earlier(may_have_run).answer);
        }
        let call = CallState { rerouted, ..call_state(state, out, attempt, &tried) };
        let decision = state
            .with_retry_budget(&service, out.retry, |budget| budget.decide(&call, failed.failure));
        match decision {
            RetryDecision::GiveUp => return Forwarded::Own(failed.or_earlier(may_have_run).answer),
            RetryDecision::Retry(backoff) => {
                if !backoff.is_zero() {
                    monoio::time::sleep(backoff).await;
                }
                rerouted += u8::from(failed.failure.is_refusal_for_load());
                out.meta.depth.is_retry |= !is_reroute(failed.failure);
                may_have_run = Some(failed.or_earlier(may_have_run));
            }
        }
    }
    Forwarded::Own(no_upstream().answer)
}

/// Returns `reply` if it is to be relayed; drops it and returns `None` if it is an upstream's error
/// (status 500 or above) after which the call is retried on another instance.
async fn retry_after_error(
    state: &Rc<State>,
    out: &mut Call<'_>,
    reply: Box<Reply>,
    attempt: u8,
    tried: &[InstanceId],
) -> Option<Box<Reply>> {
    let error = reply.answered.head.status.is_server_error();
    if !error || !out.meta.is_repeatable || !out.msg.is_body_buffered() {
        return Some(reply);
    }
    let call = call_state(state, out, attempt, tried);
    let service = out.meta.service.clone();
    let failure = AttemptFailure::Unknown { crashed: false };
    let decide = |budget: &mut RetryBudget| budget.decide(&call, failure);
    if !call.has_room
        || state.with_retry_budget(&service, out.retry, decide) == RetryDecision::GiveUp
    {
        return Some(reply);
    }
    out.meta.depth.is_retry = true;
    let Reply { stream, answered, instance, address, load } = *reply;
    let end = AttemptEnd::Answered(load);
    state.router.borrow_mut().record_end(state.now(), &instance, end);
    reuse_after_refusal(state, stream, answered, address).await;
    None
}

fn record_failed_attempt(state: &State, out: &Call<'_>, choice: &Choice, failure: AttemptFailure) {
    let id = state.edges.calls.request_info(&out.msg.head).id;
    let saved =
        state.with_retry_budget(&out.meta.service, out.retry, |budget| budget.saved_retries());
    state.metrics.count_failed_attempt(&out.meta.service, failure.as_str(), saved);
    journal::log_failed_attempt(state, id.as_ref(), out.meta, choice, failure, saved);
}

fn call_state(state: &State, out: &Call<'_>, attempts: u8, tried: &[InstanceId]) -> CallState {
    let now = state.now();
    let view = state.hub.members.borrow().clone();
    CallState {
        attempts,
        rerouted: 0,
        idempotent: out.meta.is_repeatable && out.msg.is_body_buffered(),
        is_retry: out.meta.depth.is_retry && attempts == 1,
        has_room: state.router.borrow().has_room(
            now,
            &out.meta.service,
            &view,
            &state.out_of_use.borrow(),
            tried,
        ),
        left: out.meta.left(now),
    }
}

pub(super) fn choose_upstream(
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
        out_of_use: &state.out_of_use.borrow(),
        tried,
        data_centre: &node.data_centre,
        region: &node.region,
        bytes: out.msg.body_len(),
    };
    state.router.borrow_mut().pick(state.now(), &pick)
}

/// Bans the chosen version after a refusal by version: for this call if its share is used up, for
/// all calls if it was found bad.
fn record_ban(
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

pub(super) async fn try_once(
    state: &Rc<State>,
    out: &mut Call<'_>,
    inbound: Option<&mut Inbound>,
    choice: &Choice,
    attempt: u8,
) -> Attempt {
    let now = state.now();
    if out.meta.left(now) == Duration::ZERO {
        state.router.borrow_mut().record_end(now, &choice.instance, AttemptEnd::Cancelled);
        let answer = Answer::refused(RefusalReason::Deadline, DEFAULT_RETRY_AFTER);
        let failure = AttemptFailure::NotRun(RefusalReason::Deadline);
        return Attempt::Failed(FailedAttempt { failure, answer });
    }
    let mut guard = AttemptGuard { state, instance: &choice.instance, ended: false };
    let began = now;
    let Ok(mut stream) = state.relays.connect(choice.relay).await else {
        guard.end(AttemptEnd::NoUpstream);
        return Attempt::Failed(no_upstream());
    };
    let target = Target { version: choice.version.clone(), share: choice.share };
    let mut head = out.msg.head.clone();
    let deployment = &state.hub.settings.node.deployment;
    out.meta.write(state.now(), deployment, Some(&target), attempt, &mut head.headers);
    if let Some(report) = state.router.borrow().report_of(&choice.instance) {
        set(&mut head.headers, headers::REPORT, &report.to_string());
    }
    let left = out.meta.left(state.now());
    let sent_at = Instant::now();
    let sent = send(inbound, out.msg, &mut stream, head, true, left).await;
    if matches!(sent, Err(Failure::Deadline)) && stream.history == History::Reused {
        state.relays.close_idle_before(choice.relay, sent_at);
    }
    match sent {
        Err(Failure::CallerGone) => {
            guard.end(AttemptEnd::Cancelled);
            Attempt::CallerGone
        }
        Err(failure) => {
            guard.end(AttemptEnd::Failed);
            Attempt::Failed(failed_exchange(failure))
        }
        Ok(answered) => {
            let load = load_of(&answered.head.headers);
            let failed = failure_from_answer(&answered);
            learn_report(state, &choice.instance, &answered.head.headers, failed.is_none());
            match failed {
                None => {
                    hedge::record_time(state, out.meta, began);
                    guard.ended = true;
                    let (instance, address) = (choice.instance.clone(), choice.relay);
                    Attempt::Answered(Box::new(Reply { stream, answered, instance, address, load }))
                }
                Some(failed) => {
                    guard.end(attempt_end(&failed, load));
                    // The refusal's body is small; the connection can be reused once it is read.
                    reuse_after_refusal(state, stream, answered, choice.relay).await;
                    Attempt::Failed(failed)
                }
            }
        }
    }
}

/// Records what the node of `instance` said of its upstream process, with an answer of that process
/// or a refusal of its own.
fn learn_report(state: &State, instance: &InstanceId, fields: &HeaderMap, is_answered: bool) {
    let mut router = state.router.borrow_mut();
    match read_report(fields) {
        Some(report) => router.learn_report(state.now(), instance, report),
        None if is_answered => router.learn_unrestricted(instance),
        None => {}
    }
}

/// Guard that reports the end of an attempt to the router; [`AttemptEnd::Cancelled`] if it is
/// dropped before the end is known.
struct AttemptGuard<'a> {
    state: &'a State,
    instance: &'a InstanceId,
    ended: bool,
}

impl AttemptGuard<'_> {
    fn end(&mut self, end: AttemptEnd) {
        self.ended = true;
        self.state.router.borrow_mut().record_end(self.state.now(), self.instance, end);
    }
}

impl Drop for AttemptGuard<'_> {
    fn drop(&mut self) {
        if !self.ended {
            self.end(AttemptEnd::Cancelled);
        }
    }
}

/// Maximum size of a refusal's body in bytes; beyond it the connection is closed instead of reused.
pub(super) const MAX_REFUSAL_BYTES: usize = 4 << 10;
/// Maximum time to read a refusal's body; after it the connection is closed instead of reused.
pub(super) const REFUSAL_READ_TIMEOUT: Duration = Duration::from_millis(50);

/// Reads and drops the body of a refusal or error, and keeps the connection for reuse.
async fn reuse_after_refusal(
    state: &State,
    mut stream: Stream,
    answered: AnswerHead,
    address: std::net::SocketAddr,
) {
    let body =
        read_whole_body(&mut stream, &answered, MAX_REFUSAL_BYTES, REFUSAL_READ_TIMEOUT).await;
    if body.is_ok() && answered.is_reusable() {
        state.relays.put(address, stream);
    }
}

fn load_of(fields: &HeaderMap) -> Load {
    text(fields, headers::LOAD).and_then(|text| Load::from_str(text).ok()).unwrap_or_default()
}

/// Relays an upstream's answer to the caller and records the end of the call.
pub(super) async fn relay_reply(
    state: &State,
    inbound: &mut Inbound,
    meta: &CallMeta,
    reply: Reply,
) -> std::io::Result<()> {
    let Reply { mut stream, answered, instance, address, load } = reply;
    let left = meta.left(state.now());
    let status = answered.head.status.as_u16();
    let rate = state.edges.calls.upstream_report(&answered.head).rate;
    let is_for_node = inbound.listener == ListenerKind::Relay;
    let edit = |head: &mut sycamore_http::ResponseHead| {
        strip_internal(&mut head.headers);
        if is_for_node {
            report::write_report_of(state, &instance, &mut head.headers);
        }
    };
    let mut guard = AttemptGuard { state, instance: &instance, ended: false };
    let relayed = relay_answer(inbound, &mut stream, answered, left, edit).await;
    match relayed {
        Relayed::Reusable => {
            guard.end(AttemptEnd::Answered(load));
            state.relays.put(address, stream);
        }
        Relayed::Whole => guard.end(AttemptEnd::Answered(load)),
        Relayed::Failed(Failure::CallerGone) => guard.end(AttemptEnd::Cancelled),
        Relayed::Failed(_) => guard.end(AttemptEnd::Failed),
    }
    match relayed {
        Relayed::Reusable | Relayed::Whole => {
            state.metrics.count_answer("answered", "");
            state.metrics.observe_call(&meta.route, state.now().since(meta.received_at));
            let id = inbound.info.id.as_ref();
            journal::log_answered_call(state, id, meta, &instance, (status, rate), load);
            Ok(())
        }
        Relayed::Failed(_) => {
            state.metrics.count_answer("cut", "");
            Err(std::io::ErrorKind::ConnectionAborted.into())
        }
    }
}
