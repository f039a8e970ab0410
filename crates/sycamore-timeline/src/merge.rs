//! One ordered time line from the events of many processes.

use crate::ring::Source;
use std::collections::BTreeMap;
use sycamore_types::prelude::*;

/// Orders events by their stamps and drops duplicates. The order is the same whatever the order in
/// which the events come in.
pub fn merge(events: impl IntoIterator<Item = Event>) -> Vec<Event> {
    let unique: BTreeMap<_, _> = events
        .into_iter()
        .map(|event| ((event.at, Source::of(&event), event.seq), event))
        .collect();
    unique.into_values().collect()
}

/// Events of a process that are missing between two that are there.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Gap {
    /// The process.
    pub source: Source,
    /// Number of the first event that is missing.
    pub first: u64,
    /// Number of the last event that is missing.
    pub last: u64,
}

/// The gaps in the numbers of each process' events; what is missing before the first event counts
/// too, what may be missing after the last does not.
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

/// Which events to show; a field that is `None` lets all pass.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Filter {
    /// The move that the event is about.
    pub mv: Option<MoveId>,
    /// The instance that recorded it.
    pub instance: Option<InstanceId>,
    /// The event's name.
    pub kind: Option<String>,
}

impl Filter {
    /// Whether `event` passes.
    pub fn passes(&self, event: &Event) -> bool {
        let mv = self.mv.as_ref().is_none_or(|mv| event.kind.mv() == Some(mv));
        let instance = self.instance.as_ref().is_none_or(|instance| event.by == *instance);
        let kind = self.kind.as_ref().is_none_or(|kind| event.kind.name() == kind);
        mv && instance && kind
    }
}

/// How far each process' events have been shown, to follow a time line without repeats.
#[derive(Debug, Clone, Default)]
pub struct Cursor {
    shown: BTreeMap<Source, u64>,
}

impl Cursor {
    /// Number of the last event of `source` that was shown; 0 for none.
    pub fn after(&self, source: &Source) -> u64 {
        self.shown.get(source).copied().unwrap_or(0)
    }

    /// The events that were not shown yet, in order; they count as shown from now on.
    pub fn advance(&mut self, events: impl IntoIterator<Item = Event>) -> Vec<Event> {
        let fresh: Vec<Event> = merge(events)
            .into_iter()
            .filter(|event| event.seq > self.after(&Source::of(event)))
            .collect();
        for event in &fresh {
            let shown = self.shown.entry(Source::of(event)).or_default();
            *shown = (*shown).max(event.seq);
        }
        fresh
    }
}
