//! Health and load endpoints that lag or mislead.

use super::Probe;
use crate::http::{json, text, Answer};
use http::StatusCode;
use serde::Serialize;
use std::collections::VecDeque;
use std::time::Duration;

/// How far behind lagging endpoints are.
const LAG: Duration = Duration::from_secs(3);

/// What the load endpoint tells.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Load {
    /// Slots taken.
    pub busy: usize,
    /// Requests that wait.
    pub queued: usize,
}

/// The endpoints' memory.
#[derive(Debug, Default)]
pub struct Probes {
    samples: VecDeque<(Duration, Load, bool)>,
}

impl Probes {
    /// Remembers the truth at `now`.
    pub fn sample(&mut self, now: Duration, load: Load, healthy: bool) {
        self.samples.push_back((now, load, healthy));
        while self.samples.get(1).is_some_and(|(at, ..)| *at + LAG <= now) {
            self.samples.pop_front();
        }
    }

    fn told(&self, probe: Probe, load: Load, healthy: bool) -> (Load, bool) {
        match probe {
            Probe::Honest => (load, healthy),
            Probe::Misleading => (Load::default(), true),
            Probe::Lagging => {
                self.samples.front().map_or((load, healthy), |(_, load, healthy)| (*load, *healthy))
            }
        }
    }

    /// The answer of the load endpoint.
    pub fn load(&self, probe: Probe, load: Load) -> Answer {
        json(StatusCode::OK, &self.told(probe, load, true).0)
    }

    /// The answer of the health endpoint.
    pub fn health(&self, probe: Probe, healthy: bool) -> Answer {
        match self.told(probe, Load::default(), healthy).1 {
            true => text(StatusCode::OK, "healthy\n"),
            false => text(StatusCode::SERVICE_UNAVAILABLE, "leaving\n"),
        }
    }
}
