//! Events that nodes record on the cluster's timeline.

use crate::fact::Fact;
use crate::id::{ConfigVersion, InstanceId, MoveId, PlanId};
use crate::member::{Incarnation, MemberState};
use crate::share::Share;
use crate::stamp::Stamp;
use serde::{Deserialize, Serialize};

/// Timeline event with its origin and time.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Event {
    /// Hybrid logical clock time of the event; orders events of all processes.
    pub at: Stamp,
    /// Instance whose node recorded the event.
    pub by: InstanceId,
    /// Incarnation of the recording process.
    pub incarnation: Incarnation,
    /// Sequence number among the events of one process, from 1; a gap means that events were lost.
    pub seq: u64,
    /// Kind and details of the event.
    #[serde(flatten)]
    pub kind: EventKind,
}

/// Kind of a timeline event, with its details.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "kebab-case")]
pub enum EventKind {
    /// Start of the node's process.
    Started,
    /// Activation of the first configuration, from which on the node is ready to serve calls.
    Ready {
        /// Number of the configuration in force.
        config: ConfigVersion,
    },
    /// Start of the node's drain.
    Draining,
    /// Orderly stop of the node's process.
    Stopped,
    /// Activation of a configuration on the recording node.
    ConfigApplied {
        /// Number of the activated configuration.
        config: ConfigVersion,
    },
    /// Rejection of an invalid configuration; the one in force stays.
    ConfigRejected {
        /// Number of the rejected configuration.
        config: ConfigVersion,
        /// Validation error that caused the rejection.
        reason: String,
    },
    /// Change of a member's state in the recording node's view.
    MemberChanged {
        /// Instance of the changed member.
        instance: InstanceId,
        /// Incarnation of the changed member.
        generation: Incarnation,
        /// State that the member entered.
        state: MemberState,
    },
    /// Fact raised by the recording node that it did not know before.
    FactRaised {
        /// Fact that was raised.
        fact: Fact,
    },
    /// Import of a plan by an operator.
    PlanImported {
        /// Identifier of the imported plan.
        plan: PlanId,
    },
    /// Change of a move's share on the recording node.
    MoveStep {
        /// Move whose share changed.
        mv: MoveId,
        /// Share of the version that the move rolls out.
        share: Share,
    },
    /// Final outcome of a move.
    MoveEnded {
        /// Move that ended.
        mv: MoveId,
        /// `true` where the move is done, `false` where it was taken back.
        done: bool,
        /// Reason of the outcome, one sentence.
        reason: String,
    },
}

impl EventKind {
    /// Returns the move that the event concerns; `None` for events of nodes, members and
    /// configurations.
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

    /// Returns the event's kind in kebab case, as timeline filters and logs use it.
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
