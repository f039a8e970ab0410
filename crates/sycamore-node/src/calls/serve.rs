//! One connection: requests in turn, each answered before the next is read.

use super::announce;
use super::answer::{respond, Answer, RETRY_AFTER};
use super::beside;
use super::forward::{self, own_answer, Outgoing};
use super::introduce;
use super::keyed;
use super::listen::Side;
use super::memory::{Holding, Role};
use super::message::{Inbound, Message};
use super::meta::{self, CallMeta, Depth};
use super::pipeline;
use super::state::State;
use crate::edge::RequestWords;
use crate::hub::Phase;
use crate::tasks::Stop;
use http::{header, Method, StatusCode, Version};
use monoio::io::AsyncWriteRent;
use monoio::net::TcpStream;
use monoio::time::timeout;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use sycamore_call::quarantine::Verdict;
use sycamore_call::Criticality;
use sycamore_http::conn::ReadError;
use sycamore_http::HeadLimits;
use sycamore_types::headers;
use sycamore_types::prelude::*;

/// Longest time that a connection of another node stays idle.
const RELAY_IDLE_TIME: Duration = Duration::from_secs(60);
/// Bytes of the fields that nodes add to a head at most.
const RELAY_HEAD_BYTES: usize = 4 << 10;
/// Longest time to send the first part of a body.
const PREFIX_TIME: Duration = Duration::from_secs(10);
/// Bytes of a refused request that are read and dropped so that the answer arrives.
const LINGER_BYTES: usize = 8 << 20;
/// Longest time for that.
const LINGER_TIME: Duration = Duration::from_millis(500);

/// Serves the connection until the peer leaves, the request framing is lost, or `stop`.
pub(super) async fn connection(
    state: &Rc<State>,
    side: Side,
    stream: TcpStream,
    peer: SocketAddr,
    mut stop: Stop,
) {
    let mut inbound = Inbound::new(stream, side);
    if side == Side::Caller {
        return pipeline::connection(state, &mut inbound, peer, stop).await;
    }
    loop {
        let begun = stop.or(timeout(idle_time(state, side), inbound.reader.wait())).await;
        if !matches!(begun, Some(Ok(Ok(())))) {
            return;
        }
        let (limits, limit) = head_limits(state, side);
        let Ok(read) = timeout(limit, inbound.message(&limits)).await else { return };
        if alone(state, &mut inbound, read, peer).await.is_err() {
            return;
        }
        if inbound.closes {
            return linger(&mut inbound).await;
        }
    }
}

/// Longest time that a connection stays idle.
pub(super) fn idle_time(state: &State, side: Side) -> Duration {
    match side {
        Side::Relay => RELAY_IDLE_TIME,
        Side::Caller | Side::Upstream => state.hub.snapshot.borrow().callers.idle_time,
    }
}

/// Closing with unread bytes would reset the connection under the answer.
pub(super) async fn linger(inbound: &mut Inbound) {
    if inbound.writer.shutdown().await.is_ok() {
        let _ = timeout(LINGER_TIME, inbound.reader.discard(LINGER_BYTES)).await;
    }
}

/// Answers a request that has the connection to itself; an error means that the connection must be
/// closed at once.
pub(super) async fn alone(
    state: &Rc<State>,
    inbound: &mut Inbound,
    read: Result<Message, ReadError>,
    peer: SocketAddr,
) -> std::io::Result<()> {
    let _in_flight = state.hub.call_in_flight();
    if state.hub.phase() >= Phase::Draining && inbound.side == Side::Caller {
        // The caller moves on to another node.
        inbound.closes = true;
    }
    let mut msg = match read {
        Err(err) => {
            inbound.words = RequestWords::default();
            return reject(state, inbound, &err).await;
        }
        Ok(msg) => msg,
    };
    inbound.head_only = msg.head.method == Method::HEAD;
    inbound.words = state.edges.calls.words(&msg.head);
    match inbound.side {
        Side::Relay => relayed(state, inbound, &mut msg).await,
        Side::Upstream if state.edges.upstream.is_for_node(&msg.head) => {
            announce::serve(state, inbound, &mut msg).await
        }
        Side::Upstream | Side::Caller => called(state, inbound, msg, peer).await,
    }
}

/// Limits of a request's head and of the time to send it.
pub(super) fn head_limits(state: &State, side: Side) -> (HeadLimits, Duration) {
    let callers = &state.hub.snapshot.borrow().callers;
    let time = callers.head_time.unwrap_or(state.hub.settings.calls.head_timeout);
    let bytes = usize::try_from(callers.head_bytes).unwrap_or(usize::MAX);
    match side {
        // Nodes add fields of their own to what callers sent.
        Side::Relay => (HeadLimits { bytes: bytes + RELAY_HEAD_BYTES }, time),
        Side::Caller | Side::Upstream => (HeadLimits { bytes }, time),
    }
}

/// Answers a request that can't be read, and closes.
async fn reject(state: &State, inbound: &mut Inbound, err: &ReadError) -> std::io::Result<()> {
    let status = match err {
        ReadError::Head(err) => err.status(),
        ReadError::Body(_) => StatusCode::BAD_REQUEST,
        ReadError::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        ReadError::Closed | ReadError::Cut | ReadError::Io(_) => {
            return Err(std::io::ErrorKind::ConnectionAborted.into())
        }
    };
    inbound.closes = true;
    own_answer(state, inbound, &Answer::rejected(status, "malformed", err)).await
}

/// Serves a call of a caller, or of the upstream beside this node.
async fn called(
    state: &Rc<State>,
    inbound: &mut Inbound,
    mut msg: Message,
    peer: SocketAddr,
) -> std::io::Result<()> {
    let words = inbound.words.clone();
    let (meta, retry) = match begin(state, &mut msg, &words, peer, inbound.side) {
        Ok(identified) => identified,
        Err(answer) => {
            inbound.closes |= !msg.is_read();
            return own_answer(state, inbound, &answer).await;
        }
    };
    let _holding = match hold(state, &msg, Role::Relays) {
        Ok(holding) => holding,
        Err(answer) => {
            inbound.closes |= !msg.is_read();
            return own_answer(state, inbound, &answer).await;
        }
    };
    msg.proceed(inbound).await?;
    match timeout(PREFIX_TIME, msg.read_prefix(inbound)).await {
        Err(_) => return Err(std::io::ErrorKind::TimedOut.into()),
        Ok(Err(err)) => return reject(state, inbound, &err).await,
        Ok(Ok(())) => {}
    }
    let meta = match settle_identity(state, &msg, meta) {
        Ok(meta) => meta,
        Err(answer) => {
            inbound.closes |= !msg.is_read();
            return own_answer(state, inbound, &answer).await;
        }
    };
    let keyed = !meta.repeats && msg.head.headers.contains_key(headers::IDEMPOTENCY_KEY);
    let out = Outgoing { inbound, msg: &mut msg, meta, retry };
    let served = match keyed {
        true => keyed::forward(state, out).await,
        false => forward::forward(state, out).await,
    };
    inbound.closes |= !msg.is_read();
    served
}

/// Finds out what a request that was just read is, and whether it is to be served at all. The
/// identity of one with a body is settled once its first part is there.
pub(super) fn begin(
    state: &State,
    msg: &mut Message,
    words: &RequestWords,
    peer: SocketAddr,
    side: Side,
) -> Result<(CallMeta, RetryPolicy), Answer> {
    let depth = match side {
        Side::Upstream => Depth::read(&msg.head.headers),
        Side::Caller | Side::Relay => Depth::default(),
    };
    msg.strip_internal();
    let (meta, retry) = identify(state, msg, words, peer, depth)?;
    match msg.body_len() {
        Some(0) => settle_identity(state, msg, meta).map(|meta| (meta, retry)),
        _ => Ok((meta, retry)),
    }
}

/// Recognises a request across its repeats, and refuses one that crashes upstreams.
fn settle_identity(state: &State, msg: &Message, meta: CallMeta) -> Result<CallMeta, Answer> {
    let meta = CallMeta { fingerprint: fingerprint(msg, &meta.route), ..meta };
    match quarantined(state, &meta) {
        Some(answer) => Err(answer),
        None => Ok(meta),
    }
}

/// Takes memory for the body of `msg`, before any of it is read; a call without one needs none.
fn hold(state: &State, msg: &Message, role: Role) -> Result<Option<Holding>, Answer> {
    if msg.body_len() == Some(0) {
        return Ok(None);
    }
    let held = state.bodies.hold(role);
    held.map(Some).ok_or_else(|| Answer::refused(RefusalReason::Overloaded, RETRY_AFTER))
}

/// Finds the route and what travels with the call.
fn identify(
    state: &State,
    msg: &Message,
    words: &RequestWords,
    peer: SocketAddr,
    depth: Depth,
) -> Result<(CallMeta, RetryPolicy), Answer> {
    let host = host(msg)?;
    if state.hub.phase() == Phase::Starting {
        return Err(Answer::refused(RefusalReason::NotReady, RETRY_AFTER));
    }
    if depth.level >= state.hub.settings.calls.hop_limit {
        return Err(Answer::refused(RefusalReason::HopLimit, RETRY_AFTER));
    }
    let snapshot = state.hub.snapshot.borrow().clone();
    let path = msg.head.uri.path();
    let Some(route) = snapshot.route(host, path) else {
        return Err(Answer::rejected(StatusCode::NOT_FOUND, "no-route", "no route has this path"));
    };
    let name = route.service_for(state.draw());
    let Some(service) = snapshot.services.get(name) else {
        return Err(Answer::refused(RefusalReason::NotReady, RETRY_AFTER));
    };
    let most = service.limits.body_bytes.min(snapshot.callers.body_bytes);
    if msg.body_len().is_some_and(|len| len > most) {
        let status = StatusCode::PAYLOAD_TOO_LARGE;
        return Err(Answer::rejected(status, "body-too-large", "the body is over the limit"));
    }
    let time = words.timeout.map_or(route.timeout, |time| time.min(longest(route)));
    let waited = words.timeout.map_or(Duration::ZERO, |time| state.waited(&route.name, time));
    let now = state.now();
    let meta = CallMeta {
        call: state.new_call(),
        service: name.clone(),
        route: route.name.clone(),
        fingerprint: Fingerprint(0),
        caller: caller_hash(words, peer),
        class: route.policy.rank.map_or(words.class, Criticality::from_rank),
        depth: Depth { level: depth.level + 1, ..depth },
        deadline: now + time,
        began: now,
        unread: state.unread.borrow().max_socket_wait(now),
        objective: route.policy.objective.map(|time| now + time.saturating_sub(waited)),
        origin: state.hub.settings.node.service.clone(),
        repeats: match route.policy.repeat {
            Repeat::ByMethod => msg.head.method.is_idempotent(),
            Repeat::Always => true,
            Repeat::Never => false,
        },
    };
    let attempts = route.policy.attempts.unwrap_or(service.retry.attempts);
    Ok((meta, RetryPolicy { attempts, ..service.retry.clone() }))
}

/// The host that a request names: exactly one (RFC 9112, section 3.2).
pub(super) fn host(msg: &Message) -> Result<&str, Answer> {
    let malformed = |detail| Answer::rejected(StatusCode::BAD_REQUEST, "malformed", detail);
    let mut hosts = msg.head.headers.get_all(header::HOST).iter();
    match (hosts.next(), hosts.next()) {
        (Some(host), None) => host.to_str().map_err(|_| malformed("the host is not ASCII")),
        (None, _) if msg.head.version == Version::HTTP_10 => Ok(""),
        (None, _) => Err(malformed("the request names no host")),
        (Some(_), Some(_)) => Err(malformed("the request names more than one host")),
    }
}

/// Longest time that a call of `route` may take. A route that names no policy leaves it to callers.
fn longest(route: &Route) -> Duration {
    match route.policy == RoutePolicy::default() {
        true => Duration::MAX,
        false => route.timeout,
    }
}

/// Callers are told apart by the name that they give, or else by address.
fn caller_hash(words: &RequestWords, peer: SocketAddr) -> u64 {
    let hash = match &words.caller {
        Some(name) => ContentHash::of(name.as_bytes()),
        None => ContentHash::of(peer.ip().to_string().as_bytes()),
    };
    first_bytes(&hash)
}

/// What identifies a request across its repeats: route, method, target and the body's first part.
fn fingerprint(msg: &Message, route: &RouteName) -> Fingerprint {
    let target = msg.head.uri.path_and_query().map_or("/", |target| target.as_str());
    let mut text = format!("{route}\n{}\n{target}\n", msg.head.method).into_bytes();
    text.extend_from_slice(msg.prefix());
    Fingerprint(first_bytes(&ContentHash::of(&text)))
}

fn first_bytes(hash: &ContentHash) -> u64 {
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&hash.0[..8]);
    u64::from_be_bytes(bytes)
}

fn quarantined(state: &State, meta: &CallMeta) -> Option<Answer> {
    let now = state.hub.clock.wall();
    match state.crashes.borrow().verdict(now, meta.fingerprint) {
        Verdict::Quarantined(until) => {
            Some(Answer::refused(RefusalReason::Quarantined, until.since(now)))
        }
        Verdict::Suspect | Verdict::Clear => None,
    }
}

/// Serves a call that another node relayed.
async fn relayed(
    state: &Rc<State>,
    inbound: &mut Inbound,
    msg: &mut Message,
) -> std::io::Result<()> {
    let deployment = state.hub.settings.node.deployment.as_str();
    if meta::text(&msg.head.headers, headers::DEPLOYMENT) != Some(deployment) {
        inbound.closes = true;
        let status = StatusCode::FORBIDDEN;
        let answer = Answer::rejected(status, "deployment", "another deployment's call");
        return own_answer(state, inbound, &answer).await;
    }
    if introduce::is_question(&msg.head) {
        return respond(inbound, &introduce::answer(state, &msg.head)).await;
    }
    if keyed::is_release(&msg.head) {
        return respond(inbound, &keyed::release(state, &msg.head)).await;
    }
    let now = state.now();
    let unread = state.unread.borrow().max_socket_wait(now);
    let Some((meta, target)) = CallMeta::read(now, unread, &msg.head.headers) else {
        inbound.closes = true;
        let answer = Answer::rejected(StatusCode::BAD_REQUEST, "malformed", "no call of a node");
        return own_answer(state, inbound, &answer).await;
    };
    let role = if target.is_some() { Role::Runs } else { Role::Relays };
    let _holding = match hold(state, msg, role) {
        Ok(holding) => holding,
        Err(answer) => return beside::refuse(state, inbound, msg, answer).await,
    };
    if !msg.waits() {
        match timeout(PREFIX_TIME, msg.read_prefix(inbound)).await {
            Err(_) => return Err(std::io::ErrorKind::TimedOut.into()),
            Ok(Err(err)) => return reject(state, inbound, &err).await,
            Ok(Ok(())) => {}
        }
    }
    let served = match target {
        Some(target) => beside::serve(state, inbound, msg, &meta, &target).await,
        None => keyed::keep(state, inbound, msg, meta).await,
    };
    inbound.closes |= !msg.is_read() && !msg.waits();
    served
}
