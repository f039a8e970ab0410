//! Questions to ask of what the witness saw.

use super::{Sighting, SightingKind};
use std::collections::HashMap;

/// One run of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Run {
    /// Microseconds since the Unix epoch.
    pub at_us: u64,
    /// The instance that ran it.
    pub instance: String,
    /// Its service.
    pub service: String,
    /// Its version.
    pub version: String,
}

/// All that a witness saw.
#[derive(Debug, Clone, Default)]
pub struct Ledger {
    sightings: Vec<Sighting>,
}

impl Ledger {
    /// A ledger of `sightings`.
    pub fn new(sightings: Vec<Sighting>) -> Self {
        Self { sightings }
    }

    /// Everything, in order of arrival.
    pub fn sightings(&self) -> &[Sighting] {
        &self.sightings
    }

    /// The runs of each token.
    pub fn runs(&self) -> HashMap<&str, Vec<Run>> {
        let mut runs: HashMap<&str, Vec<Run>> = HashMap::new();
        for sighting in self.starts() {
            runs.entry(sighting.token.as_str()).or_default().push(run(sighting));
        }
        runs
    }

    /// Runs that began on `instance`.
    pub fn runs_on<'a>(&'a self, instance: &'a str) -> impl Iterator<Item = Run> + 'a {
        self.starts().filter(move |sighting| sighting.instance == instance).map(run)
    }

    /// Runs that began on `version` of `service`.
    pub fn runs_of_version<'a>(
        &'a self,
        service: &'a str,
        version: &'a str,
    ) -> impl Iterator<Item = Run> + 'a {
        self.starts().filter(move |s| s.service == service && s.version == version).map(run)
    }

    /// Runs that began on a leaving upstream more than `allowed_us` after it began to leave.
    pub fn runs_after_drain(&self, allowed_us: u64) -> usize {
        let mut drains: HashMap<&str, u64> = HashMap::new();
        let mut late = 0;
        for sighting in &self.sightings {
            let instance = sighting.instance.as_str();
            match sighting.kind {
                SightingKind::Drain => {
                    drains.insert(instance, sighting.at_us);
                }
                // A new process on the instance takes work again.
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

    /// Count of sightings of `kind`.
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
