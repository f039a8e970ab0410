//! Head row of the platform's table, which names the accepted configuration.

use serde::{Deserialize, Serialize};
use sycamore_platform::settle::Stamped;
use sycamore_types::prelude::*;

/// Key of the head row in the platform's table.
pub const HEAD_KEY: &str = "config/head";

/// Content of the head row, without the identifiers of the operations that wrote it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeadRow {
    /// Version and manifest hash of the accepted configuration.
    #[serde(flatten)]
    pub head: ConfigHead,
    /// Operator who submitted the accepted configuration.
    pub operator: OperatorName,
}

impl HeadRow {
    /// Decodes a row's value; `None` if it is not a valid head row.
    pub fn read(value: &serde_json::Value) -> Option<Stamped<HeadRow>> {
        serde_json::from_value(value.clone()).ok()
    }
}

/// Returns the version that operation `op` wrote, or `None` if `row` no longer lists `op`.
///
/// Every accepted operation increments the version by one, so the position of `op` among the row's
/// recent operations gives its version.
pub fn accepted_by(row: &Stamped<HeadRow>, op: OpId) -> Option<ConfigVersion> {
    let age = u64::try_from(row.age(op)?).ok()?;
    row.body.head.version.0.checked_sub(age).map(ConfigVersion)
}
