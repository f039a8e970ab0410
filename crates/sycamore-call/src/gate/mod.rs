//! Version gate at an upstream's own node: refuses calls to a bad version, and limits an unproven
//! version to its traffic share, whatever share the callers' nodes apply.

use crate::route::VersionBans;
use sycamore_types::prelude::*;

/// Minimum concurrency limit of an unproven version, in calls, so that its share can be measured.
const MIN_CONCURRENT_CALLS: u32 = 1;

/// Properties of a relayed call that the gate checks.
#[derive(Debug, Clone, Copy)]
pub struct GateRequest<'a> {
    /// Version that the caller's node chose.
    pub version: &'a UpstreamVersion,
    /// Traffic share that the caller's node applied.
    pub share: Share,
    /// Number from 0 to 9,999 that decides whether a call above the share in force is refused;
    /// uniformly distributed over calls, and the same for one call at every node.
    pub draw: u16,
}

/// Gate of one upstream's version.
#[derive(Debug, Clone)]
pub struct Gate {
    service: ServiceName,
    version: UpstreamVersion,
    /// Traffic share that caps the version; `None` for the stable version, for a version
    /// with the whole share, and for a service that is not split.
    share: Option<Share>,
    banned: bool,
    /// Maximum number of concurrent calls under the share.
    concurrency_limit: u32,
}

impl Gate {
    /// Creates a gate of `version` of `service` that admits everything until it learns of a share
    /// or a verdict.
    pub fn new(service: ServiceName, version: UpstreamVersion) -> Self {
        Self { service, version, share: None, banned: false, concurrency_limit: u32::MAX }
    }

    /// Returns the guarded version.
    pub fn version(&self) -> &UpstreamVersion {
        &self.version
    }

    /// Returns whether the guarded version is banned.
    pub fn is_banned(&self) -> bool {
        self.banned
    }

    /// Closes the gate permanently if `bans` contains its version.
    pub fn learn(&mut self, bans: &VersionBans) {
        self.banned |= bans.contains(&self.service, &self.version);
    }

    /// Updates the cap from the traffic shares in force and the slots of the service's members.
    pub fn update(&mut self, shares: &ShareTable, view: &MemberView) {
        self.share = share_cap(shares, &self.service, &self.version);
        self.concurrency_limit = match self.share {
            None => u32::MAX,
            Some(share) => concurrency_limit(share, &self.service, &self.version, view),
        };
    }

    /// Checks whether the version may take a call while `running` calls run at the upstream.
    ///
    /// # Errors
    /// Returns [`RefusalReason::BadVersion`] where the version is banned, and
    /// [`RefusalReason::ShareSpent`] where its share is exceeded or the call is meant for another
    /// version.
    pub fn check(&self, req: &GateRequest<'_>, running: u32) -> Result<(), RefusalReason> {
        if self.banned {
            return Err(RefusalReason::BadVersion);
        }
        if *req.version != self.version {
            // The upstream was replaced by one of another version after the caller's node chose it.
            return Err(RefusalReason::ShareSpent);
        }
        let Some(share) = self.share else { return Ok(()) };
        if running >= self.concurrency_limit || exceeds_share(share, req) {
            return Err(RefusalReason::ShareSpent);
        }
        Ok(())
    }
}

/// Returns the share that caps `version`; `None` where no move limits it.
fn share_cap(
    shares: &ShareTable,
    service: &ServiceName,
    version: &UpstreamVersion,
) -> Option<Share> {
    let versions = shares.services.get(service)?;
    match versions.iter().find(|entry| entry.version == *version) {
        None => Some(Share::NONE),
        Some(entry) if entry.by.is_none() => None,
        Some(entry) => Some(entry.share).filter(|share| *share < Share::ALL),
    }
}

/// Returns the concurrency limit of one instance: the share of the service's slots, divided by the
/// number of instances of the version.
fn concurrency_limit(
    share: Share,
    service: &ServiceName,
    version: &UpstreamVersion,
    view: &MemberView,
) -> u32 {
    if share == Share::NONE {
        return 0;
    }
    let slots: u32 = view.serving(service).map(|member| u32::from(member.slots)).sum();
    let instances = view.serving(service).filter(|member| member.version == *version).count();
    let per_instance = share.as_fraction() * f64::from(slots) / instances.max(1) as f64;
    // A share is at most 1, so the product fits into a u32.
    (per_instance.ceil() as u32).max(MIN_CONCURRENT_CALLS)
}

/// Returns whether to refuse a call of a caller's node that applies a larger share: of its calls,
/// only the fraction passes that reduces its share to the one in force here.
fn exceeds_share(share: Share, req: &GateRequest<'_>) -> bool {
    let (in_force, applied) = (share.basis_points(), req.share.basis_points());
    if in_force == 0 {
        return true;
    }
    in_force < applied && u32::from(req.draw) * u32::from(applied) >= u32::from(in_force) * 10_000
}
