//! The head row of the platform's table: which configuration is accepted.

use serde::{Deserialize, Serialize};
use sycamore_platform::settle::Stamped;
use sycamore_types::prelude::*;

/// Key of the head row.
pub const HEAD_KEY: &str = "config/head";

/// The fields of the head row, beside the operations that wrote it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeadRow {
    /// The accepted configuration.
    #[serde(flatten)]
    pub head: ConfigHead,
    /// Who had it accepted.
    pub operator: OperatorName,
}

impl HeadRow {
    /// Reads the row's value; `None` where it is no head row.
    pub fn read(value: &serde_json::Value) -> Option<Stamped<HeadRow>> {
        serde_json::from_value(value.clone()).ok()
    }
}

/// The version that `op` had accepted, if `row` remembers it: each acceptance adds one.
pub fn accepted_by(row: &Stamped<HeadRow>, op: OpId) -> Option<ConfigVersion> {
    let age = u64::try_from(row.age(op)?).ok()?;
    row.body.head.version.0.checked_sub(age).map(ConfigVersion)
}
