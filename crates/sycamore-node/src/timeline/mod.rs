//! The time line of this process.

use crate::hub::Hub;
use crate::platform::Platform;
use crate::tasks::TaskGroup;
use error_stack::Report;
use std::collections::VecDeque;
use std::rc::Rc;
use sycamore_settings::Settings;
use sycamore_types::prelude::*;

/// Stamps events and keeps the latest.
pub struct Recorder {
    by: InstanceId,
    incarnation: Incarnation,
    stamp: Stamp,
    seq: u64,
    events: VecDeque<Event>,
    capacity: usize,
}

impl Recorder {
    /// A recorder that has seen nothing.
    pub fn new(settings: &Settings, incarnation: Incarnation) -> Self {
        Self {
            by: settings.node.instance.clone(),
            incarnation,
            stamp: Stamp::default(),
            seq: 0,
            events: VecDeque::new(),
            capacity: settings.moves.events as usize,
        }
    }

    /// Records what happened at civil time `now`.
    pub fn record(&mut self, kind: EventKind, now: WallTime) {
        self.stamp = self.stamp.tick(now);
        self.seq += 1;
        if self.events.len() >= self.capacity {
            self.events.pop_front();
        }
        self.events.push_back(Event {
            at: self.stamp,
            by: self.by.clone(),
            incarnation: self.incarnation,
            seq: self.seq,
            kind,
        });
    }

    /// The events kept whose number is above `after`.
    pub fn after(&self, after: u64) -> Vec<Event> {
        self.events.iter().filter(|event| event.seq > after).cloned().collect()
    }
}

/// Starts the tasks that keep events in the object store.
///
/// # Errors
/// None so far.
pub async fn start(
    _hub: &Rc<Hub>,
    _tasks: &TaskGroup,
    _platform: &Rc<Platform>,
) -> Result<(), Report<std::io::Error>> {
    Ok(())
}
