//! What the upstream tells its node.

use super::answer::{respond, Answer};
use super::forward::own_answer;
use super::message::{Inbound, Message};
use super::state::State;
use crate::hub::AnnouncedUpstream;
use bytes::Bytes;
use http::{Method, Response, StatusCode};
use serde::Deserialize;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use sycamore_http::RequestHead;
use sycamore_types::prelude::*;

/// Path of the announcement.
const ANNOUNCE: &str = "/shift/announce";
/// Path of the drain.
const DRAIN: &str = "/shift/drain";
/// Time without an announcement after which the upstream is taken for dead.
const SILENCE: Duration = Duration::from_secs(5);

/// The body of an announcement.
#[derive(Debug, Deserialize)]
struct Announcement {
    version: UpstreamVersion,
    address: SocketAddr,
    slots: u16,
    connections: u16,
    #[serde(default)]
    cold_ms: u64,
}

/// Whether a request of the upstream is meant for the node itself.
pub(super) fn is_for(head: &RequestHead) -> bool {
    head.method == Method::POST && matches!(head.uri.path(), ANNOUNCE | DRAIN)
}

/// Serves an announcement or a drain.
pub(super) async fn serve(
    state: &Rc<State>,
    inbound: &mut Inbound,
    msg: &mut Message,
) -> std::io::Result<()> {
    msg.proceed(inbound).await?;
    if msg.read_prefix(inbound).await.is_err() || !msg.is_whole() {
        return Err(std::io::ErrorKind::InvalidData.into());
    }
    if msg.head.uri.path() == DRAIN {
        drain(state);
    } else if let Err(err) = announced(state, msg.prefix()) {
        let answer = Answer::rejected(StatusCode::BAD_REQUEST, "malformed", err);
        return own_answer(state, inbound, &answer).await;
    }
    let in_flight = state.admission.borrow().load().running;
    let body = serde_json::json!({ "in_flight": in_flight }).to_string();
    respond(inbound, &Response::new(Bytes::from(body))).await
}

fn announced(state: &State, body: &[u8]) -> serde_json::Result<()> {
    let said: Announcement = serde_json::from_slice(body)?;
    let now = state.now();
    state.heard.set(now);
    state.hub.upstream.send_if_modified(|known| {
        let same = known
            .as_ref()
            .filter(|known| known.address == said.address && known.version == said.version);
        let warm_at = same.map_or(now + Duration::from_millis(said.cold_ms), |known| known.warm_at);
        let next = AnnouncedUpstream {
            version: said.version,
            address: said.address,
            slots: said.slots,
            connections: said.connections,
            warm_at,
            draining: false,
        };
        let changed = known.as_ref() != Some(&next);
        *known = Some(next);
        changed
    });
    Ok(())
}

fn drain(state: &State) {
    state.hub.upstream.send_if_modified(|known| match known {
        Some(upstream) if !upstream.draining => {
            upstream.draining = true;
            true
        }
        _ => false,
    });
}

/// Takes the upstream for dead where it has been silent too long.
pub(super) fn check_silence(state: &State) {
    if state.now().since(state.heard.get()) >= SILENCE {
        state.hub.upstream.send_if_modified(|known| known.take().is_some());
    }
}
