//! Development tool: stand-ins, emulated upstreams, load and measurements.

pub mod cli;
pub mod demo;
pub mod error;
pub mod fleet;
pub mod http;
pub mod load;
pub mod measure;
pub mod proxy;
pub mod soak;
pub mod stand_in;
pub mod witness;

pub use error::BenchError;

/// Result of the development tool's functions.
pub type Result<T> = std::result::Result<T, error_stack::Report<BenchError>>;
