//! Converts facts and configuration heads to and from their protobuf messages.

use super::{malformed, parse_id};
use crate::limits::MAX_REASON_BYTES;
use crate::proto;
use crate::proto::item::Item as WireItem;
use crate::Result;
use sycamore_types::fact::MAX_ROW_BYTES;
use sycamore_types::prelude::*;

/// Converts a fact to its protobuf item.
pub(super) fn fact_to_wire(fact: &Fact) -> WireItem {
    match fact {
        Fact::BadVersion { service, version, by, reason, at } => {
            WireItem::BadVersion(proto::BadVersion {
                service: service.to_string(),
                version: version.to_string(),
                by: by.to_string(),
                reason: reason.clone(),
                at: Some(stamp_to_wire(*at)),
            })
        }
        Fact::Aborted { by, service, version, at } => WireItem::Aborted(proto::Aborted {
            by: by.to_string(),
            service: service.to_string(),
            version: version.to_string(),
            at: Some(stamp_to_wire(*at)),
        }),
        Fact::Quarantined { fingerprint, until } => WireItem::Quarantined(proto::Quarantined {
            fingerprint: fingerprint.0,
            until_ms: until.0,
        }),
        Fact::CrashSeen { fingerprint, crash, until } => WireItem::CrashSeen(proto::CrashSeen {
            fingerprint: fingerprint.0,
            crash: *crash,
            until_ms: until.0,
        }),
        Fact::Head(head) => WireItem::Head(head_to_wire(head)),
        Fact::MoveRow { mv, revision, row, until } => WireItem::MoveRow(proto::MoveRow {
            mv: mv.to_string(),
            revision: *revision,
            row: row.clone(),
            until_ms: until.0,
        }),
        Fact::Cleared { by, step, at, until } => WireItem::Cleared(proto::Cleared {
            by: by.to_string(),
            step: u32::from(*step),
            at: Some(stamp_to_wire(*at)),
            until_ms: until.0,
        }),
        Fact::OutOfUse { data_centre, revision, is_out } => WireItem::OutOfUse(proto::OutOfUse {
            data_centre: data_centre.to_string(),
            revision: *revision,
            is_out: *is_out,
        }),
    }
}

/// Converts a protobuf item to a fact.
///
/// # Errors
/// [`crate::Error::Malformed`] where it is a member, or a field is missing or out of bounds.
pub(super) fn fact_from_wire(wire: WireItem) -> Result<Fact> {
    match wire {
        WireItem::Member(_) | WireItem::Brief(_) => Err(malformed("member item instead of a fact")),
        WireItem::BadVersion(bad) => {
            check_text(&bad.reason, MAX_REASON_BYTES)?;
            Ok(Fact::BadVersion {
                service: parse_id(&bad.service, "service")?,
                version: parse_id(&bad.version, "version")?,
                by: parse_id(&bad.by, "move")?,
                at: stamp_from_wire(bad.at)?,
                reason: bad.reason,
            })
        }
        WireItem::Aborted(aborted) => Ok(Fact::Aborted {
            by: parse_id(&aborted.by, "move")?,
            service: parse_id(&aborted.service, "service")?,
            version: parse_id(&aborted.version, "version")?,
            at: stamp_from_wire(aborted.at)?,
        }),
        WireItem::Quarantined(fact) => Ok(Fact::Quarantined {
            fingerprint: Fingerprint(fact.fingerprint),
            until: WallTime(fact.until_ms),
        }),
        WireItem::CrashSeen(fact) => Ok(Fact::CrashSeen {
            fingerprint: Fingerprint(fact.fingerprint),
            crash: fact.crash,
            until: WallTime(fact.until_ms),
        }),
        WireItem::Head(head) => head_from_wire(&head).map(Fact::Head),
        WireItem::MoveRow(row) => {
            check_text(&row.row, MAX_ROW_BYTES)?;
            Ok(Fact::MoveRow {
                mv: parse_id(&row.mv, "move")?,
                revision: row.revision,
                row: row.row,
                until: WallTime(row.until_ms),
            })
        }
        WireItem::Cleared(cleared) => Ok(Fact::Cleared {
            by: parse_id(&cleared.by, "move")?,
            step: u16::try_from(cleared.step).map_err(|_| malformed("step"))?,
            at: stamp_from_wire(cleared.at)?,
            until: WallTime(cleared.until_ms),
        }),
        WireItem::OutOfUse(fact) => Ok(Fact::OutOfUse {
            data_centre: parse_id(&fact.data_centre, "data centre")?,
            revision: fact.revision,
            is_out: fact.is_out,
        }),
    }
}

/// Converts a configuration head to its protobuf message.
pub fn head_to_wire(head: &ConfigHead) -> proto::Head {
    proto::Head {
        version: head.version.0,
        manifest: bytes::Bytes::copy_from_slice(&head.manifest.0),
    }
}

/// Converts a protobuf message to a configuration head.
///
/// # Errors
/// [`crate::Error::Malformed`] where the manifest's hash is not 32 bytes long.
pub fn head_from_wire(wire: &proto::Head) -> Result<ConfigHead> {
    let hash = wire
        .manifest
        .as_ref()
        .try_into()
        .map_err(|_| malformed("manifest hash is not 32 bytes long"))?;
    Ok(ConfigHead { version: ConfigVersion(wire.version), manifest: ContentHash(hash) })
}

/// Checks that `text` has at most `max` bytes.
fn check_text(text: &str, max: usize) -> Result<()> {
    if text.len() > max {
        return Err(malformed("text of a fact exceeds its bound"));
    }
    Ok(())
}

fn stamp_to_wire(stamp: Stamp) -> proto::Stamp {
    proto::Stamp { wall_ms: stamp.wall.0, logical: stamp.logical }
}

fn stamp_from_wire(stamp: Option<proto::Stamp>) -> Result<Stamp> {
    let stamp = stamp.ok_or_else(|| malformed("fact without a stamp"))?;
    Ok(Stamp { wall: WallTime(stamp.wall_ms), logical: stamp.logical })
}
