//! Total orders of member records and of facts, by which tables resolve conflicts and evict facts.

use sycamore_types::prelude::*;

/// Returns whether `new` replaces `old`, a record of the same instance.
///
/// A higher incarnation replaces a lower one, and within one incarnation a worse state replaces a
/// better one. The remaining fields break ties in the same way on every node.
pub fn supersedes(new: &Member, old: &Member) -> bool {
    precedence(new) > precedence(old)
}

/// Returns the sort key of a member record; the higher one replaces the other.
fn precedence(member: &Member) -> impl Ord + '_ {
    (
        (member.incarnation, member.state),
        (&member.service, &member.version),
        (&member.data_centre, &member.region),
        (member.endpoints.peer, member.endpoints.relay),
        (member.slots, member.left),
    )
}

/// Returns the rank of a fact within its kind; the lowest-ranked facts are evicted first.
pub(super) fn rank(fact: &Fact) -> (u64, FactKey) {
    let time = match fact {
        Fact::BadVersion { at, .. } | Fact::Aborted { at, .. } => at.wall.0,
        Fact::Quarantined { until, .. }
        | Fact::CrashSeen { until, .. }
        | Fact::MoveRow { until, .. }
        | Fact::Cleared { until, .. } => until.0,
        Fact::Head(head) => head.version.0,
        Fact::OutOfUse { revision, .. } => *revision,
    };
    (time, fact.key())
}
