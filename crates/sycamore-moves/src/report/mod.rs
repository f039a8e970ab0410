//! Reports on moves for operators: done, taken back or not known yet, with times, shares, counts
//! and a reason.

mod table;

pub use table::table;

use crate::control::{HoldReason, MoveControl, Phase};
use crate::plan::{Cause, MoveRow, OutcomeKind, Summary};
use serde::{Deserialize, Serialize};
use sycamore_types::prelude::*;

/// State of a move, as an operator reads it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// The move has not begun.
    Planned,
    /// The move has begun and has no recorded outcome yet.
    NotKnownYet,
    /// The new version has taken over all traffic.
    Done,
    /// The old version has all traffic again.
    TakenBack,
}

/// Report on one move.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MoveReport {
    /// Plan that the move belongs to.
    pub plan: PlanId,
    /// Name of the move.
    #[serde(rename = "move")]
    pub mv: MoveId,
    /// Service whose traffic is moved.
    pub service: ServiceName,
    /// Old version, which served before the move.
    pub from: UpstreamVersion,
    /// New version, which takes over.
    pub to: UpstreamVersion,
    /// State of the move.
    pub state: State,
    /// Share of the new version now or, once there is an outcome, when it was decided.
    pub share: Share,
    /// Time at which the move begins or began.
    pub start: WallTime,
    /// Time by which the move must be decided.
    pub deadline: WallTime,
    /// Time at which the outcome was decided; `None` while the table holds none.
    pub decided: Option<WallTime>,
    /// Time at which the outcome was recorded; `None` while the table holds none.
    pub recorded: Option<WallTime>,
    /// Whether the outcome was decided by the deadline; `None` while the table holds none.
    pub in_time: Option<bool>,
    /// Cause of the outcome; `None` while the table holds none.
    pub cause: Option<Cause>,
    /// Counts of the outcome or, before there is one, those that the reporting node has merged.
    pub evidence: Summary,
    /// Reason for the outcome, or progress of the move, as a phrase.
    pub reason: String,
    /// Revision of the row that the report is based on.
    pub revision: u64,
}

/// Creates the report on a move from the state of one node at `wall`.
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

/// Creates the report on a move from its row, the share in force and the counts.
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

/// Returns the progress of an open move as a phrase.
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

/// Returns the reason why the new version was withdrawn, and whether that contradicts the recorded
/// outcome.
fn withdrawn(control: &MoveControl) -> String {
    let why = control.verdict().unwrap_or("aborted by an operator");
    let (row, _) = control.row();
    if row.is_ended() {
        format!("was recorded as done, then withdrawn: {why}")
    } else {
        format!("withdrawn, not yet recorded: {why}")
    }
}
