//! Section `[accounts]`: settings of client accounts.

use crate::unit::OptionalSpan;
use serde::{Deserialize, Serialize};
use serde_with::serde_as;
use std::time::Duration;

/// Part of [`Accounts::withdraw_within`] for which a read of the operators' rows waits at most: a proof
/// of how recent the configuration is counts from the start of the read.
const READ_SHARE: f64 = 0.2;
/// Part of [`Accounts::withdraw_within`] up to which a proof is used; the rest is for clocks that run
/// apart.
const PROOF_SHARE: f64 = 0.98;

/// Settings of client accounts, section `[accounts]`.
#[serde_as]
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Accounts {
    /// Time after which no call runs any more with a key that an acknowledged configuration has taken
    /// away, also on nodes that are cut off; `None` leaves it to the time in which a change is in
    /// force.
    #[serde_as(as = "OptionalSpan")]
    pub withdraw_within: Option<Duration>,
}

impl Accounts {
    /// Returns the longest wait of a read of the operators' rows; `None` if any will do.
    pub fn max_read_wait(&self) -> Option<Duration> {
        self.withdraw_within.map(|bound| bound.mul_f64(READ_SHARE))
    }

    /// Returns the age up to which a proof counts; `None` if none is needed.
    pub fn max_proof_age(&self) -> Option<Duration> {
        self.withdraw_within.map(|bound| bound.mul_f64(PROOF_SHARE))
    }
}
