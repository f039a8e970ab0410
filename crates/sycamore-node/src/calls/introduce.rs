//! Making this node known to the other members of its service.
//!
//! Membership spreads in seconds, after a herd in minutes. A member that has not heard of this node
//! yet takes itself for the owner of keys that this node owns. So this node asks each member of its
//! service whether it is in that member's view, and until then asks it about every key.

use super::state::State;
use super::watch::in_service;
use bytes::Bytes;
use http::{HeaderName, HeaderValue, Request, Response};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use sycamore_call::key::Members;
use sycamore_http::{Client, ClientConfig, RequestHead};
use sycamore_types::headers;
use sycamore_types::prelude::*;

/// Path by which a member asks whether it is in view.
const KNOWN: &str = "/shift/known";
/// What the answer says where it is.
const YES: &str = "known";
/// Time between two rounds of questions.
const INTERVAL: Duration = Duration::from_millis(250);
/// Longest time that a member may take to answer.
const ANSWER_TIME: Duration = Duration::from_millis(300);

/// The members that have this node in view, and the generation of this node that they have.
#[derive(Debug, Default)]
pub(super) struct KnownBy {
    me: Incarnation,
    members: Members,
}

/// Asks members until all have this node in view.
pub(super) async fn run(state: Rc<State>) {
    loop {
        monoio::time::sleep(INTERVAL).await;
        let Some(me) = own_incarnation(&state) else { continue };
        for (member, incarnation) in unsure(&state) {
            if ask(&state, &member, me).await {
                let mut known_by = state.known_by.borrow_mut();
                if known_by.me == me {
                    known_by.members.insert(member, incarnation);
                }
            }
        }
        update(&state);
    }
}

/// Tells the ownership of keys which members may not know this node.
pub(super) fn update(state: &State) {
    let unsure = unsure(state);
    state.ownership.borrow_mut().set_unconfirmed(unsure);
}

/// Members of the service that have not confirmed that they have this node in view.
fn unsure(state: &State) -> Members {
    let mut others = peers(state);
    let me = own_incarnation(state).unwrap_or_default();
    let mut known_by = state.known_by.borrow_mut();
    if known_by.me != me {
        *known_by = KnownBy { me, members: Members::new() };
    }
    known_by.members.retain(|member, incarnation| others.get(member) == Some(incarnation));
    others.retain(|member, _| !known_by.members.contains_key(member));
    others
}

fn peers(state: &State) -> Members {
    let node = &state.hub.settings.node;
    let view = state.hub.members.borrow().clone();
    let mut peers = in_service(&view, &node.service, is_in_view);
    peers.remove(&node.instance);
    peers
}

fn is_in_view(state: MemberState) -> bool {
    matches!(state, MemberState::Serving | MemberState::Suspect)
}

fn own_incarnation(state: &State) -> Option<Incarnation> {
    let view = state.hub.members.borrow();
    view.members.get(&state.hub.settings.node.instance).map(|me| me.incarnation)
}

async fn ask(state: &State, member: &InstanceId, me: Incarnation) -> bool {
    let relay = state.hub.members.borrow().members.get(member).map(|m| m.endpoints.relay);
    match relay {
        None => false,
        Some(relay) => confirmed(state, relay, me).await,
    }
}

async fn confirmed(state: &State, relay: SocketAddr, me: Incarnation) -> bool {
    let node = &state.hub.settings.node;
    let target = format!("{KNOWN}?member={}&incarnation={}", node.instance, me.0);
    let req = Request::get(target)
        .header(headers::DEPLOYMENT, node.deployment.as_str())
        .body(Bytes::new());
    let Ok(req) = req else { return false };
    let config = ClientConfig {
        connect_time: ANSWER_TIME,
        call_time: ANSWER_TIME,
        ..ClientConfig::default()
    };
    let answer = Client::new(relay, config).send(req).await;
    answer.is_ok_and(|resp| resp.headers().get(headers::KEEP).is_some_and(|said| said == YES))
}

/// Whether a request of another node asks if it is in view.
pub(super) fn is_question(head: &RequestHead) -> bool {
    head.uri.path() == KNOWN && !head.headers.contains_key(headers::ROUTE)
}

/// Answers whether the asking member is in this node's view.
pub(super) fn answer(state: &State, head: &RequestHead) -> Response<Bytes> {
    let known = asked(head).is_some_and(|(member, incarnation)| {
        peers(state).get(&member).is_some_and(|seen| *seen == incarnation)
    });
    let mut resp = Response::new(Bytes::new());
    let said = HeaderValue::from_static(if known { YES } else { "unknown" });
    resp.headers_mut().insert(HeaderName::from_static(headers::KEEP), said);
    resp
}

fn asked(head: &RequestHead) -> Option<(InstanceId, Incarnation)> {
    let rest = head.uri.query()?.strip_prefix("member=")?;
    let (member, incarnation) = rest.split_once("&incarnation=")?;
    Some((InstanceId::new(member).ok()?, Incarnation(incarnation.parse().ok()?)))
}
