//! Release moves: sheet, plan, ramp, evidence, verdict and report.
//!
//! Every module is pure: time and messages come in as values, and what is to be done goes out as
//! values. The daemon, the models and the measurements run the same code.

pub mod control;
pub mod evidence;
pub mod plan;
pub mod ramp;
pub mod report;
pub mod sheet;
pub mod verdict;
