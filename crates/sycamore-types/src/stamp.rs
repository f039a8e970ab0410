//! Hybrid logical clock stamps (Kulkarni et al., "Logical Physical Clocks", 2014).

use crate::time::WallTime;
use serde::{Deserialize, Serialize};

/// A hybrid logical clock reading: orders events so that a cause comes before its effect.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Stamp {
    /// The highest civil time seen.
    pub wall: WallTime,
    /// Orders events that share `wall`.
    pub logical: u32,
}

impl Stamp {
    /// The stamp of a local event at civil time `now`.
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

    /// The stamp of receiving a message that carries `other`, at civil time `now`.
    #[must_use]
    pub fn merge(self, other: Stamp, now: WallTime) -> Stamp {
        self.max(other).tick(now)
    }
}
