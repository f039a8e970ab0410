//! Agreed rows: read from the table within a budget for the whole fleet, and spread as facts.

use super::state::State;
use rand::Rng;
use slog::debug;
use std::rc::Rc;
use std::time::Duration;
use sycamore_moves::control::Input;
use sycamore_moves::plan::{MoveRow, MOVE_PREFIX};
use sycamore_platform::{PageQuery, Table};
use sycamore_types::fact::MAX_ROW_BYTES;
use sycamore_types::prelude::*;

/// Part of the fleet's reads that goes into looking for changed rows.
const READ_PART: f64 = 0.25;
/// Shortest time between two looks of one node.
const MIN_INTERVAL: Duration = Duration::from_secs(5);
/// Longest random delay before the first look.
const START_JITTER: Duration = Duration::from_secs(1);
/// Rows in a page.
const PAGE_ROWS: usize = 100;
/// Pages read in one look at most.
const MAX_PAGES: usize = 16;
/// Copies of rows are kept this long after the deadline.
const KEEP: Duration = Duration::from_secs(86_400);

/// Looks for rows at the start and then at long intervals; facts bring them sooner.
pub(super) async fn poll(state: Rc<State>) {
    monoio::time::sleep(START_JITTER.mul_f64(rand::random())).await;
    loop {
        read_all(&state, MOVE_PREFIX).await;
        let nodes = state.hub.members.borrow().members.len().max(1);
        let reads = f64::from(state.hub.settings.platform.fleet_reads_per_s) * READ_PART;
        let interval = Duration::from_secs_f64(nodes as f64 / reads.max(0.1)).max(MIN_INTERVAL);
        let jitter: f64 = rand::rng().random_range(0.5..1.5);
        monoio::time::sleep(interval.mul_f64(jitter)).await;
    }
}

/// Reads all rows under `prefix`; gives whether the platform answered.
pub(super) async fn read_all(state: &State, prefix: &str) -> bool {
    let mut after = String::new();
    for _ in 0..MAX_PAGES {
        let query = PageQuery { prefix, after: &after, limit: PAGE_ROWS };
        let page = match state.platform.http().list(query).await {
            Ok(page) => page,
            Err(report) => {
                debug!(state.hub.log, "moves could not be read"; "error" => %report.current_context());
                return false;
            }
        };
        for row in &page.rows {
            if let Ok(parsed) = serde_json::from_value::<MoveRow>(row.value.clone()) {
                take(state, parsed, row.revision.0);
            }
        }
        match page.rows.last() {
            Some(last) if page.more => after = last.key.clone(),
            _ => return true,
        }
    }
    true
}

/// Reads one row.
pub(super) async fn read_one(state: &State, key: &str) {
    let Ok(Some(row)) = state.platform.http().get(key).await else { return };
    if let Ok(parsed) = serde_json::from_value::<MoveRow>(row.value) {
        take(state, parsed, row.revision.0);
    }
}

/// Takes in a row that was read or written, and spreads it where it is news.
pub(super) fn take(state: &State, row: MoveRow, revision: u64) {
    let Ok(text) = serde_json::to_string(&row) else { return };
    let fact = Fact::MoveRow {
        mv: row.spec.mv.clone(),
        revision,
        until: row.spec.deadline + KEEP,
        row: text,
    };
    let small = matches!(&fact, Fact::MoveRow { row, .. } if row.len() <= MAX_ROW_BYTES);
    if state.learn(row, revision) && small {
        state.hub.raise(fact);
    }
}

/// Feeds facts to the moves as they come in.
pub(super) async fn follow_facts(state: Rc<State>) {
    let mut known = state.hub.facts.subscribe();
    let mut before = known.borrow_and_update().clone();
    before.values().for_each(|fact| feed(&state, fact));
    while known.changed().await.is_ok() {
        let now = known.borrow_and_update().clone();
        for (key, fact) in now.iter() {
            if before.get(key) != Some(fact) {
                feed(&state, fact);
            }
        }
        before = now;
        super::shares::publish(&state);
    }
}

fn feed(state: &Rc<State>, fact: &Fact) {
    match fact {
        Fact::MoveRow { revision, row, .. } => {
            if let Ok(row) = serde_json::from_str::<MoveRow>(row) {
                state.learn(row, *revision);
            }
        }
        Fact::BadVersion { at, .. } | Fact::Aborted { at, .. } | Fact::Cleared { at, .. } => {
            let now = state.now();
            state.hub.timeline().borrow_mut().observe(*at, now.wall);
            let mut moves = state.moves.borrow_mut();
            let mut wanted = Vec::new();
            for (mv, entry) in moves.iter_mut() {
                let actions = entry.control.step(now, Input::Fact(fact.clone()));
                wanted.extend(actions.into_iter().map(|action| (mv.clone(), action)));
            }
            drop(moves);
            super::act::perform(state, wanted);
        }
        Fact::Quarantined { .. } | Fact::CrashSeen { .. } | Fact::Head(_) => {}
    }
}
