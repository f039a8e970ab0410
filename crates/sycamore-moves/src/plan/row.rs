//! Rows of plans and moves in the platform's table, stored as JSON.

use crate::ramp::{Schedule, MAX_STEPS, MIN_STEPS};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use serde_with::{serde_as, DurationMilliSeconds};
use std::fmt;
use std::time::Duration;
use sycamore_types::prelude::*;

/// Default of [`MoveSpec::cap`], for moves whose sheet names no cap.
pub const DEFAULT_CAP: Share = Share::from_basis_points(500);
/// Prefix of the keys of all moves' rows.
pub const MOVE_PREFIX: &str = "move/";

/// Returns the key of a plan's row.
pub fn plan_key(plan: &PlanId) -> String {
    format!("plan/{plan}")
}

/// Returns the key of a move's row.
pub fn move_key(plan: &PlanId, mv: &MoveId) -> String {
    format!("{MOVE_PREFIX}{plan}/{mv}")
}

/// Action on a move whose evidence does not suffice by its deadline.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OnTimeout {
    /// Take the move back.
    #[default]
    TakeBack,
    /// Keep the share; the move may be done after its deadline.
    Hold,
}

/// Specification of a move, as the planner wrote it.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MoveSpec {
    /// Name of the move.
    pub mv: MoveId,
    /// Service whose traffic is moved.
    pub service: ServiceName,
    /// Old version, which serves before the move.
    pub from: UpstreamVersion,
    /// New version, which takes over.
    pub to: UpstreamVersion,
    /// Time at which the new version gets its first traffic.
    pub start: WallTime,
    /// Time by which the new version must have taken over.
    pub deadline: WallTime,
    /// Share of the new version during the first step, before there is evidence on it.
    pub cap: Share,
    /// Length of the watch period, in which the new version has nearly all traffic; written in
    /// milliseconds. `None` lets the schedule choose it.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(rename = "watch_ms")]
    pub watch: Option<Duration>,
    /// Action if the evidence does not suffice by the deadline.
    pub on_timeout: OnTimeout,
}

/// Writer of a row.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Author {
    /// Operator, by a command.
    Operator(OperatorName),
    /// Node, because of evidence or because the deadline passed.
    Node(InstanceId),
}

impl fmt::Display for Author {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Author::Operator(name) => write!(f, "operator {name}"),
            Author::Node(instance) => write!(f, "node {instance}"),
        }
    }
}

/// Row of a plan in the platform's table.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PlanRow {
    /// Name of the plan.
    pub plan: PlanId,
    /// Moves of the plan, in the order of the sheet.
    pub moves: Vec<MoveId>,
    /// Operator who imported the plan last.
    pub author: Author,
    /// Id of the operation that wrote the row.
    pub op: OpId,
    /// Time at which the row was written.
    pub at: WallTime,
}

/// Row of a move in the platform's table.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MoveRow {
    /// Plan that the move belongs to.
    pub plan: PlanId,
    /// Specification from the sheet.
    pub spec: MoveSpec,
    /// Schedule of the move. It holds all steps, so going through them needs no further write.
    pub schedule: Schedule,
    /// Outcome of the move, written once; `None` while it is open.
    pub outcome: Option<Outcome>,
    /// Operator or node that wrote the row last.
    pub author: Author,
    /// Id of the operation that wrote the row.
    pub op: OpId,
    /// Time at which the row was written.
    pub at: WallTime,
}

/// Final state of a move.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OutcomeKind {
    /// The new version has taken over all traffic.
    Done,
    /// The old version has all traffic again.
    TakenBack,
}

/// Cause of a move's outcome.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Cause {
    /// Every live instance of the new version has confirmed that the watch period was clean.
    Proven,
    /// The tests found the new version bad.
    Bad,
    /// An operator aborted the move.
    Aborted,
    /// The evidence did not suffice by the deadline.
    Timeout,
}

/// Counts on which an outcome was decided.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Summary {
    /// Calls that ran on the new version, including those while it was cold.
    pub calls: u64,
    /// Failed calls among `calls`, without cold ones.
    pub failed: u64,
    /// Calls among `calls` answered with a status of 400 to 499, without cold ones.
    pub rejected: u64,
    /// Crashes of instances of the new version.
    pub crashes: u64,
    /// Calls that ran on the old version in the same time, without cold ones.
    pub old_calls: u64,
    /// Failed calls among `old_calls`.
    pub old_failed: u64,
}

/// Outcome of a move, written once.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Outcome {
    /// Final state of the move.
    pub kind: OutcomeKind,
    /// Cause of the decision.
    pub cause: Cause,
    /// Reason in a sentence, for operators.
    pub reason: String,
    /// Time of the decision; the row's `at` is the time at which it was recorded.
    pub at: WallTime,
    /// Share of the new version at the time of the decision.
    pub share: Share,
    /// Counts on which the outcome was decided.
    pub evidence: Summary,
}

/// Error of a row that holds no valid move.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RowError {
    /// The value can't be decoded, for this reason.
    Malformed(String),
    /// The row under this key holds the move with the other one.
    Misplaced {
        /// Key of the row.
        key: String,
        /// Key of the move in it.
        held: String,
    },
    /// The schedule has this number of steps.
    Steps(usize),
}

impl fmt::Display for RowError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RowError::Malformed(why) => write!(f, "value is no move: {why}"),
            RowError::Misplaced { key, held } => {
                write!(f, "row {key} holds the move of row {held}")
            }
            RowError::Steps(steps) => {
                write!(f, "schedule has {steps} steps; expected {MIN_STEPS} to {MAX_STEPS}")
            }
        }
    }
}

impl std::error::Error for RowError {}

impl MoveRow {
    /// Decodes the `value` of the row under `key`, which anybody may have written.
    ///
    /// # Errors
    /// [`RowError`] if the value is malformed, or the move doesn't belong to the key or has no valid
    /// schedule.
    pub fn decode(key: &str, value: &Value) -> Result<Self, RowError> {
        let row = Self::deserialize(value).map_err(|err| RowError::Malformed(err.to_string()))?;
        let held = move_key(&row.plan, &row.spec.mv);
        if held != key {
            return Err(RowError::Misplaced { key: key.to_owned(), held });
        }
        row.checked()
    }

    /// Decodes the `text` of a row that another node passed on.
    ///
    /// # Errors
    /// [`RowError`] if the text is malformed, or the move has no valid schedule.
    pub fn decode_text(text: &str) -> Result<Self, RowError> {
        let row: Self =
            serde_json::from_str(text).map_err(|err| RowError::Malformed(err.to_string()))?;
        row.checked()
    }

    fn checked(self) -> Result<Self, RowError> {
        match self.schedule.steps.len() {
            MIN_STEPS..=MAX_STEPS => Ok(self),
            steps => Err(RowError::Steps(steps)),
        }
    }

    /// Returns whether the move has its outcome.
    pub fn is_ended(&self) -> bool {
        self.outcome.is_some()
    }
}
