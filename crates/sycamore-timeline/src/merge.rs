//! Merging of the events of many processes into one ordered timeline.

use crate::ring::Source;
use std::collections::BTreeMap;
use sycamore_types::prelude::*;

/// Sorts events by their stamps and removes duplicates. The result does not depend on the order of
/// the input.
pub fn merge(events: impl IntoIterator<Item = Event>) -> Vec<Event> {
    let unique: BTreeMap<_, _> = events
        .into_iter()
        .map(|event| ((event.at, Source::of(&event), event.seq), event))
        .collect();
    unique.into_values().collect()
}

/// Range of consecutive events of one process that are missing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Gap {
    /// Process that recorded the events.
    pub source: Source,
    /// Sequence number of the first missing event.
    pub first: u64,
    /// Sequence number of the last missing event.
    pub last: u64,
}

/// Finds the gaps in the sequence numbers of each process's events. Events missing before the first
/// one are a gap as well; events missing after the last one cannot be detected.
pub fn gaps(events: &[Event]) -> Vec<Gap> {
    let mut numbers: BTreeMap<Source, Vec<u64>> = BTreeMap::new();
    for event in events {
        numbers.entry(Source::of(event)).or_default().push(event.seq);
    }
    let mut gaps = Vec::new();
    for (source, mut numbers) in numbers {
        numbers.sort_unstable();
        let mut expected = 1;
        for number in numbers {
            if number > expected {
                gaps.push(Gap { source: source.clone(), first: expected, last: number - 1 });
            }
            expected = expected.max(number + 1);
        }
    }
    gaps
}

/// Filter of events; a field that is `None` accepts all.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Filter {
    /// Move that the event must concern.
    pub mv: Option<MoveId>,
    /// Instance that must have recorded the event.
    pub instance: Option<InstanceId>,
    /// Name of the event's kind, as in [`EventKind::name`].
    pub kind: Option<String>,
}

impl Filter {
    /// Returns whether `event` passes all fields of the filter.
    pub fn passes(&self, event: &Event) -> bool {
        let mv = self.mv.as_ref().is_none_or(|mv| event.kind.mv() == Some(mv));
        let instance = self.instance.as_ref().is_none_or(|instance| event.by == *instance);
        let kind = self.kind.as_ref().is_none_or(|kind| event.kind.name() == kind);
        mv && instance && kind
    }
}

/// Position in a timeline that is followed: the events of each process that were shown already.
#[derive(Debug, Clone, Default)]
pub struct Cursor {
    shown: BTreeMap<Source, u64>,
}

impl Cursor {
    /// Returns the sequence number of the last event of `source` that was shown; 0 if none was.
    pub fn after(&self, source: &Source) -> u64 {
        self.shown.get(source).copied().unwrap_or(0)
    }

    /// Returns the events that were not shown yet, in order, and marks them as shown.
    pub fn advance(&mut self, events: impl IntoIterator<Item = Event>) -> Vec<Event> {
        let unseen: Vec<Event> = merge(events)
            .into_iter()
            .filter(|event| event.seq > self.after(&Source::of(event)))
            .collect();
        for event in &unseen {
            let shown = self.shown.entry(Source::of(event)).or_default();
            *shown = (*shown).max(event.seq);
        }
        unseen
    }
}
