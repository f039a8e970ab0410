//! Handling of the upstream's announcements and drain requests, and of their absence.

use super::answer::{respond, Answer, DEFAULT_RETRY_AFTER};
use super::forward::send_own_answer;
use super::message::{Inbound, Message};
use super::meta::first_bytes;
use super::metrics::UpstreamState;
use super::state::State;
use super::warm_up;
use crate::edge::{Announcement, Process, UpstreamMessage};
use crate::hub::{AnnouncedUpstream, Dependency};
use http::StatusCode;
use slog::{info, warn};
use std::rc::Rc;
use std::time::Duration;
use sycamore_call::announce::{MessageOrder, ProcessRef};
use sycamore_types::prelude::*;

/// Maximum time that the answer to a leave waits for it to be stored: upstreams wait for an answer no
/// longer than a second.
const MAX_STORE_TIME: Duration = Duration::from_millis(500);
/// Maximum time from the start of the node for which messages wait until the node has read its own row.
const MAX_ROW_TIME: Duration = Duration::from_millis(500);
/// Maximum time by which the start of an upstream process may lie ahead of the node's clock.
const MAX_START_AHEAD: Duration = Duration::from_secs(3_600);
/// Maximum difference between two ends of a cold start that count as the same.
const WARM_AT_SLACK: Duration = Duration::from_millis(500);

/// Serves an announcement or a drain request of the upstream.
pub(super) async fn serve(
    state: &Rc<State>,
    inbound: &mut Inbound,
    msg: &mut Message,
) -> std::io::Result<()> {
    msg.send_continue(inbound).await?;
    if msg.read_prefix(inbound).await.is_err() || !msg.is_body_buffered() {
        return Err(std::io::ErrorKind::InvalidData.into());
    }
    wait_for_own_row(state).await;
    let message = state.edges.upstream.read(&msg.head, msg.prefix());
    let is_leave = message.as_ref().is_ok_and(is_leave);
    let order = message.and_then(|message| {
        check_start(state, &message)?;
        match message {
            UpstreamMessage::Announce(announcement) => record_announcement(state, announcement),
            UpstreamMessage::Leave(process) => Ok(record_leave(state, &process)),
        }
    });
    match order {
        Ok(MessageOrder::Current | MessageOrder::Repeated)
            if is_leave && !is_leave_stored_in_time(state).await =>
        {
            send_own_answer(state, inbound, &leave_not_stored()).await
        }
        Ok(MessageOrder::Current | MessageOrder::Repeated) => {
            let in_flight = state.admission.borrow().load(state.now()).running;
            respond(inbound, &state.edges.upstream.acknowledge(in_flight)).await
        }
        Ok(MessageOrder::Earlier) => {
            let detail = "a later start of the upstream has announced itself already";
            let answer = Answer::rejected(StatusCode::CONFLICT, "earlier", detail);
            send_own_answer(state, inbound, &answer).await
        }
        Err(err) => {
            state.metrics.count_announcement("malformed");
            warn!(state.hub.log, "upstream announcement rejected"; "why" => &err);
            let answer = Answer::rejected(StatusCode::BAD_REQUEST, "malformed", err);
            send_own_answer(state, inbound, &answer).await
        }
    }
}

/// Waits until this process knows the leave that an earlier process of the node stored, but no longer than
/// [`MAX_ROW_TIME`] from its start: an announcement that was sent before that leave may come first.
async fn wait_for_own_row(state: &State) {
    let left = MAX_ROW_TIME.saturating_sub(state.now().since(Time::default()));
    if !left.is_zero() {
        // Without the row, the upstream's word counts.
        let _ = monoio::time::timeout(left, state.hub.wait_for_own_row()).await;
    }
}

/// Checks that the sender of a message has started: a start far ahead would make all messages of the
/// real process count as earlier.
fn check_start(state: &State, message: &UpstreamMessage) -> Result<(), String> {
    let process = match message {
        UpstreamMessage::Announce(announcement) => &announcement.process,
        UpstreamMessage::Leave(process) => process,
    };
    let now = state.hub.clock.wall();
    match process.started {
        Some(started) if started.since(now) > MAX_START_AHEAD => {
            Err(format!("start time {} ms is ahead of the time of day", started.0))
        }
        Some(_) | None => Ok(()),
    }
}

fn record_announcement(state: &State, announcement: Announcement) -> Result<MessageOrder, String> {
    let own = &state.hub.settings.node.service;
    if let Some(other) = announcement.service.as_ref().filter(|service| *service != own) {
        return Err(format!("announcement names service {other}, expected {own}"));
    }
    let process = process_ref(&announcement.process);
    let order = state.announcements.borrow_mut().record_announcement(
        process,
        announcement.sequence,
        announcement.draining,
    );
    match order {
        MessageOrder::Current => {
            state.metrics.count_announcement("taken");
            apply_announcement(state, announcement);
        }
        MessageOrder::Repeated => state.metrics.count_announcement("repeated"),
        MessageOrder::Earlier => state.metrics.count_announcement("earlier"),
    }
    Ok(order)
}

fn apply_announcement(state: &State, announcement: Announcement) {
    let now = state.now();
    let process = process_id(&announcement);
    let leaves = announcement.draining && announcement.process.name.is_some();
    let has_left = leaves || state.reports.is_leaving(process) || state.hub.has_left(process);
    state.last_announced.set(now);
    state.hub.dependencies.record_reached(&state.hub.log, now, Dependency::Upstream);
    let changed = state.hub.upstream.send_if_modified(|known| {
        let same = known.as_ref().filter(|known| {
            known.address == announcement.address
                && known.version == announcement.version
                && known.name == announcement.process.name
        });
        let warm_at = next_warm_at(now, announcement.cold, same.map(|known| known.warm_at));
        let next = AnnouncedUpstream {
            process,
            name: announcement.process.name,
            started: announcement.process.started,
            version: announcement.version,
            address: announcement.address,
            slots: announcement.slots,
            connections: announcement.connections,
            warm_at,
            draining: announcement.draining || has_left,
            has_left,
        };
        let changed = known.as_ref() != Some(&next);
        *known = Some(next);
        changed
    });
    if leaves {
        state.hub.record_leave(process);
    }
    warm_up::end_suspicion(state);
    if let (true, Some(known)) = (changed, state.upstream()) {
        info!(state.hub.log, "upstream announced";
            "upstream" => known.name.as_deref().unwrap_or("-"),
            "version" => %known.version,
            "slots" => known.slots,
            "draining" => known.draining);
    }
}

/// Returns the end of the upstream's cold start by an announcement with `cold` left of it. The end
/// `known` stays while the announcement agrees with it, so that delays on its way change nothing.
fn next_warm_at(now: Time, cold: Duration, known: Option<Time>) -> Time {
    let announced = now + cold;
    match known {
        Some(known) if cold.is_zero() => known.min(announced),
        Some(known) if known.since(announced).max(announced.since(known)) < WARM_AT_SLACK => known,
        Some(_) | None => announced,
    }
}

fn record_leave(state: &State, process: &Process) -> MessageOrder {
    let order = state.announcements.borrow_mut().record_leave(process_ref(process));
    if order == MessageOrder::Current {
        if let Some(left) = leaving_process(state, process) {
            state.hub.record_leave(left);
        }
        state.hub.upstream.send_if_modified(|known| {
            let was_serving = known.as_ref().is_some_and(|upstream| !upstream.draining);
            known.iter_mut().for_each(|upstream| upstream.draining = true);
            was_serving
        });
        info!(state.hub.log, "upstream draining";
            "upstream" => process.name.as_deref().unwrap_or("-"));
    }
    order
}

/// Returns the identifier of `process`, which sent a leave message; `None` if it gives no name, so that
/// the leave holds until the next announcement only. A message without the start time is of the
/// announced process of that name.
fn leaving_process(state: &State, process: &Process) -> Option<ProcessId> {
    process.name.as_ref()?;
    let announced = state.upstream().filter(|known| known.name == process.name);
    let announced =
        announced.filter(|known| process.started.is_none() || process.started == known.started);
    Some(announced.map_or_else(|| named_process_id(process), |known| known.process))
}

/// Returns whether `message` says that its sender leaves.
fn is_leave(message: &UpstreamMessage) -> bool {
    match message {
        UpstreamMessage::Announce(announcement) => announcement.draining,
        UpstreamMessage::Leave(_) => true,
    }
}

/// Waits until the platform's table holds the latest leave, for at most [`MAX_STORE_TIME`]; returns
/// whether it does. Nodes that are all killed find the leave nowhere else when they start again.
async fn is_leave_stored_in_time(state: &State) -> bool {
    // A process without a name can't be told from its successor, so its leave isn't kept.
    let Some(process) = state.hub.left() else { return true };
    let stored = state.hub.wait_for_stored_leave(process);
    let is_stored = monoio::time::timeout(MAX_STORE_TIME, stored).await.is_ok();
    if !is_stored {
        warn!(state.hub.log, "leave of upstream not acknowledged, as it is not stored";
            "process" => %process);
    }
    is_stored
}

/// Returns the answer to a leave that this process acts on and no other might remember.
fn leave_not_stored() -> Answer {
    let detail = "the leave is in force here, and not stored yet: send it again";
    let answer = Answer::unknown(StatusCode::SERVICE_UNAVAILABLE, "leave-not-stored", detail);
    Answer { retry_after: Some(DEFAULT_RETRY_AFTER), ..answer }
}

fn process_ref(process: &Process) -> ProcessRef<'_> {
    ProcessRef { name: process.name.as_deref(), started: process.started }
}

/// Returns the identifier of the process that sent an announcement. A process that gives no name is
/// told apart by its version and address.
fn process_id(announcement: &Announcement) -> ProcessId {
    match &announcement.process {
        Process { name: None, started: None } => {
            hashed_id(&format!("{}\n{}", announcement.version, announcement.address))
        }
        process => named_process_id(process),
    }
}

/// Returns the identifier of a process that gives its name or its start time.
fn named_process_id(process: &Process) -> ProcessId {
    let Process { name, started } = process;
    hashed_id(&format!("{}\n{}", name.as_deref().unwrap_or("-"), started.map_or(0, |at| at.0)))
}

fn hashed_id(text: &str) -> ProcessId {
    ProcessId(first_bytes(&ContentHash::of(text.as_bytes())))
}

/// Marks the upstream as lost once the settings' announcement timeout has passed without an
/// announcement.
pub(super) fn check_announcement_timeout(state: &State) {
    let silent = state.now().since(state.last_announced.get());
    if silent >= state.hub.settings.calls.announcement_timeout() {
        let lost = state.hub.upstream.send_if_modified(|known| known.take().is_some());
        if lost {
            let why = format!("no announcement for {} ms", silent.as_millis());
            let hub = &state.hub;
            hub.dependencies.record_lost(&hub.log, state.now(), Dependency::Upstream, &why);
        }
    }
}

/// Sets the metric of the upstream's state.
pub(super) fn update_state_metric(state: &State) {
    state.metrics.set_upstream_state(match state.upstream() {
        None => UpstreamState::Absent,
        Some(upstream) if upstream.draining => UpstreamState::Leaving,
        Some(upstream) if state.now() < upstream.warm_at => UpstreamState::Cold,
        Some(_) => UpstreamState::Warm,
    });
}
