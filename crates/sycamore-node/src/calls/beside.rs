//! Upstream's side of a call: checks and admits a relayed call and runs it on the local upstream.

use super::answer::{Answer, DEFAULT_RETRY_AFTER};
use super::crash;
use super::exchange::{read_whole_body, relay_answer, send, AnswerHead, Failure, Relayed};
use super::failed::standard_retry_after;
use super::forward::{send_own_answer, MAX_REFUSAL_BYTES, REFUSAL_READ_TIMEOUT};
use super::journal;
use super::message::{strip_internal, Inbound, Message};
use super::meta::{text, CallMeta, Target};
use super::pool::Stream;
use super::report;
use super::slot::{acquire, Slot};
use super::state::State;
use super::warm_up;
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

/// Minimum of the random factor applied to a refusal's `retry-after`; the maximum is 1.
const MIN_RETRY_AFTER_FACTOR: f64 = 0.75;
/// Part of a call's time by which the caller's node may reach the deadline first: the request took
/// its time to this node and waited here to be read.
const DEADLINE_SKEW: f64 = 0.1;

/// Runs a call that another node relayed on the local upstream and relays its answer.
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
    msg.send_continue(inbound).await?;
    let Ok(stream) = state.upstreams.connect(upstream.address).await else {
        warm_up::suspect(state, "connect failed");
        drop(slot);
        let answer = Answer::refused(RefusalReason::NoUpstream, DEFAULT_RETRY_AFTER);
        return refuse(state, inbound, msg, answer).await;
    };
    let run = Run::new(state, slot, meta, &upstream, inbound.info.id.clone());
    run.exchange(inbound, msg, stream).await
}

/// Sends a refusal to another node, with the load of the upstream. The connection closes after it
/// if the body was sent and not read.
pub(super) async fn refuse(
    state: &State,
    inbound: &mut Inbound,
    msg: &Message,
    answer: Answer,
) -> std::io::Result<()> {
    inbound.closes |= !msg.is_body_read() && !msg.awaits_continue();
    state.metrics.count_answer(answer.outcome.as_str(), &answer.reason);
    journal::log_own_answer(state, inbound.info.id.as_ref(), &answer);
    let mut resp = answer.to_response();
    add_load(state, resp.headers_mut());
    super::answer::respond(inbound, &resp).await
}

/// Adds the upstream's load and what is known of its process to an answer to another node.
fn add_load(state: &State, fields: &mut http::HeaderMap) {
    let load = state.admission.borrow().load(state.now()).to_string();
    if let Ok(load) = HeaderValue::from_str(&load) {
        fields.insert(HeaderName::from_static(headers::LOAD), load);
    }
    report::write_report(state, fields);
}

/// Waits for a slot of the upstream; `None` if the caller disconnects during the wait.
///
/// # Errors
/// Returns the answer to send if the call is refused.
async fn admit(
    state: &Rc<State>,
    inbound: &mut Inbound,
    meta: &CallMeta,
    target: &Target,
) -> Result<Option<(AnnouncedUpstream, Slot)>, Answer> {
    let refused = |reason| Answer::refused(reason, DEFAULT_RETRY_AFTER);
    if let (Some(upstream), Some(report)) = (state.upstream(), &meta.report) {
        report::adopt(state, &upstream, report);
    }
    check_call(state, meta, target).map_err(refused)?;
    let arrival = Arrival {
        id: state.next_id(),
        caller: meta.caller,
        class: meta.class,
        deadline: meta.deadline,
        objective: meta.objective,
        work: meta.work(),
        is_inner: meta.depth.level > 1,
    };
    let slot = match select(pin!(acquire(state, arrival)), pin!(inbound.reader.wait_until_closed()))
        .await
    {
        Either::Left((slot, _)) => slot,
        Either::Right(_) => return Ok(None),
    };
    let slot = slot.map_err(|(reason, after)| match reason {
        // Each refused call was told a start of its own, before which the limit has no room.
        RefusalReason::RateLimited => Answer::refused(reason, after),
        // The upstream itself doesn't drain, so callers' nodes must not take it for leaving.
        RefusalReason::Draining if state.is_out_of_use() => {
            Answer::refused(RefusalReason::OutOfUse, after)
        }
        _ => Answer::refused(reason, add_jitter(state, after)),
    })?;
    // Facts, shares and announcements may have changed during the wait.
    let upstream = check_call(state, meta, target).map_err(refused)?;
    Ok(Some((upstream, slot)))
}

/// Shortens `after` by a random factor, so that callers refused together don't retry together.
fn add_jitter(state: &State, after: Duration) -> Duration {
    let range = 1.0 - MIN_RETRY_AFTER_FACTOR;
    after.mul_f64(MIN_RETRY_AFTER_FACTOR + range * state.random_unit())
}

/// Returns the upstream if the call may run on it by the node's phase, the quarantine and the gate.
fn check_call(
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
    if state.is_out_of_use() {
        return Err(RefusalReason::OutOfUse);
    }
    if upstream.draining {
        return Err(RefusalReason::Draining);
    }
    match state.crashes.borrow().verdict(state.hub.clock.wall(), meta.fingerprint) {
        Verdict::Quarantined(_) => return Err(RefusalReason::Quarantined),
        Verdict::Suspect if crash::is_suspect_running(state) => {
            return Err(RefusalReason::Overloaded)
        }
        Verdict::Suspect | Verdict::Clear => {}
    }
    let running = u32::from(state.admission.borrow().load(state.now()).running);
    let req = GateRequest { version: &target.version, share: target.share, draw: meta.draw() };
    let gate = state.gate.borrow();
    gate.as_ref().ok_or(RefusalReason::NoUpstream)?.check(&req, running)?;
    Ok(upstream)
}

/// Call that holds a slot of the local upstream; registered as running until it is dropped.
struct Run<'a> {
    state: &'a Rc<State>,
    slot: Slot,
    meta: &'a CallMeta,
    upstream: &'a AnnouncedUpstream,
    /// Caller's identifier of the request.
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
        report::begin(state, upstream);
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
            account: self.meta.account.as_ref(),
        };
        let calls = self.state.edges.calls.clone();
        calls.for_upstream(&call, &mut head.headers);
        let (history, sent_at) = (stream.history, Instant::now());
        let sent_time = self.state.now();
        report::count_sent(self.state, self.meta);
        let sent = send(Some(&mut *inbound), msg, &mut stream, head, false, left).await;
        let classified = sent.map(|answered| {
            let kind = calls.classify_answer(&msg.head.headers, &answered.head, history);
            (answered, kind)
        });
        if let Ok((answered, kind)) = &classified {
            journal::log_unsent_request(self.state, self.id.as_ref(), answered);
            if is_of_upstream(kind) {
                let reported = calls.upstream_report(&answered.head);
                report::record(self.state, self.upstream, sent_time, reported);
            }
        }
        match classified {
            Ok((answered, kind)) => match kind {
                UpstreamAnswer::Ran => self.relay(inbound, stream, answered, false).await,
                UpstreamAnswer::Shed => self.relay(inbound, stream, answered, true).await,
                UpstreamAnswer::NotRun(reason) => {
                    self.refuse_not_run(inbound, msg, stream, &answered, reason).await
                }
                UpstreamAnswer::Invalid(why) | UpstreamAnswer::Foreign(why) => {
                    drop(stream);
                    warn!(self.state.hub.log, "upstream answer rejected"; "why" => why,
                        "request" => journal::id_text(self.id.as_ref()));
                    self.answer_failure(inbound, msg, Failure::Broken).await
                }
            },
            Err(failure) => {
                if history == History::Reused && self.is_out_of_time(failure, left) {
                    self.state.upstreams.close_idle_before(self.upstream.address, sent_at);
                }
                // Closing the connection cancels the call at the upstream.
                drop(stream);
                self.answer_failure(inbound, msg, failure).await
            }
        }
    }

    /// Returns whether the call, sent with the time `left`, got no answer by its deadline. The
    /// caller's node may reach that first, and closes its connection then.
    fn is_out_of_time(&self, failure: Failure, left: Duration) -> bool {
        match failure {
            Failure::Deadline => true,
            Failure::CallerGone => self.meta.left(self.state.now()) <= left.mul_f64(DEADLINE_SKEW),
            Failure::Broken => false,
        }
    }

    /// Relays the upstream's answer and records the end of the run.
    async fn relay(
        &mut self,
        inbound: &mut Inbound,
        mut stream: Stream,
        answered: AnswerHead,
        shed: bool,
    ) -> std::io::Result<()> {
        let status = answered.head.status;
        let left = self.meta.left(self.state.now());
        let state = self.state;
        let edit = |head: &mut ResponseHead| {
            strip_internal(&mut head.headers);
            if !shed && text(&head.headers, headers::OUTCOME) == Some("not-run") {
                // The upstream ran the call; it may have copied the field from a call of its own.
                head.headers.remove(headers::OUTCOME);
            }
            add_load(state, &mut head.headers);
        };
        match relay_answer(inbound, &mut stream, answered, left, edit).await {
            Relayed::Failed(failure) => {
                drop(stream);
                self.record_failure(failure).await;
                Err(std::io::ErrorKind::ConnectionAborted.into())
            }
            relayed => {
                // A refusal need not name its call: one that is written once more on the connection would
                // be taken for the answer to a later call, which may run.
                if relayed == Relayed::Reusable && !shed {
                    self.state.upstreams.put(self.upstream.address, stream);
                }
                self.record_answer(status, shed);
                Ok(())
            }
        }
    }

    /// Refuses a call that the upstream declined before running it.
    async fn refuse_not_run(
        &mut self,
        inbound: &mut Inbound,
        msg: &Message,
        mut stream: Stream,
        answered: &AnswerHead,
        reason: RefusalReason,
    ) -> std::io::Result<()> {
        let read =
            read_whole_body(&mut stream, answered, MAX_REFUSAL_BYTES, REFUSAL_READ_TIMEOUT).await;
        if read.is_ok() && answered.is_reusable() && !stream.reader.has_unread() {
            self.state.upstreams.put(self.upstream.address, stream);
        }
        self.slot.set_end(RunEnd::Overloaded);
        self.report_outcome(OutcomeKind::Shed);
        let after = standard_retry_after(&answered.head.headers).unwrap_or(DEFAULT_RETRY_AFTER);
        refuse(self.state, inbound, msg, Answer::refused(reason, after)).await
    }

    /// Answers a call that got no complete answer from the upstream.
    async fn answer_failure(
        &mut self,
        inbound: &mut Inbound,
        msg: &Message,
        failure: Failure,
    ) -> std::io::Result<()> {
        let crashed = self.record_failure(failure).await;
        let answer = match failure {
            Failure::CallerGone => return Err(std::io::ErrorKind::ConnectionAborted.into()),
            Failure::Deadline => Answer::unknown(
                StatusCode::GATEWAY_TIMEOUT,
                "deadline",
                "the upstream did not answer before the deadline",
            ),
            Failure::Broken if crashed => {
                let detail = "the upstream crashed while it ran the call";
                Answer::unknown(StatusCode::BAD_GATEWAY, crash::CRASH_REASON, detail)
            }
            Failure::Broken => {
                let detail = "the upstream gave no valid answer";
                Answer::unknown(StatusCode::BAD_GATEWAY, "broken", detail)
            }
        };
        inbound.closes |= !msg.is_body_read();
        send_own_answer(self.state, inbound, &answer).await
    }

    fn record_answer(&mut self, status: StatusCode, shed: bool) {
        let kind = match status.as_u16() {
            _ if shed => OutcomeKind::Shed,
            500.. => OutcomeKind::Failed,
            400..=499 => OutcomeKind::Rejected,
            _ => OutcomeKind::Ok,
        };
        self.slot.set_end(if shed { RunEnd::Overloaded } else { RunEnd::Answered });
        if !shed {
            self.state.crashes.borrow_mut().record_completion(self.meta.fingerprint);
        }
        self.state.metrics.count_answer(if shed { "not-run" } else { "answered" }, "");
        self.report_outcome(kind);
    }

    /// Records the end of a run without a complete answer, and returns whether the upstream
    /// crashed.
    async fn record_failure(&mut self, failure: Failure) -> bool {
        let (kind, end) = match failure {
            Failure::CallerGone => (OutcomeKind::Cancelled, RunEnd::Aborted),
            Failure::Deadline => (OutcomeKind::TimedOut, RunEnd::Overloaded),
            Failure::Broken => (OutcomeKind::Broken, RunEnd::Aborted),
        };
        self.slot.set_end(end);
        self.report_outcome(kind);
        match failure {
            Failure::Broken => {
                crash::record_broken_call(self.state, self.meta.fingerprint);
                let has_crashed = crash::detect_crash(self.state, self.upstream).await;
                if has_crashed {
                    warm_up::suspect(self.state, "crashed");
                }
                has_crashed
            }
            Failure::CallerGone | Failure::Deadline => false,
        }
    }

    fn report_outcome(&self, kind: OutcomeKind) {
        let now = self.state.now();
        let took = now.since(self.started);
        self.state.metrics.observe_run(kind, took);
        journal::log_failed_run(self.state, self.id.as_ref(), self.meta, kind, took);
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

/// Returns whether an answer is of the process that the call was sent to, so that the state which it
/// reports is that process's.
fn is_of_upstream(answer: &UpstreamAnswer) -> bool {
    match answer {
        // Another process has the address now.
        UpstreamAnswer::NotRun(RefusalReason::NoUpstream) => false,
        UpstreamAnswer::Foreign(_) => false,
        UpstreamAnswer::Ran
        | UpstreamAnswer::Shed
        | UpstreamAnswer::NotRun(_)
        | UpstreamAnswer::Invalid(_) => true,
    }
}

impl Drop for Run<'_> {
    fn drop(&mut self) {
        self.state.running.borrow_mut().remove(&self.slot.id());
    }
}
