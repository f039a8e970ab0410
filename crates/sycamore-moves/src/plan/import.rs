//! Import of a sheet into a plan: what is new, what differs, what stays; all of it or nothing.

use super::change::{Change, Write};
use super::row::{move_key, plan_key, Author, MoveRow, MoveSpec, PlanRow};
use crate::ramp::{fit, FitOptions};
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt;
use sycamore_types::prelude::*;

/// The plan and its moves as read from the table, with their revisions.
#[derive(Debug, Clone, Default)]
pub struct Stored {
    /// The plan's row.
    pub plan: Option<(PlanRow, u64)>,
    /// The moves' rows.
    pub moves: BTreeMap<MoveId, (MoveRow, u64)>,
}

/// A field that a changed sheet gives another value.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct FieldChange {
    /// The column's name.
    pub field: &'static str,
    /// The value that the table holds.
    pub was: String,
    /// The value that the sheet gives.
    pub is: String,
}

/// What an import changes.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Diff {
    /// Moves that the table did not hold.
    pub added: Vec<MoveId>,
    /// Moves that differ, with their fields.
    pub changed: Vec<(MoveId, Vec<FieldChange>)>,
    /// Moves that are as they were.
    pub same: Vec<MoveId>,
    /// Moves of the plan that the sheet no longer names. They stay: taking one back is a command.
    pub missing: Vec<MoveId>,
}

/// What an import writes, in one transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Imported {
    /// What differs from the table.
    pub diff: Diff,
    /// The plan's row; `None` where nothing differs, and then there is nothing to write.
    pub plan: Option<Write<PlanRow>>,
    /// The moves' rows.
    pub moves: Vec<Write<MoveRow>>,
}

/// Why one move of a sheet cannot be taken.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ImportRefusal {
    /// The move has begun, so that its row may not change; abort it and plan another.
    Begun,
    /// The move has ended.
    Ended,
    /// The deadline is in the past.
    Late,
    /// The move overlaps with another open move of its service.
    Overlap(MoveId),
}

impl fmt::Display for ImportRefusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ImportRefusal::Begun => {
                write!(f, "has begun and cannot change; abort it and plan another move")
            }
            ImportRefusal::Ended => write!(f, "has ended and cannot change; plan another move"),
            ImportRefusal::Late => write!(f, "its deadline is in the past"),
            ImportRefusal::Overlap(other) => {
                write!(f, "overlaps with move {other} of the same service")
            }
        }
    }
}

/// The moves that cannot be taken; nothing is imported.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ImportError {
    /// Each move with its reason.
    pub refusals: Vec<(MoveId, ImportRefusal)>,
}

impl fmt::Display for ImportError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.refusals.iter().try_for_each(|(mv, why)| writeln!(f, "move {mv}: {why}"))
    }
}

impl std::error::Error for ImportError {}

/// Compares a sheet with the table and says what to write.
///
/// # Errors
/// [`ImportError`] where a move that differs has begun or ended, comes too late or overlaps.
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
        writes.push(write(plan, spec, old.map_or(0, |(_, revision)| *revision), change));
    }
    diff.missing = missing(specs, stored);
    if !refusals.is_empty() {
        return Err(ImportError { refusals });
    }
    let plan = (!writes.is_empty()).then(|| write_plan(plan, specs, stored, &diff, change));
    Ok(Imported { diff, plan, moves: writes })
}

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

fn write(plan: &PlanId, spec: &MoveSpec, revision: u64, change: &Change) -> Write<MoveRow> {
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

fn missing(specs: &[MoveSpec], stored: &Stored) -> Vec<MoveId> {
    let of_plan = stored.plan.iter().flat_map(|(row, _)| &row.moves);
    of_plan.filter(|mv| specs.iter().all(|spec| spec.mv != **mv)).cloned().collect()
}

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

/// The conflict that an import met, from the plan's row that stands.
impl From<&PlanRow> for super::Conflict {
    fn from(row: &PlanRow) -> Self {
        let stands = format!("plan {} was imported", row.plan);
        let winner: Author = row.author.clone();
        Self { winner, op: row.op, at: row.at, stands }
    }
}
