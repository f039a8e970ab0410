//! Tests of nodes that begin to merge evidence in the middle of a move.

mod support;

use std::collections::BTreeSet;
use std::time::Duration;
use support::{id, now, report, spec};
use sycamore_moves::control::{Action, ControlOptions, Input, Moment, MoveControl, Peer};
use sycamore_moves::plan::{Author, Cause, MoveRow, Outcome, OutcomeKind, Summary};
use sycamore_moves::ramp::{Schedule, Step};
use sycamore_types::prelude::*;

/// Returns the row of a move with one step and the watch period, each held for a minute.
fn row() -> MoveRow {
    let spec = spec("m");
    let step = |share, start_s| Step {
        share: Share::from_basis_points(share),
        at: spec.start + Duration::from_secs(start_s),
        hold: Duration::from_secs(60),
        margin: Share::from_basis_points(1_000),
    };
    let all = Step { hold: Duration::ZERO, ..step(10_000, 120) };
    MoveRow {
        plan: id("plan"),
        schedule: Schedule {
            steps: vec![step(500, 0), step(9_500, 60), all],
            deadline: spec.deadline,
        },
        spec,
        outcome: None,
        author: Author::Operator(id("ana")),
        op: OpId(0),
        at: now(),
    }
}

fn peer(instance: &str, version: &str) -> Peer {
    Peer {
        instance: id(instance),
        incarnation: Incarnation(1),
        version: id(version),
        region: id("west"),
    }
}

/// Node of the only instance of the new version.
struct Node {
    control: MoveControl,
    seq: u64,
}

/// Returns the time `ms` milliseconds after the move's start; the monotonic clock has an origin of
/// its own.
fn at(ms: u64) -> Moment {
    let wall = row().spec.start + Duration::from_millis(ms);
    Moment { time: Time::from_millis(1_000_000 + ms), wall }
}

impl Node {
    /// Starts the node's state machine, which sees one live instance of each version.
    fn start(ms: u64) -> Self {
        let options = ControlOptions::default();
        let mut control = MoveControl::new(id("new"), row(), 1, options, at(ms).time);
        let live = vec![peer("new", "2"), peer("old", "1")];
        control.step(at(ms), Input::Peers { live, regions: BTreeSet::from([id("west")]) });
        Self { control, seq: 0 }
    }

    /// Delivers a report of each version with cumulative counts of ok and failed calls.
    fn report_both(&mut self, ms: u64, new: (u64, u64), old: (u64, u64)) {
        for (instance, version, (ok, failed)) in [("new", "2", new), ("old", "1", old)] {
            self.report(ms, instance, version, (ok, failed));
        }
    }

    fn report(&mut self, ms: u64, instance: &str, version: &str, (ok, failed): (u64, u64)) {
        // Numbers from 100 on, so that the first reports come from processes that have run for
        // long.
        self.seq = 100 + ms;
        let report = report("m", instance, version, self.seq, ok, failed);
        self.control.step(at(ms), Input::Report(Box::new(report)));
    }

    fn tick(&mut self, ms: u64) -> Vec<Action> {
        self.control.step(at(ms), Input::Tick)
    }

    fn receive_cleared(&mut self, ms: u64, step: u16) {
        let at = Stamp { wall: at(ms).wall, logical: 0 };
        let until = now() + Duration::from_secs(86_400);
        let fact = Fact::Cleared { by: id("m"), step, at, until };
        self.control.step(self::at(ms), Input::Fact(fact));
    }
}

fn clears(actions: &[Action], step: u16) -> bool {
    actions.iter().any(
        |action| matches!(action, Action::Raise(Fact::Cleared { step: found, .. }) if *found == step),
    )
}

fn finds_bad(actions: &[Action]) -> bool {
    actions.iter().any(|action| matches!(action, Action::Raise(Fact::BadVersion { .. })))
}

/// A node that restarts 50 s into the first step must not hold the step for another minute.
#[test]
fn a_restarted_merger_continues_the_hold_of_the_first_step() {
    let mut node = Node::start(50_000);
    let cleared = (0..20_u64).find(|second| {
        let ms = 50_000 + second * 1_000;
        node.report_both(ms, (second * 20, 0), (second * 200, 0));
        clears(&node.tick(ms), 0)
    });
    // The step is held until the 60th second; ten seconds of calls suffice as evidence.
    assert_eq!(cleared, Some(10));
}

/// The step was opened at 65 s, when another merger cleared the step before it.
#[test]
fn a_restarted_merger_continues_the_hold_of_a_step_that_another_opened() {
    let mut node = Node::start(110_000);
    node.receive_cleared(65_000, 0);
    let cleared = (0..30_u64).find(|second| {
        let ms = 110_000 + second * 1_000;
        node.report_both(ms, (second * 20, 0), (second * 200, 0));
        clears(&node.tick(ms), 1)
    });
    assert_eq!(cleared, Some(15));
}

/// The counts of the first reports are from an unknown time, so they are no evidence for the step.
#[test]
fn a_restarted_merger_does_not_clear_a_step_on_counts_from_before_its_start() {
    let mut node = Node::start(100_000);
    node.receive_cleared(20_000, 0);
    node.report_both(100_000, (5_000, 0), (5_000, 0));
    assert!(!clears(&node.tick(100_000), 1));
}

/// Both versions fail while the node receives no reports. The new version's report arrives first
/// afterwards; counted without the old version's, its failures would yield a verdict.
#[test]
fn a_merger_excludes_the_calls_of_a_gap_in_the_reports() {
    let mut node = Node::start(0);
    for second in 0..20_u64 {
        node.report_both(second * 1_000, (second * 50, 0), (second * 50, 0));
        assert!(!finds_bad(&node.tick(second * 1_000)));
    }
    // For 6.5 s the node receives no reports, and both versions fail.
    node.report(25_500, "new", "2", (1_150, 100));
    assert!(!finds_bad(&node.tick(25_600)));
    node.report(25_700, "old", "1", (1_150, 100));
    assert!(!finds_bad(&node.tick(25_800)));
}

/// The platform comes back from an older copy of its table, which holds the row of an ended move
/// without its end, under a higher revision: the move must not open again.
#[test]
fn an_ended_move_stays_ended_when_the_platform_returns_an_older_row() {
    let ended = MoveRow {
        outcome: Some(Outcome {
            kind: OutcomeKind::TakenBack,
            cause: Cause::Aborted,
            reason: "taken back".to_owned(),
            at: at(70_000).wall,
            share: Share::from_basis_points(500),
            evidence: Summary::default(),
        }),
        ..row()
    };
    let mut node = Node::start(50_000);
    let later = |row, revision| Input::Row { row: Box::new(row), revision };
    node.control.step(at(70_000), later(ended.clone(), 2));
    node.control.step(at(80_000), later(row(), 1 << 40 | 1));
    assert_eq!(node.control.row(), (&ended, 1 << 40 | 1));
    node.control.step(at(81_000), later(row(), 3));
    assert_eq!(node.control.row().1, 1 << 40 | 1);
}

/// Returns what the merging node `me` asks for once all 300 instances of the new version have
/// confirmed the watch period.
fn actions_of_large_service(me: InstanceId) -> (Vec<InstanceId>, Vec<Action>) {
    let mut control = MoveControl::new(me, row(), 1, ControlOptions::default(), at(0).time);
    let names: Vec<String> = (0..300).map(|i| format!("new{i}")).collect();
    let mut live: Vec<Peer> = names.iter().map(|name| peer(name, "2")).collect();
    live.push(peer("old", "1"));
    control.step(at(0), Input::Peers { live, regions: BTreeSet::from([id("west")]) });
    for step in 0..2 {
        let stamp = Stamp { wall: at(130_000).wall, logical: 0 };
        let until = at(600_000).wall;
        control
            .step(at(130_000), Input::Fact(Fact::Cleared { by: id("m"), step, at: stamp, until }));
    }
    let mut actions = Vec::new();
    for name in &names {
        let mut report = report("m", name, "2", 1, 10, 0);
        report.confirmed = true;
        actions = control.step(at(131_000), Input::Report(Box::new(report)));
    }
    (control.mergers().into_iter().cloned().collect(), actions)
}

/// A merging node that keeps the reports of a part of the processes alone waits for the others'
/// confirmations for ever, and a good move of a large service is never done.
#[test]
fn a_move_of_300_instances_is_done() {
    let (mergers, _) = actions_of_large_service(id("new0"));
    let (_, actions) = actions_of_large_service(mergers[0].clone());
    assert!(matches!(actions[..], [Action::ReadRegistry]), "{actions:?}");
}
