//! Does what the state machines ask for.

use super::rows;
use super::state::{Entry, State};
use rand::Rng;
use slog::{info, warn};
use std::rc::Rc;
use sycamore_moves::control::{Action, Input, Peer, Phase};
use sycamore_moves::plan::{end, move_key, Author, Change, MoveRow, Outcome, OutcomeKind};
use sycamore_platform::settle::{propose, Proposal, SettleSettings, Settled};
use sycamore_platform::{PageQuery, Row, Table};
use sycamore_types::prelude::*;

const MEMBER_PREFIX: &str = "member/";
/// Rows of members in a page.
const PAGE_ROWS: usize = 500;
/// Failed requests after which a write is left to the next try.
const WRITE_FAILURES: u32 = 3;

/// Lets time pass for every move.
pub(super) fn tick(state: &Rc<State>) {
    let now = state.now();
    let (live, regions) = state.service_peers();
    let mut wanted = Vec::new();
    for (mv, entry) in state.moves.borrow_mut().iter_mut() {
        if state.is_own(&entry.control.row().0.spec.service) {
            let peers = Input::Peers { live: live.clone(), regions: regions.clone() };
            let actions = entry.control.step(now, peers);
            wanted.extend(actions.into_iter().map(|action| (mv.clone(), action)));
        }
        let actions = entry.control.step(now, Input::Tick);
        wanted.extend(actions.into_iter().map(|action| (mv.clone(), action)));
        record(state, entry, now.wall);
    }
    perform(state, wanted);
}

/// Records steps and ends on the time line; nodes of the move's service do so for all.
fn record(state: &State, entry: &mut Entry, wall: WallTime) {
    let (row, _) = entry.control.row();
    if !state.is_own(&row.spec.service) {
        return;
    }
    let phase = entry.control.phase(wall);
    let share = entry.control.split(wall).to;
    let before = entry.recorded.replace((phase, share));
    if before == Some((phase, share)) || (before.is_none() && phase == Phase::Planned) {
        return;
    }
    let mv = row.spec.mv.clone();
    match (&row.outcome, phase) {
        (Some(outcome), Phase::Done | Phase::TakenBack) => {
            let done = outcome.kind == OutcomeKind::Done;
            let reason = outcome.reason.clone();
            state.hub.record(EventKind::MoveEnded { mv, done, reason });
        }
        _ => state.hub.record(EventKind::MoveStep { mv, share }),
    }
}

/// Does what the machines of `wanted` ask for.
pub(super) fn perform(state: &Rc<State>, wanted: Vec<(MoveId, Action)>) {
    for (mv, action) in wanted {
        match action {
            Action::Raise(fact) => state.hub.raise(fact),
            Action::ReadRegistry => {
                let errand = read_registry(state.clone(), mv);
                state.errands.spawn_until_stop(errand);
            }
            Action::End { outcome, .. } => {
                if begin_ending(state, &mv) {
                    state.errands.spawn_until_stop(write_end(state.clone(), mv, outcome));
                }
            }
        }
    }
}

fn begin_ending(state: &State, mv: &MoveId) -> bool {
    let mut moves = state.moves.borrow_mut();
    moves.get_mut(mv).is_some_and(|entry| !std::mem::replace(&mut entry.ending, true))
}

async fn read_registry(state: Rc<State>, mv: MoveId) {
    let service = state.hub.settings.node.service.clone();
    let mut listed = Vec::new();
    let mut after = String::new();
    loop {
        let query = PageQuery { prefix: MEMBER_PREFIX, after: &after, limit: PAGE_ROWS };
        let Ok(page) = state.platform.http().list(query).await else { return };
        let members = page.rows.iter().filter_map(member);
        listed.extend(members.filter(|member| member.service == service).map(|member| Peer {
            instance: member.instance,
            incarnation: member.incarnation,
            version: member.version,
            region: member.region,
        }));
        match page.rows.last() {
            Some(last) if page.more => after = last.key.clone(),
            _ => break,
        }
    }
    let now = state.now();
    let actions = match state.moves.borrow_mut().get_mut(&mv) {
        Some(entry) => entry.control.step(now, Input::Registry(listed)),
        None => Vec::new(),
    };
    perform(&state, actions.into_iter().map(|action| (mv.clone(), action)).collect());
}

fn member(row: &Row) -> Option<Member> {
    serde_json::from_value(row.value.clone()).ok()
}

async fn write_end(state: Rc<State>, mv: MoveId, outcome: Outcome) {
    let key = match state.moves.borrow().get(&mv) {
        Some(entry) => move_key(&entry.control.row().0.plan, &mv),
        None => return,
    };
    end_once(&state, &key, outcome).await;
    if let Some(entry) = state.moves.borrow_mut().get_mut(&mv) {
        entry.ending = false;
    }
}

/// Reads the row and writes its outcome, unless it has one. What stands is learnt in any case.
async fn end_once(state: &State, key: &str, outcome: Outcome) {
    let Ok(Some(stored)) = state.platform.http().get(key).await else { return };
    let Ok(row) = serde_json::from_value::<MoveRow>(stored.value.clone()) else {
        warn!(state.hub.log, "a move's row can't be read"; "key" => key);
        return;
    };
    let change = Change {
        author: Author::Node(state.hub.settings.node.instance.clone()),
        op: OpId(rand::rng().random()),
        at: state.hub.clock.wall(),
    };
    let op = change.op;
    match end(&row, stored.revision.0, outcome, change) {
        Err(conflict) => {
            info!(state.hub.log, "a move had ended"; "key" => key, "conflict" => %conflict);
            rows::take(state, row, stored.revision.0);
        }
        Ok(write) => {
            write_row(state, &stored, write.row, op).await;
        }
    }
}

/// Writes `row` over `stored`; gives what the table's answer settled.
pub(super) async fn write_row(
    state: &State,
    stored: &Row,
    row: MoveRow,
    op: OpId,
) -> Option<Settled> {
    let body = serde_json::to_value(&row).ok()?;
    let proposal = Proposal {
        key: &stored.key,
        base: Some(stored),
        op,
        body,
        conditions: Vec::new(),
        writes: Vec::new(),
    };
    let settings = SettleSettings { failures: WRITE_FAILURES, ..SettleSettings::default() };
    let table = state.platform.http();
    let settled = propose(table, proposal, &settings, rand::rng().random()).await;
    match &settled {
        Settled::Won { revision } => rows::take(state, row, revision.0),
        Settled::Lost { winner } => {
            let value = winner.value.clone().unwrap_or_default();
            if let Ok(standing) = serde_json::from_value::<MoveRow>(value) {
                rows::take(state, standing, winner.revision.0);
            }
        }
        Settled::Unknown { .. } => {}
    }
    Some(settled)
}
