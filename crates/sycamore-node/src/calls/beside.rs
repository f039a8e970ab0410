//! The upstream's side: gate, quarantine, admission, and the exchange with the upstream.

use super::answer::{Answer, RETRY_AFTER};
use super::crash;
use super::exchange::{relay_answer, send, whole_body, Answered, Failure, Relayed};
use super::forward::{own_answer, MAX_REFUSAL_BYTES, REFUSAL_TIME};
use super::journal;
use super::message::{strip_internal, Inbound, Message};
use super::meta::{text, CallMeta, Target};
use super::pool::Stream;
use super::slot::{acquire, Slot};
use super::state::State;
use crate::edge::{History, UpstreamAnswer, UpstreamCall};
use crate::hub::{AnnouncedUpstream, Phase};
use futures::future::{select, Either};
use http::{HeaderName, HeaderValue, StatusCode};
use slog::warn;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};
use sycamore_call::admit::RunEnd;
use sycamore_call::gate::GateRequest;
use sycamore_call::quarantine::Verdict;
use sycamore_call::Arrival;
use sycamore_http::ResponseHead;
use sycamore_types::headers;
use sycamore_types::prelude::*;

/// Least factor of the time to come back; the largest is 1.
const LEAST_SPREAD: f64 = 0.75;

/// Serves a call that another node relayed, at the upstream beside this one.
pub(super) async fn serve(
    state: &Rc<State>,
    inbound: &mut Inbound,
    msg: &mut Message,
    meta: &CallMeta,
    target: &Target,
) -> std::io::Result<()> {
    let (upstream, slot) = match admit(state, inbound, meta, target).await {
        Ok(Some(admitted)) => admitted,
        Ok(None) => return Err(std::io::ErrorKind::ConnectionAborted.into()),
        Err(answer) => return refuse(state, inbound, msg, answer).await,
    };
    msg.proceed(inbound).await?;
    let Ok(stream) = state.upstreams.connect(upstream.address).await else {
        drop(slot);
        let answer = Answer::refused(RefusalReason::NoUpstream, RETRY_AFTER);
        return refuse(state, inbound, msg, answer).await;
    };
    let run = Run::new(state, slot, meta, &upstream, inbound.words.id.clone());
    run.exchange(inbound, msg, stream).await
}

/// A refusal tells the load as well; a body that was not read makes the connection useless.
pub(super) async fn refuse(
    state: &State,
    inbound: &mut Inbound,
    msg: &Message,
    answer: Answer,
) -> std::io::Result<()> {
    inbound.closes |= !msg.is_read() && !msg.waits();
    state.metrics.answered(answer.outcome.as_str(), &answer.reason);
    journal::own_answer(state, inbound.words.id.as_ref(), &answer);
    let mut resp = answer.to_response();
    add_load(state, resp.headers_mut());
    super::answer::respond(inbound, &resp).await
}

fn add_load(state: &State, fields: &mut http::HeaderMap) {
    let load = state.admission.borrow().load().to_string();
    if let Ok(load) = HeaderValue::from_str(&load) {
        fields.insert(HeaderName::from_static(headers::LOAD), load);
    }
}

/// Lets the call in, or says why not; `None` where the caller left while it waited.
async fn admit(
    state: &Rc<State>,
    inbound: &mut Inbound,
    meta: &CallMeta,
    target: &Target,
) -> Result<Option<(AnnouncedUpstream, Slot)>, Answer> {
    let refused = |reason| Answer::refused(reason, RETRY_AFTER);
    check(state, meta, target).map_err(refused)?;
    let arrival = Arrival {
        id: state.next_id(),
        caller: meta.caller,
        class: meta.class,
        deadline: meta.deadline,
        objective: meta.objective,
        work: meta.work(),
    };
    let slot = match select(pin!(acquire(state, arrival)), pin!(inbound.reader.closed())).await {
        Either::Left((slot, _)) => slot,
        Either::Right(_) => return Ok(None),
    };
    let slot = slot.map_err(|(reason, after)| Answer::refused(reason, spread(state, after)))?;
    // What was learnt during the wait counts as well.
    let upstream = check(state, meta, target).map_err(refused)?;
    Ok(Some((upstream, slot)))
}

/// Callers that are refused together should not come back together.
fn spread(state: &State, after: Duration) -> Duration {
    after.mul_f64(LEAST_SPREAD + (1.0 - LEAST_SPREAD) * state.draw())
}

fn check(
    state: &State,
    meta: &CallMeta,
    target: &Target,
) -> Result<AnnouncedUpstream, RefusalReason> {
    if meta.service != state.hub.settings.node.service {
        return Err(RefusalReason::NotReady);
    }
    if state.hub.phase() >= Phase::Closing {
        return Err(RefusalReason::Draining);
    }
    let upstream = state.upstream().ok_or(RefusalReason::NoUpstream)?;
    if upstream.draining {
        return Err(RefusalReason::Draining);
    }
    match state.crashes.borrow().verdict(state.hub.clock.wall(), meta.fingerprint) {
        Verdict::Quarantined(_) => return Err(RefusalReason::Quarantined),
        Verdict::Suspect if crash::runs_suspect(state) => return Err(RefusalReason::Overloaded),
        Verdict::Suspect | Verdict::Clear => {}
    }
    let running = u32::from(state.admission.borrow().load().running);
    let req = GateRequest { version: &target.version, share: target.share, draw: meta.draw() };
    let gate = state.gate.borrow();
    gate.as_ref().ok_or(RefusalReason::NoUpstream)?.check(&req, running)?;
    Ok(upstream)
}

/// A call that runs on the upstream.
struct Run<'a> {
    state: &'a Rc<State>,
    slot: Slot,
    meta: &'a CallMeta,
    upstream: &'a AnnouncedUpstream,
    /// The caller's identifier of the call.
    id: Option<HeaderValue>,
    started: Time,
}

impl<'a> Run<'a> {
    fn new(
        state: &'a Rc<State>,
        slot: Slot,
        meta: &'a CallMeta,
        upstream: &'a AnnouncedUpstream,
        id: Option<HeaderValue>,
    ) -> Self {
        state.running.borrow_mut().insert(slot.id(), meta.fingerprint);
        Self { state, slot, meta, upstream, id, started: state.now() }
    }

    async fn exchange(
        mut self,
        inbound: &mut Inbound,
        msg: &mut Message,
        mut stream: Stream,
    ) -> std::io::Result<()> {
        let mut head = msg.head.clone();
        strip_internal(&mut head.headers);
        let left = self.meta.left(self.state.now());
        let call = UpstreamCall {
            left,
            origin: &self.meta.origin,
            upstream: self.upstream.name.as_deref(),
            hops: &self.meta.depth.to_text(),
        };
        let calls = self.state.edges.calls.clone();
        calls.for_upstream(&call, &mut head.headers);
        let (history, began) = (stream.history, Instant::now());
        match send(Some(&mut *inbound), msg, &mut stream, head, false, left).await {
            Ok(answered) => match calls.judge(&msg.head.headers, &answered.head, history) {
                UpstreamAnswer::Ran => self.relay(inbound, stream, answered, false).await,
                UpstreamAnswer::Shed => self.relay(inbound, stream, answered, true).await,
                UpstreamAnswer::NotRun(reason) => {
                    self.not_run(inbound, msg, stream, &answered, reason).await
                }
                UpstreamAnswer::Foreign(why) => {
                    drop(stream);
                    warn!(self.state.hub.log, "answer rejected"; "why" => why,
                        "request" => journal::id_text(self.id.as_ref()));
                    self.fail(inbound, msg, Failure::Broken).await
                }
            },
            Err(failure) => {
                if failure == Failure::Deadline && history == History::Reused {
                    self.state.upstreams.doubt(self.upstream.address, began);
                }
                // Closing the connection cancels the call at the upstream.
                drop(stream);
                self.fail(inbound, msg, failure).await
            }
        }
    }

    async fn relay(
        &mut self,
        inbound: &mut Inbound,
        mut stream: Stream,
        answered: Answered,
        shed: bool,
    ) -> std::io::Result<()> {
        let status = answered.head.status;
        let left = self.meta.left(self.state.now());
        let state = self.state;
        let edit = |head: &mut ResponseHead| {
            strip_internal(&mut head.headers);
            if !shed && text(&head.headers, headers::OUTCOME) == Some("not-run") {
                // The upstream ran, whatever it copied from a call of its own.
                head.headers.remove(headers::OUTCOME);
            }
            add_load(state, &mut head.headers);
        };
        match relay_answer(inbound, &mut stream, answered, left, edit).await {
            Relayed::Failed(failure) => {
                drop(stream);
                self.note_failure(failure).await;
                Err(std::io::ErrorKind::ConnectionAborted.into())
            }
            relayed => {
                if relayed == Relayed::Reusable {
                    self.state.upstreams.put(self.upstream.address, stream);
                }
                self.note_answer(status, shed);
                Ok(())
            }
        }
    }

    /// Answers a call that the upstream turned away before running it.
    async fn not_run(
        &mut self,
        inbound: &mut Inbound,
        msg: &Message,
        mut stream: Stream,
        answered: &Answered,
        reason: RefusalReason,
    ) -> std::io::Result<()> {
        let read = whole_body(&mut stream, answered, MAX_REFUSAL_BYTES, REFUSAL_TIME).await;
        if read.is_ok() && answered.is_reusable() && !stream.reader.has_unread() {
            self.state.upstreams.put(self.upstream.address, stream);
        }
        self.slot.ended(RunEnd::Overloaded);
        self.report(OutcomeKind::Shed);
        refuse(self.state, inbound, msg, Answer::refused(reason, RETRY_AFTER)).await
    }

    /// Answers a call that got no answer.
    async fn fail(
        &mut self,
        inbound: &mut Inbound,
        msg: &Message,
        failure: Failure,
    ) -> std::io::Result<()> {
        let crashed = self.note_failure(failure).await;
        let answer = match failure {
            Failure::CallerGone => return Err(std::io::ErrorKind::ConnectionAborted.into()),
            Failure::Deadline => Answer::unknown(
                StatusCode::GATEWAY_TIMEOUT,
                "deadline",
                "the upstream did not answer in time",
            ),
            Failure::Broken if crashed => {
                Answer::unknown(StatusCode::BAD_GATEWAY, crash::REASON, "the upstream crashed")
            }
            Failure::Broken => {
                Answer::unknown(StatusCode::BAD_GATEWAY, "broken", "the upstream gave no answer")
            }
        };
        inbound.closes |= !msg.is_read();
        own_answer(self.state, inbound, &answer).await
    }

    fn note_answer(&mut self, status: StatusCode, shed: bool) {
        let kind = match status.as_u16() {
            _ if shed => OutcomeKind::Shed,
            500.. => OutcomeKind::Failed,
            400..=499 => OutcomeKind::Rejected,
            _ => OutcomeKind::Ok,
        };
        self.slot.ended(if shed { RunEnd::Overloaded } else { RunEnd::Answered });
        if !shed {
            self.state.crashes.borrow_mut().completed(self.meta.fingerprint);
        }
        self.state.metrics.answered(if shed { "not-run" } else { "answered" }, "");
        self.report(kind);
    }

    /// Gives whether the upstream crashed.
    async fn note_failure(&mut self, failure: Failure) -> bool {
        let (kind, end) = match failure {
            Failure::CallerGone => (OutcomeKind::Cancelled, RunEnd::Aborted),
            Failure::Deadline => (OutcomeKind::TimedOut, RunEnd::Overloaded),
            Failure::Broken => (OutcomeKind::Broken, RunEnd::Aborted),
        };
        self.slot.ended(end);
        self.report(kind);
        match failure {
            Failure::Broken => {
                crash::note_broken(self.state, self.meta.fingerprint);
                crash::check(self.state, self.upstream).await
            }
            Failure::CallerGone | Failure::Deadline => false,
        }
    }

    fn report(&self, kind: OutcomeKind) {
        let now = self.state.now();
        let took = now.since(self.started);
        self.state.metrics.ran(kind, took);
        journal::run_ended(self.state, self.id.as_ref(), self.meta, kind, took);
        self.state.hub.report_outcome(CallOutcome {
            service: self.meta.service.clone(),
            version: self.upstream.version.clone(),
            route: self.meta.route.clone(),
            caller: self.meta.caller,
            kind,
            latency: took,
            cold: now < self.upstream.warm_at,
        });
    }
}

impl Drop for Run<'_> {
    fn drop(&mut self) {
        self.state.running.borrow_mut().remove(&self.slot.id());
    }
}
