//! Verdict on a new version by sequential tests against the old version.
//!
//! Two tests must both reject before a version is found bad. The *pair test* compares both versions
//! over the same time, so that an overload or a failed dependency of the whole service is not taken
//! for a fault of the new version; it is the e-value for two by two tables of Turner, Ly and
//! Grünwald ("Generic e-variables for exact sequential k-sample tests", 2024). The *reference test*
//! compares the new version with what the old version did at the same offered load at any time,
//! plus a tolerance; it is a mixture sequential probability ratio test (Robbins, 1970). Both
//! restart once they have lost all evidence, as an e-detector does (Shin, Ramdas and Rinaldo,
//! 2024), so that a fault that appears late is found as quickly as one that is there from the
//! start.

mod finding;
mod judge;
mod proof;
mod sample;
mod sequential;

pub use finding::{Finding, Scope, Signal};
pub use judge::{VerdictOptions, VerdictTests};
pub use proof::NonInferiorityTest;
pub use sample::{Pair, Sample};
pub use sequential::{PairTest, ReferenceTest};
