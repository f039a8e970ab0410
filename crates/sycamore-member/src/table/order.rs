//! Which of two records about the same thing stays.

use sycamore_types::prelude::*;

/// Whether `new` replaces `old`, records of the same instance: a higher incarnation does, within
/// one incarnation a worse state does, and ties are broken the same way everywhere.
pub fn supersedes(new: &Member, old: &Member) -> bool {
    key(new) > key(old)
}

fn key(member: &Member) -> impl Ord + '_ {
    (
        (member.incarnation, member.state),
        (&member.service, &member.version),
        (&member.data_centre, &member.region),
        (member.endpoints.peer, member.endpoints.relay),
        member.slots,
    )
}

/// Where a fact ranks within its kind; the lowest are forgotten first.
pub(super) fn rank(fact: &Fact) -> (u64, FactKey) {
    let time = match fact {
        Fact::BadVersion { at, .. } | Fact::Aborted { at, .. } => at.wall.0,
        Fact::Quarantined { until, .. }
        | Fact::CrashSeen { until, .. }
        | Fact::MoveRow { until, .. }
        | Fact::Cleared { until, .. } => until.0,
        Fact::Head(head) => head.version.0,
    };
    (time, fact.key())
}
