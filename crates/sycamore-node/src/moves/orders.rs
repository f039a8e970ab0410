//! Executes the release orders that operators write as rows: plans a move for each and writes its
//! status back.

use super::act;
use super::rows;
use super::state::{Entry, State};
use crate::config::role::all_watchers;
use crate::edge::{OperatorEdge, ReleaseOrder, ReleaseState};
use rand::Rng;
use slog::{info, warn};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use sycamore_moves::plan::{
    move_key, order_move, version_before, Author, MoveRow, MoveSpec, OnTimeout, Outcome,
    OutcomeKind,
};
use sycamore_moves::ramp::{fit, FitOptions, MIN_WINDOW};
use sycamore_platform::{Condition, Revision, Table, Transacted, Transaction, Write};
use sycamore_types::prelude::*;

/// Plan that moves planned from orders belong to.
const ORDERS_PLAN: &str = "orders";
/// Time between two checks of the orders.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Fraction of an order's duration that is reserved for writing its final status.
const STATUS_RESERVE: f64 = 0.12;
/// Maximum number of nodes that try to plan the move of an order or to write its status, one after
/// the other.
const MAX_PLANNERS: usize = 4;
/// Time each planner waits for every planner ranked before it, which may be cut off from the
/// platform.
const PLANNER_DELAY: Duration = Duration::from_millis(400);
/// Time from the end of a move, with the full share on the new version, to the order's status
/// `Done`. Operators may then stop the old version, so its calls in flight must end first.
const OLD_VERSION_DRAIN: Duration = Duration::from_millis(1_500);
/// Least time between two attempts to plan a move or to write a status.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Progress of this node on one order.
#[derive(Debug, Clone, Copy, Default)]
struct Progress {
    /// Time at which the order was first seen.
    seen: Option<Time>,
    /// Time of the latest attempt to plan the move or to write its status.
    attempted: Option<Time>,
    /// Status that was last found or written in the table.
    reported: Option<ReleaseState>,
    /// Latest status with the time since which it holds.
    status: Option<(ReleaseState, Time)>,
    /// Time at which the move was first seen as done.
    done_at: Option<Time>,
    /// Epoch of the platform's table in which the status was reported.
    epoch: u64,
}

impl Progress {
    /// Returns whether `status` is to be written by a node whose turn comes after the time `turn`.
    fn is_unreported(&mut self, status: ReleaseState, now: Time, turn: Duration) -> bool {
        let since = match self.status {
            Some((latest, since)) if latest == status => since,
            _ => now,
        };
        self.status = Some((status, since));
        self.reported != Some(status) && now.since(since) >= turn
    }
}

/// Executes the known release orders until the task is stopped.
pub(super) async fn run(state: Rc<State>, edge: Rc<dyn OperatorEdge>) {
    let all_progress: RefCell<BTreeMap<MoveId, Progress>> = RefCell::default();
    loop {
        monoio::time::sleep(CHECK_INTERVAL).await;
        let orders = state.hub.orders.borrow().clone();
        for (order, revision) in orders.values() {
            let mv = move_id(order, *revision);
            let mut progress = all_progress.borrow().get(&mv).copied().unwrap_or_default();
            advance(&state, &*edge, order, &mv, &mut progress).await;
            all_progress.borrow_mut().insert(mv, progress);
        }
        all_progress.borrow_mut().retain(|mv, _| {
            orders.values().any(|(order, revision)| move_id(order, *revision) == *mv)
        });
    }
}

fn move_id(order: &ReleaseOrder, revision: u64) -> MoveId {
    order_move(&order.service, &order.to, revision)
}

/// Plans the order's move or writes its status, if it is this node's turn and an attempt is due.
async fn advance(
    state: &Rc<State>,
    edge: &dyn OperatorEdge,
    order: &ReleaseOrder,
    mv: &MoveId,
    progress: &mut Progress,
) {
    let now = state.hub.clock.now();
    let seen = *progress.seen.get_or_insert(now);
    let status = state.moves.borrow().get(mv).map(|entry| status(entry, state, now, progress));
    let due = progress.attempted.is_none_or(|tried| now.since(tried) >= RETRY_INTERVAL);
    let Some(turn) = own_turn(state, mv) else { return };
    let epoch = state.platform.http().epochs().borrow().unwrap_or_default();
    if progress.epoch < epoch {
        // The table may have lost the status.
        (progress.epoch, progress.reported) = (epoch, None);
    }
    if due && is_of_earlier_epoch(state, mv, epoch) {
        progress.attempted = Some(now);
        return restore(state, mv).await;
    }
    match status {
        None if due && now.since(seen) >= turn => {
            progress.attempted = Some(now);
            plan(state, order, mv, now.since(seen)).await;
        }
        Some(status) if due && progress.is_unreported(status, now, turn) => {
            progress.attempted = Some(now);
            if write_status(state, edge, order, status).await {
                progress.reported = Some(status);
            }
        }
        _ => {}
    }
}

/// Returns the time for which this node leaves the move `mv` to others: they come before it by
/// rendezvous hashing among the nodes that know the orders. `None` if it isn't among the first.
fn own_turn(state: &State, mv: &MoveId) -> Option<Duration> {
    let own = &state.hub.settings.node.instance;
    let watchers = all_watchers(&state.hub);
    if !watchers.contains(own) {
        return None;
    }
    let score = |instance: &InstanceId| ContentHash::of(format!("{mv}\n{instance}").as_bytes());
    let own_score = score(own);
    let rank = watchers.iter().filter(|instance| score(instance) > own_score).count();
    let rank = u32::try_from(rank).ok().filter(|_| rank < MAX_PLANNERS)?;
    Some(PLANNER_DELAY * rank)
}

/// Returns the status of an order whose move is `entry`. It becomes done [`OLD_VERSION_DRAIN`]
/// after the move was seen as done, or at the move's deadline if that is earlier.
fn status(entry: &Entry, state: &State, now: Time, progress: &mut Progress) -> ReleaseState {
    let (row, _) = entry.control.row();
    match &row.outcome {
        Some(Outcome { kind: OutcomeKind::TakenBack, .. }) => ReleaseState::TakenBack,
        Some(Outcome { kind: OutcomeKind::Done, .. }) => {
            let done_at = *progress.done_at.get_or_insert(now);
            let late = state.hub.clock.wall() >= row.spec.deadline;
            match now.since(done_at) >= OLD_VERSION_DRAIN || late {
                true => ReleaseState::Done,
                false => ReleaseState::Running,
            }
        }
        None => ReleaseState::Running,
    }
}

/// Plans the move of an order that is `age` old. If several nodes plan it, the first write wins.
async fn plan(state: &Rc<State>, order: &ReleaseOrder, mv: &MoveId, age: Duration) {
    let Some(from) = from_version(state, order) else { return };
    let now = state.hub.clock.wall();
    let left = order.duration.saturating_sub(age).mul_f64(1.0 - STATUS_RESERVE).max(MIN_WINDOW);
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
    let plan = PlanId::new(ORDERS_PLAN).expect("constant identifier");
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
            rows::learn(state, row, revision);
        }
        Ok(None) => rows::read_one(state, &key).await,
        Err(report) => {
            warn!(state.hub.log, "move could not be planned"; "move" => %mv,
                "error" => %report.current_context());
        }
    }
}

/// Returns the version that the order's move starts from, derived from the known moves and members;
/// `None` if it can't be determined.
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

/// Returns whether the row of the move `mv` was last read or written before the platform came back
/// from an older copy of its table, which may have lost it.
fn is_of_earlier_epoch(state: &State, mv: &MoveId, epoch: u64) -> bool {
    let moves = state.moves.borrow();
    moves.get(mv).is_some_and(|entry| Revision(entry.control.row().1).epoch() < epoch)
}

/// Writes the row of the move `mv` again as this node knows it, with the schedule that was agreed and
/// its end, unless the table still holds it.
async fn restore(state: &Rc<State>, mv: &MoveId) {
    let row = state.moves.borrow().get(mv).map(|entry| entry.control.row().0.clone());
    let Some(row) = row else { return };
    let key = move_key(&row.plan, mv);
    match create(state, &key, &row).await {
        Ok(Some(revision)) => {
            info!(state.hub.log, "move row restored"; "move" => %mv, "revision" => revision);
            rows::learn(state, row, revision);
        }
        Ok(None) => end_again(state, &key, row).await,
        Err(report) => {
            warn!(state.hub.log, "move row not restored"; "move" => %mv,
                "error" => %report.current_context());
        }
    }
}

/// Learns the row at `key`, after ending it like `known` if only its end is lost.
async fn end_again(state: &Rc<State>, key: &str, known: MoveRow) {
    let Ok(Some(stored)) = state.platform.http().get(key).await else { return };
    match rows::decode(state, &stored) {
        Some(row) if known.is_ended() && !row.is_ended() => {
            let op = known.op;
            act::write_row(state, &stored, known, op).await;
        }
        Some(row) => rows::learn(state, row, stored.revision.0),
        None => {}
    }
}

/// Creates a row and returns its revision; `None` if the row exists.
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

/// Writes the status of an order for operators; a final status in the table is never replaced.
/// Returns whether the table holds `status` or a final status.
async fn write_status(
    state: &State,
    edge: &dyn OperatorEdge,
    order: &ReleaseOrder,
    status: ReleaseState,
) -> bool {
    let (key, value) = edge.status(order, status);
    let platform = state.platform.http();
    let Ok(row) = platform.get(&key).await else { return false };
    let stored = row.as_ref().map(|row| &row.value);
    let encoded = |status| Some(edge.status(order, status).1);
    let is_final = stored.is_some()
        && (stored.cloned() == encoded(ReleaseState::Done)
            || stored.cloned() == encoded(ReleaseState::TakenBack));
    if stored == Some(&value) || is_final {
        return true;
    }
    let revision = row.map_or(Revision::ABSENT, |row| row.revision);
    let transaction = Transaction {
        conditions: vec![Condition { key: key.clone(), revision }],
        writes: vec![Write { key, value: Some(value) }],
    };
    let written = matches!(platform.transact(&transaction).await, Ok(Transacted::Committed { .. }));
    if written {
        info!(state.hub.log, "release status written"; "service" => %order.service,
            "to" => %order.to, "state" => format!("{status:?}"));
    }
    written
}
