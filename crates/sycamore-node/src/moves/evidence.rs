//! Evidence about the versions of a move: counted at the local upstream, reported to the nodes that
//! merge it, and merged there.

use super::state::{Entry, State};
use bytes::Bytes;
use futures::StreamExt;
use slog::warn;
use std::rc::Rc;
use std::time::Duration;
use sycamore_moves::control::Input;
use sycamore_moves::evidence::{decode, encode, Collector, CollectorOptions, Report};
use sycamore_peer::Evidence;
use sycamore_types::prelude::*;

/// Message kind of an encoded [`Report`].
const KIND_REPORT: u32 = 1;
/// Time before a move's start from which evidence is counted, as a baseline of the old version.
const BASELINE_TIME: Duration = Duration::from_secs(60);
/// Time after which an unchanged report is sent again as a heartbeat.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_500);

/// Counts the outcomes of calls to the local upstream for each open move of its service.
pub(super) async fn collect(state: Rc<State>) {
    let Some(mut outcomes) = state.hub.take_outcomes() else { return };
    while let Some(outcome) = outcomes.recv().await {
        let now = state.now();
        for entry in state.moves.borrow_mut().values_mut() {
            let spec = &entry.control.row().0.spec;
            if spec.service != outcome.service || entry.control.row().0.is_ended() {
                continue;
            }
            if let Some(collector) = collector(&state, entry) {
                collector.record(now.time, &outcome);
            }
        }
    }
}

/// Counts a crash whenever the local upstream disappears without having asked to leave.
pub(super) async fn watch_upstream(state: Rc<State>) {
    let mut upstream = state.hub.upstream.subscribe();
    let mut before = upstream.borrow_and_update().clone();
    while upstream.changed().await.is_ok() {
        let now = upstream.borrow_and_update().clone();
        let was_serving = before.as_ref().is_some_and(|upstream| !upstream.draining);
        if was_serving && now.is_none() {
            for entry in state.moves.borrow_mut().values_mut() {
                if let Some(collector) = &mut entry.collector {
                    collector.record_crash();
                }
            }
        }
        before = now;
    }
}

/// Returns the collector of the move `entry`. It is created at the first use that is at most
/// [`BASELINE_TIME`] before the move's start; `None` before that, and if the move had ended by then
/// or is about another service or other versions than the local upstream's.
fn collector<'a>(state: &State, entry: &'a mut Entry) -> Option<&'a mut Collector> {
    let (row, _) = entry.control.row();
    let spec = &row.spec;
    let now = state.now();
    let due = now.wall + BASELINE_TIME >= spec.start;
    if entry.collector.is_none() && due && !row.is_ended() && state.is_own(&spec.service) {
        let me = state.me()?;
        if me.version != spec.from && me.version != spec.to {
            return None;
        }
        let me = Member { incarnation: state.hub.incarnation, ..me };
        let options = CollectorOptions::default();
        entry.collector = Some(Collector::new(spec.mv.clone(), &me, options, now.time));
    }
    entry.collector.as_mut()
}

/// Sends the reports that are due to the nodes that merge them.
pub(super) fn send(state: &Rc<State>) {
    let now = state.now();
    let interval = state.hub.settings.moves.evidence_interval;
    let mut own = Vec::new();
    for (mv, entry) in state.moves.borrow_mut().iter_mut() {
        if entry.control.row().0.is_ended() || now.time.since(entry.sent) < interval {
            continue;
        }
        let Some(report) = due_report(state, entry) else { continue };
        entry.sent = now.time;
        let mergers: Vec<InstanceId> = entry.control.mergers().into_iter().cloned().collect();
        for merger in mergers {
            if merger == state.hub.settings.node.instance {
                own.push(report.clone());
            } else {
                send_to(state, mv, merger, &report);
            }
        }
    }
    own.into_iter().for_each(|report| merge(state, report));
}

/// Returns the report of a move to send now: the new one, or the unchanged one as a heartbeat.
fn due_report(state: &State, entry: &mut Entry) -> Option<Report> {
    let now = state.now().time;
    let confirmed = entry.control.confirmed();
    let silent = now.since(entry.sent) >= HEARTBEAT_INTERVAL;
    let generation = state.me()?.incarnation;
    let collector = collector(state, entry)?;
    collector.update_generation(generation);
    let report = collector.report(now, confirmed).or_else(|| silent.then(|| collector.repeat()));
    let without_cell = collector.without_cell();
    if has_doubled(without_cell, &mut entry.without_cell_logged) {
        let mv = &entry.control.row().0.spec.mv;
        warn!(state.hub.log, "calls exceed limits of evidence"; "move" => %mv,
            "calls" => without_cell);
    }
    report
}

fn send_to(state: &Rc<State>, mv: &MoveId, merger: InstanceId, report: &Report) {
    let Some(to) = state.hub.members.borrow().members.get(&merger).map(|m| m.endpoints.peer) else {
        return;
    };
    let key = (mv.clone(), merger);
    // One message at a time to each merging node: reports are cumulative, the next holds this one.
    if !state.sending.borrow_mut().insert(key.clone()) {
        return;
    }
    let evidence = Evidence { kind: KIND_REPORT, body: Bytes::from(encode(report)) };
    let task_state = state.clone();
    state.short_tasks.spawn_until_stop(async move {
        let answer = task_state.peers.calls().evidence(to, evidence).await;
        task_state.sending.borrow_mut().remove(&key);
        let verdict = answer.ok().and_then(|body| serde_json::from_slice::<Fact>(&body).ok());
        if let Some(verdict @ Fact::BadVersion { .. }) = verdict {
            task_state.hub.raise(verdict);
        }
    });
}

/// Merges the reports of other nodes; each answer holds the verdict on the version, if there is
/// one.
pub(super) async fn receive(state: Rc<State>) {
    let Some(mut calls) = state.peers.take_evidence() else { return };
    while let Some(call) = calls.next().await {
        if call.body.kind != KIND_REPORT {
            continue;
        }
        let Ok(report) = decode(&call.body.body) else { continue };
        let answer = encode_verdict(&state, &report.mv);
        merge(&state, report);
        // The send fails if the sender has given up, which is harmless.
        let _ = call.tx.send(answer);
    }
}

/// Encodes the known verdict on the new version of move `mv`; empty if there is none.
fn encode_verdict(state: &State, mv: &MoveId) -> Bytes {
    let key = match state.moves.borrow().get(mv) {
        Some(entry) => {
            let spec = &entry.control.row().0.spec;
            FactKey::BadVersion(spec.service.clone(), spec.to.clone())
        }
        None => return Bytes::new(),
    };
    let known = state.hub.facts.known();
    let fact = known.get(&key).and_then(|fact| serde_json::to_vec(fact).ok());
    fact.map(Bytes::from).unwrap_or_default()
}

/// Feeds a report to the state machine of its move.
fn merge(state: &Rc<State>, report: Report) {
    let now = state.now();
    let mv = report.mv.clone();
    let actions = match state.moves.borrow_mut().get_mut(&mv) {
        Some(entry) => {
            let instance = report.instance.clone();
            let actions = entry.control.step(now, Input::Report(Box::new(report)));
            log_cut_reports(state, &mv, entry, &instance);
            actions
        }
        None => Vec::new(),
    };
    super::act::execute(state, actions.into_iter().map(|action| (mv.clone(), action)).collect());
}

/// Logs that reports of a move exceed this node's limits, if their number has doubled since the
/// latest line.
fn log_cut_reports(state: &State, mv: &MoveId, entry: &mut Entry, instance: &InstanceId) {
    let reports = entry.control.cut_reports();
    if has_doubled(reports, &mut entry.cut_logged) {
        warn!(state.hub.log, "evidence report exceeds limits"; "move" => %mv, "from" => %instance,
            "reports" => reports);
    }
}

/// Returns whether `count` is at least twice the one that was `logged`, and replaces that.
fn has_doubled(count: u64, logged: &mut u64) -> bool {
    let doubled = count > 0 && count >= logged.saturating_mul(2);
    if doubled {
        *logged = count;
    }
    doubled
}
