//! Facts on the wire.

use super::{id, malformed};
use crate::limits::MAX_REASON_BYTES;
use crate::proto;
use crate::proto::item::Item as Wire;
use crate::Result;
use sycamore_types::fact::MAX_ROW_BYTES;
use sycamore_types::prelude::*;

/// A fact as it goes on the wire.
pub(super) fn fact_to_wire(fact: &Fact) -> Wire {
    match fact {
        Fact::BadVersion { service, version, by, reason, at } => {
            Wire::BadVersion(proto::BadVersion {
                service: service.to_string(),
                version: version.to_string(),
                by: by.to_string(),
                reason: reason.clone(),
                at: Some(stamp_to_wire(*at)),
            })
        }
        Fact::Aborted { by, service, version, at } => Wire::Aborted(proto::Aborted {
            by: by.to_string(),
            service: service.to_string(),
            version: version.to_string(),
            at: Some(stamp_to_wire(*at)),
        }),
        Fact::Quarantined { fingerprint, until } => {
            Wire::Quarantined(proto::Quarantined { fingerprint: fingerprint.0, until_ms: until.0 })
        }
        Fact::CrashSeen { fingerprint, crash, until } => Wire::CrashSeen(proto::CrashSeen {
            fingerprint: fingerprint.0,
            crash: *crash,
            until_ms: until.0,
        }),
        Fact::Head(head) => Wire::Head(head_to_wire(head)),
        Fact::MoveRow { mv, revision, row, until } => Wire::MoveRow(proto::MoveRow {
            mv: mv.to_string(),
            revision: *revision,
            row: row.clone(),
            until_ms: until.0,
        }),
        Fact::Cleared { by, step, at, until } => Wire::Cleared(proto::Cleared {
            by: by.to_string(),
            step: u32::from(*step),
            at: Some(stamp_to_wire(*at)),
            until_ms: until.0,
        }),
    }
}

/// The fact in `wire`.
pub(super) fn fact_from_wire(wire: Wire) -> Result<Fact> {
    match wire {
        Wire::Member(_) | Wire::Brief(_) => Err(malformed("a member where a fact was due")),
        Wire::BadVersion(bad) => {
            check_text(&bad.reason, MAX_REASON_BYTES)?;
            Ok(Fact::BadVersion {
                service: id(&bad.service, "service")?,
                version: id(&bad.version, "version")?,
                by: id(&bad.by, "move")?,
                at: stamp_from_wire(bad.at)?,
                reason: bad.reason,
            })
        }
        Wire::Aborted(aborted) => Ok(Fact::Aborted {
            by: id(&aborted.by, "move")?,
            service: id(&aborted.service, "service")?,
            version: id(&aborted.version, "version")?,
            at: stamp_from_wire(aborted.at)?,
        }),
        Wire::Quarantined(fact) => Ok(Fact::Quarantined {
            fingerprint: Fingerprint(fact.fingerprint),
            until: WallTime(fact.until_ms),
        }),
        Wire::CrashSeen(fact) => Ok(Fact::CrashSeen {
            fingerprint: Fingerprint(fact.fingerprint),
            crash: fact.crash,
            until: WallTime(fact.until_ms),
        }),
        Wire::Head(head) => head_from_wire(&head).map(Fact::Head),
        Wire::MoveRow(row) => {
            check_text(&row.row, MAX_ROW_BYTES)?;
            Ok(Fact::MoveRow {
                mv: id(&row.mv, "move")?,
                revision: row.revision,
                row: row.row,
                until: WallTime(row.until_ms),
            })
        }
        Wire::Cleared(cleared) => Ok(Fact::Cleared {
            by: id(&cleared.by, "move")?,
            step: u16::try_from(cleared.step).map_err(|_| malformed("step"))?,
            at: stamp_from_wire(cleared.at)?,
            until: WallTime(cleared.until_ms),
        }),
    }
}

/// A configuration head as it goes on the wire.
pub fn head_to_wire(head: &ConfigHead) -> proto::Head {
    proto::Head {
        version: head.version.0,
        manifest: bytes::Bytes::copy_from_slice(&head.manifest.0),
    }
}

/// The configuration head in `wire`.
///
/// # Errors
/// [`crate::Error::Malformed`] where the manifest's hash has not 32 bytes.
pub fn head_from_wire(wire: &proto::Head) -> Result<ConfigHead> {
    let hash = wire.manifest.as_ref().try_into().map_err(|_| malformed("manifest hash"))?;
    Ok(ConfigHead { version: ConfigVersion(wire.version), manifest: ContentHash(hash) })
}

fn check_text(text: &str, max: usize) -> Result<()> {
    if text.len() > max {
        return Err(malformed("text too long"));
    }
    Ok(())
}

fn stamp_to_wire(stamp: Stamp) -> proto::Stamp {
    proto::Stamp { wall_ms: stamp.wall.0, logical: stamp.logical }
}

fn stamp_from_wire(stamp: Option<proto::Stamp>) -> Result<Stamp> {
    let stamp = stamp.ok_or_else(|| malformed("stamp missing"))?;
    Ok(Stamp { wall: WallTime(stamp.wall_ms), logical: stamp.logical })
}
