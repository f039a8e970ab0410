//! Import of a sheet into a plan: all of its changes are written in one transaction, or none.

use super::change::{Change, Write};
use super::row::{move_key, plan_key, Author, MoveRow, MoveSpec, PlanRow};
use crate::ramp::{fit, FitOptions};
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt;
use sycamore_types::prelude::*;

/// Plan and moves as read from the table, with the revisions of their rows.
#[derive(Debug, Clone, Default)]
pub struct Stored {
    /// Row of the plan; `None` if the plan is new.
    pub plan: Option<(PlanRow, u64)>,
    /// Rows of the moves; those of other plans are used to find overlaps.
    pub moves: BTreeMap<MoveId, (MoveRow, u64)>,
}

/// Field of a move that differs between the table and the sheet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct FieldChange {
    /// Name of the sheet's column.
    pub field: &'static str,
    /// Value in the table.
    pub was: String,
    /// Value in the sheet.
    pub is: String,
}

/// Differences between a sheet and the table.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Diff {
    /// Moves that the table does not hold yet.
    pub added: Vec<MoveId>,
    /// Moves that differ, each with the differing fields.
    pub changed: Vec<(MoveId, Vec<FieldChange>)>,
    /// Moves that do not differ.
    pub same: Vec<MoveId>,
    /// Moves of the plan that the sheet no longer names. They stay in force: only an abort takes
    /// one back.
    pub missing: Vec<MoveId>,
}

/// Rows that an import writes in one transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Imported {
    /// Differences to the table before the import.
    pub diff: Diff,
    /// Write of the plan's row; `None` if nothing differs and nothing is written.
    pub plan: Option<Write<PlanRow>>,
    /// Writes of the added and changed moves' rows.
    pub moves: Vec<Write<MoveRow>>,
}

/// Reason why a move of a sheet cannot be imported.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ImportRefusal {
    /// The move has begun, so its row must not change any more.
    Begun,
    /// The move has ended, so its row must not change any more.
    Ended,
    /// The deadline is in the past.
    Late,
    /// The move overlaps in time with this open move of the same service.
    Overlap(MoveId),
}

impl fmt::Display for ImportRefusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ImportRefusal::Begun => {
                write!(f, "has begun and cannot change; abort it and plan another move")
            }
            ImportRefusal::Ended => write!(f, "has ended and cannot change; plan another move"),
            ImportRefusal::Late => write!(f, "deadline is in the past"),
            ImportRefusal::Overlap(other) => {
                write!(f, "overlaps with move {other} of the same service")
            }
        }
    }
}

/// Error of an import: at least one move was refused, so nothing was imported.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ImportError {
    /// Refused moves, each with the reason.
    pub refusals: Vec<(MoveId, ImportRefusal)>,
}

impl fmt::Display for ImportError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.refusals.iter().try_for_each(|(mv, why)| writeln!(f, "move {mv}: {why}"))
    }
}

impl std::error::Error for ImportError {}

/// Compares a sheet's moves with the table and returns the rows to write.
///
/// # Errors
/// [`ImportError`] if a move that differs has begun or ended, has a deadline in the past or
/// overlaps.
pub fn import(
    plan: &PlanId,
    specs: &[MoveSpec],
    stored: &Stored,
    change: &Change,
) -> Result<Imported, ImportError> {
    let mut diff = Diff::default();
    let mut writes = Vec::new();
    let mut refusals = Vec::new();
    for spec in specs {
        let old = stored.moves.get(&spec.mv);
        if old.is_some_and(|(row, _)| row.spec == *spec) {
            diff.same.push(spec.mv.clone());
            continue;
        }
        if let Some(refusal) = refusal(spec, old.map(|(row, _)| row), stored, change.at) {
            refusals.push((spec.mv.clone(), refusal));
            continue;
        }
        match old {
            None => diff.added.push(spec.mv.clone()),
            Some((row, _)) => diff.changed.push((spec.mv.clone(), differences(&row.spec, spec))),
        }
        writes.push(write_move(plan, spec, old.map_or(0, |(_, revision)| *revision), change));
    }
    diff.missing = missing(specs, stored);
    if !refusals.is_empty() {
        return Err(ImportError { refusals });
    }
    let plan = (!writes.is_empty()).then(|| write_plan(plan, specs, stored, &diff, change));
    Ok(Imported { diff, plan, moves: writes })
}

/// Returns why a move that differs from the table cannot be imported, if there is a reason.
fn refusal(
    spec: &MoveSpec,
    old: Option<&MoveRow>,
    stored: &Stored,
    now: WallTime,
) -> Option<ImportRefusal> {
    match old {
        Some(row) if row.is_ended() => return Some(ImportRefusal::Ended),
        Some(row) if row.spec.start <= now => return Some(ImportRefusal::Begun),
        _ => {}
    }
    if spec.deadline <= now {
        return Some(ImportRefusal::Late);
    }
    let overlapping = stored.moves.values().map(|(row, _)| row).find(|row| {
        row.spec.mv != spec.mv
            && row.spec.service == spec.service
            && !row.is_ended()
            && row.spec.start < spec.deadline
            && spec.start < row.spec.deadline
    });
    overlapping.map(|row| ImportRefusal::Overlap(row.spec.mv.clone()))
}

/// Returns the write of a move's row, with a schedule computed at the time of the change.
fn write_move(plan: &PlanId, spec: &MoveSpec, revision: u64, change: &Change) -> Write<MoveRow> {
    let row = MoveRow {
        plan: plan.clone(),
        spec: spec.clone(),
        schedule: fit(spec, change.at, &FitOptions::default()),
        outcome: None,
        author: change.author.clone(),
        op: change.op,
        at: change.at,
    };
    Write { key: move_key(plan, &spec.mv), revision, row }
}

/// Returns the write of the plan's row, which keeps the moves that the sheet no longer names.
fn write_plan(
    plan: &PlanId,
    specs: &[MoveSpec],
    stored: &Stored,
    diff: &Diff,
    change: &Change,
) -> Write<PlanRow> {
    let named = specs.iter().map(|spec| spec.mv.clone());
    let row = PlanRow {
        plan: plan.clone(),
        moves: named.chain(diff.missing.iter().cloned()).collect(),
        author: change.author.clone(),
        op: change.op,
        at: change.at,
    };
    let revision = stored.plan.as_ref().map_or(0, |(_, revision)| *revision);
    Write { key: plan_key(plan), revision, row }
}

/// Returns the moves of the stored plan that the sheet no longer names.
fn missing(specs: &[MoveSpec], stored: &Stored) -> Vec<MoveId> {
    let of_plan = stored.plan.iter().flat_map(|(row, _)| &row.moves);
    of_plan.filter(|mv| specs.iter().all(|spec| spec.mv != **mv)).cloned().collect()
}

/// Returns the fields in which two versions of a move differ.
fn differences(was: &MoveSpec, is: &MoveSpec) -> Vec<FieldChange> {
    let fields = [
        ("service", was.service.to_string(), is.service.to_string()),
        ("from", was.from.to_string(), is.from.to_string()),
        ("to", was.to.to_string(), is.to.to_string()),
        ("start", was.start.0.to_string(), is.start.0.to_string()),
        ("deadline", was.deadline.0.to_string(), is.deadline.0.to_string()),
        ("cap", was.cap.to_string(), is.cap.to_string()),
        ("watch", format!("{:?}", was.watch), format!("{:?}", is.watch)),
        ("on_timeout", format!("{:?}", was.on_timeout), format!("{:?}", is.on_timeout)),
    ];
    let differing = fields.into_iter().filter(|(_, was, is)| was != is);
    differing.map(|(field, was, is)| FieldChange { field, was, is }).collect()
}

/// Creates the conflict of an import with the plan's row in force.
impl From<&PlanRow> for super::Conflict {
    fn from(row: &PlanRow) -> Self {
        let stands = format!("plan {} was imported", row.plan);
        let winner: Author = row.author.clone();
        Self { winner, op: row.op, at: row.at, stands }
    }
}
