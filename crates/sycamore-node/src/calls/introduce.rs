//! Confirmation that the other members of the service have this node in their membership view.
//!
//! Membership spreads in seconds, after a mass restart in minutes. A member that doesn't have this
//! node in its view yet treats itself as the owner of keys that this node owns. So this node asks
//! each member of its service whether it is in that member's view, and until the member confirms
//! it, also asks it about every key.

use super::state::State;
use super::watch::members_of;
use bytes::Bytes;
use http::{HeaderName, HeaderValue, Request, Response};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use sycamore_call::key::Members;
use sycamore_http::{Client, ClientConfig, RequestHead};
use sycamore_types::headers;
use sycamore_types::prelude::*;

/// Path of the query by which a member asks whether it is in the receiver's view.
const KNOWN_PATH: &str = "/shift/known";
/// Value of the answer's [`headers::KEEP`] field if the sender is in view.
const IN_VIEW: &str = "known";
/// Time between two rounds of queries.
const QUERY_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum time to connect to a member, and to get its answer.
const QUERY_TIMEOUT: Duration = Duration::from_millis(300);

/// Members that confirmed that this node, in the incarnation `me`, is in their view.
#[derive(Debug, Default)]
pub(super) struct ViewConfirmations {
    me: Incarnation,
    members: Members,
}

/// Queries the members that have not confirmed this node yet, each interval, until the node stops.
pub(super) async fn run(state: Rc<State>) {
    loop {
        monoio::time::sleep(QUERY_INTERVAL).await;
        let Some(me) = own_incarnation(&state) else { continue };
        for (member, incarnation) in unconfirmed(&state) {
            if is_in_view_of(&state, &member, me).await {
                let mut confirmed_by = state.confirmed_by.borrow_mut();
                if confirmed_by.me == me {
                    confirmed_by.members.insert(member, incarnation);
                }
            }
        }
        update_ownership(&state);
    }
}

/// Passes the members that may not have this node in their view to the ownership of keys.
pub(super) fn update_ownership(state: &State) {
    let unconfirmed = unconfirmed(state);
    state.ownership.borrow_mut().set_unconfirmed(unconfirmed);
}

/// Returns the members of the service that have not confirmed that this node is in their view.
fn unconfirmed(state: &State) -> Members {
    let mut others = peers(state);
    let me = own_incarnation(state).unwrap_or_default();
    let mut confirmed_by = state.confirmed_by.borrow_mut();
    if confirmed_by.me != me {
        *confirmed_by = ViewConfirmations { me, members: Members::new() };
    }
    confirmed_by.members.retain(|member, incarnation| others.get(member) == Some(incarnation));
    others.retain(|member, _| !confirmed_by.members.contains_key(member));
    others
}

fn peers(state: &State) -> Members {
    let node = &state.hub.settings.node;
    let view = state.hub.members.borrow().clone();
    let mut peers = members_of(&view, &node.service, is_in_view);
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

async fn is_in_view_of(state: &State, member: &InstanceId, me: Incarnation) -> bool {
    let relay = state.hub.members.borrow().members.get(member).map(|m| m.endpoints.relay);
    match relay {
        None => false,
        Some(relay) => send_query(state, relay, me).await,
    }
}

async fn send_query(state: &State, relay: SocketAddr, me: Incarnation) -> bool {
    let node = &state.hub.settings.node;
    let target = format!("{KNOWN_PATH}?member={}&incarnation={}", node.instance, me.0);
    let req = Request::get(target)
        .header(headers::DEPLOYMENT, node.deployment.as_str())
        .body(Bytes::new());
    let Ok(req) = req else { return false };
    let config = ClientConfig {
        connect_time: QUERY_TIMEOUT,
        call_time: QUERY_TIMEOUT,
        ..ClientConfig::default()
    };
    let answer = Client::new(relay, config).send(req).await;
    answer.is_ok_and(|resp| resp.headers().get(headers::KEEP).is_some_and(|value| value == IN_VIEW))
}

/// Returns whether a request of another node asks if that node is in view.
pub(super) fn is_view_query(head: &RequestHead) -> bool {
    head.uri.path() == KNOWN_PATH && !head.headers.contains_key(headers::ROUTE)
}

/// Answers whether the querying member, in the incarnation it names, is in this node's view.
pub(super) fn answer_view_query(state: &State, head: &RequestHead) -> Response<Bytes> {
    let known = parse_view_query(head).is_some_and(|(member, incarnation)| {
        peers(state).get(&member).is_some_and(|seen| *seen == incarnation)
    });
    let mut resp = Response::new(Bytes::new());
    let value = HeaderValue::from_static(if known { IN_VIEW } else { "unknown" });
    resp.headers_mut().insert(HeaderName::from_static(headers::KEEP), value);
    resp
}

fn parse_view_query(head: &RequestHead) -> Option<(InstanceId, Incarnation)> {
    let rest = head.uri.query()?.strip_prefix("member=")?;
    let (member, incarnation) = rest.split_once("&incarnation=")?;
    Some((InstanceId::new(member).ok()?, Incarnation(incarnation.parse().ok()?)))
}
