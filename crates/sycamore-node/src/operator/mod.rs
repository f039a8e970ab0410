//! HTTP interface for operators: commands, queries, metrics, liveness and readiness.

mod access;
mod answer;
mod commands;
mod error;
mod queries;
pub mod readiness;
mod serve;

pub use error::OperatorError;
pub use serve::start;
