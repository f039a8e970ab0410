//! Rows of moves: read from the platform's table within a fleet-wide budget, and spread as facts.

use super::state::State;
use crate::config::role::all_watchers;
use crate::hub::Hub;
use rand::Rng;
use slog::{debug, warn};
use std::rc::Rc;
use std::time::Duration;
use sycamore_moves::control::Input;
use sycamore_moves::plan::{MoveRow, MOVE_PREFIX};
use sycamore_platform::{PageQuery, Row, Table};
use sycamore_types::fact::MAX_ROW_BYTES;
use sycamore_types::prelude::*;

/// Fraction of the fleet's read budget spent on polling the rows of moves.
const READ_BUDGET_SHARE: f64 = 0.25;
/// Shortest mean time between two polls of one node.
const MIN_POLL_INTERVAL: Duration = Duration::from_secs(5);
/// Time before the first poll, in which a node learns of its peers.
const START_TIME: Duration = Duration::from_millis(500);
/// Longest random delay of the first poll.
const START_JITTER: Duration = Duration::from_secs(1);
/// Number of move rows read per page.
const PAGE_ROWS: usize = 100;
/// Maximum number of pages read in one poll; rows beyond them are ignored.
const MAX_PAGES: usize = 16;
/// Time after a move's deadline until the facts that hold its row expire.
const FACT_RETENTION: Duration = Duration::from_secs(86_400);

/// Nodes that poll the rows of moves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Pollers {
    /// Every node polls.
    All,
    /// The nodes that watch the operators' rows poll, and tell the others by facts.
    Watchers,
}

impl Pollers {
    /// Returns the number of nodes that poll; `None` if this node doesn't.
    fn count(self, hub: &Hub) -> Option<usize> {
        match self {
            Self::All => Some(hub.members.borrow().members.len()),
            Self::Watchers => {
                let watchers = all_watchers(hub);
                watchers.contains(&hub.settings.node.instance).then_some(watchers.len())
            }
        }
    }
}

/// Polls the rows of all moves at the start and then at long intervals; changes usually arrive
/// sooner as facts.
pub(super) async fn poll(state: Rc<State>, pollers: Pollers) {
    monoio::time::sleep(START_TIME + START_JITTER.mul_f64(rand::random())).await;
    loop {
        let Some(nodes) = pollers.count(&state.hub) else {
            monoio::time::sleep(MIN_POLL_INTERVAL).await;
            continue;
        };
        read_all(&state, MOVE_PREFIX).await;
        let nodes = nodes.max(1);
        let reads = f64::from(state.hub.settings.platform.fleet_reads_per_s) * READ_BUDGET_SHARE;
        let interval =
            Duration::from_secs_f64(nodes as f64 / reads.max(0.1)).max(MIN_POLL_INTERVAL);
        let jitter: f64 = rand::rng().random_range(0.5..1.5);
        monoio::time::sleep(interval.mul_f64(jitter)).await;
    }
}

/// Reads and learns the rows of moves under `prefix`. Returns whether the platform answered.
pub(super) async fn read_all(state: &State, prefix: &str) -> bool {
    let mut after = String::new();
    for _ in 0..MAX_PAGES {
        let query = PageQuery { prefix, after: &after, limit: PAGE_ROWS };
        let page = match state.platform.http().list(query).await {
            Ok(page) => page,
            Err(report) => {
                debug!(state.hub.log, "move rows could not be read";
                    "error" => %report.current_context());
                return false;
            }
        };
        for row in &page.rows {
            if let Some(parsed) = decode(state, row) {
                learn(state, parsed, row.revision.0);
            }
        }
        match page.rows.last() {
            Some(last) if page.more => after = last.key.clone(),
            _ => return true,
        }
    }
    true
}

/// Reads and learns the row of one move.
pub(super) async fn read_one(state: &State, key: &str) {
    let Ok(Some(row)) = state.platform.http().get(key).await else { return };
    if let Some(parsed) = decode(state, &row) {
        learn(state, parsed, row.revision.0);
    }
}

/// Decodes a row of the platform's table; `None` if it holds no valid move, which is logged.
pub(super) fn decode(state: &State, row: &Row) -> Option<MoveRow> {
    let decoded = MoveRow::decode(&row.key, &row.value);
    if let Err(error) = &decoded {
        warn!(state.hub.log, "move row rejected"; "key" => &row.key,
            "revision" => row.revision.0, "why" => %error);
    }
    decoded.ok()
}

/// Learns a row that was read or written, and raises a fact for it if it is new and fits into one.
pub(super) fn learn(state: &State, row: MoveRow, revision: u64) {
    let Ok(text) = serde_json::to_string(&row) else { return };
    let fact = Fact::MoveRow {
        mv: row.spec.mv.clone(),
        revision,
        until: row.spec.deadline + FACT_RETENTION,
        row: text,
    };
    let small = matches!(&fact, Fact::MoveRow { row, .. } if row.len() <= MAX_ROW_BYTES);
    if state.learn(row, revision) && small {
        state.hub.raise(fact);
    }
}

/// Feeds new and changed facts to the moves' state machines until the task is stopped.
pub(super) async fn follow_facts(state: Rc<State>) {
    let mut known = state.hub.facts.subscribe();
    let mut before = known.borrow_and_update().clone();
    before.values().for_each(|fact| apply_fact(&state, fact));
    while known.changed().await.is_ok() {
        let now = known.borrow_and_update().clone();
        for (key, fact) in now.iter() {
            if before.get(key) != Some(fact) {
                apply_fact(&state, fact);
            }
        }
        before = now;
        super::shares::publish(&state);
    }
}

fn apply_fact(state: &Rc<State>, fact: &Fact) {
    match fact {
        Fact::MoveRow { revision, row, .. } => {
            if let Ok(row) = MoveRow::decode_text(row) {
                state.learn(row, *revision);
            }
        }
        Fact::BadVersion { at, .. } | Fact::Aborted { at, .. } | Fact::Cleared { at, .. } => {
            let now = state.now();
            state.hub.timeline().borrow_mut().observe(*at, now.wall);
            let mut moves = state.moves.borrow_mut();
            let mut pending = Vec::new();
            for (mv, entry) in moves.iter_mut() {
                let actions = entry.control.step(now, Input::Fact(fact.clone()));
                pending.extend(actions.into_iter().map(|action| (mv.clone(), action)));
            }
            drop(moves);
            super::act::execute(state, pending);
        }
        Fact::Quarantined { .. }
        | Fact::CrashSeen { .. }
        | Fact::Head(_)
        | Fact::OutOfUse { .. } => {}
    }
}
