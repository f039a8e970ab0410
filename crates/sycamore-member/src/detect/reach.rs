//! Reachability of members and data centres, which distinguishes a network partition from failed
//! instances.

use std::collections::{BTreeMap, BTreeSet};
use sycamore_types::prelude::*;

/// Number of members of a data centre that must fail a probe, with no answer from any other member
/// of it, for the data centre to count as partitioned.
const PARTITION_FAILURES: usize = 2;

/// Answers and failed probes of other members, as seen by this node.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub(crate) struct Reachability {
    /// Time of each member's last answer.
    last_answers: BTreeMap<InstanceId, Time>,
    /// Members of each data centre that failed a probe since its last answer.
    failed: BTreeMap<DataCentre, BTreeSet<InstanceId>>,
}

impl Reachability {
    /// Records an answer from `member`; returns whether its data centre counted as partitioned
    /// before.
    pub(crate) fn record_answer(&mut self, member: &Member, now: Time) -> bool {
        self.last_answers.insert(member.instance.clone(), now);
        let was_partitioned = self.is_partitioned(&member.data_centre);
        self.failed.remove(&member.data_centre);
        was_partitioned
    }

    /// Records a failed probe of `member` without an answer from its data centre in the meantime;
    /// returns whether the data centre has just become partitioned.
    pub(crate) fn record_failure(&mut self, member: &Member) -> bool {
        let was_partitioned = self.is_partitioned(&member.data_centre);
        let failed = self.failed.entry(member.data_centre.clone()).or_default();
        if failed.len() < PARTITION_FAILURES {
            failed.insert(member.instance.clone());
        }
        !was_partitioned && self.is_partitioned(&member.data_centre)
    }

    /// Returns whether `data_centre` counts as partitioned from this node.
    pub(crate) fn is_partitioned(&self, data_centre: &DataCentre) -> bool {
        self.failed.get(data_centre).is_some_and(|failed| failed.len() >= PARTITION_FAILURES)
    }

    /// Returns whether `instance` has answered this node since `since`.
    pub(crate) fn answered_since(&self, instance: &InstanceId, since: Time) -> bool {
        self.last_answers.get(instance).is_some_and(|at| *at >= since)
    }

    /// Removes the answers and failures of `instance`.
    pub(crate) fn remove(&mut self, instance: &InstanceId) {
        self.last_answers.remove(instance);
        for failed in self.failed.values_mut() {
            failed.remove(instance);
        }
    }

    /// Discards failures after this process was paused: it may have missed the answers.
    pub(crate) fn reset_after_pause(&mut self) {
        self.failed.clear();
    }
}
