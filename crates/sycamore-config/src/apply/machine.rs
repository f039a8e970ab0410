//! The apply machine.

use super::candidate::{Candidate, ObjectMap, Whole};
use super::{Action, ApplySettings, FetchAnswer, Input, RejectReason, Source};
use crate::manifest::unpack;
use bytes::Bytes;
use std::collections::VecDeque;
use sycamore_types::prelude::*;

/// Rejected heads that are remembered, so that they are not fetched again.
const MAX_REJECTED: usize = 32;

/// Follows heads, fetches what is missing, and puts only whole, checked, higher configurations
/// into force, and none below the floor.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Apply {
    settings: ApplySettings,
    floor: Option<ConfigVersion>,
    /// The version in force; `None` until the first one.
    in_force: Option<ConfigVersion>,
    head: Option<ConfigHead>,
    objects: ObjectMap,
    /// Highest head first.
    candidates: Vec<Candidate>,
    rejected: VecDeque<ConfigHead>,
}

impl Apply {
    /// A node without a configuration and without a floor.
    pub fn new(settings: ApplySettings) -> Self {
        Self {
            settings,
            floor: None,
            in_force: None,
            head: None,
            objects: ObjectMap::new(),
            candidates: Vec::new(),
            rejected: VecDeque::new(),
        }
    }

    /// The head in force; `None` before the first one and for the empty configuration.
    pub fn head(&self) -> Option<ConfigHead> {
        self.head
    }

    /// The version in force; `None` until there is one.
    pub fn in_force(&self) -> Option<ConfigVersion> {
        self.in_force
    }

    /// The highest head that is in force or on its way.
    pub fn highest(&self) -> Option<ConfigHead> {
        self.candidates.first().map(|candidate| candidate.head).max(self.head)
    }

    /// An object to serve to a peer, of the configuration in force or of one on its way.
    pub fn object(&self, hash: &ContentHash) -> Option<&Bytes> {
        let fetched = || self.candidates.iter().find_map(|candidate| candidate.objects.get(hash));
        self.objects.get(hash).or_else(fetched)
    }

    /// Whether the object is part of a configuration on its way that this node does not hold yet.
    pub fn is_wanted(&self, hash: &ContentHash) -> bool {
        self.candidates.iter().any(|candidate| candidate.missing(&self.objects).contains(hash))
    }

    /// When the machine next wants a [`Input::Tick`]; `None` while nothing is delayed.
    pub fn next_tick(&self) -> Option<Time> {
        let waiting = |c: &&Candidate| !c.fetching && !c.missing(&self.objects).is_empty();
        self.candidates.iter().filter(waiting).map(|c| c.due).min()
    }

    /// Takes one input and decides what follows from it.
    pub fn step(&mut self, now: Time, input: Input) -> Vec<Action> {
        let mut actions = Vec::new();
        match input {
            Input::Heard { head, from, lead } => self.hear(now + lead, head, from, &mut actions),
            Input::Given { head, pack } => self.given(now, head, pack, &mut actions),
            Input::Floor(version) => self.learn_floor(version, &mut actions),
            Input::Fetched { head, answer } => self.fetched(now, head, answer, &mut actions),
            Input::Tick => {}
        }
        self.advance(&mut actions);
        self.fetch(now, &mut actions);
        actions
    }

    fn hear(&mut self, due: Time, head: ConfigHead, from: Source, actions: &mut Vec<Action>) {
        self.follow(due, head, from, actions);
        self.candidates.truncate(self.settings.candidates);
    }

    /// Follows `head`, unless it is known or of no use.
    fn follow(&mut self, due: Time, head: ConfigHead, from: Source, actions: &mut Vec<Action>) {
        if self.rejected.contains(&head) || self.candidates.iter().any(|c| c.head == head) {
            return;
        }
        if self.is_conflicting(head) {
            self.reject(head, RejectReason::Conflicting, actions);
            return;
        }
        if !self.is_higher(head.version) {
            return;
        }
        let at = self.candidates.partition_point(|candidate| candidate.head > head);
        // A starting node asks peers first all the same: many may start at once.
        let first = if self.in_force.is_none() { Source::Peer } else { from };
        self.candidates.insert(at, Candidate::new(head, first, &self.settings, due));
    }

    /// Takes a whole configuration, also where higher heads are being followed already: it is in
    /// force until they are whole.
    fn given(&mut self, now: Time, head: ConfigHead, pack: Bytes, actions: &mut Vec<Action>) {
        self.follow(now, head, Source::Store, actions);
        let Some(candidate) = self.candidates.iter_mut().find(|c| c.head == head) else {
            return;
        };
        let taken = candidate.take(&unpack(pack), &self.objects, &self.settings);
        if let Err(reason) = taken {
            self.reject(head, reason, actions);
        }
        self.advance(actions);
        self.candidates.truncate(self.settings.candidates);
    }

    fn is_conflicting(&self, head: ConfigHead) -> bool {
        self.head.is_some_and(|own| own.version == head.version && own != head)
    }

    fn is_higher(&self, version: ConfigVersion) -> bool {
        version > self.in_force.unwrap_or_default() && Some(version) >= self.floor
    }

    fn learn_floor(&mut self, version: ConfigVersion, actions: &mut Vec<Action>) {
        self.floor = self.floor.max(Some(version));
        // A deployment without any configuration starts from the empty one.
        if self.floor == Some(ConfigVersion::default()) && self.in_force.is_none() {
            self.in_force = Some(ConfigVersion::default());
            actions.push(Action::Apply(Snapshot::default()));
        }
    }

    fn fetched(
        &mut self,
        now: Time,
        head: ConfigHead,
        answer: FetchAnswer,
        actions: &mut Vec<Action>,
    ) {
        let Some(candidate) = self.candidates.iter_mut().find(|c| c.head == head) else {
            return;
        };
        candidate.fetching = false;
        let taken = match answer {
            FetchAnswer::Objects(bodies) => candidate.take(&bodies, &self.objects, &self.settings),
            FetchAnswer::Pack(pack) => candidate.take(&unpack(pack), &self.objects, &self.settings),
            FetchAnswer::Absent if candidate.count_absent(&self.settings) => {
                Err(RejectReason::Absent)
            }
            FetchAnswer::Absent | FetchAnswer::Failed => Ok(false),
        };
        match taken {
            Ok(true) => {}
            Ok(false) => candidate.fail(&self.settings, now),
            Err(reason) => self.reject(head, reason, actions),
        }
    }

    /// Puts the highest whole candidate into force and drops those that it overtakes.
    fn advance(&mut self, actions: &mut Vec<Action>) {
        let Some(floor) = self.floor else {
            return;
        };
        while let Some((head, whole)) = self.next_whole(floor) {
            match whole {
                Ok((snapshot, objects)) => {
                    self.in_force = Some(head.version);
                    self.head = Some(head);
                    self.objects = objects;
                    self.candidates.retain(|candidate| candidate.head.version > head.version);
                    actions.push(Action::Apply(snapshot));
                }
                Err(reason) => self.reject(head, reason, actions),
            }
        }
    }

    fn next_whole(&self, floor: ConfigVersion) -> Option<(ConfigHead, Whole)> {
        self.candidates
            .iter()
            .filter(|candidate| candidate.head.version >= floor)
            .find_map(|candidate| Some((candidate.head, candidate.whole(&self.objects)?)))
    }

    fn reject(&mut self, head: ConfigHead, reason: RejectReason, actions: &mut Vec<Action>) {
        self.candidates.retain(|candidate| candidate.head != head);
        if reason.is_final() {
            if self.rejected.len() == MAX_REJECTED {
                self.rejected.pop_front();
            }
            self.rejected.push_back(head);
        }
        actions.push(Action::Reject { head, reason });
    }

    fn fetch(&mut self, now: Time, actions: &mut Vec<Action>) {
        for candidate in &mut self.candidates {
            let mut hashes = candidate.missing(&self.objects);
            if candidate.fetching || candidate.due > now || hashes.is_empty() {
                continue;
            }
            hashes.truncate(self.settings.fetch_resources);
            candidate.fetching = true;
            let (head, source) = (candidate.head, candidate.source(&self.settings));
            actions.push(Action::Fetch { head, source, hashes });
        }
    }
}
