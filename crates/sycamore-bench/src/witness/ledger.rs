//! Queries over the reports that a witness collected.

use super::{UpstreamEvent, UpstreamEventKind};
use std::collections::HashMap;

/// Run of a request on an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Run {
    /// Start of the run, in microseconds since the Unix epoch.
    pub at_us: u64,
    /// Name of the instance that ran the request.
    pub instance: String,
    /// Service of that instance.
    pub service: String,
    /// Version of the upstream on that instance.
    pub version: String,
    /// Token of the request.
    pub token: String,
}

/// Events of upstreams that a witness has collected.
#[derive(Debug, Clone, Default)]
pub struct Ledger {
    events: Vec<UpstreamEvent>,
}

impl Ledger {
    /// Creates a ledger of `events`, which are in order of arrival.
    pub fn new(events: Vec<UpstreamEvent>) -> Self {
        Self { events }
    }

    /// Returns all reported events in order of arrival.
    pub fn events(&self) -> &[UpstreamEvent] {
        &self.events
    }

    /// Returns the runs of each request, keyed by the request's token.
    pub fn runs(&self) -> HashMap<&str, Vec<Run>> {
        let mut runs: HashMap<&str, Vec<Run>> = HashMap::new();
        for event in self.starts() {
            runs.entry(event.token.as_str()).or_default().push(run(event));
        }
        runs
    }

    /// Returns the runs that began on `instance`.
    pub fn runs_on<'a>(&'a self, instance: &'a str) -> impl Iterator<Item = Run> + 'a {
        self.starts().filter(move |event| event.instance == instance).map(run)
    }

    /// Returns the time at which the next upstream process of `instance` came up after `after_us`, both
    /// in microseconds since the Unix epoch; the highest time if none did.
    pub fn next_start_of(&self, instance: &str, after_us: u64) -> u64 {
        let is_start = |event: &&UpstreamEvent| {
            event.kind == UpstreamEventKind::Up && event.instance == instance
        };
        let starts = self.events.iter().filter(is_start).map(|event| event.at_us);
        starts.filter(|at_us| *at_us > after_us).min().unwrap_or(u64::MAX)
    }

    /// Returns the runs that began on upstreams of `service` with `version`.
    pub fn runs_of_version<'a>(
        &'a self,
        service: &'a str,
        version: &'a str,
    ) -> impl Iterator<Item = Run> + 'a {
        self.starts().filter(move |s| s.service == service && s.version == version).map(run)
    }

    /// Counts the runs that began on a draining upstream more than `allowed_us` microseconds after the
    /// start of its drain.
    pub fn runs_after_drain(&self, allowed_us: u64) -> usize {
        let mut drains: HashMap<&str, u64> = HashMap::new();
        let mut late = 0;
        for event in &self.events {
            let instance = event.instance.as_str();
            match event.kind {
                UpstreamEventKind::Drain => {
                    drains.insert(instance, event.at_us);
                }
                // A restarted upstream accepts requests again.
                UpstreamEventKind::Up => {
                    drains.remove(instance);
                }
                UpstreamEventKind::Start => {
                    let drain = drains.get(instance).copied().unwrap_or(u64::MAX);
                    late += usize::from(event.at_us > drain.saturating_add(allowed_us));
                }
                UpstreamEventKind::End | UpstreamEventKind::Cancel | UpstreamEventKind::Shed => {}
            }
        }
        late
    }

    /// Counts the reported events of `kind`.
    pub fn count(&self, kind: UpstreamEventKind) -> usize {
        self.events.iter().filter(|event| event.kind == kind).count()
    }

    fn starts(&self) -> impl Iterator<Item = &UpstreamEvent> {
        self.events.iter().filter(|event| event.kind == UpstreamEventKind::Start)
    }
}

fn run(event: &UpstreamEvent) -> Run {
    Run {
        at_us: event.at_us,
        instance: event.instance.clone(),
        service: event.service.clone(),
        version: event.version.clone(),
        token: event.token.clone(),
    }
}
