//! State machine that fetches, verifies and applies configurations.

use super::behind::Behind;
use super::candidate::{Assembled, Candidate};
use super::object::ObjectMap;
use super::{Action, ApplySettings, ConfigSize, FetchAnswer, Input, RejectReason, Source};
use crate::delta::{Delta, History, NO_CONFIGURATION};
use crate::diff::Diff;
use crate::manifest::{unpack, Manifest};
use bytes::Bytes;
use std::collections::VecDeque;
use sycamore_types::prelude::*;

/// Upper bound on remembered rejected heads, which are not fetched again.
const MAX_REJECTED: usize = 32;

/// State machine that fetches the configurations of learned heads and applies them.
///
/// A configuration is applied only if it is complete, valid, of a higher version than the one in
/// force, and not below the version floor.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Apply {
    settings: ApplySettings,
    floor: Option<ConfigVersion>,
    /// Version in force; `None` before the first one.
    in_force: Option<ConfigVersion>,
    head: Option<ConfigHead>,
    /// Manifest in force; without resources while `head` is `None`.
    manifest: Manifest,
    /// Objects of the manifest in force, and its own.
    objects: ObjectMap,
    /// Configurations being fetched, highest head first.
    candidates: Vec<Candidate>,
    /// Set while a version above the one in force is known.
    behind: Option<Behind>,
    /// Latest changes of the configuration in force, for the deltas that peers ask for.
    history: History,
    rejected: VecDeque<ConfigHead>,
}

impl Apply {
    /// Creates a machine without a configuration and without a version floor.
    pub fn new(settings: ApplySettings) -> Self {
        Self {
            settings,
            floor: None,
            in_force: None,
            head: None,
            manifest: Manifest::default(),
            objects: ObjectMap::new(),
            candidates: Vec::new(),
            behind: None,
            history: History::default(),
            rejected: VecDeque::new(),
        }
    }

    /// Returns the head in force; `None` before the first one and for the empty configuration.
    pub fn head(&self) -> Option<ConfigHead> {
        self.head
    }

    /// Returns the version in force; `None` before the first one.
    pub fn in_force(&self) -> Option<ConfigVersion> {
        self.in_force
    }

    /// Returns the size of the configuration in force; zero before the first one.
    pub fn size(&self) -> ConfigSize {
        let manifest = self.delta_base();
        let resources = self.objects.iter().filter(|(hash, _)| **hash != manifest);
        resources.fold(ConfigSize::default(), |size, (_, object)| ConfigSize {
            resources: size.resources + 1,
            bytes: size.bytes + object.body.len(),
        })
    }

    /// Returns the highest head that is in force or being fetched.
    pub fn highest(&self) -> Option<ConfigHead> {
        self.candidates.first().map(|candidate| candidate.head).max(self.head)
    }

    /// Returns the time since which a version above the one in force is known; `None` if none is.
    pub fn behind_since(&self) -> Option<Time> {
        self.behind.map(|behind| behind.since)
    }

    /// Returns the difference from the configuration with manifest hash `base` to the one in force;
    /// `None` if `base` is in force itself, unknown, or too long ago. From [`NO_CONFIGURATION`] the
    /// difference is the whole configuration.
    pub fn delta_from(&self, base: &ContentHash) -> Option<Delta> {
        if *base == NO_CONFIGURATION {
            return self.whole();
        }
        let changes = self.history.since(base)?;
        let removed = changes.removed.into_iter().filter(|hash| !self.objects.contains_key(hash));
        let added = changes.added.iter().filter_map(|hash| self.objects.get(hash));
        let added = added.map(|object| object.body.clone());
        let (removed, added) = (removed.collect(), added.collect());
        Some(Delta { base: *base, head: self.head?, removed, added })
    }

    /// Returns the configuration in force as a delta for a node that has none.
    fn whole(&self) -> Option<Delta> {
        let head = self.head?;
        let resources = self.objects.iter().filter(|(hash, _)| **hash != head.manifest);
        let added = resources.map(|(_, object)| object.body.clone()).collect();
        Some(Delta { base: NO_CONFIGURATION, head, removed: Vec::new(), added })
    }

    /// Returns the manifest hash from which a delta for this node starts: that of the configuration
    /// in force, or [`NO_CONFIGURATION`].
    pub fn delta_base(&self) -> ContentHash {
        self.head.map_or(NO_CONFIGURATION, |head| head.manifest)
    }

    /// Returns an object, to be served to a peer, of the configuration in force or of one being
    /// fetched.
    pub fn object(&self, hash: &ContentHash) -> Option<&Bytes> {
        let of_candidate =
            || self.candidates.iter().find_map(|candidate| candidate.objects.get(hash));
        self.objects.get(hash).or_else(of_candidate).map(|object| &object.body)
    }

    /// Returns whether the object is missing for a configuration that is being fetched.
    pub fn is_wanted(&self, hash: &ContentHash) -> bool {
        self.candidates.iter().any(|candidate| candidate.missing(&self.objects).contains(hash))
    }

    /// Returns whether the configuration with manifest hash `manifest` is being fetched.
    pub fn is_fetching(&self, manifest: &ContentHash) -> bool {
        self.candidates.iter().any(|candidate| candidate.head.manifest == *manifest)
    }

    /// Returns the time at which [`Input::Tick`] is due; `None` if no fetch or request is delayed.
    pub fn next_tick(&self) -> Option<Time> {
        let waiting = |c: &&Candidate| !c.fetching && !c.is_complete(&self.objects);
        let fetches = self.candidates.iter().filter(waiting).map(|c| c.due);
        // Without a configuration in force there is no base to ask a delta from.
        let request = self.behind.filter(|_| self.head.is_some()).map(|b| b.next_request);
        fetches.chain(request).min()
    }

    /// Processes one input and returns the operations to perform.
    pub fn step(&mut self, now: Time, input: Input) -> Vec<Action> {
        let mut actions = Vec::new();
        match input {
            Input::HeadLearned { head, from, fetch_delay } => {
                // Counted from the last head, the delay would never pass while versions follow each
                // other faster.
                let behind_since = self.behind_since().unwrap_or(now);
                self.on_head(now, behind_since + fetch_delay, head, from, &mut actions);
            }
            Input::PackReceived { head, pack } => self.on_pack(now, head, pack, &mut actions),
            Input::DeltaReceived(delta) => self.on_delta(now, &delta, &mut actions),
            Input::Floor(version) => self.on_floor(version, &mut actions),
            Input::Fetched { head, answer } => self.on_fetched(now, head, answer, &mut actions),
            Input::Tick => {}
        }
        self.apply_complete(&mut actions);
        self.start_fetches(now, &mut actions);
        self.request_delta(now, &mut actions);
        actions
    }

    fn on_head(
        &mut self,
        now: Time,
        due: Time,
        head: ConfigHead,
        from: Source,
        actions: &mut Vec<Action>,
    ) {
        self.add_candidate(now, due, head, from, actions);
        self.candidates.truncate(self.settings.candidates);
    }

    /// Adds a candidate for `head`, unless it is known, rejected, too low or conflicting.
    fn add_candidate(
        &mut self,
        now: Time,
        due: Time,
        head: ConfigHead,
        from: Source,
        actions: &mut Vec<Action>,
    ) {
        if let Some(known) = self.candidates.iter_mut().find(|c| c.head == head) {
            known.hasten(due);
            return;
        }
        if self.rejected.contains(&head) {
            return;
        }
        if self.is_conflicting(head) {
            self.reject(head, RejectReason::Conflicting, actions);
            return;
        }
        if !self.is_applicable(head.version) {
            return;
        }
        let at = self.candidates.partition_point(|candidate| candidate.head > head);
        // A starting node asks peers first even for a head from the platform, because many nodes
        // may start at once.
        let first = if self.in_force.is_none() { Source::Peer } else { from };
        self.candidates.insert(at, Candidate::new(head, first, &self.settings, now, due));
        self.behind.get_or_insert_with(|| Behind::new(now, &self.settings));
    }

    /// Applies a complete configuration even if higher heads are being fetched: it stays in force
    /// until one of those is complete.
    fn on_pack(&mut self, now: Time, head: ConfigHead, pack: Bytes, actions: &mut Vec<Action>) {
        self.add_candidate(now, now, head, Source::Store, actions);
        let Some(candidate) = self.candidates.iter_mut().find(|c| c.head == head) else {
            return;
        };
        let added = candidate.add_objects(&unpack(pack), &self.objects, &self.settings);
        if let Err(reason) = added {
            self.reject(head, reason, actions);
        }
        self.apply_complete(actions);
        self.candidates.truncate(self.settings.candidates);
    }

    /// Adds what a delta from the configuration in force brings. A delta from another base, or one
    /// that doesn't lead to the manifest that it names, is ignored.
    fn on_delta(&mut self, now: Time, delta: &Delta, actions: &mut Vec<Action>) {
        if self.delta_base() != delta.base {
            return;
        }
        let Some(manifest) = delta.manifest(&self.manifest) else { return };
        self.add_candidate(now, now, delta.head, Source::Peer, actions);
        let Some(candidate) = self.candidates.iter_mut().find(|c| c.head == delta.head) else {
            return;
        };
        let bodies: Vec<Bytes> = std::iter::once(manifest).chain(delta.added.clone()).collect();
        if let Err(reason) = candidate.add_objects(&bodies, &self.objects, &self.settings) {
            self.reject(delta.head, reason, actions);
        }
        self.apply_complete(actions);
        self.candidates.truncate(self.settings.candidates);
    }

    /// Returns whether `head` has the version in force but a different manifest.
    fn is_conflicting(&self, head: ConfigHead) -> bool {
        self.head.is_some_and(|current| current.version == head.version && current != head)
    }

    /// Returns whether `version` is above the one in force and not below the floor.
    fn is_applicable(&self, version: ConfigVersion) -> bool {
        version > self.in_force.unwrap_or_default() && Some(version) >= self.floor
    }

    fn on_floor(&mut self, version: ConfigVersion, actions: &mut Vec<Action>) {
        self.floor = self.floor.max(Some(version));
        // Floor 0 means that no configuration was ever accepted: the empty one is in force.
        if self.floor == Some(ConfigVersion::default()) && self.in_force.is_none() {
            self.in_force = Some(ConfigVersion::default());
            actions.push(Action::Apply(Snapshot::default()));
        }
    }

    fn on_fetched(
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
        let added = match answer {
            FetchAnswer::Objects(bodies) => {
                candidate.add_objects(&bodies, &self.objects, &self.settings)
            }
            FetchAnswer::Pack(pack) => {
                candidate.add_objects(&unpack(pack), &self.objects, &self.settings)
            }
            FetchAnswer::Delta(delta) => return self.on_fetched_delta(now, head, &delta, actions),
            FetchAnswer::Absent if candidate.record_absent(&self.settings) => {
                Err(RejectReason::Absent)
            }
            FetchAnswer::TimedOut => {
                candidate.record_timeout();
                Ok(false)
            }
            FetchAnswer::Absent | FetchAnswer::Failed => Ok(false),
        };
        match added {
            Ok(true) => {}
            Ok(false) => candidate.record_failure(&self.settings, now),
            Err(reason) => self.reject(head, reason, actions),
        }
    }

    /// Handles a delta that answered the fetch for `head`. Unless it brings that configuration or a
    /// newer one, the fetch has failed.
    fn on_fetched_delta(
        &mut self,
        now: Time,
        head: ConfigHead,
        delta: &Delta,
        actions: &mut Vec<Action>,
    ) {
        self.on_delta(now, delta, actions);
        if let Some(candidate) = self.candidates.iter_mut().find(|c| c.head == head) {
            candidate.record_failure(&self.settings, now);
        }
    }

    /// Applies the highest complete candidate and drops the candidates with lower versions.
    fn apply_complete(&mut self, actions: &mut Vec<Action>) {
        let Some(floor) = self.floor else {
            return;
        };
        while let Some((head, assembled)) = self.next_complete(floor) {
            match assembled {
                Ok(assembled) => {
                    actions.push(Action::Apply(self.put_in_force(head, assembled)));
                    let learned = self.candidates.iter().map(|c| c.learned).min();
                    self.behind = learned.map(|since| Behind::new(since, &self.settings));
                }
                Err(reason) => self.reject(head, reason, actions),
            }
        }
    }

    /// Puts the candidate for `head` into force, drops those with lower versions, and returns the
    /// snapshot.
    fn put_in_force(&mut self, head: ConfigHead, assembled: Assembled) -> Snapshot {
        let change = Diff::between(&self.manifest, &assembled.manifest);
        for hash in &change.removed {
            self.objects.remove(hash);
        }
        if let Some(old) = self.head.replace(head) {
            self.objects.remove(&old.manifest);
            self.history.record(old.manifest, change);
        }
        self.objects.extend(assembled.new_objects);
        self.manifest = assembled.manifest;
        self.in_force = Some(head.version);
        self.candidates.retain(|candidate| candidate.head.version > head.version);
        assembled.snapshot
    }

    /// Returns the highest complete candidate that isn't below `floor`.
    fn next_complete(
        &self,
        floor: ConfigVersion,
    ) -> Option<(ConfigHead, Result<Assembled, RejectReason>)> {
        self.candidates
            .iter()
            .filter(|candidate| candidate.head.version >= floor)
            .find_map(|candidate| Some((candidate.head, candidate.assemble(&self.objects)?)))
    }

    /// Drops the candidate for `head`, reports it as rejected, and remembers it if that is
    /// permanent.
    fn reject(&mut self, head: ConfigHead, reason: RejectReason, actions: &mut Vec<Action>) {
        self.candidates.retain(|candidate| candidate.head != head);
        if self.candidates.is_empty() {
            self.behind = None;
        }
        if reason.is_final() {
            if self.rejected.len() == MAX_REJECTED {
                self.rejected.pop_front();
            }
            self.rejected.push_back(head);
        }
        actions.push(Action::Reject { head, reason });
    }

    /// Asks peers for a delta if that is due.
    fn request_delta(&mut self, now: Time, actions: &mut Vec<Action>) {
        let (Some(head), Some(behind)) = (self.head, &mut self.behind) else { return };
        if behind.take_due(now, &self.settings) {
            actions.push(Action::RequestDelta { base: head.manifest });
        }
    }

    /// Starts the fetches that are due; a candidate has at most one pending fetch.
    fn start_fetches(&mut self, now: Time, actions: &mut Vec<Action>) {
        for candidate in &mut self.candidates {
            let mut hashes = candidate.missing(&self.objects);
            if candidate.fetching || candidate.due > now || hashes.is_empty() {
                continue;
            }
            hashes.truncate(self.settings.fetch_resources);
            candidate.fetching = true;
            let (head, source) = (candidate.head, candidate.next_source(&self.settings));
            let limit = candidate.fetch_limit(&self.settings);
            actions.push(Action::Fetch { head, source, hashes, limit });
        }
    }
}
