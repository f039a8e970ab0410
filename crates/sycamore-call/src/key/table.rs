//! What is remembered of keyed calls, bounded in number, bytes and time.

use super::KeyHash;
use std::collections::BTreeMap;
use std::time::Duration;
use sycamore_types::prelude::*;

/// Settings of a [`KeyTable`].
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct KeyTableConfig {
    /// Keys remembered at most; beyond, new keyed calls are refused.
    pub entries: usize,
    /// Bytes of answers kept at most, in all.
    pub bytes: usize,
    /// Longest answer kept, in bytes.
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

/// What to do with a keyed call.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum KeyDecision<A> {
    /// Run it; [`KeyTable::finish`] must follow.
    Run,
    /// The same call runs right now.
    InProgress,
    /// It ran; this is its answer.
    Replay(A),
    /// It may have run, or ran and its answer was not kept.
    Unknown,
    /// The key was used for another request.
    Mismatch,
    /// No more keys can be remembered: it is not run.
    Full,
}

/// How a keyed call ended.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum KeyEnd<A> {
    /// It ran; this is its answer, of so many bytes.
    Answered(A, usize),
    /// It ran, and its answer is too long or was cut.
    AnswerLost,
    /// It certainly did not run.
    NotRun,
    /// It may have run.
    Unknown,
}

/// What a node hands over with a key.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Released<A> {
    /// It has not run here within the memory, and won't.
    NotRun,
    /// It ran here, with this answer.
    Answered(A),
    /// It runs here right now, or may have run.
    Unknown,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Record<A> {
    Running,
    Answered(A, usize),
    Unknown,
    /// Handed over to another node.
    Released,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Entry<A> {
    request: u64,
    record: Record<A>,
    /// `None` while it runs.
    expires: Option<Time>,
}

/// Records of keyed calls, with answers of type `A`.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct KeyTable<A> {
    config: KeyTableConfig,
    entries: BTreeMap<KeyHash, Entry<A>>,
    bytes: usize,
}

impl<A: Clone> KeyTable<A> {
    /// An empty table.
    pub fn new(config: KeyTableConfig) -> Self {
        Self { config, entries: BTreeMap::new(), bytes: 0 }
    }

    /// Number of keys remembered.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no key is remembered.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Longest answer kept, in bytes.
    pub fn answer_bytes(&self) -> usize {
        self.config.answer_bytes
    }

    /// Decides on a call with `key`; `request` is a hash of the request, to tell misuse of a key.
    pub fn begin(&mut self, now: Time, key: KeyHash, request: u64) -> KeyDecision<A> {
        self.forget(now);
        if let Some(entry) = self.entries.get(&key) {
            return entry.decide(request);
        }
        if self.entries.len() >= self.config.entries {
            return KeyDecision::Full;
        }
        self.entries.insert(key, Entry { request, record: Record::Running, expires: None });
        KeyDecision::Run
    }

    /// What is known of `key`, without a claim on it; `None` where nothing is.
    pub fn peek(&self, now: Time, key: KeyHash, request: u64) -> Option<KeyDecision<A>> {
        let entry = self.entries.get(&key)?;
        let expired = entry.expires.is_some_and(|expires| expires <= now);
        (!expired).then(|| entry.decide(request))
    }

    /// Records how the call with `key` ended.
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

    /// Hands `key` over to another node: it is never run here again within the memory.
    pub fn release(&mut self, now: Time, key: KeyHash) -> Released<A> {
        self.forget(now);
        match self.entries.get(&key).map(|entry| &entry.record) {
            None => {
                let expires = Some(now + self.config.memory);
                self.entries.insert(key, Entry { request: 0, record: Record::Released, expires });
                Released::NotRun
            }
            // A key released before may have run at whoever took it.
            Some(Record::Released | Record::Running | Record::Unknown) => Released::Unknown,
            Some(Record::Answered(answer, _)) => Released::Answered(answer.clone()),
        }
    }

    fn forget(&mut self, now: Time) {
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
        let known = !matches!(self.record, Record::Released);
        if known && self.request != request {
            return KeyDecision::Mismatch;
        }
        match &self.record {
            Record::Running => KeyDecision::InProgress,
            Record::Answered(answer, _) => KeyDecision::Replay(answer.clone()),
            Record::Unknown | Record::Released => KeyDecision::Unknown,
        }
    }
}
