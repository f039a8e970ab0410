//! What this node knows of upstream processes from their answers, kept beyond the restart of the
//! node beside them.

use crate::report::{LimitReport, ProcessReport};
use std::collections::BTreeMap;
use std::time::Duration;
use sycamore_types::prelude::*;

/// Time for which the report of an instance is kept that is no longer a member: it may come back
/// with the same process.
const ABSENT_MEMORY: Duration = Duration::from_secs(600);

/// Reports of upstream processes that have a rate limit or are leaving, by instance.
#[derive(Debug, Clone, Default)]
pub(super) struct PeerReports(BTreeMap<InstanceId, Entry>);

#[derive(Debug, Clone, Copy)]
struct Entry {
    report: ProcessReport,
    /// Incarnation of the instance, as far as it is known.
    incarnation: Option<Incarnation>,
    /// Whether the node beside the process has restarted since the report: the instance may have
    /// another process now.
    is_restarted: bool,
    /// Time at which the instance was last a member, or reported.
    last_seen: Time,
}

impl PeerReports {
    /// Records what the node of `instance`, in this incarnation, said of its upstream process.
    pub(super) fn learn(
        &mut self,
        now: Time,
        instance: &InstanceId,
        incarnation: Option<Incarnation>,
        report: ProcessReport,
    ) {
        let known = self.0.get(instance).map(|entry| entry.report);
        let report = match known.filter(|known| known.process == report.process) {
            None => report,
            Some(known) => ProcessReport {
                process: report.process,
                limit: match report.limit {
                    LimitReport::Unknown => known.limit,
                    limit => limit,
                },
                is_leaving: known.is_leaving || report.is_leaving,
            },
        };
        if report.is_restrictive() {
            let entry = Entry { report, incarnation, is_restarted: false, last_seen: now };
            self.0.insert(instance.clone(), entry);
        } else {
            self.0.remove(instance);
        }
    }

    /// Records that the process of `instance` answered and reports neither a limit nor a leave. An
    /// answer may overtake the one with a leave, which only another process can lack: after a restart
    /// of its node, since calls name the leaving process to that node.
    pub(super) fn learn_unrestricted(&mut self, instance: &InstanceId) {
        if !self.is_leaving(instance) {
            self.0.remove(instance);
        }
    }

    /// Applies a new member view: notes which nodes have restarted, and drops the reports of instances
    /// that have not been in a view for [`ABSENT_MEMORY`].
    pub(super) fn update(&mut self, now: Time, view: &MemberView) {
        self.0.retain(|instance, entry| {
            if let Some(member) = view.members.get(instance) {
                entry.is_restarted |= entry.incarnation != Some(member.incarnation);
                (entry.incarnation, entry.last_seen) = (Some(member.incarnation), now);
            }
            now.since(entry.last_seen) < ABSENT_MEMORY
        });
    }

    /// Returns what is known of the process of `instance`, to be passed to its node.
    pub(super) fn get(&self, instance: &InstanceId) -> Option<ProcessReport> {
        self.0.get(instance).map(|entry| entry.report)
    }

    /// Returns whether the process of `instance` is leaving.
    pub(super) fn is_leaving(&self, instance: &InstanceId) -> bool {
        self.0.get(instance).is_some_and(|entry| entry.report.is_leaving && !entry.is_restarted)
    }

    /// Returns the rate limit that the process of `instance` reports.
    pub(super) fn limit(&self, instance: &InstanceId) -> Option<RateLimit> {
        match self.0.get(instance)?.report.limit {
            LimitReport::Limit(limit) => Some(limit),
            LimitReport::Unlimited | LimitReport::Unknown => None,
        }
    }
}
