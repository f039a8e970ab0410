//! Which members and data centres were heard of, so that a cut is told from deaths.

use std::collections::{BTreeMap, BTreeSet};
use sycamore_types::prelude::*;

/// Members of a data centre that must have failed a probe, with nothing heard from any of it, for
/// the data centre to count as cut off.
const CUT_FAILURES: usize = 2;

/// What this node heard of others.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub(crate) struct Reach {
    heard: BTreeMap<InstanceId, Time>,
    failed: BTreeMap<DataCentre, BTreeSet<InstanceId>>,
}

impl Reach {
    /// Notes a datagram from `member`. Gives whether its data centre was cut off until now.
    pub(crate) fn heard(&mut self, member: &Member, now: Time) -> bool {
        self.heard.insert(member.instance.clone(), now);
        let was_cut = self.is_cut(&member.data_centre);
        self.failed.remove(&member.data_centre);
        was_cut
    }

    /// Notes a failed probe of `member`, with nothing heard from its data centre meanwhile. Gives
    /// whether the data centre counts as cut off from now on and did not before.
    pub(crate) fn failed(&mut self, member: &Member) -> bool {
        let was_cut = self.is_cut(&member.data_centre);
        let failed = self.failed.entry(member.data_centre.clone()).or_default();
        if failed.len() < CUT_FAILURES {
            failed.insert(member.instance.clone());
        }
        !was_cut && self.is_cut(&member.data_centre)
    }

    /// Whether `data_centre` counts as cut off.
    pub(crate) fn is_cut(&self, data_centre: &DataCentre) -> bool {
        self.failed.get(data_centre).is_some_and(|failed| failed.len() >= CUT_FAILURES)
    }

    /// Whether `instance` was heard since `since`.
    pub(crate) fn heard_since(&self, instance: &InstanceId, since: Time) -> bool {
        self.heard.get(instance).is_some_and(|at| *at >= since)
    }

    /// Forgets `instance`.
    pub(crate) fn forget(&mut self, instance: &InstanceId) {
        self.heard.remove(instance);
        for failed in self.failed.values_mut() {
            failed.remove(instance);
        }
    }

    /// After a pause of this process: failures don't count.
    pub(crate) fn resume(&mut self) {
        self.failed.clear();
    }
}
