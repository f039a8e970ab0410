//! Queries over the reports that a witness collected.

use super::{Sighting, SightingKind};
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
}

/// Reports that a witness has collected.
#[derive(Debug, Clone, Default)]
pub struct Ledger {
    sightings: Vec<Sighting>,
}

impl Ledger {
    /// Creates a ledger of `sightings`, which are in order of arrival.
    pub fn new(sightings: Vec<Sighting>) -> Self {
        Self { sightings }
    }

    /// Returns all reports in order of arrival.
    pub fn sightings(&self) -> &[Sighting] {
        &self.sightings
    }

    /// Returns the runs of each request, keyed by the request's token.
    pub fn runs(&self) -> HashMap<&str, Vec<Run>> {
        let mut runs: HashMap<&str, Vec<Run>> = HashMap::new();
        for sighting in self.starts() {
            runs.entry(sighting.token.as_str()).or_default().push(run(sighting));
        }
        runs
    }

    /// Returns the runs that began on `instance`.
    pub fn runs_on<'a>(&'a self, instance: &'a str) -> impl Iterator<Item = Run> + 'a {
        self.starts().filter(move |sighting| sighting.instance == instance).map(run)
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
        for sighting in &self.sightings {
            let instance = sighting.instance.as_str();
            match sighting.kind {
                SightingKind::Drain => {
                    drains.insert(instance, sighting.at_us);
                }
                // A restarted upstream accepts requests again.
                SightingKind::Up => {
                    drains.remove(instance);
                }
                SightingKind::Start => {
                    let drain = drains.get(instance).copied().unwrap_or(u64::MAX);
                    late += usize::from(sighting.at_us > drain.saturating_add(allowed_us));
                }
                SightingKind::End | SightingKind::Cancel | SightingKind::Shed => {}
            }
        }
        late
    }

    /// Counts the reports of `kind`.
    pub fn count(&self, kind: SightingKind) -> usize {
        self.sightings.iter().filter(|sighting| sighting.kind == kind).count()
    }

    fn starts(&self) -> impl Iterator<Item = &Sighting> {
        self.sightings.iter().filter(|sighting| sighting.kind == SightingKind::Start)
    }
}

fn run(sighting: &Sighting) -> Run {
    Run {
        at_us: sighting.at_us,
        instance: sighting.instance.clone(),
        service: sighting.service.clone(),
        version: sighting.version.clone(),
    }
}
