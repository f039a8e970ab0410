//! The operator commands `sheet-import` and `move-abort`.

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

/// Number of move rows read per page.
const PAGE_ROWS: usize = 500;
/// Maximum number of pages read for one import; rows beyond them are ignored.
const MAX_PAGES: usize = 8;

/// Body of the command `sheet-import`.
#[derive(Deserialize)]
struct ImportBody {
    operator: OperatorName,
    op: OpId,
    plan: PlanId,
    sheet: String,
}

/// Body of the command `move-abort`.
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
    /// Runs the command `sheet-import`: imports the release sheet in `body` as a plan.
    ///
    /// # Errors
    /// [`OperatorError`] if the sheet is invalid, another change was committed first or the
    /// platform is unavailable.
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

    /// Runs the command `move-abort`: takes the move in `body` back. Also works while the platform
    /// is unavailable, as the abort spreads between nodes.
    ///
    /// # Errors
    /// [`OperatorError`] if the move is unknown or has ended.
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
    let stored = read_stored(state, plan_row.as_ref()).await?;
    let change = Change {
        author: Author::Operator(body.operator.clone()),
        op: body.op,
        at: state.hub.clock.wall(),
    };
    let imported =
        import(&body.plan, specs, &stored, &change).map_err(|error| OperatorError::BadInput {
            error: format!("{} moves were refused; nothing was imported", error.refusals.len()),
            faults: error.refusals.iter().map(|(mv, why)| format!("move {mv}: {why}")).collect(),
        })?;
    let stored_revision = plan_row.as_ref().map_or(0, |row| row.revision.0);
    let revision = match &imported.plan {
        None => stored_revision,
        Some(write) => {
            let revision = commit(state, plan_row.as_ref(), &write.row, &imported).await?;
            for write in &imported.moves {
                rows::learn(state, write.row.clone(), write.revision + 1);
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

/// Decodes the plan's row and reads the rows of all moves from the table.
async fn read_stored(state: &State, plan: Option<&Row>) -> Result<Stored, OperatorError> {
    let plan = match plan {
        None => None,
        Some(row) => Some((parse_plan(row)?, row.revision.0)),
    };
    let mut moves = std::collections::BTreeMap::new();
    let mut after = String::new();
    for _ in 0..MAX_PAGES {
        let query = PageQuery { prefix: MOVE_PREFIX, after: &after, limit: PAGE_ROWS };
        let page = state.platform.http().list(query).await.map_err(unavailable)?;
        for row in &page.rows {
            // The transaction that would replace a row which can't be read fails for its revision.
            if let Some(parsed) = rows::decode(state, row) {
                moves.insert(parsed.spec.mv.clone(), (parsed, row.revision.0));
            }
        }
        match page.rows.last() {
            Some(last) if page.more => after = last.key.clone(),
            _ => break,
        }
    }
    Ok(Stored { plan, moves })
}

/// Writes the plan and its changed moves in one transaction; returns the plan's new revision.
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
        Settled::Unknown { may_have_run } => Err(import_unknown(may_have_run)),
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
        return Err(already_ended(&row));
    }
    // Taking a move back is always safe and needs no agreement: the fact spreads at once, and
    // the table is updated when the platform answers.
    state.hub.raise(fact);
    record_abort(state, &key, body).await
}

/// Writes the abort into the move's row. The answer holds revision `null` if the platform does not
/// confirm the write.
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
    let row =
        MoveRow::decode(&stored.key, &stored.value).map_err(|error| malformed(&stored, &error))?;
    let evidence =
        state.moves.borrow().get(&body.mv).map(|entry| entry.control.summary()).unwrap_or_default();
    let change = Change {
        author: Author::Operator(body.operator.clone()),
        op: body.op,
        at: state.hub.clock.wall(),
    };
    let write = match abort(&row, stored.revision.0, &body.reason, evidence, change) {
        // This operation was recorded by an earlier attempt whose answer was lost.
        Err(_) if row.op == body.op => {
            return Ok(json!({ "move": body.mv, "revision": stored.revision.0 }));
        }
        Err(_) => {
            rows::learn(state, row.clone(), stored.revision.0);
            return Err(already_ended(&row));
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

fn parse_plan(row: &Row) -> Result<PlanRow, OperatorError> {
    PlanRow::deserialize(&row.value).map_err(|error| malformed(row, &error))
}

fn malformed(row: &Row, error: &dyn std::error::Error) -> OperatorError {
    OperatorError::Unavailable(format!("row {} is malformed: {error}", row.key))
}

fn unavailable(report: error_stack::Report<sycamore_platform::Error>) -> OperatorError {
    OperatorError::Unavailable(format!("the platform is unavailable: {}", report.current_context()))
}

fn import_unknown(may_have_run: bool) -> OperatorError {
    let effect = if may_have_run { "may have been committed" } else { "was not committed" };
    OperatorError::Unavailable(format!("the platform is unavailable; the import {effect}"))
}

fn already_ended(row: &MoveRow) -> OperatorError {
    let conflict = sycamore_moves::plan::Conflict::with(row);
    OperatorError::Conflict { error: conflict.to_string(), winner: conflict.winner.to_string() }
}

/// Describes the conflict with `winner`, the row of a plan or of a move that was committed first.
fn conflict(winner: &Conflict) -> OperatorError {
    let value = winner.value.clone().unwrap_or_default();
    let conflict = match MoveRow::decode(&winner.key, &value) {
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
            error: format!("row {} was changed by another writer", winner.key),
            winner: "unknown".to_owned(),
        },
    }
}
