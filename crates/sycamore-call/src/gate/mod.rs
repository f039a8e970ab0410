//! The gate of a version at its own node: a bad version takes nothing, an unproven one no more than
//! its share, whatever the nodes of callers believe.

use crate::route::VersionBans;
use sycamore_types::prelude::*;

/// Calls that an unproven version runs at a time at least, so that its share can be measured.
const MIN_RUNNING: u32 = 1;

/// What a relayed call says of the version that it was meant for.
#[derive(Debug, Clone, Copy)]
pub struct GateRequest<'a> {
    /// The version that the caller's node chose.
    pub version: &'a UpstreamVersion,
    /// The share that it went by.
    pub share: Share,
    /// A number drawn evenly from 0 to 9,999 for this call, the same at every node.
    pub draw: u16,
}

/// Guards one upstream.
#[derive(Debug, Clone)]
pub struct Gate {
    service: ServiceName,
    version: UpstreamVersion,
    /// The share in force here; `None` for a proven version or a service that is not split.
    share: Option<Share>,
    banned: bool,
    /// Calls that may run at a time under the share.
    most_running: u32,
}

impl Gate {
    /// A gate of `version` of `service`, open until it learns of a share or a verdict.
    pub fn new(service: ServiceName, version: UpstreamVersion) -> Self {
        Self { service, version, share: None, banned: false, most_running: u32::MAX }
    }

    /// The version that it guards.
    pub fn version(&self) -> &UpstreamVersion {
        &self.version
    }

    /// Whether the version was found bad.
    pub fn is_banned(&self) -> bool {
        self.banned
    }

    /// Takes the verdicts known here.
    pub fn learn(&mut self, bans: &VersionBans) {
        self.banned |= bans.contains(&self.service, &self.version);
    }

    /// Takes the shares in force here, and the members that share the service's work.
    pub fn update(&mut self, shares: &ShareTable, view: &MemberView) {
        self.share = capped_share(shares, &self.service, &self.version);
        self.most_running = match self.share {
            None => u32::MAX,
            Some(share) => most_running(share, &self.service, &self.version, view),
        };
    }

    /// Refuses what the version must not take; `running` counts the calls that run here.
    ///
    /// # Errors
    /// [`RefusalReason::BadVersion`] or [`RefusalReason::ShareSpent`].
    pub fn check(&self, req: &GateRequest<'_>, running: u32) -> Result<(), RefusalReason> {
        if self.banned {
            return Err(RefusalReason::BadVersion);
        }
        if *req.version != self.version {
            // The upstream was replaced by another version since the caller's node chose it.
            return Err(RefusalReason::ShareSpent);
        }
        let Some(share) = self.share else { return Ok(()) };
        if running >= self.most_running || is_thinned_out(share, req) {
            return Err(RefusalReason::ShareSpent);
        }
        Ok(())
    }
}

/// The share that caps `version`, where a move sets it below the whole.
fn capped_share(
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

/// The share of the service's slots, divided among the version's instances.
fn most_running(
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
    let part = share.as_fraction() * f64::from(slots) / instances.max(1) as f64;
    // A share is at most one, so that the product fits.
    (part.ceil() as u32).max(MIN_RUNNING)
}

/// A caller's node that goes by a larger share than this node sends too much: of its calls, only the
/// part passes that the smaller share allows.
fn is_thinned_out(share: Share, req: &GateRequest<'_>) -> bool {
    let (own, asked) = (share.basis_points(), req.share.basis_points());
    if own == 0 {
        return true;
    }
    own < asked && u32::from(req.draw) * u32::from(asked) >= u32::from(own) * 10_000
}
