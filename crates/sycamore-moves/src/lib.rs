//! Release moves, which shift a service's traffic from one version to another step by step.
//!
//! No module does input or output: time and messages are passed in as values, and side effects are
//! returned as values. The daemon, the model checks and the benchmarks run the same code.

pub mod control;
pub mod evidence;
pub mod plan;
pub mod ramp;
pub mod report;
pub mod sheet;
pub mod verdict;
