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
use super::state::State;
use crate::hub::Phase;
use crate::tasks::Stop;
use http::StatusCode;
use monoio::io::AsyncWriteRent;
use monoio::net::TcpStream;
use monoio::time::timeout;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use sycamore_call::quarantine::Verdict;
use sycamore_http::conn::ReadError;
use sycamore_types::headers;
use sycamore_types::prelude::*;

/// Longest time that a connection stays idle.
const IDLE_TIME: Duration = Duration::from_secs(60);
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
    let mut inbound = Inbound::new(stream);
    loop {
        let begun = stop.or(timeout(IDLE_TIME, inbound.reader.wait())).await;
        if !matches!(begun, Some(Ok(Ok(())))) {
            return;
        }
        let _in_flight = state.hub.call_in_flight();
        if serve_one(state, side, &mut inbound, peer).await.is_err() {
            return;
        }
        if inbound.closes {
            return linger(&mut inbound).await;
        }
    }
}

/// Closing with unread bytes would reset the connection under the answer.
async fn linger(inbound: &mut Inbound) {
    if inbound.writer.shutdown().await.is_ok() {
        let _ = timeout(LINGER_TIME, inbound.reader.discard(LINGER_BYTES)).await;
    }
}

/// Reads a request and answers it; an error means that the connection must be closed at once.
async fn serve_one(
    state: &Rc<State>,
    side: Side,
    inbound: &mut Inbound,
    peer: SocketAddr,
) -> std::io::Result<()> {
    if state.hub.phase() >= Phase::Draining && side == Side::Caller {
        // The caller moves on to another node.
        inbound.closes = true;
    }
    let limit = state.hub.settings.calls.head_timeout;
    let mut msg = match timeout(limit, inbound.message()).await {
        Err(_) => return Err(std::io::ErrorKind::TimedOut.into()),
        Ok(Err(err)) => return reject(state, inbound, &err).await,
        Ok(Ok(msg)) => msg,
    };
    match side {
        Side::Relay => relayed(state, inbound, &mut msg).await,
        Side::Upstream if announce::is_for(&msg.head) => {
            announce::serve(state, inbound, &mut msg).await
        }
        Side::Upstream => {
            let depth = Depth::read(&msg.head.headers);
            called(state, inbound, msg, peer, depth).await
        }
        Side::Caller => called(state, inbound, msg, peer, Depth::default()).await,
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
    depth: Depth,
) -> std::io::Result<()> {
    msg.strip_internal();
    let (meta, service) = match identify(state, &msg, peer, depth) {
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
    let meta = CallMeta { fingerprint: fingerprint(&msg, &meta.route), ..meta };
    if let Some(answer) = quarantined(state, &meta) {
        inbound.closes |= !msg.is_read();
        return own_answer(state, inbound, &answer).await;
    }
    let keyed = !super::exchange::is_idempotent(&msg.head.method)
        && msg.head.headers.contains_key(headers::IDEMPOTENCY_KEY);
    let out = Outgoing { inbound, msg: &mut msg, meta, retry: service.retry };
    let served = match keyed {
        true => keyed::forward(state, out).await,
        false => forward::forward(state, out).await,
    };
    inbound.closes |= !msg.is_read();
    served
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
    peer: SocketAddr,
    depth: Depth,
) -> Result<(CallMeta, Service), Answer> {
    if state.hub.phase() == Phase::Starting {
        return Err(Answer::refused(RefusalReason::NotReady, RETRY_AFTER));
    }
    if depth.level >= state.hub.settings.calls.hop_limit {
        return Err(Answer::refused(RefusalReason::HopLimit, RETRY_AFTER));
    }
    let snapshot = state.hub.snapshot.borrow().clone();
    let path = msg.head.uri.path();
    let Some(route) = snapshot.route(path) else {
        return Err(Answer::rejected(StatusCode::NOT_FOUND, "no-route", "no route has this path"));
    };
    let Some(service) = snapshot.services.get(&route.service) else {
        return Err(Answer::refused(RefusalReason::NotReady, RETRY_AFTER));
    };
    if msg.body_len().is_some_and(|len| len > service.limits.body_bytes) {
        let status = StatusCode::PAYLOAD_TOO_LARGE;
        return Err(Answer::rejected(status, "body-too-large", "the body is over the limit"));
    }
    let fields = &msg.head.headers;
    let time = meta::timeout(fields).unwrap_or(route.timeout);
    let meta = CallMeta {
        call: state.new_call(),
        service: route.service.clone(),
        route: route.name.clone(),
        fingerprint: Fingerprint(0),
        caller: caller_hash(fields, peer),
        class: meta::class(fields),
        depth: Depth { level: depth.level + 1, ..depth },
        deadline: state.now() + time,
    };
    Ok((meta, service.clone()))
}

/// Callers are told apart by the name that they give, or else by address.
fn caller_hash(fields: &http::HeaderMap, peer: SocketAddr) -> u64 {
    let hash = match fields.get(headers::CALLER) {
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
    let Some((meta, target)) = CallMeta::read(state.now(), &msg.head.headers) else {
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
