//! Moves that operators order by a row: planned from it, and their state written back.

use super::rows;
use super::state::{Entry, State};
use crate::edge::{OperatorEdge, ReleaseOrder, ReleaseState};
use rand::Rng;
use slog::{info, warn};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use sycamore_moves::plan::{
    move_key, version_before, Author, MoveRow, MoveSpec, OnTimeout, Outcome, OutcomeKind,
};
use sycamore_moves::ramp::{fit, FitOptions, MIN_WINDOW};
use sycamore_platform::{Condition, Revision, Table, Transacted, Transaction, Write};
use sycamore_types::prelude::*;

/// The plan that ordered moves belong to.
const PLAN: &str = "orders";
/// Time between two looks.
const LOOK: Duration = Duration::from_millis(200);
/// Part of an order's time that is kept back for telling its end.
const TELL_PART: f64 = 0.12;
/// Nodes that may plan a move, in turn.
const PLANNERS: usize = 4;
/// Time that each planner leaves to those before it.
const TURN: Duration = Duration::from_millis(400);
/// Time from the whole share to the word that the old version may stop, for the calls that it still
/// runs.
const OLD_CALLS: Duration = Duration::from_millis(1_500);
/// Pause after a failed write.
const RETRY: Duration = Duration::from_millis(500);

/// What this node last did for an order.
#[derive(Debug, Clone, Copy, Default)]
struct Progress {
    seen: Option<Time>,
    tried: Option<Time>,
    told: Option<ReleaseState>,
    full: Option<Time>,
}

/// Follows the orders for as long as the node runs.
pub(super) async fn follow(state: Rc<State>, edge: Rc<dyn OperatorEdge>) {
    let progress: RefCell<BTreeMap<MoveId, Progress>> = RefCell::default();
    loop {
        monoio::time::sleep(LOOK).await;
        let orders = state.hub.orders.borrow().clone();
        for (order, revision) in orders.values() {
            let Some(mv) = move_id(order, *revision) else { continue };
            let mut done = progress.borrow().get(&mv).copied().unwrap_or_default();
            serve(&state, &*edge, order, &mv, &mut done).await;
            progress.borrow_mut().insert(mv, done);
        }
        progress.borrow_mut().retain(|mv, _| {
            orders.values().any(|(order, revision)| move_id(order, *revision).as_ref() == Some(mv))
        });
    }
}

fn move_id(order: &ReleaseOrder, revision: u64) -> Option<MoveId> {
    MoveId::new(format!("{}.{}.{revision}", order.service, order.to)).ok()
}

async fn serve(
    state: &Rc<State>,
    edge: &dyn OperatorEdge,
    order: &ReleaseOrder,
    mv: &MoveId,
    done: &mut Progress,
) {
    let now = state.hub.clock.now();
    let seen = *done.seen.get_or_insert(now);
    let rank = own_rank(state, mv);
    let stage = state.moves.borrow().get(mv).map(|entry| stage(entry, state, now, done));
    let due = done.tried.is_none_or(|tried| now.since(tried) >= RETRY);
    match stage {
        None if due && rank < PLANNERS && now.since(seen) >= TURN * rank as u32 => {
            done.tried = Some(now);
            plan(state, order, mv, now.since(seen)).await;
        }
        Some(stage) if due && rank == 0 && done.told != Some(stage) => {
            done.tried = Some(now);
            if tell(state, edge, order, stage).await {
                done.told = Some(stage);
            }
        }
        _ => {}
    }
}

/// Place of this node among the live ones for `mv`, 0 for the first.
fn own_rank(state: &State, mv: &MoveId) -> usize {
    let view = state.hub.members.borrow().clone();
    let own = &state.hub.settings.node.instance;
    let score = |instance: &InstanceId| ContentHash::of(format!("{mv}\n{instance}").as_bytes());
    let mine = score(own);
    view.members.keys().filter(|instance| *instance != own && score(instance) > mine).count()
}

fn stage(entry: &Entry, state: &State, now: Time, done: &mut Progress) -> ReleaseState {
    let (row, _) = entry.control.row();
    match &row.outcome {
        Some(Outcome { kind: OutcomeKind::TakenBack, .. }) => ReleaseState::TakenBack,
        Some(Outcome { kind: OutcomeKind::Done, .. }) => {
            let full = *done.full.get_or_insert(now);
            let late = state.hub.clock.wall() >= row.spec.deadline;
            match now.since(full) >= OLD_CALLS || late {
                true => ReleaseState::Done,
                false => ReleaseState::Running,
            }
        }
        None => ReleaseState::Running,
    }
}

/// Plans the move; of several planners the first to write wins.
async fn plan(state: &Rc<State>, order: &ReleaseOrder, mv: &MoveId, age: Duration) {
    let Some(from) = from_version(state, order) else { return };
    let now = state.hub.clock.wall();
    let left = order.duration.saturating_sub(age).mul_f64(1.0 - TELL_PART).max(MIN_WINDOW);
    let spec = MoveSpec {
        mv: mv.clone(),
        service: order.service.clone(),
        from,
        to: order.to.clone(),
        start: now,
        deadline: now + left,
        cap: state.hub.settings.moves.unproven_share,
        watch: None,
        on_timeout: OnTimeout::TakeBack,
    };
    let plan = PlanId::new(PLAN).expect("constant identifier");
    let row = MoveRow {
        schedule: fit(&spec, now, &FitOptions::for_window(left)),
        plan: plan.clone(),
        spec,
        outcome: None,
        author: Author::Node(state.hub.settings.node.instance.clone()),
        op: OpId(rand::rng().random()),
        at: now,
    };
    let key = move_key(&plan, mv);
    match create(state, &key, &row).await {
        Ok(Some(revision)) => {
            info!(state.hub.log, "move planned"; "move" => %mv, "from" => %row.spec.from,
                "to" => %row.spec.to, "deadline_ms" => row.spec.deadline.0);
            rows::take(state, row, revision);
        }
        Ok(None) => rows::read_one(state, &key).await,
        Err(report) => {
            warn!(state.hub.log, "move not planned"; "move" => %mv,
                "error" => %report.current_context());
        }
    }
}

/// The version that the order's move starts from, by what this node knows.
fn from_version(state: &State, order: &ReleaseOrder) -> Option<UpstreamVersion> {
    let view = state.hub.members.borrow().clone();
    let moves = state.moves.borrow();
    let known = moves.values().map(|entry| {
        let row = entry.control.row().0;
        (&row.spec, row.outcome.as_ref().map(|outcome| outcome.kind))
    });
    let serving = view.serving(&order.service).map(|member| &member.version);
    version_before(&order.service, &order.to, known, serving)
}

/// Writes a row that must not exist; `None` where it does.
async fn create(state: &State, key: &str, row: &MoveRow) -> sycamore_platform::Result<Option<u64>> {
    let transaction = Transaction {
        conditions: vec![Condition { key: key.to_owned(), revision: Revision::ABSENT }],
        writes: vec![Write { key: key.to_owned(), value: serde_json::to_value(row).ok() }],
    };
    match state.platform.http().transact(&transaction).await? {
        Transacted::Committed { revisions } => Ok(revisions.get(key).map(|revision| revision.0)),
        Transacted::Conflicted { .. } => Ok(None),
    }
}

/// Tells operators where the order stands; an end that is told already stays. Gives whether it is
/// told now.
async fn tell(
    state: &State,
    edge: &dyn OperatorEdge,
    order: &ReleaseOrder,
    stage: ReleaseState,
) -> bool {
    let (key, value) = edge.status(order, stage);
    let platform = state.platform.http();
    let Ok(row) = platform.get(&key).await else { return false };
    let told = row.as_ref().map(|row| &row.value);
    let end = |stage| Some(edge.status(order, stage).1);
    let is_ended = told.is_some()
        && (told.cloned() == end(ReleaseState::Done)
            || told.cloned() == end(ReleaseState::TakenBack));
    if told == Some(&value) || is_ended {
        return true;
    }
    let revision = row.map_or(Revision::ABSENT, |row| row.revision);
    let transaction = Transaction {
        conditions: vec![Condition { key: key.clone(), revision }],
        writes: vec![Write { key, value: Some(value) }],
    };
    let written = matches!(platform.transact(&transaction).await, Ok(Transacted::Committed { .. }));
    if written {
        info!(state.hub.log, "order's state told"; "service" => %order.service,
            "to" => %order.to, "state" => format!("{stage:?}"));
    }
    written
}
