//! Seeded random choices.

use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use std::time::Duration;

/// A source of random choices that is decided by its seed, and that can be compared and hashed, as
/// model checking needs.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct Random {
    state: u64,
}

impl Random {
    pub(crate) fn new(seed: u64) -> Self {
        Self { state: seed }
    }

    fn rng(&mut self) -> SmallRng {
        let mut rng = SmallRng::seed_from_u64(self.state);
        self.state = rng.random();
        rng
    }

    /// A time from zero up to `max`.
    pub(crate) fn up_to(&mut self, max: Duration) -> Duration {
        max.mul_f64(self.rng().random::<f64>())
    }

    /// A place in a list of `len` entries, which must not be empty.
    pub(crate) fn index(&mut self, len: usize) -> usize {
        self.rng().random_range(0..len)
    }

    pub(crate) fn shuffle<T>(&mut self, items: &mut [T]) {
        items.shuffle(&mut self.rng());
    }

    /// At most `n` of `items`, evenly chosen.
    pub(crate) fn choose<T>(&mut self, mut items: Vec<T>, n: usize) -> Vec<T> {
        let mut rng = self.rng();
        let n = n.min(items.len());
        (0..n).map(|_| items.swap_remove(rng.random_range(0..items.len()))).collect()
    }
}
