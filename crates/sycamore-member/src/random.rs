//! Deterministic random choices from a seed.

use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use std::time::Duration;

/// Seeded source of random choices that can be compared and hashed, as model checking requires.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct Random {
    state: u64,
}

impl Random {
    pub(crate) fn new(seed: u64) -> Self {
        Self { state: seed }
    }

    /// Creates a generator from the current state and advances the state.
    fn rng(&mut self) -> SmallRng {
        let mut rng = SmallRng::seed_from_u64(self.state);
        self.state = rng.random();
        rng
    }

    /// Returns a uniform duration from zero up to `max`.
    pub(crate) fn up_to(&mut self, max: Duration) -> Duration {
        max.mul_f64(self.rng().random::<f64>())
    }

    /// Returns a uniform index into a list of `len` entries; `len` must not be 0.
    pub(crate) fn index(&mut self, len: usize) -> usize {
        self.rng().random_range(0..len)
    }

    /// Shuffles `items` uniformly.
    pub(crate) fn shuffle<T>(&mut self, items: &mut [T]) {
        items.shuffle(&mut self.rng());
    }

    /// Returns up to `n` of `items`, chosen uniformly without repetition.
    pub(crate) fn choose<T>(&mut self, mut items: Vec<T>, n: usize) -> Vec<T> {
        let mut rng = self.rng();
        let n = n.min(items.len());
        (0..n).map(|_| items.swap_remove(rng.random_range(0..items.len()))).collect()
    }
}
