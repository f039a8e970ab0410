//! State machine of one move on one node.

use super::io::{Action, Input, Moment};
use super::merger::{ControlOptions, HoldReason, Merger};
use super::peers::Peers;
use super::rendezvous::choose;
use crate::evidence::Source;
use crate::plan::{Cause, MoveRow, OnTimeout, Outcome, OutcomeKind, Summary};
use std::collections::BTreeMap;
use sycamore_types::prelude::*;

/// Phase of a move as one node sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Phase {
    /// The first step is not open yet.
    Planned,
    /// The schedule's step with this index is open.
    Step(usize),
    /// The new version gets no more traffic, and no taken-back outcome is recorded yet.
    Withdrawn,
    /// The move is recorded as done: the new version has all traffic.
    Done,
    /// The move is recorded as taken back: the old version has all traffic.
    TakenBack,
}

/// Traffic split between the two versions of a move.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Split {
    /// Share of the new version; the old version gets the rest.
    pub to: Share,
}

/// State machine of one move on one node.
#[derive(Debug, Clone)]
pub struct MoveControl {
    me: InstanceId,
    row: MoveRow,
    revision: u64,
    options: ControlOptions,
    /// Cleared steps, each with the earliest time at which a node cleared it.
    cleared: BTreeMap<u16, WallTime>,
    /// Reason and time of the first verdict against the new version.
    verdict: Option<(String, WallTime)>,
    /// Time of the first abort by an operator.
    aborted: Option<WallTime>,
    /// Whether this node has confirmed the watch period.
    confirmed: bool,
    /// When this node first saw that every required instance has confirmed.
    confirmed_by_all: Option<WallTime>,
    hold_reason: Option<HoldReason>,
    peers: Peers,
    /// Whether the registry was read since the last attempt to write the outcome.
    registry_read: bool,
    merger: Merger,
    /// Time of the last attempt to write the outcome.
    last_attempt: Option<Time>,
}

impl MoveControl {
    /// Creates the state machine of the instance `me` for the move in `row`.
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
            verdict: None,
            aborted: None,
            confirmed: false,
            confirmed_by_all: None,
            hold_reason: None,
            peers: Peers::default(),
            registry_read: false,
            merger: Merger::new(&options, now),
            last_attempt: None,
            options,
        }
    }

    /// Handles one input and returns the actions that the caller must carry out.
    pub fn step(&mut self, now: Moment, input: Input) -> Vec<Action> {
        let is_tick = matches!(input, Input::Tick);
        match input {
            Input::Row { row, revision } => self.apply_row(*row, revision),
            Input::Fact(fact) => self.apply_fact(&fact),
            Input::Peers { live, regions } => {
                self.peers.update(now.time, live, regions, &self.row.spec.to);
            }
            Input::Registry(listed) => {
                self.peers.add_registered(now.time, &listed, &self.row.spec.from);
                self.registry_read = true;
            }
            Input::Report(report) if report.mv == self.row.spec.mv => {
                self.merger.add_report(now.time, *report);
            }
            Input::Report(_) | Input::Tick => {}
        }
        if self.row.is_ended() {
            return Vec::new();
        }
        self.confirm_watch_period();
        let mut actions = if is_tick { self.evaluate(now) } else { Vec::new() };
        actions.extend(self.propose_outcome(now));
        actions
    }

    fn apply_row(&mut self, row: MoveRow, revision: u64) {
        if revision <= self.revision {
            return;
        }
        self.revision = revision;
        // A platform that comes back from an older copy holds the row without its end, which stays.
        if row.is_ended() || !self.row.is_ended() {
            self.row = row;
        }
    }

    fn apply_fact(&mut self, fact: &Fact) {
        let spec = &self.row.spec;
        match fact {
            Fact::BadVersion { service, version, reason, at, .. }
                if *service == spec.service && *version == spec.to =>
            {
                self.verdict.get_or_insert_with(|| (reason.clone(), at.wall));
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

    /// Confirms the watch period on a node whose upstream runs the new version, once the watch
    /// period is cleared and the version is not withdrawn.
    fn confirm_watch_period(&mut self) {
        let watch_clean = self.cleared_steps() > self.row.schedule.watch_step();
        if watch_clean && !self.is_withdrawn() && self.runs_new_version(&self.me) {
            self.confirmed = true;
        }
    }

    /// Evaluates the merged evidence: raises a verdict against the new version, or clears the open
    /// step.
    fn evaluate(&mut self, now: Moment) -> Vec<Action> {
        if !self.is_merger() || self.confirmed || self.is_withdrawn() {
            return Vec::new();
        }
        let Some(step) = self.open_step(now.wall) else { return Vec::new() };
        if let Some(finding) = self.merger.evaluate(now.time, &self.row) {
            let fact = self.bad_version_fact(now, finding.to_string());
            self.apply_fact(&fact);
            return vec![Action::Raise(fact)];
        }
        self.merger.open_step(now.time, self.opened_at(step, now.wall), step);
        if step > self.row.schedule.watch_step() {
            return Vec::new();
        }
        let required: Vec<Source> = self.required_sources(now.time).collect();
        let old_seen = self.peers.old_seen();
        let at = (now.time, now.wall);
        let max_age = self.options.report_max_age;
        match self.merger.clearable_step(at, &self.row, &required, old_seen, max_age) {
            Err(reason) => {
                self.hold_reason = Some(reason);
                Vec::new()
            }
            Ok(step) => {
                self.hold_reason = None;
                let fact = self.cleared_fact(now, step);
                self.apply_fact(&fact);
                self.confirm_watch_period();
                vec![Action::Raise(fact)]
            }
        }
    }

    fn bad_version_fact(&self, now: Moment, reason: String) -> Fact {
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
            // A schedule has few steps, so the index always fits.
            step: u16::try_from(step).unwrap_or(u16::MAX),
            at: Stamp { wall: now.wall, logical: 0 },
            until: self.row.spec.deadline + self.options.fact_retention,
        }
    }

    /// Requests the write of the outcome if the move has been decided and this node writes
    /// outcomes.
    fn propose_outcome(&mut self, now: Moment) -> Vec<Action> {
        if !self.is_writer() {
            return Vec::new();
        }
        let Some((kind, cause, reason, at)) = self.decide_outcome(now) else { return Vec::new() };
        if self.last_attempt.is_some_and(|last| now.time.since(last) < self.options.retry_interval)
        {
            return Vec::new();
        }
        self.last_attempt = Some(now.time);
        if kind == OutcomeKind::Done && !std::mem::take(&mut self.registry_read) {
            self.last_attempt = None;
            return vec![Action::ReadRegistry];
        }
        let share = self.row.schedule.share(now.wall, self.cleared_steps());
        let evidence = self.merger.summary();
        let outcome = Outcome { kind, cause, reason, at, share, evidence };
        vec![Action::End { outcome, revision: self.revision }]
    }

    /// Returns the outcome, its cause, its reason and the time of the decision, if there is one.
    fn decide_outcome(&mut self, now: Moment) -> Option<(OutcomeKind, Cause, String, WallTime)> {
        if let Some((reason, at)) = &self.verdict {
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
        let is_late = now.wall >= self.row.spec.deadline && !watch_clean;
        if is_late && self.row.spec.on_timeout == OnTimeout::TakeBack {
            let reason = self.timeout_reason();
            return Some((OutcomeKind::TakenBack, Cause::Timeout, reason, now.wall));
        }
        None
    }

    fn timeout_reason(&self) -> String {
        if self.peers.of_version(&self.row.spec.to).next().is_none() {
            return "no instance of the new version was up at the deadline".to_owned();
        }
        let why = match self.hold_reason {
            Some(HoldReason::TooFewReports) => "too few nodes reported",
            Some(HoldReason::MinHoldTime) => "the schedule was still running",
            Some(HoldReason::Evidence) | None => "the evidence did not suffice",
        };
        let at = self.cleared_steps() + 1;
        format!("{why} by the deadline, at step {at} of {}", self.row.schedule.steps.len())
    }

    fn is_confirmed_by_all(&self, now: Time) -> bool {
        let watch_clean = self.cleared_steps() > self.row.schedule.watch_step();
        let mut required = self.required_sources(now).peekable();
        watch_clean
            && required.peek().is_some()
            && required.all(|source| self.merger.has_confirmed(&source))
    }

    /// Returns the processes that must confirm the watch period.
    fn required_sources(&self, now: Time) -> impl Iterator<Item = Source> + '_ {
        self.peers.required(now, self.options.departure_grace)
    }

    /// Returns the nodes that merge the evidence, selected from those of the new version.
    pub fn mergers(&self) -> Vec<&InstanceId> {
        let new = self.peers.of_version(&self.row.spec.to).map(|peer| &peer.instance);
        choose(&self.row.spec.mv, new, self.options.mergers)
    }

    /// Returns the number of reports whose counts this node left out of the evidence in whole or in
    /// part, as they exceed its limits.
    pub fn cut_reports(&self) -> u64 {
        self.merger.cut_reports()
    }

    fn is_merger(&self) -> bool {
        self.mergers().contains(&&self.me)
    }

    /// Returns whether this node writes outcomes: the mergers do, or one live node of the service
    /// if there is no merger.
    fn is_writer(&self) -> bool {
        let mergers = self.mergers();
        if !mergers.is_empty() {
            return mergers.contains(&&self.me);
        }
        let live = self.peers.live().map(|peer| &peer.instance);
        choose(&self.row.spec.mv, live, 1).contains(&&self.me)
    }

    fn runs_new_version(&self, instance: &InstanceId) -> bool {
        self.peers.of_version(&self.row.spec.to).any(|peer| peer.instance == *instance)
    }

    /// Counts the cleared steps from the first one on without a gap.
    fn cleared_steps(&self) -> usize {
        self.cleared.keys().zip(0_u16..).take_while(|(step, index)| **step == *index).count()
    }

    /// Returns when `step` was opened: at its scheduled time or when the step before it was
    /// cleared, whichever is later. The result does not depend on when this node began to merge, so
    /// a merger that replaces a failed one continues the hold instead of restarting it.
    fn opened_at(&self, step: usize, wall: WallTime) -> WallTime {
        let scheduled = self.row.schedule.steps.get(step).map_or(wall, |step| step.at);
        let before = step.checked_sub(1).and_then(|before| u16::try_from(before).ok());
        let cleared = before.and_then(|before| self.cleared.get(&before));
        cleared.map_or(scheduled, |cleared| scheduled.max(*cleared))
    }

    fn open_step(&self, wall: WallTime) -> Option<usize> {
        self.row.schedule.open_step(wall, self.cleared_steps())
    }

    /// Returns whether the new version must get no traffic. An abort has no effect once the move is
    /// recorded as done; a verdict withdraws the version at any time.
    pub fn is_withdrawn(&self) -> bool {
        let done = matches!(&self.row.outcome, Some(o) if o.kind == OutcomeKind::Done);
        let back = matches!(&self.row.outcome, Some(o) if o.kind == OutcomeKind::TakenBack);
        self.verdict.is_some() || back || (self.aborted.is_some() && !done)
    }

    /// Returns the traffic split in force at `wall`.
    pub fn split(&self, wall: WallTime) -> Split {
        if self.is_withdrawn() {
            return Split { to: Share::NONE };
        }
        if self.row.is_ended() {
            return Split { to: Share::ALL };
        }
        Split { to: self.row.schedule.share(wall, self.cleared_steps()) }
    }

    /// Returns the phase of the move at `wall`.
    pub fn phase(&self, wall: WallTime) -> Phase {
        match &self.row.outcome {
            Some(outcome) if outcome.kind == OutcomeKind::Done && self.verdict.is_none() => {
                Phase::Done
            }
            Some(outcome) if outcome.kind == OutcomeKind::TakenBack => Phase::TakenBack,
            _ if self.is_withdrawn() => Phase::Withdrawn,
            _ => self.open_step(wall).map_or(Phase::Planned, Phase::Step),
        }
    }

    /// Returns the newest known row and its revision.
    pub fn row(&self) -> (&MoveRow, u64) {
        (&self.row, self.revision)
    }

    /// Returns whether this node has confirmed that the watch period was clean.
    pub fn confirmed(&self) -> bool {
        self.confirmed
    }

    /// Returns why the open step was not cleared at the last evaluation; `None` if it was, or if
    /// this node does not merge.
    pub fn hold_reason(&self) -> Option<HoldReason> {
        self.hold_reason
    }

    /// Returns the reason of the verdict against the new version, if there is one.
    pub fn verdict(&self) -> Option<&str> {
        self.verdict.as_ref().map(|(reason, _)| reason.as_str())
    }

    /// Returns the counts that this node has merged.
    pub fn summary(&self) -> Summary {
        self.merger.summary()
    }
}
