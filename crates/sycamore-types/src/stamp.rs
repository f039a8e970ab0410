//! Hybrid logical clock (Kulkarni et al., "Logical Physical Clocks", 2014).

use crate::time::WallTime;
use serde::{Deserialize, Serialize};

/// Reading of a hybrid logical clock, which orders a cause before its effect.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Stamp {
    /// Highest wall-clock time seen so far.
    pub wall: WallTime,
    /// Counter that orders events with equal `wall`.
    pub logical: u32,
}

impl Stamp {
    /// Returns the stamp of a local event at wall-clock time `now`.
    #[must_use]
    pub fn tick(self, now: WallTime) -> Stamp {
        if now > self.wall {
            return Stamp { wall: now, logical: 0 };
        }
        match self.logical.checked_add(1) {
            Some(logical) => Stamp { wall: self.wall, logical },
            None => Stamp { wall: WallTime(self.wall.0.saturating_add(1)), logical: 0 },
        }
    }

    /// Returns the stamp for receiving a message with stamp `other` at wall-clock time `now`.
    #[must_use]
    pub fn merge(self, other: Stamp, now: WallTime) -> Stamp {
        self.max(other).tick(now)
    }
}
