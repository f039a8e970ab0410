//! Health and load endpoints, which can be made to lag or to mislead.

use super::Probe;
use crate::http::{json, text, Answer};
use http::StatusCode;
use serde::Serialize;
use std::collections::VecDeque;
use std::time::Duration;

/// Age of the state that lagging endpoints report.
const LAGGING_AGE: Duration = Duration::from_secs(3);

/// Load of the upstream, as the load endpoint reports it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Load {
    /// Number of the upstream's slots that are taken.
    pub busy: usize,
    /// Number of requests that wait for a slot.
    pub queued: usize,
}

/// Recent states of the upstream, from which lagging endpoints answer.
#[derive(Debug, Default)]
pub struct Probes {
    samples: VecDeque<(Duration, Load, bool)>,
}

impl Probes {
    /// Records the state at `now`, counted from the upstream's start, and drops states that are too old
    /// to be reported.
    pub fn sample(&mut self, now: Duration, load: Load, healthy: bool) {
        self.samples.push_back((now, load, healthy));
        while self.samples.get(1).is_some_and(|(at, ..)| *at + LAGGING_AGE <= now) {
            self.samples.pop_front();
        }
    }

    /// Returns the load and health that `probe` reports while `load` and `healthy` are the current ones.
    fn reported(&self, probe: Probe, load: Load, healthy: bool) -> (Load, bool) {
        match probe {
            Probe::Honest => (load, healthy),
            Probe::Misleading => (Load::default(), true),
            Probe::Lagging => {
                self.samples.front().map_or((load, healthy), |(_, load, healthy)| (*load, *healthy))
            }
        }
    }

    /// Returns the answer of the load endpoint.
    pub fn load(&self, probe: Probe, load: Load) -> Answer {
        json(StatusCode::OK, &self.reported(probe, load, true).0)
    }

    /// Returns the answer of the health endpoint.
    pub fn health(&self, probe: Probe, healthy: bool) -> Answer {
        match self.reported(probe, Load::default(), healthy).1 {
            true => text(StatusCode::OK, "healthy\n"),
            false => text(StatusCode::SERVICE_UNAVAILABLE, "leaving\n"),
        }
    }
}
