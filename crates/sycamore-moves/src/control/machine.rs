//! The state machine of one move at one node.

use super::io::{Action, Input, Moment};
use super::merger::{ControlOptions, HoldReason, Merger};
use super::peers::Peers;
use super::rendezvous::choose;
use crate::evidence::Source;
use crate::plan::{Cause, MoveRow, OnTimeout, Outcome, OutcomeKind, Summary};
use std::collections::BTreeMap;
use sycamore_types::prelude::*;

/// Where a move stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Phase {
    /// It has not begun.
    Planned,
    /// It is at a step of its schedule.
    Step(usize),
    /// The new version has lost its traffic; the outcome may not be recorded yet.
    Withdrawn,
    /// It is done.
    Done,
    /// It is taken back.
    TakenBack,
}

/// The shares of the two versions.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Split {
    /// Share of the new version; the old one has the rest.
    pub to: Share,
}

/// One move at one node.
#[derive(Debug, Clone)]
pub struct MoveControl {
    me: InstanceId,
    row: MoveRow,
    revision: u64,
    options: ControlOptions,
    /// Steps that are cleared, with the earliest time that is known of each.
    cleared: BTreeMap<u16, WallTime>,
    bad: Option<(String, WallTime)>,
    aborted: Option<WallTime>,
    confirmed: bool,
    confirmed_by_all: Option<WallTime>,
    hold: Option<HoldReason>,
    peers: Peers,
    registry_read: bool,
    merger: Merger,
    tried: Option<Time>,
}

impl MoveControl {
    /// The machine of the node beside `me` for the move of `row`.
    pub fn new(
        me: InstanceId,
        row: MoveRow,
        revision: u64,
        options: ControlOptions,
        now: Time,
    ) -> Self {
        Self {
            me,
            row,
            revision,
            cleared: BTreeMap::new(),
            bad: None,
            aborted: None,
            confirmed: false,
            confirmed_by_all: None,
            hold: None,
            peers: Peers::default(),
            registry_read: false,
            merger: Merger::new(&options, now),
            tried: None,
            options,
        }
    }

    /// Takes in one input.
    pub fn step(&mut self, now: Moment, input: Input) -> Vec<Action> {
        let is_tick = matches!(input, Input::Tick);
        match input {
            Input::Row { row, revision } => self.learn_row(*row, revision),
            Input::Fact(fact) => self.learn_fact(&fact),
            Input::Peers { live, regions } => {
                self.peers.update(now.time, live, regions, &self.row.spec.to);
            }
            Input::Registry(listed) => {
                self.peers.register(now.time, &listed, &self.row.spec.from);
                self.registry_read = true;
            }
            Input::Report(report) if report.mv == self.row.spec.mv => {
                self.merger.take(now.time, *report);
            }
            Input::Report(_) | Input::Tick => {}
        }
        if self.row.is_ended() {
            return Vec::new();
        }
        self.sign();
        let mut actions = if is_tick { self.judge(now) } else { Vec::new() };
        actions.extend(self.decide(now));
        actions
    }

    fn learn_row(&mut self, row: MoveRow, revision: u64) {
        if revision > self.revision {
            self.row = row;
            self.revision = revision;
        }
    }

    fn learn_fact(&mut self, fact: &Fact) {
        let spec = &self.row.spec;
        match fact {
            Fact::BadVersion { service, version, reason, at, .. }
                if *service == spec.service && *version == spec.to =>
            {
                self.bad.get_or_insert_with(|| (reason.clone(), at.wall));
            }
            Fact::Aborted { by, at, .. } if *by == spec.mv => {
                self.aborted.get_or_insert(at.wall);
            }
            Fact::Cleared { by, step, at, .. } if *by == spec.mv => {
                let first = self.cleared.entry(*step).or_insert(at.wall);
                *first = at.wall.min(*first);
            }
            _ => {}
        }
    }

    /// A node beside the new version signs once it knows the watch period as clean and nothing
    /// against the version.
    fn sign(&mut self) {
        // Steps are few, so the conversion loses nothing.
        let watch_clean = self.cleared_steps() > self.row.schedule.watch_step();
        if watch_clean && !self.is_withdrawn() && self.is_new_version(&self.me) {
            self.confirmed = true;
        }
    }

    fn judge(&mut self, now: Moment) -> Vec<Action> {
        if !self.is_merger() || self.confirmed || self.is_withdrawn() {
            return Vec::new();
        }
        let Some(step) = self.open_step(now.wall) else { return Vec::new() };
        if let Some(finding) = self.merger.judge(now.time, &self.row) {
            let fact = self.bad_version(now, finding.to_string());
            self.learn_fact(&fact);
            return vec![Action::Raise(fact)];
        }
        self.merger.open(now.time, self.opened(step, now.wall), step);
        if step > self.row.schedule.watch_step() {
            return Vec::new();
        }
        let needed: Vec<Source> = self.needed(now.time).collect();
        let old_seen = self.peers.old_seen();
        let at = (now.time, now.wall);
        match self.merger.clears(at, &self.row, &needed, old_seen, self.options.report_max_age) {
            Err(hold) => {
                self.hold = Some(hold);
                Vec::new()
            }
            Ok(step) => {
                self.hold = None;
                let fact = self.cleared_fact(now, step);
                self.learn_fact(&fact);
                self.sign();
                vec![Action::Raise(fact)]
            }
        }
    }

    fn bad_version(&self, now: Moment, reason: String) -> Fact {
        let spec = &self.row.spec;
        Fact::BadVersion {
            service: spec.service.clone(),
            version: spec.to.clone(),
            by: spec.mv.clone(),
            reason,
            at: Stamp { wall: now.wall, logical: 0 },
        }
    }

    fn cleared_fact(&self, now: Moment, step: usize) -> Fact {
        Fact::Cleared {
            by: self.row.spec.mv.clone(),
            // Schedules have a handful of steps.
            step: u16::try_from(step).unwrap_or(u16::MAX),
            at: Stamp { wall: now.wall, logical: 0 },
            until: self.row.spec.deadline + self.options.fact_retention,
        }
    }

    /// Ends the move where this node is one of those that write outcomes.
    fn decide(&mut self, now: Moment) -> Vec<Action> {
        if !self.is_writer() {
            return Vec::new();
        }
        let Some((kind, cause, reason, at)) = self.ending(now) else { return Vec::new() };
        if self.tried.is_some_and(|tried| now.time.since(tried) < self.options.retry_interval) {
            return Vec::new();
        }
        self.tried = Some(now.time);
        if kind == OutcomeKind::Done && !std::mem::take(&mut self.registry_read) {
            self.tried = None;
            return vec![Action::ReadRegistry];
        }
        let share = self.row.schedule.share(now.wall, self.cleared_steps());
        let evidence = self.merger.summary();
        let outcome = Outcome { kind, cause, reason, at, share, evidence };
        vec![Action::End { outcome, revision: self.revision }]
    }

    fn ending(&mut self, now: Moment) -> Option<(OutcomeKind, Cause, String, WallTime)> {
        if let Some((reason, at)) = &self.bad {
            return Some((OutcomeKind::TakenBack, Cause::Bad, reason.clone(), *at));
        }
        if let Some(at) = self.aborted {
            let reason = "aborted by an operator".to_owned();
            return Some((OutcomeKind::TakenBack, Cause::Aborted, reason, at));
        }
        if self.is_confirmed_by_all(now.time) {
            let reason = "the watch period passed clean on every live instance".to_owned();
            let at = *self.confirmed_by_all.get_or_insert(now.wall);
            return Some((OutcomeKind::Done, Cause::Proven, reason, at));
        }
        let watch_clean = self.cleared_steps() > self.row.schedule.watch_step();
        let late = now.wall >= self.row.spec.deadline && !watch_clean;
        if late && self.row.spec.on_timeout == OnTimeout::TakeBack {
            let reason = self.timeout_reason();
            return Some((OutcomeKind::TakenBack, Cause::Timeout, reason, now.wall));
        }
        None
    }

    fn timeout_reason(&self) -> String {
        if self.peers.of_version(&self.row.spec.to).next().is_none() {
            return "no instance of the new version was up at the deadline".to_owned();
        }
        let why = match self.hold {
            Some(HoldReason::TooFewReports) => "too few nodes reported",
            Some(HoldReason::MinHoldTime) => "the schedule was still running",
            Some(HoldReason::Evidence) | None => "the evidence did not suffice",
        };
        let at = self.cleared_steps() + 1;
        format!("{why} by the deadline, at step {at} of {}", self.row.schedule.steps.len())
    }

    fn is_confirmed_by_all(&self, now: Time) -> bool {
        let watch_clean = self.cleared_steps() > self.row.schedule.watch_step();
        let mut needed = self.needed(now).peekable();
        watch_clean
            && needed.peek().is_some()
            && needed.all(|source| self.merger.has_confirmed(&source))
    }

    fn needed(&self, now: Time) -> impl Iterator<Item = Source> + '_ {
        self.peers.needed(now, self.options.departure_grace)
    }

    /// Nodes that merge the evidence: some of those beside the new version.
    pub fn mergers(&self) -> Vec<&InstanceId> {
        let new = self.peers.of_version(&self.row.spec.to).map(|peer| &peer.instance);
        choose(&self.row.spec.mv, new, self.options.mergers)
    }

    fn is_merger(&self) -> bool {
        self.mergers().contains(&&self.me)
    }

    /// The mergers write outcomes, and one node of the service where there are none.
    fn is_writer(&self) -> bool {
        let mergers = self.mergers();
        if !mergers.is_empty() {
            return mergers.contains(&&self.me);
        }
        let live = self.peers.live().map(|peer| &peer.instance);
        choose(&self.row.spec.mv, live, 1).contains(&&self.me)
    }

    fn is_new_version(&self, instance: &InstanceId) -> bool {
        self.peers.of_version(&self.row.spec.to).any(|peer| peer.instance == *instance)
    }

    fn cleared_steps(&self) -> usize {
        self.cleared.keys().zip(0_u16..).take_while(|(step, index)| **step == *index).count()
    }

    /// When `step` opened: the same at every node, whenever it began to merge. A merging node that
    /// follows one that died so goes on with the hold.
    fn opened(&self, step: usize, wall: WallTime) -> WallTime {
        let agreed = self.row.schedule.steps.get(step).map_or(wall, |step| step.at);
        let before = step.checked_sub(1).and_then(|before| u16::try_from(before).ok());
        let cleared = before.and_then(|before| self.cleared.get(&before));
        cleared.map_or(agreed, |cleared| agreed.max(*cleared))
    }

    fn open_step(&self, wall: WallTime) -> Option<usize> {
        self.row.schedule.open_step(wall, self.cleared_steps())
    }

    /// Whether the new version has lost its traffic. An abort that comes after the move was done
    /// changes nothing; a verdict does at any time.
    pub fn is_withdrawn(&self) -> bool {
        let done = matches!(&self.row.outcome, Some(o) if o.kind == OutcomeKind::Done);
        let back = matches!(&self.row.outcome, Some(o) if o.kind == OutcomeKind::TakenBack);
        self.bad.is_some() || back || (self.aborted.is_some() && !done)
    }

    /// The shares in force.
    pub fn split(&self, wall: WallTime) -> Split {
        if self.is_withdrawn() {
            return Split { to: Share::NONE };
        }
        if self.row.is_ended() {
            return Split { to: Share::ALL };
        }
        Split { to: self.row.schedule.share(wall, self.cleared_steps()) }
    }

    /// Where the move stands.
    pub fn phase(&self, wall: WallTime) -> Phase {
        match &self.row.outcome {
            Some(outcome) if outcome.kind == OutcomeKind::Done && self.bad.is_none() => Phase::Done,
            Some(outcome) if outcome.kind == OutcomeKind::TakenBack => Phase::TakenBack,
            _ if self.is_withdrawn() => Phase::Withdrawn,
            _ => self.open_step(wall).map_or(Phase::Planned, Phase::Step),
        }
    }

    /// The agreed row with its revision.
    pub fn row(&self) -> (&MoveRow, u64) {
        (&self.row, self.revision)
    }

    /// Whether this node has confirmed the watch period.
    pub fn confirmed(&self) -> bool {
        self.confirmed
    }

    /// What the open step waits for.
    pub fn hold_reason(&self) -> Option<HoldReason> {
        self.hold
    }

    /// The verdict's reason, once there is one.
    pub fn verdict(&self) -> Option<&str> {
        self.bad.as_ref().map(|(reason, _)| reason.as_str())
    }

    /// The counts that this node has merged.
    pub fn summary(&self) -> Summary {
        self.merger.summary()
    }
}
