//! Calls with an idempotency key: the node that owns the key records the run and its answer, while
//! the call itself runs on any upstream.

use super::answer::{respond, Answer, Outcome, DEFAULT_RETRY_AFTER};
use super::exchange::{read_whole_body, relay_answer, send, Failure, Relayed};
use super::forward::{self, send_own_answer, Forwarded, Outgoing, Reply};
use super::message::{strip_internal, Inbound, Message};
use super::meta::{text, CallMeta};
use super::report;
use super::state::{State, StoredAnswer};
use super::watch::members_of;
use bytes::Bytes;
use http::{HeaderName, HeaderValue, Request, Response, StatusCode};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use sycamore_call::key::{owner_of, KeyEnd, Released};
use sycamore_call::{KeyDecision, KeyHash, OwnershipStatus};
use sycamore_http::{Client, ClientConfig, Framing, RequestHead};
use sycamore_types::headers;
use sycamore_types::prelude::*;

/// Path of the request by which a key's new owner asks an earlier owner to release the key.
const RELEASE_PATH: &str = "/shift/release";
/// Path of the request by which a key's owner asks a member to release the key that may treat
/// itself as the owner.
const RELEASE_OWN_PATH: &str = "/shift/release-own";
/// Maximum time to connect to a member for a release request, and to get its answer.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum length of an idempotency key in bytes.
const MAX_KEY_BYTES: usize = 256;

type Stored = Rc<StoredAnswer>;

/// Runs a keyed call if this node owns its key, or relays it to the node that does.
pub(super) async fn forward(state: &Rc<State>, out: Outgoing<'_>) -> std::io::Result<()> {
    let Some(key) = key_of(&out.msg.head, &out.meta.service) else {
        let detail = "the idempotency key is empty or over 256 bytes";
        let answer = Answer::rejected(StatusCode::BAD_REQUEST, "malformed", detail);
        return send_own_answer(state, out.inbound, &answer).await;
    };
    let view = state.hub.members.borrow().clone();
    let serving = members_of(&view, &out.meta.service, |state| {
        matches!(state, MemberState::Serving | MemberState::Suspect)
    });
    let owner = owner_of(&serving, key).and_then(|owner| view.members.get(owner));
    match owner {
        None => {
            let answer = Answer::refused(RefusalReason::NoUpstream, DEFAULT_RETRY_AFTER);
            send_own_answer(state, out.inbound, &answer).await
        }
        Some(owner) if owner.instance == state.hub.settings.node.instance => {
            run_as_owner(state, out, key).await
        }
        Some(owner) => relay_to_owner(state, out, owner.endpoints.relay).await,
    }
}

/// Serves a keyed call that another node relayed to this one as the key's owner.
pub(super) async fn serve_relayed(
    state: &Rc<State>,
    inbound: &mut Inbound,
    msg: &mut Message,
    meta: CallMeta,
) -> std::io::Result<()> {
    let snapshot = state.hub.snapshot.borrow().clone();
    let service = snapshot.services.get(&meta.service);
    let retry = service.map_or_else(RetryPolicy::default, |service| service.retry.clone());
    strip_internal(&mut msg.head.headers);
    let key = key_of(&msg.head, &meta.service);
    let own = meta.service == state.hub.settings.node.service;
    match key.filter(|_| own) {
        Some(key) => run_as_owner(state, Outgoing { inbound, msg, meta, retry }, key).await,
        None => {
            let answer = Answer::refused(RefusalReason::NotReady, DEFAULT_RETRY_AFTER);
            send_own_answer(state, inbound, &answer).await
        }
    }
}

fn key_of(head: &RequestHead, service: &ServiceName) -> Option<KeyHash> {
    let key = head.headers.get(headers::IDEMPOTENCY_KEY)?.as_bytes();
    let fits = !key.is_empty() && key.len() <= MAX_KEY_BYTES;
    fits.then(|| KeyHash::of(service, key))
}

/// Relays a call to the owner of its key, in one attempt only: after a lost answer the call may
/// have run.
async fn relay_to_owner(
    state: &Rc<State>,
    out: Outgoing<'_>,
    owner: SocketAddr,
) -> std::io::Result<()> {
    let Ok(mut stream) = state.relays.connect(owner).await else {
        let answer = Answer::refused(RefusalReason::NoUpstream, DEFAULT_RETRY_AFTER);
        return send_own_answer(state, out.inbound, &answer).await;
    };
    let mut head = out.msg.head.clone();
    let deployment = &state.hub.settings.node.deployment;
    out.meta.write(state.now(), deployment, None, 1, &mut head.headers);
    let left = out.meta.left(state.now());
    let answered = match send(Some(&mut *out.inbound), out.msg, &mut stream, head, true, left).await
    {
        Ok(answered) => answered,
        Err(Failure::CallerGone) => return Err(std::io::ErrorKind::ConnectionAborted.into()),
        Err(_) => {
            let answer = Answer::unknown(
                StatusCode::BAD_GATEWAY,
                "broken",
                "the key's owner gave no answer",
            );
            return send_own_answer(state, out.inbound, &answer).await;
        }
    };
    let left = out.meta.left(state.now());
    report::learn_report_of(state, &answered.head.headers);
    let edit = |head: &mut sycamore_http::ResponseHead| strip_internal(&mut head.headers);
    match relay_answer(out.inbound, &mut stream, answered, left, edit).await {
        Relayed::Failed(_) => Err(std::io::ErrorKind::ConnectionAborted.into()),
        Relayed::Whole => Ok(()),
        Relayed::Reusable => {
            state.relays.put(owner, stream);
            Ok(())
        }
    }
}

/// Runs a call whose key this node owns, or answers it by what is known of an earlier run.
async fn run_as_owner(state: &Rc<State>, out: Outgoing<'_>, key: KeyHash) -> std::io::Result<()> {
    let known = match claim(state, key, &out.meta).await {
        Ok(claim) => return run(state, out, claim).await,
        Err(known) => known,
    };
    let answer = match known {
        KeyDecision::Replay(stored) => {
            return respond(out.inbound, &stored.to_response()).await;
        }
        KeyDecision::InProgress => Answer::refused(RefusalReason::InProgress, DEFAULT_RETRY_AFTER),
        KeyDecision::Full => Answer::refused(RefusalReason::Overloaded, DEFAULT_RETRY_AFTER),
        KeyDecision::Run | KeyDecision::Unknown => Answer::unknown(
            StatusCode::BAD_GATEWAY,
            "key-unknown",
            "a call with this idempotency key may have run; its answer is not known",
        ),
        KeyDecision::Mismatch => Answer::rejected(
            StatusCode::UNPROCESSABLE_ENTITY,
            "key-reused",
            "the idempotency key was used for another request",
        ),
    };
    send_own_answer(state, out.inbound, &answer).await
}

/// Claims `key` for a run.
///
/// # Errors
/// Returns what is known of an earlier run, or [`KeyDecision::Unknown`] if there may have been one.
async fn claim<'a>(
    state: &'a Rc<State>,
    key: KeyHash,
    meta: &CallMeta,
) -> Result<Claim<'a>, KeyDecision<Stored>> {
    let (now, request) = (state.now(), meta.fingerprint.0);
    if let Some(known) = state.keys.borrow().peek(now, key, request) {
        return Err(known);
    }
    if meta.max_age(now) > state.hub.settings.calls.key_memory / 2 {
        // The record of an earlier run may have expired already.
        return Err(KeyDecision::Unknown);
    }
    let status = state.ownership.borrow().status(now, key);
    let earlier = match status {
        OwnershipStatus::Owner => Vec::new(),
        OwnershipStatus::OwnerAfter(earlier) => earlier,
        // By its own view this node is not the owner: another member may be running the call.
        OwnershipStatus::InDoubt | OwnershipStatus::Other(_) | OwnershipStatus::Nobody => {
            return Err(KeyDecision::Unknown);
        }
    };
    let decision = state.keys.borrow_mut().begin(now, key, request);
    if !matches!(decision, KeyDecision::Run) {
        return Err(decision);
    }
    let mut claim = Claim { state, key, end: KeyEnd::Unknown };
    // An earlier owner answers for its own runs as well, so it is asked only once.
    let unsure: Vec<InstanceId> = {
        let ownership = state.ownership.borrow();
        ownership.unconfirmed().filter(|member| !earlier.contains(member)).cloned().collect()
    };
    let earlier = earlier.into_iter().map(|owner| (owner, Scope::All));
    for (member, scope) in earlier.chain(unsure.into_iter().map(|member| (member, Scope::Own))) {
        match request_release(state, &member, key, scope).await {
            Released::NotRun => {}
            Released::Unknown => return Err(KeyDecision::Unknown),
            Released::Answered(stored) => {
                claim.end = KeyEnd::Answered(stored.clone(), stored.body.len());
                return Err(KeyDecision::Replay(stored));
            }
        }
    }
    Ok(claim)
}

/// Scope of a release request: the runs that the asked member answers for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Scope {
    /// Runs of the key anywhere, for a member that was the key's owner.
    All,
    /// Runs of the key by the member itself, which may treat itself as the owner.
    Own,
}

/// Claim of a key whose call runs. Dropping it records the end, [`KeyEnd::Unknown`] unless one was
/// set.
struct Claim<'a> {
    state: &'a State,
    key: KeyHash,
    end: KeyEnd<Stored>,
}

impl Drop for Claim<'_> {
    fn drop(&mut self) {
        let end = std::mem::replace(&mut self.end, KeyEnd::Unknown);
        self.state.keys.borrow_mut().finish(self.state.now(), self.key, end);
    }
}

async fn run(
    state: &Rc<State>,
    mut out: Outgoing<'_>,
    mut claim: Claim<'_>,
) -> std::io::Result<()> {
    out.msg.send_continue(out.inbound).await?;
    if !out.msg.is_body_buffered() && out.msg.read_prefix(out.inbound).await.is_err() {
        claim.end = KeyEnd::NotRun;
        return Err(std::io::ErrorKind::InvalidData.into());
    }
    match out.run_attempts(state).await {
        Forwarded::CallerGone => Err(std::io::ErrorKind::ConnectionAborted.into()),
        Forwarded::Own(answer) => {
            if answer.outcome == Outcome::NotRun {
                claim.end = KeyEnd::NotRun;
            }
            drop(claim);
            send_own_answer(state, out.inbound, &answer).await
        }
        Forwarded::Answered(reply) => finish(state, out, *reply, claim).await,
    }
}

/// Records an answer and sends it to the caller; an answer of unknown length, or one too long to be
/// recorded, is relayed only.
async fn finish(
    state: &Rc<State>,
    out: Outgoing<'_>,
    mut reply: Reply,
    mut claim: Claim<'_>,
) -> std::io::Result<()> {
    let limit = state.keys.borrow().answer_bytes();
    let is_recordable = match reply.answered.framing {
        Framing::Empty => true,
        Framing::Length(len) => len <= limit as u64,
        Framing::Chunked | Framing::UntilClose => false,
    };
    if !is_recordable {
        claim.end = KeyEnd::AnswerLost;
        return forward::relay_reply(state, out.inbound, &out.meta, reply).await;
    }
    let left = out.meta.left(state.now());
    let Ok(body) = read_whole_body(&mut reply.stream, &reply.answered, limit, left).await else {
        reply.record_failure(state);
        drop(claim);
        let answer =
            Answer::unknown(StatusCode::BAD_GATEWAY, "broken", "the upstream's answer ended early");
        return send_own_answer(state, out.inbound, &answer).await;
    };
    let mut head = reply.answered.head.clone();
    sycamore_http::wire::strip_hop_by_hop(&mut head.headers);
    strip_internal(&mut head.headers);
    let instance = reply.instance.clone();
    reply.record_success(state);
    let stored = Rc::new(StoredAnswer { head, body });
    claim.end = KeyEnd::Answered(stored.clone(), stored.body.len());
    drop(claim);
    let mut resp = stored.to_response();
    report::write_report_of(state, &instance, resp.headers_mut());
    respond(out.inbound, &resp).await
}

impl StoredAnswer {
    fn to_response(&self) -> Response<Bytes> {
        Response::from_parts(self.head.clone(), self.body.clone())
    }
}

/// Asks `member`, an earlier owner of `key` or one that may treat itself as the owner, to release
/// `key` and to return what it knows of an earlier run.
async fn request_release(
    state: &State,
    member: &InstanceId,
    key: KeyHash,
    scope: Scope,
) -> Released<Stored> {
    let relay = state.hub.members.borrow().members.get(member).map(|m| m.endpoints.relay);
    let Some(relay) = relay else { return Released::Unknown };
    let node = &state.hub.settings.node;
    let me = state.hub.members.borrow().members.get(&node.instance).map(|m| m.incarnation);
    let Some(Incarnation(me)) = me else { return Released::Unknown };
    let path = if scope == Scope::All { RELEASE_PATH } else { RELEASE_OWN_PATH };
    let target = format!("{path}?key={:032x}&asker={}&incarnation={me}", key.0, node.instance);
    let req = Request::get(target)
        .header(headers::DEPLOYMENT, node.deployment.as_str())
        .body(Bytes::new());
    let Ok(req) = req else { return Released::Unknown };
    let config = ClientConfig {
        connect_time: RELEASE_TIMEOUT,
        call_time: RELEASE_TIMEOUT,
        ..ClientConfig::default()
    };
    let Ok(resp) = Client::new(relay, config).send(req).await else { return Released::Unknown };
    let (mut head, body) = resp.into_parts();
    match text(&head.headers, headers::KEEP) {
        Some("not-run") => Released::NotRun,
        Some("answered") => {
            strip_internal(&mut head.headers);
            Released::Answered(Rc::new(StoredAnswer { head, body }))
        }
        _ => Released::Unknown,
    }
}

/// Returns whether a request of another node asks for the release of a key.
pub(super) fn is_release(head: &RequestHead) -> bool {
    matches!(head.uri.path(), RELEASE_PATH | RELEASE_OWN_PATH)
        && !head.headers.contains_key(headers::ROUTE)
}

/// Releases a key that another node owns now, and answers with what is known of an earlier run.
pub(super) fn release(state: &State, head: &RequestHead) -> Response<Bytes> {
    let mut resp = Response::new(Bytes::new());
    let released = match parse_release(head) {
        None => Released::Unknown,
        Some((key, asker, incarnation)) => {
            let now = state.now();
            let asker = (&asker, incarnation);
            let own_runs_only = head.uri.path() == RELEASE_OWN_PATH;
            let is_certain = own_runs_only || state.ownership.borrow().knows_all(now, key, asker);
            match state.keys.borrow_mut().release(now, key) {
                Released::NotRun if !is_certain => Released::Unknown,
                released => released,
            }
        }
    };
    let value = match released {
        Released::NotRun => "not-run",
        Released::Unknown => "unknown",
        Released::Answered(stored) => {
            resp = stored.to_response();
            "answered"
        }
    };
    let name = HeaderName::from_static(headers::KEEP);
    resp.headers_mut().insert(name, HeaderValue::from_static(value));
    resp
}

fn parse_release(head: &RequestHead) -> Option<(KeyHash, InstanceId, Incarnation)> {
    let (key, rest) = head.uri.query()?.strip_prefix("key=")?.split_once("&asker=")?;
    let (asker, incarnation) = rest.split_once("&incarnation=")?;
    let key = u128::from_str_radix(key, 16).ok()?;
    Some((KeyHash(key), InstanceId::new(asker).ok()?, Incarnation(incarnation.parse().ok()?)))
}
