//! Validation and encoding of a configuration that an operator wrote as a row.

use crate::edge::OperatorConfig;
use bytes::Bytes;
use sycamore_config::manifest::MAX_PACK_BYTES;
use sycamore_config::{Bundle, Encoded, Fault};
use sycamore_types::prelude::*;

/// Configuration as nodes pass it on.
pub(super) struct EncodedConfig {
    pub(super) head: ConfigHead,
    pub(super) pack: Bytes,
    /// Faults of the entries that can't be applied.
    pub(super) faults: Vec<Fault>,
}

/// Validates and encodes a configuration, entry by entry.
///
/// # Errors
/// Returns the faults of the whole as text. A pack that is too large to be read is one, so that its
/// head isn't spread to nodes that could never get it.
pub(super) fn encode_config(config: OperatorConfig) -> Result<EncodedConfig, String> {
    let OperatorConfig { version, resources, mut faults } = config;
    let (bundle, found) = Bundle::salvage(resources).map_err(|faults| {
        let why: Vec<String> = faults.iter().map(ToString::to_string).collect();
        why.join("; ")
    })?;
    faults.extend(found);
    let encoded = Encoded::new(bundle.resources(), version);
    let pack = encoded.pack();
    match pack.len() <= MAX_PACK_BYTES {
        true => Ok(EncodedConfig { head: encoded.head, pack, faults }),
        false => Err(format!("has {} bytes; at most {MAX_PACK_BYTES} are allowed", pack.len())),
    }
}
