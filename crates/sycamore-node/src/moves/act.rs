//! Executes the actions of the moves' state machines.

use super::rows;
use super::state::{Entry, State};
use rand::Rng;
use slog::info;
use std::rc::Rc;
use sycamore_moves::control::{Action, Input, Peer, Phase};
use sycamore_moves::plan::{end, move_key, Author, Change, MoveRow, Outcome, OutcomeKind};
use sycamore_platform::settle::{propose, Proposal, SettleSettings, Settled};
use sycamore_platform::{PageQuery, Row, Table};
use sycamore_types::prelude::*;

/// Key prefix of members' rows.
const MEMBER_PREFIX: &str = "member/";
/// Number of members' rows read per page.
const PAGE_ROWS: usize = 500;
/// Number of failed requests after which an attempt to write a row ends; a later attempt may
/// follow.
const MAX_WRITE_FAILURES: u32 = 3;

/// Ticks the state machine of every move and executes the resulting actions.
pub(super) fn tick(state: &Rc<State>) {
    let now = state.now();
    let (live, regions) = state.service_peers();
    let mut pending = Vec::new();
    for (mv, entry) in state.moves.borrow_mut().iter_mut() {
        if state.is_own(&entry.control.row().0.spec.service) {
            let peers = Input::Peers { live: live.clone(), regions: regions.clone() };
            let actions = entry.control.step(now, peers);
            pending.extend(actions.into_iter().map(|action| (mv.clone(), action)));
        }
        let actions = entry.control.step(now, Input::Tick);
        pending.extend(actions.into_iter().map(|action| (mv.clone(), action)));
        record_progress(state, entry, now.wall);
    }
    execute(state, pending);
}

/// Records a move's steps and its end on the timeline. Only nodes of the move's service record
/// them, on behalf of the fleet.
fn record_progress(state: &State, entry: &mut Entry, wall: WallTime) {
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

/// Executes actions of moves' state machines; those that need the platform run as short tasks.
pub(super) fn execute(state: &Rc<State>, pending: Vec<(MoveId, Action)>) {
    for (mv, action) in pending {
        match action {
            Action::Raise(fact) => state.hub.raise(fact),
            Action::ReadRegistry => {
                let task = read_registry(state.clone(), mv);
                state.short_tasks.spawn_until_stop(task);
            }
            Action::End { outcome, .. } => {
                if begin_ending(state, &mv) {
                    let task = write_outcome(state.clone(), mv, outcome);
                    state.short_tasks.spawn_until_stop(task);
                }
            }
        }
    }
}

/// Marks a move's outcome as being written. Returns `false` if it is being written already or the
/// move is unknown.
fn begin_ending(state: &State, mv: &MoveId) -> bool {
    let mut moves = state.moves.borrow_mut();
    moves.get_mut(mv).is_some_and(|entry| !std::mem::replace(&mut entry.ending, true))
}

/// Lists the registered instances of this node's service for the move `mv`; gives up if the
/// platform fails.
async fn read_registry(state: Rc<State>, mv: MoveId) {
    let service = state.hub.settings.node.service.clone();
    let mut instances = Vec::new();
    let mut after = String::new();
    loop {
        let query = PageQuery { prefix: MEMBER_PREFIX, after: &after, limit: PAGE_ROWS };
        let Ok(page) = state.platform.http().list(query).await else { return };
        let members = page.rows.iter().filter_map(decode_member);
        instances.extend(members.filter(|member| member.service == service).map(|member| Peer {
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
        Some(entry) => entry.control.step(now, Input::Registry(instances)),
        None => Vec::new(),
    };
    execute(&state, actions.into_iter().map(|action| (mv.clone(), action)).collect());
}

fn decode_member(row: &Row) -> Option<Member> {
    serde_json::from_value(row.value.clone()).ok()
}

async fn write_outcome(state: Rc<State>, mv: MoveId, outcome: Outcome) {
    let key = match state.moves.borrow().get(&mv) {
        Some(entry) => move_key(&entry.control.row().0.plan, &mv),
        None => return,
    };
    write_outcome_once(&state, &key, outcome).await;
    if let Some(entry) = state.moves.borrow_mut().get_mut(&mv) {
        entry.ending = false;
    }
}

/// Writes the outcome of the move in row `key` unless the row has one. The row as it then stands is
/// learnt in either case.
async fn write_outcome_once(state: &State, key: &str, outcome: Outcome) {
    let Ok(Some(stored)) = state.platform.http().get(key).await else { return };
    let Some(row) = rows::decode(state, &stored) else { return };
    let change = Change {
        author: Author::Node(state.hub.settings.node.instance.clone()),
        op: OpId(rand::rng().random()),
        at: state.hub.clock.wall(),
    };
    let op = change.op;
    match end(&row, stored.revision.0, outcome, change) {
        Err(conflict) => {
            info!(state.hub.log, "move already ended"; "key" => key, "conflict" => %conflict);
            rows::learn(state, row, stored.revision.0);
        }
        Ok(write) => {
            write_row(state, &stored, write.row, op).await;
        }
    }
}

/// Replaces `stored` by `row` if it is unchanged in the table, and learns the row that then stands.
/// `None` if `row` can't be encoded.
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
    let settings = SettleSettings { failures: MAX_WRITE_FAILURES, ..SettleSettings::default() };
    let table = state.platform.http();
    let settled = propose(table, proposal, &settings, rand::rng().random()).await;
    match &settled {
        Settled::Won { revision } => rows::learn(state, row, revision.0),
        Settled::Lost { winner } => {
            let value = winner.value.clone().unwrap_or_default();
            if let Ok(current) = MoveRow::decode(&winner.key, &value) {
                rows::learn(state, current, winner.revision.0);
            }
        }
        Settled::Unknown { .. } => {}
    }
    Some(settled)
}
