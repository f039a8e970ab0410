//! What an operator reads of each move: done, taken back or not known yet, with times, shares,
//! counts and a reason.

mod table;

pub use table::table;

use crate::control::{HoldReason, MoveControl, Phase};
use crate::plan::{Cause, MoveRow, OutcomeKind, Summary};
use serde::{Deserialize, Serialize};
use sycamore_types::prelude::*;

/// What is known of a move's end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// It has not begun.
    Planned,
    /// It has begun and its end is not known yet.
    NotKnownYet,
    /// The new version has taken over.
    Done,
    /// The new version has lost its traffic.
    TakenBack,
}

/// The report on one move.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MoveReport {
    /// The plan.
    pub plan: PlanId,
    /// The move.
    #[serde(rename = "move")]
    pub mv: MoveId,
    /// The service.
    pub service: ServiceName,
    /// The old version.
    pub from: UpstreamVersion,
    /// The new version.
    pub to: UpstreamVersion,
    /// What is known.
    pub state: State,
    /// The share of the new version now, or when the outcome was decided.
    pub share: Share,
    /// When it began or begins.
    pub start: WallTime,
    /// When it must be decided.
    pub deadline: WallTime,
    /// When the outcome was decided.
    pub decided: Option<WallTime>,
    /// When the outcome was recorded; `None` while the table does not hold it.
    pub recorded: Option<WallTime>,
    /// Whether the outcome was decided by the deadline; `None` while it is open.
    pub in_time: Option<bool>,
    /// What decided it.
    pub cause: Option<Cause>,
    /// The counts behind it, as far as the reporting node has them.
    pub evidence: Summary,
    /// Why, in a sentence.
    pub reason: String,
    /// Revision of the row that the report is based on.
    pub revision: u64,
}

/// The report on a move as one node knows it.
pub fn report(control: &MoveControl, wall: WallTime) -> MoveReport {
    let (row, revision) = control.row();
    let phase = control.phase(wall);
    let of_row = report_row(row, revision, control.split(wall).to, control.summary());
    match phase {
        Phase::Planned | Phase::Done | Phase::TakenBack => of_row,
        Phase::Step(step) => {
            MoveReport { state: State::NotKnownYet, reason: progress(control, step), ..of_row }
        }
        Phase::Withdrawn => MoveReport {
            state: if row.is_ended() { State::TakenBack } else { State::NotKnownYet },
            reason: withdrawn(control),
            ..of_row
        },
    }
}

/// The report on a move of which only the row is known.
pub fn report_row(row: &MoveRow, revision: u64, share: Share, evidence: Summary) -> MoveReport {
    let open = MoveReport {
        plan: row.plan.clone(),
        mv: row.spec.mv.clone(),
        service: row.spec.service.clone(),
        from: row.spec.from.clone(),
        to: row.spec.to.clone(),
        state: State::Planned,
        share,
        start: row.spec.start,
        deadline: row.spec.deadline,
        decided: None,
        recorded: None,
        in_time: None,
        cause: None,
        evidence,
        reason: "waits for its start".to_owned(),
        revision,
    };
    match &row.outcome {
        None => open,
        Some(outcome) => MoveReport {
            state: match outcome.kind {
                OutcomeKind::Done => State::Done,
                OutcomeKind::TakenBack => State::TakenBack,
            },
            share: outcome.share,
            decided: Some(outcome.at),
            recorded: Some(row.at),
            in_time: Some(outcome.at <= row.spec.deadline),
            cause: Some(outcome.cause),
            evidence: outcome.evidence.clone(),
            reason: outcome.reason.clone(),
            ..open
        },
    }
}

fn progress(control: &MoveControl, step: usize) -> String {
    let (row, _) = control.row();
    let steps = row.schedule.steps.len();
    let waits = match control.hold_reason() {
        None => "is under way",
        Some(HoldReason::MinHoldTime) => "is held as scheduled",
        Some(HoldReason::TooFewReports) => "waits, as too few nodes report",
        Some(HoldReason::Evidence) => "waits for more evidence",
    };
    if step > row.schedule.watch_step() {
        return "all traffic moved; not every live instance has confirmed the watch period"
            .to_owned();
    }
    format!("step {} of {steps} {waits}", step + 1)
}

fn withdrawn(control: &MoveControl) -> String {
    let why = control.verdict().unwrap_or("aborted by an operator");
    let (row, _) = control.row();
    if row.is_ended() {
        format!("was recorded as done, then withdrawn: {why}")
    } else {
        format!("withdrawn, not yet recorded: {why}")
    }
}
