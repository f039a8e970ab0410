//! The verdict on a new version: sequential tests of the new version against the old one.
//!
//! Two tests must agree before a version is found bad. The *pair test* compares both versions at the
//! same time, so that an overload or a broken dependency of the whole service reads as no fault of
//! the new version; it is the e-value for two by two tables of Turner, Ly and Grünwald ("Generic
//! e-variables for exact sequential k-sample tests", 2024). The *reference test* compares the new
//! version with what the old one did at the same offered load at any time, plus a tolerance; it is a
//! mixture sequential probability ratio test (Robbins, 1970). Both restart when they have lost all
//! evidence, as an e-detector does (Shin, Ramdas and Rinaldo, 2024), so that a fault which shows late
//! is found as soon as one which shows at once.

mod finding;
mod judge;
mod proof;
mod sample;
mod sequential;

pub use finding::{Finding, Scope, Signal};
pub use judge::{VerdictOptions, VerdictTests};
pub use proof::Proof;
pub use sample::{Pair, Sample};
pub use sequential::{PairTest, ReferenceTest};
