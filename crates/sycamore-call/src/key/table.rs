//! Records of keyed calls, bounded in number, size and time.

use super::KeyHash;
use std::collections::BTreeMap;
use std::time::Duration;
use sycamore_types::prelude::*;

/// Settings of a [`KeyTable`].
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct KeyTableConfig {
    /// Maximum number of keys remembered; further keyed calls are refused.
    pub entries: usize,
    /// Maximum total size of the recorded answers, in bytes.
    pub bytes: usize,
    /// Maximum size of a recorded answer, in bytes.
    pub answer_bytes: usize,
    /// Time for which a key is remembered after its call ended.
    pub memory: Duration,
}

impl Default for KeyTableConfig {
    fn default() -> Self {
        Self {
            entries: 8_192,
            bytes: 4 << 20,
            answer_bytes: 64 << 10,
            memory: Duration::from_secs(60),
        }
    }
}

/// Decision on a keyed call, with a recorded answer of type `A`.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum KeyDecision<A> {
    /// The call must run; [`KeyTable::finish`] must follow.
    Run,
    /// A call with the same key and request is running.
    InProgress,
    /// The call ran; holds its recorded answer.
    Replay(A),
    /// The call may have run, or its answer was not recorded.
    Unknown,
    /// The key was used for another request.
    Mismatch,
    /// The table is full, so that the call must not run.
    Full,
}

/// Outcome of a keyed call, with an answer of type `A`.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum KeyEnd<A> {
    /// The call ran; holds its answer and the answer's size in bytes.
    Answered(A, usize),
    /// The call ran, but its answer is too long or incomplete.
    AnswerLost,
    /// The call certainly did not run.
    NotRun,
    /// The call may have run.
    Unknown,
}

/// Reply of a node that is asked to release a key, with a recorded answer of type `A`.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Released<A> {
    /// The call has not run here within the memory, and won't.
    NotRun,
    /// The call ran here; holds its recorded answer.
    Answered(A),
    /// The call is running here or may have run.
    Unknown,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Record<A> {
    Running,
    Answered(A, usize),
    Unknown,
    /// The key was released to another node.
    Released,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Entry<A> {
    request: u64,
    record: Record<A>,
    /// Time at which the record expires; `None` while the call runs.
    expires: Option<Time>,
}

/// Table of keyed calls and their recorded answers of type `A`.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct KeyTable<A> {
    config: KeyTableConfig,
    entries: BTreeMap<KeyHash, Entry<A>>,
    bytes: usize,
}

impl<A: Clone> KeyTable<A> {
    /// Creates an empty table.
    pub fn new(config: KeyTableConfig) -> Self {
        Self { config, entries: BTreeMap::new(), bytes: 0 }
    }

    /// Returns the number of keys remembered.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no key is remembered.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the maximum size of a recorded answer, in bytes.
    pub fn answer_bytes(&self) -> usize {
        self.config.answer_bytes
    }

    /// Decides on a call with `key` and claims the key if the call is to run; `request` is a hash
    /// of the request, which detects a key used for different requests.
    pub fn begin(&mut self, now: Time, key: KeyHash, request: u64) -> KeyDecision<A> {
        self.remove_expired(now);
        if let Some(entry) = self.entries.get(&key) {
            return entry.decide(request);
        }
        if self.entries.len() >= self.config.entries {
            return KeyDecision::Full;
        }
        self.entries.insert(key, Entry { request, record: Record::Running, expires: None });
        KeyDecision::Run
    }

    /// Returns the decision on a call with `key` without claiming the key; `None` where it is
    /// unknown.
    pub fn peek(&self, now: Time, key: KeyHash, request: u64) -> Option<KeyDecision<A>> {
        let entry = self.entries.get(&key)?;
        let expired = entry.expires.is_some_and(|expires| expires <= now);
        (!expired).then(|| entry.decide(request))
    }

    /// Records the outcome of the call with `key`.
    pub fn finish(&mut self, now: Time, key: KeyHash, end: KeyEnd<A>) {
        let Some(entry) = self.entries.get_mut(&key) else { return };
        if !matches!(entry.record, Record::Running) {
            return;
        }
        let (answer_bytes, room) =
            (self.config.answer_bytes, self.config.bytes.saturating_sub(self.bytes));
        entry.expires = Some(now + self.config.memory);
        entry.record = match end {
            KeyEnd::Answered(answer, bytes) if bytes <= answer_bytes && bytes <= room => {
                self.bytes += bytes;
                Record::Answered(answer, bytes)
            }
            KeyEnd::Answered(..) | KeyEnd::AnswerLost | KeyEnd::Unknown => Record::Unknown,
            KeyEnd::NotRun => {
                self.entries.remove(&key);
                return;
            }
        };
    }

    /// Releases `key` to another node: the call isn't run here again while the key is remembered.
    pub fn release(&mut self, now: Time, key: KeyHash) -> Released<A> {
        self.remove_expired(now);
        match self.entries.get(&key).map(|entry| &entry.record) {
            None => {
                let expires = Some(now + self.config.memory);
                self.entries.insert(key, Entry { request: 0, record: Record::Released, expires });
                Released::NotRun
            }
            // The node that a key was released to earlier may have run the call.
            Some(Record::Released | Record::Running | Record::Unknown) => Released::Unknown,
            Some(Record::Answered(answer, _)) => Released::Answered(answer.clone()),
        }
    }

    fn remove_expired(&mut self, now: Time) {
        let bytes = &mut self.bytes;
        self.entries.retain(|_, entry| {
            let kept = entry.expires.is_none_or(|expires| now < expires);
            if let (false, Record::Answered(_, len)) = (kept, &entry.record) {
                *bytes -= len;
            }
            kept
        });
    }
}

impl<A: Clone> Entry<A> {
    fn decide(&self, request: u64) -> KeyDecision<A> {
        let has_request = !matches!(self.record, Record::Released);
        if has_request && self.request != request {
            return KeyDecision::Mismatch;
        }
        match &self.record {
            Record::Running => KeyDecision::InProgress,
            Record::Answered(answer, _) => KeyDecision::Replay(answer.clone()),
            Record::Unknown | Record::Released => KeyDecision::Unknown,
        }
    }
}
