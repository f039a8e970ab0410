//! What the upstream tells its node.

use super::answer::{respond, Answer};
use super::forward::own_answer;
use super::message::{Inbound, Message};
use super::metrics::UpstreamState;
use super::state::State;
use crate::edge::{Announcement, Process, UpstreamMessage};
use crate::hub::{AnnouncedUpstream, Dependency};
use http::StatusCode;
use slog::{info, warn};
use std::rc::Rc;
use std::time::Duration;
use sycamore_call::announce::{MessageOrder, ProcessRef};

/// Time without an announcement after which the upstream is taken for dead.
const SILENCE: Duration = Duration::from_secs(5);

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
    let heard = match state.edges.upstream.read(&msg.head, msg.prefix()) {
        Ok(UpstreamMessage::Announce(said)) => announced(state, said),
        Ok(UpstreamMessage::Leave(process)) => Ok(left(state, &process)),
        Err(err) => Err(err),
    };
    match heard {
        Ok(MessageOrder::Current | MessageOrder::Repeated) => {
            let in_flight = state.admission.borrow().load().running;
            respond(inbound, &state.edges.upstream.acknowledge(in_flight)).await
        }
        Ok(MessageOrder::Earlier) => {
            state.metrics.announcement("earlier");
            let detail = "a later start of the upstream is known";
            let answer = Answer::rejected(StatusCode::CONFLICT, "earlier", detail);
            own_answer(state, inbound, &answer).await
        }
        Err(err) => {
            state.metrics.announcement("malformed");
            warn!(state.hub.log, "announcement rejected"; "why" => &err);
            let answer = Answer::rejected(StatusCode::BAD_REQUEST, "malformed", err);
            own_answer(state, inbound, &answer).await
        }
    }
}

fn announced(state: &State, said: Announcement) -> Result<MessageOrder, String> {
    let own = &state.hub.settings.node.service;
    if let Some(other) = said.service.as_ref().filter(|service| *service != own) {
        return Err(format!("service {other} is not this node's, {own}"));
    }
    let process = process_ref(&said.process);
    let heard = state.announcements.borrow_mut().announced(process, said.sequence);
    if heard == MessageOrder::Current {
        state.metrics.announcement("taken");
        take(state, said);
    }
    Ok(heard)
}

fn take(state: &State, said: Announcement) {
    let now = state.now();
    state.heard.set(now);
    state.hub.dependencies.reached(&state.hub.log, now, Dependency::Upstream);
    let changed = state.hub.upstream.send_if_modified(|known| {
        let same = known.as_ref().filter(|known| {
            known.address == said.address
                && known.version == said.version
                && known.name == said.process.name
        });
        let warm_at = same.map_or(now + said.cold, |known| known.warm_at);
        let next = AnnouncedUpstream {
            name: said.process.name,
            version: said.version,
            address: said.address,
            slots: said.slots,
            connections: said.connections,
            warm_at,
            draining: said.draining,
        };
        let changed = known.as_ref() != Some(&next);
        *known = Some(next);
        changed
    });
    if let (true, Some(known)) = (changed, state.upstream()) {
        info!(state.hub.log, "upstream announced";
            "upstream" => known.name.as_deref().unwrap_or("-"),
            "version" => %known.version,
            "slots" => known.slots,
            "draining" => known.draining);
    }
}

fn left(state: &State, process: &Process) -> MessageOrder {
    let heard = state.announcements.borrow_mut().left(process_ref(process));
    if heard == MessageOrder::Current {
        drain(state);
        info!(state.hub.log, "upstream leaves"; "upstream" => process.name.as_deref().unwrap_or("-"));
    }
    heard
}

fn process_ref(process: &Process) -> ProcessRef<'_> {
    ProcessRef { name: process.name.as_deref(), started: process.started }
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
    let silent = state.now().since(state.heard.get());
    if silent >= SILENCE {
        let lost = state.hub.upstream.send_if_modified(|known| known.take().is_some());
        if lost {
            let why = format!("silent for {} ms", silent.as_millis());
            let hub = &state.hub;
            hub.dependencies.lost(&hub.log, state.now(), Dependency::Upstream, &why);
        }
    }
}

/// Tells metrics what the upstream is doing.
pub(super) fn count_state(state: &State) {
    state.metrics.upstream(match state.upstream() {
        None => UpstreamState::Absent,
        Some(upstream) if upstream.draining => UpstreamState::Leaving,
        Some(upstream) if state.now() < upstream.warm_at => UpstreamState::Cold,
        Some(_) => UpstreamState::Warm,
    });
}
