//! Rows of the platform's table, in JSON.

use crate::ramp::Schedule;
use serde::{Deserialize, Serialize};
use serde_with::{serde_as, DurationMilliSeconds};
use std::fmt;
use std::time::Duration;
use sycamore_types::prelude::*;

/// Share that a version may have before evidence speaks for it, where the sheet names none.
pub const DEFAULT_CAP: Share = Share::from_basis_points(500);
/// Prefix of the keys of all moves.
pub const MOVE_PREFIX: &str = "move/";

/// Key of a plan's row.
pub fn plan_key(plan: &PlanId) -> String {
    format!("plan/{plan}")
}

/// Key of a move's row.
pub fn move_key(plan: &PlanId, mv: &MoveId) -> String {
    format!("{MOVE_PREFIX}{plan}/{mv}")
}

/// What happens to a move whose evidence does not suffice by its deadline.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OnTimeout {
    /// It is taken back.
    #[default]
    TakeBack,
    /// It keeps its share and may finish late.
    Hold,
}

/// A move as a planner asked for it.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MoveSpec {
    /// The move.
    pub mv: MoveId,
    /// The service.
    pub service: ServiceName,
    /// The version that serves now.
    pub from: UpstreamVersion,
    /// The version that takes over.
    pub to: UpstreamVersion,
    /// When the new version gets its first traffic.
    pub start: WallTime,
    /// When it must have taken over.
    pub deadline: WallTime,
    /// Its share before evidence speaks for it.
    pub cap: Share,
    /// Time that it is watched at nearly full share, in milliseconds; `None` leaves it to the
    /// schedule.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(rename = "watch_ms")]
    pub watch: Option<Duration>,
    /// What happens where evidence does not suffice by the deadline.
    pub on_timeout: OnTimeout,
}

/// Who wrote a row.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Author {
    /// An operator's command.
    Operator(OperatorName),
    /// A node, on evidence or on time.
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

/// The row of a plan.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PlanRow {
    /// The plan.
    pub plan: PlanId,
    /// Its moves, in the order of the sheet.
    pub moves: Vec<MoveId>,
    /// Who imported it last.
    pub author: Author,
    /// The operation that wrote the row.
    pub op: OpId,
    /// When.
    pub at: WallTime,
}

/// The row of a move.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MoveRow {
    /// The plan that it belongs to.
    pub plan: PlanId,
    /// What was asked for.
    pub spec: MoveSpec,
    /// The agreed schedule. It is whole, so that no later write is needed to climb it.
    pub schedule: Schedule,
    /// Its end; `None` while it is open. Written once.
    pub outcome: Option<Outcome>,
    /// Who wrote the row last.
    pub author: Author,
    /// The operation that wrote the row.
    pub op: OpId,
    /// When.
    pub at: WallTime,
}

/// How a move ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OutcomeKind {
    /// The new version has taken over.
    Done,
    /// The new version has lost its traffic.
    TakenBack,
}

/// What decided a move.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Cause {
    /// The watch period passed clean on every live instance.
    Proven,
    /// The version was found bad.
    Bad,
    /// An operator aborted the move.
    Aborted,
    /// Evidence did not suffice by the deadline.
    Timeout,
}

/// Counts that an outcome was decided on.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Summary {
    /// Calls that the new version answered, cold ones included.
    pub calls: u64,
    /// Of these, failed ones.
    pub failed: u64,
    /// Of these, answered with a status of 400 to 499.
    pub rejected: u64,
    /// Crashes of instances of the new version.
    pub crashes: u64,
    /// Calls that the old version answered in the same time.
    pub old_calls: u64,
    /// Of these, failed ones.
    pub old_failed: u64,
}

/// The end of a move, written once.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Outcome {
    /// How it ended.
    pub kind: OutcomeKind,
    /// What decided it.
    pub cause: Cause,
    /// Why, in a sentence.
    pub reason: String,
    /// When it was decided; the row's own time says when that was recorded.
    pub at: WallTime,
    /// The share that the new version had when it was decided.
    pub share: Share,
    /// The counts behind it.
    pub evidence: Summary,
}

impl MoveRow {
    /// Whether the move has its final outcome.
    pub fn is_ended(&self) -> bool {
        self.outcome.is_some()
    }
}
