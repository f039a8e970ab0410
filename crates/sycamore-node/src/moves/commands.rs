//! Operators' commands: import a sheet, abort a move.

use super::state::State;
use super::{act, rows, Moves};
use crate::operator::OperatorError;
use serde::Deserialize;
use serde_json::{json, Value};
use std::rc::Rc;
use sycamore_moves::plan::{
    abort, import, plan_key, Author, Change, Imported, MoveRow, MoveSpec, PlanRow, Stored,
    MOVE_PREFIX,
};
use sycamore_moves::sheet;
use sycamore_platform::settle::{propose, Proposal, SettleSettings, Settled};
use sycamore_platform::{Condition, Conflict, PageQuery, Revision, Row, Table, Write};
use sycamore_types::prelude::*;

/// Rows in a page.
const PAGE_ROWS: usize = 500;
/// Pages read for one import at most.
const MAX_PAGES: usize = 8;

#[derive(Deserialize)]
struct ImportBody {
    operator: OperatorName,
    op: OpId,
    plan: PlanId,
    sheet: String,
}

#[derive(Deserialize)]
struct AbortBody {
    operator: OperatorName,
    op: OpId,
    #[serde(rename = "move")]
    mv: MoveId,
    #[serde(default)]
    reason: String,
}

impl Moves {
    /// Imports the sheet in `body` as a plan.
    ///
    /// # Errors
    /// [`OperatorError`] where the sheet is faulty, somebody else won or the platform is out.
    pub async fn import(&self, body: &[u8]) -> Result<Value, OperatorError> {
        let body: ImportBody = serde_json::from_slice(body).map_err(OperatorError::bad_input)?;
        let cap = self.state.hub.settings.moves.unproven_share;
        let specs = sheet::parse_with_cap(body.sheet.as_bytes(), cap).map_err(|faults| {
            OperatorError::BadInput {
                error: format!("the sheet has {} faults; nothing was imported", faults.len()),
                faults: faults.iter().map(ToString::to_string).collect(),
            }
        })?;
        import_specs(&self.state, &body, &specs).await
    }

    /// Aborts a move; works with the platform out as well.
    ///
    /// # Errors
    /// [`OperatorError`] where there is no such move or it has ended.
    pub async fn abort(&self, body: &[u8]) -> Result<Value, OperatorError> {
        let body: AbortBody = serde_json::from_slice(body).map_err(OperatorError::bad_input)?;
        if !self.state.moves.borrow().contains_key(&body.mv) {
            rows::read_all(&self.state, MOVE_PREFIX).await;
        }
        abort_move(&self.state, &body).await
    }
}

async fn import_specs(
    state: &Rc<State>,
    body: &ImportBody,
    specs: &[MoveSpec],
) -> Result<Value, OperatorError> {
    let plan_row = get(state, &plan_key(&body.plan)).await?;
    let stored = stored(state, plan_row.as_ref()).await?;
    let change = Change {
        author: Author::Operator(body.operator.clone()),
        op: body.op,
        at: state.hub.clock.wall(),
    };
    let imported =
        import(&body.plan, specs, &stored, &change).map_err(|error| OperatorError::BadInput {
            error: "the sheet can't be taken; nothing was imported".to_owned(),
            faults: error.refusals.iter().map(|(mv, why)| format!("move {mv}: {why}")).collect(),
        })?;
    let held = plan_row.as_ref().map_or(0, |row| row.revision.0);
    let revision = match &imported.plan {
        None => held,
        Some(write) => {
            let revision = commit(state, plan_row.as_ref(), &write.row, &imported).await?;
            for write in &imported.moves {
                rows::take(state, write.row.clone(), write.revision + 1);
            }
            state.hub.record(EventKind::PlanImported { plan: body.plan.clone() });
            super::shares::publish(state);
            revision
        }
    };
    let diff = &imported.diff;
    Ok(json!({
        "plan": body.plan,
        "revision": revision,
        "added": diff.added,
        "changed": diff.changed.iter().map(|(mv, fields)| json!({"move": mv, "fields": fields}))
            .collect::<Vec<_>>(),
        "same": diff.same,
        "missing": diff.missing,
    }))
}

/// The plan's row as given, and all moves of the table.
async fn stored(state: &State, plan: Option<&Row>) -> Result<Stored, OperatorError> {
    let plan = match plan {
        None => None,
        Some(row) => Some((parse::<PlanRow>(row)?, row.revision.0)),
    };
    let mut moves = std::collections::BTreeMap::new();
    let mut after = String::new();
    for _ in 0..MAX_PAGES {
        let query = PageQuery { prefix: MOVE_PREFIX, after: &after, limit: PAGE_ROWS };
        let page = state.platform.http().list(query).await.map_err(unavailable)?;
        for row in &page.rows {
            let parsed: MoveRow = parse(row)?;
            moves.insert(parsed.spec.mv.clone(), (parsed, row.revision.0));
        }
        match page.rows.last() {
            Some(last) if page.more => after = last.key.clone(),
            _ => break,
        }
    }
    Ok(Stored { plan, moves })
}

/// Writes the plan and its changed moves in one transaction.
async fn commit(
    state: &State,
    base: Option<&Row>,
    plan: &PlanRow,
    imported: &Imported,
) -> Result<u64, OperatorError> {
    let condition = |write: &sycamore_moves::plan::Write<MoveRow>| Condition {
        key: write.key.clone(),
        revision: Revision(write.revision),
    };
    let write = |write: &sycamore_moves::plan::Write<MoveRow>| Write {
        key: write.key.clone(),
        value: serde_json::to_value(&write.row).ok(),
    };
    let key = plan_key(&plan.plan);
    let proposal = Proposal {
        key: &key,
        base,
        op: plan.op,
        body: serde_json::to_value(plan).map_err(OperatorError::bad_input)?,
        conditions: imported.moves.iter().map(condition).collect(),
        writes: imported.moves.iter().map(write).collect(),
    };
    let table = state.platform.http();
    match propose(table, proposal, &SettleSettings::default(), rand::random()).await {
        Settled::Won { revision } => Ok(revision.0),
        Settled::Lost { winner } => Err(conflict(&winner)),
        Settled::Unknown { may_have_run } => Err(unknown(may_have_run)),
    }
}

async fn abort_move(state: &Rc<State>, body: &AbortBody) -> Result<Value, OperatorError> {
    let (key, fact, ended) = match state.moves.borrow().get(&body.mv) {
        None => return Err(OperatorError::NotFound(format!("move {}", body.mv))),
        Some(entry) => {
            let (row, _) = entry.control.row();
            let fact = Fact::Aborted {
                by: body.mv.clone(),
                service: row.spec.service.clone(),
                version: row.spec.to.clone(),
                at: Stamp::default().tick(state.hub.clock.wall()),
            };
            let key = sycamore_moves::plan::move_key(&row.plan, &body.mv);
            (key, fact, row.is_ended().then(|| row.clone()))
        }
    };
    if let Some(row) = ended {
        return Err(ended_before(&row));
    }
    // The safe direction needs nobody: it spreads now and is recorded as soon as that can be done.
    state.hub.raise(fact);
    record_abort(state, &key, body).await
}

async fn record_abort(
    state: &Rc<State>,
    key: &str,
    body: &AbortBody,
) -> Result<Value, OperatorError> {
    let unrecorded = json!({ "move": body.mv, "revision": null });
    let Ok(stored) = get(state, key).await else { return Ok(unrecorded) };
    let Some(stored) = stored else {
        return Err(OperatorError::NotFound(format!("move {}", body.mv)));
    };
    let row: MoveRow = parse(&stored)?;
    let evidence =
        state.moves.borrow().get(&body.mv).map(|entry| entry.control.summary()).unwrap_or_default();
    let change = Change {
        author: Author::Operator(body.operator.clone()),
        op: body.op,
        at: state.hub.clock.wall(),
    };
    let write = match abort(&row, stored.revision.0, &body.reason, evidence, change) {
        // The answer to an earlier try of the same command was lost.
        Err(_) if row.op == body.op => {
            return Ok(json!({ "move": body.mv, "revision": stored.revision.0 }));
        }
        Err(_) => {
            rows::take(state, row.clone(), stored.revision.0);
            return Err(ended_before(&row));
        }
        Ok(write) => write,
    };
    match act::write_row(state, &stored, write.row, body.op).await {
        Some(Settled::Won { revision }) => Ok(json!({ "move": body.mv, "revision": revision.0 })),
        Some(Settled::Lost { winner }) => Err(conflict(&winner)),
        Some(Settled::Unknown { .. }) | None => Ok(unrecorded),
    }
}

async fn get(state: &State, key: &str) -> Result<Option<Row>, OperatorError> {
    state.platform.http().get(key).await.map_err(unavailable)
}

fn parse<T: serde::de::DeserializeOwned>(row: &Row) -> Result<T, OperatorError> {
    serde_json::from_value(row.value.clone()).map_err(|error| {
        OperatorError::Unavailable(format!("row {} is malformed: {error}", row.key))
    })
}

fn unavailable(report: error_stack::Report<sycamore_platform::Error>) -> OperatorError {
    OperatorError::Unavailable(format!("the platform is out: {}", report.current_context()))
}

fn unknown(may_have_run: bool) -> OperatorError {
    let effect = if may_have_run { "may have had its effect" } else { "had no effect" };
    OperatorError::Unavailable(format!("the platform is out; the import {effect}"))
}

fn ended_before(row: &MoveRow) -> OperatorError {
    let conflict = sycamore_moves::plan::Conflict::with(row);
    OperatorError::Conflict { error: conflict.to_string(), winner: conflict.winner.to_string() }
}

/// The conflict that `winner`, a plan's or a move's row, stands for.
fn conflict(winner: &Conflict) -> OperatorError {
    let value = winner.value.clone().unwrap_or_default();
    let conflict = match serde_json::from_value::<MoveRow>(value.clone()) {
        Ok(row) => Some(sycamore_moves::plan::Conflict::with(&row)),
        Err(_) => serde_json::from_value::<PlanRow>(value)
            .ok()
            .map(|row| sycamore_moves::plan::Conflict::from(&row)),
    };
    match conflict {
        Some(found) => {
            OperatorError::Conflict { error: found.to_string(), winner: found.winner.to_string() }
        }
        None => OperatorError::Conflict {
            error: format!("row {} was changed", winner.key),
            winner: "unknown".to_owned(),
        },
    }
}
