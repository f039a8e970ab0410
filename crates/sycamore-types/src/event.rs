//! Typed events of the time line.

use crate::fact::Fact;
use crate::id::{ConfigVersion, InstanceId, MoveId, PlanId};
use crate::member::{Incarnation, MemberState};
use crate::share::Share;
use crate::stamp::Stamp;
use serde::{Deserialize, Serialize};

/// One event, where and when it happened.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Event {
    /// Orders events over all processes.
    pub at: Stamp,
    /// The instance whose node recorded it.
    pub by: InstanceId,
    /// The recording process' generation.
    pub incarnation: Incarnation,
    /// Counts the events of one process, from 1: a gap shows a loss.
    pub seq: u64,
    /// What happened.
    #[serde(flatten)]
    pub kind: EventKind,
}

/// What happened.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "kebab-case")]
pub enum EventKind {
    /// The node started.
    Started,
    /// The node is ready to serve.
    Ready {
        /// The configuration in force.
        config: ConfigVersion,
    },
    /// The node began to drain.
    Draining,
    /// The node stopped.
    Stopped,
    /// A configuration came into force on the node.
    ConfigApplied {
        /// Its number.
        config: ConfigVersion,
    },
    /// A configuration was rejected; the earlier one stays.
    ConfigRejected {
        /// Its number.
        config: ConfigVersion,
        /// Why.
        reason: String,
    },
    /// A member changed, as the recording node saw it.
    MemberChanged {
        /// The member.
        instance: InstanceId,
        /// Its generation.
        generation: Incarnation,
        /// Its new state.
        state: MemberState,
    },
    /// A fact was learnt first here.
    FactRaised {
        /// The fact.
        fact: Fact,
    },
    /// A plan was imported.
    PlanImported {
        /// The plan.
        plan: PlanId,
    },
    /// A move's share changed on the recording node.
    MoveStep {
        /// The move.
        mv: MoveId,
        /// The share of the new version.
        share: Share,
    },
    /// A move reached its final outcome.
    MoveEnded {
        /// The move.
        mv: MoveId,
        /// Whether it is done; otherwise it was taken back.
        done: bool,
        /// Why, in a sentence.
        reason: String,
    },
}

impl EventKind {
    /// The move that the event is about.
    pub fn mv(&self) -> Option<&MoveId> {
        match self {
            EventKind::MoveStep { mv, .. } | EventKind::MoveEnded { mv, .. } => Some(mv),
            EventKind::FactRaised {
                fact:
                    Fact::BadVersion { by, .. } | Fact::Aborted { by, .. } | Fact::Cleared { by, .. },
            } => Some(by),
            _ => None,
        }
    }

    /// The event's name, as filters and logs use it.
    pub fn name(&self) -> &'static str {
        match self {
            EventKind::Started => "started",
            EventKind::Ready { .. } => "ready",
            EventKind::Draining => "draining",
            EventKind::Stopped => "stopped",
            EventKind::ConfigApplied { .. } => "config-applied",
            EventKind::ConfigRejected { .. } => "config-rejected",
            EventKind::MemberChanged { .. } => "member-changed",
            EventKind::FactRaised { .. } => "fact-raised",
            EventKind::PlanImported { .. } => "plan-imported",
            EventKind::MoveStep { .. } => "move-step",
            EventKind::MoveEnded { .. } => "move-ended",
        }
    }
}
