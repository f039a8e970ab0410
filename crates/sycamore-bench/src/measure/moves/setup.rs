//! Initial state of a trial: the move's row, the nodes and their peers.

use super::baseline::Baseline;
use super::node::Node;
use super::scenario::Scenario;
use sycamore_moves::control::{Input, Peer};
use sycamore_moves::plan::{
    Author, Cause, MoveRow, MoveSpec, OnTimeout, Outcome, OutcomeKind, Summary, DEFAULT_CAP,
};
use sycamore_moves::ramp::{fit, FitOptions};
use sycamore_types::prelude::*;

/// Number of nodes that receive the callers' calls and split them between the versions.
pub const CALLER_NODES: usize = 3;
/// Concurrent calls that each member announces.
const SLOTS: u16 = 12;

fn id<T: std::str::FromStr>(text: &str) -> T {
    // Can't fail: every text is a literal or a literal prefix with a number.
    text.parse().ok().expect("identifier of the emulation is valid")
}

/// Returns the name of the route with the given index.
pub fn route(index: usize) -> RouteName {
    id(["tickets", "intake", "photos", "stock"][index % 4])
}

/// Creates the imported row of the move that `scenario` describes.
pub fn row(scenario: &Scenario) -> MoveRow {
    let spec = MoveSpec {
        mv: id("move"),
        service: id("counter"),
        from: id("1"),
        to: id("2"),
        start: WallTime(scenario.start_ms),
        deadline: WallTime(scenario.deadline_ms),
        cap: DEFAULT_CAP,
        watch: None,
        on_timeout: OnTimeout::TakeBack,
    };
    MoveRow {
        plan: id("morning"),
        schedule: fit(&spec, WallTime(0), &FitOptions::default()),
        spec,
        outcome: None,
        author: Author::Operator(id("ana")),
        op: OpId(0),
        at: WallTime(0),
    }
}

/// Creates the nodes: those of the old version's instances, those of the new version's, then the
/// [`CALLER_NODES`].
pub fn nodes(scenario: &Scenario, row: &MoveRow) -> Vec<Node> {
    let of_version = |is_new: bool| {
        (0..scenario.instances).map(move |index| {
            let prefix = if is_new { "new" } else { "old" };
            let version = if is_new { &row.spec.to } else { &row.spec.from };
            let member = member(&format!("{prefix}-{index}"), index, version);
            Node::new(member, is_new, row, 0)
        })
    };
    let callers = (0..CALLER_NODES).map(|index| {
        let member = member(&format!("caller-{index}"), index, &id("none"));
        Node::new(member, false, row, 0)
    });
    of_version(false).chain(of_version(true)).chain(callers).collect()
}

fn member(name: &str, index: usize, version: &UpstreamVersion) -> Member {
    Member {
        instance: id(name),
        incarnation: Incarnation(1),
        state: MemberState::Serving,
        service: id("counter"),
        version: version.clone(),
        data_centre: id(["dc1", "dc2", "dc3"][index % 3]),
        region: id("region"),
        endpoints: Endpoints {
            peer: ([127, 0, 0, 1], 1).into(),
            relay: ([127, 0, 0, 1], 2).into(),
        },
        slots: SLOTS,
        left: None,
    }
}

/// Creates the input that names the instances of `service` whose nodes are up at `ms`.
pub fn peers(service: &[Node], ms: u64) -> Input {
    let live: Vec<Peer> =
        service.iter().filter(|node| ms >= node.node_down_until_ms).map(Node::peer).collect();
    let regions = live.iter().map(|peer| peer.region.clone()).collect();
    Input::Peers { live, regions }
}

/// Returns the move's outcome under the `baseline` policy.
pub fn baseline_outcome(scenario: &Scenario, baseline: &Baseline) -> Outcome {
    let (kind, cause, at) = match baseline.taken_back_ms {
        Some(at) => (OutcomeKind::TakenBack, Cause::Bad, at),
        None => (OutcomeKind::Done, Cause::Proven, scenario.deadline_ms),
    };
    Outcome {
        kind,
        cause,
        reason: "error rate against a threshold".to_owned(),
        at: WallTime(at),
        share: Share::NONE,
        evidence: Summary::default(),
    }
}
